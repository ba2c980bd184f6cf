//! Fake backend servers that name in their answers how many requests they take, and record when
//! requests reach them.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use serde_json::json;
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    time::Instant,
};

use super::{platform_store::FakeStore, scripted_server::read_request};

/// Time that a request takes.
const WORK_TIME: Duration = Duration::from_millis(30);
/// Length of the windows in which arrivals are counted.
pub const WINDOW: Duration = Duration::from_secs(4);

#[derive(Default)]
struct LimitLog {
    /// Requests per second that each server takes; servers without an entry take any.
    limits: BTreeMap<String, f64>,
    arrivals: BTreeMap<String, Vec<Instant>>,
}

/// A set of servers of service `s` that are listed in the store.
#[derive(Clone, Default)]
pub struct LimitedServers {
    log: Arc<Mutex<LimitLog>>,
}

impl LimitedServers {
    /// Starts the servers `i-1`, `i-2` and so on.
    pub async fn start(store: &Arc<FakeStore>, addresses: &[SocketAddr]) -> Self {
        let servers = Self::default();
        for (n, address) in addresses.iter().enumerate() {
            let id = format!("i-{}", n + 1);
            let entry = json!({"service": "s", "address": address, "zone": "a", "version": "v1",
                "slots": 12, "state": "ready", "warmup-left-ms": 0, "sequence": 1, "born": 1});
            let listener = TcpListener::bind(address).await.unwrap();
            store.put("keyed.servers", &id, Some(&entry));
            tokio::spawn(servers.clone().run(listener, id));
        }
        servers
    }

    /// Lets a server name a limit from now on, or none.
    pub fn set_limit(&self, server: &str, limit: Option<f64>) {
        let limits = &mut self.log.lock().unwrap().limits;
        match limit {
            Some(limit) => limits.insert(server.to_owned(), limit),
            None => limits.remove(server),
        };
    }

    /// When requests reached a server since `start`.
    pub fn arrivals(&self, server: &str, start: Instant) -> Vec<Instant> {
        let log = self.log.lock().unwrap();
        let arrivals = log.arrivals.get(server).into_iter().flatten();
        arrivals.copied().filter(|it| *it >= start).collect()
    }

    /// Largest number of requests that reached a server since `start` within one window.
    pub fn busiest_window(&self, server: &str, start: Instant) -> usize {
        let arrivals = self.arrivals(server, start);
        let in_window = |from: &Instant| {
            arrivals.iter().filter(|it| **it >= *from && **it - *from < WINDOW).count()
        };
        arrivals.iter().map(in_window).max().unwrap_or(0)
    }

    async fn run(self, listener: TcpListener, id: String) {
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            tokio::spawn(self.clone().answer(stream, id.clone()));
        }
    }

    async fn answer(self, mut stream: TcpStream, id: String) {
        let Some(request) = read_request(&mut stream).await else { return };
        let limit = {
            let mut log = self.log.lock().unwrap();
            log.arrivals.entry(id.clone()).or_default().push(Instant::now());
            log.limits.get(&id).copied()
        };
        tokio::time::sleep(WORK_TIME).await;
        let request_id = request.headers.get("request-id").cloned().unwrap_or_default();
        let limit = limit.map(|it| format!("Server-Limit: {it}\r\n")).unwrap_or_default();
        let answer = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nResponse-Stamp: s\r\n{limit}\
             Content-Length: 2\r\n\r\nok"
        );
        let _ = stream.write_all(answer.as_bytes()).await;
        let _ = stream.shutdown().await;
    }
}
