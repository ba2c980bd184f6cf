//! Simulates rollouts of expert maps on modelled engines that lose answers and execute orders late,
//! with agents that are killed, frozen or cut off. Guards against a step that ranks start with
//! different maps, and against a group that hangs.

use std::collections::VecDeque;

use alderbay::{
    experts::{
        MapRollout, MemberStatus, RankOrder, RolloutEffect, RolloutEvent, RolloutState,
        SampleAction, SampleSchedule, UsageSample, relay_children,
    },
    routing::ExpertLayout,
    units::Moment,
    wire::Datagram,
};
use googletest::prelude::*;
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::support::rank_group::{GroupShape, ModelGroup};

const SMALL: GroupShape = GroupShape { ranks: 4, layers: 2, experts: 8, rank_slots: 4 };
/// The largest group of the users' deployments.
const LARGE: GroupShape = GroupShape { ranks: 96, layers: 16, experts: 192, rank_slots: 3 };
/// Bytes per second that the link of a rank's VM carries there, both ways together.
const LARGE_LINK: usize = 750_000;
const TICK_MS: u64 = 10;
const FAULT_PHASE_MS: u64 = 40_000;
const RECOVERY_PHASE_MS: u64 = 20_000;
const SEED_COUNT: u64 = 150;

#[derive(Clone)]
enum Message {
    Status(MemberStatus),
    Rollout(MapRollout),
    RelayedRollout(MapRollout),
}

impl Message {
    /// Size of the message on the wire.
    fn bytes(&self) -> usize {
        const PACKET_HEADER_BYTES: usize = 28;
        let datagram = match self.clone() {
            Self::Status(status) => Datagram::Status(status),
            Self::Rollout(rollout) => Datagram::Rollout(rollout),
            Self::RelayedRollout(rollout) => Datagram::RelayedRollout(rollout),
        };
        datagram.encode().unwrap().len() + PACKET_HEADER_BYTES
    }
}

/// A group with its agents, the network between them, and random faults.
struct Simulation {
    rng: SmallRng,
    group: ModelGroup,
    agents: Vec<RolloutState>,
    frozen_until: Vec<u64>,
    /// An agent that neither acts nor receives messages.
    stopped: Option<usize>,
    /// Time of delivery, receiving agent and message.
    messages: Vec<(u64, usize, Message)>,
    /// Time of execution, rank, epoch of the sender and order.
    late_orders: VecDeque<(u64, usize, u64, RankOrder)>,
    /// Bytes that each agent has sent and received in the current second, and the most in any one.
    /// Not counted for small groups.
    link_bytes: Vec<usize>,
    max_link_bytes: usize,
    /// Simulated time in milliseconds.
    now: u64,
    has_faults: bool,
    activated: usize,
    takeovers: usize,
}

impl Simulation {
    fn new(seed: u64, shape: GroupShape) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let agents = (0..shape.ranks).map(|_| new_agent(&mut rng, shape)).collect();
        Self {
            rng,
            group: ModelGroup::new(1, shape),
            agents,
            frozen_until: vec![0; shape.ranks],
            stopped: None,
            messages: Vec::new(),
            late_orders: VecDeque::new(),
            link_bytes: vec![0; shape.ranks],
            max_link_bytes: 0,
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
            if self.now.is_multiple_of(1_000) {
                let most = self.link_bytes.iter().copied().max().unwrap_or(0);
                self.max_link_bytes = self.max_link_bytes.max(most);
                self.link_bytes.fill(0);
            }
            for n in 0..self.agents.len() {
                let is_running = self.frozen_until[n] <= self.now && self.stopped != Some(n);
                if is_running && self.now % 30 == (n as u64 % 3) * 10 {
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
        let n = self.rng.random_range(0..self.agents.len());
        if self.draw_fault(0.002) {
            self.agents[n] = new_agent(&mut self.rng, self.group.shape);
        }
        if self.draw_fault(0.002) {
            self.frozen_until[n] = self.now + self.rng.random_range(100..4_000);
        }
        if self.draw_fault(0.000_5) {
            self.group = ModelGroup {
                maps: self.group.maps.clone(),
                ..ModelGroup::new(self.group.epoch + 1, self.group.shape)
            };
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) = self.messages.drain(..).partition(|it| it.0 <= now);
        self.messages = later;
        let due: Vec<(u64, usize, Message)> = due;
        for (_, to, message) in due {
            if self.stopped == Some(to) {
                continue;
            }
            let at = self.moment();
            match message {
                Message::Status(status) => self.agents[to].handle_status(status, at),
                Message::Rollout(rollout) => self.agents[to].handle_rollout(rollout, at),
                Message::RelayedRollout(rollout) => {
                    for rank in self.agents[to].relay_targets(&rollout) {
                        let message = Message::RelayedRollout(rollout.clone());
                        self.send(to, usize::from(rank), message);
                    }
                    self.agents[to].handle_rollout(rollout, at);
                }
            }
        }
        let (due, later): (VecDeque<_>, VecDeque<_>) =
            self.late_orders.drain(..).partition(|it| it.0 <= now);
        self.late_orders = later;
        for (_, rank, epoch, order) in due {
            self.group.execute_order(rank, epoch, &order, now);
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        if self.agents.len() >= LARGE.ranks {
            let bytes = message.bytes();
            self.link_bytes[from] += bytes;
            self.link_bytes[to] += bytes;
        }
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
        // The agents of a large group send statuses at this pace during a rollout.
        let has_status = (self.now / 30).is_multiple_of(2) || self.agents.len() < LARGE.ranks;
        // As the agents do, includes the experts in a part of the statuses.
        let has_experts = self.now % 500 < 30 || self.agents.len() < LARGE.ranks;
        let experts = if has_experts { self.group.ranks[n].experts.clone() } else { Vec::new() };
        if let Some(mut status) = self.agents[n].status(experts, at).filter(|_| has_status) {
            status.counts = self.sample_counts(n);
            for to in 0..3 {
                match to == n {
                    true => self.agents[n].handle_status(status.clone(), at),
                    false => self.send(n, to, Message::Status(status.clone())),
                }
                status.counts = None;
            }
        }
        let effects = self.agents[n].close_interval();
        self.execute_effects(n, effects.into_iter().collect());
        let effects = self.agents[n].reconcile(at);
        self.execute_effects(n, effects);
    }

    /// Counts of one interval, in which a few experts are popular, if it is the rank's turn.
    fn sample_counts(&self, n: usize) -> Option<UsageSample> {
        let GroupShape { ranks, layers, experts, .. } = self.group.shape;
        let schedule = SampleSchedule::new(ranks, layers * experts);
        let interval = self.now / 100;
        let is_counted = interval == self.now.saturating_sub(60) / 100 && ranks >= LARGE.ranks;
        let action = schedule.action(n as u16, interval as usize);
        if action != SampleAction::Send || is_counted {
            return None;
        }
        let count = |it: usize| if it as u64 % 8 == self.now / 2_000 % 8 { 900 } else { 10 };
        let counts: Vec<u64> = (0..layers * experts).map(count).collect();
        Some(UsageSample::from_counters(&vec![0; counts.len()], &counts))
    }

    fn execute_effects(&mut self, n: usize, effects: Vec<RolloutEffect>) {
        for effect in effects {
            match effect {
                RolloutEffect::Log(RolloutEvent::Activated(_)) => self.activated += 1,
                RolloutEffect::Log(RolloutEvent::Takeover(..)) => self.takeovers += 1,
                RolloutEffect::Log(_) => {}
                RolloutEffect::Broadcast(ranks, rollout) => {
                    for rank in ranks {
                        self.send(n, usize::from(rank), Message::Rollout(rollout.clone()));
                    }
                }
                RolloutEffect::Relay(ranks, rollout) => {
                    for rank in ranks {
                        self.send(n, usize::from(rank), Message::RelayedRollout(rollout.clone()));
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

fn new_agent(rng: &mut SmallRng, shape: GroupShape) -> RolloutState {
    let mut agent = RolloutState::new(SmallRng::seed_from_u64(rng.random()));
    agent.set_layout(ExpertLayout {
        layers: shape.layers,
        experts: shape.experts,
        rank_slots: shape.rank_slots,
        max_new: 2,
        copy_seconds: 0.15,
    });
    agent
}

#[gtest]
fn step_never_mixes_maps() {
    let (mut activated, mut takeovers) = (0, 0);
    for seed in 0..SEED_COUNT {
        let mut simulation = Simulation::new(seed, SMALL);
        let violation = simulation.run(FAULT_PHASE_MS);
        expect_that!(violation, none(), "seed {seed}");
        simulation.has_faults = false;
        let violation = simulation.run(FAULT_PHASE_MS + RECOVERY_PHASE_MS - 3_000);
        expect_that!(violation, none(), "seed {seed}, after the faults");
        let step = simulation.group.step;
        let violation = simulation.run(FAULT_PHASE_MS + RECOVERY_PHASE_MS);
        expect_that!(violation, none(), "seed {seed}, at the end");
        expect_that!(simulation.group.step, gt(step + 20), "seed {seed}: the group is stuck");
        activated += simulation.activated;
        takeovers += simulation.takeovers;
    }
    println!("{activated} maps activated, {takeovers} takeovers");
    expect_that!(activated, gt(1_000));
    expect_that!(takeovers, gt(0));
}

/// In a large group the counts and maps of all ranks would fill the coordinator's link, so that no
/// map would ever be rolled out. Here one relay has stopped besides: its part of the tree must get
/// the map directly.
#[gtest]
fn large_group_spares_links() {
    let mut simulation = Simulation::new(1, LARGE);
    simulation.has_faults = false;
    simulation.run(6_000);
    let before = simulation.activated;
    expect_that!(before, ge(LARGE.ranks), "agents that saw a map come into use");
    expect_that!(simulation.max_link_bytes, le(LARGE_LINK / 2));
    // The relay of a part of the tree misses the next map, as if its VM stood still for a moment.
    simulation.stopped = Some(1);
    simulation.run(6_500);
    simulation.stopped = None;
    simulation.run(12_000);
    expect_that!(simulation.activated, ge(before + LARGE.ranks));
    expect_that!(simulation.max_link_bytes, le(LARGE_LINK / 2));
}

/// Every rank is reached exactly once, and no rank sends more than a few copies.
#[gtest]
fn relay_tree_spans_group() {
    for size in [1, 2, 5, 8, 96, 300, 1_000] {
        let mut received = vec![0; usize::from(size)];
        for rank in 0..size {
            let children = relay_children(rank, size);
            expect_that!(children.len(), le(4), "rank {rank} of {size}");
            expect_that!(children, each(gt(&rank)), "rank {rank} of {size}");
            children.iter().for_each(|it| received[usize::from(*it)] += 1);
        }
        expect_that!(received[1..], each(eq(&1)), "{size} ranks");
    }
}

/// The samples that a coordinator receives do not grow with its group, and each rank gets its turn.
#[gtest]
fn samples_fit_any_group() {
    for ranks in [8, 96, 300, 1_000] {
        let sample_bytes = 16 * 2 * ranks;
        let schedule = SampleSchedule::new(ranks, sample_bytes);
        let period = (ranks * sample_bytes * 10).div_ceil(200_000);
        let mut turns = vec![0; ranks];
        for interval in 0..period {
            let senders: Vec<usize> = (0..ranks)
                .filter(|it| schedule.action(*it as u16, interval) == SampleAction::Send)
                .collect();
            expect_that!(senders.len(), le(ranks.div_ceil(period)), "{ranks} ranks");
            senders.iter().for_each(|it| turns[*it] += 1);
        }
        expect_that!(turns, each(eq(&1)), "{ranks} ranks");
    }
}
