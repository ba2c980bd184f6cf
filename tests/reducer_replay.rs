//! Property tests of an agent's reducer: its invariants hold for random events, and replaying
//! recorded events gives the same effects.

use std::{collections::BTreeMap, time::Duration};

use alderbay::{
    config::{ConfigChange, ConfigLedger, ConfigRecord, EntryValue, ServiceState},
    core::{
        ClaimOwner, ClaimRecord, CoreSettings, Effect, Event, ProcessState, RampSettings,
        StoredAnswer, TimedEvent, WorkId, WorkItem, WorkOutcome, reduce,
    },
    units::{
        ConcurrencyLimit, ConfigVersion, IncarnationId, LogOffset, Moment, PriorityLevel,
        TokenCount,
    },
    wire::{IdempotencyKey, PeerRole, RunMode},
};
use googletest::prelude::*;
use proptest::prelude::*;
use uuid::Uuid;

use crate::{seeded, support::fleet::edit_of};

const COLD_LIMIT: u32 = 2;
const WARM_LIMIT: u32 = 6;

fn agent() -> ProcessState {
    ProcessState::new(CoreSettings {
        vm: "b-1".parse().unwrap(),
        role: PeerRole::Agent,
        failure_domain: "d".parse().unwrap(),
        incarnation: IncarnationId(7),
        services: vec!["ledger".parse().unwrap()],
        attempts: Default::default(),
        ramp: RampSettings {
            cold_concurrency: ConcurrencyLimit(COLD_LIMIT),
            warm_concurrency: ConcurrencyLimit(WARM_LIMIT),
            warm_up_progress: TokenCount(8),
            slow_factor: 4.0,
        },
        queue: Default::default(),
        seed: 1,
    })
}

/// One random step of a test case.
#[derive(Clone, Debug)]
enum AgentStep {
    /// Work arrives; without a key it is idempotent.
    Submit { key: Option<u8>, time_left_ms: u64 },
    /// The caller abandons the work with this number, unless it is running.
    Abandon(u64),
    /// Running work ends; `nth`, modulo the running count, selects it.
    End { nth: usize, outcome: u8 },
    /// The pending claims are read back from the log, after another agent's claims on the same
    /// keys if `is_taken`.
    ReadClaims { is_taken: bool },
    /// Appending the pending claims to the log fails.
    FailClaims,
    /// The clock advances by this many milliseconds and the timer fires.
    Advance(u64),
    /// The agent is asked to stop.
    Stop,
}

fn agent_step() -> impl Strategy<Value = AgentStep> {
    prop_oneof![
        6 => (proptest::option::of(0_u8..4), 1_u64..500)
            .prop_map(|(key, time_left_ms)| AgentStep::Submit { key, time_left_ms }),
        1 => (0_u64..30).prop_map(AgentStep::Abandon),
        4 => (0_usize..6, 0_u8..4).prop_map(|(nth, outcome)| AgentStep::End { nth, outcome }),
        4 => proptest::bool::weighted(0.2).prop_map(|is_taken| AgentStep::ReadClaims { is_taken }),
        1 => Just(AgentStep::FailClaims),
        2 => (1_u64..300).prop_map(AgentStep::Advance),
        1 => proptest::bool::weighted(0.1)
            .prop_map(|is_stop| if is_stop { AgentStep::Stop } else { AgentStep::Advance(1) }),
    ]
}

/// Feeds events to an agent's reducer and counts its effects, which the invariants are checked
/// against.
struct Driver {
    state: ProcessState,
    now: Moment,
    next_work: u64,
    items: BTreeMap<WorkId, WorkItem>,
    running: Vec<WorkId>,
    /// Number of answers to each work item.
    answers: BTreeMap<WorkId, u32>,
    /// Keys whose claims are appended but not read back yet.
    pending_claims: Vec<IdempotencyKey>,
    claimed_by_other: Vec<IdempotencyKey>,
    /// Keys that this agent claimed before any other agent.
    claimed: Vec<IdempotencyKey>,
    /// Number of times that work with each key was handed to the backend server.
    handovers: BTreeMap<IdempotencyKey, u32>,
    events: Vec<TimedEvent>,
    effects: Vec<Effect>,
}

impl Driver {
    fn new() -> Self {
        let mut driver = Self {
            state: agent(),
            now: Moment(0),
            next_work: 0,
            items: BTreeMap::new(),
            running: Vec::new(),
            answers: BTreeMap::new(),
            pending_claims: Vec::new(),
            claimed_by_other: Vec::new(),
            claimed: Vec::new(),
            handovers: BTreeMap::new(),
            events: Vec::new(),
            effects: Vec::new(),
        };
        driver.feed(Event::ClaimsReplayed);
        driver
    }

    fn feed(&mut self, event: Event) {
        let timed = TimedEvent { at: self.now, event };
        self.events.push(timed.clone());
        let effects = reduce(&mut self.state, timed);
        for effect in &effects {
            self.count_effect(effect);
        }
        self.effects.extend(effects);
    }

    fn count_effect(&mut self, effect: &Effect) {
        match effect {
            Effect::StartWork(work) => {
                self.running.push(*work);
                if let RunMode::Keyed(key) = &self.items[work].mode {
                    assert!(
                        self.claimed.contains(key),
                        "work handed over without a claim on its key"
                    );
                    *self.handovers.entry(key.clone()).or_default() += 1;
                }
            }
            Effect::RefuseWork { work, .. }
            | Effect::PointToClaim { work, .. }
            | Effect::ReplayAnswer { work, .. } => {
                *self.answers.entry(*work).or_default() += 1;
            }
            Effect::AppendClaims(keys) => self.pending_claims.extend(keys.iter().cloned()),
            _ => {}
        }
    }

    fn run_step(&mut self, step: &AgentStep) {
        match step {
            AgentStep::Submit { key, time_left_ms } => self.submit(*key, *time_left_ms),
            AgentStep::Abandon(work) => {
                let work = WorkId(*work);
                if !self.running.contains(&work) {
                    self.feed(Event::WorkAbandoned(work));
                }
            }
            AgentStep::End { nth, outcome } => self.end_running(*nth, *outcome),
            AgentStep::ReadClaims { is_taken } => self.read_claims(*is_taken),
            AgentStep::FailClaims => {
                let keys = std::mem::take(&mut self.pending_claims);
                self.feed(Event::ClaimsFailed(keys));
            }
            AgentStep::Advance(ms) => {
                self.now = self.now.after(Duration::from_millis(*ms));
                self.feed(Event::TimerFired);
            }
            AgentStep::Stop => self.feed(Event::StopRequested),
        }
    }

    fn submit(&mut self, key: Option<u8>, time_left_ms: u64) {
        let work = WorkId(self.next_work);
        self.next_work += 1;
        let account: alderbay::units::ClientAccount = "dues".parse().unwrap();
        let mode = match key {
            None => RunMode::Idempotent,
            Some(key) => RunMode::Keyed(IdempotencyKey {
                account: account.clone(),
                key: Uuid::from_u128(u128::from(key)),
            }),
        };
        let item = WorkItem {
            work,
            account,
            service: "ledger".parse().unwrap(),
            priority: PriorityLevel(0),
            deadline: self.now.after(Duration::from_millis(time_left_ms)),
            mode,
        };
        self.items.insert(work, item.clone());
        self.feed(Event::WorkArrived(item));
    }

    fn end_running(&mut self, nth: usize, outcome: u8) {
        if self.running.is_empty() {
            return;
        }
        let work = self.running.remove(nth % self.running.len());
        *self.answers.entry(work).or_default() += 1;
        let answer = StoredAnswer { status: 201, headers: Vec::new(), body: Default::default() };
        let outcome = match outcome {
            0 => WorkOutcome::NotHandedOver,
            1 => WorkOutcome::Broken,
            _ => WorkOutcome::Finished(Some(answer)),
        };
        if let (WorkOutcome::NotHandedOver, RunMode::Keyed(key)) =
            (&outcome, &self.items[&work].mode)
        {
            // The work provably never reached the backend server, so it did not run.
            *self.handovers.get_mut(key).unwrap() -= 1;
        }
        let (tokens, elapsed) = (TokenCount(1), Duration::from_millis(1));
        self.feed(Event::WorkProgressed { work, tokens, elapsed });
        self.feed(Event::WorkEnded { work, outcome });
    }

    fn read_claims(&mut self, is_taken: bool) {
        let keys = std::mem::take(&mut self.pending_claims);
        if keys.is_empty() {
            return;
        }
        let other = ClaimOwner { vm: "b-2".parse().unwrap(), incarnation: IncarnationId(9) };
        let own = ClaimOwner { vm: "b-1".parse().unwrap(), incarnation: IncarnationId(7) };
        if is_taken {
            self.claimed_by_other.extend(keys.iter().cloned());
            let record = ClaimRecord { owner: other, keys: keys.clone() };
            self.feed(Event::ClaimRead { offset: LogOffset(0), record });
        }
        for key in &keys {
            if !self.claimed_by_other.contains(key) {
                self.claimed.push(key.clone());
            }
        }
        let record = ClaimRecord { owner: own, keys };
        self.feed(Event::ClaimRead { offset: LogOffset(1), record });
    }

    fn check_invariants(&self) {
        let report = self.state.report();
        assert!(
            self.running.len() <= WARM_LIMIT as usize,
            "more work runs than the warm concurrency limit"
        );
        assert!(
            report.running as usize == self.running.len(),
            "the report miscounts the running work"
        );
        assert!(self.handovers.values().all(|it| *it <= 1), "a key ran twice");
        assert!(self.answers.values().all(|it| *it <= 1), "work was answered twice");
    }
}

proptest! {
    #![proptest_config(seeded(400))]

    #[test]
    fn invariants_hold(steps in proptest::collection::vec(agent_step(), 1..120)) {
        let mut driver = Driver::new();
        for it in &steps {
            driver.run_step(it);
            driver.check_invariants();
        }
        // All deadlines pass, so the work still queued is refused; then the running work ends.
        driver.now = driver.now.after(Duration::from_secs(10));
        driver.feed(Event::TimerFired);
        while !driver.running.is_empty() {
            driver.end_running(0, 2);
            driver.check_invariants();
        }
        driver.feed(Event::TimerFired);
        prop_assert!(driver.state.is_idle(), "the agent still holds work");
    }

    #[test]
    fn recorded_events_replay(steps in proptest::collection::vec(agent_step(), 1..80)) {
        let mut driver = Driver::new();
        for it in &steps {
            driver.run_step(it);
        }
        let recorded = serde_json::to_string(&driver.events).unwrap();
        let events: Vec<TimedEvent> = serde_json::from_str(&recorded).unwrap();
        let mut state = agent();
        let replayed: Vec<Effect> =
            events.into_iter().flat_map(|it| reduce(&mut state, it)).collect();
        prop_assert_eq!(replayed, driver.effects);
    }

    #[test]
    fn decoders_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = postcard::from_bytes::<alderbay::wire::WorkRequest>(&bytes);
        let _ = postcard::from_bytes::<alderbay::wire::WorkReply>(&bytes);
        let _ = postcard::from_bytes::<alderbay::wire::ControlMessage>(&bytes);
        let text = String::from_utf8_lossy(&bytes);
        let mut ledger = ConfigLedger::default();
        ledger.apply_text(LogOffset(0), &text);
        prop_assert_eq!(ledger.version().0, 1);
    }
}

#[gtest]
fn stopping_agent_refuses_work() {
    let mut driver = Driver::new();
    driver.feed(Event::StopRequested);
    driver.submit(None, 1_000);
    expect_that!(driver.running, is_empty());
    expect_that!(driver.answers[&WorkId(0)], eq(1));
    expect_that!(driver.state.report().state, eq(ServiceState::Out));
}

#[gtest]
fn snapshot_reports_rejected_edits() {
    let mut ledger = ConfigLedger::default();
    for n in 0..3 {
        let change = ConfigChange {
            key: "vm/b-9".parse().unwrap(),
            replaces: ConfigVersion(0),
            value: Some(EntryValue::State(ServiceState::Out)),
        };
        let edit = ConfigRecord::Edit(edit_of(&format!("operator-{n}"), vec![change]));
        ledger.apply_text(LogOffset(n), &serde_json::to_string(&edit).unwrap());
    }
    let mut state = agent();
    let event = Event::SnapshotReceived(Box::new(ledger.snapshot()));
    let effects = reduce(&mut state, TimedEvent { at: Moment(1), event });
    let rejected = effects
        .iter()
        .filter(|it| matches!(it, Effect::EditDecided(verdict) if verdict.rejected.is_some()));
    // A process that only received the snapshot also reports why the second and third edits failed.
    expect_that!(rejected.count(), eq(2));
    let event = Event::SnapshotReceived(Box::new(ledger.snapshot()));
    let again = reduce(&mut state, TimedEvent { at: Moment(2), event });
    expect_that!(again.iter().any(|it| matches!(it, Effect::EditDecided(_))), eq(false));
}
