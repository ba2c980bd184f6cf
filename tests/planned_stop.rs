//! Tests of what a gateway that was asked to stop still serves: what can end before the process does.

use std::time::Duration;

use alderbay::{
    core::{RefusalCode, RunOutcome},
    routing::{
        AnswerProgress, AttemptResult, BudgetSettings, RequestNumber, RouteKind, RoutingEffect,
        RoutingEvent, RoutingRequest, StopSchedule,
    },
    units::Moment,
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
        TestGateway, idle_report, only_rank, refusal_of, report_load, request, server, server_of,
        settings,
    },
    launcher,
    support::{
        gateway::{GatewayProcess, connect, read},
        paced_server::{self, PacedRuns, StreamPace},
        platform_store::FakeStore,
        ports::free_address,
    },
};

const EVENTS: u32 = 56;
const GAP: Duration = Duration::from_millis(100);

async fn start_store() -> FakeStore {
    let store = FakeStore::start(free_address()).await;
    let route = |prefix: &str, timeout_ms: u32| {
        json!({"name": format!("r{timeout_ms}"), "hostname": "h.example", "path-prefix": prefix,
            "kind": "streaming", "timeout-ms": timeout_ms, "target-latency-ms": 400, "service": "s",
            "max-attempts": 2, "public": true, "resumable": true})
    };
    let manifest = json!({"version": 3, "routes": [route("/a/", 8000), route("/short/", 1000)],
        "services": [{"name": "s", "health-check-path": "/healthz", "max-connections": 100}],
        "limits": {"max-body-bytes": 4096}});
    store.put("keyed.op", "config", Some(&manifest));
    store
}

fn draft(id: &str, path: &str) -> Request<Full<Bytes>> {
    Request::post(path)
        .header("host", "h.example")
        .header("request-id", id)
        .header("time-budget-ms", "8000")
        .body(Full::from("a body"))
        .unwrap()
}

/// Guards against streams that come late in a planned stop on kept connections, are taken, and are cut
/// as the process ends.
#[gtest]
#[tokio::test]
async fn late_streams_are_refused_in_time() {
    let store = start_store().await;
    let runs = PacedRuns::default();
    for id in ["i-1", "i-2"] {
        paced_server::start(&store, id, StreamPace::steady(EVENTS, GAP), &runs).await;
    }
    let gateway = GatewayProcess::start(&launcher(), store.fake_server.address, &[]);
    gateway.wait_ready().await;
    // Streams of 5.6 s, sent this long after the signal. The process ends after 7.7 s.
    let delays = [100, 1_000, 2_600, 3_000, 3_100, 3_200, 3_300];
    let mut senders = Vec::new();
    for _ in delays {
        let mut sender = connect(gateway.listen).await.unwrap();
        let answer = sender.send_request(draft("none", "/none/")).await.unwrap();
        expect_that!(read(answer).await.map(|it| it.0), some(eq(StatusCode::NOT_FOUND)));
        senders.push(sender);
    }
    let started = Instant::now();
    gateway.terminate();
    let calls = senders.into_iter().zip(delays).map(|(mut sender, delay)| async move {
        tokio::time::sleep_until(started + Duration::from_millis(delay)).await;
        let answer = sender.send_request(draft(&format!("q-{delay}"), "/a/x")).await;
        let Ok(answer) = answer else { return (delay, None, None) };
        let retry_after = answer.headers().get("retry-after").cloned();
        (delay, retry_after, read(answer).await)
    });
    for (delay, retry_after, answer) in join_all(calls).await {
        let Some((status, text)) = answer else {
            panic!("the stream sent after {delay} ms was cut");
        };
        if status == StatusCode::OK {
            expect_that!(text.matches("id:").count(), eq(EVENTS as usize), "sent after {delay} ms");
        } else {
            expect_that!(status, eq(StatusCode::SERVICE_UNAVAILABLE), "sent after {delay} ms");
            expect_that!(retry_after, some(eq("0.000")), "sent after {delay} ms");
        }
        let is_early = delay < 2_000;
        expect_that!(status == StatusCode::OK, eq(is_early), "sent after {delay} ms");
    }
    expect_that!(runs.all().len(), eq(2), "refused requests reach no server");
}

fn stop(gateway: &mut TestGateway) -> Vec<RoutingEffect> {
    stop_within(gateway, Duration::from_millis(7_700))
}

fn stop_within(gateway: &mut TestGateway, time: Duration) -> Vec<RoutingEffect> {
    let now = Moment(gateway.now);
    gateway.dispatch(RoutingEvent::StopRequested(StopSchedule {
        callers_moved_at: now.after(Duration::from_millis(2_300)),
        ends_at: now.after(time),
    }))
}

fn pass(gateway: &mut TestGateway, time: Duration) {
    gateway.now += u64::try_from(time.as_micros()).unwrap();
}

/// A request arrives with this much time left.
fn arrive(gateway: &mut TestGateway, number: u64, left: Duration) -> RoutingEffect {
    let request = RoutingRequest { caller_timeout: Some(left), ..request(RequestNumber(number)) };
    gateway.dispatch_for_effect(RoutingEvent::RequestArrived(request))
}

fn answer(gateway: &mut TestGateway, number: u64) {
    let (number, result) = (RequestNumber(number), AttemptResult::Answered);
    let progress = AnswerProgress::Whole;
    gateway.dispatch(RoutingEvent::AttemptEnded { number, result, progress });
    gateway.dispatch(RoutingEvent::RequestEnded(number));
}

fn budget() -> BudgetSettings {
    BudgetSettings { retry_ratio: 100.0, retry_burst: 10_000.0, ..BudgetSettings::default() }
}

fn gateway() -> TestGateway {
    let servers = vec![server(1, "a"), server(2, "a")];
    TestGateway::with(settings(budget(), 7), RouteKind::ResumableStream, servers)
}

const REFUSED: (RefusalCode, RunOutcome) = (RefusalCode::ShuttingDown, RunOutcome::NotRun);
const WHOLE_TIME: Duration = Duration::from_secs(8);

/// Callers that can still only come here are served as long as requests of the route usually take.
#[gtest]
fn usual_run_time_decides_before_callers_move() {
    for (run_ms, is_served) in [(1_000, true), (7_000, false)] {
        let mut gateway = gateway();
        let run_time = Duration::from_millis(run_ms);
        for number in 1..200 {
            arrive(&mut gateway, number, WHOLE_TIME);
            pass(&mut gateway, run_time);
            answer(&mut gateway, number);
        }
        stop(&mut gateway);
        pass(&mut gateway, Duration::from_millis(1_500));
        let effect = arrive(&mut gateway, 1_000, WHOLE_TIME);
        expect_that!(server_of(&effect).is_some(), eq(is_served), "streams of {run_time:?}");
        pass(&mut gateway, Duration::from_millis(900));
        let effect = arrive(&mut gateway, 1_001, WHOLE_TIME);
        expect_that!(refusal_of(&effect), some(eq(REFUSED)), "streams of {run_time:?}");
    }
}

#[gtest]
fn request_with_an_early_deadline_is_served() {
    let mut gateway = gateway();
    stop(&mut gateway);
    pass(&mut gateway, Duration::from_secs(6));
    let effect = arrive(&mut gateway, 1, Duration::from_secs(1));
    expect_that!(server_of(&effect), some(anything()));
    let effect = arrive(&mut gateway, 2, Duration::from_secs(2));
    expect_that!(refusal_of(&effect), some(eq(REFUSED)));
}

/// Guards against requests that wait for a server until the process ends, and get no answer.
#[gtest]
fn waiting_request_is_refused_in_time() {
    let mut gateway = TestGateway::new(RouteKind::Idempotent, vec![only_rank()]);
    report_load(&mut gateway, 1, idle_report(false));
    // A caller that comes back waits for a server up to half of the time that it has left.
    let waiting = RoutingRequest {
        caller_timeout: Some(Duration::from_secs(7)),
        ..request(RequestNumber(1))
    };
    let mut effect = gateway.dispatch_for_effect(RoutingEvent::RequestArrived(waiting.clone()));
    let RoutingEffect::Wait(number, _) = effect else { panic!("does not wait: {effect:?}") };
    let wakes = stop_within(&mut gateway, Duration::from_millis(2_700));
    expect_that!(wakes, contains(eq(&RoutingEffect::Resume(number))));
    let mut waited = Duration::ZERO;
    while let RoutingEffect::Wait(_, delay) = effect {
        pass(&mut gateway, delay);
        waited += delay;
        report_load(&mut gateway, 1, idle_report(false));
        let request = RoutingRequest { waited, ..waiting.clone() };
        effect = gateway.dispatch_for_effect(RoutingEvent::WaitEnded(request));
    }
    expect_that!(refusal_of(&effect), some(eq(REFUSED)));
    expect_that!(waited, le(Duration::from_millis(2_400)));
}

/// A stream that has begun is continued, since nobody else can take it over from here.
#[gtest]
fn begun_request_goes_on() {
    let mut gateway = gateway();
    let first = server_of(&arrive(&mut gateway, 1, WHOLE_TIME)).unwrap();
    stop(&mut gateway);
    pass(&mut gateway, Duration::from_secs(4));
    let (number, result) = (RequestNumber(1), AttemptResult::Lost);
    let progress = AnswerProgress::Events(9);
    let event = RoutingEvent::AttemptEnded { number, result, progress };
    let effect = gateway.dispatch_for_effect(event);
    expect_that!(server_of(&effect), some(not(eq(&first))));
}

/// Serves requests that take these times, one after the other.
fn learn(gateway: &mut TestGateway, run_times: impl IntoIterator<Item = Duration>) {
    for (number, run_time) in (1..).zip(run_times) {
        arrive(gateway, number, WHOLE_TIME);
        pass(gateway, run_time);
        answer(gateway, number);
    }
}

/// Guards against requests that may run only once and are cut off as the process ends, since most of
/// their route are short or none has ended yet.
#[gtest]
fn run_once_requests_are_taken_only_if_they_can_end() {
    let (short, long) = (Duration::from_millis(200), Duration::from_millis(6_500));
    for kind in [RouteKind::Single, RouteKind::SingleStream, RouteKind::Idempotent] {
        let servers = || vec![server(1, "a"), server(2, "a")];
        let runs_once = kind != RouteKind::Idempotent;
        let mut untold = TestGateway::with(settings(budget(), 7), kind, servers());
        stop(&mut untold);
        pass(&mut untold, Duration::from_secs(1));
        let effect = arrive(&mut untold, 1, WHOLE_TIME);
        expect_that!(server_of(&effect).is_none(), eq(runs_once), "{kind:?}");
        let effect = arrive(&mut untold, 2, Duration::from_secs(6));
        expect_that!(server_of(&effect), some(anything()), "{kind:?}");
        let mut mixed = TestGateway::with(settings(budget(), 7), kind, servers());
        let run_times = (0..200).map(|it| if it == 20 { long } else { short });
        learn(&mut mixed, run_times);
        stop(&mut mixed);
        pass(&mut mixed, Duration::from_millis(500));
        let effect = arrive(&mut mixed, 1_000, WHOLE_TIME);
        expect_that!(server_of(&effect), some(anything()), "{kind:?}");
        pass(&mut mixed, Duration::from_millis(1_000));
        let effect = arrive(&mut mixed, 1_001, WHOLE_TIME);
        expect_that!(server_of(&effect).is_none(), eq(runs_once), "{kind:?}");
    }
}

/// Guards against a usual time that is too short because failures are quick.
#[gtest]
fn failures_do_not_shorten_the_usual_time() {
    let mut gateway = gateway();
    learn(&mut gateway, [Duration::from_secs(7); 20]);
    for number in 100..200 {
        arrive(&mut gateway, number, WHOLE_TIME);
        pass(&mut gateway, Duration::from_millis(5));
        let (number, result) = (RequestNumber(number), AttemptResult::Answered);
        let progress = AnswerProgress::Head;
        gateway.dispatch(RoutingEvent::AttemptEnded { number, result, progress });
        gateway.dispatch(RoutingEvent::RequestEnded(number));
    }
    stop(&mut gateway);
    pass(&mut gateway, Duration::from_millis(1_500));
    let effect = arrive(&mut gateway, 1_000, WHOLE_TIME);
    expect_that!(refusal_of(&effect), some(eq(REFUSED)));
}

/// Guards against requests that get no answer as the process ends.
#[gtest]
fn end_of_grace_refuses_what_is_left() {
    const UNKNOWN: (RefusalCode, RunOutcome) = (RefusalCode::OutcomeUnknown, RunOutcome::Unknown);
    let mut gateway = gateway();
    arrive(&mut gateway, 1, WHOLE_TIME);
    arrive(&mut gateway, 2, WHOLE_TIME);
    let stalled = AttemptResult::Stalled;
    let silent = RoutingEvent::AttemptEnded {
        number: RequestNumber(2),
        result: stalled,
        progress: AnswerProgress::Nothing,
    };
    gateway.dispatch(silent);
    stop(&mut gateway);
    pass(&mut gateway, Duration::from_millis(7_600));
    for number in [1, 2] {
        let event = RoutingEvent::AttemptEnded {
            number: RequestNumber(number),
            result: AttemptResult::Abandoned,
            progress: AnswerProgress::Nothing,
        };
        let effect = gateway.dispatch_for_effect(event);
        expect_that!(refusal_of(&effect), some(eq(UNKNOWN)), "request {number}");
    }
    let effect = arrive(&mut gateway, 3, Duration::from_millis(50));
    expect_that!(refusal_of(&effect), some(eq(REFUSED)));
}

/// Guards against streams that end with their server, or in its pause, because the gateway stops.
#[gtest]
#[tokio::test]
async fn streams_go_on_elsewhere_during_the_stop() {
    let pause = Some((15, Duration::from_millis(1_300)));
    let paces = [
        StreamPace { cut_after: Some(30), ..StreamPace::steady(50, GAP) },
        StreamPace { pause, ..StreamPace::steady(30, GAP) },
    ];
    let streams = paces.into_iter().map(|pace| async move {
        let store = start_store().await;
        let runs = PacedRuns::default();
        for id in ["i-1", "i-2"] {
            paced_server::start(&store, id, pace.clone(), &runs).await;
        }
        let gateway = GatewayProcess::start(&launcher(), store.fake_server.address, &[]);
        gateway.wait_ready().await;
        let mut sender = connect(gateway.listen).await.unwrap();
        let answer = sender.send_request(draft("q-1", "/a/x")).await.unwrap();
        gateway.terminate();
        let (status, text) = read(answer).await.unwrap_or_default();
        expect_that!(status, eq(StatusCode::OK));
        expect_that!(text.matches("id:").count(), eq(pace.events as usize));
        expect_that!(runs.all().len(), ge(1));
    });
    join_all(streams).await;
}

/// A second signal changes nothing.
#[gtest]
fn second_stop_does_not_extend_the_first() {
    let mut gateway = gateway();
    stop(&mut gateway);
    pass(&mut gateway, Duration::from_secs(5));
    expect_that!(stop(&mut gateway), is_empty());
    let effect = arrive(&mut gateway, 1, Duration::from_secs(4));
    expect_that!(refusal_of(&effect), some(eq(REFUSED)));
}
