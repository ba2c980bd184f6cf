//! A fleet of real processes on loopback, in several failure domains, with stand-ins around it.

use std::{
    collections::BTreeMap,
    fs::File,
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command},
    sync::{Arc, Mutex},
    time::Duration,
};

use alderbay::{
    config::{
        AccountRecord, ConfigChange, ConfigEdit, ConfigRecord, EntryKey, EntryValue, KeyHash,
        PlanRecord, ServiceState,
    },
    core::VmRecord,
    daemon::ProcessStatus,
    platform::streams,
    units::{ConcurrencyLimit, ConfigVersion, PriorityLevel, VmId},
    wire::PeerRole,
};
use http::Request;
use serde_json::json;
use tempfile::TempDir;
use uuid::Uuid;

use super::{
    callers::{Caller, wait_until},
    certificates::{CertificateFiles, write_certificates},
    engine::FakeEngine,
    ledger_service::FakeLedger,
    log_service::FakeLog,
    ports::{free_address, output, spawn},
    proxy::Proxy,
    stand_in::StandIn,
    vm_list::FakeVmList,
};

/// The model that all engines of a fleet serve, and the plain service beside it.
pub const MODEL: &str = "drafting-llm";
pub const LEDGER: &str = "ledger-app";

/// Bound within which anything that should happen soon has happened, also on a busy machine.
pub const SOON: Duration = Duration::from_secs(30);

/// What a fleet is made of.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    pub domains: Vec<&'static str>,
    pub entries_per_domain: usize,
    pub engines_per_domain: usize,
    pub ledgers_per_domain: usize,
    /// Whether proxies stand between entries and agents and in front of the log.
    pub is_proxied: bool,
    pub seed: u64,
    /// Settings of each agent's `capacity`.
    pub capacity: serde_json::Value,
}

impl Default for FleetPlan {
    fn default() -> Self {
        Self {
            domains: vec!["south-a", "south-b", "south-c"],
            entries_per_domain: 1,
            engines_per_domain: 1,
            ledgers_per_domain: 1,
            is_proxied: false,
            seed: 1,
            capacity: json!({
                "cold_concurrency": 2, "warm_concurrency": 16, "warm_up_progress": 64, "slow_factor": 8.0
            }),
        }
    }
}

/// One process with what a test needs to reach it.
pub struct FleetProcess {
    pub vm: VmId,
    pub domain: &'static str,
    pub admin: SocketAddr,
    /// Where callers reach an entry; where peers reach an agent.
    pub listen: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    _vm_list: StandIn,
    backend: Option<StandIn>,
    /// In front of the log service, where the fleet is proxied.
    pub log_proxy: Option<Proxy>,
}

impl Drop for FleetProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

impl FleetProcess {
    /// Kills the process at once.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().unwrap().id()
    }

    /// Sends a signal by name.
    pub fn signal(&self, name: &str) {
        let mut kill = Command::new("kill");
        let killed = output(kill.arg(format!("-{name}")).arg(self.pid().to_string()));
        assert!(killed.status.success(), "kill -{name}");
    }

    /// Waits for the process to end and gives its exit code.
    pub async fn wait_exit(&mut self) -> Option<i32> {
        let mut child = self.child.take().unwrap();
        tokio::task::spawn_blocking(move || child.wait().unwrap().code()).await.unwrap()
    }

    /// Its log so far.
    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    pub async fn status(&self) -> Option<ProcessStatus> {
        let answer = Caller::new("operator").send(self.admin, Request::get("/status"), "").await?;
        serde_json::from_slice(&answer.body).ok()
    }
}

/// How the daemon is started: a program and arguments in front of `--settings FILE`.
#[derive(Clone, Debug)]
pub struct Launcher {
    pub program: PathBuf,
    pub arguments: Vec<String>,
}

pub struct Fleet {
    pub plan: FleetPlan,
    pub log: Arc<FakeLog>,
    pub vm_list: Arc<FakeVmList>,
    pub entries: Vec<FleetProcess>,
    pub agents: Vec<FleetProcess>,
    pub engines: BTreeMap<VmId, Arc<FakeEngine>>,
    pub ledgers: BTreeMap<VmId, Arc<FakeLedger>>,
    /// Proxies between an entry and an agent.
    pub links: BTreeMap<(VmId, VmId), Proxy>,
    pub log_address: SocketAddr,
    /// The VM list as an operator sees it.
    pub operator_list: StandIn,
    launcher: Launcher,
    certificates: CertificateFiles,
    _log: StandIn,
    pub folder: TempDir,
    revisions: Mutex<BTreeMap<EntryKey, ConfigVersion>>,
}

impl Fleet {
    /// Starts the stand-ins and the processes, publishes the lists, and waits until every entry
    /// sees every agent.
    pub async fn start(plan: FleetPlan, launcher: Launcher) -> Self {
        println!("fleet seed {}", plan.seed);
        let folder = tempfile::tempdir().unwrap();
        let certificates = write_certificates(folder.path(), "fleet");
        let log = Arc::new(FakeLog::default());
        let log_address = free_address();
        let log_stand_in = log.clone().serve(log_address).await;
        let vm_list = Arc::new(FakeVmList::default());
        let operator_list =
            vm_list.clone().serve(free_address(), "operator".parse().unwrap()).await;
        let mut fleet = Self {
            plan: plan.clone(),
            log,
            vm_list,
            entries: Vec::new(),
            agents: Vec::new(),
            engines: BTreeMap::new(),
            ledgers: BTreeMap::new(),
            links: BTreeMap::new(),
            log_address,
            operator_list,
            launcher,
            certificates,
            _log: log_stand_in,
            folder,
            revisions: Mutex::default(),
        };
        fleet.publish_defaults();
        for domain in plan.domains.clone() {
            for n in 0..plan.engines_per_domain {
                fleet.add_engine(domain, n).await;
            }
            for n in 0..plan.ledgers_per_domain {
                fleet.add_ledger(domain, n).await;
            }
            for n in 0..plan.entries_per_domain {
                fleet.add_entry(domain, n).await;
            }
        }
        if plan.is_proxied {
            fleet.add_links().await;
        }
        fleet.start_all();
        fleet.wait_connected().await;
        fleet
    }

    fn publish_defaults(&self) {
        let plan = |priority: u8| {
            EntryValue::Plan(PlanRecord {
                services: [MODEL, LEDGER].iter().map(|it| it.parse().unwrap()).collect(),
                requests_per_second: 10_000.0.try_into().unwrap(),
                tokens_per_second: 1_000_000.0.try_into().unwrap(),
                concurrency: ConcurrencyLimit(10_000),
                priority: PriorityLevel(priority),
            })
        };
        self.edit(vec![("plan/gold", Some(plan(2))), ("plan/basic", Some(plan(1)))]);
        let account = |name: &str, plan: &str| {
            EntryValue::Account(AccountRecord {
                plan: plan.parse().unwrap(),
                key_hashes: vec![KeyHash::of_secret(&Caller::new(name).secret)],
            })
        };
        self.edit(vec![
            ("account/dues", Some(account("dues", "gold"))),
            ("account/tours", Some(account("tours", "basic"))),
        ]);
    }

    /// Publishes an edit that replaces what this fleet published last, and gives the version it
    /// makes.
    pub fn edit(&self, changes: Vec<(&str, Option<EntryValue>)>) -> ConfigVersion {
        let mut revisions = self.revisions.lock().unwrap();
        let changes: Vec<ConfigChange> = changes
            .into_iter()
            .map(|(key, value)| {
                let key: EntryKey = key.parse().unwrap();
                let replaces = revisions.get(&key).copied().unwrap_or_default();
                ConfigChange { key, replaces, value }
            })
            .collect();
        let keys: Vec<EntryKey> = changes.iter().map(|it| it.key.clone()).collect();
        let edit = edit_of("test", changes);
        let offset = self
            .log
            .push(streams::CONFIG, serde_json::to_string(&ConfigRecord::Edit(edit)).unwrap());
        let version = ConfigVersion(offset.0 + 1);
        revisions.extend(keys.into_iter().map(|key| (key, version)));
        version
    }

    /// Takes a failure domain or a VM out or in.
    pub fn set_state(&self, key: &str, state: ServiceState) -> ConfigVersion {
        self.edit(vec![(key, Some(EntryValue::State(state)))])
    }

    async fn add_engine(&mut self, domain: &'static str, n: usize) {
        let vm: VmId = format!("engine-{domain}-{n}").parse().unwrap();
        let engine = Arc::new(FakeEngine::default());
        self.engines.insert(vm.clone(), engine.clone());
        let address = free_address();
        let backend = engine.serve(address).await;
        let role = json!({ "agent": {
            "backend": address, "services": [MODEL], "resumes_streams": true, "capacity": self.plan.capacity,
        }});
        self.add_process(vm, domain, PeerRole::Agent, role, Some(backend)).await;
    }

    async fn add_ledger(&mut self, domain: &'static str, n: usize) {
        let vm: VmId = format!("ledger-{domain}-{n}").parse().unwrap();
        let ledger = Arc::new(FakeLedger::default());
        self.ledgers.insert(vm.clone(), ledger.clone());
        let address = free_address();
        let backend = ledger.serve(address).await;
        let role = json!({ "agent": { "backend": address, "services": [LEDGER], "capacity": {
            "cold_concurrency": 8, "warm_concurrency": 32, "warm_up_progress": 100, "slow_factor": 50.0
        }}});
        self.add_process(vm, domain, PeerRole::Agent, role, Some(backend)).await;
    }

    async fn add_entry(&mut self, domain: &'static str, n: usize) {
        let vm: VmId = format!("entry-{domain}-{n}").parse().unwrap();
        let role = json!({ "entry": { "listen": free_address() } });
        self.add_process(vm, domain, PeerRole::Entry, role, None).await;
    }

    async fn add_process(
        &mut self,
        vm: VmId,
        domain: &'static str,
        role: PeerRole,
        role_settings: serde_json::Value,
        backend: Option<StandIn>,
    ) {
        let (admin, peers) = (free_address(), free_address());
        let log_proxy = match self.plan.is_proxied {
            true => Some(Proxy::tcp(free_address(), self.log_address).await),
            false => None,
        };
        let vm_list = self.vm_list.clone().serve(free_address(), vm.clone()).await;
        let settings = json!({
            "identity": { "vm": vm, "failure_domain": domain, "admin_listen": admin },
            "role": role_settings,
            "peers": {
                "listen": peers,
                "authority": self.certificates.authority,
                "certificate": self.certificates.certificate,
                "private_key": self.certificates.private_key,
            },
            "platform": {
                "log_service": log_proxy.as_ref().map_or(self.log_address, |it| it.address),
                "vm_list": vm_list.address,
            },
            "stop": { "grace_ms": 60_000 },
        });
        let path = self.folder.path().join(format!("{vm}.json"));
        std::fs::write(&path, settings.to_string()).unwrap();
        let listen =
            settings["role"]["entry"]["listen"].as_str().map_or(peers, |it| it.parse().unwrap());
        let record = VmRecord {
            vm: vm.clone(),
            role,
            failure_domain: domain.parse().unwrap(),
            address: peers,
            admin,
            services: Default::default(),
            state: ServiceState::In,
        };
        self.vm_list.vms.lock().unwrap().push(record);
        let process = FleetProcess {
            log: self.folder.path().join(format!("{vm}.log")),
            vm,
            domain,
            admin,
            listen,
            settings: path,
            child: None,
            _vm_list: vm_list,
            backend,
            log_proxy,
        };
        match role {
            PeerRole::Entry => self.entries.push(process),
            PeerRole::Agent => self.agents.push(process),
        }
    }

    async fn add_links(&mut self) {
        for entry in &self.entries {
            for agent in &self.agents {
                let seed = self.plan.seed + self.links.len() as u64;
                let proxy = Proxy::udp(free_address(), agent.listen, seed).await;
                let key = (entry.vm.clone(), agent.vm.clone());
                self.vm_list.views.lock().unwrap().insert(key.clone(), proxy.address);
                self.links.insert(key, proxy);
            }
        }
    }

    fn start_all(&mut self) {
        let launcher = self.launcher.clone();
        for process in self.agents.iter_mut().chain(&mut self.entries) {
            launch(&launcher, process);
        }
    }

    /// Starts a process again that was killed or has ended.
    pub fn restart(&mut self, vm: &VmId) {
        let launcher = self.launcher.clone();
        let process = self.process_mut(vm);
        process.kill();
        launch(&launcher, process);
    }

    pub fn process(&self, vm: &VmId) -> &FleetProcess {
        self.entries.iter().chain(&self.agents).find(|it| it.vm == *vm).unwrap()
    }

    pub fn process_mut(&mut self, vm: &VmId) -> &mut FleetProcess {
        self.entries.iter_mut().chain(&mut self.agents).find(|it| it.vm == *vm).unwrap()
    }

    /// Address of the backend server beside an agent.
    pub fn backend_of(&self, vm: &VmId) -> SocketAddr {
        self.process(vm).backend.as_ref().unwrap().address
    }

    pub fn running(&self) -> impl Iterator<Item = &FleetProcess> {
        self.entries.iter().chain(&self.agents).filter(|it| it.child.is_some())
    }

    /// Waits until each entry is ready and connected to each agent that runs, with a report from
    /// each.
    pub async fn wait_connected(&self) {
        let agents = self.agents.iter().filter(|it| it.child.is_some()).count();
        for entry in self.entries.iter().filter(|it| it.child.is_some()) {
            let is_connected = wait_until(SOON, || async {
                let Some(status) = entry.status().await else { return false };
                let connected = status.peers.iter().filter(|it| it.report.is_some()).count();
                status.ready && connected == agents
            })
            .await;
            assert!(is_connected, "{} is not connected:\n{}", entry.vm, entry.log_text());
        }
    }

    /// Waits until all processes that run have this version in force, and gives how long that took.
    pub async fn wait_version(&self, version: ConfigVersion) -> Duration {
        let started = tokio::time::Instant::now();
        for process in self.running() {
            let is_in_force = wait_until(SOON, || async {
                process.status().await.is_some_and(|it| it.version >= version)
            })
            .await;
            assert!(
                is_in_force,
                "{} does not reach version {version}:\n{}",
                process.vm,
                process.log_text()
            );
        }
        started.elapsed()
    }

    /// Drafts begun in a failure domain.
    pub fn started_in(&self, domain: &str) -> u64 {
        let engines = self
            .agents
            .iter()
            .filter(|it| it.domain == domain)
            .filter_map(|it| self.engines.get(&it.vm));
        engines.map(|it| it.started.load(std::sync::atomic::Ordering::SeqCst)).sum()
    }

    /// How often a body was posted over all ledgers.
    pub fn runs_of(&self, body: &str) -> u64 {
        self.ledgers.values().map(|it| it.runs_of(body)).sum()
    }
}

pub fn edit_of(author: &str, changes: Vec<ConfigChange>) -> ConfigEdit {
    ConfigEdit {
        edit_id: Uuid::new_v4().to_string().parse().unwrap(),
        author: author.parse().unwrap(),
        published_ms: 0,
        reason: "test".into(),
        changes,
    }
}

fn launch(launcher: &Launcher, process: &mut FleetProcess) {
    let log = File::options().create(true).append(true).open(&process.log).unwrap();
    let mut command = Command::new(&launcher.program);
    command.args(&launcher.arguments).arg("--settings").arg(&process.settings);
    command.stdout(log.try_clone().unwrap()).stderr(log);
    let child = spawn(&mut command);
    process.child = Some(child);
}
