//! Serving HTTP for stand-ins.

use std::net::SocketAddr;

use alderbay::{
    http::{HttpListener, ListenerPhase},
    options::HttpLimits,
};
use tokio::sync::watch;
use volo_http::server::Router;

/// A stand-in that serves until it is dropped.
pub struct StandIn {
    pub address: SocketAddr,
    _phase: watch::Sender<ListenerPhase>,
    task: tokio::task::JoinHandle<()>,
}

impl StandIn {
    pub async fn start(address: SocketAddr, router: Router) -> Self {
        let (phase, phases) = watch::channel(ListenerPhase::Open);
        let limits = HttpLimits {
            max_body_bytes: alderbay::units::ByteCount(64 << 20),
            ..HttpLimits::default()
        };
        let listener = HttpListener::bind(address, limits).await.unwrap();
        let task = tokio::spawn(listener.serve(router, phases));
        Self { address, _phase: phase, task }
    }
}

impl Drop for StandIn {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The value of one query field.
pub fn query<T: std::str::FromStr>(uri: &http::Uri, name: &str) -> Option<T> {
    let pairs = uri.query()?.split('&').filter_map(|it| it.split_once('='));
    pairs.filter(|(key, _)| *key == name).find_map(|(_, value)| value.parse().ok())
}
