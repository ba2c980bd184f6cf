//! Tests of what callers and the log get from a gateway that stops: each request that it has read is
//! answered, or named in its last lines.

use std::{net::SocketAddr, time::Duration};

use futures_util::future::join_all;
use googletest::prelude::*;
use serde_json::Value;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, timeout},
};

use crate::{
    launcher,
    support::{
        gateway::GatewayProcess,
        platform_store::FakeStore,
        ports::spawn,
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

/// What a caller got until its connection ended, or until it gave up.
struct RawAnswer {
    text: String,
    is_reset: bool,
}

impl RawCaller {
    async fn connect(address: SocketAddr) -> Self {
        Self(TcpStream::connect(address).await.unwrap())
    }

    async fn send(&mut self, text: &str) {
        self.0.write_all(text.as_bytes()).await.unwrap();
    }

    async fn read_end(mut self) -> RawAnswer {
        let mut bytes = Vec::new();
        let read = timeout(Duration::from_secs(20), self.0.read_to_end(&mut bytes)).await;
        let is_reset = !matches!(read, Ok(Ok(_)));
        RawAnswer { text: String::from_utf8_lossy(&bytes).into_owned(), is_reset }
    }
}

/// Status of a response.
fn status_of(text: &str) -> Option<u16> {
    text.split(' ').nth(1)?.parse().ok()
}

/// A connection on which one request was answered.
async fn kept_connection(address: SocketAddr) -> RawCaller {
    let mut caller = RawCaller::connect(address).await;
    caller.send(&whole("q-first", "/sa/run/1")).await;
    let mut answer = Vec::new();
    while !answer.ends_with(b"an answer") {
        answer.push(caller.0.read_u8().await.unwrap());
    }
    caller
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
    let ended = site.gateway.log_lines("request ended by the stop");
    let lines = site.gateway.log_lines("request cut off by the stop");
    let stages = [
        ("q-run", &ended, "running"),
        ("q-half", &ended, "reading"),
        ("q-stream", &lines, "delivering"),
        ("q-large", &lines, "delivering"),
    ];
    for (id, lines, stage) in stages {
        let line = named(lines, id);
        expect_that!(line["stage"].as_str(), some(eq(stage)), "{id}: {line}");
        expect_that!(line["route"].as_str(), some(starts_with("r-")), "{id}: {line}");
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
    expect_that!(last["cut_off"].as_u64(), some(eq(3)));
}

/// Guards against requests that get no answer because the grace period ends.
#[gtest]
#[tokio::test]
async fn end_of_grace_answers_requests() {
    let grace = Duration::from_secs(5);
    let mut site = StopSite::start(grace).await;
    let listen = site.gateway.listen;
    let mut calls = Vec::new();
    for (id, path) in [("q-un", "/un/never"), ("q-sa", "/sa/never"), ("q-on", "/on/never")] {
        let mut caller = RawCaller::connect(listen).await;
        caller.send(&whole(id, path)).await;
        site.wait_run(id).await;
        calls.push((id, 502, caller));
    }
    let parts = [
        ("q-length", "Content-Length: 1000\r\n\r\na part"),
        ("q-chunks", "Transfer-Encoding: chunked\r\n\r\n6\r\na part\r\n"),
        ("q-expect", "Expect: 100-continue\r\nContent-Length: 1000\r\n\r\n"),
    ];
    for (id, part) in parts {
        let mut caller = RawCaller::connect(listen).await;
        caller.send(&format!("{}{part}", head(id, "/un/run/10"))).await;
        calls.push((id, 503, caller));
    }
    sleep(Duration::from_millis(200)).await;
    site.gateway.terminate();
    let calls = calls
        .into_iter()
        .map(|(id, status, caller)| async move { (id, status, caller.read_end().await) });
    for (id, status, answer) in join_all(calls).await {
        let text = answer.text.trim_start_matches("HTTP/1.1 100 Continue\r\n\r\n");
        expect_that!(status_of(text), some(eq(status)), "{id}: {text}");
        expect_that!(answer.is_reset, eq(false), "{id}: {text}");
        let may_return = status == 503 || id == "q-sa";
        expect_that!(text.contains("retry-after: 0"), eq(may_return), "{id}: {text}");
    }
    expect_that!(site.gateway.wait_exit(EXIT_SLACK).await, some(eq(3)));
    expect_that!(site.gateway.log_lines("request refused").len(), eq(6));
}

/// Guards against a stream without a length or chunks that looks complete as the process ends.
#[gtest]
#[tokio::test]
async fn cut_off_stream_without_framing_is_reset() {
    let mut site = StopSite::start(Duration::from_secs(5)).await;
    let mut caller = RawCaller::connect(site.gateway.listen).await;
    let request = whole("q-old", "/on/stream/200/50").replace("HTTP/1.1", "HTTP/1.0");
    caller.send(&request).await;
    site.wait_run("q-old").await;
    site.gateway.terminate();
    let answer = caller.read_end().await;
    expect_that!(answer.text.contains("id: 20\n"), eq(true), "{}", answer.text);
    expect_that!(answer.is_reset, eq(true), "{}", answer.text);
    site.gateway.wait_exit(EXIT_SLACK).await;
}

/// Guards against an answer that is lost with its connection because the caller has sent more.
#[gtest]
#[tokio::test]
async fn last_answer_survives_unread_bytes() {
    let site = StopSite::start(Duration::from_secs(8)).await;
    let mut caller = RawCaller::connect(site.gateway.listen).await;
    caller.send(&whole("q-1", "/un/large/3000000")).await;
    site.wait_run("q-1").await;
    site.gateway.terminate();
    caller.send(&whole("q-2", "/un/run/10")).await;
    sleep(Duration::from_millis(1_000)).await;
    let answer = caller.read_end().await;
    expect_that!(status_of(&answer.text), some(eq(200)));
    expect_that!(answer.text.len(), gt(3_000_000), "reset: {}", answer.is_reset);
}

/// Guards against requests that arrive just before their connections are closed, and get no answer.
#[gtest]
#[tokio::test]
async fn requests_before_the_close_are_answered() {
    let site = StopSite::start(Duration::from_secs(8)).await;
    let listen = site.gateway.listen;
    let mut kept = Vec::new();
    for _ in 0..10 {
        kept.push(kept_connection(listen).await);
    }
    let mut idle = Vec::new();
    for _ in 0..10 {
        idle.push(RawCaller::connect(listen).await);
    }
    site.gateway.terminate();
    sleep(Duration::from_millis(3_300)).await;
    // What comes while the process is held up is there when it closes its connections.
    site.gateway.signal("-STOP");
    let mut calls = Vec::new();
    for (n, mut caller) in kept.into_iter().enumerate() {
        caller.send(&whole(&format!("q-kept-{n}"), "/sa/run/10")).await;
        calls.push(("kept", caller));
    }
    for (n, mut caller) in idle.into_iter().enumerate() {
        caller.send(&whole(&format!("q-idle-{n}"), "/sa/run/10")).await;
        calls.push(("idle", caller));
    }
    for n in 0..10 {
        let mut caller = RawCaller::connect(listen).await;
        caller.send(&whole(&format!("q-new-{n}"), "/sa/run/10")).await;
        calls.push(("new", caller));
    }
    sleep(Duration::from_millis(600)).await;
    site.gateway.signal("-CONT");
    let calls =
        calls.into_iter().map(|(kind, caller)| async move { (kind, caller.read_end().await) });
    for (kind, answer) in join_all(calls).await {
        expect_that!(status_of(&answer.text), some(eq(503)), "{kind}: {:?}", answer.text);
    }
}

/// Guards against a process that outlives a short grace period, in which its requests are cut off.
#[gtest]
#[tokio::test]
async fn short_grace_period_is_kept() {
    let grace = Duration::from_secs(2);
    let mut site = StopSite::start(grace).await;
    let mut caller = RawCaller::connect(site.gateway.listen).await;
    caller.send(&whole("q-never", "/un/never")).await;
    site.wait_run("q-never").await;
    site.gateway.terminate();
    let exit = site.gateway.wait_exit(grace).await;
    expect_that!(exit, some(anything()), "{}", site.gateway.log_text());
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

/// What a caller got of the answer to its request.
struct Outcome {
    id: String,
    sent_after: Duration,
    run_time: Duration,
    text: String,
}

/// Time after the signal from which new callers go elsewhere.
const CALLERS_MOVED: Duration = Duration::from_millis(2_300);
/// Time after the signal from which idle connections are closed.
const CLOSED: Duration = Duration::from_millis(3_500);
/// Longer than the run of most requests.
const USUAL_RUN: Duration = Duration::from_secs(1);

/// Whether a response came whole.
fn is_whole(text: &str) -> bool {
    let Some((head, body)) = text.split_once("\r\n\r\n") else { return false };
    let length = head.lines().find_map(|it| it.strip_prefix("content-length: "));
    match length.and_then(|it| it.parse::<usize>().ok()) {
        Some(length) => body.len() == length,
        None => body.ends_with("0\r\n\r\n"),
    }
}

/// Each kind of request at each time after the signal, on new and on kept connections.
#[gtest]
#[tokio::test]
async fn requests_around_the_signal_are_answered() {
    let grace = Duration::from_secs(8);
    let site = StopSite::start(grace).await;
    let listen = site.gateway.listen;
    let kinds = ["un", "sa", "on", "re"];
    // Usual run times are short; some requests take longer.
    for kind in kinds {
        let path = if kind == "un" || kind == "sa" { "run/100" } else { "stream/2/50" };
        for n in 0..10 {
            let mut caller = RawCaller::connect(listen).await;
            caller
                .send(
                    &whole(&format!("q-warm-{kind}-{n}"), &format!("/{kind}/{path}"))
                        .replace("Request-Id", "Connection: close\r\nRequest-Id"),
                )
                .await;
            caller.read_end().await;
        }
    }
    let mut calls = Vec::new();
    // Delays keep a distance from the times at which the treatment changes.
    let started = tokio::time::Instant::now() + Duration::from_millis(500);
    for delay in [100, 500, 1_000, 2_000, 2_200, 2_700, 3_000, 3_900, 5_000, 7_000] {
        for kind in kinds {
            for run_ms in [200, 3_000, 5_500] {
                for is_kept in [false, true] {
                    let delay = Duration::from_millis(delay);
                    let id = format!("q-{kind}-{}-{run_ms}-{is_kept}", delay.as_millis());
                    let path = match kind {
                        "un" | "sa" => format!("/{kind}/run/{run_ms}"),
                        _ => format!("/{kind}/stream/{}/50", run_ms / 50),
                    };
                    let kept = if is_kept { Some(kept_connection(listen).await) } else { None };
                    calls.push(async move {
                        tokio::time::sleep_until(started + delay).await;
                        let mut caller = match kept {
                            Some(caller) => caller,
                            None => RawCaller(TcpStream::connect(listen).await.ok()?),
                        };
                        let _ = caller.0.write_all(whole(&id, &path).as_bytes()).await;
                        let answer = caller.read_end().await;
                        let run_time = Duration::from_millis(run_ms);
                        Some(Outcome { id, sent_after: delay, run_time, text: answer.text })
                    });
                }
            }
        }
    }
    tokio::spawn({
        let id = site.gateway.child.id().to_string();
        async move {
            tokio::time::sleep_until(started).await;
            // The others change nothing.
            for signal in ["-TERM", "-HUP", "-TERM"] {
                let mut command = std::process::Command::new("kill");
                assert!(spawn(command.args([signal, &id])).wait().unwrap().success());
                sleep(Duration::from_millis(700)).await;
            }
        }
    });
    for outcome in join_all(calls).await.into_iter().flatten() {
        let Outcome { id, sent_after, run_time, text } = outcome;
        let (status, is_whole) = (status_of(&text), is_whole(&text));
        // Only work that its server still does in the last sixth of the grace period may be cut.
        let outlasts_grace = sent_after + run_time >= grace.mul_f64(5.0 / 6.0);
        let may_be_cut = sent_after <= CALLERS_MOVED
            && outlasts_grace
            && status == Some(200)
            && text.contains("id: ");
        let is_read = site.runs.count(&id) > 0 || !text.is_empty();
        expect_that!(is_whole || may_be_cut || !is_read, eq(true), "{id}: {text}");
        expect_that!(is_read || sent_after >= CLOSED, eq(true), "{id} got no answer");
        if sent_after >= CALLERS_MOVED && sent_after < CLOSED {
            expect_that!(status, some(eq(503)), "{id}: {text}");
        }
        // New callers still come, and their requests are as short as usual.
        if sent_after < CALLERS_MOVED && run_time < USUAL_RUN {
            expect_that!(status, some(eq(200)), "{id}: {text}");
        }
    }
}
