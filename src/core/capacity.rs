//! Warm-up of a backend server's concurrency limit.
//!
//! A server that has just started can run few requests at once. The limit rises with the work that
//! the server completes, not with time, and drops back to its minimum when the server restarts or
//! becomes as slow as a cold one.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::units::{ConcurrencyLimit, TokenCount};

/// Weight of one sample in the moving average of the recent pace.
const RECENT_PACE_WEIGHT: f64 = 0.2;
/// Weight of one sample in the moving average of a warm server's pace.
const BASELINE_PACE_WEIGHT: f64 = 0.01;

/// Warm-up settings of one backend server.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RampSettings {
    /// Concurrency limit right after the server's start.
    pub cold_concurrency: ConcurrencyLimit,
    /// Concurrency limit once the server is warm.
    pub warm_concurrency: ConcurrencyLimit,
    /// Tokens to generate, or calls to complete, until the server is warm.
    pub warm_up_progress: TokenCount,
    /// A warm server counts as cold again when its time per token exceeds the usual one by this
    /// factor.
    pub slow_factor: f64,
}

impl Default for RampSettings {
    fn default() -> Self {
        Self {
            cold_concurrency: ConcurrencyLimit(1),
            warm_concurrency: ConcurrencyLimit(16),
            warm_up_progress: TokenCount(512),
            slow_factor: 4.0,
        }
    }
}

/// The concurrency limit of one backend server, which ramps up with completed work.
///
/// ```
/// use std::time::Duration;
/// use alderbay::core::{CapacityRamp, RampSettings};
/// use alderbay::units::TokenCount;
/// let mut ramp = CapacityRamp::new(RampSettings::default());
/// assert_eq!(ramp.limit().0, 1);
/// ramp.record_progress(TokenCount(512), Duration::from_millis(512));
/// assert_eq!(ramp.limit().0, 16);
/// ramp.reset();
/// assert_eq!(ramp.limit().0, 1);
/// ```
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct CapacityRamp {
    settings: RampSettings,
    /// Tokens generated, or calls completed, since the last reset; not counted further once warm.
    progress: u64,
    /// Recent moving average of the seconds per token.
    recent_pace: Option<f64>,
    /// Long-term moving average of the seconds per token while warm.
    #[serde(rename = "usual_pace")]
    baseline_pace: Option<f64>,
}

impl CapacityRamp {
    /// Creates a ramp at the cold limit.
    pub fn new(settings: RampSettings) -> Self {
        Self { settings, progress: 0, recent_pace: None, baseline_pace: None }
    }

    /// Returns the number of requests that the server may run at once now.
    pub fn limit(&self) -> ConcurrencyLimit {
        let cold = u64::from(self.settings.cold_concurrency.0);
        let warm = u64::from(self.settings.warm_concurrency.0).max(cold);
        let full = self.settings.warm_up_progress.0.max(1);
        let ramped = (warm - cold) * self.progress.min(full) / full;
        ConcurrencyLimit(u32::try_from(cold + ramped).unwrap_or(u32::MAX))
    }

    /// Whether the server has completed its warm-up.
    pub fn is_warm(&self) -> bool {
        self.progress >= self.settings.warm_up_progress.0
    }

    /// Counts `tokens` that took `elapsed` to generate. Resets the ramp if a warm server has become
    /// slow.
    pub fn record_progress(&mut self, tokens: TokenCount, elapsed: Duration) {
        if tokens.0 == 0 {
            return;
        }
        let pace = elapsed.as_secs_f64() / tokens.0 as f64;
        self.recent_pace = Some(moving_average(self.recent_pace, pace, RECENT_PACE_WEIGHT));
        if !self.is_warm() {
            self.progress = self.progress.saturating_add(tokens.0);
            return;
        }
        if self.is_slow() {
            self.reset();
            return;
        }
        self.baseline_pace = Some(moving_average(self.baseline_pace, pace, BASELINE_PACE_WEIGHT));
    }

    /// Resets the ramp to the cold limit. Used when the server has restarted or become slow.
    pub fn reset(&mut self) {
        self.progress = 0;
        self.recent_pace = None;
    }

    fn is_slow(&self) -> bool {
        match (self.recent_pace, self.baseline_pace) {
            (Some(recent), Some(baseline)) => recent > baseline * self.settings.slow_factor,
            (None, _) | (_, None) => false,
        }
    }
}

/// Adds a sample to an exponentially weighted moving average.
fn moving_average(average: Option<f64>, sample: f64, weight: f64) -> f64 {
    average.map_or(sample, |it| it + (sample - it) * weight)
}

#[cfg(test)]
mod tests {
    use googletest::prelude::*;

    use super::*;

    #[gtest]
    fn slow_server_becomes_cold() {
        let mut ramp = CapacityRamp::new(RampSettings::default());
        for _ in 0..600 {
            ramp.record_progress(TokenCount(1), Duration::from_millis(10));
        }
        assert_that!(ramp.limit(), eq(ConcurrencyLimit(16)));
        for _ in 0..20 {
            ramp.record_progress(TokenCount(1), Duration::from_millis(100));
        }
        assert_that!(ramp.is_warm(), eq(false));
    }
}
