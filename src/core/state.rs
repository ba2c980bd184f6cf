//! The complete state of a process and the dispatch of events to its parts.

mod agent;
mod entry;

use std::{collections::BTreeMap, time::Duration};

use rand::{SeedableRng, rngs::SmallRng};

use super::{
    AccountLimiter, AttemptSettings, AuditEvent, CapacityRamp, ClaimOwner, ClaimTable, DemandTable,
    Effect, Event, MemberTable, PlanShare, QueueSettings, RampSettings, RequestTable, RetryBudget,
    ShareAllocator, TimedEvent, WorkId, WorkItem, WorkQueue,
};
use crate::{
    config::{ConfigLedger, ServiceState},
    units::{
        ClientAccount, ConfigVersion, FailureDomain, IncarnationId, Moment, ServiceName, VmId,
    },
    wire::{AgentReport, PeerRole},
};

/// Time for which an entry keeps accepting requests after it is told to stop or is taken out of
/// service. The platform's balancer may send it callers until then.
pub const DEREGISTRATION_DELAY: Duration = Duration::from_secs(2);

/// Static properties and limits of a process, fixed at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct CoreSettings {
    /// VM on which the process runs.
    pub vm: VmId,
    /// Entry or agent.
    pub role: PeerRole,
    /// Failure domain of the VM.
    pub failure_domain: FailureDomain,
    /// Identifies this run of the process; changes with every restart.
    pub incarnation: IncarnationId,
    /// Models and services of the agent's backend server; empty for entries.
    pub services: Vec<ServiceName>,
    /// Limits on the attempts for one request; entries only.
    pub attempts: AttemptSettings,
    /// Concurrency limits of the backend server; agents only.
    pub ramp: RampSettings,
    /// Limits of the work queue; agents only.
    pub queue: QueueSettings,
    /// Seed of the random number generator.
    pub seed: u64,
}

impl CoreSettings {
    /// Creates settings with default limits, no services, and an incarnation and seed of zero.
    ///
    /// ```
    /// use alderbay::{core::{CoreSettings, ProcessState}, wire::PeerRole};
    /// let settings = CoreSettings::new("e-1".parse()?, PeerRole::Entry, "east".parse()?);
    /// assert!(!ProcessState::new(settings).is_ready());
    /// # Ok::<(), alderbay::units::IdError>(())
    /// ```
    pub fn new(vm: VmId, role: PeerRole, failure_domain: FailureDomain) -> Self {
        Self {
            vm,
            role,
            failure_domain,
            incarnation: IncarnationId(0),
            services: Vec::new(),
            attempts: AttemptSettings::default(),
            ramp: RampSettings::default(),
            queue: QueueSettings::default(),
            seed: 0,
        }
    }
}

/// The state of a process, which [`reduce`] reads and updates.
#[derive(Clone, Debug)]
pub struct ProcessState {
    pub(super) settings: CoreSettings,
    pub(super) ledger: ConfigLedger,
    pub(super) members: MemberTable,
    pub(super) limiter: AccountLimiter,
    /// Share of each plan that applies while no granted share is fresh: one over the number of
    /// entries.
    pub(super) equal_share: PlanShare,
    pub(super) demand: DemandTable,
    pub(super) allocator: ShareAllocator,
    pub(super) requests: RequestTable,
    pub(super) retry_budget: RetryBudget,
    pub(super) ramp: CapacityRamp,
    pub(super) queue: WorkQueue,
    pub(super) claims: ClaimTable,
    /// Work with an idempotency key that waits for a claim or for a run in progress.
    pub(super) waiting_keyed: BTreeMap<WorkId, WorkItem>,
    /// The last report sent to entries.
    pub(super) last_report: Option<AgentReport>,
    /// When the armed timer fires; `None` while no timer is armed.
    pub(super) timer_at: Option<Moment>,
    /// When the process was taken out of service or told to stop; `None` while it is in service.
    pub(super) out_since: Option<Moment>,
    pub(super) is_stopping: bool,
    pub(super) rng: SmallRng,
}

impl ProcessState {
    /// Creates the initial state: nothing is known, and the backend server counts as cold.
    pub fn new(settings: CoreSettings) -> Self {
        let owner = ClaimOwner { vm: settings.vm.clone(), incarnation: settings.incarnation };
        Self {
            ledger: ConfigLedger::default(),
            members: MemberTable::default(),
            limiter: AccountLimiter::default(),
            equal_share: PlanShare::default(),
            demand: DemandTable::default(),
            allocator: ShareAllocator::default(),
            requests: RequestTable::default(),
            retry_budget: RetryBudget::default(),
            ramp: CapacityRamp::new(settings.ramp),
            queue: WorkQueue::default(),
            claims: ClaimTable::new(owner),
            waiting_keyed: BTreeMap::new(),
            last_report: None,
            timer_at: None,
            out_since: None,
            is_stopping: false,
            rng: SmallRng::seed_from_u64(settings.seed),
            settings,
        }
    }

    /// Returns the configuration that this process applies.
    pub fn ledger(&self) -> &ConfigLedger {
        &self.ledger
    }

    /// Returns the listed VMs and the connected peers.
    pub fn members(&self) -> &MemberTable {
        &self.members
    }

    /// Returns the callers' requests in progress.
    pub fn requests(&self) -> &RequestTable {
        &self.requests
    }

    /// Returns the granted shares that have not expired, by account; empty for agents.
    pub fn shares(&self, now: Moment) -> BTreeMap<ClientAccount, f64> {
        self.demand.fresh_shares(now)
    }

    /// Returns this agent's concurrency limit, load and service state.
    pub fn report(&self) -> AgentReport {
        AgentReport {
            limit: self.ramp.limit(),
            running: u32::try_from(self.queue.running()).unwrap_or(u32::MAX),
            waiting: u32::try_from(self.queue.waiting()).unwrap_or(u32::MAX),
            state: self.service_state(),
        }
    }

    /// Returns whether this process accepts new work: `Out` while it drains or the configuration
    /// takes it out of service.
    pub fn service_state(&self) -> ServiceState {
        if self.is_stopping {
            return ServiceState::Out;
        }
        self.ledger.vm_state(&self.settings.vm, &self.settings.failure_domain)
    }

    /// Whether an entry is ready for callers: it has a configuration and accepts new work.
    pub fn is_ready(&self) -> bool {
        self.ledger.version() > ConfigVersion(0) && self.service_state() == ServiceState::In
    }

    /// Whether the process was told to stop.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping
    }

    /// Whether no request or work is in progress or waiting.
    pub fn is_idle(&self) -> bool {
        self.requests.is_empty()
            && self.queue.running() == 0
            && self.queue.waiting() == 0
            && self.waiting_keyed.is_empty()
    }
}

/// Applies one event to the state and returns the effects to execute, in order.
pub fn reduce(state: &mut ProcessState, timed: TimedEvent) -> Vec<Effect> {
    let now = timed.at;
    let mut effects = dispatch(state, timed.event, now);
    match state.settings.role {
        PeerRole::Entry => {}
        PeerRole::Agent => effects.extend(agent::follow_up(state, now)),
    }
    if state.is_stopping && state.is_idle() {
        effects.push(Effect::StopReady);
    }
    effects
}

fn dispatch(state: &mut ProcessState, event: Event, now: Moment) -> Vec<Effect> {
    match event {
        Event::ConfigRead(page) => {
            let old_version = state.ledger.version();
            let verdicts = state.ledger.apply_page(page);
            let mut effects: Vec<Effect> = verdicts.into_iter().map(Effect::EditDecided).collect();
            effects.extend(handle_config_change(state, old_version, now));
            effects
        }
        Event::SnapshotReceived(snapshot) => {
            let old_version = state.ledger.version();
            // An invalid snapshot changes nothing: the state will come from the log or another
            // peer.
            let is_restored = state.ledger.restore(*snapshot).unwrap_or(false);
            // Other processes decided the edits that the snapshot skips. Their verdicts are emitted
            // here too, so that this process can also report why an edit was rejected.
            let verdicts =
                state.ledger.verdicts().iter().filter(|it| is_restored && it.version > old_version);
            let mut effects: Vec<Effect> = verdicts.cloned().map(Effect::EditDecided).collect();
            effects.extend(handle_config_change(state, old_version, now));
            effects
        }
        Event::VmListRead(list) => {
            let effects = state.members.apply_list(&state.settings.vm, list);
            update_equal_share(state);
            match state.settings.role {
                PeerRole::Entry => effects,
                PeerRole::Agent => Vec::new(),
            }
        }
        Event::PeerConnected(hello) => {
            state.members.add_peer(hello);
            Vec::new()
        }
        Event::PeerLost(vm) => {
            state.members.remove_peer(&vm);
            Vec::new()
        }
        Event::PeerConfig { vm, version, digest } => compare_config(state, vm, version, digest),
        Event::PeerReport { vm, report } => {
            state.members.record_report(&vm, report);
            Vec::new()
        }
        Event::DemandDue => entry::report_demand(state, now),
        Event::DemandReported { from, reports } => {
            let grants = entry::grant_shares(state, &from, reports, now);
            vec![Effect::AnswerDemand { to: from, grants }]
        }
        Event::SharesGranted(grants) => {
            state.demand.apply_grants(grants, now);
            Vec::new()
        }
        Event::RequestArrived(info) => entry::request_arrived(state, info, now),
        Event::AttemptEnded { request_id, vm, outcome } => {
            entry::attempt_ended(state, &request_id, &vm, &outcome, now)
        }
        Event::RequestEnded { request_id, tokens } => {
            entry::request_ended(state, &request_id, tokens)
        }
        Event::WorkArrived(item) => agent::work_arrived(state, item, now),
        Event::TicketRequested { work, ticket } => {
            vec![agent::issue_ticket(state, work, &ticket, now)]
        }
        Event::WorkAbandoned(work) => agent::work_abandoned(state, work),
        Event::WorkProgressed { work: _, tokens, elapsed } => {
            let was_warm = state.ramp.is_warm();
            state.ramp.record_progress(tokens, elapsed);
            match was_warm && !state.ramp.is_warm() {
                true => vec![Effect::Audit(AuditEvent::ServerCold)],
                false => Vec::new(),
            }
        }
        Event::WorkEnded { work, outcome } => agent::work_ended(state, work, outcome, now),
        Event::ClaimRead { offset: _, record } => agent::claim_read(state, &record, now),
        Event::ClaimsReplayed => {
            state.claims.mark_replayed();
            Vec::new()
        }
        Event::ClaimsFailed(keys) => agent::claims_failed(state, &keys),
        Event::StopRequested => {
            state.is_stopping = true;
            state.out_since.get_or_insert(now);
            vec![Effect::Audit(AuditEvent::Stopping)]
        }
        Event::TimerFired => {
            state.timer_at = None;
            Vec::new()
        }
    }
}

fn handle_config_change(
    state: &mut ProcessState,
    old_version: ConfigVersion,
    now: Moment,
) -> Vec<Effect> {
    if state.ledger.version() == old_version {
        return Vec::new();
    }
    update_equal_share(state);
    let version = state.ledger.version();
    let mut effects = vec![Effect::ConfigInForce(version)];
    match (state.service_state(), state.out_since) {
        (ServiceState::Out, None) => {
            state.out_since = Some(now);
            effects.push(Effect::Audit(AuditEvent::WentOut { version }));
        }
        (ServiceState::In, Some(_)) => {
            state.out_since = None;
            effects.push(Effect::Audit(AuditEvent::CameIn { version }));
        }
        (ServiceState::Out, Some(_)) | (ServiceState::In, None) => {}
    }
    effects
}

fn update_equal_share(state: &mut ProcessState) {
    let n_entries = state.members.active_entries(&state.ledger).count().max(1);
    state.equal_share = PlanShare(1.0 / n_entries as f64);
}

fn compare_config(
    state: &ProcessState,
    vm: VmId,
    version: ConfigVersion,
    digest: crate::units::ConfigDigest,
) -> Vec<Effect> {
    if version > state.ledger.version() {
        return vec![Effect::FetchConfig(vm)];
    }
    if version == state.ledger.version() && digest != state.ledger.digest() {
        return vec![Effect::Audit(AuditEvent::ConfigDiverged { vm, version })];
    }
    Vec::new()
}
