//! The platform's store comes back from a copy that is some seconds old. Explores random rewinds,
//! partitions, restarts, lost answers, catalogs, evacuations and drains, and checks what each gateway
//! believes at every step; then plays one rewind against a real gateway.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use alderbay::{
    routing::{
        CallerLimits, CatalogVersion, DirectoryTable, DirectoryUpdate, DirectoryView,
        OperatorChange, OperatorTable, ReadKind, RouteCatalog, ServerRecord, ServerTable,
    },
    units::{ByteCount, FailureDomain, LogOffset, Moment, ServerId, StoreEra, StorePosition},
};
use googletest::prelude::*;
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IteratorRandom};
use serde_json::json;

use crate::{
    launcher,
    support::{
        gateway::{GatewayProcess, get},
        platform_store::FakeStore,
        ports::free_address,
    },
};

const SEED_COUNT: u64 = 300;
const STEP_MS: u64 = 100;
const FAULT_PHASE_MS: u64 = 40_000;
const QUIET_PHASE_MS: u64 = 25_000;
const HEARTBEAT_MS: u64 = 1_200;
/// Silence after which the store drops a server's entry.
const EXPIRY_MS: u64 = 3 * HEARTBEAT_MS;
const GATEWAYS: usize = 4;
const DOMAINS: [&str; 3] = ["a", "b", "c"];

/// Key and value of a record; `None` deletes the key.
type Records<T> = Vec<(String, Option<T>)>;

#[derive(Clone, Debug, PartialEq)]
enum OperatorRecord {
    Catalog(u64),
    Evacuation,
}

/// The store's two streams.
#[derive(Clone, Default)]
struct ModelStore {
    operator: Records<OperatorRecord>,
    servers: Records<ServerRecord>,
}

/// Newest record of each key with its offset; deleted keys included.
fn newest<T: Clone>(records: &Records<T>) -> BTreeMap<String, (u64, Option<T>)> {
    let mut newest = BTreeMap::new();
    for (offset, (key, value)) in (0..).zip(records) {
        newest.insert(key.clone(), (offset, value.clone()));
    }
    newest
}

struct ModelServer {
    record: ServerRecord,
    is_alive: bool,
    last_beat: u64,
    next_beat: u64,
}

#[derive(Default)]
struct ModelGateway {
    operator: OperatorTable,
    directory: DirectoryTable,
    servers: ServerTable,
    cut_until: u64,
    is_failing: bool,
    highest_catalog: u64,
    /// When the gateway last read the operator's stream from the store.
    operator_read_at: u64,
    /// Evacuations in force here, and those that have ended, as of the last step.
    seen_evacuated: BTreeSet<FailureDomain>,
    seen_restored: BTreeSet<FailureDomain>,
    seen_listed: BTreeSet<ServerId>,
    seen_draining: BTreeSet<ServerId>,
    seen_removed: BTreeSet<ServerId>,
}

struct Simulation {
    rng: SmallRng,
    now: u64,
    era: u64,
    store: ModelStore,
    /// Past states of the store, from which it may come back, with their times.
    copies: Vec<(u64, ModelStore)>,
    servers: Vec<ModelServer>,
    gateways: Vec<ModelGateway>,
    /// The operators' newest record of each key.
    operator: BTreeMap<String, Option<OperatorRecord>>,
    /// When operators last wrote each key on their own account.
    published_at: BTreeMap<String, u64>,
    /// Times at which operators write lost keys again.
    rewrites: Vec<(u64, BTreeSet<String>)>,
    next_server: u16,
    has_faults: bool,
    rewinds: u32,
    violations: Vec<String>,
}

fn catalog(version: u64) -> Box<RouteCatalog> {
    let limits = CallerLimits { max_body: ByteCount(1) };
    Box::new(RouteCatalog::new(CatalogVersion(version), vec![], BTreeMap::new(), None, limits))
}

fn domain(name: &str) -> FailureDomain {
    name.parse().unwrap()
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut simulation = Self {
            rng: SmallRng::seed_from_u64(seed),
            now: 0,
            era: 0,
            store: ModelStore::default(),
            copies: Vec::new(),
            servers: Vec::new(),
            gateways: (0..GATEWAYS).map(|_| ModelGateway::default()).collect(),
            operator: BTreeMap::new(),
            published_at: BTreeMap::new(),
            rewrites: Vec::new(),
            next_server: 0,
            has_faults: true,
            rewinds: 0,
            violations: Vec::new(),
        };
        simulation.publish("config", Some(OperatorRecord::Catalog(1)));
        (0..5).for_each(|_| simulation.start_server());
        simulation
    }

    fn moment(&self) -> Moment {
        Moment(self.now * 1_000)
    }

    fn draw(&mut self, probability: f64) -> bool {
        self.has_faults && self.rng.random_bool(probability)
    }

    fn publish(&mut self, key: &str, value: Option<OperatorRecord>) {
        self.operator.insert(key.into(), value.clone());
        self.published_at.insert(key.into(), self.now);
        self.store.operator.push((key.into(), value));
    }

    fn start_server(&mut self) {
        self.next_server += 1;
        let record = ServerRecord {
            id: format!("i-{}", self.next_server).parse().unwrap(),
            service: "s".parse().unwrap(),
            address: SocketAddr::from(([10, 0, 0, 1], self.next_server)),
            failure_domain: domain(DOMAINS[usize::from(self.next_server) % DOMAINS.len()]),
            slots: 6,
            is_draining: false,
            warm_up_left: Duration::ZERO,
            started_ms: Some(self.now),
            group: None,
            group_size: 0,
        };
        let next_beat = self.now;
        self.servers.push(ModelServer { record, is_alive: true, last_beat: 0, next_beat });
    }

    fn run(&mut self, until: u64) {
        while self.now < until && self.violations.is_empty() {
            self.now += STEP_MS;
            self.act_as_operator();
            self.act_as_servers();
            self.inject_faults();
            for n in 0..GATEWAYS {
                self.read_store(n);
                self.check(n);
            }
        }
    }

    fn act_as_operator(&mut self) {
        if self.draw(0.01) {
            let Some(Some(OperatorRecord::Catalog(version))) = self.operator.get("config") else {
                unreachable!("the first catalog is published at the start")
            };
            let next = version + 1;
            self.publish("config", Some(OperatorRecord::Catalog(next)));
        }
        if self.draw(0.02) {
            let key = format!("evacuate/{}", DOMAINS.iter().choose(&mut self.rng).unwrap());
            let is_evacuated = self.operator.get(&key).is_some_and(Option::is_some);
            self.publish(&key, (!is_evacuated).then_some(OperatorRecord::Evacuation));
        }
        let now = self.now;
        let (due, later) = self.rewrites.drain(..).partition(|it| it.0 <= now);
        self.rewrites = later;
        let due: Vec<(u64, BTreeSet<String>)> = due;
        for key in due.into_iter().flat_map(|it| it.1) {
            let value = self.operator.get(&key).cloned().flatten();
            self.store.operator.push((key, value));
        }
    }

    fn act_as_servers(&mut self) {
        if self.draw(0.01) {
            self.start_server();
        }
        let now = self.now;
        let (crashes, drains) = (self.draw(0.01), self.draw(0.01));
        let chosen = self.servers.iter_mut().filter(|it| it.is_alive).choose(&mut self.rng);
        if let Some(server) = chosen {
            server.is_alive &= !crashes;
            if drains && !server.record.is_draining {
                server.record.is_draining = true;
                server.next_beat = now;
            }
        }
        for server in &mut self.servers {
            if server.is_alive && server.next_beat <= now {
                server.next_beat = now + HEARTBEAT_MS;
                server.last_beat = now;
                let key = server.record.id.to_string();
                self.store.servers.push((key, Some(server.record.clone())));
            }
        }
        let listed = newest(&self.store.servers);
        for server in self.servers.iter().filter(|it| now >= it.last_beat + EXPIRY_MS) {
            let key = server.record.id.to_string();
            if listed.get(&key).is_some_and(|it| it.1.is_some()) {
                self.store.servers.push((key, None));
            }
        }
    }

    fn inject_faults(&mut self) {
        self.copies.push((self.now, self.store.clone()));
        let oldest = self.now.saturating_sub(5_000);
        self.copies.retain(|it| it.0 >= oldest);
        if self.draw(0.008) {
            self.rewinds += 1;
            self.era += 1;
            let copy = self.copies.iter().choose(&mut self.rng).unwrap().1.clone();
            let lost = self.store.operator.drain(copy.operator.len()..).map(|it| it.0);
            let lost: BTreeSet<String> = lost.collect();
            self.store = copy;
            self.copies.clear();
            self.rewrites.push((self.now + self.rng.random_range(300..2_000), lost));
            let now = self.now;
            // Each living server writes again within two seconds; the others' time starts anew.
            for server in &mut self.servers {
                server.last_beat = now;
                server.next_beat = now + self.rng.random_range(0..HEARTBEAT_MS);
            }
        }
        let n = self.rng.random_range(0..GATEWAYS);
        if self.draw(0.005) {
            self.gateways[n] = ModelGateway::default();
        }
        if self.draw(0.01) {
            self.gateways[n].cut_until = self.now + self.rng.random_range(500..6_000);
        }
        let is_failing = self.draw(0.1);
        self.gateways[n].is_failing = is_failing;
    }

    fn read_store(&mut self, n: usize) {
        if self.now % 300 != (n as u64 % 3) * 100 {
            return;
        }
        let at = self.moment();
        let is_cut = self.has_faults && self.gateways[n].cut_until > self.now;
        if is_cut || self.gateways[n].is_failing {
            let gateway = &mut self.gateways[n];
            let read_at = gateway.directory.view().and_then(|it| it.read_at);
            gateway.servers.mark_store_unavailable(read_at, at);
            self.exchange_views(n);
            return;
        }
        self.read_operator(n);
        self.read_directory(n);
    }

    /// Takes the views of another gateway, as one does that cannot read the store.
    fn exchange_views(&mut self, n: usize) {
        let at = self.moment();
        let other = (n + self.rng.random_range(1..GATEWAYS)) % GATEWAYS;
        let operator = self.gateways[other].operator.view();
        let directory = self.gateways[other].directory.view().cloned();
        if let Some(view) = operator {
            self.gateways[n].operator.apply_view(view, at);
        }
        if let Some(view) = directory {
            self.apply_directory(n, view);
        }
    }

    fn read_operator(&mut self, n: usize) {
        let at = self.moment();
        let end = self.store.operator.len() as u64;
        let position = StorePosition { era: StoreEra(self.era), offset: LogOffset(end) };
        let from = self.gateways[n].operator.position().filter(|it| it.era == position.era);
        let change = |key: &str, value: &Option<OperatorRecord>| match value {
            Some(OperatorRecord::Catalog(version)) => OperatorChange::Catalog(catalog(*version)),
            Some(OperatorRecord::Evacuation) => OperatorChange::Evacuated(domain(&key[9..])),
            None => OperatorChange::Restored(domain(&key[9..])),
        };
        let (kind, changes) = match from {
            Some(from) => {
                let records = (0..).zip(&self.store.operator).skip(from.offset.0 as usize);
                let changes = records.map(|(n, (key, value))| (LogOffset(n), change(key, value)));
                (ReadKind::Changes, changes.collect())
            }
            None => {
                let records = newest(&self.store.operator);
                let present = records.iter().filter(|it| it.1.1.is_some());
                let changes = present.map(|(key, (n, value))| (LogOffset(*n), change(key, value)));
                (ReadKind::Snapshot, changes.collect())
            }
        };
        self.gateways[n].operator_read_at = self.now;
        self.gateways[n].operator.apply_read(kind, position, changes, at);
        self.gateways[n].operator.expire(at);
    }

    fn read_directory(&mut self, n: usize) {
        let at = self.moment();
        let servers = newest(&self.store.servers)
            .into_values()
            .filter_map(|it| it.1)
            .map(|it| (it.id.clone(), it))
            .collect();
        let offset = LogOffset(self.store.servers.len() as u64);
        let position = StorePosition { era: StoreEra(self.era), offset };
        self.gateways[n].servers.mark_store_recovered(at);
        self.apply_directory(n, DirectoryView { position, servers, read_at: Some(at) });
    }

    fn apply_directory(&mut self, n: usize, view: DirectoryView) {
        let at = self.moment();
        let gateway = &mut self.gateways[n];
        let list = view.servers.values().cloned().collect();
        match gateway.directory.apply(view) {
            DirectoryUpdate::Outdated => return,
            DirectoryUpdate::Applied => {}
            DirectoryUpdate::Rewound => gateway.servers.mark_store_rewound(at),
        }
        gateway.servers.apply_directory(list, at);
    }

    /// Checks the beliefs of one gateway, and records them for the next check.
    fn check(&mut self, n: usize) {
        let at = self.moment();
        let gateway = &mut self.gateways[n];
        gateway.servers.expire(at);
        let version = gateway.operator.catalog().map_or(0, |it| it.version().0);
        let mut violations = Vec::new();
        if version < gateway.highest_catalog {
            violations.push(format!("catalog {version} after {}", gateway.highest_catalog));
        }
        gateway.highest_catalog = version;
        let evacuated = gateway.operator.evacuated();
        for name in DOMAINS {
            let id = domain(name);
            let key = format!("evacuate/{name}");
            let is_wanted = self.operator.get(&key).is_some_and(Option::is_some);
            // Before it has read the latest change, a gateway may still learn of an earlier one.
            let has_read =
                self.published_at.get(&key).is_none_or(|at| *at <= gateway.operator_read_at);
            let is_evacuated = evacuated.contains(&id);
            if is_wanted && !is_evacuated && gateway.seen_evacuated.contains(&id) {
                violations.push(format!("evacuation of {name} forgotten"));
            }
            if !is_wanted && is_evacuated && gateway.seen_restored.contains(&id) {
                violations.push(format!("evacuation of {name} came back"));
            }
            if is_wanted {
                gateway.seen_restored.remove(&id);
            } else {
                gateway.seen_evacuated.remove(&id);
            }
            if is_wanted && is_evacuated && has_read {
                gateway.seen_evacuated.insert(id);
            } else if !is_wanted && !is_evacuated && has_read {
                gateway.seen_restored.insert(id);
            }
        }
        let usable: BTreeSet<ServerId> =
            gateway.servers.usable(&"s".parse().unwrap()).map(|it| it.record.id.clone()).collect();
        for server in &self.servers {
            let id = &server.record.id;
            let known = gateway.servers.server(id);
            if usable.contains(id) && gateway.seen_draining.contains(id) {
                violations.push(format!("draining server {id} is usable again"));
            }
            if known.is_some() && gateway.seen_removed.contains(id) {
                violations.push(format!("dead server {id} came back"));
            }
            let was_dropped = known.is_none() && gateway.seen_removed.contains(id);
            if known.is_some_and(|it| it.record.is_draining) {
                gateway.seen_draining.insert(id.clone());
            }
            let is_listed = gateway.directory.view().is_some_and(|it| it.servers.contains_key(id));
            if known.is_some() {
                gateway.seen_listed.insert(id.clone());
            }
            let is_new = !gateway.seen_listed.contains(id);
            if known.is_none() && !server.is_alive && !was_dropped && !is_listed && !is_new {
                gateway.seen_removed.insert(id.clone());
            }
        }
        let prefix = format!("{} ms, gateway {n}: ", self.now);
        self.violations.extend(violations.into_iter().map(|it| prefix.clone() + &it));
    }

    /// Checks that every gateway believes what operators and servers last wrote.
    fn check_converged(&mut self) {
        let wanted: BTreeSet<FailureDomain> = DOMAINS
            .iter()
            .filter(|it| self.operator.get(&format!("evacuate/{it}")).is_some_and(Option::is_some))
            .map(|it| domain(it))
            .collect();
        let alive: BTreeSet<&ServerId> =
            self.servers.iter().filter(|it| it.is_alive).map(|it| &it.record.id).collect();
        for (n, gateway) in self.gateways.iter().enumerate() {
            if gateway.operator.evacuated() != wanted {
                self.violations.push(format!("gateway {n}: evacuations differ from {wanted:?}"));
            }
            let known: BTreeSet<&ServerId> =
                gateway.servers.servers().map(|it| &it.record.id).collect();
            if known != alive {
                self.violations.push(format!("gateway {n}: servers {known:?}, not {alive:?}"));
            }
        }
    }
}

#[gtest]
fn beliefs_survive_rewinds() {
    let mut rewinds = 0;
    for seed in 0..SEED_COUNT {
        let mut simulation = Simulation::new(seed);
        simulation.run(FAULT_PHASE_MS);
        simulation.has_faults = false;
        simulation.run(FAULT_PHASE_MS + QUIET_PHASE_MS);
        simulation.check_converged();
        expect_that!(simulation.violations, is_empty(), "seed {seed}");
        rewinds += simulation.rewinds;
    }
    println!("{rewinds} rewinds in {SEED_COUNT} seeds");
    expect_that!(rewinds, gt(SEED_COUNT as u32));
}

fn manifest(version: u64) -> serde_json::Value {
    json!({"version": version, "routes": [], "services": [],
        "limits": {"max-header-bytes": 8192, "max-body-bytes": 100_000}})
}

async fn wait_for_log(gateway: &GatewayProcess, text: &str) {
    let deadline = tokio::time::Instant::now() + Duration::from_secs(20);
    while !gateway.log_text().contains(text) {
        assert!(
            tokio::time::Instant::now() < deadline,
            "no line with {text:?}: {}",
            gateway.log_text()
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[gtest]
#[tokio::test]
async fn gateway_follows_rewind() {
    let store = FakeStore::start(free_address()).await;
    let entry = |state: &str, id: u64| {
        json!({"service": "s", "address": format!("127.0.0.1:{id}"), "zone": "a", "version": "v1",
            "slots": 12, "state": state, "warmup-left-ms": 0, "sequence": 1, "born": id})
    };
    store.put("keyed.op", "config", Some(&manifest(1)));
    store.put("keyed.servers", "i-1", Some(&entry("ready", 1)));
    let address = store.fake_server.address;
    let gateway = GatewayProcess::start(&launcher(), address, &[]);
    gateway.wait_ready().await;
    let copy = store.copy();
    store.put("keyed.op", "config", Some(&manifest(7)));
    store.put("keyed.op", "evacuate/a", Some(&json!({})));
    store.put("keyed.servers", "i-1", Some(&entry("draining", 1)));
    wait_for_log(&gateway, "failure domain a is evacuated").await;
    wait_for_log(&gateway, "server i-1 is draining").await;

    store.rewind(copy);
    store.put("keyed.servers", "i-2", Some(&entry("ready", 2)));
    wait_for_log(&gateway, "server i-2 is listed").await;
    wait_for_log(&gateway, "platform store came back from an older copy").await;
    let (_, view) = get(gateway.peer, "/v1/view").await.unwrap();
    let view: serde_json::Value = serde_json::from_str(&view).unwrap();
    expect_that!(view["operator"]["catalog"]["version"], eq(&json!(7)), "{view}");
    expect_that!(view["operator"]["evacuated"], eq(&json!(["a"])));
    expect_that!(view["directory"]["era"], eq(&json!(1)));
    let log = gateway.log_text();
    expect_that!(log, not(contains_substring("failure domain a is in use again")));

    // A process that starts after the rewind takes the lost catalog from the other gateway.
    let late = GatewayProcess::start(&launcher(), address, &[gateway.peer]);
    wait_for_log(&late, "catalog 7 in force, read from the peer").await;
}
