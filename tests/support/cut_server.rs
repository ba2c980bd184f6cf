//! Fake backend servers that write scripted answers, which may pause, break off or end in another way.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::Instant,
};

use super::{
    platform_store::FakeStore,
    ports::free_address,
    scripted_server::{misdirected, read_request},
};

/// Time for which the reader has what was written before a reset discards it.
const RESET_DELAY: Duration = Duration::from_millis(30);

/// What happens to the connection after the last byte.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutEnd {
    Close,
    Reset,
    Silence,
}

/// What a server writes, with `{id}` for the id of the request.
#[derive(Clone, Debug)]
pub struct CutScript {
    pub text: String,
    /// Where it pauses, as a number of bytes of `text`, and for how long.
    pub pause: Option<(usize, Duration)>,
    pub end: CutEnd,
}

impl CutScript {
    pub fn new(text: impl Into<String>, end: CutEnd) -> Self {
        Self { text: text.into(), pause: None, end }
    }
}

/// A request that reached a server.
#[derive(Clone, Debug)]
pub struct CutRun {
    pub server: String,
    pub request: String,
    pub at: Instant,
    /// Number of earlier runs of the same path.
    pub earlier: usize,
    /// Value of `time-budget-ms`.
    pub time_budget: Option<String>,
}

#[derive(Default)]
struct CutState {
    scripts: Vec<Vec<CutScript>>,
    run_counts: Vec<usize>,
    runs: Vec<CutRun>,
}

/// What the servers of a test answer and have received. The last segment of a request's path is the
/// number of its scripts, of which each run gets the next one, and the last one again.
#[derive(Clone, Default)]
pub struct CutScripts(Arc<Mutex<CutState>>);

impl CutScripts {
    /// Adds the scripts of a path and returns their number.
    pub fn add(&self, scripts: Vec<CutScript>) -> usize {
        let mut state = self.0.lock().unwrap();
        state.scripts.push(scripts);
        state.run_counts.push(0);
        state.scripts.len() - 1
    }

    /// All requests that have reached the server they were for.
    pub fn runs(&self) -> Vec<CutRun> {
        self.0.lock().unwrap().runs.clone()
    }

    fn begin(&self, path: &str, run: CutRun) -> Option<CutScript> {
        let number: usize = path.rsplit('/').next()?.parse().ok()?;
        let mut state = self.0.lock().unwrap();
        let earlier = *state.run_counts.get(number)?;
        state.run_counts[number] += 1;
        state.runs.push(CutRun { earlier, ..run });
        let scripts = &state.scripts[number];
        scripts.get(earlier).or(scripts.last()).cloned()
    }
}

/// Starts a server of service `s` and lists it in the store.
pub async fn start(store: &FakeStore, id: &str, scripts: &CutScripts) -> SocketAddr {
    let address = free_address();
    let listener = TcpListener::bind(address).await.unwrap();
    list(store, id, address);
    let (id, scripts) = (id.to_owned(), scripts.clone());
    tokio::spawn(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            let (id, scripts) = (id.clone(), scripts.clone());
            tokio::spawn(async move { answer(stream, &id, &scripts).await });
        }
    });
    address
}

/// Lists a server of service `s`.
pub fn list(store: &FakeStore, id: &str, address: SocketAddr) {
    let entry = json!({"service": "s", "address": address, "zone": "a", "version": "v1",
        "slots": 4000, "state": "ready", "warmup-left-ms": 0, "sequence": 1, "born": 1});
    store.put("keyed.servers", id, Some(&entry));
}

/// Answers one request. `None` if its caller has closed the connection.
async fn answer(mut stream: TcpStream, id: &str, scripts: &CutScripts) -> Option<()> {
    let received = read_request(&mut stream).await?;
    let header = |name: &str| received.headers.get(name).cloned();
    if header("expect-instance").as_deref() != Some(id) {
        return stream.write_all(misdirected(&received.headers).as_bytes()).await.ok();
    }
    let request = header("request-id").unwrap_or_default();
    let run = CutRun {
        server: id.to_owned(),
        request: request.clone(),
        at: Instant::now(),
        earlier: 0,
        time_budget: header("time-budget-ms"),
    };
    let CutScript { text, pause, end } = scripts.begin(&received.path, run)?;
    let (pause_at, pause_time) = pause.unwrap_or_default();
    let (first, rest) = text.split_at(pause_at);
    stream.write_all(first.replace("{id}", &request).as_bytes()).await.ok()?;
    tokio::time::sleep(pause_time).await;
    stream.write_all(rest.replace("{id}", &request).as_bytes()).await.ok()?;
    match end {
        CutEnd::Close => stream.shutdown().await.ok(),
        CutEnd::Reset => {
            tokio::time::sleep(RESET_DELAY).await;
            #[allow(deprecated)]
            stream.set_linger(Some(Duration::ZERO)).ok()
        }
        CutEnd::Silence => stream.read_u8().await.ok().map(|_| ()),
    }
}
