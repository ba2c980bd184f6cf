//! Fake backend servers whose answers take as long as the request's path says:
//! `/PREFIX/run/MS`, `/PREFIX/large/BYTES`, `/PREFIX/stream/EVENTS/GAP_MS` or `/PREFIX/never`.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

use super::{platform_store::FakeStore, ports::free_address, scripted_server::read_request};

/// Ids of the requests that the servers of a test ran.
#[derive(Clone, Default)]
pub struct TimedRuns(Arc<Mutex<Vec<String>>>);

impl TimedRuns {
    pub fn count(&self, request: &str) -> usize {
        self.0.lock().unwrap().iter().filter(|it| *it == request).count()
    }
}

/// A store with one public route for each kind of request, all to service `s`.
pub async fn start_store(timeout: Duration) -> FakeStore {
    let store = FakeStore::start(free_address()).await;
    store.put("keyed.op", "config", Some(&manifest(3, timeout)));
    store
}

/// The routes `/un/`, `/sa/`, `/on/` (streams that run once) and `/re/` (streams that may be resumed).
pub fn manifest(version: u64, timeout: Duration) -> serde_json::Value {
    let route = |prefix: &str, kind: &str, is_resumable: bool| {
        json!({"name": format!("r-{prefix}"), "hostname": "h.example",
            "path-prefix": format!("/{prefix}/"), "kind": kind,
            "timeout-ms": timeout.as_millis() as u64, "target-latency-ms": 20_000, "service": "s",
            "max-attempts": 2, "public": true, "resumable": is_resumable})
    };
    let routes = [
        route("un", "unsafe", false),
        route("sa", "safe", false),
        route("on", "streaming", false),
        route("re", "streaming", true),
    ];
    json!({"version": version, "routes": routes,
        "services": [{"name": "s", "health-check-path": "/healthz", "max-connections": 1000}],
        "limits": {"max-body-bytes": 4_000_000}})
}

/// Starts a server of service `s` and lists it in the store.
pub async fn start(store: &FakeStore, id: &str, runs: &TimedRuns) -> SocketAddr {
    let address = free_address();
    let listener = TcpListener::bind(address).await.unwrap();
    let entry = json!({"service": "s", "address": address, "zone": "a", "version": "v1",
        "slots": 1000, "state": "ready", "warmup-left-ms": 0, "sequence": 1, "born": 1});
    store.put("keyed.servers", id, Some(&entry));
    let runs = runs.clone();
    tokio::spawn(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            tokio::spawn(answer(stream, runs.clone()));
        }
    });
    address
}

/// Answers one request. `None` if the caller has closed the connection.
async fn answer(mut stream: TcpStream, runs: TimedRuns) -> Option<()> {
    let received = read_request(&mut stream).await?;
    let request = received.headers.get("request-id").cloned().unwrap_or_default();
    let resume_after = received.headers.get("last-event-id").and_then(|it| it.parse().ok());
    runs.0.lock().unwrap().push(request.clone());
    let head = format!("HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nResponse-Stamp: s\r\n");
    let parts: Vec<&str> = received.path.trim_matches('/').split('/').skip(1).collect();
    let number = |index: usize| parts[index].parse::<u64>().unwrap();
    match parts[0] {
        "run" => {
            let mut unexpected = [0; 1];
            let time = Duration::from_millis(number(1));
            // A caller that leaves ends the run.
            if tokio::time::timeout(time, stream.read(&mut unexpected)).await.is_ok() {
                return None;
            }
            let answer = format!("{head}Content-Length: 9\r\n\r\nan answer");
            stream.write_all(answer.as_bytes()).await.ok()
        }
        "large" => {
            let answer = format!("{head}Content-Length: {}\r\n\r\n", number(1));
            stream.write_all(answer.as_bytes()).await.ok()?;
            stream.write_all(&vec![b'x'; number(1) as usize]).await.ok()
        }
        "stream" => {
            let answer = format!(
                "{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            );
            stream.write_all(answer.as_bytes()).await.ok()?;
            for n in resume_after.unwrap_or(0) + 1..=number(1) {
                tokio::time::sleep(Duration::from_millis(number(2))).await;
                let event = format!("id: {n}\ndata: piece {n}\n\n");
                let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                stream.write_all(chunk.as_bytes()).await.ok()?;
            }
            stream.write_all(b"0\r\n\r\n").await.ok()
        }
        "never" => {
            let mut unexpected = [0; 1];
            let _ = stream.read(&mut unexpected).await;
            None
        }
        other => panic!("unknown kind of run {other}"),
    }
}
