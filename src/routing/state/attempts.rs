//! Ends of attempts: what they say about the server, and what becomes of the request.

use std::{net::SocketAddr, time::Duration};

use rand::Rng;

use super::{
    RequestState, RoutingState, change_effects,
    eligibility::lacks_weights,
    pace::stream_ended,
    place_request, refuse,
    retries::withdraw_retry,
    stopping::is_over,
    suspects::{
        PROBE_POLL_INTERVAL, Suspicion, answer_progressed, is_lost_at_beginning, is_suspect,
        record_suspect,
    },
    update_subset,
};
use crate::{
    core::RefusalCode,
    routing::{
        AnswerProgress, AttemptResult, Incarnation, LimitUpdate, RequestNumber, RouteKind,
        RoutingChange, RoutingEffect, ServerNotice,
    },
    units::Moment,
};

/// Number of failed connection attempts after which a request is refused.
const MAX_CONNECT_FAILURES: u32 = 2;
/// Longest wait for another server after a lost or stalled attempt. Shorter than
/// [`super::MAX_STREAM_WAIT`] because detecting the failure took time already.
const FAILOVER_WAIT: Duration = Duration::from_millis(800);
/// Remaining time below which another attempt cannot complete.
pub(super) const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(30);
/// Longest wait for the probe of a server that may have ended.
const MAX_PROBE_WAIT: Duration = Duration::from_millis(400);
/// Time over which gateways spread their return to a server that wanted no requests.
const REST_JITTER: Duration = Duration::from_millis(300);

/// The server of an attempt in progress, and how far the attempt has come.
#[derive(Clone, Debug)]
pub(super) struct CurrentAttempt {
    pub(super) incarnation: Incarnation,
    pub(super) address: SocketAddr,
    /// Number of the attempt, starting at 1.
    pub(super) attempt: u32,
    pub(super) began_at: Moment,
    /// Whether the first event of a stream has arrived.
    pub(super) has_begun: bool,
    /// What the estimates learn from; `None` if the server's pace is unknown.
    pub(super) timing: Option<AttemptTiming>,
    /// Whether [`RoutingEffect::EndAttempt`] was returned.
    pub(super) is_ending: bool,
}

/// Pace of the server of an attempt, and how the attempt went.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptTiming {
    /// Step time of the server's group when the attempt began.
    pub(super) step_time: Duration,
    /// Whether the server was expected to begin at once.
    pub(super) has_free_slot: bool,
    pub(super) first_event_at: Option<Moment>,
}

pub(super) fn attempt_ended(
    state: &mut RoutingState,
    number: RequestNumber,
    (result, progress): (AttemptResult, AnswerProgress),
    now: Moment,
) -> Vec<RoutingEffect> {
    let Some(request) = state.requests.get_mut(&number) else { return Vec::new() };
    let Some(attempt) = request.current_attempt.take() else { return Vec::new() };
    if result == AttemptResult::Stalled {
        request.silent.push(attempt.clone());
    }
    let CurrentAttempt { ref incarnation, address, began_at, timing, .. } = attempt;
    let id = incarnation.0.clone();
    // Failures are often quick.
    if result == AttemptResult::Answered && progress == AnswerProgress::Whole {
        state.run_times.record(&request.route.name, now.since(request.received_at));
    }
    if result == AttemptResult::Answered && request.rank.is_some() {
        let traffic = state.traffic.entry(request.service.clone()).or_default();
        traffic.record_hold(now.since(began_at));
    }
    request.may_have_run |= result.may_have_run();
    let group = state.servers.server(&id).and_then(|it| it.record.group.as_ref());
    match result {
        AttemptResult::NeverSent | AttemptResult::NoListener => request.connect_failures += 1,
        AttemptResult::Lost | AttemptResult::Stalled | AttemptResult::NotRun => {
            request.attempts_sent += 1;
            request.failed_groups.extend(group.map(|it| it.name.clone()));
        }
        AttemptResult::Answered
        | AttemptResult::ServerError
        | AttemptResult::WrongServer
        | AttemptResult::OtherWeights
        | AttemptResult::Abandoned => request.attempts_sent += 1,
    }
    let change = update_health(state, incarnation, address, result, now);
    let mut effects: Vec<RoutingEffect> =
        change.map(RoutingEffect::StateChanged).into_iter().collect();
    effects.extend(learn_from_end(state, number, &attempt, (result, progress), now));
    if result == AttemptResult::Answered {
        let service = state.requests.get(&number).map(|it| it.service.clone());
        if let (Some(service), Some(timing)) = (service, timing) {
            stream_ended(state, &service, timing, now);
        }
        effects.extend(answer_progressed(state, number, progress, now));
    }
    effects.push(next_effect(state, number, (result, progress), now));
    effects
}

/// Records what the end of an attempt shows, whether it is the request's current one or was set aside:
/// that another server has the address or the weights, or that the request may have ended the server.
pub(super) fn learn_from_end(
    state: &mut RoutingState,
    number: RequestNumber,
    attempt: &CurrentAttempt,
    (result, progress): (AttemptResult, AnswerProgress),
    now: Moment,
) -> Vec<RoutingEffect> {
    let CurrentAttempt { incarnation, address, .. } = attempt;
    let version = state.requests.get(&number).and_then(|it| it.weight_version);
    if result == AttemptResult::OtherWeights
        && let Some(version) = version
    {
        state.weights.record_refusal(incarnation.clone(), version, now);
    }
    let mut effects = Vec::new();
    if result == AttemptResult::WrongServer {
        let change = state.servers.mark_replaced(incarnation, now);
        effects.extend(change.map(RoutingEffect::StateChanged));
    }
    let server = (&incarnation.0, *address);
    effects.extend(record_suspect(state, number, server, (result, progress), now));
    effects
}

/// Records an attempt's result in the server's health. Returns a change if the server is paused.
fn update_health(
    state: &mut RoutingState,
    incarnation: &Incarnation,
    address: SocketAddr,
    result: AttemptResult,
    now: Moment,
) -> Option<RoutingChange> {
    let load = state.loads.entry(address).or_default();
    load.end_attempt();
    let is_paused = match result {
        AttemptResult::NeverSent => {
            load.record_connect_failure(now);
            true
        }
        AttemptResult::NoListener => {
            load.record_connect_failure(now);
            state.servers.mark_ended(incarnation, now);
            true
        }
        AttemptResult::Lost | AttemptResult::Stalled => load.record_outcome(true, now),
        AttemptResult::ServerError | AttemptResult::NotRun => load.record_outcome(true, now),
        AttemptResult::Answered => load.record_outcome(false, now),
        AttemptResult::WrongServer | AttemptResult::OtherWeights | AttemptResult::Abandoned => {
            false
        }
    };
    is_paused.then(|| RoutingChange::ServerPaused { server: incarnation.0.clone(), result })
}

/// Records what a server said about itself with a response, to the request's current attempt or to one
/// that was set aside.
pub(super) fn server_noticed(
    state: &mut RoutingState,
    (number, attempt): (RequestNumber, u32),
    notice: ServerNotice,
    now: Moment,
) -> Vec<RoutingEffect> {
    let attempt = state.requests.get(&number).and_then(|it| it.open_attempt(attempt)).cloned();
    let Some(CurrentAttempt { incarnation, began_at, .. }) = attempt else { return Vec::new() };
    let server = incarnation.0.clone();
    let domain = state.servers.server(&server).map(|it| &it.record.failure_domain);
    let heard = (notice.limit, began_at);
    let LimitUpdate { has_news, mut changes } =
        state.limits.record_answer(&incarnation, domain, heard, now, &mut state.rng);
    if let Some(rest) = notice.rest {
        // Gateways that were told at the same time do not come back at the same time.
        let jitter = state.rng.random_range(0.0..REST_JITTER.as_secs_f64());
        let rest = rest + Duration::from_secs_f64(jitter);
        state.servers.mark_resting(incarnation.clone(), now.after(rest));
        changes.push(RoutingChange::ServerResting { server: server.clone(), rest });
    }
    if notice.is_leaving && state.servers.mark_leaving(incarnation, now) {
        update_subset(state);
        changes.push(RoutingChange::ServerLeaving(server));
    }
    let mut effects = change_effects(changes);
    effects.extend(has_news.then_some(RoutingEffect::ShareRecords));
    effects
}

fn next_effect(
    state: &mut RoutingState,
    number: RequestNumber,
    (result, progress): (AttemptResult, AnswerProgress),
    now: Moment,
) -> RoutingEffect {
    let Some(request) = state.requests.get(&number) else {
        return RoutingEffect::Finished(number);
    };
    let kind = request.route.kind;
    let has_time = now.after(MIN_ATTEMPT_TIME) < request.deadline;
    let has_attempts = request.attempts_sent < request.route.max_attempts.max(1);
    match result {
        AttemptResult::Abandoned if is_over(state, now) => {
            refuse(state, number, RefusalCode::ShuttingDown, now)
        }
        AttemptResult::Answered | AttemptResult::Abandoned => RoutingEffect::Finished(number),
        AttemptResult::NeverSent | AttemptResult::NoListener if !has_time => {
            refuse(state, number, RefusalCode::DeadlinePassed, now)
        }
        AttemptResult::NeverSent | AttemptResult::NoListener
            if request.connect_failures >= MAX_CONNECT_FAILURES =>
        {
            refuse(state, number, RefusalCode::NoServer, now)
        }
        AttemptResult::NeverSent | AttemptResult::NoListener => place_request(state, number, now),
        AttemptResult::NotRun | AttemptResult::WrongServer => {
            if has_time && has_attempts && withdraw_retry(state, number, result, now) {
                return place_request(state, number, now);
            }
            refuse(state, number, RefusalCode::Overloaded, now)
        }
        AttemptResult::OtherWeights => {
            if lacks_weights(state, request, now) {
                return refuse(state, number, RefusalCode::OtherWeights, now);
            }
            if has_time && has_attempts && withdraw_retry(state, number, result, now) {
                return place_request(state, number, now);
            }
            refuse(state, number, RefusalCode::Overloaded, now)
        }
        AttemptResult::ServerError => {
            if kind == RouteKind::Idempotent
                && has_time
                && has_attempts
                && withdraw_retry(state, number, result, now)
            {
                return place_request(state, number, now);
            }
            RoutingEffect::Finished(number)
        }
        AttemptResult::Lost => after_loss(state, number, progress, now),
        AttemptResult::Stalled => fail_over(state, number, result, now),
    }
}

/// Goes on with a request whose last call was lost.
pub(super) fn after_loss(
    state: &mut RoutingState,
    number: RequestNumber,
    progress: AnswerProgress,
    now: Moment,
) -> RoutingEffect {
    let Some(request) = state.requests.get(&number) else {
        return RoutingEffect::Finished(number);
    };
    // The request may have ended its server, and another one would end too.
    let awaits_probe =
        request.route.kind.is_idempotent() && must_await_probe(state, request, progress, now);
    let request = state.requests.get_mut(&number);
    if awaits_probe {
        let suspicion = Suspicion::Probing { until: now.after(MAX_PROBE_WAIT) };
        request.into_iter().for_each(|it| it.suspicion = suspicion);
        return RoutingEffect::Wait(number, PROBE_POLL_INTERVAL);
    }
    if is_suspect(AttemptResult::Lost, progress) {
        request.into_iter().for_each(|it| it.was_lost = true);
    }
    fail_over(state, number, AttemptResult::Lost, now)
}

/// Whether a request whose attempt was lost goes on only if its server still runs.
///
/// A prompt with parts that no answer has shown to be harmless may end the next server too, if the
/// server had begun to respond or has ended before under one of them. A whole request is sent on once, since servers mostly end for other reasons and take down whatever is in
/// progress; only if that has happened to it before, here or at another gateway, it waits.
fn must_await_probe(
    state: &RoutingState,
    request: &RequestState,
    progress: AnswerProgress,
    now: Moment,
) -> bool {
    let lost = AttemptResult::Lost;
    let has_begun = is_lost_at_beginning(lost, progress);
    let is_under_suspicion =
        has_begun || state.quarantine.has_ended_server_with(&request.shared_parts);
    let has_suspect_part = is_suspect(lost, progress)
        && is_under_suspicion
        && !state.quarantine.are_harmless(&request.shared_parts, now);
    let was_lost = request.was_lost || state.quarantine.has_ended_server(request.content);
    let is_suspect_request = is_suspect(lost, progress)
        && was_lost
        && !state.quarantine.is_harmless(request.content, now);
    has_suspect_part || is_suspect_request
}

/// Tries another server after an attempt that may have run, or refuses the request.
pub(super) fn fail_over(
    state: &mut RoutingState,
    number: RequestNumber,
    result: AttemptResult,
    now: Moment,
) -> RoutingEffect {
    let Some(request) = state.requests.get(&number) else {
        return RoutingEffect::Finished(number);
    };
    let has_time = now.after(MIN_ATTEMPT_TIME) < request.deadline;
    let has_attempts = request.attempts_sent < request.route.max_attempts.max(1);
    let may_repeat = request.route.kind.is_idempotent() && has_time && has_attempts;
    if may_repeat && withdraw_retry(state, number, result, now) {
        let request = state.requests.get_mut(&number);
        request.into_iter().for_each(|it| it.wait_deadline = now.after(FAILOVER_WAIT));
        return place_request(state, number, now);
    }
    let code = match has_time {
        true => RefusalCode::OutcomeUnknown,
        false => RefusalCode::DeadlinePassed,
    };
    refuse(state, number, code, now)
}
