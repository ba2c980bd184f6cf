//! The state of a gateway, and its reducer.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

use rand::{SeedableRng, rngs::SmallRng};
use serde::{Deserialize, Serialize};

use super::{
    AdmissionSettings, AttemptBudget, AttemptOrder, AttemptResult, BeliefChange, BudgetSettings,
    CallerFacts, Candidate, ColdGate, KnownServer, LoadReport, PlacementChoice, RequestNumber,
    ReturnCause, RouteCatalog, RouteKind, RouteRecord, RoutingEffect, RoutingEvent, ServerLoad,
    ServerTable, SourceName, choose_candidate, retry_after,
};
use crate::{
    core::{Refusal, RefusalCode},
    units::{ClientAccount, FailureDomain, GroupName, Moment, RequestId, ServerId, ServiceName},
};

/// Gateways that are assumed before an agent has said how many it hears from.
const ASSUMED_GATEWAYS: u32 = 12;
/// Time for which the largest number of gateways that was reported holds.
const GATEWAYS_MEMORY: Duration = Duration::from_secs(10);
/// Servers that one request may find unreachable.
const MAX_UNREACHABLE: u32 = 2;
/// Part of a route's timeout from which a caller's patience shows that it asks for the first time.
const FIRST_PATIENCE: f64 = 0.9;
/// Time after its first directory in which a process may not have heard of all agents.
const FIRST_REPORTS: Duration = Duration::from_millis(1_500);
/// Pause between looks for a server while a request waits for one.
const WAIT_PAUSE: Duration = Duration::from_millis(100);
/// Part of the time left that a caller waits here which has waited before: it seldom comes a third
/// time.
const WAIT_PART: f64 = 0.45;
/// How long a stream waits at most for a server: callers give up after two seconds without an event,
/// and the first one takes a while.
const MAX_STREAM_WAIT: Duration = Duration::from_millis(1_400);
/// How long the rest of a broken-off stream does, after the time in which that showed.
const STREAM_WAIT: Duration = Duration::from_millis(800);
/// How long requests wait for the first catalog of a process that has just started.
const CATALOG_WAIT: Duration = Duration::from_millis(1_500);
/// Requests that may wait at a time.
const MAX_WAITING: usize = 200;
/// Time left below which a further attempt cannot bring an answer.
const LEAST_TIME_LEFT: Duration = Duration::from_millis(30);

/// What the reducer takes from the settings.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RoutingSettings {
    /// The gateway's own failure domain.
    pub failure_domain: FailureDomain,
    /// Bounds on repeated attempts and cold servers.
    pub budget: BudgetSettings,
    /// Bounds on load.
    pub admission: AdmissionSettings,
    /// Patience of callers that state none.
    pub default_patience: Duration,
    /// Seed of random choices.
    pub seed: u64,
}

/// One caller's request in progress.
#[derive(Clone, Debug)]
struct RequestState {
    request_id: RequestId,
    route: RouteRecord,
    service: ServiceName,
    account: Option<ClientAccount>,
    deadline: Moment,
    /// Servers that it was sent to or that were unreachable.
    tried: Vec<ServerId>,
    /// Groups in which an attempt was lost or stalled.
    failed_groups: Vec<GroupName>,
    /// Attempts that were sent.
    sent: u32,
    /// Attempts that found no connection.
    unreachable: u32,
    may_have_run: bool,
    /// Until when it may wait for a server.
    waits_until: Moment,
    is_waiting: bool,
    /// Where the present attempt is.
    at: Option<(ServerId, SocketAddr)>,
}

/// All that a gateway knows.
#[derive(Clone, Debug)]
pub struct RoutingState {
    settings: RoutingSettings,
    catalog: Option<RouteCatalog>,
    servers: ServerTable,
    /// By address: agents know no ids.
    loads: HashMap<SocketAddr, ServerLoad>,
    cold_gates: BTreeMap<ServerId, ColdGate>,
    budgets: BTreeMap<ServiceName, AttemptBudget>,
    gateways: Option<(u32, Moment)>,
    requests: BTreeMap<RequestNumber, RequestState>,
    /// When the directory was first read.
    directory_since: Option<Moment>,
    is_stopping: bool,
    rng: SmallRng,
}

impl RoutingState {
    /// A state in which nothing has happened.
    pub fn new(settings: RoutingSettings) -> Self {
        Self {
            catalog: None,
            servers: ServerTable::default(),
            loads: HashMap::new(),
            cold_gates: BTreeMap::new(),
            budgets: BTreeMap::new(),
            gateways: None,
            requests: BTreeMap::new(),
            directory_since: None,
            is_stopping: false,
            rng: SmallRng::seed_from_u64(settings.seed),
            settings,
        }
    }

    /// The catalog in force.
    pub fn catalog(&self) -> Option<&RouteCatalog> {
        self.catalog.as_ref()
    }

    /// The servers known.
    pub fn servers(&self) -> &ServerTable {
        &self.servers
    }

    /// Whether the gateway takes callers. One that is cut off from all other failure domains and
    /// cannot serve by itself does not: callers are better off with the gateways of the others.
    pub fn is_ready(&self, now: Moment) -> bool {
        let Some(catalog) = &self.catalog else { return false };
        if self.servers.is_empty() || self.is_stopping {
            return false;
        }
        !is_isolated(self, now) || catalog.services().all(|it| has_usable(self, it, now))
    }

    /// Requests in progress.
    pub fn in_progress(&self) -> usize {
        self.requests.len()
    }

    /// Gateways that there may be.
    pub fn fleet(&self) -> u32 {
        self.gateways.map_or(ASSUMED_GATEWAYS, |it| it.0.max(1))
    }
}

/// Reduces one event: brings the state up to date and says what is to be done.
pub fn reduce(state: &mut RoutingState, now: Moment, event: RoutingEvent) -> Vec<RoutingEffect> {
    // Lapsed entries are dropped with every event: the directory may not be read for a while.
    let mut effects = believe(state.servers.expire(now));
    effects.extend(reduce_event(state, now, event));
    effects
}

fn believe(changes: Vec<BeliefChange>) -> Vec<RoutingEffect> {
    changes.into_iter().map(RoutingEffect::Believe).collect()
}

fn reduce_event(state: &mut RoutingState, now: Moment, event: RoutingEvent) -> Vec<RoutingEffect> {
    match event {
        RoutingEvent::CatalogRead { source, catalog } => catalog_read(state, source, *catalog),
        RoutingEvent::EvacuationsRead(domains) => believe(state.servers.evacuate(domains)),
        RoutingEvent::DirectoryRead(list) => {
            state.directory_since.get_or_insert(now);
            let changes = state.servers.read_directory(list, now);
            forget_gone(state);
            believe(changes)
        }
        RoutingEvent::StoreLost => {
            state.servers.store_lost(now);
            believe(vec![BeliefChange::StoreLost])
        }
        RoutingEvent::StoreRegained => {
            state.servers.store_regained(now);
            believe(vec![BeliefChange::StoreRegained])
        }
        RoutingEvent::LoadReported { address, report, gateways } => {
            load_reported(state, address, report, gateways, now);
            Vec::new()
        }
        RoutingEvent::RequestArrived(facts) => vec![request_arrived(state, facts, now)],
        RoutingEvent::WaitEnded(facts) => vec![wait_ended(state, facts, now)],
        RoutingEvent::AttemptEnded { number, result } => attempt_ended(state, number, result, now),
        RoutingEvent::RequestEnded(number) => request_ended(state, number),
        RoutingEvent::StopAsked => {
            state.is_stopping = true;
            believe(vec![BeliefChange::Stopping])
        }
    }
}

fn catalog_read(
    state: &mut RoutingState,
    source: SourceName,
    catalog: RouteCatalog,
) -> Vec<RoutingEffect> {
    let version = catalog.version();
    // Whatever a peer or a slow read brings, nothing returns to an older version.
    if state.catalog.as_ref().is_some_and(|it| it.version() >= version) {
        return Vec::new();
    }
    state.catalog = Some(catalog);
    vec![RoutingEffect::Believe(BeliefChange::Catalog { version, source })]
}

fn forget_gone(state: &mut RoutingState) {
    let servers = &state.servers;
    state.cold_gates.retain(|id, _| servers.server(id).is_some());
    let listed: Vec<SocketAddr> = servers.servers().map(|it| it.record.address).collect();
    state.loads.retain(|address, load| load.outstanding > 0 || listed.contains(address));
}

fn load_reported(
    state: &mut RoutingState,
    address: SocketAddr,
    report: LoadReport,
    gateways: u32,
    now: Moment,
) {
    state.loads.entry(address).or_default().record_report(report, now);
    let is_old = state.gateways.is_none_or(|(_, at)| now.since(at) > GATEWAYS_MEMORY);
    if is_old || state.gateways.is_some_and(|(most, _)| gateways >= most) {
        state.gateways = Some((gateways, now));
    }
}

fn request_arrived(state: &mut RoutingState, facts: CallerFacts, now: Moment) -> RoutingEffect {
    let number = facts.number;
    let refuse_unread = |code| RoutingEffect::Refuse(number, Refusal::not_run(code));
    let Some(catalog) = state.catalog.as_ref() else {
        if facts.waited < CATALOG_WAIT {
            return RoutingEffect::Wait(number, WAIT_PAUSE);
        }
        let refusal = Refusal::not_run(RefusalCode::NoConfiguration);
        return RoutingEffect::Refuse(number, refusal.retry_after(Duration::from_millis(500)));
    };
    let Some(route) = catalog.route(&facts.host, &facts.path) else {
        return refuse_unread(RefusalCode::UnknownPath);
    };
    let account = facts.api_key.as_ref().and_then(|key| catalog.account_of(key)).cloned();
    if catalog.has_accounts() && !route.is_public && account.is_none() {
        return refuse_unread(match facts.api_key {
            Some(_) => RefusalCode::UnknownAccount,
            None => RefusalCode::MissingKey,
        });
    }
    let Some(service) = route.draw_service(&mut state.rng).cloned() else {
        return refuse_unread(RefusalCode::NoServer);
    };
    let patience = facts.patience.unwrap_or(state.settings.default_patience);
    // A caller that has waited before, for an attempt that was refused or lost, waits shorter now.
    let route_patience = route.timeout.mul_f64(FIRST_PATIENCE);
    let can_be_timely = facts.resumes || patience + facts.waited >= route_patience;
    let request = RequestState {
        request_id: facts.request_id,
        deadline: now.after(patience.min(route.timeout)),
        route: route.clone(),
        service,
        account,
        tried: Vec::new(),
        failed_groups: Vec::new(),
        sent: 0,
        unreachable: 0,
        may_have_run: false,
        waits_until: if can_be_timely { now } else { now.after(longest_wait(route, patience)) },
        is_waiting: false,
        at: None,
    };
    let fleet = state.fleet();
    let budget = budget_of(state, &request.service);
    budget.0.deposit(&budget.1, fleet);
    state.requests.insert(number, request);
    place(state, number, now)
}

fn wait_ended(state: &mut RoutingState, facts: CallerFacts, now: Moment) -> RoutingEffect {
    let number = facts.number;
    if !state.requests.contains_key(&number) {
        return request_arrived(state, facts, now);
    }
    place(state, number, now)
}

/// How long a request of a caller that has waited before may wait here.
fn longest_wait(route: &RouteRecord, patience: Duration) -> Duration {
    let part = patience.mul_f64(WAIT_PART);
    if route.kind.is_stream() { part.min(MAX_STREAM_WAIT) } else { part }
}

/// Whether a service's servers are about to work: all agents of one of its groups report, which is still
/// forming, or this process has not heard of them yet. An outage of a server or a failure domain lasts
/// longer than callers wait.
fn is_recovering(state: &RoutingState, service: &ServiceName, now: Moment) -> bool {
    let is_new = state.directory_since.is_none_or(|at| now.since(at) < FIRST_REPORTS);
    let mut heard: BTreeMap<&GroupName, u16> = BTreeMap::new();
    let mut is_whole = false;
    for server in state.servers.usable(service) {
        let Some(place) = &server.record.group else { continue };
        let load = state.loads.get(&server.record.address);
        let count = heard.entry(&place.name).or_default();
        *count += u16::from(load.is_some_and(|it| it.is_heard(now)));
        is_whole |= *count >= server.record.group_size.max(1);
    }
    is_new || is_whole
}

/// Lets a request wait where it may, since no server can be used now.
fn wait_or_refuse(
    state: &mut RoutingState,
    number: RequestNumber,
    code: RefusalCode,
    now: Moment,
) -> RoutingEffect {
    let waiting = state.requests.values().filter(|it| it.is_waiting).count();
    let service = state.requests.get(&number).map(|it| it.service.clone());
    let is_recovering = service.is_some_and(|it| is_recovering(state, &it, now));
    let waits = state.requests.get_mut(&number).filter(|it| now < it.waits_until);
    match waits.filter(|_| is_recovering) {
        Some(request) if request.is_waiting || waiting < MAX_WAITING => {
            request.is_waiting = true;
            RoutingEffect::Wait(number, WAIT_PAUSE)
        }
        Some(_) | None => refuse(state, number, code, now),
    }
}

fn budget_of<'a>(
    state: &'a mut RoutingState,
    service: &ServiceName,
) -> (&'a mut AttemptBudget, BudgetSettings) {
    let (settings, fleet) = (state.settings.budget, state.fleet());
    if !state.budgets.contains_key(service) {
        state.budgets.insert(service.clone(), AttemptBudget::new(&settings, fleet));
    }
    let budget = state.budgets.entry(service.clone());
    (budget.or_insert_with(|| AttemptBudget::new(&settings, fleet)), settings)
}

/// Chooses a server for a request in progress.
fn place(state: &mut RoutingState, number: RequestNumber, now: Moment) -> RoutingEffect {
    let Some(request) = state.requests.get(&number) else {
        return RoutingEffect::Finished(number);
    };
    let choice = choose(state, request, now);
    match choice {
        (PlacementChoice::Server(id), rng) => {
            state.rng = rng;
            send_to(state, number, &id, now)
        }
        (PlacementChoice::Full, rng) => {
            state.rng = rng;
            refuse(state, number, RefusalCode::Overloaded, now)
        }
        (PlacementChoice::Nowhere, rng) => {
            state.rng = rng;
            wait_or_refuse(state, number, RefusalCode::NoServer, now)
        }
    }
}

fn choose(
    state: &RoutingState,
    request: &RequestState,
    now: Moment,
) -> (PlacementChoice, SmallRng) {
    let fleet = state.fleet();
    let usable: Vec<&KnownServer> = state
        .servers
        .usable(&request.service)
        .filter(|it| !request.tried.contains(&it.record.id))
        .filter(|it| bears_one_more(state, it, now))
        .collect();
    let healthy = |it: &&&KnownServer| {
        let address = it.record.address;
        !state.loads.get(&address).is_some_and(|load| load.is_paused(now))
    };
    let reachable =
        |it: &&&KnownServer| !is_domain_unreachable(state, &it.record.failure_domain, now);
    let elsewhere = |it: &&&KnownServer| {
        it.record.group.as_ref().is_none_or(|it| !request.failed_groups.contains(&it.name))
    };
    // Each further condition holds only where it leaves a choice.
    let mut chosen: Vec<&KnownServer> = usable.iter().filter(healthy).copied().collect();
    if chosen.is_empty() {
        chosen = usable;
    }
    let near_or_open: Vec<&KnownServer> = chosen.iter().filter(reachable).copied().collect();
    if !near_or_open.is_empty() {
        chosen = near_or_open;
    }
    let other_groups: Vec<&KnownServer> = chosen.iter().filter(elsewhere).copied().collect();
    if !other_groups.is_empty() {
        chosen = other_groups;
    }
    let candidates: Vec<Candidate<'_>> = chosen
        .iter()
        .map(|it| Candidate {
            id: &it.record.id,
            load: state.loads.get(&it.record.address).map_or(0.0, |load| load.estimate(fleet, now)),
            slots: it.record.slots,
        })
        .collect();
    let mut rng = state.rng.clone();
    let choice = choose_candidate(&candidates, &state.settings.admission, &mut rng);
    (choice, rng)
}

/// Whether all other failure domains are taken to be cut off.
fn is_isolated(state: &RoutingState, now: Moment) -> bool {
    let own = &state.settings.failure_domain;
    let mut others: Vec<&FailureDomain> = state
        .servers
        .servers()
        .map(|it| &it.record.failure_domain)
        .filter(|it| *it != own)
        .collect();
    others.sort_unstable();
    others.dedup();
    !others.is_empty() && others.iter().all(|it| is_domain_unreachable(state, it, now))
}

/// Whether a service has a server that can be used from here, or none anywhere.
fn has_usable(state: &RoutingState, service: &ServiceName, now: Moment) -> bool {
    let mut listed = state.servers.usable(service).peekable();
    listed.peek().is_none()
        || listed.any(|it| {
            bears_one_more(state, it, now)
                && !is_domain_unreachable(state, &it.record.failure_domain, now)
        })
}

/// Whether another failure domain is taken to be cut off: all its agents are silent, or most of its
/// servers accept no connection.
fn is_domain_unreachable(state: &RoutingState, domain: &FailureDomain, now: Moment) -> bool {
    if *domain == state.settings.failure_domain {
        return false;
    }
    let (mut total, mut unreachable, mut silent, mut heard) = (0, 0, 0, 0);
    for server in state.servers.servers().filter(|it| it.record.failure_domain == *domain) {
        total += 1;
        let Some(load) = state.loads.get(&server.record.address) else { continue };
        unreachable += usize::from(load.is_unreachable() && load.is_paused(now));
        silent += usize::from(load.is_silent(now));
        heard += usize::from(load.is_heard(now));
    }
    heard == 0 && silent > 1 || unreachable > 1 && unreachable * 2 >= total
}

/// Whether the server's group works and, where it is cold, its rate allows one more request.
fn bears_one_more(state: &RoutingState, server: &KnownServer, now: Moment) -> bool {
    let record = &server.record;
    let report = state.loads.get(&record.address).and_then(|it| it.report(now));
    let listed = record.group.as_ref().is_none_or(|it| it.is_open);
    // The agent's word is newer than the directory's.
    if !report.map_or(listed, |it| it.is_open) {
        return false;
    }
    if now >= server.cold_until {
        return true;
    }
    let catalog = state.catalog.as_ref();
    let cold_rate =
        catalog.and_then(|it| it.service(&record.service)).map_or(0.0, |it| it.cold_rate);
    if cold_rate <= 0.0 {
        return true;
    }
    let mut gate = state.cold_gates.get(&record.id).cloned().unwrap_or_default();
    gate.is_open(&state.settings.budget, cold_rate, state.fleet(), now)
}

fn send_to(
    state: &mut RoutingState,
    number: RequestNumber,
    id: &ServerId,
    now: Moment,
) -> RoutingEffect {
    let fleet = state.fleet();
    let Some(record) = state.servers.server(id).map(|it| it.record.clone()) else {
        return refuse(state, number, RefusalCode::NoServer, now);
    };
    let load = state.loads.entry(record.address).or_default();
    let estimate = load.estimate(fleet, now);
    load.begin();
    state.cold_gates.entry(id.clone()).or_default().record(now);
    let Some(request) = state.requests.get_mut(&number) else {
        return RoutingEffect::Finished(number);
    };
    request.is_waiting = false;
    request.tried.push(id.clone());
    request.at = Some((id.clone(), record.address));
    let order = AttemptOrder {
        server: id.clone(),
        address: record.address,
        service: request.service.clone(),
        route: request.route.name.clone(),
        account: request.account.clone(),
        kind: request.route.kind,
        deadline: request.deadline,
        latency_objective: request.route.latency_objective,
        attempt: request.sent + request.unreachable + 1,
        load: estimate,
    };
    RoutingEffect::Attempt(number, Box::new(order))
}

fn refuse(
    state: &mut RoutingState,
    number: RequestNumber,
    code: RefusalCode,
    now: Moment,
) -> RoutingEffect {
    let Some(request) = state.requests.get(&number) else {
        return RoutingEffect::Finished(number);
    };
    let refusal = match request.may_have_run {
        // A status that promises "not run" would be untrue.
        true if code == RefusalCode::DeadlinePassed => {
            Refusal::unknown(RefusalCode::DeadlineDuringRun)
        }
        true => Refusal::unknown(RefusalCode::OutcomeUnknown),
        false => Refusal::not_run(code),
    };
    // Whoever may not ask again is not told when to.
    let may_return = !request.may_have_run || request.route.kind.is_idempotent();
    let is_full = code == RefusalCode::Overloaded;
    let cause = if is_full { ReturnCause::Full } else { ReturnCause::Outage };
    let (left, settings) = (request.deadline.since(now), state.settings.admission);
    let wait = may_return.then(|| retry_after(left, cause, &settings, &mut state.rng));
    RoutingEffect::Refuse(number, Refusal { retry_after: wait, ..refusal })
}

fn attempt_ended(
    state: &mut RoutingState,
    number: RequestNumber,
    result: AttemptResult,
    now: Moment,
) -> Vec<RoutingEffect> {
    let Some(request) = state.requests.get_mut(&number) else { return Vec::new() };
    let Some((id, address)) = request.at.take() else { return Vec::new() };
    request.may_have_run |= result.may_have_run();
    let group = state.servers.server(&id).and_then(|it| it.record.group.as_ref());
    match result {
        AttemptResult::NeverSent => request.unreachable += 1,
        AttemptResult::Lost | AttemptResult::Stalled | AttemptResult::NotRun => {
            request.sent += 1;
            request.failed_groups.extend(group.map(|it| it.name.clone()));
        }
        AttemptResult::Answered
        | AttemptResult::ServerError
        | AttemptResult::WrongServer
        | AttemptResult::Abandoned => request.sent += 1,
    }
    let mut effects: Vec<RoutingEffect> = note_health(state, &id, address, result, now)
        .map(RoutingEffect::Believe)
        .into_iter()
        .collect();
    effects.push(next_step(state, number, result, now));
    effects
}

/// Brings the server's record up to date.
fn note_health(
    state: &mut RoutingState,
    id: &ServerId,
    address: SocketAddr,
    result: AttemptResult,
    now: Moment,
) -> Option<BeliefChange> {
    let load = state.loads.entry(address).or_default();
    load.end();
    let is_paused = match result {
        AttemptResult::NeverSent => {
            load.record_unreachable(now);
            true
        }
        AttemptResult::Lost | AttemptResult::Stalled => load.record_end(true, now),
        AttemptResult::ServerError | AttemptResult::NotRun => load.record_end(true, now),
        AttemptResult::Answered => load.record_end(false, now),
        AttemptResult::WrongServer => {
            state.servers.note_replaced(id);
            false
        }
        AttemptResult::Abandoned => false,
    };
    is_paused.then(|| BeliefChange::ServerPaused { server: id.clone(), result })
}

fn next_step(
    state: &mut RoutingState,
    number: RequestNumber,
    result: AttemptResult,
    now: Moment,
) -> RoutingEffect {
    let Some(request) = state.requests.get(&number) else {
        return RoutingEffect::Finished(number);
    };
    let kind = request.route.kind;
    let has_time = now.after(LEAST_TIME_LEFT) < request.deadline;
    let has_attempts = request.sent < request.route.max_attempts.max(1);
    match result {
        AttemptResult::Answered | AttemptResult::Abandoned => RoutingEffect::Finished(number),
        AttemptResult::NeverSent if !has_time => {
            refuse(state, number, RefusalCode::DeadlinePassed, now)
        }
        AttemptResult::NeverSent if request.unreachable >= MAX_UNREACHABLE => {
            refuse(state, number, RefusalCode::NoServer, now)
        }
        AttemptResult::NeverSent => place(state, number, now),
        AttemptResult::NotRun | AttemptResult::WrongServer => {
            if has_time && has_attempts && spend(state, number) {
                return place(state, number, now);
            }
            refuse(state, number, RefusalCode::Overloaded, now)
        }
        AttemptResult::ServerError => {
            if kind == RouteKind::Idempotent && has_time && has_attempts && spend(state, number) {
                return place(state, number, now);
            }
            RoutingEffect::Finished(number)
        }
        AttemptResult::Lost | AttemptResult::Stalled => {
            if kind.is_idempotent() && has_time && has_attempts && spend(state, number) {
                let request = state.requests.get_mut(&number);
                request.into_iter().for_each(|it| it.waits_until = now.after(STREAM_WAIT));
                return place(state, number, now);
            }
            let code = match has_time {
                true => RefusalCode::OutcomeUnknown,
                false => RefusalCode::DeadlinePassed,
            };
            refuse(state, number, code, now)
        }
    }
}

/// Takes a repeated attempt from the service's budget.
fn spend(state: &mut RoutingState, number: RequestNumber) -> bool {
    let Some(service) = state.requests.get(&number).map(|it| it.service.clone()) else {
        return false;
    };
    budget_of(state, &service).0.withdraw()
}

fn request_ended(state: &mut RoutingState, number: RequestNumber) -> Vec<RoutingEffect> {
    let Some(request) = state.requests.remove(&number) else { return Vec::new() };
    // The caller left in the middle of an attempt.
    if let Some((_, address)) = request.at
        && let Some(load) = state.loads.get_mut(&address)
    {
        load.end();
    }
    log::debug!(request:% = request.request_id; "request ended");
    Vec::new()
}
