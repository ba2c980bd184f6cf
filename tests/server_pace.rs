//! Slow groups and servers without memory get fewer requests, but rather them than a refusal.

use std::{collections::BTreeMap, time::Duration};

use alderbay::{
    routing::{
        AccountRecord, AttemptResult, BudgetSettings, CallerLimits, CatalogSource, CatalogVersion,
        GroupMembership, LoadDetail, LoadReport, RequestNumber, RequestSize, RouteCatalog,
        RouteKind, RouteRecord, RoutingEffect, RoutingEvent, RoutingRequest, ServerRecord,
        ServiceRecord,
    },
    units::{ByteCount, TokenCount},
};
use googletest::prelude::*;

use crate::gateway_routing::{TestGateway, address, request, server, server_of, settings};

const REPORT_MS: u64 = 100;
const GROUP_RANKS: u16 = 4;
const USUAL_MS: u32 = 65;
const MAX_TOKENS: u32 = 90_000;

/// A gateway with two groups of four ranks, and a route whose streams may pause for 120 ms.
struct Site {
    gateway: TestGateway,
    next_number: u64,
}

/// What the agents of the two groups report.
#[derive(Clone, Copy)]
struct GroupReports {
    step_ms: [u32; 2],
    running: [u32; 2],
    used_tokens: [u32; 2],
    has_detail: bool,
}

const USUAL: GroupReports = GroupReports {
    step_ms: [USUAL_MS; 2],
    running: [4; 2],
    used_tokens: [20_000; 2],
    has_detail: true,
};

fn group_of(n: u16) -> usize {
    usize::from((n - 1) / GROUP_RANKS)
}

impl Site {
    fn new(seed: u64) -> Self {
        let record = |n: u16| {
            let name = format!("g-{}", group_of(n)).parse().unwrap();
            let group =
                GroupMembership { name, epoch: 1, rank: (n - 1) % GROUP_RANKS, is_open: true };
            ServerRecord { group: Some(group), group_size: GROUP_RANKS, ..server(n, "a") }
        };
        let servers = (1..=2 * GROUP_RANKS).map(record).collect();
        let budget = BudgetSettings::default();
        let kind = RouteKind::ResumableStream;
        let mut gateway = TestGateway::with(settings(budget, seed), kind, servers);
        let route = gateway.state.catalog().unwrap().route("h", "/a/x").unwrap();
        let gap_objective = Some(Duration::from_millis(120));
        let route = RouteRecord { gap_objective, ..route.clone() };
        let record =
            ServiceRecord { warm_up: Duration::from_secs(3), cold_rate: 0.0, engine: None };
        let account = AccountRecord {
            account: "acc".parse().unwrap(),
            api_keys: vec!["key".into()],
            rank: None,
        };
        let catalog = Box::new(RouteCatalog::new(
            CatalogVersion(2),
            vec![route],
            BTreeMap::from([("s".parse().unwrap(), record)]),
            Some(vec![account]),
            CallerLimits { max_body: ByteCount(1_000) },
        ));
        gateway.dispatch(RoutingEvent::CatalogRead { source: CatalogSource::Store, catalog });
        Self { gateway, next_number: 1_000 }
    }

    fn report(&mut self, reports: GroupReports) {
        self.gateway.now += REPORT_MS * 1_000;
        for n in 1..=2 * GROUP_RANKS {
            let group = group_of(n);
            let detail = LoadDetail {
                step_micros: reports.step_ms[group] * 1_000,
                silent_micros: 0,
                is_broken: false,
                used_tokens: reports.used_tokens[group],
                max_tokens: MAX_TOKENS,
            };
            self.gateway.dispatch(RoutingEvent::LoadReported {
                address: address(n),
                report: LoadReport { running: reports.running[group], waiting: 0, is_open: true },
                gateway_count: 1,
                detail: reports.has_detail.then_some(detail),
            });
        }
    }

    /// Sends a request that ends at once. Returns its server.
    fn send(&mut self, size: Option<RequestSize>) -> Option<String> {
        let number = RequestNumber(self.next_number);
        self.next_number += 1;
        let request = RoutingRequest { size, ..request(number) };
        let effect = self.gateway.dispatch_for_effect(RoutingEvent::RequestArrived(request));
        if server_of(&effect).is_some() {
            self.gateway.end_attempt(number, AttemptResult::Answered);
        }
        self.gateway.dispatch(RoutingEvent::RequestEnded(number));
        server_of(&effect)
    }

    /// Reports for this long, with four requests after each report. Returns the part of the requests
    /// that the first group gets.
    fn first_share(&mut self, reports: GroupReports, rounds: u64) -> f64 {
        let (mut first, mut total) = (0, 0);
        for _ in 0..rounds {
            self.report(reports);
            for _ in 0..4 {
                let server = self.send(None).unwrap();
                total += 1;
                first += i32::from(["i-1", "i-2", "i-3", "i-4"].contains(&server.as_str()));
            }
        }
        f64::from(first) / f64::from(total)
    }
}

#[gtest]
fn a_slow_group_gets_requests_only_where_others_have_no_room() {
    let mut site = Site::new(3);
    site.first_share(USUAL, 20);
    let slow = GroupReports { step_ms: [420, USUAL_MS], ..USUAL };
    site.first_share(slow, 20);
    expect_that!(site.first_share(slow, 20), eq(0.0));
    let full = GroupReports { running: [4, 12], ..slow };
    expect_that!(site.first_share(full, 20), eq(1.0));
}

#[gtest]
fn a_short_shift_of_experts_moves_little() {
    let mut site = Site::new(4);
    site.first_share(USUAL, 20);
    // Steps of up to 150 ms for less than a second, as right after a shift.
    let shifted = GroupReports { step_ms: [130, USUAL_MS], ..USUAL };
    expect_that!(site.first_share(shifted, 8), ge(0.25));
    expect_that!(site.first_share(USUAL, 20), ge(0.25));
}

#[gtest]
fn a_recovered_group_is_not_rushed() {
    let mut site = Site::new(5);
    let slow = GroupReports { step_ms: [420, USUAL_MS], running: [0, 6], ..USUAL };
    site.first_share(slow, 40);
    // Its servers are empty, but gateways come back bit by bit.
    let recovered = GroupReports { step_ms: [USUAL_MS, USUAL_MS], ..slow };
    expect_that!(site.first_share(recovered, 3), le(0.5));
    site.first_share(recovered, 60);
    expect_that!(site.first_share(recovered, 20), ge(0.5));
}

#[gtest]
fn an_idle_group_is_tried_again() {
    let mut site = Site::new(6);
    let slow = GroupReports { step_ms: [420, USUAL_MS], ..USUAL };
    site.first_share(slow, 40);
    let idle = GroupReports { step_ms: [0, USUAL_MS], running: [0, 4], ..USUAL };
    site.first_share(idle, 40);
    expect_that!(site.first_share(idle, 20), ge(0.5));
}

#[gtest]
fn usual_details_change_no_decision() {
    let (mut detailed, mut plain) = (Site::new(7), Site::new(7));
    for round in 0..50 {
        // Load differs between the groups, and steps are longer with more requests.
        let reports = GroupReports {
            running: [round % 11, (round * 7) % 11],
            step_ms: [35 + 4 * (round % 11), 35 + 4 * ((round * 7) % 11)],
            ..USUAL
        };
        detailed.report(reports);
        plain.report(GroupReports { has_detail: false, ..reports });
        for _ in 0..5 {
            expect_that!(detailed.send(None), eq(&plain.send(None)));
        }
    }
}

#[gtest]
fn a_request_goes_where_its_tokens_fit() {
    let mut site = Site::new(8);
    let size = Some(RequestSize { prompt: TokenCount(9_000), output: TokenCount(2_000) });
    let short = MAX_TOKENS - 10_000;
    for _ in 0..20 {
        site.report(GroupReports { used_tokens: [short, 20_000], ..USUAL });
        let server = site.send(size).unwrap();
        expect_that!(["i-5", "i-6", "i-7", "i-8"].contains(&server.as_str()), eq(true));
    }
    // Where it fits nowhere, or the other servers are full, the server decides.
    site.report(GroupReports { used_tokens: [short, short], ..USUAL });
    expect_that!(site.send(size), some(anything()));
    site.report(GroupReports { used_tokens: [short, 20_000], running: [4, 12], ..USUAL });
    expect_that!(site.send(size), some(anything()));
}

#[gtest]
fn the_estimate_comes_with_the_attempt() {
    let mut site = Site::new(9);
    let mut first_event = |reports: GroupReports| {
        site.report(reports);
        let number = RequestNumber(site.next_number);
        site.next_number += 1;
        let arrived = RoutingEvent::RequestArrived(request(number));
        match site.gateway.dispatch_for_effect(arrived) {
            RoutingEffect::Attempt(_, spec) => spec.first_event,
            _ => None,
        }
    };
    expect_that!(first_event(GroupReports { has_detail: false, ..USUAL }), none());
    let usual = first_event(USUAL).unwrap();
    expect_that!(usual, le(Duration::from_millis(u64::from(USUAL_MS) * 3)));
}

/// With fewer streams in progress steps are shorter, so that a crowd is refused in part rather than
/// late as a whole.
#[gtest]
fn long_steps_lower_the_limit_of_load() {
    let at_load =
        |step_ms, running| GroupReports { step_ms: [step_ms; 2], running: [running; 2], ..USUAL };
    let mut site = Site::new(5);
    site.first_share(USUAL, 5);
    site.report(at_load(USUAL_MS, 9));
    expect_that!(site.send(None), some(anything()));
    for _ in 0..60 {
        site.report(at_load(130, 9));
    }
    expect_that!(site.send(None), none(), "three quarters of the slots are too many");
    site.report(at_load(130, 6));
    expect_that!(site.send(None), some(anything()), "half of the slots are free");
    // Steps are short again for half a minute.
    for _ in 0..300 {
        site.report(at_load(USUAL_MS, 9));
    }
    expect_that!(site.send(None), some(anything()));
}
