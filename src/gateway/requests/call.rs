//! One attempt's call to a server, read piece by piece. It can be set aside while its server is silent,
//! and taken up again.

use std::pin::Pin;

use futures_util::future::select_all;
use http::{HeaderMap, StatusCode, response::Parts};
use http_body_util::BodyExt;
use tokio::time::{Duration, Instant};

use super::super::event_stream::{SseSplitter, StreamEvent, is_repeated};
use crate::{
    http::{ConnectionGuard, OpenCall, ResponseBody},
    platform::{ResponseKind, classify_response},
    routing::{AnswerProgress, AttemptResult, AttemptSpec, LimitNotice},
};

/// A request on its way, until the head of its response arrives.
pub(super) type PendingCall = Pin<Box<dyn Future<Output = HeadResult> + Send>>;

/// The head of a response, or how the call ended without one.
pub(super) type HeadResult = Result<OpenCall, (AttemptResult, AnswerProgress)>;

/// What an attempt's server sends next.
pub(super) enum CallPiece {
    /// The head of the response, which is in the call.
    Head,
    /// A new event of the stream.
    Event(StreamEvent),
    /// The end of the stream.
    End,
    /// The call has failed.
    Failed(AttemptResult),
}

/// A call in progress.
pub(super) struct AttemptCall {
    pub(super) spec: AttemptSpec,
    pub(super) started: Instant,
    /// How far the response came.
    pub(super) progress: AnswerProgress,
    /// What the response says about the number of requests that the server takes.
    pub(super) server_limit: LimitNotice,
    /// When the first event arrived.
    pub(super) first_event_at: Option<Instant>,
    /// When the server counts as silent; `None` if the request may run only once: a silence does not
    /// prove that it failed.
    pub(super) silent_at: Option<Instant>,
    /// Longest time for which the caller kept the server from being read.
    pub(super) held_back: Duration,
    stage: CallStage,
}

enum CallStage {
    Pending(PendingCall),
    Open(Box<AnswerReader>),
}

/// A response whose head has arrived.
struct AnswerReader {
    /// The head, until it is passed on.
    head: Option<Parts>,
    body: ResponseBody,
    /// Keeps the connection open.
    _guard: ConnectionGuard,
    splitter: SseSplitter,
}

impl AttemptCall {
    /// Creates the call of an attempt, whose server counts as silent after `silent_after` without a
    /// head.
    pub(super) fn new(
        spec: AttemptSpec,
        call: PendingCall,
        silent_after: Option<Duration>,
    ) -> Self {
        let started = Instant::now();
        Self {
            spec,
            started,
            silent_at: silent_after.map(|it| started + it),
            progress: AnswerProgress::default(),
            server_limit: LimitNotice::default(),
            first_event_at: None,
            held_back: Duration::ZERO,
            stage: CallStage::Pending(call),
        }
    }

    /// Returns the next piece of the response, without the events up to `last_event`. Can be dropped
    /// and called again without losing anything.
    pub(super) async fn next_piece(&mut self, last_event: Option<&str>) -> CallPiece {
        match &mut self.stage {
            CallStage::Pending(call) => match call.await {
                Ok(call) => {
                    self.progress = AnswerProgress::Head;
                    self.stage = CallStage::Open(Box::new(AnswerReader::new(call)));
                    CallPiece::Head
                }
                Err((result, progress)) => {
                    self.progress = progress;
                    CallPiece::Failed(result)
                }
            },
            CallStage::Open(reader) => reader.next_piece(last_event).await,
        }
    }

    /// Whether the head of the response begins a success of this server to this request.
    pub(super) fn has_usable_head(&self, request: &HeaderMap) -> bool {
        self.head().is_some_and(|head| {
            let kind = classify_response(head.status, &head.headers, request, &self.spec.server);
            kind == ResponseKind::Genuine
                && match self.spec.kind.is_stream() {
                    true => head.status == StatusCode::OK,
                    false => head.status.is_success(),
                }
        })
    }

    /// Returns how an attempt ends whose response begins with this head, or `None` if that is a
    /// response of this server that is no failure of it.
    pub(super) fn refusal(&self, request: &HeaderMap) -> Option<AttemptResult> {
        let head = self.head()?;
        match classify_response(head.status, &head.headers, request, &self.spec.server) {
            ResponseKind::NotRun => Some(AttemptResult::NotRun),
            ResponseKind::WrongServer => Some(AttemptResult::WrongServer),
            ResponseKind::OtherWeights => Some(AttemptResult::OtherWeights),
            ResponseKind::Foreign => Some(AttemptResult::Lost),
            ResponseKind::Genuine => {
                head.status.is_server_error().then_some(AttemptResult::ServerError)
            }
        }
    }

    /// Sets the time after which the server counts as silent, if that matters.
    pub(super) fn expect_news_within(&mut self, time: Duration) {
        self.silent_at = self.silent_at.map(|_| Instant::now() + time);
    }

    /// The head of the response, until it is taken.
    pub(super) fn head(&self) -> Option<&Parts> {
        match &self.stage {
            CallStage::Pending(_) => None,
            CallStage::Open(reader) => reader.head.as_ref(),
        }
    }

    pub(super) fn take_head(&mut self) -> Option<Parts> {
        match &mut self.stage {
            CallStage::Pending(_) => None,
            CallStage::Open(reader) => reader.head.take(),
        }
    }

    /// Returns the head, which is taken, and the body of the response, once the head has arrived.
    pub(super) fn take_answer(&mut self) -> Option<(Parts, &mut ResponseBody)> {
        match &mut self.stage {
            CallStage::Pending(_) => None,
            CallStage::Open(reader) => Some((reader.head.take()?, &mut reader.body)),
        }
    }
}

impl AnswerReader {
    fn new(call: OpenCall) -> Self {
        let OpenCall { head, body, guard } = call;
        let splitter = SseSplitter::default();
        Self { head: Some(head), body, _guard: guard, splitter }
    }

    async fn next_piece(&mut self, last_event: Option<&str>) -> CallPiece {
        loop {
            while let Some(event) = self.splitter.next_event() {
                if !is_repeated(event.id.as_deref(), last_event) {
                    return CallPiece::Event(event);
                }
            }
            if self.splitter.is_oversized() {
                return CallPiece::Failed(AttemptResult::Lost);
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else { continue };
                    self.splitter.push(&data);
                }
                Some(Err(_)) => return CallPiece::Failed(AttemptResult::Lost),
                None if self.splitter.has_partial() => {
                    return CallPiece::Failed(AttemptResult::Lost);
                }
                None => return CallPiece::End,
            }
        }
    }
}

/// Calls whose servers have been silent for too long. They stay open until another call goes on in
/// their place, since the server may only have paused.
#[derive(Default)]
pub(super) struct SilentCalls(Vec<AttemptCall>);

impl SilentCalls {
    pub(super) fn push(&mut self, call: AttemptCall) {
        self.0.push(call);
    }

    pub(super) fn clear(&mut self) {
        self.0.clear();
    }

    /// Returns the first call whose server sends something again, with the piece. Never resolves if
    /// there is no call.
    pub(super) async fn next_news(&mut self, last_event: Option<&str>) -> (AttemptCall, CallPiece) {
        if self.0.is_empty() {
            return std::future::pending().await;
        }
        let calls = self.0.iter_mut().map(|it| Box::pin(it.next_piece(last_event)));
        let (piece, index, _) = select_all(calls).await;
        (self.0.swap_remove(index), piece)
    }
}
