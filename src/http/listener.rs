//! HTTP server with limits on connections and request heads.
//!
//! Routing is done by `volo-http`, but the accept loop uses `hyper` directly: `volo-http`'s server
//! limits neither the number of connections nor the time for a request's head, and it cuts off
//! streams 30 s after a stop signal at the latest.

use std::{
    convert::Infallible,
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use http::{HeaderValue, StatusCode, Version, header::CONNECTION};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use motore::service::Service;
use thiserror::Error;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore, watch},
    time::{Instant, timeout, timeout_at},
};
use volo::net::Address;
use volo_http::{body::Body, context::ServerContext, response::Response, server::Router};

use super::{
    abort::{AbortableStream, ConnectionAbort},
    text_response,
};
use crate::{options::HttpLimits, units::ByteCount};

/// Backoff after an accept error, such as an exhausted descriptor table, to avoid a busy loop.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// The address of a listener cannot be bound.
#[derive(Debug)]
#[derive(Error)]
#[error("cannot bind {address}: {source}")]
pub struct ListenerError {
    address: SocketAddr,
    source: io::Error,
}

impl ListenerError {
    /// Creates the error for `address` from the operating system's error.
    pub fn new(address: SocketAddr, source: io::Error) -> Self {
        Self { address, source }
    }
}

/// Time in which a listener that closes takes what has reached the process before.
const SETTLE_TIME: Duration = Duration::from_millis(30);

/// Phase of a listener's shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ListenerPhase {
    /// Normal operation with persistent connections.
    Open,
    /// Still accepts connections, but closes each one after its next response, so that callers
    /// reconnect to another process.
    Draining,
    /// Accepts no connections. Idle ones are closed, others after their request in progress.
    Closed,
}

/// A connection, its caller's address and its part of the limit on connections.
type AcceptedConnection = (TcpStream, SocketAddr, OwnedSemaphorePermit);

/// HTTP/1.1 server bound to an address.
#[derive(Debug)]
pub struct HttpListener {
    listener: TcpListener,
    limits: HttpLimits,
    permits: Arc<Semaphore>,
}

impl HttpListener {
    /// Binds the address. Connections are accepted once the listener serves.
    ///
    /// # Errors
    ///
    /// The address is in use or does not belong to this machine.
    pub async fn bind(address: SocketAddr, limits: HttpLimits) -> Result<Self, ListenerError> {
        let listener =
            TcpListener::bind(address).await.map_err(|source| ListenerError { address, source })?;
        let permits = Arc::new(Semaphore::new(limits.max_connections as usize));
        Ok(Self { listener, limits, permits })
    }

    /// Serves the routes until the phase is [`ListenerPhase::Closed`] and the last connection has
    /// ended. Serves forever if the sender of the phase is dropped.
    pub async fn serve(self, router: Router, phase: watch::Receiver<ListenerPhase>) {
        let router = Arc::new(router);
        let max_head = self.limits.max_head_bytes;
        let handle = move |peer, request| route(router.clone(), peer, request, max_head);
        self.serve_with(handle, phase).await;
    }

    /// Serves with `handle` in place of routes, as [`Self::serve`] does. The handler gets the
    /// address of the caller and the request, with a [`ConnectionAbort`] among its extensions.
    pub async fn serve_with<H, F>(self, handle: H, mut phase: watch::Receiver<ListenerPhase>)
    where
        H: Fn(SocketAddr, http::Request<Incoming>) -> F + Clone + Send + 'static,
        F: Future<Output = Response> + Send + 'static,
    {
        loop {
            let accepted = tokio::select! {
                accepted = self.accept() => accepted,
                Ok(_) = phase.wait_for(|it| *it == ListenerPhase::Closed) => break,
            };
            let Some(accepted) = accepted else { continue };
            self.spawn_connection(accepted, &handle, &phase);
        }
        // Callers may have sent requests on connections that wait to be accepted.
        let settled = Instant::now() + SETTLE_TIME;
        while let Ok(accepted) = timeout_at(settled, self.accept()).await {
            let Some(accepted) = accepted else { continue };
            self.spawn_connection(accepted, &handle, &phase);
        }
        // Closes the socket: the kernel would complete handshakes of callers that nobody serves.
        drop(self.listener);
        // All permits are available again once every connection has ended.
        let _ = self.permits.acquire_many(self.limits.max_connections).await;
    }

    fn spawn_connection<H, F>(
        &self,
        (stream, peer, permit): AcceptedConnection,
        handle: &H,
        phase: &watch::Receiver<ListenerPhase>,
    ) where
        H: Fn(SocketAddr, http::Request<Incoming>) -> F + Clone + Send + 'static,
        F: Future<Output = Response> + Send + 'static,
    {
        let connection = serve_connection(stream, peer, self.limits, handle.clone(), phase.clone());
        tokio::spawn(async move {
            connection.await;
            drop(permit);
        });
    }

    async fn accept(&self) -> Option<AcceptedConnection> {
        let permit = self.permits.clone().acquire_owned().await.ok()?;
        match self.listener.accept().await {
            Ok((stream, peer)) => Some((stream, peer, permit)),
            Err(error) => {
                log::warn!(error:% = error; "cannot accept a connection");
                tokio::time::sleep(ACCEPT_BACKOFF).await;
                None
            }
        }
    }
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    peer: SocketAddr,
    limits: HttpLimits,
    handle: H,
    mut phase: watch::Receiver<ListenerPhase>,
) where
    H: Fn(SocketAddr, http::Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    // Nagle's algorithm would delay small events of streams.
    let _ = stream.set_nodelay(true);
    let response_phase = phase.clone();
    let abort = ConnectionAbort::default();
    let stream = AbortableStream::new(stream, abort.clone());
    let request_abort = abort.clone();
    let takes_no_chunks = Arc::new(AtomicBool::new(false));
    let seen_version = takes_no_chunks.clone();
    let service = service_fn(move |mut request: http::Request<Incoming>| {
        request.extensions_mut().insert(request_abort.clone());
        if request.version() < Version::HTTP_11 {
            seen_version.store(true, Ordering::Relaxed);
        }
        let (response, phase) = (handle(peer, request), response_phase.clone());
        async move {
            let mut response = response.await;
            if *phase.borrow() != ListenerPhase::Open {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<Response, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.head_timeout_ms))
        .max_headers(limits.max_headers as usize)
        .max_buf_size(usize::try_from(limits.max_head_bytes.0).unwrap_or(usize::MAX))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => Some(ended),
        () = abort.aborted() => return,
        Ok(_) = phase.wait_for(|it| *it == ListenerPhase::Closed) => None,
    };
    // A request that has arrived is read first: closing an idle connection would discard it.
    let ended = match ended {
        Some(ended) => Some(ended),
        None => timeout(SETTLE_TIME, connection.as_mut()).await.ok(),
    };
    let ended = match ended {
        Some(ended) => ended,
        None => {
            connection.as_mut().graceful_shutdown();
            tokio::select! {
                ended = connection => ended,
                () = abort.aborted() => return,
            }
        }
    };
    if let Err(error) = ended {
        // To these callers a stream that breaks off ends as a whole one does, with the connection.
        if takes_no_chunks.load(Ordering::Relaxed) {
            abort.abort();
        }
        log::debug!(peer:% = peer, error:% = error; "connection ended");
    }
}

async fn route(
    router: Arc<Router>,
    peer: SocketAddr,
    request: http::Request<Incoming>,
    max_head: ByteCount,
) -> Response {
    if head_bytes(&request) > max_head.0 {
        return text_response(
            StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            "the request's head is too large\n",
        );
    }
    let mut context = ServerContext::new(Address::from(peer));
    match router.call(&mut context, request.map(Body::from_incoming)).await {
        Ok(response) => response,
        Err(impossible) => match impossible {},
    }
}

/// Returns the size of the path, query and headers of a request. The limit needs an exact check,
/// since `hyper`'s buffer limit is only approximate.
fn head_bytes(request: &http::Request<Incoming>) -> u64 {
    let headers = request.headers().iter().map(|(name, value)| name.as_str().len() + value.len());
    let target = request.uri().path_and_query().map_or(0, |it| it.as_str().len());
    (headers.sum::<usize>() + target) as u64
}
