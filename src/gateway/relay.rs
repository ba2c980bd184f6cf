//! The buffer between a server's stream and its caller, which may read more slowly.

use std::{
    collections::VecDeque,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll, Waker},
};

use bytes::Bytes;
use http_body::{Body, Frame};
use thiserror::Error;
use tokio::{sync::Notify, time::timeout};

use super::held_memory::{HeldPart, IDLE_TIME, RequestMemory, UNREAD_TIMEOUT};
use crate::{
    http::RelayAborted,
    routing::{HoldKind, HoldStage},
};

/// Size of the buffer from which the server is read no further. The last event may exceed it.
const MAX_BUFFERED_BYTES: usize = 256 << 10;
/// Step in which the buffer's memory is counted.
const COUNT_STEP: usize = 4 << 10;
/// Largest piece of a complete response that the connection takes at once.
pub(super) const MAX_PIECE_BYTES: usize = 16 << 10;

/// Why a stream cannot be passed on to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
pub(super) enum DeliveryError {
    /// The caller has disconnected.
    #[error("the caller has disconnected")]
    Disconnected,
    /// The caller takes nothing, or takes it too slowly for the memory that is left.
    #[error("the caller takes too little of its response")]
    Unread,
}

/// How the stream ends once the buffer is empty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RelayEnd {
    Open,
    Complete,
    Aborted,
}

struct RelayQueue {
    events: VecDeque<Bytes>,
    bytes: usize,
    part: HeldPart,
    end: RelayEnd,
    is_disconnected: bool,
    waker: Option<Waker>,
}

impl RelayQueue {
    /// Counts the buffer's memory in steps, and keeps one that is used again at once.
    fn count(&mut self) -> Result<(), DeliveryError> {
        let needed = self.bytes.next_multiple_of(COUNT_STEP).max(COUNT_STEP);
        self.part.resize(needed).map_err(|_| DeliveryError::Unread)
    }
}

struct RelayShared {
    queue: Mutex<RelayQueue>,
    taken: Notify,
    disconnected: Notify,
    memory: Arc<RequestMemory>,
}

impl RelayShared {
    fn lock(&self) -> MutexGuard<'_, RelayQueue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Sending side of a stream. Dropping it breaks the stream off, unless it was finished.
pub(super) struct StreamSender(Arc<RelayShared>);

/// Response body that takes its events from a [`StreamSender`].
pub(super) struct StreamBody(Arc<RelayShared>);

/// Creates the buffer of a stream, of which the request's memory is a part.
pub(super) fn stream_body(memory: &Arc<RequestMemory>) -> (StreamSender, StreamBody) {
    let queue = RelayQueue {
        events: VecDeque::new(),
        bytes: 0,
        part: memory.hold(HoldKind::Relay),
        end: RelayEnd::Open,
        is_disconnected: false,
        waker: None,
    };
    memory.set_stage(HoldStage::Delivering);
    let shared = Arc::new(RelayShared {
        queue: Mutex::new(queue),
        taken: Notify::new(),
        disconnected: Notify::new(),
        memory: memory.clone(),
    });
    (StreamSender(shared.clone()), StreamBody(shared))
}

impl StreamSender {
    /// Buffers an event, and waits while the buffer is full.
    ///
    /// # Errors
    ///
    /// The caller has disconnected, takes nothing of a full buffer for some seconds, or there is no
    /// memory for the event.
    pub(super) async fn send(&self, event: Bytes) -> Result<(), DeliveryError> {
        let mut waited = std::time::Duration::ZERO;
        while !self.push(&event)? {
            if timeout(IDLE_TIME, self.0.taken.notified()).await.is_ok() {
                if std::mem::take(&mut waited) >= IDLE_TIME {
                    self.0.memory.set_stage(HoldStage::Delivering);
                }
                continue;
            }
            waited += IDLE_TIME;
            self.0.memory.set_stage(HoldStage::Idle);
            if waited >= UNREAD_TIMEOUT {
                return Err(DeliveryError::Unread);
            }
        }
        Ok(())
    }

    /// Buffers an event. Returns `false` while the buffer is full.
    fn push(&self, event: &Bytes) -> Result<bool, DeliveryError> {
        let mut queue = self.0.lock();
        if queue.is_disconnected {
            return Err(DeliveryError::Disconnected);
        }
        if queue.bytes >= MAX_BUFFERED_BYTES {
            return Ok(false);
        }
        queue.bytes += event.len();
        queue.events.push_back(event.clone());
        queue.count()?;
        let waker = queue.waker.take();
        drop(queue);
        waker.into_iter().for_each(Waker::wake);
        Ok(true)
    }

    /// Resolves when the caller has disconnected.
    pub(super) async fn disconnected(&self) {
        while !self.0.lock().is_disconnected {
            self.0.disconnected.notified().await;
        }
    }

    /// Whether the caller has taken all events.
    pub(super) fn is_drained(&self) -> bool {
        self.0.lock().events.is_empty()
    }

    /// Ends the stream as complete after the events in the buffer.
    pub(super) fn finish(self) {
        self.end(RelayEnd::Complete);
    }

    fn end(&self, end: RelayEnd) {
        let mut queue = self.0.lock();
        if queue.end != RelayEnd::Open {
            return;
        }
        queue.end = end;
        let waker = queue.waker.take();
        drop(queue);
        waker.into_iter().for_each(Waker::wake);
    }
}

impl Drop for StreamSender {
    fn drop(&mut self) {
        self.end(RelayEnd::Aborted);
    }
}

impl Body for StreamBody {
    type Data = Bytes;
    type Error = RelayAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RelayAborted>>> {
        let mut queue = self.0.lock();
        let Some(event) = queue.events.pop_front() else {
            return match queue.end {
                RelayEnd::Open => {
                    queue.waker = Some(cx.waker().clone());
                    Poll::Pending
                }
                RelayEnd::Complete => Poll::Ready(None),
                RelayEnd::Aborted => Poll::Ready(Some(Err(RelayAborted))),
            };
        };
        queue.bytes -= event.len();
        // Less memory is never refused.
        let _ = queue.count();
        drop(queue);
        self.0.memory.record_taken();
        self.0.taken.notify_one();
        Poll::Ready(Some(Ok(Frame::data(event))))
    }
}

impl Drop for StreamBody {
    fn drop(&mut self) {
        let mut queue = self.0.lock();
        queue.is_disconnected = true;
        queue.events.clear();
        queue.bytes = 0;
        // Less memory is never refused.
        let _ = queue.count();
        drop(queue);
        self.0.disconnected.notify_one();
        self.0.taken.notify_one();
    }
}

/// Complete response body that the connection takes in pieces, so that it shows whether the caller
/// reads.
pub(super) struct AnswerBody {
    bytes: Bytes,
    memory: Arc<RequestMemory>,
}

impl AnswerBody {
    pub(super) fn new(bytes: Bytes, memory: &Arc<RequestMemory>) -> Self {
        Self { bytes, memory: memory.clone() }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = RelayAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RelayAborted>>> {
        if self.bytes.is_empty() {
            return Poll::Ready(None);
        }
        let length = self.bytes.len().min(MAX_PIECE_BYTES);
        let piece = self.bytes.split_to(length);
        self.memory.record_taken();
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_empty()
    }

    fn size_hint(&self) -> http_body::SizeHint {
        http_body::SizeHint::with_exact(self.bytes.len() as u64)
    }
}
