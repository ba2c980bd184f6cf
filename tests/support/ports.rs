//! Ports that are free for TCP and UDP and outside the range of outgoing connections.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    sync::atomic::{AtomicU16, Ordering},
};

const FIRST: u16 = 12_000;
const LAST: u16 = 32_000;

static NEXT: AtomicU16 = AtomicU16::new(0);

/// A loopback address that nothing listens on.
pub fn free_address() -> SocketAddr {
    let offset = u16::try_from(std::process::id() % u32::from(LAST - FIRST)).unwrap();
    for _ in 0..LAST - FIRST {
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST + (offset.wrapping_add(step)) % (LAST - FIRST);
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
    panic!("no port is free between {FIRST} and {LAST}");
}
