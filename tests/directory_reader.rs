//! One gateway of a failure domain reads the directory; the others take it from there, and read it
//! themselves once that one is gone.

use std::time::Duration;

use alderbay::{
    routing::{GatewayLocation, LoadReport},
    wire::Datagram,
};
use googletest::prelude::*;
use serde_json::json;
use tokio::{net::UdpSocket, time::Instant};

use crate::{
    launcher,
    support::{gateway::GatewayProcess, platform_store::FakeStore, ports::free_address},
};

const LIMIT: Duration = Duration::from_secs(20);
const REPORT_PAUSE: Duration = Duration::from_millis(200);

/// An agent that tells gateways of each other.
fn tell_of_each_other(gateways: &[&GatewayProcess]) -> tokio::task::JoinHandle<()> {
    let place = |it: &&GatewayProcess| GatewayLocation {
        address: it.peer,
        failure_domain: "a".parse().unwrap(),
    };
    let message = Datagram::Load {
        server: free_address(),
        report: LoadReport { running: 0, waiting: 0, is_open: true },
        subscribers: gateways.len() as u32,
        gateways: gateways.iter().map(place).collect(),
    };
    let bytes = message.encode().unwrap();
    let to: Vec<_> = gateways.iter().map(|it| it.datagrams).collect();
    tokio::spawn(async move {
        let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        loop {
            for address in &to {
                // A gateway that was killed hears nothing.
                let _ = socket.send_to(&bytes, address).await;
            }
            tokio::time::sleep(REPORT_PAUSE).await;
        }
    })
}

fn list(store: &FakeStore, id: &str) {
    let entry = json!({"service": "s", "address": free_address(), "zone": "a", "version": "v1",
        "slots": 12, "state": "ready", "warmup-left-ms": 0, "sequence": 1, "born": 1});
    store.put("keyed.servers", id, Some(&entry));
}

async fn wait_for_line(gateway: &GatewayProcess, text: &str) {
    let deadline = Instant::now() + LIMIT;
    while !gateway.log_text().contains(text) {
        assert!(Instant::now() < deadline, "no line {text:?}: {}", gateway.log_text());
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Reads of the directory in a span.
async fn directory_reads(store: &FakeStore) -> u64 {
    let before = store.reads_of("keyed.servers");
    tokio::time::sleep(Duration::from_secs(2)).await;
    store.reads_of("keyed.servers") - before
}

#[gtest]
#[tokio::test]
async fn one_gateway_reads() {
    let store = FakeStore::start(free_address()).await;
    store.put("keyed.op", "config", Some(&json!({"version": 3, "routes": [], "services": []})));
    list(&store, "i-1");
    let mut gateways =
        [(); 2].map(|()| GatewayProcess::start(&launcher(), store.fake_server.address, &[]));
    gateways.sort_by_key(|it| it.peer);
    let [reader, follower] = &gateways;
    wait_for_line(reader, "server i-1 is listed").await;
    wait_for_line(follower, "server i-1 is listed").await;
    let both = directory_reads(&store).await;
    let agent = tell_of_each_other(&[reader, follower]);
    // Once each knows of the other, one of them stops reading.
    let deadline = Instant::now() + LIMIT;
    while directory_reads(&store).await * 3 > both * 2 {
        assert!(Instant::now() < deadline, "both gateways go on reading the directory");
    }
    list(&store, "i-2");
    wait_for_line(follower, "server i-2 is listed").await;
    // Without its reader it reads by itself.
    gateways[0].signal("-KILL");
    list(&store, "i-3");
    wait_for_line(&gateways[1], "server i-3 is listed").await;
    agent.abort();
}
