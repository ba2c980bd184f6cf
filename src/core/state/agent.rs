//! Events of an agent: work from entries, progress of its backend server, claims.

use super::ProcessState;
use crate::{
    config::ServiceState,
    core::{
        ClaimRecord, Effect, KeyDecision, KnownAnswer, WorkFacts, WorkId, WorkOutcome,
        claims::ClaimEnd,
    },
    units::Moment,
    wire::{IdempotencyKey, RefusalReason, RunMode, RunTicket},
};

pub(super) fn work_arrived(state: &mut ProcessState, facts: WorkFacts, now: Moment) -> Vec<Effect> {
    let work = facts.work;
    if let Some(reason) = refusal_of(state, &facts, now) {
        return vec![Effect::RefuseWork { work, reason }];
    }
    let decision = match &facts.mode {
        RunMode::Idempotent | RunMode::Single => return enqueue(state, facts),
        RunMode::Keyed(key) => state.claims.arrive(key, work, now),
        RunMode::Ticketed(ticket) => state.claims.arrive_ticket(ticket, work),
    };
    let key = facts.mode.key().cloned();
    match decision {
        KeyDecision::Claim => {
            state.keyed.insert(work, facts);
            vec![Effect::AppendClaims(key.into_iter().collect())]
        }
        KeyDecision::Wait => {
            state.keyed.insert(work, facts);
            Vec::new()
        }
        KeyDecision::Run => enqueue(state, facts),
        KeyDecision::Replay(answer) => vec![Effect::ReplayAnswer { work, answer }],
        KeyDecision::Elsewhere(vm) => vec![Effect::PointToClaim { work, vm }],
        KeyDecision::NotReady => {
            vec![Effect::RefuseWork { work, reason: RefusalReason::ClaimsUnavailable }]
        }
    }
}

/// A key that ran here may be asked for as long as the agent lives, so keyed work passes while the
/// agent is leaving and is refused only where it would have to run.
fn refusal_of(state: &ProcessState, facts: &WorkFacts, now: Moment) -> Option<RefusalReason> {
    if !state.settings.services.contains(&facts.service) {
        return Some(RefusalReason::WrongService);
    }
    if facts.deadline <= now {
        return Some(RefusalReason::DeadlinePassed);
    }
    let knows_key = facts.mode.key().is_some_and(|key| state.claims.knows(key));
    match state.service_state() {
        ServiceState::Out if !knows_key => Some(RefusalReason::Leaving),
        ServiceState::Out | ServiceState::In => None,
    }
}

fn enqueue(state: &mut ProcessState, facts: WorkFacts) -> Vec<Effect> {
    let Some(victim) = state.queue.push(facts, state.settings.queue) else { return Vec::new() };
    drop_waiting(state, &victim, RefusalReason::Busy)
}

/// Refuses work that waited. Where it waited for the right to run its key, the next that waits
/// takes its place.
fn drop_waiting(state: &mut ProcessState, facts: &WorkFacts, reason: RefusalReason) -> Vec<Effect> {
    let mut effects = vec![Effect::RefuseWork { work: facts.work, reason }];
    if let Some(key) = facts.mode.key() {
        let next = state.claims.abandon(key, facts.work);
        effects.extend(next.map_or_else(Vec::new, |work| enqueue_keyed(state, work)));
    }
    effects
}

fn enqueue_keyed(state: &mut ProcessState, work: WorkId) -> Vec<Effect> {
    match state.keyed.remove(&work) {
        Some(facts) => enqueue(state, facts),
        None => Vec::new(),
    }
}

pub(super) fn work_abandoned(state: &mut ProcessState, work: WorkId) -> Vec<Effect> {
    let waiting = state.queue.remove_waiting(work).or_else(|| state.keyed.remove(&work));
    let Some(facts) = waiting else { return Vec::new() };
    let Some(key) = facts.mode.key() else { return Vec::new() };
    let next = state.claims.abandon(key, work);
    next.map_or_else(Vec::new, |work| enqueue_keyed(state, work))
}

pub(super) fn work_ended(
    state: &mut ProcessState,
    work: WorkId,
    outcome: WorkOutcome,
    now: Moment,
) -> Vec<Effect> {
    let Some(facts) = state.queue.end(work) else { return Vec::new() };
    match &outcome {
        WorkOutcome::Finished(_) => state.budget.deposit(),
        // A server that refuses connections or drops answers has restarted or is about to: it
        // counts as cold.
        WorkOutcome::NotHandedOver | WorkOutcome::Broken => state.ramp.reset(),
        WorkOutcome::Cancelled => {}
    }
    let Some(key) = facts.mode.key() else { return Vec::new() };
    match outcome {
        WorkOutcome::NotHandedOver => {
            let next = state.claims.release(key, work);
            next.map_or_else(Vec::new, |it| enqueue_keyed(state, it))
        }
        WorkOutcome::Finished(Some(answer)) => {
            end_key(state, key, work, KnownAnswer::Kept(answer), now)
        }
        WorkOutcome::Finished(None) => end_key(state, key, work, KnownAnswer::Gone, now),
        WorkOutcome::Broken | WorkOutcome::Cancelled => {
            end_key(state, key, work, KnownAnswer::Unknown, now)
        }
    }
}

fn end_key(
    state: &mut ProcessState,
    key: &IdempotencyKey,
    work: WorkId,
    answer: KnownAnswer,
    now: Moment,
) -> Vec<Effect> {
    let others = state.claims.end(key, work, answer.clone(), now);
    others
        .into_iter()
        .map(|work| {
            state.keyed.remove(&work);
            Effect::ReplayAnswer { work, answer: answer.clone() }
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
        match state.claims.read_claim(key, &record.owner, now) {
            ClaimEnd::Nothing => {}
            ClaimEnd::Run(work) => effects.extend(enqueue_keyed(state, work)),
            ClaimEnd::Elsewhere(vm, waiters) => effects.extend(waiters.into_iter().map(|work| {
                state.keyed.remove(&work);
                Effect::PointToClaim { work, vm: vm.clone() }
            })),
            ClaimEnd::Unknown(waiters) => effects.extend(waiters.into_iter().map(|work| {
                state.keyed.remove(&work);
                Effect::ReplayAnswer { work, answer: KnownAnswer::Unknown }
            })),
        }
    }
    effects
}

pub(super) fn claims_failed(state: &mut ProcessState, keys: &[IdempotencyKey]) -> Vec<Effect> {
    let mut effects = Vec::new();
    for key in keys {
        for work in state.claims.fail_claim(key) {
            state.keyed.remove(&work);
            effects.push(Effect::RefuseWork { work, reason: RefusalReason::ClaimsUnavailable });
        }
    }
    effects
}

/// Follows up on every event of an agent: deadlines, room at the backend server, the report to
/// entries, the timer.
pub(super) fn settle(state: &mut ProcessState, now: Moment) -> Vec<Effect> {
    let mut effects = expire(state, now);
    if state.service_state() == ServiceState::Out {
        effects.extend(refuse_waiting(state));
    }
    effects.extend(start_work(state));
    effects.extend(report_change(state));
    effects.extend(arm_timer(state));
    effects
}

fn expire(state: &mut ProcessState, now: Moment) -> Vec<Effect> {
    let mut effects = Vec::new();
    for facts in state.queue.expire(now) {
        effects.extend(drop_waiting(state, &facts, RefusalReason::DeadlinePassed));
    }
    let due: Vec<WorkId> =
        state.keyed.values().filter(|it| it.deadline <= now).map(|it| it.work).collect();
    for work in due {
        let Some(facts) = state.keyed.remove(&work) else { continue };
        let Some(key) = facts.mode.key() else { continue };
        // Work that joined a run in progress must not be told "not run".
        let joined_run = state.claims.is_running(key);
        state.claims.abandon(key, work);
        effects.push(match joined_run {
            true => Effect::ReplayAnswer { work, answer: KnownAnswer::Unknown },
            false => Effect::RefuseWork { work, reason: RefusalReason::DeadlinePassed },
        });
    }
    effects
}

/// A leaving agent hands waiting work back at once, so that its entry tries another server.
fn refuse_waiting(state: &mut ProcessState) -> Vec<Effect> {
    let mut effects = Vec::new();
    // Refusing the first work of a key queues the next, hence the loop.
    while state.queue.waiting() > 0 {
        for facts in state.queue.drain_waiting() {
            effects.extend(drop_waiting(state, &facts, RefusalReason::Leaving));
        }
    }
    effects
}

fn start_work(state: &mut ProcessState) -> Vec<Effect> {
    let mut effects = Vec::new();
    while state.queue.running() < state.ramp.limit().0 as usize {
        let Some(facts) = state.queue.start_next() else { break };
        let may_run = facts.mode.key().is_none_or(|key| state.claims.start(key, facts.work));
        if may_run {
            effects.push(Effect::StartWork(facts.work));
        } else {
            state.queue.end(facts.work);
            effects.push(Effect::ReplayAnswer { work: facts.work, answer: KnownAnswer::Unknown });
        }
    }
    effects
}

fn report_change(state: &mut ProcessState) -> Option<Effect> {
    let report = state.report();
    if state.reported == Some(report) {
        return None;
    }
    state.reported = Some(report);
    Some(Effect::Report(report))
}

fn arm_timer(state: &mut ProcessState) -> Option<Effect> {
    let keyed = state.keyed.values().map(|it| it.deadline).min();
    let next = [state.queue.next_deadline(), keyed].into_iter().flatten().min()?;
    if state.armed.is_some_and(|armed| armed <= next) {
        return None;
    }
    state.armed = Some(next);
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
    match state.claims.issue(ticket, now) {
        true => Effect::IssueTicket(work),
        false => Effect::RefuseWork { work, reason: RefusalReason::ClaimsUnavailable },
    }
}
