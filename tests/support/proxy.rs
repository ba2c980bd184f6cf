//! A fault-injecting proxy for TCP and UDP. Faults are set per direction: TCP can be delayed and
//! cut, UDP datagrams can also be lost, duplicated and reordered.
//!
//! Random choices come from a seeded generator, and tests print the seed.

use std::{
    collections::HashMap,
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, UdpSocket, tcp::OwnedReadHalf, tcp::OwnedWriteHalf},
    task::JoinHandle,
};

/// Size of the IPv4 and UDP headers of each datagram.
const HEADER_BYTES: u64 = 28;

/// Faults of one direction.
#[derive(Clone, Copy, Debug, Default)]
pub struct LinkFaults {
    /// Drops all traffic silently: connections stay open and no error is sent.
    pub is_cut: bool,
    /// Delay of each TCP read. For a datagram the upper bound of its random delay, which lets
    /// datagrams overtake each other.
    pub max_delay: Duration,
    /// Probability that a datagram is lost, from 0 to 1.
    pub loss: f64,
    /// Probability that a datagram arrives twice, from 0 to 1.
    pub duplication: f64,
}

/// Faults of both directions, and a traffic counter.
#[derive(Debug, Default)]
pub struct ProxyFaults {
    pub to_server: Mutex<LinkFaults>,
    pub to_client: Mutex<LinkFaults>,
    /// Bytes of both directions. Datagrams count with their headers and also when they are dropped,
    /// TCP bytes without headers and only when they are relayed.
    pub relayed_bytes: AtomicU64,
}

impl ProxyFaults {
    /// Cuts or restores both directions.
    pub fn cut(&self, is_cut: bool) {
        self.to_server.lock().unwrap().is_cut = is_cut;
        self.to_client.lock().unwrap().is_cut = is_cut;
    }

    /// Sets the same faults for both directions.
    pub fn set(&self, faults: LinkFaults) {
        *self.to_server.lock().unwrap() = faults;
        *self.to_client.lock().unwrap() = faults;
    }
}

/// A running proxy; stops accepting traffic when dropped.
pub struct Proxy {
    pub address: SocketAddr,
    pub faults: Arc<ProxyFaults>,
    task: JoinHandle<()>,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Proxy {
    /// Starts a TCP proxy in front of `server`.
    pub async fn tcp(address: SocketAddr, server: SocketAddr) -> Self {
        let faults = Arc::new(ProxyFaults::default());
        let listener = TcpListener::bind(address).await.unwrap();
        let task = tokio::spawn(accept(listener, server, faults.clone()));
        Self { address, faults, task }
    }

    /// Starts a UDP proxy in front of `server`.
    pub async fn udp(address: SocketAddr, server: SocketAddr, seed: u64) -> Self {
        let faults = Arc::new(ProxyFaults::default());
        let socket = Arc::new(UdpSocket::bind(address).await.unwrap());
        let task = tokio::spawn(relay_datagrams(socket, server, faults.clone(), seed));
        Self { address, faults, task }
    }
}

async fn accept(listener: TcpListener, server: SocketAddr, faults: Arc<ProxyFaults>) {
    while let Ok((client, _)) = listener.accept().await {
        let faults = faults.clone();
        tokio::spawn(async move {
            let Ok(server) = TcpStream::connect(server).await else { return };
            let (client_in, client_out) = client.into_split();
            let (server_in, server_out) = server.into_split();
            let up =
                copy(client_in, server_out, faults.clone(), |it| *it.to_server.lock().unwrap());
            let down = copy(server_in, client_out, faults, |it| *it.to_client.lock().unwrap());
            tokio::join!(up, down);
        });
    }
}

/// Relays one direction of a TCP connection until it ends.
async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    faults: Arc<ProxyFaults>,
    faults_of: impl Fn(&ProxyFaults) -> LinkFaults,
) {
    let mut buffer = vec![0; 16 << 10];
    while let Ok(length @ 1..) = from.read(&mut buffer).await {
        let direction_faults = faults_of(&faults);
        if direction_faults.is_cut {
            // Bytes in transit on a cut link are lost; the endpoints notice only by their own
            // timeouts.
            continue;
        }
        tokio::time::sleep(direction_faults.max_delay).await;
        faults.relayed_bytes.fetch_add(length as u64, Ordering::Relaxed);
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}

/// Relays datagrams to the server, with one upstream socket per client address.
async fn relay_datagrams(
    socket: Arc<UdpSocket>,
    server: SocketAddr,
    faults: Arc<ProxyFaults>,
    seed: u64,
) {
    let rng = Arc::new(Mutex::new(SmallRng::seed_from_u64(seed)));
    let mut upstreams: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
    let mut buffer = vec![0; 64 << 10];
    loop {
        let Ok((length, client)) = socket.recv_from(&mut buffer).await else { continue };
        let upstream = match upstreams.get(&client) {
            Some(upstream) => upstream.clone(),
            None => {
                let upstream = Arc::new(UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap());
                tokio::spawn(relay_answers(
                    upstream.clone(),
                    socket.clone(),
                    client,
                    faults.clone(),
                    rng.clone(),
                ));
                upstreams.insert(client, upstream.clone());
                upstream
            }
        };
        let direction_faults = *faults.to_server.lock().unwrap();
        faults.relayed_bytes.fetch_add(length as u64 + HEADER_BYTES, Ordering::Relaxed);
        forward(upstream, server, buffer[..length].to_vec(), direction_faults, &rng);
    }
}

/// Relays the server's datagrams back to one client.
async fn relay_answers(
    upstream: Arc<UdpSocket>,
    socket: Arc<UdpSocket>,
    client: SocketAddr,
    faults: Arc<ProxyFaults>,
    rng: Arc<Mutex<SmallRng>>,
) {
    let mut buffer = vec![0; 64 << 10];
    loop {
        let Ok((length, _)) = upstream.recv_from(&mut buffer).await else { continue };
        let direction_faults = *faults.to_client.lock().unwrap();
        faults.relayed_bytes.fetch_add(length as u64 + HEADER_BYTES, Ordering::Relaxed);
        forward(socket.clone(), client, buffer[..length].to_vec(), direction_faults, &rng);
    }
}

/// Sends a datagram zero, one or two times, each copy after its own random delay.
fn forward(
    socket: Arc<UdpSocket>,
    to: SocketAddr,
    datagram: Vec<u8>,
    faults: LinkFaults,
    rng: &Mutex<SmallRng>,
) {
    let mut rng = rng.lock().unwrap();
    if faults.is_cut || rng.random_bool(faults.loss) {
        return;
    }
    let copies = if rng.random_bool(faults.duplication) { 2 } else { 1 };
    for _ in 0..copies {
        let delay = faults.max_delay.mul_f64(rng.random::<f64>());
        let (socket, datagram) = (socket.clone(), datagram.clone());
        tokio::spawn(async move {
            if !delay.is_zero() {
                tokio::time::sleep(delay).await;
            }
            let _ = socket.send_to(&datagram, to).await;
        });
    }
}
