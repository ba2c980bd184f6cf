//! One request on a connection of its own.
//!
//! `hyper`'s connection is used as it is, below `volo-http`'s client, because the promise "not run"
//! needs to know whether any byte of a request may have reached the server. A connection that could
//! not be made proves that none did. And what a faulty server sends after an answer is lost with
//! the connection, and never read as the answer to another request.

use std::{io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::response::Parts;
use http_body_util::Full;
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, task::AbortHandle, time::timeout};

/// A call whose answer has begun. Dropping it closes the connection, which cancels the call.
#[derive(Debug)]
pub struct OpenCall {
    /// Head of the answer.
    pub head: Parts,
    /// Its body.
    pub body: Incoming,
    /// Keeps the connection open.
    pub guard: ConnectionGuard,
}

/// Closes its connection when dropped.
#[derive(Debug)]
pub struct ConnectionGuard(AbortHandle);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Connects to a server.
///
/// # Errors
///
/// No connection stands within `limit`.
pub async fn connect(address: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let stream = timeout(limit, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Sends a request over a new connection and waits for the head of its answer.
///
/// # Errors
///
/// The connection broke; the request may have reached the server.
pub async fn start_call(
    stream: TcpStream,
    request: http::Request<Full<Bytes>>,
) -> hyper::Result<OpenCall> {
    // The handshake sends nothing; only `send_request` does.
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let guard = ConnectionGuard(tokio::spawn(connection).abort_handle());
    let (head, body) = sender.send_request(request).await?.into_parts();
    Ok(OpenCall { head, body, guard })
}
