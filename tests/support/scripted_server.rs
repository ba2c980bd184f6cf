//! Stand-in of a backend server on the users' platform, which misbehaves by the path it is asked.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// What all servers of a test saw.
#[derive(Clone, Default)]
pub struct ServerLog {
    inner: Arc<Mutex<LogState>>,
}

#[derive(Default)]
struct LogState {
    runs: Vec<RunRecord>,
    by_path: BTreeMap<String, usize>,
    closed_early: usize,
}

/// One run.
#[derive(Clone, Debug)]
pub struct RunRecord {
    pub server: String,
    pub path: String,
    pub headers: BTreeMap<String, String>,
}

impl ServerLog {
    pub fn runs(&self, path: &str) -> Vec<RunRecord> {
        let state = self.inner.lock().unwrap();
        state.runs.iter().filter(|it| it.path == path).cloned().collect()
    }

    /// Runs by the id of their request.
    pub fn runs_by_request(&self) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for run in &self.inner.lock().unwrap().runs {
            let id = run.headers.get("request-id").cloned().unwrap_or_default();
            *counts.entry(id).or_default() += 1;
        }
        counts
    }

    pub fn closed_early(&self) -> usize {
        self.inner.lock().unwrap().closed_early
    }

    /// Notes a run and says how many there were of its path before.
    fn note(&self, run: RunRecord) -> usize {
        let mut state = self.inner.lock().unwrap();
        let count = state.by_path.entry(run.path.clone()).or_default();
        let before = *count;
        *count += 1;
        state.runs.push(run);
        before
    }
}

/// Serves until the task is aborted.
pub async fn start(address: SocketAddr, id: &str, log: ServerLog) -> tokio::task::JoinHandle<()> {
    let listener = TcpListener::bind(address).await.unwrap();
    let id = id.to_owned();
    tokio::spawn(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            tokio::spawn(serve(stream, id.clone(), log.clone()));
        }
    })
}

async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    String::from_utf8(head).ok()
}

async fn serve(mut stream: TcpStream, id: String, log: ServerLog) {
    let Some(head) = read_head(&mut stream).await else { return };
    let mut lines = head.lines();
    let path = lines.next().and_then(|it| it.split(' ').nth(1)).unwrap_or_default().to_owned();
    let headers: BTreeMap<String, String> = lines
        .filter_map(|it| it.split_once(": "))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.to_owned()))
        .collect();
    let length = headers.get("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    if stream.read_exact(&mut body).await.is_err() {
        return;
    }
    if headers.get("expect-instance") != Some(&id) {
        let _ = stream
            .write_all(b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
            .await;
        return;
    }
    let request = headers.get("request-id").cloned().unwrap_or_default();
    let after: u64 = headers.get("last-event-id").and_then(|it| it.parse().ok()).unwrap_or(0);
    let run = RunRecord { server: id, path: path.clone(), headers };
    let before = log.note(run);
    let whole = |request: &str, body: &str| {
        format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nResponse-Stamp: s\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        )
    };
    let answer = match (path.as_str(), before) {
        ("/a/cut", 0) => {
            let mut text = whole(&request, "an answer");
            text.truncate(text.len() - 4);
            text
        }
        ("/a/crossed", _) => whole("another", "an answer"),
        ("/a/extra", _) => whole(&request, "an answer") + &whole("another", "an extra answer"),
        ("/a/shed", 0) => {
            format!(
                "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: {request}\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
            )
        }
        ("/a/stream" | "/a/slow" | "/st/x", _) => {
            let pause = Duration::from_millis(if path == "/a/slow" { 400 } else { 5 });
            let cut_at = (path == "/a/stream" && before == 0).then_some(2);
            stream_events(&mut stream, &request, after, cut_at, pause).await;
            return;
        }
        ("/a/hang", _) => {
            let mut rest = [0; 1];
            if let Ok(0) | Err(_) = stream.read(&mut rest).await {
                log.inner.lock().unwrap().closed_early += 1;
            }
            return;
        }
        ("/sa/x" | "/un/x", _) => whole(&request, &format!("answer to {request}")),
        _ => whole(&request, "an answer"),
    };
    let _ = stream.write_all(answer.as_bytes()).await;
    let _ = stream.shutdown().await;
}

/// Four events with ids; breaks off in the middle of the event after `cut_at`.
async fn stream_events(
    stream: &mut TcpStream,
    request: &str,
    after: u64,
    cut_at: Option<u64>,
    pause: Duration,
) {
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nResponse-Stamp: s\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    let _ = stream.write_all(head.as_bytes()).await;
    for id in after + 1..=4 {
        let event = format!("id: {id}\ndata: piece {id}\n\n");
        if cut_at.is_some_and(|it| id > it) {
            let part = &event[..8];
            let _ = stream.write_all(format!("{:x}\r\n{part}\r\n", part.len()).as_bytes()).await;
            return;
        }
        let _ = stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()).await;
        tokio::time::sleep(pause).await;
    }
    let _ = stream.write_all(b"0\r\n\r\n").await;
}
