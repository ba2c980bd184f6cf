//! Tests of a gateway process with backend servers that misbehave and a store that fails.

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

/// A gateway process, two backend servers and the platform's store.
pub(crate) struct TestSite {
    store: FakeStore,
    pub(crate) log: ServerLog,
    gateway: GatewayProcess,
}

fn route(prefix: &str, kind: &str, is_resumable: bool) -> serde_json::Value {
    json!({"name": format!("r-{kind}"), "hostname": "h.example", "path-prefix": prefix,
        "kind": kind, "timeout-ms": 6000, "target-latency-ms": 300, "service": "s",
        "max-attempts": 2, "public": false, "resumable": is_resumable})
}

pub(crate) async fn start_site(kind: &str) -> TestSite {
    start_site_with(kind, true).await
}

async fn start_site_with(kind: &str, is_resumable: bool) -> TestSite {
    let store = FakeStore::start(free_address()).await;
    let log = ServerLog::default();
    for id in ["i-1", "i-2"] {
        let address = free_address();
        scripted_server::start(address, id, log.clone()).await;
        let entry = json!({"service": "s", "address": address, "zone": "a", "version": "v1",
            "slots": 12, "state": "ready", "warmup-left-ms": 0, "sequence": 1, "born": 1});
        store.put("keyed.servers", id, Some(&entry));
    }
    // The gateway must ignore an entry of another writer that does not describe a server.
    store.put("keyed.servers", "i-3", Some(&json!({"service": 7})));
    let manifest = json!({"version": 3, "routes": [route("/a/", kind, is_resumable)],
        "services": [{"name": "s", "health-check-path": "/healthz", "max-connections": 100}],
        "tenants": [{"name": "acc", "api-keys": ["k1"]}], "limits": {"max-body-bytes": 4096}});
    store.put("keyed.op", "config", Some(&manifest));
    let gateway = GatewayProcess::start(&launcher(), store.fake_server.address, &[]);
    gateway.wait_ready().await;
    TestSite { store, log, gateway }
}

fn request(path: &str) -> Request<Full<Bytes>> {
    Request::post(path)
        .header("host", "h.example")
        .header("request-id", "q-1")
        .header("time-budget-ms", "5000")
        .header("authorization", "Token k1")
        .header("tenant", "forged")
        .body(Full::from("a body"))
        .unwrap()
}

impl TestSite {
    /// Publishes another route and returns the time until the gateway serves it.
    async fn time_to_apply(&self) -> Duration {
        let manifest = json!({"version": 9, "routes": [route("/a/", "safe", true), route("/new/", "safe", true)],
            "services": [{"name": "s", "health-check-path": "/healthz", "max-connections": 100}],
            "tenants": [{"name": "acc", "api-keys": ["k1"]}], "limits": {"max-body-bytes": 4096}});
        self.store.put("keyed.op", "config", Some(&manifest));
        let changed = Instant::now();
        while self.send("/new/x").await != complete_answer() {
            assert!(changed.elapsed() < READY_TIMEOUT, "the change does not come into force");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        changed.elapsed()
    }

    pub(crate) async fn send(&self, path: &str) -> Option<(StatusCode, String)> {
        read(connect(self.gateway.listen).await?.send_request(request(path)).await.ok()?).await
    }
}

pub(crate) fn complete_answer() -> Option<(StatusCode, String)> {
    Some((StatusCode::OK, "an answer".into()))
}

#[gtest]
#[tokio::test]
async fn complete_answers_are_forwarded() {
    let site = start_site("safe").await;
    expect_that!(site.send("/a/x").await, eq(&complete_answer()));
    let run = site.log.runs("/a/x").remove(0);
    expect_that!(run.headers.get("tenant").map(String::as_str), some(eq("acc")));
    expect_that!(run.headers.get("authorization"), none());
    let left: u64 = run.headers["time-budget-ms"].parse().unwrap();
    expect_that!(left, all!(gt(3_000), le(5_000)));
    // The server sends a second answer on the same connection, which must not reach any caller.
    expect_that!(site.send("/a/extra").await, eq(&complete_answer()));
    expect_that!(site.send("/a/x").await, eq(&complete_answer()));
    let (status, text) = get(site.gateway.admin, "/metrics").await.unwrap();
    expect_that!(status, eq(StatusCode::OK));
    expect_that!(text, contains_substring("alderbay_requests_arrived 3"));
}

#[gtest]
#[tokio::test]
async fn truncated_answers_are_retried() {
    let site = start_site("safe").await;
    expect_that!(site.send("/a/cut").await, eq(&complete_answer()));
    expect_that!(site.log.runs("/a/cut").len(), eq(2));
}

#[gtest]
#[tokio::test]
async fn shed_requests_are_retried() {
    let site = start_site("safe").await;
    expect_that!(site.send("/a/shed").await, eq(&complete_answer()));
    let runs = site.log.runs("/a/shed");
    expect_that!(runs.len(), eq(2));
    expect_that!(runs[0].server, not(eq(&runs[1].server)));
}

#[gtest]
#[tokio::test]
async fn single_requests_run_once() {
    let site = start_site("unsafe").await;
    for path in ["/a/cut", "/a/crossed"] {
        let status = site.send(path).await.map(|it| it.0);
        expect_that!(status, some(eq(StatusCode::BAD_GATEWAY)), "{path}");
        expect_that!(site.log.runs(path).len(), eq(1), "{path}");
    }
}

#[gtest]
#[tokio::test]
async fn shed_single_is_retried() {
    let site = start_site("unsafe").await;
    // The server states that it did not run the request, so another server may run it.
    expect_that!(site.send("/a/shed").await, eq(&complete_answer()));
    expect_that!(site.log.runs("/a/shed").len(), eq(2));
}

#[gtest]
#[tokio::test]
async fn streams_resume_elsewhere() {
    let site = start_site("streaming").await;
    let (status, text) = site.send("/a/stream").await.unwrap();
    expect_that!(status, eq(StatusCode::OK));
    let events: String = (1..=4).map(|id| format!("id: {id}\ndata: piece {id}\n\n")).collect();
    expect_that!(text, eq(&events));
    let runs = site.log.runs("/a/stream");
    expect_that!(runs.len(), eq(2));
    expect_that!(runs[1].headers.get("last-event-id").map(String::as_str), some(eq("2")));
    expect_that!(runs[0].server, not(eq(&runs[1].server)));
}

fn all_events() -> Option<(StatusCode, String)> {
    let events: String = (1..=4).map(|id| format!("id: {id}\ndata: piece {id}\n\n")).collect();
    Some((StatusCode::OK, events))
}

#[gtest]
#[tokio::test]
async fn unframed_stream_is_not_asked_twice() {
    let site = start_site("streaming").await;
    expect_that!(site.send("/a/unframed").await, eq(&all_events()));
    expect_that!(site.log.runs("/a/unframed").len(), eq(1));
}

#[gtest]
#[tokio::test]
async fn broken_unframed_stream_is_no_success() {
    for path in ["/a/unframed-cut", "/a/unframed-reset"] {
        let site = start_site("streaming").await;
        expect_that!(site.send(path).await, eq(&all_events()), "{path}");
        let runs = site.log.runs(path);
        expect_that!(runs.len(), eq(2), "{path}");
        expect_that!(runs[1].headers.get("last-event-id").map(String::as_str), some(eq("2")));
    }
}

#[gtest]
#[tokio::test]
async fn dripping_stream_is_resumed() {
    let site = start_site("streaming").await;
    expect_that!(site.send("/a/dripping").await, eq(&all_events()));
    expect_that!(site.log.runs("/a/dripping").len(), eq(2));
}

#[gtest]
#[tokio::test]
async fn slow_stream_that_runs_once_is_not_cut() {
    let site = start_site_with("streaming", false).await;
    let request = || {
        let mut request = request("/a/pausing");
        request.headers_mut().insert("time-budget-ms", "9000".parse().unwrap());
        request
    };
    let answer = connect(site.gateway.listen).await.unwrap().send_request(request()).await.unwrap();
    expect_that!(read(answer).await, eq(&all_events()));
    expect_that!(site.log.runs("/a/pausing").len(), eq(1));
}

#[gtest]
#[tokio::test]
async fn caller_disconnect_cancels() {
    let site = start_site("streaming").await;
    let mut sender = connect(site.gateway.listen).await.unwrap();
    let pending =
        tokio::spawn(async move { sender.send_request(request("/a/hang")).await.map(drop) });
    let deadline = Instant::now() + READY_TIMEOUT;
    while site.log.runs("/a/hang").is_empty() {
        assert!(Instant::now() < deadline);
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    pending.abort();
    while site.log.closed_early() == 0 {
        assert!(Instant::now() < deadline, "the server sees no disconnect");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

#[gtest]
#[tokio::test]
async fn stop_drains_streams() {
    let mut site = start_site("streaming").await;
    let mut sender = connect(site.gateway.listen).await.unwrap();
    let stream = sender.send_request(request("/a/slow")).await.unwrap();
    site.gateway.terminate();
    let deadline = Instant::now() + READY_TIMEOUT;
    while get(site.gateway.ready, "/v1/readyz").await.map(|it| it.0) == Some(StatusCode::OK) {
        assert!(Instant::now() < deadline);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    // Requests that the load balancer in front has sent in the meantime are still served.
    expect_that!(site.send("/a/slow").await.map(|it| it.0), some(eq(StatusCode::OK)));
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

/// Time within which the users require a change to be in force.
const APPLY_LIMIT: Duration = Duration::from_secs(2);

#[gtest]
#[tokio::test]
async fn silent_store_delays_no_change() {
    let site = start_site("safe").await;
    site.store.set_silent(true);
    let deadline = Instant::now() + READY_TIMEOUT;
    while !site.gateway.log_text().contains(r#""stream":"operator""#) {
        assert!(Instant::now() < deadline, "the gateway does not notice that the store is silent");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    // A read that starts while the store is silent is not answered later either.
    let reads = site.store.reads_of("keyed.op");
    while site.store.reads_of("keyed.op") == reads {
        assert!(Instant::now() < deadline, "the gateway does not read again");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    site.store.set_silent(false);
    expect_that!(site.time_to_apply().await, lt(APPLY_LIMIT));
}

#[gtest]
#[tokio::test]
async fn missed_wakeup_delays_no_change() {
    let site = start_site("safe").await;
    site.store.disable_wakeups();
    // The change is published right after a long poll starts, which does not return it before the
    // poll times out.
    let deadline = Instant::now() + READY_TIMEOUT;
    let reads = site.store.reads_of("keyed.op");
    while site.store.reads_of("keyed.op") == reads {
        assert!(Instant::now() < deadline, "the gateway does not read again");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    expect_that!(site.time_to_apply().await, lt(APPLY_LIMIT));
}

#[gtest]
#[tokio::test]
async fn peers_share_the_catalog() {
    let site = start_site("safe").await;
    site.store.set_down(true);
    let second =
        GatewayProcess::start(&launcher(), site.store.fake_server.address, &[site.gateway.peer]);
    second.wait_ready().await;
    let answer = connect(second.listen).await.unwrap().send_request(request("/a/x")).await.unwrap();
    expect_that!(read(answer).await, eq(&complete_answer()));
    // The first gateway keeps serving with the catalog that it has.
    expect_that!(site.send("/a/x").await, eq(&complete_answer()));
}

#[gtest]
#[tokio::test]
async fn catalog_changes_apply() {
    let site = start_site("safe").await;
    let manifest = json!({"version": 9, "routes": [route("/b/", "safe", true)],
        "services": [{"name": "s"}], "tenants": [{"name": "acc", "api-keys": ["k1"]}]});
    site.store.put("keyed.op", "config", Some(&manifest));
    let deadline = Instant::now() + READY_TIMEOUT;
    while site.send("/b/x").await != complete_answer() {
        assert!(Instant::now() < deadline, "the new catalog does not come into force");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let old_path_status = site.send("/a/x").await.map(|it| it.0);
    expect_that!(old_path_status, some(eq(StatusCode::NOT_FOUND)));
}
