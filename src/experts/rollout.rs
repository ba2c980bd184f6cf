//! Rollout of a new map: all ranks of a group switch to it at the same step.
//!
//! Ranks do not compare maps, so only the sequence of orders guarantees that no step runs with two
//! different maps. The agent of rank 0 is the coordinator. A substitute can only finish a switch
//! that the coordinator has started.
//!
//! 1. *Prepare*: every rank copies the experts that are new to it.
//! 2. *Hold*: once all ranks have prepared the map, the coordinator has its own rank hold a future
//!    step. No rank can start that step until rank 0 is released. An agent of another group sends
//!    the order if there is one, so that a coordinator VM that stops right after the order does not
//!    block its group.
//! 3. *Arm*: every rank is ordered to use the map from that step on.
//! 4. *Release*: once all ranks are armed, rank 0 is released.
//!
//! No order is revoked once rank 0 holds: an order whose answer was lost may be executed seconds
//! later, so revoking one arm order would race with another. An agent that finds rank 0 holding a
//! step arms all ranks with the prepared map and then releases rank 0. Orders are idempotent, so
//! this may happen repeatedly. Map versions must not be reused, even by a coordinator that has
//! restarted without any record of earlier ones, so they are drawn at random from a wide range.
//!
//! Before a hold was requested, a shift of popularity abandons the rollout: its map is of no use any
//! more, and the ranks drop it when they prepare the next. After that the rollout is finished.

mod coordinator;
mod messages;
mod pace;
mod relay;
mod sampling;
mod takeover;

pub use messages::{
    ExpertUsage, MapRollout, MapUpdate, MemberStatus, RankOrder, RankPace, RankReport,
    RolloutEffect, RolloutEvent, UsageSample,
};
pub use relay::relay_children;
pub use sampling::{SampleAction, SampleSchedule};

use std::{collections::BTreeMap, time::Duration};

use rand::rngs::SmallRng;

use self::pace::StepPace;
use super::{GroupMap, MapVersion, StepNumber, group_skew};
use crate::{
    routing::{ExpertLayout, GroupMembership},
    units::Moment,
};

/// Age at which a status expires.
const STATUS_TTL: Duration = Duration::from_millis(700);
/// Time for which an unanswered order makes later switches more cautious.
const UNANSWERED_WINDOW: Duration = Duration::from_secs(4);
/// Interval at which an order is repeated while reports do not show its effect.
const ORDER_RETRY_INTERVAL: Duration = Duration::from_millis(60);
/// Interval at which a prepare order is repeated; copies take longer than other orders.
const PREPARE_RETRY_INTERVAL: Duration = Duration::from_millis(900);
/// Time after which a rollout that not all ranks have prepared is abandoned in favour of another.
const PREPARE_TIMEOUT: Duration = Duration::from_secs(6);
/// Time without a status after which an agent counts as silent, so that another agent acts for it.
const AGENT_SILENCE_TIMEOUT: Duration = Duration::from_millis(300);
/// Number of lowest ranks whose agents can coordinate: rank 0 and its substitutes. All agents of a
/// group send them their statuses.
pub const COORDINATOR_CANDIDATES: u16 = 3;
/// Weight of the latest interval in the exponentially smoothed popularity, while it only drifts.
const SMOOTHING_FACTOR: f64 = 0.4;
/// Total variation distance (0 to 1) between latest and smoothed popularity from which on it counts
/// as a shift, and the history is discarded.
const SHIFT_THRESHOLD: f64 = 0.15;
/// Time after a map has come into use until the next round is planned. Copies of rounds that follow
/// at once cost more than they gain.
const ACTIVATION_PAUSE: Duration = Duration::from_millis(250);
/// Minimum number of choices per expert in an interval. With fewer, chance looks like a shift.
const MIN_CHOICES_PER_EXPERT: f64 = 20.0;
/// Number of further intervals to wait for after a shift before a map is planned. The interval in
/// which the shift occurs mixes old and new popularity.
const SETTLING_INTERVALS: u32 = 1;
/// Time that a rank may spend on the copies of the first round after a shift of popularity.
const RELIEF_COPY_BUDGET: Duration = Duration::from_millis(100);

/// The rollout in progress, as one agent knows it.
#[derive(Clone, Debug)]
struct RolloutProgress {
    epoch: u64,
    version: MapVersion,
    /// The new map; `None` if the agent has not received its content.
    map: Option<GroupMap>,
    /// The map that the rollout replaces; set only at the coordinator that planned it.
    base: Option<(MapVersion, GroupMap)>,
    /// First step that uses the map; `None` until all ranks have prepared it.
    step: Option<StepNumber>,
    started_at: Moment,
    /// When the coordinator sent the map over the relay tree; `None` before that.
    relayed_at: Option<Moment>,
    /// The step that this agent last requested a hold of. The order may be executed much later.
    requested_step: Option<StepNumber>,
    /// Whether this is the first round after a shift of popularity.
    is_relief: bool,
}

impl RolloutProgress {
    /// Whether another rollout can still take the place of this one: no rank is armed or about to
    /// be.
    fn is_replaceable(&self) -> bool {
        self.step.is_none()
    }
}

/// State machine of one agent: its view of the group and of the rollout in progress.
///
/// The `handle_` methods update the view; [`Self::reconcile`] returns the effects that are due.
#[derive(Clone, Debug)]
pub struct RolloutState {
    /// Latest report of the agent's own engine.
    report: Option<RankReport>,
    layout: Option<ExpertLayout>,
    /// Latest status and its time of receipt, by rank.
    statuses: BTreeMap<u16, (MemberStatus, Moment)>,
    /// Smoothed popularity by layer, then by expert: the fraction of the layer's choices.
    popularity: Vec<Vec<f64>>,
    /// Choices counted in the current interval, by layer, then by expert.
    interval_counts: Vec<f64>,
    /// Remaining intervals to wait for after a shift of popularity.
    settling_intervals: u32,
    /// Whether the next round is the first one after a shift of popularity.
    is_relief_due: bool,
    /// The rollout abandoned last. Most agents that have its map also have the one that it was to
    /// replace; one that lacks it reports so, and gets the full map.
    superseded: Option<MapVersion>,
    pace: StepPace,
    /// Latest map that this agent has in full, for all ranks.
    known_map: Option<(MapVersion, GroupMap)>,
    active: Option<RolloutProgress>,
    highest_version: MapVersion,
    /// Last order to the agent's own engine and when it was sent.
    last_order: Option<(OrderKind, Moment)>,
    last_broadcast_at: Option<Moment>,
    /// When an order of this agent, to any engine, last got no answer.
    unanswered_at: Option<Moment>,
    next_round_at: Moment,
    /// Unused reports polled from engines whose agents are silent, with their time of receipt, by
    /// rank.
    polled_reports: BTreeMap<u16, (RankReport, Moment)>,
    rng: SmallRng,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OrderKind {
    Prepare(MapVersion),
    Arm(MapVersion, StepNumber),
    Hold(StepNumber),
    Release(StepNumber),
}

impl RolloutState {
    /// Creates the state of an agent that has just started. `rng` draws the map versions.
    pub fn new(rng: SmallRng) -> Self {
        Self {
            report: None,
            layout: None,
            statuses: BTreeMap::new(),
            popularity: Vec::new(),
            interval_counts: Vec::new(),
            settling_intervals: 0,
            is_relief_due: false,
            superseded: None,
            pace: StepPace::new(),
            known_map: None,
            active: None,
            highest_version: MapVersion(0),
            last_order: None,
            last_broadcast_at: None,
            unanswered_at: None,
            next_round_at: Moment(0),
            polled_reports: BTreeMap::new(),
            rng,
        }
    }

    /// Returns the place of this agent's rank in its group, or `None` before the first report or
    /// without a group.
    pub fn place(&self) -> Option<&GroupMembership> {
        self.report.as_ref()?.group.as_ref()
    }

    /// Whether a rollout is in progress or due, so that messages need prompt handling.
    pub fn is_rolling_out(&self) -> bool {
        self.active.is_some() || self.is_relief_due
    }

    /// Sets the limits on the placement of the group's experts.
    pub fn set_layout(&mut self, layout: ExpertLayout) {
        self.layout = Some(layout);
    }

    /// Handles a report of the agent's own engine. Resets the rollout if the group has formed anew.
    pub fn handle_report(&mut self, report: RankReport) -> Vec<RolloutEffect> {
        let epoch = |it: &RankReport| it.group.as_ref().map(|it| it.epoch);
        let has_new_epoch = self.report.as_ref().and_then(epoch) != epoch(&report);
        let versions = [Some(report.map), report.prepared, report.armed.map(|it| it.0)];
        self.highest_version =
            versions.into_iter().flatten().fold(self.highest_version, MapVersion::max);
        let new_epoch = epoch(&report);
        self.report = Some(report);
        if !has_new_epoch {
            return Vec::new();
        }
        // Ranks lose what they have prepared, armed and held when their group forms anew.
        self.active = None;
        self.known_map = None;
        self.statuses.clear();
        self.polled_reports.clear();
        self.last_order = None;
        new_epoch.map(|it| RolloutEffect::Log(RolloutEvent::GroupFormed(it))).into_iter().collect()
    }

    /// Handles a report polled from the engine of another rank. Ignored if the epochs differ.
    pub fn handle_peer_report(&mut self, rank: u16, report: RankReport, now: Moment) {
        let epoch = report.group.as_ref().map(|it| it.epoch);
        if epoch.is_some() && epoch == self.place().map(|it| it.epoch) {
            self.polled_reports.insert(rank, (report, now));
        }
    }

    /// Handles the status of any rank, including this agent's. Ignored if the epochs differ.
    pub fn handle_status(&mut self, mut status: MemberStatus, now: Moment) {
        if self.place().map(|it| it.epoch) != Some(status.epoch) {
            return;
        }
        self.highest_version = self.highest_version.max(status.highest);
        if let Some(sample) = &status.counts {
            self.add_counts(sample);
        }
        let previous = self.statuses.remove(&status.rank).map(|it| it.0);
        // Most statuses omit the experts, which change with the map only.
        if let Some(previous) = previous.filter(|it| it.map == status.map)
            && status.experts.is_empty()
        {
            status.experts = previous.experts;
        }
        self.statuses.insert(status.rank, (status, now));
    }

    fn add_counts(&mut self, sample: &UsageSample) {
        if self.interval_counts.len() != sample.experts() {
            self.interval_counts = vec![0.0; sample.experts()];
        }
        for (sum, count) in self.interval_counts.iter_mut().zip(sample.counts()) {
            *sum += count;
        }
    }

    /// Returns the agent's own status without counts, or `None` before the first report or without
    /// a group.
    ///
    /// `experts` are the experts of the rank by layer, empty if unknown.
    pub fn status(&self, experts: Vec<Vec<u16>>, now: Moment) -> Option<MemberStatus> {
        let report = self.report.as_ref()?;
        let place = report.group.as_ref()?;
        let new_map = self.active.as_ref().filter(|it| it.map.is_some()).map(|it| it.version);
        Some(MemberStatus {
            rank: place.rank,
            epoch: place.epoch,
            step: report.step,
            map: report.map,
            prepared: report.prepared,
            armed: report.armed,
            highest: self.highest_version,
            has_unanswered: self.has_unanswered(now),
            known: new_map.or(self.known_map.as_ref().map(|it| it.0)),
            experts,
            counts: None,
            pace: report.pace,
        })
    }

    /// Records that an order got no answer, so that the next call of [`Self::reconcile`] repeats it
    /// at once.
    pub fn record_unanswered(&mut self, now: Moment) {
        self.unanswered_at = Some(now);
        self.last_order = None;
    }

    /// Whether an order got no answer within the last [`UNANSWERED_WINDOW`].
    fn has_unanswered(&self, now: Moment) -> bool {
        self.unanswered_at.is_some_and(|at| now.since(at) < UNANSWERED_WINDOW)
    }

    /// Handles a rollout message of the coordinator. Ignored if the epochs differ, or if the map or
    /// a later one is already in use.
    pub fn handle_rollout(&mut self, rollout: MapRollout, now: Moment) {
        if self.place().map(|it| it.epoch) != Some(rollout.epoch) {
            return;
        }
        self.highest_version = self.highest_version.max(rollout.version);
        if self.report.as_ref().is_some_and(|it| it.map >= rollout.version) {
            return;
        }
        let map = rollout.map.apply(self.known_map.as_ref());
        match &mut self.active {
            Some(active) if active.version == rollout.version => {
                active.step = active.step.or(rollout.step);
                active.map = active.map.take().or(map);
            }
            // Once a step is set, the rollout can no longer be replaced by another.
            Some(active) if !active.is_replaceable() || active.version > rollout.version => {}
            Some(_) | None => {
                let MapRollout { epoch, version, step, .. } = rollout;
                self.active = Some(RolloutProgress {
                    epoch,
                    version,
                    map,
                    base: None,
                    step,
                    started_at: now,
                    relayed_at: None,
                    requested_step: None,
                    is_relief: false,
                });
            }
        }
    }

    /// Returns the ranks to which this agent forwards a relayed rollout message; none if the epochs
    /// differ.
    pub fn relay_targets(&self, rollout: &MapRollout) -> Vec<u16> {
        let Some(report) = &self.report else { return Vec::new() };
        let place = report.group.as_ref().filter(|it| it.epoch == rollout.epoch);
        place.map_or_else(Vec::new, |it| relay_children(it.rank, report.group_size))
    }

    /// Whether a held step can be released as soon as this agent's own rank is armed: all other
    /// ranks are armed for the step of the rollout in progress.
    pub fn are_others_armed(&self) -> bool {
        let (Some(active), Some(report)) = (&self.active, &self.report) else { return false };
        let Some(step) = active.step else { return false };
        let own_rank = report.group.as_ref().map(|it| it.rank);
        let is_armed = |rank: u16| {
            let status = self.statuses.get(&rank);
            status.is_some_and(|(it, _)| it.armed == Some((active.version, step)))
        };
        (0..report.group_size).filter(|it| Some(*it) != own_rank).all(is_armed)
    }

    /// Closes a sampling interval at the coordinator: blends its counts into the smoothed
    /// popularity, or replaces the popularity after a shift. A shift abandons the rollout in
    /// progress if no hold was requested for it. Returns the events to log. An interval with too
    /// few choices is continued.
    pub fn close_interval(&mut self) -> Vec<RolloutEffect> {
        let Some(distance) = self.blend_interval() else { return Vec::new() };
        let distance = to_milli(distance);
        let shifted = RolloutEffect::Log(RolloutEvent::PopularityShifted { distance });
        let has_quick_copies = self.has_quick_copies();
        let superseded = self
            .active
            .take_if(|it| has_quick_copies && it.requested_step.is_none() && it.is_replaceable());
        self.superseded = superseded.as_ref().map(|it| it.version).or(self.superseded);
        let superseded = superseded.map(|it| RolloutEvent::Superseded(it.version));
        [shifted].into_iter().chain(superseded.map(RolloutEffect::Log)).collect()
    }

    /// Closes a sampling interval; returns the distance between old and new popularity if it has
    /// just shifted.
    fn blend_interval(&mut self) -> Option<f64> {
        let layout = self.layout?;
        // Only the coordinator receives the counts of all ranks.
        let is_complete = self.interval_counts.len() == layout.layers * layout.experts;
        let choices: f64 = self.interval_counts.iter().sum();
        let has_enough = choices >= MIN_CHOICES_PER_EXPERT * self.interval_counts.len() as f64;
        if self.place()?.rank != 0 || !is_complete || !has_enough {
            return None;
        }
        let fresh = popularity(&self.interval_counts, layout.experts)?;
        self.interval_counts.iter_mut().for_each(|it| *it = 0.0);
        if self.popularity.len() != fresh.len() {
            self.popularity = fresh;
            return None;
        }
        let distance = distance(&self.popularity, &fresh);
        if distance < SHIFT_THRESHOLD {
            self.settling_intervals = 0;
            for (old, new) in self.popularity.iter_mut().flatten().zip(fresh.iter().flatten()) {
                *old += (new - *old) * SMOOTHING_FACTOR;
            }
            return None;
        }
        self.popularity = fresh;
        // The interval after a shift differs from the mixed one before it; this is no second shift.
        if self.settling_intervals > 0 {
            self.settling_intervals -= 1;
            return None;
        }
        self.settling_intervals = SETTLING_INTERVALS;
        self.is_relief_due = self.has_quick_copies();
        Some(distance)
    }

    /// Whether copies are quick enough for small rounds. Otherwise a round in progress is finished after
    /// a shift: its copies took long, and a new one costs them again.
    fn has_quick_copies(&self) -> bool {
        self.layout.is_some_and(|it| it.copy_seconds <= RELIEF_COPY_BUDGET.as_secs_f64())
    }

    /// Returns the skew of the map in use under the smoothed popularity, or `None` if statuses are
    /// missing.
    pub fn skew(&self) -> Option<f64> {
        Some(group_skew(&self.group_map()?, &self.popularity))
    }

    /// Compares the reported state with the rollout and returns the effects that are due now.
    pub fn reconcile(&mut self, now: Moment) -> Vec<RolloutEffect> {
        let Some(report) = self.report.clone() else { return Vec::new() };
        let Some(place) = report.group.clone().filter(|it| it.is_open) else { return Vec::new() };
        self.pace.observe(report.step, now);
        let mut effects = Vec::new();
        if let Some(active) = self.active.take_if(|it| report.map >= it.version) {
            let version = active.version;
            if report.map == version {
                self.known_map = active.map.map(|it| (version, it));
            }
            effects.push(RolloutEffect::Log(RolloutEvent::Activated(version)));
            // A relief round is too small to be the only answer to a shift.
            let pause = if active.is_relief { Duration::ZERO } else { ACTIVATION_PAUSE };
            self.next_round_at = self.next_round_at.max(now.after(pause));
        }
        effects.extend(self.drive_own_engine(&report, now));
        if place.rank == 0 {
            effects.extend(self.coordinate(&report, &place, now));
        } else {
            effects.extend(self.take_over(&report, &place, now));
        }
        effects
    }

    /// Orders the agent's engine to prepare or arm the map of the rollout, whichever is due.
    fn drive_own_engine(&mut self, report: &RankReport, now: Moment) -> Option<RolloutEffect> {
        let active = self.active.as_ref()?;
        let version = active.version;
        match active.step {
            None if report.prepared == Some(version) => None,
            None => {
                let map = active.map.clone()?;
                self.order_if_due(
                    OrderKind::Prepare(version),
                    RankOrder::Prepare { version, map },
                    now,
                )
            }
            Some(step) if report.armed == Some((version, step)) => None,
            Some(step) if report.step >= step => None,
            Some(step) => self.order_if_due(
                OrderKind::Arm(version, step),
                RankOrder::Arm { version, step },
                now,
            ),
        }
    }

    /// Returns the order if it is new or due to be repeated.
    fn order_if_due(
        &mut self,
        kind: OrderKind,
        order: RankOrder,
        now: Moment,
    ) -> Option<RolloutEffect> {
        self.mark_sent_if_due(kind, now).then_some(RolloutEffect::OrderOwnEngine(order))
    }

    /// Whether an order is to be sent now: if it differs from the last one, or if its retry
    /// interval has passed. If so, records it as sent.
    fn mark_sent_if_due(&mut self, kind: OrderKind, now: Moment) -> bool {
        let retry_interval = match kind {
            OrderKind::Prepare(_) => PREPARE_RETRY_INTERVAL,
            OrderKind::Arm(..) | OrderKind::Hold(_) | OrderKind::Release(_) => ORDER_RETRY_INTERVAL,
        };
        let was_sent_recently = self
            .last_order
            .is_some_and(|(last, at)| last == kind && now.since(at) < retry_interval);
        if !was_sent_recently {
            self.last_order = Some((kind, now));
        }
        !was_sent_recently
    }
}

/// Returns the fraction of each layer's choices by expert, or `None` if a layer has no choices.
fn popularity(counts: &[f64], experts: usize) -> Option<Vec<Vec<f64>>> {
    let shares = |layer: &[f64]| {
        let total: f64 = layer.iter().sum();
        (total > 0.0).then(|| layer.iter().map(|it| it / total).collect())
    };
    counts.chunks(experts).map(shares).collect()
}

/// Returns the total variation distance between two popularities, averaged over the layers.
fn distance(old: &[Vec<f64>], new: &[Vec<f64>]) -> f64 {
    let changes = old.iter().flatten().zip(new.iter().flatten()).map(|(a, b)| (a - b).abs());
    changes.sum::<f64>() / 2.0 / old.len().max(1) as f64
}

fn to_milli(value: f64) -> u32 {
    (value * 1_000.0).round() as u32
}
