//! Plays many gateways' reducers, and the sums of agents, while one client account presses on a
//! service that cannot take all requests. Without a network; all choices are seeded.

use std::{collections::BTreeMap, time::Duration};

use alderbay::{
    routing::{
        AccountDemand, AccountRecord, AccountStanding, AnswerProgress, AttemptResult,
        BudgetSettings, CallerLimits, CatalogSource, CatalogVersion, DemandNews, GatewayLocation,
        LoadReport, NewsTable, RequestNumber, RequestSize, RouteCatalog, RouteKind, RouteRecord,
        RouteTarget, RoutingChange, RoutingEffect, RoutingEvent, RoutingRequest, RoutingSettings,
        RoutingState, ServerRecord, ServiceRecord, ShareScope, reduce,
    },
    units::{ByteCount, ClientAccount, Moment, ServiceName, TokenCount},
    wire::{Datagram, DatagramExtension},
};
use googletest::prelude::*;
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::gateway_routing::{SECOND_US, address, request, server, server_of, settings};

const MILLISECOND: u64 = SECOND_US / 1_000;
const STEP: u64 = 5 * MILLISECOND;
const SLOTS: usize = 10;
const SERVICE_TIME: std::ops::Range<u64> = 1_600 * MILLISECOND..3_800 * MILLISECOND;
/// Longest wait of a request at its server for its answer to be on time.
const LONGEST_WAIT: u64 = 400 * MILLISECOND;
/// Requests per second that one server takes.
const SERVER_RATE: f64 = 10.0 / 2.7;
const DOMAINS: [&str; 3] = ["a", "b", "c"];
/// The account that presses.
const LARGE: usize = 0;
const SMALL_COUNT: usize = 9;
/// Part of what the servers take that the large account asks for when it does not press.
const LARGE_PART: f64 = 0.3;
/// The same for each other account.
const SMALL_PART: f64 = 0.6 / SMALL_COUNT as f64;
/// Part of their service without the pressing account that the others keep.
const KEPT: f64 = 0.9;
/// Part of the service of all requests below which an account's requests count as starved.
const STARVED: f64 = 0.25;
/// Time in which shares follow a change: news reaches agents (0.8 s) and their sums gateways (1 s), the
/// demand before it decays (3 s), and the requests that run end (3.8 s).
const SETTLING_TIME: u64 = 9 * SECOND_US;

/// Whether requests belong to accounts. Without accounts there are no shares.
#[derive(Clone, Copy, PartialEq)]
enum Accounts {
    Known,
    Unknown,
}

/// What goes wrong.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// Half of the news is lost, the rest up to a second late, some of it comes twice.
    BadNews,
    /// A gateway starts again each second.
    Restarts,
    /// No news at all.
    NoNews,
    /// The large account states absurd sizes.
    FalseSizes,
}

struct PlayServer {
    /// End times of the requests that run or wait. They begin in the order of their arrival.
    ends: Vec<u64>,
    news: NewsTable,
    /// Gateways with the time of their last subscription.
    subscribers: BTreeMap<usize, u64>,
}

struct PlayGateway {
    state: RoutingState,
    started: u64,
    next_number: u64,
}

enum News {
    ToAgent { from: usize, server: usize, news: DemandNews },
    ToGateway { server: usize, to: usize, subscribers: u32, news: DemandNews },
}

struct Play {
    rng: SmallRng,
    /// Draws losses and delays of news.
    news_rng: SmallRng,
    now: u64,
    accounts: Accounts,
    fault: Fault,
    /// The last domain is cut off from the others.
    is_cut: bool,
    gateways: Vec<PlayGateway>,
    servers: Vec<PlayServer>,
    /// Running requests: end, gateway, start time of the gateway, number.
    running: Vec<(u64, usize, u64, RequestNumber)>,
    transit: Vec<(u64, News)>,
    /// Requests per second of each account, as a part of what all servers take.
    load: Vec<f64>,
    /// Gateways that the callers of each account use.
    callers: Vec<Vec<usize>>,
    /// Requests and served requests by account, in the present window.
    counts: Vec<(u32, u32)>,
    changes: Vec<RoutingChange>,
}

fn service() -> ServiceName {
    "s".parse().unwrap()
}

fn account(n: usize) -> ClientAccount {
    format!("account-{n}").parse().unwrap()
}

fn catalog(accounts: Accounts) -> Box<RouteCatalog> {
    let route = RouteRecord {
        name: "r".parse().unwrap(),
        host: "h".into(),
        path_prefix: "/a/".into(),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(8),
        latency_objective: Some(Duration::from_millis(400)),
        gap_objective: None,
        rank: None,
        targets: vec![RouteTarget { service: service(), weight: 1.0 }],
        max_attempts: 2,
        is_public: false,
    };
    let record = |n: usize| AccountRecord {
        account: account(n),
        api_keys: vec![format!("key-{n}").into()],
        rank: None,
    };
    let records = match accounts {
        Accounts::Known => Some((0..=SMALL_COUNT).map(record).collect()),
        Accounts::Unknown => None,
    };
    Box::new(RouteCatalog::new(
        CatalogVersion(1),
        vec![route],
        BTreeMap::from([(service(), ServiceRecord::default())]),
        records,
        CallerLimits { max_body: ByteCount(1_000) },
    ))
}

fn servers(count: usize) -> Vec<ServerRecord> {
    let record = |n: usize| ServerRecord {
        slots: u32::try_from(SLOTS).unwrap(),
        ..server(u16::try_from(n).unwrap(), DOMAINS[n % 3])
    };
    (0..count).map(record).collect()
}

fn location(n: usize) -> GatewayLocation {
    let address = address(1_000 + u16::try_from(n).unwrap());
    GatewayLocation { address, failure_domain: DOMAINS[n % 3].parse().unwrap() }
}

impl Play {
    fn new(
        (gateway_count, server_count): (usize, usize),
        seed: u64,
        accounts: Accounts,
        fault: Fault,
    ) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let new_server = |_| PlayServer {
            ends: Vec::new(),
            news: NewsTable::default(),
            subscribers: BTreeMap::new(),
        };
        let mut callers_of = |n: usize| -> Vec<usize> {
            let count = if n == LARGE { gateway_count } else { 5 };
            (0..count).map(|_| rng.random_range(0..gateway_count)).collect()
        };
        let callers = (0..=SMALL_COUNT).map(&mut callers_of).collect();
        let mut play = Self {
            rng,
            news_rng: SmallRng::seed_from_u64(seed),
            now: 100 * SECOND_US,
            accounts,
            fault,
            is_cut: false,
            gateways: Vec::new(),
            servers: (0..server_count).map(new_server).collect(),
            running: Vec::new(),
            transit: Vec::new(),
            load: vec![SMALL_PART; SMALL_COUNT + 1],
            callers,
            counts: vec![(0, 0); SMALL_COUNT + 1],
            changes: Vec::new(),
        };
        play.load[LARGE] = LARGE_PART;
        play.gateways = (0..gateway_count).map(|n| play.new_gateway(n, seed)).collect();
        play
    }

    fn new_gateway(&self, n: usize, seed: u64) -> PlayGateway {
        let GatewayLocation { address, failure_domain } = location(n);
        let mut settings = RoutingSettings {
            address,
            failure_domain,
            ..settings(BudgetSettings::default(), seed * 1_000 + n as u64)
        };
        settings.admission.account_shares = ShareScope::All;
        let mut state = RoutingState::new(settings);
        let start = Moment(0);
        let catalog = catalog(self.accounts);
        let source = CatalogSource::Store;
        reduce(&mut state, start, RoutingEvent::CatalogRead { source, catalog });
        let directory = RoutingEvent::DirectoryRead(servers(self.servers.len()));
        reduce(&mut state, start, directory);
        PlayGateway { state, started: self.now, next_number: 0 }
    }

    fn dispatch(&mut self, gateway: usize, event: RoutingEvent) -> Vec<RoutingEffect> {
        let target = &mut self.gateways[gateway];
        let now = Moment(10 * SECOND_US + self.now - target.started);
        let effects = reduce(&mut target.state, now, event);
        let change = |it: &RoutingEffect| match it {
            RoutingEffect::StateChanged(change) => Some(change.clone()),
            _ => None,
        };
        self.changes.extend(effects.iter().filter_map(change));
        effects
    }

    fn are_connected(&self, gateway: usize, server: usize) -> bool {
        !self.is_cut || (gateway % 3 == 2) == (server % 3 == 2)
    }

    /// Plays for a while, and returns requests and served requests by account.
    fn run(&mut self, length: u64) -> Vec<(u32, u32)> {
        self.counts = vec![(0, 0); self.load.len()];
        let end = self.now + length;
        while self.now < end {
            self.now += STEP;
            self.end_requests();
            self.deliver_news();
            if self.is_due(100 * MILLISECOND) {
                self.report_loads();
            }
            if self.is_due(800 * MILLISECOND) {
                self.subscribe();
            }
            if self.fault == Fault::Restarts && self.is_due(SECOND_US) {
                let gateway = self.rng.random_range(0..self.gateways.len());
                self.gateways[gateway] = self.new_gateway(gateway, self.now);
            }
            for account in 0..self.load.len() {
                let rate = self.load[account] * SERVER_RATE * self.servers.len() as f64;
                let mut expected = rate * STEP as f64 / SECOND_US as f64;
                while expected > 0.0 {
                    if self.rng.random_bool(expected.min(1.0)) {
                        self.call(account);
                    }
                    expected -= 1.0;
                }
            }
        }
        self.counts.clone()
    }

    fn is_due(&self, interval: u64) -> bool {
        self.now % interval < STEP
    }

    fn end_requests(&mut self) {
        let now = self.now;
        for server in &mut self.servers {
            server.ends.retain(|it| *it > now);
        }
        let (ended, running) = self.running.iter().partition(|it| it.0 <= now);
        self.running = running;
        let ended: Vec<(u64, usize, u64, RequestNumber)> = ended;
        for (_, gateway, started, number) in ended {
            if self.gateways[gateway].started == started {
                let (result, progress) = (AttemptResult::Answered, AnswerProgress::Whole);
                self.dispatch(gateway, RoutingEvent::AttemptEnded { number, result, progress });
                self.dispatch(gateway, RoutingEvent::RequestEnded(number));
            }
        }
    }

    fn report_loads(&mut self) {
        let lists = self.is_due(SECOND_US);
        for n in 0..self.servers.len() {
            let now = self.now;
            let server = &mut self.servers[n];
            server.subscribers.retain(|_, at| now - *at < 3 * SECOND_US);
            let waiting = server.ends.len().saturating_sub(SLOTS);
            let report = LoadReport {
                running: u32::try_from(server.ends.len() - waiting).unwrap(),
                waiting: u32::try_from(waiting).unwrap(),
                is_open: true,
            };
            let news = lists.then(|| server.news.sum(Moment(now))).flatten();
            let subscribers: Vec<usize> = server.subscribers.keys().copied().collect();
            let count = u32::try_from(subscribers.len()).unwrap();
            for to in subscribers {
                if !self.are_connected(to, n) {
                    continue;
                }
                let gateway_count = u32::try_from(self.gateways.len()).unwrap();
                let server = address(u16::try_from(n).unwrap());
                self.dispatch(
                    to,
                    RoutingEvent::LoadReported {
                        address: server,
                        report,
                        gateway_count,
                        detail: None,
                    },
                );
                if let Some(news) = news.clone() {
                    self.send(News::ToGateway { server: n, to, subscribers: count, news });
                }
            }
        }
    }

    fn subscribe(&mut self) {
        for from in 0..self.gateways.len() {
            let gateway = &self.gateways[from];
            let now = Moment(10 * SECOND_US + self.now - gateway.started);
            let news = gateway.state.demand_news(&service(), now);
            let index = |id: &str| id.trim_start_matches("i-").parse::<usize>().unwrap();
            let subset: Vec<usize> =
                gateway.state.subset().map(|it| index(it.record.id.as_str())).collect();
            for server in subset {
                if self.are_connected(from, server) {
                    self.servers[server].subscribers.insert(from, self.now);
                    self.send(News::ToAgent { from, server, news: news.clone() });
                }
            }
        }
    }

    fn send(&mut self, news: News) {
        let longest = if self.fault == Fault::BadNews { SECOND_US } else { 20 * MILLISECOND };
        if self.fault == Fault::NoNews
            || self.fault == Fault::BadNews && self.news_rng.random_bool(0.5)
        {
            return;
        }
        if self.fault == Fault::BadNews
            && self.news_rng.random_bool(0.2)
            && let News::ToAgent { from, server, news } = &news
        {
            let copy = News::ToAgent { from: *from, server: *server, news: news.clone() };
            self.transit.push((self.now + self.news_rng.random_range(0..2 * SECOND_US), copy));
        }
        self.transit.push((self.now + self.news_rng.random_range(0..longest), news));
    }

    fn deliver_news(&mut self) {
        let (due, transit) =
            std::mem::take(&mut self.transit).into_iter().partition(|it| it.0 <= self.now);
        self.transit = transit;
        let due: Vec<(u64, News)> = due;
        for (_, news) in due {
            match news {
                News::ToAgent { from, server, news } => {
                    let sender = location(from).address;
                    self.servers[server].news.record(sender, news, Moment(self.now));
                }
                News::ToGateway { server, to, subscribers, news } => {
                    let address = address(u16::try_from(server).unwrap());
                    self.dispatch(to, RoutingEvent::DemandReported { address, news, subscribers });
                }
            }
        }
    }

    /// A caller of an account sends a request.
    fn call(&mut self, account: usize) {
        let caller = self.rng.random_range(0..self.callers[account].len());
        let gateway = self.callers[account][caller];
        let number = RequestNumber(self.gateways[gateway].next_number);
        self.gateways[gateway].next_number += 1;
        let is_false = self.fault == Fault::FalseSizes && account == LARGE;
        let prompt = if is_false { 1 << 50 } else { self.rng.random_range(500..1_500) };
        let api_key = (self.accounts == Accounts::Known).then(|| format!("key-{account}").into());
        let size = RequestSize { prompt: TokenCount(prompt), output: TokenCount(100) };
        let caller_request = RoutingRequest { api_key, size: Some(size), ..request(number) };
        let mut effects = self.dispatch(gateway, RoutingEvent::RequestArrived(caller_request));
        self.counts[account].0 += 1;
        let started = self.gateways[gateway].started;
        while let Some(id) = effects.iter().find_map(server_of) {
            let server: usize = id.trim_start_matches("i-").parse().unwrap();
            if self.are_connected(gateway, server) {
                let ends = &mut self.servers[server].ends;
                ends.sort_unstable_by(|a, b| b.cmp(a));
                let begin = ends.get(SLOTS - 1).map_or(self.now, |it| *it);
                let end = begin + self.rng.random_range(SERVICE_TIME);
                self.counts[account].1 += u32::from(begin - self.now <= LONGEST_WAIT);
                ends.push(end);
                self.running.push((end, gateway, started, number));
                return;
            }
            let (result, progress) = (AttemptResult::NeverSent, AnswerProgress::Nothing);
            effects =
                self.dispatch(gateway, RoutingEvent::AttemptEnded { number, result, progress });
        }
        self.dispatch(gateway, RoutingEvent::RequestEnded(number));
    }
}

/// Part of the requests of all accounts but the large one that were served.
fn small_part(counts: &[(u32, u32)]) -> f64 {
    part(&counts[1..])
}

fn part(counts: &[(u32, u32)]) -> f64 {
    let (asked, served) = sums(counts);
    f64::from(served) / f64::from(asked.max(1))
}

fn sums(counts: &[(u32, u32)]) -> (u32, u32) {
    (counts.iter().map(|it| it.0).sum(), counts.iter().map(|it| it.1).sum())
}

/// Small and large fleets: gateways and servers.
const SIZES: [(usize, usize); 2] = [(12, 18), (44, 72)];

/// Plays with a large account that presses with a multiple of its load, after a settling time.
fn press(
    size: (usize, usize),
    seed: u64,
    (accounts, fault): (Accounts, Fault),
    factor: f64,
) -> (Play, Vec<(u32, u32)>) {
    let mut play = Play::new(size, seed, accounts, fault);
    play.load[LARGE] *= factor;
    play.run(SETTLING_TIME);
    let counts = play.run(20 * SECOND_US);
    (play, counts)
}

/// The small accounts keep their service under a fault. Returns parts of the small and large.
fn expect_kept(name: &str, size: (usize, usize), seed: u64, fault: Fault) {
    let (_, calm) = press(size, seed, (Accounts::Known, Fault::None), 1.0);
    let (_, pressed) = press(size, seed, (Accounts::Known, fault), 3.0);
    let (_, reference) = press(size, seed, (Accounts::Unknown, fault), 3.0);
    let floor = KEPT * small_part(&calm);
    println!(
        "{name}, {size:?}, seed {seed}: small accounts {:.3} (calm {:.3}, without shares {:.3}), \
         large {:.3} (without shares {:.3}), all {:.3} ({:.3})",
        small_part(&pressed),
        small_part(&calm),
        small_part(&reference),
        part(&pressed[..1]),
        part(&reference[..1]),
        part(&pressed),
        part(&reference),
    );
    expect_that!(small_part(&pressed), ge(floor), "{size:?}, seed {seed}");
    // Otherwise the load would not show that shares help.
    expect_that!(small_part(&reference), lt(floor), "{size:?}, seed {seed}");
}

#[gtest]
fn small_accounts_keep_their_service_while_one_presses() {
    for (size, seed) in SIZES.into_iter().zip([11, 12]) {
        expect_kept("pressed", size, seed, Fault::None);
    }
}

#[gtest]
fn lost_late_and_repeated_news_takes_no_service() {
    expect_kept("bad news", SIZES[0], 21, Fault::BadNews);
}

#[gtest]
fn gateways_that_start_again_take_no_service() {
    expect_kept("restarts", SIZES[0], 31, Fault::Restarts);
}

#[gtest]
fn false_sizes_press_only_their_own_account() {
    expect_kept("false sizes", SIZES[0], 41, Fault::FalseSizes);
}

#[gtest]
fn pressing_account_is_not_starved() {
    for (size, seed) in SIZES.into_iter().zip([51, 52]) {
        for factor in [3.0, 10.0] {
            let (_, pressed) = press(size, seed, (Accounts::Known, Fault::None), factor);
            let (large, all) = (part(&pressed[..1]), part(&pressed));
            println!("large account, {size:?}, {factor} times: {large:.3}, all {all:.3}");
            expect_that!(large, ge(STARVED * all), "{size:?}, seed {seed}, {factor} times");
        }
    }
}

#[gtest]
fn unused_shares_are_lent() {
    for (size, seed) in SIZES.into_iter().zip([61, 62]) {
        let run = |accounts| {
            let mut play = Play::new(size, seed, accounts, Fault::None);
            play.load = vec![SMALL_PART / 4.0; SMALL_COUNT + 1];
            play.load[LARGE] = 1.3;
            play.run(SETTLING_TIME);
            play.run(20 * SECOND_US)
        };
        let (with, without) = (run(Accounts::Known), run(Accounts::Unknown));
        println!("lent, {size:?}: large {:?}, without shares {:?}", with[LARGE], without[LARGE]);
        let floor = KEPT * f64::from(without[LARGE].1);
        expect_that!(f64::from(with[LARGE].1), ge(floor), "{size:?}, seed {seed}");
    }
}

#[gtest]
fn load_of_all_accounts_is_served_as_without_shares() {
    for (size, seed) in SIZES.into_iter().zip([71, 72]) {
        let run = |accounts| {
            let mut play = Play::new(size, seed, accounts, Fault::None);
            play.load.iter_mut().for_each(|it| *it *= 1.6);
            play.run(SETTLING_TIME);
            play.run(20 * SECOND_US)
        };
        let (with, without) = (run(Accounts::Known), run(Accounts::Unknown));
        println!(
            "all press, {size:?}: {:.3}, without shares {:.3}; large {:.3}, {:.3}",
            part(&with),
            part(&without),
            part(&with[..1]),
            part(&without[..1])
        );
        expect_that!(part(&with), ge(KEPT * part(&without)), "{size:?}, seed {seed}");
    }
}

#[gtest]
fn returning_accounts_are_served_within_the_settling_time() {
    for (size, seed) in SIZES.into_iter().zip([81, 82]) {
        let (_, calm) = press(size, seed, (Accounts::Known, Fault::None), 1.0);
        let mut play = Play::new(size, seed, Accounts::Known, Fault::None);
        play.load = vec![0.0; SMALL_COUNT + 1];
        play.load[LARGE] = 3.0 * LARGE_PART;
        play.run(20 * SECOND_US);
        play.load[1..].fill(SMALL_PART);
        let first = small_part(&play.run(SETTLING_TIME));
        let then = small_part(&play.run(10 * SECOND_US));
        println!("return, {size:?}: first {first:.3}, then {then:.3}");
        expect_that!(then, ge(KEPT * small_part(&calm)), "{size:?}, seed {seed}");
    }
}

#[gtest]
fn cut_leaves_both_sides_serving() {
    let mut play = Play::new(SIZES[0], 91, Accounts::Known, Fault::None);
    play.load[LARGE] *= 3.0;
    play.run(10 * SECOND_US);
    play.is_cut = true;
    play.run(SETTLING_TIME);
    let mut by_side = [0, 0];
    for _ in 0..10 {
        play.run(SECOND_US);
        for (_, gateway, _, _) in &play.running {
            by_side[usize::from(gateway % 3 == 2)] += 1;
        }
    }
    // Requests that run on the two sides, as a part of the places there, in each of the seconds.
    let places = [12.0, 6.0].map(|it| it * SLOTS as f64 * 10.0);
    for (running, places) in by_side.into_iter().zip(places) {
        println!("cut: {running} of {places} places in use");
        expect_that!(f64::from(running), ge(places / 2.0));
    }
}

#[gtest]
fn end_of_a_cut_brings_no_burst() {
    let mut play = Play::new(SIZES[0], 92, Accounts::Known, Fault::None);
    play.load[LARGE] *= 3.0;
    play.run(10 * SECOND_US);
    let before = play.run(10 * SECOND_US);
    play.is_cut = true;
    play.run(10 * SECOND_US);
    play.is_cut = false;
    play.run(SETTLING_TIME);
    let after = play.run(10 * SECOND_US);
    println!(
        "cut: small accounts {:.3} before, {:.3} after; large {:.3}, {:.3}",
        small_part(&before),
        small_part(&after),
        part(&before[..1]),
        part(&after[..1])
    );
    expect_that!(small_part(&after), ge(KEPT * small_part(&before)));
}

#[gtest]
fn sums_of_subsets_show_the_demand_of_all() {
    for (gateway_count, seed) in [(44, 101), (99, 102)] {
        let mut play = Play::new((gateway_count, 72), seed, Accounts::Known, Fault::None);
        play.run(8 * SECOND_US);
        let large = account(LARGE);
        let standing_of = |it: &PlayGateway| -> AccountStanding {
            let now = Moment(10 * SECOND_US + play.now - it.started);
            it.state.account_standings(now)[&service()][&large]
        };
        let demands: Vec<f64> = play.gateways.iter().map(|it| standing_of(it).demand).collect();
        let asked = LARGE_PART * SERVER_RATE * 72.0 * 1_100.0;
        let (least, most) = demands
            .iter()
            .fold((f64::INFINITY, 0.0_f64), |it, demand| (it.0.min(*demand), it.1.max(*demand)));
        println!("{gateway_count} gateways: demand {least:.0} to {most:.0}, asked {asked:.0}");
        expect_that!(least, ge(asked * 0.7), "{gateway_count} gateways");
        expect_that!(most, le(asked * 1.3), "{gateway_count} gateways");
    }
}

#[gtest]
fn sums_age_out() {
    let mut play = Play::new(SIZES[0], 111, Accounts::Known, Fault::None);
    play.run(8 * SECOND_US);
    play.fault = Fault::NoNews;
    play.run(SETTLING_TIME);
    for (n, gateway) in play.gateways.iter().enumerate() {
        let now = Moment(10 * SECOND_US + play.now - gateway.started);
        let known = gateway.state.account_standings(now).remove(&service()).unwrap_or_default();
        let own: Vec<ClientAccount> =
            (0..=SMALL_COUNT).filter(|it| play.callers[*it].contains(&n)).map(account).collect();
        for account in known.keys() {
            expect_that!(own, contains(eq(account)), "gateway {n}");
        }
    }
}

#[gtest]
fn calm_service_is_served_as_without_accounts() {
    let run = |accounts| {
        let mut play = Play::new(SIZES[0], 121, accounts, Fault::None);
        play.load.iter_mut().for_each(|it| *it *= 0.5);
        play.run(20 * SECOND_US)
    };
    expect_that!(run(Accounts::Known), eq(&run(Accounts::Unknown)));
}

#[gtest]
fn changes_in_the_log_are_bounded() {
    let (play, _) = press(SIZES[0], 131, (Accounts::Known, Fault::None), 3.0);
    let shown = play.changes.iter().filter(|it| matches!(it, RoutingChange::AccountShare { .. }));
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for change in shown {
        let text = change.to_string();
        *counts.entry(text.split(' ').nth(1).unwrap().to_owned()).or_default() += 1;
    }
    println!("changes in 29 s at 12 gateways: {counts:?}");
    expect_that!(counts.get("account-0").copied().unwrap_or(0), ge(1));
    for (account, count) in counts {
        // At each of 12 gateways one in five seconds.
        expect_that!(count, le(12 * 6), "{account}");
    }
}

/// A gateway that has refused a request of an account far beyond its share.
fn crowded_gateway() -> Play {
    let mut play = Play::new((1, 3), 141, Accounts::Known, Fault::None);
    play.load[LARGE] = 4.0;
    play.run(SETTLING_TIME);
    play
}

#[gtest]
fn nothing_is_refused_while_half_of_the_places_are_free() {
    let mut play = crowded_gateway();
    for n in 0..3 {
        let report = LoadReport { running: 5, waiting: 0, is_open: true };
        let event = RoutingEvent::LoadReported {
            address: address(n),
            report,
            gateway_count: 1,
            detail: None,
        };
        play.dispatch(0, event);
    }
    // Only what agents report counts from here on.
    for (_, _, _, number) in std::mem::take(&mut play.running) {
        play.dispatch(0, RoutingEvent::RequestEnded(number));
    }
    for n in 0..3_u64 {
        let number = RequestNumber(1_000_000 + n);
        let caller_request = RoutingRequest { api_key: Some("key-0".into()), ..request(number) };
        let effects = play.dispatch(0, RoutingEvent::RequestArrived(caller_request));
        expect_that!(effects.iter().find_map(server_of), some(anything()));
    }
}

/// Sums of all gateways in which the large account asks for ten times its share.
fn pressing_sums(sent_at: u64, factor: f32) -> DemandNews {
    let demand = |n: usize| AccountDemand {
        account: account(n),
        tokens_per_second: if n == LARGE { 10_000.0 * factor } else { 500.0 },
        taken_per_second: if n == LARGE { 1_000.0 } else { 500.0 },
    };
    DemandNews { sent_at: Moment(sent_at), accounts: (0..=SMALL_COUNT).map(demand).collect() }
}

#[gtest]
fn account_beyond_its_share_is_served_while_there_is_room() {
    let mut play = Play::new((1, 3), 151, Accounts::Known, Fault::None);
    for n in 0..3 {
        let report = LoadReport { running: 8, waiting: 0, is_open: true };
        let event = RoutingEvent::LoadReported {
            address: address(n),
            report,
            gateway_count: 1,
            detail: None,
        };
        play.dispatch(0, event);
        let (address, news) = (address(n), pressing_sums(1, 1.0));
        play.dispatch(0, RoutingEvent::DemandReported { address, news, subscribers: 1 });
    }
    for n in 0..3_u64 {
        let number = RequestNumber(n);
        let caller_request = RoutingRequest { api_key: Some("key-0".into()), ..request(number) };
        let effects = play.dispatch(0, RoutingEvent::RequestArrived(caller_request));
        expect_that!(effects.iter().find_map(server_of), some(anything()));
    }
}

#[gtest]
fn repeated_and_overtaken_news_counts_once() {
    let mut table = NewsTable::default();
    let (first, second) = (address(1), address(2));
    let demand = |table: &NewsTable, now| {
        let sum = table.sum(Moment(now)).map(|it| it.accounts[0].tokens_per_second);
        sum.unwrap_or_default()
    };
    table.record(first, pressing_sums(2, 2.0), Moment(10));
    table.record(second, pressing_sums(1, 1.0), Moment(11));
    expect_that!(demand(&table, 12), eq(30_000.0));
    // Older news, and the same again.
    table.record(first, pressing_sums(1, 9.0), Moment(13));
    for n in 0..10 {
        table.record(second, pressing_sums(1, 1.0), Moment(14 + n));
    }
    expect_that!(demand(&table, 30), eq(30_000.0));
    // What is repeated lasts no longer.
    table.record(second, pressing_sums(1, 1.0), Moment(2 * SECOND_US));
    expect_that!(demand(&table, 3 * SECOND_US + 20), eq(0.0));
}

/// Bytes per second of the links of agents' VMs.
const AGENT_LINK: f64 = 1e6;

#[gtest]
fn news_takes_little_of_the_links() {
    let news = |count: usize| {
        let demand = |n: usize| AccountDemand {
            account: format!("account-{n:03}x").parse().unwrap(),
            tokens_per_second: 100_000.0 + n as f32,
            taken_per_second: 50_000.0,
        };
        DemandNews { sent_at: Moment(40 * SECOND_US), accounts: (0..count).map(demand).collect() }
    };
    let mut table = NewsTable::default();
    for n in 0..4 {
        table.record(address(n), news(1_000), Moment(1));
    }
    let sums = table.sum(Moment(2)).unwrap();
    expect_that!(sums.accounts.len(), le(32));
    let bytes = |demand: DemandNews| {
        let extension = DatagramExtension { demand, ..DatagramExtension::default() };
        let plain = Datagram::HoldGiven.encode().unwrap().len();
        (Datagram::HoldGiven.encode_extended(&extension).unwrap().len() - plain) as f64
    };
    for gateways in [44.0, 99.0] {
        // A gateway subscribes to 48 of 72 agents.
        let subscribers = gateways * 48.0 / 72.0;
        let (received, sent) = (subscribers * bytes(news(16)) / 0.8, subscribers * bytes(news(24)));
        let most = subscribers * bytes(sums.clone());
        println!(
            "{gateways} gateways: an agent receives at most {received:.0} bytes per second, sends \
             {sent:.0} with 24 accounts, at most {most:.0}; a gateway sends at most {:.0} and \
             receives {:.0}, at most {:.0}",
            48.0 * bytes(news(16)) / 0.8,
            48.0 * bytes(news(24)),
            48.0 * bytes(sums.clone()),
        );
        // A twentieth of the link in each direction.
        expect_that!(received, le(AGENT_LINK / 20.0));
        expect_that!(most, le(AGENT_LINK / 20.0));
    }
}
