//! The coordinator, which is the agent of rank 0: plans rounds and rolls each one out.

use std::time::Duration;

use rand::Rng;

use super::{
    AGENT_SILENCE_TIMEOUT, MapRollout, MapUpdate, MemberStatus, OrderKind, PREPARE_TIMEOUT,
    RELIEF_COPY_BUDGET, RankOrder, RankReport, RolloutEffect, RolloutEvent, RolloutProgress,
    RolloutState, STATUS_TTL, relay_children, to_milli,
};
use crate::{
    experts::{GroupMap, MapVersion, RoundPlan, RoundSettings, StepNumber, plan_paced_round},
    routing::{ExpertLayout, GroupMembership},
    units::Moment,
};

/// Maximum age of the statuses on which the decision to hold a step is based. An agent that has
/// stopped since its last status would keep the group waiting at the held step.
const MAX_STATUS_AGE_FOR_HOLD: Duration = Duration::from_millis(150);
/// Number of steps between the current one and the held one. Ranks are armed while one full step
/// runs, so that the group seldom waits; a wait delays all its streams.
const SWITCH_LEAD_STEPS: u64 = 2;
/// Number of steps to the held one while steps are long: every step before the switch is late.
const NEXT_STEP_LEAD: u64 = 1;
/// Number of steps to the held one while orders go unanswered and need retries.
const DEGRADED_SWITCH_LEAD_STEPS: u64 = 3;
/// Minimum interval between broadcasts of a rollout.
const BROADCAST_INTERVAL: Duration = Duration::from_millis(60);
/// Maximum size of a broadcast, so that it takes at most half of the slowest link until the next.
const MAX_BROADCAST_BYTES: usize = 24_000;
/// Approximate size of a rollout message without the map, including packet headers.
const MESSAGE_OVERHEAD_BYTES: usize = 80;
/// Maximum number of ranks to which the coordinator sends each map itself.
const MAX_DIRECT_RANKS: usize = 12;
/// Time after which a map sent over the relay tree has reached all agents that it will reach.
const RELAY_TIME: Duration = Duration::from_millis(400);
/// Minimum interval between attempts to plan a round.
const ROUND_INTERVAL: Duration = Duration::from_millis(150);
/// Time that a rank may spend on the sequential copies of one round.
const COPY_BUDGET: Duration = Duration::from_millis(300);
/// Maximum number of copies to a rank in one round, however fast they are.
const MAX_COPIES_PER_RANK: usize = 16;
/// Maximum number of copies per layer to a rank in one round.
const MAX_NEW_PER_LAYER: usize = 2;
/// Factor on a rank's usual time from which it counts as slow. Small differences change with the load.
const MIN_SLOW_PACE: f64 = 1.3;
/// Minimum relative reduction of the skew for which a round is rolled out.
const MIN_ROUND_GAIN: f64 = 0.08;
/// Size of the range above the highest known version from which a new version is drawn at random.
/// A coordinator that does not know of the latest versions is thus unlikely to reuse one.
const VERSION_SPREAD: u64 = 1 << 20;

/// What a hold that rank 0 reports is for. Orders may be executed late, so it need not be the one
/// of the switch in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HoldPurpose {
    /// The ranks are to be armed for the held step.
    Switch,
    /// Rank 0 is armed for an earlier step, which the group starts first. Armed ranks are not armed
    /// anew, since that cannot take effect on all of them at the same time.
    AfterSwitch,
    /// Rank 0 is armed for a later step. That step was released, so all ranks are armed for it, and
    /// the hold serves no purpose.
    BeforeSwitch,
}

impl HoldPurpose {
    /// Returns the purpose of the hold of `step` at rank 0, which gave this report.
    pub(super) fn new(report: &RankReport, step: StepNumber) -> Self {
        match report.armed {
            Some((_, armed)) if armed < step => Self::AfterSwitch,
            Some((_, armed)) if armed > step => Self::BeforeSwitch,
            Some(_) | None => Self::Switch,
        }
    }
}

impl RolloutState {
    /// Returns the effects that are due at the coordinator.
    pub(super) fn coordinate(
        &mut self,
        report: &RankReport,
        place: &GroupMembership,
        now: Moment,
    ) -> Vec<RolloutEffect> {
        if let Some(step) = report.held.filter(|it| *it > report.step) {
            return match HoldPurpose::new(report, step) {
                HoldPurpose::Switch => self.finish_switch(report, place, step, now),
                HoldPurpose::AfterSwitch => Vec::new(),
                HoldPurpose::BeforeSwitch => {
                    let release = RankOrder::Release(step);
                    let order = self.order_if_due(OrderKind::Release(step), release, now);
                    order.into_iter().collect()
                }
            };
        }
        let Some(active) = self.active.clone() else { return self.start_round(report, place, now) };
        if active.step.is_some() {
            // Rank 0 is released. The ranks switch at the step, which may take a while without
            // requests; no new round starts before that.
            return self.broadcast(now);
        }
        let is_prepared = |it: &MemberStatus| it.prepared == Some(active.version);
        if self.all_within_age(MAX_STATUS_AGE_FOR_HOLD, report, now, is_prepared) {
            let has_unanswered =
                self.has_unanswered(now) || self.statuses.values().any(|(it, _)| it.has_unanswered);
            let lead_steps = if has_unanswered {
                DEGRADED_SWITCH_LEAD_STEPS
            } else if self.pace.can_hold_next(now) {
                NEXT_STEP_LEAD
            } else {
                SWITCH_LEAD_STEPS
            };
            // Rank 0 holds one step at a time, so another is requested only once that has begun.
            let requested = active.requested_step.filter(|it| *it > report.step);
            let step = requested.unwrap_or(StepNumber(report.step.0 + lead_steps));
            let is_due = self.mark_sent_if_due(OrderKind::Hold(step), now);
            self.active.iter_mut().for_each(|it| it.requested_step = Some(step));
            return is_due.then_some(RolloutEffect::RequestHold(step)).into_iter().collect();
        }
        if now.since(active.started_at) > PREPARE_TIMEOUT {
            self.active = None;
            return vec![RolloutEffect::Log(RolloutEvent::Abandoned(active.version))];
        }
        self.broadcast(now)
    }

    /// Arms all ranks for the step that rank 0 holds, then releases rank 0.
    fn finish_switch(
        &mut self,
        report: &RankReport,
        place: &GroupMembership,
        step: StepNumber,
        now: Moment,
    ) -> Vec<RolloutEffect> {
        let Some(version) = self.version_for_step(report, step, now) else {
            if self.active.is_none() {
                return self.renew_map(report, place, now);
            }
            // Statuses are missing, or some rank is still preparing the map.
            return self.broadcast(now);
        };
        let current = self.active.as_ref().map(|it| (it.version, it.step));
        if current != Some((version, Some(step))) {
            let active = self.active.take().filter(|it| it.version == version);
            self.active = Some(RolloutProgress {
                epoch: place.epoch,
                version,
                map: active.as_ref().and_then(|it| it.map.clone()),
                base: None,
                step: Some(step),
                started_at: now,
                relayed_at: None,
                requested_step: Some(step),
                is_relief: active.is_some_and(|it| it.is_relief),
            });
            self.last_broadcast_at = None;
        }
        if report.armed != Some((version, step)) {
            // The broadcast comes first, so that the other ranks are armed in parallel.
            let mut effects = self.broadcast(now);
            effects.extend(self.drive_own_engine(report, now));
            return effects;
        }
        let Some(mut effects) = self.arm_others(report, place.rank, (version, step), now) else {
            let release = RankOrder::Release(step);
            return self.order_if_due(OrderKind::Release(step), release, now).into_iter().collect();
        };
        effects.extend(self.broadcast(now));
        effects
    }

    /// Rolls out the map in use under a new version: a late order has held a step without any map
    /// to switch to, and a hold is never revoked.
    fn renew_map(
        &mut self,
        report: &RankReport,
        place: &GroupMembership,
        now: Moment,
    ) -> Vec<RolloutEffect> {
        if !self.all_on_map(report, now) {
            return Vec::new();
        }
        let Some(map) = self.group_map() else { return Vec::new() };
        let version = self.start_rollout(report, place, map.clone(), map, now);
        let mut effects = vec![RolloutEffect::Log(RolloutEvent::Renewed(version))];
        effects.extend(self.broadcast(now));
        effects
    }

    /// Returns the effects that arm the ranks whose agents are silent, or `None` if all ranks but
    /// `own_rank` are armed.
    pub(super) fn arm_others(
        &mut self,
        report: &RankReport,
        own_rank: u16,
        armed: (MapVersion, StepNumber),
        now: Moment,
    ) -> Option<Vec<RolloutEffect>> {
        let (version, step) = armed;
        let mut is_complete = true;
        let mut effects = Vec::new();
        for rank in (0..report.group_size).filter(|it| *it != own_rank) {
            let status = self.statuses.get(&rank);
            let silence = status.map_or(AGENT_SILENCE_TIMEOUT, |(_, at)| now.since(*at));
            if status.is_some_and(|(it, _)| it.armed == Some(armed)) {
                // A rank stays armed until its step starts, so an old status is good enough.
                continue;
            }
            is_complete = false;
            if silence < AGENT_SILENCE_TIMEOUT {
                continue;
            }
            // Each polled report is used for one order only; the next report shows its effect.
            match self.polled_reports.remove(&rank).filter(|(_, at)| now.since(*at) < STATUS_TTL) {
                Some((polled, _)) if polled.armed == Some(armed) => {
                    self.record_armed(rank, &polled);
                }
                Some(_) => {
                    effects.push(RolloutEffect::OrderPeer(rank, RankOrder::Arm { version, step }));
                }
                None => effects.push(RolloutEffect::PollPeer(rank)),
            }
        }
        (!is_complete).then_some(effects)
    }

    /// Copies the armed state from a polled report into the status of its rank.
    fn record_armed(&mut self, rank: u16, polled: &RankReport) {
        let Some((status, _)) = self.statuses.get_mut(&rank) else { return };
        status.armed = polled.armed;
    }

    /// Returns the map to use from a held step on: the one that any rank is armed with for this
    /// step, else the one that all ranks have prepared. `None` if there is neither.
    fn version_for_step(
        &self,
        report: &RankReport,
        step: StepNumber,
        now: Moment,
    ) -> Option<MapVersion> {
        if let Some(active) = self.active.as_ref().filter(|it| it.step == Some(step)) {
            return Some(active.version);
        }
        let armed =
            |it: Option<(MapVersion, StepNumber)>| it.filter(|it| it.1 == step).map(|it| it.0);
        let others = self.statuses.values().filter_map(|(it, _)| armed(it.armed));
        if let Some(version) = armed(report.armed).into_iter().chain(others).next() {
            return Some(version);
        }
        // A rank that has accepted a later map for preparation can no longer be armed with this one.
        let version = report.prepared.filter(|it| !self.has_rollout_above(*it))?;
        self.all_current(report, now, |it| it.prepared == Some(version)).then_some(version)
    }

    fn has_rollout_above(&self, version: MapVersion) -> bool {
        self.active.as_ref().is_some_and(|it| it.version > version)
    }

    /// Whether every rank has an unexpired status that meets the condition.
    fn all_current(
        &self,
        report: &RankReport,
        now: Moment,
        condition: impl Fn(&MemberStatus) -> bool,
    ) -> bool {
        self.all_within_age(STATUS_TTL, report, now, condition)
    }

    /// Whether every rank has a status younger than `age` that meets the condition.
    fn all_within_age(
        &self,
        age: Duration,
        report: &RankReport,
        now: Moment,
        condition: impl Fn(&MemberStatus) -> bool,
    ) -> bool {
        let meets_condition = |rank| {
            let status = self.statuses.get(&rank);
            status.is_some_and(|(it, at)| now.since(*at) < age && condition(it))
        };
        report.group_size > 0 && (0..report.group_size).all(meets_condition)
    }

    /// Sends the rollout to the ranks that lack the map or are not yet armed. In a large group the
    /// map first goes over a tree of ranks; those that it did not reach get it directly, a few at a
    /// time. A full map is long, so it replaces a delta only for agents without its base.
    pub(super) fn broadcast(&mut self, now: Moment) -> Vec<RolloutEffect> {
        let was_sent_recently =
            self.last_broadcast_at.is_some_and(|at| now.since(at) < BROADCAST_INTERVAL);
        let (Some(active), Some(report)) = (&self.active, &self.report) else { return Vec::new() };
        if was_sent_recently {
            return Vec::new();
        }
        self.last_broadcast_at = Some(now);
        let group_size = report.group_size;
        let own_rank = report.group.as_ref().map(|it| it.rank);
        let pending: Vec<u16> = (0..group_size)
            .filter(|it| Some(*it) != own_rank)
            .filter(|it| !self.has_received(active, *it))
            .collect();
        let message = |map: MapUpdate| {
            let RolloutProgress { epoch, version, step, .. } = *active;
            MapRollout { epoch, version, map, step }
        };
        let Some(map) = active.map.as_ref().filter(|_| active.step.is_none()) else {
            return broadcast_to(pending, message(MapUpdate::Omitted));
        };
        let (with_base, without_base): (Vec<u16>, Vec<u16>) =
            pending.iter().partition(|it| self.knows_base(active, **it));
        let delta = active.base.as_ref().map(|(base, old)| MapUpdate::delta(*base, old, map));
        let full = MapUpdate::Full(map.clone());
        if active.relayed_at.is_none() && own_rank == Some(0) && pending.len() > MAX_DIRECT_RANKS {
            let update = delta.filter(|_| without_base.is_empty()).unwrap_or(full);
            let relayed = RolloutEffect::Relay(relay_children(0, group_size), message(update));
            self.active.iter_mut().for_each(|it| it.relayed_at = Some(now));
            return vec![relayed];
        }
        if active.relayed_at.is_some_and(|at| now.since(at) < RELAY_TIME) {
            return Vec::new();
        }
        let mut effects = broadcast_to(without_base, message(full));
        if let Some(delta) = delta {
            effects.extend(broadcast_to(with_base, message(delta)));
        }
        effects
    }

    /// Whether a rank has what the rollout currently sends: the map, or the step once it is set.
    fn has_received(&self, active: &RolloutProgress, rank: u16) -> bool {
        let Some((status, _)) = self.statuses.get(&rank) else { return false };
        let version = Some(active.version);
        match active.step {
            None => status.prepared == version || status.known == version,
            Some(step) => status.armed == Some((active.version, step)),
        }
    }

    /// Whether a rank's agent has the map that the delta of the rollout applies to.
    fn knows_base(&self, active: &RolloutProgress, rank: u16) -> bool {
        let base = active.base.as_ref().map(|it| it.0);
        let status = self.statuses.get(&rank);
        let knows_superseded = |it: &MemberStatus| {
            it.known.is_some() && it.known == self.superseded && base > Some(MapVersion(0))
        };
        status.is_some_and(|(it, _)| base.is_some() && it.known == base || knows_superseded(it))
    }

    fn start_round(
        &mut self,
        report: &RankReport,
        place: &GroupMembership,
        now: Moment,
    ) -> Vec<RolloutEffect> {
        let Some(layout) = self.layout else { return Vec::new() };
        let is_paused = now < self.next_round_at && !self.is_relief_due;
        if is_paused || report.armed.is_some() || self.settling_intervals > 0 {
            return Vec::new();
        }
        if !self.all_on_map(report, now) || self.popularity.is_empty() {
            return Vec::new();
        }
        self.next_round_at = now.after(ROUND_INTERVAL);
        let Some(map) = self.group_map() else { return Vec::new() };
        let budget = if self.is_relief_due { RELIEF_COPY_BUDGET } else { COPY_BUDGET };
        let settings = RoundSettings {
            rank_slots: layout.rank_slots,
            max_new: layout.max_new.min(MAX_NEW_PER_LAYER),
            max_copies: max_copies(&layout, budget),
            ..RoundSettings::default()
        };
        let paces = self.rank_paces(report.group_size);
        // A round with little gain is not worth it: while in progress, it delays the reaction to
        // the next shift of popularity.
        let is_worth_it =
            |it: &RoundPlan| it.skew_before - it.skew_after >= MIN_ROUND_GAIN * it.skew_before;
        let round = plan_paced_round(&map, &self.popularity, &paces, &settings).filter(is_worth_it);
        let Some(round) = round else {
            self.is_relief_due = false;
            return Vec::new();
        };
        let version = self.start_rollout(report, place, map, round.map, now);
        let is_relief = std::mem::take(&mut self.is_relief_due);
        self.active.iter_mut().for_each(|it| it.is_relief = is_relief);
        let event = RolloutEvent::RoundPlanned {
            version,
            copies: round.copies,
            skew_before: to_milli(round.skew_before),
            skew_after: to_milli(round.skew_after),
        };
        let mut effects = vec![RolloutEffect::Log(event)];
        effects.extend(self.broadcast(now));
        effects
    }

    /// Makes the map the one to roll out, in place of the one in use, and returns its version.
    fn start_rollout(
        &mut self,
        report: &RankReport,
        place: &GroupMembership,
        old_map: GroupMap,
        map: GroupMap,
        now: Moment,
    ) -> MapVersion {
        let version =
            MapVersion(self.highest_version.0 + 1 + self.rng.random_range(0..VERSION_SPREAD));
        self.highest_version = version;
        self.active = Some(RolloutProgress {
            epoch: place.epoch,
            version,
            map: Some(map),
            base: Some((report.map, old_map)),
            step: None,
            started_at: now,
            relayed_at: None,
            requested_step: None,
            is_relief: false,
        });
        self.last_broadcast_at = None;
        version
    }

    /// Whether all ranks use the map of rank 0 and none is armed with another.
    fn all_on_map(&self, report: &RankReport, now: Moment) -> bool {
        let has_same_map = |it: &MemberStatus| it.map == report.map && it.armed.is_none();
        self.all_current(report, now, has_same_map)
    }

    /// Returns the factor by which each rank's work takes longer than usual.
    fn rank_paces(&self, group_size: u16) -> Vec<f64> {
        let factor = |rank: u16| {
            let pace = self.statuses.get(&rank).map(|(it, _)| it.pace.factor());
            pace.filter(|it| *it >= MIN_SLOW_PACE).unwrap_or(1.0)
        };
        (0..group_size).map(factor).collect()
    }

    /// Returns the map in use, as this agent rolled it out or assembled from the statuses, or `None`
    /// if a rank's experts are unknown.
    pub(super) fn group_map(&self) -> Option<GroupMap> {
        let layout = self.layout?;
        let report = self.report.as_ref()?;
        if let Some((_, map)) = self.known_map.as_ref().filter(|it| it.0 == report.map) {
            return Some(map.clone());
        }
        let size = report.group_size;
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
}

/// Returns the broadcast of a message to those of the ranks that [`MAX_BROADCAST_BYTES`] allows.
fn broadcast_to(mut ranks: Vec<u16>, message: MapRollout) -> Vec<RolloutEffect> {
    let bytes = message.map.content_bytes() + MESSAGE_OVERHEAD_BYTES;
    ranks.truncate((MAX_BROADCAST_BYTES / bytes).max(1));
    if ranks.is_empty() {
        return Vec::new();
    }
    vec![RolloutEffect::Broadcast(ranks, message)]
}

/// Returns the number of copies to a rank that fit into the budget.
fn max_copies(layout: &ExpertLayout, budget: Duration) -> usize {
    let copies = budget.as_secs_f64() / layout.copy_seconds.max(f64::MIN_POSITIVE);
    (copies as usize).clamp(1, MAX_COPIES_PER_RANK)
}
