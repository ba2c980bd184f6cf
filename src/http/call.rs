//! HTTP client that uses a new connection for each request.
//!
//! It uses `hyper`'s connection directly instead of `volo-http`'s client: the outcome "not run" is
//! only correct if no byte of the request can have reached the server, which a failed connect
//! proves. A new connection also keeps the surplus output of a faulty server from being read as
//! the response to a later request.

use std::{io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::response::Parts;
use http_body_util::Full;
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, task::AbortHandle, time::timeout};

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
) -> hyper::Result<OpenCall> {
    // An HTTP/1 handshake sends nothing; only `send_request` does.
    let mut client = http1::Builder::new();
    client.max_buf_size(MAX_HEAD_BYTES);
    let (mut sender, connection) = client.handshake(TokioIo::new(stream)).await?;
    let guard = ConnectionGuard(tokio::spawn(connection).abort_handle());
    let (head, body) = sender.send_request(request).await?.into_parts();
    Ok(OpenCall { head, body, guard })
}
