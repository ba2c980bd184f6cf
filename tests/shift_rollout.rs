//! Explores a shift of popularity at every moment of a rollout, with a fault at every order and
//! message of it. Guards against ranks that start a step with different maps, against a hold for a
//! map that not all ranks have prepared, and against a group that hangs.

use std::ops::Range;

use alderbay::{
    experts::{
        MapRollout, MemberStatus, RankOrder, RolloutEffect, RolloutEvent, RolloutState, StepNumber,
        UsageSample,
    },
    routing::ExpertLayout,
    units::Moment,
};
use googletest::prelude::*;
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::support::rank_group::{GroupShape, ModelGroup};

const SHAPE: GroupShape = GroupShape { ranks: 3, layers: 1, experts: 6, rank_slots: 4 };
/// Counts of an interval before and after the shift. The popular experts are on one rank.
const COUNTS: [[u64; 6]; 2] = [[900, 10, 10, 900, 10, 10], [10, 900, 10, 10, 900, 10]];
const TICK_MS: u64 = 10;
const AGENT_TICK_MS: u64 = 20;
const STATUS_MS: u64 = 40;
const INTERVAL_MS: u64 = 100;
const MESSAGE_DELAY_MS: u64 = 10;
/// Time from the start to the end of the shifts explored, which covers the first rollout.
const SHIFT_TIMES_MS: Range<u64> = 100..900;
/// Time from a shift until no more faults are explored; covers the rollout that answers the shift.
const FAULT_WINDOW_MS: u64 = 1_300;
/// Time after the last effect of a fault in which the group has to recover.
const RECOVERY_MS: u64 = 3_000;

/// What happens to an order or message, or to its sender right afterwards.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    Lost,
    /// Carried out or delivered this many milliseconds later, and unanswered.
    Late(u64),
    /// As `Late`; the group has no requests, and so starts no step, in the meantime.
    LateWhileIdle(u64),
    /// As `LateWhileIdle`, and the sender is killed.
    LateThenKilled(u64),
    /// Carried out without an answer.
    Unanswered,
    /// The sender restarts without memory after this many milliseconds.
    Killed(u64),
    Frozen(u64),
}

const FAULTS: [Fault; 10] = [
    Fault::Lost,
    Fault::Late(200),
    Fault::Late(2_000),
    Fault::Late(12_000),
    Fault::LateWhileIdle(2_000),
    Fault::LateThenKilled(400),
    Fault::LateThenKilled(2_000),
    Fault::Unanswered,
    Fault::Killed(0),
    Fault::Frozen(1_000),
];

#[derive(Clone)]
enum Delivery {
    Status(usize, MemberStatus),
    Rollout(usize, MapRollout),
    /// The sender's epoch, the rank and the order.
    Order(u64, usize, RankOrder),
}

#[derive(Clone)]
struct Exploration {
    rng: SmallRng,
    group: ModelGroup,
    agents: Vec<RolloutState>,
    frozen_until: Vec<u64>,
    /// Time and content.
    deliveries: Vec<(u64, Delivery)>,
    now: u64,
    pass_ms: u64,
    /// Time from an order by way of another group's agent to its execution.
    hold_delay_ms: u64,
    next_pass_at: u64,
    idle_until: u64,
    shift_at: u64,
    /// Orders and rollout messages sent so far.
    emissions: usize,
    /// The emission that the fault strikes.
    fault: Option<(usize, Fault)>,
    has_late_order: bool,
    has_coordinator_restarted: bool,
    superseded: usize,
    activated: usize,
    /// Holds of the step after the one in progress.
    next_step_holds: usize,
}

impl Exploration {
    fn new(pass_ms: u64, hold_delay_ms: u64, shift_at: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(17);
        let agents = (0..SHAPE.ranks).map(|_| new_agent(&mut rng)).collect();
        Self {
            rng,
            group: ModelGroup::new(1, SHAPE),
            agents,
            frozen_until: vec![0; SHAPE.ranks],
            deliveries: Vec::new(),
            now: 0,
            pass_ms,
            hold_delay_ms,
            next_pass_at: pass_ms,
            idle_until: 0,
            shift_at,
            emissions: 0,
            fault: None,
            has_late_order: false,
            has_coordinator_restarted: false,
            superseded: 0,
            activated: 0,
            next_step_holds: 0,
        }
    }

    /// Runs one tick. Returns a violation if there is one.
    fn tick(&mut self) -> std::result::Result<(), String> {
        self.now += TICK_MS;
        self.deliver();
        for n in 0..self.agents.len() {
            if self.frozen_until[n] <= self.now && self.now % AGENT_TICK_MS == (n as u64 % 2) * 10 {
                self.tick_agent(n);
            }
        }
        self.check_hold()?;
        if self.now < self.next_pass_at || self.now < self.idle_until {
            return Ok(());
        }
        let step = self.group.step;
        let violation = self.group.start_step();
        if self.group.step > step {
            self.next_pass_at = self.now + self.pass_ms;
        }
        violation.map_or(Ok(()), Err)
    }

    /// A step is held only while all ranks have prepared one map; else the group would wait for
    /// copies. That cannot be helped if an order to hold is late, or if the coordinator has
    /// restarted and knows nothing of orders under way.
    fn check_hold(&self) -> std::result::Result<(), String> {
        if self.has_late_order || self.has_coordinator_restarted {
            return Ok(());
        }
        let reports: Vec<_> = (0..SHAPE.ranks).map(|it| self.group.report(it, self.now)).collect();
        let is_waiting = reports[0].held == Some(StepNumber(self.group.step + 1));
        let prepared = reports[0].prepared;
        let is_ready = prepared.is_some() && reports.iter().all(|it| it.prepared == prepared);
        if is_waiting && !is_ready {
            let prepared: Vec<_> = reports.iter().map(|it| it.prepared).collect();
            return Err(format!("{} ms: held while prepared are {prepared:?}", self.now));
        }
        Ok(())
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = self.deliveries.drain(..).partition(|it| it.0 <= now);
        self.deliveries = later;
        let at = Moment(now * 1_000);
        for (_, delivery) in due {
            match delivery {
                Delivery::Status(to, status) => self.agents[to].handle_status(status, at),
                Delivery::Rollout(to, rollout) => self.agents[to].handle_rollout(rollout, at),
                Delivery::Order(epoch, rank, order) => {
                    self.group.execute_order(rank, epoch, &order, now);
                }
            }
        }
    }

    fn tick_agent(&mut self, n: usize) {
        let at = Moment(self.now * 1_000);
        let effects = self.agents[n].handle_report(self.group.report(n, self.now));
        self.execute_effects(n, effects);
        if self.now % STATUS_MS < AGENT_TICK_MS {
            let experts = self.group.ranks[n].experts.clone();
            let Some(mut status) = self.agents[n].status(experts, at) else { return };
            if self.now % INTERVAL_MS < STATUS_MS {
                let counts = COUNTS[usize::from(self.now >= self.shift_at)];
                status.counts = Some(UsageSample::from_counters(&[0; 6], &counts));
            }
            for to in 0..SHAPE.ranks {
                let delivery = Delivery::Status(to, status.clone());
                self.deliveries.push((self.now + MESSAGE_DELAY_MS, delivery));
                status.counts = None;
            }
        }
        if self.now % INTERVAL_MS < AGENT_TICK_MS {
            let effects = self.agents[n].close_interval();
            self.execute_effects(n, effects);
        }
        let effects = self.agents[n].reconcile(at);
        self.execute_effects(n, effects);
    }

    fn execute_effects(&mut self, n: usize, effects: Vec<RolloutEffect>) {
        let epoch = self.agents[n].place().map_or(0, |it| it.epoch);
        let order = |rank: usize, order: RankOrder| Delivery::Order(epoch, rank, order);
        for effect in effects {
            match effect {
                RolloutEffect::Log(RolloutEvent::Activated(_)) => self.activated += 1,
                RolloutEffect::Log(RolloutEvent::Superseded(_)) => self.superseded += 1,
                RolloutEffect::Log(_) => {}
                RolloutEffect::Broadcast(ranks, rollout) | RolloutEffect::Relay(ranks, rollout) => {
                    for rank in ranks {
                        let delivery = Delivery::Rollout(usize::from(rank), rollout.clone());
                        self.emit(n, MESSAGE_DELAY_MS, delivery);
                    }
                }
                RolloutEffect::OrderOwnEngine(it) => self.emit(n, 0, order(n, it)),
                RolloutEffect::RequestHold(step) => {
                    self.next_step_holds += usize::from(step.0 == self.group.step + 1);
                    self.emit(n, self.hold_delay_ms, order(n, RankOrder::Hold(step)));
                }
                RolloutEffect::OrderPeer(rank, it) => {
                    self.emit(n, 0, order(usize::from(rank), it));
                }
                RolloutEffect::PollPeer(rank) => {
                    let report = self.group.report(usize::from(rank), self.now);
                    let at = Moment(self.now * 1_000);
                    self.agents[n].handle_peer_report(rank, report, at);
                }
            }
        }
    }

    /// Sends an order or message, or has the fault strike it.
    fn emit(&mut self, from: usize, delay: u64, delivery: Delivery) {
        let fault = self.fault.filter(|it| it.0 == self.emissions).map(|it| it.1);
        self.emissions += 1;
        let has_answer = match fault {
            None | Some(Fault::Killed(_) | Fault::Frozen(_)) => true,
            Some(Fault::Lost | Fault::Late(_) | Fault::LateWhileIdle(_)) => false,
            Some(Fault::LateThenKilled(_) | Fault::Unanswered) => false,
        };
        // Requests to hold a step go by way of another agent, so their sender awaits no answer.
        let is_awaited =
            matches!(&delivery, Delivery::Order(_, _, it) if !matches!(it, RankOrder::Hold(_)));
        if !has_answer && is_awaited {
            self.agents[from].record_unanswered(Moment(self.now * 1_000));
        }
        let lateness = match fault {
            None => Some(0),
            Some(Fault::Lost) => None,
            Some(Fault::Late(late)) => Some(late),
            Some(Fault::LateWhileIdle(late)) => {
                self.idle_until = self.now + late + RECOVERY_MS / 2;
                Some(late)
            }
            Some(Fault::LateThenKilled(late)) => {
                self.idle_until = self.now + late + RECOVERY_MS / 2;
                self.kill(from, 0);
                Some(late)
            }
            Some(Fault::Unanswered) => Some(0),
            Some(Fault::Killed(downtime)) => {
                self.kill(from, downtime);
                Some(0)
            }
            Some(Fault::Frozen(time)) => {
                self.frozen_until[from] = self.now + time;
                Some(0)
            }
        };
        let Some(lateness) = lateness else { return };
        self.has_late_order |= lateness > 0;
        match (&delivery, delay + lateness) {
            (Delivery::Order(epoch, rank, order), 0) => {
                self.group.execute_order(*rank, *epoch, order, self.now);
            }
            (_, delay) => self.deliveries.push((self.now + delay, delivery)),
        }
    }

    fn kill(&mut self, n: usize, downtime: u64) {
        self.agents[n] = new_agent(&mut self.rng);
        self.frozen_until[n] = self.now + downtime;
        self.has_coordinator_restarted |= n == 0;
    }

    /// Runs on after a fault. Returns a violation, or that the group hangs.
    fn run_out(mut self, fault: Fault) -> std::result::Result<Self, String> {
        let delay = match fault {
            Fault::Late(it) | Fault::Killed(it) | Fault::Frozen(it) => it,
            Fault::LateWhileIdle(it) | Fault::LateThenKilled(it) => it + RECOVERY_MS / 2,
            Fault::Lost | Fault::Unanswered => 0,
        };
        let until = self.now + delay + RECOVERY_MS;
        let mut step = self.group.step;
        while self.now < until {
            if self.now == until - until % TICK_MS - RECOVERY_MS / 3 {
                step = self.group.step;
            }
            self.tick()?;
        }
        if self.group.step < step + 3 {
            return Err(format!("the group hangs at step {step}"));
        }
        Ok(self)
    }
}

fn new_agent(rng: &mut SmallRng) -> RolloutState {
    let mut agent = RolloutState::new(SmallRng::seed_from_u64(rng.random()));
    agent.set_layout(ExpertLayout {
        layers: SHAPE.layers,
        experts: SHAPE.experts,
        rank_slots: SHAPE.rank_slots,
        max_new: 2,
        // A shift abandons a rollout only where copies are this quick.
        copy_seconds: 0.09,
    });
    agent
}

/// Counts over all explored runs.
#[derive(Debug, Default)]
struct Coverage {
    runs: usize,
    superseded: usize,
    activated: usize,
    next_step_holds: usize,
}

/// Explores all shift times and faults with passes of this length.
fn explore(pass_ms: u64, hold_delay_ms: u64) -> std::result::Result<Coverage, String> {
    let mut coverage = Coverage::default();
    for shift_at in SHIFT_TIMES_MS.step_by(20) {
        let mut base = Exploration::new(pass_ms, hold_delay_ms, shift_at);
        while base.now < shift_at + FAULT_WINDOW_MS {
            let before = base.clone();
            base.tick().map_err(|it| format!("shift at {shift_at} ms: {it}"))?;
            for emission in before.emissions..base.emissions {
                for fault in FAULTS {
                    let run = Exploration { fault: Some((emission, fault)), ..before.clone() };
                    let end = run.run_out(fault).map_err(|it| {
                        format!("shift at {shift_at} ms, {fault:?} of emission {emission}: {it}")
                    })?;
                    coverage.runs += 1;
                    coverage.superseded += end.superseded;
                    coverage.activated += end.activated;
                    coverage.next_step_holds += end.next_step_holds;
                }
            }
        }
    }
    println!("passes of {pass_ms} ms: {coverage:?}");
    Ok(coverage)
}

#[gtest]
fn shift_at_any_point_of_short_passes() {
    match explore(50, 30) {
        Ok(coverage) => {
            expect_that!(coverage.runs, gt(1_000));
            expect_that!(coverage.superseded, gt(0));
            expect_that!(coverage.activated, gt(0));
        }
        Err(violation) => add_failure!("{violation}"),
    }
}

#[gtest]
fn shift_at_any_point_of_long_passes() {
    match explore(140, 30) {
        Ok(coverage) => {
            expect_that!(coverage.runs, gt(1_000));
            expect_that!(coverage.next_step_holds, gt(0));
            expect_that!(coverage.superseded, gt(0));
            expect_that!(coverage.activated, gt(0));
        }
        Err(violation) => add_failure!("{violation}"),
    }
}

/// A shift is often detected while a requested hold is under way.
#[gtest]
fn shift_at_any_point_of_slow_orders() {
    match explore(280, 240) {
        Ok(coverage) => {
            expect_that!(coverage.runs, gt(1_000));
            expect_that!(coverage.superseded, gt(0));
            expect_that!(coverage.activated, gt(0));
        }
        Err(violation) => add_failure!("{violation}"),
    }
}
