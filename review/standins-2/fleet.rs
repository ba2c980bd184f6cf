//! Stand-ins of the platform's store, servers, engines and clients, and a launcher of the project's
//! own processes. Loopback only, standard library only.

use std::{
    collections::BTreeMap,
    fs::{self, File},
    io::{self, BufRead, BufReader, Write},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket},
    os::fd::AsRawFd,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

pub const DRAIN_MS: u64 = 2_000;
pub const GRACE_S: u64 = 8;
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

unsafe extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const u8, length: u32) -> i32;
}

/// Makes the close of a connection a reset.
pub fn reset_on_close(stream: &TcpStream) {
    // SOL_SOCKET and SO_LINGER of Linux, on x86-64 and arm64 alike: on, zero seconds.
    let linger: [u8; 8] = [1, 0, 0, 0, 0, 0, 0, 0];
    unsafe { setsockopt(stream.as_raw_fd(), 1, 13, linger.as_ptr(), 8) };
}

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|it| it.into_inner())
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |it| it.as_millis() as u64)
}

/// What happened, with times in milliseconds since the start.
pub struct Record {
    started: Instant,
    lines: Mutex<Vec<(u64, String)>>,
}

impl Record {
    pub fn new() -> Arc<Self> {
        Arc::new(Self { started: Instant::now(), lines: Mutex::default() })
    }

    pub fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn add(&self, text: impl Into<String>) -> u64 {
        let now = self.now();
        lock(&self.lines).push((now, text.into()));
        now
    }

    pub fn write(&self, path: &PathBuf) {
        let mut lines = lock(&self.lines).clone();
        lines.sort_by_key(|it| it.0);
        let text: String = lines.iter().map(|(at, it)| format!("{at:>7} {it}\n")).collect();
        let _ = fs::write(path, text);
    }
}

/// The head and body of an HTTP/1.1 message.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body arrived as its framing announced it.
    pub is_whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|it| it.0.eq_ignore_ascii_case(name));
        found.map(|it| it.1.as_str())
    }

    pub fn word(&self, index: usize) -> &str {
        self.first_line.split(' ').nth(index).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line)? == 0 {
        return Ok(None);
    }
    Ok(Some(String::from_utf8_lossy(&line).trim_end_matches(['\r', '\n']).to_owned()))
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(first_line) = read_line(reader)? else { return Ok(None) };
    let mut message = Message { first_line, ..Message::default() };
    loop {
        let Some(line) = read_line(reader)? else {
            return Err(io::ErrorKind::UnexpectedEof.into());
        };
        if line.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads a message with a length or in chunks.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else { return Ok(None) };
    if message.header("transfer-encoding").is_some_and(|it| it.eq_ignore_ascii_case("chunked")) {
        while let Some(line) = read_line(reader)? {
            let size = usize::from_str_radix(line.split(';').next().unwrap_or("0").trim(), 16);
            let Ok(size) = size else { return Ok(Some(message)) };
            if size == 0 {
                read_line(reader)?;
                message.is_whole = true;
                break;
            }
            let mut chunk = vec![0; size];
            if reader.read_exact(&mut chunk).is_err() {
                break;
            }
            message.body.extend(chunk);
            read_line(reader)?;
        }
        return Ok(Some(message));
    }
    let length = message.header("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    let mut filled = 0;
    while filled < length {
        match reader.read(&mut body[filled..]) {
            Ok(0) | Err(_) => break,
            Ok(count) => filled += count,
        }
    }
    body.truncate(filled);
    message.is_whole = filled == length;
    message.body = body;
    Ok(Some(message))
}

pub fn answer(status: &str, headers: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    let mut bytes = (text + "\r\n").into_bytes();
    bytes.extend(body);
    bytes
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let number = (0..3).fold(0_u32, |it, n| it << 8 | u32::from(*part.get(n).unwrap_or(&0)));
        for n in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * n) & 63) as usize];
            text.push(if n <= part.len() { digit as char } else { '=' });
        }
    }
    text
}

type Records = Vec<(String, Option<Vec<u8>>)>;

/// The platform's store: the topics `keyed.op` and `keyed.servers`, read only over the network.
pub struct Store {
    pub address: SocketAddr,
    topics: Mutex<BTreeMap<String, Records>>,
    changed: Condvar,
}

impl Store {
    pub fn start(ip: IpAddr) -> Arc<Self> {
        let listener = TcpListener::bind((ip, 0)).expect("store");
        let store = Arc::new(Self {
            address: listener.local_addr().expect("address"),
            topics: Mutex::default(),
            changed: Condvar::new(),
        });
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Appends a record; the store's acknowledgement is the return.
    pub fn put(&self, topic: &str, key: &str, value: Option<String>) {
        let value = value.map(String::into_bytes);
        lock(&self.topics).entry(topic.to_owned()).or_default().push((key.to_owned(), value));
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader) {
            thread::sleep(Duration::from_millis(4));
            if writer.write_all(&self.answer(&request)).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        let (path, query) = request.word(1).split_once('?').unwrap_or((request.word(1), ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|it| it.split_once('='));
            pairs.find(|it| it.0 == name).map(|it| it.1.to_owned())
        };
        let number =
            |name: &str| parameter(name).and_then(|it| it.parse::<u64>().ok()).unwrap_or(0);
        let topic = parameter("topic").unwrap_or_default();
        let era = [("Store-Era", "1".to_owned())];
        match path {
            "/v1/log-newest" => {
                let topics = lock(&self.topics);
                let records = topics.get(&topic).cloned().unwrap_or_default();
                let mut newest = BTreeMap::new();
                for (offset, (key, value)) in records.iter().enumerate() {
                    newest.insert(key.clone(), (offset, value.clone()));
                }
                let items: Vec<String> = newest
                    .iter()
                    .filter_map(|(key, (offset, value))| {
                        let value = base64(value.as_ref()?);
                        Some(format!(r#"{{"key":"{key}","value":"{value}","offset":{offset}}}"#))
                    })
                    .collect();
                let body = format!(
                    r#"{{"items":[{}],"has-more":false,"end-offset":{}}}"#,
                    items.join(","),
                    records.len()
                );
                answer("200 OK", &era, body.as_bytes())
            }
            "/v1/log-read" => {
                let from = number("range-start") as usize;
                let deadline =
                    Instant::now() + Duration::from_millis(number("wait-ms").min(30_000));
                let mut topics = lock(&self.topics);
                loop {
                    let records = topics.get(&topic).cloned().unwrap_or_default();
                    if from > records.len() {
                        let body = r#"{"first-offset":0}"#;
                        return answer("410 Gone", &era, body.as_bytes());
                    }
                    let left = deadline.saturating_duration_since(Instant::now());
                    if records.len() > from || left.is_zero() {
                        let mut body = (records.len() as u64).to_be_bytes().to_vec();
                        body.extend(0_u64.to_be_bytes());
                        for (key, value) in &records[from..] {
                            let value = value.as_deref().unwrap_or_default();
                            body.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
                            body.push(key.len() as u8);
                            body.extend(key.as_bytes());
                            body.extend(value);
                        }
                        return answer("200 OK", &era, &body);
                    }
                    topics = match self.changed.wait_timeout(topics, left) {
                        Ok((guard, _)) => guard,
                        Err(poisoned) => poisoned.into_inner().0,
                    };
                }
            }
            _ => answer("404 Not Found", &era, b""),
        }
    }
}

/// A path between two addresses that can be cut: its connections are reset, and new ones too.
pub struct Link {
    pub address: SocketAddr,
    is_cut: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
}

impl Link {
    pub fn start(ip: IpAddr, to: SocketAddr) -> Arc<Self> {
        let listener = TcpListener::bind((ip, 0)).expect("link");
        let link = Arc::new(Self {
            address: listener.local_addr().expect("address"),
            is_cut: AtomicBool::new(false),
            open: Mutex::default(),
        });
        let served = link.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let Ok(target) = TcpStream::connect(to) else { continue };
                reset_on_close(&stream);
                if served.is_cut.load(Ordering::SeqCst) {
                    continue;
                }
                for (from, to) in [(&stream, &target), (&target, &stream)] {
                    let (Ok(mut from), Ok(mut to)) = (from.try_clone(), to.try_clone()) else {
                        continue;
                    };
                    let _ = from.set_nodelay(true);
                    thread::spawn(move || {
                        let _ = io::copy(&mut from, &mut to);
                        let _ = to.shutdown(std::net::Shutdown::Both);
                    });
                }
                lock(&served.open).push(stream);
            }
        });
        link
    }

    pub fn cut(&self) {
        self.is_cut.store(true, Ordering::SeqCst);
        for stream in lock(&self.open).drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    pub fn heal(&self) {
        self.is_cut.store(false, Ordering::SeqCst);
    }
}

/// A request that a server began to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: u64,
    pub server: String,
    pub request: String,
    pub tenant: String,
}

/// A server of a plain service. It checks in with the store, and says in all its answers when it
/// leaves. Idle channels are closed after 5 s.
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    service: String,
    zone: String,
    store: Arc<Store>,
    record: Arc<Record>,
    pub runs: Arc<Mutex<Vec<Run>>>,
    work: Duration,
    born: u64,
    sequence: AtomicU64,
    is_leaving: AtomicBool,
    has_ended: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
}

impl Server {
    pub fn start(
        (id, service, zone): (&str, &str, &str),
        ip: IpAddr,
        store: &Arc<Store>,
        record: &Arc<Record>,
        runs: &Arc<Mutex<Vec<Run>>>,
        work: Duration,
    ) -> Arc<Self> {
        let listener = TcpListener::bind((ip, 0)).expect("server");
        let server = Arc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr().expect("address"),
            service: service.to_owned(),
            zone: zone.to_owned(),
            store: store.clone(),
            record: record.clone(),
            runs: runs.clone(),
            work,
            born: unix_ms(),
            sequence: AtomicU64::new(0),
            is_leaving: AtomicBool::new(false),
            has_ended: AtomicBool::new(false),
            open: Mutex::default(),
        });
        let served = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                reset_on_close(&stream);
                if served.has_ended.load(Ordering::SeqCst) {
                    return;
                }
                if let Ok(kept) = stream.try_clone() {
                    lock(&served.open).push(kept);
                }
                let server = served.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        let beating = server.clone();
        thread::spawn(move || {
            while !beating.is_leaving.load(Ordering::SeqCst) {
                beating.check_in("ready");
                thread::sleep(HEARTBEAT);
            }
        });
        server
    }

    fn check_in(&self, state: &str) {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst);
        let Self { service, address, zone, born, .. } = self;
        let entry = format!(
            r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":6,"state":"{state}","warmup-left-ms":0,"sequence":{sequence},"born":{born}}}"#
        );
        self.store.put("keyed.servers", &self.id, Some(entry));
    }

    /// Leaves as planned: reports it, serves on for `drain-ms` and a little longer, then ends.
    /// Returns when the store has acknowledged the report.
    pub fn leave(self: &Arc<Self>, linger: Duration) -> u64 {
        self.is_leaving.store(true, Ordering::SeqCst);
        self.check_in("draining");
        let at = self.record.add(format!("store acknowledges that {} is draining", self.id));
        let server = self.clone();
        thread::spawn(move || {
            let end = Instant::now() + Duration::from_millis(DRAIN_MS) + linger;
            loop {
                let left = end.saturating_duration_since(Instant::now());
                thread::sleep(left.min(HEARTBEAT));
                if left <= HEARTBEAT {
                    break;
                }
                server.check_in("draining");
            }
            server.has_ended.store(true, Ordering::SeqCst);
            server.store.put("keyed.servers", &server.id, None);
            server.record.add(format!("{} ends", server.id));
            for stream in lock(&server.open).drain(..) {
                let _ = stream.shutdown(std::net::Shutdown::Both);
            }
            // Wakes the listener, which ends.
            let _ = TcpStream::connect(server.address);
        });
        at
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader) {
            if !request.is_whole || self.has_ended.load(Ordering::SeqCst) {
                return;
            }
            let is_leaving = self.is_leaving.load(Ordering::SeqCst);
            let id = request.header("request-id").unwrap_or_default().to_owned();
            let mut headers = vec![("Instance-Id", self.id.clone())];
            if !id.is_empty() {
                headers.push(("Request-Id", id.clone()));
            }
            if is_leaving {
                headers.push(("Server-Leaving", "1".to_owned()));
            }
            if request.word(1) == "/healthz" {
                let status = if is_leaving { "503 Service Unavailable" } else { "200 OK" };
                if writer.write_all(&answer(status, &headers, b"")).is_err() {
                    return;
                }
                continue;
            }
            if request.header("expect-instance").is_some_and(|it| it != self.id) {
                if writer.write_all(&answer("421 Misdirected Request", &headers, b"")).is_err() {
                    return;
                }
                continue;
            }
            let tenant = request.header("tenant").unwrap_or_default().to_owned();
            let at = self.record.add(format!("{} runs {id}", self.id));
            let run = Run { at, server: self.id.clone(), request: id.clone(), tenant };
            lock(&self.runs).push(run);
            thread::sleep(self.work);
            headers.push(("Response-Stamp", format!("stamp.{}", self.id)));
            headers.push(("Content-Type", "text/plain".to_owned()));
            let body = format!("{} by {}\n", id, self.id);
            if writer.write_all(&answer("200 OK", &headers, body.as_bytes())).is_err() {
                return;
            }
        }
    }
}

/// A model engine that takes no requests here: it checks in with the store and answers its agent.
pub struct Engine {
    pub address: SocketAddr,
}

impl Engine {
    pub fn start((id, service, zone): (&str, &str, &str), ip: IpAddr, store: &Arc<Store>) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("engine");
        let address = listener.local_addr().expect("address");
        let group = r#"{"name":"g-1","epoch":1,"rank":0,"state":"open"}"#;
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                thread::spawn(move || {
                    let _ = stream.set_nodelay(true);
                    let Ok(mut writer) = stream.try_clone() else { return };
                    let mut reader = BufReader::new(stream);
                    while let Ok(Some(request)) = read_message(&mut reader) {
                        let path = request.word(1).split('?').next().unwrap_or_default();
                        let body = match path {
                            "/v1/report" => format!(
                                r#"{{"stage":"both","models":[{{"name":"m","version":1,"adapters":[]}}],"busy":false,"sequence":0,"queued":0,"active":0,"kv-used":0,"kv-total":494000,"handles":0,"group":{group},"size":1,"step":5,"map":0,"prepared":null,"armed":null,"held":null,"pace":1.0}}"#
                            ),
                            _ => r#"{"step":5,"epoch":1,"counts":[],"map":{"version":0,"experts":[]}}"#.to_owned(),
                        };
                        let json = [("Content-Type", "application/json".to_owned())];
                        if writer.write_all(&answer("200 OK", &json, body.as_bytes())).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        let (id, service, zone, store) =
            (id.to_owned(), service.to_owned(), zone.to_owned(), store.clone());
        let born = unix_ms();
        thread::spawn(move || {
            for sequence in 0_u64.. {
                let entry = format!(
                    r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":12,"state":"ready","warmup-left-ms":0,"stage":"both","models":[{{"name":"m","version":1,"adapters":[]}}],"sequence":{sequence},"born":{born},"group":{group},"size":1}}"#
                );
                store.put("keyed.servers", &id, Some(entry));
                thread::sleep(HEARTBEAT);
            }
        });
        Self { address }
    }
}

/// Loopback addresses of this run's machines, and the port of their datagrams.
pub struct Network {
    second: u8,
    third: u8,
    next: Mutex<u8>,
    pub datagram_port: u16,
    pub folder: PathBuf,
}

impl Network {
    pub fn new() -> Self {
        let seed = std::process::id() as u64 ^ unix_ms();
        let second = 64 + (seed % 128) as u8;
        let third = (seed / 128 % 250) as u8;
        let probe = UdpSocket::bind((Ipv4Addr::new(127, second, third, 250), 0)).expect("port");
        let datagram_port = probe.local_addr().expect("address").port();
        let folder = std::env::temp_dir().join(format!("alderbay-review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("folder");
        Self { second, third, next: Mutex::new(1), datagram_port, folder }
    }

    pub fn machine(&self) -> IpAddr {
        let mut next = lock(&self.next);
        let ip = Ipv4Addr::new(127, self.second, self.third, *next);
        *next += 1;
        ip.into()
    }

    pub fn free_address(&self, ip: IpAddr) -> SocketAddr {
        let listener = TcpListener::bind((ip, 0)).expect("port");
        listener.local_addr().expect("address")
    }
}

/// One of the project's processes. It is killed when dropped.
pub struct Process {
    child: Child,
}

impl Process {
    pub fn start(network: &Network, name: &str, settings: &str) -> Self {
        let path = network.folder.join(format!("{name}.json"));
        fs::write(&path, settings).expect("settings");
        let log = File::create(network.folder.join(format!("{name}.log"))).expect("log");
        let errors = log.try_clone().expect("log");
        let child = Command::new("target/release/alderbayd")
            .arg("--settings")
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("target/release/alderbayd");
        Self { child }
    }

    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let _ = Command::new("sh").args(["-c", &format!("kill -{name} {pid}")]).status();
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A gateway's addresses.
#[derive(Clone, Copy, Debug)]
pub struct GatewayAddresses {
    pub ip: IpAddr,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    pub admin: SocketAddr,
}

impl GatewayAddresses {
    pub fn new(network: &Network) -> Self {
        let ip = network.machine();
        let (front, ready) = (network.free_address(ip), network.free_address(ip));
        let (control, admin) = (network.free_address(ip), network.free_address(ip));
        Self { ip, front, ready, control, admin }
    }

    /// The settings, as the template of the deploy file gives them.
    pub fn settings(
        &self,
        network: &Network,
        (name, zone): (&str, &str),
        seeds: &[SocketAddr],
        store: SocketAddr,
    ) -> String {
        let Self { ip, front, ready, control, admin } = self;
        let seeds: Vec<String> = seeds.iter().map(|it| format!("\"{it}\"")).collect();
        format!(
            r#"{{"identity":{{"vm":"{name}","failure_domain":"{zone}","admin_listen":"{admin}"}},
"role":{{"gateway":{{"listen":"{front}","ready_listen":"{ready}","peer_listen":"{control}",
"seeds":[{}],"store":"{store}","leave_ms":{DRAIN_MS},"apply_ms":2000,"memory_mb":260,
"budget":{{"retry_ratio":0.2,"retry_burst":94,"cold_factor":1.5,"cold_burst":5}}}}}},
"datagrams":"{ip}:{}","grace_s":{GRACE_S}}}"#,
            seeds.join(","),
            network.datagram_port
        )
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect_timeout(&self.ready, Duration::from_millis(300))
        else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        let _ = stream.write_all(b"GET /v1/readyz HTTP/1.1\r\nHost: ready\r\n\r\n");
        let answer = read_message(&mut BufReader::new(stream));
        answer.ok().flatten().is_some_and(|it| it.status() == 200)
    }
}

/// The settings of a rank agent, as the template of the deploy file gives them.
pub fn agent_settings(
    network: &Network,
    (name, zone): (&str, &str),
    engine: SocketAddr,
    service: &str,
) -> String {
    let ip = engine.ip();
    let admin = network.free_address(ip);
    format!(
        r#"{{"identity":{{"vm":"{name}","failure_domain":"{zone}","admin_listen":"{admin}"}},
"role":{{"rank_agent":{{"engine":"{engine}","service":"{service}"}}}},
"datagrams":"{ip}:{}","grace_s":{GRACE_S}}}"#,
        network.datagram_port
    )
}

/// Sends one request on a new channel and reads the answer; `None` if there is none.
pub fn send(to: SocketAddr, request: &str, timeout: Duration) -> Option<Message> {
    let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let mut writer = stream.try_clone().ok()?;
    writer.write_all(request.as_bytes()).ok()?;
    read_message(&mut BufReader::new(stream)).ok().flatten()
}

pub fn wait_until(longest: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + longest;
    while Instant::now() < deadline {
        if condition() {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}

/// Requests that a model server streams answers to, and when a client got the head of the answer.
#[derive(Clone, Debug)]
pub struct StreamRun {
    pub at: u64,
    pub server: String,
    pub request: String,
    pub last_event: Option<u64>,
}

/// A model server: reads the prompt, then sends the head and the events of its answer. Its engine is a
/// group of one rank, whose agent reads its report.
pub struct ModelServer {
    pub id: String,
    pub address: SocketAddr,
    service: String,
    zone: String,
    store: Arc<Store>,
    record: Arc<Record>,
    pub runs: Mutex<Vec<StreamRun>>,
    active: AtomicU64,
    /// Held while a long prompt is read.
    reading: Mutex<()>,
    sequence: AtomicU64,
    born: u64,
    started: Instant,
    pub is_leaving: AtomicBool,
    has_ended: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
}

/// Prompt tokens that an engine reads in a millisecond.
pub const TOKENS_PER_MS: f64 = 74.8;
/// Prompts from this size on are read one after the other; shorter ones between the pieces of longer.
pub const LONG_PROMPT_TOKENS: f64 = 10_000.0;
/// Time between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(40);
pub const EVENTS: u64 = 8;

impl ModelServer {
    pub fn start(
        (id, service, zone): (&str, &str, &str),
        ip: IpAddr,
        store: &Arc<Store>,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind((ip, 0)).expect("model server");
        let server = Arc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr().expect("address"),
            service: service.to_owned(),
            zone: zone.to_owned(),
            store: store.clone(),
            record: record.clone(),
            runs: Mutex::default(),
            active: AtomicU64::new(0),
            reading: Mutex::default(),
            sequence: AtomicU64::new(0),
            born: unix_ms(),
            started: Instant::now(),
            is_leaving: AtomicBool::new(false),
            has_ended: AtomicBool::new(false),
            open: Mutex::default(),
        });
        let served = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                reset_on_close(&stream);
                if served.has_ended.load(Ordering::SeqCst) {
                    return;
                }
                if let Ok(kept) = stream.try_clone() {
                    lock(&served.open).push(kept);
                }
                let server = served.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        let beating = server.clone();
        thread::spawn(move || {
            while !beating.is_leaving.load(Ordering::SeqCst) {
                beating.check_in("ready");
                thread::sleep(HEARTBEAT);
            }
        });
        server
    }

    /// Ends the server, with all requests in progress.
    pub fn end(&self) {
        self.has_ended.store(true, Ordering::SeqCst);
        self.store.put("keyed.servers", &self.id, None);
        for stream in lock(&self.open).drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        // Wakes the listener, which ends.
        let _ = TcpStream::connect(self.address);
    }

    fn group(&self) -> String {
        format!(r#"{{"name":"g-{}","epoch":1,"rank":0,"state":"open"}}"#, self.id)
    }

    pub fn check_in(&self, state: &str) {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst);
        let Self { service, address, zone, born, .. } = self;
        let group = self.group();
        let entry = format!(
            r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":12,"state":"{state}","warmup-left-ms":0,"stage":"both","models":[{{"name":"m","version":1,"adapters":[]}}],"sequence":{sequence},"born":{born},"group":{group},"size":1}}"#
        );
        self.store.put("keyed.servers", &self.id, Some(entry));
    }

    fn report(&self) -> String {
        let active = self.active.load(Ordering::SeqCst);
        let step = self.started.elapsed().as_millis() / 40 + 5;
        let group = self.group();
        format!(
            r#"{{"stage":"both","models":[{{"name":"m","version":1,"adapters":[]}}],"busy":false,"sequence":0,"queued":0,"active":{active},"kv-used":{},"kv-total":494000,"handles":0,"group":{group},"size":1,"step":{step},"map":0,"pace":1.0}}"#,
            active * 1_000
        )
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader) {
            let path = request.word(1).split('?').next().unwrap_or_default();
            let json = [("Content-Type", "application/json".to_owned())];
            let is_done = match path {
                "/v1/report" => {
                    writer.write_all(&answer("200 OK", &json, self.report().as_bytes())).is_ok()
                }
                "/v1/picked" => {
                    let body = r#"{"step":5,"epoch":1,"counts":[]}"#;
                    writer.write_all(&answer("200 OK", &json, body.as_bytes())).is_ok()
                }
                _ => self.stream(&request, &mut writer),
            };
            if !is_done {
                return;
            }
        }
    }

    /// Answers a request with a stream of events. Drops it when its channel is closed.
    fn stream(&self, request: &Message, writer: &mut TcpStream) -> bool {
        let id = request.header("request-id").unwrap_or_default().to_owned();
        let mut headers = vec![("Request-Id", id.clone()), ("Instance-Id", self.id.clone())];
        if self.is_leaving.load(Ordering::SeqCst) {
            headers.push(("Server-Leaving", "1".to_owned()));
        }
        if request.header("expect-instance").is_some_and(|it| it != self.id) {
            return writer.write_all(&answer("421 Misdirected Request", &headers, b"")).is_ok();
        }
        let last_event = request.header("last-event-id").and_then(|it| it.parse::<u64>().ok());
        let at = self.record.add(format!("{} gets {id}", self.id));
        lock(&self.runs).push(StreamRun {
            at,
            server: self.id.clone(),
            request: id.clone(),
            last_event,
        });
        let counts = request.header("token-counts").unwrap_or("1000,80");
        let prompt: f64 =
            counts.split(',').next().and_then(|it| it.parse().ok()).unwrap_or(1_000.0);
        self.active.fetch_add(1, Ordering::SeqCst);
        let turn = (prompt >= LONG_PROMPT_TOKENS).then(|| lock(&self.reading));
        let begins_at = Instant::now() + Duration::from_secs_f64(prompt / TOKENS_PER_MS / 1_000.0);
        while Instant::now() < begins_at {
            thread::sleep(Duration::from_millis(5).min(begins_at - Instant::now()));
            if self.has_ended.load(Ordering::SeqCst) || is_closed(writer) {
                self.active.fetch_sub(1, Ordering::SeqCst);
                return false;
            }
        }
        drop(turn);
        let mut head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\nWeight-Versions: 1\r\n".to_owned();
        headers.push(("Response-Stamp", format!("stamp.{}", self.id)));
        for (name, value) in &headers {
            head += &format!("{name}: {value}\r\n");
        }
        let mut is_open = writer.write_all((head + "\r\n").as_bytes()).is_ok();
        for event in last_event.unwrap_or(0) + 1..=EVENTS {
            if !is_open || self.has_ended.load(Ordering::SeqCst) {
                is_open = false;
                break;
            }
            let text = format!("id: {event}\ndata: {id} {event}\n\n");
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            is_open = writer.write_all(chunk.as_bytes()).is_ok();
            thread::sleep(EVENT_INTERVAL);
        }
        self.active.fetch_sub(1, Ordering::SeqCst);
        is_open && writer.write_all(b"0\r\n\r\n").is_ok()
    }
}

/// Whether the channel of a request has been closed.
pub fn is_closed(writer: &TcpStream) -> bool {
    let _ = writer.set_nonblocking(true);
    let peeked = writer.peek(&mut [0]);
    let _ = writer.set_nonblocking(false);
    match peeked {
        Ok(count) => count == 0,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
}
