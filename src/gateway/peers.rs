//! What gateways tell each other while the store cannot be read: `GET /v1/view` answers what the
//! gateway has read of the platform.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use http::StatusCode;
use hyper::body::Incoming;
use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};
use volo_http::response::Response;

use super::{
    shell::GatewayShell,
    sources::{DirectoryView, OperatorView, take_directory, take_operator},
};
use crate::{
    http::{json_answer, text_answer},
    platform::{PlatformError, get_json},
    routing::SourceName,
};

/// Path of a gateway's view.
const VIEW_PATH: &str = "/v1/view";
/// Time for one exchange with another gateway.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);

/// A gateway's view as it travels.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
struct ViewMessage {
    operator: Option<OperatorView>,
    directory: Option<DirectoryView>,
    gateways: Vec<SocketAddr>,
}

/// Answers other gateways.
pub(super) fn handler(
    shell: Arc<GatewayShell>,
) -> impl Fn(SocketAddr, http::Request<Incoming>) -> std::future::Ready<Response> + Clone {
    move |_, request| {
        if request.uri().path() != VIEW_PATH {
            return std::future::ready(text_answer(StatusCode::NOT_FOUND, "no such path\n"));
        }
        let view = shell.view().clone();
        let mut gateways: Vec<SocketAddr> = shell.peers().into_iter().collect();
        gateways.push(shell.peer_address);
        let message = ViewMessage { operator: view.operator, directory: view.directory, gateways };
        std::future::ready(json_answer(StatusCode::OK, &message))
    }
}

/// Asks one other gateway for what it has read, and takes over what is newer.
pub(super) async fn ask_one(shell: &GatewayShell) {
    let Some(peer) = shell.peers().into_iter().choose(&mut rand::rng()) else { return };
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

async fn fetch_view(peer: SocketAddr) -> Result<ViewMessage, PlatformError> {
    let client = volo_http::client::Client::builder().build().map_err(PlatformError::Client)?;
    get_json(&client, format!("http://{peer}{VIEW_PATH}"), PEER_TIMEOUT).await
}
