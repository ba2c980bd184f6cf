//! What the agent of rank 0 does: it plans rounds, and brings each to its end.

use std::time::Duration;

use rand::Rng;

use super::{
    ActiveRollout, MapNews, MapRollout, MemberStatus, OrderKind, PREPARE_LIMIT, RESCUE_SILENCE,
    RankOrder, RankReport, RolloutEffect, RolloutNote, RolloutState, STATUS_LIFE, thousandths,
};
use crate::{
    experts::{GroupMap, MapNumber, RoundSettings, StepNumber, plan_round},
    routing::{ExpertLayout, GroupMembership},
    units::Moment,
};

/// Age of the statuses with which a step is held: an agent that has fallen silent since would keep
/// the group waiting.
const HOLD_FRESHNESS: Duration = Duration::from_millis(150);
/// Steps between the present one and the one at which ranks switch: they are armed while one whole step
/// runs, so that the group seldom waits; a wait makes all its streams late.
const STEPS_AHEAD: u64 = 2;
/// The same while orders go unanswered and have to be repeated.
const STEPS_AHEAD_UNANSWERED: u64 = 3;
/// Pause between messages of a rollout.
const MESSAGE_PAUSE: Duration = Duration::from_millis(60);
/// Whole maps that are sent at a time, so that they do not fill the link.
const MAX_WHOLE_MAPS: usize = 6;
/// Pause between rounds.
const ROUND_PAUSE: Duration = Duration::from_millis(150);
/// Time that a rank may spend on the copies of a round, one after the other.
const COPY_TIME: Duration = Duration::from_millis(300);
/// Most copies of a round for a rank, however short they are.
const MAX_COPIES: usize = 6;
/// Most copies of one layer for a rank in a round.
const MAX_NEW: usize = 2;
/// Part of the skew that a round must take away.
const LEAST_ROUND_GAIN: f64 = 0.08;
/// Map numbers are drawn from so many above the highest known.
const NUMBER_SPREAD: u64 = 1 << 20;

impl RolloutState {
    pub(super) fn coordinate(
        &mut self,
        report: &RankReport,
        place: &GroupMembership,
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
            let ahead = if is_unsure { STEPS_AHEAD_UNANSWERED } else { STEPS_AHEAD };
            let step = StepNumber(report.step.0 + ahead);
            let is_due = self.is_due(OrderKind::Hold(step), now);
            return is_due.then_some(RolloutEffect::AskHold(step)).into_iter().collect();
        }
        if now.since(active.begun) > PREPARE_LIMIT {
            self.active = None;
            return vec![RolloutEffect::Note(RolloutNote::Abandoned(active.version))];
        }
        self.broadcast(now)
    }

    /// Rank 0 holds a step: arm all ranks, then let go.
    fn finish_switch(
        &mut self,
        report: &RankReport,
        place: &GroupMembership,
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
            // The other ranks first: they are armed while this one is.
            let mut effects = self.broadcast(now);
            effects.extend(self.follow_orders(report, now));
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
    pub(super) fn arm_others(
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
    pub(super) fn broadcast(&mut self, now: Moment) -> Vec<RolloutEffect> {
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
        place: &GroupMembership,
        now: Moment,
    ) -> Vec<RolloutEffect> {
        let Some(layout) = self.layout else { return Vec::new() };
        if now < self.next_round || report.armed.is_some() || self.settling > 0 {
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
    pub(super) fn group_map(&self) -> Option<GroupMap> {
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
}

/// Copies that a round may bring to a rank.
fn max_copies(layout: &ExpertLayout) -> usize {
    let copies = COPY_TIME.as_secs_f64() / layout.copy_seconds.max(f64::MIN_POSITIVE);
    (copies as usize).clamp(1, MAX_COPIES)
}
