//! The course of one request, from its arrival to the last byte of its answer.
//!
//! A flight is a task of its own, so that a request that may not be cancelled goes on when its
//! caller is gone, and a stream that breaks off can go on from another server.

use std::{sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{HeaderValue, StatusCode};
use tokio::{
    sync::{mpsc, oneshot},
    time::{Instant, timeout, timeout_at},
};
use volo_http::{body::Body, response::Response};

use super::{
    PeerLinks,
    attempt::{AnswerHead, AnswerPart, SentAttempt},
    callers::CallerRequest,
};
use crate::{
    core::{AttemptOutcome, Event, Refusal, RefusalCode, RequestInfo},
    daemon::{ExplainedRequest, ProcessShell, RequestCommand},
    http::{REQUEST_ID, RelaySender, caller_disconnected, error_event, error_response, relay_body},
    units::{RequestId, TokenCount, VmId},
    wire::{RunMode, WorkKind, WorkRequest},
};

/// Time beyond the deadline in which the agent may still say that the request did not run.
const VERDICT_GRACE: Duration = Duration::from_millis(150);

/// Runs a request and gives the answer, or the head of it where the answer is a stream.
pub(super) async fn run(
    shell: Arc<ProcessShell>,
    links: Arc<PeerLinks>,
    request: CallerRequest,
) -> Response {
    let request_id = request.facts.request_id.clone();
    let Some(commands) = shell.requests().open(&request_id) else {
        return error_response(&Refusal::not_run(RefusalCode::RepeatedRequestId), &request_id);
    };
    let (answer, answered) = oneshot::channel();
    // Dropped without a word when the caller goes away, because then this future is dropped.
    let (present, gone) = oneshot::channel();
    let flight = RequestFlight {
        deadline: shell.clock.instant(request.facts.deadline),
        shell,
        links,
        order: request.order,
        caller: CallerSide::Waiting(answer),
        tokens: 0,
    };
    tokio::spawn(flight.fly(request.facts, commands, gone));
    let answered = answered.await;
    let _ = present.send(());
    match answered {
        Ok(answer) => answer,
        // The flight always answers unless it panicked; what it did by then is not known.
        Err(_) => error_response(&Refusal::unknown(RefusalCode::OutcomeUnknown), &request_id),
    }
}

/// What the caller has so far.
enum CallerSide {
    /// Nothing.
    Waiting(oneshot::Sender<Response>),
    /// The head and some events of a stream.
    Streaming(RelaySender),
    /// The whole answer, or the caller is gone.
    Done,
}

struct RequestFlight {
    shell: Arc<ProcessShell>,
    links: Arc<PeerLinks>,
    order: WorkRequest,
    deadline: Instant,
    caller: CallerSide,
    tokens: u64,
}

impl RequestFlight {
    async fn fly(
        mut self,
        facts: RequestInfo,
        mut commands: mpsc::UnboundedReceiver<RequestCommand>,
        gone: oneshot::Receiver<()>,
    ) {
        let shell = self.shell.clone();
        let request_id = self.order.request_id.clone();
        shell.note_request(ExplainedRequest {
            request_id: request_id.clone(),
            account: facts.account.clone(),
            service: facts.service.clone(),
            at: shell.clock.now(),
            attempts: Vec::new(),
            refusal: None,
        });
        let started = Instant::now();
        let may_cancel = may_cancel(&facts);
        shell.dispatch(Event::RequestArrived(facts));
        tokio::select! {
            () = self.follow(&mut commands) => {}
            () = caller_disconnected(gone), if may_cancel => shell.metrics.count("caller.gone"),
        }
        // The mailbox closes first: the reducer forgets the request with the next event, and its id
        // may come again.
        shell.requests().close(&request_id);
        shell.dispatch(Event::RequestEnded { request_id, tokens: TokenCount(self.tokens) });
        shell.metrics.time("request.duration", started.elapsed());
    }

    async fn follow(&mut self, commands: &mut mpsc::UnboundedReceiver<RequestCommand>) {
        while let Some(command) = commands.recv().await {
            match command {
                RequestCommand::Attempt { vm, priority } => {
                    self.order.priority = priority;
                    let outcome = self.attempt(&vm).await;
                    let is_last = outcome == AttemptOutcome::Answered;
                    self.report(vm, outcome);
                    if is_last {
                        return;
                    }
                }
                RequestCommand::Refuse(refusal) => return self.refuse(&refusal).await,
            }
        }
    }

    fn report(&self, vm: VmId, outcome: AttemptOutcome) {
        let request_id = self.order.request_id.clone();
        self.shell.explain(&request_id, |it| {
            if let Some(note) = it.attempts.last_mut() {
                note.outcome = Some(outcome.clone());
            }
        });
        self.shell.dispatch(Event::AttemptEnded { request_id, vm, outcome });
    }

    async fn attempt(&mut self, vm: &VmId) -> AttemptOutcome {
        let verdict_by = self.deadline + VERDICT_GRACE;
        match timeout_at(verdict_by, self.exchange(vm)).await {
            Ok(outcome) => outcome,
            Err(_) if matches!(self.caller, CallerSide::Streaming(_)) => {
                AttemptOutcome::LostMidAnswer
            }
            Err(_) => AttemptOutcome::LostUnanswered,
        }
    }

    async fn exchange(&mut self, vm: &VmId) -> AttemptOutcome {
        self.order.time_left = self.deadline.saturating_duration_since(Instant::now());
        let mut attempt = match SentAttempt::send(self.links.get(vm), vm, &self.order).await {
            Ok(attempt) => attempt,
            Err(outcome) => return outcome,
        };
        let head = match attempt.head(&self.shell).await {
            Ok(head) => head,
            Err(outcome) => return self.while_streaming(outcome),
        };
        let is_stream =
            self.order.kind == WorkKind::StreamedDraft && head.status == StatusCode::OK.as_u16();
        if !is_stream && matches!(self.caller, CallerSide::Streaming(_)) {
            return AttemptOutcome::LostMidAnswer;
        }
        let ended = if is_stream {
            self.relay(&mut attempt, head).await
        } else {
            self.collect(&mut attempt, head).await
        };
        match ended {
            Ok(()) => AttemptOutcome::Answered,
            Err(outcome) => outcome,
        }
    }

    /// A loss before this attempt's head is a loss in mid-answer to a caller that has a part
    /// already.
    fn while_streaming(&self, outcome: AttemptOutcome) -> AttemptOutcome {
        let is_streaming = matches!(self.caller, CallerSide::Streaming(_));
        if is_streaming && outcome == AttemptOutcome::LostUnanswered {
            return AttemptOutcome::LostMidAnswer;
        }
        outcome
    }

    /// Passes a stream on, event by event.
    async fn relay(
        &mut self,
        attempt: &mut SentAttempt,
        head: AnswerHead,
    ) -> Result<(), AttemptOutcome> {
        if let CallerSide::Waiting(_) = self.caller {
            let (sender, body) = relay_body();
            let answer = answer_of(head, &self.order.request_id, Body::from_body(body));
            self.begin_stream(answer, sender)?;
        }
        loop {
            match attempt.part(&self.shell).await? {
                AnswerPart::End => {
                    self.caller = CallerSide::Done;
                    return Ok(());
                }
                AnswerPart::Data { events, bytes } => {
                    self.send_part(bytes).await?;
                    self.order.resume_after += u64::from(events);
                    self.tokens += u64::from(events);
                }
            }
        }
    }

    fn begin_stream(
        &mut self,
        answer: Response,
        sender: RelaySender,
    ) -> Result<(), AttemptOutcome> {
        let caller = std::mem::replace(&mut self.caller, CallerSide::Streaming(sender));
        let CallerSide::Waiting(waiting) = caller else { return Ok(()) };
        waiting.send(answer).map_err(|_| AttemptOutcome::Answered)
    }

    /// Hands a part to the caller. One that is gone, or takes nothing for too long, needs no
    /// further part.
    async fn send_part(&mut self, bytes: Bytes) -> Result<(), AttemptOutcome> {
        let CallerSide::Streaming(sender) = &self.caller else {
            return Err(AttemptOutcome::Answered);
        };
        let stall = Duration::from_millis(self.shell.settings.http.stall_timeout_ms);
        match timeout(stall, sender.send(Ok(bytes))).await {
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

    /// Reads a whole answer before the caller gets any of it, so that one that breaks off can be
    /// tried again.
    async fn collect(
        &mut self,
        attempt: &mut SentAttempt,
        head: AnswerHead,
    ) -> Result<(), AttemptOutcome> {
        let bound = self.shell.settings.http.max_answer_bytes;
        let mut whole = BytesMut::new();
        loop {
            let part =
                attempt.part(&self.shell).await.map_err(|_| AttemptOutcome::LostUnanswered)?;
            match part {
                AnswerPart::End => break,
                AnswerPart::Data { bytes, .. } => whole.extend_from_slice(&bytes),
            }
            if whole.len() as u64 > bound.0 {
                self.refuse(&Refusal::unknown(RefusalCode::AnswerTooLarge)).await;
                return Ok(());
            }
        }
        let whole = whole.freeze();
        self.tokens += tokens_of(&whole, self.order.kind);
        let answer = answer_of(head, &self.order.request_id, Body::from(whole));
        if let CallerSide::Waiting(waiting) = std::mem::replace(&mut self.caller, CallerSide::Done)
        {
            let _ = waiting.send(answer);
        }
        Ok(())
    }

    async fn refuse(&mut self, refusal: &Refusal) {
        match std::mem::replace(&mut self.caller, CallerSide::Done) {
            CallerSide::Waiting(waiting) => {
                let _ = waiting.send(error_response(refusal, &self.order.request_id));
            }
            CallerSide::Streaming(sender) => {
                let _ = sender.send(Ok(error_event(refusal, &self.order.request_id))).await;
            }
            CallerSide::Done => {}
        }
    }
}

/// Work that runs once must not be cancelled: its result is kept for a caller that asks again.
fn may_cancel(facts: &RequestInfo) -> bool {
    match facts.mode {
        RunMode::Idempotent => true,
        RunMode::Keyed(_) | RunMode::Ticketed(_) | RunMode::Single => false,
    }
}

fn answer_of(head: AnswerHead, request_id: &RequestId, body: Body) -> Response {
    let mut answer = Response::new(body);
    *answer.status_mut() = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    *answer.headers_mut() = head.headers;
    if let Ok(value) = HeaderValue::from_str(request_id.as_str()) {
        answer.headers_mut().insert(REQUEST_ID, value);
    }
    answer
}

#[derive(serde::Deserialize)]
struct DraftUsage {
    usage: UsageFields,
}

#[derive(serde::Deserialize)]
struct UsageFields {
    completion_tokens: u64,
}

/// Tokens that a whole draft says it cost.
fn tokens_of(body: &Bytes, kind: WorkKind) -> u64 {
    match kind {
        WorkKind::WholeDraft => {
            serde_json::from_slice::<DraftUsage>(body).map_or(0, |it| it.usage.completion_tokens)
        }
        WorkKind::StreamedDraft | WorkKind::ServiceCall | WorkKind::TicketIssue => 0,
    }
}
