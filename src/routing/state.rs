//! The gateway's routing state and its reducer: accepts requests, places their attempts, retries,
//! waits or refuses.

mod attempts;
mod directory;
mod eligibility;
mod limits;
mod loads;
mod pace;
mod refusals;
mod retries;
mod room_shares;
mod shares;
mod silence;
mod stalls;
mod stopping;
mod suspects;
mod trials;
mod waiting;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    time::Duration,
};

use rand::{SeedableRng, rngs::SmallRng};
use serde::{Deserialize, Serialize};

use super::{
    AdmissionOutcome, AdmissionSettings, AnswerProgress, AttemptSpec, BudgetSettings,
    CatalogSource, ColdLimiter, KnownServer, LimitTable, PlacementChoice, QuarantineTable,
    RankTraffic, RequestNumber, RequestSize, RouteCatalog, RouteRecord, RoutingChange,
    RoutingEffect, RoutingEvent, RoutingRequest, RunTimes, SETTLED_EVENTS, ServerLoad, ServerTable,
    ShareTable, StartModel, StopSchedule, WeightTable,
    gateway_count::{DEFAULT_GATEWAY_COUNT, GatewayCounter},
};
use crate::{
    core::{Refusal, RefusalCode},
    units::{
        ClientAccount, FailureDomain, GroupName, InputDigest, Moment, RequestId, ServerId,
        ServiceName, TokenCount, UrgencyRank, WeightVersion,
    },
};
use attempts::{AttemptTiming, CurrentAttempt, attempt_ended, server_noticed};
use directory::{prune_servers, update_subset};
use eligibility::{choose_server, has_usable, is_isolated, lacks_weights};
use limits::limits_read;
use loads::{gateways_seen, load_reported};
use pace::{answer_began, expect_first_event};
use refusals::{refuse, refuse_until_rested};
use retries::{RetryBudgets, deposit_retries};
use room_shares::{RoomShares, use_share};
use silence::{SilentAttempts, attempt_revived, silent_ended};
use stalls::StallTable;
use stopping::{bound_wait, is_over, must_go_elsewhere, stop_requested};
use suspects::{
    EndingServer, Suspicion, answer_progressed, quarantine_read, resolve_suspicion, server_probed,
    update_effects,
};
use trials::is_held_by_trial;
use waiting::{
    WaitingQueue, has_expired, leave, record_arrival, room_scope, start_in_order, wait_limit,
    wait_or_refuse, wait_or_refuse_full, wake,
};

/// Fraction of the route's timeout that the caller's timeout must reach for the request to count as
/// the caller's first try.
const FIRST_TRY_MIN_FRACTION: f64 = 0.9;
/// Interval at which a waiting request looks for a server again.
const WAIT_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Longest wait of a request for the first catalog of a process that has just started.
const MAX_CATALOG_WAIT: Duration = Duration::from_millis(1_500);
/// Settings of the reducer.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RoutingSettings {
    /// The gateway's own address, which distinguishes it from the other gateways.
    pub address: SocketAddr,
    /// The gateway's own failure domain.
    pub failure_domain: FailureDomain,
    /// The failure domains of the deployment that may have gateways; empty if they are not known.
    #[serde(default)]
    pub failure_domains: BTreeSet<FailureDomain>,
    /// Limits on retries and on requests to cold servers.
    pub budget: BudgetSettings,
    /// Limits on server load, and the delays given to refused callers.
    pub admission: AdmissionSettings,
    /// Timeout of requests whose callers state none.
    #[serde(rename = "default_patience")]
    pub default_timeout: Duration,
    /// Seed of the random choices.
    pub seed: u64,
}

/// One caller's request in progress.
#[derive(Clone, Debug)]
struct RequestState {
    request_id: RequestId,
    route: RouteRecord,
    service: ServiceName,
    account: Option<ClientAccount>,
    /// Rank in the order of urgency; `None` where all requests to the service are equally urgent.
    rank: Option<UrgencyRank>,
    /// Digests of the parts of the prompt that other requests may share, in order.
    shared_parts: Vec<InputDigest>,
    /// Digest of the whole request.
    content: InputDigest,
    deadline: Moment,
    /// Size in tokens; `None` if the caller states none.
    size: Option<RequestSize>,
    /// Version of the weights that the server must have; `None` for any.
    weight_version: Option<WeightVersion>,
    /// Work that counts as its account's demand.
    work: TokenCount,
    /// Servers already attempted, unreachable ones included.
    tried_servers: Vec<ServerId>,
    /// Groups in which an attempt was lost, stalled or not run.
    failed_groups: Vec<GroupName>,
    /// Attempts in which the request was sent.
    attempts_sent: u32,
    /// Attempts that got no connection.
    connect_failures: u32,
    may_have_run: bool,
    /// Whether the request may have ended the server of its last attempt.
    suspicion: Suspicion,
    /// Whether an attempt was lost before its answer had got beyond its beginning.
    was_lost: bool,
    /// The request may wait for a server until this time.
    wait_deadline: Moment,
    is_waiting: bool,
    /// When the gateway received the request.
    received_at: Moment,
    /// Whether the caller was refused before.
    is_returned: bool,
    /// The request may begin until this time where ranks are in force.
    latest_start: Moment,
    /// Server of the attempt in progress.
    current_attempt: Option<CurrentAttempt>,
    /// Attempts whose servers are silent.
    silent: SilentAttempts,
}

impl RequestState {
    /// Returns the attempt with this number, in progress or set aside.
    fn open_attempt(&self, attempt: u32) -> Option<&CurrentAttempt> {
        let current = self.current_attempt.as_ref().filter(|it| it.attempt == attempt);
        current.or_else(|| self.silent.find(attempt))
    }
}

/// State of the reducer: catalog, servers, their load, and the requests in progress.
#[derive(Clone, Debug)]
pub struct RoutingState {
    settings: RoutingSettings,
    catalog: Option<RouteCatalog>,
    servers: ServerTable,
    /// Servers that this gateway sends requests to while they are usable, of all services.
    subset: BTreeSet<ServerId>,
    /// By address, since agents do not know server ids.
    loads: HashMap<SocketAddr, ServerLoad>,
    cold_limiters: BTreeMap<ServerId, ColdLimiter>,
    /// Limits that servers have named.
    limits: LimitTable,
    /// Weights that servers do not have.
    weights: WeightTable,
    retries: RetryBudgets,
    /// How many gateways there are.
    gateways: GatewayCounter,
    /// Addresses of the gateways that were seen lately, this one included.
    known_gateways: Vec<SocketAddr>,
    requests: BTreeMap<RequestNumber, RequestState>,
    /// Requests that wait because all servers are full.
    waiting: WaitingQueue,
    /// Parts of the room at servers that this gateway may still use.
    room_shares: RoomShares,
    /// Recent traffic of services with ranks.
    traffic: BTreeMap<ServiceName, RankTraffic>,
    /// Servers that may have ended, until they are probed.
    ending_servers: BTreeMap<ServerId, EndingServer>,
    quarantine: QuarantineTable,
    /// Groups that make no steps.
    stalls: StallTable,
    /// What was learned of the requests to each service.
    models: BTreeMap<ServiceName, StartModel>,
    /// Demands and shares of client accounts.
    shares: ShareTable,
    /// Time of the first directory read.
    first_directory_at: Option<Moment>,
    /// Times of the stop in progress.
    stop: Option<StopSchedule>,
    /// How long requests take.
    run_times: RunTimes,
    rng: SmallRng,
}

impl RoutingState {
    /// Creates a state without catalog, servers or requests.
    pub fn new(settings: RoutingSettings) -> Self {
        Self {
            catalog: None,
            servers: ServerTable::default(),
            subset: BTreeSet::new(),
            loads: HashMap::new(),
            cold_limiters: BTreeMap::new(),
            limits: LimitTable::new(settings.address, DEFAULT_GATEWAY_COUNT),
            weights: WeightTable::default(),
            retries: RetryBudgets::default(),
            gateways: GatewayCounter::new(settings.failure_domains.clone()),
            known_gateways: Vec::new(),
            requests: BTreeMap::new(),
            waiting: WaitingQueue::default(),
            room_shares: RoomShares::new(),
            traffic: BTreeMap::new(),
            ending_servers: BTreeMap::new(),
            quarantine: QuarantineTable::default(),
            stalls: StallTable::default(),
            models: BTreeMap::new(),
            shares: ShareTable::default(),
            first_directory_at: None,
            stop: None,
            run_times: RunTimes::default(),
            rng: SmallRng::seed_from_u64(settings.seed),
            settings,
        }
    }

    /// Returns the catalog in force, or `None` until the first one is read.
    pub fn catalog(&self) -> Option<&RouteCatalog> {
        self.catalog.as_ref()
    }

    /// Returns the servers that the directory lists.
    pub fn servers(&self) -> &ServerTable {
        &self.servers
    }

    /// Returns the listed servers whose agents this gateway subscribes to: those that it sends
    /// requests to, and a part of those that get none at present.
    pub fn subset(&self) -> impl Iterator<Item = &KnownServer> {
        self.subset.iter().filter_map(|it| self.servers.server(it))
    }

    /// Whether the gateway accepts callers. `false` before the first catalog and directory are read
    /// and once a stop is requested, but also while the gateway is cut off from all other failure
    /// domains and lacks usable servers of its own: gateways of the other domains serve callers
    /// better.
    pub fn is_ready(&self, now: Moment) -> bool {
        let Some(catalog) = &self.catalog else { return false };
        if self.servers.is_empty() || self.stop.is_some() {
            return false;
        }
        !is_isolated(self, now) || catalog.services().all(|it| has_usable(self, it, now))
    }

    /// Returns what this gateway knows about prompts that end servers.
    pub fn quarantine(&self) -> &QuarantineTable {
        &self.quarantine
    }

    /// Returns the limits that servers have named.
    pub fn limits(&self) -> &LimitTable {
        &self.limits
    }

    /// Returns the number of requests in progress.
    pub fn in_progress(&self) -> usize {
        self.requests.len()
    }

    /// Returns the number of requests that wait because all servers are full.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of gateways that send now, as agents report it or as assumed before any
    /// report.
    pub fn gateway_count(&self) -> u32 {
        self.gateways.recent()
    }
}

/// Reduces one event: updates the state and returns the effects to carry out.
pub fn reduce(state: &mut RoutingState, now: Moment, event: RoutingEvent) -> Vec<RoutingEffect> {
    // Expired entries are dropped on every event, since the directory may not be read for a while.
    let mut effects = change_effects(state.servers.expire(now));
    effects.extend(change_effects(state.shares.take_changes()));
    let scope = room_scope(state, &event);
    let own_effects = reduce_event(state, now, event);
    effects.extend(state.waiting.take_effects());
    effects.extend(state.retries.take_effects());
    effects.extend(wake(state, scope, now));
    effects.extend(own_effects);
    effects
}

fn change_effects(changes: Vec<RoutingChange>) -> Vec<RoutingEffect> {
    changes.into_iter().map(RoutingEffect::StateChanged).collect()
}

fn reduce_event(state: &mut RoutingState, now: Moment, event: RoutingEvent) -> Vec<RoutingEffect> {
    match event {
        RoutingEvent::CatalogRead { source, catalog } => catalog_read(state, source, *catalog),
        RoutingEvent::EvacuationsRead(domains) => {
            let changes = state.servers.set_evacuations(domains);
            update_subset(state);
            change_effects(changes)
        }
        RoutingEvent::DirectoryRead(list) => {
            state.first_directory_at.get_or_insert(now);
            let changes = state.servers.apply_directory(list, now);
            let catalog = state.catalog.as_ref();
            state.servers.mark_address_conflicts(|it| {
                catalog.is_none_or(|catalog| catalog.service(it).is_some())
            });
            prune_servers(state, now);
            update_subset(state);
            change_effects(changes)
        }
        RoutingEvent::StoreUnavailable { read_at } => {
            state.servers.mark_store_unavailable(read_at, now);
            change_effects(vec![RoutingChange::StoreUnavailable])
        }
        RoutingEvent::StoreRecovered => {
            state.servers.mark_store_recovered(now);
            change_effects(vec![RoutingChange::StoreRecovered])
        }
        RoutingEvent::StoreRewound => {
            state.servers.mark_store_rewound(now);
            change_effects(vec![RoutingChange::StoreRewound])
        }
        RoutingEvent::LoadReported { address, report, gateway_count, detail } => {
            load_reported(state, address, (report, detail), gateway_count, now)
        }
        RoutingEvent::AnswerBegan(number) => {
            answer_began(state, number, now);
            Vec::new()
        }
        RoutingEvent::DemandReported { address, news, subscribers } => {
            shares::demand_reported(state, address, news, subscribers, now);
            Vec::new()
        }
        RoutingEvent::RequestArrived(caller_request) => {
            vec![request_arrived(state, caller_request, now)]
        }
        RoutingEvent::WaitEnded(caller_request) => vec![wait_ended(state, caller_request, now)],
        RoutingEvent::AttemptEnded { number, result, progress } => {
            attempt_ended(state, number, (result, progress), now)
        }
        RoutingEvent::AttemptRevived { number, attempt } => {
            attempt_revived(state, number, attempt, now)
        }
        RoutingEvent::SilentAttemptEnded { number, attempt, result, progress } => {
            silent_ended(state, (number, attempt), (result, progress), now)
        }
        RoutingEvent::ServerProbed { server, has_ended } => {
            server_probed(state, &server, has_ended, now)
        }
        RoutingEvent::ServerNoticed { number, attempt, notice } => {
            server_noticed(state, (number, attempt), notice, now)
        }
        RoutingEvent::AnswerSettled(number) => {
            answer_progressed(state, number, AnswerProgress::Events(SETTLED_EVENTS), now)
        }
        RoutingEvent::QuarantineRead(reports) => quarantine_read(state, reports, now),
        RoutingEvent::LimitsRead(reports) => limits_read(state, reports, now),
        RoutingEvent::GatewaysSeen(gateways) => gateways_seen(state, gateways, now),
        RoutingEvent::InputLifted(input) => update_effects(state.quarantine.lift(input)),
        RoutingEvent::RequestEnded(number) => request_ended(state, number, now),
        RoutingEvent::StopRequested(schedule) => stop_requested(state, schedule),
    }
}

fn catalog_read(
    state: &mut RoutingState,
    source: CatalogSource,
    catalog: RouteCatalog,
) -> Vec<RoutingEffect> {
    let version = catalog.version();
    // A peer or a slow read may deliver an older version, which must never replace a newer one.
    if state.catalog.as_ref().is_some_and(|it| it.version() >= version) {
        return Vec::new();
    }
    state.run_times.retain(|name| catalog.has_route(name));
    state.catalog = Some(catalog);
    vec![RoutingEffect::StateChanged(RoutingChange::Catalog { version, source })]
}

fn request_arrived(
    state: &mut RoutingState,
    caller_request: RoutingRequest,
    now: Moment,
) -> RoutingEffect {
    let number = caller_request.number;
    let refuse_early = |code| RoutingEffect::Refuse(number, Refusal::not_run(code));
    if is_over(state, now) {
        let refusal = Refusal::not_run(RefusalCode::ShuttingDown);
        return RoutingEffect::Refuse(number, refusal.retry_after(Duration::ZERO));
    }
    let Some(catalog) = state.catalog.as_ref() else {
        if caller_request.waited < MAX_CATALOG_WAIT {
            return RoutingEffect::Wait(number, WAIT_POLL_INTERVAL);
        }
        let refusal = Refusal::not_run(RefusalCode::NoConfiguration);
        return RoutingEffect::Refuse(number, refusal.retry_after(Duration::from_millis(500)));
    };
    let Some(route) = catalog.route(&caller_request.host, &caller_request.path) else {
        return refuse_early(RefusalCode::UnknownPath);
    };
    let account = caller_request.api_key.as_ref().and_then(|key| catalog.account_of(key)).cloned();
    if catalog.requires_key() && !route.is_public && account.is_none() {
        return refuse_early(match caller_request.api_key {
            Some(_) => RefusalCode::UnknownAccount,
            None => RefusalCode::MissingKey,
        });
    }
    let Some(service) = route.draw_service(&mut state.rng).cloned() else {
        return refuse_early(RefusalCode::NoServer);
    };
    let caller_timeout = caller_request.caller_timeout.unwrap_or(state.settings.default_timeout);
    // A caller whose earlier request was refused or lost has less time left than the route allows.
    // It waits for a server here; a first try is refused at once, and so is a resumed stream.
    let first_try_timeout = route.timeout.mul_f64(FIRST_TRY_MIN_FRACTION);
    let is_first_try =
        caller_request.resumes || caller_timeout + caller_request.waited >= first_try_timeout;
    let shared_parts =
        caller_request.shared_parts.iter().map(|it| InputDigest::of_part(&service, it)).collect();
    let content = InputDigest::of_request(&service, account.as_ref(), caller_request.content);
    let rank = catalog.rank_of(route, account.as_ref()).filter(|_| catalog.has_ranks(&service));
    let wait_deadline =
        if is_first_try { now } else { now.after(wait_limit(route, caller_timeout)) };
    let mut request = RequestState {
        work: TokenCount(0),
        rank,
        request_id: caller_request.request_id,
        deadline: now.after(caller_timeout.min(route.timeout)),
        route: route.clone(),
        service,
        account,
        shared_parts,
        content,
        size: caller_request.size,
        weight_version: caller_request.weight_version,
        tried_servers: Vec::new(),
        failed_groups: Vec::new(),
        attempts_sent: 0,
        connect_failures: 0,
        may_have_run: false,
        suspicion: Suspicion::None,
        was_lost: false,
        wait_deadline,
        is_waiting: false,
        received_at: Moment(now.0.saturating_sub(micros(caller_request.waited))),
        is_returned: !is_first_try,
        latest_start: wait_deadline,
        current_attempt: None,
        silent: SilentAttempts::default(),
    };
    state.models.entry(request.service.clone()).or_default().record_rank(request.rank);
    request.work = shares::record_arrival(state, &request, caller_request.size, now);
    deposit_retries(state, &request.service, now);
    state.requests.insert(number, request);
    record_arrival(state, number, now);
    place_request(state, number, now)
}

fn wait_ended(
    state: &mut RoutingState,
    caller_request: RoutingRequest,
    now: Moment,
) -> RoutingEffect {
    let number = caller_request.number;
    if !state.requests.contains_key(&number) {
        return request_arrived(state, caller_request, now);
    }
    if is_over(state, now) {
        return refuse(state, number, RefusalCode::ShuttingDown, now);
    }
    resolve_suspicion(state, number, now)
}

/// Chooses a server for a request in progress and starts an attempt, or makes it wait or refuses
/// it.
fn place_request(state: &mut RoutingState, number: RequestNumber, now: Moment) -> RoutingEffect {
    if is_over(state, now) || must_go_elsewhere(state, number, now) {
        return refuse(state, number, RefusalCode::ShuttingDown, now);
    }
    let effect = find_server(state, number, now);
    bound_wait(state, effect)
}

fn find_server(state: &mut RoutingState, number: RequestNumber, now: Moment) -> RoutingEffect {
    let Some(request) = state.requests.get(&number) else {
        return RoutingEffect::Finished(number);
    };
    if state.quarantine.blocked_part(&request.shared_parts).is_some() {
        return refuse(state, number, RefusalCode::HarmfulPrompt, now);
    }
    if state.quarantine.blocked_request(request.content).is_some() {
        return refuse(state, number, RefusalCode::HarmfulRequest, now);
    }
    if is_held_by_trial(state, number, now) {
        return refuse(state, number, RefusalCode::InputOnTrial, now);
    }
    if lacks_weights(state, request, now) {
        return refuse(state, number, RefusalCode::OtherWeights, now);
    }
    if has_expired(state, number, now) {
        return refuse(state, number, RefusalCode::Overloaded, now);
    }
    let choice = choose_server(state, request, now);
    match choice {
        (PlacementChoice::Server(id), rng) => {
            state.rng = rng;
            start_in_order(state, number, &id, now)
        }
        (PlacementChoice::Resting(delay), rng) => {
            state.rng = rng;
            refuse_until_rested(state, number, delay, now)
        }
        (PlacementChoice::Full, rng) => {
            state.rng = rng;
            wait_or_refuse_full(state, number, now)
        }
        (PlacementChoice::NoCandidate, rng) => {
            state.rng = rng;
            state.waiting.remove(number);
            wait_or_refuse(state, number, RefusalCode::NoServer, now)
        }
    }
}

fn start_attempt(
    state: &mut RoutingState,
    number: RequestNumber,
    id: &ServerId,
    now: Moment,
) -> RoutingEffect {
    let gateway_count = state.gateway_count();
    let Some(record) = state.servers.server(id).map(|it| it.record.clone()) else {
        return refuse(state, number, RefusalCode::NoServer, now);
    };
    let expected = state.requests.get(&number).and_then(|request| {
        let load = state.loads.get(&record.address)?;
        expect_first_event(state, request, (load, record.slots), now)
    });
    let load = state.loads.entry(record.address).or_default();
    let estimate = load.estimate(gateway_count, now);
    load.begin_attempt();
    use_share(state, record.address);
    state.cold_limiters.entry(id.clone()).or_default().record(now);
    let incarnation = (id.clone(), record.started_ms);
    state.limits.record_send(&incarnation, now);
    let Some(request) = state.requests.get_mut(&number) else {
        return RoutingEffect::Finished(number);
    };
    shares::record_start(&mut state.shares, request, now);
    request.is_waiting = false;
    request.silent.begin_attempt();
    request.tried_servers.push(id.clone());
    let address = record.address;
    let attempt = request.attempts_sent + request.connect_failures + 1;
    request.current_attempt = Some(CurrentAttempt {
        incarnation,
        address,
        attempt,
        began_at: now,
        has_begun: false,
        timing: expected.map(|it| it.1),
        is_ending: false,
    });
    let spec = AttemptSpec {
        server: id.clone(),
        address: record.address,
        service: request.service.clone(),
        route: request.route.name.clone(),
        account: request.account.clone(),
        kind: request.route.kind,
        deadline: request.deadline,
        latency_objective: request.route.latency_objective,
        attempt,
        load: estimate,
        first_event: expected.map(|it| it.0),
        rank: request.rank,
        shared_parts: request.shared_parts.clone(),
        content: request.content,
    };
    RoutingEffect::Attempt(number, Box::new(spec))
}

/// Returns a time in microseconds.
fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

fn request_ended(
    state: &mut RoutingState,
    number: RequestNumber,
    now: Moment,
) -> Vec<RoutingEffect> {
    leave(state, number, AdmissionOutcome::Abandoned, now);
    let Some(request) = state.requests.remove(&number) else { return Vec::new() };
    // The caller left while an attempt was in progress.
    if let Some(attempt) = request.current_attempt
        && let Some(load) = state.loads.get_mut(&attempt.address)
    {
        load.end_attempt();
    }
    log::debug!(request:% = request.request_id; "request ended");
    Vec::new()
}
