//! Tests of answers whose servers fall silent for a while: nothing that the caller would still get is
//! given up for it.

use std::time::Duration;

use alderbay::{
    core::RefusalCode,
    routing::{
        AnswerProgress, AttemptResult, BudgetSettings, RequestNumber, RouteKind, RoutingEffect,
        RoutingEvent,
    },
};
use bytes::Bytes;
use futures_util::future::join_all;
use googletest::prelude::*;
use http::{Request, StatusCode};
use http_body_util::Full;
use serde_json::json;
use tokio::time::Instant;

use crate::{
    gateway_routing::{
        TestGateway, idle_report, refusal_of, report_load, request, server, server_of, settings,
    },
    launcher,
    support::{
        gateway::{GatewayProcess, connect, read},
        paced_server::{self, PacedRuns, StreamPace},
        platform_store::FakeStore,
        ports::free_address,
    },
};

const EVENTS: u32 = 20;
const GAP: Duration = Duration::from_millis(40);

struct SilentSite {
    _store: FakeStore,
    gateway: GatewayProcess,
    runs: PacedRuns,
}

/// Starts a gateway and a server for each pace.
async fn start_site(paces: &[StreamPace], max_attempts: u32) -> SilentSite {
    let store = FakeStore::start(free_address()).await;
    let runs = PacedRuns::default();
    for (n, pace) in paces.iter().enumerate() {
        paced_server::start(&store, &format!("i-{n}"), pace.clone(), &runs).await;
    }
    let manifest = json!({"version": 3, "routes": [{"name": "r", "hostname": "h.example",
            "path-prefix": "/a/", "kind": "streaming", "timeout-ms": 8000,
            "target-latency-ms": 400, "service": "s", "max-attempts": max_attempts,
            "public": true, "resumable": true}],
        "services": [{"name": "s", "health-check-path": "/healthz", "max-connections": 100}],
        "limits": {"max-body-bytes": 4096}});
    store.put("keyed.op", "config", Some(&manifest));
    let gateway = GatewayProcess::start(&launcher(), store.fake_server.address, &[]);
    gateway.wait_ready().await;
    SilentSite { _store: store, gateway, runs }
}

fn draft(id: &str) -> Request<Full<Bytes>> {
    Request::post("/a/x")
        .header("host", "h.example")
        .header("request-id", id)
        .header("time-budget-ms", "8000")
        .body(Full::from("a body"))
        .unwrap()
}

impl SilentSite {
    /// Sends so many streams at once, and returns their answers; `None` for one that was cut.
    async fn send(&self, count: usize) -> Vec<Option<(StatusCode, String)>> {
        let calls = (0..count).map(|n| async move {
            let mut sender = connect(self.gateway.listen).await?;
            read(sender.send_request(draft(&format!("q-{n}"))).await.ok()?).await
        });
        join_all(calls).await
    }
}

/// All events once and in order.
fn whole_stream() -> String {
    (1..=EVENTS).map(|n| format!("id: {n}\ndata: piece {n}\n\n")).collect()
}

fn pausing(after: u32, pause_ms: u64) -> StreamPace {
    StreamPace {
        pause: Some((after, Duration::from_millis(pause_ms))),
        ..StreamPace::steady(EVENTS, GAP)
    }
}

/// Guards against streams that are given up after a second of silence although nobody else can
/// continue them.
#[gtest]
#[tokio::test]
async fn silent_stream_is_whole() {
    for (paces, max_attempts) in [
        // Nobody else is there.
        (vec![pausing(8, 1_300)], 2),
        // The other one pauses too.
        (vec![pausing(8, 1_300), pausing(8, 1_900)], 2),
        // No other attempt is allowed.
        (vec![pausing(8, 1_300), StreamPace::steady(EVENTS, GAP)], 1),
        // Before the first event, twice.
        (vec![pausing(0, 1_900), pausing(0, 1_900)], 2),
    ] {
        let site = start_site(&paces, max_attempts).await;
        for answer in site.send(4).await {
            let whole = (StatusCode::OK, whole_stream());
            expect_that!(answer, some(eq(&whole)), "{paces:?}, {max_attempts} attempts");
        }
    }
}

/// A server that stays away is left as soon as before.
#[gtest]
#[tokio::test]
async fn other_server_takes_over() {
    let paces = [pausing(8, 6_000), StreamPace::steady(EVENTS, GAP)];
    let site = start_site(&paces, 2).await;
    let started = Instant::now();
    for answer in site.send(4).await {
        expect_that!(answer, some(eq(&(StatusCode::OK, whole_stream()))));
    }
    expect_that!(started.elapsed(), lt(Duration::from_millis(4_000)));
    expect_that!(site.runs.all(), contains(eq(&("i-1".to_owned(), 8))));
}

/// Guards against servers that work on for a caller that has left, while its stream is resumed at one
/// that has sent no head yet.
#[gtest]
#[tokio::test]
async fn left_caller_ends_both_calls() {
    // Both servers pause in the middle, and answer a request that resumes with nothing at all.
    let pace = StreamPace { holds_resumed: true, ..pausing(8, 6_000) };
    let site = start_site(&[pace.clone(), pace], 2).await;
    let mut sender = connect(site.gateway.listen).await.unwrap();
    let answer = sender.send_request(draft("q-1")).await.unwrap();
    let deadline = Instant::now() + Duration::from_secs(4);
    while site.runs.all().len() < 2 {
        assert!(Instant::now() < deadline, "the stream is not resumed");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    expect_that!(site.runs.closed(), eq(0));
    drop((answer, sender));
    tokio::time::sleep(Duration::from_millis(500)).await;
    expect_that!(site.runs.closed(), ge(1), "the call that resumes is still open");
}

/// Guards against a stream that is cut as the server asked to take over refuses.
#[gtest]
#[tokio::test]
async fn refused_takeover_takes_nothing_away() {
    for refusal in [
        "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: {id}\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 500 Internal Server Error\r\nRequest-Id: {id}\r\nResponse-Stamp: s\r\nContent-Length: 4\r\n\r\nfail",
        "",
    ] {
        let pace = StreamPace { resume_answer: Some(refusal.into()), ..pausing(8, 1_500) };
        let site = start_site(&[pace.clone(), pace], 2).await;
        for answer in site.send(4).await {
            expect_that!(answer, some(eq(&(StatusCode::OK, whole_stream()))), "{refusal}");
        }
    }
}

fn gateway(retry_burst: f64) -> TestGateway {
    // The first request fills this gateway's part of the burst.
    let budget = BudgetSettings { retry_ratio: 1_000.0, retry_burst, ..BudgetSettings::default() };
    let servers = vec![server(1, "a"), server(2, "a")];
    let mut gateway = TestGateway::with(settings(budget, 7), RouteKind::ResumableStream, servers);
    // An agent of another server tells the number of gateways.
    report_load(&mut gateway, 9, idle_report(true));
    gateway
}

const NUMBER: RequestNumber = RequestNumber(1);

fn stall(gateway: &mut TestGateway) -> RoutingEffect {
    let (result, progress) = (AttemptResult::Stalled, AnswerProgress::Events(8));
    gateway.dispatch_for_effect(RoutingEvent::AttemptEnded { number: NUMBER, result, progress })
}

fn wait(gateway: &mut TestGateway, effect: &RoutingEffect) -> RoutingEffect {
    let RoutingEffect::Wait(_, delay) = effect else { panic!("does not wait: {effect:?}") };
    gateway.now += u64::try_from(delay.as_micros()).unwrap();
    gateway.dispatch_for_effect(RoutingEvent::WaitEnded(request(NUMBER)))
}

#[gtest]
fn request_without_a_retry_waits_for_its_server() {
    let mut gateway = gateway(0.0);
    let first = gateway.dispatch_for_effect(RoutingEvent::RequestArrived(request(NUMBER)));
    let mut effect = stall(&mut gateway);
    for _ in 0..4 {
        effect = wait(&mut gateway, &effect);
    }
    gateway.dispatch(RoutingEvent::AttemptRevived { number: NUMBER, attempt: 1 });
    // The attempt is the same: it may be lost once more, and counts once.
    let (result, progress) = (AttemptResult::Answered, AnswerProgress::Whole);
    let ended = RoutingEvent::AttemptEnded { number: NUMBER, result, progress };
    expect_that!(gateway.dispatch_for_effect(ended), eq(&RoutingEffect::Finished(NUMBER)));
    expect_that!(server_of(&first), some(anything()));
}

#[gtest]
fn request_is_refused_once_its_silent_server_is_lost() {
    let mut gateway = gateway(0.0);
    gateway.dispatch_for_effect(RoutingEvent::RequestArrived(request(NUMBER)));
    let effect = stall(&mut gateway);
    wait(&mut gateway, &effect);
    let lost = RoutingEvent::SilentAttemptEnded {
        number: NUMBER,
        attempt: 1,
        result: AttemptResult::Lost,
        progress: AnswerProgress::Events(8),
    };
    let effect = gateway.dispatch_for_effect(lost);
    expect_that!(refusal_of(&effect).map(|it| it.0), some(eq(RefusalCode::OutcomeUnknown)));
}

#[gtest]
fn silent_request_ends_at_its_deadline() {
    let mut gateway = gateway(0.0);
    gateway.dispatch_for_effect(RoutingEvent::RequestArrived(request(NUMBER)));
    let mut effect = stall(&mut gateway);
    while let RoutingEffect::Wait(..) = effect {
        effect = wait(&mut gateway, &effect);
    }
    expect_that!(refusal_of(&effect).map(|it| it.0), some(eq(RefusalCode::DeadlineDuringRun)));
    expect_that!(gateway.now, le(18_000_000));
}

/// Asking again while no server has room uses up no retries.
#[gtest]
fn asking_again_spends_no_retry() {
    // Three retries of this gateway.
    let mut gateway = gateway(50.0);
    let first = gateway.dispatch_for_effect(RoutingEvent::RequestArrived(request(NUMBER)));
    let first = server_of(&first).unwrap();
    // Only the silent server is left.
    let remaining = if first == "i-1" { server(1, "a") } else { server(2, "a") };
    gateway.dispatch(RoutingEvent::DirectoryRead(vec![remaining]));
    gateway.now += 1_000_000;
    let mut effect = stall(&mut gateway);
    for _ in 0..4 {
        effect = wait(&mut gateway, &effect);
    }
    gateway.dispatch(RoutingEvent::DirectoryRead(vec![server(1, "a"), server(2, "a")]));
    let effect = wait(&mut gateway, &effect);
    expect_that!(server_of(&effect), some(not(eq(&first))));
}
