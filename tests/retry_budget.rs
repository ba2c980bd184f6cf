//! Retries are a bounded share of traffic, whatever fails.

use std::sync::atomic::Ordering;

use googletest::prelude::*;

use crate::{
    launcher,
    support::{
        callers::Caller,
        fleet::{Fleet, FleetPlan, MODEL},
    },
};

const REQUESTS: u64 = 60;
/// Retries that a new entry has at hand; nothing succeeds here that would earn more.
const FIRST_RETRIES: u64 = 10;

#[gtest]
#[tokio::test]
async fn failing_servers_are_not_stormed() {
    let fleet = Fleet::start(FleetPlan::default(), launcher()).await;
    for engine in fleet.engines.values() {
        engine.sends_wrong_id.store(true, Ordering::SeqCst);
    }
    let caller = Caller::new("dues");
    let entry = fleet.entries[0].listen;
    for n in 0..REQUESTS {
        let answer = caller.draft(entry, MODEL, &format!("p{n}"), 1, true).await.unwrap();
        expect_that!(answer.status, ge(500));
        expect_that!(answer.error().1, eq("unknown"), "it reached an engine");
    }
    let started: u64 = fleet.engines.values().map(|it| it.started.load(Ordering::SeqCst)).sum();
    println!("{REQUESTS} requests began {started} times");
    expect_that!(started, ge(REQUESTS));
    expect_that!(started, le(REQUESTS + FIRST_RETRIES));
}
