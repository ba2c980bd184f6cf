//! All processes reach the same configuration after concurrent edits, after old log records expire
//! and after an outage of the log.

use std::time::Duration;

use alderbay::{
    config::{ConfigChange, ConfigRecord, EntryValue, ServiceState},
    platform::streams,
    units::ConfigVersion,
};
use googletest::prelude::*;

use crate::{
    launcher,
    support::{
        callers::wait_until,
        fleet::{Fleet, FleetPlan, WAIT_TIMEOUT, edit_of},
    },
};

/// Time within which every process applies an accepted edit.
const APPLY_BOUND: Duration = Duration::from_secs(5);

/// Version and digest of the configuration in each running process.
async fn digests(fleet: &Fleet) -> Vec<(ConfigVersion, u64)> {
    let mut digests = Vec::new();
    for process in fleet.running() {
        let status = process.status().await.unwrap();
        digests.push((status.version, status.digest.0));
    }
    digests
}

fn expect_same_digests(digests: &[(ConfigVersion, u64)]) {
    expect_that!(digests, each(eq(&digests[0])));
}

#[gtest]
#[tokio::test]
async fn concurrent_edits_converge() {
    let fleet = Fleet::start(FleetPlan::default(), launcher()).await;
    // Four operators replace the same revision of the same key; the first edit in the log wins.
    for n in 0..4 {
        let state = if n % 2 == 0 { ServiceState::Out } else { ServiceState::In };
        let change = ConfigChange {
            key: "vm/engine-south-a-0".parse().unwrap(),
            replaces: ConfigVersion(0),
            value: Some(EntryValue::State(state)),
        };
        let edit = ConfigRecord::Edit(edit_of(&format!("operator-{n}"), vec![change]));
        fleet.log.push(streams::CONFIG, serde_json::to_string(&edit).unwrap());
    }
    let took = fleet.wait_version(ConfigVersion(6)).await;
    expect_that!(took, lt(APPLY_BOUND));
    expect_same_digests(&digests(&fleet).await);
    let agent = fleet.process(&"engine-south-a-0".parse().unwrap());
    expect_that!(agent.status().await.unwrap().state, eq(ServiceState::Out));
    // The agent logs why the other edits were rejected, whether it read them from the log or
    // received a snapshot from a peer.
    let reason = "replaces revision 0, but revision 3 is in force";
    let is_logged = wait_until(WAIT_TIMEOUT, || async { agent.log_text().contains(reason) }).await;
    expect_that!(is_logged, eq(true), "{}", agent.log_text());
}

#[gtest]
#[tokio::test]
async fn starts_from_snapshot() {
    let mut fleet = Fleet::start(FleetPlan::default(), launcher()).await;
    // The 200th record makes the processes publish a snapshot.
    for n in 0..200 {
        let state = if n % 2 == 0 { ServiceState::Out } else { ServiceState::In };
        fleet.set_state("vm/no-such-vm", state);
    }
    let log = fleet.log.clone();
    let is_published = wait_until(WAIT_TIMEOUT, || async {
        log.records(streams::CONFIG).iter().any(|it| it.contains(r#""kind":"snapshot""#))
    })
    .await;
    expect_that!(is_published, eq(true));
    fleet.wait_version(ConfigVersion(203)).await;
    fleet.log.expire(streams::CONFIG, 150);
    let vm = fleet.entries[0].vm.clone();
    fleet.restart(&vm);
    let version = fleet.set_state("vm/no-such-vm", ServiceState::Out);
    fleet.wait_version(version).await;
    expect_same_digests(&digests(&fleet).await);
}

#[gtest]
#[tokio::test]
async fn starts_during_log_outage() {
    let mut fleet = Fleet::start(FleetPlan::default(), launcher()).await;
    let version = fleet.set_state("vm/no-such-vm", ServiceState::Out);
    fleet.wait_version(version).await;
    fleet.log.set_down(true);
    let vm = fleet.entries[0].vm.clone();
    fleet.restart(&vm);
    fleet.wait_version(version).await;
    expect_same_digests(&digests(&fleet).await);
    fleet.log.set_down(false);
    let version = fleet.set_state("vm/no-such-vm", ServiceState::In);
    fleet.wait_version(version).await;
    expect_same_digests(&digests(&fleet).await);
}
