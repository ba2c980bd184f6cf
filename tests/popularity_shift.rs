//! After a shift in the popularity of experts, the next map must be planned for the new popularity
//! alone, not for a blend of it with the old one.

use std::time::Duration;

use alderbay::{
    experts::{
        GroupMap, MapVersion, MemberStatus, RankReport, RolloutEffect, RolloutEvent, RolloutState,
        StepNumber, UsageSample, group_skew,
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
        Self { state, now: Moment(1_000_000) }
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
            used_tokens: 0,
            max_tokens: 0,
        }
    }

    /// Delivers a report of its engine and statuses of all ranks with these usage counts.
    fn deliver_statuses(&mut self, counts: &[u64], prepared: Option<MapVersion>) {
        self.now = self.now.after(INTERVAL);
        self.state.handle_report(RankReport { prepared, ..Self::report(9, None) });
        for rank in 0..RANKS {
            let sample = UsageSample::from_counters(&vec![0; counts.len()], counts);
            let status = MemberStatus {
                rank,
                epoch: 1,
                step: StepNumber(9),
                map: MapVersion(0),
                prepared,
                armed: None,
                highest: MapVersion(0),
                has_unanswered: false,
                known: None,
                experts: vec![initial_map()[0][usize::from(rank)].clone()],
                counts: Some(sample),
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
