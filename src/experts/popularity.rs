//! Smoothed estimate of expert popularity, and a synthetic workload trace for benchmarks.

use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde::{Deserialize, Serialize};

/// Load of each expert of one layer, exponentially smoothed over lagging reports.
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
    /// Weight of the latest report, from 0 to 1.
    weight: f64,
    /// Whether a report was observed; the first one replaces the initial zeros.
    seen: bool,
}

impl LoadEstimate {
    /// Creates an estimate without reports. `weight`, from 0 to 1, is the weight of the latest
    /// report.
    pub fn new(experts: usize, weight: f64) -> Self {
        Self { loads: vec![0.0; experts], weight, seen: false }
    }

    /// Updates the estimate with the number of tokens by expert of the latest report.
    pub fn observe(&mut self, tokens: &[f64]) {
        let weight = if self.seen { self.weight } else { 1.0 };
        self.seen = true;
        for (load, now) in self.loads.iter_mut().zip(tokens) {
            *load += (now - *load) * weight;
        }
    }

    /// Returns the estimated load in tokens per report, by expert; zeros before the first report.
    pub fn loads(&self) -> &[f64] {
        &self.loads
    }
}

/// Iterator over the token counts by expert of a synthetic day.
///
/// Popularity starts heavy-tailed and drifts in a slow random walk; occasional bursts make a few
/// neighbouring experts popular for a while. Demand at night is half of its peak.
#[derive(Clone, Debug)]
pub struct PopularityTrace {
    rng: SmallRng,
    // The log popularity of an expert is the sum of these three, each by expert.
    base: Vec<f64>,
    drift: Vec<f64>,
    burst: Vec<f64>,
    interval: usize,
    intervals: usize,
}

/// Standard deviation of the initial log popularity over the experts.
const BASE_SPREAD: f64 = 0.9;
/// Standard deviation of the drift of log popularity over the whole day.
const TOTAL_DRIFT: f64 = 0.7;
/// Probability that a burst begins in an interval.
const BURST_PROBABILITY: f64 = 0.02;
/// Fraction of a burst that remains after an interval.
const BURST_DECAY: f64 = 0.9;

impl PopularityTrace {
    /// Creates a trace of one day, divided into `intervals` reports.
    pub fn new(experts: usize, intervals: usize, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let base = (0..experts).map(|_| normal(&mut rng) * BASE_SPREAD).collect();
        let (drift, burst) = (vec![0.0; experts], vec![0.0; experts]);
        Self { rng, base, drift, burst, interval: 0, intervals }
    }
}

impl Iterator for PopularityTrace {
    type Item = Vec<f64>;

    /// Returns the tokens by expert in the next interval.
    fn next(&mut self) -> Option<Vec<f64>> {
        if self.interval == self.intervals {
            return None;
        }
        let elapsed_fraction = self.interval as f64 / self.intervals as f64;
        self.interval += 1;
        let step = TOTAL_DRIFT / (self.intervals as f64).sqrt();
        for drift in &mut self.drift {
            *drift += normal(&mut self.rng) * step;
        }
        for burst in &mut self.burst {
            *burst *= BURST_DECAY;
        }
        if self.rng.random_bool(BURST_PROBABILITY) {
            let start = self.rng.random_range(0..self.burst.len());
            for n in 0..4 {
                let len = self.burst.len();
                self.burst[(start + n) % len] += 1.0;
            }
        }
        let demand = 1.5 - (elapsed_fraction * std::f64::consts::TAU).cos() / 2.0;
        let exponents = self.base.iter().zip(&self.drift).zip(&self.burst);
        Some(
            exponents.map(|((base, drift), burst)| (base + drift + burst).exp() * demand).collect(),
        )
    }
}

/// Draws an approximate standard normal deviate (sum of uniform ones), precise enough for a test
/// load.
fn normal(rng: &mut SmallRng) -> f64 {
    const DRAWS: usize = 12;
    (0..DRAWS).map(|_| rng.random::<f64>()).sum::<f64>() - DRAWS as f64 / 2.0
}
