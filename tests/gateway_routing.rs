//! The reducer of a gateway: what it may use, what it may repeat, what it may say.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use alderbay::{
    core::{RefusalCode, RunOutcome},
    routing::{
        AccountRecord, AttemptResult, BudgetSettings, CallerLimits, CatalogSource, CatalogVersion,
        GroupMembership, LoadReport, RequestNumber, RouteCatalog, RouteKind, RouteRecord,
        RouteTarget, RoutingChange, RoutingEffect, RoutingEvent, RoutingRequest, RoutingSettings,
        RoutingState, ServerRecord, ServiceRecord, reduce,
    },
    units::{ByteCount, Moment},
};
use googletest::prelude::*;
use rand::{Rng, SeedableRng, rngs::SmallRng};

const SECOND: u64 = 1_000_000;
const COLD_RATE: f64 = 36.0;

fn catalog(version: u64, kind: RouteKind) -> Box<RouteCatalog> {
    let service: alderbay::units::ServiceName = "s".parse().unwrap();
    let route = RouteRecord {
        name: "r".parse().unwrap(),
        host: "h".into(),
        path_prefix: "/a/".into(),
        kind,
        timeout: Duration::from_secs(8),
        latency_objective: Some(Duration::from_millis(400)),
        targets: vec![RouteTarget { service: service.clone(), weight: 1.0 }],
        max_attempts: 2,
        is_public: false,
    };
    let record =
        ServiceRecord { warm_up: Duration::from_secs(3), cold_rate: COLD_RATE, engine: None };
    let account = AccountRecord { account: "acc".parse().unwrap(), api_keys: vec!["key".into()] };
    Box::new(RouteCatalog::new(
        CatalogVersion(version),
        vec![route],
        BTreeMap::from([(service, record)]),
        vec![account],
        CallerLimits { max_body: ByteCount(1_000) },
    ))
}

fn address(n: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9_000 + n))
}

fn server(n: u16, domain: &str) -> ServerRecord {
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

fn settings(budget: BudgetSettings, seed: u64) -> RoutingSettings {
    RoutingSettings {
        failure_domain: "a".parse().unwrap(),
        budget,
        admission: alderbay::routing::AdmissionSettings::default(),
        default_timeout: Duration::from_secs(8),
        seed,
    }
}

fn facts(number: RequestNumber) -> RoutingRequest {
    RoutingRequest {
        number,
        request_id: format!("q-{}", number.0).parse().unwrap(),
        host: "h".into(),
        path: "/a/x".into(),
        api_key: Some("key".into()),
        caller_timeout: Some(Duration::from_secs(8)),
        waited: Duration::ZERO,
        resumes: false,
    }
}

/// A gateway and its clock.
struct Gateway {
    state: RoutingState,
    now: u64,
    next: u64,
}

impl Gateway {
    fn new(kind: RouteKind, servers: Vec<ServerRecord>) -> Self {
        Self::with(settings(BudgetSettings::default(), 7), kind, servers)
    }

    fn with(settings: RoutingSettings, kind: RouteKind, servers: Vec<ServerRecord>) -> Self {
        let mut gateway = Self { state: RoutingState::new(settings), now: 0, next: 0 };
        gateway.tell(RoutingEvent::CatalogRead {
            source: CatalogSource::Store,
            catalog: catalog(1, kind),
        });
        gateway.tell(RoutingEvent::DirectoryRead(servers));
        // Servers that are listed for the first time may be cold without saying so yet.
        gateway.now = 10 * SECOND;
        gateway
    }

    fn tell(&mut self, event: RoutingEvent) -> Vec<RoutingEffect> {
        reduce(&mut self.state, Moment(self.now), event)
    }

    fn step(&mut self, event: RoutingEvent) -> RoutingEffect {
        let effects = self.tell(event);
        effects.into_iter().rfind(|it| !matches!(it, RoutingEffect::StateChanged(_))).unwrap()
    }

    fn arrive(&mut self) -> (RequestNumber, RoutingEffect) {
        self.arrive_with("key", "/a/x")
    }

    fn arrive_with(&mut self, key: &str, path: &str) -> (RequestNumber, RoutingEffect) {
        let number = RequestNumber(self.next);
        self.next += 1;
        let facts =
            RoutingRequest { path: path.into(), api_key: Some(key.into()), ..facts(number) };
        (number, self.step(RoutingEvent::RequestArrived(facts)))
    }

    /// A caller that has waited elsewhere before, for this long.
    fn return_after(&mut self, spent: Duration) -> (RoutingRequest, RoutingEffect) {
        let number = RequestNumber(self.next);
        self.next += 1;
        let caller_timeout = facts(number).caller_timeout.map(|it| it - spent);
        let facts = RoutingRequest { caller_timeout, ..facts(number) };
        (facts.clone(), self.step(RoutingEvent::RequestArrived(facts)))
    }

    /// Goes on with a request that was told to wait.
    fn wait(&mut self, facts: &RoutingRequest, pause: Duration) -> RoutingEffect {
        self.now += u64::try_from(pause.as_micros()).unwrap();
        let waited = facts.waited + pause;
        let facts = RoutingRequest { waited, ..facts.clone() };
        self.step(RoutingEvent::WaitEnded(facts))
    }

    /// What becomes of a request that is answered at once.
    fn pass(&mut self) -> RoutingEffect {
        let (number, effect) = self.arrive();
        if server_of(&effect).is_some() {
            self.end(number, AttemptResult::Answered);
        }
        self.tell(RoutingEvent::RequestEnded(number));
        effect
    }

    fn end(&mut self, number: RequestNumber, result: AttemptResult) -> RoutingEffect {
        self.step(RoutingEvent::AttemptEnded { number, result })
    }
}

fn server_of(effect: &RoutingEffect) -> Option<String> {
    match effect {
        RoutingEffect::Attempt(_, order) => Some(order.server.to_string()),
        _ => None,
    }
}

fn refusal_of(effect: &RoutingEffect) -> Option<(RefusalCode, RunOutcome)> {
    match effect {
        RoutingEffect::Refuse(_, refusal) => Some((refusal.code, refusal.outcome)),
        _ => None,
    }
}

#[gtest]
fn older_catalog_changes_nothing() {
    let mut gateway = Gateway::new(RouteKind::Idempotent, vec![server(1, "a")]);
    let newer = catalog(5, RouteKind::Idempotent);
    gateway.tell(RoutingEvent::CatalogRead { source: CatalogSource::Store, catalog: newer });
    let older = catalog(3, RouteKind::Single);
    gateway.tell(RoutingEvent::CatalogRead { source: CatalogSource::Peer, catalog: older });
    expect_that!(gateway.state.catalog().unwrap().version(), eq(CatalogVersion(5)));
}

#[gtest]
fn keys_and_paths_are_checked() {
    let mut gateway = Gateway::new(RouteKind::Idempotent, vec![server(1, "a")]);
    let refused = |code| some(eq((code, RunOutcome::NotRun)));
    let (_, effect) = gateway.arrive_with("other", "/a/x");
    expect_that!(refusal_of(&effect), refused(RefusalCode::UnknownAccount));
    let (_, effect) = gateway.arrive_with("key", "/b/x");
    expect_that!(refusal_of(&effect), refused(RefusalCode::UnknownPath));
    let (_, effect) = gateway.arrive();
    expect_that!(server_of(&effect), some(eq("i-1")));
}

#[gtest]
fn leaving_servers_get_nothing() {
    let mut gateway = Gateway::new(RouteKind::Idempotent, vec![server(1, "a"), server(2, "b")]);
    let draining = ServerRecord { is_draining: true, ..server(1, "a") };
    gateway.tell(RoutingEvent::DirectoryRead(vec![draining, server(2, "b")]));
    for _ in 0..20 {
        expect_that!(server_of(&gateway.pass()), some(eq("i-2")));
    }
    gateway.tell(RoutingEvent::EvacuationsRead(BTreeSet::from(["b".parse().unwrap()])));
    let (_, effect) = gateway.arrive();
    expect_that!(refusal_of(&effect), some(eq((RefusalCode::NoServer, RunOutcome::NotRun))));
    gateway.tell(RoutingEvent::EvacuationsRead(BTreeSet::new()));
    let (_, effect) = gateway.arrive();
    expect_that!(server_of(&effect), some(eq("i-2")));
}

#[gtest]
fn lapsed_entries_may_return() {
    let mut gateway = Gateway::new(RouteKind::Idempotent, vec![server(1, "a")]);
    gateway.tell(RoutingEvent::StoreUnavailable);
    gateway.now += 4 * SECOND;
    gateway.tell(RoutingEvent::StoreRecovered);
    gateway.tell(RoutingEvent::DirectoryRead(Vec::new()));
    let (_, effect) = gateway.arrive();
    expect_that!(server_of(&effect), some(eq("i-1")));
    gateway.now += 3 * SECOND;
    let effects = gateway.tell(RoutingEvent::RequestArrived(facts(RequestNumber(99))));
    let gone = RoutingEffect::StateChanged(RoutingChange::ServerRemoved("i-1".parse().unwrap()));
    expect_that!(effects, contains(eq(&gone)));
    let refused = some(eq((RefusalCode::NoServer, RunOutcome::NotRun)));
    expect_that!(effects.iter().find_map(refusal_of), refused);
}

#[gtest]
fn removed_entries_are_gone() {
    let mut gateway = Gateway::new(RouteKind::Idempotent, vec![server(1, "a"), server(2, "a")]);
    gateway.tell(RoutingEvent::DirectoryRead(vec![server(2, "a")]));
    for _ in 0..20 {
        expect_that!(server_of(&gateway.pass()), some(eq("i-2")));
    }
}

#[gtest]
fn replaced_entries_are_unused() {
    let reborn = ServerRecord { id: "i-9".parse().unwrap(), started_ms: Some(2), ..server(1, "a") };
    let mut gateway = Gateway::new(RouteKind::Single, vec![server(1, "a"), reborn]);
    for _ in 0..20 {
        expect_that!(server_of(&gateway.pass()), some(eq("i-9")));
    }
    let mut gateway = Gateway::new(RouteKind::Single, vec![server(1, "a"), server(2, "a")]);
    let (number, effect) = gateway.arrive();
    let first = server_of(&effect).unwrap();
    gateway.end(number, AttemptResult::WrongServer);
    for _ in 0..20 {
        expect_that!(server_of(&gateway.pass()), not(some(eq(&first))));
    }
}

#[gtest]
fn single_runs_are_not_repeated() {
    for result in [AttemptResult::Lost, AttemptResult::Stalled, AttemptResult::ServerError] {
        let servers = vec![server(1, "a"), server(2, "a"), server(3, "a")];
        let mut gateway = Gateway::new(RouteKind::Single, servers);
        let (number, _) = gateway.arrive();
        let effect = gateway.end(number, result);
        expect_that!(server_of(&effect), none(), "{result}");
        let outcome = refusal_of(&effect).map(|it| it.1);
        expect_that!(outcome, not(some(eq(RunOutcome::NotRun))), "{result}");
    }
}

#[gtest]
fn refusals_are_true() {
    let results = [
        AttemptResult::NeverSent,
        AttemptResult::NotRun,
        AttemptResult::WrongServer,
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
        let mut gateway = Gateway::new(kind, servers);
        let (number, mut effect) = gateway.arrive();
        let (mut may_have_run, mut runs) = (false, 0);
        while server_of(&effect).is_some() {
            let result = results[rng.random_range(0..results.len())];
            may_have_run |= result.may_have_run();
            runs += u32::from(result.may_have_run());
            effect = gateway.end(number, result);
        }
        let said = refusal_of(&effect).map(|it| it.1);
        let is_false = may_have_run && said == Some(RunOutcome::NotRun);
        expect_that!(is_false, eq(false), "round {round}: {effect:?}");
        expect_that!(runs, le(if kind.is_idempotent() { 2 } else { 1 }), "round {round}");
    }
}

const FLEET: usize = 9;

fn fleet(servers: &[ServerRecord], kind: RouteKind) -> Vec<Gateway> {
    let budget =
        BudgetSettings { retry_ratio: 0.2, retry_burst: 94.0, cold_factor: 1.5, cold_burst: 5.0 };
    let gateway = |n| Gateway::with(settings(budget, n as u64), kind, servers.to_vec());
    (0..FLEET).map(gateway).collect()
}

#[gtest]
fn fleet_keeps_retry_bound() {
    let servers: Vec<ServerRecord> = (1..20).map(|n| server(n, "a")).collect();
    let mut gateways = fleet(&servers, RouteKind::Idempotent);
    let mut rng = SmallRng::seed_from_u64(3);
    let (mut requests, mut repeats): (Vec<u64>, Vec<u64>) = (Vec::new(), Vec::new());
    for n in 0..6_000_u64 {
        let gateway = &mut gateways[rng.random_range(0..FLEET)];
        gateway.now = 10 * SECOND + n * 10_000;
        requests.push(gateway.now);
        let (number, mut effect) = gateway.arrive();
        let mut attempts = 0;
        while server_of(&effect).is_some() {
            attempts += 1;
            if attempts > 1 {
                repeats.push(gateway.now);
            }
            effect = gateway.end(number, AttemptResult::Lost);
        }
        gateway.tell(RoutingEvent::RequestEnded(number));
    }
    let within = |times: &[u64], end: u64| {
        times.iter().filter(|it| **it <= end && **it + 10 * SECOND > end).count() as f64
    };
    for end in (10..70).map(|it| it * SECOND) {
        let bound = 0.2 * within(&requests, end) + 94.0;
        expect_that!(within(&repeats, end), le(bound), "window that ends at {end}");
    }
    expect_that!(repeats.len(), gt(200));
}

#[gtest]
fn fleet_keeps_cold_bound() {
    let cold = ServerRecord { warm_up_left: Duration::from_secs(60), ..server(1, "a") };
    let mut gateways = fleet(&[cold], RouteKind::Single);
    let mut rng = SmallRng::seed_from_u64(4);
    let mut sent = Vec::new();
    for n in 0..4_000_u64 {
        let gateway = &mut gateways[rng.random_range(0..FLEET)];
        gateway.now = 10 * SECOND + n * 2_000;
        let (number, effect) = gateway.arrive();
        if server_of(&effect).is_some() {
            sent.push(gateway.now);
            gateway.end(number, AttemptResult::Answered);
        }
        gateway.tell(RoutingEvent::RequestEnded(number));
    }
    let most = sent
        .iter()
        .map(|end| sent.iter().filter(|it| **it <= *end && **it + SECOND > *end).count())
        .max()
        .unwrap();
    expect_that!(most as f64, le(COLD_RATE * 1.5 + 5.0));
    expect_that!(most, gt(15));
}

fn report(is_open: bool) -> LoadReport {
    LoadReport { running: 0, waiting: 0, is_open }
}

fn hear(gateway: &mut Gateway, n: u16, report: LoadReport) {
    gateway.tell(RoutingEvent::LoadReported { address: address(n), report, gateway_count: 9 });
}

#[gtest]
fn isolated_gateway_is_not_ready() {
    let group =
        |rank| GroupMembership { name: "g".parse().unwrap(), epoch: 1, rank, is_open: true };
    let servers: Vec<ServerRecord> = [(1, "a"), (2, "b"), (3, "b"), (4, "c"), (5, "c")]
        .map(|(n, domain)| ServerRecord { group: Some(group(n)), ..server(n, domain) })
        .into();
    let mut gateway = Gateway::new(RouteKind::ResumableStream, servers);
    for n in 1..6 {
        hear(&mut gateway, n, report(true));
    }
    expect_that!(gateway.state.is_ready(Moment(gateway.now)), eq(true));
    gateway.now += SECOND;
    // Only the own domain is heard; its rank is stalled, because the others of its group are away.
    hear(&mut gateway, 1, report(false));
    expect_that!(gateway.state.is_ready(Moment(gateway.now)), eq(false));
    // A server of the own domain that can be used is reason enough to stay.
    hear(&mut gateway, 1, report(true));
    expect_that!(gateway.state.is_ready(Moment(gateway.now)), eq(true));
    hear(&mut gateway, 1, report(false));
    hear(&mut gateway, 4, report(false));
    expect_that!(gateway.state.is_ready(Moment(gateway.now)), eq(true));
}

#[gtest]
fn full_servers_refuse_at_once() {
    let mut gateway = Gateway::new(RouteKind::Single, vec![server(1, "a"), server(2, "a")]);
    for n in [1, 2] {
        hear(&mut gateway, n, LoadReport { running: 12, waiting: 0, is_open: true });
    }
    let (_, effect) = gateway.arrive();
    expect_that!(refusal_of(&effect), some(eq((RefusalCode::Overloaded, RunOutcome::NotRun))));
    let RoutingEffect::Refuse(_, refusal) = effect else { return };
    let wait = refusal.retry_after.unwrap();
    expect_that!(wait, le(Duration::from_secs(8) / 3));
    expect_that!(wait, gt(Duration::from_millis(500)));
    // Half of the places are free: nothing is refused.
    hear(&mut gateway, 1, LoadReport { running: 6, waiting: 0, is_open: true });
    let (_, effect) = gateway.arrive();
    expect_that!(server_of(&effect), some(eq("i-1")));
}

fn pause_of(effect: &RoutingEffect) -> Option<Duration> {
    match effect {
        RoutingEffect::Wait(_, pause) => Some(*pause),
        _ => None,
    }
}

fn only_rank() -> ServerRecord {
    let group = GroupMembership { name: "g".parse().unwrap(), epoch: 1, rank: 0, is_open: true };
    ServerRecord { group: Some(group), ..server(1, "a") }
}

#[gtest]
fn returning_callers_wait() {
    let mut gateway = Gateway::new(RouteKind::ResumableStream, vec![only_rank()]);
    hear(&mut gateway, 1, report(false));
    // The first attempt is told when to come back; it has another.
    let (_, effect) = gateway.arrive();
    expect_that!(refusal_of(&effect), some(eq((RefusalCode::NoServer, RunOutcome::NotRun))));
    let (facts, mut effect) = gateway.return_after(Duration::from_secs(3));
    for _ in 0..10 {
        let pause = pause_of(&effect).unwrap();
        effect = gateway.wait(&facts, pause);
        hear(&mut gateway, 1, report(false));
    }
    hear(&mut gateway, 1, report(true));
    let pause = pause_of(&effect).unwrap();
    let effect = gateway.wait(&facts, pause);
    expect_that!(server_of(&effect), some(eq("i-1")));
}

#[gtest]
fn lost_ranks_end_waiting() {
    let group =
        |rank| Some(GroupMembership { name: "g".parse().unwrap(), epoch: 1, rank, is_open: false });
    let ranks = [1, 2].map(|n| ServerRecord { group: group(n), group_size: 2, ..server(n, "a") });
    let mut gateway = Gateway::new(RouteKind::ResumableStream, ranks.to_vec());
    (1..=2).for_each(|n| hear(&mut gateway, n, report(false)));
    let (facts, effect) = gateway.return_after(Duration::from_secs(3));
    let pause = pause_of(&effect).unwrap();
    // One rank's agent falls silent: nobody knows when the group works again.
    gateway.now += SECOND;
    hear(&mut gateway, 1, report(false));
    let refused = || some(eq((RefusalCode::NoServer, RunOutcome::NotRun)));
    expect_that!(refusal_of(&gateway.wait(&facts, pause)), refused());
    // The other's entry is gone, so that all that are listed are heard.
    gateway.tell(RoutingEvent::DirectoryRead(vec![ranks[0].clone()]));
    let (_, effect) = gateway.return_after(Duration::from_secs(3));
    expect_that!(refusal_of(&effect), refused());
}

#[gtest]
fn waiting_has_an_end() {
    let mut gateway = Gateway::new(RouteKind::ResumableStream, vec![only_rank()]);
    hear(&mut gateway, 1, report(false));
    let begun = gateway.now;
    let (facts, mut effect) = gateway.return_after(Duration::from_secs(3));
    while let Some(pause) = pause_of(&effect) {
        hear(&mut gateway, 1, report(false));
        effect = gateway.wait(&facts, pause);
        // Callers of streams leave after two seconds without an event.
        assert_that!(gateway.now - begun, lt(2 * SECOND));
    }
    expect_that!(refusal_of(&effect), some(eq((RefusalCode::NoServer, RunOutcome::NotRun))));
}

#[gtest]
fn start_awaits_catalog() {
    let mut state = RoutingState::new(settings(BudgetSettings::default(), 7));
    let number = RequestNumber(1);
    let arrived = RoutingEvent::RequestArrived(facts(number));
    let effects = reduce(&mut state, Moment(0), arrived);
    expect_that!(effects.iter().filter_map(pause_of).count(), eq(1));
    let list = vec![server(1, "a")];
    let catalog = catalog(1, RouteKind::Idempotent);
    reduce(
        &mut state,
        Moment(0),
        RoutingEvent::CatalogRead { source: CatalogSource::Store, catalog },
    );
    reduce(&mut state, Moment(0), RoutingEvent::DirectoryRead(list));
    let waited = Duration::from_millis(100);
    let event = RoutingEvent::WaitEnded(RoutingRequest { waited, ..facts(number) });
    let effects = reduce(&mut state, Moment(100_000), event);
    expect_that!(effects.iter().find_map(server_of), some(eq("i-1")));
}
