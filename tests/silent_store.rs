//! Connections to the platform's store that fall silent for good while new ones work.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use googletest::prelude::*;
use http::{Request, StatusCode};
use http_body_util::Full;
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, tcp::OwnedReadHalf, tcp::OwnedWriteHalf},
    time::{Instant, sleep},
};

use crate::{
    launcher,
    support::{
        gateway::{GatewayProcess, connect, read},
        platform_store::FakeStore,
        ports::free_address,
        scripted_server::{self, ServerLog},
    },
};

/// Time within which a server that is gone must get no requests, by the settings' default.
const LEAVE_TIME: Duration = Duration::from_millis(2_000);
/// Time within which a catalog must be in force, by the settings' default.
const APPLY_TIME: Duration = Duration::from_millis(2_000);

/// A TCP proxy whose open connections can fall silent.
struct SilencingProxy {
    address: SocketAddr,
    /// Number of silences so far; a connection relays until the next one.
    silences: Arc<AtomicU64>,
    /// Time by which answers are late, in milliseconds.
    delay_ms: Arc<AtomicU64>,
    /// Number of connections that were opened.
    connections: Arc<AtomicU64>,
}

impl SilencingProxy {
    async fn start(server: SocketAddr) -> Self {
        let (address, silences) = (free_address(), Arc::new(AtomicU64::new(0)));
        let listener = TcpListener::bind(address).await.unwrap();
        let (no_delay, delay_ms) = (Arc::<AtomicU64>::default(), Arc::<AtomicU64>::default());
        let (shared, answer_delay) = (silences.clone(), delay_ms.clone());
        let connections = Arc::<AtomicU64>::default();
        let opened = connections.clone();
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let Ok(server) = TcpStream::connect(server).await else { continue };
                opened.fetch_add(1, Ordering::SeqCst);
                let (client_in, client_out) = client.into_split();
                let (server_in, server_out) = server.into_split();
                tokio::spawn(relay(client_in, server_out, (shared.clone(), no_delay.clone())));
                tokio::spawn(relay(server_in, client_out, (shared.clone(), answer_delay.clone())));
            }
        });
        Self { address, silences, delay_ms, connections }
    }

    fn silence_open_connections(&self) {
        self.silences.fetch_add(1, Ordering::SeqCst);
    }
}

async fn relay(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    (silences, delay_ms): (Arc<AtomicU64>, Arc<AtomicU64>),
) {
    let opened = silences.load(Ordering::SeqCst);
    let mut buffer = vec![0; 16 << 10];
    while let Ok(length @ 1..) = from.read(&mut buffer).await {
        sleep(Duration::from_millis(delay_ms.load(Ordering::SeqCst))).await;
        if silences.load(Ordering::SeqCst) == opened
            && to.write_all(&buffer[..length]).await.is_err()
        {
            return;
        }
    }
    if silences.load(Ordering::SeqCst) != opened {
        // Neither side learns that the other has closed.
        std::future::pending::<()>().await;
    }
}

fn manifest(version: u32, prefix: &str) -> serde_json::Value {
    json!({"version": version, "routes": [{"name": "r", "hostname": "h.example",
            "path-prefix": prefix, "kind": "safe", "timeout-ms": 6000, "service": "s",
            "max-attempts": 2, "public": true}],
        "services": [{"name": "s", "health-check-path": "/healthz", "max-connections": 100}],
        "limits": {"max-body-bytes": 4096}})
}

async fn start(log: &ServerLog) -> (FakeStore, SilencingProxy, GatewayProcess) {
    let store = FakeStore::start(free_address()).await;
    let proxy = SilencingProxy::start(store.fake_server.address).await;
    store.put("keyed.op", "config", Some(&manifest(3, "/a/")));
    for id in ["i-1", "i-2"] {
        let address = free_address();
        scripted_server::start(address, id, log.clone()).await;
        let entry = json!({"service": "s", "address": address, "zone": "a", "version": "v1",
            "slots": 12, "state": "ready", "warmup-left-ms": 0, "sequence": 1, "born": 1});
        store.put("keyed.servers", id, Some(&entry));
    }
    let gateway = GatewayProcess::start(&launcher(), proxy.address, &[]);
    gateway.wait_ready().await;
    (store, proxy, gateway)
}

async fn send(gateway: SocketAddr, path: &str) -> Option<StatusCode> {
    let request = Request::get(path).header("host", "h.example").header("request-id", "q-1");
    let request = request.body(Full::<Bytes>::default()).unwrap();
    read(connect(gateway).await?.send_request(request).await.ok()?).await.map(|it| it.0)
}

/// Sends requests until `end`. Returns the time of the last one that reached `server`.
async fn last_arrival(
    gateway: &GatewayProcess,
    log: &ServerLog,
    server: &str,
    end: Instant,
) -> Option<Instant> {
    let count = || log.runs("/a/x").iter().filter(|it| it.server == server).count();
    let (mut known, mut last) = (count(), None);
    while Instant::now() < end {
        send(gateway.listen, "/a/x").await;
        if count() > known {
            (known, last) = (count(), Some(Instant::now()));
        }
        sleep(Duration::from_millis(20)).await;
    }
    last
}

/// Guards against requests to a server that is gone, after connections to the store fell silent.
#[gtest]
#[tokio::test]
async fn silent_connections_delay_no_removal() {
    for silences in [1, 2] {
        let log = ServerLog::default();
        let (store, proxy, gateway) = start(&log).await;
        sleep(Duration::from_millis(1_500)).await;
        proxy.silence_open_connections();
        sleep(Duration::from_millis(600)).await;
        store.put("keyed.servers", "i-2", None);
        let removed = Instant::now();
        if silences > 1 {
            let end = removed + Duration::from_millis(300);
            last_arrival(&gateway, &log, "i-2", end).await;
            proxy.silence_open_connections();
        }
        let last = last_arrival(&gateway, &log, "i-2", removed + 3 * LEAVE_TIME).await;
        let late = last.map_or(Duration::ZERO, |it| it - removed);
        expect_that!(late, le(LEAVE_TIME), "{silences}: {}", gateway.log_text());
    }
}

/// Guards against a catalog that comes into force late after connections to the store fell silent.
#[gtest]
#[tokio::test]
async fn silent_connections_delay_no_catalog() {
    let log = ServerLog::default();
    let (store, proxy, gateway) = start(&log).await;
    sleep(Duration::from_millis(1_500)).await;
    for (version, prefix) in [(7, "/b/"), (9, "/a/")] {
        proxy.silence_open_connections();
        sleep(Duration::from_millis(100)).await;
        store.put("keyed.op", "config", Some(&manifest(version, prefix)));
        let published = Instant::now();
        while send(gateway.listen, &format!("{prefix}x")).await != Some(StatusCode::OK) {
            assert!(published.elapsed() < APPLY_TIME, "{version}: {}", gateway.log_text());
            sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Each call to the store has a price.
#[gtest]
#[tokio::test]
async fn sound_connections_are_asked_once() {
    let log = ServerLog::default();
    let (store, _proxy, _gateway) = start(&log).await;
    sleep(Duration::from_millis(1_000)).await;
    let before = store.reads_of("keyed.servers");
    sleep(2 * LEAVE_TIME).await;
    // Four reads within the time in which a server must be left.
    expect_that!(store.reads_of("keyed.servers") - before, le(2 * 4 + 1));
}

/// Guards against reads that are all sent twice, and connections that are all given up, while the
/// store is only slow.
#[gtest]
#[tokio::test]
async fn slow_store_is_asked_once() {
    let log = ServerLog::default();
    let (_store, proxy, _gateway) = start(&log).await;
    proxy.delay_ms.store(450, Ordering::SeqCst);
    sleep(Duration::from_millis(2_000)).await;
    let before = proxy.connections.load(Ordering::SeqCst);
    sleep(2 * LEAVE_TIME).await;
    expect_that!(proxy.connections.load(Ordering::SeqCst) - before, le(1));
}
