//! One work order: waits for its turn, is handed over, and its answer relayed.

use std::{sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use quinn::{RecvStream, SendStream};
use tokio::{
    sync::mpsc,
    time::{Instant, timeout_at},
};
use uuid::Uuid;

use super::{
    backend::{self, BackendCall, CallError},
    events::EventSplitter,
};
use crate::{
    core::{Event, PriorResult, ProcessState, StoredAnswer, WorkId, WorkItem, WorkOutcome},
    daemon::{ProcessShell, WorkCommand},
    options::AgentSettings,
    units::{ByteCount, TokenCount},
    wire::{
        FrameError, RefusalReason, RunMode, RunTicket, WorkKind, WorkReply, WorkRequest,
        read_frame, write_frame,
    },
};

/// Room for headers beside the body in a work order.
const ORDER_OVERHEAD_BYTES: u64 = 1 << 20;
/// Longest answer that is kept for callers that ask again.
const MAX_STORED_ANSWER: ByteCount = ByteCount(64 << 10);
/// Time beyond the deadline in which an answer may still end.
const END_GRACE: Duration = Duration::from_millis(100);

/// Runs one work order. A stream that carries none is dropped.
pub(super) async fn run(
    shell: Arc<ProcessShell>,
    settings: Arc<AgentSettings>,
    send: SendStream,
    mut recv: RecvStream,
) {
    let bound = ByteCount(shell.settings.http.max_body_bytes.0 + ORDER_OVERHEAD_BYTES);
    let order: WorkRequest = match read_frame(&mut recv, bound).await {
        Ok(order) => order,
        Err(error) => return log::warn!(error:% = error; "unreadable work order"),
    };
    let (work, commands) = shell.open_work();
    let deadline = Instant::now() + order.time_left;
    let mut job = WorkJob { shell: shell.clone(), settings, work, order, deadline, send };
    let ended = job.follow(commands).await;
    shell.works().close(&work);
    if let Err(error) = ended {
        log::debug!(request:% = job.order.request_id, error:% = error; "the entry left before its answer");
    }
    // Waits until the entry has everything, so that a stop cuts off nothing.
    let _ = job.send.finish();
    let _ = job.send.stopped().await;
}

struct WorkJob {
    shell: Arc<ProcessShell>,
    settings: Arc<AgentSettings>,
    work: WorkId,
    order: WorkRequest,
    deadline: Instant,
    send: SendStream,
}

impl WorkJob {
    async fn follow(
        &mut self,
        mut commands: mpsc::UnboundedReceiver<WorkCommand>,
    ) -> Result<(), FrameError> {
        if self.order.resume_after > 0 && !self.settings.resumes_streams {
            return self.refuse(RefusalReason::CannotResume).await;
        }
        let ticket = self.new_ticket();
        self.shell.dispatch(match self.order.kind {
            WorkKind::TicketIssue => {
                Event::TicketRequested { work: self.work, ticket: ticket.clone() }
            }
            WorkKind::WholeDraft | WorkKind::StreamedDraft | WorkKind::ServiceCall => {
                Event::WorkArrived(self.facts())
            }
        });
        let command = tokio::select! {
            command = commands.recv() => command,
            _ = self.send.stopped() => {
                self.shell.dispatch(Event::WorkAbandoned(self.work));
                // The start may have been ordered just before; then the work counts as running and
                // must end.
                match commands.try_recv() {
                    Ok(WorkCommand::Start) => Some(WorkCommand::Start),
                    Ok(_) | Err(_) => return Ok(()),
                }
            }
        };
        match command {
            Some(WorkCommand::Start) => self.hand_over().await,
            Some(WorkCommand::IssueTicket) => self.send_ticket(&ticket).await,
            Some(WorkCommand::Refuse(reason)) => self.refuse(reason).await,
            Some(WorkCommand::PointTo(vm)) => {
                write_frame(&mut self.send, &WorkReply::ClaimedBy(vm)).await
            }
            Some(WorkCommand::Replay(answer)) => self.replay(answer).await,
            None => Ok(()),
        }
    }

    fn new_ticket(&self) -> RunTicket {
        let vm = self.shell.settings.identity.vm.clone();
        let account = self.order.account.clone();
        RunTicket::new(vm, self.shell.incarnation, account, Uuid::new_v4())
    }

    async fn send_ticket(&mut self, ticket: &RunTicket) -> Result<(), FrameError> {
        let body = serde_json::json!({ "ticket": ticket.to_string() }).to_string();
        let headers = vec![("content-type".into(), Bytes::from_static(b"application/json"))];
        let status = http::StatusCode::CREATED.as_u16();
        self.send_whole(StoredAnswer { status, headers, body: body.into() }).await
    }

    fn facts(&self) -> WorkItem {
        WorkItem {
            work: self.work,
            account: self.order.account.clone(),
            service: self.order.service.clone(),
            priority: self.order.priority,
            deadline: self.shell.clock.now().after(self.order.time_left),
            mode: self.order.mode.clone(),
        }
    }

    async fn refuse(&mut self, reason: RefusalReason) -> Result<(), FrameError> {
        let report = self.shell.read(ProcessState::report);
        write_frame(&mut self.send, &WorkReply::Refused { reason, report }).await
    }

    async fn replay(&mut self, answer: PriorResult) -> Result<(), FrameError> {
        match answer {
            PriorResult::Kept(answer) => self.send_whole(answer).await,
            PriorResult::Gone => write_frame(&mut self.send, &WorkReply::AnswerGone).await,
            PriorResult::Unknown => write_frame(&mut self.send, &WorkReply::OutcomeUnknown).await,
        }
    }

    async fn send_whole(&mut self, answer: StoredAnswer) -> Result<(), FrameError> {
        self.send_head(answer.status, answer.headers).await?;
        self.send_data(0, answer.body).await?;
        self.send_end().await
    }

    async fn send_head(
        &mut self,
        status: u16,
        headers: Vec<crate::wire::HeaderPair>,
    ) -> Result<(), FrameError> {
        let request_id = self.order.request_id.clone();
        write_frame(&mut self.send, &WorkReply::Head { request_id, status, headers }).await
    }

    async fn send_data(&mut self, events: u32, bytes: Bytes) -> Result<(), FrameError> {
        write_frame(&mut self.send, &WorkReply::Data { events, bytes }).await
    }

    async fn send_end(&mut self) -> Result<(), FrameError> {
        let report = self.shell.read(ProcessState::report);
        write_frame(&mut self.send, &WorkReply::End { report }).await
    }

    fn end(&self, outcome: WorkOutcome) {
        self.shell.dispatch(Event::WorkEnded { work: self.work, outcome });
    }

    /// Hands the work to the backend server. From here on every way out ends the work exactly once.
    async fn hand_over(&mut self) -> Result<(), FrameError> {
        match &self.order.mode {
            RunMode::Idempotent => self.relay().await,
            RunMode::Keyed(_) | RunMode::Ticketed(_) | RunMode::Single => self.run_to_end().await,
        }
    }

    /// Runs work that may run once: nothing cancels it, and its whole answer is known before any of
    /// it is sent.
    async fn run_to_end(&mut self) -> Result<(), FrameError> {
        let started = Instant::now();
        let answer = match backend::call(self.settings.backend, &self.order).await {
            Ok(call) => collect(call, self.shell.settings.http.max_answer_bytes).await,
            Err(CallError::Connect(_) | CallError::BadOrder(_)) => {
                self.end(WorkOutcome::NotHandedOver);
                return self.refuse(RefusalReason::BackendUnreachable).await;
            }
            Err(CallError::Lost(_) | CallError::Crossed { .. }) => None,
        };
        let Some(answer) = answer else {
            self.shell.metrics.count("backend.broken");
            self.end(WorkOutcome::Broken);
            return write_frame(&mut self.send, &WorkReply::OutcomeUnknown).await;
        };
        self.progress(1, started);
        let is_small = answer.body.len() as u64 <= MAX_STORED_ANSWER.0;
        self.end(WorkOutcome::Finished(is_small.then(|| answer.clone())));
        self.send_whole(answer).await
    }

    fn progress(&self, tokens: u32, since: Instant) {
        let tokens = TokenCount(u64::from(tokens));
        self.shell.dispatch(Event::WorkProgressed {
            work: self.work,
            tokens,
            elapsed: since.elapsed(),
        });
    }

    /// Runs work that may be repeated and cancelled, and passes its answer on as it comes.
    async fn relay(&mut self) -> Result<(), FrameError> {
        let deadline = self.deadline + END_GRACE;
        let started = Instant::now();
        let called = tokio::select! {
            called = timeout_at(deadline, backend::call(self.settings.backend, &self.order)) => called,
            _ = self.send.stopped() => {
                self.end(WorkOutcome::Cancelled);
                return Ok(());
            }
        };
        let relayed = match called {
            Ok(Ok(call)) => self.relay_answer(call, deadline, started).await,
            Ok(Err(CallError::Connect(_) | CallError::BadOrder(_))) => {
                self.end(WorkOutcome::NotHandedOver);
                return self.refuse(RefusalReason::BackendUnreachable).await;
            }
            Ok(Err(CallError::Lost(_) | CallError::Crossed { .. })) => Ok(RelayEnd::Broken),
            Err(_) => Ok(RelayEnd::Late),
        };
        match relayed {
            Ok(RelayEnd::Whole) => {
                self.end(WorkOutcome::Finished(None));
                self.send_end().await
            }
            Ok(RelayEnd::Broken) => {
                self.shell.metrics.count("backend.broken");
                self.end(WorkOutcome::Broken);
                write_frame(&mut self.send, &WorkReply::Broken).await
            }
            Ok(RelayEnd::Late) => {
                self.end(WorkOutcome::Cancelled);
                write_frame(&mut self.send, &WorkReply::Broken).await
            }
            Err(error) => {
                self.end(WorkOutcome::Cancelled);
                Err(error)
            }
        }
    }

    async fn relay_answer(
        &mut self,
        call: BackendCall,
        deadline: Instant,
        started: Instant,
    ) -> Result<RelayEnd, FrameError> {
        let is_stream = self.order.kind == WorkKind::StreamedDraft
            && call.status == http::StatusCode::OK.as_u16();
        let mut body = call.body;
        let mut splitter = is_stream.then(EventSplitter::default);
        let mut since = started;
        self.send_head(call.status, call.headers).await?;
        loop {
            let frame = tokio::select! {
                frame = timeout_at(deadline, body.frame()) => frame,
                _ = self.send.stopped() => return Err(FrameError::Write(quinn::WriteError::Stopped(0_u32.into()))),
            };
            let data = match frame {
                Err(_) => return Ok(RelayEnd::Late),
                Ok(None) => break,
                Ok(Some(Err(_))) => return Ok(RelayEnd::Broken),
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            };
            let Some(splitter) = &mut splitter else {
                self.send_data(0, data).await?;
                continue;
            };
            if splitter.pending_bytes() as u64 > self.shell.settings.http.max_answer_bytes.0 {
                return Ok(RelayEnd::Broken);
            }
            if let Some(batch) = splitter.push(&data) {
                let is_done = splitter.is_done();
                self.progress(batch.tokens, since);
                since = Instant::now();
                self.send_data(batch.tokens, batch.bytes).await?;
                if is_done {
                    return Ok(RelayEnd::Whole);
                }
            }
        }
        if is_stream {
            // The connection ended well, but the stream did not say that it is whole.
            return Ok(RelayEnd::Broken);
        }
        self.progress(1, started);
        Ok(RelayEnd::Whole)
    }
}

/// How relaying an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RelayEnd {
    Whole,
    Broken,
    Late,
}

/// Reads a whole answer; none where it breaks off or is over the bound.
async fn collect(mut call: BackendCall, bound: ByteCount) -> Option<StoredAnswer> {
    let mut whole = BytesMut::new();
    while let Some(frame) = call.body.frame().await {
        let data = frame.ok()?.into_data().unwrap_or_default();
        if (whole.len() + data.len()) as u64 > bound.0 {
            return None;
        }
        whole.extend_from_slice(&data);
    }
    Some(StoredAnswer { status: call.status, headers: call.headers, body: whole.freeze() })
}
