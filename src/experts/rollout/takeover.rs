//! Takeover of a switch by a substitute when the agent of rank 0 is silent.

use super::{
    AGENT_SILENCE_TIMEOUT, COORDINATOR_CANDIDATES, PREPARE_TIMEOUT, RankOrder, RankReport,
    RolloutEffect, RolloutEvent, RolloutProgress, RolloutState, STATUS_TTL,
    coordinator::HoldPurpose,
};
use crate::{routing::GroupMembership, units::Moment};

impl RolloutState {
    /// Finishes the switch of a coordinator that is silent while its rank holds a step.
    ///
    /// Of the candidates, only the one whose predecessors are all silent takes over.
    pub(super) fn take_over(
        &mut self,
        report: &RankReport,
        place: &GroupMembership,
        now: Moment,
    ) -> Vec<RolloutEffect> {
        let is_silent = |rank: u16| {
            self.statuses.get(&rank).is_none_or(|(_, at)| now.since(*at) > AGENT_SILENCE_TIMEOUT)
        };
        let is_successor = place.rank < COORDINATOR_CANDIDATES && (0..place.rank).all(is_silent);
        let Some(active) = self.active.clone().filter(|_| is_successor) else { return Vec::new() };
        let version = active.version;
        let polled = self.polled_reports.get(&0).filter(|(_, at)| now.since(*at) < STATUS_TTL);
        let Some((rank_zero, _)) = polled.cloned() else { return vec![RolloutEffect::PollPeer(0)] };
        let Some(step) = rank_zero.held.filter(|it| *it > rank_zero.step) else {
            // No step is held, so the group is not blocked: the coordinator continues once it
            // is back.
            if active.step.is_none() && now.since(active.started_at) > PREPARE_TIMEOUT {
                self.active = None;
            }
            self.polled_reports.remove(&0);
            return Vec::new();
        };
        match HoldPurpose::new(&rank_zero, step) {
            HoldPurpose::Switch => {}
            HoldPurpose::AfterSwitch => {
                self.polled_reports.remove(&0);
                return Vec::new();
            }
            HoldPurpose::BeforeSwitch => {
                self.polled_reports.remove(&0);
                return vec![RolloutEffect::OrderPeer(0, RankOrder::Release(step))];
            }
        }
        let has_prepared = |rank: u16| {
            let status = self.statuses.get(&rank).map(|it| &it.0);
            let target = Some((version, step));
            status.is_some_and(|it| it.prepared == Some(version) || it.armed == target)
        };
        // The map is the right one if the coordinator chose it for the held step, or if all other
        // ranks have prepared it.
        let is_safe_to_finish =
            active.step == Some(step) || rank_zero.armed == Some((version, step));
        if !is_safe_to_finish && !(1..report.group_size).all(has_prepared) {
            return Vec::new();
        }
        let mut effects = vec![RolloutEffect::Log(RolloutEvent::Takeover(version, step))];
        self.active = Some(RolloutProgress { step: Some(step), ..active });
        effects.extend(self.broadcast(now));
        effects.extend(self.drive_own_engine(report, now));
        if report.armed != Some((version, step)) {
            return effects;
        }
        match self.arm_others(report, place.rank, (version, step), now) {
            Some(arm_effects) => effects.extend(arm_effects),
            None => effects.push(RolloutEffect::OrderPeer(0, RankOrder::Release(step))),
        }
        effects
    }
}
