//! The retry budget bounds the number of attempts while all servers fail.

use std::sync::atomic::Ordering;

use googletest::prelude::*;

use crate::{
    launcher,
    support::{
        callers::Caller,
        fleet::{Fleet, FleetPlan, MODEL},
    },
};

const REQUEST_COUNT: u64 = 60;
/// Retries in the budget of a new entry; only successes add more, and no request here succeeds.
const INITIAL_RETRIES: u64 = 10;

#[gtest]
#[tokio::test]
async fn retries_stay_within_budget() {
    let fleet = Fleet::start(FleetPlan::default(), launcher()).await;
    for engine in fleet.engines.values() {
        engine.sends_wrong_id.store(true, Ordering::SeqCst);
    }
    let caller = Caller::new("dues");
    let entry = fleet.entries[0].listen;
    for n in 0..REQUEST_COUNT {
        let answer = caller.draft(entry, MODEL, &format!("p{n}"), 1, true).await.unwrap();
        expect_that!(answer.status, ge(500));
        expect_that!(
            answer.error().1,
            eq("unknown"),
            "the request reached an engine, so its outcome is unknown"
        );
    }
    let started: u64 = fleet.engines.values().map(|it| it.started.load(Ordering::SeqCst)).sum();
    println!("{REQUEST_COUNT} requests made {started} attempts");
    expect_that!(started, ge(REQUEST_COUNT));
    expect_that!(started, le(REQUEST_COUNT + INITIAL_RETRIES));
}
