//! Bringing a new map into force on all ranks of a group at the same step.
//!
//! Ranks do not compare maps, so the order of commands alone must see to it that no step begins on
//! two maps. One agent coordinates: that of rank 0. Another can only finish what it began.
//!
//! 1. *Prepare*: every rank copies the experts that are new to it.
//! 2. Once all ranks have prepared the map, the coordinator has its own rank hold a step that lies
//!    ahead. No rank begins that step until rank 0 is let go. The order is given by an agent of another
//!    group where there is one: a VM that stops right after it then holds up nobody.
//! 3. *Arm*: every rank is told to use the map from that step on.
//! 4. Once all ranks are armed, rank 0 is let go.
//!
//! Nothing is ever taken back after step 2: an order whose answer was lost may be carried out
//! seconds later, so that to undo one arm would race another. Whoever finds rank 0 holding a step
//! arms all ranks with the prepared map and lets go then, however often. Map numbers are never used
//! twice, also by a coordinator that has forgotten earlier ones.

mod coordinator;
mod messages;
mod stand_in;

pub use messages::{
    MapNews, MapRollout, MemberStatus, RankOrder, RankReport, RankUse, RolloutEffect, RolloutNote,
    UseSample,
};

use std::{collections::BTreeMap, time::Duration};

use rand::rngs::SmallRng;

use super::{GroupMap, MapNumber, StepNumber, group_skew};
use crate::{
    routing::{ExpertLayout, GroupMembership},
    units::Moment,
};

/// Age from which a status says nothing any more.
const STATUS_LIFE: Duration = Duration::from_millis(700);
/// How long an order without an answer is remembered.
const UNANSWERED_MEMORY: Duration = Duration::from_secs(4);
/// Pause before an order is repeated whose effect does not show.
const ORDER_PAUSE: Duration = Duration::from_millis(60);
/// Pause before a prepare is repeated; copies take longer than other orders.
const PREPARE_PAUSE: Duration = Duration::from_millis(900);
/// Time after which a rollout that is not prepared everywhere is replaced by another.
const PREPARE_LIMIT: Duration = Duration::from_secs(6);
/// Silence of rank 0 after which another agent finishes its switch.
const RESCUE_SILENCE: Duration = Duration::from_millis(300);
/// Agents that listen to statuses, by rank: the coordinator and its stand-ins.
pub const STATUS_LISTENERS: u16 = 3;
/// Weight of the latest counts in the popularity of experts, while it drifts.
const LATEST_WEIGHT: f64 = 0.4;
/// Distance between the latest counts and the popularity known (total variation, from 0 to 1) from
/// which the popularity has shifted: what was known before says nothing any more.
const SHIFT_DISTANCE: f64 = 0.15;
/// Intervals that are waited for after a shift before a map is planned: the one in which it fell
/// mixes old and new popularity.
const SETTLING_INTERVALS: u32 = 1;

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
    /// Intervals still to be waited for after a shift of popularity.
    settling: u32,
    /// The map that this agent knows for all ranks.
    known: Option<(MapNumber, GroupMap)>,
    active: Option<ActiveRollout>,
    highest: MapNumber,
    last_order: Option<(OrderKind, Moment)>,
    last_message: Option<Moment>,
    /// When an order was last not answered, here or at another rank.
    unanswered_at: Option<Moment>,
    next_round: Moment,
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
            settling: 0,
            known: None,
            active: None,
            highest: MapNumber(0),
            last_order: None,
            last_message: None,
            unanswered_at: None,
            next_round: Moment(0),
            asked: BTreeMap::new(),
            rng,
        }
    }

    /// The own rank's place.
    pub fn place(&self) -> Option<&GroupMembership> {
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
    pub fn learn_report(&mut self, report: RankReport) -> Vec<RolloutEffect> {
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
        if self.fresh_counts.len() != sample.experts() {
            self.fresh_counts = vec![0.0; sample.experts()];
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

    /// Closes an interval of counts: what came in is blended into the popularity of the experts, or
    /// replaces it after a shift.
    pub fn close_interval(&mut self) -> Option<RolloutEffect> {
        let layout = self.layout?;
        // The counts of all ranks come to the coordinator alone.
        let is_whole = self.fresh_counts.len() == layout.layers * layout.experts;
        if self.place()?.rank != 0 || !is_whole {
            return None;
        }
        let fresh = popularity(&self.fresh_counts, layout.experts)?;
        self.fresh_counts.iter_mut().for_each(|it| *it = 0.0);
        if self.loads.len() != fresh.len() {
            self.loads = fresh;
            return None;
        }
        let distance = distance(&self.loads, &fresh);
        if distance < SHIFT_DISTANCE {
            self.settling = 0;
            for (old, new) in self.loads.iter_mut().flatten().zip(fresh.iter().flatten()) {
                *old += (new - *old) * LATEST_WEIGHT;
            }
            return None;
        }
        self.loads = fresh;
        // The second interval of one shift differs from the first, too.
        if self.settling > 0 {
            self.settling -= 1;
            return None;
        }
        self.settling = SETTLING_INTERVALS;
        let distance = thousandths(distance);
        Some(RolloutEffect::Note(RolloutNote::Shifted { distance }))
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
        self.is_due(kind, now).then_some(RolloutEffect::Order(order))
    }

    /// Whether an order is to be given now: at once, and at intervals while its effect does not show.
    fn is_due(&mut self, kind: OrderKind, now: Moment) -> bool {
        let pause = match kind {
            OrderKind::Prepare(_) => PREPARE_PAUSE,
            OrderKind::Arm(..) | OrderKind::Hold(_) | OrderKind::Release(_) => ORDER_PAUSE,
        };
        let is_early =
            self.last_order.is_some_and(|(last, at)| last == kind && now.since(at) < pause);
        if !is_early {
            self.last_order = Some((kind, now));
        }
        !is_early
    }
}

/// Shares of each layer's choices, from counts of all layers; none without choices.
fn popularity(counts: &[f64], experts: usize) -> Option<Vec<Vec<f64>>> {
    let shares = |layer: &[f64]| {
        let total: f64 = layer.iter().sum();
        (total > 0.0).then(|| layer.iter().map(|it| it / total).collect())
    };
    counts.chunks(experts).map(shares).collect()
}

/// Mean over the layers of the total variation distance between two popularities.
fn distance(old: &[Vec<f64>], new: &[Vec<f64>]) -> f64 {
    let changes = old.iter().flatten().zip(new.iter().flatten()).map(|(a, b)| (a - b).abs());
    changes.sum::<f64>() / 2.0 / old.len().max(1) as f64
}

fn thousandths(value: f64) -> u32 {
    (value * 1_000.0).round() as u32
}
