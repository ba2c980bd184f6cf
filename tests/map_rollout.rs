//! Simulates rollouts of expert maps on modelled engines that lose answers and execute orders late,
//! with agents that are killed, frozen or cut off. Guards against a step that ranks start with
//! different maps, and against a group that hangs.

use std::collections::{BTreeMap, VecDeque};

use alderbay::{
    experts::{
        GroupMap, MapRollout, MapVersion, MemberStatus, RankOrder, RankReport, RolloutEffect,
        RolloutEvent, RolloutState, StepNumber, UsageSample,
    },
    routing::{ExpertLayout, GroupMembership},
    units::Moment,
};
use googletest::prelude::*;
use rand::{Rng, SeedableRng, rngs::SmallRng};

const RANKS: usize = 4;
const LAYERS: usize = 2;
const EXPERTS: usize = 8;
const TICK_MS: u64 = 10;
const FAULT_PHASE_MS: u64 = 40_000;
const RECOVERY_PHASE_MS: u64 = 20_000;
const SEED_COUNT: u64 = 150;

/// Model of the engine of one rank, as the platform specifies it.
#[derive(Clone, Default)]
struct ModelRank {
    /// Version of the map in use.
    map: u64,
    /// Experts on this rank, by layer.
    experts: Vec<Vec<u16>>,
    /// Version, map, and time in milliseconds from which the map can be armed.
    prepared: Option<(u64, GroupMap, u64)>,
    /// Version, and first step that uses it.
    armed: Option<(u64, u64)>,
    /// Step that must not start.
    held: Option<u64>,
    /// Highest version that the rank has accepted for preparation.
    highest: u64,
}

struct ModelGroup {
    ranks: Vec<ModelRank>,
    step: u64,
    epoch: u64,
    /// Maps by version. A version must always name the same map.
    maps: BTreeMap<u64, GroupMap>,
}

impl ModelGroup {
    fn new(epoch: u64) -> Self {
        let on_rank = |rank| (0..EXPERTS).filter(move |it| it % RANKS == rank).map(|it| it as u16);
        let rank =
            |n| ModelRank { experts: vec![on_rank(n).collect(); LAYERS], ..ModelRank::default() };
        Self { ranks: (0..RANKS).map(rank).collect(), step: 0, epoch, maps: BTreeMap::new() }
    }

    /// Starts the next step unless a rank holds it. Returns the violation if ranks start it with
    /// different maps.
    fn start_step(&mut self) -> Option<String> {
        let next = self.step + 1;
        if self.ranks.iter().any(|it| it.held == Some(next)) {
            return None;
        }
        self.step = next;
        for (n, rank) in self.ranks.iter_mut().enumerate() {
            if let Some((version, step)) = rank.armed
                && step == next
            {
                rank.map = version;
                rank.experts = self.maps[&version].iter().map(|layer| layer[n].clone()).collect();
                rank.armed = None;
                rank.prepared = None;
            }
        }
        let maps: Vec<u64> = self.ranks.iter().map(|it| it.map).collect();
        maps.iter()
            .any(|it| *it != maps[0])
            .then(|| format!("step {next} starts with maps {maps:?}"))
    }

    /// Executes an order. Returns false if the rank rejects it.
    fn execute_order(&mut self, rank: usize, epoch: u64, order: &RankOrder, now: u64) -> bool {
        if epoch != self.epoch {
            return false;
        }
        let step = self.step;
        let it = &mut self.ranks[rank];
        match order {
            RankOrder::Prepare { version, map } => {
                if it.prepared.as_ref().is_some_and(|it| it.0 == version.0) {
                    return true;
                }
                if version.0 <= it.highest || it.armed.is_some() {
                    return false;
                }
                let first = self.maps.entry(version.0).or_insert_with(|| map.clone());
                assert_eq!(first, map, "version {version:?} names two maps");
                it.highest = version.0;
                it.prepared = Some((version.0, map.clone(), now + 150));
                true
            }
            RankOrder::Arm { version, step: target } => {
                let is_prepared =
                    it.prepared.as_ref().is_some_and(|it| it.0 == version.0 && it.2 <= now);
                if !is_prepared || target.0 <= step {
                    return false;
                }
                it.armed = Some((version.0, target.0));
                true
            }
            RankOrder::Hold(target) => {
                if target.0 <= step || it.held.is_some_and(|it| it != target.0 && it > step) {
                    return false;
                }
                it.held = Some(target.0);
                true
            }
            RankOrder::Release(target) => {
                if it.held == Some(target.0) {
                    it.held = None;
                }
                true
            }
        }
    }

    fn report(&self, rank: usize, now: u64) -> RankReport {
        let it = &self.ranks[rank];
        let prepared = it.prepared.as_ref().filter(|it| it.2 <= now).map(|it| MapVersion(it.0));
        RankReport {
            running: 1,
            waiting: 0,
            step: StepNumber(self.step),
            map: MapVersion(it.map),
            prepared,
            armed: it.armed.map(|(version, step)| (MapVersion(version), StepNumber(step))),
            held: it.held.filter(|it| *it > self.step).map(StepNumber),
            group: Some(GroupMembership {
                name: "g".parse().unwrap(),
                epoch: self.epoch,
                rank: rank as u16,
                is_open: true,
            }),
            group_size: RANKS as u16,
        }
    }
}

#[derive(Clone)]
enum Message {
    Status(MemberStatus),
    Rollout(MapRollout),
}

/// A group with its agents, the network between them, and random faults.
struct Simulation {
    rng: SmallRng,
    group: ModelGroup,
    agents: Vec<RolloutState>,
    frozen_until: Vec<u64>,
    /// Time of delivery, receiving agent and message.
    messages: Vec<(u64, usize, Message)>,
    /// Time of execution, rank, epoch of the sender and order.
    late_orders: VecDeque<(u64, usize, u64, RankOrder)>,
    /// Simulated time in milliseconds.
    now: u64,
    has_faults: bool,
    activated: usize,
    takeovers: usize,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let agents = (0..RANKS).map(|_| new_agent(&mut rng)).collect();
        Self {
            rng,
            group: ModelGroup::new(1),
            agents,
            frozen_until: vec![0; RANKS],
            messages: Vec::new(),
            late_orders: VecDeque::new(),
            now: 0,
            has_faults: true,
            activated: 0,
            takeovers: 0,
        }
    }

    fn moment(&self) -> Moment {
        Moment(self.now * 1_000)
    }

    /// True with this probability while faults are enabled.
    fn draw_fault(&mut self, probability: f64) -> bool {
        self.has_faults && self.rng.random_bool(probability)
    }

    /// Runs until this time in milliseconds or until the first violation, which it returns.
    fn run(&mut self, until: u64) -> Option<String> {
        while self.now < until {
            self.now += TICK_MS;
            self.inject_faults();
            self.deliver();
            for n in 0..RANKS {
                if self.frozen_until[n] <= self.now && self.now % 30 == (n as u64 % 3) * 10 {
                    self.tick(n);
                }
            }
            if self.now.is_multiple_of(50)
                && let Some(violation) = self.group.start_step()
            {
                return Some(violation);
            }
        }
        None
    }

    /// Draws whether to restart an agent, to freeze one, and to re-form the group in a new epoch.
    fn inject_faults(&mut self) {
        let n = self.rng.random_range(0..RANKS);
        if self.draw_fault(0.002) {
            self.agents[n] = new_agent(&mut self.rng);
        }
        if self.draw_fault(0.002) {
            self.frozen_until[n] = self.now + self.rng.random_range(100..4_000);
        }
        if self.draw_fault(0.000_5) {
            self.group = ModelGroup {
                maps: self.group.maps.clone(),
                ..ModelGroup::new(self.group.epoch + 1)
            };
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) = self.messages.drain(..).partition(|it| it.0 <= now);
        self.messages = later;
        let due: Vec<(u64, usize, Message)> = due;
        for (_, to, message) in due {
            let at = self.moment();
            match message {
                Message::Status(status) => self.agents[to].handle_status(status, at),
                Message::Rollout(rollout) => self.agents[to].handle_rollout(rollout, at),
            }
        }
        let (due, later): (VecDeque<_>, VecDeque<_>) =
            self.late_orders.drain(..).partition(|it| it.0 <= now);
        self.late_orders = later;
        for (_, rank, epoch, order) in due {
            self.group.execute_order(rank, epoch, &order, now);
        }
    }

    fn send(&mut self, to: usize, message: Message) {
        if self.draw_fault(0.1) {
            return;
        }
        let delay = if self.draw_fault(0.05) { self.rng.random_range(100..1_500) } else { 1 };
        self.messages.push((self.now + delay, to, message));
    }

    fn tick(&mut self, n: usize) {
        let at = self.moment();
        let report = self.group.report(n, self.now);
        let effects = self.agents[n].handle_report(report);
        self.execute_effects(n, effects);
        let experts = self.group.ranks[n].experts.clone();
        if let Some(mut status) = self.agents[n].status(experts, at) {
            let counts: Vec<u64> = (0..LAYERS * EXPERTS)
                .map(|it| if it as u64 % 8 == self.now / 2_000 % 8 { 900 } else { 10 })
                .collect();
            status.counts = Some(UsageSample::from_counters(&vec![0; counts.len()], &counts));
            for to in 0..3 {
                match to == n {
                    true => self.agents[n].handle_status(status.clone(), at),
                    false => self.send(to, Message::Status(status.clone())),
                }
            }
        }
        let effects = self.agents[n].close_interval();
        self.execute_effects(n, effects.into_iter().collect());
        let effects = self.agents[n].reconcile(at);
        self.execute_effects(n, effects);
    }

    fn execute_effects(&mut self, n: usize, effects: Vec<RolloutEffect>) {
        for effect in effects {
            match effect {
                RolloutEffect::Log(RolloutEvent::Activated(_)) => self.activated += 1,
                RolloutEffect::Log(RolloutEvent::Takeover(..)) => self.takeovers += 1,
                RolloutEffect::Log(_) => {}
                RolloutEffect::Broadcast(ranks, rollout) => {
                    for rank in ranks {
                        self.send(usize::from(rank), Message::Rollout(rollout.clone()));
                    }
                }
                RolloutEffect::OrderOwnEngine(order) => self.send_order(n, n, order),
                RolloutEffect::RequestHold(step) => self.send_order(n, n, RankOrder::Hold(step)),
                RolloutEffect::OrderPeer(rank, order) => {
                    self.send_order(n, usize::from(rank), order)
                }
                RolloutEffect::PollPeer(rank) => {
                    let report = self.group.report(usize::from(rank), self.now);
                    let at = self.moment();
                    self.agents[n].handle_peer_report(rank, report, at);
                }
            }
        }
    }

    fn send_order(&mut self, from: usize, rank: usize, order: RankOrder) {
        // Orders carry the epoch that the sending agent knows, which may be out of date.
        let epoch = self.agents[from].place().map_or(0, |it| it.epoch);
        if self.draw_fault(0.3) {
            let at = self.moment();
            self.agents[from].record_unanswered(at);
            match self.draw_fault(0.5) {
                true => {
                    self.group.execute_order(rank, epoch, &order, self.now);
                }
                false => {
                    let late = self.now + self.rng.random_range(2_000..12_000);
                    self.late_orders.push_back((late, rank, epoch, order));
                }
            }
            return;
        }
        self.group.execute_order(rank, epoch, &order, self.now);
    }
}

fn new_agent(rng: &mut SmallRng) -> RolloutState {
    let mut agent = RolloutState::new(SmallRng::seed_from_u64(rng.random()));
    agent.set_layout(ExpertLayout {
        layers: LAYERS,
        experts: EXPERTS,
        rank_slots: 4,
        max_new: 2,
        copy_seconds: 0.15,
    });
    agent
}

#[gtest]
fn step_never_mixes_maps() {
    let (mut activated, mut takeovers) = (0, 0);
    for seed in 0..SEED_COUNT {
        let mut simulation = Simulation::new(seed);
        let violation = simulation.run(FAULT_PHASE_MS);
        expect_that!(violation, none(), "seed {seed}");
        simulation.has_faults = false;
        let violation = simulation.run(FAULT_PHASE_MS + RECOVERY_PHASE_MS - 3_000);
        expect_that!(violation, none(), "seed {seed}, after the faults");
        let step = simulation.group.step;
        simulation.run(FAULT_PHASE_MS + RECOVERY_PHASE_MS);
        expect_that!(simulation.group.step, gt(step + 20), "seed {seed}: the group is stuck");
        activated += simulation.activated;
        takeovers += simulation.takeovers;
    }
    println!("{activated} maps activated, {takeovers} takeovers");
    expect_that!(activated, gt(1_000));
    expect_that!(takeovers, gt(0));
}
