//! Messages between agents, engines and coordinators, and the effects and events of a rollout.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::{
    experts::{GroupMap, MapVersion, StepNumber},
    routing::GroupMembership,
    units::QuantityError,
};

/// Time that a rank's work takes relative to its usual time, in thousandths; never below 1,000.
///
/// ```
/// use alderbay::experts::RankPace;
/// let pace: RankPace = "2500".parse()?;
/// assert_eq!(pace.factor(), 2.5);
/// assert_eq!(pace.to_string(), "2500");
/// assert_eq!(RankPace::from_factor(0.5), RankPace::default());
/// # Ok::<(), alderbay::units::QuantityError>(())
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct RankPace(u32);

/// The usual pace in thousandths.
const USUAL_PACE: u32 = 1_000;
/// Slowest pace that is told apart, as a factor. A rank that reports more is stuck.
const MAX_PACE_FACTOR: f64 = 1_000.0;

impl RankPace {
    /// Creates a pace from the factor by which work takes longer than usual. A factor below one, or
    /// one that is not a number, counts as one.
    pub fn from_factor(factor: f64) -> Self {
        let factor = if factor.is_nan() { 1.0 } else { factor.clamp(1.0, MAX_PACE_FACTOR) };
        Self((factor * f64::from(USUAL_PACE)).round() as u32)
    }

    /// Returns the factor by which work takes longer than usual.
    pub fn factor(self) -> f64 {
        f64::from(self.0.max(USUAL_PACE)) / f64::from(USUAL_PACE)
    }
}

impl Default for RankPace {
    fn default() -> Self {
        Self(USUAL_PACE)
    }
}

impl fmt::Display for RankPace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for RankPace {
    type Err = QuantityError;

    fn from_str(text: &str) -> Result<Self, QuantityError> {
        Ok(Self(text.parse()?))
    }
}

/// State of a rank as reported by its engine.
#[derive(Clone, Debug, PartialEq)]
pub struct RankReport {
    /// Number of requests being processed.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Last step that the rank has started.
    pub step: StepNumber,
    /// Map in use.
    pub map: MapVersion,
    /// Map whose experts are copied but which is not yet in use.
    pub prepared: Option<MapVersion>,
    /// Map that the rank is armed with, and the first step that uses it.
    pub armed: Option<(MapVersion, StepNumber)>,
    /// Step that the rank does not start before it is released.
    pub held: Option<StepNumber>,
    /// Place of the rank in its group; `None` if it belongs to no group.
    pub group: Option<GroupMembership>,
    /// Number of ranks in the group; 0 if unknown.
    pub group_size: u16,
    /// Time that the rank's work takes relative to its usual time.
    pub pace: RankPace,
    /// Tokens that requests hold in the rank's memory and cannot give up.
    pub used_tokens: u32,
    /// Tokens that the rank's memory holds; 0 if unknown.
    pub max_tokens: u32,
}

/// How often the requests of a rank chose each expert since the engine started.
#[derive(Clone, Debug, PartialEq)]
pub struct ExpertUsage {
    /// Cumulative number of choices by layer, then by expert, in one list.
    pub counts: Vec<u64>,
}

/// A command to an engine. The engine's API and the metrics call it an order.
#[derive(Clone, Debug, PartialEq)]
pub enum RankOrder {
    /// Copy the experts of a map that are new to the rank.
    Prepare {
        /// Version of the map.
        version: MapVersion,
        /// The map.
        map: GroupMap,
    },
    /// Switch to a prepared map at a given step.
    Arm {
        /// Version of the map.
        version: MapVersion,
        /// First step that uses the map.
        step: StepNumber,
    },
    /// Do not start a step before it is released.
    Hold(StepNumber),
    /// Let a held step start.
    Release(StepNumber),
}

/// Periodic status of a rank, which its agent sends to the coordinator and its substitutes.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct MemberStatus {
    /// Rank within the group.
    pub rank: u16,
    /// Epoch of the group: identifies one formation of its ranks.
    pub epoch: u64,
    /// Last step that the rank has started.
    pub step: StepNumber,
    /// Map in use.
    pub map: MapVersion,
    /// Map that is prepared but not yet in use.
    pub prepared: Option<MapVersion>,
    /// Map that the rank is armed with, and the first step that uses it.
    pub armed: Option<(MapVersion, StepNumber)>,
    /// Highest map version that this agent has seen.
    pub highest: MapVersion,
    /// Whether an order from this agent recently got no answer.
    pub has_unanswered: bool,
    /// Latest map that this agent has in full, for all ranks: the one of the rollout in progress, or
    /// one to which a delta is enough for this agent.
    pub known: Option<MapVersion>,
    /// Experts of the rank by layer in the map in use; empty if unknown or unchanged.
    pub experts: Vec<Vec<u16>>,
    /// Choices of each expert since the previous sample; `None` if there is no new sample.
    pub counts: Option<UsageSample>,
    /// Pace of the rank. It travels outside the status, which agents of earlier releases decode.
    #[serde(skip)]
    pub pace: RankPace,
}

/// Number of choices of each expert during an interval, in a compact lossy encoding.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct UsageSample {
    /// Number of low bits dropped from each count.
    shift: u8,
    /// Counts by layer, then by expert, shifted right by `shift`.
    scaled: Vec<u8>,
}

/// Largest scaled count, so that each count is encoded in one byte.
const MAX_SCALED_COUNT: u64 = 127;

impl UsageSample {
    /// Creates a sample of the choices between two readings of the cumulative counters.
    ///
    /// ```
    /// use alderbay::experts::UsageSample;
    /// let sample = UsageSample::from_counters(&[0, 10], &[5, 1010]);
    /// assert_eq!(sample.counts().collect::<Vec<f64>>(), [0.0, 1000.0]);
    /// ```
    pub fn from_counters(before: &[u64], after: &[u64]) -> Self {
        // The counters of a restarted engine start at zero again.
        let counts: Vec<u64> =
            after.iter().zip(before).map(|(new, old)| new.saturating_sub(*old)).collect();
        let mut shift = 0;
        let highest = counts.iter().copied().max().unwrap_or(0);
        while highest >> shift > MAX_SCALED_COUNT {
            shift += 1;
        }
        // After the shift each count fits into a byte, so the conversion does not saturate.
        let scaled = counts.iter().map(|it| u8::try_from(it >> shift).unwrap_or(u8::MAX)).collect();
        Self { shift, scaled }
    }

    /// Returns the number of experts in the sample, over all layers.
    pub(super) fn experts(&self) -> usize {
        self.scaled.len()
    }

    /// Returns the counts, rounded down to a multiple of the scale.
    pub fn counts(&self) -> impl Iterator<Item = f64> + '_ {
        let scale = f64::from(self.shift).exp2();
        self.scaled.iter().map(move |it| f64::from(*it) * scale)
    }
}

/// Message by which the coordinator has the other ranks prepare or arm a map.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct MapRollout {
    /// Epoch of the group; agents in another epoch ignore the message.
    pub epoch: u64,
    /// Version of the new map.
    pub version: MapVersion,
    /// Content of the new map; omitted once it is prepared on all ranks.
    pub map: MapUpdate,
    /// First step that uses the map; `None` until all ranks have prepared it.
    pub step: Option<StepNumber>,
}

/// Content of the new map in a [`MapRollout`].
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum MapUpdate {
    /// The complete map.
    #[serde(rename = "Whole")]
    Full(GroupMap),
    /// The difference to a map that the receiver has in full.
    #[serde(rename = "Changes")]
    Delta {
        /// Version of the map to change.
        base: MapVersion,
        /// Layer, rank, and the experts of that layer that the rank holds in the new map.
        ranks: Vec<(u16, u16, Vec<u16>)>,
    },
    /// No content; the receiver has already prepared the map.
    #[serde(rename = "Nothing")]
    Omitted,
}

impl MapUpdate {
    pub(super) fn delta(base: MapVersion, old: &GroupMap, new: &GroupMap) -> Self {
        let mut ranks = Vec::new();
        for (layer, (old, new)) in (0_u16..).zip(old.iter().zip(new)) {
            for (rank, (old, new)) in (0_u16..).zip(old.iter().zip(new)) {
                if old != new {
                    ranks.push((layer, rank, new.clone()));
                }
            }
        }
        Self::Delta { base, ranks }
    }

    /// Returns the approximate size of the encoded content.
    pub(super) fn content_bytes(&self) -> usize {
        /// Size of a list's length, and on average of an expert's number.
        const NUMBER_BYTES: usize = 2;
        let list_bytes = |it: &Vec<u16>| NUMBER_BYTES * (it.len() + 1);
        match self {
            Self::Full(map) => map.iter().flatten().map(list_bytes).sum(),
            Self::Delta { ranks, .. } => {
                ranks.iter().map(|it| list_bytes(&it.2) + 2 * NUMBER_BYTES).sum()
            }
            Self::Omitted => 0,
        }
    }

    /// Returns the complete new map, or `None` without content or if `known` is not the base of the
    /// delta.
    pub(super) fn apply(&self, known: Option<&(MapVersion, GroupMap)>) -> Option<GroupMap> {
        match self {
            Self::Full(map) => Some(map.clone()),
            Self::Omitted => None,
            Self::Delta { base, ranks } => {
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

/// An action that the state machine requests from the agent.
#[derive(Clone, Debug, PartialEq)]
pub enum RolloutEffect {
    /// Send an order to the agent's own engine.
    OrderOwnEngine(RankOrder),
    /// Ask an agent of another group to order this agent's own engine to hold the step.
    RequestHold(StepNumber),
    /// Send an order to the engine of another rank, whose agent is silent.
    OrderPeer(u16, RankOrder),
    /// Request a report from the engine of another rank, whose agent is silent.
    PollPeer(u16),
    /// Send the rollout message to the agents of these ranks.
    Broadcast(Vec<u16>, MapRollout),
    /// Send the rollout message to the agents of these ranks, each of which forwards it to others.
    Relay(Vec<u16>, MapRollout),
    /// Write the event to the log.
    Log(RolloutEvent),
}

/// A rollout event to log.
#[derive(Clone, Debug, PartialEq)]
pub enum RolloutEvent {
    /// The coordinator planned a round and begins to roll it out.
    RoundPlanned {
        /// Version of the new map.
        version: MapVersion,
        /// Number of expert copies.
        copies: usize,
        /// Skew of the current map, in thousandths.
        skew_before: u32,
        /// Expected skew of the new map, in thousandths.
        skew_after: u32,
    },
    /// The popularity of experts has shifted.
    PopularityShifted {
        /// Total variation distance between smoothed and latest popularity, in thousandths.
        distance: u32,
    },
    /// The map (or a later one) is in use on the agent's rank, and so on all ranks.
    Activated(MapVersion),
    /// A rollout was abandoned before any rank was armed.
    Abandoned(MapVersion),
    /// A rollout was abandoned before a hold was requested, because popularity shifted.
    Superseded(MapVersion),
    /// A late order held a step without a map to switch to, so the map in use is rolled out under
    /// this version.
    Renewed(MapVersion),
    /// A substitute is finishing the switch of a silent coordinator.
    Takeover(MapVersion, StepNumber),
    /// The group formed, with this epoch.
    GroupFormed(u64),
}
