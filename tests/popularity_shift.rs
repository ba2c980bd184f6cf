//! After a shift in the popularity of experts, the next map must be planned for the new popularity
//! alone, not for a blend of it with the old one.

use std::time::Duration;

use alderbay::{
    experts::{
        GroupMap, MapVersion, MemberStatus, RankPace, RankReport, RolloutEffect, RolloutEvent,
        RolloutState, RoundSettings, StepNumber, UsageSample, group_skew, plan_round,
    },
    routing::{ExpertLayout, GroupMembership},
    units::Moment,
};
use googletest::prelude::*;
use rand::{SeedableRng, rngs::SmallRng};

const RANKS: u16 = 4;
const EXPERTS: usize = 16;
const INTERVAL: Duration = Duration::from_millis(100);
/// Tolerance for the skew of a planned round. Larger than 0.08, the relative gain below which no
/// round starts.
const SKEW_TOLERANCE: f64 = 0.1;

fn membership(rank: u16) -> GroupMembership {
    GroupMembership { name: "g".parse().unwrap(), epoch: 1, rank, is_open: true }
}

fn initial_map() -> GroupMap {
    let on_rank = |rank: u16| (0..EXPERTS as u16).filter(|it| it % RANKS == rank).collect();
    vec![(0..RANKS).map(on_rank).collect()]
}

/// Usage counts that are highest for expert `first` and fall with each expert after it.
fn skewed_counts(first: usize) -> Vec<u64> {
    let weight = |it: usize| 4_000 / ((it + EXPERTS - first) % EXPERTS + 1) as u64;
    (0..EXPERTS).map(weight).collect()
}

/// The agent of rank 0, which plans the rounds, with a simulated clock.
struct Coordinator {
    state: RolloutState,
    now: Moment,
    /// Last step that the group has started.
    step: u64,
    /// Number of layers, all with the same map.
    layers: usize,
}

impl Coordinator {
    fn new() -> Self {
        let mut state = RolloutState::new(SmallRng::seed_from_u64(3));
        state.set_layout(ExpertLayout {
            layers: 1,
            experts: EXPERTS,
            rank_slots: 6,
            max_new: 2,
            copy_seconds: 0.04,
        });
        Self { state, now: Moment(1_000_000), step: 9, layers: 1 }
    }

    fn report(step: u64, held: Option<StepNumber>) -> RankReport {
        RankReport {
            running: 4,
            waiting: 0,
            step: StepNumber(step),
            map: MapVersion(0),
            prepared: None,
            armed: None,
            held,
            group: Some(membership(0)),
            group_size: RANKS,
            pace: RankPace::default(),
            used_tokens: 0,
            max_tokens: 0,
        }
    }

    /// Delivers a report of its engine and statuses of all ranks with these usage counts.
    fn deliver_statuses(&mut self, counts: &[u64], prepared: Option<MapVersion>) {
        self.now = self.now.after(INTERVAL);
        self.state.handle_report(RankReport { prepared, ..Self::report(self.step, None) });
        for rank in 0..RANKS {
            let sample = UsageSample::from_counters(&vec![0; counts.len()], counts);
            let status = MemberStatus {
                rank,
                epoch: 1,
                step: StepNumber(self.step),
                map: MapVersion(0),
                prepared,
                armed: None,
                highest: MapVersion(0),
                has_unanswered: false,
                known: None,
                experts: vec![initial_map()[0][usize::from(rank)].clone(); self.layers],
                counts: Some(sample),
                pace: RankPace::default(),
            };
            self.state.handle_status(status, self.now);
        }
    }

    /// Runs one sampling interval with these usage counts and returns its effects.
    fn run_interval(&mut self, counts: &[u64]) -> Vec<RolloutEffect> {
        self.deliver_statuses(counts, None);
        let mut effects: Vec<RolloutEffect> = self.state.close_interval().into_iter().collect();
        effects.extend(self.state.reconcile(self.now));
        effects
    }
}

/// Version and skew before the round of the first planned round.
fn planned_round(effects: &[RolloutEffect]) -> Option<(MapVersion, f64)> {
    effects.iter().find_map(|it| match it {
        RolloutEffect::Log(RolloutEvent::RoundPlanned { version, skew_before, .. }) => {
            Some((*version, f64::from(*skew_before) / 1_000.0))
        }
        _ => None,
    })
}

#[gtest]
fn shift_discards_history() {
    let mut coordinator = Coordinator::new();
    let even = vec![1_000; EXPERTS];
    for _ in 0..20 {
        assert_that!(planned_round(&coordinator.run_interval(&even)), none());
    }
    // The shift occurs in the middle of an interval.
    let favoured = skewed_counts(5);
    let mixed: Vec<u64> = even.iter().zip(&favoured).map(|(a, b)| (a + b) / 2).collect();
    let shift_effects = coordinator.run_interval(&mixed);
    expect_that!(planned_round(&shift_effects), none());
    let is_shift = |it: &RolloutEffect| {
        matches!(it, RolloutEffect::Log(RolloutEvent::PopularityShifted { .. }))
    };
    expect_that!(shift_effects.iter().filter(|it| is_shift(it)).count(), eq(1));
    let effects =
        [coordinator.run_interval(&favoured), coordinator.run_interval(&favoured)].concat();
    expect_that!(effects.iter().filter(|it| is_shift(it)).count(), eq(0), "a shift is logged once");
    let (_, skew) = planned_round(&effects).unwrap();
    let loads: Vec<f64> = favoured.iter().map(|it| *it as f64).collect();
    expect_that!(skew, near(group_skew(&initial_map(), &[loads]), SKEW_TOLERANCE));
}

#[gtest]
fn drift_is_blended() {
    let mut coordinator = Coordinator::new();
    let base = skewed_counts(0);
    coordinator.run_interval(&base);
    for n in 1..10 {
        // A change of 10 % from one interval to the next is not a shift.
        let drifted: Vec<u64> = base.iter().map(|it| it + it * (n % 2) / 10).collect();
        let effects = coordinator.run_interval(&drifted);
        let is_shift = |it: &&RolloutEffect| {
            matches!(it, RolloutEffect::Log(RolloutEvent::PopularityShifted { .. }))
        };
        expect_that!(effects.iter().filter(is_shift).count(), eq(0));
    }
}

#[gtest]
fn upcoming_step_is_held() {
    let mut coordinator = Coordinator::new();
    let favoured = skewed_counts(5);
    let effects =
        [coordinator.run_interval(&favoured), coordinator.run_interval(&favoured)].concat();
    let (version, _) = planned_round(&effects).unwrap();
    coordinator.deliver_statuses(&favoured, Some(version));
    let effects = coordinator.state.reconcile(coordinator.now);
    let hold = RolloutEffect::RequestHold(StepNumber(11));
    expect_that!(effects, contains(eq(&hold)));
}

/// Effects of three intervals in which the popularity changes from one expert to another.
fn run_shift(coordinator: &mut Coordinator, from: usize, to: usize) -> Vec<RolloutEffect> {
    let (old, new) = (skewed_counts(from), skewed_counts(to));
    let mixed: Vec<u64> = old.iter().zip(&new).map(|(a, b)| (a + b) / 2).collect();
    let intervals = [mixed, new.clone(), new];
    intervals.iter().flat_map(|it| coordinator.run_interval(it)).collect()
}

fn superseded(effects: &[RolloutEffect]) -> Option<MapVersion> {
    effects.iter().find_map(|it| match it {
        RolloutEffect::Log(RolloutEvent::Superseded(version)) => Some(*version),
        _ => None,
    })
}

/// A map for the old popularity is of no use after a shift.
#[gtest]
fn shift_replaces_rollout() {
    let mut coordinator = Coordinator::new();
    let first = [skewed_counts(5), skewed_counts(5)].map(|it| coordinator.run_interval(&it));
    let (version, _) = planned_round(&first.concat()).unwrap();
    let effects = run_shift(&mut coordinator, 5, 12);
    expect_that!(superseded(&effects), some(eq(version)));
    expect_that!(planned_round(&effects).unwrap().0, gt(version));
}

/// An order to hold may be executed late, and the group would wait for copies at the held step.
#[gtest]
fn shift_spares_requested_hold() {
    let mut coordinator = Coordinator::new();
    let first = [skewed_counts(5), skewed_counts(5)].map(|it| coordinator.run_interval(&it));
    let (version, _) = planned_round(&first.concat()).unwrap();
    coordinator.deliver_statuses(&skewed_counts(5), Some(version));
    let effects = coordinator.state.reconcile(coordinator.now);
    expect_that!(effects, contains(eq(&RolloutEffect::RequestHold(StepNumber(11)))));
    let effects = run_shift(&mut coordinator, 5, 12);
    expect_that!(superseded(&effects), none());
    expect_that!(planned_round(&effects), none());
}

/// The first round after a shift copies for a third of the time of the usual ones.
#[gtest]
fn shift_brings_relief_round() {
    let mut coordinator = Coordinator::new();
    coordinator.layers = 2;
    coordinator.state.set_layout(ExpertLayout {
        layers: 2,
        experts: EXPERTS,
        rank_slots: 6,
        max_new: 2,
        copy_seconds: 0.1,
    });
    coordinator.run_interval(&[1_000; 2 * EXPERTS]);
    // Two popular experts of each layer are on one rank.
    let layer = (0..EXPERTS).map(|it| if [0, 4].contains(&it) { 9_000 } else { 100_u32 });
    let favoured: Vec<u64> = layer.clone().chain(layer.clone()).map(u64::from).collect();
    let effects = [&favoured; 3].map(|it| coordinator.run_interval(it)).concat();
    let copies = effects.iter().find_map(|it| match it {
        RolloutEffect::Log(RolloutEvent::RoundPlanned { copies, .. }) => Some(*copies),
        _ => None,
    });
    let loads: Vec<f64> = layer.map(f64::from).collect();
    let settings =
        RoundSettings { rank_slots: 6, max_new: 2, max_copies: 3, ..RoundSettings::default() };
    let map = [initial_map(), initial_map()].concat();
    let usual = plan_round(&map, &[loads.clone(), loads], &settings).unwrap();
    expect_that!(copies, some(le(usize::from(RANKS))));
    expect_that!(usual.copies, gt(usize::from(RANKS)));
}

/// Each of a group's long steps before the switch is late, so the next one is held if there is time.
#[gtest]
fn next_of_long_steps_is_held() {
    for (elapsed_ms, held) in [(10, 14), (50, 15)] {
        let mut coordinator = Coordinator::new();
        let mut effects = Vec::new();
        for _ in 0..3 {
            coordinator.step += 1;
            effects.extend(coordinator.run_interval(&skewed_counts(5)));
        }
        let (version, _) = planned_round(&effects).unwrap();
        coordinator.step += 1;
        coordinator.deliver_statuses(&skewed_counts(5), None);
        coordinator.state.reconcile(coordinator.now);
        let started_at = coordinator.now;
        coordinator.deliver_statuses(&skewed_counts(5), Some(version));
        coordinator.now = started_at.after(Duration::from_millis(elapsed_ms));
        let effects = coordinator.state.reconcile(coordinator.now);
        expect_that!(effects, contains(eq(&RolloutEffect::RequestHold(StepNumber(held)))));
    }
}

/// Where a copy takes longer than a relief round, the first round copies as much as the usual ones.
#[gtest]
fn slow_copies_bring_no_relief_round() {
    let copies_with = |copy_seconds| {
        let mut coordinator = Coordinator::new();
        coordinator.layers = 2;
        coordinator.state.set_layout(ExpertLayout {
            layers: 2,
            experts: EXPERTS,
            rank_slots: 6,
            max_new: 2,
            copy_seconds,
        });
        coordinator.run_interval(&[1_000; 2 * EXPERTS]);
        let layer = (0..EXPERTS).map(|it| if [0, 4].contains(&it) { 9_000 } else { 100 });
        let favoured: Vec<u64> = layer.clone().chain(layer).collect();
        let effects = [&favoured; 3].map(|it| coordinator.run_interval(it)).concat();
        effects.iter().find_map(|it| match it {
            RolloutEffect::Log(RolloutEvent::RoundPlanned { copies, .. }) => Some(*copies),
            _ => None,
        })
    };
    expect_that!(copies_with(0.14), some(gt(usize::from(RANKS))));
    expect_that!(copies_with(0.1), some(le(usize::from(RANKS))));
}
