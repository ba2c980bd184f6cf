//! Calls to the backend server, each on its own connection ([`crate::http::start_call`]).

use std::{io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Method, Uri, header::HOST};
use http_body_util::Full;
use thiserror::Error;

use crate::{
    http::{
        CallFailure, ConnectionGuard, OpenCall, REQUEST_ID, RESUME_AFTER, ResponseBody, connect,
        start_call,
    },
    wire::{HeaderPair, WorkRequest},
};

/// Timeout for connecting to the backend server, which is on the same VM.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Response headers that concern a single connection and are not forwarded.
const HOP_BY_HOP_HEADERS: [&str; 6] =
    ["connection", "content-length", "keep-alive", "trailer", "transfer-encoding", "upgrade"];

/// Why a call returned no response.
#[derive(Debug)]
#[derive(Error)]
pub(super) enum CallError {
    /// The connection was not established; nothing ran.
    #[error("cannot connect to the backend server: {0}")]
    Connect(io::Error),
    /// The work request is not a valid HTTP request; nothing ran.
    #[error("the work request is not a valid HTTP request: {0}")]
    InvalidRequest(#[from] http::Error),
    /// The connection broke after the request may have been sent; it may have run.
    #[error("cannot complete the call to the backend server: {0}")]
    Lost(#[from] CallFailure),
    /// The response carries the id of another request.
    #[error("the backend server answered another request: {theirs}")]
    RequestIdMismatch {
        /// The request id in the response.
        theirs: String,
    },
}

/// A call whose response head has arrived. Dropping it closes the connection, which cancels the
/// call.
#[derive(Debug)]
pub(super) struct BackendCall {
    pub(super) status: u16,
    pub(super) headers: Vec<HeaderPair>,
    pub(super) body: ResponseBody,
    _connection: ConnectionGuard,
}

/// Sends the request to the backend server and waits for the head of the response.
pub(super) async fn call(
    backend: SocketAddr,
    work_request: &WorkRequest,
) -> Result<BackendCall, CallError> {
    let request = build_request(backend, work_request)?;
    let stream = connect(backend, CONNECT_TIMEOUT).await.map_err(CallError::Connect)?;
    let OpenCall { head: parts, body, guard } = start_call(stream, request).await?;
    check_request_id(&parts.headers, work_request)?;
    let headers = parts
        .headers
        .iter()
        .filter(|(name, _)| !HOP_BY_HOP_HEADERS.contains(&name.as_str()))
        .map(|(name, value)| (name.as_str().into(), Bytes::copy_from_slice(value.as_bytes())))
        .collect();
    Ok(BackendCall { status: parts.status.as_u16(), headers, body, _connection: guard })
}

fn build_request(
    backend: SocketAddr,
    work_request: &WorkRequest,
) -> Result<http::Request<Full<Bytes>>, http::Error> {
    let mut request = http::Request::builder()
        .method(Method::from_bytes(work_request.method.as_bytes())?)
        .uri(Uri::try_from(work_request.path.as_str())?);
    for (name, value) in &work_request.headers {
        request = request.header(name.as_str(), HeaderValue::from_bytes(value)?);
    }
    if work_request.resume_after > 0 {
        request = request.header(RESUME_AFTER, work_request.resume_after);
    }
    let mut request = request.body(Full::new(work_request.body.clone()))?;
    request.headers_mut().insert(HOST, HeaderValue::from_str(&backend.to_string())?);
    request
        .headers_mut()
        .insert(REQUEST_ID, HeaderValue::from_str(work_request.request_id.as_str())?);
    Ok(request)
}

/// Checks that the request id in the response, if there is one, is the id that was sent.
fn check_request_id(
    headers: &http::HeaderMap,
    work_request: &WorkRequest,
) -> Result<(), CallError> {
    match headers.get(REQUEST_ID) {
        Some(theirs) if theirs.as_bytes() != work_request.request_id.as_str().as_bytes() => {
            Err(CallError::RequestIdMismatch {
                theirs: String::from_utf8_lossy(theirs.as_bytes()).into_owned(),
            })
        }
        Some(_) | None => Ok(()),
    }
}
