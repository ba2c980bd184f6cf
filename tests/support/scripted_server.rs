//! Fake of a backend server on the users' platform. The request path selects the fault that it
//! shows.

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

/// Requests that all scripted servers of a test received.
#[derive(Clone, Default)]
pub struct ServerLog {
    inner: Arc<Mutex<LogState>>,
}

#[derive(Default)]
struct LogState {
    runs: Vec<RunRecord>,
    runs_by_path: BTreeMap<String, usize>,
    closed_early: usize,
}

/// One request that a server ran.
#[derive(Clone, Debug)]
pub struct RunRecord {
    pub server: String,
    pub path: String,
    pub headers: BTreeMap<String, String>,
}

impl ServerLog {
    /// Runs of a path, in order of arrival.
    pub fn runs(&self, path: &str) -> Vec<RunRecord> {
        let state = self.inner.lock().unwrap();
        state.runs.iter().filter(|it| it.path == path).cloned().collect()
    }

    /// Number of runs by request id.
    pub fn runs_by_request(&self) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for run in &self.inner.lock().unwrap().runs {
            let id = run.headers.get("request-id").cloned().unwrap_or_default();
            *counts.entry(id).or_default() += 1;
        }
        counts
    }

    /// Number of `/a/hang` requests whose connection was closed before an answer.
    pub fn closed_early(&self) -> usize {
        self.inner.lock().unwrap().closed_early
    }

    /// Records a run and returns the number of earlier runs of its path.
    fn record(&self, run: RunRecord) -> usize {
        let mut state = self.inner.lock().unwrap();
        let count = state.runs_by_path.entry(run.path.clone()).or_default();
        let earlier_runs = *count;
        *count += 1;
        state.runs.push(run);
        earlier_runs
    }
}

/// Starts a server named `id` on `address`; it runs until the returned task is aborted.
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

/// A request with the names of its headers in lower case.
pub struct ReceivedRequest {
    pub path: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

/// Reads one request. None if the connection ends before.
pub async fn read_request(stream: &mut TcpStream) -> Option<ReceivedRequest> {
    let head = read_head(stream).await?;
    let mut lines = head.lines();
    let path = lines.next().and_then(|it| it.split(' ').nth(1)).unwrap_or_default().to_owned();
    let headers: BTreeMap<String, String> = lines
        .filter_map(|it| it.split_once(": "))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.to_owned()))
        .collect();
    let length = headers.get("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.ok()?;
    Some(ReceivedRequest { path, headers, body })
}

async fn serve(mut stream: TcpStream, id: String, log: ServerLog) {
    let Some(ReceivedRequest { path, headers, .. }) = read_request(&mut stream).await else {
        return;
    };
    if headers.get("expect-instance") != Some(&id) {
        let _ = stream.write_all(misdirected(&headers).as_bytes()).await;
        return;
    }
    let request = headers.get("request-id").cloned().unwrap_or_default();
    let resume_after: u64 =
        headers.get("last-event-id").and_then(|it| it.parse().ok()).unwrap_or(0);
    let run = RunRecord { server: id, path: path.clone(), headers };
    let earlier_runs = log.record(run);
    let answer_text = |request: &str, body: &str| {
        format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nResponse-Stamp: s\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        )
    };
    let answer = match (path.as_str(), earlier_runs) {
        ("/a/cut", 0) => {
            let mut text = answer_text(&request, "an answer");
            text.truncate(text.len() - 4);
            text
        }
        ("/a/crossed", _) => answer_text("another", "an answer"),
        ("/a/extra", _) => {
            answer_text(&request, "an answer") + &answer_text("another", "an extra answer")
        }
        ("/a/shed", 0) => {
            format!(
                "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: {request}\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
            )
        }
        ("/a/leaving", 0) => answer_text(&request, "an answer")
            .replace("Response-Stamp: s", "Response-Stamp: s\r\nServer-Leaving: 1"),
        ("/a/resting", 0) => {
            format!(
                "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: {request}\r\nNot-Run: 1\r\nRetry-After: 0.8\r\nContent-Length: 0\r\n\r\n"
            )
        }
        ("/a/stream" | "/a/slow" | "/a/pausing" | "/st/x", _) => {
            let pause = match path.as_str() {
                "/a/slow" => 400,
                "/a/pausing" => 1_300,
                _ => 5,
            };
            let pause = Duration::from_millis(pause);
            let cut_after = (path == "/a/stream" && earlier_runs == 0).then_some(2);
            stream_events(&mut stream, &request, resume_after, cut_after, pause).await;
            return;
        }
        ("/a/unframed", _) => {
            unframed_events(&mut stream, &request, resume_after, UnframedEnd::InOrder).await;
            return;
        }
        ("/a/unframed-cut", 0) => {
            unframed_events(&mut stream, &request, resume_after, UnframedEnd::InsideEvent).await;
            return;
        }
        ("/a/unframed-reset", 0) => {
            unframed_events(&mut stream, &request, resume_after, UnframedEnd::Reset).await;
            return;
        }
        ("/a/unframed-cut" | "/a/unframed-reset", _) => {
            unframed_events(&mut stream, &request, resume_after, UnframedEnd::InOrder).await;
            return;
        }
        ("/a/dripping", 0) => {
            drip(&mut stream, &request).await;
            return;
        }
        ("/a/dripping", _) => {
            let pause = Duration::from_millis(5);
            stream_events(&mut stream, &request, resume_after, None, pause).await;
            return;
        }
        ("/a/hang", _) | ("/a/hang-first", 0) => {
            let mut unexpected = [0; 1];
            if let Ok(0) | Err(_) = stream.read(&mut unexpected).await {
                log.inner.lock().unwrap().closed_early += 1;
            }
            return;
        }
        ("/sa/x" | "/un/x", _) => answer_text(&request, &format!("answer to {request}")),
        _ => answer_text(&request, "an answer"),
    };
    let _ = stream.write_all(answer.as_bytes()).await;
    let _ = stream.shutdown().await;
}

/// The answer of a server to a request that expects another one.
pub fn misdirected(headers: &BTreeMap<String, String>) -> String {
    let request = headers.get("request-id").map_or("", String::as_str);
    format!(
        "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {request}\r\nContent-Length: 0\r\n\r\n"
    )
}

/// Streams the events with ids from `resume_after + 1` to 4. With `cut_after`, breaks off in the
/// middle of the event that follows that id.
async fn stream_events(
    stream: &mut TcpStream,
    request: &str,
    resume_after: u64,
    cut_after: Option<u64>,
    pause: Duration,
) {
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nResponse-Stamp: s\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    let _ = stream.write_all(head.as_bytes()).await;
    for id in resume_after + 1..=4 {
        let event = format!("id: {id}\ndata: piece {id}\n\n");
        if cut_after.is_some_and(|it| id > it) {
            let prefix = &event[..8];
            let _ =
                stream.write_all(format!("{:x}\r\n{prefix}\r\n", prefix.len()).as_bytes()).await;
            return;
        }
        let _ = stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()).await;
        tokio::time::sleep(pause).await;
    }
    let _ = stream.write_all(b"0\r\n\r\n").await;
}

/// How an answer without a length or chunks ends.
#[derive(Clone, Copy, PartialEq)]
enum UnframedEnd {
    /// After the last event, with the connection.
    InOrder,
    /// In the middle of the third event, with the connection.
    InsideEvent,
    /// After the second event, with a reset of the connection.
    Reset,
}

const UNFRAMED_HEAD: &str = "Response-Stamp: s\r\nContent-Type: text/event-stream\r\n";

/// Streams the events up to 4 without a length or chunks.
async fn unframed_events(
    stream: &mut TcpStream,
    request: &str,
    resume_after: u64,
    end: UnframedEnd,
) {
    let head = format!("HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\n{UNFRAMED_HEAD}\r\n");
    let _ = stream.write_all(head.as_bytes()).await;
    for id in resume_after + 1..=4 {
        let event = format!("id: {id}\ndata: piece {id}\n\n");
        let length = match end {
            UnframedEnd::InsideEvent if id == 3 => 8,
            UnframedEnd::Reset if id == 3 => 0,
            UnframedEnd::InOrder | UnframedEnd::InsideEvent | UnframedEnd::Reset => event.len(),
        };
        let _ = stream.write_all(&event.as_bytes()[..length]).await;
        // The reader must have got this before a reset, which discards what is on its way.
        tokio::time::sleep(Duration::from_millis(50)).await;
        if length < event.len() {
            break;
        }
    }
    if end == UnframedEnd::Reset {
        #[allow(deprecated)]
        let _ = stream.set_linger(Some(Duration::ZERO));
    }
}

/// Streams two events, then single bytes of a third one that never ends.
async fn drip(stream: &mut TcpStream, request: &str) {
    let head = format!("HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\n{UNFRAMED_HEAD}\r\n");
    let _ = stream.write_all(head.as_bytes()).await;
    let _ = stream.write_all(b"id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n").await;
    while stream.write_all(b"x").await.is_ok() {
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
}
