//! Evidence on prompts with many parts: what a record holds of them, and what gateways send each other.

use alderbay::{
    routing::{CrashReport, QuarantineTable, RoutingChange, SuspectInput},
    units::{InputDigest, Moment, RequestId, ServerId},
};
use googletest::prelude::*;

const SECOND: u64 = 1_000_000;
/// Largest message of another gateway.
const MAX_MESSAGE_BYTES: usize = 256 << 10;

fn parts(texts: impl IntoIterator<Item = String>) -> Vec<InputDigest> {
    let service = "s".parse().unwrap();
    texts.into_iter().map(|it| InputDigest::of_part(&service, &it)).collect()
}

/// Parts that no other request has, with a harmful one at `place`.
fn invented(n: usize, count: usize, place: usize) -> Vec<InputDigest> {
    let text = |it| match it {
        0 => "first".to_owned(),
        it if it == place => "bad".to_owned(),
        it => format!("x{n}-{it}"),
    };
    parts((0..count).map(text))
}

/// A short prompt with the harmful part.
fn harmful() -> Vec<InputDigest> {
    parts(["first".to_owned(), "bad".to_owned()])
}

/// A server ends as it begins to answer the `n`th request.
fn end(table: &mut QuarantineTable, n: usize, parts: Vec<InputDigest>) -> Vec<RoutingChange> {
    let (server, request): (ServerId, RequestId) =
        (format!("i-{n}").parse().unwrap(), format!("q-{n}").parse().unwrap());
    let input = SuspectInput { parts, is_confirmed: true, content: None };
    table.record_end(server, request, input, Moment(n as u64 * SECOND)).changes
}

fn digest_count(reports: &[CrashReport]) -> usize {
    reports.iter().map(|it| it.parts.len() + it.unconfirmed_parts.len() + it.excused.len()).sum()
}

/// Guards against parts that no record holds, wherever they stand in the prompt.
#[gtest]
fn two_ends_block_a_part_of_a_long_prompt() {
    for (count, place) in [(33, 1), (300, 1), (300, 150), (300, 299), (1_000, 500)] {
        let mut table = QuarantineTable::default();
        end(&mut table, 1, invented(1, count, place));
        end(&mut table, 2, invented(2, count, place));
        let blocked = table.blocked_part(&harmful());
        expect_that!(blocked, some(anything()), "{count} parts, harmful at {place}");
        expect_that!(table.blocked_part(&invented(3, count, 0)), none());
    }
}

/// Guards against a limit that hides the harmful part of each prompt: it drops others each time, and
/// says so.
#[gtest]
fn parts_beyond_the_bound_are_found_later() {
    let mut table = QuarantineTable::default();
    // Sound prompts share the first part, so that only the harmful one explains the ends.
    let first = parts(["first".to_owned()]);
    let sound = SuspectInput { parts: first.clone(), ..SuspectInput::default() };
    table.record_harmless(&sound, Moment(SECOND));
    for n in 1..=24 {
        let changes = end(&mut table, n, invented(n, 3_000, 1_700));
        let is_dropped = |it: &RoutingChange| matches!(it, RoutingChange::EvidenceDropped { .. });
        expect_that!(changes.iter().any(is_dropped), eq(true));
    }
    expect_that!(table.blocked_part(&first), none());
    expect_that!(table.blocked_part(&harmful()), some(anything()));
}

/// A part that is named twice counts once, and the first one keeps its place.
#[gtest]
fn repeated_parts_count_once() {
    let mut table = QuarantineTable::default();
    let repeated = |n: usize| {
        let texts =
            (0..200).map(move |it| if it % 2 == 0 { "first".into() } else { format!("x{n}") });
        parts(texts)
    };
    end(&mut table, 1, repeated(1));
    end(&mut table, 2, repeated(2));
    let reports = table.reports(Moment(2 * SECOND));
    expect_that!(digest_count(&reports), eq(4));
    expect_that!(reports[0].parts[0], eq(parts(["first".to_owned()])[0]));
}

/// Records leave out parts that sound prompts share.
#[gtest]
fn harmless_parts_take_no_room() {
    let mut table = QuarantineTable::default();
    let shared: Vec<String> = (0..900).map(|it| format!("shared{it}")).collect();
    let sound = SuspectInput { parts: parts(shared.clone()), ..SuspectInput::default() };
    table.record_harmless(&sound, Moment(SECOND));
    let mut prompt = parts(shared);
    prompt.insert(1, parts(["bad".to_owned()])[0]);
    for n in 1..=2 {
        expect_that!(end(&mut table, n, prompt.clone()).len(), le(1));
    }
    let reports = table.reports(Moment(2 * SECOND));
    expect_that!(digest_count(&reports), le(2 * 2 * 32));
    expect_that!(table.blocked_part(&prompt).map(|it| it.0), some(eq(prompt[1])));
}

/// Guards against messages that other gateways refuse for their size.
#[gtest]
fn reports_of_long_prompts_fit_a_message() {
    let mut table = QuarantineTable::default();
    for n in 1..=64 {
        end(&mut table, n, invented(n, 1_000, 500));
    }
    let reports = table.reports(Moment(65 * SECOND));
    expect_that!(reports, not(is_empty()));
    expect_that!(serde_json::to_vec(&reports).unwrap().len(), lt(MAX_MESSAGE_BYTES));
    // Another gateway learns from it what ends servers.
    let mut other = QuarantineTable::default();
    other.merge(reports, Moment(66 * SECOND));
    expect_that!(other.blocked_part(&harmful()), some(anything()));
}

/// Guards against a list of blocked parts that grows with the square of their number.
#[gtest]
fn parts_that_always_come_together_are_listed_once() {
    let mut table = QuarantineTable::default();
    let prompt = invented(0, 900, 1);
    for n in 1..=4 {
        end(&mut table, n, prompt.clone());
    }
    expect_that!(table.blocked_part(&prompt), some(anything()));
    let digests: usize = table.blocked().values().map(|it| it.combination.len()).sum();
    expect_that!(digests, le(2 * prompt.len()));
    // A request with only some of them goes on.
    expect_that!(table.blocked_part(&prompt[..800]), none());
}

/// Guards against a part on trial that is sent on, since only another part of the same prompts is listed.
#[gtest]
fn all_parts_on_trial_are_listed() {
    let mut table = QuarantineTable::default();
    let prompt = invented(0, 60, 30);
    for n in 1..=5 {
        let server = format!("i-{n}").parse().unwrap();
        let request = format!("q-{n}").parse().unwrap();
        let input = SuspectInput { parts: prompt.clone(), is_confirmed: false, content: None };
        table.record_end(server, request, input, Moment(SECOND + n));
    }
    let content = InputDigest::of_part(&"s".parse().unwrap(), "another request");
    let now = Moment(2 * SECOND);
    for part in &prompt[1..] {
        expect_that!(table.trials_of(content, &[*part], now), len(eq(1)), "{part}");
    }
}
