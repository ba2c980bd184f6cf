//! What agents, engines and coordinators tell each other.

use serde::{Deserialize, Serialize};

use crate::{
    experts::{GroupMap, MapNumber, StepNumber},
    routing::GroupMembership,
};

/// How a rank stands, as its engine says.
#[derive(Clone, Debug, PartialEq)]
pub struct RankReport {
    /// Requests being worked on.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// The last step begun.
    pub step: StepNumber,
    /// The map in use.
    pub map: MapNumber,
    /// The map that is copied and not in use.
    pub prepared: Option<MapNumber>,
    /// The map that comes into use, and with which step.
    pub armed: Option<(MapNumber, StepNumber)>,
    /// The step that is not begun before the rank is let go.
    pub held: Option<StepNumber>,
    /// The rank's place in its group.
    pub group: Option<GroupMembership>,
    /// Ranks of the group.
    pub group_size: u16,
}

/// Which experts a rank's requests chose.
#[derive(Clone, Debug, PartialEq)]
pub struct RankUse {
    /// Choices of each expert, layer after layer.
    pub counts: Vec<u64>,
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq)]
pub enum RankOrder {
    /// Copy what is new of a map.
    Prepare {
        /// Its number.
        version: MapNumber,
        /// The map.
        map: GroupMap,
    },
    /// Use a map from a step on.
    Arm {
        /// Its number.
        version: MapNumber,
        /// The step.
        step: StepNumber,
    },
    /// Do not begin a step before it is released.
    Hold(StepNumber),
    /// Let a held step begin.
    Release(StepNumber),
}

/// What an agent tells the others of its group.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct MemberStatus {
    /// The rank.
    pub rank: u16,
    /// Forming of the group.
    pub epoch: u64,
    /// The last step begun.
    pub step: StepNumber,
    /// The map in use.
    pub map: MapNumber,
    /// The map that is prepared.
    pub prepared: Option<MapNumber>,
    /// The map that comes into use, and with which step.
    pub armed: Option<(MapNumber, StepNumber)>,
    /// Highest map number that this agent knows of.
    pub highest: MapNumber,
    /// Whether an order to the rank was not answered lately.
    pub has_unanswered: bool,
    /// The map that this agent knows for all ranks, so that changes to it are enough.
    pub known: Option<MapNumber>,
    /// Experts of the rank by layer, as of the map in use.
    pub experts: Vec<Vec<u16>>,
    /// Choices of each expert since the sample before; none where there is no new sample.
    pub counts: Option<UseSample>,
}

/// Choices of each expert in a while, in few bytes.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct UseSample {
    /// Power of two by which the counts are to be multiplied.
    shift: u8,
    /// The counts, layer after layer.
    scaled: Vec<u8>,
}

/// Largest scaled count: it takes one byte.
const MAX_SCALED: u64 = 127;

impl UseSample {
    /// Scales the choices since an earlier reading.
    ///
    /// ```
    /// use alderbay::experts::UseSample;
    /// let sample = UseSample::between(&[0, 10], &[5, 1010]);
    /// assert_eq!(sample.counts().collect::<Vec<f64>>(), [0.0, 1000.0]);
    /// ```
    pub fn between(before: &[u64], after: &[u64]) -> Self {
        // An engine that has restarted counts anew.
        let counts: Vec<u64> =
            after.iter().zip(before).map(|(new, old)| new.saturating_sub(*old)).collect();
        let mut shift = 0;
        let highest = counts.iter().copied().max().unwrap_or(0);
        while highest >> shift > MAX_SCALED {
            shift += 1;
        }
        // The shift brings each count below the largest that a byte holds.
        let scaled = counts.iter().map(|it| u8::try_from(it >> shift).unwrap_or(u8::MAX)).collect();
        Self { shift, scaled }
    }

    /// Experts that are counted.
    pub(super) fn experts(&self) -> usize {
        self.scaled.len()
    }

    /// The counts, rounded down to the scale.
    pub fn counts(&self) -> impl Iterator<Item = f64> + '_ {
        let factor = f64::from(self.shift).exp2();
        self.scaled.iter().map(move |it| f64::from(*it) * factor)
    }
}

/// What the coordinator wants of all ranks.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct MapRollout {
    /// Forming of the group.
    pub epoch: u64,
    /// The map's number.
    pub version: MapNumber,
    /// What makes the map; nothing once it is prepared everywhere.
    pub map: MapNews,
    /// The step from which on it is used; none before all ranks have prepared it.
    pub step: Option<StepNumber>,
}

/// How a rollout tells its map.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum MapNews {
    /// Whole.
    Whole(GroupMap),
    /// By its changes to a map that the receiver knows.
    Changes {
        /// The map that is changed.
        base: MapNumber,
        /// Layer, rank, and what the rank holds of the layer from now on.
        ranks: Vec<(u16, u16, Vec<u16>)>,
    },
    /// Not at all.
    Nothing,
}

impl MapNews {
    pub(super) fn changes(base: MapNumber, old: &GroupMap, new: &GroupMap) -> Self {
        let mut ranks = Vec::new();
        for (layer, (old, new)) in (0_u16..).zip(old.iter().zip(new)) {
            for (rank, (old, new)) in (0_u16..).zip(old.iter().zip(new)) {
                if old != new {
                    ranks.push((layer, rank, new.clone()));
                }
            }
        }
        Self::Changes { base, ranks }
    }

    /// The map; none where it cannot be made from what is known.
    pub(super) fn apply(&self, known: Option<&(MapNumber, GroupMap)>) -> Option<GroupMap> {
        match self {
            Self::Whole(map) => Some(map.clone()),
            Self::Nothing => None,
            Self::Changes { base, ranks } => {
                let mut map = known.filter(|it| it.0 == *base)?.1.clone();
                for (layer, rank, experts) in ranks {
                    *map.get_mut(usize::from(*layer))?.get_mut(usize::from(*rank))? =
                        experts.clone();
                }
                Some(map)
            }
        }
    }
}

/// Something to be done by the agent.
#[derive(Clone, Debug, PartialEq)]
pub enum RolloutEffect {
    /// Give the own engine an order.
    Order(RankOrder),
    /// Have another agent tell the own engine to hold this step.
    AskHold(StepNumber),
    /// Give the engine of another rank an order, because its agent is silent.
    OrderRank(u16, RankOrder),
    /// Ask the engine of another rank for a report, because its agent is silent.
    AskRank(u16),
    /// Send the rollout to these ranks.
    Broadcast(Vec<u16>, MapRollout),
    /// Say what was decided.
    Note(RolloutNote),
}

/// A decision, for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum RolloutNote {
    /// A round was planned.
    Planned {
        /// The map's number.
        version: MapNumber,
        /// Experts that are copied.
        copies: usize,
        /// Skew before, in thousandths.
        skew_before: u32,
        /// Skew that is expected, in thousandths.
        skew_after: u32,
    },
    /// The popularity of experts shifted.
    Shifted {
        /// Distance between the popularity known and the latest, in thousandths.
        distance: u32,
    },
    /// All ranks use the map.
    InForce(MapNumber),
    /// A rollout was given up before any rank was armed.
    Abandoned(MapNumber),
    /// The switch of a silent coordinator is being finished.
    Rescue(MapNumber, StepNumber),
    /// The group formed anew.
    Formed(u64),
}
