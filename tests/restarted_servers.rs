//! Servers that start again under their ids before the directory shows it.

use std::{net::SocketAddr, time::Duration};

use alderbay::routing::{AttemptResult, RouteKind, RoutingEvent, ServerRecord};
use bytes::Bytes;
use googletest::prelude::*;
use http::{Request, StatusCode};
use http_body_util::Full;
use serde_json::json;
use tokio::time::{Instant, sleep};

use crate::{
    gateway_routing::{SECOND_US, TestGateway, server, server_of},
    launcher,
    support::{
        gateway::{GatewayProcess, connect, read},
        platform_store::FakeStore,
        ports::free_address,
        scripted_server::{self, ServerLog},
    },
};

/// Requests per second that a cold server takes, and what all gateways may send it in one second.
const COLD_RATE: f64 = 4.0;
const MAX_COLD: usize = 11;

async fn send(gateway: SocketAddr) -> Option<StatusCode> {
    let request = Request::get("/a/x").header("host", "h.example").header("request-id", "q-1");
    let request = request.body(Full::<Bytes>::default()).unwrap();
    read(connect(gateway).await?.send_request(request).await.ok()?).await.map(|it| it.0)
}

/// Guards against a crowd at servers that are back under their ids before their first check-in.
#[gtest]
#[tokio::test]
async fn restarted_server_is_cold_before_its_first_check_in() {
    let (store, log) = (FakeStore::start(free_address()).await, ServerLog::default());
    let manifest = json!({"version": 3, "routes": [{"name": "r", "hostname": "h.example",
            "path-prefix": "/a/", "kind": "safe", "timeout-ms": 6000, "service": "s",
            "max-attempts": 2, "public": true}],
        "services": [{"name": "s", "health-check-path": "/healthz", "max-connections": 100,
            "warmup-s": 3.0, "warmup-per-s": COLD_RATE}],
        "limits": {"max-body-bytes": 4096}});
    store.put("keyed.op", "config", Some(&manifest));
    let ids = ["i-1", "i-2"];
    let addresses = ids.map(|_| free_address());
    let mut servers = Vec::new();
    for (id, address) in ids.into_iter().zip(addresses) {
        servers.push(scripted_server::start(address, id, log.clone()).await);
        let entry = json!({"service": "s", "address": address, "zone": "a", "version": "v1",
            "slots": 12, "state": "ready", "warmup-left-ms": 0, "sequence": 1, "born": 1});
        store.put("keyed.servers", id, Some(&entry));
    }
    let gateway = GatewayProcess::start(&launcher(), store.fake_server.address, &[]);
    gateway.wait_ready().await;
    // The first listing counts as a start.
    sleep(Duration::from_millis(2_500)).await;
    let count = || log.runs("/a/x").len();
    for _ in 0..20 {
        expect_that!(send(gateway.listen).await, some(eq(StatusCode::OK)));
    }
    for server in servers.drain(..) {
        server.abort();
    }
    let back_at = Instant::now() + Duration::from_millis(1_500);
    while Instant::now() < back_at {
        send(gateway.listen).await;
        sleep(Duration::from_millis(20)).await;
    }
    for (id, address) in ids.into_iter().zip(addresses) {
        servers.push(scripted_server::start(address, id, log.clone()).await);
    }
    let (started, before) = (Instant::now(), count());
    while started.elapsed() < Duration::from_millis(1_000) {
        send(gateway.listen).await;
        sleep(Duration::from_millis(10)).await;
    }
    expect_that!(count() - before, le(ids.len() * MAX_COLD));
    // They are used again although the directory never shows a new start.
    let deadline = Instant::now() + Duration::from_secs(10);
    while send(gateway.listen).await != Some(StatusCode::OK) {
        assert!(Instant::now() < deadline, "{}", gateway.log_text());
        sleep(Duration::from_millis(100)).await;
    }
}

#[gtest]
fn server_without_a_listener_counts_as_cold() {
    let mut gateway = TestGateway::new(RouteKind::Idempotent, vec![server(1, "a")]);
    let count_in_a_second = |gateway: &mut TestGateway| {
        let begun = (0..100).filter(|_| server_of(&gateway.run_request()).is_some()).count();
        gateway.now += SECOND_US;
        begun
    };
    let (number, _) = gateway.arrive();
    gateway.end_attempt(number, AttemptResult::NoListener);
    gateway.now += SECOND_US;
    let sum: usize = (0..4).map(|_| count_in_a_second(&mut gateway)).sum();
    expect_that!(sum, all!(ge(1), le(4 * 2)));
    // The directory shows that the same process still runs, and later that it has started again.
    gateway.now += SECOND_US;
    expect_that!(count_in_a_second(&mut gateway), eq(100));
    let warm_up_left = Duration::from_secs(3);
    let restarted = ServerRecord { started_ms: Some(2), warm_up_left, ..server(1, "a") };
    gateway.dispatch(RoutingEvent::DirectoryRead(vec![restarted]));
    expect_that!(count_in_a_second(&mut gateway), le(2));
}

/// A connection that isn't established in time says nothing about the server's process.
#[gtest]
fn unreachable_server_does_not_count_as_cold() {
    let mut gateway = TestGateway::new(RouteKind::Idempotent, vec![server(1, "a")]);
    let (number, _) = gateway.arrive();
    gateway.end_attempt(number, AttemptResult::NeverSent);
    gateway.now += SECOND_US;
    let begun = (0..50).filter(|_| server_of(&gateway.run_request()).is_some()).count();
    expect_that!(begun, eq(50));
}
