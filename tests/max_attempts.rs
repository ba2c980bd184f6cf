//! Tests of what one request may take from servers at most: how many run it, and for how long.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use bytes::Bytes;
use futures_util::future::join_all;
use googletest::prelude::*;
use http::Request;
use http_body_util::{BodyExt, Full};
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};
use serde_json::json;
use tokio::time::{Instant, timeout};

use crate::{
    launcher,
    support::{
        cut_server::{self, CutEnd, CutRun, CutScript, CutScripts},
        gateway::{GatewayProcess, connect},
        platform_store::FakeStore,
        ports::free_address,
    },
};

const MAX_ATTEMPTS: usize = 2;
/// Time by which a server's time may exceed the caller's, or end after it.
const TIME_SLACK: Duration = Duration::from_millis(500);
const ROUTE_TIMEOUT: Duration = Duration::from_millis(5_000);
const OWN: &str = "Request-Id: {id}\r\nResponse-Stamp: s\r\n";
const LENGTH: &str = "Content-Length: 4\r\n\r\n";
const CHUNKED: &str = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

/// What a caller says of its time.
#[derive(Clone, Copy, Debug, PartialEq)]
enum CallerTime {
    Unstated,
    Stated(u64),
    Text(&'static str),
}

const CALLER_TIMES: [CallerTime; 8] = [
    CallerTime::Unstated,
    CallerTime::Stated(0),
    CallerTime::Stated(300),
    CallerTime::Stated(1_200),
    CallerTime::Stated(3_000),
    CallerTime::Stated(60_000),
    CallerTime::Stated(u64::MAX),
    CallerTime::Text("soon"),
];

/// What became of a server's run, as far as the server knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ServerRun {
    Ran,
    /// The server said that it had not run the request.
    Refused,
}

fn event(n: usize) -> String {
    let event = format!("id: {n}\ndata: piece {n}\n\n");
    format!("{:x}\r\n{event}\r\n", event.len())
}

/// Draws what a server answers.
fn draw_script(
    rng: &mut SmallRng,
    is_stream: bool,
    events_before: usize,
) -> (ServerRun, CutScript) {
    let refusal = |status: &str, header: &str| {
        format!("HTTP/1.1 {status}\r\nRequest-Id: {{id}}\r\n{header}Content-Length: 0\r\n\r\n")
    };
    match rng.random_range(0..900) {
        0..100 => {
            let text = refusal("503 Unavailable", "Not-Run: 1\r\n");
            return (ServerRun::Refused, CutScript::new(text, CutEnd::Close));
        }
        // Its server gets nothing more.
        100..103 => {
            let text = refusal("421 Misdirected", "");
            return (ServerRun::Refused, CutScript::new(text, CutEnd::Close));
        }
        200..300 => {
            let text = refusal("500 Error", "Response-Stamp: s\r\n");
            return (ServerRun::Ran, CutScript::new(text, CutEnd::Close));
        }
        _ => {}
    }
    let first = events_before + 1;
    let whole = match is_stream {
        true => {
            let events: String = (first..first + 4).map(event).collect();
            format!("HTTP/1.1 200 OK\r\n{OWN}{CHUNKED}{events}0\r\n\r\n")
        }
        false => format!("HTTP/1.1 200 OK\r\n{OWN}{LENGTH}whole"),
    };
    let end = *[CutEnd::Close, CutEnd::Reset, CutEnd::Silence].choose(rng).unwrap();
    let cut = if rng.random_bool(0.7) { rng.random_range(0..whole.len()) } else { whole.len() };
    let pause = rng.random_bool(0.5).then(|| {
        let times = [200, 700, 1_100, 1_700, 2_300];
        (rng.random_range(0..=cut), Duration::from_millis(*times.choose(rng).unwrap()))
    });
    (ServerRun::Ran, CutScript { text: whole[..cut].to_owned(), pause, end })
}

/// Sends a request and reads its answer, for as long as a caller would wait.
async fn send(gateway: SocketAddr, path: String, id: String, time: CallerTime) -> Option<()> {
    let mut request = Request::post(path).header("host", "h.example").header("request-id", id);
    match time {
        CallerTime::Unstated => {}
        CallerTime::Stated(millis) => request = request.header("time-budget-ms", millis),
        CallerTime::Text(text) => request = request.header("time-budget-ms", text),
    }
    let request = request.body(Full::<Bytes>::from("a body")).unwrap();
    let mut sender = connect(gateway).await?;
    let read = async {
        let answer = sender.send_request(request).await.ok()?;
        answer.into_body().collect().await.ok().map(|_| ())
    };
    timeout(ROUTE_TIMEOUT + 2 * TIME_SLACK, read).await.ok()?
}

async fn start_gateway(store: &FakeStore) -> GatewayProcess {
    let route = |name: &str, kind: &str, is_resumable: bool, timeout: Duration| {
        json!({"name": name, "hostname": "h.example", "path-prefix": format!("/{name}/"),
            "kind": kind, "timeout-ms": timeout.as_millis() as u64, "target-latency-ms": 250,
            "service": "s", "max-attempts": MAX_ATTEMPTS, "public": true,
            "resumable": is_resumable})
    };
    let routes = [
        route("safe", "safe", false, ROUTE_TIMEOUT),
        route("short", "safe", false, Duration::from_millis(1_500)),
        route("unsafe", "unsafe", false, ROUTE_TIMEOUT),
        route("stream", "streaming", true, ROUTE_TIMEOUT),
        route("single", "streaming", false, ROUTE_TIMEOUT),
    ];
    let manifest = json!({"version": 3, "routes": routes,
        "services": [{"name": "s", "health-check-path": "/healthz", "max-connections": 4000}],
        "limits": {"max-body-bytes": 4096}});
    store.put("keyed.op", "config", Some(&manifest));
    let gateway =
        GatewayProcess::start_with_burst(&launcher(), store.fake_server.address, &[], 100_000.0);
    gateway.wait_ready().await;
    gateway
}

/// A request and what its servers answer to its runs.
struct DrawnRequest {
    route: &'static str,
    id: String,
    time: CallerTime,
    script: usize,
    outcomes: Vec<ServerRun>,
    sent: Instant,
}

impl DrawnRequest {
    fn draw(rng: &mut SmallRng, n: usize, scripts: &CutScripts) -> Self {
        let route =
            *["safe", "safe", "short", "unsafe", "stream", "stream", "single"].choose(rng).unwrap();
        let is_stream = matches!(route, "stream" | "single");
        let drawn: Vec<_> = (0..8).map(|n| draw_script(rng, is_stream, 2 * n)).collect();
        let outcomes = drawn.iter().map(|it| it.0).collect();
        let script = scripts.add(drawn.into_iter().map(|it| it.1).collect());
        let time = *CALLER_TIMES.choose(rng).unwrap();
        Self { route, id: format!("q-{n}"), time, script, outcomes, sent: Instant::now() }
    }

    fn check_servers(&self, runs: &[CutRun]) {
        let servers: std::collections::BTreeSet<&str> = runs
            .iter()
            .filter(|it| self.outcomes[it.earlier] == ServerRun::Ran)
            .map(|it| it.server.as_str())
            .collect();
        let allowed = match self.route {
            "unsafe" | "single" => 1,
            _ => MAX_ATTEMPTS,
        };
        expect_that!(servers.len(), le(allowed), "{} {:?}: {runs:?}", self.route, self.outcomes);
    }

    fn check_times(&self, runs: &[CutRun]) {
        let what = || format!("{} {:?}: {runs:?}", self.route, self.time);
        // In milliseconds after the request was sent, since some callers state more than a clock holds.
        let sent_after = |run: &CutRun| (run.at - self.sent).as_millis();
        let slack = TIME_SLACK.as_millis();
        let own = match self.time {
            CallerTime::Stated(own) => Some(u128::from(own)),
            CallerTime::Unstated | CallerTime::Text(_) => None,
        };
        let mut first_end = None;
        for run in runs {
            let stated = run.time_budget.as_deref().and_then(|it| it.parse::<u64>().ok());
            let Some(stated) = stated.map(u128::from) else {
                fail!("no time: {}", what()).unwrap();
                continue;
            };
            expect_that!(own.is_none_or(|own| stated <= own + slack), eq(true), "{}", what());
            let end = sent_after(run) + stated;
            let first_end = *first_end.get_or_insert(end);
            let is_late = run.at > runs[0].at + TIME_SLACK;
            let last_end = own.unwrap_or_default().max(first_end) + slack;
            expect_that!(is_late && end > last_end, eq(false), "{}", what());
        }
    }
}

/// Guards against a request that runs on more servers than its route allows, or that leaves a server
/// more time than its caller waits.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn repeats_stay_within_attempts_and_time() {
    for seed in [47, 48] {
        let mut rng = SmallRng::seed_from_u64(seed);
        let (store, scripts) = (FakeStore::start(free_address()).await, CutScripts::default());
        for n in 0..12 {
            cut_server::start(&store, &format!("i-{n}"), &scripts).await;
        }
        // Nobody listens there, so that a connection fails before each attempt now and then.
        cut_server::list(&store, "i-gone", free_address());
        let gateway = start_gateway(&store).await;
        let mut requests = Vec::new();
        let mut callers = Vec::new();
        for n in 0..500 {
            let request = DrawnRequest::draw(&mut rng, n, &scripts);
            let path = format!("/{}/{}", request.route, request.script);
            let (id, time) = (request.id.clone(), request.time);
            callers.push(tokio::spawn(send(gateway.listen, path, id, time)));
            requests.push(request);
            tokio::time::sleep(Duration::from_millis(4)).await;
        }
        join_all(callers).await;
        let mut runs: BTreeMap<String, Vec<CutRun>> = BTreeMap::new();
        for run in scripts.runs() {
            runs.entry(run.request.clone()).or_default().push(run);
        }
        let (mut repeated, mut late) = (0, 0);
        for request in &requests {
            let Some(runs) = runs.get(&request.id) else { continue };
            repeated += usize::from(runs.len() > 1);
            late += runs.iter().filter(|it| it.at > runs[0].at + TIME_SLACK).count();
            request.check_servers(runs);
            request.check_times(runs);
        }
        println!(
            "seed {seed}: {} runs, {repeated} requests sent again, {late} runs over 0.5 s later",
            runs.len()
        );
        expect_that!(repeated, ge(50), "too few repeats to show anything");
        expect_that!(late, ge(20), "too few late repeats to show anything");
    }
}
