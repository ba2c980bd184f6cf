//! Fake backend servers that stream at a set pace, with a pause of choice.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

use super::{platform_store::FakeStore, ports::free_address, scripted_server::read_request};

/// How a server answers each request.
#[derive(Clone, Debug)]
pub struct StreamPace {
    pub events: u32,
    pub gap: Duration,
    /// After how many events of a run it pauses once, and for how long.
    pub pause: Option<(u32, Duration)>,
    /// After how many events of a run it closes the connection.
    pub cut_after: Option<u32>,
    /// Whether it sends nothing to a request that resumes a stream, until its connection is closed.
    pub holds_resumed: bool,
    /// Time until it answers a request that does not resume a stream.
    pub head_delay: Duration,
    /// Headers that it adds then.
    pub notice: String,
    /// Whether it then refuses the request as not run.
    pub refuses: bool,
    /// What it answers to a request that resumes a stream, in place of the stream.
    pub resume_answer: Option<String>,
}

impl StreamPace {
    pub fn steady(events: u32, gap: Duration) -> Self {
        Self {
            events,
            gap,
            pause: None,
            cut_after: None,
            holds_resumed: false,
            head_delay: Duration::ZERO,
            notice: String::new(),
            refuses: false,
            resume_answer: None,
        }
    }
}

/// Runs at all servers of a test: the server, or the request, and the event after which it began.
#[derive(Clone, Default)]
pub struct PacedRuns(Arc<Mutex<Vec<(String, u32)>>>, Arc<AtomicUsize>);

impl PacedRuns {
    /// Number of held requests whose connection was closed.
    pub fn closed(&self) -> usize {
        self.1.load(Ordering::SeqCst)
    }

    /// Records a run by its request.
    pub fn record(&self, request: &str) {
        self.0.lock().unwrap().push((request.to_owned(), 0));
    }

    pub fn all(&self) -> Vec<(String, u32)> {
        self.0.lock().unwrap().clone()
    }
}

/// Starts a server of service `s` and lists it in the store.
pub async fn start(store: &FakeStore, id: &str, pace: StreamPace, runs: &PacedRuns) -> SocketAddr {
    let address = free_address();
    let listener = TcpListener::bind(address).await.unwrap();
    let entry = json!({"service": "s", "address": address, "zone": "a", "version": "v1",
        "slots": 12, "state": "ready", "warmup-left-ms": 0, "sequence": 1, "born": 1});
    store.put("keyed.servers", id, Some(&entry));
    let (id, runs) = (id.to_owned(), runs.clone());
    tokio::spawn(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            let (id, pace, runs) = (id.clone(), pace.clone(), runs.clone());
            tokio::spawn(async move { answer(stream, &id, &pace, &runs).await });
        }
    });
    address
}

/// Answers one request. `None` if the caller has closed the connection.
async fn answer(
    mut stream: TcpStream,
    id: &str,
    pace: &StreamPace,
    runs: &PacedRuns,
) -> Option<()> {
    let received = read_request(&mut stream).await?;
    let header = |name: &str| received.headers.get(name).cloned().unwrap_or_default();
    let request = header("request-id");
    let resume_after: u32 = header("last-event-id").parse().unwrap_or(0);
    runs.0.lock().unwrap().push((id.to_owned(), resume_after));
    if pace.holds_resumed && resume_after > 0 {
        let mut unexpected = [0; 1];
        if let Ok(0) | Err(_) = stream.read(&mut unexpected).await {
            runs.1.fetch_add(1, Ordering::SeqCst);
        }
        return None;
    }
    if let Some(text) = pace.resume_answer.as_ref().filter(|_| resume_after > 0) {
        stream.write_all(text.replace("{id}", &request).as_bytes()).await.ok()?;
        return stream.shutdown().await.ok();
    }
    let is_new = resume_after == 0;
    if is_new {
        tokio::time::sleep(pace.head_delay).await;
    }
    let notice = if is_new { pace.notice.as_str() } else { "" };
    if is_new && pace.refuses {
        let refusal = format!(
            "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: {request}\r\nNot-Run: 1\r\n\
             {notice}Content-Length: 0\r\n\r\n"
        );
        stream.write_all(refusal.as_bytes()).await.ok()?;
        return stream.shutdown().await.ok();
    }
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nResponse-Stamp: s\r\n{notice}\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.ok()?;
    for n in resume_after + 1..=pace.events {
        if pace.cut_after.is_some_and(|it| n > resume_after + it) {
            return None;
        }
        let pause = pace.pause.filter(|it| n == resume_after + it.0 + 1).map(|it| it.1);
        tokio::time::sleep(pace.gap + pause.unwrap_or_default()).await;
        let event = format!("id: {n}\ndata: piece {n}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        stream.write_all(chunk.as_bytes()).await.ok()?;
    }
    stream.write_all(b"0\r\n\r\n").await.ok()
}
