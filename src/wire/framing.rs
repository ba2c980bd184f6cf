//! Length-prefixed frames on a QUIC stream. Each frame is one message encoded by `postcard`.

use bytes::{BufMut, BytesMut};
use quinn::{ReadExactError, RecvStream, SendStream, WriteError};
use serde::{Serialize, de::DeserializeOwned};
use thiserror::Error;

use crate::units::ByteCount;

/// Size of the length prefix, a big-endian `u32`.
const LENGTH_BYTES: usize = 4;

/// Why a frame cannot be read or written.
#[derive(Debug)]
#[derive(Error)]
pub enum FrameError {
    /// The stream ended or failed during a read.
    #[error("cannot read a frame: {0}")]
    Read(#[from] ReadExactError),
    /// The stream failed during a write.
    #[error("cannot write a frame: {0}")]
    Write(#[from] WriteError),
    /// The length prefix exceeds the limit.
    #[error("a frame of {length} bytes exceeds the limit of {limit}")]
    TooLong {
        /// Length in the prefix.
        length: ByteCount,
        /// Limit on the length.
        limit: ByteCount,
    },
    /// The message cannot be decoded or encoded.
    #[error("cannot decode or encode a frame: {0}")]
    Codec(#[from] postcard::Error),
}

/// Reads one message of at most `limit` encoded bytes.
///
/// # Errors
///
/// The stream ends early or fails, the frame is too long, or it cannot be decoded as `M`.
pub async fn read_frame<M: DeserializeOwned>(
    stream: &mut RecvStream,
    limit: ByteCount,
) -> Result<M, FrameError> {
    let mut prefix = [0; LENGTH_BYTES];
    stream.read_exact(&mut prefix).await?;
    let length = ByteCount(u64::from(u32::from_be_bytes(prefix)));
    if length > limit {
        return Err(FrameError::TooLong { length, limit });
    }
    let mut frame = vec![0; usize::try_from(length.0).unwrap_or(usize::MAX)];
    stream.read_exact(&mut frame).await?;
    Ok(postcard::from_bytes(&frame)?)
}

/// Writes one message. Waits while the peer's flow-control window is full.
///
/// # Errors
///
/// The peer stopped the stream, the connection failed, or the message cannot be encoded.
pub async fn write_frame<M: Serialize>(
    stream: &mut SendStream,
    message: &M,
) -> Result<(), FrameError> {
    let body = postcard::to_stdvec(message)?;
    let mut frame = BytesMut::with_capacity(LENGTH_BYTES + body.len());
    frame.put_u32(u32::try_from(body.len()).unwrap_or(u32::MAX));
    frame.extend_from_slice(&body);
    stream.write_chunk(frame.freeze()).await?;
    Ok(())
}
