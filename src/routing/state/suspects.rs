//! Requests that may have ended the server that began to answer them.
//!
//! A server that ends takes down all requests in progress on it. Those whose response had just begun
//! are suspects; the others are bystanders. A lost connection alone does not show that the server
//! has ended, so its address is tried first.

use std::net::SocketAddr;

use super::RoutingState;
use crate::{
    routing::{AnswerProgress, AttemptResult, RequestNumber, RoutingChange, RoutingEffect},
    units::{PartDigest, RequestId, ServerId},
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
fn is_lost_at_beginning(result: AttemptResult, progress: AnswerProgress) -> bool {
    let has_just_begun = match progress {
        AnswerProgress::Head => true,
        AnswerProgress::Events(count) => count <= MAX_BEGINNING_EVENTS,
        AnswerProgress::Nothing => false,
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

/// Concludes from a probe whether the server has ended.
pub(super) fn server_probed(
    state: &mut RoutingState,
    server: ServerId,
    has_ended: bool,
) -> Vec<RoutingEffect> {
    let Some(ending) = state.ending_servers.remove(&server) else { return Vec::new() };
    if !has_ended {
        return Vec::new();
    }
    let EndingServer { suspects, .. } = ending;
    vec![RoutingEffect::StateChanged(RoutingChange::ServerEnded { server, suspects })]
}
