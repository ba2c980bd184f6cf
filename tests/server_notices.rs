//! Tests of what servers say about themselves in their responses: that they leave, or that they want
//! no requests for a while.

use std::{collections::BTreeMap, time::Duration};

use alderbay::{
    core::{RefusalCode, RunOutcome},
    routing::{
        AttemptResult, LimitNotice, RequestNumber, RouteKind, RoutingEffect, RoutingEvent,
        ServerNotice,
    },
    units::Moment,
};
use googletest::prelude::*;
use http::StatusCode;
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{
    gateway_path::{complete_answer, start_site},
    gateway_routing::{SECOND_US, TestGateway, refusal_of, server, server_of},
};

const LEAVING: ServerNotice =
    ServerNotice { is_leaving: true, rest: None, limit: LimitNotice::Absent };

fn resting(rest: Duration) -> ServerNotice {
    ServerNotice { rest: Some(rest), ..ServerNotice::default() }
}

/// Runs requests until one is sent to the server `id`, which answers it with the notice.
fn notice_from(gateway: &mut TestGateway, id: &str, notice: ServerNotice) {
    for _ in 0..200 {
        let (number, effect) = gateway.arrive();
        if server_of(&effect).as_deref() == Some(id) {
            gateway.dispatch(RoutingEvent::ServerNoticed { number, attempt: 1, notice });
        }
        end(gateway, number);
        if server_of(&effect).as_deref() == Some(id) {
            return;
        }
    }
    panic!("no request was sent to {id}");
}

fn end(gateway: &mut TestGateway, number: RequestNumber) {
    gateway.end_attempt(number, AttemptResult::Answered);
    gateway.dispatch(RoutingEvent::RequestEnded(number));
}

/// Number of requests that each server got of the next hundred.
fn next_hundred(gateway: &mut TestGateway) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for _ in 0..100 {
        let (number, effect) = gateway.arrive();
        if let Some(id) = server_of(&effect) {
            *counts.entry(id).or_default() += 1;
            end(gateway, number);
        }
    }
    counts
}

fn ids(counts: &BTreeMap<String, usize>) -> Vec<&str> {
    counts.keys().map(String::as_str).collect()
}

#[gtest]
fn leaving_server_gets_no_work() {
    let servers = || vec![server(1, "a"), server(2, "a")];
    let mut gateway = TestGateway::new(RouteKind::Idempotent, servers());
    notice_from(&mut gateway, "i-1", LEAVING);
    expect_that!(ids(&next_hundred(&mut gateway)), eq(&vec!["i-2"]));
    // The directory still calls it ready, for longer than removed servers are remembered.
    for _ in 0..10 {
        gateway.now += 10 * SECOND_US;
        gateway.dispatch(RoutingEvent::DirectoryRead(servers()));
    }
    expect_that!(ids(&next_hundred(&mut gateway)), eq(&vec!["i-2"]));
    // It started again under the same id.
    let mut restarted = servers();
    restarted[0].started_ms = Some(2);
    gateway.dispatch(RoutingEvent::DirectoryRead(restarted));
    gateway.now += 10 * SECOND_US;
    expect_that!(next_hundred(&mut gateway).contains_key("i-1"), eq(true));
}

#[gtest]
fn resting_server_is_left_alone() {
    let mut gateway = TestGateway::new(RouteKind::Idempotent, vec![server(1, "a"), server(2, "a")]);
    notice_from(&mut gateway, "i-1", resting(Duration::from_secs(5)));
    // An earlier end does not shorten the rest.
    gateway.now += SECOND_US;
    expect_that!(ids(&next_hundred(&mut gateway)), eq(&vec!["i-2"]));
    gateway.now += 4 * SECOND_US - 1;
    expect_that!(ids(&next_hundred(&mut gateway)), eq(&vec!["i-2"]));
    gateway.now += SECOND_US;
    expect_that!(next_hundred(&mut gateway).contains_key("i-1"), eq(true));
}

#[gtest]
fn callers_are_told_when_servers_have_rested() {
    let mut gateway = TestGateway::new(RouteKind::Idempotent, vec![server(1, "a"), server(2, "a")]);
    notice_from(&mut gateway, "i-1", resting(Duration::from_millis(2_500)));
    notice_from(&mut gateway, "i-2", resting(Duration::from_millis(2_200)));
    let (_, effect) = gateway.arrive();
    expect_that!(refusal_of(&effect), some(eq((RefusalCode::Overloaded, RunOutcome::NotRun))));
    let RoutingEffect::Refuse(_, refusal) = effect else { panic!("not refused") };
    // Callers wait for at most a third of the eight seconds that they have.
    let bounds = all!(ge(Duration::from_millis(2_200)), le(Duration::from_millis(2_667)));
    expect_that!(refusal.retry_after, some(bounds));
}

/// What the servers of one id have said, with the incarnation that said it.
#[derive(Default)]
struct ServerPromises {
    started_ms: u64,
    leaving: Option<u64>,
    rest: Option<(u64, u64)>,
}

#[gtest]
fn no_order_of_events_breaks_a_notice() {
    for seed in 0..300 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut promises: [ServerPromises; 4] =
            std::array::from_fn(|_| ServerPromises { started_ms: 1, ..ServerPromises::default() });
        let list = |promises: &[ServerPromises; 4], skip: Option<usize>| {
            (0..4_u16)
                .filter(|n| Some(usize::from(*n)) != skip)
                .map(|n| {
                    let mut record = server(n, "a");
                    record.started_ms = Some(promises[usize::from(n)].started_ms);
                    record
                })
                .collect::<Vec<_>>()
        };
        let mut gateway = TestGateway::new(RouteKind::Idempotent, list(&promises, None));
        let mut open: Vec<(RequestNumber, usize, u64)> = Vec::new();
        for _ in 0..400 {
            gateway.now += rng.random_range(0..SECOND_US / 4);
            match rng.random_range(0..12) {
                0 => {
                    gateway.dispatch(RoutingEvent::DirectoryRead(list(&promises, None)));
                }
                1 => {
                    // A read that lacks a server, as when the store's copy is older.
                    gateway.dispatch(RoutingEvent::StoreRewound);
                    let skip = rng.random_range(0..4);
                    gateway.dispatch(RoutingEvent::DirectoryRead(list(&promises, Some(skip))));
                    gateway.dispatch(RoutingEvent::DirectoryRead(list(&promises, None)));
                }
                2 => {
                    promises[rng.random_range(0..4)].started_ms += 1;
                    gateway.dispatch(RoutingEvent::DirectoryRead(list(&promises, None)));
                }
                3..=4 if !open.is_empty() => {
                    let (number, n, started_ms) = open[rng.random_range(0..open.len())];
                    let notice = if rng.random_bool(0.3) {
                        promises[n].leaving = Some(started_ms);
                        LEAVING
                    } else {
                        let rest = Duration::from_millis(rng.random_range(1..4_000));
                        let end = Moment(gateway.now).after(rest).0;
                        let known = promises[n].rest.filter(|it| it.0 == started_ms);
                        let end = known.map_or(end, |it| it.1.max(end));
                        promises[n].rest = Some((started_ms, end));
                        resting(rest)
                    };
                    gateway.dispatch(RoutingEvent::ServerNoticed { number, attempt: 1, notice });
                }
                5..=6 if !open.is_empty() => {
                    let (number, ..) = open.remove(rng.random_range(0..open.len()));
                    end(&mut gateway, number);
                }
                _ => {
                    let (number, effect) = gateway.arrive();
                    let Some(id) = server_of(&effect) else { continue };
                    let n: usize = id.trim_start_matches("i-").parse().unwrap();
                    let ServerPromises { started_ms, leaving, rest } = &promises[n];
                    let rests = rest.is_some_and(|it| it.0 == *started_ms && gateway.now < it.1);
                    expect_that!(rests, eq(false), "seed {seed}: {id} rests");
                    expect_that!(
                        *leaving == Some(*started_ms),
                        eq(false),
                        "seed {seed}: {id} leaves"
                    );
                    open.push((number, n, *started_ms));
                }
            }
        }
    }
}

#[gtest]
#[tokio::test]
async fn notices_are_read_from_responses() {
    let site = start_site("safe").await;
    // The first server asks for 0.8 s without requests, so the second one runs this.
    expect_that!(site.send("/a/resting").await, eq(&complete_answer()));
    let asking = site.log.runs("/a/resting")[0].server.clone();
    for n in 0..20 {
        expect_that!(site.send(&format!("/a/after{n}")).await, eq(&complete_answer()));
        expect_that!(site.log.runs(&format!("/a/after{n}"))[0].server, not(eq(&asking)));
    }
    // The other server says that it leaves. Both want no work for the moment.
    expect_that!(site.send("/a/leaving").await, eq(&complete_answer()));
    let status = site.send("/a/refused").await.map(|it| it.0);
    expect_that!(status, some(eq(StatusCode::SERVICE_UNAVAILABLE)));
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    for n in 0..20 {
        expect_that!(site.send(&format!("/a/later{n}")).await, eq(&complete_answer()));
        expect_that!(site.log.runs(&format!("/a/later{n}"))[0].server, eq(&asking));
    }
}
