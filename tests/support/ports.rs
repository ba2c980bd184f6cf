//! Allocates ports that are free for both TCP and UDP and lie outside the ephemeral range that the
//! kernel uses for outgoing connections.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    process::{Child, Command, Output},
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU16, Ordering},
    },
};

const FIRST_PORT: u16 = 12_000;
const LAST_PORT: u16 = 32_000;
/// Distance between the first ports of two test processes with consecutive ids.
const PORTS_PER_PROCESS: u32 = 797;

static NEXT_OFFSET: AtomicU16 = AtomicU16::new(0);

/// Held while a port is probed and while a process is spawned: between fork and exec the child
/// holds copies of all sockets, so a port probed meanwhile would stay in use.
static SPAWN_LOCK: Mutex<()> = Mutex::new(());

/// Spawns a process while no port is being probed.
pub fn spawn(command: &mut Command) -> Child {
    let _guard = SPAWN_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    command.spawn().unwrap()
}

/// Runs a process until it exits and returns its exit status and output.
pub fn output(command: &mut Command) -> Output {
    use std::process::Stdio;

    command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
    spawn(command).wait_with_output().unwrap()
}

/// A loopback address that nothing listens on.
pub fn free_address() -> SocketAddr {
    let _guard = SPAWN_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    // Test processes that start together have consecutive ids, so spread their first ports.
    let first_offset =
        std::process::id().wrapping_mul(PORTS_PER_PROCESS) % u32::from(LAST_PORT - FIRST_PORT);
    let offset = u16::try_from(first_offset).unwrap();
    for _ in 0..LAST_PORT - FIRST_PORT {
        let step = NEXT_OFFSET.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + (offset.wrapping_add(step)) % (LAST_PORT - FIRST_PORT);
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
    panic!("no free port between {FIRST_PORT} and {LAST_PORT}");
}
