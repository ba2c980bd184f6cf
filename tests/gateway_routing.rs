//! Tests of the gateway's reducer: which servers it uses, which requests it retries, which outcome
//! its refusals state, and which requests wait for a server.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use alderbay::{
    core::{RefusalCode, RunOutcome},
    routing::{
        AccountRecord, AnswerProgress, AttemptResult, BudgetSettings, CallerLimits, CatalogSource,
        CatalogVersion, GroupMembership, LoadReport, RequestNumber, RouteCatalog, RouteKind,
        RouteRecord, RouteTarget, RoutingChange, RoutingEffect, RoutingEvent, RoutingRequest,
        RoutingSettings, RoutingState, ServerRecord, ServiceRecord, reduce,
    },
    units::{ByteCount, ContentHash, Moment},
};
use googletest::prelude::*;
use rand::{Rng, SeedableRng, rngs::SmallRng};

pub(crate) const SECOND_US: u64 = 1_000_000;
/// Requests per second that a cold server of the catalog can take.
pub(crate) const COLD_RATE: f64 = 36.0;

fn catalog(version: u64, kind: RouteKind) -> Box<RouteCatalog> {
    let service: alderbay::units::ServiceName = "s".parse().unwrap();
    let route = RouteRecord {
        name: "r".parse().unwrap(),
        host: "h".into(),
        path_prefix: "/a/".into(),
        kind,
        timeout: Duration::from_secs(8),
        latency_objective: Some(Duration::from_millis(400)),
        gap_objective: None,
        rank: None,
        targets: vec![RouteTarget { service: service.clone(), weight: 1.0 }],
        max_attempts: 2,
        is_public: false,
    };
    let record =
        ServiceRecord { warm_up: Duration::from_secs(3), cold_rate: COLD_RATE, engine: None };
    let account =
        AccountRecord { account: "acc".parse().unwrap(), api_keys: vec!["key".into()], rank: None };
    Box::new(RouteCatalog::new(
        CatalogVersion(version),
        vec![route],
        BTreeMap::from([(service, record)]),
        Some(vec![account]),
        CallerLimits { max_body: ByteCount(1_000) },
    ))
}

pub(crate) fn address(n: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9_000 + n))
}

pub(crate) fn server(n: u16, domain: &str) -> ServerRecord {
    ServerRecord {
        id: format!("i-{n}").parse().unwrap(),
        service: "s".parse().unwrap(),
        address: address(n),
        failure_domain: domain.parse().unwrap(),
        slots: 12,
        is_draining: false,
        warm_up_left: Duration::ZERO,
        started_ms: Some(1),
        group: None,
        group_size: 0,
    }
}

pub(crate) fn settings(budget: BudgetSettings, seed: u64) -> RoutingSettings {
    RoutingSettings {
        address: address(0),
        failure_domain: "a".parse().unwrap(),
        failure_domains: BTreeSet::new(),
        budget,
        admission: alderbay::routing::AdmissionSettings::default(),
        default_timeout: Duration::from_secs(8),
        seed,
    }
}

pub(crate) fn request(number: RequestNumber) -> RoutingRequest {
    RoutingRequest {
        number,
        request_id: format!("q-{}", number.0).parse().unwrap(),
        host: "h".into(),
        path: "/a/x".into(),
        api_key: Some("key".into()),
        caller_timeout: Some(Duration::from_secs(8)),
        waited: Duration::ZERO,
        resumes: false,
        shared_parts: Vec::new(),
        content: ContentHash::default(),
        size: None,
        weight_version: None,
    }
}

/// State of a gateway's reducer with a simulated clock.
pub(crate) struct TestGateway {
    pub(crate) state: RoutingState,
    /// Simulated time in microseconds.
    pub(crate) now: u64,
    next_number: u64,
}

impl TestGateway {
    pub(crate) fn new(kind: RouteKind, servers: Vec<ServerRecord>) -> Self {
        Self::with(settings(BudgetSettings::default(), 7), kind, servers)
    }

    pub(crate) fn with(
        settings: RoutingSettings,
        kind: RouteKind,
        servers: Vec<ServerRecord>,
    ) -> Self {
        let mut gateway = Self { state: RoutingState::new(settings), now: 0, next_number: 0 };
        gateway.dispatch(RoutingEvent::CatalogRead {
            source: CatalogSource::Store,
            catalog: catalog(1, kind),
        });
        gateway.dispatch(RoutingEvent::DirectoryRead(servers));
        // A server that is listed for the first time may be cold although its record does not yet
        // show it. Ten seconds later that is over.
        gateway.now = 10 * SECOND_US;
        gateway
    }

    pub(crate) fn dispatch(&mut self, event: RoutingEvent) -> Vec<RoutingEffect> {
        reduce(&mut self.state, Moment(self.now), event)
    }

    /// Dispatches an event and returns its last effect that is not a change of state.
    pub(crate) fn dispatch_for_effect(&mut self, event: RoutingEvent) -> RoutingEffect {
        let effects = self.dispatch(event);
        effects.into_iter().rfind(|it| !matches!(it, RoutingEffect::StateChanged(_))).unwrap()
    }

    pub(crate) fn arrive(&mut self) -> (RequestNumber, RoutingEffect) {
        self.arrive_with("key", "/a/x")
    }

    fn arrive_with(&mut self, key: &str, path: &str) -> (RequestNumber, RoutingEffect) {
        let number = RequestNumber(self.next_number);
        self.next_number += 1;
        let request =
            RoutingRequest { path: path.into(), api_key: Some(key.into()), ..request(number) };
        (number, self.dispatch_for_effect(RoutingEvent::RequestArrived(request)))
    }

    /// Arrival of a request whose caller has already spent this long on earlier tries elsewhere.
    fn arrive_after(&mut self, spent: Duration) -> (RoutingRequest, RoutingEffect) {
        let number = RequestNumber(self.next_number);
        self.next_number += 1;
        let caller_timeout = request(number).caller_timeout.map(|it| it - spent);
        let request = RoutingRequest { caller_timeout, ..request(number) };
        (request.clone(), self.dispatch_for_effect(RoutingEvent::RequestArrived(request)))
    }

    /// Lets the pause of a waiting request pass and ends its wait.
    fn end_wait(&mut self, request: &RoutingRequest, pause: Duration) -> RoutingEffect {
        self.now += u64::try_from(pause.as_micros()).unwrap();
        let waited = request.waited + pause;
        let request = RoutingRequest { waited, ..request.clone() };
        self.dispatch_for_effect(RoutingEvent::WaitEnded(request))
    }

    /// Runs a request that is answered at once. Returns the effect of its arrival.
    pub(crate) fn run_request(&mut self) -> RoutingEffect {
        let (number, effect) = self.arrive();
        if server_of(&effect).is_some() {
            self.end_attempt(number, AttemptResult::Answered);
        }
        self.dispatch(RoutingEvent::RequestEnded(number));
        effect
    }

    pub(crate) fn end_attempt(
        &mut self,
        number: RequestNumber,
        result: AttemptResult,
    ) -> RoutingEffect {
        let progress = AnswerProgress::Nothing;
        self.dispatch_for_effect(RoutingEvent::AttemptEnded { number, result, progress })
    }
}

pub(crate) fn server_of(effect: &RoutingEffect) -> Option<String> {
    match effect {
        RoutingEffect::Attempt(_, order) => Some(order.server.to_string()),
        _ => None,
    }
}

pub(crate) fn refusal_of(effect: &RoutingEffect) -> Option<(RefusalCode, RunOutcome)> {
    match effect {
        RoutingEffect::Refuse(_, refusal) => Some((refusal.code, refusal.outcome)),
        _ => None,
    }
}

#[gtest]
fn older_catalog_is_ignored() {
    let mut gateway = TestGateway::new(RouteKind::Idempotent, vec![server(1, "a")]);
    let newer = catalog(5, RouteKind::Idempotent);
    gateway.dispatch(RoutingEvent::CatalogRead { source: CatalogSource::Store, catalog: newer });
    let older = catalog(3, RouteKind::Single);
    gateway.dispatch(RoutingEvent::CatalogRead { source: CatalogSource::Peer, catalog: older });
    expect_that!(gateway.state.catalog().unwrap().version(), eq(CatalogVersion(5)));
}

#[gtest]
fn keys_and_paths_are_checked() {
    let mut gateway = TestGateway::new(RouteKind::Idempotent, vec![server(1, "a")]);
    let refused = |code| some(eq((code, RunOutcome::NotRun)));
    let (_, effect) = gateway.arrive_with("other", "/a/x");
    expect_that!(refusal_of(&effect), refused(RefusalCode::UnknownAccount));
    let (_, effect) = gateway.arrive_with("key", "/b/x");
    expect_that!(refusal_of(&effect), refused(RefusalCode::UnknownPath));
    let (_, effect) = gateway.arrive();
    expect_that!(server_of(&effect), some(eq("i-1")));
}

#[gtest]
fn drained_servers_are_unused() {
    let mut gateway = TestGateway::new(RouteKind::Idempotent, vec![server(1, "a"), server(2, "b")]);
    let draining = ServerRecord { is_draining: true, ..server(1, "a") };
    gateway.dispatch(RoutingEvent::DirectoryRead(vec![draining, server(2, "b")]));
    for _ in 0..20 {
        expect_that!(server_of(&gateway.run_request()), some(eq("i-2")));
    }
    gateway.dispatch(RoutingEvent::EvacuationsRead(BTreeSet::from(["b".parse().unwrap()])));
    let (_, effect) = gateway.arrive();
    expect_that!(refusal_of(&effect), some(eq((RefusalCode::NoServer, RunOutcome::NotRun))));
    gateway.dispatch(RoutingEvent::EvacuationsRead(BTreeSet::new()));
    let (_, effect) = gateway.arrive();
    expect_that!(server_of(&effect), some(eq("i-2")));
}

#[gtest]
fn store_outage_delays_removal() {
    let mut gateway = TestGateway::new(RouteKind::Idempotent, vec![server(1, "a")]);
    gateway.dispatch(RoutingEvent::StoreUnavailable { read_at: Some(Moment(0)) });
    gateway.now += 4 * SECOND_US;
    gateway.dispatch(RoutingEvent::StoreRecovered);
    gateway.dispatch(RoutingEvent::DirectoryRead(Vec::new()));
    let (_, effect) = gateway.arrive();
    expect_that!(server_of(&effect), some(eq("i-1")));
    gateway.now += 3 * SECOND_US;
    let effects = gateway.dispatch(RoutingEvent::RequestArrived(request(RequestNumber(99))));
    let removed = RoutingEffect::StateChanged(RoutingChange::ServerRemoved("i-1".parse().unwrap()));
    expect_that!(effects, contains(eq(&removed)));
    let refused = some(eq((RefusalCode::NoServer, RunOutcome::NotRun)));
    expect_that!(effects.iter().find_map(refusal_of), refused);
}

/// Guards against requests to a server that was removed while a connection to the store was silent.
#[gtest]
fn moment_without_the_store_delays_no_removal() {
    let servers = vec![server(1, "a"), server(2, "a")];
    let mut gateway = TestGateway::new(RouteKind::Idempotent, servers.clone());
    gateway.dispatch(RoutingEvent::DirectoryRead(servers));
    let read_at = Some(Moment(gateway.now));
    gateway.now += SECOND_US;
    gateway.dispatch(RoutingEvent::StoreUnavailable { read_at });
    gateway.now += SECOND_US / 2;
    gateway.dispatch(RoutingEvent::StoreRecovered);
    gateway.dispatch(RoutingEvent::DirectoryRead(vec![server(2, "a")]));
    for _ in 0..20 {
        expect_that!(server_of(&gateway.run_request()), some(eq("i-2")));
    }
}

#[gtest]
fn removed_servers_are_unused() {
    let mut gateway = TestGateway::new(RouteKind::Idempotent, vec![server(1, "a"), server(2, "a")]);
    gateway.dispatch(RoutingEvent::DirectoryRead(vec![server(2, "a")]));
    for _ in 0..20 {
        expect_that!(server_of(&gateway.run_request()), some(eq("i-2")));
    }
}

#[gtest]
fn replaced_servers_are_unused() {
    let restarted =
        ServerRecord { id: "i-9".parse().unwrap(), started_ms: Some(2), ..server(1, "a") };
    let mut gateway = TestGateway::new(RouteKind::Single, vec![server(1, "a"), restarted]);
    for _ in 0..20 {
        expect_that!(server_of(&gateway.run_request()), some(eq("i-9")));
    }
    let mut gateway = TestGateway::new(RouteKind::Single, vec![server(1, "a"), server(2, "a")]);
    let (number, effect) = gateway.arrive();
    let first = server_of(&effect).unwrap();
    gateway.end_attempt(number, AttemptResult::WrongServer);
    for _ in 0..20 {
        expect_that!(server_of(&gateway.run_request()), not(some(eq(&first))));
    }
}

#[gtest]
fn single_requests_are_not_retried() {
    for result in [AttemptResult::Lost, AttemptResult::Stalled, AttemptResult::ServerError] {
        let servers = vec![server(1, "a"), server(2, "a"), server(3, "a")];
        let mut gateway = TestGateway::new(RouteKind::Single, servers);
        let (number, _) = gateway.arrive();
        let effect = gateway.end_attempt(number, result);
        expect_that!(server_of(&effect), none(), "{result}");
        let outcome = refusal_of(&effect).map(|it| it.1);
        expect_that!(outcome, not(some(eq(RunOutcome::NotRun))), "{result}");
    }
}

#[gtest]
fn refusals_state_true_outcome() {
    let results = [
        AttemptResult::NeverSent,
        AttemptResult::NoListener,
        AttemptResult::NotRun,
        AttemptResult::WrongServer,
        AttemptResult::OtherWeights,
        AttemptResult::Lost,
        AttemptResult::Stalled,
        AttemptResult::ServerError,
    ];
    let kinds = [
        RouteKind::Idempotent,
        RouteKind::Single,
        RouteKind::ResumableStream,
        RouteKind::SingleStream,
    ];
    let mut rng = SmallRng::seed_from_u64(11);
    for round in 0..2_000 {
        let kind = kinds[round % kinds.len()];
        let servers = (1..6).map(|n| server(n, ["a", "b"][usize::from(n % 2)])).collect();
        let mut gateway = TestGateway::new(kind, servers);
        let (number, mut effect) = gateway.arrive();
        let (mut may_have_run, mut runs) = (false, 0);
        while server_of(&effect).is_some() {
            let result = results[rng.random_range(0..results.len())];
            may_have_run |= result.may_have_run();
            runs += u32::from(result.may_have_run());
            effect = gateway.end_attempt(number, result);
        }
        let stated = refusal_of(&effect).map(|it| it.1);
        let is_false = may_have_run && stated == Some(RunOutcome::NotRun);
        expect_that!(is_false, eq(false), "round {round}: {effect:?}");
        expect_that!(runs, le(if kind.is_idempotent() { 2 } else { 1 }), "round {round}");
    }
}

const GATEWAY_COUNT: usize = 9;

/// Gateways that share the servers, each with its own seed.
fn gateways(servers: &[ServerRecord], kind: RouteKind) -> Vec<TestGateway> {
    let budget =
        BudgetSettings { retry_ratio: 0.2, retry_burst: 94.0, cold_factor: 1.5, cold_burst: 5.0 };
    let gateway = |n| TestGateway::with(settings(budget, n as u64), kind, servers.to_vec());
    (0..GATEWAY_COUNT).map(gateway).collect()
}

#[gtest]
fn gateways_keep_retry_budget() {
    let servers: Vec<ServerRecord> = (1..20).map(|n| server(n, "a")).collect();
    let mut gateways = gateways(&servers, RouteKind::Idempotent);
    let mut rng = SmallRng::seed_from_u64(3);
    let (mut arrived_at, mut retried_at): (Vec<u64>, Vec<u64>) = (Vec::new(), Vec::new());
    for n in 0..6_000_u64 {
        let gateway = &mut gateways[rng.random_range(0..GATEWAY_COUNT)];
        gateway.now = 10 * SECOND_US + n * 10_000;
        arrived_at.push(gateway.now);
        let (number, mut effect) = gateway.arrive();
        let mut attempts = 0;
        while server_of(&effect).is_some() {
            attempts += 1;
            if attempts > 1 {
                retried_at.push(gateway.now);
            }
            effect = gateway.end_attempt(number, AttemptResult::Lost);
        }
        gateway.dispatch(RoutingEvent::RequestEnded(number));
    }
    let count_in_window = |times: &[u64], end: u64| {
        times.iter().filter(|it| **it <= end && **it + 10 * SECOND_US > end).count() as f64
    };
    for end in (10..70).map(|it| it * SECOND_US) {
        let bound = 0.2 * count_in_window(&arrived_at, end) + 94.0;
        expect_that!(count_in_window(&retried_at, end), le(bound), "window that ends at {end}");
    }
    expect_that!(retried_at.len(), gt(200));
}

#[gtest]
fn gateways_keep_cold_limit() {
    let cold = ServerRecord { warm_up_left: Duration::from_secs(60), ..server(1, "a") };
    let mut gateways = gateways(&[cold], RouteKind::Single);
    let mut rng = SmallRng::seed_from_u64(4);
    let mut sent_at = Vec::new();
    for n in 0..4_000_u64 {
        let gateway = &mut gateways[rng.random_range(0..GATEWAY_COUNT)];
        gateway.now = 10 * SECOND_US + n * 2_000;
        let (number, effect) = gateway.arrive();
        if server_of(&effect).is_some() {
            sent_at.push(gateway.now);
            gateway.end_attempt(number, AttemptResult::Answered);
        }
        gateway.dispatch(RoutingEvent::RequestEnded(number));
    }
    let max_per_second = sent_at
        .iter()
        .map(|end| sent_at.iter().filter(|it| **it <= *end && **it + SECOND_US > *end).count())
        .max()
        .unwrap();
    expect_that!(max_per_second as f64, le(COLD_RATE * 1.5 + 5.0));
    expect_that!(max_per_second, gt(15));
}

pub(crate) fn idle_report(is_open: bool) -> LoadReport {
    LoadReport { running: 0, waiting: 0, is_open }
}

pub(crate) fn report_load(gateway: &mut TestGateway, n: u16, report: LoadReport) {
    gateway.dispatch(RoutingEvent::LoadReported {
        address: address(n),
        report,
        gateway_count: 9,
        detail: None,
    });
}

#[gtest]
fn isolated_gateway_is_not_ready() {
    let group =
        |rank| GroupMembership { name: "g".parse().unwrap(), epoch: 1, rank, is_open: true };
    let servers: Vec<ServerRecord> = [(1, "a"), (2, "b"), (3, "b"), (4, "c"), (5, "c")]
        .map(|(n, domain)| ServerRecord { group: Some(group(n)), ..server(n, domain) })
        .into();
    let mut gateway = TestGateway::new(RouteKind::ResumableStream, servers);
    for n in 1..6 {
        report_load(&mut gateway, n, idle_report(true));
    }
    expect_that!(gateway.state.is_ready(Moment(gateway.now)), eq(true));
    gateway.now += SECOND_US;
    // Only agents of the gateway's own domain report. The rank there is stalled because the other
    // ranks of its group are unreachable.
    report_load(&mut gateway, 1, idle_report(false));
    expect_that!(gateway.state.is_ready(Moment(gateway.now)), eq(false));
    // One usable server in its own domain is enough for the gateway to stay ready.
    report_load(&mut gateway, 1, idle_report(true));
    expect_that!(gateway.state.is_ready(Moment(gateway.now)), eq(true));
    report_load(&mut gateway, 1, idle_report(false));
    report_load(&mut gateway, 4, idle_report(false));
    expect_that!(gateway.state.is_ready(Moment(gateway.now)), eq(true));
}

#[gtest]
fn overload_is_refused_at_once() {
    let mut gateway = TestGateway::new(RouteKind::Single, vec![server(1, "a"), server(2, "a")]);
    for n in [1, 2] {
        report_load(&mut gateway, n, LoadReport { running: 12, waiting: 0, is_open: true });
    }
    let (_, effect) = gateway.arrive();
    expect_that!(refusal_of(&effect), some(eq((RefusalCode::Overloaded, RunOutcome::NotRun))));
    let RoutingEffect::Refuse(_, refusal) = effect else {
        return;
    };
    let wait = refusal.retry_after.unwrap();
    expect_that!(wait, le(Duration::from_secs(8) / 3));
    expect_that!(wait, gt(Duration::from_millis(500)));
    // Half of the slots of one server are free, so the request is not refused.
    report_load(&mut gateway, 1, LoadReport { running: 6, waiting: 0, is_open: true });
    let (_, effect) = gateway.arrive();
    expect_that!(server_of(&effect), some(eq("i-1")));
}

fn pause_of(effect: &RoutingEffect) -> Option<Duration> {
    match effect {
        RoutingEffect::Wait(_, pause) => Some(*pause),
        _ => None,
    }
}

pub(crate) fn only_rank() -> ServerRecord {
    let group = GroupMembership { name: "g".parse().unwrap(), epoch: 1, rank: 0, is_open: true };
    ServerRecord { group: Some(group), ..server(1, "a") }
}

#[gtest]
fn retried_requests_wait() {
    let mut gateway = TestGateway::new(RouteKind::ResumableStream, vec![only_rank()]);
    report_load(&mut gateway, 1, idle_report(false));
    // The caller's first try is refused at once with a time to retry after; only a later try waits.
    let (_, effect) = gateway.arrive();
    expect_that!(refusal_of(&effect), some(eq((RefusalCode::NoServer, RunOutcome::NotRun))));
    let (request, mut effect) = gateway.arrive_after(Duration::from_secs(3));
    for _ in 0..10 {
        let pause = pause_of(&effect).unwrap();
        effect = gateway.end_wait(&request, pause);
        report_load(&mut gateway, 1, idle_report(false));
    }
    report_load(&mut gateway, 1, idle_report(true));
    let pause = pause_of(&effect).unwrap();
    let effect = gateway.end_wait(&request, pause);
    expect_that!(server_of(&effect), some(eq("i-1")));
}

#[gtest]
fn silent_rank_ends_wait() {
    let group =
        |rank| Some(GroupMembership { name: "g".parse().unwrap(), epoch: 1, rank, is_open: false });
    let ranks = [1, 2].map(|n| ServerRecord { group: group(n), group_size: 2, ..server(n, "a") });
    let mut gateway = TestGateway::new(RouteKind::ResumableStream, ranks.to_vec());
    (1..=2).for_each(|n| report_load(&mut gateway, n, idle_report(false)));
    let (request, effect) = gateway.arrive_after(Duration::from_secs(3));
    let pause = pause_of(&effect).unwrap();
    // One rank's agent stops reporting, so it is unknown when the group works again.
    gateway.now += SECOND_US;
    report_load(&mut gateway, 1, idle_report(false));
    let refused = || some(eq((RefusalCode::NoServer, RunOutcome::NotRun)));
    expect_that!(refusal_of(&gateway.end_wait(&request, pause)), refused());
    // The silent rank is no longer listed, so all listed ranks report, but the group lacks a rank.
    gateway.dispatch(RoutingEvent::DirectoryRead(vec![ranks[0].clone()]));
    let (_, effect) = gateway.arrive_after(Duration::from_secs(3));
    expect_that!(refusal_of(&effect), refused());
}

#[gtest]
fn stream_wait_is_bounded() {
    let mut gateway = TestGateway::new(RouteKind::ResumableStream, vec![only_rank()]);
    report_load(&mut gateway, 1, idle_report(false));
    let started = gateway.now;
    let (request, mut effect) = gateway.arrive_after(Duration::from_secs(3));
    while let Some(pause) = pause_of(&effect) {
        report_load(&mut gateway, 1, idle_report(false));
        effect = gateway.end_wait(&request, pause);
        // Callers of streams disconnect after two seconds without an event.
        assert_that!(gateway.now - started, lt(2 * SECOND_US));
    }
    expect_that!(refusal_of(&effect), some(eq((RefusalCode::NoServer, RunOutcome::NotRun))));
}

#[gtest]
fn requests_wait_for_catalog() {
    let mut state = RoutingState::new(settings(BudgetSettings::default(), 7));
    let number = RequestNumber(1);
    let arrived = RoutingEvent::RequestArrived(request(number));
    let effects = reduce(&mut state, Moment(0), arrived);
    expect_that!(effects.iter().filter_map(pause_of).count(), eq(1));
    let servers = vec![server(1, "a")];
    let catalog = catalog(1, RouteKind::Idempotent);
    reduce(
        &mut state,
        Moment(0),
        RoutingEvent::CatalogRead { source: CatalogSource::Store, catalog },
    );
    reduce(&mut state, Moment(0), RoutingEvent::DirectoryRead(servers));
    let waited = Duration::from_millis(100);
    let event = RoutingEvent::WaitEnded(RoutingRequest { waited, ..request(number) });
    let effects = reduce(&mut state, Moment(100_000), event);
    expect_that!(effects.iter().find_map(server_of), some(eq("i-1")));
}

/// Servers of a large deployment in five failure domains, and the gateways of each.
fn large_fleet() -> (Vec<ServerRecord>, Vec<RoutingState>) {
    const DOMAINS: [&str; 5] = ["a", "b", "c", "d", "e"];
    let domain = |n: u16| DOMAINS[usize::from(n) % DOMAINS.len()];
    let servers: Vec<ServerRecord> = (1..=192).map(|n| server(n, domain(n))).collect();
    let gateways = (0..99).map(|n| {
        RoutingState::new(RoutingSettings {
            address: address(1_000 + n),
            failure_domain: domain(n).parse().unwrap(),
            ..settings(BudgetSettings::default(), u64::from(n))
        })
    });
    (servers, gateways.collect())
}

/// No agent sends its reports to most of the gateways, and none is left out.
#[gtest]
fn large_fleet_is_divided() {
    let (servers, mut gateways) = large_fleet();
    let mut subscribers: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    for gateway in &mut gateways {
        reduce(gateway, Moment(0), RoutingEvent::DirectoryRead(servers.clone()));
        let subset: Vec<SocketAddr> = gateway.subset().map(|it| it.record.address).collect();
        expect_that!(subset.len(), eq(48));
        subset.into_iter().for_each(|it| *subscribers.entry(it).or_default() += 1);
    }
    expect_that!(subscribers.len(), eq(servers.len()));
    expect_that!(subscribers.values().copied().max(), some(le(99 / 2)));
    expect_that!(subscribers.values().copied().min(), some(ge(3)));
}

/// Agents learn the members of their group from gateways only, so those of evacuated and leaving
/// servers must be subscribed to as well: without them, a group gets no new expert map after all
/// agents have restarted.
#[gtest]
fn unused_servers_stay_subscribed() {
    let (mut servers, mut gateways) = large_fleet();
    servers[7].is_draining = true;
    let evacuated = BTreeSet::from(["b".parse().unwrap()]);
    let mut subscribed: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    for gateway in &mut gateways {
        reduce(gateway, Moment(0), RoutingEvent::EvacuationsRead(evacuated.clone()));
        reduce(gateway, Moment(0), RoutingEvent::DirectoryRead(servers.clone()));
        gateway.subset().for_each(|it| *subscribed.entry(it.record.address).or_default() += 1);
    }
    expect_that!(subscribed.len(), eq(servers.len()));
    expect_that!(subscribed.values().copied().min(), some(ge(3)));
    expect_that!(subscribed.values().copied().max(), some(le(99 / 2)));
}

#[gtest]
fn equally_loaded_servers_get_equal_parts() {
    for count in [3, 6, 16] {
        let servers = (0..count).map(|n| server(n, "a")).collect();
        let mut gateway = TestGateway::new(RouteKind::Idempotent, servers);
        let mut chosen: BTreeMap<String, u32> = BTreeMap::new();
        let rounds = 500 * u32::from(count);
        for _ in 0..rounds {
            *chosen.entry(server_of(&gateway.run_request()).unwrap()).or_default() += 1;
        }
        expect_that!(chosen.len(), eq(usize::from(count)));
        let counts: Vec<u32> = chosen.into_values().collect();
        expect_that!(counts, each(all![ge(&400), le(&600)]), "{count} servers");
    }
}
