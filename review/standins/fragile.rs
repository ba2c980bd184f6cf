//! Servers that crash as they begin to write an answer on one part of a prompt, and clients that send
//! requests with and without that part.

use std::{
    collections::BTreeMap,
    io::Write,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use super::harness::{self, Client, Recorder, Store, sleep_ms};

pub const DEADLY_PART: &str = "91bd3f06";
/// How long a crashed server is away.
const AWAY_MS: u64 = 2_000;
/// Events of an answer and the pause between two.
const EVENTS: u64 = 12;
const PAUSE_MS: u64 = 30;
/// Time in which a server reads a prompt.
const READ_MS: u64 = 20;

/// What the servers have seen.
#[derive(Default)]
pub struct Seen {
    pub deadly_arrivals: Vec<Instant>,
    pub crashes: Vec<Instant>,
}

struct Server {
    number: usize,
    address: SocketAddr,
    /// Whether the part crashes it.
    is_fragile: bool,
    /// Channels of the present lifetime; a crash closes them.
    channels: Mutex<BTreeMap<usize, TcpStream>>,
    lifetime: Mutex<usize>,
    store: Store,
    seen: Arc<Mutex<Seen>>,
    record: Recorder,
}

/// Starts servers of the service `huvo11a` that register in the store. `is_fragile` tells whether the
/// part crashes them.
pub fn start_servers(
    count: usize,
    is_fragile: bool,
    store: &Store,
    record: &Recorder,
) -> Arc<Mutex<Seen>> {
    let seen: Arc<Mutex<Seen>> = Arc::default();
    for number in 1..=count {
        let (listener, address) = harness::listen_on([127, 0, 0, 1]);
        let server = Arc::new(Server {
            number,
            address,
            is_fragile,
            channels: Mutex::default(),
            lifetime: Mutex::new(1),
            store: store.clone(),
            seen: seen.clone(),
            record: record.clone(),
        });
        thread::spawn(move || server.run(listener));
    }
    seen
}

impl Server {
    /// Runs one lifetime after the other, each with a new id, at the same address.
    fn run(self: Arc<Self>, mut listener: TcpListener) {
        loop {
            let lifetime = *self.lifetime.lock().unwrap();
            let id = format!("i-{}-{lifetime}", self.number);
            let entry = harness::server_entry("huvo11a", self.address, "a", 12)
                .replace("1700000000000", &format!("17000000{lifetime:05}"));
            self.store.put("keyed.servers", &id, Some(&entry));
            listener.set_nonblocking(true).unwrap();
            let mut channel = 0;
            while *self.lifetime.lock().unwrap() == lifetime {
                let Ok((stream, _)) = listener.accept() else {
                    sleep_ms(1);
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                channel += 1;
                self.channels.lock().unwrap().insert(channel, stream.try_clone().unwrap());
                let (server, id) = (self.clone(), id.clone());
                thread::spawn(move || {
                    let _ = server.serve(lifetime, &id, stream);
                    server.channels.lock().unwrap().remove(&channel);
                });
            }
            drop(listener);
            sleep_ms(AWAY_MS);
            self.store.put("keyed.servers", &id, None);
            listener = TcpListener::bind(self.address).expect("the server's address");
        }
    }

    fn serve(&self, lifetime: usize, own_id: &str, mut stream: TcpStream) -> std::io::Result<()> {
        loop {
            let request = harness::read_request(&mut stream)?;
            let id = request.id();
            if request.header("expect-instance").is_some_and(|it| it != own_id) {
                let status = "421 Misdirected Request";
                harness::write_answer(&mut stream, status, &[("Instance-Id", own_id)], b"")?;
                continue;
            }
            let prefix = request.header("prompt-prefix").unwrap_or_default();
            let is_deadly = prefix.contains(DEADLY_PART);
            if is_deadly {
                self.seen.lock().unwrap().deadly_arrivals.push(Instant::now());
                self.record.note(format!("server {own_id}: {id} with the part arrives"));
            }
            sleep_ms(READ_MS);
            if is_deadly && self.is_fragile {
                // It has begun to write its answer.
                stream.write_all(format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n").as_bytes())?;
                self.crash(lifetime, own_id);
                return Ok(());
            }
            harness::begin_stream(&mut stream, &id)?;
            for piece in request.last_event() + 1..=EVENTS {
                sleep_ms(PAUSE_MS);
                harness::send_event(&mut stream, piece)?;
            }
            harness::end_stream(&mut stream)?;
        }
    }

    fn crash(&self, lifetime: usize, own_id: &str) {
        let mut current = self.lifetime.lock().unwrap();
        if *current != lifetime {
            return;
        }
        *current += 1;
        for channel in std::mem::take(&mut *self.channels.lock().unwrap()).into_values() {
            let _ = channel.shutdown(Shutdown::Both);
        }
        self.seen.lock().unwrap().crashes.push(Instant::now());
        self.record.note(format!("server {own_id} crashes"));
    }
}

/// A client's request in progress, which returns whether its answer came whole.
type Sent = thread::JoinHandle<bool>;

fn send(listen: SocketAddr, id: String, parts: String, record: &Recorder) -> Sent {
    let record = record.clone();
    thread::spawn(move || {
        let answer = Client::connect(listen).and_then(|mut it| {
            it.send_stream_request(&id, &parts)?;
            it.read()
        });
        let (status, is_whole) = answer.map_or((0, false), |it| (it.status, it.is_whole));
        record.note(format!("client: {id} ended with status {status}, whole {is_whole}"));
        is_whole
    })
}

/// Sends a request with the part. No two are alike.
pub fn send_deadly(listen: SocketAddr, n: usize, record: &Recorder) -> Sent {
    let parts = format!("5c1e07a2:40,{DEADLY_PART}:400,aa{n:06x}:200");
    send(listen, format!("deadly-{n}"), parts, record)
}

/// Sound requests at an even rate, which share the caller and the first part with the others.
pub struct SoundLoad {
    runs: Arc<AtomicBool>,
    sender: thread::JoinHandle<Vec<Sent>>,
}

impl SoundLoad {
    pub fn start(listen: SocketAddr, per_s: u64, record: &Recorder) -> Self {
        let runs = Arc::new(AtomicBool::new(true));
        let (is_running, record) = (runs.clone(), record.clone());
        let sender = thread::spawn(move || {
            let started = Instant::now();
            let mut sent = Vec::new();
            while is_running.load(Ordering::SeqCst) {
                let n = sent.len();
                let parts = format!("5c1e07a2:40,77aa{:04x}:400,{n:08x}:200", n % 4);
                sent.push(send(listen, format!("sound-{n}"), parts, &record));
                let next = Duration::from_millis(1_000 * sent.len() as u64 / per_s);
                thread::sleep(next.saturating_sub(started.elapsed()));
            }
            sent
        });
        Self { runs, sender }
    }

    /// Ends the load. Returns the number of requests, and of those that were cut.
    pub fn stop(self) -> (usize, usize) {
        self.runs.store(false, Ordering::SeqCst);
        let sent = self.sender.join().expect("load");
        let count = sent.len();
        let cut = sent.into_iter().filter_map(|it| it.join().ok()).filter(|it| !it).count();
        (count, cut)
    }
}
