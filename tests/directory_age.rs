//! The age of the directory: the time since some gateway read it from the store. It grows as gateways
//! pass the directory on, so that gateways that cannot read the store don't take each other's copies
//! for fresh.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use alderbay::{
    routing::{DirectoryCopy, DirectoryTable, DirectoryView, RouteKind, RoutingEvent},
    units::{LogOffset, Moment, StoreEra, StorePosition},
};
use googletest::prelude::*;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde_json::json;
use tokio::{
    net::{TcpListener, TcpStream},
    time::Instant,
};

use crate::{
    gateway_routing::{SECOND_US, TestGateway, server, server_of},
    launcher,
    support::{
        gateway::GatewayProcess, gateway_lists::announce_gateways, platform_store::FakeStore,
        ports::free_address,
    },
};

/// Time within which a draining server must get no new work, by the settings' default.
const LEAVE_TIME: Duration = Duration::from_millis(2_000);
/// Time in which gateways learn of each other and choose a reader.
const SETTLING_TIME: Duration = Duration::from_secs(3);

/// A link to the store that can be cut: open connections end, and new ones end at once.
struct StoreLink {
    address: SocketAddr,
    is_cut: Arc<AtomicBool>,
}

impl StoreLink {
    async fn start(store: SocketAddr) -> Self {
        let (address, is_cut) = (free_address(), Arc::new(AtomicBool::new(false)));
        let listener = TcpListener::bind(address).await.unwrap();
        let cut = is_cut.clone();
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let cut = cut.clone();
                tokio::spawn(async move { relay_until_cut(client, store, &cut).await });
            }
        });
        Self { address, is_cut }
    }

    fn cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }
}

async fn relay_until_cut(mut client: TcpStream, store: SocketAddr, is_cut: &AtomicBool) {
    let Ok(mut server) = TcpStream::connect(store).await else { return };
    let cut = async {
        while !is_cut.load(Ordering::SeqCst) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::select! {
        () = cut => {}
        _ = tokio::io::copy_bidirectional(&mut client, &mut server) => {}
    }
}

fn put_server(store: &FakeStore, id: &str, state: &str) {
    let entry = json!({"service": "s", "address": "127.0.0.1:9", "zone": "a", "version": "v1",
        "slots": 12, "state": state, "warmup-left-ms": 0, "sequence": 1, "born": 1});
    store.put("keyed.servers", id, Some(&entry));
}

/// Guards against requests that reach a server after it has left: a reader that was cut off from the
/// store and its followers confirmed the same old directory to each other as fresh.
#[gtest]
#[tokio::test]
async fn followers_of_cut_reader_read_store() {
    let store = FakeStore::start(free_address()).await;
    store.put("keyed.op", "config", Some(&json!({"version": 3, "routes": [], "services": []})));
    put_server(&store, "i-0", "ready");
    let mut gateways = Vec::new();
    for _ in 0..3 {
        let link = StoreLink::start(store.fake_server.address).await;
        gateways.push((GatewayProcess::start(&launcher(), link.address, &[]), link));
    }
    gateways.sort_by_key(|it| it.0.peer);
    for (gateway, _) in &gateways {
        gateway.wait_ready().await;
    }
    let processes: Vec<_> = gateways.iter().map(|it| &it.0).collect();
    let announcer = announce_gateways(&processes);
    tokio::time::sleep(SETTLING_TIME).await;
    let link = &gateways[0].1;
    for round in 1..=3 {
        let (leaving, started) = (format!("i-{round}"), Instant::now());
        put_server(&store, &leaving, "ready");
        while processes.iter().any(|it| !it.log_text().contains(&format!("{leaving} is listed"))) {
            assert!(started.elapsed() < 2 * LEAVE_TIME, "{leaving} is not listed");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        link.cut(true);
        tokio::time::sleep(Duration::from_millis(700)).await;
        put_server(&store, &leaving, "draining");
        tokio::time::sleep(LEAVE_TIME).await;
        for gateway in &processes[1..] {
            let has_seen = gateway.log_text().contains(&format!("{leaving} is draining"));
            expect_that!(has_seen, eq(true), "round {round}: {}", gateway.log_text());
        }
        link.cut(false);
        // The followers rely on the reader again.
        tokio::time::sleep(Duration::from_secs(6)).await;
    }
    announcer.abort();
}

/// Guards against living servers that are dropped as the store returns: an outage was counted from the
/// receipt of the last directory, so that one in which entries can lapse seemed too short.
#[gtest]
fn outage_is_counted_from_the_read() {
    let mut gateway = TestGateway::new(RouteKind::Idempotent, vec![server(1, "a")]);
    // The last directory is received at ten seconds.
    let read_at = Some(Moment(gateway.now - 8 * SECOND_US / 10));
    gateway.dispatch(RoutingEvent::DirectoryRead(vec![server(1, "a")]));
    gateway.now += 4 * SECOND_US / 10;
    gateway.dispatch(RoutingEvent::StoreUnavailable { read_at });
    gateway.now += SECOND_US;
    gateway.dispatch(RoutingEvent::StoreRecovered);
    // The entry has lapsed, and is back a second later.
    gateway.dispatch(RoutingEvent::DirectoryRead(Vec::new()));
    expect_that!(server_of(&gateway.run_request()), some(eq("i-1")));
    gateway.now += SECOND_US;
    gateway.dispatch(RoutingEvent::DirectoryRead(vec![server(1, "a")]));
    expect_that!(server_of(&gateway.run_request()), some(eq("i-1")));
}

/// A server whose entry lapsed in an outage that fails fast stays in use at the followers of a reader.
#[gtest]
#[tokio::test]
async fn followers_notice_outage() {
    /// Entries lapse in it, but not much longer.
    const OUTAGE: Duration = Duration::from_millis(2_400);
    let store = FakeStore::start(free_address()).await;
    store.put("keyed.op", "config", Some(&json!({"version": 3, "routes": [], "services": []})));
    put_server(&store, "i-0", "ready");
    let address = store.fake_server.address;
    let gateways = [(); 3].map(|()| GatewayProcess::start(&launcher(), address, &[]));
    for gateway in &gateways {
        gateway.wait_ready().await;
    }
    let processes: Vec<_> = gateways.iter().collect();
    let announcer = announce_gateways(&processes);
    tokio::time::sleep(SETTLING_TIME).await;
    for _ in 0..3 {
        store.set_down(true);
        tokio::time::sleep(OUTAGE).await;
        store.put("keyed.servers", "i-0", None);
        store.set_down(false);
        tokio::time::sleep(Duration::from_secs(1)).await;
        put_server(&store, "i-0", "ready");
        tokio::time::sleep(Duration::from_secs(2)).await;
        for gateway in &gateways {
            let text = gateway.log_text();
            expect_that!(text.contains("server i-0 is removed"), eq(false), "{text}");
        }
    }
    announcer.abort();
}

/// A gateway in a simulation, whose clock starts with its process.
struct ModelGateway {
    started_at: u64,
    directory: DirectoryTable,
}

impl ModelGateway {
    fn moment(&self, now: u64) -> Moment {
        Moment((now - self.started_at) * 1_000)
    }
}

/// Guards against beliefs that age slower than time: gateways pass directories on in any order, with
/// delays and restarts, and no age is ever below the time since the read from the store.
#[gtest]
fn passed_on_directory_is_never_younger() {
    for (count, seed) in [(3, 1), (3, 2), (9, 3), (9, 4), (101, 5), (299, 6)] {
        let mut rng = SmallRng::seed_from_u64(seed);
        let new_gateway = |now| ModelGateway { started_at: now, directory: <_>::default() };
        let mut gateways: Vec<_> = (0..count).map(|_| new_gateway(0)).collect();
        // True time at which each offset was last confirmed by the store.
        let mut confirmed_at: BTreeMap<u64, u64> = BTreeMap::new();
        let (mut now, mut offset) = (0, 0);
        for step in 0..20_000 {
            now += rng.random_range(1..40);
            offset += u64::from(rng.random_bool(0.05));
            let n = rng.random_range(0..count);
            // The store can be read in the first quarter and in the third.
            let is_readable = step / 5_000 % 2 == 0;
            match rng.random_range(0..20) {
                0 if is_readable => {
                    let read_at = Some(gateways[n].moment(now));
                    let position =
                        StorePosition { era: StoreEra::default(), offset: LogOffset(offset) };
                    let view = DirectoryView { position, servers: BTreeMap::new(), read_at };
                    gateways[n].directory.apply(view);
                    confirmed_at.insert(offset, now);
                }
                1 if rng.random_bool(0.1) => gateways[n] = new_gateway(now),
                _ => {
                    let peer = rng.random_range(0..count);
                    let Some(view) = gateways[peer].directory.view().cloned() else { continue };
                    let asked_at = gateways[n].moment(now);
                    now += rng.random_range(0..500);
                    let copy = DirectoryCopy::new(view, gateways[peer].moment(now));
                    let text = serde_json::to_string(&copy).unwrap();
                    now += rng.random_range(0..500);
                    let copy: DirectoryCopy = serde_json::from_str(&text).unwrap();
                    gateways[n].directory.apply(copy.received(asked_at));
                }
            }
            let Some(view) = gateways[n].directory.view() else { continue };
            let Some(read_at) = view.read_at else { continue };
            let age = gateways[n].moment(now).since(read_at);
            // Later offsets contain earlier ones.
            let confirmed = confirmed_at.range(view.position.offset.0..).map(|it| *it.1).max();
            let true_age = Duration::from_millis(now - confirmed.unwrap_or(0));
            assert_that!(age, ge(true_age), "seed {seed}, step {step}");
        }
    }
}

/// Gateways of earlier releases do not say how old their directory is.
#[gtest]
fn directory_without_age_confirms_nothing() {
    let view = |text| serde_json::from_str::<DirectoryCopy>(text).unwrap().received(Moment(9_000));
    let mut table = DirectoryTable::default();
    table.apply(view(r#"{"era": 0, "offset": 4, "servers": {}, "age_ms": 2}"#));
    table.apply(view(r#"{"era": 0, "offset": 5, "servers": {}}"#));
    let known = table.view().unwrap();
    assert_that!(known.position.offset, eq(LogOffset(5)));
    // What was confirmed up to an earlier offset holds for a later one.
    assert_that!(known.read_at, some(eq(Moment(7_000))));
    table.apply(view(r#"{"era": 1, "offset": 5, "servers": {}}"#));
    assert_that!(table.view().unwrap().read_at, none());
}
