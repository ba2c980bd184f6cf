//! Fake backend servers that end when they begin to answer a request whose prompt has a certain
//! part, or when they begin to run one with a certain body, and start again as new servers at the
//! same address.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
    sync::watch,
    time::Instant,
};

use super::{
    platform_store::FakeStore,
    scripted_server::{ReceivedRequest, misdirected, read_request},
};

/// Time from the head of an answer until the server ends.
const CRASH_DELAY: Duration = Duration::from_millis(40);
/// Time until a server that has ended starts again.
const RESTART_DELAY: Duration = Duration::from_millis(300);
const LISTEN_BACKLOG: u32 = 1_024;
/// Time that a request without a prompt takes.
const WORK_TIME: Duration = Duration::from_millis(60);
/// Pause between the events of an answer.
const EVENT_PAUSE: Duration = Duration::from_millis(20);
/// Length that a server announces for the answer under which it ends.
const CALL_BYTES: usize = 600;
/// Number of events of an answer.
const EVENT_COUNT: u32 = 10;

/// How much of its answer to a prompt a server has written when it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashPoint {
    Nothing,
    InterimResponse,
    PartOfStatusLine,
    PartOfHead,
    Head,
    PartOfEvent,
}

impl CrashPoint {
    fn written(self, head: &str) -> String {
        match self {
            Self::Nothing => String::new(),
            Self::InterimResponse => "HTTP/1.1 102 Processing\r\n\r\n".to_owned(),
            Self::PartOfStatusLine => "HTTP/1.1 2".to_owned(),
            Self::PartOfHead => head.chars().take(30).collect(),
            Self::Head => head.to_owned(),
            Self::PartOfEvent => format!("{head}5\r\nid: 1\r\n"),
        }
    }
}

/// What happened at the servers.
#[derive(Default)]
pub struct CrashLog {
    /// When each server ended.
    pub ends: Vec<Instant>,
    /// When each harmful request reached a server.
    pub harmful_sends: Vec<Instant>,
    /// Number of servers started.
    starts: u32,
}

/// A set of servers of service `s` that are listed in the store.
#[derive(Clone)]
pub struct FragileServers {
    log: Arc<Mutex<CrashLog>>,
    harmful: Arc<BTreeSet<String>>,
    crash_point: CrashPoint,
    /// Time for which a server reads a harmful prompt before it begins to answer.
    read_time: Duration,
    /// Counts the times at which all servers ended at once.
    outages: watch::Sender<u32>,
}

impl FragileServers {
    /// Starts a server at each address. Requests with one of the parts or bodies `harmful` end their
    /// server.
    pub async fn start(store: &Arc<FakeStore>, addresses: &[SocketAddr], harmful: &[&str]) -> Self {
        Self::start_with(store, addresses, harmful, CrashPoint::Head).await
    }

    /// Starts servers that end at this point of their answer to a prompt.
    pub async fn start_with(
        store: &Arc<FakeStore>,
        addresses: &[SocketAddr],
        harmful: &[&str],
        crash_point: CrashPoint,
    ) -> Self {
        Self::start_reading(store, addresses, harmful, (crash_point, Duration::ZERO)).await
    }

    /// Starts servers that read harmful prompts for `read_time`.
    pub async fn start_reading(
        store: &Arc<FakeStore>,
        addresses: &[SocketAddr],
        harmful: &[&str],
        (crash_point, read_time): (CrashPoint, Duration),
    ) -> Self {
        let harmful = harmful.iter().map(|it| (*it).to_owned()).collect();
        let servers = Self {
            log: Arc::default(),
            harmful: Arc::new(harmful),
            crash_point,
            read_time,
            outages: watch::Sender::new(0),
        };
        for address in addresses {
            let listener = TcpListener::bind(address).await.unwrap();
            tokio::spawn(servers.clone().run(store.clone(), *address, listener));
        }
        servers
    }

    /// Returns what was recorded, through `read`.
    pub fn log<T>(&self, read: impl FnOnce(&CrashLog) -> T) -> T {
        read(&self.log.lock().unwrap())
    }

    /// Ends all servers, which start again as after other ends.
    pub fn end_all(&self) {
        self.outages.send_modify(|it| *it += 1);
    }

    /// Runs one server after the other at an address.
    async fn run(self, store: Arc<FakeStore>, address: SocketAddr, mut listener: TcpListener) {
        loop {
            let id = {
                let mut log = self.log.lock().unwrap();
                log.starts += 1;
                format!("i-{}", log.starts)
            };
            let entry = json!({"service": "s", "address": address, "zone": "a", "version": "v1",
                "slots": 12, "state": "ready", "warmup-left-ms": 0, "sequence": 1, "born": 1});
            store.put("keyed.servers", &id, Some(&entry));
            let (end, ended) = watch::channel(false);
            let mut has_ended = ended.clone();
            let mut outages = self.outages.subscribe();
            while !*ended.borrow() {
                tokio::select! {
                    accepted = listener.accept() => {
                        let Ok((stream, _)) = accepted else { continue };
                        tokio::spawn(self.clone().serve(stream, id.clone(), end.clone(), ended.clone()));
                    }
                    _ = has_ended.changed() => {}
                    _ = outages.changed() => {
                        end.send_replace(true);
                    }
                }
            }
            drop(listener);
            // A socket that is bound refuses connections, and nobody else can take its port.
            let socket = TcpSocket::new_v4().unwrap();
            socket.set_reuseaddr(true).unwrap();
            socket.bind(address).unwrap();
            tokio::time::sleep(RESTART_DELAY).await;
            store.put("keyed.servers", &id, None);
            listener = socket.listen(LISTEN_BACKLOG).unwrap();
        }
    }

    /// Serves one connection until the server ends.
    async fn serve(
        self,
        mut stream: TcpStream,
        id: String,
        end: watch::Sender<bool>,
        mut ended: watch::Receiver<bool>,
    ) {
        // A process that ends resets its connections.
        #[allow(deprecated)]
        stream.set_linger(Some(Duration::ZERO)).unwrap();
        tokio::select! {
            () = self.answer(&mut stream, &id, &end) => {}
            _ = ended.changed() => {}
        }
    }

    async fn answer(&self, stream: &mut TcpStream, id: &str, end: &watch::Sender<bool>) {
        let Some(received) = read_request(stream).await else { return };
        let header = |name: &str| received.headers.get(name).cloned();
        if header("expect-instance").as_deref() != Some(id) {
            let _ = stream.write_all(misdirected(&received.headers).as_bytes()).await;
            return;
        }
        let Some(parts) = header("prompt-prefix") else {
            self.answer_call(stream, &received, end).await;
            return;
        };
        let is_harmful =
            parts.split(',').any(|it| self.harmful.contains(it.split(':').next().unwrap()));
        if is_harmful {
            self.log.lock().unwrap().harmful_sends.push(Instant::now());
        }
        let request = header("request-id").unwrap_or_default();
        let answer_head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nResponse-Stamp: s\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        if is_harmful {
            tokio::select! {
                () = tokio::time::sleep(self.read_time) => {}
                // The gateway has closed the connection.
                _ = stream.read_u8() => return,
            }
            let written = self.crash_point.written(&answer_head);
            let _ = stream.write_all(written.as_bytes()).await;
            self.crash(end).await;
            return;
        }
        if stream.write_all(answer_head.as_bytes()).await.is_err() {
            return;
        }
        let resume_after: u32 = header("last-event-id").and_then(|it| it.parse().ok()).unwrap_or(0);
        for event_id in resume_after + 1..=EVENT_COUNT {
            tokio::time::sleep(EVENT_PAUSE).await;
            let event = format!("id: {event_id}\ndata: x\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if stream.write_all(chunk.as_bytes()).await.is_err() {
                return;
            }
        }
        let _ = stream.write_all(b"0\r\n\r\n").await;
        // The end of the answer must be read before the connection is reset.
        let _ = stream.read_u8().await;
    }

    /// Answers a request without a prompt at once, unless its body is harmful.
    async fn answer_call(
        &self,
        stream: &mut TcpStream,
        received: &ReceivedRequest,
        end: &watch::Sender<bool>,
    ) {
        let body = String::from_utf8_lossy(&received.body);
        let request = received.headers.get("request-id").cloned().unwrap_or_default();
        let head = |length: usize| {
            format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nResponse-Stamp: s\r\n\
                 Content-Type: text/event-stream\r\nContent-Length: {length}\r\n\r\n"
            )
        };
        if self.harmful.contains(body.as_ref()) {
            self.log.lock().unwrap().harmful_sends.push(Instant::now());
            let written = self.crash_point.written(&head(CALL_BYTES));
            let _ = stream.write_all(written.as_bytes()).await;
            self.crash(end).await;
            return;
        }
        tokio::time::sleep(WORK_TIME).await;
        let content = "id: 1\ndata: ok\n\n";
        let answer = head(content.len()) + content;
        let _ = stream.write_all(answer.as_bytes()).await;
        let _ = stream.read_u8().await;
    }

    async fn crash(&self, end: &watch::Sender<bool>) {
        tokio::time::sleep(CRASH_DELAY).await;
        let has_just_ended = !end.send_replace(true);
        if has_just_ended {
            self.log.lock().unwrap().ends.push(Instant::now());
        }
    }
}
