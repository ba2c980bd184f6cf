//! One gateway of a failure domain reads the directory from the store and polls the operators'
//! stream; the others follow that gateway, and read the store themselves once it has failed.

use std::time::Duration;

use googletest::prelude::*;
use serde_json::json;
use tokio::time::Instant;

use crate::{
    launcher,
    support::{
        gateway::GatewayProcess, gateway_lists::announce_gateways, platform_store::FakeStore,
        ports::free_address,
    },
};

const WAIT_LIMIT: Duration = Duration::from_secs(20);

fn list_server(store: &FakeStore, id: &str) {
    let entry = json!({"service": "s", "address": free_address(), "zone": "a", "version": "v1",
        "slots": 12, "state": "ready", "warmup-left-ms": 0, "sequence": 1, "born": 1});
    store.put("keyed.servers", id, Some(&entry));
}

async fn wait_for_log(gateway: &GatewayProcess, text: &str) {
    let deadline = Instant::now() + WAIT_LIMIT;
    while !gateway.log_text().contains(text) {
        assert!(Instant::now() < deadline, "no log line contains {text:?}: {}", gateway.log_text());
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Number of reads of the directory by all gateways within two seconds.
async fn count_directory_reads(store: &FakeStore) -> u64 {
    let before = store.reads_of("keyed.servers");
    tokio::time::sleep(Duration::from_secs(2)).await;
    store.reads_of("keyed.servers") - before
}

#[gtest]
#[tokio::test]
async fn one_gateway_reads_directory() {
    let store = FakeStore::start(free_address()).await;
    store.put("keyed.op", "config", Some(&json!({"version": 3, "routes": [], "services": []})));
    list_server(&store, "i-1");
    let mut gateways =
        [(); 2].map(|()| GatewayProcess::start(&launcher(), store.fake_server.address, &[]));
    gateways.sort_by_key(|it| it.peer);
    let [reader, follower] = &gateways;
    wait_for_log(reader, "server i-1 is listed").await;
    wait_for_log(follower, "server i-1 is listed").await;
    let reads_by_both = count_directory_reads(&store).await;
    let announcer = announce_gateways(&[reader, follower]);
    // Once the gateways know of each other, one of them stops reading.
    let deadline = Instant::now() + WAIT_LIMIT;
    while count_directory_reads(&store).await * 3 > reads_by_both * 2 {
        assert!(Instant::now() < deadline, "both gateways still read the directory");
    }
    list_server(&store, "i-2");
    wait_for_log(follower, "server i-2 is listed").await;
    // Once the reader is killed, the follower reads the directory itself.
    gateways[0].signal("-KILL");
    list_server(&store, "i-3");
    wait_for_log(&gateways[1], "server i-3 is listed").await;
    announcer.abort();
}

fn publish(store: &FakeStore, version: u64) {
    let manifest = json!({"version": version, "routes": [], "services": []});
    store.put("keyed.op", "config", Some(&manifest));
}

/// Number of reads of the operators' stream by all gateways within two seconds.
async fn count_operator_reads(store: &FakeStore) -> u64 {
    let before = store.reads_of("keyed.op");
    tokio::time::sleep(Duration::from_secs(2)).await;
    store.reads_of("keyed.op") - before
}

#[gtest]
#[tokio::test]
async fn one_gateway_polls_operators() {
    /// Time within which a change must be in force, as the settings have it by default.
    const APPLY_TIME: Duration = Duration::from_secs(2);
    let store = FakeStore::start(free_address()).await;
    publish(&store, 1);
    list_server(&store, "i-1");
    let mut gateways =
        [(); 2].map(|()| GatewayProcess::start(&launcher(), store.fake_server.address, &[]));
    gateways.sort_by_key(|it| it.peer);
    let [reader, follower] = &gateways;
    wait_for_log(reader, "catalog 1 in force").await;
    wait_for_log(follower, "catalog 1 in force").await;
    let reads_by_both = count_operator_reads(&store).await;
    let announcer = announce_gateways(&[reader, follower]);
    let deadline = Instant::now() + WAIT_LIMIT;
    while count_operator_reads(&store).await * 3 > reads_by_both * 2 {
        assert!(Instant::now() < deadline, "both gateways still poll the operators' stream");
    }
    for (version, is_killed) in [(2, false), (3, true), (4, true)] {
        if is_killed {
            // Once the reader is killed, the follower polls the store itself.
            gateways[0].signal("-KILL");
        }
        let published = Instant::now();
        publish(&store, version);
        wait_for_log(&gateways[1], &format!("catalog {version} in force")).await;
        expect_that!(published.elapsed(), lt(APPLY_TIME), "catalog {version}");
    }
    announcer.abort();
}
