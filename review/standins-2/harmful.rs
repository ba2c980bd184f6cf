//! A part of prompts ends each server that begins to write an answer on it. Either the prompts are long,
//! so that the first event comes later than the gateway waits before it looks for another server, or they
//! have many parts.

use std::{
    io::{BufRead, BufReader, Write},
    net::{IpAddr, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::fleet::{
    EVENTS, GatewayAddresses, HEARTBEAT, LONG_PROMPT_TOKENS, Message, Network, Process, Record,
    Store, TOKENS_PER_MS, agent_settings, answer, is_closed, lock, read_head, read_message,
    reset_on_close, unix_ms, wait_until,
};

const ZONE: &str = "zone-a";
const KEY: &str = "n2ctnfzs989anu6wsjnb";
/// The part that ends servers. It is never the last one.
const HARMFUL_PART: &str = "0badf00d";
/// The part in its place without the disruption.
const SOUND_PART: &str = "600df00d";
/// A prompt that an engine reads in 1.75 s. Clients wait two seconds for the first event.
const LONG_PROMPT: u64 = 131_000;
const SHORT_PROMPT: u64 = 700;
/// Parts that sound requests and harmful ones share, where prompts have many.
const SHARED_PARTS: u64 = 34;
/// Time after which a server that ended is back: "some seconds".
const DOWN_TIME: Duration = Duration::from_millis(2_500);
const CONTACT_MS: u64 = 3_000;
const LENGTH: Duration = Duration::from_secs(45);

fn manifest() -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-draft","hostname":"dues.example","path-prefix":"/draft/","kind":"streaming","timeout-ms":8000,"target-latency-ms":400,"priority":1,"service":"drafts","max-attempts":2,"public":false,"session-affinity":true,"resumable":true,"gap-target-ms":120}}],"services":[{{"name":"drafts","health-check-path":"/healthz","max-connections":418,"protocol":"h1","tls":false,"warmup-s":3.0,"warmup-per-s":36.0,"engine":{{"slots":12,"kv-capacity-tokens":494000,"link-mbps":92000.0,"stride":6,"models":[{{"name":"m"}}]}}}}],"tenants":[{{"name":"hule930","api-keys":["{KEY}"]}}],"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":5000,"idle-timeout-ms":10000}}}}"#
    )
}

/// What servers saw.
#[derive(Default)]
struct Seen {
    /// Ends of servers: time, server and request.
    ends: Vec<(u64, String, String)>,
    /// Requests with the harmful part that reached servers.
    arrivals: Vec<(u64, String, String)>,
}

/// A model server that ends when it begins to answer a prompt with the harmful part, and starts again
/// under its id.
struct FragileServer {
    id: String,
    address: SocketAddr,
    store: Arc<Store>,
    record: Arc<Record>,
    seen: Arc<Mutex<Seen>>,
    is_down: AtomicBool,
    life: AtomicU64,
    active: AtomicU64,
    /// Held while a long prompt is read.
    reading: Mutex<()>,
    born: AtomicU64,
    sequence: AtomicU64,
    started: Instant,
    open: Mutex<Vec<TcpStream>>,
}

impl FragileServer {
    fn start(
        id: String,
        ip: IpAddr,
        store: &Arc<Store>,
        record: &Arc<Record>,
        seen: &Arc<Mutex<Seen>>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind((ip, 0)).expect("server");
        let server = Arc::new(Self {
            id,
            address: listener.local_addr().expect("address"),
            store: store.clone(),
            record: record.clone(),
            seen: seen.clone(),
            is_down: AtomicBool::new(false),
            life: AtomicU64::new(1),
            active: AtomicU64::new(0),
            reading: Mutex::default(),
            born: AtomicU64::new(unix_ms()),
            sequence: AtomicU64::new(0),
            started: Instant::now(),
            open: Mutex::default(),
        });
        let served = server.clone();
        thread::spawn(move || served.run(listener));
        let beating = server.clone();
        thread::spawn(move || {
            loop {
                if !beating.is_down.load(Ordering::SeqCst) {
                    beating.check_in();
                }
                thread::sleep(HEARTBEAT);
            }
        });
        server
    }

    fn run(self: Arc<Self>, mut listener: TcpListener) {
        loop {
            let _ = listener.set_nonblocking(true);
            while !self.is_down.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        reset_on_close(&stream);
                        if let Ok(kept) = stream.try_clone() {
                            lock(&self.open).push(kept);
                        }
                        let server = self.clone();
                        thread::spawn(move || server.serve(stream));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
            // The address refuses connections until the server is back.
            drop(listener);
            for stream in lock(&self.open).drain(..) {
                let _ = stream.shutdown(std::net::Shutdown::Both);
            }
            thread::sleep(DOWN_TIME);
            listener = loop {
                match TcpListener::bind(self.address) {
                    Ok(listener) => break listener,
                    Err(_) => thread::sleep(Duration::from_millis(20)),
                }
            };
            self.born.store(unix_ms(), Ordering::SeqCst);
            self.active.store(0, Ordering::SeqCst);
            self.life.fetch_add(1, Ordering::SeqCst);
            self.is_down.store(false, Ordering::SeqCst);
            self.record.add(format!("{} is back", self.id));
            self.check_in();
        }
    }

    fn group(&self) -> String {
        let epoch = self.life.load(Ordering::SeqCst);
        format!(r#"{{"name":"g-{}","epoch":{epoch},"rank":0,"state":"open"}}"#, self.id)
    }

    fn check_in(&self) {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst);
        let born = self.born.load(Ordering::SeqCst);
        let is_first_life = self.life.load(Ordering::SeqCst) == 1;
        let age = unix_ms().saturating_sub(born);
        let warm_up = if is_first_life { 0 } else { 3_000_u64.saturating_sub(age) };
        let (address, group) = (self.address, self.group());
        let entry = format!(
            r#"{{"service":"drafts","address":"{address}","zone":"{ZONE}","version":"v1","slots":12,"state":"ready","warmup-left-ms":{warm_up},"stage":"both","models":[{{"name":"m","version":1,"adapters":[]}}],"sequence":{sequence},"born":{born},"group":{group},"size":1}}"#
        );
        self.store.put("keyed.servers", &self.id, Some(entry));
    }

    fn report(&self) -> String {
        let active = self.active.load(Ordering::SeqCst);
        let step = self.started.elapsed().as_millis() / 40 + 5;
        format!(
            r#"{{"stage":"both","models":[{{"name":"m","version":1,"adapters":[]}}],"busy":false,"sequence":0,"queued":0,"active":{active},"kv-used":{},"kv-total":494000,"handles":0,"group":{},"size":1,"step":{step},"map":0,"pace":1.0}}"#,
            active * 1_000,
            self.group()
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
                _ => {
                    let life = self.life.load(Ordering::SeqCst);
                    self.active.fetch_add(1, Ordering::SeqCst);
                    let is_done = self.stream(&request, &mut writer);
                    if self.life.load(Ordering::SeqCst) == life {
                        self.active.fetch_sub(1, Ordering::SeqCst);
                    }
                    is_done
                }
            };
            if !is_done {
                return;
            }
        }
    }

    fn stream(&self, request: &Message, writer: &mut TcpStream) -> bool {
        let id = request.header("request-id").unwrap_or_default().to_owned();
        let mut headers = vec![("Request-Id", id.clone()), ("Instance-Id", self.id.clone())];
        if request.header("expect-instance").is_some_and(|it| it != self.id) {
            return writer.write_all(&answer("421 Misdirected Request", &headers, b"")).is_ok();
        }
        let is_harmful =
            request.header("prompt-prefix").is_some_and(|it| it.contains(HARMFUL_PART));
        if is_harmful {
            let at = self.record.add(format!("{} gets {id}, harmful", self.id));
            lock(&self.seen).arrivals.push((at, self.id.clone(), id.clone()));
        }
        let last_event = request.header("last-event-id").and_then(|it| it.parse::<u64>().ok());
        let counts = request.header("token-counts").unwrap_or("1000,80");
        let prompt: f64 =
            counts.split(',').next().and_then(|it| it.parse().ok()).unwrap_or(1_000.0);
        let turn = (prompt >= LONG_PROMPT_TOKENS).then(|| lock(&self.reading));
        let begins_at = Instant::now() + Duration::from_secs_f64(prompt / TOKENS_PER_MS / 1_000.0);
        while Instant::now() < begins_at {
            thread::sleep(Duration::from_millis(5).min(begins_at - Instant::now()));
            if self.is_down.load(Ordering::SeqCst) || is_closed(writer) {
                return false;
            }
        }
        drop(turn);
        if is_harmful {
            if !self.is_down.swap(true, Ordering::SeqCst) {
                let at = self.record.add(format!("{} ends as it begins to answer {id}", self.id));
                lock(&self.seen).ends.push((at, self.id.clone(), id));
            }
            return false;
        }
        let mut head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\nWeight-Versions: 1\r\n".to_owned();
        headers.push(("Response-Stamp", format!("stamp.{}", self.id)));
        for (name, value) in &headers {
            head += &format!("{name}: {value}\r\n");
        }
        let mut is_open = writer.write_all((head + "\r\n").as_bytes()).is_ok();
        for event in last_event.unwrap_or(0) + 1..=EVENTS {
            if !is_open || self.is_down.load(Ordering::SeqCst) {
                return false;
            }
            let text = format!("id: {event}\ndata: {id} {event}\n\n");
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            is_open = writer.write_all(chunk.as_bytes()).is_ok();
            thread::sleep(Duration::from_millis(40));
        }
        is_open && writer.write_all(b"0\r\n\r\n").is_ok()
    }
}

/// What the prompts look like.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromptShape {
    /// Those with the harmful part are long.
    Long,
    /// All have many parts.
    ManyParts,
}

/// Returns the number of tokens of a prompt and its parts. The last part is the request's own.
fn prompt(shape: PromptShape, id: &str, part: Option<&str>) -> (u64, String) {
    match (shape, part) {
        (PromptShape::Long, Some(part)) => {
            (LONG_PROMPT, format!("5c1e07a2:40,{part}:800,{id}:130160"))
        }
        (PromptShape::Long, None) => (SHORT_PROMPT, format!("5c1e07a2:40,{id}:660")),
        (PromptShape::ManyParts, part) => {
            let shared: String =
                (0..SHARED_PARTS).map(|it| format!(",{:08x}:20", 0x91bd_3f00 + it)).collect();
            let tokens = 40 + 20 * SHARED_PARTS + 140 + if part.is_some() { 300 } else { 0 };
            let part = part.map(|it| format!(",{it}:300")).unwrap_or_default();
            (tokens, format!("5c1e07a2:40{part}{shared},{id}:140"))
        }
    }
}

/// Sends a request and reads its answer. Returns whether it was whole.
fn ask(
    record: &Record,
    gateway: GatewayAddresses,
    id: &str,
    (tokens, parts): (u64, String),
) -> bool {
    let request = format!(
        "POST /draft/2f HTTP/1.1\r\nHost: dues.example\r\nRequest-Id: {id}\r\nModel: m\r\nToken-Counts: {tokens},80\r\nPrompt-Prefix: {parts}\r\nTime-Budget-Ms: 8000\r\nAuthorization: Token {KEY}\r\nContent-Length: 16\r\n\r\n{id}"
    );
    let Ok(mut stream) = TcpStream::connect(gateway.front) else { return false };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_millis(2_000)));
    if stream.write_all(request.as_bytes()).is_err() {
        return false;
    }
    let mut reader = BufReader::new(stream);
    let status = match read_head(&mut reader) {
        Ok(Some(head)) => head.status(),
        Ok(None) | Err(_) => {
            record.add(format!("client gives {id} up"));
            return false;
        }
    };
    if status != 200 {
        record.add(format!("client gets {id}: {status}"));
        return false;
    }
    let (mut events, mut line) = (0, String::new());
    while reader.read_line(&mut line).is_ok_and(|it| it > 0) {
        events += u64::from(line.starts_with("id:"));
        if line.trim_end() == "0" {
            return events == EVENTS;
        }
        line.clear();
    }
    record.add(format!("client's {id} breaks off"));
    false
}

pub fn run(record: &Arc<Record>, has_trouble: bool, shape: PromptShape) -> Result<bool, String> {
    let network = Network::new();
    let store = Store::start(network.machine());
    store.put("keyed.op", "config", Some(manifest()));
    let seen: Arc<Mutex<Seen>> = Arc::default();
    let servers: Vec<Arc<FragileServer>> = (1..=8)
        .map(|it| FragileServer::start(format!("i-{it}"), network.machine(), &store, record, &seen))
        .collect();
    let gateways: Vec<GatewayAddresses> = (0..2).map(|_| GatewayAddresses::new(&network)).collect();
    let seeds: Vec<_> = gateways.iter().map(|it| it.control).collect();
    let mut processes = Vec::new();
    for (n, gateway) in gateways.iter().enumerate() {
        let name = format!("front-{}", n + 1);
        let settings = gateway.settings(&network, (&name, ZONE), &seeds, store.address);
        processes.push(Process::start(&network, &name, &settings));
    }
    for (n, server) in servers.iter().enumerate() {
        let name = format!("side-{}", n + 1);
        let settings = agent_settings(&network, (&name, ZONE), server.address, "drafts");
        processes.push(Process::start(&network, &name, &settings));
    }
    if !wait_until(Duration::from_secs(10), || gateways.iter().all(GatewayAddresses::is_ready)) {
        return Err("the gateways are not ready".into());
    }
    record.add("all gateways are ready");
    thread::sleep(Duration::from_secs(5));

    let (sound, whole) = (AtomicU64::new(0), AtomicU64::new(0));
    thread::scope(|scope| {
        let began = Instant::now();
        let mut number = 0_u64;
        while began.elapsed() < LENGTH {
            number += 1;
            let gateway = gateways[(number / 4 % 2) as usize];
            let is_extra = number % 8 == 0;
            let part = if has_trouble { HARMFUL_PART } else { SOUND_PART };
            let id = format!("{number:016x}");
            let (sound, whole) = (&sound, &whole);
            scope.spawn(move || {
                let is_whole =
                    ask(record, gateway, &id, prompt(shape, &id, is_extra.then_some(part)));
                if !is_extra {
                    sound.fetch_add(1, Ordering::SeqCst);
                    whole.fetch_add(u64::from(is_whole), Ordering::SeqCst);
                }
            });
            thread::sleep(Duration::from_millis(125));
        }
    });
    let seen = lock(&seen);
    let (sound, whole) = (sound.into_inner(), whole.into_inner());
    record.add(format!("{whole} of {sound} sound answers were whole"));
    record.add(format!("servers ended {} times", seen.ends.len()));
    let mut late = 0;
    if let Some((fifth, ..)) = seen.ends.get(4) {
        record.add(format!("the fifth server ended at {fifth}"));
        let is_late = |it: &&(u64, String, String)| it.0 > fifth + CONTACT_MS;
        late = seen.arrivals.iter().filter(is_late).count();
        let ends = seen.ends.iter().filter(|it| it.0 > fifth + CONTACT_MS).count();
        record.add(format!(
            "BUDGET: {late} requests with the part reached servers later than {CONTACT_MS} ms after that, and {ends} more servers ended"
        ));
    }
    if !processes.iter_mut().all(Process::is_running) {
        return Err("a process ended by itself".into());
    }
    if let Ok(folder) = std::env::var("KEEP_LOGS") {
        let _ =
            std::process::Command::new("cp").args(["-r"]).arg(&network.folder).arg(folder).status();
    }
    let _ = std::fs::remove_dir_all(&network.folder);
    Ok(late > 3)
}
