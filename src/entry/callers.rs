//! Requests of callers: paths, headers and bodies turned into what the reducer and the agents need.

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

use super::{PeerLinks, flight};
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

/// Path in front of a plain service's own path.
const SERVICES_PATH: &str = "/services/";

/// Headers that are not passed on: they belong to one connection or to alderbay.
const OWN_HEADERS: [&str; 10] = [
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

/// The routes for callers.
pub(super) fn router(shell: Arc<ProcessShell>, links: Arc<PeerLinks>) -> Router {
    let handle = move |shell: Arc<ProcessShell>, path: CallerPath| {
        let links = links.clone();
        any(move |request: Request| answer(shell.clone(), links.clone(), path, request))
    };
    health_routes(shell.clone())
        .route("/v1/chat/completions", handle(shell.clone(), CallerPath::Draft))
        .route("/v1/completions", handle(shell.clone(), CallerPath::Draft))
        .route("/v1/tickets", handle(shell.clone(), CallerPath::Ticket))
        .route("/services/{*path}", handle(shell.clone(), CallerPath::Service))
        .route("/{*path}", handle(shell, CallerPath::Unknown))
}

/// What a path asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallerPath {
    Draft,
    Service,
    Ticket,
    Unknown,
}

/// A request that is ready to be routed.
#[derive(Clone, Debug)]
pub(super) struct CallerRequest {
    pub(super) facts: RequestInfo,
    pub(super) order: WorkRequest,
}

async fn answer(
    shell: Arc<ProcessShell>,
    links: Arc<PeerLinks>,
    path: CallerPath,
    request: Request,
) -> Response {
    let request_id = match request_id(request.headers()) {
        Ok(id) => id,
        Err(refusal) => return error_response(&refusal, &new_request_id()),
    };
    match parse(&shell, path, request_id.clone(), request).await {
        Ok(request) => flight::run(shell, links, request).await,
        Err(refusal) => {
            shell.metrics.count(&format!("refused.{}", refusal.code));
            error_response(&refusal, &request_id)
        }
    }
}

fn bad(code: RefusalCode) -> Refusal {
    Refusal::not_run(code)
}

fn request_id(headers: &HeaderMap) -> Result<RequestId, Refusal> {
    let Some(value) = headers.get(REQUEST_ID) else { return Ok(new_request_id()) };
    let text = value.to_str().map_err(|_| bad(RefusalCode::BadRequestId))?;
    text.parse().map_err(|_| bad(RefusalCode::BadRequestId))
}

fn new_request_id() -> RequestId {
    RequestId::from_uuid(Uuid::new_v4())
}

/// What the head of a request says.
struct RequestHead {
    account: ClientAccount,
    key_hash: KeyHash,
    time_left: Duration,
    target: Target,
}

async fn parse(
    shell: &ProcessShell,
    path: CallerPath,
    request_id: RequestId,
    request: Request,
) -> Result<CallerRequest, Refusal> {
    let (parts, mut body) = request.into_parts();
    let head = match parse_head(shell, path, &parts) {
        Ok(head) => head,
        Err(refusal) => {
            discard_body(&mut body).await;
            return Err(refusal);
        }
    };
    let limits = &shell.settings.http;
    let body_timeout = Duration::from_millis(limits.body_timeout_ms);
    let body = read_body(body, limits.max_body_bytes, body_timeout).await.map_err(body_refusal)?;
    let (service, kind) = match head.target {
        Target::Draft => draft(&body)?,
        Target::Ticket => (ticketed_service(&body)?, WorkKind::TicketIssue),
        Target::Service(service) => (service, WorkKind::ServiceCall),
    };
    let mode = run_mode(kind, &parts, &head.account)?;
    let facts = RequestInfo {
        request_id: request_id.clone(),
        account: head.account.clone(),
        key_hash: head.key_hash,
        service: service.clone(),
        deadline: shell.clock.now().after(head.time_left),
        mode: mode.clone(),
    };
    let order = WorkRequest {
        request_id,
        account: head.account,
        service,
        priority: PriorityLevel::default(),
        time_left: head.time_left,
        mode,
        kind,
        resume_after: 0,
        method: parts.method.as_str().into(),
        path: backend_path(kind, &parts),
        headers: passed_on(&parts.headers),
        body,
    };
    Ok(CallerRequest { facts, order })
}

fn parse_head(
    shell: &ProcessShell,
    path: CallerPath,
    parts: &Parts,
) -> Result<RequestHead, Refusal> {
    let (account, key_hash) = credentials(&parts.headers)?;
    let time_left = time_left(shell, &parts.headers)?;
    let target = target(path, parts)?;
    Ok(RequestHead { account, key_hash, time_left, target })
}

fn credentials(headers: &HeaderMap) -> Result<(ClientAccount, KeyHash), Refusal> {
    let value = headers.get(AUTHORIZATION).and_then(|it| it.to_str().ok());
    let token = value
        .and_then(|it| it.strip_prefix("Bearer "))
        .ok_or_else(|| bad(RefusalCode::MissingKey))?;
    let (account, secret) =
        token.trim().rsplit_once('.').ok_or_else(|| bad(RefusalCode::UnknownAccount))?;
    let account = account.parse().map_err(|_| bad(RefusalCode::UnknownAccount))?;
    Ok((account, KeyHash::of_secret(secret)))
}

fn entry_settings(shell: &ProcessShell) -> Option<&EntrySettings> {
    match &shell.settings.role {
        RoleSettings::Entry(entry) => Some(entry),
        RoleSettings::Agent(_) => None,
    }
}

fn time_left(shell: &ProcessShell, headers: &HeaderMap) -> Result<Duration, Refusal> {
    let (default_ms, max_ms) =
        entry_settings(shell).map_or((0, 0), |it| (it.default_deadline_ms, it.max_deadline_ms));
    let Some(value) = headers.get(DEADLINE_MS) else {
        return Ok(Duration::from_millis(default_ms));
    };
    let stated_ms = value.to_str().ok().and_then(|it| it.parse::<u64>().ok()).filter(|it| *it > 0);
    let stated_ms = stated_ms.ok_or_else(|| bad(RefusalCode::BadDeadline))?;
    Ok(Duration::from_millis(stated_ms.min(max_ms)))
}

enum Target {
    Draft,
    Ticket,
    Service(ServiceName),
}

fn target(path: CallerPath, parts: &Parts) -> Result<Target, Refusal> {
    match path {
        CallerPath::Draft if parts.method == Method::POST => Ok(Target::Draft),
        CallerPath::Ticket if parts.method == Method::POST => Ok(Target::Ticket),
        CallerPath::Draft | CallerPath::Ticket => Err(bad(RefusalCode::BadMethod)),
        CallerPath::Service => {
            let rest = parts.uri.path().strip_prefix(SERVICES_PATH).unwrap_or_default();
            let name = rest.split('/').next().unwrap_or_default();
            let service = name.parse().map_err(|_| bad(RefusalCode::UnknownService))?;
            Ok(Target::Service(service))
        }
        CallerPath::Unknown => Err(bad(RefusalCode::UnknownPath)),
    }
}

fn body_refusal(error: BodyError) -> Refusal {
    bad(match error {
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

fn draft(body: &Bytes) -> Result<(ServiceName, WorkKind), Refusal> {
    let fields: DraftFields =
        serde_json::from_slice(body).map_err(|_| bad(RefusalCode::BadBody))?;
    let service = fields.model.parse().map_err(|_| bad(RefusalCode::UnknownService))?;
    let kind = if fields.stream { WorkKind::StreamedDraft } else { WorkKind::WholeDraft };
    Ok((service, kind))
}

#[derive(Deserialize)]
struct TicketFields {
    service: ServiceName,
}

fn ticketed_service(body: &Bytes) -> Result<ServiceName, Refusal> {
    let fields: TicketFields =
        serde_json::from_slice(body).map_err(|_| bad(RefusalCode::BadBody))?;
    Ok(fields.service)
}

/// Drafts and safe methods may be repeated. Other calls run once: over all servers where the caller
/// shows a key, else by being handed over by one attempt only.
fn run_mode(kind: WorkKind, parts: &Parts, account: &ClientAccount) -> Result<RunMode, Refusal> {
    let is_repeatable = match kind {
        WorkKind::WholeDraft | WorkKind::StreamedDraft | WorkKind::TicketIssue => true,
        WorkKind::ServiceCall => parts.method.is_safe(),
    };
    if is_repeatable {
        return Ok(RunMode::Idempotent);
    }
    let Some(value) = parts.headers.get(IDEMPOTENCY_KEY) else { return Ok(RunMode::Single) };
    let text = value.to_str().map_err(|_| bad(RefusalCode::BadIdempotencyKey))?.trim_matches('"');
    if let Some(ticket) = RunTicket::parse(text, account.clone()) {
        return Ok(RunMode::Ticketed(ticket));
    }
    let key = Uuid::parse_str(text).map_err(|_| bad(RefusalCode::BadIdempotencyKey))?;
    check_age(&key)?;
    Ok(RunMode::Keyed(IdempotencyKey { account: account.clone(), key }))
}

/// A key that is older than agents remember may have run: it is never run again.
fn check_age(key: &Uuid) -> Result<(), Refusal> {
    if key.get_version_num() != KEY_VERSION {
        return Err(bad(RefusalCode::BadIdempotencyKey));
    }
    let (seconds, nanos) =
        key.get_timestamp().ok_or_else(|| bad(RefusalCode::BadIdempotencyKey))?.to_unix();
    let made_at = Duration::new(seconds, nanos);
    let now = Duration::from_millis(wall_clock_ms());
    let is_expired = now.saturating_sub(made_at) > MAX_KEY_AGE;
    let is_ahead = made_at.saturating_sub(now) > MAX_KEY_AGE;
    match (is_expired, is_ahead) {
        (true, _) => Err(Refusal::unknown(RefusalCode::ExpiredIdempotencyKey)),
        (false, true) => Err(bad(RefusalCode::BadIdempotencyKey)),
        (false, false) => Ok(()),
    }
}

/// Version of UUIDs that tell when they were made.
const KEY_VERSION: usize = 7;

fn backend_path(kind: WorkKind, parts: &Parts) -> SmolStr {
    let whole = parts.uri.path_and_query().map_or("/", |it| it.as_str());
    match kind {
        WorkKind::WholeDraft | WorkKind::StreamedDraft | WorkKind::TicketIssue => whole.into(),
        WorkKind::ServiceCall => {
            let rest = whole.strip_prefix(SERVICES_PATH).unwrap_or(whole);
            let start = rest.find(['/', '?']).unwrap_or(rest.len());
            let own = &rest[start..];
            if own.starts_with('/') { own.into() } else { format!("/{own}").into() }
        }
    }
}

fn passed_on(headers: &HeaderMap) -> Vec<HeaderPair> {
    headers
        .iter()
        .filter(|(name, _)| !OWN_HEADERS.contains(&name.as_str()))
        .map(|(name, value)| (name.as_str().to_smolstr(), Bytes::copy_from_slice(value.as_bytes())))
        .collect()
}
