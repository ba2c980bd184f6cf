//! Bodies of requests, read within bounds, and bodies of answers, relayed as they come.

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

/// Bytes that are read and dropped of a body that is refused.
const MAX_DISCARDED_BYTES: ByteCount = ByteCount(16 << 20);
/// Time for which a refused body is read and dropped.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);
/// Parts of an answer that may wait for the caller.
const MAX_QUEUED_CHUNKS: usize = 32;

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum BodyError {
    /// It is over the bound.
    #[error("the body is over {0} bytes")]
    TooLarge(ByteCount),
    /// It did not arrive in time.
    #[error("the body did not arrive within {0:?}")]
    Timeout(Duration),
    /// It broke off.
    #[error("the body broke off")]
    Broken,
}

/// Reads a whole body of at most `bound` bytes within `timeout`.
///
/// # Errors
///
/// The body is too large, too slow, or breaks off.
pub async fn read_body<B>(
    mut body: B,
    bound: ByteCount,
    timeout: Duration,
) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    let read = collect(&mut body, bound);
    let read =
        tokio::time::timeout(timeout, read).await.map_err(|_| BodyError::Timeout(timeout))?;
    if let Err(BodyError::TooLarge(_)) = read {
        discard_body(&mut body).await;
    }
    read
}

async fn collect<B>(body: &mut B, bound: ByteCount) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    if body.size_hint().lower() > bound.0 {
        return Err(BodyError::TooLarge(bound));
    }
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| BodyError::Broken)?.into_data() else { continue };
        if (whole.len() + data.len()) as u64 > bound.0 {
            return Err(BodyError::TooLarge(bound));
        }
        whole.extend_from_slice(&data);
    }
    Ok(whole.freeze())
}

/// Reads and drops what is left of a body of which nothing is wanted, within bounds. A caller that
/// is still sending when its connection closes would lose the answer.
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
    // A slower or longer body loses its answer, as its sender is far outside the bounds.
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, discard).await;
}

/// The relayed body cannot be completed: its connection is closed without an end mark.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
#[error("the relayed body broke off")]
pub struct RelayAborted;

/// Sending side of a relayed body.
pub type RelaySender = mpsc::Sender<Result<Bytes, RelayAborted>>;

/// Receiving side of a relayed body. It ends whole when the sender is dropped.
#[derive(Debug)]
pub struct RelayBody {
    parts: mpsc::Receiver<Result<Bytes, RelayAborted>>,
}

/// A body fed by a sender that waits while the caller takes nothing.
pub fn relay_body() -> (RelaySender, RelayBody) {
    let (sender, parts) = mpsc::channel(MAX_QUEUED_CHUNKS);
    (sender, RelayBody { parts })
}

impl Body for RelayBody {
    type Data = Bytes;
    type Error = RelayAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RelayAborted>>> {
        self.parts.poll_recv(cx).map(|part| part.map(|it| it.map(Frame::data)))
    }
}

/// Resolves when the caller goes away before the head of its answer, and never once it has that.
pub async fn caller_disconnected(gone: oneshot::Receiver<()>) {
    if gone.await.is_ok() {
        std::future::pending().await
    }
}
