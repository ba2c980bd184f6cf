//! Requests that may have ended the server that began to answer them.
//!
//! A server that ends takes down all requests in progress on it. Those whose response had just begun
//! are suspects; the others are bystanders. A lost connection alone does not show that the server
//! has ended, so its address is tried first.

use std::net::SocketAddr;

use super::RoutingState;
use crate::{
    routing::{
        AnswerProgress, AttemptResult, CrashReport, QuarantineUpdate, RequestNumber, RoutingChange,
        RoutingEffect, SETTLED_EVENTS,
    },
    units::{Moment, PartDigest, RequestId, ServerId},
};

/// Number of events of a stream up to which its response counts as just begun.
const MAX_BEGINNING_EVENTS: u32 = 1;

/// A server that may have ended, until its address is tried.
#[derive(Clone, Debug)]
pub(super) struct EndingServer {
    /// The requests that the server was beginning to answer, with their shared parts.
    suspects: Vec<(RequestId, Vec<PartDigest>)>,
}

/// Whether the attempt was lost while the server began to write its response.
pub(super) fn is_lost_at_beginning(result: AttemptResult, progress: AnswerProgress) -> bool {
    let has_just_begun = match progress {
        AnswerProgress::Head => true,
        AnswerProgress::Events(count) => count <= MAX_BEGINNING_EVENTS,
        AnswerProgress::Nothing | AnswerProgress::Whole => false,
    };
    result == AttemptResult::Lost && has_just_begun
}

/// Records a request whose attempt was lost as a suspect. Returns the effect that finds out whether
/// the server has ended, for the first suspect.
pub(super) fn record_suspect(
    state: &mut RoutingState,
    number: RequestNumber,
    (server, address): (&ServerId, SocketAddr),
    (result, progress): (AttemptResult, AnswerProgress),
) -> Option<RoutingEffect> {
    if !is_lost_at_beginning(result, progress) {
        return None;
    }
    let request = state.requests.get(&number).filter(|it| !it.shared_parts.is_empty())?;
    let suspect = (request.request_id.clone(), request.shared_parts.clone());
    if let Some(ending) = state.ending_servers.get_mut(server) {
        ending.suspects.push(suspect);
        return None;
    }
    let ending = EndingServer { suspects: vec![suspect] };
    state.ending_servers.insert(server.clone(), ending);
    Some(RoutingEffect::ProbeServer { server: server.clone(), address })
}

/// Concludes from a probe whether the server has ended. A server that was leaving has ended as
/// planned.
pub(super) fn server_probed(
    state: &mut RoutingState,
    server: &ServerId,
    has_ended: bool,
    now: Moment,
) -> Vec<RoutingEffect> {
    let Some(ending) = state.ending_servers.remove(server) else { return Vec::new() };
    let is_leaving = state.servers.server(server).is_some_and(|it| state.servers.is_leaving(it));
    if !has_ended || is_leaving {
        return Vec::new();
    }
    let change =
        RoutingChange::ServerEnded { server: server.clone(), suspects: ending.suspects.clone() };
    let mut effects = vec![RoutingEffect::StateChanged(change)];
    for (request, parts) in ending.suspects {
        let update = state.quarantine.record_end(server.clone(), request, parts, now);
        effects.extend(update_effects(update));
    }
    effects
}

/// Records that the response to a request goes on, so that no part of its prompt ends servers.
pub(super) fn answer_progressed(
    state: &mut RoutingState,
    number: RequestNumber,
    progress: AnswerProgress,
    now: Moment,
) -> Vec<RoutingEffect> {
    let is_settled = match progress {
        AnswerProgress::Whole => true,
        AnswerProgress::Events(count) => count >= SETTLED_EVENTS,
        AnswerProgress::Nothing | AnswerProgress::Head => false,
    };
    let Some(request) = state.requests.get(&number).filter(|_| is_settled) else {
        return Vec::new();
    };
    update_effects(state.quarantine.record_harmless(&request.shared_parts, now))
}

/// Merges the records of another gateway.
pub(super) fn quarantine_read(
    state: &mut RoutingState,
    reports: Vec<CrashReport>,
    now: Moment,
) -> Vec<RoutingEffect> {
    update_effects(state.quarantine.merge(reports, now))
}

/// Returns the effects of a change of the quarantine.
pub(super) fn update_effects(update: QuarantineUpdate) -> Vec<RoutingEffect> {
    let share = update.has_news.then_some(RoutingEffect::ShareQuarantine);
    let changes = update.changes.into_iter().map(RoutingEffect::StateChanged);
    changes.chain(share).collect()
}
