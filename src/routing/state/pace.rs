//! Pace of servers: when one begins a request, and how attempts show it.

use std::time::Duration;

use super::{AttemptTiming, RequestState, RoutingState};
use crate::{
    routing::{RequestNumber, ServerLoad, StartModel, first_event_delay, pace_factor, start_delay},
    units::{Moment, ServiceName},
};

/// Returns the expected time to the first event of an attempt that begins now at a server, and what
/// is needed to learn from the attempt. `None` if the agent reports no step time.
pub(super) fn expect_first_event(
    state: &RoutingState,
    request: &RequestState,
    (load, slots): (&ServerLoad, u32),
    now: Moment,
) -> Option<(Duration, AttemptTiming)> {
    let pace = load.pace(slots, now)?;
    let model = model_of(state, &request.service);
    let delay = first_event_delay(&pace, &model, request.rank);
    let has_free_slot = start_delay(&pace, &model, request.rank).is_zero();
    Some((delay, AttemptTiming { step_time: pace.step_time, has_free_slot, first_event_at: None }))
}

/// Returns what this gateway has learned of the requests to a service.
pub(super) fn model_of(state: &RoutingState, service: &ServiceName) -> StartModel {
    state.models.get(service).cloned().unwrap_or_default()
}

/// Records that the first event of a stream has arrived.
pub(super) fn answer_began(state: &mut RoutingState, number: RequestNumber, now: Moment) {
    let Some(request) = state.requests.get_mut(&number) else { return };
    let Some(attempt) = &mut request.current_attempt else { return };
    attempt.has_begun = true;
    request.silent.clear();
    let Some(timing) = &mut attempt.timing else { return };
    timing.first_event_at = Some(now);
    if timing.has_free_slot {
        let model = state.models.entry(request.service.clone()).or_default();
        model.record_first_event(now.since(attempt.began_at), timing.step_time);
    }
}

/// Records that an attempt's stream is whole.
pub(super) fn stream_ended(
    state: &mut RoutingState,
    service: &ServiceName,
    timing: AttemptTiming,
    now: Moment,
) {
    if let Some(at) = timing.first_event_at {
        let model = state.models.entry(service.clone()).or_default();
        model.record_stream(now.since(at), timing.step_time);
    }
}

/// Returns the factor by which the server counts as more loaded for the request's route.
pub(super) fn load_factor(load: Option<&ServerLoad>, request: &RequestState, now: Moment) -> f64 {
    pace_factor(load.and_then(|it| it.smoothed_step(now)), request.route.gap_objective)
}

/// Whether the request fits the memory that its server reported as free. `true` if it is unknown.
pub(super) fn fits_memory(load: Option<&ServerLoad>, request: &RequestState, now: Moment) -> bool {
    let Some(detail) = load.and_then(|it| it.detail(now)) else { return true };
    let Some(size) = request.size.filter(|_| detail.max_tokens > 0) else { return true };
    let needed = size.prompt.0.saturating_add(size.output.0);
    needed <= u64::from(detail.max_tokens.saturating_sub(detail.used_tokens))
}
