//! What is known of expert popularity, and a synthetic day on which decisions are measured.

use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde::{Deserialize, Serialize};

/// Popularity of the experts of one layer, smoothed over lagged reports.
///
/// ```
/// use alderbay::experts::LoadEstimate;
/// let mut estimate = LoadEstimate::new(2, 0.5);
/// estimate.observe(&[4.0, 0.0]);
/// estimate.observe(&[0.0, 4.0]);
/// assert_eq!(estimate.loads(), [2.0, 2.0]);
/// ```
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct LoadEstimate {
    loads: Vec<f64>,
    weight: f64,
    seen: bool,
}

impl LoadEstimate {
    /// An estimate that gives the latest report `weight` between zero and one.
    pub fn new(experts: usize, weight: f64) -> Self {
        Self { loads: vec![0.0; experts], weight, seen: false }
    }

    /// Takes in a report of tokens by expert.
    pub fn observe(&mut self, tokens: &[f64]) {
        let weight = if self.seen { self.weight } else { 1.0 };
        self.seen = true;
        for (load, now) in self.loads.iter_mut().zip(tokens) {
            *load += (now - *load) * weight;
        }
    }

    /// The estimated loads.
    pub fn loads(&self) -> &[f64] {
        &self.loads
    }
}

/// A day of drifting popularity: a heavy-tailed start, a slow random walk back and forth, and rushes
/// that make a few experts popular for a while. Half the demand at night.
#[derive(Clone, Debug)]
pub struct PopularityDay {
    rng: SmallRng,
    base: Vec<f64>,
    drift: Vec<f64>,
    rush: Vec<f64>,
    interval: usize,
    intervals: usize,
}

/// Spread of the logarithm of popularity over the experts.
const BASE_SPREAD: f64 = 0.9;
/// Drift of the logarithm of popularity over a whole day.
const DAY_DRIFT: f64 = 0.7;
/// Chance of a rush in an interval.
const RUSH_CHANCE: f64 = 0.02;
/// Part of a rush that is left after an interval.
const RUSH_DECAY: f64 = 0.9;

impl PopularityDay {
    /// A day of `intervals` reports.
    pub fn new(experts: usize, intervals: usize, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let base = (0..experts).map(|_| normal(&mut rng) * BASE_SPREAD).collect();
        let (drift, rush) = (vec![0.0; experts], vec![0.0; experts]);
        Self { rng, base, drift, rush, interval: 0, intervals }
    }
}

impl Iterator for PopularityDay {
    type Item = Vec<f64>;

    /// Tokens by expert in the next interval.
    fn next(&mut self) -> Option<Vec<f64>> {
        if self.interval == self.intervals {
            return None;
        }
        let of_day = self.interval as f64 / self.intervals as f64;
        self.interval += 1;
        let step = DAY_DRIFT / (self.intervals as f64).sqrt();
        for drift in &mut self.drift {
            *drift += normal(&mut self.rng) * step;
        }
        for rush in &mut self.rush {
            *rush *= RUSH_DECAY;
        }
        if self.rng.random_bool(RUSH_CHANCE) {
            let start = self.rng.random_range(0..self.rush.len());
            for n in 0..4 {
                let len = self.rush.len();
                self.rush[(start + n) % len] += 1.0;
            }
        }
        let demand = 1.5 - (of_day * std::f64::consts::TAU).cos() / 2.0;
        let sums = self.base.iter().zip(&self.drift).zip(&self.rush);
        Some(sums.map(|((base, drift), rush)| (base + drift + rush).exp() * demand).collect())
    }
}

/// A normal deviate by the sum of uniform ones, exact enough for a test load.
fn normal(rng: &mut SmallRng) -> f64 {
    const DRAWS: usize = 12;
    (0..DRAWS).map(|_| rng.random::<f64>()).sum::<f64>() - DRAWS as f64 / 2.0
}
