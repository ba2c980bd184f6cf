//! A failure domain partitioned from the others and from the log goes on serving, and has the same
//! configuration as the others once the partition ends.

use std::time::Duration;

use alderbay::config::ServiceState;
use googletest::prelude::*;

use crate::{
    launcher,
    support::{
        callers::Caller,
        engine::draft_text,
        fleet::{Fleet, FleetPlan, MODEL},
        load::SteadyLoad,
    },
};

/// The partitioned failure domain.
const PARTITIONED: &str = "south-c";

/// Cuts or restores every link between the failure domain and the others, and its connections to
/// the log.
fn set_partition(fleet: &Fleet, is_cut: bool) {
    for ((entry, agent), link) in &fleet.links {
        let is_inside = |vm: &alderbay::units::VmId| fleet.process(vm).domain == PARTITIONED;
        if is_inside(entry) != is_inside(agent) {
            link.faults.cut(is_cut);
        }
    }
    for process in fleet.running().filter(|it| it.domain == PARTITIONED) {
        process.log_proxy.as_ref().unwrap().faults.cut(is_cut);
    }
}

#[gtest]
#[tokio::test]
async fn partitioned_domain_catches_up() {
    let plan = FleetPlan { is_proxied: true, ..FleetPlan::default() };
    let fleet = Fleet::start(plan, launcher()).await;
    let entries: Vec<_> = fleet.entries.iter().map(|it| it.listen).collect();
    let load = SteadyLoad::start(&Caller::new("dues"), &entries, 2, 10);
    load.wait_completed(30).await;
    set_partition(&fleet, true);
    // An edit is published during the partition; the partitioned domain keeps the last version that
    // it received.
    let version = fleet.set_state("vm/engine-south-a-0", ServiceState::Out);
    for entry in &fleet.entries {
        for n in 0..5 {
            let prompt = format!("{}-{n}", entry.vm);
            let answer = Caller::new("tours").draft(entry.listen, MODEL, &prompt, 4, true).await;
            let answer = answer.unwrap();
            expect_that!(answer.stream(), eq(&(draft_text(&prompt, 4), true)), "{}", answer.text());
        }
    }
    let partitioned_entry = fleet.entries.iter().find(|it| it.domain == PARTITIONED).unwrap();
    expect_that!(partitioned_entry.status().await.unwrap().version, lt(version));
    set_partition(&fleet, false);
    fleet.wait_version(version).await;
    let mut digests = Vec::new();
    for process in fleet.running() {
        digests.push(process.status().await.unwrap().digest);
    }
    expect_that!(digests, each(eq(&digests[0])));
    let tally = load.stop().await;
    expect_that!(tally.wrong, is_empty());
    expect_that!(tally.unanswered, eq(0));
}

#[gtest]
#[tokio::test]
async fn one_way_partition_is_detected() {
    let plan = FleetPlan { is_proxied: true, ..FleetPlan::default() };
    let fleet = Fleet::start(plan, launcher()).await;
    // Requests reach this agent, but its replies are lost.
    let agent: alderbay::units::VmId = "engine-south-a-0".parse().unwrap();
    for ((_, to), link) in &fleet.links {
        if *to == agent {
            link.faults.to_client.lock().unwrap().is_cut = true;
        }
    }
    let caller = Caller::new("dues");
    for entry in &fleet.entries {
        let answer = caller.draft(entry.listen, MODEL, "p", 3, true).await.unwrap();
        expect_that!(answer.stream(), eq(&(draft_text("p", 3), true)), "{}", answer.text());
    }
}

#[gtest]
#[tokio::test]
async fn entry_learns_version_from_peers() {
    let plan = FleetPlan { is_proxied: true, ..FleetPlan::default() };
    let fleet = Fleet::start(plan, launcher()).await;
    // Only this entry has no connection to the log; it learns the version in force from its
    // agents.
    fleet.entries[0].log_proxy.as_ref().unwrap().faults.cut(true);
    let version = fleet.set_state("failure_domain/south-b", ServiceState::Out);
    let took = fleet.wait_version(version).await;
    expect_that!(took, lt(Duration::from_secs(5)));
}
