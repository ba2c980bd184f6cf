//! The caller-facing HTTP handlers: read requests, hand them to request tasks, return responses.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, StatusCode, header, request::Parts, uri::PathAndQuery};
use hyper::body::{Body as _, Incoming};
use smol_str::SmolStr;
use tokio::{sync::oneshot, time::Instant};
use uuid::Uuid;
use volo_http::{body::Body, response::Response};

use super::{
    held_memory::{HeldBodyError, RequestMemory},
    open_requests::{OpenRequest, RequestStage},
    requests::RequestTask,
    shell::GatewayShell,
};
use crate::{
    core::{Refusal, RefusalCode},
    http::{BodyError, ConnectionAbort, discard_body, text_response},
    platform::{CallerHeaders, READY_PATH, echo_request_id, set_retry_after},
    routing::{RequestNumber, RoutingRequest},
    units::{ByteCount, ContentHash, RequestId},
};

/// Maximum size of a request body before the first catalog is read.
const DEFAULT_MAX_BODY: ByteCount = ByteCount(4 << 20);

/// A caller's request with its complete body.
pub(super) struct CallerRequest {
    pub(super) number: RequestNumber,
    pub(super) head: Parts,
    pub(super) headers: CallerHeaders,
    pub(super) request_id: RequestId,
    pub(super) body: Bytes,
    /// What the request holds, its body included.
    pub(super) memory: Arc<RequestMemory>,
    /// Its place among the requests in progress.
    pub(super) open: Arc<OpenRequest>,
    pub(super) content: ContentHash,
    pub(super) arrived: Instant,
}

/// Handles callers' requests.
pub(super) fn handler(
    shell: Arc<GatewayShell>,
) -> impl Fn(SocketAddr, http::Request<Incoming>) -> AnswerFuture + Clone {
    move |_, request| Box::pin(answer(shell.clone(), request))
}

/// Future of the response to one request.
pub(super) type AnswerFuture = std::pin::Pin<Box<dyn Future<Output = Response> + Send>>;

/// Handles the readiness probes of the platform's load balancer.
pub(super) fn ready_handler(
    shell: Arc<GatewayShell>,
) -> impl Fn(SocketAddr, http::Request<Incoming>) -> std::future::Ready<Response> + Clone {
    move |_, request| {
        let is_ready = request.uri().path() == READY_PATH && shell.is_ready();
        let (status, text) = match is_ready {
            true => (StatusCode::OK, "ready\n"),
            false => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        };
        std::future::ready(text_response(status, text))
    }
}

async fn answer(shell: Arc<GatewayShell>, request: http::Request<Incoming>) -> Response {
    shell.metrics.count("requests.arrived");
    let (head, body) = request.into_parts();
    let headers = CallerHeaders::decode(&head.headers);
    let request_id =
        headers.request_id.clone().unwrap_or_else(|| RequestId::from_uuid(Uuid::now_v7()));
    let route = shell.read(|it| {
        let route = it.catalog()?.route(&host_name(&head), head.uri.path())?;
        Some(route.name.clone())
    });
    let connection = head.extensions.get::<ConnectionAbort>().cloned().unwrap_or_default();
    let open = shell.open_requests.open(shell.next_number(), request_id, route, connection);
    let version = head.version;
    let answer = answer_open(shell, (head, headers, body), open.clone()).await;
    open.deliver(answer, version)
}

async fn answer_open(
    shell: Arc<GatewayShell>,
    (mut head, headers, mut body): (Parts, CallerHeaders, Incoming),
    open: Arc<OpenRequest>,
) -> Response {
    let arrived = Instant::now();
    let (number, request_id) = (open.number(), open.request_id().clone());
    let (max_body, account) = shell.read(|it| {
        let catalog = it.catalog();
        let account = headers.api_key.as_ref().and_then(|key| catalog?.account_of(key)).cloned();
        (catalog.map_or(DEFAULT_MAX_BODY, |it| it.limits().max_body), account)
    });
    let announced = ByteCount(body.size_hint().lower().min(max_body.0));
    let connection = head.extensions.remove::<ConnectionAbort>().unwrap_or_default();
    let admitted = shell.memory.admit(number, (&request_id, account), announced, connection);
    let body_timeout = Duration::from_millis(shell.limits.body_timeout_ms);
    let content = match &admitted {
        Ok(memory) => tokio::select! {
            content = memory.read_body(&mut body, max_body, body_timeout) => content,
            () = shell.grace_ended.cancelled() => {
                return refuse_unread(&shell, &open, (&head, body), &shutdown_refusal());
            }
        },
        Err(error) => Err((*error).into()),
    };
    let (memory, body) = match (admitted, content) {
        (Ok(memory), Ok(content)) => (memory, content),
        (_, Err(HeldBodyError::Body(error))) => {
            log::info!(request:% = request_id, error:% = error; "request body rejected");
            return refusal_answer(&body_refusal(error), &head.headers);
        }
        (Err(_), _) | (_, Err(HeldBodyError::Memory(_))) => {
            let refusal = shell.memory_refusal(headers.time_left);
            return refuse_unread(&shell, &open, (&head, body), &refusal);
        }
    };
    open.set_stage(RequestStage::Waiting);
    let (sender, answer) = oneshot::channel();
    let request_headers = head.headers.clone();
    let gateway_shell = shell.clone();
    let path = head.uri.path_and_query().map_or("/", PathAndQuery::as_str);
    let content = ContentHash::of_request(head.method.as_str(), &host_name(&head), path, &body);
    let request =
        CallerRequest { number, head, headers, request_id, body, memory, open, content, arrived };
    let (answered_tx, answered_rx) = oneshot::channel();
    tokio::spawn(RequestTask::new(shell, request, sender).run(answered_rx));
    match answer.await {
        Ok(mut answer) => {
            // The request task may have ended already.
            let _ = answered_tx.send(());
            // Closing the connection makes the caller reconnect, to a gateway that is ready.
            if !gateway_shell.is_ready() {
                answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
            }
            answer
        }
        // The request task always sends a response, unless it panicked.
        Err(_) => {
            let refusal = Refusal::unknown(RefusalCode::OutcomeUnknown);
            refusal_answer(&refusal, &request_headers)
        }
    }
}

fn shutdown_refusal() -> Refusal {
    Refusal::not_run(RefusalCode::ShuttingDown).retry_after(Duration::ZERO)
}

/// Refuses a request before its body is in. The rest of the body is read without being held, so that
/// its caller can read the answer.
fn refuse_unread(
    shell: &GatewayShell,
    open: &OpenRequest,
    (head, mut body): (&Parts, Incoming),
    refusal: &Refusal,
) -> Response {
    shell.metrics.count(&format!("refused.{}", refusal.code));
    log::info!(
        request:% = open.request_id(), code:% = refusal.code, outcome:% = refusal.outcome;
        "request refused"
    );
    tokio::spawn(async move { discard_body(&mut body).await });
    let mut answer = refusal_answer(refusal, &head.headers);
    answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    answer
}

fn body_refusal(error: BodyError) -> Refusal {
    Refusal::not_run(match error {
        BodyError::TooLarge(_) => RefusalCode::BodyTooLarge,
        BodyError::Timeout(_) | BodyError::Broken => RefusalCode::BodyTimeout,
    })
}

/// Extracts the parts of a request that routing depends on.
pub(super) fn routing_request(number: RequestNumber, request: &CallerRequest) -> RoutingRequest {
    let waited = request.arrived.elapsed();
    RoutingRequest {
        number,
        request_id: request.request_id.clone(),
        host: host_name(&request.head),
        path: request.head.uri.path().into(),
        api_key: request.headers.api_key.clone(),
        caller_timeout: request.headers.time_left.map(|it| it.saturating_sub(waited)),
        waited,
        resumes: request.headers.resume_after.is_some(),
        shared_parts: request.headers.shared_parts.clone(),
        content: request.content,
        size: request.headers.size,
        weight_version: request.headers.weight_version,
    }
}

/// Returns the requested host in lower case, without its port; empty if none is given.
fn host_name(head: &Parts) -> SmolStr {
    let named = head.headers.get(header::HOST).and_then(|it| it.to_str().ok());
    let host = head.uri.host().or(named).unwrap_or_default();
    let host = host.split_once(':').map_or(host, |it| it.0);
    host.to_ascii_lowercase().into()
}

/// Builds the gateway's own response to a refused request, with the status and message of its code.
pub(super) fn refusal_answer(refusal: &Refusal, request: &HeaderMap) -> Response {
    let status =
        StatusCode::from_u16(refusal.code.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut answer = Response::new(Body::from(format!("{}\n", refusal.code.message())));
    *answer.status_mut() = status;
    let headers = answer.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    echo_request_id(request, headers);
    if let Some(delay) = refusal.retry_after {
        set_retry_after(headers, delay);
    }
    answer
}
