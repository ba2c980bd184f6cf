//! Seeded exploration of many gateways' reducers while servers name limits, change them and start
//! again, gateways start again, and news between gateways is late or lost.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::Duration,
};

use alderbay::{
    routing::{
        AttemptResult, BudgetSettings, GatewayLocation, LimitNotice, LimitReport, LoadReport,
        RequestNumber, RouteKind, RoutingEffect, RoutingEvent, RoutingSettings, ServerNotice,
        ServerRecord,
    },
    units::Moment,
};
use googletest::prelude::*;
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IteratorRandom};

use crate::gateway_routing::{SECOND_US, TestGateway, address, server, server_of, settings};

const MILLISECOND: u64 = SECOND_US / 1_000;
const SERVER_COUNT: u16 = 8;
/// Time after a server first named its limit, or a gateway started, from which the limit binds.
const CONTACT_TIME: u64 = 3 * SECOND_US;
const WINDOW: u64 = 4 * SECOND_US;
/// Longest time from a request's arrival at a server to the end of its answer.
const ANSWER_TIME: u64 = 900 * MILLISECOND;
/// Time from the answer that names a lower limit until all gateways heed it.
const NEWS_TIME: u64 = 500 * MILLISECOND;
const START: u64 = 20 * SECOND_US;
/// Clock of a gateway that starts.
const GATEWAY_START: u64 = 10 * SECOND_US;

struct NamedLimit {
    limit: Option<f64>,
    /// When the first request arrived whose answer names it.
    named_at: Option<u64>,
}

struct TestServer {
    started_ms: u64,
    limits: Vec<NamedLimit>,
    /// When an answer first named the limit since there was none.
    first_named: Option<u64>,
    /// Arrivals with the gateway that sent them.
    arrivals: Vec<(u64, usize)>,
    running: u32,
}

impl TestServer {
    fn limit(&self) -> Option<f64> {
        self.limits.last().and_then(|it| it.limit)
    }

    /// The highest limit that gateways may have known of since a time; None if that is none at all.
    fn highest_limit(&self, since: u64) -> Option<f64> {
        let is_known =
            |it: &NamedLimit| it.named_at.is_some_and(|at| at + ANSWER_TIME + NEWS_TIME <= since);
        let first = self.limits.iter().rposition(is_known).unwrap_or(0);
        let limits = self.limits[first..].iter().map(|it| it.limit);
        limits.collect::<Option<Vec<f64>>>()?.into_iter().reduce(f64::max)
    }
}

#[derive(Clone, Debug, PartialEq)]
enum Action {
    CallerSends,
    ReachesServer {
        gateway: (usize, u64),
        number: RequestNumber,
        server: usize,
    },
    Answered {
        gateway: (usize, u64),
        number: RequestNumber,
        server: usize,
        notice: LimitNotice,
    },
    /// Exchanges records with some gateways, and again until no rounds are left.
    Exchange {
        gateway: usize,
        peer_count: usize,
        rounds: u32,
    },
    Deliver {
        from: usize,
        to: usize,
        reports: Vec<LimitReport>,
        wants_reply: bool,
    },
    LoadsReported,
    Tick,
    LimitChanges,
    GatewayRestarts,
    ServerRestarts,
}

/// What changes in the course of a simulation.
#[derive(Clone, Copy, PartialEq)]
enum Disturbance {
    None,
    /// No agents tell gateways how many there are.
    NoAgents,
    All,
}

struct Simulation {
    seed: u64,
    rng: SmallRng,
    now: u64,
    gateways: Vec<TestGateway>,
    /// When each gateway started, and how often.
    starts: Vec<(u64, u64)>,
    servers: Vec<TestServer>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    actions: BTreeMap<u64, Action>,
    next_action: u64,
    /// Requests per second of all callers.
    rate: f64,
    has_agents: bool,
    violations: Vec<String>,
    refused: usize,
    sent: usize,
}

impl Simulation {
    fn new(size: usize, seed: u64, rate: f64, disturbance: Disturbance) -> Self {
        let servers = (0..SERVER_COUNT)
            .map(|_| TestServer {
                started_ms: 1,
                limits: vec![NamedLimit { limit: None, named_at: None }],
                first_named: None,
                arrivals: Vec::new(),
                running: 0,
            })
            .collect();
        let mut simulation = Self {
            seed,
            rng: SmallRng::seed_from_u64(seed),
            now: START,
            gateways: Vec::new(),
            starts: vec![(0, 0); size],
            servers,
            queue: BinaryHeap::new(),
            actions: BTreeMap::new(),
            next_action: 0,
            rate,
            has_agents: disturbance != Disturbance::NoAgents,
            violations: Vec::new(),
            refused: 0,
            sent: 0,
        };
        simulation.gateways = (0..size).map(|n| simulation.new_gateway(n)).collect();
        if simulation.has_agents {
            simulation.schedule(0, Action::LoadsReported);
        }
        simulation.schedule(0, Action::Tick);
        simulation.schedule(0, Action::CallerSends);
        if disturbance == Disturbance::All {
            simulation.schedule(SECOND_US, Action::LimitChanges);
            simulation.schedule(3 * SECOND_US, Action::GatewayRestarts);
            simulation.schedule(5 * SECOND_US, Action::ServerRestarts);
        }
        simulation
    }

    fn location(n: usize) -> GatewayLocation {
        let address = address(1_000 + u16::try_from(n).unwrap());
        GatewayLocation { address, failure_domain: ["a", "b", "c"][n % 3].parse().unwrap() }
    }

    fn directory(&self) -> Vec<ServerRecord> {
        (0..SERVER_COUNT)
            .map(|n| ServerRecord {
                started_ms: Some(self.servers[usize::from(n)].started_ms),
                ..server(n, ["a", "b", "c"][usize::from(n) % 3])
            })
            .collect()
    }

    fn new_gateway(&self, n: usize) -> TestGateway {
        let GatewayLocation { address, failure_domain } = Self::location(n);
        let settings = RoutingSettings {
            address,
            failure_domain,
            ..settings(BudgetSettings::default(), self.seed * 1_000 + n as u64 + self.starts[n].1)
        };
        TestGateway::with(settings, RouteKind::Idempotent, self.directory())
    }

    fn schedule(&mut self, delay: u64, action: Action) {
        self.queue.push(Reverse((self.now + delay, self.next_action)));
        self.actions.insert(self.next_action, action);
        self.next_action += 1;
    }

    fn run_until(&mut self, end: u64) {
        while let Some(Reverse((at, number))) = self.queue.pop() {
            if at > end {
                self.queue.push(Reverse((at, number)));
                break;
            }
            self.now = at;
            let action = self.actions.remove(&number).unwrap();
            self.act(action);
        }
        self.now = end;
    }

    /// Dispatches an event to a gateway on the gateway's own clock.
    fn dispatch(&mut self, gateway: usize, event: RoutingEvent) -> Vec<RoutingEffect> {
        self.set_clock(gateway);
        let effects = self.gateways[gateway].dispatch(event);
        if effects.contains(&RoutingEffect::ShareRecords) {
            self.schedule(0, Action::Exchange { gateway, peer_count: 4, rounds: 3 });
        }
        effects
    }

    fn set_clock(&mut self, gateway: usize) {
        let started = self.starts[gateway].0.max(START);
        self.gateways[gateway].now = GATEWAY_START + self.now - started;
    }

    /// Delay of a message: mostly short, now and then long.
    fn delay(&mut self) -> u64 {
        let longest = if self.rng.random_bool(0.05) { 300 } else { 20 };
        self.rng.random_range(0..longest * MILLISECOND)
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::CallerSends => {
                let gateway = self.rng.random_range(0..self.gateways.len());
                self.set_clock(gateway);
                let (number, effect) = self.gateways[gateway].arrive();
                self.sent += 1;
                let key = (gateway, self.starts[gateway].1);
                match server_of(&effect) {
                    Some(id) => {
                        let server = id.trim_start_matches("i-").parse().unwrap();
                        let delay = self.delay();
                        self.schedule(
                            delay,
                            Action::ReachesServer { gateway: key, number, server },
                        );
                    }
                    None => {
                        self.refused += 1;
                        self.gateways[gateway].dispatch(RoutingEvent::RequestEnded(number));
                    }
                }
                let pause = -self.rng.random_range(f64::EPSILON..1.0).ln() / self.rate;
                self.schedule((pause * SECOND_US as f64) as u64, Action::CallerSends);
            }
            Action::ReachesServer { gateway, number, server } => {
                self.record_arrival(gateway.0, server);
                let target = &mut self.servers[server];
                target.running += 1;
                let limit = target.limit();
                if let Some(latest) = target.limits.last_mut() {
                    latest.named_at.get_or_insert(self.now);
                }
                if limit.is_some() {
                    target.first_named.get_or_insert(self.now);
                }
                let notice = limit
                    .map_or(LimitNotice::Absent, |it| LimitNotice::Named(it.try_into().unwrap()));
                let delay = self.rng.random_range(50..600) * MILLISECOND + self.delay();
                self.schedule(delay, Action::Answered { gateway, number, server, notice });
            }
            Action::Answered { gateway: (gateway, start), number, server, notice } => {
                self.servers[server].running = self.servers[server].running.saturating_sub(1);
                if self.starts[gateway].1 != start {
                    return;
                }
                let notice = ServerNotice { limit: notice, ..ServerNotice::default() };
                self.dispatch(gateway, RoutingEvent::ServerNoticed { number, attempt: 1, notice });
                self.gateways[gateway].end_attempt(number, AttemptResult::Answered);
                self.dispatch(gateway, RoutingEvent::RequestEnded(number));
            }
            Action::Exchange { gateway, peer_count, rounds } => {
                let others = (0..self.gateways.len()).filter(|it| *it != gateway);
                for to in others.choose_multiple(&mut self.rng, peer_count) {
                    self.send_reports(gateway, to, true);
                }
                if rounds > 1 {
                    let next = Action::Exchange { gateway, peer_count, rounds: rounds - 1 };
                    self.schedule(60 * MILLISECOND, next);
                }
            }
            Action::Deliver { from, to, reports, wants_reply } => {
                self.dispatch(to, RoutingEvent::LimitsRead(reports));
                if wants_reply {
                    self.send_reports(to, from, false);
                }
            }
            Action::LoadsReported => self.report_loads(),
            Action::Tick => self.tick(),
            Action::LimitChanges => {
                let server = self.rng.random_range(0..self.servers.len());
                let limits = [None, Some(0.0), Some(0.2), Some(1.0), Some(2.4), Some(6.0)];
                let limit = limits[self.rng.random_range(0..limits.len())];
                self.set_limit(server, limit);
                let delay = self.rng.random_range(0..2 * SECOND_US);
                self.schedule(delay, Action::LimitChanges);
            }
            Action::GatewayRestarts => {
                let gateway = self.rng.random_range(0..self.gateways.len());
                self.starts[gateway] = (self.now, self.starts[gateway].1 + 1);
                self.gateways[gateway] = self.new_gateway(gateway);
                self.schedule(0, Action::Exchange { gateway, peer_count: 4, rounds: 1 });
                let delay = self.rng.random_range(0..6 * SECOND_US);
                self.schedule(delay, Action::GatewayRestarts);
            }
            Action::ServerRestarts => {
                let server = self.rng.random_range(0..self.servers.len());
                let target = &mut self.servers[server];
                target.started_ms += 1;
                target.limits = vec![NamedLimit { limit: None, named_at: None }];
                target.first_named = None;
                target.arrivals.clear();
                let directory = self.directory();
                for gateway in 0..self.gateways.len() {
                    self.dispatch(gateway, RoutingEvent::DirectoryRead(directory.clone()));
                }
                let delay = self.rng.random_range(0..20 * SECOND_US);
                self.schedule(delay, Action::ServerRestarts);
            }
        }
    }

    fn send_reports(&mut self, from: usize, to: usize, wants_reply: bool) {
        self.set_clock(from);
        let now = Moment(self.gateways[from].now);
        let reports = self.gateways[from].state.limits().reports(now, &mut self.rng);
        if self.rng.random_bool(0.1) {
            return;
        }
        let delay = self.delay();
        self.schedule(delay, Action::Deliver { from, to, reports, wants_reply });
    }

    /// Agents report the loads of their servers.
    fn report_loads(&mut self) {
        let gateway_count = u32::try_from(self.gateways.len()).unwrap();
        for gateway in 0..self.gateways.len() {
            for n in 0..SERVER_COUNT {
                let running = self.servers[usize::from(n)].running;
                let report = LoadReport { running, waiting: 0, is_open: true };
                let event = RoutingEvent::LoadReported {
                    address: address(n),
                    report,
                    gateway_count,
                    detail: None,
                };
                self.dispatch(gateway, event);
            }
        }
        self.schedule(100 * MILLISECOND, Action::LoadsReported);
    }

    /// Each second, agents list the gateways, and gateways with records exchange them.
    fn tick(&mut self) {
        let locations: Vec<_> = (0..self.gateways.len()).map(Self::location).collect();
        for gateway in 0..self.gateways.len() {
            if self.has_agents {
                self.dispatch(gateway, RoutingEvent::GatewaysSeen(locations.clone()));
            }
            if !self.gateways[gateway].state.limits().is_empty() {
                let delay = self.rng.random_range(0..SECOND_US);
                self.schedule(delay, Action::Exchange { gateway, peer_count: 2, rounds: 1 });
            }
        }
        self.schedule(SECOND_US, Action::Tick);
    }

    fn set_limit(&mut self, server: usize, limit: Option<f64>) {
        let target = &mut self.servers[server];
        // Whoever ends a spell of limits starts the next one anew.
        if target.limit().is_none() || limit.is_none() {
            target.first_named = None;
            target.arrivals.clear();
        }
        target.limits.push(NamedLimit { limit, named_at: None });
    }

    fn record_arrival(&mut self, gateway: usize, server: usize) {
        let now = self.now;
        let is_excused =
            now - self.starts[gateway].0.max(START) < CONTACT_TIME && self.starts[gateway].1 > 0;
        let target = &mut self.servers[server];
        if is_excused {
            return;
        }
        target.arrivals.push((now, gateway));
        let Some(first_named) = target.first_named else { return };
        let from = now.saturating_sub(WINDOW).max(first_named + CONTACT_TIME);
        let Some(limit) = target.highest_limit(from) else { return };
        let count = target.arrivals.iter().filter(|it| it.0 > from).count();
        if count as f64 > 1.5 * limit * 4.0 + 5.0 {
            let seconds = (now - START) as f64 / SECOND_US as f64;
            self.violations.push(format!(
                "seed {}: {count} requests in 4 s at server {server} with limit {limit} at {seconds:.3} s",
                self.seed
            ));
        }
    }

    fn arrivals_since(&self, server: usize, from: u64) -> usize {
        self.servers[server].arrivals.iter().filter(|it| it.0 >= from).count()
    }
}

#[gtest]
fn no_order_of_events_exceeds_a_limit() {
    for (size, seeds, rate) in [(2, 0..60, 60.0), (9, 100..160, 80.0), (99, 200..206, 200.0)] {
        let (mut sent, mut refused) = (0, 0);
        for seed in seeds {
            let mut simulation = Simulation::new(size, seed, rate, Disturbance::All);
            simulation.run_until(START + 60 * SECOND_US);
            expect_that!(simulation.violations, is_empty(), "{size} gateways");
            sent += simulation.sent;
            refused += simulation.refused;
        }
        println!("{size} gateways: {refused} of {sent} requests refused");
    }
}

#[gtest]
fn limits_are_used_when_all_servers_have_one() {
    for (size, seed) in [(2, 1), (9, 2), (99, 3)] {
        for limit in [1.0, 2.4, 6.0] {
            let mut simulation = Simulation::new(size, seed, 120.0, Disturbance::None);
            for server in 0..usize::from(SERVER_COUNT) {
                simulation.set_limit(server, Some(limit));
            }
            let from = START + 10 * SECOND_US;
            simulation.run_until(from + 40 * SECOND_US);
            expect_that!(simulation.violations, is_empty(), "{size} gateways, limit {limit}");
            let arrivals: usize =
                (0..usize::from(SERVER_COUNT)).map(|it| simulation.arrivals_since(it, from)).sum();
            let used = arrivals as f64 / (limit * f64::from(SERVER_COUNT) * 40.0);
            println!("{size} gateways, limit {limit}: {used:.2} of it used");
            expect_that!(used, ge(0.5), "{size} gateways, limit {limit}");
        }
    }
}

#[gtest]
fn end_of_a_limit_is_learned_without_a_herd() {
    for (size, seed) in [(2, 1), (9, 2), (99, 3)] {
        for (limit, within) in [(0.0, 60), (1.0, 10)] {
            let rate = 80.0;
            let mut simulation = Simulation::new(size, seed, rate, Disturbance::None);
            simulation.set_limit(0, Some(limit));
            simulation.run_until(START + 10 * SECOND_US);
            simulation.set_limit(0, None);
            let end = simulation.now;
            simulation.run_until(end + within * SECOND_US);
            let incarnation = ("i-0".parse().unwrap(), Some(1));
            let is_limited = |it: &&TestGateway| it.state.limits().limit(&incarnation).is_some();
            let limited = simulation.gateways.iter().filter(is_limited).count();
            expect_that!(limited, eq(0), "{size} gateways, limit {limit}");
            // A server that looks idle is chosen whenever it is drawn, as one of two.
            let arrivals = &simulation.servers[0].arrivals;
            let in_second = |from: u64| {
                arrivals.iter().filter(move |it| it.0 >= from && it.0 < from + SECOND_US)
            };
            let busiest = arrivals.iter().map(|it| in_second(it.0).count()).max().unwrap_or(0);
            let drawn = 2.0 / f64::from(SERVER_COUNT) * rate;
            println!(
                "{size} gateways, limit {limit}: {busiest} requests in a second after its end"
            );
            expect_that!(busiest as f64, le(drawn * 1.5), "{size} gateways, limit {limit}");
        }
    }
}

/// Pause in which a caller that was told to come back does.
const LONGEST_RETRY: Duration = Duration::from_millis(2_667);

#[gtest]
fn callers_are_told_when_a_limited_server_takes_requests() {
    let mut gateway = TestGateway::new(RouteKind::Idempotent, vec![server(1, "a")]);
    let limit = LimitNotice::Named(0.0.try_into().unwrap());
    let notice = ServerNotice { limit, ..ServerNotice::default() };
    let (number, effect) = gateway.arrive();
    expect_that!(server_of(&effect), some(eq("i-1")));
    gateway.dispatch(RoutingEvent::ServerNoticed { number, attempt: 1, notice });
    gateway.end_attempt(number, AttemptResult::Answered);
    let (_, effect) = gateway.arrive();
    let RoutingEffect::Refuse(_, refusal) = effect else { panic!("not refused") };
    expect_that!(refusal.retry_after, some(le(LONGEST_RETRY)));
    expect_that!(refusal.outcome, eq(alderbay::core::RunOutcome::NotRun));
}

#[gtest]
fn reordered_answers_raise_no_limit() {
    let mut gateway = TestGateway::new(RouteKind::Idempotent, vec![server(1, "a")]);
    let (early, _) = gateway.arrive();
    gateway.now += MILLISECOND;
    let (late, _) = gateway.arrive();
    let named = |rate: f64| LimitNotice::Named(rate.try_into().unwrap());
    let mut answer = |number, limit| {
        gateway.now += MILLISECOND;
        let notice = ServerNotice { limit, ..ServerNotice::default() };
        gateway.dispatch(RoutingEvent::ServerNoticed { number, attempt: 1, notice });
        gateway.state.limits().limit(&("i-1".parse().unwrap(), Some(1)))
    };
    expect_that!(answer(late, named(3.0)), some(eq(3.0.try_into().unwrap())));
    // Both were sent before the limit was heard, so their order is not known.
    expect_that!(answer(early, LimitNotice::Absent), some(eq(3.0.try_into().unwrap())));
    expect_that!(answer(early, named(2.0)), some(eq(2.0.try_into().unwrap())));
    expect_that!(answer(late, named(5.0)), some(eq(2.0.try_into().unwrap())));
    expect_that!(answer(late, LimitNotice::Unreadable), some(eq(2.0.try_into().unwrap())));
}

#[gtest]
fn rush_after_a_quiet_time_exceeds_no_limit() {
    let agents = [(2, Disturbance::None), (9, Disturbance::None), (99, Disturbance::None)];
    for (size, disturbance) in agents.into_iter().chain([(9, Disturbance::NoAgents)]) {
        for limit in [0.0, 0.2, 1.0, 2.4, 12.0] {
            let mut simulation = Simulation::new(size, size as u64, 80.0, disturbance);
            for server in 0..usize::from(SERVER_COUNT) {
                simulation.set_limit(server, Some(limit));
            }
            simulation.run_until(START + 8 * SECOND_US);
            // Nobody calls for an hour.
            simulation.queue.clear();
            simulation.now += 3_600 * SECOND_US;
            simulation.rate = 400.0;
            let with_agents = simulation.has_agents.then_some(Action::LoadsReported);
            for action in [Action::Tick, Action::CallerSends].into_iter().chain(with_agents) {
                simulation.schedule(0, action);
            }
            simulation.run_until(simulation.now + 8 * SECOND_US);
            expect_that!(simulation.violations, is_empty(), "{size} gateways, limit {limit}");
        }
    }
}
