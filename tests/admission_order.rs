//! The order of admission: plays of many gateways' reducers against servers with slots and a queue,
//! under bursts and the loss of a group, and tests of single decisions.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
    time::Duration,
};

use alderbay::{
    core::RefusalCode,
    routing::{
        AccountRecord, AnswerProgress, AttemptResult, BudgetSettings, CallerLimits, CatalogSource,
        CatalogVersion, LoadReport, RequestNumber, RequestSize, RouteCatalog, RouteKind,
        RouteRecord, RouteTarget, RoutingEffect, RoutingEvent, RoutingRequest, RoutingSettings,
        RoutingState, ServerRecord, ServiceRecord, reduce,
    },
    units::{ByteCount, Moment, TokenCount, UrgencyRank},
};
use googletest::prelude::*;
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::gateway_routing::{
    SECOND_US, address, refusal_of, request, server, server_of, settings,
};

const GATEWAYS: usize = 12;
const SERVERS: usize = 24;
/// Servers that are lost together.
const GROUP_SERVERS: usize = 8;
const SLOTS: usize = 10;
const SERVER_QUEUE: usize = 20;
const MS: u64 = 1_000;
const REPORT_INTERVAL: u64 = 100 * MS;
/// Age of a load report when it reaches a gateway.
const NEWS_AGE: u64 = 100 * MS;
/// Load reports per hundred that get lost.
const LOST_REPORTS: u32 = 3;
const NETWORK_DELAY: u64 = MS;
const FIRST_EVENT_TIME: u64 = 100 * MS;
const DEADLINE: u64 = 8 * SECOND_US;
const RUN_END: u64 = 36 * SECOND_US;
const SEEDS: std::ops::Range<u64> = 0..4;
/// Requests per second without a burst, by rank.
const RATES: [f64; 3] = [34.6, 15.4, 46.0];
const OBJECTIVES_MS: [u64; 3] = [400, 400, 1_000];
/// Requests per slot below which nothing may be refused.
const FREE_HALF: f64 = 0.5;
/// A more urgent kind may be served this much less often than a less urgent one.
const SERVED_SLACK: f64 = 0.05;

fn catalog(has_ranks: bool) -> Box<RouteCatalog> {
    let service: alderbay::units::ServiceName = "s".parse().unwrap();
    let route = |rank: usize| RouteRecord {
        name: format!("r{rank}").parse().unwrap(),
        host: "h".into(),
        path_prefix: format!("/{rank}/").into(),
        kind: RouteKind::ResumableStream,
        timeout: Duration::from_secs(8),
        latency_objective: Some(Duration::from_millis(OBJECTIVES_MS[rank])),
        gap_objective: None,
        rank: has_ranks.then_some(UrgencyRank(rank as u8)),
        targets: vec![RouteTarget { service: service.clone(), weight: 1.0 }],
        max_attempts: 2,
        is_public: false,
    };
    let account =
        AccountRecord { account: "acc".parse().unwrap(), api_keys: vec!["key".into()], rank: None };
    Box::new(RouteCatalog::new(
        CatalogVersion(1),
        (0..OBJECTIVES_MS.len()).map(route).collect(),
        BTreeMap::from([(service, ServiceRecord::default())]),
        Some(vec![account]),
        CallerLimits { max_body: ByteCount(1_000) },
    ))
}

fn slotted(n: u16) -> ServerRecord {
    ServerRecord { slots: SLOTS as u32, ..server(n, "a") }
}

fn new_gateway(n: u64, has_ranks: bool, servers: usize) -> RoutingState {
    let settings = RoutingSettings {
        address: address(1_000 + n as u16),
        ..settings(BudgetSettings::default(), n)
    };
    let mut state = RoutingState::new(settings);
    let catalog = catalog(has_ranks);
    let read = RoutingEvent::CatalogRead { source: CatalogSource::Store, catalog };
    reduce(&mut state, Moment(0), read);
    let list = (1..=servers as u16).map(slotted).collect();
    reduce(&mut state, Moment(0), RoutingEvent::DirectoryRead(list));
    state
}

fn ranked_request(number: u64, rank: usize, left: u64) -> RoutingRequest {
    RoutingRequest {
        path: format!("/{rank}/x").into(),
        caller_timeout: Some(Duration::from_micros(left)),
        ..request(RequestNumber(number))
    }
}

/// What becomes of a caller's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallerOutcome {
    Open,
    OnTime,
    Late,
    Refused,
}

#[derive(Clone, Debug)]
struct Caller {
    rank: usize,
    arrived: u64,
    hold: u64,
    /// Place in the order of sizes of its kind, between 0 and 1.
    size_place: f64,
    tries: u32,
    outcome: CallerOutcome,
}

/// Requests of a play, the same for every way to admit them.
fn draw_callers(seed: u64) -> Vec<Caller> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut callers = Vec::new();
    for (rank, base) in RATES.iter().enumerate() {
        let mut now = 0;
        while now < RUN_END - DEADLINE {
            let factor = match (rank, now / (SECOND_US / 2)) {
                (2, 8..20) => 2.3,
                (0, 24..31) => 1.6,
                _ => 1.0,
            };
            let wait: f64 = -rng.random::<f64>().max(1e-9).ln() / (base * factor);
            now += (wait * SECOND_US as f64) as u64;
            let size_place: f64 = rng.random();
            // Two seconds on average, the largest about three times the smallest.
            let hold = ((1.0 + 2.0 * size_place) * SECOND_US as f64) as u64;
            let outcome = CallerOutcome::Open;
            callers.push(Caller { rank, arrived: now, hold, size_place, tries: 0, outcome });
        }
    }
    callers
}

/// The group of the first servers is lost for six seconds.
fn is_lost(server: usize, now: u64) -> bool {
    server < GROUP_SERVERS && (18 * SECOND_US..24 * SECOND_US).contains(&now)
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum PlayEvent {
    Arrive { caller: usize, gateway: usize },
    Timer { gateway: usize, number: u64, timer: u64 },
    Received { gateway: usize, number: u64, server: usize },
    Departed { server: usize, number: u64 },
    Measure { server: usize },
    Report { gateway: usize, server: usize, running: u32, waiting: u32, is_open: bool },
    GroupLost,
}

#[derive(Clone, Debug, Default)]
struct FakeServer {
    /// Number of each request and its gateway.
    running: Vec<(u64, usize)>,
    /// Rank, order of arrival, request and gateway.
    queue: BTreeSet<(u8, u64, u64, usize)>,
}

impl FakeServer {
    fn load(&self) -> usize {
        self.running.len() + self.queue.len()
    }
}

struct Play {
    now: u64,
    events: BinaryHeap<Reverse<(u64, u64, PlayEvent)>>,
    sequence: u64,
    gateways: Vec<RoutingState>,
    servers: Vec<FakeServer>,
    callers: Vec<Caller>,
    /// Caller of each request.
    numbers: Vec<usize>,
    /// Gateway of each request.
    gateways_of: Vec<usize>,
    /// Requests that were sent to a server.
    attempted: BTreeSet<u64>,
    /// Returned requests that began while a first try of their rank waited in time at the same gateway.
    overtaking: usize,
    /// Requests that wait, with the timer that is in force.
    timers: BTreeMap<u64, u64>,
    /// When the requests that have waited had to begin at the latest.
    latest_starts: BTreeMap<u64, u64>,
    started_late: usize,
    refused_while_free: usize,
    rng: SmallRng,
    /// A gateway that stands still, and when.
    paused: Option<(usize, std::ops::Range<u64>)>,
}

impl Play {
    fn new(seed: u64, has_ranks: bool) -> Self {
        let mut play = Self {
            now: 0,
            events: BinaryHeap::new(),
            sequence: 0,
            gateways: (0..GATEWAYS as u64).map(|it| new_gateway(it, has_ranks, SERVERS)).collect(),
            servers: vec![FakeServer::default(); SERVERS],
            callers: draw_callers(seed),
            numbers: Vec::new(),
            gateways_of: Vec::new(),
            attempted: BTreeSet::new(),
            overtaking: 0,
            timers: BTreeMap::new(),
            latest_starts: BTreeMap::new(),
            started_late: 0,
            refused_while_free: 0,
            rng: SmallRng::seed_from_u64(seed + 1_000),
            paused: None,
        };
        for caller in 0..play.callers.len() {
            let gateway = play.rng.random_range(0..GATEWAYS);
            play.push(play.callers[caller].arrived, PlayEvent::Arrive { caller, gateway });
        }
        for server in 0..SERVERS {
            let phase = server as u64 * REPORT_INTERVAL / SERVERS as u64;
            play.push(phase, PlayEvent::Measure { server });
        }
        play.push(18 * SECOND_US, PlayEvent::GroupLost);
        play
    }

    fn push(&mut self, at: u64, event: PlayEvent) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn run(mut self) -> Self {
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            if at > RUN_END {
                break;
            }
            let gateway = match &event {
                PlayEvent::Arrive { gateway, .. }
                | PlayEvent::Timer { gateway, .. }
                | PlayEvent::Report { gateway, .. } => Some(*gateway),
                PlayEvent::Received { .. }
                | PlayEvent::Departed { .. }
                | PlayEvent::Measure { .. }
                | PlayEvent::GroupLost => None,
            };
            match self.paused.clone() {
                Some((paused, times)) if Some(paused) == gateway && times.contains(&at) => {
                    self.push(times.end, event);
                }
                Some(_) | None => self.step(event),
            }
        }
        self
    }

    fn step(&mut self, event: PlayEvent) {
        match event {
            PlayEvent::Arrive { caller, gateway } => {
                let number = self.numbers.len() as u64;
                self.numbers.push(caller);
                self.gateways_of.push(gateway);
                let request = self.request_of(number);
                self.callers[caller].tries += 1;
                self.dispatch(gateway, RoutingEvent::RequestArrived(request));
            }
            PlayEvent::Timer { gateway, number, timer } => {
                if self.timers.get(&number) == Some(&timer) {
                    self.end_wait(gateway, number);
                }
            }
            PlayEvent::Received { gateway, number, server } => {
                let target = &mut self.servers[server];
                let is_full = target.running.len() >= SLOTS && target.queue.len() >= SERVER_QUEUE;
                if is_lost(server, self.now) || is_full {
                    self.end_attempt(gateway, number, AttemptResult::NotRun);
                    return;
                }
                let caller = &self.callers[self.numbers[number as usize]];
                let rank = self.gateways[gateway].catalog().map_or(5, |it| {
                    let route = it.route("h", &format!("/{}/x", caller.rank));
                    route.and_then(|it| it.rank).map_or(5, |it| it.0)
                });
                target.queue.insert((rank, self.sequence, number, gateway));
                self.sequence += 1;
                self.begin_next(server);
            }
            PlayEvent::Departed { server, number } => {
                let running = &mut self.servers[server].running;
                let Some(at) = running.iter().position(|it| it.0 == number) else { return };
                let (_, gateway) = running.swap_remove(at);
                self.end_attempt(gateway, number, AttemptResult::Answered);
                self.begin_next(server);
            }
            PlayEvent::Measure { server } => {
                let FakeServer { running, queue } = &self.servers[server];
                let (running, waiting) = (running.len() as u32, queue.len() as u32);
                let is_open = !is_lost(server, self.now);
                for gateway in 0..GATEWAYS {
                    if self.rng.random_range(0..100) >= LOST_REPORTS {
                        let report =
                            PlayEvent::Report { gateway, server, running, waiting, is_open };
                        self.push(self.now + NEWS_AGE, report);
                    }
                }
                self.push(self.now + REPORT_INTERVAL, PlayEvent::Measure { server });
            }
            PlayEvent::Report { gateway, server, running, waiting, is_open } => {
                let report = LoadReport { running, waiting, is_open };
                let (address, gateway_count) = (address(server as u16 + 1), GATEWAYS as u32);
                self.dispatch(
                    gateway,
                    RoutingEvent::LoadReported { address, report, gateway_count, detail: None },
                );
            }
            PlayEvent::GroupLost => {
                for server in 0..GROUP_SERVERS {
                    let lost = std::mem::take(&mut self.servers[server]);
                    for (number, gateway) in lost.running {
                        self.end_attempt(gateway, number, AttemptResult::Lost);
                    }
                    for (_, _, number, gateway) in lost.queue {
                        self.end_attempt(gateway, number, AttemptResult::NotRun);
                    }
                }
            }
        }
    }

    fn request_of(&self, number: u64) -> RoutingRequest {
        let caller = &self.callers[self.numbers[number as usize]];
        let left = (caller.arrived + DEADLINE).saturating_sub(self.now);
        let tokens = TokenCount(caller.hold / MS);
        RoutingRequest {
            size: Some(RequestSize { prompt: tokens, output: tokens }),
            ..ranked_request(number, caller.rank, left)
        }
    }

    /// Starts what waits at a server while it has free slots.
    fn begin_next(&mut self, server: usize) {
        while self.servers[server].running.len() < SLOTS {
            let Some((_, _, number, gateway)) = self.servers[server].queue.pop_first() else {
                return;
            };
            self.servers[server].running.push((number, gateway));
            let caller = &mut self.callers[self.numbers[number as usize]];
            let first_event = self.now + FIRST_EVENT_TIME;
            let objective = OBJECTIVES_MS[caller.rank] * MS;
            if caller.outcome != CallerOutcome::OnTime {
                caller.outcome = match first_event <= caller.arrived + objective {
                    true => CallerOutcome::OnTime,
                    false => CallerOutcome::Late,
                };
            }
            let end = self.now + caller.hold;
            self.push(end, PlayEvent::Departed { server, number });
        }
    }

    fn end_wait(&mut self, gateway: usize, number: u64) {
        self.timers.remove(&number);
        let request = self.request_of(number);
        self.dispatch(gateway, RoutingEvent::WaitEnded(request));
    }

    fn end_attempt(&mut self, gateway: usize, number: u64, result: AttemptResult) {
        let progress = match result {
            AttemptResult::Answered => AnswerProgress::Whole,
            AttemptResult::Lost => AnswerProgress::Events(9),
            AttemptResult::ServerError
            | AttemptResult::NeverSent
            | AttemptResult::NoListener
            | AttemptResult::NotRun
            | AttemptResult::WrongServer
            | AttemptResult::OtherWeights
            | AttemptResult::Stalled
            | AttemptResult::Abandoned => AnswerProgress::Nothing,
        };
        let number = RequestNumber(number);
        self.dispatch(gateway, RoutingEvent::AttemptEnded { number, result, progress });
    }

    fn dispatch(&mut self, gateway: usize, event: RoutingEvent) {
        let effects = reduce(&mut self.gateways[gateway], Moment(self.now), event);
        // The wake of a request that begins to wait in the same event is not lost.
        let (wakes, others): (Vec<_>, Vec<_>) =
            effects.into_iter().partition(|it| matches!(it, RoutingEffect::Resume(_)));
        others.into_iter().chain(wakes).for_each(|it| self.carry_out(gateway, it));
    }

    fn carry_out(&mut self, gateway: usize, effect: RoutingEffect) {
        match effect {
            RoutingEffect::Attempt(RequestNumber(number), spec) => {
                if self.latest_starts.remove(&number).is_some_and(|it| self.now > it) {
                    self.started_late += 1;
                }
                if self.attempted.insert(number) {
                    self.overtaking += usize::from(self.overtakes(number));
                }
                let server = (0..SERVERS).find(|it| address(*it as u16 + 1) == spec.address);
                let server = server.unwrap();
                let received = PlayEvent::Received { gateway, number, server };
                self.push(self.now + NETWORK_DELAY, received);
            }
            RoutingEffect::Wait(RequestNumber(number), delay) => {
                let end = self.now + delay.as_micros() as u64;
                self.timers.insert(number, self.sequence);
                self.latest_starts.entry(number).or_insert(end);
                let timer = self.sequence;
                self.push(end, PlayEvent::Timer { gateway, number, timer });
            }
            RoutingEffect::Resume(RequestNumber(number)) => {
                if self.timers.contains_key(&number) {
                    self.end_wait(gateway, number);
                }
            }
            RoutingEffect::Refuse(number, refusal) => {
                self.check_refusal(refusal.code);
                self.return_caller(number.0, refusal.retry_after);
                self.dispatch(gateway, RoutingEvent::RequestEnded(number));
            }
            RoutingEffect::Finished(number) => {
                self.dispatch(gateway, RoutingEvent::RequestEnded(number));
            }
            RoutingEffect::StateChanged(_)
            | RoutingEffect::AdmissionNoted(_)
            | RoutingEffect::RetryNoted(_)
            | RoutingEffect::ShareRecords
            | RoutingEffect::EndAttempt { .. }
            | RoutingEffect::ProbeServer { .. } => {}
        }
    }

    /// Whether this request cannot be on time and another one of its rank that can waits for a server.
    fn overtakes(&self, number: u64) -> bool {
        let caller_of = |number: u64| &self.callers[self.numbers[number as usize]];
        let own = caller_of(number);
        let can_be_on_time = |it: &Caller| {
            it.tries == 1 && self.now + FIRST_EVENT_TIME < it.arrived + OBJECTIVES_MS[it.rank] * MS
        };
        let mut waiting = self.timers.keys().filter(|it| !self.attempted.contains(it));
        own.tries > 1
            && waiting.any(|it| {
                self.gateways_of[*it as usize] == self.gateways_of[number as usize]
                    && caller_of(*it).rank == own.rank
                    && can_be_on_time(caller_of(*it))
            })
    }

    fn check_refusal(&mut self, code: RefusalCode) {
        let open = (0..SERVERS).filter(|it| !is_lost(*it, self.now));
        let (load, count) =
            open.fold((0, 0), |(load, n), it| (load + self.servers[it].load(), n + 1));
        let is_free = (load as f64) < FREE_HALF * (count * SLOTS) as f64;
        self.refused_while_free += usize::from(is_free && code == RefusalCode::Overloaded);
    }

    /// Lets a refused caller come back once.
    fn return_caller(&mut self, number: u64, retry_after: Option<Duration>) {
        let caller = self.numbers[number as usize];
        let Caller { arrived, tries, outcome, .. } = self.callers[caller];
        if outcome != CallerOutcome::Open {
            return;
        }
        let left = (arrived + DEADLINE).saturating_sub(self.now);
        match retry_after.filter(|_| tries < 2 && left > 0) {
            Some(delay) => {
                let at = self.now + (delay.as_micros() as u64).min(left / 3);
                let gateway = self.rng.random_range(0..GATEWAYS);
                self.push(at, PlayEvent::Arrive { caller, gateway });
            }
            None => self.callers[caller].outcome = CallerOutcome::Refused,
        }
    }
}

/// Plays a single choice that knows every slot: the most urgent waiting request that can still be on
/// time gets the next free one.
fn all_knowing(seed: u64) -> Vec<Caller> {
    let mut callers = draw_callers(seed);
    let mut order: Vec<usize> = (0..callers.len()).collect();
    order.sort_by_key(|it| callers[*it].arrived);
    let mut ends: BinaryHeap<Reverse<u64>> = BinaryHeap::new();
    let mut waiting: BTreeSet<(usize, u64, usize)> = BTreeSet::new();
    let mut arrivals = order.into_iter().peekable();
    loop {
        let next_arrival = arrivals.peek().map(|it| callers[*it].arrived);
        let next_end = ends.peek().map(|it| it.0);
        let Some(now) = next_arrival.into_iter().chain(next_end).min() else { return callers };
        while ends.peek().is_some_and(|it| it.0 <= now) {
            ends.pop();
        }
        while let Some(n) = arrivals.next_if(|it| callers[*it].arrived <= now) {
            let Caller { rank, arrived, .. } = callers[n];
            let latest = arrived + OBJECTIVES_MS[rank] * MS - FIRST_EVENT_TIME;
            waiting.insert((rank, latest, n));
        }
        let open = (0..SERVERS).filter(|it| !is_lost(*it, now)).count();
        while ends.len() < open * SLOTS {
            let Some((_, latest, n)) = waiting.pop_first() else { break };
            let is_on_time = now <= latest;
            callers[n].outcome =
                if is_on_time { CallerOutcome::OnTime } else { CallerOutcome::Refused };
            if is_on_time {
                ends.push(Reverse(now + callers[n].hold));
            }
        }
    }
}

/// Share of the requests with one of the outcomes.
fn share(callers: &[Caller], chosen: impl Fn(&Caller) -> bool, outcomes: &[CallerOutcome]) -> f64 {
    let all: Vec<&Caller> = callers.iter().filter(|it| chosen(it)).collect();
    let hits = all.iter().filter(|it| outcomes.contains(&it.outcome)).count();
    hits as f64 / all.len().max(1) as f64
}

const ON_TIME: &[CallerOutcome] = &[CallerOutcome::OnTime];
const SERVED: &[CallerOutcome] = &[CallerOutcome::OnTime, CallerOutcome::Late];

#[gtest]
fn urgent_kinds_are_served_first() {
    for seed in SEEDS {
        let play = Play::new(seed, true).run();
        let before = Play::new(seed, false).run();
        let best = all_knowing(seed);
        for rank in 0..RATES.len() {
            let of_rank = |it: &Caller| it.rank == rank;
            let [now, then, ideal] =
                [&play.callers, &before.callers, &best].map(|it| share(it, of_rank, ON_TIME));
            let served = share(&play.callers, of_rank, SERVED);
            println!(
                "seed {seed}, rank {rank}: on time {now:.3}, before {then:.3}, all-knowing \
                 {ideal:.3}; served {served:.3}, before {:.3}",
                share(&before.callers, of_rank, SERVED)
            );
            // What is on time at the expense of less urgent kinds is so for the most urgent.
            if rank < 2 {
                expect_that!(now, gt(then), "seed {}, rank {}", seed, rank);
                expect_that!(now, ge(ideal - SERVED_SLACK), "seed {}, rank {}", seed, rank);
            }
            if rank > 0 {
                let of_urgent = |it: &Caller| it.rank == rank - 1;
                let urgent_served = share(&play.callers, of_urgent, SERVED);
                let urgent_on_time = share(&play.callers, of_urgent, ON_TIME);
                expect_that!(urgent_served, ge(served - SERVED_SLACK), "seed {}", seed);
                expect_that!(urgent_on_time, ge(now - SERVED_SLACK), "seed {}", seed);
            }
            // The largest tenth, and the fifth below it, are served at least half as often.
            for sizes in [0.9..1.0, 0.7..0.9] {
                let of_size = |it: &Caller| it.rank == rank && sizes.contains(&it.size_place);
                expect_that!(share(&play.callers, of_size, SERVED), ge(served / 2.0));
            }
        }
        expect_that!(play.refused_while_free, eq(0), "seed {}", seed);
        expect_that!(play.started_late, eq(0), "seed {}", seed);
    }
}

#[gtest]
fn late_requests_do_not_delay_timely_ones() {
    for seed in SEEDS {
        let play = Play::new(seed, true).run();
        expect_that!(play.overtaking, eq(0), "seed {}", seed);
    }
}

#[gtest]
fn aged_late_request_stays_behind() {
    let mut gateway = OneGateway::new();
    let (late, effect) = gateway.arrive(1, DEADLINE / 2);
    expect_that!(is_wait(&effect), eq(true));
    gateway.now += SECOND_US;
    let (timely, effect) = gateway.arrive(1, DEADLINE);
    expect_that!(is_wait(&effect), eq(true));
    expect_that!(gateway.report(0), elements_are![eq(&timely)]);
    // Another one that can be on time waits for the first, not for the late one.
    let effects = gateway.end_wait(timely, 1);
    expect_that!(effects.iter().find_map(server_of), some(eq("i-1")));
    let (_, effect) = gateway.arrive(1, DEADLINE);
    expect_that!(server_of(&effect), some(eq("i-1")));
    let effects = gateway.end_wait(late, 1);
    expect_that!(effects.iter().find_map(server_of), some(eq("i-1")));
}

#[gtest]
fn paused_gateway_drops_late_requests() {
    for seed in SEEDS {
        let mut play = Play::new(seed, true);
        play.paused = Some((0, 6 * SECOND_US..9 * SECOND_US));
        let play = play.run();
        expect_that!(play.started_late, eq(0), "seed {}", seed);
        expect_that!(play.refused_while_free, eq(0), "seed {}", seed);
    }
}

/// One gateway and one server, whose load the test reports.
struct OneGateway {
    state: RoutingState,
    now: u64,
    next: u64,
}

impl OneGateway {
    /// A gateway that has lately seen requests of all ranks, with a full server.
    fn new() -> Self {
        let mut gateway = Self { state: new_gateway(1, true, 1), now: 10 * SECOND_US, next: 0 };
        gateway.report(0);
        for _ in 0..3 {
            let begun = [0, 1, 2].map(|rank| gateway.arrive(rank, DEADLINE).0);
            gateway.now += SECOND_US;
            for number in begun {
                let (result, progress) = (AttemptResult::Answered, AnswerProgress::Whole);
                gateway.dispatch(RoutingEvent::AttemptEnded { number, result, progress });
                gateway.dispatch(RoutingEvent::RequestEnded(number));
            }
        }
        gateway.report(3 * SLOTS as u32);
        gateway
    }

    fn dispatch(&mut self, event: RoutingEvent) -> Vec<RoutingEffect> {
        reduce(&mut self.state, Moment(self.now), event)
    }

    fn report(&mut self, running: u32) -> Vec<RequestNumber> {
        let report = LoadReport { running, waiting: 0, is_open: true };
        let event = RoutingEvent::LoadReported {
            address: address(1),
            report,
            gateway_count: 1,
            detail: None,
        };
        resumed(&self.dispatch(event))
    }

    fn arrive(&mut self, rank: usize, left: u64) -> (RequestNumber, RoutingEffect) {
        let request = ranked_request(self.next, rank, left);
        self.next += 1;
        let number = request.number;
        (number, self.dispatch(RoutingEvent::RequestArrived(request)).pop().unwrap())
    }

    fn end_wait(&mut self, number: RequestNumber, rank: usize) -> Vec<RoutingEffect> {
        self.dispatch(RoutingEvent::WaitEnded(ranked_request(number.0, rank, DEADLINE)))
    }
}

fn resumed(effects: &[RoutingEffect]) -> Vec<RequestNumber> {
    let number_of = |it: &RoutingEffect| match it {
        RoutingEffect::Resume(number) => Some(*number),
        _ => None,
    };
    effects.iter().filter_map(number_of).collect()
}

fn is_wait(effect: &RoutingEffect) -> bool {
    matches!(effect, RoutingEffect::Wait(..))
}

#[gtest]
fn waiting_requests_begin_in_order() {
    let mut gateway = OneGateway::new();
    let left = [DEADLINE, DEADLINE / 2, DEADLINE, DEADLINE / 2, DEADLINE];
    let ranks = [2, 2, 1, 1, 0];
    let mut numbers = Vec::new();
    for (rank, left) in ranks.into_iter().zip(left) {
        let (number, effect) = gateway.arrive(rank, left);
        expect_that!(is_wait(&effect), eq(true), "rank {}: {:?}", rank, effect);
        numbers.push(number);
    }
    expect_that!(gateway.report(3 * SLOTS as u32), is_empty());
    let mut woken = gateway.report(0);
    let mut begun = Vec::new();
    while let Some(number) = woken.pop() {
        let n = numbers.iter().position(|it| *it == number).unwrap();
        let effects = gateway.end_wait(number, ranks[n]);
        expect_that!(effects.iter().find_map(server_of), some(eq("i-1")));
        begun.push(n);
        woken = resumed(&effects);
    }
    // By rank, then those that can still be on time first.
    expect_that!(begun, eq(&vec![4, 2, 3, 0, 1]));
}

#[gtest]
fn newcomers_overtake_none_of_their_rank() {
    let mut gateway = OneGateway::new();
    let (first, effect) = gateway.arrive(1, DEADLINE);
    expect_that!(is_wait(&effect), eq(true));
    expect_that!(gateway.report(0), elements_are![eq(&first)]);
    for rank in [1, 2] {
        let (_, effect) = gateway.arrive(rank, DEADLINE);
        expect_that!(is_wait(&effect), eq(true), "rank {}", rank);
    }
    let (_, effect) = gateway.arrive(0, DEADLINE);
    expect_that!(server_of(&effect), some(eq("i-1")));
    let effects = gateway.end_wait(first, 1);
    expect_that!(effects.iter().find_map(server_of), some(eq("i-1")));
}

#[gtest]
fn requests_leave_at_their_latest_start() {
    let mut gateway = OneGateway::new();
    let (number, effect) = gateway.arrive(0, DEADLINE);
    let RoutingEffect::Wait(_, delay) = effect else { panic!("{effect:?}") };
    let objective = Duration::from_millis(OBJECTIVES_MS[0]);
    expect_that!(delay, lt(objective));
    gateway.now += delay.as_micros() as u64;
    // There is room, but the request would be late.
    gateway.report(0);
    let effect = gateway.end_wait(number, 0).pop().unwrap();
    expect_that!(refusal_of(&effect).map(|it| it.0), some(eq(RefusalCode::Overloaded)));
}

#[gtest]
fn hopeless_waits_are_refused_at_once() {
    let mut gateway = OneGateway::new();
    let mut last = None;
    for _ in 0..150 {
        let (_, effect) = gateway.arrive(2, DEADLINE);
        last = refusal_of(&effect).map(|it| it.0);
        if last.is_some() {
            break;
        }
    }
    expect_that!(last, some(eq(RefusalCode::Overloaded)));
    // A more urgent request goes before the backlog.
    let (_, effect) = gateway.arrive(0, DEADLINE);
    expect_that!(is_wait(&effect), eq(true));
}

#[gtest]
fn urgent_callers_come_back_earlier() {
    let mut gateway = OneGateway::new();
    let mut delays = [Duration::ZERO; 3];
    for _ in 0..60 {
        for rank in [0, 1, 2] {
            let mut effect = gateway.arrive(rank, DEADLINE).1;
            if let RoutingEffect::Wait(number, delay) = effect {
                gateway.now += delay.as_micros() as u64;
                effect = gateway.end_wait(number, rank).pop().unwrap();
            }
            if let RoutingEffect::Refuse(number, refusal) = effect {
                delays[rank] += refusal.retry_after.unwrap();
                gateway.dispatch(RoutingEvent::RequestEnded(number));
            }
            gateway.report(3 * SLOTS as u32);
        }
    }
    expect_that!(delays[0], lt(delays[1]));
    expect_that!(delays[1], lt(delays[2]));
    expect_that!(delays[2], le(Duration::from_micros(DEADLINE / 3) * 60));
}

#[gtest]
fn urgent_requests_go_beyond_slots() {
    let mut gateway = OneGateway::new();
    gateway.report(SLOTS as u32);
    let (_, effect) = gateway.arrive(0, DEADLINE);
    expect_that!(server_of(&effect), some(eq("i-1")));
    gateway.report(SLOTS as u32);
    for rank in [1, 2] {
        let (_, effect) = gateway.arrive(rank, DEADLINE);
        expect_that!(server_of(&effect), none(), "rank {}", rank);
    }
}
