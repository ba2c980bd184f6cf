//! Stand-ins of the platform (store, operator, servers, clients) and the start of the project's own
//! programs, on loopback addresses and the real clock. Only the standard library is used.
#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    fs,
    io::{self, Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

/// Whether the case runs with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |it| it != "0")
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Writes what was sent, answered and run to `record.txt`, with the time since the start.
#[derive(Clone)]
pub struct Recorder(Arc<Mutex<(Instant, fs::File)>>);

impl Recorder {
    pub fn create(folder: &str) -> Self {
        let file = fs::File::create(format!("{folder}/record.txt")).expect("record.txt");
        Self(Arc::new(Mutex::new((Instant::now(), file))))
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let mut inner = self.0.lock().unwrap();
        let ms = inner.0.elapsed().as_millis();
        let _ = writeln!(inner.1, "{ms:>7} ms  {}", text.as_ref());
    }
}

/// A request as a server or the store reads it.
#[derive(Clone, Debug, Default)]
pub struct HttpRequest {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl HttpRequest {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|it| it.0.eq_ignore_ascii_case(name)).map(|it| it.1.as_str())
    }

    pub fn id(&self) -> String {
        self.header("request-id").unwrap_or("-").to_owned()
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.target.split_once('?')?.1;
        query.split('&').find_map(|it| it.strip_prefix(name)?.strip_prefix('='))
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}

fn read_line(stream: &mut TcpStream) -> io::Result<String> {
    let mut line = Vec::new();
    let mut byte = [0_u8; 1];
    loop {
        if stream.read(&mut byte)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        if byte[0] == b'\n' {
            return Ok(String::from_utf8_lossy(&line).trim_end_matches('\r').to_owned());
        }
        line.push(byte[0]);
    }
}

fn read_headers(stream: &mut TcpStream) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(stream)?;
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|it| it.0.eq_ignore_ascii_case(name)).map(|it| it.1.as_str())
}

pub fn read_request(stream: &mut TcpStream) -> io::Result<HttpRequest> {
    let line = read_line(stream)?;
    let mut words = line.split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default().to_owned();
    let headers = read_headers(stream)?;
    let length = find(&headers, "content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body)?;
    Ok(HttpRequest { method, target, headers, body })
}

pub fn write_answer(
    stream: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    stream.write_all(&[head.as_bytes(), body].concat())
}

/// Serves connections, each on a thread of its own, until the handler fails or the process ends.
pub fn serve(
    listener: TcpListener,
    handle: impl Fn(&HttpRequest, &mut TcpStream) -> io::Result<()> + Send + Sync + 'static,
) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            let _ = stream.set_nodelay(true);
            let handle = handle.clone();
            thread::spawn(move || {
                while let Ok(request) = read_request(&mut stream) {
                    if handle(&request, &mut stream).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

/// The platform's store: keyed topics, read as the newest of each key or from an offset.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<StoreState>, Condvar)>,
}

#[derive(Default)]
struct StoreState {
    topics: BTreeMap<String, Vec<(String, Option<Vec<u8>>)>>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("store address");
        let address = listener.local_addr().unwrap();
        let state = Arc::new((Mutex::new(StoreState::default()), Condvar::new()));
        let shared = state.clone();
        serve(listener, move |request, stream| {
            let topic = request.query("topic").unwrap_or_default().to_owned();
            let era = [("Store-Era", "1"), ("Content-Type", "application/json")];
            match request.path() {
                "/v1/log-newest" => {
                    let body = newest(shared.0.lock().unwrap().topics.get(&topic));
                    write_answer(stream, "200 OK", &era, body.as_bytes())
                }
                "/v1/log-read" => {
                    let number = |name| request.query(name).and_then(|it| it.parse::<u64>().ok());
                    let from = number("range-start").unwrap_or(0) as usize;
                    let wait = Duration::from_millis(number("wait-ms").unwrap_or(0));
                    let state = shared.0.lock().unwrap();
                    let is_empty = |it: &mut StoreState| {
                        it.topics.get(&topic).is_none_or(|it| it.len() <= from)
                    };
                    let (state, _) = shared.1.wait_timeout_while(state, wait, is_empty).unwrap();
                    let none = Vec::new();
                    let records = state.topics.get(&topic).unwrap_or(&none);
                    if from > records.len() {
                        drop(state);
                        return write_answer(stream, "410 Gone", &era, b"{\"first-offset\":0}");
                    }
                    let body = page(records, from);
                    drop(state);
                    write_answer(stream, "200 OK", &era[..1], &body)
                }
                _ => write_answer(stream, "404 Not Found", &era, b"{}"),
            }
        });
        Self { address, state }
    }

    /// Appends a record, as the operator or a server does. Returning is the confirmation.
    pub fn put(&self, topic: &str, key: &str, value: Option<&str>) {
        let value = value.map(|it| it.as_bytes().to_vec());
        let mut state = self.state.0.lock().unwrap();
        state.topics.entry(topic.to_owned()).or_default().push((key.to_owned(), value));
        self.state.1.notify_all();
    }
}

fn newest(records: Option<&Vec<(String, Option<Vec<u8>>)>>) -> String {
    let mut latest: BTreeMap<&str, (usize, &Option<Vec<u8>>)> = BTreeMap::new();
    let records = records.map_or(&[][..], Vec::as_slice);
    for (offset, (key, value)) in records.iter().enumerate() {
        latest.insert(key, (offset, value));
    }
    let items: Vec<String> = latest
        .into_iter()
        .filter_map(|(key, (offset, value))| {
            let value = base64(value.as_ref()?);
            Some(format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}"))
        })
        .collect();
    let (items, end) = (items.join(","), records.len());
    format!("{{\"items\":[{items}],\"has-more\":false,\"end-offset\":{end}}}")
}

fn page(records: &[(String, Option<Vec<u8>>)], from: usize) -> Vec<u8> {
    let mut body = (records.len() as u64).to_be_bytes().to_vec();
    body.extend(0_u64.to_be_bytes());
    for (key, value) in &records[from..] {
        let value = value.as_deref().unwrap_or_default();
        body.extend((1 + key.len() as u32 + value.len() as u32).to_be_bytes());
        body.push(key.len() as u8);
        body.extend(key.as_bytes());
        body.extend(value);
    }
    body
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0_u32, |word, it| word << 8 | u32::from(*it));
        let word = word << (8 * (3 - chunk.len()));
        for n in 0..4 {
            let is_padding = n > chunk.len();
            let digit = DIGITS[(word >> (18 - 6 * n)) as usize & 63] as char;
            text.push(if is_padding { '=' } else { digit });
        }
    }
    text
}

/// Binds a listener on this loopback address.
pub fn listen_on(ip: [u8; 4]) -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind((Ipv4Addr::from(ip), 0)).expect("free port");
    let address = listener.local_addr().unwrap();
    (listener, address)
}

fn free_tcp(ip: Ipv4Addr) -> u16 {
    TcpListener::bind((ip, 0)).unwrap().local_addr().unwrap().port()
}

/// Returns a free UDP port.
pub fn free_udp_port() -> u16 {
    UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap().port()
}

/// One process of the project, started with the command of the deploy file.
pub struct Daemon {
    child: Child,
    pub listen: SocketAddr,
    pub ready: SocketAddr,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Values that the platform fills into the templates of the deploy file.
pub struct Machine<'a> {
    pub name: &'a str,
    pub zone: &'a str,
    pub ip: [u8; 4],
    pub udp_port: u16,
}

impl Daemon {
    /// Starts a gateway. `seeds` are control addresses of others.
    pub fn gateway(machine: &Machine<'_>, store: SocketAddr, temporary: &PathBuf) -> Self {
        let ip = Ipv4Addr::from(machine.ip);
        let address = || SocketAddr::from((machine.ip, free_tcp(ip)));
        let (listen, ready, control) = (address(), address(), address());
        let values = [
            ("{{listen.front}}", listen.to_string()),
            ("{{listen.ready}}", ready.to_string()),
            ("{{listen.control}}", control.to_string()),
            ("{{seeds|json}}", format!("[\"{control}\"]")),
            ("{{platform.address}}", store.to_string()),
            ("{{bounds.drain-ms}}", "2000".into()),
            ("{{bounds.config-apply-ms}}", "2000".into()),
            ("{{limits.memory-mb}}", "260".into()),
            ("{{bounds.retry-budget-ratio}}", "0.2".into()),
            ("{{bounds.retry-slack}}", "94".into()),
            ("{{bounds.warmup-overage}}", "1.5".into()),
            ("{{bounds.warmup-slack}}", "5".into()),
        ];
        Self::start("deploy/gateway.json.tmpl", machine, &values, temporary, (listen, ready))
    }

    fn start(
        template: &str,
        machine: &Machine<'_>,
        values: &[(&str, String)],
        temporary: &PathBuf,
        (listen, ready): (SocketAddr, SocketAddr),
    ) -> Self {
        let ip = Ipv4Addr::from(machine.ip);
        let mut text = fs::read_to_string(template).expect("template of the deploy file");
        let own = [
            ("{{node-name}}", machine.name.to_owned()),
            ("{{zone}}", machine.zone.to_owned()),
            ("{{ip}}:9464", format!("{ip}:{}", free_tcp(ip))),
            ("{{ip}}", ip.to_string()),
            ("{{internal-ports.0}}", machine.udp_port.to_string()),
            ("{{bounds.grace-s}}", "8".into()),
        ];
        for (name, value) in values.iter().chain(&own) {
            text = text.replace(name, value);
        }
        assert!(!text.contains("{{"), "placeholder without a value: {text}");
        let folder = temporary.join(machine.name);
        fs::create_dir_all(&folder).unwrap();
        let settings = folder.join("settings.json");
        fs::write(&settings, text).unwrap();
        let log = fs::File::create(folder.join("log")).unwrap();
        let child = Command::new("target/release/alderbayd")
            .arg("--settings")
            .arg(&settings)
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()
            .expect("target/release/alderbayd, built as the deploy file says");
        Self { child, listen, ready }
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args([name, &id]).status();
        assert!(status.is_ok_and(|it| it.success()), "kill {name}");
    }

    /// Waits until the platform's question for readiness is answered with 200.
    pub fn wait_ready(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(15);
        while Instant::now() < end {
            let answer = Client::connect(self.ready)
                .and_then(|mut it| it.call("GET", "/v1/readyz", &[("Host", "x")], b""));
            if answer.is_ok_and(|it| it.status == 200) {
                return true;
            }
            sleep_ms(50);
        }
        false
    }
}

/// An answer as a client sees it.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body is whole by its framing.
    pub is_whole: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A client's channel.
pub struct Client {
    pub stream: TcpStream,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(20)))?;
        Ok(Self { stream })
    }

    pub fn send(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<()> {
        let mut head = format!("{method} {path} HTTP/1.1\r\n");
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        if method != "GET" {
            head.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        head.push_str("\r\n");
        self.stream.write_all(&[head.as_bytes(), body].concat())
    }

    pub fn read_head(&mut self) -> io::Result<Answer> {
        let line = read_line(&mut self.stream)?;
        let status = line.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0);
        let headers = read_headers(&mut self.stream)?;
        Ok(Answer { status, headers, ..Answer::default() })
    }

    /// Reads the next chunk of a body; an empty one is the last.
    pub fn read_chunk(&mut self) -> io::Result<Vec<u8>> {
        let line = read_line(&mut self.stream)?;
        let length = usize::from_str_radix(line.trim(), 16)
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let mut chunk = vec![0; length];
        self.stream.read_exact(&mut chunk)?;
        read_line(&mut self.stream)?;
        Ok(chunk)
    }

    /// Reads a whole answer. A body that breaks off is returned as far as it came.
    pub fn read(&mut self) -> io::Result<Answer> {
        let mut answer = self.read_head()?;
        if answer.header("transfer-encoding").is_some() {
            loop {
                match self.read_chunk() {
                    Ok(chunk) if chunk.is_empty() => {
                        answer.is_whole = true;
                        return Ok(answer);
                    }
                    Ok(chunk) => answer.body.extend(chunk),
                    Err(_) => return Ok(answer),
                }
            }
        }
        let length = answer.header("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
        let mut body = vec![0; length];
        answer.is_whole = self.stream.read_exact(&mut body).is_ok();
        answer.body = body;
        Ok(answer)
    }

    pub fn call(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<Answer> {
        self.send(method, path, headers, body)?;
        self.read()
    }
}

/// A temporary folder, removed at the end.
pub struct Temporary(pub PathBuf);

impl Temporary {
    pub fn create() -> Self {
        let path = std::env::temp_dir().join(format!("alderbay-review-{}", std::process::id()));
        fs::create_dir_all(&path).expect("temporary folder");
        Self(path)
    }
}

impl Drop for Temporary {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Parts of the prompt of a request without a session.
pub const PARTS: &str = "5c1e07a2:40,e4402b7d:600";

/// Key of the tenant in the manifests of the cases.
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// A manifest with one streaming route, in the shape that the pages show. `fields` are those of the
/// route that the case chooses.
pub fn stream_manifest(version: u32, fields: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-1","hostname":"ficu95.example",
        "path-prefix":"/lohu930/","kind":"streaming","timeout-ms":8000,"target-latency-ms":400,
        "priority":1,"service":"huvo11a","public":false,"session-affinity":true,
        "gap-target-ms":120,{fields}}}],
        "services":[{{"name":"huvo11a","health-check-path":"/healthz","max-connections":418,
        "protocol":"h1","tls":false,"warmup-s":0.0,"warmup-per-s":0.0}}],
        "limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,
        "idle-timeout-ms":15000}},
        "tenants":[{{"name":"hule930","api-keys":["{KEY}"],"priority":1}}]}}"#
    )
}

/// A server's entry in the directory.
pub fn server_entry(service: &str, address: SocketAddr, zone: &str, slots: u32) -> String {
    format!(
        r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1",
        "slots":{slots},"state":"ready","warmup-left-ms":0,"sequence":1,"born":1700000000000}}"#
    )
}

/// Sends the head of a server's stream.
pub fn begin_stream(stream: &mut TcpStream, id: &str) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: {id}\r\n\
         Response-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes())
}

/// Sends one event of a stream.
pub fn send_event(stream: &mut TcpStream, number: u64) -> io::Result<()> {
    let event = format!("id: {number}\ndata: piece {number}\n\n");
    stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())
}

pub fn end_stream(stream: &mut TcpStream) -> io::Result<()> {
    stream.write_all(b"0\r\n\r\n")
}

impl HttpRequest {
    /// Returns the number of the last event that the client has, 0 for none.
    pub fn last_event(&self) -> u64 {
        self.header("last-event-id").and_then(|it| it.parse().ok()).unwrap_or(0)
    }
}

impl Client {
    /// Sends a request to the streaming route with these parts of its prompt.
    pub fn send_stream_request(&mut self, id: &str, parts: &str) -> io::Result<()> {
        let authorization = format!("Token {KEY}");
        let headers = [
            ("Host", "ficu95.example"),
            ("Request-Id", id),
            ("Model", "m"),
            ("Token-Counts", "640,360"),
            ("Prompt-Prefix", parts),
            ("Time-Budget-Ms", "8000"),
            ("Authorization", authorization.as_str()),
        ];
        self.send("POST", "/lohu930/2f", &headers, id.as_bytes())
    }

    /// Opens a channel and uses it once: a path without a route gets 404.
    pub fn connect_and_use(address: SocketAddr) -> io::Result<Self> {
        let mut client = Self::connect(address)?;
        client.call("GET", "/none/", &[("Host", "ficu95.example")], b"")?;
        Ok(client)
    }
}

/// A manifest with one route of this kind to a plain service.
pub fn plain_manifest(version: u32, kind: &str, key: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-1","hostname":"ficu95.example",
        "path-prefix":"/puxa403/","kind":"{kind}","timeout-ms":1000,"target-latency-ms":150,
        "priority":2,"service":"wuno96b","max-attempts":2,"public":false}}],
        "services":[{{"name":"wuno96b","health-check-path":"/healthz","max-connections":110,
        "protocol":"h1","tls":false,"warmup-s":0.0,"warmup-per-s":0.0}}],
        "limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,
        "idle-timeout-ms":15000}},
        "tenants":[{{"name":"hule930","api-keys":["{key}"],"priority":1}}]}}"#
    )
}

impl Client {
    /// Sends a request to the route of [`plain_manifest`] and reads the answer.
    pub fn call_plain(
        &mut self,
        method: &str,
        id: &str,
        key: &str,
        body: &[u8],
    ) -> io::Result<Answer> {
        let authorization = format!("Token {key}");
        let headers = [
            ("Host", "ficu95.example"),
            ("Request-Id", id),
            ("Time-Budget-Ms", "1000"),
            ("Authorization", authorization.as_str()),
        ];
        self.call(method, "/puxa403/2f", &headers, body)
    }
}
