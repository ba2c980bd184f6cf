//! Ports that are free for TCP and UDP and outside the range of outgoing connections.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    process::{Child, Command, Output},
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU16, Ordering},
    },
};

const FIRST: u16 = 12_000;
const LAST: u16 = 32_000;
/// Ports between those of two processes with ids side by side.
const PORT_SPREAD: u32 = 797;

static NEXT: AtomicU16 = AtomicU16::new(0);

/// Held while a port is probed and while a process is started: a process that is being started holds
/// copies of all sockets for a moment, and a probed port would stay taken.
static GATE: Mutex<()> = Mutex::new(());

/// Starts a process.
pub fn spawn(command: &mut Command) -> Child {
    let _gate = GATE.lock().unwrap_or_else(PoisonError::into_inner);
    command.spawn().unwrap()
}

/// Runs a process to its end and gives what it printed.
pub fn output(command: &mut Command) -> Output {
    use std::process::Stdio;

    command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
    spawn(command).wait_with_output().unwrap()
}

/// A loopback address that nothing listens on.
pub fn free_address() -> SocketAddr {
    let _gate = GATE.lock().unwrap_or_else(PoisonError::into_inner);
    // Processes that start together have ids side by side: spread their first ports.
    let spread = std::process::id().wrapping_mul(PORT_SPREAD) % u32::from(LAST - FIRST);
    let offset = u16::try_from(spread).unwrap();
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
