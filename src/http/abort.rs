//! Connections of callers that can be ended from outside, also while their callers read nothing.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};
use tokio_util::sync::CancellationToken;

/// Ends a caller's connection. The HTTP library looks at a response's body only as it can write, so
/// that the body's own error does not reach a caller that reads nothing.
#[derive(Clone, Debug, Default)]
pub struct ConnectionAbort(CancellationToken);

impl ConnectionAbort {
    /// Resets the connection, so that no response on it looks complete.
    ///
    /// ```
    /// let connection = alderbay::http::ConnectionAbort::default();
    /// connection.abort();
    /// assert!(connection.is_aborted());
    /// ```
    pub fn abort(&self) {
        self.0.cancel();
    }

    /// Whether the connection was reset.
    pub fn is_aborted(&self) -> bool {
        self.0.is_cancelled()
    }

    /// Resolves when the connection must end.
    pub(super) async fn aborted(&self) {
        self.0.cancelled().await;
    }
}

/// The stream of a connection that can be reset.
#[derive(Debug)]
pub(super) struct AbortableStream {
    stream: TcpStream,
    abort: ConnectionAbort,
}

impl AbortableStream {
    pub(super) fn new(stream: TcpStream, abort: ConnectionAbort) -> Self {
        Self { stream, abort }
    }
}

impl Drop for AbortableStream {
    fn drop(&mut self) {
        if self.abort.is_aborted() {
            // A response without a length would look complete at an orderly end.
            let _ = self.stream.set_zero_linger();
        }
    }
}

impl AsyncRead for AbortableStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl AsyncWrite for AbortableStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
