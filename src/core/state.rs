//! The whole state of a process and the dispatch of events to its parts.

mod agent;
mod entry;

use std::{collections::BTreeMap, time::Duration};

use rand::{SeedableRng, rngs::SmallRng};

use super::{
    AttemptSettings, AuditFact, CapacityRamp, ClaimOwner, ClaimTable, DemandTable, Effect, Event,
    HomeTable, MemberTable, PlanLimits, PlanShare, QueueSettings, RampSettings, RequestTable,
    RetryBudget, TimedEvent, WorkFacts, WorkId, WorkQueue,
};
use crate::{
    config::{ConfigLedger, ServiceState},
    units::{
        ClientAccount, ConfigVersion, FailureDomain, IncarnationId, Moment, ServiceName, VmId,
    },
    wire::{AgentReport, PeerRole},
};

/// Time for which an entry that stops or was taken out still takes what the platform's balancer
/// sends it.
pub const BALANCER_LAG: Duration = Duration::from_secs(2);

/// What a process knows of itself from its start.
#[derive(Clone, Debug, PartialEq)]
pub struct CoreSettings {
    /// Its VM.
    pub vm: VmId,
    /// Its role.
    pub role: PeerRole,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// This life of it.
    pub incarnation: IncarnationId,
    /// What its backend server serves; empty for entries.
    pub services: Vec<ServiceName>,
    /// Bounds on attempts.
    pub attempts: AttemptSettings,
    /// The backend server's capacity.
    pub ramp: RampSettings,
    /// Bounds of the queue.
    pub queue: QueueSettings,
    /// Seed of the random choices.
    pub seed: u64,
}

impl CoreSettings {
    /// Settings with defaults for all bounds, and a life and seed of zero.
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

/// Everything a process knows.
#[derive(Clone, Debug)]
pub struct ProcessState {
    pub(super) settings: CoreSettings,
    pub(super) ledger: ConfigLedger,
    pub(super) members: MemberTable,
    pub(super) limits: PlanLimits,
    /// The equal part of each grant, where no share by demand is fresh.
    pub(super) share: PlanShare,
    pub(super) demand: DemandTable,
    pub(super) homes: HomeTable,
    pub(super) requests: RequestTable,
    pub(super) budget: RetryBudget,
    pub(super) ramp: CapacityRamp,
    pub(super) queue: WorkQueue,
    pub(super) claims: ClaimTable,
    /// Keyed work that waits for a claim or for a run in progress.
    pub(super) keyed: BTreeMap<WorkId, WorkFacts>,
    pub(super) reported: Option<AgentReport>,
    pub(super) armed: Option<Moment>,
    pub(super) out_since: Option<Moment>,
    pub(super) stopping: bool,
    pub(super) rng: SmallRng,
}

impl ProcessState {
    /// The state at start: nothing known, the backend server taken for cold.
    pub fn new(settings: CoreSettings) -> Self {
        let owner = ClaimOwner { vm: settings.vm.clone(), incarnation: settings.incarnation };
        Self {
            ledger: ConfigLedger::default(),
            members: MemberTable::default(),
            limits: PlanLimits::default(),
            share: PlanShare::default(),
            demand: DemandTable::default(),
            homes: HomeTable::default(),
            requests: RequestTable::default(),
            budget: RetryBudget::default(),
            ramp: CapacityRamp::new(settings.ramp),
            queue: WorkQueue::default(),
            claims: ClaimTable::new(owner),
            keyed: BTreeMap::new(),
            reported: None,
            armed: None,
            out_since: None,
            stopping: false,
            rng: SmallRng::seed_from_u64(settings.seed),
            settings,
        }
    }

    /// The configuration in force here.
    pub fn ledger(&self) -> &ConfigLedger {
        &self.ledger
    }

    /// What is known of other processes.
    pub fn members(&self) -> &MemberTable {
        &self.members
    }

    /// Requests in progress of callers.
    pub fn requests(&self) -> &RequestTable {
        &self.requests
    }

    /// Fresh shares of plans by account; entries.
    pub fn shares(&self, now: Moment) -> BTreeMap<ClientAccount, f64> {
        self.demand.fresh(now)
    }

    /// What this agent can take now.
    pub fn report(&self) -> AgentReport {
        AgentReport {
            limit: self.ramp.limit(),
            running: u32::try_from(self.queue.running()).unwrap_or(u32::MAX),
            waiting: u32::try_from(self.queue.waiting()).unwrap_or(u32::MAX),
            state: self.service_state(),
        }
    }

    /// Whether this process takes new work, by the configuration and by its own stop.
    pub fn service_state(&self) -> ServiceState {
        if self.stopping {
            return ServiceState::Out;
        }
        self.ledger.vm_state(&self.settings.vm, &self.settings.failure_domain)
    }

    /// Whether an entry should be sent callers: it knows a configuration and takes new work.
    pub fn is_ready(&self) -> bool {
        self.ledger.version() > ConfigVersion(0) && self.service_state() == ServiceState::In
    }

    /// Whether a stop was asked for.
    pub fn is_stopping(&self) -> bool {
        self.stopping
    }

    /// Whether nothing is in progress or waiting.
    pub fn is_idle(&self) -> bool {
        self.requests.is_empty()
            && self.queue.running() == 0
            && self.queue.waiting() == 0
            && self.keyed.is_empty()
    }
}

/// Reduces one event: brings the state up to date and says what is to be done.
pub fn reduce(state: &mut ProcessState, timed: TimedEvent) -> Vec<Effect> {
    let now = timed.at;
    let mut effects = dispatch(state, timed.event, now);
    match state.settings.role {
        PeerRole::Entry => {}
        PeerRole::Agent => effects.extend(agent::settle(state, now)),
    }
    if state.stopping && state.is_idle() {
        effects.push(Effect::StopReady);
    }
    effects
}

fn dispatch(state: &mut ProcessState, event: Event, now: Moment) -> Vec<Effect> {
    match event {
        Event::ConfigRead(page) => {
            let before = state.ledger.version();
            let verdicts = state.ledger.apply_page(page);
            let mut effects: Vec<Effect> = verdicts.into_iter().map(Effect::EditJudged).collect();
            effects.extend(after_config(state, before, now));
            effects
        }
        Event::SnapshotReceived(snapshot) => {
            let before = state.ledger.version();
            // A snapshot that fails its checks changes nothing; the log or another peer will bring
            // the state.
            let is_taken = state.ledger.restore(*snapshot).unwrap_or(false);
            // The edits between were judged elsewhere; why one lost is asked for here, too.
            let judged =
                state.ledger.verdicts().iter().filter(|it| is_taken && it.version > before);
            let mut effects: Vec<Effect> = judged.cloned().map(Effect::EditJudged).collect();
            effects.extend(after_config(state, before, now));
            effects
        }
        Event::VmListRead(list) => {
            let effects = state.members.read_list(&state.settings.vm, list);
            refresh_share(state);
            match state.settings.role {
                PeerRole::Entry => effects,
                PeerRole::Agent => Vec::new(),
            }
        }
        Event::PeerConnected(hello) => {
            state.members.connect(hello);
            Vec::new()
        }
        Event::PeerLost(vm) => {
            state.members.disconnect(&vm);
            Vec::new()
        }
        Event::PeerConfig { vm, version, digest } => compare_config(state, vm, version, digest),
        Event::PeerReport { vm, report } => {
            state.members.report(&vm, report);
            Vec::new()
        }
        Event::DemandDue => entry::demand_due(state, now),
        Event::DemandReported { from, reports } => {
            let grants = entry::grants_for(state, &from, reports, now);
            vec![Effect::AnswerDemand { to: from, grants }]
        }
        Event::SharesGranted(grants) => {
            state.demand.grant(grants, now);
            Vec::new()
        }
        Event::RequestArrived(facts) => entry::request_arrived(state, facts, now),
        Event::AttemptEnded { request_id, vm, outcome } => {
            entry::attempt_ended(state, &request_id, &vm, &outcome, now)
        }
        Event::RequestEnded { request_id, tokens } => {
            entry::request_ended(state, &request_id, tokens)
        }
        Event::WorkArrived(facts) => agent::work_arrived(state, facts, now),
        Event::TicketAsked { work, ticket } => vec![agent::issue_ticket(state, work, &ticket, now)],
        Event::WorkAbandoned(work) => agent::work_abandoned(state, work),
        Event::WorkProgressed { work: _, tokens, elapsed } => {
            let was_warm = state.ramp.is_warm();
            state.ramp.record_progress(tokens, elapsed);
            match was_warm && !state.ramp.is_warm() {
                true => vec![Effect::Audit(AuditFact::ServerCold)],
                false => Vec::new(),
            }
        }
        Event::WorkEnded { work, outcome } => agent::work_ended(state, work, outcome, now),
        Event::ClaimRead { offset: _, record } => agent::claim_read(state, &record, now),
        Event::ClaimsReplayed => {
            state.claims.set_replayed();
            Vec::new()
        }
        Event::ClaimsFailed(keys) => agent::claims_failed(state, &keys),
        Event::StopAsked => {
            state.stopping = true;
            state.out_since.get_or_insert(now);
            vec![Effect::Audit(AuditFact::Stopping)]
        }
        Event::TimerFired => {
            state.armed = None;
            Vec::new()
        }
    }
}

fn after_config(state: &mut ProcessState, before: ConfigVersion, now: Moment) -> Vec<Effect> {
    if state.ledger.version() == before {
        return Vec::new();
    }
    refresh_share(state);
    let version = state.ledger.version();
    let mut effects = vec![Effect::ConfigInForce(version)];
    match (state.service_state(), state.out_since) {
        (ServiceState::Out, None) => {
            state.out_since = Some(now);
            effects.push(Effect::Audit(AuditFact::WentOut { version }));
        }
        (ServiceState::In, Some(_)) => {
            state.out_since = None;
            effects.push(Effect::Audit(AuditFact::CameIn { version }));
        }
        (ServiceState::Out, Some(_)) | (ServiceState::In, None) => {}
    }
    effects
}

fn refresh_share(state: &mut ProcessState) {
    let entries = state.members.entries(&state.ledger).count().max(1);
    state.share = PlanShare(1.0 / entries as f64);
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
        return vec![Effect::Audit(AuditFact::ConfigDiverged { vm, version })];
    }
    Vec::new()
}
