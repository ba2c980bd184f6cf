//! Calls that were set aside because their servers were silent: what such a server says, and how it
//! ends, counts as if the call had been the request's current one.

use std::time::Duration;

use alderbay::{
    routing::{
        AnswerProgress, AttemptResult, RequestNumber, RouteKind, RoutingEffect, RoutingEvent,
        RoutingRequest,
    },
    units::WeightVersion,
};
use bytes::Bytes;
use futures_util::future::join_all;
use googletest::prelude::*;
use http::Request;
use http_body_util::Full;
use serde_json::json;

use crate::{
    gateway_routing::{SECOND_US, TestGateway, request, server, server_of},
    launcher,
    support::{
        gateway::{GatewayProcess, connect, read},
        paced_server::{self, PacedRuns, StreamPace},
        platform_store::FakeStore,
        ports::free_address,
    },
};

const NUMBER: RequestNumber = RequestNumber(500);

fn suspicious_request() -> RoutingRequest {
    RoutingRequest {
        shared_parts: vec!["5a".into(), "bad0".into()],
        weight_version: Some(WeightVersion(1)),
        ..request(NUMBER)
    }
}

/// Starts a gateway and a request with suspicious parts, whose server is returned.
fn start() -> (TestGateway, String) {
    let servers = vec![server(1, "a"), server(2, "a"), server(3, "a")];
    let mut gateway = TestGateway::new(RouteKind::ResumableStream, servers);
    let arrival = RoutingEvent::RequestArrived(suspicious_request());
    let id = server_of(&gateway.dispatch_for_effect(arrival)).unwrap();
    (gateway, id)
}

fn stall(gateway: &mut TestGateway) {
    let (result, progress) = (AttemptResult::Stalled, AnswerProgress::Nothing);
    gateway.dispatch(RoutingEvent::AttemptEnded { number: NUMBER, result, progress });
}

/// Ends the first attempt, as the current one or after it was set aside.
fn end_first(
    gateway: &mut TestGateway,
    is_set_aside: bool,
    (result, progress): (AttemptResult, AnswerProgress),
) -> Vec<RoutingEffect> {
    if !is_set_aside {
        let ended = RoutingEvent::AttemptEnded { number: NUMBER, result, progress };
        return gateway.dispatch(ended);
    }
    stall(gateway);
    let ended = RoutingEvent::SilentAttemptEnded { number: NUMBER, attempt: 1, result, progress };
    gateway.dispatch(ended)
}

/// Guards against servers that end under a request without a trace, as their calls were set aside.
#[gtest]
fn end_of_set_aside_call_is_recorded() {
    for progress in [AnswerProgress::Nothing, AnswerProgress::Begun, AnswerProgress::Head] {
        for is_set_aside in [false, true] {
            let case = format!("{progress:?}, set aside: {is_set_aside}");
            let (mut gateway, id) = start();
            let effects = end_first(&mut gateway, is_set_aside, (AttemptResult::Lost, progress));
            let is_probe = |it: &RoutingEffect| matches!(it, RoutingEffect::ProbeServer { server, .. } if server.as_str() == id);
            expect_that!(effects.iter().any(is_probe), eq(true), "{case}: {effects:?}");
            let probed =
                RoutingEvent::ServerProbed { server: id.parse().unwrap(), has_ended: true };
            gateway.dispatch(probed);
            expect_that!(gateway.state.quarantine().is_empty(), eq(false), "{case}");
        }
    }
}

/// Guards against new requests to a server at whose address another one answered a call that was set
/// aside, or whose weights are not those that the request needs.
#[gtest]
fn refusal_of_set_aside_call_is_noted() {
    for result in [AttemptResult::WrongServer, AttemptResult::OtherWeights] {
        for is_set_aside in [false, true] {
            let (mut gateway, id) = start();
            end_first(&mut gateway, is_set_aside, (result, AnswerProgress::Head));
            gateway.dispatch(RoutingEvent::RequestEnded(NUMBER));
            gateway.now += SECOND_US;
            for n in 0..40 {
                let number = RequestNumber(NUMBER.0 + 1 + n);
                let request = RoutingRequest {
                    number,
                    request_id: format!("q-{n}").parse().unwrap(),
                    ..suspicious_request()
                };
                let effect = gateway.dispatch_for_effect(RoutingEvent::RequestArrived(request));
                expect_that!(
                    server_of(&effect),
                    some(not(eq(&id))),
                    "{result:?}, set aside: {is_set_aside}"
                );
                gateway.end_attempt(number, AttemptResult::Answered);
                gateway.dispatch(RoutingEvent::RequestEnded(number));
            }
        }
    }
}

/// Time until the slow servers of [`notice_of_set_aside_call_is_heard`] answer: longer than a gateway
/// waits before it asks another one.
const HEAD_DELAY: Duration = Duration::from_millis(1_750);

async fn send(gateway: &GatewayProcess, id: &str) -> Option<String> {
    let request = Request::post("/a/x")
        .header("host", "h.example")
        .header("request-id", id)
        .header("time-budget-ms", "8000")
        .body(Full::<Bytes>::default())
        .unwrap();
    let answer = connect(gateway.listen).await?.send_request(request).await.ok()?;
    read(answer).await.map(|it| it.1)
}

/// Guards against new requests to a server that has said that it leaves, or how many requests it
/// takes, in the head of a call that was set aside.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn notice_of_set_aside_call_is_heard() {
    let cases = [
        ("Server-Leaving: 1\r\n", false),
        ("Server-Limit: 0\r\n", false),
        ("Retry-After: 20\r\n", true),
        ("Server-Leaving: 1\r\n", true),
    ];
    join_all(cases.map(|(notice, refuses)| async move {
        let case = format!("{notice:?}, refuses: {refuses}");
        let (store, runs) = (FakeStore::start(free_address()).await, PacedRuns::default());
        let slow = StreamPace {
            head_delay: HEAD_DELAY,
            ..StreamPace::steady(4, Duration::from_millis(20))
        };
        let noticing = StreamPace { notice: notice.into(), refuses, ..slow.clone() };
        paced_server::start(&store, "i-0", noticing, &runs).await;
        paced_server::start(&store, "i-1", slow, &runs).await;
        let manifest = json!({"version": 3, "routes": [{"name": "r", "hostname": "h.example",
                "path-prefix": "/a/", "kind": "streaming", "timeout-ms": 8000,
                "target-latency-ms": 400, "service": "s", "max-attempts": 2, "public": true,
                "resumable": true}],
            "services": [{"name": "s", "health-check-path": "/healthz", "max-connections": 100}],
            "limits": {"max-body-bytes": 4096}});
        store.put("keyed.op", "config", Some(&manifest));
        let gateway = GatewayProcess::start(&launcher(), store.fake_server.address, &[]);
        gateway.wait_ready().await;
        let runs_at = |id: &str| runs.all().iter().filter(|it| it.0 == id).count();
        // Until the first server has been asked first, so that its call was set aside before its head.
        let is_asked_first = || {
            let attempts = gateway.log_lines("attempt started");
            attempts.iter().any(|it| it["server"] == "i-0" && it["attempt"] == 1)
        };
        for n in 0.. {
            assert!(n < 20, "{case}: the first server gets no requests");
            send(&gateway, &format!("q-{n}")).await;
            if is_asked_first() {
                break;
            }
        }
        tokio::time::sleep(HEAD_DELAY).await;
        let before = (runs_at("i-0"), runs_at("i-1"));
        let ids: Vec<String> = (0..4).map(|n| format!("r-{n}")).collect();
        join_all(ids.iter().map(|it| send(&gateway, it))).await;
        expect_that!(runs_at("i-0"), eq(before.0), "{case}: {}", gateway.log_text());
        expect_that!(runs_at("i-1"), gt(before.1), "{case}");
    }))
    .await;
}
