//! Tests of what counts as evidence that a part of prompts ends servers, and of its exchange between
//! many gateways, without processes.

use std::{collections::BTreeMap, time::Duration};

use alderbay::{
    core::{RefusalCode, RunOutcome},
    routing::{
        AnswerProgress, AttemptResult, BudgetSettings, QuarantineTable, RequestNumber, RouteKind,
        RoutingChange, RoutingEffect, RoutingEvent, RoutingRequest, SuspectInput,
    },
    units::{InputDigest, Moment, RequestId, ServerId},
};
use googletest::prelude::*;
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IteratorRandom};

use crate::gateway_routing::{TestGateway, refusal_of, request, server, server_of, settings};

const SECOND: u64 = 1_000_000;
const MILLISECOND: u64 = 1_000;

fn part(text: &str) -> InputDigest {
    InputDigest::of_part(&"s".parse().unwrap(), text)
}

fn parts(texts: &[&str]) -> Vec<InputDigest> {
    texts.iter().map(|it| part(it)).collect()
}

/// What is known of a request's prompt.
fn prompt(texts: &[&str]) -> SuspectInput {
    SuspectInput { parts: parts(texts), is_confirmed: true, content: None }
}

/// One gateway's table with a simulated clock.
#[derive(Default)]
struct TestTable {
    table: QuarantineTable,
    now: u64,
    next_request: u32,
}

impl TestTable {
    /// A server ends as it begins to answer a request with these parts.
    fn end(&mut self, server: &str, texts: &[&str]) -> Vec<RoutingChange> {
        self.next_request += 1;
        let request: RequestId = format!("q-{}", self.next_request).parse().unwrap();
        let server: ServerId = server.parse().unwrap();
        self.table.record_end(server, request, prompt(texts), Moment(self.now)).changes
    }

    /// A server ends as it runs a request with these parts, and nothing of its answer has arrived.
    fn end_silently(&mut self, server: &str, texts: &[&str]) {
        self.next_request += 1;
        let request: RequestId = format!("q-{}", self.next_request).parse().unwrap();
        let input = SuspectInput { is_confirmed: false, ..prompt(texts) };
        self.table.record_end(server.parse().unwrap(), request, input, Moment(self.now));
    }

    fn harmless(&mut self, texts: &[&str]) {
        self.table.record_harmless(&prompt(texts), Moment(self.now));
    }

    fn pass(&mut self, micros: u64) {
        self.now += micros;
    }

    fn is_blocked(&self, texts: &[&str]) -> bool {
        self.table.blocked_part(&parts(texts)).is_some()
    }
}

#[gtest]
fn two_ends_block_a_part() {
    let mut table = TestTable::default();
    table.harmless(&["a"]);
    expect_that!(table.end("i-1", &["a", "bad"]), is_empty());
    expect_that!(table.is_blocked(&["a", "bad"]), eq(false));
    table.pass(SECOND);
    expect_that!(table.end("i-2", &["a", "bad"]), len(eq(1)));
    expect_that!(table.is_blocked(&["b", "bad"]), eq(true));
    expect_that!(table.is_blocked(&["a", "b"]), eq(false));
}

#[gtest]
fn first_part_is_not_blocked_alone() {
    // No answer has gone on yet, as after all gateways have started again.
    let mut table = TestTable::default();
    for server in ["i-1", "i-2", "i-3"] {
        table.end(server, &["a", "bad"]);
        table.pass(SECOND);
    }
    // The end of another server, by coincidence as it began to answer a sound request.
    table.end("i-4", &["a", "rare"]);
    expect_that!(table.is_blocked(&["a", "bad"]), eq(true));
    expect_that!(table.is_blocked(&["a", "rare"]), eq(false));
    expect_that!(table.is_blocked(&["a"]), eq(false));
    // As soon as one answer goes on, the first part no longer limits the block.
    table.harmless(&["a", "rare"]);
    expect_that!(table.is_blocked(&["b", "bad"]), eq(true));
}

/// Servers may share another cause, such as a rack without power, and five at once show that gateways
/// must not wait for another moment: as many requests with the part may come at once again.
#[gtest]
fn many_ends_at_once_block_a_part() {
    for (count, is_blocked) in [(4, false), (5, true), (8, true)] {
        let mut table = TestTable::default();
        for n in 0..count {
            table.end(&format!("i-{n}"), &["a", "b"]);
            table.pass(10 * MILLISECOND);
        }
        expect_that!(table.is_blocked(&["a", "b"]), eq(is_blocked), "{count} ends");
        // All prompts begin with it.
        expect_that!(table.is_blocked(&["a", "c"]), eq(false), "{count} ends");
        // Another request with the part was in progress at a server that did not end.
        table.harmless(&["a", "b"]);
        expect_that!(table.is_blocked(&["a", "b"]), eq(false), "{count} ends");
    }
}

#[gtest]
fn ends_at_once_do_not_block_known_parts() {
    let mut table = TestTable::default();
    table.harmless(&["a", "b"]);
    for n in 0..8 {
        table.end(&format!("i-{n}"), &["a", "b"]);
        table.pass(10 * MILLISECOND);
    }
    expect_that!(table.is_blocked(&["a", "b"]), eq(false));
}

#[gtest]
fn ends_at_once_before_any_answer_block_no_first_part() {
    let mut table = TestTable::default();
    for n in 0..8 {
        table.end(&format!("i-{n}"), &["a"]);
        table.pass(10 * MILLISECOND);
    }
    expect_that!(table.is_blocked(&["a"]), eq(false));
}

/// Nothing of the answer arrived: it may have been lost, or the request only waited there.
#[gtest]
fn four_ends_without_an_answer_block_a_part() {
    let mut table = TestTable::default();
    table.harmless(&["a"]);
    for n in 0..4 {
        expect_that!(table.is_blocked(&["a", "bad"]), eq(false), "{n} ends");
        table.end_silently(&format!("i-{n}"), &["a", "bad"]);
        table.pass(SECOND);
    }
    expect_that!(table.is_blocked(&["a", "bad"]), eq(true));
    // Another gateway learns the same from its records.
    let mut other = QuarantineTable::default();
    other.merge(table.table.reports(Moment(table.now)), Moment(table.now));
    expect_that!(other.blocked(), eq(table.table.blocked()));
}

#[gtest]
fn end_without_an_answer_counts_half() {
    let mut table = TestTable::default();
    table.harmless(&["a"]);
    table.end("i-1", &["a", "bad"]);
    table.pass(SECOND);
    table.end_silently("i-2", &["a", "bad"]);
    table.pass(SECOND);
    expect_that!(table.is_blocked(&["a", "bad"]), eq(false));
    table.end_silently("i-3", &["a", "bad"]);
    expect_that!(table.is_blocked(&["a", "bad"]), eq(true));
}

/// Many requests wait at servers that end at once for another reason.
#[gtest]
fn silent_ends_at_once_block_nothing() {
    let mut table = TestTable::default();
    for n in 0..8 {
        table.end_silently(&format!("i-{n}"), &["a", "b"]);
        table.pass(10 * MILLISECOND);
    }
    expect_that!(table.is_blocked(&["a", "b"]), eq(false));
}

#[gtest]
fn one_end_counts_once() {
    let mut table = TestTable::default();
    table.end("i-1", &["a", "b"]);
    // Another gateway, which was slow, reports the same end.
    table.pass(SECOND);
    table.end("i-1", &["a", "b"]);
    expect_that!(table.is_blocked(&["a", "b"]), eq(false));
}

#[gtest]
fn answers_lift_a_false_block() {
    let mut table = TestTable::default();
    table.end("i-1", &["a", "b"]);
    table.pass(SECOND);
    table.end("i-2", &["a", "b"]);
    expect_that!(table.is_blocked(&["a", "b"]), eq(true));
    // An attempt that was in progress when the part was blocked.
    table.harmless(&["a", "b"]);
    expect_that!(table.is_blocked(&["a", "b"]), eq(false));
}

#[gtest]
fn part_that_turns_harmful_is_blocked() {
    let mut table = TestTable::default();
    table.harmless(&["a", "b"]);
    for n in 0..3 {
        table.pass(61 * SECOND);
        table.harmless(&["a"]);
        table.end(&format!("i-{n}"), &["a", "b"]);
    }
    expect_that!(table.is_blocked(&["a", "b"]), eq(true));
    expect_that!(table.is_blocked(&["a"]), eq(false));
}

#[gtest]
fn operator_lifts_a_block() {
    let mut table = TestTable::default();
    table.harmless(&["a"]);
    for server in ["i-1", "i-2"] {
        table.end(server, &["a", "bad"]);
        table.pass(SECOND);
    }
    table.table.lift(part("bad"));
    expect_that!(table.is_blocked(&["a", "bad"]), eq(false));
    // What happens after the order counts again.
    for server in ["i-3", "i-4"] {
        table.end(server, &["a", "bad"]);
        table.pass(SECOND);
    }
    expect_that!(table.is_blocked(&["a", "bad"]), eq(true));
}

#[gtest]
fn invented_parts_push_out_no_block() {
    let mut table = TestTable::default();
    table.harmless(&["a"]);
    for server in ["i-1", "i-2"] {
        table.end(server, &["a", "bad"]);
        table.pass(SECOND);
    }
    for n in 0..10_000 {
        table.pass(SECOND);
        table.end(&format!("i-x{n}"), &["a", &format!("invented{n}")]);
        table.harmless(&[&format!("other{n}")]);
    }
    expect_that!(table.is_blocked(&["a", "bad"]), eq(true));
    let reports = table.table.reports(Moment(table.now));
    expect_that!(reports.len(), le(64));
}

/// Tables of many gateways that exchange their records as their processes do: at news with four
/// random ones in three rounds, and each second with two.
struct TestFleet {
    tables: Vec<QuarantineTable>,
    /// Gateways with news, and the number of rounds left in which they exchange it.
    news: BTreeMap<usize, u32>,
    rng: SmallRng,
    now: u64,
    exchanges: usize,
}

/// Time from one round of exchanges to the next.
const ROUND: u64 = 60 * MILLISECOND;
const NEWS_ROUNDS: u32 = 3;
/// Two ends, each with two pieces of news: the record, and the parts that others know as harmless.
/// Each piece is exchanged with four gateways in three rounds. Four seconds of exchanges with two.
const MAX_EXCHANGES: f64 = 2.0 * 2.0 * 4.0 * 3.0 + 4.0 * 2.0;

impl TestFleet {
    fn new(size: usize, seed: u64) -> Self {
        Self {
            tables: vec![QuarantineTable::default(); size],
            news: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(seed),
            now: 0,
            exchanges: 0,
        }
    }

    fn exchange(&mut self, one: usize, other: usize) {
        self.exchanges += 1;
        let reports = self.tables[one].reports(Moment(self.now));
        if self.tables[other].merge(reports, Moment(self.now)).has_news {
            self.news.insert(other, NEWS_ROUNDS);
        }
        let reports = self.tables[other].reports(Moment(self.now));
        if self.tables[one].merge(reports, Moment(self.now)).has_news {
            self.news.insert(one, NEWS_ROUNDS);
        }
    }

    /// Lets all gateways with news exchange it, and each that has records exchange them with two random
    /// gateways about once a second.
    fn round(&mut self) {
        self.now += ROUND;
        let size = self.tables.len();
        for (one, rounds) in std::mem::take(&mut self.news) {
            if rounds > 1 {
                self.news.entry(one).or_insert(rounds - 1);
            }
            for other in (0..size).choose_multiple(&mut self.rng, 4) {
                self.exchange(one, other);
            }
        }
        for one in 0..size {
            let is_due = self.rng.random_bool(ROUND as f64 / SECOND as f64);
            if is_due && !self.tables[one].is_empty() {
                for other in (0..size).choose_multiple(&mut self.rng, 2) {
                    self.exchange(one, other);
                }
            }
        }
    }

    fn record_end(&mut self, gateway: usize, end: usize, texts: &[&str]) {
        let server = format!("i-{end}").parse().unwrap();
        let request = format!("q-{end}").parse().unwrap();
        let now = Moment(self.now);
        if self.tables[gateway].record_end(server, request, prompt(texts), now).has_news {
            self.news.insert(gateway, NEWS_ROUNDS);
        }
    }
}

#[gtest]
fn all_gateways_learn_within_a_second() {
    for (size, seed) in [(9, 1), (99, 2), (380, 3)] {
        let mut fleet = TestFleet::new(size, seed);
        let subject = |n: usize| format!("subject{n}");
        // Each gateway has seen answers to some subjects only.
        for n in 0..size {
            let known: Vec<String> = (0..5).map(|it| subject((n + it) % 20)).collect();
            let known: Vec<&str> = known.iter().map(String::as_str).collect();
            fleet.tables[n].record_harmless(&prompt(&known), Moment(0));
        }
        for end in 0..2 {
            let gateway = fleet.rng.random_range(0..size);
            fleet.record_end(gateway, end, &[&subject(end), "bad"]);
            (0..17).for_each(|_| fleet.round());
        }
        let harmful = parts(&[&subject(5), "bad"]);
        let knowing = fleet.tables.iter().filter(|it| it.blocked_part(&harmful).is_some());
        expect_that!(knowing.count(), eq(size), "{size} gateways, seed {seed}");
        let sound = (0..20).map(|it| parts(&[&subject(it)]));
        let is_refused = |it: &Vec<InputDigest>| {
            fleet.tables.iter().any(|table| table.blocked_part(it).is_some())
        };
        expect_that!(sound.filter(is_refused).count(), eq(0), "{size} gateways, seed {seed}");
        let per_gateway = fleet.exchanges as f64 / size as f64;
        println!("{size} gateways, seed {seed}: {per_gateway:.1} exchanges begun a gateway");
        expect_that!(per_gateway, lt(MAX_EXCHANGES), "{size} gateways, seed {seed}");
    }
}

/// Guards against an input that stays suspect at other gateways since not all of its records go with
/// an exchange.
#[gtest]
fn excuse_reaches_all_gateways_whatever_the_number_of_records() {
    let mut one = TestTable::default();
    let mut other = QuarantineTable::default();
    for n in 0..60 {
        one.end(&format!("i-{n}"), &["a", "b"]);
        other.merge(one.table.reports(Moment(one.now)), Moment(one.now));
        one.pass(MILLISECOND);
    }
    expect_that!(other.blocked_part(&parts(&["a", "b"])), some(anything()));
    one.harmless(&["a", "b"]);
    // Records of something else, which are newer.
    for n in 0..4 {
        one.pass(SECOND);
        one.end(&format!("i-x{n}"), &["c", "d"]);
    }
    other.merge(one.table.reports(Moment(one.now)), Moment(one.now));
    expect_that!(other.blocked_part(&parts(&["a", "b"])), none());
    expect_that!(other.blocked_part(&parts(&["c", "d"])), some(anything()));
}

#[gtest]
fn restarted_gateway_is_told() {
    let mut fleet = TestFleet::new(9, 4);
    for end in 0..2 {
        fleet.record_end(end, end, &["a", "bad"]);
        (0..17).for_each(|_| fleet.round());
    }
    fleet.tables[3] = QuarantineTable::default();
    let limit = Duration::from_secs(3).as_micros() / u128::from(ROUND);
    for _ in 0..limit {
        fleet.round();
    }
    expect_that!(fleet.tables[3].blocked_part(&parts(&["a", "bad"])), some(anything()));
}

#[gtest]
fn order_of_exchanges_does_not_matter() {
    for seed in 0..200 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut source = TestTable::default();
        for n in 0..6 {
            source.pass(rng.random_range(0..3) * SECOND);
            let texts = [["a", "b"], ["a", "bad"], ["c", "bad"]][rng.random_range(0..3)];
            source.end(&format!("i-{n}"), &texts);
            if rng.random_bool(0.3) {
                source.harmless(&[["a", "b", "c"][rng.random_range(0..3)]]);
            }
        }
        let now = Moment(source.now);
        let mut reports = source.table.reports(now);
        let mut other = QuarantineTable::default();
        while !reports.is_empty() {
            let report = reports.remove(rng.random_range(0..reports.len()));
            other.merge(vec![report.clone()], now);
            other.merge(vec![report], now);
        }
        expect_that!(other.blocked(), eq(source.table.blocked()), "seed {seed}");
    }
}

/// A gateway of two servers that may repeat requests as often as it wants.
fn gateway() -> TestGateway {
    let budget =
        BudgetSettings { retry_ratio: 100.0, retry_burst: 10_000.0, ..BudgetSettings::default() };
    let servers = vec![server(1, "a"), server(2, "a")];
    TestGateway::with(settings(budget, 7), RouteKind::ResumableStream, servers)
}

/// A request with a shared part arrives and is lost as its server begins to answer. Returns the
/// server, the request, and the effect of the loss.
fn lose_at_beginning(
    gateway: &mut TestGateway,
    number: u64,
    shared_part: &str,
) -> (ServerId, RoutingRequest, RoutingEffect) {
    let number = RequestNumber(number);
    let request = RoutingRequest { shared_parts: vec![shared_part.into()], ..request(number) };
    let placed = gateway.dispatch_for_effect(RoutingEvent::RequestArrived(request.clone()));
    let server = server_of(&placed).unwrap().parse().unwrap();
    let (result, progress) = (AttemptResult::Lost, AnswerProgress::Head);
    let ended = RoutingEvent::AttemptEnded { number, result, progress };
    (server, request, gateway.dispatch_for_effect(ended))
}

/// Lets a request wait for the result of the probe, if there is one.
fn wait_for_probe(
    gateway: &mut TestGateway,
    (server, request, mut effect): (ServerId, RoutingRequest, RoutingEffect),
    has_ended: Option<bool>,
) -> RoutingEffect {
    let mut waited = Duration::ZERO;
    while let RoutingEffect::Wait(_, delay) = effect {
        gateway.now += u64::try_from(delay.as_micros()).unwrap();
        waited += delay;
        assert!(waited < Duration::from_secs(1), "waits without end");
        if let Some(has_ended) = has_ended {
            gateway.dispatch(RoutingEvent::ServerProbed { server: server.clone(), has_ended });
        }
        let request = RoutingRequest { waited, ..request.clone() };
        effect = gateway.dispatch_for_effect(RoutingEvent::WaitEnded(request));
    }
    effect
}

#[gtest]
fn lost_connection_is_no_evidence() {
    let mut gateway = gateway();
    let lost = lose_at_beginning(&mut gateway, 1, "rare");
    let first = lost.0.to_string();
    let effect = wait_for_probe(&mut gateway, lost, Some(false));
    expect_that!(server_of(&effect), some(not(eq(&first))));
    expect_that!(gateway.state.quarantine().is_empty(), eq(true));
}

#[gtest]
fn request_that_ended_its_server_is_not_sent_on() {
    for (seen, has_ended) in [("ended", Some(true)), ("unknown", None)] {
        let mut gateway = gateway();
        let lost = lose_at_beginning(&mut gateway, 1, "rare");
        let effect = wait_for_probe(&mut gateway, lost, has_ended);
        let expected = (RefusalCode::ServerEnded, RunOutcome::Ran);
        expect_that!(refusal_of(&effect), some(eq(expected)), "{seen}");
        let RoutingEffect::Refuse(_, refusal) = effect else { panic!("not refused") };
        expect_that!(refusal.retry_after, none(), "{seen}");
    }
}

#[gtest]
fn harmless_prompt_goes_on_at_once() {
    let mut gateway = gateway();
    let number = RequestNumber(1);
    let sound = RoutingRequest { shared_parts: vec!["known".into()], ..request(number) };
    gateway.dispatch(RoutingEvent::RequestArrived(sound));
    gateway.dispatch(RoutingEvent::AnswerSettled(number));
    let (server, _, effect) = lose_at_beginning(&mut gateway, 2, "known");
    expect_that!(server_of(&effect), some(not(eq(&server.to_string()))));
    // The result of the probe does not disturb the attempt in progress.
    gateway.dispatch(RoutingEvent::ServerProbed { server, has_ended: true });
    let number = RequestNumber(2);
    let (result, progress) = (AttemptResult::Answered, AnswerProgress::Whole);
    let ended = RoutingEvent::AttemptEnded { number, result, progress };
    expect_that!(gateway.dispatch_for_effect(ended), eq(&RoutingEffect::Finished(number)));
}
