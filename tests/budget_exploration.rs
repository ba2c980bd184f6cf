//! Seeded exploration of many gateways' reducers: the retries of all of them together stay within the
//! budget, whatever each believes of the others.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::Duration,
};

use alderbay::{
    routing::{
        AttemptResult, BudgetSettings, GatewayLocation, LoadReport, PeerTable, RequestNumber,
        RouteKind, RoutingEffect, RoutingEvent, RoutingRequest, RoutingSettings, ServerRecord,
    },
    units::Moment,
};
use googletest::prelude::*;
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::gateway_routing::{
    COLD_RATE, SECOND_US, TestGateway, address, request, server, server_of, settings,
};

const MILLISECOND: u64 = SECOND_US / 1_000;
/// Window in which retries and requests are counted.
const WINDOW: u64 = 10 * SECOND_US;
const RETRY_RATIO: f64 = 0.2;
const START: u64 = 100 * SECOND_US;
/// Clock of a gateway that starts.
const GATEWAY_START: u64 = 10 * SECOND_US;
const SERVER_COUNT: u16 = 24;
/// Servers with an agent beside them.
const AGENT_COUNT: u16 = 6;
const SUBSCRIPTION_TTL: u64 = 3 * SECOND_US;
const REPORT_INTERVAL: u64 = 1_500 * MILLISECOND;
/// Time after which a server that says nothing counts as silent.
const SILENCE: u64 = 1_600 * MILLISECOND;
/// Time from the start of the processes to the first requests.
const CALM_START: u64 = 5 * SECOND_US;
/// Longest pause between two calls, at the lowest rate.
const LONGEST_PAUSE: f64 = 5.0;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Disturbance {
    /// Servers fail, now and then all of them in a rush of callers.
    None,
    /// Failure domains lose each other for up to half a minute.
    Cuts,
    /// Each domain is cut off from the others for minutes, and some gateways start again meanwhile.
    StartsInCuts,
    /// Each gateway loses all others and all agents.
    Isolation,
    /// All gateways and agents start again at once, several times.
    StartsAtOnce,
    /// Gateways start again one after the other.
    Restarts,
    /// No agents tell gateways how many there are.
    NoAgents,
    /// Agents say that there are far more gateways.
    LargeCounts,
    /// Servers stand still for seconds, and receive everything as they go on.
    Pauses,
}

#[derive(Clone, Copy, Debug)]
struct Deployment {
    size: usize,
    domains: usize,
    slack: f64,
}

const DEPLOYMENTS: [Deployment; 6] = [
    Deployment { size: 2, domains: 2, slack: 94.0 },
    Deployment { size: 9, domains: 3, slack: 94.0 },
    Deployment { size: 37, domains: 3, slack: 218.0 },
    Deployment { size: 99, domains: 6, slack: 448.0 },
    Deployment { size: 99, domains: 3, slack: 60.0 },
    Deployment { size: 299, domains: 6, slack: 1_344.0 },
];

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct CallKey {
    gateway: usize,
    start: u64,
    number: RequestNumber,
}

#[derive(Clone, Debug, PartialEq)]
enum Action {
    CallerSends,
    ReachesServer {
        key: CallKey,
        attempt: u32,
        server: usize,
    },
    Ends {
        key: CallKey,
        attempt: u32,
        result: AttemptResult,
    },
    FallsSilent {
        key: CallKey,
        attempt: u32,
    },
    WaitEnds {
        key: CallKey,
    },
    AgentsReport,
    GroupBreaks,
    /// Callers rush, now or in intervals, while servers fail.
    RushBegins {
        is_repeated: bool,
    },
    RushEnds {
        is_repeated: bool,
    },
    CutBegins {
        length: u64,
    },
    CutEnds,
    AllStart,
    GatewayStarts,
    ServersPause,
    ServersGoOn {
        group: usize,
    },
}

struct SimulatedGateway {
    gateway: TestGateway,
    peers: PeerTable,
    started: u64,
    start: u64,
}

/// The attempt in progress of an open request.
#[derive(Clone, Copy)]
struct OpenCall {
    attempt: u32,
    server: usize,
    is_silent: bool,
}

struct Simulation {
    deployment: Deployment,
    seed: u64,
    rng: SmallRng,
    now: u64,
    gateways: Vec<SimulatedGateway>,
    /// The gateways that subscribe to each agent, and since when.
    subscribers: Vec<BTreeMap<usize, u64>>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    actions: BTreeMap<u64, Action>,
    next_action: u64,
    /// Requests per second of all callers, before and in a rush.
    rates: (f64, f64),
    disturbance: Disturbance,
    is_rush: bool,
    is_cut: bool,
    /// Groups of servers that stand still.
    paused: [bool; 3],
    held: Vec<(CallKey, u32, usize)>,
    calls: BTreeMap<CallKey, OpenCall>,
    arrivals: BTreeMap<CallKey, u32>,
    sent: Vec<u64>,
    retries: Vec<u64>,
    violations: Vec<String>,
    /// Largest part of the bound that was used.
    most_used: f64,
}

impl Simulation {
    fn new(deployment: Deployment, seed: u64, disturbance: Disturbance) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let size = deployment.size as f64;
        let quiet = size * rng.random_range(1.0..4.0);
        let rates = (quiet, quiet * rng.random_range(0.5..3.0));
        let mut simulation = Self {
            deployment,
            seed,
            rng,
            now: START,
            gateways: Vec::new(),
            subscribers: vec![BTreeMap::new(); usize::from(AGENT_COUNT)],
            queue: BinaryHeap::new(),
            actions: BTreeMap::new(),
            next_action: 0,
            rates,
            disturbance,
            is_rush: false,
            is_cut: false,
            paused: [false; 3],
            held: Vec::new(),
            calls: BTreeMap::new(),
            arrivals: BTreeMap::new(),
            sent: Vec::new(),
            retries: Vec::new(),
            violations: Vec::new(),
            most_used: 0.0,
        };
        simulation.gateways = (0..deployment.size).map(|n| simulation.new_gateway(n, 0)).collect();
        simulation.schedule(0, Action::AgentsReport);
        simulation.schedule(CALM_START, Action::CallerSends);
        simulation.schedule(8 * SECOND_US, Action::GroupBreaks);
        let rush = simulation.rng.random_range(15..60) * SECOND_US;
        simulation.schedule(rush, Action::RushBegins { is_repeated: true });
        match disturbance {
            Disturbance::None | Disturbance::NoAgents | Disturbance::LargeCounts => {}
            Disturbance::Cuts => {
                let length = simulation.rng.random_range(0..30) * SECOND_US;
                simulation.schedule(7 * SECOND_US, Action::CutBegins { length });
            }
            Disturbance::StartsInCuts => {
                let length = simulation.rng.random_range(60..150) * SECOND_US;
                simulation.schedule(7 * SECOND_US, Action::CutBegins { length });
                simulation.schedule(9 * SECOND_US, Action::GatewayStarts);
            }
            Disturbance::Isolation => {
                let length = simulation.rng.random_range(20..60) * SECOND_US;
                simulation.schedule(7 * SECOND_US, Action::CutBegins { length });
            }
            Disturbance::StartsAtOnce => simulation.schedule(7 * SECOND_US, Action::AllStart),
            Disturbance::Restarts => simulation.schedule(7 * SECOND_US, Action::GatewayStarts),
            Disturbance::Pauses => simulation.schedule(7 * SECOND_US, Action::ServersPause),
        }
        simulation
    }

    fn domain_name(n: usize) -> &'static str {
        ["a", "b", "c", "d", "e", "f"][n]
    }

    fn domain(&self, n: usize) -> usize {
        n % self.deployment.domains
    }

    fn location(&self, n: usize) -> GatewayLocation {
        let address = address(1_000 + u16::try_from(n).unwrap());
        let failure_domain = Self::domain_name(self.domain(n)).parse().unwrap();
        GatewayLocation { address, failure_domain }
    }

    fn directory(&self) -> Vec<ServerRecord> {
        let record = |n| {
            let record = server(n, Self::domain_name(self.domain(usize::from(n))));
            ServerRecord { slots: 100_000, ..record }
        };
        (0..SERVER_COUNT).map(record).collect()
    }

    fn new_gateway(&self, n: usize, start: u64) -> SimulatedGateway {
        let own = self.location(n);
        let budget = BudgetSettings {
            retry_ratio: RETRY_RATIO,
            retry_burst: self.deployment.slack,
            cold_factor: 1.5,
            cold_burst: 5.0,
        };
        let settings = RoutingSettings {
            address: own.address,
            failure_domain: own.failure_domain.clone(),
            failure_domains: (0..self.deployment.domains)
                .map(|it| Self::domain_name(it).parse().unwrap())
                .collect(),
            ..settings(budget, self.seed * 100_000 + n as u64 + 1_000 * start)
        };
        let gateway = TestGateway::with(settings, RouteKind::Idempotent, self.directory());
        SimulatedGateway { gateway, peers: PeerTable::new(own, &[]), started: self.now, start }
    }

    fn schedule(&mut self, delay: u64, action: Action) {
        self.queue.push(Reverse((self.now + delay, self.next_action)));
        self.actions.insert(self.next_action, action);
        self.next_action += 1;
    }

    fn run_for(&mut self, time: u64) {
        let end = self.now + time;
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

    fn gateway(&mut self, n: usize) -> &mut TestGateway {
        let SimulatedGateway { gateway, started, .. } = &mut self.gateways[n];
        gateway.now = GATEWAY_START + self.now - *started;
        gateway
    }

    fn is_open(&self, key: CallKey) -> bool {
        self.gateways[key.gateway].start == key.start && self.calls.contains_key(&key)
    }

    fn is_current(&self, key: CallKey, attempt: u32) -> bool {
        let call = self.calls.get(&key).filter(|_| self.is_open(key));
        call.is_some_and(|it| it.attempt == attempt && !it.is_silent)
    }

    /// Whether two places of these domains reach each other.
    fn is_reachable(&self, gateway: usize, server: usize) -> bool {
        let is_same = self.domain(gateway) == self.domain(server);
        match self.disturbance {
            Disturbance::Isolation => !self.is_cut,
            Disturbance::Cuts | Disturbance::StartsInCuts => !self.is_cut || is_same,
            Disturbance::None
            | Disturbance::StartsAtOnce
            | Disturbance::Restarts
            | Disturbance::NoAgents
            | Disturbance::LargeCounts
            | Disturbance::Pauses => true,
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::CallerSends => self.send(),
            Action::ReachesServer { key, attempt, server } => self.reach(key, attempt, server),
            Action::Ends { key, attempt, result } => {
                if self.is_current(key, attempt) {
                    let effect = self.gateway(key.gateway).end_attempt(key.number, result);
                    self.follow(key, &effect);
                }
            }
            Action::FallsSilent { key, attempt } => {
                if self.is_current(key, attempt) {
                    self.calls.get_mut(&key).unwrap().is_silent = true;
                    let result = AttemptResult::Stalled;
                    let effect = self.gateway(key.gateway).end_attempt(key.number, result);
                    self.follow(key, &effect);
                }
            }
            Action::WaitEnds { key } => {
                if self.is_open(key) {
                    let event = RoutingEvent::WaitEnded(RoutingRequest {
                        waited: Duration::from_millis(100),
                        ..request(key.number)
                    });
                    let effect = self.gateway(key.gateway).dispatch_for_effect(event);
                    self.follow(key, &effect);
                }
            }
            Action::AgentsReport => {
                self.report();
                self.schedule(REPORT_INTERVAL, Action::AgentsReport);
            }
            Action::GroupBreaks => {
                let group = self.rng.random_range(0..3);
                let calls = self.calls.iter();
                let lost = calls.filter(|(_, it)| it.server % 3 == group && !it.is_silent);
                let lost: Vec<_> = lost.map(|(key, it)| (*key, it.attempt)).collect();
                for (key, attempt) in lost {
                    let delay = self.rng.random_range(0..30) * MILLISECOND;
                    let result = AttemptResult::Lost;
                    self.schedule(delay, Action::Ends { key, attempt, result });
                }
                let delay = self.rng.random_range(0..12) * SECOND_US;
                self.schedule(delay, Action::GroupBreaks);
            }
            Action::RushBegins { is_repeated } => {
                self.is_rush = true;
                let length = self.rng.random_range(2..12) * SECOND_US;
                self.schedule(length, Action::RushEnds { is_repeated });
            }
            Action::RushEnds { is_repeated } => {
                self.is_rush = false;
                let delay = self.rng.random_range(10..60) * SECOND_US;
                if is_repeated {
                    self.schedule(delay, Action::RushBegins { is_repeated });
                }
            }
            Action::CutBegins { length } => {
                self.is_cut = true;
                if self.rng.random_bool(0.5) {
                    let earlier = self.rng.random_range(0..6) * SECOND_US;
                    let delay = length.saturating_sub(earlier);
                    self.schedule(delay, Action::RushBegins { is_repeated: false });
                }
                self.schedule(length, Action::CutEnds);
            }
            Action::CutEnds => {
                self.is_cut = false;
                let length = self.rng.random_range(0..30) * SECOND_US;
                let delay = self.rng.random_range(2..30) * SECOND_US;
                self.schedule(delay, Action::CutBegins { length });
            }
            Action::AllStart => {
                self.subscribers.iter_mut().for_each(BTreeMap::clear);
                (0..self.deployment.size).for_each(|n| self.start_again(n));
                let delay = self.rng.random_range(1..15) * SECOND_US;
                self.schedule(delay, Action::AllStart);
            }
            Action::GatewayStarts => {
                let gateway = self.rng.random_range(0..self.deployment.size);
                self.start_again(gateway);
                let delay = self.rng.random_range(0..SECOND_US);
                self.schedule(delay, Action::GatewayStarts);
            }
            Action::ServersPause => {
                let group = self.rng.random_range(0..3);
                self.paused[group] = true;
                let length = self.rng.random_range(1..20) * SECOND_US;
                self.schedule(length, Action::ServersGoOn { group });
                let delay = self.rng.random_range(5..25) * SECOND_US;
                self.schedule(delay, Action::ServersPause);
            }
            Action::ServersGoOn { group } => {
                self.paused[group] = false;
                let (now, later) = self.held.drain(..).partition(|it| it.2 % 3 == group);
                self.held = later;
                let now: Vec<_> = now;
                now.into_iter().for_each(|(key, attempt, server)| self.reach(key, attempt, server));
            }
        }
    }

    fn start_again(&mut self, gateway: usize) {
        let start = self.gateways[gateway].start + 1;
        self.gateways[gateway] = self.new_gateway(gateway, start);
        self.calls.retain(|key, _| key.gateway != gateway);
    }

    /// Agents report to the gateways that subscribe to them, and list these.
    fn report(&mut self) {
        if self.disturbance == Disturbance::NoAgents {
            return;
        }
        for agent in 0..usize::from(AGENT_COUNT) {
            for gateway in 0..self.deployment.size {
                if self.is_reachable(gateway, agent) {
                    self.subscribers[agent].insert(gateway, self.now);
                }
            }
            let now = self.now;
            self.subscribers[agent].retain(|_, at| now - *at < SUBSCRIPTION_TTL);
            let subscribers: Vec<usize> = self.subscribers[agent].keys().copied().collect();
            let list: Vec<_> = subscribers.iter().map(|it| self.location(*it)).collect();
            for gateway in subscribers {
                if self.is_reachable(gateway, agent) {
                    self.hear(gateway, agent, &list);
                }
            }
        }
    }

    fn hear(&mut self, n: usize, agent: usize, list: &[GatewayLocation]) {
        let mut subscribers = u32::try_from(list.len()).unwrap();
        if self.disturbance == Disturbance::LargeCounts {
            subscribers *= 40;
        }
        self.gateway(n);
        let SimulatedGateway { gateway, peers, .. } = &mut self.gateways[n];
        let now = Moment(gateway.now);
        peers.record_seen(list.to_vec(), now);
        let report = LoadReport { running: 0, waiting: 0, is_open: true };
        let gateway_count = peers.count(now).max(subscribers);
        let address = address(u16::try_from(agent).unwrap());
        gateway.dispatch(RoutingEvent::GatewaysSeen(peers.recent(now)));
        let event = RoutingEvent::LoadReported { address, report, gateway_count, detail: None };
        gateway.dispatch(event);
    }

    fn send(&mut self) {
        let gateway = self.rng.random_range(0..self.deployment.size);
        self.sent.push(self.now);
        let (number, effect) = self.gateway(gateway).arrive();
        let key = CallKey { gateway, start: self.gateways[gateway].start, number };
        self.follow(key, &effect);
        let rate = if self.is_rush { self.rates.1 } else { self.rates.0 };
        let pause = -self.rng.random_range(f64::EPSILON..1.0).ln() / rate;
        let pause = (pause.min(LONGEST_PAUSE) * SECOND_US as f64) as u64;
        self.schedule(pause, Action::CallerSends);
    }

    /// Carries out the effect on a request.
    fn follow(&mut self, key: CallKey, effect: &RoutingEffect) {
        if let Some(id) = server_of(effect) {
            let server: usize = id.trim_start_matches("i-").parse().unwrap();
            let attempt = self.calls.get(&key).map_or(0, |it| it.attempt) + 1;
            self.calls.insert(key, OpenCall { attempt, server, is_silent: false });
            if !self.is_reachable(key.gateway, server) {
                let result = AttemptResult::NeverSent;
                self.schedule(150 * MILLISECOND, Action::Ends { key, attempt, result });
                return;
            }
            let delay = self.rng.random_range(0..20) * MILLISECOND;
            self.schedule(delay, Action::ReachesServer { key, attempt, server });
            self.schedule(SILENCE, Action::FallsSilent { key, attempt });
            return;
        }
        match effect {
            RoutingEffect::Wait(_, delay) => {
                let delay = u64::try_from(delay.as_micros()).unwrap();
                let call = OpenCall { attempt: 0, server: 0, is_silent: true };
                self.calls.entry(key).or_insert(call).is_silent = true;
                self.schedule(delay, Action::WaitEnds { key });
            }
            _ => {
                self.calls.remove(&key);
                self.gateway(key.gateway).dispatch(RoutingEvent::RequestEnded(key.number));
            }
        }
    }

    fn reach(&mut self, key: CallKey, attempt: u32, server: usize) {
        if self.paused[server % 3] {
            self.held.push((key, attempt, server));
            return;
        }
        let arrivals = self.arrivals.entry(key).or_default();
        *arrivals += 1;
        if *arrivals > 1 {
            self.record_retry();
        }
        let (longest, result) = match self.is_rush {
            true => {
                let failures =
                    [AttemptResult::Lost, AttemptResult::NotRun, AttemptResult::ServerError];
                (50, failures[self.rng.random_range(0..3)])
            }
            false => (1_500, AttemptResult::Answered),
        };
        let delay = self.rng.random_range(10..longest) * MILLISECOND;
        self.schedule(delay, Action::Ends { key, attempt, result });
    }

    /// The bound as it is stated: the requests are those of the window, of the one before it or of the
    /// one half a window before it, whichever has most.
    fn record_retry(&mut self) {
        self.retries.push(self.now);
        let count_in = |times: &[u64], end: u64| {
            let until = times.partition_point(|it| *it <= end);
            until - times.partition_point(|it| *it + WINDOW <= end)
        };
        let ends = [self.now, self.now - WINDOW / 2, self.now - WINDOW];
        let requests = ends.iter().map(|it| count_in(&self.sent, *it)).max().unwrap();
        let retries = count_in(&self.retries, self.now) as f64;
        let bound = RETRY_RATIO * requests as f64 + self.deployment.slack;
        self.most_used = self.most_used.max(retries / bound);
        if retries > bound && self.violations.len() < 3 {
            let seconds = (self.now - START) as f64 / SECOND_US as f64;
            self.violations.push(format!(
                "seed {}: {retries} retries of {requests} requests, bound {bound:.0}, at {seconds:.3} s",
                self.seed
            ));
        }
    }
}

fn explore(disturbance: Disturbance, time: u64) {
    for deployment in DEPLOYMENTS {
        let seeds = match deployment.size {
            0..20 => 0..12,
            20..50 => 0..4,
            50..200 => 0..2,
            _ => 0..1,
        };
        let mut most_used: f64 = 0.0;
        for seed in seeds {
            let mut simulation = Simulation::new(deployment, seed, disturbance);
            simulation.run_for(time);
            expect_that!(simulation.violations, is_empty(), "{disturbance:?}, {deployment:?}");
            expect_that!(simulation.retries.len(), gt(0), "{disturbance:?}, {deployment:?}");
            most_used = most_used.max(simulation.most_used);
        }
        let Deployment { size, slack, .. } = deployment;
        println!("{disturbance:?}, {size} gateways, slack {slack}: {most_used:.2} of the bound");
    }
}

#[gtest]
fn failing_servers_do_not_exhaust_the_bound() {
    explore(Disturbance::None, 120 * SECOND_US);
}

#[gtest]
fn separated_domains_keep_the_common_bound() {
    explore(Disturbance::Cuts, 120 * SECOND_US);
}

#[gtest]
fn gateways_that_start_in_a_cut_keep_the_common_bound() {
    explore(Disturbance::StartsInCuts, 120 * SECOND_US);
}

#[gtest]
fn lone_gateways_keep_the_common_bound() {
    explore(Disturbance::Isolation, 120 * SECOND_US);
}

#[gtest]
fn gateways_that_start_together_keep_the_common_bound() {
    explore(Disturbance::StartsAtOnce, 60 * SECOND_US);
}

#[gtest]
fn restarted_gateways_keep_the_common_bound() {
    explore(Disturbance::Restarts, 120 * SECOND_US);
}

#[gtest]
fn gateways_without_agents_keep_the_common_bound() {
    explore(Disturbance::NoAgents, 120 * SECOND_US);
}

#[gtest]
fn too_large_counts_still_allow_retries() {
    explore(Disturbance::LargeCounts, 60 * SECOND_US);
}

#[gtest]
fn requests_that_paused_servers_receive_late_keep_the_common_bound() {
    explore(Disturbance::Pauses, 120 * SECOND_US);
}

/// Parts of less than one retry, saved up by each of many gateways.
#[gtest]
fn small_parts_of_many_gateways_make_no_rush() {
    for (size, slack, seed) in [(99, 20.0, 1), (380, 94.0, 2), (380, 20.0, 3)] {
        let deployment = Deployment { size, domains: 3, slack };
        let mut simulation = Simulation::new(deployment, seed, Disturbance::None);
        simulation.report();
        let fail_each = |simulation: &mut Simulation, result| {
            let mut retries = 0;
            for n in 0..size {
                let gateway = simulation.gateway(n);
                let (number, effect) = gateway.arrive();
                let mut effect = server_of(&effect).map(|_| gateway.end_attempt(number, result));
                while effect.as_ref().and_then(server_of).is_some() {
                    retries += 1;
                    effect = Some(gateway.end_attempt(number, result));
                }
                gateway.dispatch(RoutingEvent::RequestEnded(number));
            }
            retries
        };
        for _ in 0..20 {
            simulation.now += SECOND_US;
            fail_each(&mut simulation, AttemptResult::Answered);
        }
        simulation.now += 3 * WINDOW;
        let retries = fail_each(&mut simulation, AttemptResult::Lost);
        let bound = RETRY_RATIO * size as f64 + slack;
        println!("{size} gateways, slack {slack}: {retries} retries, bound {bound:.0}");
        expect_that!(f64::from(retries), le(bound), "{size} gateways, slack {slack}");
        expect_that!(f64::from(retries), ge(bound * 0.2), "{size} gateways, slack {slack}");
    }
}

/// Cold servers are limited in the same way.
#[gtest]
fn separated_domains_keep_the_cold_limit() {
    for (size, domains) in [(9, 3), (37, 3), (99, 6)] {
        let deployment = Deployment { size, domains, slack: 94.0 };
        let mut simulation = Simulation::new(deployment, 1, Disturbance::Cuts);
        for is_cut in [false, true] {
            simulation.is_cut = is_cut;
            for _ in 0..30 {
                simulation.now += SECOND_US;
                simulation.report();
            }
        }
        let mut sent = 0;
        for n in 0..size {
            let cold = ServerRecord { warm_up_left: Duration::from_secs(60), ..server(1, "a") };
            let gateway = simulation.gateway(n);
            gateway.dispatch(RoutingEvent::DirectoryRead(vec![cold]));
            while server_of(&gateway.arrive().1).is_some() {
                sent += 1;
            }
        }
        let bound = COLD_RATE * 1.5 + 5.0;
        println!("{size} gateways: {sent} requests to a cold server, bound {bound}");
        expect_that!(f64::from(sent), le(bound), "{size} gateways");
    }
}
