//! What the gateway tells about retries: which are made or denied, why, and what the share rests on.

use alderbay::routing::{
    AttemptResult, CountSource, RetryNote, RouteKind, RoutingChange, RoutingEffect, RoutingEvent,
    ServerRecord,
};
use googletest::prelude::*;

use crate::gateway_routing::{
    SECOND_US, TestGateway, address, idle_report, report_load, server, server_of,
};

fn servers() -> Vec<ServerRecord> {
    (1..40).map(|n| server(n, "a")).collect()
}

fn notes_of(effects: &[RoutingEffect]) -> Vec<RetryNote> {
    let note = |it: &RoutingEffect| match it {
        RoutingEffect::RetryNoted(note) => Some((**note).clone()),
        _ => None,
    };
    effects.iter().filter_map(note).collect()
}

/// Sends requests whose attempts all end with this result, and returns the decisions on retries.
fn fail_requests(gateway: &mut TestGateway, count: usize, result: AttemptResult) -> Vec<RetryNote> {
    let mut notes = Vec::new();
    for _ in 0..count {
        let (number, mut effect) = gateway.arrive();
        while server_of(&effect).is_some() {
            let event = RoutingEvent::AttemptEnded { number, result, progress: Default::default() };
            let effects = gateway.dispatch(event);
            notes.extend(notes_of(&effects));
            effect = effects.into_iter().next_back().unwrap();
        }
        gateway.dispatch(RoutingEvent::RequestEnded(number));
    }
    notes
}

#[gtest]
fn each_retry_is_told_with_its_reason() {
    let mut gateway = TestGateway::new(RouteKind::Idempotent, servers());
    report_load(&mut gateway, 1, idle_report(true));
    gateway.now += SECOND_US;
    for result in [AttemptResult::Lost, AttemptResult::NotRun, AttemptResult::ServerError] {
        let notes = fail_requests(&mut gateway, 30, result);
        expect_that!(notes.len(), eq(30));
        expect_that!(notes.iter().filter(|it| it.is_allowed).count(), gt(0));
        for note in notes {
            expect_that!(note.reason, eq(result));
            expect_that!(note.service.as_str(), eq("s"));
            expect_that!(note.balance, ge(0.0));
            expect_that!(note.gateways.count, eq(9));
            expect_that!(note.gateways.source, eq(CountSource::Agents));
            expect_that!(note.gateways.age.map(|it| it.as_secs()), some(eq(1)));
        }
        gateway.now += 5 * SECOND_US;
        report_load(&mut gateway, 1, idle_report(true));
        gateway.now += SECOND_US;
    }
}

#[gtest]
fn denied_retries_do_not_flood_the_log() {
    let mut gateway = TestGateway::new(RouteKind::Idempotent, servers());
    let notes = fail_requests(&mut gateway, 60, AttemptResult::Lost);
    let denied: Vec<_> = notes.iter().filter(|it| !it.is_allowed).collect();
    expect_that!(denied.len(), gt(30));
    expect_that!(denied.iter().filter(|it| it.is_logged).count(), eq(16));
    expect_that!(notes.iter().all(|it| it.is_logged || !it.is_allowed), eq(true));
    gateway.now += SECOND_US;
    let later = fail_requests(&mut gateway, 1, AttemptResult::Lost);
    expect_that!(later.iter().all(|it| it.is_logged), eq(true));
}

#[gtest]
fn a_change_of_the_gateway_count_is_told_once() {
    let mut gateway = TestGateway::new(RouteKind::Idempotent, servers());
    let mut report = |gateway_count| {
        let event = RoutingEvent::LoadReported {
            address: address(1),
            report: idle_report(true),
            gateway_count,
            detail: None,
        };
        let effects = gateway.dispatch(event);
        let counted = effects.into_iter().filter_map(|it| match it {
            RoutingEffect::StateChanged(RoutingChange::GatewaysCounted(it)) => Some(it.count),
            _ => None,
        });
        counted.collect::<Vec<u32>>()
    };
    expect_that!(report(9), eq(&vec![9]));
    expect_that!(report(9), is_empty());
    expect_that!(report(8), is_empty());
    expect_that!(report(10), eq(&vec![10]));
}
