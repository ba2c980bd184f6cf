//! Calls of the backend server, each on a connection of its own ([`crate::http::start_call`]).

use std::{io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Method, Uri, header::HOST};
use http_body_util::Full;
use hyper::body::Incoming;
use thiserror::Error;

use crate::{
    http::{ConnectionGuard, OpenCall, REQUEST_ID, RESUME_AFTER, connect, start_call},
    wire::{HeaderPair, WorkRequest},
};

/// Time for a connection to the backend server on the same VM.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Headers of answers that belong to one connection.
const CONNECTION_HEADERS: [&str; 6] =
    ["connection", "content-length", "keep-alive", "trailer", "transfer-encoding", "upgrade"];

/// Why a call gave no answer.
#[derive(Debug)]
#[derive(Error)]
pub(super) enum CallError {
    /// No connection could be made: nothing ran.
    #[error("connecting to the backend server: {0}")]
    Connect(io::Error),
    /// The order makes no HTTP request: nothing ran.
    #[error("the order makes no HTTP request: {0}")]
    BadOrder(#[from] http::Error),
    /// The connection broke after the request may have left: it may have run.
    #[error("calling the backend server: {0}")]
    Lost(#[from] hyper::Error),
    /// The answer names another request.
    #[error("the backend server answered request {theirs}")]
    Crossed {
        /// The id in the answer.
        theirs: String,
    },
}

/// A call whose answer has begun. Dropping it closes the connection, which cancels the call.
#[derive(Debug)]
pub(super) struct BackendCall {
    pub(super) status: u16,
    pub(super) headers: Vec<HeaderPair>,
    pub(super) body: Incoming,
    _connection: ConnectionGuard,
}

/// Calls the backend server and waits for the head of its answer.
pub(super) async fn call(
    backend: SocketAddr,
    order: &WorkRequest,
) -> Result<BackendCall, CallError> {
    let request = request_of(backend, order)?;
    let stream = connect(backend, CONNECT_TIMEOUT).await.map_err(CallError::Connect)?;
    let OpenCall { head: parts, body, guard } = start_call(stream, request).await?;
    check_id(&parts.headers, order)?;
    let headers = parts
        .headers
        .iter()
        .filter(|(name, _)| !CONNECTION_HEADERS.contains(&name.as_str()))
        .map(|(name, value)| (name.as_str().into(), Bytes::copy_from_slice(value.as_bytes())))
        .collect();
    Ok(BackendCall { status: parts.status.as_u16(), headers, body, _connection: guard })
}

fn request_of(
    backend: SocketAddr,
    order: &WorkRequest,
) -> Result<http::Request<Full<Bytes>>, http::Error> {
    let mut request = http::Request::builder()
        .method(Method::from_bytes(order.method.as_bytes())?)
        .uri(Uri::try_from(order.path.as_str())?);
    for (name, value) in &order.headers {
        request = request.header(name.as_str(), HeaderValue::from_bytes(value)?);
    }
    if order.resume_after > 0 {
        request = request.header(RESUME_AFTER, order.resume_after);
    }
    let mut request = request.body(Full::new(order.body.clone()))?;
    request.headers_mut().insert(HOST, HeaderValue::from_str(&backend.to_string())?);
    request.headers_mut().insert(REQUEST_ID, HeaderValue::from_str(order.request_id.as_str())?);
    Ok(request)
}

/// An answer that echoes a request's id must echo this one's.
fn check_id(headers: &http::HeaderMap, order: &WorkRequest) -> Result<(), CallError> {
    match headers.get(REQUEST_ID) {
        Some(theirs) if theirs.as_bytes() != order.request_id.as_str().as_bytes() => {
            Err(CallError::Crossed {
                theirs: String::from_utf8_lossy(theirs.as_bytes()).into_owned(),
            })
        }
        Some(_) | None => Ok(()),
    }
}
