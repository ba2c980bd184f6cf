//! Events of an agent: work from entries, progress of its backend server, and claims on keys.

use super::ProcessState;
use crate::{
    config::ServiceState,
    core::{
        ClaimRecord, Effect, KeyDecision, PriorResult, WorkId, WorkItem, WorkOutcome,
        claims::ClaimOutcome,
    },
    units::Moment,
    wire::{IdempotencyKey, RefusalReason, RunMode, RunTicket},
};

pub(super) fn work_arrived(state: &mut ProcessState, item: WorkItem, now: Moment) -> Vec<Effect> {
    let work = item.work;
    if let Some(reason) = refusal_reason(state, &item, now) {
        return vec![Effect::RefuseWork { work, reason }];
    }
    let decision = match &item.mode {
        RunMode::Idempotent | RunMode::Single => return enqueue(state, item),
        RunMode::Keyed(key) => state.claims.decide_keyed(key, work, now),
        RunMode::Ticketed(ticket) => state.claims.decide_ticketed(ticket, work),
    };
    let key = item.mode.key().cloned();
    match decision {
        KeyDecision::Claim => {
            state.waiting_keyed.insert(work, item);
            vec![Effect::AppendClaims(key.into_iter().collect())]
        }
        KeyDecision::Wait => {
            state.waiting_keyed.insert(work, item);
            Vec::new()
        }
        KeyDecision::Run => enqueue(state, item),
        KeyDecision::Replay(answer) => vec![Effect::ReplayAnswer { work, answer }],
        KeyDecision::Redirect(vm) => vec![Effect::PointToClaim { work, vm }],
        KeyDecision::NotReady => {
            vec![Effect::RefuseWork { work, reason: RefusalReason::ClaimsUnavailable }]
        }
    }
}

/// Returns the reason to refuse new work, or `None` to accept it. Work with a known key is accepted
/// even while the agent is leaving: its caller may be retrying to get the response of an earlier
/// run. It is refused later if it would have to run.
fn refusal_reason(state: &ProcessState, item: &WorkItem, now: Moment) -> Option<RefusalReason> {
    if !state.settings.services.contains(&item.service) {
        return Some(RefusalReason::WrongService);
    }
    if item.deadline <= now {
        return Some(RefusalReason::DeadlinePassed);
    }
    let knows_key = item.mode.key().is_some_and(|key| state.claims.contains_key(key));
    match state.service_state() {
        ServiceState::Out if !knows_key => Some(RefusalReason::Leaving),
        ServiceState::Out | ServiceState::In => None,
    }
}

fn enqueue(state: &mut ProcessState, item: WorkItem) -> Vec<Effect> {
    let Some(victim) = state.queue.push(item, state.settings.queue) else { return Vec::new() };
    refuse_item(state, &victim, RefusalReason::Busy)
}

/// Refuses waiting work. If the work was first in line for its key, the next work in line is
/// queued.
fn refuse_item(state: &mut ProcessState, item: &WorkItem, reason: RefusalReason) -> Vec<Effect> {
    let mut effects = vec![Effect::RefuseWork { work: item.work, reason }];
    if let Some(key) = item.mode.key() {
        let next = state.claims.remove_waiter(key, item.work);
        effects.extend(next.map_or_else(Vec::new, |work| enqueue_keyed(state, work)));
    }
    effects
}

fn enqueue_keyed(state: &mut ProcessState, work: WorkId) -> Vec<Effect> {
    match state.waiting_keyed.remove(&work) {
        Some(item) => enqueue(state, item),
        None => Vec::new(),
    }
}

pub(super) fn work_abandoned(state: &mut ProcessState, work: WorkId) -> Vec<Effect> {
    let waiting = state.queue.remove_waiting(work).or_else(|| state.waiting_keyed.remove(&work));
    let Some(item) = waiting else { return Vec::new() };
    let Some(key) = item.mode.key() else { return Vec::new() };
    let next = state.claims.remove_waiter(key, work);
    next.map_or_else(Vec::new, |work| enqueue_keyed(state, work))
}

pub(super) fn work_ended(
    state: &mut ProcessState,
    work: WorkId,
    outcome: WorkOutcome,
    now: Moment,
) -> Vec<Effect> {
    let Some(item) = state.queue.finish(work) else { return Vec::new() };
    match &outcome {
        WorkOutcome::Finished(_) => state.retry_budget.deposit(),
        // A server that refuses connections or drops responses has restarted or is about to, so it
        // counts as cold.
        WorkOutcome::NotHandedOver | WorkOutcome::Broken => state.ramp.reset(),
        WorkOutcome::Cancelled => {}
    }
    let Some(key) = item.mode.key() else { return Vec::new() };
    match outcome {
        WorkOutcome::NotHandedOver => {
            let next = state.claims.release(key, work);
            next.map_or_else(Vec::new, |it| enqueue_keyed(state, it))
        }
        WorkOutcome::Finished(Some(answer)) => {
            finish_key(state, key, work, PriorResult::Kept(answer), now)
        }
        WorkOutcome::Finished(None) => finish_key(state, key, work, PriorResult::Gone, now),
        WorkOutcome::Broken | WorkOutcome::Cancelled => {
            finish_key(state, key, work, PriorResult::Unknown, now)
        }
    }
}

fn finish_key(
    state: &mut ProcessState,
    key: &IdempotencyKey,
    work: WorkId,
    result: PriorResult,
    now: Moment,
) -> Vec<Effect> {
    let waiters = state.claims.finish(key, work, result.clone(), now);
    waiters
        .into_iter()
        .map(|work| {
            state.waiting_keyed.remove(&work);
            Effect::ReplayAnswer { work, answer: result.clone() }
        })
        .collect()
}

pub(super) fn claim_read(
    state: &mut ProcessState,
    record: &ClaimRecord,
    now: Moment,
) -> Vec<Effect> {
    let mut effects = Vec::new();
    for key in &record.keys {
        match state.claims.apply_claim(key, &record.owner, now) {
            ClaimOutcome::NoChange => {}
            ClaimOutcome::Run(work) => effects.extend(enqueue_keyed(state, work)),
            ClaimOutcome::Redirect(vm, waiters) => {
                effects.extend(waiters.into_iter().map(|work| {
                    state.waiting_keyed.remove(&work);
                    Effect::PointToClaim { work, vm: vm.clone() }
                }))
            }
            ClaimOutcome::Unknown(waiters) => effects.extend(waiters.into_iter().map(|work| {
                state.waiting_keyed.remove(&work);
                Effect::ReplayAnswer { work, answer: PriorResult::Unknown }
            })),
        }
    }
    effects
}

pub(super) fn claims_failed(state: &mut ProcessState, keys: &[IdempotencyKey]) -> Vec<Effect> {
    let mut effects = Vec::new();
    for key in keys {
        for work in state.claims.drop_claim_waiters(key) {
            state.waiting_keyed.remove(&work);
            effects.push(Effect::RefuseWork { work, reason: RefusalReason::ClaimsUnavailable });
        }
    }
    effects
}

/// Runs after every event of an agent: expires work past its deadline, starts queued work up to the
/// concurrency limit, reports changes to entries and arms the timer.
pub(super) fn follow_up(state: &mut ProcessState, now: Moment) -> Vec<Effect> {
    let mut effects = expire(state, now);
    if state.service_state() == ServiceState::Out {
        effects.extend(refuse_all_waiting(state));
    }
    effects.extend(start_work(state));
    effects.extend(report_if_changed(state));
    effects.extend(arm_timer(state));
    effects
}

fn expire(state: &mut ProcessState, now: Moment) -> Vec<Effect> {
    let mut effects = Vec::new();
    for item in state.queue.expire(now) {
        effects.extend(refuse_item(state, &item, RefusalReason::DeadlinePassed));
    }
    let expired: Vec<WorkId> =
        state.waiting_keyed.values().filter(|it| it.deadline <= now).map(|it| it.work).collect();
    for work in expired {
        let Some(item) = state.waiting_keyed.remove(&work) else { continue };
        let Some(key) = item.mode.key() else { continue };
        // The key of this work is running on behalf of other work, so "not run" would be wrong.
        let is_running = state.claims.is_running(key);
        state.claims.remove_waiter(key, work);
        effects.push(match is_running {
            true => Effect::ReplayAnswer { work, answer: PriorResult::Unknown },
            false => Effect::RefuseWork { work, reason: RefusalReason::DeadlinePassed },
        });
    }
    effects
}

/// Refuses all queued work of a leaving agent at once, so that its entries try other servers.
fn refuse_all_waiting(state: &mut ProcessState) -> Vec<Effect> {
    let mut effects = Vec::new();
    // The loop is needed because refusing the first work of a key queues the next.
    while state.queue.waiting() > 0 {
        for item in state.queue.drain_waiting() {
            effects.extend(refuse_item(state, &item, RefusalReason::Leaving));
        }
    }
    effects
}

fn start_work(state: &mut ProcessState) -> Vec<Effect> {
    let mut effects = Vec::new();
    while state.queue.running() < state.ramp.limit().0 as usize {
        let Some(item) = state.queue.start_next() else { break };
        let can_run = item.mode.key().is_none_or(|key| state.claims.mark_running(key, item.work));
        if can_run {
            effects.push(Effect::StartWork(item.work));
        } else {
            state.queue.finish(item.work);
            effects.push(Effect::ReplayAnswer { work: item.work, answer: PriorResult::Unknown });
        }
    }
    effects
}

fn report_if_changed(state: &mut ProcessState) -> Option<Effect> {
    let report = state.report();
    if state.last_report == Some(report) {
        return None;
    }
    state.last_report = Some(report);
    Some(Effect::Report(report))
}

fn arm_timer(state: &mut ProcessState) -> Option<Effect> {
    let keyed_deadline = state.waiting_keyed.values().map(|it| it.deadline).min();
    let next = [state.queue.next_deadline(), keyed_deadline].into_iter().flatten().min()?;
    if state.timer_at.is_some_and(|it| it <= next) {
        return None;
    }
    state.timer_at = Some(next);
    Some(Effect::ArmTimer(next))
}

pub(super) fn issue_ticket(
    state: &mut ProcessState,
    work: WorkId,
    ticket: &RunTicket,
    now: Moment,
) -> Effect {
    if state.service_state() == ServiceState::Out {
        return Effect::RefuseWork { work, reason: RefusalReason::Leaving };
    }
    match state.claims.issue_ticket(ticket, now) {
        true => Effect::IssueTicket(work),
        false => Effect::RefuseWork { work, reason: RefusalReason::ClaimsUnavailable },
    }
}
