//! Attempts at groups that make no steps end early; a group that is merely slow keeps them.

use std::time::Duration;

use alderbay::{
    routing::{
        AttemptResult, BudgetSettings, GroupMembership, LoadDetail, LoadReport, RequestNumber,
        RouteKind, RoutingEffect, RoutingEvent, ServerRecord,
    },
    wire::{Datagram, DatagramExtension},
};
use googletest::prelude::*;
use http::{Request, StatusCode};
use serde_json::json;
use tokio::net::UdpSocket;

use crate::{
    gateway_routing::{TestGateway, address, server, server_of, settings},
    launcher,
    support::{
        gateway::{GatewayProcess, connect, read},
        platform_store::FakeStore,
        ports::free_address,
        scripted_server::{self, ServerLog},
    },
};

const MILLIS_US: u64 = 1_000;

/// Servers 1 and 2 are group g-1, 3 and 4 group g-2.
fn ranks() -> Vec<ServerRecord> {
    let record = |n: u16| {
        let name = format!("g-{}", n.div_ceil(2)).parse().unwrap();
        let group = GroupMembership { name, epoch: 1, rank: (n - 1) % 2, is_open: true };
        ServerRecord { group: Some(group), group_size: 2, ..server(n, "a") }
    };
    (1..=4).map(record).collect()
}

fn gateway(retry_burst: f64) -> TestGateway {
    // The first request fills this gateway's part of the burst.
    let budget = BudgetSettings { retry_ratio: 1_000.0, retry_burst, ..BudgetSettings::default() };
    let mut gateway = TestGateway::with(settings(budget, 11), RouteKind::ResumableStream, ranks());
    report_all(&mut gateway, 1..=4, RUNNING);
    gateway
}

/// State of a rank that runs requests, as its agent reports it.
#[derive(Clone, Copy)]
struct RankState {
    is_open: bool,
    silent_ms: u32,
    is_broken: bool,
}

const RUNNING: RankState = RankState { is_open: true, silent_ms: 20, is_broken: false };
const LONG_STEP: RankState = RankState { is_open: false, silent_ms: 450, is_broken: false };
const STALLED: RankState = RankState { is_open: false, silent_ms: 650, is_broken: false };
const BROKEN: RankState = RankState { is_open: false, silent_ms: 10, is_broken: true };

fn detail(rank: RankState) -> LoadDetail {
    LoadDetail {
        step_micros: 60_000,
        silent_micros: rank.silent_ms * 1_000,
        is_broken: rank.is_broken,
        used_tokens: 0,
        max_tokens: 0,
    }
}

fn report(
    gateway: &mut TestGateway,
    n: u16,
    rank: RankState,
    has_detail: bool,
) -> Vec<RoutingEffect> {
    gateway.dispatch(RoutingEvent::LoadReported {
        address: address(n),
        report: LoadReport { running: 2, waiting: 0, is_open: rank.is_open },
        gateway_count: 1,
        detail: has_detail.then(|| detail(rank)),
    })
}

fn report_all(
    gateway: &mut TestGateway,
    ranks: impl IntoIterator<Item = u16>,
    rank: RankState,
) -> Vec<RoutingEffect> {
    ranks.into_iter().flat_map(|n| report(gateway, n, rank, true)).collect()
}

/// Starts attempts until each group has `count`. Returns those at the first group.
fn start_attempts(gateway: &mut TestGateway, count: usize) -> Vec<RequestNumber> {
    let mut first_group = Vec::new();
    for _ in 0..40 {
        let (number, effect) = gateway.arrive();
        if ["i-1", "i-2"].contains(&server_of(&effect).unwrap().as_str()) {
            first_group.push(number);
        } else {
            gateway.end_attempt(number, AttemptResult::Answered);
        }
        if first_group.len() == count {
            break;
        }
    }
    gateway.now += 200 * MILLIS_US;
    report_all(gateway, 3..=4, RUNNING);
    first_group
}

fn ended(effects: &[RoutingEffect]) -> Vec<RequestNumber> {
    let number = |it: &RoutingEffect| match it {
        RoutingEffect::EndAttempt { number, attempt: 1 } => Some(*number),
        _ => None,
    };
    effects.iter().filter_map(number).collect()
}

#[gtest]
fn attempts_at_a_stalled_group_end_at_once() {
    for evidence in [STALLED, BROKEN] {
        let mut gateway = gateway(1_000.0);
        let numbers = start_attempts(&mut gateway, 4);
        expect_that!(ended(&report(&mut gateway, 1, evidence, true)), is_empty());
        expect_that!(ended(&report(&mut gateway, 2, evidence, true)), eq(&numbers));
        // Each attempt ends once, and the request goes to the other group.
        expect_that!(ended(&report(&mut gateway, 1, evidence, true)), is_empty());
        for number in numbers {
            let effect = gateway.end_attempt(number, AttemptResult::Stalled);
            expect_that!(server_of(&effect).unwrap(), any!(eq("i-3"), eq("i-4")));
        }
    }
}

#[gtest]
fn a_slow_group_keeps_its_attempts() {
    let mut gateway = gateway(1_000.0);
    start_attempts(&mut gateway, 4);
    expect_that!(ended(&report_all(&mut gateway, 1..=2, LONG_STEP)), is_empty());
    // One rank that goes on proves that the group does.
    report(&mut gateway, 1, RUNNING, true);
    expect_that!(ended(&report(&mut gateway, 2, STALLED, true)), is_empty());
}

#[gtest]
fn agents_without_details_end_nothing() {
    let mut gateway = gateway(1_000.0);
    start_attempts(&mut gateway, 4);
    for n in [1, 2, 1, 2] {
        expect_that!(report(&mut gateway, n, BROKEN, false), is_empty());
    }
}

#[gtest]
fn old_reports_end_nothing() {
    let mut gateway = gateway(1_000.0);
    start_attempts(&mut gateway, 4);
    expect_that!(ended(&report(&mut gateway, 1, STALLED, true)), is_empty());
    // The first rank went on long ago, for all that is known.
    report(&mut gateway, 1, RUNNING, true);
    gateway.now += 290 * MILLIS_US;
    expect_that!(ended(&report(&mut gateway, 2, STALLED, true)), is_empty());
}

#[gtest]
fn no_more_attempts_end_than_may_be_retried() {
    // The gateway's share is one retry and a half.
    let mut gateway = gateway(7.5);
    let numbers = start_attempts(&mut gateway, 4);
    report(&mut gateway, 1, STALLED, true);
    let effects = report(&mut gateway, 2, STALLED, true);
    expect_that!(ended(&effects), eq(&numbers[..1]));
    expect_that!(ended(&report(&mut gateway, 1, STALLED, true)), is_empty());
    let effect = gateway.end_attempt(numbers[0], AttemptResult::Stalled);
    expect_that!(server_of(&effect), some(anything()));
    expect_that!(ended(&report(&mut gateway, 2, STALLED, true)), is_empty());
}

#[gtest]
fn streams_that_have_begun_end_last() {
    let mut gateway = gateway(1_000.0);
    let numbers = start_attempts(&mut gateway, 3);
    gateway.dispatch(RoutingEvent::AnswerBegan(numbers[0]));
    report(&mut gateway, 1, STALLED, true);
    let expected = vec![numbers[1], numbers[2], numbers[0]];
    expect_that!(ended(&report(&mut gateway, 2, STALLED, true)), eq(&expected));
}

#[gtest]
fn requests_that_run_once_are_not_ended() {
    let budget =
        BudgetSettings { retry_ratio: 100.0, retry_burst: 10_000.0, ..BudgetSettings::default() };
    let mut gateway = TestGateway::with(settings(budget, 11), RouteKind::SingleStream, ranks());
    report_all(&mut gateway, 1..=4, RUNNING);
    start_attempts(&mut gateway, 4);
    expect_that!(ended(&report_all(&mut gateway, 1..=2, STALLED)), is_empty());
}

#[gtest]
fn stuck_groups_get_no_requests() {
    let mut gateway = gateway(1_000.0);
    report_all(&mut gateway, 1..=2, STALLED);
    // An idle rank of the group knows of no stall.
    gateway.dispatch(RoutingEvent::LoadReported {
        address: address(1),
        report: LoadReport { running: 0, waiting: 0, is_open: true },
        gateway_count: 1,
        detail: Some(detail(RankState { silent_ms: 0, ..RUNNING })),
    });
    report(&mut gateway, 2, STALLED, true);
    for _ in 0..10 {
        let (_, effect) = gateway.arrive();
        expect_that!(server_of(&effect).unwrap(), any!(eq("i-3"), eq("i-4")));
    }
}

/// The request would reach its deadline if the attempt at the stalled group were not ended.
#[gtest]
#[tokio::test]
async fn a_request_leaves_a_stalled_group() {
    let store = FakeStore::start(free_address()).await;
    let log = ServerLog::default();
    let mut servers = Vec::new();
    for n in 1..=4_u16 {
        let (id, group, address) = (format!("i-{n}"), n.div_ceil(2), free_address());
        scripted_server::start(address, &id, log.clone()).await;
        let entry = json!({"service": "s", "address": address, "zone": "a", "version": "v1",
            "slots": 12, "state": "ready", "warmup-left-ms": 0, "sequence": 1, "born": 1,
            "group": {"name": format!("g-{group}"), "epoch": 1, "rank": (n - 1) % 2, "state": "open"},
            "size": 2});
        store.put("keyed.servers", &id, Some(&entry));
        servers.push((id, group, address));
    }
    let manifest = json!({"version": 3, "routes": [{"name": "r", "hostname": "h.example",
            "path-prefix": "/a/", "kind": "safe", "timeout-ms": 6000, "target-latency-ms": 5000,
            "service": "s", "max-attempts": 2, "public": false}],
        "services": [{"name": "s", "health-check-path": "/healthz", "max-connections": 100}],
        "tenants": [{"name": "acc", "api-keys": ["k1"]}], "limits": {"max-body-bytes": 4096}});
    store.put("keyed.op", "config", Some(&manifest));
    let gateway = GatewayProcess::start(&launcher(), store.fake_server.address, &[]);
    gateway.wait_ready().await;
    let agents = {
        let (log, to) = (log.clone(), gateway.datagrams);
        tokio::spawn(async move {
            let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
            loop {
                let hanging = log.runs("/a/hang-first").first().map(|it| it.server.clone());
                let hanging = hanging.and_then(|id| servers.iter().find(|it| it.0 == id));
                for (_, group, server) in &servers {
                    let rank = match hanging {
                        Some(it) if it.1 == *group => STALLED,
                        _ => RUNNING,
                    };
                    let message = Datagram::Load {
                        server: *server,
                        report: LoadReport { running: 1, waiting: 0, is_open: rank.is_open },
                        subscribers: 1,
                        gateways: Vec::new(),
                    };
                    let load = Some(detail(rank));
                    let extension = DatagramExtension { load, ..DatagramExtension::default() };
                    let bytes = message.encode_extended(&extension).unwrap();
                    // A datagram may be lost.
                    let _ = socket.send_to(&bytes, to).await;
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        })
    };
    let request = Request::post("/a/hang-first")
        .header("host", "h.example")
        .header("request-id", "q-1")
        .header("time-budget-ms", "5000")
        .header("authorization", "Token k1")
        .body(http_body_util::Full::from("a body"))
        .unwrap();
    let mut caller = connect(gateway.listen).await.unwrap();
    let answer = read(caller.send_request(request).await.unwrap()).await;
    agents.abort();
    expect_that!(answer, some(eq(&(StatusCode::OK, "an answer".to_owned()))));
    let runs = log.runs("/a/hang-first");
    expect_that!(runs.len(), eq(2));
}
