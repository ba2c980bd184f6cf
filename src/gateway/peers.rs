//! The HTTP interface between gateways. `GET /v1/view` returns all data read from the platform's
//! store, for gateways that cannot read it; `GET /v1/directory` returns the directory, for gateways
//! that rely on this one as their reader; `GET /v1/shares` returns demands and shares of client
//! accounts for operators; [`super::exchange`] serves the others.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use http::StatusCode;
use hyper::body::Incoming;
use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};
use volo_http::{client::Client, response::Response};
use xxhash_rust::xxh3::xxh3_64;

use super::{
    callers::AnswerFuture,
    exchange::{EXCHANGE_PATH, LIFT_PATH, exchange_answer, lift_answer},
    shell::GatewayShell,
    sources::{apply_directory_view, apply_operator_view},
};
use crate::{
    http::{json_response, text_response},
    platform::{PlatformError, get_json},
    routing::{
        DirectoryCopy, DirectoryView, GatewaySighting, OperatorView, ReaderMark, ServerRecord,
        read_time,
    },
    units::{ServerId, StorePosition},
};

/// Path of the view of the platform's store.
const VIEW_PATH: &str = "/v1/view";
/// Query of the view's path that leaves out the directory, which is long.
const CATALOG_QUERY: &str = "operator";
/// Path of the directory.
const DIRECTORY_PATH: &str = "/v1/directory";
/// Path of the demands and shares of client accounts.
const SHARES_PATH: &str = "/v1/shares";
/// Timeout of a request for another gateway's view.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of a request for the directory of the reader, which is in the same failure domain.
const READER_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum age of the reader's directory, as a fraction of the time within which a draining server
/// must stop getting new work.
const MAX_READER_AGE_FRACTION: f64 = 0.4;

/// Body of a response to `GET /v1/view`.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
struct ViewMessage {
    operator: Option<OperatorView>,
    directory: Option<DirectoryCopy>,
    gateways: Vec<GatewaySighting>,
}

/// Body of a response to `GET /v1/directory`.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
struct DirectoryReply {
    #[serde(flatten)]
    position: StorePosition,
    age_ms: u64,
    /// How far the reader has read the operators' stream. Gateways of earlier releases do not send
    /// it.
    #[serde(default)]
    operator: Option<OperatorMark>,
    /// `None` if the digest in the query shows that the requesting gateway has the same servers.
    servers: Option<BTreeMap<ServerId, ServerRecord>>,
}

/// How far a gateway has read the operators' stream.
#[derive(Clone, Copy, Debug)]
#[derive(Serialize, Deserialize)]
struct OperatorMark {
    #[serde(flatten)]
    position: StorePosition,
    /// Time since the gateway's latest response from the store.
    age_ms: u64,
}

/// Handles requests of other gateways.
pub(super) fn handler(
    shell: Arc<GatewayShell>,
) -> impl Fn(SocketAddr, http::Request<Incoming>) -> AnswerFuture + Clone {
    move |_, request| Box::pin(answer(shell.clone(), request))
}

async fn answer(shell: Arc<GatewayShell>, request: http::Request<Incoming>) -> Response {
    match request.uri().path() {
        VIEW_PATH => view_answer(&shell, request.uri().query()),
        DIRECTORY_PATH => directory_answer(&shell, request.uri().query()),
        EXCHANGE_PATH => exchange_answer(&shell, request).await,
        SHARES_PATH => shares_answer(&shell),
        LIFT_PATH => lift_answer(&shell, &request),
        _ => text_response(StatusCode::NOT_FOUND, "no such path\n"),
    }
}

fn shares_answer(shell: &GatewayShell) -> Response {
    let now = shell.clock.now();
    json_response(StatusCode::OK, &shell.read(|it| it.account_standings(now)))
}

fn view_answer(shell: &GatewayShell, query: Option<&str>) -> Response {
    let operator = shell.view().operator.view();
    let has_directory = query != Some(CATALOG_QUERY);
    let directory = shell.view().directory.view().filter(|_| has_directory).cloned();
    let directory = directory.map(|it| DirectoryCopy::new(it, shell.clock.now()));
    let gateways = shell.peers().sightings(shell.clock.now());
    let message = ViewMessage { operator, directory, gateways };
    json_response(StatusCode::OK, &message)
}

/// Responds with the directory; omits the servers if the digest in the query shows that the
/// requesting gateway has them.
fn directory_answer(shell: &GatewayShell, query: Option<&str>) -> Response {
    let Some(directory) = shell.view().directory.view().cloned() else {
        return text_response(StatusCode::SERVICE_UNAVAILABLE, "no directory was read yet\n");
    };
    let digest = directory_digest(&directory.servers);
    let has_same = query == Some(digest.to_string().as_str());
    let age_ms = |at| u64::try_from(shell.clock.now().since(at).as_millis()).unwrap_or(u64::MAX);
    // The largest number stands for an unknown age, which no gateway relies on.
    let directory_age_ms = directory.read_at.map_or(u64::MAX, age_ms);
    let operator_mark = shell.operator_mark();
    let reply = DirectoryReply {
        position: directory.position,
        age_ms: directory_age_ms,
        operator: operator_mark
            .map(|it| OperatorMark { position: it.position, age_ms: age_ms(it.read_at) }),
        servers: (!has_same).then_some(directory.servers),
    };
    json_response(StatusCode::OK, &reply)
}

fn directory_digest(servers: &BTreeMap<ServerId, ServerRecord>) -> u64 {
    // Serialization of these types cannot fail.
    xxh3_64(&serde_json::to_vec(servers).unwrap_or_default())
}

/// Fetches the directory from the reader of this failure domain and applies it. Returns `false`
/// if this gateway must read the store itself: there is no other reader, or it returned no fresh
/// directory.
pub(super) async fn poll_reader(shell: &GatewayShell, client: &Client) -> bool {
    let reader = shell.peers().reader(shell.clock.now());
    let Some(reader) = reader else {
        shell.record_reader_mark(None);
        return false;
    };
    let known = shell.view().directory.view().cloned();
    let digest = known.as_ref().map_or(0, |it| directory_digest(&it.servers));
    let uri = format!("http://{reader}{DIRECTORY_PATH}?{digest}");
    let asked_at = shell.clock.now();
    let reply: Result<DirectoryReply, PlatformError> = get_json(client, uri, READER_TIMEOUT).await;
    let now = shell.clock.now();
    match reply {
        Ok(reply)
            if Duration::from_millis(reply.age_ms)
                <= shell.leave_time.mul_f64(MAX_READER_AGE_FRACTION) =>
        {
            let servers = reply.servers.or(known.map(|it| it.servers)).unwrap_or_default();
            let read_at = read_time(asked_at, reply.age_ms);
            let view = DirectoryView { position: reply.position, servers, read_at };
            apply_directory_view(shell, view);
            let mark = |it: OperatorMark| {
                let read_at = read_time(asked_at, it.age_ms)?;
                Some(ReaderMark { position: it.position, read_at })
            };
            shell.record_reader_mark(reply.operator.and_then(mark));
            true
        }
        Ok(reply) => {
            shell.metrics.count("directory.reader_stale");
            log::info!(
                reader:% = reader, age_ms = reply.age_ms, own_age_ms = shell.directory_age_ms();
                "directory of reader is stale"
            );
            shell.record_reader_mark(None);
            shell.peers().pause_reader(reader, now);
            false
        }
        Err(error) => {
            shell.metrics.count("directory.reader_failed");
            log::info!(
                reader:% = reader, error:% = error, own_age_ms = shell.directory_age_ms();
                "cannot fetch directory from reader"
            );
            shell.record_reader_mark(None);
            shell.peers().pause_reader(reader, now);
            false
        }
    }
}

/// Fetches the view of another gateway, chosen at random, and applies its newer parts.
pub(super) async fn poll_random_peer(shell: &GatewayShell) {
    poll_view(shell, VIEW_PATH.to_owned()).await;
}

/// Fetches the catalog and the evacuations of another gateway, chosen at random, and applies what
/// is newer.
pub(super) async fn poll_random_catalog(shell: &GatewayShell) {
    poll_view(shell, format!("{VIEW_PATH}?{CATALOG_QUERY}")).await;
}

async fn poll_view(shell: &GatewayShell, path: String) {
    let peer = shell.peers().addresses().choose(&mut rand::rng());
    let Some(peer) = peer else { return };
    let asked_at = shell.clock.now();
    match fetch_view(peer, &path).await {
        Ok(message) => {
            shell.record_sightings(message.gateways, asked_at);
            if let Some(view) = message.operator {
                apply_operator_view(shell, view);
            }
            if let Some(copy) = message.directory {
                let view = copy.received(asked_at);
                apply_directory_view(shell, view);
            }
        }
        Err(error) => {
            log::debug!(peer:% = peer, error:% = error; "cannot fetch view from gateway")
        }
    }
}

/// Creates an HTTP client for requests to other gateways.
pub(super) fn new_client() -> Result<Client, PlatformError> {
    Client::builder().build().map_err(PlatformError::Client)
}

async fn fetch_view(peer: SocketAddr, path: &str) -> Result<ViewMessage, PlatformError> {
    let client = new_client()?;
    get_json(&client, format!("http://{peer}{path}"), PEER_TIMEOUT).await
}
