//! Exchange of records with other gateways, of servers that ended and of limits that servers named,
//! and the operators' interface to them.
//!
//! A gateway that learns something new exchanges its records with a few others, which do the same.
//! So all gateways know within a few rounds, while what one of them sends does not grow with their
//! number. Each second exchanges with two random gateways make up for what got lost, and tell
//! gateways that have just started.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures_util::future::join_all;
use http::{Method, StatusCode};
use hyper::body::Incoming;
use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep, timeout};
use volo_http::{client::Client, response::Response};

use super::{peers, shell::GatewayShell};
use crate::{
    http::{json_response, read_body, text_response},
    platform::{PlatformError, post_json},
    routing::{BlockedInput, CrashReport, GatewayLocation, Incarnation, LimitReport, RoutingEvent},
    units::{ByteCount, InputDigest, RequestRate, ServerId},
};

/// Path at which gateways exchange their records. `GET` returns them with the blocked inputs and the
/// limits. Named after the first kind of record, since gateways of earlier releases use it.
pub(crate) const EXCHANGE_PATH: &str = "/v1/quarantine";
/// Path at which an operator lifts the block of the input whose digest is the query.
pub(crate) const LIFT_PATH: &str = "/v1/quarantine/lift";
/// Number of gateways with which news is exchanged at once.
const FANOUT: usize = 4;
/// Number of rounds in which news is exchanged. One round would miss a few of hundreds of gateways.
const NEWS_ROUNDS: u32 = 3;
/// Time between two rounds.
const NEWS_INTERVAL: Duration = Duration::from_millis(60);
/// Number of gateways with which records are exchanged each interval, so that one that was frozen or
/// cut off while there was news is told soon.
const PERIODIC_FANOUT: usize = 2;
/// Interval between exchanges with random gateways.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time after the start in which records are requested although this gateway has none.
const START_UP_TIME: Duration = Duration::from_secs(10);
/// Timeout of an exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum size of another gateway's records.
const MAX_MESSAGE: ByteCount = ByteCount(256 << 10);

/// Records that gateways exchange.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
struct RecordMessage {
    /// The sender.
    gateway: GatewayLocation,
    reports: Vec<CrashReport>,
    /// What the sender heard of servers' limits. Gateways of earlier releases do not send it.
    #[serde(default)]
    limits: Vec<LimitReport>,
}

/// What operators see.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub(crate) struct RecordStatus {
    pub(crate) blocked: Vec<BlockedStatus>,
    reports: Vec<CrashReport>,
    pub(crate) limits: Vec<LimitStatus>,
}

/// A server's limit as operators see it.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub(crate) struct LimitStatus {
    pub(crate) server: ServerId,
    /// Requests per second that the server takes from all gateways together.
    pub(crate) limit: RequestRate,
    /// Requests per second that this gateway sends at most.
    pub(crate) share: RequestRate,
}

/// A blocked input as operators see it.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub(crate) struct BlockedStatus {
    /// Digest of the part of prompts, or of the whole request.
    pub(crate) part: InputDigest,
    #[serde(flatten)]
    pub(crate) blocked: BlockedInput,
}

fn message(shell: &GatewayShell) -> RecordMessage {
    let now = shell.clock.now();
    let gateway = shell.peers().own().clone();
    shell.read(|it| RecordMessage {
        gateway,
        reports: it.quarantine().reports(now),
        limits: it.limits().reports(now, &mut rand::rng()),
    })
}

fn apply(shell: &GatewayShell, message: RecordMessage) {
    shell.record_peers(vec![message.gateway]);
    if !message.reports.is_empty() {
        shell.dispatch(RoutingEvent::QuarantineRead(message.reports));
    }
    if !message.limits.is_empty() {
        shell.dispatch(RoutingEvent::LimitsRead(message.limits));
    }
}

/// Exchanges records at the start, whenever there is news, and with random gateways each second.
pub(super) async fn exchange_records(shell: Arc<GatewayShell>) {
    let client = match peers::new_client() {
        Ok(client) => client,
        Err(error) => {
            log::error!(error:% = error; "cannot exchange records");
            return;
        }
    };
    let started = Instant::now();
    // A gateway that starts again must not learn from its own requests what others know.
    exchange(&shell, &client, FANOUT).await;
    loop {
        let has_news = timeout(EXCHANGE_INTERVAL, shell.records_changed()).await.is_ok();
        let now = shell.clock.now();
        let has_records =
            shell.read(|it| it.quarantine().has_reports(now) || !it.limits().is_empty());
        let is_needed = has_records || started.elapsed() < START_UP_TIME;
        if has_news {
            for _ in 0..NEWS_ROUNDS {
                exchange(&shell, &client, FANOUT).await;
                sleep(NEWS_INTERVAL).await;
            }
        } else if is_needed {
            exchange(&shell, &client, PERIODIC_FANOUT).await;
        }
    }
}

/// Exchanges records with a number of random gateways.
async fn exchange(shell: &GatewayShell, client: &Client, peer_count: usize) {
    let peers = shell.peers().addresses().choose_multiple(&mut rand::rng(), peer_count);
    join_all(peers.into_iter().map(|it| exchange_with(shell, client, it))).await;
}

async fn exchange_with(shell: &GatewayShell, client: &Client, peer: SocketAddr) {
    let uri = format!("http://{peer}{EXCHANGE_PATH}");
    let reply: Result<RecordMessage, PlatformError> =
        post_json(client, uri, &message(shell), EXCHANGE_TIMEOUT).await;
    match reply {
        Ok(reply) => apply(shell, reply),
        Err(error) => {
            log::debug!(peer:% = peer, error:% = error; "cannot exchange records");
        }
    }
}

/// Merges another gateway's records and responds with the own ones, or shows them to an operator.
pub(super) async fn exchange_answer(
    shell: &GatewayShell,
    request: http::Request<Incoming>,
) -> Response {
    if request.method() == Method::GET {
        return json_response(StatusCode::OK, &status(shell));
    }
    let body = read_body(request.into_body(), MAX_MESSAGE, EXCHANGE_TIMEOUT).await;
    let body = match body {
        Ok(body) => body,
        Err(error) => return text_response(StatusCode::BAD_REQUEST, format!("{error}\n")),
    };
    match serde_json::from_slice(&body) {
        Ok(received) => {
            apply(shell, received);
            json_response(StatusCode::OK, &message(shell))
        }
        Err(error) => text_response(StatusCode::BAD_REQUEST, format!("{error}\n")),
    }
}

fn status(shell: &GatewayShell) -> RecordStatus {
    let now = shell.clock.now();
    shell.read(|state| {
        let blocked = state.quarantine().blocked().iter();
        let blocked =
            blocked.map(|(part, it)| BlockedStatus { part: *part, blocked: it.clone() }).collect();
        let limit_status = |((server, _), limit, share): (&Incarnation, _, _)| LimitStatus {
            server: server.clone(),
            limit,
            share,
        };
        let limits = state.limits().limits().map(limit_status).collect();
        RecordStatus { blocked, reports: state.quarantine().reports(now), limits }
    })
}

/// Lifts the block of the input whose digest is the query.
pub(super) fn lift_answer(shell: &GatewayShell, request: &http::Request<Incoming>) -> Response {
    if request.method() != Method::POST {
        return text_response(StatusCode::METHOD_NOT_ALLOWED, "use POST\n");
    }
    match request.uri().query().unwrap_or_default().parse::<InputDigest>() {
        Ok(part) => {
            log::warn!(part:% = part; "block lifted by an operator");
            shell.dispatch(RoutingEvent::InputLifted(part));
            json_response(StatusCode::OK, &status(shell))
        }
        Err(error) => text_response(StatusCode::BAD_REQUEST, format!("{error}\n")),
    }
}
