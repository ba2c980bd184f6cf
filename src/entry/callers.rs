//! HTTP routes for callers: validates paths, headers and bodies and builds work requests from them.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method, header::AUTHORIZATION, request::Parts};
use serde::Deserialize;
use smol_str::{SmolStr, ToSmolStr};
use uuid::Uuid;
use volo_http::{
    request::Request,
    response::Response,
    server::{Router, route::any},
};

use super::{AgentConnections, request};
use crate::{
    config::KeyHash,
    core::{MAX_KEY_AGE, Refusal, RefusalCode, RequestInfo},
    daemon::{ProcessShell, health_routes},
    http::{
        BodyError, DEADLINE_MS, IDEMPOTENCY_KEY, REQUEST_ID, discard_body, error_response,
        read_body,
    },
    options::{EntrySettings, RoleSettings},
    telemetry::wall_clock_ms,
    units::{ClientAccount, PriorityLevel, RequestId, ServiceName},
    wire::{HeaderPair, IdempotencyKey, RunMode, RunTicket, WorkKind, WorkRequest},
};

/// Path prefix of calls to plain services; the service's name and its own path follow.
const SERVICES_PATH: &str = "/services/";

/// Headers that are not forwarded: hop-by-hop headers and those meant for alderbay itself.
const STRIPPED_HEADERS: [&str; 10] = [
    "authorization",
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-resume-after",
];

/// Builds the router for callers.
pub(super) fn router(shell: Arc<ProcessShell>, connections: Arc<AgentConnections>) -> Router {
    let make_route = move |shell: Arc<ProcessShell>, kind: RouteKind| {
        let connections = connections.clone();
        any(move |request: Request| {
            handle_request(shell.clone(), connections.clone(), kind, request)
        })
    };
    health_routes(shell.clone())
        .route("/v1/chat/completions", make_route(shell.clone(), RouteKind::Draft))
        .route("/v1/completions", make_route(shell.clone(), RouteKind::Draft))
        .route("/v1/tickets", make_route(shell.clone(), RouteKind::Ticket))
        .route("/services/{*path}", make_route(shell.clone(), RouteKind::Service))
        .route("/{*path}", make_route(shell, RouteKind::Unknown))
}

/// What the path of a request leads to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RouteKind {
    /// A chat or text completion of a model.
    Draft,
    /// A call to a plain service.
    Service,
    /// The issue of a ticket for a later call to a plain service.
    Ticket,
    /// No known path.
    Unknown,
}

/// A validated request: what the reducer needs to route it, and the message for the agent.
#[derive(Clone, Debug)]
pub(super) struct CallerRequest {
    pub(super) info: RequestInfo,
    pub(super) work_request: WorkRequest,
}

async fn handle_request(
    shell: Arc<ProcessShell>,
    connections: Arc<AgentConnections>,
    kind: RouteKind,
    request: Request,
) -> Response {
    let request_id = match parse_request_id(request.headers()) {
        Ok(id) => id,
        Err(refusal) => return error_response(&refusal, &new_request_id()),
    };
    match parse(&shell, kind, request_id.clone(), request).await {
        Ok(request) => request::run(shell, connections, request).await,
        Err(refusal) => {
            shell.metrics.count(&format!("refused.{}", refusal.code));
            error_response(&refusal, &request_id)
        }
    }
}

fn refuse(code: RefusalCode) -> Refusal {
    Refusal::not_run(code)
}

fn parse_request_id(headers: &HeaderMap) -> Result<RequestId, Refusal> {
    let Some(value) = headers.get(REQUEST_ID) else { return Ok(new_request_id()) };
    let text = value.to_str().map_err(|_| refuse(RefusalCode::BadRequestId))?;
    text.parse().map_err(|_| refuse(RefusalCode::BadRequestId))
}

fn new_request_id() -> RequestId {
    RequestId::from_uuid(Uuid::new_v4())
}

/// The validated head of a request.
struct RequestHead {
    account: ClientAccount,
    key_hash: KeyHash,
    time_left: Duration,
    target: RequestTarget,
}

/// Validates the head, reads the body and validates it.
async fn parse(
    shell: &ProcessShell,
    kind: RouteKind,
    request_id: RequestId,
    request: Request,
) -> Result<CallerRequest, Refusal> {
    let (parts, mut body) = request.into_parts();
    let head = match parse_head(shell, kind, &parts) {
        Ok(head) => head,
        Err(refusal) => {
            discard_body(&mut body).await;
            return Err(refusal);
        }
    };
    let limits = &shell.settings.http;
    let body_timeout = Duration::from_millis(limits.body_timeout_ms);
    let body = read_body(body, limits.max_body_bytes, body_timeout).await.map_err(refuse_body)?;
    let (service, kind) = match head.target {
        RequestTarget::Draft => parse_draft(&body)?,
        RequestTarget::Ticket => (parse_ticket_request(&body)?, WorkKind::TicketIssue),
        RequestTarget::Service(service) => (service, WorkKind::ServiceCall),
    };
    let mode = parse_run_mode(kind, &parts, &head.account)?;
    let info = RequestInfo {
        request_id: request_id.clone(),
        account: head.account.clone(),
        key_hash: head.key_hash,
        service: service.clone(),
        deadline: shell.clock.now().after(head.time_left),
        mode: mode.clone(),
    };
    let work_request = WorkRequest {
        request_id,
        account: head.account,
        service,
        priority: PriorityLevel::default(),
        time_left: head.time_left,
        mode,
        kind,
        resume_after: 0,
        method: parts.method.as_str().into(),
        path: to_backend_path(kind, &parts),
        headers: forwarded_headers(&parts.headers),
        body,
    };
    Ok(CallerRequest { info, work_request })
}

fn parse_head(
    shell: &ProcessShell,
    kind: RouteKind,
    parts: &Parts,
) -> Result<RequestHead, Refusal> {
    let (account, key_hash) = parse_credentials(&parts.headers)?;
    let time_left = parse_time_left(shell, &parts.headers)?;
    let target = parse_target(kind, parts)?;
    Ok(RequestHead { account, key_hash, time_left, target })
}

/// Reads the account and the secret from a bearer token of the form `ACCOUNT.SECRET`.
fn parse_credentials(headers: &HeaderMap) -> Result<(ClientAccount, KeyHash), Refusal> {
    let value = headers.get(AUTHORIZATION).and_then(|it| it.to_str().ok());
    let token = value
        .and_then(|it| it.strip_prefix("Bearer "))
        .ok_or_else(|| refuse(RefusalCode::MissingKey))?;
    let (account, secret) =
        token.trim().rsplit_once('.').ok_or_else(|| refuse(RefusalCode::UnknownAccount))?;
    let account = account.parse().map_err(|_| refuse(RefusalCode::UnknownAccount))?;
    Ok((account, KeyHash::of_secret(secret)))
}

fn entry_settings(shell: &ProcessShell) -> Option<&EntrySettings> {
    match &shell.settings.role {
        RoleSettings::Entry(entry) => Some(entry),
        RoleSettings::Agent(_) => None,
    }
}

/// Reads the time until the caller's deadline, capped at the configured maximum.
fn parse_time_left(shell: &ProcessShell, headers: &HeaderMap) -> Result<Duration, Refusal> {
    let (default_ms, max_ms) =
        entry_settings(shell).map_or((0, 0), |it| (it.default_deadline_ms, it.max_deadline_ms));
    let Some(value) = headers.get(DEADLINE_MS) else {
        return Ok(Duration::from_millis(default_ms));
    };
    let requested_ms =
        value.to_str().ok().and_then(|it| it.parse::<u64>().ok()).filter(|it| *it > 0);
    let requested_ms = requested_ms.ok_or_else(|| refuse(RefusalCode::BadDeadline))?;
    Ok(Duration::from_millis(requested_ms.min(max_ms)))
}

/// What a request calls. For drafts and tickets the body names the model or service.
enum RequestTarget {
    Draft,
    Ticket,
    Service(ServiceName),
}

fn parse_target(kind: RouteKind, parts: &Parts) -> Result<RequestTarget, Refusal> {
    match kind {
        RouteKind::Draft if parts.method == Method::POST => Ok(RequestTarget::Draft),
        RouteKind::Ticket if parts.method == Method::POST => Ok(RequestTarget::Ticket),
        RouteKind::Draft | RouteKind::Ticket => Err(refuse(RefusalCode::BadMethod)),
        RouteKind::Service => {
            let rest = parts.uri.path().strip_prefix(SERVICES_PATH).unwrap_or_default();
            let name = rest.split('/').next().unwrap_or_default();
            let service = name.parse().map_err(|_| refuse(RefusalCode::UnknownService))?;
            Ok(RequestTarget::Service(service))
        }
        RouteKind::Unknown => Err(refuse(RefusalCode::UnknownPath)),
    }
}

fn refuse_body(error: BodyError) -> Refusal {
    refuse(match error {
        BodyError::TooLarge(_) => RefusalCode::BodyTooLarge,
        BodyError::Timeout(_) => RefusalCode::BodyTimeout,
        BodyError::Broken => RefusalCode::BadBody,
    })
}

#[derive(Deserialize)]
struct DraftFields {
    model: SmolStr,
    #[serde(default)]
    stream: bool,
}

fn parse_draft(body: &Bytes) -> Result<(ServiceName, WorkKind), Refusal> {
    let fields: DraftFields =
        serde_json::from_slice(body).map_err(|_| refuse(RefusalCode::BadBody))?;
    let service = fields.model.parse().map_err(|_| refuse(RefusalCode::UnknownService))?;
    let kind = if fields.stream { WorkKind::StreamedDraft } else { WorkKind::WholeDraft };
    Ok((service, kind))
}

#[derive(Deserialize)]
struct TicketFields {
    service: ServiceName,
}

fn parse_ticket_request(body: &Bytes) -> Result<ServiceName, Refusal> {
    let fields: TicketFields =
        serde_json::from_slice(body).map_err(|_| refuse(RefusalCode::BadBody))?;
    Ok(fields.service)
}

/// Returns how often the request may run. Drafts, ticket requests and calls with safe methods are
/// idempotent. Other calls run at most once: with an idempotency key once across all servers, with
/// a ticket once on the agent that issued it, otherwise in a single attempt.
fn parse_run_mode(
    kind: WorkKind,
    parts: &Parts,
    account: &ClientAccount,
) -> Result<RunMode, Refusal> {
    let is_idempotent = match kind {
        WorkKind::WholeDraft | WorkKind::StreamedDraft | WorkKind::TicketIssue => true,
        WorkKind::ServiceCall => parts.method.is_safe(),
    };
    if is_idempotent {
        return Ok(RunMode::Idempotent);
    }
    let Some(value) = parts.headers.get(IDEMPOTENCY_KEY) else { return Ok(RunMode::Single) };
    let text =
        value.to_str().map_err(|_| refuse(RefusalCode::BadIdempotencyKey))?.trim_matches('"');
    if let Some(ticket) = RunTicket::parse(text, account.clone()) {
        return Ok(RunMode::Ticketed(ticket));
    }
    let key = Uuid::parse_str(text).map_err(|_| refuse(RefusalCode::BadIdempotencyKey))?;
    check_key_age(&key)?;
    Ok(RunMode::Keyed(IdempotencyKey { account: account.clone(), key }))
}

/// Refuses a key that may be older than the time for which agents keep keys: its call may have run,
/// and must not run again. Also refuses keys of other UUID versions and from too far in the future.
fn check_key_age(key: &Uuid) -> Result<(), Refusal> {
    if key.get_version_num() != KEY_UUID_VERSION {
        return Err(refuse(RefusalCode::BadIdempotencyKey));
    }
    let (seconds, nanos) =
        key.get_timestamp().ok_or_else(|| refuse(RefusalCode::BadIdempotencyKey))?.to_unix();
    let created_at = Duration::new(seconds, nanos);
    let now = Duration::from_millis(wall_clock_ms());
    let is_expired = now.saturating_sub(created_at) > MAX_KEY_AGE;
    let is_in_future = created_at.saturating_sub(now) > MAX_KEY_AGE;
    match (is_expired, is_in_future) {
        (true, _) => Err(Refusal::unknown(RefusalCode::ExpiredIdempotencyKey)),
        (false, true) => Err(refuse(RefusalCode::BadIdempotencyKey)),
        (false, false) => Ok(()),
    }
}

/// UUID version of idempotency keys; version 7 contains the creation time.
const KEY_UUID_VERSION: usize = 7;

/// Returns the path and query for the backend server, without the prefix of plain services.
fn to_backend_path(kind: WorkKind, parts: &Parts) -> SmolStr {
    let path_and_query = parts.uri.path_and_query().map_or("/", |it| it.as_str());
    match kind {
        WorkKind::WholeDraft | WorkKind::StreamedDraft | WorkKind::TicketIssue => {
            path_and_query.into()
        }
        WorkKind::ServiceCall => {
            let rest = path_and_query.strip_prefix(SERVICES_PATH).unwrap_or(path_and_query);
            let start = rest.find(['/', '?']).unwrap_or(rest.len());
            let own = &rest[start..];
            if own.starts_with('/') { own.into() } else { format!("/{own}").into() }
        }
    }
}

fn forwarded_headers(headers: &HeaderMap) -> Vec<HeaderPair> {
    headers
        .iter()
        .filter(|(name, _)| !STRIPPED_HEADERS.contains(&name.as_str()))
        .map(|(name, value)| (name.as_str().to_smolstr(), Bytes::copy_from_slice(value.as_bytes())))
        .collect()
}
