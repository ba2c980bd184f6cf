//! Tests of what counts as evidence that a whole request ends servers, and of how long such a request
//! goes on, without processes.

use std::time::Duration;

use alderbay::{
    core::{RefusalCode, RunOutcome},
    routing::{
        AnswerProgress, AttemptResult, BudgetSettings, QuarantineTable, RequestNumber, RouteKind,
        RoutingEffect, RoutingEvent, RoutingRequest, SuspectInput,
    },
    units::{ContentHash, InputDigest, Moment},
};
use googletest::prelude::*;
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::gateway_routing::{TestGateway, refusal_of, request, server, server_of, settings};

const SECOND: u64 = 1_000_000;

fn content(body: &str) -> ContentHash {
    ContentHash::of_request("POST", "h", "/a/x", body.as_bytes())
}

fn digest(body: &str) -> InputDigest {
    let (service, account) = ("s".parse().unwrap(), "acc".parse().unwrap());
    InputDigest::of_request(&service, Some(&account), content(body))
}

fn input(body: &str) -> SuspectInput {
    SuspectInput { content: Some(digest(body)), ..SuspectInput::default() }
}

#[derive(Default)]
struct TestTable {
    table: QuarantineTable,
    now: u64,
    next_request: u32,
}

impl TestTable {
    fn end(&mut self, server: &str, body: &str) {
        self.next_request += 1;
        let request = format!("q-{}", self.next_request).parse().unwrap();
        self.table.record_end(server.parse().unwrap(), request, input(body), Moment(self.now));
    }

    fn is_blocked(&self, body: &str) -> bool {
        self.table.blocked_request(digest(body)).is_some()
    }
}

#[gtest]
fn two_ends_block_a_request_alone() {
    let mut table = TestTable::default();
    for server in ["i-1", "i-2"] {
        expect_that!(table.is_blocked("bad"), eq(false));
        table.end(server, "bad");
        // In progress on the same server.
        table.end(server, &format!("bystander on {server}"));
        table.now += SECOND;
    }
    expect_that!(table.is_blocked("bad"), eq(true));
    expect_that!(table.is_blocked("bystander on i-1"), eq(false));
    expect_that!(table.is_blocked("another"), eq(false));
    table.table.lift(digest("bad"));
    expect_that!(table.is_blocked("bad"), eq(false));
}

#[gtest]
fn failure_domain_without_power_blocks_no_request() {
    let mut table = TestTable::default();
    for n in 0..5 {
        table.end(&format!("i-{n}"), "in progress everywhere");
        table.now += SECOND / 100;
    }
    expect_that!(table.is_blocked("in progress everywhere"), eq(false));
}

#[gtest]
fn answers_excuse_a_busy_request() {
    let mut table = TestTable::default();
    for n in 0..50 {
        table.end(&format!("i-{n}"), "asked by everybody");
        table.now += SECOND;
        // Answered by another server, or a little earlier by this one.
        table.table.record_harmless(&input("asked by everybody"), Moment(table.now));
        expect_that!(table.is_blocked("asked by everybody"), eq(false), "end {n}");
    }
}

#[gtest]
fn invented_requests_push_out_no_block() {
    let mut table = TestTable::default();
    for server in ["i-1", "i-2"] {
        table.end(server, "bad");
        table.now += SECOND;
    }
    for n in 0..10_000 {
        table.end(&format!("i-x{n}"), &format!("invented {n}"));
        table.table.record_harmless(&input(&format!("other {n}")), Moment(table.now));
        table.now += SECOND;
    }
    expect_that!(table.is_blocked("bad"), eq(true));
    expect_that!(table.table.reports(Moment(table.now)).len(), le(24));
    let mut other = QuarantineTable::default();
    other.merge(table.table.reports(Moment(table.now)), Moment(table.now));
    expect_that!(other.blocked_request(digest("bad")), some(anything()));
}

fn gateway(kind: RouteKind) -> TestGateway {
    let budget =
        BudgetSettings { retry_ratio: 100.0, retry_burst: 10_000.0, ..BudgetSettings::default() };
    let servers = (1..=6).map(|n| server(n, "a")).collect();
    TestGateway::with(settings(budget, 7), kind, servers)
}

/// A request arrives.
fn arrive(gateway: &mut TestGateway, number: u64, body: &str) -> (RoutingRequest, RoutingEffect) {
    let request = RoutingRequest { content: content(body), ..request(RequestNumber(number)) };
    let event = RoutingEvent::RequestArrived(request.clone());
    (request, gateway.dispatch_for_effect(event))
}

/// The server of an attempt ends without a sign of an answer, and the gateway finds that out a little
/// later. Returns what becomes of the request.
fn lose(
    gateway: &mut TestGateway,
    (request, placed): (&RoutingRequest, &RoutingEffect),
) -> RoutingEffect {
    let server: alderbay::units::ServerId = server_of(placed).unwrap().parse().unwrap();
    let (number, progress) = (request.number, AnswerProgress::Nothing);
    let result = AttemptResult::Lost;
    let ended = RoutingEvent::AttemptEnded { number, result, progress };
    let mut effect = gateway.dispatch_for_effect(ended);
    gateway.now += SECOND / 25;
    gateway.dispatch(RoutingEvent::ServerProbed { server, has_ended: true });
    let mut waited = Duration::ZERO;
    while let RoutingEffect::Wait(_, delay) = effect {
        waited += delay;
        assert!(waited < Duration::from_secs(1), "waits without end");
        gateway.now += u64::try_from(delay.as_micros()).unwrap();
        let request = RoutingRequest { waited, ..request.clone() };
        effect = gateway.dispatch_for_effect(RoutingEvent::WaitEnded(request));
    }
    gateway.now += SECOND / 5;
    effect
}

#[gtest]
fn request_is_sent_on_once() {
    let mut gateway = gateway(RouteKind::Idempotent);
    let (first, placed) = arrive(&mut gateway, 1, "bad");
    let second = lose(&mut gateway, (&first, &placed));
    expect_that!(server_of(&second), some(not(eq(&server_of(&placed).unwrap()))));
    let last = lose(&mut gateway, (&first, &second));
    expect_that!(refusal_of(&last), some(eq((RefusalCode::ServerEnded, RunOutcome::Ran))));
    let RoutingEffect::Refuse(_, refusal) = last else { panic!("not refused") };
    expect_that!(refusal.retry_after, none());
    // It comes again under another id.
    let (_, effect) = arrive(&mut gateway, 2, "bad");
    let refused = (RefusalCode::HarmfulRequest, RunOutcome::NotRun);
    expect_that!(refusal_of(&effect), some(eq(refused)));
    let RoutingEffect::Refuse(_, refusal) = effect else { panic!("not refused") };
    expect_that!(refusal.retry_after, none());
    let (_, effect) = arrive(&mut gateway, 3, "sound");
    expect_that!(server_of(&effect), some(anything()));
}

#[gtest]
fn request_known_to_another_gateway_is_not_sent_on() {
    let mut first = gateway(RouteKind::Idempotent);
    let (lost, placed) = arrive(&mut first, 1, "bad");
    lose(&mut first, (&lost, &placed));
    let reports = first.state.quarantine().reports(Moment(first.now));
    let mut second = gateway(RouteKind::Idempotent);
    second.now = first.now + SECOND;
    second.dispatch(RoutingEvent::QuarantineRead(reports));
    let (request, placed) = arrive(&mut second, 1, "bad");
    expect_that!(server_of(&placed), some(anything()));
    let effect = lose(&mut second, (&request, &placed));
    expect_that!(refusal_of(&effect), some(eq((RefusalCode::ServerEnded, RunOutcome::Ran))));
}

#[gtest]
fn call_that_runs_once_is_blocked_after_two_ends() {
    let mut gateway = gateway(RouteKind::Single);
    for number in 1..=2 {
        let (request, placed) = arrive(&mut gateway, number, "bad");
        let effect = lose(&mut gateway, (&request, &placed));
        let refused = (RefusalCode::OutcomeUnknown, RunOutcome::Unknown);
        expect_that!(refusal_of(&effect), some(eq(refused)));
        // A server that ended is back after some seconds, and may be chosen again.
        gateway.now += 3 * SECOND;
    }
    let (_, effect) = arrive(&mut gateway, 3, "bad");
    let refused = (RefusalCode::HarmfulRequest, RunOutcome::NotRun);
    expect_that!(refusal_of(&effect), some(eq(refused)));
}

/// Three servers end at once as they run copies of a request, and the gateway that knows no other
/// sends one copy at a time.
#[gtest]
fn request_on_trial_is_sent_in_one_copy_at_a_time() {
    for (progress, is_sound) in [(AnswerProgress::Nothing, false), (AnswerProgress::Whole, true)] {
        let mut gateway = gateway(RouteKind::Single);
        let copies: Vec<_> = (1..=3).map(|it| arrive(&mut gateway, it, "popular")).collect();
        let servers: std::collections::BTreeSet<_> =
            copies.iter().map(|it| server_of(&it.1).unwrap()).collect();
        expect_that!(servers.len(), eq(3));
        for (request, placed) in &copies {
            let (number, result) = (request.number, AttemptResult::Lost);
            let progress = AnswerProgress::Nothing;
            gateway.dispatch(RoutingEvent::AttemptEnded { number, result, progress });
            let server = server_of(placed).unwrap().parse().unwrap();
            gateway.dispatch(RoutingEvent::ServerProbed { server, has_ended: true });
            gateway.dispatch(RoutingEvent::RequestEnded(number));
        }
        gateway.now += 4 * SECOND;
        let (tried, placed) = arrive(&mut gateway, 4, "popular");
        expect_that!(server_of(&placed), some(anything()));
        let held = (RefusalCode::InputOnTrial, RunOutcome::NotRun);
        for number in 5..20 {
            let (_, effect) = arrive(&mut gateway, number, "popular");
            expect_that!(refusal_of(&effect), some(eq(held)));
            let RoutingEffect::Refuse(_, refusal) = effect else { panic!("not refused") };
            expect_that!(refusal.retry_after, some(anything()));
        }
        let number = tried.number;
        let result = if is_sound { AttemptResult::Answered } else { AttemptResult::Lost };
        gateway.dispatch(RoutingEvent::AttemptEnded { number, result, progress });
        if !is_sound {
            // Nobody else is tried while it is unknown whether the server has ended.
            let (_, effect) = arrive(&mut gateway, 20, "popular");
            expect_that!(refusal_of(&effect), some(eq(held)));
            let server = server_of(&placed).unwrap().parse().unwrap();
            gateway.dispatch(RoutingEvent::ServerProbed { server, has_ended: true });
        }
        let (_, effect) = arrive(&mut gateway, 21, "popular");
        match is_sound {
            true => expect_that!(server_of(&effect), some(anything())),
            false => {
                let blocked = (RefusalCode::HarmfulRequest, RunOutcome::NotRun);
                expect_that!(refusal_of(&effect), some(eq(blocked)));
            }
        }
    }
}

#[gtest]
fn sound_requests_survive_ends_of_servers() {
    for seed in 0..100 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut gateway = gateway(RouteKind::Idempotent);
        let bodies: Vec<String> = (0..20).map(|it| format!("body {it}")).collect();
        for number in 1..400 {
            let body = &bodies[rng.random_range(0..bodies.len())];
            let (request, mut effect) = arrive(&mut gateway, number, body);
            // One server in twenty ends by itself.
            if rng.random_bool(0.05) {
                effect = lose(&mut gateway, (&request, &effect));
            }
            if server_of(&effect).is_some() {
                let (number, result) = (request.number, AttemptResult::Answered);
                let progress = AnswerProgress::Whole;
                gateway.dispatch(RoutingEvent::AttemptEnded { number, result, progress });
            }
            expect_that!(server_of(&effect), some(anything()), "seed {seed}, request {number}");
            gateway.dispatch(RoutingEvent::RequestEnded(request.number));
            gateway.now += rng.random_range(0..SECOND / 4);
        }
    }
}
