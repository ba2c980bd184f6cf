//! Tests of the estimate of when a server begins a request, against a small server that admits the
//! most urgent first.

use std::time::Duration;

use alderbay::{
    routing::{ServerPace, StartModel, start_delay},
    units::UrgencyRank,
};
use googletest::prelude::*;
use rand::{Rng, SeedableRng, rngs::SmallRng};

const SLOTS: usize = 10;
const STEP: Duration = Duration::from_millis(60);
const EVENTS: std::ops::RangeInclusive<u32> = 12..=34;
const RANKS: u8 = 3;

/// A request that waits: its rank, number, estimate in steps and arrival.
type Waiting = (UrgencyRank, u32, f64, u32);

/// Runs a server whose queue is seldom empty. Returns estimates and what happened, in steps, by rank.
fn run(seed: u64) -> Vec<(UrgencyRank, f64, f64)> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut model = StartModel::default();
    let mut running: Vec<u32> = Vec::new();
    let mut waiting: Vec<Waiting> = Vec::new();
    let mut outcomes = Vec::new();
    for step in 0..6_000_u32 {
        running.retain(|end| *end > step);
        let arrivals = u32::from(rng.random_bool(0.42));
        for number in 0..arrivals {
            let rank = UrgencyRank(rng.random_range(0..RANKS));
            let pace = ServerPace {
                slots: SLOTS as u32,
                running: running.len() as f64,
                waiting: waiting.len() as f64,
                step_time: STEP,
            };
            let estimate = start_delay(&pace, &model, Some(rank)).div_duration_f64(STEP);
            model.record_rank(Some(rank));
            waiting.push((rank, step * 4 + number, estimate, step));
        }
        waiting.sort_by_key(|it| (it.0, it.1));
        while running.len() < SLOTS && !waiting.is_empty() {
            let (rank, _, estimate, arrived) = waiting.remove(0);
            outcomes.push((rank, estimate, f64::from(step - arrived)));
            let events = rng.random_range(EVENTS);
            model.record_stream(STEP * events, STEP);
            running.push(step + events);
        }
    }
    outcomes
}

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let values: Vec<f64> = values.collect();
    values.iter().sum::<f64>() / values.len() as f64
}

#[gtest]
fn the_estimate_tells_more_than_the_mean() {
    for seed in 1..=3 {
        let outcomes = run(seed);
        let mean_delay = mean(outcomes.iter().map(|it| it.2));
        let error = mean(outcomes.iter().map(|it| (it.1 - it.2).abs()));
        let mean_error = mean(outcomes.iter().map(|it| (mean_delay - it.2).abs()));
        println!(
            "seed {seed}: mean delay {mean_delay:.1} steps, error {error:.1}, of the mean \
             {mean_error:.1}"
        );
        expect_that!(error, lt(mean_error), "seed {}", seed);
    }
}

#[gtest]
fn urgent_requests_are_expected_sooner() {
    let outcomes = run(4);
    let by_rank = |rank: u8, value: fn(&(UrgencyRank, f64, f64)) -> f64| {
        mean(outcomes.iter().filter(|it| it.0 == UrgencyRank(rank)).map(value))
    };
    for rank in 1..RANKS {
        expect_that!(by_rank(rank - 1, |it| it.2), lt(by_rank(rank, |it| it.2)));
        expect_that!(by_rank(rank - 1, |it| it.1), lt(by_rank(rank, |it| it.1)));
    }
}

#[gtest]
fn a_free_slot_is_free_now() {
    let pace = ServerPace { slots: 10, running: 9.0, waiting: 0.0, step_time: STEP };
    let model = StartModel::default();
    expect_that!(start_delay(&pace, &model, None), eq(Duration::ZERO));
    let longer = [10.0, 11.0, 14.0, 20.0].map(|ahead| {
        let pace = ServerPace { running: 10.0, waiting: ahead - 10.0, ..pace };
        start_delay(&pace, &model, None)
    });
    expect_that!(longer.is_sorted_by(|a, b| a < b), eq(true), "{longer:?}");
    // Slow groups free their slots later.
    let full = ServerPace { running: 10.0, ..pace };
    let slow = ServerPace { step_time: STEP * 12, ..full };
    expect_that!(start_delay(&slow, &model, None), eq(start_delay(&full, &model, None) * 12));
}
