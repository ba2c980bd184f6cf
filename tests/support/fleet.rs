//! A fleet of real entries and agents on loopback, in several failure domains, with fakes of the
//! platform and of the backend servers.

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
    fake_server::FakeServer,
    ledger_service::FakeLedger,
    log_service::FakeLog,
    ports::{free_address, output, spawn},
    proxy::Proxy,
    vm_list::FakeVmList,
};

/// The model that all engines of a fleet serve.
pub const MODEL: &str = "drafting-llm";
/// The plain service that all ledgers of a fleet serve.
pub const LEDGER: &str = "ledger-app";

/// Timeout for conditions that tests wait for; long enough for a busy machine.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Size and settings of a fleet.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// Failure domains.
    pub domains: Vec<&'static str>,
    pub entries_per_domain: usize,
    pub engines_per_domain: usize,
    pub ledgers_per_domain: usize,
    /// Whether there is a proxy between each entry and agent and between each process and the log.
    pub is_proxied: bool,
    /// Seed of the proxies' random faults.
    pub seed: u64,
    /// The `capacity` settings of each engine's agent.
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

/// An entry or agent with its addresses, files and fakes; killed on drop.
pub struct FleetProcess {
    pub vm: VmId,
    pub domain: &'static str,
    pub admin: SocketAddr,
    /// Where callers reach an entry, or peers an agent.
    pub listen: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    /// None while the process is not running.
    child: Option<Child>,
    _vm_list: FakeServer,
    /// The backend server beside an agent; None for an entry.
    backend: Option<FakeServer>,
    /// Proxy in front of the log service, if the fleet is proxied.
    pub log_proxy: Option<Proxy>,
}

impl Drop for FleetProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

impl FleetProcess {
    /// Sends SIGKILL and waits for the process to exit.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().unwrap().id()
    }

    /// Sends a signal by its name without `SIG`.
    pub fn signal(&self, name: &str) {
        let mut kill = Command::new("kill");
        let killed = output(kill.arg(format!("-{name}")).arg(self.pid().to_string()));
        assert!(killed.status.success(), "kill -{name}");
    }

    /// Waits for the process to exit and returns its exit code, or None if a signal killed it.
    pub async fn wait_exit(&mut self) -> Option<i32> {
        let mut child = self.child.take().unwrap();
        tokio::task::spawn_blocking(move || child.wait().unwrap().code()).await.unwrap()
    }

    /// Standard output and standard error of all runs so far.
    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// The process's `/status`. None if it can't be reached or decoded.
    pub async fn status(&self) -> Option<ProcessStatus> {
        let answer = Caller::new("operator").send(self.admin, Request::get("/status"), "").await?;
        serde_json::from_slice(&answer.body).ok()
    }
}

/// Command that starts the daemon: a program and the arguments that precede `--settings FILE`.
#[derive(Clone, Debug)]
pub struct Launcher {
    pub program: PathBuf,
    pub arguments: Vec<String>,
}

/// Running processes, the fakes that they use, and the configuration that tests publish.
pub struct Fleet {
    pub plan: FleetPlan,
    pub log: Arc<FakeLog>,
    pub vm_list: Arc<FakeVmList>,
    pub entries: Vec<FleetProcess>,
    pub agents: Vec<FleetProcess>,
    pub engines: BTreeMap<VmId, Arc<FakeEngine>>,
    pub ledgers: BTreeMap<VmId, Arc<FakeLedger>>,
    /// Proxies between entries and agents, by entry and agent; empty unless the fleet is proxied.
    pub links: BTreeMap<(VmId, VmId), Proxy>,
    pub log_address: SocketAddr,
    /// Serves the VM list to operator tools.
    pub operator_list: FakeServer,
    launcher: Launcher,
    certificates: CertificateFiles,
    _log: FakeServer,
    pub folder: TempDir,
    /// Version that last changed each key.
    revisions: Mutex<BTreeMap<EntryKey, ConfigVersion>>,
}

impl Fleet {
    /// Starts the fakes and the processes, publishes plans and accounts, and waits until every
    /// entry is connected to every agent.
    pub async fn start(plan: FleetPlan, launcher: Launcher) -> Self {
        println!("fleet seed {}", plan.seed);
        let folder = tempfile::tempdir().unwrap();
        let certificates = write_certificates(folder.path(), "fleet");
        let log = Arc::new(FakeLog::default());
        let log_address = free_address();
        let log_server = log.clone().serve(log_address).await;
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
            _log: log_server,
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

    /// Publishes two plans and one account of each.
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

    /// Publishes an edit based on this fleet's last version of each key, and returns the version
    /// that it creates.
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

    /// Publishes the service state of `failure_domain/ID` or `vm/ID`.
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
        backend: Option<FakeServer>,
    ) {
        let (admin, peer_listen) = (free_address(), free_address());
        let log_proxy = match self.plan.is_proxied {
            true => Some(Proxy::tcp(free_address(), self.log_address).await),
            false => None,
        };
        let vm_list = self.vm_list.clone().serve(free_address(), vm.clone()).await;
        let settings = json!({
            "identity": { "vm": vm, "failure_domain": domain, "admin_listen": admin },
            "role": role_settings,
            "peers": {
                "listen": peer_listen,
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
        let listen = settings["role"]["entry"]["listen"]
            .as_str()
            .map_or(peer_listen, |it| it.parse().unwrap());
        let record = VmRecord {
            vm: vm.clone(),
            role,
            failure_domain: domain.parse().unwrap(),
            address: peer_listen,
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

    /// Kills a process if it still runs, and starts it again with the same settings.
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

    /// Processes that were started and not killed or waited for.
    pub fn running(&self) -> impl Iterator<Item = &FleetProcess> {
        self.entries.iter().chain(&self.agents).filter(|it| it.child.is_some())
    }

    /// Waits until each running entry is ready and has a report from each running agent.
    pub async fn wait_connected(&self) {
        let agent_count = self.agents.iter().filter(|it| it.child.is_some()).count();
        for entry in self.entries.iter().filter(|it| it.child.is_some()) {
            let is_connected = wait_until(WAIT_TIMEOUT, || async {
                let Some(status) = entry.status().await else { return false };
                let connected = status.peers.iter().filter(|it| it.report.is_some()).count();
                status.ready && connected == agent_count
            })
            .await;
            assert!(is_connected, "{} is not connected:\n{}", entry.vm, entry.log_text());
        }
    }

    /// Waits until all running processes have at least this version in force, and returns the time
    /// that took.
    pub async fn wait_version(&self, version: ConfigVersion) -> Duration {
        let started = tokio::time::Instant::now();
        for process in self.running() {
            let is_in_force = wait_until(WAIT_TIMEOUT, || async {
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

    /// Drafts that the engines of a failure domain have started.
    pub fn drafts_started_in(&self, domain: &str) -> u64 {
        let engines = self
            .agents
            .iter()
            .filter(|it| it.domain == domain)
            .filter_map(|it| self.engines.get(&it.vm));
        engines.map(|it| it.started.load(std::sync::atomic::Ordering::SeqCst)).sum()
    }

    /// Number of times that `body` was posted, over all ledgers.
    pub fn runs_of(&self, body: &str) -> u64 {
        self.ledgers.values().map(|it| it.runs_of(body)).sum()
    }
}

/// An edit with a fresh id.
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
