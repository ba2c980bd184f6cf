//! Bringing a new map into force on all ranks of a group at the same step.
//!
//! Ranks do not compare maps, so the order of commands alone must see to it that no step begins on
//! two maps. One agent coordinates: that of rank 0. Another can only finish what it began.
//!
//! 1. *Prepare*: every rank copies the experts that are new to it.
//! 2. Once all ranks have prepared the map, the coordinator has its own rank hold a step that lies
//!    ahead. No rank begins that step until rank 0 is let go.
//! 3. *Arm*: every rank is told to use the map from that step on.
//! 4. Once all ranks are armed, rank 0 is let go.
//!
//! Nothing is ever taken back after step 2: an order whose answer was lost may be carried out
//! seconds later, so that to undo one arm would race another. Whoever finds rank 0 holding a step
//! arms all ranks with the prepared map and lets go then, however often. Map numbers are never used
//! twice, also by a coordinator that has forgotten earlier ones.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use rand::{Rng, rngs::SmallRng};
use serde::{Deserialize, Serialize};

use super::{GroupMap, MapNumber, RoundSettings, StepNumber, group_skew, plan_round};
use crate::{
    routing::{ExpertLayout, GroupPlace},
    units::Moment,
};

/// Age from which a status says nothing any more.
const STATUS_LIFE: Duration = Duration::from_millis(700);
/// Age of the statuses with which a step is held: an agent that has fallen silent since would keep
/// the group waiting.
const HOLD_FRESHNESS: Duration = Duration::from_millis(150);
/// Time to arm the ranks of a group, beside that for each of them: steps begin meanwhile, so that the
/// group need not wait.
const ARM_TIME: Duration = Duration::from_millis(60);
/// Time for each rank.
const ARM_TIME_PER_RANK: Duration = Duration::from_millis(2);
/// Factor on both while orders go unanswered.
const UNANSWERED_FACTOR: u32 = 2;
/// Fewest and most steps between the present one and the one at which ranks switch.
const STEPS_AHEAD: std::ops::RangeInclusive<u64> = 2..=12;
/// Span over which the time of a step is measured.
const PACE_SPAN: Duration = Duration::from_millis(800);
/// Time of a step before one was measured.
const USUAL_STEP: Duration = Duration::from_millis(50);
/// How long an order without an answer is remembered.
const UNANSWERED_MEMORY: Duration = Duration::from_secs(4);
/// Pause before an order is repeated whose effect does not show.
const ORDER_PAUSE: Duration = Duration::from_millis(60);
/// Pause before a prepare is repeated; copies take longer than other orders.
const PREPARE_PAUSE: Duration = Duration::from_millis(900);
/// Pause between messages of a rollout.
const MESSAGE_PAUSE: Duration = Duration::from_millis(60);
/// Whole maps that are sent at a time, so that they do not fill the link.
const MAX_WHOLE_MAPS: usize = 6;
/// Time after which a rollout that is not prepared everywhere is replaced by another.
const PREPARE_LIMIT: Duration = Duration::from_secs(6);
/// Pause between rounds.
const ROUND_PAUSE: Duration = Duration::from_millis(150);
/// Time that a rank may spend on the copies of a round, one after the other.
const COPY_TIME: Duration = Duration::from_millis(300);
/// Most copies of a round for a rank, however short they are.
const MAX_COPIES: usize = 6;
/// Most copies of one layer for a rank in a round.
const MAX_NEW: usize = 2;
/// Part of the skew that a round must take away.
const LEAST_ROUND_GAIN: f64 = 0.05;
/// Silence of rank 0 after which another agent finishes its switch.
const RESCUE_SILENCE: Duration = Duration::from_millis(600);
/// Agents that listen to statuses, by rank: the coordinator and its stand-ins.
pub const STATUS_LISTENERS: u16 = 3;
/// Map numbers are drawn from so many above the highest known.
const NUMBER_SPREAD: u64 = 1 << 20;
/// Weight of the latest counts in the popularity of experts.
const LATEST_WEIGHT: f64 = 0.6;

/// How a rank stands, as its engine says.
#[derive(Clone, Debug, PartialEq)]
pub struct RankReport {
    /// Requests being worked on.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Slowness; over one where the engine is slower than usual.
    pub pace: f64,
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
    pub group: Option<GroupPlace>,
    /// Ranks of the group.
    pub group_size: u16,
}

/// Which experts a rank's requests chose.
#[derive(Clone, Debug, PartialEq)]
pub struct RankUse {
    /// The step up to which it counts.
    pub step: StepNumber,
    /// Forming of the group.
    pub epoch: u64,
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
    fn changes(base: MapNumber, old: &GroupMap, new: &GroupMap) -> Self {
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
    fn apply(&self, known: Option<&(MapNumber, GroupMap)>) -> Option<GroupMap> {
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
    /// All ranks use the map.
    InForce(MapNumber),
    /// A rollout was given up before any rank was armed.
    Abandoned(MapNumber),
    /// The switch of a silent coordinator is being finished.
    Rescue(MapNumber, StepNumber),
    /// The group formed anew.
    Formed(u64),
}

#[derive(Clone, Debug)]
struct ActiveRollout {
    epoch: u64,
    version: MapNumber,
    /// The map; none at an agent that learned of it only after it was prepared.
    map: Option<GroupMap>,
    /// The map that it changes, at the coordinator.
    base: Option<(MapNumber, GroupMap)>,
    /// The step from which on it is used; none before all ranks have prepared it.
    step: Option<StepNumber>,
    begun: Moment,
}

/// What an agent knows of its group and of the rollout in progress.
#[derive(Clone, Debug)]
pub struct RolloutState {
    report: Option<RankReport>,
    layout: Option<ExpertLayout>,
    /// Latest status by rank, with the moment at which it came.
    statuses: BTreeMap<u16, (MemberStatus, Moment)>,
    /// Choices by layer and expert, smoothed.
    loads: Vec<Vec<f64>>,
    fresh_counts: Vec<f64>,
    /// The map that this agent knows for all ranks.
    known: Option<(MapNumber, GroupMap)>,
    active: Option<ActiveRollout>,
    highest: MapNumber,
    last_order: Option<(OrderKind, Moment)>,
    last_message: Option<Moment>,
    /// When an order was last not answered, here or at another rank.
    unanswered_at: Option<Moment>,
    next_round: Moment,
    /// Steps lately, and when they were first seen.
    steps: VecDeque<(StepNumber, Moment)>,
    /// What engines of ranks with silent agents said themselves.
    asked: BTreeMap<u16, (RankReport, Moment)>,
    rng: SmallRng,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OrderKind {
    Prepare(MapNumber),
    Arm(MapNumber, StepNumber),
    Hold(StepNumber),
    Release(StepNumber),
}

impl RolloutState {
    /// An agent that knows nothing.
    pub fn new(rng: SmallRng) -> Self {
        Self {
            report: None,
            layout: None,
            statuses: BTreeMap::new(),
            loads: Vec::new(),
            fresh_counts: Vec::new(),
            known: None,
            active: None,
            highest: MapNumber(0),
            last_order: None,
            last_message: None,
            unanswered_at: None,
            next_round: Moment(0),
            steps: VecDeque::new(),
            asked: BTreeMap::new(),
            rng,
        }
    }

    /// The own rank's place.
    pub fn place(&self) -> Option<&GroupPlace> {
        self.report.as_ref()?.group.as_ref()
    }

    /// Whether a rollout is in progress, so that news are urgent.
    pub fn is_busy(&self) -> bool {
        self.active.is_some()
    }

    /// Takes over how the group's experts may be placed.
    pub fn learn_layout(&mut self, layout: ExpertLayout) {
        self.layout = Some(layout);
    }

    /// Takes over a report of the own engine.
    pub fn learn_report(&mut self, report: RankReport, now: Moment) -> Vec<RolloutEffect> {
        if self.steps.back().is_none_or(|it| it.0 != report.step) {
            self.steps.push_back((report.step, now));
        }
        self.steps.retain(|(_, at)| now.since(*at) < PACE_SPAN);
        let epoch = |it: &RankReport| it.group.as_ref().map(|it| it.epoch);
        let has_formed = self.report.as_ref().and_then(epoch) != epoch(&report);
        let known = [Some(report.map), report.prepared, report.armed.map(|it| it.0)];
        self.highest = known.into_iter().flatten().fold(self.highest, MapNumber::max);
        let formed = epoch(&report);
        self.report = Some(report);
        if !has_formed {
            return Vec::new();
        }
        // What was prepared, armed and held is gone with the earlier forming.
        self.active = None;
        self.known = None;
        self.statuses.clear();
        self.asked.clear();
        self.steps.clear();
        self.last_order = None;
        formed.map(|it| RolloutEffect::Note(RolloutNote::Formed(it))).into_iter().collect()
    }

    /// Takes over what the engine of another rank said itself.
    pub fn learn_answer(&mut self, rank: u16, report: RankReport, now: Moment) {
        let epoch = report.group.as_ref().map(|it| it.epoch);
        if epoch.is_some() && epoch == self.place().map(|it| it.epoch) {
            self.asked.insert(rank, (report, now));
        }
    }

    /// Takes over the status of a rank, the own one included.
    pub fn learn_status(&mut self, status: MemberStatus, now: Moment) {
        if self.place().map(|it| it.epoch) != Some(status.epoch) {
            return;
        }
        self.highest = self.highest.max(status.highest);
        if let Some(sample) = &status.counts {
            self.add_counts(sample);
        }
        self.statuses.insert(status.rank, (status, now));
    }

    fn add_counts(&mut self, sample: &UseSample) {
        if self.fresh_counts.len() != sample.scaled.len() {
            self.fresh_counts = vec![0.0; sample.scaled.len()];
        }
        for (sum, count) in self.fresh_counts.iter_mut().zip(sample.counts()) {
            *sum += count;
        }
    }

    /// What the agent tells the others, with the experts that its rank holds.
    pub fn status(&self, experts: Vec<Vec<u16>>, now: Moment) -> Option<MemberStatus> {
        let report = self.report.as_ref()?;
        let place = report.group.as_ref()?;
        Some(MemberStatus {
            rank: place.rank,
            epoch: place.epoch,
            step: report.step,
            map: report.map,
            prepared: report.prepared,
            armed: report.armed,
            highest: self.highest,
            has_unanswered: self.has_unanswered(now),
            known: self.known.as_ref().map(|it| it.0),
            experts,
            counts: None,
        })
    }

    /// Notes that an order was not answered: it is repeated at once.
    pub fn note_unanswered(&mut self, now: Moment) {
        self.unanswered_at = Some(now);
        self.last_order = None;
    }

    /// Whether an order was not answered lately.
    fn has_unanswered(&self, now: Moment) -> bool {
        self.unanswered_at.is_some_and(|at| now.since(at) < UNANSWERED_MEMORY)
    }

    /// Takes over what the coordinator wants.
    pub fn learn_rollout(&mut self, rollout: MapRollout, now: Moment) {
        if self.place().map(|it| it.epoch) != Some(rollout.epoch) {
            return;
        }
        self.highest = self.highest.max(rollout.version);
        if self.report.as_ref().is_some_and(|it| it.map >= rollout.version) {
            return;
        }
        let map = rollout.map.apply(self.known.as_ref());
        match &mut self.active {
            Some(active) if active.version == rollout.version => {
                active.step = active.step.or(rollout.step);
                active.map = active.map.take().or(map);
            }
            // Only an agent without a step may be given another map.
            Some(active) if active.step.is_some() || active.version > rollout.version => {}
            Some(_) | None => {
                let MapRollout { epoch, version, step, .. } = rollout;
                self.active =
                    Some(ActiveRollout { epoch, version, map, base: None, step, begun: now });
            }
        }
    }

    /// Closes an interval of counts: what came in is blended into the popularity of the experts.
    pub fn close_interval(&mut self) {
        let Some(layout) = self.layout else { return };
        if self.fresh_counts.len() != layout.layers * layout.experts {
            return;
        }
        let total: f64 = self.fresh_counts.iter().sum();
        if total <= 0.0 {
            return;
        }
        let fresh: Vec<Vec<f64>> =
            self.fresh_counts.chunks(layout.experts).map(<[f64]>::to_vec).collect();
        if self.loads.len() != fresh.len() {
            self.loads = fresh;
        } else {
            for (old, new) in self.loads.iter_mut().flatten().zip(fresh.iter().flatten()) {
                *old += (new - *old) * LATEST_WEIGHT;
            }
        }
        self.fresh_counts.iter_mut().for_each(|it| *it = 0.0);
    }

    /// The group's skew under the present popularity.
    pub fn skew(&self) -> Option<f64> {
        Some(group_skew(&self.group_map()?, &self.loads))
    }

    /// Says what is to be done now.
    pub fn settle(&mut self, now: Moment) -> Vec<RolloutEffect> {
        let Some(report) = self.report.clone() else { return Vec::new() };
        let Some(place) = report.group.clone().filter(|it| it.is_open) else { return Vec::new() };
        let mut effects = Vec::new();
        if let Some(active) = self.active.take_if(|it| report.map >= it.version) {
            let version = active.version;
            if report.map == version {
                self.known = active.map.map(|it| (version, it));
            }
            effects.push(RolloutEffect::Note(RolloutNote::InForce(version)));
        }
        effects.extend(self.follow_orders(&report, now));
        if place.rank == 0 {
            effects.extend(self.coordinate(&report, &place, now));
        } else {
            effects.extend(self.stand_in(&report, &place, now));
        }
        effects
    }

    /// Brings the own rank to where the rollout wants it.
    fn follow_orders(&mut self, report: &RankReport, now: Moment) -> Option<RolloutEffect> {
        let active = self.active.as_ref()?;
        let version = active.version;
        match active.step {
            None if report.prepared == Some(version) => None,
            None => {
                let map = active.map.clone()?;
                self.order(OrderKind::Prepare(version), RankOrder::Prepare { version, map }, now)
            }
            Some(step) if report.armed == Some((version, step)) => None,
            Some(step) if report.step >= step => None,
            Some(step) => {
                self.order(OrderKind::Arm(version, step), RankOrder::Arm { version, step }, now)
            }
        }
    }

    /// Gives an order, and repeats it at intervals while its effect does not show.
    fn order(&mut self, kind: OrderKind, order: RankOrder, now: Moment) -> Option<RolloutEffect> {
        let pause = match kind {
            OrderKind::Prepare(_) => PREPARE_PAUSE,
            OrderKind::Arm(..) | OrderKind::Hold(_) | OrderKind::Release(_) => ORDER_PAUSE,
        };
        let is_early =
            self.last_order.is_some_and(|(last, at)| last == kind && now.since(at) < pause);
        if is_early {
            return None;
        }
        self.last_order = Some((kind, now));
        Some(RolloutEffect::Order(order))
    }

    fn coordinate(
        &mut self,
        report: &RankReport,
        place: &GroupPlace,
        now: Moment,
    ) -> Vec<RolloutEffect> {
        if let Some(step) = report.held.filter(|it| *it > report.step) {
            return self.finish_switch(report, place, step, now);
        }
        let Some(active) = self.active.clone() else { return self.begin_round(report, place, now) };
        if active.step.is_some() {
            // Let go: the map comes into force with the step, which may be a while if there is no
            // work. Until then nothing new is begun.
            return self.broadcast(now);
        }
        let is_prepared = |it: &MemberStatus| it.prepared == Some(active.version);
        if self.all_within(HOLD_FRESHNESS, report, now, is_prepared) {
            let is_unsure =
                self.has_unanswered(now) || self.statuses.values().any(|(it, _)| it.has_unanswered);
            let step = StepNumber(report.step.0 + self.steps_ahead(report.group_size, is_unsure));
            return self
                .order(OrderKind::Hold(step), RankOrder::Hold(step), now)
                .into_iter()
                .collect();
        }
        if now.since(active.begun) > PREPARE_LIMIT {
            self.active = None;
            return vec![RolloutEffect::Note(RolloutNote::Abandoned(active.version))];
        }
        self.broadcast(now)
    }

    /// Steps that the group begins while its ranks are armed.
    fn steps_ahead(&self, group_size: u16, is_unsure: bool) -> u64 {
        let factor = if is_unsure { UNANSWERED_FACTOR } else { 1 };
        let needed = (ARM_TIME + ARM_TIME_PER_RANK * u32::from(group_size)) * factor;
        let step = match (self.steps.front(), self.steps.back()) {
            (Some((first, begun)), Some((last, ended))) if last > first => {
                let count = u32::try_from(last.0 - first.0).unwrap_or(u32::MAX);
                ended.since(*begun) / count
            }
            (None | Some(_), None | Some(_)) => USUAL_STEP,
        };
        let steps = needed.as_secs_f64() / step.as_secs_f64().max(f64::MIN_POSITIVE);
        (steps.ceil() as u64 + 1).clamp(*STEPS_AHEAD.start(), *STEPS_AHEAD.end())
    }

    /// Rank 0 holds a step: arm all ranks, then let go.
    fn finish_switch(
        &mut self,
        report: &RankReport,
        place: &GroupPlace,
        step: StepNumber,
        now: Moment,
    ) -> Vec<RolloutEffect> {
        let Some(version) = self.version_at(report, step, now) else {
            // Statuses are missing, or a map is still being prepared.
            return self.broadcast(now);
        };
        let known = self.active.as_ref().map(|it| (it.version, it.step));
        if known != Some((version, Some(step))) {
            let map = self.active.take().filter(|it| it.version == version).and_then(|it| it.map);
            self.active = Some(ActiveRollout {
                epoch: place.epoch,
                version,
                map,
                base: None,
                step: Some(step),
                begun: now,
            });
            self.last_message = None;
        }
        if report.armed != Some((version, step)) {
            let mut effects: Vec<RolloutEffect> =
                self.follow_orders(report, now).into_iter().collect();
            effects.extend(self.broadcast(now));
            return effects;
        }
        let Some(mut effects) = self.arm_others(report, place.rank, (version, step), now) else {
            let release = RankOrder::Release(step);
            return self.order(OrderKind::Release(step), release, now).into_iter().collect();
        };
        effects.extend(self.broadcast(now));
        effects
    }

    /// What is to be done for ranks that are not armed and whose agents are silent; none where all
    /// ranks but `own` are armed.
    fn arm_others(
        &mut self,
        report: &RankReport,
        own: u16,
        armed: (MapNumber, StepNumber),
        now: Moment,
    ) -> Option<Vec<RolloutEffect>> {
        let (version, step) = armed;
        let mut is_complete = true;
        let mut effects = Vec::new();
        for rank in (0..report.group_size).filter(|it| *it != own) {
            let status = self.statuses.get(&rank);
            let silence = status.map_or(RESCUE_SILENCE, |(_, at)| now.since(*at));
            if status.is_some_and(|(it, _)| it.armed == Some(armed)) {
                // What is armed stays armed up to its step.
                continue;
            }
            is_complete = false;
            if silence < RESCUE_SILENCE {
                continue;
            }
            // One order for each report: the next report shows its effect.
            match self.asked.remove(&rank).filter(|(_, at)| now.since(*at) < STATUS_LIFE) {
                Some((asked, _)) if asked.armed == Some(armed) => {
                    self.note_armed(rank, &asked);
                }
                Some(_) => {
                    effects.push(RolloutEffect::OrderRank(rank, RankOrder::Arm { version, step }));
                }
                None => effects.push(RolloutEffect::AskRank(rank)),
            }
        }
        (!is_complete).then_some(effects)
    }

    /// Keeps what an engine said itself as the status of its rank.
    fn note_armed(&mut self, rank: u16, asked: &RankReport) {
        let Some((status, _)) = self.statuses.get_mut(&rank) else { return };
        status.armed = asked.armed;
    }

    /// The map that is to be used from a held step on: the one that ranks are armed with, else the
    /// one that all have prepared.
    fn version_at(&self, report: &RankReport, step: StepNumber, now: Moment) -> Option<MapNumber> {
        if let Some(active) = self.active.as_ref().filter(|it| it.step == Some(step)) {
            return Some(active.version);
        }
        let armed =
            |it: Option<(MapNumber, StepNumber)>| it.filter(|it| it.1 == step).map(|it| it.0);
        let others = self.statuses.values().filter_map(|(it, _)| armed(it.armed));
        if let Some(version) = armed(report.armed).into_iter().chain(others).next() {
            return Some(version);
        }
        let version = report.prepared?;
        self.all_fresh(report, now, |it| it.prepared == Some(version)).then_some(version)
    }

    /// Whether fresh statuses of all ranks meet a condition, the own report included.
    fn all_fresh(
        &self,
        report: &RankReport,
        now: Moment,
        holds: impl Fn(&MemberStatus) -> bool,
    ) -> bool {
        self.all_within(STATUS_LIFE, report, now, holds)
    }

    fn all_within(
        &self,
        age: Duration,
        report: &RankReport,
        now: Moment,
        holds: impl Fn(&MemberStatus) -> bool,
    ) -> bool {
        let is_met = |rank| {
            let status = self.statuses.get(&rank);
            status.is_some_and(|(it, at)| now.since(*at) < age && holds(it))
        };
        report.group_size > 0 && (0..report.group_size).all(is_met)
    }

    /// Tells the ranks that have not come as far as the rollout wants them. A whole map is long and
    /// goes only to agents that do not know the one that it changes.
    fn broadcast(&mut self, now: Moment) -> Vec<RolloutEffect> {
        let is_early = self.last_message.is_some_and(|at| now.since(at) < MESSAGE_PAUSE);
        let (Some(active), Some(report)) = (&self.active, &self.report) else { return Vec::new() };
        if is_early {
            return Vec::new();
        }
        self.last_message = Some(now);
        let own = report.group.as_ref().map(|it| it.rank);
        let (mut informed, mut uninformed) = (Vec::new(), Vec::new());
        for rank in (0..report.group_size).filter(|it| Some(*it) != own) {
            let status = self.statuses.get(&rank).map(|it| &it.0);
            let is_done = status.is_some_and(|it| match active.step {
                None => it.prepared == Some(active.version),
                Some(step) => it.armed == Some((active.version, step)),
            });
            let base = active.base.as_ref().map(|it| it.0);
            let is_informed = active.step.is_some()
                || status.is_some_and(|it| base.is_some() && it.known == base);
            match (is_done, is_informed) {
                (true, _) => {}
                (false, true) => informed.push(rank),
                (false, false) => uninformed.push(rank),
            }
        }
        let message = |map: MapNews| {
            let ActiveRollout { epoch, version, step, .. } = *active;
            MapRollout { epoch, version, map, step }
        };
        let mut effects = Vec::new();
        if !informed.is_empty() {
            let news = match (active.step, &active.base, &active.map) {
                (None, Some((base, old)), Some(new)) => MapNews::changes(*base, old, new),
                (Some(_), _, _) | (None, _, _) => MapNews::Nothing,
            };
            effects.push(RolloutEffect::Broadcast(informed, message(news)));
        }
        if let Some(map) = active.map.clone().filter(|_| !uninformed.is_empty()) {
            uninformed.truncate(MAX_WHOLE_MAPS);
            effects.push(RolloutEffect::Broadcast(uninformed, message(MapNews::Whole(map))));
        }
        effects
    }

    fn begin_round(
        &mut self,
        report: &RankReport,
        place: &GroupPlace,
        now: Moment,
    ) -> Vec<RolloutEffect> {
        let Some(layout) = self.layout else { return Vec::new() };
        if now < self.next_round || report.armed.is_some() {
            return Vec::new();
        }
        let same_map = |it: &MemberStatus| it.map == report.map && it.armed.is_none();
        if !self.all_fresh(report, now, same_map) || self.loads.is_empty() {
            return Vec::new();
        }
        self.next_round = now.after(ROUND_PAUSE);
        let Some(map) = self.group_map() else { return Vec::new() };
        let settings = RoundSettings {
            rank_slots: layout.rank_slots,
            max_new: layout.max_new.min(MAX_NEW),
            max_copies: max_copies(&layout),
            ..RoundSettings::default()
        };
        let Some(round) = plan_round(&map, &self.loads, &settings) else { return Vec::new() };
        // A round in progress delays the answer to the next shift of popularity.
        if round.skew_before - round.skew_after < LEAST_ROUND_GAIN * round.skew_before {
            return Vec::new();
        }
        let version = MapNumber(self.highest.0 + 1 + self.rng.random_range(0..NUMBER_SPREAD));
        self.highest = version;
        self.active = Some(ActiveRollout {
            epoch: place.epoch,
            version,
            map: Some(round.map),
            base: Some((report.map, map)),
            step: None,
            begun: now,
        });
        self.last_message = None;
        let thousandths = |it: f64| (it * 1_000.0).round() as u32;
        let note = RolloutNote::Planned {
            version,
            copies: round.copies,
            skew_before: thousandths(round.skew_before),
            skew_after: thousandths(round.skew_after),
        };
        let mut effects = vec![RolloutEffect::Note(note)];
        effects.extend(self.broadcast(now));
        effects
    }

    /// The map in use, from what each rank says that it holds.
    fn group_map(&self) -> Option<GroupMap> {
        let layout = self.layout?;
        let size = self.report.as_ref()?.group_size;
        let mut map: GroupMap = vec![Vec::new(); layout.layers];
        for rank in 0..size {
            let (status, _) = self.statuses.get(&rank)?;
            if status.experts.len() != layout.layers {
                return None;
            }
            for (ranks, experts) in map.iter_mut().zip(&status.experts) {
                ranks.push(experts.clone());
            }
        }
        Some(map)
    }

    /// Finishes the switch of a coordinator that is silent while its rank holds the group.
    fn stand_in(
        &mut self,
        report: &RankReport,
        place: &GroupPlace,
        now: Moment,
    ) -> Vec<RolloutEffect> {
        let is_silent = |rank: u16| {
            self.statuses.get(&rank).is_none_or(|(_, at)| now.since(*at) > RESCUE_SILENCE)
        };
        let is_next = place.rank < STATUS_LISTENERS && (0..place.rank).all(is_silent);
        let Some(active) = self.active.clone().filter(|_| is_next) else { return Vec::new() };
        let version = active.version;
        let asked = self.asked.get(&0).filter(|(_, at)| now.since(*at) < STATUS_LIFE);
        let Some((first, _)) = asked.cloned() else { return vec![RolloutEffect::AskRank(0)] };
        let Some(step) = first.held.filter(|it| *it > first.step) else {
            // Nothing is held: the coordinator goes on when it is back.
            if active.step.is_none() && now.since(active.begun) > PREPARE_LIMIT {
                self.active = None;
            }
            self.asked.remove(&0);
            return Vec::new();
        };
        let has_prepared = |rank: u16| {
            let status = self.statuses.get(&rank).map(|it| &it.0);
            let at_step = Some((version, step));
            status.is_some_and(|it| it.prepared == Some(version) || it.armed == at_step)
        };
        let is_known = active.step == Some(step) || first.armed == Some((version, step));
        if !is_known && !(1..report.group_size).all(has_prepared) {
            return Vec::new();
        }
        let mut effects = vec![RolloutEffect::Note(RolloutNote::Rescue(version, step))];
        self.active = Some(ActiveRollout { step: Some(step), ..active });
        effects.extend(self.broadcast(now));
        effects.extend(self.follow_orders(report, now));
        if report.armed != Some((version, step)) {
            return effects;
        }
        match self.arm_others(report, place.rank, (version, step), now) {
            Some(more) => effects.extend(more),
            None => effects.push(RolloutEffect::OrderRank(0, RankOrder::Release(step))),
        }
        effects
    }
}

/// Copies that a round may bring to a rank.
fn max_copies(layout: &ExpertLayout) -> usize {
    let copies = COPY_TIME.as_secs_f64() / layout.copy_seconds.max(f64::MIN_POSITIVE);
    (copies as usize).clamp(1, MAX_COPIES)
}
