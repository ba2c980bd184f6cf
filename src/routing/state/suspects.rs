//! Requests that may have ended the server that ran them.
//!
//! A server that ends takes down all requests in progress on it. Those whose response had not begun,
//! or had just begun, are suspects; the others are bystanders. A lost connection alone does not show
//! that the server has ended, so its address is tried first.

use std::{net::SocketAddr, time::Duration};

use super::{
    RequestState, RoutingState, attempts::fail_over, place_request, refuse, silence::ask_again,
};
use crate::{
    core::RefusalCode,
    routing::{
        AnswerProgress, AttemptResult, CrashReport, QuarantineUpdate, RequestNumber, RoutingChange,
        RoutingEffect, SETTLED_EVENTS, SuspectInput,
    },
    units::{InputDigest, Moment, RequestId, ServerId},
};

/// Number of events of a stream up to which its response counts as just begun.
const MAX_BEGINNING_EVENTS: u32 = 1;

/// Time after which a probe without a result is made again at the next lost attempt.
const PROBE_TTL: Duration = Duration::from_secs(2);
/// Interval at which a request looks whether the probe of its last server has ended.
pub(super) const PROBE_POLL_INTERVAL: Duration = Duration::from_millis(40);

/// Whether a request may have ended the server of its last attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Suspicion {
    /// There is no reason to think so.
    None,
    /// The server is being probed.
    Probing {
        /// End of the wait for the result.
        until: Moment,
    },
    /// The server has ended.
    ServerEnded,
    /// The server still runs: only the connection was lost.
    ServerRuns,
}

impl Suspicion {
    fn is_probing(self) -> bool {
        match self {
            Self::Probing { .. } => true,
            Self::None | Self::ServerEnded | Self::ServerRuns => false,
        }
    }
}

/// A server that may have ended, until its address is tried.
#[derive(Clone, Debug)]
pub(super) struct EndingServer {
    since: Moment,
    /// The requests that the server may have ended under.
    suspects: Vec<SuspectRequest>,
}

impl EndingServer {
    /// Whether the server may have ended under this input, and its address is being tried.
    pub(super) fn may_have_ended_under(&self, input: InputDigest, now: Moment) -> bool {
        let holds = |it: &SuspectInput| it.content == Some(input) || it.parts.contains(&input);
        now.since(self.since) < PROBE_TTL && self.suspects.iter().any(|it| holds(&it.input))
    }
}

#[derive(Clone, Debug)]
struct SuspectRequest {
    number: RequestNumber,
    /// Number of the request's attempts with the lost one.
    attempts_sent: u32,
    request_id: RequestId,
    input: SuspectInput,
}

/// Whether the attempt was lost before the response had got beyond its beginning.
pub(super) fn is_suspect(result: AttemptResult, progress: AnswerProgress) -> bool {
    let is_silent = result == AttemptResult::Lost && progress == AnswerProgress::Nothing;
    is_silent || is_lost_at_beginning(result, progress)
}

/// Whether the attempt was lost while the server began to write its response.
pub(super) fn is_lost_at_beginning(result: AttemptResult, progress: AnswerProgress) -> bool {
    let has_just_begun = match progress {
        AnswerProgress::Begun | AnswerProgress::Head => true,
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
    now: Moment,
) -> Option<RoutingEffect> {
    if !is_suspect(result, progress) {
        return None;
    }
    let request = state.requests.get(&number)?;
    // Parts of prompts end servers as they begin to write, which may be lost with the server.
    let is_confirmed = is_lost_at_beginning(result, progress);
    let suspect = SuspectRequest {
        number,
        attempts_sent: request.attempts_sent,
        request_id: request.request_id.clone(),
        input: SuspectInput {
            parts: request.shared_parts.clone(),
            is_confirmed,
            content: Some(request.content),
        },
    };
    let is_pending = |it: &&mut EndingServer| now.since(it.since) < PROBE_TTL;
    if let Some(ending) = state.ending_servers.get_mut(server).filter(is_pending) {
        ending.suspects.push(suspect);
        return None;
    }
    let ending = EndingServer { since: now, suspects: vec![suspect] };
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
    let is_crash = has_ended && !is_leaving;
    let verdict = if is_crash { Suspicion::ServerEnded } else { Suspicion::ServerRuns };
    for suspect in &ending.suspects {
        let request = state.requests.get_mut(&suspect.number);
        // A request may have gone on meanwhile, and may wait for the probe of its next server.
        let is_waiting = |it: &&mut RequestState| {
            it.suspicion.is_probing() && it.attempts_sent == suspect.attempts_sent
        };
        if let Some(request) = request.filter(is_waiting) {
            request.suspicion = verdict;
        }
    }
    if !is_crash {
        return Vec::new();
    }
    let suspects = ending.suspects.iter();
    let suspects = suspects.map(|it| (it.request_id.clone(), it.input.clone())).collect();
    let change = RoutingChange::ServerEnded { server: server.clone(), suspects };
    let mut effects = vec![RoutingEffect::StateChanged(change)];
    for SuspectRequest { request_id, input, .. } in ending.suspects {
        let update = state.quarantine.record_end(server.clone(), request_id, input, now);
        effects.extend(update_effects(update));
    }
    effects
}

/// Records that the response to a request goes on, so that neither it nor a part of its prompt ends
/// servers.
pub(super) fn answer_progressed(
    state: &mut RoutingState,
    number: RequestNumber,
    progress: AnswerProgress,
    now: Moment,
) -> Vec<RoutingEffect> {
    let is_settled = match progress {
        AnswerProgress::Whole => true,
        AnswerProgress::Events(count) => count >= SETTLED_EVENTS,
        AnswerProgress::Nothing | AnswerProgress::Begun | AnswerProgress::Head => false,
    };
    let Some(request) = state.requests.get(&number).filter(|_| is_settled) else {
        return Vec::new();
    };
    let (parts, content) = (request.shared_parts.clone(), Some(request.content));
    let input = SuspectInput { parts, is_confirmed: true, content };
    update_effects(state.quarantine.record_harmless(&input, now))
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
    let share = update.has_news.then_some(RoutingEffect::ShareRecords);
    let changes = update.changes.into_iter().map(RoutingEffect::StateChanged);
    changes.chain(share).collect()
}

/// Goes on with a request that waited, for a server or for the probe of its last server.
pub(super) fn resolve_suspicion(
    state: &mut RoutingState,
    number: RequestNumber,
    now: Moment,
) -> RoutingEffect {
    let Some(request) = state.requests.get_mut(&number) else {
        return RoutingEffect::Finished(number);
    };
    match request.suspicion {
        Suspicion::None if request.silent.is_relied_on() => ask_again(state, number, now),
        Suspicion::None => place_request(state, number, now),
        Suspicion::Probing { until } if now < until => {
            RoutingEffect::Wait(number, PROBE_POLL_INTERVAL)
        }
        // Without a response nobody knows whether the server has ended.
        Suspicion::Probing { .. } | Suspicion::ServerEnded => {
            refuse(state, number, RefusalCode::ServerEnded, now)
        }
        Suspicion::ServerRuns => {
            request.suspicion = Suspicion::None;
            fail_over(state, number, AttemptResult::Lost, now)
        }
    }
}
