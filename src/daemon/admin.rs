//! HTTP interface for operators, and the health and readiness checks of the platform's balancer.

use std::sync::Arc;

use http::StatusCode;
use volo_http::{
    request::Request,
    response::Response,
    server::{
        Router,
        route::{any, get},
    },
};

use super::{ProcessShell, ProcessStatus};
use crate::{
    core::ProcessState,
    http::{json_response, text_response},
    units::RequestId,
};

/// Path prefix of a request's trace; the request id follows.
const EXPLAIN_PATH: &str = "/explain/";

/// Builds the router for operators.
pub(super) fn router(shell: Arc<ProcessShell>) -> Router {
    let status = shell.clone();
    let config = shell.clone();
    let explain = shell.clone();
    health_routes(shell)
        .route(
            "/status",
            get(move || async move { json_response(StatusCode::OK, &ProcessStatus::of(&status)) }),
        )
        .route(
            "/config",
            get(move || async move {
                json_response(StatusCode::OK, &config.read(|it| it.ledger().snapshot()))
            }),
        )
        .route(
            "/explain/{id}",
            any(move |request: Request| async move { explain_request(&explain, &request) }),
        )
}

/// Builds a router with `/health`, which answers while the process runs, and `/ready`, which tells
/// the balancer whether to send callers here.
pub fn health_routes(shell: Arc<ProcessShell>) -> Router {
    Router::new()
        .route("/health", get(|| async { text_response(StatusCode::OK, "ok\n") }))
        .route("/ready", get(move || async move { readiness(&shell) }))
}

fn readiness(shell: &ProcessShell) -> Response {
    match shell.read(ProcessState::is_ready) {
        true => text_response(StatusCode::OK, "ready\n"),
        false => text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
    }
}

fn explain_request(shell: &ProcessShell, request: &Request) -> Response {
    let id = request.uri().path().strip_prefix(EXPLAIN_PATH).unwrap_or_default();
    match id.parse::<RequestId>().ok().and_then(|id| shell.find_trace(&id)) {
        Some(trace) => json_response(StatusCode::OK, &trace),
        None => text_response(StatusCode::NOT_FOUND, "no such request is remembered here\n"),
    }
}
