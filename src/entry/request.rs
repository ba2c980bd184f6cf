//! One caller's request, from its arrival to the last byte of its answer.
//!
//! Each request runs in its own task, so that a request that must not be cancelled continues after
//! its caller has disconnected, and an interrupted stream can be resumed from another server.

use std::{sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{HeaderValue, StatusCode};
use tokio::{
    sync::{mpsc, oneshot},
    time::{Instant, timeout, timeout_at},
};
use volo_http::{body::Body, response::Response};

use super::{
    AgentConnections,
    attempt::{AnswerChunk, ResponseHead, SentAttempt},
    callers::CallerRequest,
};
use crate::{
    core::{AttemptOutcome, Event, Refusal, RefusalCode, RequestInfo},
    daemon::{ProcessShell, RequestCommand, RequestTrace},
    http::{REQUEST_ID, RelaySender, caller_disconnected, error_event, error_response, relay_body},
    units::{RequestId, TokenCount, VmId},
    wire::{RunMode, WorkKind, WorkRequest},
};

/// Time past the deadline in which the agent may still report that the request did not run.
const OUTCOME_GRACE: Duration = Duration::from_millis(150);

/// Runs a request and returns its response. The body of a streamed response is sent later.
pub(super) async fn run(
    shell: Arc<ProcessShell>,
    connections: Arc<AgentConnections>,
    request: CallerRequest,
) -> Response {
    let request_id = request.info.request_id.clone();
    let Some(commands) = shell.request_mailboxes().open(&request_id) else {
        return error_response(&Refusal::not_run(RefusalCode::RepeatedRequestId), &request_id);
    };
    let (response_sender, response_receiver) = oneshot::channel();
    // A disconnect of the caller drops this future and with it the sender, unsent.
    let (caller_present, caller_dropped) = oneshot::channel();
    let task = RequestTask {
        deadline: shell.clock.instant(request.info.deadline),
        shell,
        connections,
        work_request: request.work_request,
        caller: CallerState::Waiting(response_sender),
        tokens: 0,
    };
    tokio::spawn(task.run(request.info, commands, caller_dropped));
    let response = response_receiver.await;
    let _ = caller_present.send(());
    match response {
        Ok(response) => response,
        // The task always answers unless it panicked, and then the outcome is unknown.
        Err(_) => error_response(&Refusal::unknown(RefusalCode::OutcomeUnknown), &request_id),
    }
}

/// What the caller has received so far.
enum CallerState {
    /// Nothing yet.
    Waiting(oneshot::Sender<Response>),
    /// The head and some events of a stream.
    Streaming(RelaySender),
    /// The complete answer or a refusal.
    Done,
}

/// State of a request in progress.
struct RequestTask {
    shell: Arc<ProcessShell>,
    connections: Arc<AgentConnections>,
    work_request: WorkRequest,
    deadline: Instant,
    caller: CallerState,
    /// Tokens generated for the request so far, over all attempts.
    tokens: u64,
}

impl RequestTask {
    async fn run(
        mut self,
        info: RequestInfo,
        mut commands: mpsc::UnboundedReceiver<RequestCommand>,
        caller_dropped: oneshot::Receiver<()>,
    ) {
        let shell = self.shell.clone();
        let request_id = self.work_request.request_id.clone();
        shell.record_request(RequestTrace {
            request_id: request_id.clone(),
            account: info.account.clone(),
            service: info.service.clone(),
            at: shell.clock.now(),
            attempts: Vec::new(),
            refusal: None,
        });
        let started = Instant::now();
        let is_cancellable = is_cancellable(&info);
        shell.dispatch(Event::RequestArrived(info));
        tokio::select! {
            () = self.execute_commands(&mut commands) => {}
            () = caller_disconnected(caller_dropped), if is_cancellable => {
                shell.metrics.count("caller.gone")
            }
        }
        // The mailbox must close first: after the next event the reducer no longer knows the
        // request, and a new one may use the same id.
        shell.request_mailboxes().close(&request_id);
        shell.dispatch(Event::RequestEnded { request_id, tokens: TokenCount(self.tokens) });
        shell.metrics.time("request.duration", started.elapsed());
    }

    /// Carries out the reducer's commands until the request is answered or refused.
    async fn execute_commands(&mut self, commands: &mut mpsc::UnboundedReceiver<RequestCommand>) {
        while let Some(command) = commands.recv().await {
            match command {
                RequestCommand::Attempt { vm, priority } => {
                    self.work_request.priority = priority;
                    let outcome = self.attempt(&vm).await;
                    let is_last = outcome == AttemptOutcome::Answered;
                    self.record_outcome(vm, outcome);
                    if is_last {
                        return;
                    }
                }
                RequestCommand::Refuse(refusal) => return self.refuse(&refusal).await,
            }
        }
    }

    fn record_outcome(&self, vm: VmId, outcome: AttemptOutcome) {
        let request_id = self.work_request.request_id.clone();
        self.shell.update_trace(&request_id, |it| {
            if let Some(record) = it.attempts.last_mut() {
                record.outcome = Some(outcome.clone());
            }
        });
        self.shell.dispatch(Event::AttemptEnded { request_id, vm, outcome });
    }

    /// Makes one attempt, bounded by the deadline plus [`OUTCOME_GRACE`].
    async fn attempt(&mut self, vm: &VmId) -> AttemptOutcome {
        let give_up_at = self.deadline + OUTCOME_GRACE;
        match timeout_at(give_up_at, self.exchange_work(vm)).await {
            Ok(outcome) => outcome,
            Err(_) if matches!(self.caller, CallerState::Streaming(_)) => {
                AttemptOutcome::LostMidAnswer
            }
            Err(_) => AttemptOutcome::LostUnanswered,
        }
    }

    /// Sends the work request to the agent and relays its answer to the caller.
    async fn exchange_work(&mut self, vm: &VmId) -> AttemptOutcome {
        self.work_request.time_left = self.deadline.saturating_duration_since(Instant::now());
        let mut attempt =
            match SentAttempt::send(self.connections.get(vm), vm, &self.work_request).await {
                Ok(attempt) => attempt,
                Err(outcome) => return outcome,
            };
        let head = match attempt.read_head(&self.shell).await {
            Ok(head) => head,
            Err(outcome) => return self.classify_head_failure(outcome),
        };
        let is_stream = self.work_request.kind == WorkKind::StreamedDraft
            && head.status == StatusCode::OK.as_u16();
        if !is_stream && matches!(self.caller, CallerState::Streaming(_)) {
            return AttemptOutcome::LostMidAnswer;
        }
        let result = if is_stream {
            self.relay_stream(&mut attempt, head).await
        } else {
            self.buffer_answer(&mut attempt, head).await
        };
        match result {
            Ok(()) => AttemptOutcome::Answered,
            Err(outcome) => outcome,
        }
    }

    /// Returns the outcome of an attempt that failed before its head. It is a loss in mid-answer if
    /// the caller already has part of a stream.
    fn classify_head_failure(&self, outcome: AttemptOutcome) -> AttemptOutcome {
        let is_streaming = matches!(self.caller, CallerState::Streaming(_));
        if is_streaming && outcome == AttemptOutcome::LostUnanswered {
            return AttemptOutcome::LostMidAnswer;
        }
        outcome
    }

    /// Relays a stream to the caller, in chunks of whole events.
    async fn relay_stream(
        &mut self,
        attempt: &mut SentAttempt,
        head: ResponseHead,
    ) -> Result<(), AttemptOutcome> {
        if let CallerState::Waiting(_) = self.caller {
            let (sender, body) = relay_body();
            let response =
                build_response(head, &self.work_request.request_id, Body::from_body(body));
            self.start_stream(response, sender)?;
        }
        loop {
            match attempt.next_chunk(&self.shell).await? {
                AnswerChunk::End => {
                    self.caller = CallerState::Done;
                    return Ok(());
                }
                AnswerChunk::Data { events, bytes } => {
                    self.send_chunk(bytes).await?;
                    self.work_request.resume_after += u64::from(events);
                    self.tokens += u64::from(events);
                }
            }
        }
    }

    fn start_stream(
        &mut self,
        response: Response,
        sender: RelaySender,
    ) -> Result<(), AttemptOutcome> {
        let caller = std::mem::replace(&mut self.caller, CallerState::Streaming(sender));
        let CallerState::Waiting(response_sender) = caller else { return Ok(()) };
        response_sender.send(response).map_err(|_| AttemptOutcome::Answered)
    }

    /// Sends a chunk to the caller. The request counts as answered if the caller has disconnected
    /// or reads nothing for the stall timeout.
    async fn send_chunk(&mut self, bytes: Bytes) -> Result<(), AttemptOutcome> {
        let CallerState::Streaming(sender) = &self.caller else {
            return Err(AttemptOutcome::Answered);
        };
        let stall_timeout = Duration::from_millis(self.shell.settings.http.stall_timeout_ms);
        match timeout(stall_timeout, sender.send(Ok(bytes))).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => {
                self.shell.metrics.count("caller.gone");
                Err(AttemptOutcome::Answered)
            }
            Err(_) => {
                self.shell.metrics.count("caller.stalled");
                Err(AttemptOutcome::Answered)
            }
        }
    }

    /// Buffers the complete answer before the caller gets any of it, so that an attempt whose
    /// answer breaks off can be retried.
    async fn buffer_answer(
        &mut self,
        attempt: &mut SentAttempt,
        head: ResponseHead,
    ) -> Result<(), AttemptOutcome> {
        let max_bytes = self.shell.settings.http.max_answer_bytes;
        let mut body = BytesMut::new();
        loop {
            let chunk = attempt
                .next_chunk(&self.shell)
                .await
                .map_err(|_| AttemptOutcome::LostUnanswered)?;
            match chunk {
                AnswerChunk::End => break,
                AnswerChunk::Data { bytes, .. } => body.extend_from_slice(&bytes),
            }
            if body.len() as u64 > max_bytes.0 {
                self.refuse(&Refusal::unknown(RefusalCode::AnswerTooLarge)).await;
                return Ok(());
            }
        }
        let body = body.freeze();
        self.tokens += count_tokens(&body, self.work_request.kind);
        let response = build_response(head, &self.work_request.request_id, Body::from(body));
        if let CallerState::Waiting(response_sender) =
            std::mem::replace(&mut self.caller, CallerState::Done)
        {
            let _ = response_sender.send(response);
        }
        Ok(())
    }

    async fn refuse(&mut self, refusal: &Refusal) {
        match std::mem::replace(&mut self.caller, CallerState::Done) {
            CallerState::Waiting(response_sender) => {
                let _ =
                    response_sender.send(error_response(refusal, &self.work_request.request_id));
            }
            CallerState::Streaming(sender) => {
                let _ = sender.send(Ok(error_event(refusal, &self.work_request.request_id))).await;
            }
            CallerState::Done => {}
        }
    }
}

/// Returns whether the request may be cancelled when its caller disconnects. A request that runs at
/// most once must go on: its result is kept for a retry.
fn is_cancellable(info: &RequestInfo) -> bool {
    match info.mode {
        RunMode::Idempotent => true,
        RunMode::Keyed(_) | RunMode::Ticketed(_) | RunMode::Single => false,
    }
}

fn build_response(head: ResponseHead, request_id: &RequestId, body: Body) -> Response {
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    *response.headers_mut() = head.headers;
    if let Ok(value) = HeaderValue::from_str(request_id.as_str()) {
        response.headers_mut().insert(REQUEST_ID, value);
    }
    response
}

#[derive(serde::Deserialize)]
struct DraftUsage {
    usage: UsageFields,
}

#[derive(serde::Deserialize)]
struct UsageFields {
    completion_tokens: u64,
}

/// Returns the completion tokens that an unstreamed draft reports, and 0 for other kinds of work.
fn count_tokens(body: &Bytes, kind: WorkKind) -> u64 {
    match kind {
        WorkKind::WholeDraft => {
            serde_json::from_slice::<DraftUsage>(body).map_or(0, |it| it.usage.completion_tokens)
        }
        WorkKind::StreamedDraft | WorkKind::ServiceCall | WorkKind::TicketIssue => 0,
    }
}
