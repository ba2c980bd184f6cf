//! Requests that wait for a server: where ranks are in force in an order of their own, woken by
//! events; elsewhere by polls, while servers can be expected soon.

use std::{net::SocketAddr, time::Duration};

use super::{
    RequestState, RoutingState, WAIT_POLL_INTERVAL, choose_server,
    eligibility::{can_accept, is_recovering},
    refuse,
    shares::share_factor,
    start_attempt,
};
use crate::{
    core::RefusalCode,
    routing::{
        AdmissionNote, AdmissionOutcome, AdmissionSettings, PlacementChoice, RequestNumber,
        RouteRecord, RoutingEffect, RoutingEvent, ServiceCapacity, start_wait,
    },
    units::{Moment, RouteName, ServerId, ServiceName, UrgencyRank},
};

/// Fraction of its remaining time for which a retried request may wait for a server. Callers seldom
/// try a third time, so waiting beats another refusal.
const MAX_WAIT_FRACTION: f64 = 0.45;
/// Longest wait of a stream for a server. Callers give up after two seconds without an event, and
/// the first event takes a while.
const MAX_STREAM_WAIT: Duration = Duration::from_millis(1_400);
/// Maximum number of requests that wait for a server at the same time.
const MAX_WAITING: usize = 200;
/// Parts of its latest start wait after each of which a waiting request gains a rank.
const AGING_PARTS: u32 = 2;
/// Maximum number of notes on admission for the log in each second; metrics count all.
const MAX_NOTES_PER_SECOND: u32 = 20;

/// A request in the queue of this gateway.
#[derive(Clone, Debug)]
struct WaitingEntry {
    number: RequestNumber,
    service: ServiceName,
    rank: UrgencyRank,
    /// Whether the caller was refused before.
    is_returned: bool,
    since: Moment,
    latest_start: Moment,
    /// Whether the request was told to look for a server again and has not done so yet.
    is_woken: bool,
}

/// Place in the order of waiting requests; the lowest is first.
type WaitingOrder = (u8, bool, Moment, RequestNumber);

impl WaitingEntry {
    /// Requests that can still be on time go before those of their rank that cannot. Aging serves the
    /// former only: it would take slots from requests that need them now.
    fn order(&self, now: Moment) -> WaitingOrder {
        if self.is_returned {
            return (self.rank.0, true, self.latest_start, self.number);
        }
        let aging_part = self.latest_start.since(self.since) / AGING_PARTS;
        let waited = now.since(self.since).as_micros();
        let gained = u8::try_from(waited / aging_part.as_micros().max(1)).unwrap_or(u8::MAX);
        (self.rank.0.saturating_sub(gained), false, self.latest_start, self.number)
    }
}

/// Requests that wait because all servers are full, where ranks are in force.
#[derive(Clone, Debug, Default)]
pub(super) struct WaitingQueue {
    entries: Vec<WaitingEntry>,
    /// Requests that gave up their place, until they are told.
    displaced: Vec<RequestNumber>,
    /// Notes for the log that the event in progress gave rise to.
    notes: Vec<AdmissionNote>,
    /// The second in which notes were logged last, and their number.
    logged: (u64, u32),
}

/// Servers at which an event may have made room.
#[derive(Clone, Copy, Debug)]
pub(super) enum RoomScope {
    Nowhere,
    Server(SocketAddr),
    Everywhere,
}

/// Returns where an event may make room, before it is reduced.
pub(super) fn room_scope(state: &RoutingState, event: &RoutingEvent) -> RoomScope {
    if state.waiting.entries.is_empty() {
        return RoomScope::Nowhere;
    }
    let server_of = |number: &RequestNumber| {
        let attempt = state.requests.get(number).and_then(|it| it.current_attempt.as_ref());
        attempt.map_or(RoomScope::Nowhere, |it| RoomScope::Server(it.address))
    };
    match event {
        RoutingEvent::LoadReported { address, .. } => RoomScope::Server(*address),
        RoutingEvent::AttemptEnded { number, .. } => server_of(number),
        // The next in the queue takes the place of one that leaves it.
        RoutingEvent::RequestEnded(_)
        | RoutingEvent::WaitEnded(_)
        | RoutingEvent::RequestArrived(_)
        | RoutingEvent::CatalogRead { .. }
        | RoutingEvent::EvacuationsRead(_)
        | RoutingEvent::DirectoryRead(_) => RoomScope::Everywhere,
        RoutingEvent::StoreUnavailable { .. }
        | RoutingEvent::StoreRecovered
        | RoutingEvent::StoreRewound
        | RoutingEvent::AttemptRevived { .. }
        | RoutingEvent::SilentAttemptEnded { .. }
        | RoutingEvent::ServerNoticed { .. }
        | RoutingEvent::AnswerBegan(_)
        | RoutingEvent::DemandReported { .. }
        | RoutingEvent::AnswerSettled(_)
        | RoutingEvent::QuarantineRead(_)
        | RoutingEvent::LimitsRead(_)
        | RoutingEvent::GatewaysSeen(_)
        | RoutingEvent::InputLifted(_)
        | RoutingEvent::ServerProbed { .. }
        | RoutingEvent::StopRequested(_) => RoomScope::Nowhere,
    }
}

/// Tells the first waiting request of each service that finds room to look for a server again. The
/// one after it is told when it has done so.
pub(super) fn wake(state: &mut RoutingState, scope: RoomScope, now: Moment) -> Vec<RoutingEffect> {
    let mut order: Vec<usize> = (0..state.waiting.entries.len()).collect();
    order.sort_by_cached_key(|it| state.waiting.entries[*it].order(now));
    let mut settled: Vec<ServiceName> = Vec::new();
    // Requests of the same route and rank find room or none alike.
    let mut without_room: Vec<(RouteName, UrgencyRank)> = Vec::new();
    let mut effects = Vec::new();
    for n in order {
        let entry = &state.waiting.entries[n];
        if settled.contains(&entry.service) {
            continue;
        }
        let Some(request) = state.requests.get(&entry.number) else { continue };
        let kind = (request.route.name.clone(), entry.rank);
        let is_open = now < entry.latest_start && !without_room.contains(&kind);
        let can_begin = entry.is_woken || is_open && finds_room(state, request, scope, now);
        if !can_begin {
            if request.tried_servers.is_empty() && now < entry.latest_start {
                without_room.push(kind);
            }
            continue;
        }
        settled.push(entry.service.clone());
        if !entry.is_woken {
            effects.push(RoutingEffect::Resume(entry.number));
            state.waiting.entries[n].is_woken = true;
        }
    }
    effects
}

fn finds_room(state: &RoutingState, request: &RequestState, scope: RoomScope, now: Moment) -> bool {
    may_have_room(state, request, scope, now)
        && match choose_server(state, request, now).0 {
            PlacementChoice::Server(_) => true,
            PlacementChoice::Full | PlacementChoice::Resting(_) | PlacementChoice::NoCandidate => {
                false
            }
        }
}

/// Whether one of the servers has room for the request by its load alone.
fn may_have_room(
    state: &RoutingState,
    request: &RequestState,
    scope: RoomScope,
    now: Moment,
) -> bool {
    let address = match scope {
        RoomScope::Nowhere => return false,
        RoomScope::Server(address) => address,
        RoomScope::Everywhere => return true,
    };
    let limit = load_limit(state, request, now);
    let mut servers = state.servers.usable(&request.service);
    servers.any(|it| {
        it.record.address == address && pressure(state, (address, it.record.slots), now) < limit
    })
}

fn pressure(state: &RoutingState, (address, slots): (SocketAddr, u32), now: Moment) -> f64 {
    let gateway_count = state.gateway_count();
    let load = state.loads.get(&address);
    let load = load.map_or(0.0, |it| it.estimate(gateway_count, now) / it.pace_part());
    load / f64::from(slots.max(1))
}

/// Returns the load, in requests per slot, from which a server gets no more requests like this one.
pub(super) fn load_limit(state: &RoutingState, request: &RequestState, now: Moment) -> f64 {
    let usual = state.settings.admission.max_pressure;
    let traffic = state.traffic.get(&request.service);
    let share = share_factor(state, request, now);
    let Some((rank, traffic)) = request.rank.zip(traffic) else { return usual * share };
    let capacity = capacity(state, &request.service, now);
    share * traffic.load_limit(rank, objective_wait(state, request), capacity, usual, now)
}

/// Returns the settings of the choice of a server for a request.
pub(super) fn request_admission(
    state: &RoutingState,
    request: &RequestState,
    now: Moment,
) -> AdmissionSettings {
    let max_pressure = load_limit(state, request, now);
    AdmissionSettings { max_pressure, ..state.settings.admission }
}

fn capacity(state: &RoutingState, service: &ServiceName, now: Moment) -> ServiceCapacity {
    let open = state.servers.usable(service).filter(|it| can_accept(state, it, now));
    let (slots, servers) =
        open.fold((0, 0), |(slots, count), it| (slots + it.record.slots, count + 1));
    ServiceCapacity { slots, servers, gateways: state.gateway_count() }
}

/// Returns the longest time from its arrival to the start of a request that is to be on time.
fn objective_wait(state: &RoutingState, request: &RequestState) -> Duration {
    let hold_time = state.traffic.get(&request.service).map(|it| it.hold_time());
    let route = &request.route;
    let objective = route.latency_objective.unwrap_or_default();
    start_wait(objective, route.kind.is_stream(), hold_time.unwrap_or_default())
}

/// Records the arrival of a request to a service with ranks, and sets its latest start.
pub(super) fn record_arrival(state: &mut RoutingState, number: RequestNumber, now: Moment) {
    let Some(request) = state.requests.get(&number) else { return };
    let Some(rank) = request.rank else { return };
    let start_wait = objective_wait(state, request);
    let traffic = state.traffic.entry(request.service.clone()).or_default();
    traffic.record_arrival(rank, start_wait, now);
    if let Some(request) = state.requests.get_mut(&number)
        && !request.is_returned
    {
        request.latest_start = request.received_at.after(start_wait);
    }
}

/// Starts an attempt at a server with room, unless others wait that may not be overtaken.
pub(super) fn start_in_order(
    state: &mut RoutingState,
    number: RequestNumber,
    id: &ServerId,
    now: Moment,
) -> RoutingEffect {
    let Some(request) = state.requests.get(&number) else {
        return RoutingEffect::Finished(number);
    };
    let Some(rank) = request.rank else { return start_attempt(state, number, id, now) };
    let entries = &state.waiting.entries;
    let is_queued = entries.iter().any(|it| it.number == number);
    let own_order = (rank, request.is_returned);
    let goes_ahead = |it: &WaitingEntry| {
        it.service == request.service && (it.rank, it.is_returned) <= own_order && !is_queued
    };
    if now < request.latest_start
        && request.attempts_sent == 0
        && entries.len() < MAX_WAITING
        && entries.iter().any(goes_ahead)
    {
        return enqueue(state, number, now);
    }
    if is_queued {
        leave(state, number, AdmissionOutcome::Began, now);
    }
    start_attempt(state, number, id, now)
}

/// Whether the request waits in the queue and can no longer begin in time.
pub(super) fn has_expired(state: &RoutingState, number: RequestNumber, now: Moment) -> bool {
    let mut entries = state.waiting.entries.iter();
    entries.any(|it| it.number == number && now >= it.latest_start)
}

/// Handles a request for which all servers are full: it waits where ranks are in force and it can
/// still begin in time, else it is refused.
pub(super) fn wait_or_refuse_full(
    state: &mut RoutingState,
    number: RequestNumber,
    now: Moment,
) -> RoutingEffect {
    let can_wait = state.requests.get(&number).is_some_and(|request| {
        request.rank.is_some()
            && now < request.latest_start
            && (is_queued(state, number)
                || backlog_wait(state, request, now) <= request.latest_start.since(now))
    });
    if !can_wait || !is_queued(state, number) && !make_place(state, number, now) {
        return refuse(state, number, RefusalCode::Overloaded, now);
    }
    enqueue(state, number, now)
}

fn is_queued(state: &RoutingState, number: RequestNumber) -> bool {
    state.waiting.entries.iter().any(|it| it.number == number)
}

/// Returns how long a request would wait behind those that begin before it.
pub(super) fn backlog_wait(state: &RoutingState, request: &RequestState, now: Moment) -> Duration {
    let traffic = state.traffic.get(&request.service);
    let Some((rank, traffic)) = request.rank.zip(traffic) else { return Duration::ZERO };
    let own = new_entry(request, RequestNumber(u64::MAX), rank, now).order(now);
    let ahead = state.waiting.entries.iter();
    let ahead = ahead.filter(|it| it.service == request.service && it.order(now) < own).count();
    traffic.expected_wait(rank, ahead, capacity(state, &request.service, now), now)
}

/// Makes sure that the queue has a place for a request. A full one gives up its last request for one
/// that goes before it.
fn make_place(state: &mut RoutingState, number: RequestNumber, now: Moment) -> bool {
    let entries = &mut state.waiting.entries;
    if entries.len() < MAX_WAITING {
        return true;
    }
    let Some(request) = state.requests.get(&number) else { return false };
    let Some(rank) = request.rank else { return false };
    let own = new_entry(request, number, rank, now).order(now);
    let last = entries.iter_mut().max_by_key(|it| it.order(now));
    let Some(last) = last.filter(|it| !it.is_woken && own < it.order(now)) else { return false };
    // Its own task refuses it.
    last.latest_start = now;
    last.is_woken = true;
    let displaced = last.number;
    state.waiting.displaced.push(displaced);
    true
}

fn new_entry(
    request: &RequestState,
    number: RequestNumber,
    rank: UrgencyRank,
    now: Moment,
) -> WaitingEntry {
    WaitingEntry {
        number,
        service: request.service.clone(),
        rank,
        is_returned: request.is_returned,
        since: now,
        latest_start: request.latest_start,
        is_woken: false,
    }
}

/// Puts a request into the queue, or back to its place there.
fn enqueue(state: &mut RoutingState, number: RequestNumber, now: Moment) -> RoutingEffect {
    let Some(request) = state.requests.get(&number) else {
        return RoutingEffect::Finished(number);
    };
    let delay = request.latest_start.since(now);
    let rank = request.rank.unwrap_or_default();
    let entry = new_entry(request, number, rank, now);
    match state.waiting.entries.iter_mut().find(|it| it.number == number) {
        Some(entry) => entry.is_woken = false,
        None => {
            state.waiting.entries.push(entry);
            note(state, number, AdmissionOutcome::Queued, now);
        }
    }
    RoutingEffect::Wait(number, delay)
}

/// Takes a request out of the queue, if it is there.
pub(super) fn leave(
    state: &mut RoutingState,
    number: RequestNumber,
    outcome: AdmissionOutcome,
    now: Moment,
) {
    if is_queued(state, number) {
        note(state, number, outcome, now);
        state.waiting.remove(number);
    }
}

/// Notes a decision on admission for the log and the metrics.
pub(super) fn note(
    state: &mut RoutingState,
    number: RequestNumber,
    outcome: AdmissionOutcome,
    now: Moment,
) {
    let Some(request) = state.requests.get(&number) else { return };
    let Some(rank) = request.rank else { return };
    let servers = state.servers.usable(&request.service);
    let known = servers.filter(|it| state.subset.contains(&it.record.id));
    let loads = known.map(|it| {
        let address = it.record.address;
        (pressure(state, (address, it.record.slots), now), address)
    });
    let best = loads.min_by(|a, b| a.0.total_cmp(&b.0));
    let news_age = best.and_then(|it| state.loads.get(&it.1)).and_then(|it| it.report_age(now));
    let entries = &state.waiting.entries;
    let own = entries.iter().find(|it| it.number == number);
    let position =
        own.map(|own| entries.iter().filter(|it| it.order(now) < own.order(now)).count());
    let note = AdmissionNote {
        request_id: request.request_id.clone(),
        rank,
        limit: load_limit(state, request, now),
        best_load: best.map(|it| it.0),
        news_age,
        position,
        queue_length: entries.len(),
        waited: own.map_or(Duration::ZERO, |it| now.since(it.since)),
        outcome,
        is_logged: true,
    };
    state.waiting.push_note(note, now);
}

impl WaitingQueue {
    fn push_note(&mut self, mut note: AdmissionNote, now: Moment) {
        let second = now.0 / 1_000_000;
        if self.logged.0 != second {
            self.logged = (second, 0);
        }
        note.is_logged = self.logged.1 < MAX_NOTES_PER_SECOND;
        self.logged.1 += u32::from(note.is_logged);
        self.notes.push(note);
    }

    /// Takes the effects that the event in progress gave rise to beside its own.
    pub(super) fn take_effects(&mut self) -> Vec<RoutingEffect> {
        let notes = std::mem::take(&mut self.notes);
        let notes = notes.into_iter().map(|it| RoutingEffect::AdmissionNoted(Box::new(it)));
        let displaced = std::mem::take(&mut self.displaced);
        notes.chain(displaced.into_iter().map(RoutingEffect::Resume)).collect()
    }

    /// Removes a request, if it waits.
    pub(super) fn remove(&mut self, number: RequestNumber) {
        self.entries.retain(|it| it.number != number);
    }

    /// Returns the number of waiting requests.
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }
}

/// Returns how long a request that is not its caller's first try may wait for a server.
pub(super) fn wait_limit(route: &RouteRecord, caller_timeout: Duration) -> Duration {
    let limit = caller_timeout.mul_f64(MAX_WAIT_FRACTION);
    if route.kind.is_stream() { limit.min(MAX_STREAM_WAIT) } else { limit }
}

/// Handles a request for which no server is usable: makes it wait if it may, else refuses it.
pub(super) fn wait_or_refuse(
    state: &mut RoutingState,
    number: RequestNumber,
    code: RefusalCode,
    now: Moment,
) -> RoutingEffect {
    let waiting_count = state.requests.values().filter(|it| it.is_waiting).count();
    let service = state.requests.get(&number).map(|it| it.service.clone());
    let is_recovering = service.is_some_and(|it| is_recovering(state, &it, now));
    let eligible = state.requests.get_mut(&number).filter(|it| now < it.wait_deadline);
    match eligible.filter(|_| is_recovering) {
        Some(request) if request.is_waiting || waiting_count < MAX_WAITING => {
            request.is_waiting = true;
            RoutingEffect::Wait(number, WAIT_POLL_INTERVAL)
        }
        Some(_) | None => refuse(state, number, code, now),
    }
}
