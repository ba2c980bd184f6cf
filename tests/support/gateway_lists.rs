//! Load reports that tell gateways of each other, as agents send them.

use std::time::Duration;

use alderbay::{
    routing::{GatewayLocation, LoadReport},
    wire::Datagram,
};
use tokio::net::UdpSocket;

use super::{gateway::GatewayProcess, ports::free_address};

const REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// Sends load reports that list all gateways to each of them, as an agent does.
pub fn announce_gateways(gateways: &[&GatewayProcess]) -> tokio::task::JoinHandle<()> {
    let location = |it: &&GatewayProcess| GatewayLocation {
        address: it.peer,
        failure_domain: "a".parse().unwrap(),
    };
    let message = Datagram::Load {
        server: free_address(),
        report: LoadReport { running: 0, waiting: 0, is_open: true },
        subscribers: gateways.len() as u32,
        gateways: gateways.iter().map(location).collect(),
    };
    let bytes = message.encode().unwrap();
    let to: Vec<_> = gateways.iter().map(|it| it.datagrams).collect();
    tokio::spawn(async move {
        let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        loop {
            for address in &to {
                // Sending to a killed gateway may fail.
                let _ = socket.send_to(&bytes, address).await;
            }
            tokio::time::sleep(REPORT_INTERVAL).await;
        }
    })
}
