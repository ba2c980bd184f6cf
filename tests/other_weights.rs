//! Tests of requests that expect a version of the weights that servers may not have.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use alderbay::{
    core::{RefusalCode, RunOutcome},
    routing::{AttemptResult, RequestNumber, RouteKind, RoutingEvent, RoutingRequest},
    units::WeightVersion,
};
use bytes::Bytes;
use googletest::prelude::*;
use http::{Request, StatusCode};
use http_body_util::Full;
use serde_json::json;
use tokio::{io::AsyncWriteExt, net::TcpListener, time::Instant};

use crate::{
    gateway_routing::{SECOND_US, TestGateway, refusal_of, request, server, server_of},
    launcher,
    support::{
        gateway::{GatewayProcess, connect, read},
        platform_store::FakeStore,
        ports::free_address,
        scripted_server::read_request,
    },
};

/// Ids of the servers that requests arrived at, in order.
type Arrivals = Arc<Mutex<Vec<String>>>;

/// Starts a server with weights of this version, and lists it as `listed`, which may be the id of
/// another server that had the address before.
async fn add_server(
    store: &FakeStore,
    (id, listed): (&str, &str),
    weights: u64,
    arrivals: Arrivals,
) {
    let address = free_address();
    let listener = TcpListener::bind(address).await.unwrap();
    let name = id.to_owned();
    tokio::spawn(async move {
        loop {
            let Ok((mut stream, _)) = listener.accept().await else { continue };
            let Some(received) = read_request(&mut stream).await else { continue };
            arrivals.lock().unwrap().push(name.clone());
            let header = |name: &str| received.headers.get(name).cloned();
            let request = header("request-id").unwrap_or_default();
            let expects_other =
                header("expect-version").is_some_and(|it| it != weights.to_string());
            let is_refused = header("expect-instance") != Some(name.clone()) || expects_other;
            let head = match is_refused {
                true => format!("421 Misdirected Request\r\nAt-Server: {name}"),
                false => format!("200 OK\r\nResponse-Stamp: s\r\nWeight-Versions: {weights}"),
            };
            let text =
                format!("HTTP/1.1 {head}\r\nRequest-Id: {request}\r\nContent-Length: 2\r\n\r\nok");
            let _ = stream.write_all(text.as_bytes()).await;
        }
    });
    let entry = json!({"service": "s", "address": address, "zone": "a", "version": "v1",
        "slots": 12, "state": "ready", "warmup-left-ms": 0, "sequence": 1, "born": 1});
    store.put("keyed.servers", listed, Some(&entry));
}

async fn start_store() -> FakeStore {
    let store = FakeStore::start(free_address()).await;
    let manifest = json!({"version": 3, "routes": [{"name": "r", "hostname": "h.example",
            "path-prefix": "/a/", "kind": "safe", "timeout-ms": 6000, "service": "s",
            "max-attempts": 2, "public": true}],
        "services": [{"name": "s", "health-check-path": "/healthz", "max-connections": 100}],
        "limits": {"max-body-bytes": 4096}});
    store.put("keyed.op", "config", Some(&manifest));
    store
}

async fn start_gateway(store: &FakeStore) -> GatewayProcess {
    let gateway = GatewayProcess::start(&launcher(), store.fake_server.address, &[]);
    gateway.wait_ready().await;
    gateway
}

async fn send(gateway: SocketAddr, expected: Option<&str>) -> Option<StatusCode> {
    let mut request = Request::get("/a/x").header("host", "h.example").header("request-id", "q-1");
    if let Some(version) = expected {
        request = request.header("expect-version", version);
    }
    let request = request.body(Full::<Bytes>::default()).unwrap();
    read(connect(gateway).await?.send_request(request).await.ok()?).await.map(|it| it.0)
}

/// Sends ten requests, with which the gateway's budget has some retries.
async fn earn_retries(gateway: &GatewayProcess) {
    for _ in 0..10 {
        expect_that!(send(gateway.listen, None).await, some(eq(StatusCode::OK)));
    }
}

/// Guards against one caller that takes the servers of a service out of use for all others.
#[gtest]
#[tokio::test]
async fn outdated_weights_take_no_server_out_of_use() {
    let (store, arrivals) = (start_store().await, Arrivals::default());
    for id in ["i-1", "i-2"] {
        add_server(&store, (id, id), 2, arrivals.clone()).await;
    }
    let gateway = start_gateway(&store).await;
    earn_retries(&gateway).await;
    let began = Instant::now();
    for _ in 0..4 {
        let started = Instant::now();
        let status = send(gateway.listen, Some("1")).await;
        expect_that!(status, some(eq(StatusCode::MISDIRECTED_REQUEST)));
        expect_that!(started.elapsed().as_millis(), lt(500));
        for _ in 0..10 {
            expect_that!(send(gateway.listen, None).await, some(eq(StatusCode::OK)));
            expect_that!(send(gateway.listen, Some("2")).await, some(eq(StatusCode::OK)));
        }
    }
    // Each server is asked for the version once in two seconds, and known not to have it in between.
    let asked = arrivals.lock().unwrap().len() - 90;
    let rounds = 1 + began.elapsed().as_secs() as usize / 2;
    expect_that!(asked, all!(ge(2), le(2 * rounds)));
}

#[gtest]
#[tokio::test]
async fn server_with_expected_weights_is_found() {
    let (store, arrivals) = (start_store().await, Arrivals::default());
    for (id, weights) in [("i-1", 1), ("i-2", 2)] {
        add_server(&store, (id, id), weights, arrivals.clone()).await;
    }
    let gateway = start_gateway(&store).await;
    earn_retries(&gateway).await;
    for _ in 0..20 {
        for version in [None, Some("1"), Some("2")] {
            let status = send(gateway.listen, version).await;
            expect_that!(status, some(eq(StatusCode::OK)), "{version:?}");
        }
    }
}

/// Guards against requests to an address that another server has now, also if the first one that shows
/// it expects weights.
#[gtest]
#[tokio::test]
async fn reused_address_is_left_at_once() {
    for expected in [Some("2"), None] {
        let (store, arrivals) = (start_store().await, Arrivals::default());
        add_server(&store, ("i-9", "i-1"), 2, arrivals.clone()).await;
        add_server(&store, ("i-2", "i-2"), 2, arrivals.clone()).await;
        let gateway = start_gateway(&store).await;
        for _ in 0..30 {
            expect_that!(send(gateway.listen, expected).await, some(eq(StatusCode::OK)));
        }
        let misdirected = arrivals.lock().unwrap().iter().filter(|it| *it == "i-9").count();
        expect_that!(misdirected, eq(1), "{expected:?}");
        let log = gateway.log_text();
        expect_that!(log, contains_substring("another server responded at its address"));
    }
}

#[gtest]
fn refused_version_is_asked_for_again() {
    let mut gateway = TestGateway::new(RouteKind::Single, vec![server(1, "a")]);
    let expects = |number, version| RoutingRequest {
        weight_version: Some(WeightVersion(version)),
        ..request(RequestNumber(number))
    };
    let first = gateway.dispatch_for_effect(RoutingEvent::RequestArrived(expects(100, 1)));
    expect_that!(server_of(&first), some(eq("i-1")));
    let refused = gateway.end_attempt(RequestNumber(100), AttemptResult::OtherWeights);
    let refusal = Some((RefusalCode::OtherWeights, RunOutcome::NotRun));
    expect_that!(refusal_of(&refused), eq(refusal));
    let again = gateway.dispatch_for_effect(RoutingEvent::RequestArrived(expects(101, 1)));
    expect_that!(refusal_of(&again), eq(refusal));
    let other = gateway.dispatch_for_effect(RoutingEvent::RequestArrived(expects(102, 2)));
    expect_that!(server_of(&other), some(eq("i-1")));
    // Servers load other weights while they run.
    gateway.now += 3 * SECOND_US;
    let later = gateway.dispatch_for_effect(RoutingEvent::RequestArrived(expects(103, 1)));
    expect_that!(server_of(&later), some(eq("i-1")));
}

/// Guards against a belief of one answer that lasts as long as the server.
#[gtest]
fn replaced_server_is_tried_again() {
    let mut gateway = TestGateway::new(RouteKind::Single, vec![server(1, "a")]);
    let (number, _) = gateway.arrive();
    gateway.end_attempt(number, AttemptResult::WrongServer);
    expect_that!(server_of(&gateway.run_request()), none());
    gateway.now += 11 * SECOND_US;
    expect_that!(server_of(&gateway.run_request()), some(eq("i-1")));
}
