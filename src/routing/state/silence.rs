//! Attempts whose servers are silent. Their calls stay open while another server is tried, or while
//! none can be: a server may only have paused, and giving its call up would take the answer from the
//! caller.

use std::time::Duration;

use super::{
    CurrentAttempt, RoutingState,
    attempts::{after_loss, fail_over, learn_from_end},
    choose_server,
    stopping::is_over,
    suspects::is_suspect,
};
use crate::{
    routing::{AnswerProgress, AttemptResult, PlacementChoice, RequestNumber, RoutingEffect},
    units::Moment,
};

/// Interval at which a request that relies on a silent server asks for another one again.
const SILENCE_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Silent attempts of a request.
#[derive(Clone, Debug, Default)]
pub(super) struct SilentAttempts {
    attempts: Vec<CurrentAttempt>,
    /// Whether the request has nothing else.
    is_relied_on: bool,
}

impl SilentAttempts {
    pub(super) fn push(&mut self, attempt: CurrentAttempt) {
        self.attempts.push(attempt);
    }

    /// Forgets all of them: another attempt has gone on.
    pub(super) fn clear(&mut self) {
        *self = Self::default();
    }

    pub(super) fn is_relied_on(&self) -> bool {
        self.is_relied_on
    }

    /// Records that another server is tried.
    pub(super) fn begin_attempt(&mut self) {
        self.is_relied_on = false;
    }

    /// Returns a silent attempt by its number.
    pub(super) fn find(&self, attempt: u32) -> Option<&CurrentAttempt> {
        self.attempts.iter().find(|it| it.attempt == attempt)
    }

    fn take(&mut self, attempt: u32) -> Option<CurrentAttempt> {
        let index = self.attempts.iter().position(|it| it.attempt == attempt)?;
        Some(self.attempts.swap_remove(index))
    }
}

/// Returns the effect with which a request goes on that would be refused, but has silent attempts.
pub(super) fn rely_on_silent(
    state: &mut RoutingState,
    number: RequestNumber,
    now: Moment,
) -> Option<RoutingEffect> {
    if is_over(state, now) {
        return None;
    }
    let request = state.requests.get_mut(&number)?;
    if request.silent.attempts.is_empty() || now >= request.deadline {
        return None;
    }
    request.silent.is_relied_on = true;
    let left = request.deadline.since(now);
    Some(RoutingEffect::Wait(number, SILENCE_RETRY_INTERVAL.min(left)))
}

/// Asks for another server for a request that relies on a silent one. A retry is withdrawn only if
/// there is one.
pub(super) fn ask_again(
    state: &mut RoutingState,
    number: RequestNumber,
    now: Moment,
) -> RoutingEffect {
    let choice = state.requests.get(&number).map(|it| choose_server(state, it, now).0);
    let has_server = matches!(choice, Some(PlacementChoice::Server(_)));
    let waits = if has_server { None } else { rely_on_silent(state, number, now) };
    waits.unwrap_or_else(|| fail_over(state, number, AttemptResult::Stalled, now))
}

/// Goes back to a silent attempt whose server has gone on.
pub(super) fn attempt_revived(
    state: &mut RoutingState,
    number: RequestNumber,
    attempt: u32,
    now: Moment,
) -> Vec<RoutingEffect> {
    let Some(request) = state.requests.get_mut(&number) else { return Vec::new() };
    let Some(attempt) = request.silent.take(attempt) else { return Vec::new() };
    request.silent.clear();
    request.is_waiting = false;
    // It counts again when it ends.
    request.attempts_sent = request.attempts_sent.saturating_sub(1);
    let load = state.loads.entry(attempt.address).or_default();
    load.begin_attempt();
    load.record_outcome(false, now);
    request.current_attempt = Some(CurrentAttempt { is_ending: false, ..attempt });
    state.waiting.remove(number);
    Vec::new()
}

/// Forgets a silent attempt that has failed. What its end shows about the server and about the request
/// is kept as for any other attempt. Returns how the request goes on if it relied on it.
pub(super) fn silent_ended(
    state: &mut RoutingState,
    (number, attempt): (RequestNumber, u32),
    (result, progress): (AttemptResult, AnswerProgress),
    now: Moment,
) -> Vec<RoutingEffect> {
    let Some(request) = state.requests.get_mut(&number) else { return Vec::new() };
    let Some(attempt) = request.silent.take(attempt) else { return Vec::new() };
    let is_last = request.silent.is_relied_on && request.silent.attempts.is_empty();
    request.silent.is_relied_on &= !is_last;
    let mut effects = learn_from_end(state, number, &attempt, (result, progress), now);
    if is_last {
        effects.push(if result == AttemptResult::Lost {
            after_loss(state, number, progress, now)
        } else {
            fail_over(state, number, AttemptResult::Stalled, now)
        });
    } else if is_suspect(result, progress) {
        let request = state.requests.get_mut(&number);
        request.into_iter().for_each(|it| it.was_lost = true);
    }
    effects
}
