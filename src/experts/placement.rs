//! Which experts stand on which ranks of one layer.

use std::fmt;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// One expert of a layer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ExpertId(pub u16);

/// One rank of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct RankId(pub u16);

impl fmt::Display for ExpertId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl fmt::Display for RankId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Why slots do not make a map.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum MapError {
    /// The slots do not hold every expert.
    #[error("{experts} experts do not fit into {ranks} ranks of {slots} slots")]
    TooFewSlots {
        /// Experts of the layer.
        experts: usize,
        /// Ranks of the group.
        ranks: usize,
        /// Slots of a rank.
        slots: usize,
    },
    /// An expert stands in no slot.
    #[error("expert {0} stands on no rank")]
    Missing(ExpertId),
    /// An expert stands twice on one rank.
    #[error("expert {0} stands twice on rank {1}")]
    Repeated(ExpertId, RankId),
}

/// One weight transfer: the expert's weights are fetched into a slot in place of another's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SlotMove {
    /// The rank that fetches.
    pub rank: RankId,
    /// The slot on it.
    pub slot: usize,
    /// The expert that it held.
    pub from: ExpertId,
    /// The expert that it holds afterwards.
    pub to: ExpertId,
}

/// The slots of all ranks of one layer. Every expert stands on at least one rank, and on none twice.
///
/// ```
/// use alderbay::experts::ExpertMap;
/// let map = ExpertMap::initial(4, 2, 3)?;
/// assert_eq!(map.skew(&[1.0; 4]), 1.0);
/// # Ok::<(), alderbay::experts::MapError>(())
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ExpertMap {
    experts: usize,
    slots_per_rank: usize,
    /// Experts by rank and slot, one rank after the other.
    slots: Vec<ExpertId>,
    replicas: Vec<u16>,
}

impl ExpertMap {
    /// A map that knows nothing of popularity: experts in turn, until all slots are full.
    ///
    /// # Errors
    ///
    /// There are fewer slots than experts, or a rank has more slots than there are experts.
    pub fn initial(experts: usize, ranks: usize, slots_per_rank: usize) -> Result<Self, MapError> {
        if ranks * slots_per_rank < experts || slots_per_rank > experts {
            return Err(MapError::TooFewSlots { experts, ranks, slots: slots_per_rank });
        }
        // A rank's slots are consecutive numbers modulo the experts, so none repeats on a rank.
        let slots = (0..ranks * slots_per_rank).map(|n| expert(n % experts)).collect();
        Self::from_slots(experts, slots_per_rank, slots)
    }

    /// A map of given slots, one rank after the other.
    ///
    /// # Errors
    ///
    /// An expert is missing, or stands twice on a rank.
    pub fn from_slots(
        experts: usize,
        slots_per_rank: usize,
        slots: Vec<ExpertId>,
    ) -> Result<Self, MapError> {
        let mut replicas = vec![0; experts];
        for it in &slots {
            replicas[usize::from(it.0)] += 1;
        }
        if let Some(missing) = replicas.iter().position(|it| *it == 0) {
            return Err(MapError::Missing(expert(missing)));
        }
        let map = Self { experts, slots_per_rank, slots, replicas };
        for rank in 0..map.ranks() {
            let held = map.on_rank(rank);
            let repeated = held.iter().enumerate().find(|(n, it)| held[..*n].contains(it));
            if let Some((_, repeated)) = repeated {
                return Err(MapError::Repeated(*repeated, rank_id(rank)));
            }
        }
        Ok(map)
    }

    /// Ranks of the group.
    pub fn ranks(&self) -> usize {
        self.slots.len() / self.slots_per_rank
    }

    /// Experts of the layer.
    pub fn experts(&self) -> usize {
        self.experts
    }

    /// Slots of each rank.
    pub fn slots_per_rank(&self) -> usize {
        self.slots_per_rank
    }

    /// Experts on a rank, by slot.
    pub fn on_rank(&self, rank: usize) -> &[ExpertId] {
        &self.slots[rank * self.slots_per_rank..(rank + 1) * self.slots_per_rank]
    }

    /// Ranks on which an expert stands.
    pub fn replicas(&self, expert: ExpertId) -> u16 {
        self.replicas[usize::from(expert.0)]
    }

    pub(super) fn ranks_of(&self, expert: ExpertId) -> impl Iterator<Item = usize> + '_ {
        let slots = self.slots.iter().enumerate();
        slots.filter(move |(_, it)| **it == expert).map(|(n, _)| n / self.slots_per_rank)
    }

    pub(super) fn put(&mut self, rank: usize, slot: usize, to: ExpertId) {
        let place = &mut self.slots[rank * self.slots_per_rank + slot];
        self.replicas[usize::from(place.0)] -= 1;
        self.replicas[usize::from(to.0)] += 1;
        *place = to;
    }

    /// Load of each rank, where each expert's load is shared evenly by its replicas.
    pub fn rank_loads(&self, loads: &[f64]) -> Vec<f64> {
        (0..self.ranks())
            .map(|rank| self.on_rank(rank).iter().map(|it| self.share(loads, *it)).sum())
            .collect()
    }

    pub(super) fn share(&self, loads: &[f64], expert: ExpertId) -> f64 {
        loads[usize::from(expert.0)] / f64::from(self.replicas(expert))
    }

    /// Load of the most loaded rank over the mean rank's; one where there is no load.
    pub fn skew(&self, loads: &[f64]) -> f64 {
        let ranks = self.rank_loads(loads);
        let mean = ranks.iter().sum::<f64>() / ranks.len() as f64;
        if mean > 0.0 { ranks.into_iter().fold(0.0, f64::max) / mean } else { 1.0 }
    }

    /// How many weight transfers turn this map into `other`.
    pub fn count_moves_to(&self, other: &Self) -> usize {
        let gained = |rank| {
            let old = self.on_rank(rank);
            other.on_rank(rank).iter().filter(|it| !old.contains(it)).count()
        };
        (0..self.ranks()).map(gained).sum()
    }

    /// The fewest weight transfers that turn this map into `other`: on each rank, one for each
    /// expert that it does not hold yet.
    pub fn moves_to(&self, other: &Self) -> Vec<SlotMove> {
        let mut moves = Vec::new();
        for rank in 0..self.ranks() {
            let (old, new) = (self.on_rank(rank), other.on_rank(rank));
            let mut gained = new.iter().filter(|it| !old.contains(it));
            for (slot, from) in old.iter().enumerate().filter(|(_, it)| !new.contains(it)) {
                let Some(to) = gained.next() else { break };
                moves.push(SlotMove { rank: rank_id(rank), slot, from: *from, to: *to });
            }
        }
        moves
    }
}

/// The expert of an index, which stays below the 65536 that an id can name.
pub(super) fn expert(index: usize) -> ExpertId {
    ExpertId(u16::try_from(index).unwrap_or(u16::MAX))
}

fn rank_id(index: usize) -> RankId {
    RankId(u16::try_from(index).unwrap_or(u16::MAX))
}
