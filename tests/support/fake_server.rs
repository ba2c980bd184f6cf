//! The HTTP server that the fakes run on.

use std::net::SocketAddr;

use alderbay::{
    http::{HttpListener, ListenerPhase},
    options::HttpLimits,
};
use tokio::sync::watch;
use volo_http::server::Router;

/// An HTTP server that runs until it is dropped.
pub struct FakeServer {
    pub address: SocketAddr,
    /// Kept alive so that the listener stays in its open phase.
    _phase: watch::Sender<ListenerPhase>,
    task: tokio::task::JoinHandle<()>,
}

impl FakeServer {
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

impl Drop for FakeServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Value of the first query parameter `name` that parses as `T`.
pub fn query<T: std::str::FromStr>(uri: &http::Uri, name: &str) -> Option<T> {
    let pairs = uri.query()?.split('&').filter_map(|it| it.split_once('='));
    pairs.filter(|(key, _)| *key == name).find_map(|(_, value)| value.parse().ok())
}
