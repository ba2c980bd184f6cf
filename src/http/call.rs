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
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderValue, header::TRANSFER_ENCODING, response::Parts};
use http_body::{Body, Frame, SizeHint};
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

/// Maximum number of bytes that a server may send until the head of its response is complete, interim
/// responses and what is read ahead of the body included.
const MAX_BYTES_BEFORE_HEAD: usize = 4 * MAX_HEAD_BYTES;
/// Largest status of a response.
const MAX_STATUS: u16 = 599;

/// Call whose response head has arrived. Dropping it closes the connection and cancels the call.
#[derive(Debug)]
pub struct OpenCall {
    /// Status and headers of the response.
    pub head: Parts,
    /// Body of the response, which may still be arriving.
    pub body: ResponseBody,
    /// Keeps the connection open; hold it while reading the body.
    pub guard: ConnectionGuard,
}

/// A call ended without the head of a response. The request may have reached the server.
#[derive(Debug)]
#[derive(Error)]
#[error("{cause}")]
pub struct CallFailure {
    cause: CallBreak,
    /// Whether the server had begun to respond: it had sent a part of a head, or a whole interim
    /// response.
    pub has_begun: bool,
}

/// Why a call has no response, or not the whole of it.
#[derive(Debug)]
#[derive(Error)]
pub enum CallBreak {
    /// The connection broke, or what was received is no HTTP/1.
    #[error("{0}")]
    Connection(#[from] hyper::Error),
    /// The server sent more than it may before the head of its response, such as interim responses
    /// without end.
    #[error("more than {MAX_BYTES_BEFORE_HEAD} bytes came before the head of the response")]
    EndlessHead,
    /// The server switched to another protocol.
    #[error("the server switched to a protocol that it was not asked for")]
    ProtocolSwitch,
    /// The status is outside of the range that HTTP defines (RFC 9110, section 15).
    #[error("the response has the invalid status {0}")]
    InvalidStatus(u16),
    /// The body has a transfer coding other than chunks.
    #[error("the response has an unknown transfer coding")]
    UnknownCoding,
    /// The connection ended in place of a body without a length.
    #[error("the connection ended before the first byte of the body")]
    EmptyBody,
}

/// Body of a response.
///
/// Without a length or chunks it ends with its connection, which may also mean that the server has
/// ended right after the head. So such a body is broken off if it is empty.
#[derive(Debug)]
pub struct ResponseBody {
    body: Incoming,
    is_delimited: bool,
    has_begun: bool,
}

impl ResponseBody {
    fn new(body: Incoming, head: &Parts) -> Self {
        let mut codings = head.headers.get_all(TRANSFER_ENCODING).iter();
        let is_chunked = codings.any(|it| is_coding(it, "chunked"));
        let is_delimited = body.size_hint().exact().is_some() || is_chunked;
        Self { body, is_delimited, has_begun: false }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = CallBreak;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CallBreak>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx)?;
        if let Poll::Ready(Some(_)) = polled {
            self.has_begun = true;
        }
        if let Poll::Ready(None) = polled
            && !self.is_delimited
            && !self.has_begun
        {
            return Poll::Ready(Some(Err(CallBreak::EmptyBody)));
        }
        polled.map(|it| it.map(Ok))
    }

    fn is_end_stream(&self) -> bool {
        self.is_delimited && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
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
/// The connection failed, or the head is too large or of no use; the request may have reached the
/// server.
pub async fn start_call(
    stream: TcpStream,
    request: http::Request<Full<Bytes>>,
) -> Result<OpenCall, CallFailure> {
    let progress = Arc::new(HeadProgress::default());
    let stream = ObservedStream { stream, progress: progress.clone() };
    let result = send_request(stream, request).await;
    progress.is_complete.store(true, Ordering::Relaxed);
    result.map_err(|cause| {
        let received = progress.received.load(Ordering::Relaxed);
        let cause = if received > MAX_BYTES_BEFORE_HEAD { CallBreak::EndlessHead } else { cause };
        CallFailure { cause, has_begun: received > 0 }
    })
}

fn is_coding(value: &HeaderValue, coding: &str) -> bool {
    value.as_bytes().eq_ignore_ascii_case(coding.as_bytes())
}

async fn send_request(
    stream: ObservedStream,
    request: http::Request<Full<Bytes>>,
) -> Result<OpenCall, CallBreak> {
    // An HTTP/1 handshake sends nothing; only `send_request` does.
    let mut client = http1::Builder::new();
    client.max_buf_size(MAX_HEAD_BYTES);
    let (mut sender, connection) = client.handshake(TokioIo::new(stream)).await?;
    let guard = ConnectionGuard(tokio::spawn(connection).abort_handle());
    let (head, body) = sender.send_request(request).await?.into_parts();
    if head.status.is_informational() {
        return Err(CallBreak::ProtocolSwitch);
    }
    // The HTTP library itself refuses what has no three digits or is below 100.
    if head.status.as_u16() > MAX_STATUS {
        return Err(CallBreak::InvalidStatus(head.status.as_u16()));
    }
    let mut codings = head.headers.get_all(TRANSFER_ENCODING).iter();
    let is_known = |it: &HeaderValue| is_coding(it, "chunked") || is_coding(it, "identity");
    if !codings.all(is_known) {
        return Err(CallBreak::UnknownCoding);
    }
    let body = ResponseBody::new(body, &head);
    Ok(OpenCall { head, body, guard })
}

/// What has arrived on a connection.
#[derive(Debug, Default)]
struct HeadProgress {
    /// Number of bytes received until the head was complete.
    received: AtomicUsize,
    /// Whether the head of the response is complete.
    is_complete: AtomicBool,
}

/// A connection that records how much was received before the head of the response. The HTTP library
/// does not tell a head that breaks off from none at all, and skips any number of interim responses.
#[derive(Debug)]
struct ObservedStream {
    stream: TcpStream,
    progress: Arc<HeadProgress>,
}

impl AsyncRead for ObservedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buffer);
        let count = buffer.filled().len() - filled;
        let HeadProgress { received, is_complete } = &*self.progress;
        if count == 0 || is_complete.load(Ordering::Relaxed) {
            return polled;
        }
        if received.fetch_add(count, Ordering::Relaxed) + count > MAX_BYTES_BEFORE_HEAD {
            return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
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
