//! A failure domain or a VM that is taken out of service gets no new work, and the domain gets work
//! again once it is back.

use std::time::Duration;

use alderbay::config::ServiceState;
use googletest::prelude::*;
use tokio::time::{Instant, sleep_until};

use crate::{
    launcher,
    support::{
        callers::Caller,
        fleet::{Fleet, FleetPlan},
        load::SteadyLoad,
    },
};

/// Time after which a domain that is taken out of service gets no new work.
const DRAIN_BOUND: Duration = Duration::from_secs(2);
const DOMAIN: &str = "south-a";

#[gtest]
#[tokio::test]
async fn drained_domain_returns() {
    let fleet = Fleet::start(FleetPlan::default(), launcher()).await;
    let entries: Vec<_> = fleet.entries.iter().map(|it| it.listen).collect();
    let load = SteadyLoad::start(&Caller::new("dues"), &entries, 4, 40);
    load.wait_completed(40).await;
    expect_that!(fleet.drafts_started_in(DOMAIN), gt(0));

    let published = Instant::now();
    fleet.set_state(&format!("failure_domain/{DOMAIN}"), ServiceState::Out);
    sleep_until(published + DRAIN_BOUND).await;
    let after_drain = fleet.drafts_started_in(DOMAIN);
    load.wait_completed(40).await;
    expect_that!(fleet.drafts_started_in(DOMAIN), eq(after_drain), "new work after the drain");

    let version = fleet.set_state(&format!("failure_domain/{DOMAIN}"), ServiceState::In);
    fleet.wait_version(version).await;
    load.wait_completed(40).await;
    expect_that!(fleet.drafts_started_in(DOMAIN), gt(after_drain), "no work after the return");

    let tally = load.stop().await;
    expect_that!(tally.wrong, is_empty());
    expect_that!(tally.unanswered, eq(0));
    // The entry in the drained domain refuses requests and reports that they were not run, so
    // callers may retry them at another entry.
    for (code, outcome) in tally.refused.keys() {
        expect_that!((code.as_str(), outcome.as_str()), eq(("shutting_down", "not_run")));
    }
}

#[gtest]
#[tokio::test]
async fn single_vm_drains() {
    let fleet = Fleet::start(FleetPlan::default(), launcher()).await;
    let entries: Vec<_> = fleet.entries.iter().map(|it| it.listen).collect();
    let load = SteadyLoad::start(&Caller::new("dues"), &entries, 2, 20);
    load.wait_completed(20).await;
    let version = fleet.set_state("vm/engine-south-b-0", ServiceState::Out);
    fleet.wait_version(version).await;
    let after_drain = fleet.drafts_started_in("south-b");
    load.wait_completed(20).await;
    expect_that!(fleet.drafts_started_in("south-b"), eq(after_drain));
    let tally = load.stop().await;
    expect_that!(tally.total(), eq(tally.completed), "{tally:?}");
}
