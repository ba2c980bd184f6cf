//! What gateways tell each other: `GET /v1/view` answers all that the gateway has read of the platform,
//! for those that cannot read the store; `GET /v1/directory` answers the directory, for those that leave
//! reading it to this one.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use http::StatusCode;
use hyper::body::Incoming;
use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};
use volo_http::{client::Client, response::Response};
use xxhash_rust::xxh3::xxh3_64;

use super::{
    shell::GatewayShell,
    sources::{DirectoryView, OperatorView, take_directory, take_operator},
};
use crate::{
    http::{json_response, text_response},
    platform::{PlatformError, get_json},
    routing::{GatewayPlace, ServerRecord, SourceName},
    units::{LogOffset, ServerId},
};

/// Path of a gateway's view.
const VIEW_PATH: &str = "/v1/view";
/// Path of its directory.
const DIRECTORY_PATH: &str = "/v1/directory";
/// Time for one exchange with another gateway.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);
/// The same with the reader of the own failure domain.
const READER_TIMEOUT: Duration = Duration::from_millis(200);
/// Part of the time within which a leaving server gets no new work that the directory of a reader may
/// be old.
const READER_AGE_PART: f64 = 0.4;

/// A gateway's view as it travels.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
struct ViewMessage {
    operator: Option<OperatorView>,
    directory: Option<DirectoryView>,
    gateways: Vec<GatewayPlace>,
}

/// A directory as it travels to gateways that have an earlier one.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
struct DirectoryNews {
    offset: LogOffset,
    age_ms: u64,
    /// None where the asker has the same.
    servers: Option<BTreeMap<ServerId, ServerRecord>>,
}

/// Answers other gateways.
pub(super) fn handler(
    shell: Arc<GatewayShell>,
) -> impl Fn(SocketAddr, http::Request<Incoming>) -> std::future::Ready<Response> + Clone {
    move |_, request| {
        let answer = match request.uri().path() {
            VIEW_PATH => view_answer(&shell),
            DIRECTORY_PATH => directory_answer(&shell, request.uri().query()),
            _ => text_response(StatusCode::NOT_FOUND, "no such path\n"),
        };
        std::future::ready(answer)
    }
}

fn view_answer(shell: &GatewayShell) -> Response {
    let view = shell.view().clone();
    let gateways = shell.peers().places();
    let message = ViewMessage { operator: view.operator, directory: view.directory, gateways };
    json_response(StatusCode::OK, &message)
}

/// Answers the directory; its servers only to those that have others, by the digest in the query.
fn directory_answer(shell: &GatewayShell, query: Option<&str>) -> Response {
    let Some(directory) = shell.view().directory.clone() else {
        return text_response(StatusCode::SERVICE_UNAVAILABLE, "no directory was read yet\n");
    };
    let digest = digest_of(&directory.servers);
    let has_same = query == Some(digest.to_string().as_str());
    let age = shell.clock.now().since(directory.read_at);
    let news = DirectoryNews {
        offset: directory.offset,
        age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        servers: (!has_same).then_some(directory.servers),
    };
    json_response(StatusCode::OK, &news)
}

fn digest_of(servers: &BTreeMap<ServerId, ServerRecord>) -> u64 {
    // Our own structures always encode.
    xxh3_64(&serde_json::to_vec(servers).unwrap_or_default())
}

/// Takes the directory over from the gateway that reads it for this one. False where this gateway is to
/// read it by itself.
pub(super) async fn follow_reader(shell: &GatewayShell, client: &Client) -> bool {
    let reader = shell.peers().reader(shell.clock.now());
    let Some(reader) = reader else { return false };
    let known = shell.view().directory.clone();
    let digest = known.as_ref().map_or(0, |it| digest_of(&it.servers));
    let uri = format!("http://{reader}{DIRECTORY_PATH}?{digest}");
    let news: Result<DirectoryNews, PlatformError> = get_json(client, uri, READER_TIMEOUT).await;
    let now = shell.clock.now();
    match news {
        Ok(news)
            if Duration::from_millis(news.age_ms) <= shell.leave_time.mul_f64(READER_AGE_PART) =>
        {
            let servers = news.servers.or(known.map(|it| it.servers)).unwrap_or_default();
            let read_at = now.before(Duration::from_millis(news.age_ms));
            take_directory(shell, DirectoryView { offset: news.offset, servers, read_at });
            true
        }
        Ok(news) => {
            log::info!(reader:% = reader, age_ms = news.age_ms; "directory of the reader is old");
            shell.peers().pause_reader(reader, now);
            false
        }
        Err(error) => {
            log::info!(reader:% = reader, error:% = error; "reader gave no directory");
            shell.peers().pause_reader(reader, now);
            false
        }
    }
}

/// Asks one other gateway for what it has read, and takes over what is newer.
pub(super) async fn ask_one(shell: &GatewayShell) {
    let peer = shell.peers().addresses().choose(&mut rand::rng());
    let Some(peer) = peer else { return };
    match fetch_view(peer).await {
        Ok(message) => {
            shell.note_peers(message.gateways);
            if let Some(view) = message.operator {
                take_operator(shell, view, SourceName::Peer);
            }
            if let Some(view) = message.directory {
                take_directory(shell, DirectoryView { read_at: shell.clock.now(), ..view });
            }
        }
        Err(error) => log::debug!(peer:% = peer, error:% = error; "gateway gave no view"),
    }
}

/// A client of other gateways.
pub(super) fn new_client() -> Result<Client, PlatformError> {
    Client::builder().build().map_err(PlatformError::Client)
}

async fn fetch_view(peer: SocketAddr) -> Result<ViewMessage, PlatformError> {
    let client = new_client()?;
    get_json(&client, format!("http://{peer}{VIEW_PATH}"), PEER_TIMEOUT).await
}
