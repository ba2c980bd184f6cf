//! A backend server that has just started gets no more concurrent requests than it can serve while
//! it warms up.

use std::sync::atomic::Ordering;

use googletest::prelude::*;
use serde_json::json;

use crate::{
    launcher,
    support::{
        callers::{Caller, wait_until},
        fleet::{Fleet, FleetPlan, WAIT_TIMEOUT},
        load::SteadyLoad,
    },
};

fn single_server_plan(entries_per_domain: usize) -> FleetPlan {
    FleetPlan {
        domains: vec!["south-a"],
        entries_per_domain,
        ledgers_per_domain: 0,
        capacity: json!({
            "cold_concurrency": 2, "warm_concurrency": 16, "warm_up_progress": 64, "slow_factor": 3.0
        }),
        ..FleetPlan::default()
    }
}

#[gtest]
#[tokio::test]
async fn nine_entries_load_cold_server() {
    let fleet = Fleet::start(single_server_plan(9), launcher()).await;
    let engine = fleet.engines.values().next().unwrap().clone();
    let entries: Vec<_> = fleet.entries.iter().map(|it| it.listen).collect();
    let load = SteadyLoad::start(&Caller::new("dues"), &entries, 6, 10);
    load.wait_completed(100).await;
    let tally = load.stop().await;
    expect_that!(tally.wrong, is_empty());
    expect_that!(engine.overloaded.load(Ordering::SeqCst), eq(0));
    expect_that!(
        engine.peak_running.load(Ordering::SeqCst),
        gt(2),
        "the ramp-up never raised the concurrency limit"
    );
}

#[gtest]
#[tokio::test]
async fn restarted_agent_restarts_ramp() {
    let mut fleet = Fleet::start(single_server_plan(3), launcher()).await;
    let engine = fleet.engines.values().next().unwrap().clone();
    let entries: Vec<_> = fleet.entries.iter().map(|it| it.listen).collect();
    let load = SteadyLoad::start(&Caller::new("dues"), &entries, 6, 10);
    load.wait_completed(60).await;
    let agent = fleet.agents[0].vm.clone();
    fleet.process_mut(&agent).kill();
    let is_idle =
        wait_until(WAIT_TIMEOUT, || async { engine.running.load(Ordering::SeqCst) == 0 }).await;
    expect_that!(is_idle, eq(true), "the engine goes on with drafts whose agent is dead");
    engine.make_cold();
    engine.peak_running.store(0, Ordering::SeqCst);
    fleet.restart(&agent);
    load.wait_completed(60).await;
    load.stop().await;
    expect_that!(engine.overloaded.load(Ordering::SeqCst), eq(0));
}

#[gtest]
#[tokio::test]
async fn warm_server_turns_cold() {
    let fleet = Fleet::start(single_server_plan(3), launcher()).await;
    let engine = fleet.engines.values().next().unwrap().clone();
    let entries: Vec<_> = fleet.entries.iter().map(|it| it.listen).collect();
    let load = SteadyLoad::start(&Caller::new("dues"), &entries, 6, 20);
    load.wait_completed(100).await;
    // The engine turns cold and slow, and needs many tokens to become warm again.
    engine.token_ms.store(12, Ordering::SeqCst);
    engine.make_cold();
    let agent = &fleet.agents[0];
    let is_cold_again = wait_until(WAIT_TIMEOUT, || async {
        agent.log_text().contains("its backend server is cold again")
    })
    .await;
    expect_that!(is_cold_again, eq(true), "{}", agent.log_text());
    engine.token_ms.store(2, Ordering::SeqCst);
    load.wait_completed(60).await;
    let tally = load.stop().await;
    expect_that!(tally.wrong, is_empty());
}
