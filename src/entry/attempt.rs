//! One attempt at an agent: sends a work request on its own stream and reads the replies.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue};
use quinn::{Connection, RecvStream, SendStream, VarInt};
use tokio::time::timeout;

use crate::{
    core::AttemptOutcome,
    daemon::ProcessShell,
    units::{ByteCount, RequestId, VmId},
    wire::{HeaderPair, WorkReply, WorkRequest, read_frame, write_frame},
};

/// Maximum size of one reply message.
const MAX_REPLY_SIZE: ByteCount = ByteCount(16 << 20);
/// Time for which an attempt waits for a free stream when the connection has reached its limit.
const OPEN_TIMEOUT: Duration = Duration::from_millis(500);
/// QUIC error code for stopping the stream of an abandoned attempt.
const STREAM_ABANDONED: VarInt = VarInt::from_u32(1);

/// Status and headers of a backend server's answer.
#[derive(Clone, Debug)]
pub(super) struct ResponseHead {
    pub(super) status: u16,
    pub(super) headers: HeaderMap,
}

/// The next piece of an answer's body.
#[derive(Debug)]
pub(super) enum AnswerChunk {
    Data { events: u32, bytes: Bytes },
    End,
}

/// An attempt whose work request has been sent.
pub(super) struct SentAttempt {
    vm: VmId,
    request_id: RequestId,
    // Kept open so that the agent sees a reset, not a clean end of stream, if this entry fails.
    _send: SendStream,
    recv: RecvStream,
    is_ended: bool,
}

impl SentAttempt {
    /// Opens a stream and sends the work request.
    ///
    /// # Errors
    ///
    /// Returns `NeverSent` if there is no connection or no free stream, and `LostUnanswered` if the
    /// write failed.
    pub(super) async fn send(
        connection: Option<Connection>,
        vm: &VmId,
        work_request: &WorkRequest,
    ) -> Result<Self, AttemptOutcome> {
        let connection = connection.ok_or(AttemptOutcome::NeverSent)?;
        let opened = timeout(OPEN_TIMEOUT, connection.open_bi()).await;
        let (mut send, recv) = opened.ok().and_then(Result::ok).ok_or(AttemptOutcome::NeverSent)?;
        // After a failed write the agent may still have received the whole request.
        write_frame(&mut send, work_request).await.map_err(|_| AttemptOutcome::LostUnanswered)?;
        let request_id = work_request.request_id.clone();
        Ok(Self { vm: vm.clone(), request_id, _send: send, recv, is_ended: false })
    }

    /// Reads the head of the answer, or returns how the attempt ended without one.
    pub(super) async fn read_head(
        &mut self,
        shell: &ProcessShell,
    ) -> Result<ResponseHead, AttemptOutcome> {
        let reply = self.read_reply(AttemptOutcome::LostUnanswered).await?;
        match reply {
            WorkReply::Head { request_id, status, headers } if request_id == self.request_id => {
                Ok(ResponseHead { status, headers: to_header_map(headers) })
            }
            WorkReply::Head { request_id, .. } => {
                shell.metrics.count("reply.crossed");
                log::error!(
                    peer:% = self.vm, ours:% = self.request_id, theirs:% = request_id;
                    "dropped a reply to another request"
                );
                Err(AttemptOutcome::LostUnanswered)
            }
            WorkReply::Refused { reason, report } => {
                self.is_ended = true;
                shell.dispatch(crate::core::Event::PeerReport { vm: self.vm.clone(), report });
                Err(AttemptOutcome::Refused(reason))
            }
            WorkReply::ClaimedBy(holder) => {
                self.is_ended = true;
                Err(AttemptOutcome::ClaimedBy(holder))
            }
            WorkReply::OutcomeUnknown => {
                self.is_ended = true;
                Err(AttemptOutcome::ClaimLost)
            }
            WorkReply::AnswerGone => {
                self.is_ended = true;
                Err(AttemptOutcome::AnswerGone)
            }
            WorkReply::Broken | WorkReply::Data { .. } | WorkReply::End { .. } => {
                Err(AttemptOutcome::LostUnanswered)
            }
        }
    }

    /// Reads the next chunk of the answer's body.
    pub(super) async fn next_chunk(
        &mut self,
        shell: &ProcessShell,
    ) -> Result<AnswerChunk, AttemptOutcome> {
        match self.read_reply(AttemptOutcome::LostMidAnswer).await? {
            WorkReply::Data { events, bytes } => Ok(AnswerChunk::Data { events, bytes }),
            WorkReply::End { report } => {
                self.is_ended = true;
                shell.dispatch(crate::core::Event::PeerReport { vm: self.vm.clone(), report });
                Ok(AnswerChunk::End)
            }
            WorkReply::Broken
            | WorkReply::Head { .. }
            | WorkReply::Refused { .. }
            | WorkReply::ClaimedBy(_)
            | WorkReply::OutcomeUnknown
            | WorkReply::AnswerGone => Err(AttemptOutcome::LostMidAnswer),
        }
    }

    /// Reads one reply. Returns `on_failure` as the error if the stream breaks.
    async fn read_reply(
        &mut self,
        on_failure: AttemptOutcome,
    ) -> Result<WorkReply, AttemptOutcome> {
        read_frame(&mut self.recv, MAX_REPLY_SIZE).await.map_err(|_| on_failure)
    }
}

impl Drop for SentAttempt {
    fn drop(&mut self) {
        if !self.is_ended {
            // Stopping the stream makes the agent cancel the work. An error means that the stream
            // is already closed.
            let _ = self.recv.stop(STREAM_ABANDONED);
        }
    }
}

fn to_header_map(pairs: Vec<HeaderPair>) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in pairs {
        let name = HeaderName::from_bytes(name.as_bytes());
        let value = HeaderValue::from_bytes(&value);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    headers
}
