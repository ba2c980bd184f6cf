//! HTTP client that uses a new connection for each request.
//!
//! It uses `hyper`'s connection directly instead of `volo-http`'s client: the outcome "not run" is
//! only correct if no byte of the request can have reached the server, which a failed connect
//! proves. A new connection also keeps the surplus output of a faulty server from being read as
//! the response to a later request.

use std::{
    io,
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http::response::Parts;
use http_body_util::Full;
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    task::AbortHandle,
    time::timeout,
};

/// Maximum size of the head of a response. A server may send one without end.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Call whose response head has arrived. Dropping it closes the connection and cancels the call.
#[derive(Debug)]
pub struct OpenCall {
    /// Status and headers of the response.
    pub head: Parts,
    /// Body of the response, which may still be arriving.
    pub body: Incoming,
    /// Keeps the connection open; hold it while reading the body.
    pub guard: ConnectionGuard,
}

/// A call ended without the head of a response. The request may have reached the server.
#[derive(Debug)]
#[derive(Error)]
#[error("{source}")]
pub struct CallFailure {
    source: hyper::Error,
    /// Whether the server had begun to respond: it had sent a part of a head, or a whole interim
    /// response.
    pub has_begun: bool,
}

/// Closes the connection of a call when dropped.
#[derive(Debug)]
pub struct ConnectionGuard(AbortHandle);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Opens a TCP connection to a server, without Nagle's algorithm.
///
/// # Errors
///
/// The connection is not established within `max_wait`, or it is refused.
pub async fn connect(address: SocketAddr, max_wait: Duration) -> io::Result<TcpStream> {
    let stream = timeout(max_wait, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Sends a request over the new connection `stream` and waits, without a timeout, for the head of
/// the response.
///
/// # Errors
///
/// The connection failed, or the head is too large; the request may have reached the server.
pub async fn start_call(
    stream: TcpStream,
    request: http::Request<Full<Bytes>>,
) -> Result<OpenCall, CallFailure> {
    let has_received = Arc::new(AtomicBool::new(false));
    let stream = ObservedStream { stream, has_received: has_received.clone() };
    send_request(stream, request).await.map_err(|source| {
        let has_begun = has_received.load(Ordering::Relaxed);
        CallFailure { source, has_begun }
    })
}

async fn send_request(
    stream: ObservedStream,
    request: http::Request<Full<Bytes>>,
) -> hyper::Result<OpenCall> {
    // An HTTP/1 handshake sends nothing; only `send_request` does.
    let mut client = http1::Builder::new();
    client.max_buf_size(MAX_HEAD_BYTES);
    let (mut sender, connection) = client.handshake(TokioIo::new(stream)).await?;
    let guard = ConnectionGuard(tokio::spawn(connection).abort_handle());
    let (head, body) = sender.send_request(request).await?.into_parts();
    Ok(OpenCall { head, body, guard })
}

/// A connection that records whether anything was received. The HTTP library does not tell a head
/// that breaks off from none at all.
#[derive(Debug)]
struct ObservedStream {
    stream: TcpStream,
    has_received: Arc<AtomicBool>,
}

impl AsyncRead for ObservedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buffer);
        if buffer.filled().len() > filled {
            self.has_received.store(true, Ordering::Relaxed);
        }
        polled
    }
}

impl AsyncWrite for ObservedStream {
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
