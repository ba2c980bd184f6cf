//! One attempt: a work order on a stream of its own, and the replies to it.

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

/// Longest reply message.
const MAX_REPLY: ByteCount = ByteCount(16 << 20);
/// Time for which an attempt waits while all streams of the connection are in use.
const OPEN_TIMEOUT: Duration = Duration::from_millis(500);
/// Code with which a stream is stopped that nobody waits for any more.
const ABANDONED: VarInt = VarInt::from_u32(1);

/// Head of a backend server's answer.
#[derive(Clone, Debug)]
pub(super) struct AnswerHead {
    pub(super) status: u16,
    pub(super) headers: HeaderMap,
}

/// What comes next of an answer.
#[derive(Debug)]
pub(super) enum AnswerPart {
    Data { events: u32, bytes: Bytes },
    End,
}

/// An attempt whose order was sent.
pub(super) struct SentAttempt {
    vm: VmId,
    request_id: RequestId,
    // Held open so that the agent sees the entry's loss as a reset, not as a clean end.
    _send: SendStream,
    recv: RecvStream,
    ended: bool,
}

impl SentAttempt {
    /// Sends the order.
    pub(super) async fn send(
        link: Option<Connection>,
        vm: &VmId,
        order: &WorkRequest,
    ) -> Result<Self, AttemptOutcome> {
        let link = link.ok_or(AttemptOutcome::NeverSent)?;
        let opened = timeout(OPEN_TIMEOUT, link.open_bi()).await;
        let (mut send, recv) = opened.ok().and_then(Result::ok).ok_or(AttemptOutcome::NeverSent)?;
        // Once bytes may have left, the agent may have the whole order.
        write_frame(&mut send, order).await.map_err(|_| AttemptOutcome::LostUnanswered)?;
        let request_id = order.request_id.clone();
        Ok(Self { vm: vm.clone(), request_id, _send: send, recv, ended: false })
    }

    /// Reads the head of the answer, or learns how the attempt ended without one.
    pub(super) async fn head(
        &mut self,
        shell: &ProcessShell,
    ) -> Result<AnswerHead, AttemptOutcome> {
        let reply = self.reply(AttemptOutcome::LostUnanswered).await?;
        match reply {
            WorkReply::Head { request_id, status, headers } if request_id == self.request_id => {
                Ok(AnswerHead { status, headers: header_map(headers) })
            }
            WorkReply::Head { request_id, .. } => {
                shell.metrics.count("reply.crossed");
                log::error!(peer:% = self.vm, ours:% = self.request_id, theirs:% = request_id; "crossed reply dropped");
                Err(AttemptOutcome::LostUnanswered)
            }
            WorkReply::Refused { reason, report } => {
                self.ended = true;
                shell.dispatch(crate::core::Event::PeerReport { vm: self.vm.clone(), report });
                Err(AttemptOutcome::Refused(reason))
            }
            WorkReply::ClaimedBy(holder) => {
                self.ended = true;
                Err(AttemptOutcome::ClaimedBy(holder))
            }
            WorkReply::OutcomeUnknown => {
                self.ended = true;
                Err(AttemptOutcome::ClaimLost)
            }
            WorkReply::AnswerGone => {
                self.ended = true;
                Err(AttemptOutcome::AnswerGone)
            }
            WorkReply::Broken | WorkReply::Data { .. } | WorkReply::End { .. } => {
                Err(AttemptOutcome::LostUnanswered)
            }
        }
    }

    /// Reads the next part of the answer.
    pub(super) async fn part(
        &mut self,
        shell: &ProcessShell,
    ) -> Result<AnswerPart, AttemptOutcome> {
        match self.reply(AttemptOutcome::LostMidAnswer).await? {
            WorkReply::Data { events, bytes } => Ok(AnswerPart::Data { events, bytes }),
            WorkReply::End { report } => {
                self.ended = true;
                shell.dispatch(crate::core::Event::PeerReport { vm: self.vm.clone(), report });
                Ok(AnswerPart::End)
            }
            WorkReply::Broken
            | WorkReply::Head { .. }
            | WorkReply::Refused { .. }
            | WorkReply::ClaimedBy(_)
            | WorkReply::OutcomeUnknown
            | WorkReply::AnswerGone => Err(AttemptOutcome::LostMidAnswer),
        }
    }

    async fn reply(&mut self, otherwise: AttemptOutcome) -> Result<WorkReply, AttemptOutcome> {
        read_frame(&mut self.recv, MAX_REPLY).await.map_err(|_| otherwise)
    }
}

impl Drop for SentAttempt {
    fn drop(&mut self) {
        if !self.ended {
            // The agent cancels the work when its stream is stopped; a stream already gone needs no
            // stopping.
            let _ = self.recv.stop(ABANDONED);
        }
    }
}

fn header_map(pairs: Vec<HeaderPair>) -> HeaderMap {
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
