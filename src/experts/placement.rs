//! Placement of one layer's experts on the ranks of a group.

use std::fmt;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Index of an expert within its layer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ExpertId(pub u16);

/// Index of a rank within its group.
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

/// Reason why slots do not form a valid map.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum MapError {
    /// The slots are too few for all experts, or a rank has more slots than there are experts.
    #[error("{experts} experts do not fit into {ranks} ranks of {slots} slots")]
    TooFewSlots {
        /// Number of experts of the layer.
        experts: usize,
        /// Number of ranks of the group.
        ranks: usize,
        /// Number of slots of each rank.
        slots: usize,
    },
    /// An expert is in no slot.
    #[error("expert {0} is placed on no rank")]
    Missing(ExpertId),
    /// An expert is in two slots of one rank.
    #[error("expert {0} is placed twice on rank {1}")]
    Repeated(ExpertId, RankId),
}

/// One weight transfer: a rank loads the weights of an expert into a slot, replacing another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SlotMove {
    /// Rank that loads the weights.
    pub rank: RankId,
    /// Index of the slot on the rank.
    pub slot: usize,
    /// Expert in the slot before the move.
    pub from: ExpertId,
    /// Expert in the slot after the move.
    pub to: ExpertId,
}

/// Assignment of one layer's experts to the slots of all ranks.
///
/// Every expert is on at least one rank, and on no rank twice.
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
    /// Experts by rank, then by slot.
    slots: Vec<ExpertId>,
    /// Number of slots that hold each expert, by expert.
    replicas: Vec<u16>,
}

impl ExpertMap {
    /// Creates a map that ignores popularity: assigns the experts round-robin until all slots are
    /// full.
    ///
    /// # Errors
    ///
    /// [`MapError::TooFewSlots`] if there are fewer slots than experts, or if a rank has more slots
    /// than there are experts.
    pub fn initial(experts: usize, ranks: usize, slots_per_rank: usize) -> Result<Self, MapError> {
        if ranks * slots_per_rank < experts || slots_per_rank > experts {
            return Err(MapError::TooFewSlots { experts, ranks, slots: slots_per_rank });
        }
        // A rank's slots hold consecutive experts modulo their number, so none repeats on a rank.
        let slots = (0..ranks * slots_per_rank).map(|n| expert(n % experts)).collect();
        Self::from_slots(experts, slots_per_rank, slots)
    }

    /// Creates a map of the given slots, ordered by rank, then by slot.
    ///
    /// # Errors
    ///
    /// [`MapError::Missing`] if an expert is in no slot, [`MapError::Repeated`] if one is on a rank
    /// twice.
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

    /// Returns the number of ranks of the group.
    pub fn ranks(&self) -> usize {
        self.slots.len() / self.slots_per_rank
    }

    /// Returns the number of experts of the layer.
    pub fn experts(&self) -> usize {
        self.experts
    }

    /// Returns the number of slots of each rank.
    pub fn slots_per_rank(&self) -> usize {
        self.slots_per_rank
    }

    /// Returns the experts of a rank, by slot.
    pub fn on_rank(&self, rank: usize) -> &[ExpertId] {
        &self.slots[rank * self.slots_per_rank..(rank + 1) * self.slots_per_rank]
    }

    /// Returns the number of ranks that hold an expert.
    pub fn replicas(&self, expert: ExpertId) -> u16 {
        self.replicas[usize::from(expert.0)]
    }

    pub(super) fn ranks_of(&self, expert: ExpertId) -> impl Iterator<Item = usize> + '_ {
        let slots = self.slots.iter().enumerate();
        slots.filter(move |(_, it)| **it == expert).map(|(n, _)| n / self.slots_per_rank)
    }

    pub(super) fn set_slot(&mut self, rank: usize, slot: usize, to: ExpertId) {
        let held = &mut self.slots[rank * self.slots_per_rank + slot];
        self.replicas[usize::from(held.0)] -= 1;
        self.replicas[usize::from(to.0)] += 1;
        *held = to;
    }

    /// Returns the load of each rank, given the load of each expert. Replicas share an expert's
    /// load evenly.
    pub fn rank_loads(&self, loads: &[f64]) -> Vec<f64> {
        (0..self.ranks())
            .map(|rank| self.on_rank(rank).iter().map(|it| self.share(loads, *it)).sum())
            .collect()
    }

    /// Returns the load of one replica of an expert.
    pub(super) fn share(&self, loads: &[f64], expert: ExpertId) -> f64 {
        loads[usize::from(expert.0)] / f64::from(self.replicas(expert))
    }

    /// Returns the load of the most loaded rank divided by the mean; 1.0 if there is no load.
    pub fn skew(&self, loads: &[f64]) -> f64 {
        let ranks = self.rank_loads(loads);
        let mean = ranks.iter().sum::<f64>() / ranks.len() as f64;
        if mean > 0.0 { ranks.into_iter().fold(0.0, f64::max) / mean } else { 1.0 }
    }

    /// Returns the number of weight transfers that turn this map into `other`.
    pub fn count_moves_to(&self, other: &Self) -> usize {
        let gained = |rank| {
            let old = self.on_rank(rank);
            other.on_rank(rank).iter().filter(|it| !old.contains(it)).count()
        };
        (0..self.ranks()).map(gained).sum()
    }

    /// Returns the minimal weight transfers that turn this map into `other`: on each rank, one per
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

/// Returns the id of the expert at `index`. Layers have fewer than 65536 experts, so the id does
/// not saturate.
pub(super) fn expert(index: usize) -> ExpertId {
    ExpertId(u16::try_from(index).unwrap_or(u16::MAX))
}

fn rank_id(index: usize) -> RankId {
    RankId(u16::try_from(index).unwrap_or(u16::MAX))
}
