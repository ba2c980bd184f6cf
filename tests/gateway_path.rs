//! A gateway as a process, in front of servers that misbehave and beside a store that goes away.

use std::time::Duration;

use bytes::Bytes;
use googletest::prelude::*;
use http::{Request, StatusCode};
use http_body_util::Full;
use serde_json::json;
use tokio::time::Instant;

use crate::{
    launcher,
    support::{
        gateway::{GatewayProcess, READY_TIMEOUT, connect, get, read},
        platform_store::FakeStore,
        ports::free_address,
        scripted_server::{self, ServerLog},
    },
};

/// A gateway, two servers and the store.
struct Site {
    store: FakeStore,
    log: ServerLog,
    gateway: GatewayProcess,
}

fn route(prefix: &str, kind: &str) -> serde_json::Value {
    json!({"name": format!("r-{kind}"), "hostname": "h.example", "path-prefix": prefix,
        "kind": kind, "timeout-ms": 6000, "target-latency-ms": 300, "service": "s",
        "max-attempts": 2, "public": false, "resumable": true})
}

async fn site(kind: &str) -> Site {
    let store = FakeStore::start(free_address()).await;
    let log = ServerLog::default();
    for id in ["i-1", "i-2"] {
        let address = free_address();
        scripted_server::start(address, id, log.clone()).await;
        let entry = json!({"service": "s", "address": address, "zone": "a", "version": "v1",
            "slots": 12, "state": "ready", "warmup-left-ms": 0, "sequence": 1, "born": 1});
        store.put("keyed.servers", id, Some(&entry));
    }
    // Entries of other writers name no server and harm nothing.
    store.put("keyed.servers", "i-3", Some(&json!({"service": 7})));
    let manifest = json!({"version": 3, "routes": [route("/a/", kind)],
        "services": [{"name": "s", "health-check-path": "/healthz", "max-connections": 100}],
        "tenants": [{"name": "acc", "api-keys": ["k1"]}], "limits": {"max-body-bytes": 4096}});
    store.put("keyed.op", "config", Some(&manifest));
    let gateway = GatewayProcess::start(&launcher(), store.fake_server.address, &[]);
    gateway.wait_ready().await;
    Site { store, log, gateway }
}

fn call(path: &str) -> Request<Full<Bytes>> {
    Request::post(path)
        .header("host", "h.example")
        .header("request-id", "q-1")
        .header("time-budget-ms", "5000")
        .header("authorization", "Token k1")
        .header("tenant", "forged")
        .body(Full::from("a body"))
        .unwrap()
}

impl Site {
    /// Publishes another route, and gives the time until it is served.
    async fn time_to_apply(&self) -> Duration {
        let manifest = json!({"version": 9, "routes": [route("/a/", "safe"), route("/new/", "safe")],
            "services": [{"name": "s", "health-check-path": "/healthz", "max-connections": 100}],
            "tenants": [{"name": "acc", "api-keys": ["k1"]}], "limits": {"max-body-bytes": 4096}});
        self.store.put("keyed.op", "config", Some(&manifest));
        let changed = Instant::now();
        while self.ask("/new/x").await != whole() {
            assert!(changed.elapsed() < READY_TIMEOUT, "the change does not come into force");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        changed.elapsed()
    }

    async fn ask(&self, path: &str) -> Option<(StatusCode, String)> {
        read(connect(self.gateway.listen).await?.send_request(call(path)).await.ok()?).await
    }
}

fn whole() -> Option<(StatusCode, String)> {
    Some((StatusCode::OK, "an answer".into()))
}

#[gtest]
#[tokio::test]
async fn whole_answers_pass() {
    let site = site("safe").await;
    expect_that!(site.ask("/a/x").await, eq(&whole()));
    let run = site.log.runs("/a/x").remove(0);
    expect_that!(run.headers.get("tenant").map(String::as_str), some(eq("acc")));
    expect_that!(run.headers.get("authorization"), none());
    let left: u64 = run.headers["time-budget-ms"].parse().unwrap();
    expect_that!(left, all!(gt(3_000), le(5_000)));
    // An extra answer behind the first is nobody's.
    expect_that!(site.ask("/a/extra").await, eq(&whole()));
    expect_that!(site.ask("/a/x").await, eq(&whole()));
    let (status, text) = get(site.gateway.admin, "/metrics").await.unwrap();
    expect_that!(status, eq(StatusCode::OK));
    expect_that!(text, contains_substring("alderbay_requests_arrived 3"));
}

#[gtest]
#[tokio::test]
async fn broken_answers_are_repeated() {
    let site = site("safe").await;
    expect_that!(site.ask("/a/cut").await, eq(&whole()));
    expect_that!(site.log.runs("/a/cut").len(), eq(2));
}

#[gtest]
#[tokio::test]
async fn shed_requests_go_elsewhere() {
    let site = site("safe").await;
    expect_that!(site.ask("/a/shed").await, eq(&whole()));
    let runs = site.log.runs("/a/shed");
    expect_that!(runs.len(), eq(2));
    expect_that!(runs[0].server, not(eq(&runs[1].server)));
}

#[gtest]
#[tokio::test]
async fn single_runs_stay_single() {
    let site = site("unsafe").await;
    for path in ["/a/cut", "/a/crossed"] {
        let status = site.ask(path).await.map(|it| it.0);
        expect_that!(status, some(eq(StatusCode::BAD_GATEWAY)), "{path}");
        expect_that!(site.log.runs(path).len(), eq(1), "{path}");
    }
}

#[gtest]
#[tokio::test]
async fn shed_single_goes_elsewhere() {
    let site = site("unsafe").await;
    // A server that says it did not run it allows another.
    expect_that!(site.ask("/a/shed").await, eq(&whole()));
    expect_that!(site.log.runs("/a/shed").len(), eq(2));
}

#[gtest]
#[tokio::test]
async fn streams_go_on_elsewhere() {
    let site = site("streaming").await;
    let (status, text) = site.ask("/a/stream").await.unwrap();
    expect_that!(status, eq(StatusCode::OK));
    let events: String = (1..=4).map(|id| format!("id: {id}\ndata: piece {id}\n\n")).collect();
    expect_that!(text, eq(&events));
    let runs = site.log.runs("/a/stream");
    expect_that!(runs.len(), eq(2));
    expect_that!(runs[1].headers.get("last-event-id").map(String::as_str), some(eq("2")));
    expect_that!(runs[0].server, not(eq(&runs[1].server)));
}

#[gtest]
#[tokio::test]
async fn leaving_callers_cancel() {
    let site = site("streaming").await;
    let mut sender = connect(site.gateway.listen).await.unwrap();
    let pending = tokio::spawn(async move { sender.send_request(call("/a/hang")).await.map(drop) });
    let deadline = Instant::now() + READY_TIMEOUT;
    while site.log.runs("/a/hang").is_empty() {
        assert!(Instant::now() < deadline);
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    pending.abort();
    while site.log.closed_early() == 0 {
        assert!(Instant::now() < deadline, "the server still works");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

#[gtest]
#[tokio::test]
async fn stops_cut_off_nothing() {
    let mut site = site("streaming").await;
    let mut sender = connect(site.gateway.listen).await.unwrap();
    let stream = sender.send_request(call("/a/slow")).await.unwrap();
    site.gateway.terminate();
    let deadline = Instant::now() + READY_TIMEOUT;
    while get(site.gateway.ready, "/v1/readyz").await.map(|it| it.0) == Some(StatusCode::OK) {
        assert!(Instant::now() < deadline);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    // Callers that the balancer has sent meanwhile are served.
    expect_that!(site.ask("/a/slow").await.map(|it| it.0), some(eq(StatusCode::OK)));
    let (_, text) = read(stream).await.unwrap();
    expect_that!(text, contains_substring("piece 4"));
    let status = tokio::task::spawn_blocking(move || {
        let status = site.gateway.child.wait().unwrap();
        (status, site.gateway.log_text())
    });
    let (status, log) = status.await.unwrap();
    expect_that!(status.code(), some(eq(0)), "{log}");
    expect_that!(log, contains_substring("\"message\":\"stopped\""));
}

/// Time within which a change is in force: what the users ask for.
const APPLY_LIMIT: Duration = Duration::from_secs(2);

#[gtest]
#[tokio::test]
async fn silence_delays_no_change() {
    let site = site("safe").await;
    site.store.set_silent(true);
    let deadline = Instant::now() + READY_TIMEOUT;
    while !site.gateway.log_text().contains(r#""stream":"operator""#) {
        assert!(Instant::now() < deadline, "the gateway does not notice that the store is silent");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    // A question that begins now will not be answered either.
    let asked = site.store.reads_of("keyed.op");
    while site.store.reads_of("keyed.op") == asked {
        assert!(Instant::now() < deadline, "the gateway does not ask again");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    site.store.set_silent(false);
    expect_that!(site.time_to_apply().await, lt(APPLY_LIMIT));
}

#[gtest]
#[tokio::test]
async fn missed_wake_delays_no_change() {
    let site = site("safe").await;
    site.store.disable_wakeups();
    // The change comes right after a question, which learns nothing of it before its end.
    let deadline = Instant::now() + READY_TIMEOUT;
    let asked = site.store.reads_of("keyed.op");
    while site.store.reads_of("keyed.op") == asked {
        assert!(Instant::now() < deadline, "the gateway does not ask again");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    expect_that!(site.time_to_apply().await, lt(APPLY_LIMIT));
}

#[gtest]
#[tokio::test]
async fn peers_tell_the_catalog() {
    let site = site("safe").await;
    site.store.set_down(true);
    let second =
        GatewayProcess::start(&launcher(), site.store.fake_server.address, &[site.gateway.peer]);
    second.wait_ready().await;
    let answer = connect(second.listen).await.unwrap().send_request(call("/a/x")).await.unwrap();
    expect_that!(read(answer).await, eq(&whole()));
    // And the first one goes on with what it knows.
    expect_that!(site.ask("/a/x").await, eq(&whole()));
}

#[gtest]
#[tokio::test]
async fn changes_come_into_force() {
    let site = site("safe").await;
    let moved = json!({"version": 9, "routes": [route("/b/", "safe")],
        "services": [{"name": "s"}], "tenants": [{"name": "acc", "api-keys": ["k1"]}]});
    site.store.put("keyed.op", "config", Some(&moved));
    let deadline = Instant::now() + READY_TIMEOUT;
    while site.ask("/b/x").await != whole() {
        assert!(Instant::now() < deadline, "the catalog does not come into force");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let gone = site.ask("/a/x").await.map(|it| it.0);
    expect_that!(gone, some(eq(StatusCode::NOT_FOUND)));
}
