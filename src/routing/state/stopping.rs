//! A planned stop: which requests the process can still serve before it ends.

use std::time::Duration;

use super::{RequestState, RoutingState, WAIT_POLL_INTERVAL, change_effects};
use crate::{
    routing::{RequestNumber, RouteKind, RouteRecord, RoutingChange, RoutingEffect, StopSchedule},
    units::Moment,
};

/// Begins the stop. All requests that wait look for a server again, since they may wait too long.
pub(super) fn stop_requested(
    state: &mut RoutingState,
    schedule: StopSchedule,
) -> Vec<RoutingEffect> {
    if state.stop.is_some() {
        return Vec::new();
    }
    state.stop = Some(schedule);
    let waiting = state.requests.iter().filter(|(_, it)| it.current_attempt.is_none());
    let wakes = waiting.map(|(number, _)| RoutingEffect::Resume(*number));
    wakes.chain(change_effects(vec![RoutingChange::Stopping])).collect()
}

/// Whether an answer that begins now is expected to end before the process does. Once callers'
/// new connections go elsewhere, it must end in time however long it takes: its caller need only
/// connect again.
pub(super) fn can_finish(state: &RoutingState, request: &RequestState, now: Moment) -> bool {
    let Some(schedule) = state.stop else { return true };
    let left = schedule.answers_due_at().since(now);
    let longest = request.deadline.since(now);
    let has_moved = now >= schedule.callers_moved_at;
    let expected = expected_time(state, &request.route).unwrap_or(longest);
    (if has_moved { longest } else { expected.min(longest) }) <= left
}

/// Returns the time within which a request of the route is expected to end, or `None` if it may take
/// all the time that it has.
fn expected_time(state: &RoutingState, route: &RouteRecord) -> Option<Duration> {
    let usual = state.run_times.bound(&route.name);
    match route.kind {
        // A caller whose request was cut off may ask again.
        RouteKind::Idempotent | RouteKind::ResumableStream => Some(usual.unwrap_or_default()),
        RouteKind::Single | RouteKind::SingleStream => {
            Some(usual?.max(state.run_times.longest(&route.name)?))
        }
    }
}

/// Shortens the wait of a request while the process stops, since it may have to be refused in time.
pub(super) fn bound_wait(state: &RoutingState, effect: RoutingEffect) -> RoutingEffect {
    match effect {
        RoutingEffect::Wait(number, delay) if state.stop.is_some() => {
            RoutingEffect::Wait(number, delay.min(WAIT_POLL_INTERVAL))
        }
        effect => effect,
    }
}

/// Whether the process ends before any request can go on.
pub(super) fn is_over(state: &RoutingState, now: Moment) -> bool {
    state.stop.is_some_and(|it| now >= it.answers_due_at())
}

/// Whether a request that has not run cannot be served any more by this process.
pub(super) fn must_go_elsewhere(state: &RoutingState, number: RequestNumber, now: Moment) -> bool {
    let request = state.requests.get(&number);
    request.is_some_and(|it| !it.may_have_run && !can_finish(state, it, now))
}
