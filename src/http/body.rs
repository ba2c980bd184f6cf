//! Request bodies, which are read within limits, and response bodies, which are relayed in chunks.

use std::{
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use http_body::{Body, Frame};
use http_body_util::BodyExt;
use thiserror::Error;
use tokio::sync::{mpsc, oneshot};

use crate::units::ByteCount;

/// Limit on the bytes of a rejected body that are read and discarded.
const MAX_DISCARDED_BYTES: ByteCount = ByteCount(16 << 20);
/// Limit on the time for which a rejected body is read and discarded.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);
/// Capacity of the queue between the sender and the receiver of a relayed body.
const MAX_QUEUED_CHUNKS: usize = 32;

/// Why a request body cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum BodyError {
    /// The body exceeds this limit.
    #[error("the body exceeds {0} bytes")]
    TooLarge(ByteCount),
    /// The body did not arrive within this timeout.
    #[error("the body did not arrive within {0:?}")]
    Timeout(Duration),
    /// The connection failed before the end of the body.
    #[error("the body is incomplete")]
    Broken,
}

/// Reads a complete body of at most `limit` bytes within `timeout`. A body that is too large is
/// discarded, so that its sender can still read the response.
///
/// # Errors
///
/// The body is too large, too slow or incomplete.
pub async fn read_body<B>(
    mut body: B,
    limit: ByteCount,
    timeout: Duration,
) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    let content = collect_body(&mut body, limit);
    let content =
        tokio::time::timeout(timeout, content).await.map_err(|_| BodyError::Timeout(timeout))?;
    if let Err(BodyError::TooLarge(_)) = content {
        discard_body(&mut body).await;
    }
    content
}

/// Reads a complete body of at most `limit` bytes, without a timeout.
///
/// # Errors
///
/// The body is too large or incomplete.
pub async fn collect_body<B>(body: &mut B, limit: ByteCount) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    if body.size_hint().lower() > limit.0 {
        return Err(BodyError::TooLarge(limit));
    }
    let mut content = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| BodyError::Broken)?.into_data() else { continue };
        if (content.len() + data.len()) as u64 > limit.0 {
            return Err(BodyError::TooLarge(limit));
        }
        content.extend_from_slice(&data);
    }
    Ok(content.freeze())
}

/// Reads and discards the rest of a rejected body, up to 16 MiB or 2 s. If the connection closed
/// while the caller was still sending, the caller would lose the response.
pub async fn discard_body<B>(body: &mut B)
where
    B: Body<Data = Bytes> + Unpin,
{
    let discard = async {
        let mut discarded = 0;
        while let Some(Ok(frame)) = body.frame().await {
            discarded += frame.data_ref().map_or(0, Bytes::len);
            if discarded as u64 > MAX_DISCARDED_BYTES.0 {
                return;
            }
        }
    };
    // The sender of a longer or slower body loses the response; it far exceeds the limits anyway.
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, discard).await;
}

/// The relayed body cannot be completed. The connection is closed without the final chunk, so that
/// the caller does not take the body as complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
#[error("the relayed body is incomplete")]
pub struct RelayAborted;

/// Sending side of a relayed body.
pub type RelaySender = mpsc::Sender<Result<Bytes, RelayAborted>>;

/// Response body that relays chunks from a [`RelaySender`]. Dropping the sender completes it.
#[derive(Debug)]
pub struct RelayBody {
    chunks: mpsc::Receiver<Result<Bytes, RelayAborted>>,
}

/// Creates a relayed body and its sender. Sending waits while the queue is full, which exerts
/// backpressure if the caller reads slowly.
pub fn relay_body() -> (RelaySender, RelayBody) {
    let (sender, chunks) = mpsc::channel(MAX_QUEUED_CHUNKS);
    (sender, RelayBody { chunks })
}

impl Body for RelayBody {
    type Data = Bytes;
    type Error = RelayAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RelayAborted>>> {
        self.chunks.poll_recv(cx).map(|chunk| chunk.map(|it| it.map(Frame::data)))
    }
}

/// Resolves when the caller disconnects before it gets the head of its response. The handler
/// holds the sender: dropping it means a disconnect, and after a message this never resolves.
pub async fn caller_disconnected(head_sent: oneshot::Receiver<()>) {
    if head_sent.await.is_ok() {
        std::future::pending().await
    }
}
