//! Trials of inputs that many servers had in progress when they ended at the same time.
//!
//! Either the input is harmful, and each copy would end one more server; or it is sound, and its
//! answer shows that. So it is sent, but by few gateways at any time, one copy at a time each. All
//! gateways choose them alike, without messages, and others for each time slot, since the copies may
//! come to any gateway.

use std::{net::SocketAddr, time::Duration};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::RoutingState;
use crate::{
    routing::{InputTrial, RequestNumber},
    units::{InputDigest, Moment},
};

/// Number of gateways that send an input on trial in a time slot.
const TRIAL_GATEWAYS: usize = 2;
/// Length of the time slots: several times what it takes to try an input and to tell all gateways.
const TRIAL_SLOT: Duration = Duration::from_secs(1);
/// Fraction of the gateways that must be known to choose among them.
const MIN_KNOWN_FRACTION: f64 = 0.8;

/// Whether a request must not be sent now, because this gateway does not try out what it holds or is
/// doing so already.
pub(super) fn is_held_by_trial(state: &RoutingState, number: RequestNumber, now: Moment) -> bool {
    let Some(request) = state.requests.get(&number) else { return false };
    let trials = state.quarantine.trials_of(request.content, &request.shared_parts, now);
    trials.iter().any(|it| !is_chosen(state, it) || is_being_tried(state, number, it.input, now))
}

/// Whether this gateway is one of those that try out an input in the present time slot.
fn is_chosen(state: &RoutingState, trial: &InputTrial) -> bool {
    let slot = trial.age.as_secs() / TRIAL_SLOT.as_secs();
    let seed = xxh3_64_with_seed(trial.input.to_string().as_bytes(), slot);
    let draw = |it: &SocketAddr| xxh3_64_with_seed(it.to_string().as_bytes(), seed);
    let (own, known) = (draw(&state.settings.address), &state.known_gateways);
    let count = if state.gateways.is_known() { state.gateways.recent() } else { 0 };
    if (known.len() as f64) < f64::from(count) * MIN_KNOWN_FRACTION {
        // Nobody knows who draws lower, but how many would.
        return (own as f64) < u64::MAX as f64 * TRIAL_GATEWAYS as f64 / f64::from(count);
    }
    known.iter().filter(|it| draw(it) < own).count() < TRIAL_GATEWAYS
}

/// Whether another request with the input is at a server, or has been lost and its server may have
/// ended.
fn is_being_tried(
    state: &RoutingState,
    number: RequestNumber,
    input: InputDigest,
    now: Moment,
) -> bool {
    let others = state.requests.iter().filter(|(other, _)| **other != number);
    let mut in_progress = others.filter(|(_, it)| it.current_attempt.is_some());
    let holds =
        |content: InputDigest, parts: &[InputDigest]| content == input || parts.contains(&input);
    in_progress.any(|(_, it)| holds(it.content, &it.shared_parts))
        || state.ending_servers.values().any(|it| it.may_have_ended_under(input, now))
}
