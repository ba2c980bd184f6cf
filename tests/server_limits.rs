//! Tests of servers that name how many requests per second they take from all gateways together.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use googletest::prelude::*;
use http::{Request, StatusCode};
use http_body_util::Full;
use serde_json::json;
use tokio::time::Instant;

use crate::{
    launcher,
    support::{
        gateway::{GatewayProcess, connect, read, start_gateways},
        limited_servers::{LimitedServers, WINDOW},
        platform_store::FakeStore,
        ports::free_address,
    },
};

/// Time after a server first named its limit within which gateways must heed it.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Number of requests that a server with this limit may get in one window.
fn allowed(limit: f64) -> usize {
    (1.5 * limit * WINDOW.as_secs_f64() + 5.0) as usize
}

async fn send(gateway: SocketAddr, number: u32) -> Option<StatusCode> {
    let request = Request::post("/a/x")
        .header("host", "h.example")
        .header("request-id", format!("q-{number}"))
        .header("time-budget-ms", "3000")
        .header("authorization", "Token k1")
        .body(Full::<Bytes>::from(format!("body {number}")))
        .unwrap();
    let answer = connect(gateway).await?.send_request(request).await.ok()?;
    read(answer).await.map(|it| it.0)
}

async fn start_store() -> Arc<FakeStore> {
    let store = Arc::new(FakeStore::start(free_address()).await);
    let manifest = json!({"version": 3, "routes": [{"name": "r", "hostname": "h.example",
            "path-prefix": "/a/", "kind": "safe", "timeout-ms": 3000,
            "target-latency-ms": 400, "service": "s", "max-attempts": 2, "public": false}],
        "services": [{"name": "s", "health-check-path": "/healthz", "max-connections": 100}],
        "tenants": [{"name": "acc", "api-keys": ["k1"]}], "limits": {"max-body-bytes": 4096}});
    store.put("keyed.op", "config", Some(&manifest));
    store
}

/// Sends a request every 20 ms, to each gateway in turn. Returns how many got each status.
async fn send_for(gateways: &[GatewayProcess], time: Duration) -> Vec<Option<StatusCode>> {
    let started = Instant::now();
    let mut answers = Vec::new();
    for (n, gateway) in (0_u32..).zip(gateways.iter().cycle()) {
        if started.elapsed() > time {
            break;
        }
        answers.push(tokio::spawn(send(gateway.listen, n)));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let mut statuses = Vec::new();
    for answer in answers {
        statuses.push(answer.await.unwrap());
    }
    statuses
}

async fn check_limited_servers(gateway_count: usize) {
    let store = start_store().await;
    let addresses = [(); 6].map(|()| free_address());
    let servers = LimitedServers::start(&store, &addresses).await;
    let gateways = start_gateways(gateway_count, &launcher(), store.fake_server.address).await;
    let limits = [("i-1", 1.0), ("i-2", 2.4), ("i-3", 0.0)];
    for (server, limit) in limits {
        servers.set_limit(server, Some(limit));
    }
    let named = Instant::now();
    let statuses = send_for(&gateways, Duration::from_secs(12)).await;
    for (server, limit) in limits {
        let busiest = servers.busiest_window(server, named + CONTACT_TIME);
        println!("{gateway_count} gateways, {server}, limit {limit}: {busiest} in a window");
        expect_that!(busiest, le(allowed(limit)), "{server} with limit {limit}");
    }
    // The other servers have room for all.
    let answered = statuses.iter().filter(|it| **it == Some(StatusCode::OK)).count();
    expect_that!(answered, eq(statuses.len()));
}

#[gtest]
#[tokio::test]
async fn limited_servers_get_no_more_than_they_take_from_two_gateways() {
    check_limited_servers(2).await;
}

#[gtest]
#[tokio::test]
async fn limited_servers_get_no_more_than_they_take_from_nine_gateways() {
    check_limited_servers(9).await;
}
