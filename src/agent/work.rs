//! One work request at an agent: waits for admission, runs it on the backend server and sends its
//! answer to the entry.

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

/// Size allowed for a work request's headers in addition to its body.
const HEADERS_ALLOWANCE_BYTES: u64 = 1 << 20;
/// Maximum size of an answer that is kept for retries of the same key.
const MAX_STORED_ANSWER_SIZE: ByteCount = ByteCount(64 << 10);
/// Time past the deadline in which an answer may still complete.
const DEADLINE_GRACE: Duration = Duration::from_millis(100);

/// Runs the work request that the stream carries. A stream without a valid one is dropped.
pub(super) async fn run(
    shell: Arc<ProcessShell>,
    settings: Arc<AgentSettings>,
    send: SendStream,
    mut recv: RecvStream,
) {
    let max_size = ByteCount(shell.settings.http.max_body_bytes.0 + HEADERS_ALLOWANCE_BYTES);
    let request: WorkRequest = match read_frame(&mut recv, max_size).await {
        Ok(request) => request,
        Err(error) => return log::warn!(error:% = error; "reading a work request failed"),
    };
    let (work_id, commands) = shell.open_work_mailbox();
    let deadline = Instant::now() + request.time_left;
    let mut task = WorkTask { shell: shell.clone(), settings, work_id, request, deadline, send };
    let result = task.run(commands).await;
    shell.work_mailboxes().close(&work_id);
    if let Err(error) = result {
        log::debug!(
            request:% = task.request.request_id, error:% = error;
            "sending an answer to the entry failed"
        );
    }
    // Waits until the entry has received everything, so that a graceful stop loses no data.
    let _ = task.send.finish();
    let _ = task.send.stopped().await;
}

/// State of one work request.
struct WorkTask {
    shell: Arc<ProcessShell>,
    settings: Arc<AgentSettings>,
    work_id: WorkId,
    request: WorkRequest,
    deadline: Instant,
    send: SendStream,
}

impl WorkTask {
    /// Announces the work to the reducer and carries out the reducer's command for it.
    async fn run(
        &mut self,
        mut commands: mpsc::UnboundedReceiver<WorkCommand>,
    ) -> Result<(), FrameError> {
        if self.request.resume_after > 0 && !self.settings.resumes_streams {
            return self.refuse(RefusalReason::CannotResume).await;
        }
        let ticket = self.new_ticket();
        self.shell.dispatch(match self.request.kind {
            WorkKind::TicketIssue => {
                Event::TicketRequested { work: self.work_id, ticket: ticket.clone() }
            }
            WorkKind::WholeDraft | WorkKind::StreamedDraft | WorkKind::ServiceCall => {
                Event::WorkArrived(self.describe())
            }
        });
        let command = tokio::select! {
            command = commands.recv() => command,
            _ = self.send.stopped() => {
                self.shell.dispatch(Event::WorkAbandoned(self.work_id));
                // If the start was commanded just before, the reducer counts the work as running,
                // so it must run and end.
                match commands.try_recv() {
                    Ok(WorkCommand::Start) => Some(WorkCommand::Start),
                    Ok(_) | Err(_) => return Ok(()),
                }
            }
        };
        match command {
            Some(WorkCommand::Start) => self.start().await,
            Some(WorkCommand::IssueTicket) => self.send_ticket(&ticket).await,
            Some(WorkCommand::Refuse(reason)) => self.refuse(reason).await,
            Some(WorkCommand::RedirectTo(vm)) => {
                write_frame(&mut self.send, &WorkReply::ClaimedBy(vm)).await
            }
            Some(WorkCommand::Replay(answer)) => self.replay(answer).await,
            None => Ok(()),
        }
    }

    fn new_ticket(&self) -> RunTicket {
        let vm = self.shell.settings.identity.vm.clone();
        let account = self.request.account.clone();
        RunTicket::new(vm, self.shell.incarnation, account, Uuid::new_v4())
    }

    async fn send_ticket(&mut self, ticket: &RunTicket) -> Result<(), FrameError> {
        let body = serde_json::json!({ "ticket": ticket.to_string() }).to_string();
        let headers = vec![("content-type".into(), Bytes::from_static(b"application/json"))];
        let status = http::StatusCode::CREATED.as_u16();
        self.send_answer(StoredAnswer { status, headers, body: body.into() }).await
    }

    fn describe(&self) -> WorkItem {
        WorkItem {
            work: self.work_id,
            account: self.request.account.clone(),
            service: self.request.service.clone(),
            priority: self.request.priority,
            deadline: self.shell.clock.now().after(self.request.time_left),
            mode: self.request.mode.clone(),
        }
    }

    async fn refuse(&mut self, reason: RefusalReason) -> Result<(), FrameError> {
        let report = self.shell.read(ProcessState::report);
        write_frame(&mut self.send, &WorkReply::Refused { reason, report }).await
    }

    /// Sends what is known of an earlier run of the same key.
    async fn replay(&mut self, answer: PriorResult) -> Result<(), FrameError> {
        match answer {
            PriorResult::Kept(answer) => self.send_answer(answer).await,
            PriorResult::Gone => write_frame(&mut self.send, &WorkReply::AnswerGone).await,
            PriorResult::Unknown => write_frame(&mut self.send, &WorkReply::OutcomeUnknown).await,
        }
    }

    /// Sends a complete answer.
    async fn send_answer(&mut self, answer: StoredAnswer) -> Result<(), FrameError> {
        self.send_head(answer.status, answer.headers).await?;
        self.send_data(0, answer.body).await?;
        self.send_end().await
    }

    async fn send_head(
        &mut self,
        status: u16,
        headers: Vec<crate::wire::HeaderPair>,
    ) -> Result<(), FrameError> {
        let request_id = self.request.request_id.clone();
        write_frame(&mut self.send, &WorkReply::Head { request_id, status, headers }).await
    }

    async fn send_data(&mut self, events: u32, bytes: Bytes) -> Result<(), FrameError> {
        write_frame(&mut self.send, &WorkReply::Data { events, bytes }).await
    }

    async fn send_end(&mut self) -> Result<(), FrameError> {
        let report = self.shell.read(ProcessState::report);
        write_frame(&mut self.send, &WorkReply::End { report }).await
    }

    fn report_end(&self, outcome: WorkOutcome) {
        self.shell.dispatch(Event::WorkEnded { work: self.work_id, outcome });
    }

    /// Starts the work on the backend server. From here on, each path reports the end of the work
    /// exactly once.
    async fn start(&mut self) -> Result<(), FrameError> {
        match &self.request.mode {
            RunMode::Idempotent => self.relay_live().await,
            RunMode::Keyed(_) | RunMode::Ticketed(_) | RunMode::Single => self.run_once().await,
        }
    }

    /// Runs work that may run at most once: it is never cancelled, and its answer is buffered
    /// completely before any of it is sent.
    async fn run_once(&mut self) -> Result<(), FrameError> {
        let started = Instant::now();
        let answer = match backend::call(self.settings.backend, &self.request).await {
            Ok(call) => read_answer(call, self.shell.settings.http.max_answer_bytes).await,
            Err(CallError::Connect(_) | CallError::InvalidRequest(_)) => {
                self.report_end(WorkOutcome::NotHandedOver);
                return self.refuse(RefusalReason::BackendUnreachable).await;
            }
            Err(CallError::Lost(_) | CallError::RequestIdMismatch { .. }) => None,
        };
        let Some(answer) = answer else {
            self.shell.metrics.count("backend.broken");
            self.report_end(WorkOutcome::Broken);
            return write_frame(&mut self.send, &WorkReply::OutcomeUnknown).await;
        };
        self.report_progress(1, started);
        let is_small = answer.body.len() as u64 <= MAX_STORED_ANSWER_SIZE.0;
        self.report_end(WorkOutcome::Finished(is_small.then(|| answer.clone())));
        self.send_answer(answer).await
    }

    fn report_progress(&self, tokens: u32, since: Instant) {
        let tokens = TokenCount(u64::from(tokens));
        self.shell.dispatch(Event::WorkProgressed {
            work: self.work_id,
            tokens,
            elapsed: since.elapsed(),
        });
    }

    /// Runs idempotent work, which may be cancelled, and relays its answer as it arrives.
    async fn relay_live(&mut self) -> Result<(), FrameError> {
        let deadline = self.deadline + DEADLINE_GRACE;
        let started = Instant::now();
        let call_result = tokio::select! {
            call_result = timeout_at(deadline, backend::call(self.settings.backend, &self.request)) => call_result,
            _ = self.send.stopped() => {
                self.report_end(WorkOutcome::Cancelled);
                return Ok(());
            }
        };
        let relay_result = match call_result {
            Ok(Ok(call)) => self.relay_answer(call, deadline, started).await,
            Ok(Err(CallError::Connect(_) | CallError::InvalidRequest(_))) => {
                self.report_end(WorkOutcome::NotHandedOver);
                return self.refuse(RefusalReason::BackendUnreachable).await;
            }
            Ok(Err(CallError::Lost(_) | CallError::RequestIdMismatch { .. })) => {
                Ok(RelayOutcome::Broken)
            }
            Err(_) => Ok(RelayOutcome::TimedOut),
        };
        match relay_result {
            Ok(RelayOutcome::Complete) => {
                self.report_end(WorkOutcome::Finished(None));
                self.send_end().await
            }
            Ok(RelayOutcome::Broken) => {
                self.shell.metrics.count("backend.broken");
                self.report_end(WorkOutcome::Broken);
                write_frame(&mut self.send, &WorkReply::Broken).await
            }
            Ok(RelayOutcome::TimedOut) => {
                self.report_end(WorkOutcome::Cancelled);
                write_frame(&mut self.send, &WorkReply::Broken).await
            }
            Err(error) => {
                self.report_end(WorkOutcome::Cancelled);
                Err(error)
            }
        }
    }

    /// Relays the answer until it ends, breaks off, or `deadline` passes.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry no longer reads the answer.
    async fn relay_answer(
        &mut self,
        call: BackendCall,
        deadline: Instant,
        started: Instant,
    ) -> Result<RelayOutcome, FrameError> {
        let is_stream = self.request.kind == WorkKind::StreamedDraft
            && call.status == http::StatusCode::OK.as_u16();
        let mut body = call.body;
        let mut splitter = is_stream.then(EventSplitter::default);
        let mut last_progress = started;
        self.send_head(call.status, call.headers).await?;
        loop {
            let frame = tokio::select! {
                frame = timeout_at(deadline, body.frame()) => frame,
                _ = self.send.stopped() => return Err(FrameError::Write(quinn::WriteError::Stopped(0_u32.into()))),
            };
            let data = match frame {
                Err(_) => return Ok(RelayOutcome::TimedOut),
                Ok(None) => break,
                Ok(Some(Err(_))) => return Ok(RelayOutcome::Broken),
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            };
            let Some(splitter) = &mut splitter else {
                self.send_data(0, data).await?;
                continue;
            };
            if splitter.pending_len() as u64 > self.shell.settings.http.max_answer_bytes.0 {
                return Ok(RelayOutcome::Broken);
            }
            if let Some(batch) = splitter.push(&data) {
                let is_done = splitter.is_done();
                self.report_progress(batch.tokens, last_progress);
                last_progress = Instant::now();
                self.send_data(batch.tokens, batch.bytes).await?;
                if is_done {
                    return Ok(RelayOutcome::Complete);
                }
            }
        }
        if is_stream {
            // The connection closed cleanly, but the `[DONE]` event that ends a stream is missing.
            return Ok(RelayOutcome::Broken);
        }
        self.report_progress(1, started);
        Ok(RelayOutcome::Complete)
    }
}

/// How relaying an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RelayOutcome {
    Complete,
    Broken,
    TimedOut,
}

/// Reads a complete answer. Returns `None` if it breaks off or is larger than `max_size`.
async fn read_answer(mut call: BackendCall, max_size: ByteCount) -> Option<StoredAnswer> {
    let mut body = BytesMut::new();
    while let Some(frame) = call.body.frame().await {
        let data = frame.ok()?.into_data().unwrap_or_default();
        if (body.len() + data.len()) as u64 > max_size.0 {
            return None;
        }
        body.extend_from_slice(&data);
    }
    Some(StoredAnswer { status: call.status, headers: call.headers, body: body.freeze() })
}
