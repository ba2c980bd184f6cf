//! A randomized soak test of planned work: gateways are stopped and started again in series that
//! overlap, with reloads, new catalogs and leaving servers, while callers keep their connections.
//!
//! `ALDERBAY_SOAK_SEEDS=FIRST..LAST` replaces the seeds of the short CI run.

use std::{
    collections::BTreeMap,
    convert::Infallible,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use futures_util::stream::unfold;
use googletest::prelude::*;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, StreamBody, combinators::BoxBody};
use hyper::{body::Frame, client::conn::http1::SendRequest};
use hyper_util::rt::TokioIo;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde_json::json;
use tokio::{net::TcpStream, task::JoinHandle, time::Instant};

use crate::{
    launcher,
    support::{
        gateway::{GatewayProcess, get, start_gateways},
        platform_store::FakeStore,
        timed_server::{self, TimedRuns},
    },
};

const GATEWAYS: usize = 4;
const SERVERS: usize = 4;
const CALLERS: usize = 40;
const MAX_STOPPING: usize = 2;
const WORK_PHASE: Duration = Duration::from_secs(14);
/// Time after SIGTERM at which the platform kills the process.
const GRACE: Duration = Duration::from_secs(8);
/// Requests sent within this time after SIGTERM may be cut in the last sixth of the grace period.
const EARLY: Duration = Duration::from_secs(3);
/// Time after its last byte in which a request that was not passed on may end without an answer.
const LOSS_SLACK: Duration = Duration::from_millis(200);
const STREAM_TIMEOUT: Duration = Duration::from_secs(8);
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Time until the balancer's next probe.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Version of the catalog that the store has at first.
const FIRST_VERSION: u64 = 3;
const CI_SEEDS: std::ops::Range<u64> = 4..6;

/// How a request ended, as its caller observes it.
#[derive(Debug)]
enum CallerResult {
    Whole { status: StatusCode, text: String },
    Broken,
    Unanswered,
}

#[derive(Debug)]
struct CallerOutcome {
    kind: CallKind,
    gateway: usize,
    /// When the last byte of the request was sent, if it was.
    sent_at: Option<Instant>,
    ended_at: Instant,
    result: CallerResult,
}

/// The processes of one run, and what their callers observe.
struct StopFleet {
    store: FakeStore,
    servers: Vec<SocketAddr>,
    gateways: Vec<GatewayProcess>,
    /// When each gateway was told to stop, while it stops.
    stopping: [Option<Instant>; GATEWAYS],
    /// All stops so far.
    stops: Vec<(usize, Instant)>,
    version: u64,
    rng: SmallRng,
}

/// The balancer's view of the gateways, and the callers' results.
struct CallerSide {
    listens: Vec<SocketAddr>,
    /// Readiness probes of each gateway that failed in a row.
    misses: Mutex<[u32; GATEWAYS]>,
    outcomes: Mutex<BTreeMap<String, CallerOutcome>>,
    next_id: AtomicU64,
    is_over: AtomicBool,
}

fn entry(address: SocketAddr, state: &str) -> serde_json::Value {
    json!({"service": "s", "address": address, "zone": "a", "version": "v1", "slots": 1000,
        "state": state, "warmup-left-ms": 0, "sequence": 1, "born": 1})
}

impl StopFleet {
    async fn start(seed: u64, runs: &TimedRuns) -> Self {
        let store = timed_server::start_store(STREAM_TIMEOUT).await;
        let mut servers = Vec::new();
        for n in 0..SERVERS {
            servers.push(timed_server::start(&store, &format!("i-{n}"), runs).await);
        }
        let gateways = start_gateways(GATEWAYS, &launcher(), store.fake_server.address).await;
        let rng = SmallRng::seed_from_u64(seed);
        let (stopping, stops) = ([None; GATEWAYS], Vec::new());
        Self { store, servers, gateways, stopping, stops, version: FIRST_VERSION, rng }
    }

    /// Starts one random piece of planned work. Earlier ones may still be in progress.
    fn work(&mut self) {
        let n = self.rng.random_range(0..GATEWAYS);
        let n_stopping = self.stopping.iter().flatten().count();
        match self.rng.random_range(0..8) {
            0..=3 if self.stopping[n].is_none() && n_stopping < MAX_STOPPING => {
                self.gateways[n].terminate();
                self.stopping[n] = Some(Instant::now());
                self.stops.push((n, Instant::now()));
            }
            // A second signal, if the process still stops.
            0..=3 => {
                if self.stopping[n].is_some() && !self.has_exited(n) {
                    self.gateways[n].terminate();
                }
            }
            4 | 5 => {
                if !self.has_exited(n) {
                    self.gateways[n].signal("-HUP");
                }
            }
            6 => {
                self.version += self.rng.random_range(1..5);
                let manifest = timed_server::manifest(self.version, STREAM_TIMEOUT);
                self.store.put("keyed.op", "config", Some(&manifest));
            }
            _ => {
                let leaving = self.rng.random_range(0..SERVERS);
                for (server, address) in self.servers.iter().enumerate() {
                    let state = if server == leaving { "draining" } else { "ready" };
                    let key = format!("i-{server}");
                    self.store.put("keyed.servers", &key, Some(&entry(*address, state)));
                }
            }
        }
    }

    fn has_exited(&mut self, n: usize) -> bool {
        self.gateways[n].child.try_wait().unwrap().is_some()
    }

    /// Starts gateways that have stopped again, and kills those that take too long.
    fn tend(&mut self) {
        for n in 0..GATEWAYS {
            let Some(stopped_at) = self.stopping[n] else { continue };
            if !self.has_exited(n) && stopped_at.elapsed() >= GRACE {
                let _ = self.gateways[n].child.kill();
            }
            if self.has_exited(n) {
                self.gateways[n].restart();
                self.stopping[n] = None;
            }
        }
    }
}

impl CallerSide {
    /// Probes the gateways as the balancer does, until the run is over.
    fn balance(self: Arc<Self>, ready: Vec<SocketAddr>) -> JoinHandle<()> {
        tokio::spawn(async move {
            while !self.is_over.load(Ordering::Relaxed) {
                for (n, address) in ready.iter().enumerate() {
                    let probe = tokio::time::timeout(PROBE_INTERVAL, get(*address, "/v1/readyz"));
                    let status = probe.await.ok().flatten().map(|it| it.0);
                    let mut misses = self.misses.lock().unwrap();
                    misses[n] = if status == Some(StatusCode::OK) { 0 } else { misses[n] + 1 };
                }
                tokio::time::sleep(PROBE_INTERVAL).await;
            }
        })
    }

    /// Chooses the gateway of a new connection.
    fn choose(&self, rng: &mut SmallRng) -> usize {
        let misses = *self.misses.lock().unwrap();
        let used: Vec<usize> = (0..GATEWAYS).filter(|it| misses[*it] < 2).collect();
        match used.is_empty() {
            true => rng.random_range(0..GATEWAYS),
            false => used[rng.random_range(0..used.len())],
        }
    }

    /// Sends requests until the run is over, each connection for as long as the gateway keeps it.
    async fn call(self: Arc<Self>, mut rng: SmallRng) {
        while !self.is_over.load(Ordering::Relaxed) {
            let gateway = self.choose(&mut rng);
            let Some(mut sender) = open(self.listens[gateway]).await else {
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            };
            while !self.is_over.load(Ordering::Relaxed) && sender.ready().await.is_ok() {
                let id = format!("q-{}", self.next_id.fetch_add(1, Ordering::Relaxed));
                let outcome = exchange(&mut sender, (gateway, &id), &mut rng).await;
                let is_whole = matches!(outcome.result, CallerResult::Whole { .. });
                self.outcomes.lock().unwrap().insert(id, outcome);
                if !is_whole {
                    break;
                }
                let idle = if rng.random_bool(0.3) { 3_000 } else { 60 };
                tokio::time::sleep(Duration::from_millis(rng.random_range(0..idle))).await;
            }
        }
    }
}

type CallerBody = BoxBody<Bytes, Infallible>;

async fn open(address: SocketAddr) -> Option<SendRequest<CallerBody>> {
    let stream = TcpStream::connect(address).await.ok()?;
    let connection = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) = connection.ok()?;
    tokio::spawn(connection);
    Some(sender)
}

/// What a request asks for.
#[derive(Clone, Copy, Debug)]
enum CallKind {
    Safe { time_ms: u64 },
    Single { time_ms: u64 },
    SingleStream { events: u32, gap_ms: u64 },
    Stream { events: u32, gap_ms: u64 },
}

impl CallKind {
    fn random(rng: &mut SmallRng) -> Self {
        let (events, gap_ms) = match rng.random_range(0..10) {
            0 => (rng.random_range(40..58), 100),
            1 => (4, 700),
            _ => (rng.random_range(3..30), rng.random_range(20..80)),
        };
        match rng.random_range(0..5) {
            0 => Self::Safe { time_ms: rng.random_range(5..200) },
            1 => Self::Single { time_ms: rng.random_range(5..900) },
            2 => Self::SingleStream { events, gap_ms },
            _ => Self::Stream { events, gap_ms },
        }
    }

    fn path(self) -> String {
        match self {
            Self::Safe { time_ms } => format!("/sa/run/{time_ms}"),
            Self::Single { time_ms } => format!("/un/run/{time_ms}"),
            Self::SingleStream { events, gap_ms } => format!("/on/stream/{events}/{gap_ms}"),
            Self::Stream { events, gap_ms } => format!("/re/stream/{events}/{gap_ms}"),
        }
    }

    fn timeout(self) -> Duration {
        match self {
            Self::Safe { .. } | Self::Single { .. } => CALL_TIMEOUT,
            Self::SingleStream { .. } | Self::Stream { .. } => STREAM_TIMEOUT,
        }
    }

    fn runs_once(self) -> bool {
        matches!(self, Self::Single { .. } | Self::SingleStream { .. })
    }

    /// Body of the whole answer.
    fn answer(self) -> String {
        match self {
            Self::Safe { .. } | Self::Single { .. } => "an answer".to_owned(),
            Self::SingleStream { events, .. } | Self::Stream { events, .. } => {
                (1..=events).map(|it| format!("id: {it}\ndata: piece {it}\n\n")).collect()
            }
        }
    }
}

/// Body in a few pieces with pauses, in chunks, that records when its last one was taken.
fn slow_body(sent_at: Arc<Mutex<Option<Instant>>>, pieces: u32, pause: Duration) -> CallerBody {
    let frames = unfold((0, sent_at), move |(n, sent_at)| async move {
        if n >= pieces {
            sent_at.lock().unwrap().get_or_insert_with(Instant::now);
            return None;
        }
        tokio::time::sleep(pause).await;
        Some((Ok(Frame::data(Bytes::from_static(b"a piece"))), (n + 1, sent_at)))
    });
    BodyExt::boxed(StreamBody::new(frames))
}

async fn exchange(
    sender: &mut SendRequest<CallerBody>,
    (gateway, id): (usize, &str),
    rng: &mut SmallRng,
) -> CallerOutcome {
    let kind = CallKind::random(rng);
    let sent_at = Arc::new(Mutex::new(None));
    let (pieces, pause) = match rng.random_range(0..4) {
        0 => (rng.random_range(2..5), rng.random_range(5..400)),
        _ => (1, 0),
    };
    let body = slow_body(sent_at.clone(), pieces, Duration::from_millis(pause));
    let request = Request::post(kind.path())
        .header("host", "h.example")
        .header("request-id", id)
        .header("time-budget-ms", kind.timeout().as_millis() as u64)
        .body(body)
        .unwrap();
    let result = match sender.send_request(request).await {
        Err(_) => CallerResult::Unanswered,
        Ok(answer) => {
            let status = answer.status();
            match answer.into_body().collect().await {
                Err(_) => CallerResult::Broken,
                Ok(body) => {
                    let text = String::from_utf8_lossy(&body.to_bytes()).into_owned();
                    CallerResult::Whole { status, text }
                }
            }
        }
    };
    let sent_at = *sent_at.lock().unwrap();
    CallerOutcome { kind, gateway, sent_at, ended_at: Instant::now(), result }
}

/// Returns what is wrong with the end of a request.
fn violation(
    (id, outcome): (&str, &CallerOutcome),
    runs: usize,
    stops: &[(usize, Instant)],
) -> Option<String> {
    let CallerOutcome { kind, gateway, sent_at, ended_at, result } = outcome;
    let path = kind.path();
    if kind.runs_once() && runs > 1 {
        return Some(format!("{id} on {path} ran {runs} times"));
    }
    match result {
        CallerResult::Whole { status: StatusCode::OK, text } => {
            let is_wrong = *text != kind.answer();
            is_wrong.then(|| format!("{id} on {path}: wrong answer"))
        }
        CallerResult::Whole { status: StatusCode::SERVICE_UNAVAILABLE, .. } => {
            (kind.runs_once() && runs > 0).then(|| format!("{id} on {path}: refused but ran"))
        }
        CallerResult::Whole { .. } => None,
        CallerResult::Broken | CallerResult::Unanswered => {
            let sent_at = (*sent_at)?;
            let is_allowed = stops.iter().any(|(n, stopped_at)| {
                n == gateway
                    && sent_at <= *stopped_at + EARLY
                    && *ended_at >= *stopped_at + GRACE.mul_f64(5.0 / 6.0)
                    && *ended_at <= *stopped_at + GRACE + PROBE_INTERVAL
            });
            let is_lost = runs > 0 || *ended_at > sent_at + LOSS_SLACK;
            let stop = stops.iter().rfind(|it| it.0 == *gateway);
            (is_lost && !is_allowed).then(|| {
                let after_stop = stop.map(|it| sent_at.saturating_duration_since(it.1));
                let ended_after = stop.map(|it| ended_at.saturating_duration_since(it.1));
                format!(
                    "{id} on {path} at gateway {gateway}: {result:?} after {runs} runs, sent \
                     {after_stop:?} and ended {ended_after:?} after SIGTERM"
                )
            })
        }
    }
}

/// Runs one seed. Returns the number of requests with a whole success, and the violations.
async fn run_seed(seed: u64) -> (usize, Vec<String>) {
    let runs = TimedRuns::default();
    let mut fleet = StopFleet::start(seed, &runs).await;
    let side = Arc::new(CallerSide {
        listens: fleet.gateways.iter().map(|it| it.listen).collect(),
        misses: Mutex::default(),
        outcomes: Mutex::default(),
        next_id: AtomicU64::new(0),
        is_over: AtomicBool::new(false),
    });
    let ready = fleet.gateways.iter().map(|it| it.ready).collect();
    let balancer = side.clone().balance(ready);
    let rngs = (0..CALLERS as u64).map(|it| SmallRng::seed_from_u64(seed << 16 | it));
    let callers: Vec<_> = rngs.map(|rng| tokio::spawn(side.clone().call(rng))).collect();
    let started = Instant::now();
    let mut next_work = started;
    while started.elapsed() < WORK_PHASE {
        if Instant::now() >= next_work {
            fleet.work();
            next_work += Duration::from_millis(fleet.rng.random_range(50..900));
        }
        fleet.tend();
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    side.is_over.store(true, Ordering::Relaxed);
    let mut callers = Box::pin(futures_util::future::join_all(callers));
    // The platform goes on with what it has begun while the last requests end.
    loop {
        fleet.tend();
        let wait = tokio::time::timeout(Duration::from_millis(20), callers.as_mut());
        if let Ok(ended) = wait.await {
            ended.into_iter().for_each(|it| it.unwrap());
            break;
        }
    }
    balancer.abort();
    let outcomes = side.outcomes.lock().unwrap();
    let is_served = |it: &&CallerOutcome| {
        matches!(it.result, CallerResult::Whole { status: StatusCode::OK, .. })
    };
    let served = outcomes.values().filter(is_served).count();
    println!(
        "seed {seed}: {served} of {} requests served, {} stops",
        outcomes.len(),
        fleet.stops.len()
    );
    let found = outcomes
        .iter()
        .filter_map(|(id, outcome)| violation((id, outcome), runs.count(id), &fleet.stops));
    (served, found.collect())
}

fn seeds() -> std::ops::Range<u64> {
    let requested = std::env::var("ALDERBAY_SOAK_SEEDS").ok();
    let range = requested.as_deref().and_then(|it| it.split_once(".."));
    range
        .and_then(|(first, last)| Some(first.parse().ok()?..last.parse().ok()?))
        .unwrap_or(CI_SEEDS)
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn planned_stops_lose_no_request() {
    for seed in seeds() {
        let (served, violations) = run_seed(seed).await;
        expect_that!(violations, is_empty(), "seed {seed}");
        expect_that!(served, gt(200), "seed {seed}");
    }
}
