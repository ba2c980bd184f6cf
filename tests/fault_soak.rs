//! A randomized soak: gateways as processes, faults from outside them, promises checked while it runs
//! from what callers and servers see.
//!
//! `ALDERBAY_SOAK_SEEDS=FIRST..LAST` plays other seeds than the short run of CI does. Seeds that ever
//! failed stay in [`KEPT_SEEDS`], each with its cause.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use googletest::prelude::*;
use http::{Request, StatusCode};
use http_body_util::Full;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde_json::json;
use tokio::time::{Instant, timeout};

use crate::{
    launcher,
    support::{
        gateway::{GatewayProcess, connect, read},
        platform_store::FakeStore,
        ports::free_address,
        proxy::{LinkFaults, Proxy},
        scripted_server::{self, ServerLog},
    },
};

const GATEWAYS: usize = 3;
const SERVERS: usize = 4;
const CALLERS: usize = 12;
const CHAOS: Duration = Duration::from_secs(6);
const CALM: Duration = Duration::from_secs(4);
const PATIENCE_MS: u64 = 2_500;

/// Seeds that failed once, with the cause.
const KEPT_SEEDS: [u64; 0] = [];
/// Seeds of the short run.
const CI_SEEDS: std::ops::Range<u64> = 1..4;

/// What a caller got.
struct Outcome {
    path: &'static str,
    status: Option<StatusCode>,
    is_wrong: bool,
    at: Instant,
}

struct Soak {
    store: FakeStore,
    store_proxy: Proxy,
    proxies: Vec<Proxy>,
    log: ServerLog,
    gateways: Vec<GatewayProcess>,
    listens: Vec<std::net::SocketAddr>,
    rng: SmallRng,
}

fn route(prefix: &str, kind: &str) -> serde_json::Value {
    json!({"name": format!("r-{kind}"), "hostname": "h.example", "path-prefix": prefix,
        "kind": kind, "timeout-ms": 3000, "target-latency-ms": 300, "service": "s",
        "max-attempts": 2, "public": true, "resumable": true})
}

fn entry(address: std::net::SocketAddr, state: &str) -> serde_json::Value {
    json!({"service": "s", "address": address, "zone": "a", "version": "v1", "slots": 12,
        "state": state, "warmup-left-ms": 0, "sequence": 1, "born": 1})
}

impl Soak {
    async fn start(seed: u64) -> Self {
        let store = FakeStore::start(free_address()).await;
        let store_proxy = Proxy::tcp(free_address(), store.fake_server.address).await;
        let log = ServerLog::default();
        let mut proxies = Vec::new();
        for n in 0..SERVERS {
            let address = free_address();
            scripted_server::start(address, &format!("i-{n}"), log.clone()).await;
            let proxy = Proxy::tcp(free_address(), address).await;
            store.put("keyed.servers", &format!("i-{n}"), Some(&entry(proxy.address, "ready")));
            proxies.push(proxy);
        }
        let routes = [route("/sa/", "safe"), route("/un/", "unsafe"), route("/st/", "streaming")];
        let manifest = json!({"version": 1, "routes": routes, "services": [{"name": "s"}]});
        store.put("keyed.op", "config", Some(&manifest));
        let mut gateways: Vec<GatewayProcess> = Vec::new();
        for _ in 0..GATEWAYS {
            let seeds: Vec<_> = gateways.iter().map(|it| it.peer).collect();
            gateways.push(GatewayProcess::start(&launcher(), store_proxy.address, &seeds));
        }
        for gateway in &gateways {
            gateway.wait_ready().await;
        }
        let listens = gateways.iter().map(|it| it.listen).collect();
        let rng = SmallRng::seed_from_u64(seed);
        Self { store, store_proxy, proxies, log, gateways, listens, rng }
    }

    /// One fault, which may overlap earlier ones.
    async fn strike(&mut self) {
        let n = self.rng.random_range(0..GATEWAYS);
        let server = self.rng.random_range(0..SERVERS);
        match self.rng.random_range(0..9) {
            0 => {
                let _ = self.gateways[n].child.kill();
                self.gateways[n].restart();
            }
            1 => self.gateways[n].signal("-STOP"),
            2 => self.gateways[n].signal("-CONT"),
            3 => self.proxies[server].faults.cut(true),
            4 => self.proxies[server].faults.to_client.lock().unwrap().is_cut = true,
            5 => self.proxies[server]
                .faults
                .set(LinkFaults { max_delay: Duration::from_millis(120), ..LinkFaults::default() }),
            6 => self.proxies[server].faults.set(LinkFaults::default()),
            7 => {
                let is_down = self.rng.random();
                self.store_proxy.faults.cut(is_down);
            }
            _ => {
                let state = if self.rng.random_bool(0.3) { "draining" } else { "ready" };
                let entry = entry(self.proxies[server].address, state);
                self.store.put("keyed.servers", &format!("i-{server}"), Some(&entry));
            }
        }
    }

    /// Ends all faults.
    fn heal(&mut self) {
        for gateway in &self.gateways {
            gateway.signal("-CONT");
        }
        self.store_proxy.faults.set(LinkFaults::default());
        for (n, proxy) in self.proxies.iter().enumerate() {
            proxy.faults.set(LinkFaults::default());
            self.store.put(
                "keyed.servers",
                &format!("i-{n}"),
                Some(&entry(proxy.address, "ready")),
            );
        }
    }
}

/// One request of a caller, and whether what it got is right.
async fn ask(listen: std::net::SocketAddr, id: &str, path: &'static str) -> Outcome {
    let request = Request::post(path)
        .header("host", "h.example")
        .header("request-id", id)
        .header("time-budget-ms", PATIENCE_MS.to_string())
        .body(Full::<Bytes>::default())
        .unwrap();
    let exchange = async { read(connect(listen).await?.send_request(request).await.ok()?).await };
    let answer = timeout(Duration::from_millis(PATIENCE_MS), exchange).await.ok().flatten();
    let stream: String = (1..=4).map(|id| format!("id: {id}\ndata: piece {id}\n\n")).collect();
    let right = match path {
        "/st/x" => stream,
        _ => format!("answer to {id}"),
    };
    let is_wrong = answer.as_ref().is_some_and(|it| it.0 == StatusCode::OK && it.1 != right);
    Outcome { path, status: answer.map(|it| it.0), is_wrong, at: Instant::now() }
}

async fn play(seed: u64) -> (usize, Vec<String>) {
    let mut soak = Soak::start(seed).await;
    let outcomes: Arc<Mutex<BTreeMap<String, Outcome>>> = Arc::default();
    let next = Arc::new(AtomicU64::new(0));
    let begun = Instant::now();
    let callers: Vec<_> = (0..CALLERS)
        .map(|n| {
            let (outcomes, next, listens) = (outcomes.clone(), next.clone(), soak.listens.clone());
            tokio::spawn(async move {
                while begun.elapsed() < CHAOS + CALM {
                    let id = format!("q-{}", next.fetch_add(1, Ordering::Relaxed));
                    let path = ["/sa/x", "/un/x", "/st/x"][n % 3];
                    let outcome = ask(listens[n / 3 % GATEWAYS], &id, path).await;
                    outcomes.lock().unwrap().insert(id, outcome);
                    tokio::time::sleep(Duration::from_millis(15)).await;
                }
            })
        })
        .collect();
    while begun.elapsed() < CHAOS {
        soak.strike().await;
        let pause = soak.rng.random_range(50..500);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
    soak.heal();
    for caller in callers {
        caller.await.unwrap();
    }
    let runs = soak.log.runs_by_request();
    let outcomes = outcomes.lock().unwrap();
    let mut faults = Vec::new();
    for (id, it) in outcomes.iter() {
        let count = runs.get(id).copied().unwrap_or(0);
        if it.is_wrong {
            faults.push(format!("{id} on {}: a wrong answer", it.path));
        }
        if it.path == "/un/x" && count > 1 {
            faults.push(format!("{id} ran {count} times"));
        }
        let is_refused = matches!(
            it.status,
            Some(StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS)
        );
        if it.path == "/un/x" && is_refused && count > 0 {
            faults.push(format!("{id} was refused as not run, and ran"));
        }
    }
    // Once all is well again, callers are served.
    let calm = outcomes.values().filter(|it| it.at > begun + CHAOS + CALM / 2);
    let (served, all) = calm.fold((0, 0), |(served, all), it| {
        (served + usize::from(it.status == Some(StatusCode::OK)), all + 1)
    });
    if served * 10 < all * 9 || all == 0 {
        faults.push(format!("{served} of {all} requests were served after the faults"));
    }
    (outcomes.len(), faults)
}

fn seeds() -> Vec<u64> {
    let asked = std::env::var("ALDERBAY_SOAK_SEEDS").ok();
    let range = asked.as_deref().and_then(|it| it.split_once(".."));
    let asked = range.and_then(|(first, last)| Some(first.parse().ok()?..last.parse().ok()?));
    KEPT_SEEDS.into_iter().chain(asked.unwrap_or(CI_SEEDS)).collect()
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn promises_hold_under_faults() {
    for seed in seeds() {
        let (requests, faults) = play(seed).await;
        println!("seed {seed}: {requests} requests, {} violations", faults.len());
        expect_that!(faults, is_empty(), "seed {seed}");
        expect_that!(requests, gt(100), "seed {seed}");
    }
}
