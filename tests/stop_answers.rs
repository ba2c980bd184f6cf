//! Tests of what callers and the log get from a gateway that stops: each request that it has read is
//! answered, or named in its last lines.

use std::{net::SocketAddr, time::Duration};

use googletest::prelude::*;
use serde_json::Value;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::sleep,
};

use crate::{
    launcher,
    support::{
        gateway::GatewayProcess,
        platform_store::FakeStore,
        timed_server::{self, TimedRuns},
    },
};

/// Longest time for which a gateway may live beyond its grace period in these tests.
const EXIT_SLACK: Duration = Duration::from_secs(2);
const ROUTE_TIMEOUT: Duration = Duration::from_secs(20);

/// A gateway, two servers and the store.
struct StopSite {
    gateway: GatewayProcess,
    runs: TimedRuns,
    _store: FakeStore,
}

impl StopSite {
    async fn start(grace: Duration) -> Self {
        let store = timed_server::start_store(ROUTE_TIMEOUT).await;
        let runs = TimedRuns::default();
        for id in ["i-1", "i-2"] {
            timed_server::start(&store, id, &runs).await;
        }
        let address = store.fake_server.address;
        let gateway = GatewayProcess::start_with_grace(&launcher(), address, &[], grace);
        gateway.wait_ready().await;
        Self { gateway, runs, _store: store }
    }

    async fn wait_run(&self, request: &str) {
        for _ in 0..500 {
            if self.runs.count(request) > 0 {
                return;
            }
            sleep(Duration::from_millis(10)).await;
        }
        panic!("no server runs {request}");
    }
}

/// A caller's connection, on which it sends bytes of its choice.
struct RawCaller(TcpStream);

impl RawCaller {
    async fn connect(address: SocketAddr) -> Self {
        Self(TcpStream::connect(address).await.unwrap())
    }

    async fn send(&mut self, text: &str) {
        self.0.write_all(text.as_bytes()).await.unwrap();
    }
}

/// A request with a whole body.
fn whole(id: &str, path: &str) -> String {
    format!("{}Content-Length: 6\r\n\r\na body", head(id, path))
}

/// The head of a request without its end.
fn head(id: &str, path: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {id}\r\nTime-Budget-Ms: 19000\r\n"
    )
}

fn named(lines: &[Value], request: &str) -> Value {
    lines.iter().find(|it| it["request"] == request).cloned().unwrap_or_default()
}

/// Guards against requests that a stopping process leaves without a line in its log.
#[gtest]
#[tokio::test]
async fn cut_off_requests_are_logged() {
    let grace = Duration::from_secs(5);
    let mut site = StopSite::start(grace).await;
    let mut callers = Vec::new();
    for (id, path) in [
        ("q-run", "/un/never"),
        ("q-stream", "/on/stream/200/50"),
        ("q-large", "/un/large/6000000"),
    ] {
        let mut caller = RawCaller::connect(site.gateway.listen).await;
        caller.send(&whole(id, path)).await;
        site.wait_run(id).await;
        callers.push(caller);
    }
    let mut caller = RawCaller::connect(site.gateway.listen).await;
    caller
        .send(&format!("{}Content-Length: 1000\r\n\r\na part", head("q-half", "/un/never")))
        .await;
    callers.push(caller);
    sleep(Duration::from_millis(300)).await;
    site.gateway.terminate();
    let exit = site.gateway.wait_exit(grace + EXIT_SLACK).await;
    expect_that!(exit, some(eq(3)));
    let lines = site.gateway.log_lines("request cut off by the stop");
    let route = |it: &Value| it["route"].as_str().map(str::to_owned);
    for (id, stage) in [
        ("q-run", "running"),
        ("q-half", "reading"),
        ("q-stream", "delivering"),
        ("q-large", "delivering"),
    ] {
        let line = named(&lines, id);
        expect_that!(line["stage"].as_str(), some(eq(stage)), "{id}: {line}");
        expect_that!(route(&line), some(starts_with("r-")), "{id}: {line}");
        expect_that!(line["age_ms"].as_u64(), some(ge(4_500)), "{id}: {line}");
        expect_that!(line["elapsed_ms"].as_u64(), some(ge(4_000)), "{id}: {line}");
    }
    for id in ["q-stream", "q-large"] {
        let line = named(&lines, id);
        expect_that!(line["status"].as_u64(), some(eq(200)), "{id}: {line}");
        expect_that!(line["sent"].as_u64(), some(all!(gt(0), lt(6_000_000))), "{id}: {line}");
    }
    let text = site.gateway.log_text();
    let last: Value = serde_json::from_str(text.lines().last().unwrap()).unwrap();
    expect_that!(last["message"].as_str(), some(eq("stopped")));
    expect_that!(last["cut_off"].as_u64(), some(eq(4)));
}

/// Guards against a process that does not end because nobody reads its log.
#[gtest]
#[tokio::test]
async fn unread_log_does_not_hold_the_exit_up() {
    let store = timed_server::start_store(ROUTE_TIMEOUT).await;
    let mut gateway = GatewayProcess::start_unread(&launcher(), store.fake_server.address);
    timed_server::start(&store, "i-1", &TimedRuns::default()).await;
    gateway.wait_ready().await;
    let mut caller = RawCaller::connect(gateway.listen).await;
    let mut answers = vec![0; 1 << 20];
    for n in 0..2_000 {
        caller.send(&whole(&format!("q-{n}"), "/none/")).await;
        assert!(caller.0.read(&mut answers).await.unwrap() > 0);
    }
    drop(caller);
    gateway.terminate();
    expect_that!(gateway.wait_exit(Duration::from_secs(8)).await, some(eq(0)));
}

/// Signals that a process catches, as a mask of bits.
fn caught_signals(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let mask = status.lines().find_map(|it| it.strip_prefix("SigCgt:")).unwrap();
    u64::from_str_radix(mask.trim(), 16).unwrap()
}

/// Guards against a process that a signal kills because it has just started.
#[gtest]
#[tokio::test]
async fn signals_are_caught_before_callers_come() {
    const HANGUP: u64 = 1 << 0;
    const TERMINATE: u64 = 1 << 14;
    let store = timed_server::start_store(ROUTE_TIMEOUT).await;
    for _ in 0..5 {
        let mut gateway = GatewayProcess::start_with_grace(
            &launcher(),
            store.fake_server.address,
            &[],
            Duration::from_secs(4),
        );
        while std::net::TcpStream::connect(gateway.peer).is_err() {}
        let caught = caught_signals(gateway.child.id());
        expect_that!(caught & HANGUP, eq(HANGUP));
        expect_that!(caught & TERMINATE, eq(TERMINATE));
        gateway.signal("-HUP");
        gateway.terminate();
        expect_that!(gateway.wait_exit(Duration::from_secs(5)).await, some(eq(0)));
    }
}
