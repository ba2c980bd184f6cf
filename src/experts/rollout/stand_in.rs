//! What the agents of the next ranks do where that of rank 0 is silent.

use super::{
    ActiveRollout, PREPARE_LIMIT, RESCUE_SILENCE, RankOrder, RankReport, RolloutEffect,
    RolloutNote, RolloutState, STATUS_LIFE, STATUS_LISTENERS,
};
use crate::{routing::GroupMembership, units::Moment};

impl RolloutState {
    /// Finishes the switch of a coordinator that is silent while its rank holds the group.
    pub(super) fn stand_in(
        &mut self,
        report: &RankReport,
        place: &GroupMembership,
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
