//! The entry's routing beside a plain router that looks at everything anew for each request.

use std::collections::{BTreeMap, BTreeSet};

use alderbay::{
    config::{ConfigRecord, EntryValue, PlanRecord, ServiceState},
    core::{
        AttemptOutcome, CoreSettings, Effect, Event, ProcessState, RequestInfo, TimedEvent,
        VmRecord, reduce,
    },
    platform::{LogPage, LogRecord},
    units::{ConcurrencyLimit, ConfigVersion, IncarnationId, LogOffset, Moment, TokenCount, VmId},
    wire::{AgentReport, PeerHello, PeerRole, RefusalReason, RunMode, WIRE_VERSION},
};
use googletest::prelude::*;
use proptest::prelude::*;

use crate::{seeded, support::fleet::edit_of};

const SERVERS: usize = 6;
const LIMIT: u32 = 3;

fn server(n: usize) -> VmId {
    format!("b-{n}").parse().unwrap()
}

fn domain(n: usize) -> String {
    format!("d{}", n % 3)
}

/// All that the naive router knows: it looks through all servers for each request.
#[derive(Default)]
struct NaiveRouter {
    connected: BTreeSet<usize>,
    out: BTreeSet<usize>,
    out_domains: BTreeSet<String>,
    load: BTreeMap<usize, u32>,
}

impl NaiveRouter {
    fn may_serve(&self, n: usize) -> bool {
        self.connected.contains(&n)
            && !self.out.contains(&n)
            && !self.out_domains.contains(&domain(n))
    }

    /// Servers that a request may go to: the own domain's while one there has room, then any with
    /// room, then any.
    fn allowed(&self, tried: &BTreeSet<usize>) -> BTreeSet<usize> {
        let all: BTreeSet<usize> =
            (0..SERVERS).filter(|it| self.may_serve(*it) && !tried.contains(it)).collect();
        let has_room = |it: &usize| self.load.get(it).copied().unwrap_or(0) < LIMIT;
        let near = |it: &usize| domain(*it) == "d0" && has_room(it);
        let subset = |filter: &dyn Fn(&usize) -> bool| -> BTreeSet<usize> {
            all.iter().copied().filter(|it| filter(it)).collect()
        };
        [subset(&near), subset(&has_room), all.clone()]
            .into_iter()
            .find(|it| !it.is_empty())
            .unwrap_or_default()
    }
}

#[derive(Clone, Debug)]
enum Happening {
    Connect(usize),
    Lose(usize),
    SetVm(usize, bool),
    SetDomain(usize, bool),
    Request,
    Refused(usize),
    Answered(usize),
}

fn happening() -> impl Strategy<Value = Happening> {
    prop_oneof![
        2 => (0..SERVERS).prop_map(Happening::Connect),
        1 => (0..SERVERS).prop_map(Happening::Lose),
        1 => (0..SERVERS, any::<bool>()).prop_map(|(n, out)| Happening::SetVm(n, out)),
        1 => (0_usize..3, any::<bool>()).prop_map(|(n, out)| Happening::SetDomain(n, out)),
        6 => Just(Happening::Request),
        2 => (0_usize..20).prop_map(Happening::Refused),
        3 => (0_usize..20).prop_map(Happening::Answered),
    ]
}

struct Driver {
    state: ProcessState,
    naive: NaiveRouter,
    next_offset: u64,
    revisions: BTreeMap<String, ConfigVersion>,
    next_request: u64,
    /// Requests at a server, with the servers tried.
    at: Vec<(String, usize, BTreeSet<usize>)>,
}

impl Driver {
    fn new() -> Self {
        let state = ProcessState::new(CoreSettings::new(
            "e".parse().unwrap(),
            PeerRole::Entry,
            "d0".parse().unwrap(),
        ));
        let mut driver = Self {
            state,
            naive: NaiveRouter::default(),
            next_offset: 0,
            revisions: BTreeMap::new(),
            next_request: 0,
            at: Vec::new(),
        };
        driver.feed(Event::VmListRead((0..SERVERS).map(record).collect()));
        let plan = EntryValue::Plan(PlanRecord {
            services: ["llm".parse().unwrap()].into(),
            requests_per_second: 1e9.try_into().unwrap(),
            tokens_per_second: 1e9.try_into().unwrap(),
            concurrency: ConcurrencyLimit(1_000_000),
            priority: Default::default(),
        });
        driver.edit("plan/p", plan);
        let account = serde_json::json!({ "account": { "plan": "p", "key_hashes": [hash()] } });
        driver.edit("account/a", serde_json::from_value(account).unwrap());
        driver
    }

    fn feed(&mut self, event: Event) -> Vec<Effect> {
        reduce(&mut self.state, TimedEvent { at: Moment(0), event })
    }

    fn edit(&mut self, key: &str, value: EntryValue) {
        let replaces = self.revisions.get(key).copied().unwrap_or_default();
        let change = alderbay::config::ConfigChange {
            key: key.parse().unwrap(),
            replaces,
            value: Some(value),
        };
        let text = serde_json::to_string(&ConfigRecord::Edit(edit_of("t", vec![change]))).unwrap();
        let offset = LogOffset(self.next_offset);
        self.next_offset += 1;
        self.revisions.insert(key.into(), ConfigVersion(self.next_offset));
        let records = vec![LogRecord { offset, text }];
        let next = LogOffset(self.next_offset);
        self.feed(Event::ConfigRead(LogPage { first: LogOffset(0), next, records }));
        assert_eq!(self.state.ledger().version(), ConfigVersion(self.next_offset));
    }

    fn happen(&mut self, happening: &Happening) {
        match happening {
            Happening::Connect(n) if !self.naive.connected.contains(n) => self.connect(*n),
            Happening::Lose(n) if self.at.iter().all(|it| it.1 != *n) => {
                self.naive.connected.remove(n);
                self.feed(Event::PeerLost(server(*n)));
            }
            Happening::Connect(_) | Happening::Lose(_) => {}
            Happening::SetVm(n, out) => {
                match out {
                    true => self.naive.out.insert(*n),
                    false => self.naive.out.remove(n),
                };
                self.edit(&format!("vm/{}", server(*n)), EntryValue::State(state_of(*out)));
            }
            Happening::SetDomain(n, out) => {
                match out {
                    true => self.naive.out_domains.insert(domain(*n)),
                    false => self.naive.out_domains.remove(&domain(*n)),
                };
                let key = format!("failure_domain/{}", domain(*n));
                self.edit(&key, EntryValue::State(state_of(*out)));
            }
            Happening::Request => self.request(),
            Happening::Refused(nth) => self.end(*nth, AttemptOutcome::Refused(RefusalReason::Busy)),
            Happening::Answered(nth) => self.end(*nth, AttemptOutcome::Answered),
        }
    }

    fn connect(&mut self, n: usize) {
        self.naive.connected.insert(n);
        let hello = PeerHello {
            wire_version: WIRE_VERSION,
            vm: server(n),
            role: PeerRole::Agent,
            failure_domain: domain(n).parse().unwrap(),
            incarnation: IncarnationId(0),
            services: ["llm".parse().unwrap()].into(),
        };
        self.feed(Event::PeerConnected(hello));
        let report = AgentReport {
            limit: ConcurrencyLimit(LIMIT),
            running: 0,
            waiting: 0,
            state: ServiceState::In,
        };
        self.feed(Event::PeerReport { vm: server(n), report });
    }

    fn request(&mut self) {
        let id = format!("r{}", self.next_request);
        self.next_request += 1;
        let effects = self.feed(Event::RequestArrived(RequestInfo {
            request_id: id.parse().unwrap(),
            account: "a".parse().unwrap(),
            key_hash: serde_json::from_value(hash()).unwrap(),
            service: "llm".parse().unwrap(),
            deadline: Moment(1_000_000),
            mode: RunMode::Idempotent,
        }));
        self.follow(id, BTreeSet::new(), &effects);
    }

    fn end(&mut self, nth: usize, outcome: AttemptOutcome) {
        if self.at.is_empty() {
            return;
        }
        let (id, n, tried) = self.at.remove(nth % self.at.len());
        *self.naive.load.get_mut(&n).unwrap() -= 1;
        let request_id: alderbay::units::RequestId = id.parse().unwrap();
        let is_answered = outcome == AttemptOutcome::Answered;
        let ended = Event::AttemptEnded { request_id: request_id.clone(), vm: server(n), outcome };
        let effects = self.feed(ended);
        if is_answered {
            self.feed(Event::RequestEnded { request_id, tokens: TokenCount(0) });
            return;
        }
        self.follow(id, tried, &effects);
    }

    /// The choice must be among those that the naive router allows, and none only where it has none.
    fn follow(&mut self, id: String, mut tried: BTreeSet<usize>, effects: &[Effect]) {
        let allowed = self.naive.allowed(&tried);
        let chosen = effects.iter().find_map(|it| match it {
            Effect::Attempt { vm, .. } => Some(vm.clone()),
            _ => None,
        });
        let Some(vm) = chosen else {
            assert!(effects.iter().any(|it| matches!(it, Effect::Refuse { .. })));
            assert!(allowed.is_empty() || tried.len() >= 4, "refused, but {allowed:?} may serve");
            let request_id = id.parse().unwrap();
            self.feed(Event::RequestEnded { request_id, tokens: TokenCount(0) });
            return;
        };
        let n = (0..SERVERS).find(|it| server(*it) == vm).unwrap();
        assert!(allowed.contains(&n), "{vm} chosen, {allowed:?} allowed");
        tried.insert(n);
        *self.naive.load.entry(n).or_default() += 1;
        self.at.push((id, n, tried));
    }
}

fn state_of(out: bool) -> ServiceState {
    if out { ServiceState::Out } else { ServiceState::In }
}

fn hash() -> serde_json::Value {
    serde_json::to_value(alderbay::config::KeyHash::of_secret("s")).unwrap()
}

fn record(n: usize) -> VmRecord {
    VmRecord {
        vm: server(n),
        role: PeerRole::Agent,
        failure_domain: domain(n).parse().unwrap(),
        address: ([127, 0, 0, 1], 1).into(),
        admin: ([127, 0, 0, 1], 1).into(),
        services: BTreeSet::new(),
        state: ServiceState::In,
    }
}

proptest! {
    #![proptest_config(seeded(300))]

    #[test]
    fn chooses_as_the_naive_router_allows(
        happenings in proptest::collection::vec(happening(), 1..150)
    ) {
        let mut driver = Driver::new();
        for n in 0..SERVERS {
            driver.happen(&Happening::Connect(n));
        }
        for it in &happenings {
            driver.happen(it);
        }
    }
}

#[gtest]
fn no_server_is_said_at_once() {
    let mut driver = Driver::new();
    driver.request();
    expect_that!(driver.at, is_empty());
}
