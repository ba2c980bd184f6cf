//! Passing on a server's response: a stream event by event, any other response once it is whole.

use std::{sync::Arc, time::Duration};

use bytes::BytesMut;
use http::{header, response::Parts};
use http_body_util::BodyExt;
use hyper::body::Body as _;
use tokio::{
    sync::{Semaphore, SemaphorePermit},
    time::Instant,
};
use volo_http::{body::Body, response::Response};

use super::{
    super::{
        event_stream::StreamEvent,
        held_memory::{IDLE_TIME, UNREAD_TIMEOUT, watch_delivery},
        relay::{AnswerBody, DeliveryError, MAX_PIECE_BYTES, stream_body},
    },
    AnswerState, RequestTask,
    call::AttemptCall,
};
use crate::{
    platform::strip_hop_by_hop,
    routing::{AnswerProgress, AttemptResult, HoldKind, HoldStage, RoutingEvent, SETTLED_EVENTS},
};

/// Time without an event after which another server is asked to resume a stream. Callers give up
/// after two seconds at the earliest.
const EVENT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Size up to which an answer takes nothing of the memory for large ones.
const FREE_ANSWER_BYTES: usize = 64 << 10;

impl RequestTask {
    /// Passes an event of a stream on. Returns the result if the attempt ends with it.
    pub(super) async fn relay_event(
        &mut self,
        call: &mut AttemptCall,
        event: StreamEvent,
    ) -> Option<AttemptResult> {
        self.silent.clear();
        self.begin_stream(call.take_head());
        let AnswerState::Streaming(sender) = &self.state else {
            return Some(AttemptResult::Abandoned);
        };
        let offered = Instant::now();
        if let Err(error) = sender.send(event.bytes).await {
            self.end_undelivered(error, call.progress);
            return Some(AttemptResult::Abandoned);
        }
        call.held_back = call.held_back.max(offered.elapsed());
        self.last_event = event.id.or(self.last_event.take());
        call.progress = call.progress.with_event();
        if call.progress == AnswerProgress::Events(1) {
            call.first_event_at = Some(Instant::now());
            self.shell.dispatch(RoutingEvent::AnswerBegan(self.number));
        }
        if call.progress == AnswerProgress::Events(SETTLED_EVENTS) {
            self.shell.dispatch(RoutingEvent::AnswerSettled(self.number));
        }
        call.expect_news_within(EVENT_TIMEOUT);
        None
    }

    /// Ends a stream as complete.
    pub(super) fn finish_stream(&mut self, call: &mut AttemptCall) {
        self.begin_stream(call.take_head());
        if let AnswerState::Streaming(sender) =
            std::mem::replace(&mut self.state, AnswerState::Done)
        {
            self.let_deliver(&sender, UNREAD_TIMEOUT);
            sender.finish();
        }
        call.progress = AnswerProgress::Whole;
    }

    /// Sends the head of the response to the caller, unless an earlier attempt has done so.
    fn begin_stream(&mut self, head: Option<Parts>) {
        let (Some(head), AnswerState::Waiting(_)) = (head, &self.state) else { return };
        self.stream_type = head.headers.get(header::CONTENT_TYPE).cloned();
        let (sender, body) = stream_body(&self.request.memory);
        let answer = build_answer(head, Body::from_body(body));
        let state = std::mem::replace(&mut self.state, AnswerState::Streaming(sender));
        if let AnswerState::Waiting(answer_sender) = state
            && answer_sender.send(answer).is_err()
        {
            self.state = AnswerState::Done;
        }
    }

    fn end_undelivered(&self, error: DeliveryError, progress: AnswerProgress) {
        match error {
            DeliveryError::Disconnected => return,
            // The events that wait are of no use to a caller that takes none.
            DeliveryError::Unread => self.request.memory.abort_connection(),
        }
        self.shell.metrics.count("caller.unread");
        log::info!(
            request:% = self.request.request_id, error:% = error, progress:% = progress;
            "stream broken off"
        );
    }

    /// Reads the complete response before the caller gets any of it, so that the request can be
    /// retried if the response breaks off.
    pub(super) async fn collect_answer(&mut self, call: &mut AttemptCall) -> AttemptResult {
        let Some((head, body)) = call.take_answer() else { return AttemptResult::Lost };
        let max_bytes = usize::try_from(self.shell.limits.max_answer_bytes.0).unwrap_or(usize::MAX);
        let shell = self.shell.clone();
        let mut memory = AnswerMemory::new(&shell.answer_memory);
        let mut part = self.request.memory.hold(HoldKind::Answer);
        // Memory that is reserved but not written takes no room yet.
        let announced = body.size_hint().exact().and_then(|it| usize::try_from(it).ok());
        let announced = announced.filter(|it| *it <= max_bytes);
        let mut collected = BytesMut::with_capacity(announced.unwrap_or(0));
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else { return AttemptResult::Lost };
            let Ok(data) = frame.into_data() else { continue };
            collected.extend_from_slice(&data);
            let held = if announced.is_some() { collected.len() } else { collected.capacity() };
            let has_room = part.resize(held).is_ok();
            if collected.len() > max_bytes || !has_room || !memory.hold(collected.len()) {
                log::info!(
                    request:% = self.request.request_id, bytes = collected.len();
                    "response of the server is too large"
                );
                return AttemptResult::Lost;
            }
        }
        let is_error = head.status.is_server_error();
        if head.status.is_success() {
            call.progress = AnswerProgress::Whole;
        }
        let is_large = collected.len() > MAX_PIECE_BYTES;
        let content = part.tie(collected.freeze());
        let request_memory = &self.request.memory;
        let body = match is_large {
            true => Body::from_body(AnswerBody::new(content, request_memory)),
            false => Body::from(content),
        };
        let answer = build_answer(head, body);
        match std::mem::replace(&mut self.state, AnswerState::Done) {
            AnswerState::Waiting(answer_sender) if is_error => {
                self.state = AnswerState::Waiting(answer_sender);
                self.server_error = Some(answer);
                AttemptResult::ServerError
            }
            // A caller that has disconnected needs no response.
            AnswerState::Waiting(answer_sender) => match answer_sender.send(answer) {
                Ok(()) => {
                    self.request.memory.set_stage(HoldStage::Delivering);
                    if is_large {
                        let memory = Arc::downgrade(&self.request.memory);
                        tokio::spawn(watch_delivery(memory, UNREAD_TIMEOUT));
                    }
                    AttemptResult::Answered
                }
                Err(_) => AttemptResult::Abandoned,
            },
            // The caller has the beginning of a stream, which a response that is not a stream
            // cannot continue.
            AnswerState::Streaming(sender) => {
                self.state = AnswerState::Streaming(sender);
                AttemptResult::Lost
            }
            AnswerState::Done => AttemptResult::Abandoned,
        }
    }
}

/// The part of the memory for large answers that one answer holds.
struct AnswerMemory<'a> {
    pool: &'a Semaphore,
    held: Option<SemaphorePermit<'a>>,
}

impl<'a> AnswerMemory<'a> {
    fn new(pool: &'a Semaphore) -> Self {
        Self { pool, held: None }
    }

    /// Takes what an answer of this many bytes needs. Returns `false` if other answers hold it.
    fn hold(&mut self, bytes: usize) -> bool {
        let needed_kb = bytes.saturating_sub(FREE_ANSWER_BYTES).div_ceil(1 << 10);
        let held_kb = self.held.as_ref().map_or(0, SemaphorePermit::num_permits);
        let missing = u32::try_from(needed_kb.saturating_sub(held_kb)).unwrap_or(u32::MAX);
        let Ok(permit) = self.pool.try_acquire_many(missing) else { return false };
        match &mut self.held {
            Some(held) => held.merge(permit),
            None => self.held = Some(permit),
        }
        true
    }
}

/// Returns how an attempt ended whose stream broke off. A server whose stream was not read in time
/// for its caller's sake is not at fault, and another one would be held back in the same way.
pub(super) fn lost_after(held_back: Duration) -> AttemptResult {
    if held_back >= IDLE_TIME { AttemptResult::Abandoned } else { AttemptResult::Lost }
}

fn build_answer(head: Parts, body: Body) -> Response {
    let mut answer = Response::new(body);
    *answer.status_mut() = head.status;
    *answer.headers_mut() = strip_hop_by_hop(&head.headers);
    answer
}
