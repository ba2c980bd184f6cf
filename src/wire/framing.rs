//! Length-prefixed frames, each one message encoded by `postcard`.

use bytes::{BufMut, BytesMut};
use quinn::{ReadExactError, RecvStream, SendStream, WriteError};
use serde::{Serialize, de::DeserializeOwned};
use thiserror::Error;

use crate::units::ByteCount;

/// Bytes of the length in front of each frame.
const LENGTH_BYTES: usize = 4;

/// Why a frame could not be read or written.
#[derive(Debug)]
#[derive(Error)]
pub enum FrameError {
    /// The stream ended or broke while reading.
    #[error("reading a frame: {0}")]
    Read(#[from] ReadExactError),
    /// The stream broke while writing.
    #[error("writing a frame: {0}")]
    Write(#[from] WriteError),
    /// The frame states a length over the bound.
    #[error("a frame of {length} bytes is over the bound of {bound}")]
    TooLong {
        /// Stated length.
        length: ByteCount,
        /// The bound.
        bound: ByteCount,
    },
    /// The bytes are no such message.
    #[error("decoding a frame: {0}")]
    Codec(#[from] postcard::Error),
}

/// Reads one message of at most `bound` bytes.
///
/// # Errors
///
/// The stream ends before the message does, or the bytes are no such message.
pub async fn read_frame<M: DeserializeOwned>(
    stream: &mut RecvStream,
    bound: ByteCount,
) -> Result<M, FrameError> {
    let mut prefix = [0; LENGTH_BYTES];
    stream.read_exact(&mut prefix).await?;
    let length = ByteCount(u64::from(u32::from_be_bytes(prefix)));
    if length > bound {
        return Err(FrameError::TooLong { length, bound });
    }
    let mut frame = vec![0; usize::try_from(length.0).unwrap_or(usize::MAX)];
    stream.read_exact(&mut frame).await?;
    Ok(postcard::from_bytes(&frame)?)
}

/// Writes one message.
///
/// # Errors
///
/// The peer stopped the stream, or the connection broke.
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
