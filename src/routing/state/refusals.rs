//! Refusals: what a caller is told, and when it may come back.

use std::time::Duration;

use super::{
    RoutingState,
    silence::rely_on_silent,
    waiting::{backlog_wait, note},
};
use crate::{
    core::{Refusal, RefusalCode, RunOutcome},
    routing::{AdmissionOutcome, RequestNumber, RetryReason, RoutingEffect, retry_after},
    units::Moment,
};

/// Refuses a request because all servers want no requests. The caller is told when the first of
/// them takes requests again, if it waits that long.
pub(super) fn refuse_until_rested(
    state: &mut RoutingState,
    number: RequestNumber,
    delay: Duration,
    now: Moment,
) -> RoutingEffect {
    let deadline = state.requests.get(&number).map(|it| it.deadline);
    let max_wait = state.settings.admission.max_wait;
    match refuse(state, number, RefusalCode::Overloaded, now) {
        RoutingEffect::Refuse(number, Refusal { code, outcome, retry_after: Some(drawn) }) => {
            let longest = deadline.map_or(drawn, |it| it.since(now).mul_f64(max_wait));
            let retry_after = Some(drawn.max(delay).min(longest));
            RoutingEffect::Refuse(number, Refusal { code, outcome, retry_after })
        }
        effect => effect,
    }
}

pub(super) fn refuse(
    state: &mut RoutingState,
    number: RequestNumber,
    code: RefusalCode,
    now: Moment,
) -> RoutingEffect {
    if let Some(effect) = rely_on_silent(state, number, now) {
        return effect;
    }
    let Some(request) = state.requests.get(&number) else {
        return RoutingEffect::Finished(number);
    };
    let suspect_codes =
        [RefusalCode::ServerEnded, RefusalCode::HarmfulPrompt, RefusalCode::HarmfulRequest];
    let is_suspect = suspect_codes.contains(&code);
    let refusal = match request.may_have_run {
        // The request may have run, so the refusal must not promise that it has not.
        true if code == RefusalCode::DeadlinePassed => {
            Refusal::unknown(RefusalCode::DeadlineDuringRun)
        }
        true if is_suspect => Refusal { outcome: RunOutcome::Ran, ..Refusal::unknown(code) },
        true => Refusal::unknown(RefusalCode::OutcomeUnknown),
        false => Refusal::not_run(code),
    };
    // It was lost, and what it holds is on trial.
    let is_lost_suspect = code == RefusalCode::InputOnTrial && request.may_have_run;
    // A caller that must not repeat its request, or whose request ends servers, gets no retry delay.
    let may_retry = !is_suspect
        && !is_lost_suspect
        && (!request.may_have_run || request.route.kind.is_idempotent());
    let is_full = code == RefusalCode::Overloaded;
    if is_full {
        state.shares.record_refusal(&request.service, now);
    }
    let reason = if is_full { RetryReason::Full } else { RetryReason::Outage };
    let (time_left, mut settings) = (request.deadline.since(now), state.settings.admission);
    let mut backlog = Duration::ZERO;
    let traffic = state.traffic.get(&request.service).filter(|_| is_full);
    if let Some((rank, traffic)) = request.rank.zip(traffic) {
        settings = settings.for_part(traffic.retry_fraction(rank, now));
        backlog = backlog_wait(state, request, now).min(time_left.mul_f64(settings.max_wait));
    }
    // Another gateway serves it at once.
    let is_elsewhere = code == RefusalCode::ShuttingDown;
    let delay = may_retry.then(|| match is_elsewhere {
        true => Duration::ZERO,
        false => retry_after(time_left, reason, &settings, &mut state.rng),
    });
    let delay = delay.map(|it| it.max(backlog));
    note(state, number, AdmissionOutcome::Refused, now);
    state.waiting.remove(number);
    RoutingEffect::Refuse(number, Refusal { retry_after: delay, ..refusal })
}
