//! How many requests a backend server can bear now.
//!
//! A server that has just started bears little. The limit rises with the work it was seen to
//! finish, not with time, and falls back to the bottom when the server restarts or slows down as a
//! cold one does.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::units::{ConcurrencyLimit, TokenCount};

/// Weight of one observation in the recent pace.
const RECENT_WEIGHT: f64 = 0.2;
/// Weight of one observation in the usual pace of a warm server.
const USUAL_WEIGHT: f64 = 0.01;

/// What the settings say about one backend server.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RampSettings {
    /// Requests at once that a server bears right after its start.
    pub cold_concurrency: ConcurrencyLimit,
    /// Requests at once that a warm server bears.
    pub warm_concurrency: ConcurrencyLimit,
    /// Tokens generated, or calls answered, until a server is warm.
    pub warm_up_progress: TokenCount,
    /// A warm server that takes this many times its usual time for a token is cold again.
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

/// The limit of one backend server and the progress it rests on.
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
    progress: u64,
    /// Seconds for one token, lately.
    recent_pace: Option<f64>,
    /// Seconds for one token, as usual while warm.
    usual_pace: Option<f64>,
}

impl CapacityRamp {
    /// A ramp at its bottom.
    pub fn new(settings: RampSettings) -> Self {
        Self { settings, progress: 0, recent_pace: None, usual_pace: None }
    }

    /// Requests at once that the server bears now.
    pub fn limit(&self) -> ConcurrencyLimit {
        let cold = u64::from(self.settings.cold_concurrency.0);
        let warm = u64::from(self.settings.warm_concurrency.0).max(cold);
        let full = self.settings.warm_up_progress.0.max(1);
        let risen = (warm - cold) * self.progress.min(full) / full;
        ConcurrencyLimit(u32::try_from(cold + risen).unwrap_or(u32::MAX))
    }

    /// Whether the server has made all the progress of its warm-up.
    pub fn is_warm(&self) -> bool {
        self.progress >= self.settings.warm_up_progress.0
    }

    /// Counts tokens that took `elapsed`. A warm server that has become slow goes back to the
    /// bottom.
    pub fn record_progress(&mut self, tokens: TokenCount, elapsed: Duration) {
        if tokens.0 == 0 {
            return;
        }
        let pace = elapsed.as_secs_f64() / tokens.0 as f64;
        self.recent_pace = Some(blend(self.recent_pace, pace, RECENT_WEIGHT));
        if !self.is_warm() {
            self.progress = self.progress.saturating_add(tokens.0);
            return;
        }
        if self.is_slow() {
            self.reset();
            return;
        }
        self.usual_pace = Some(blend(self.usual_pace, pace, USUAL_WEIGHT));
    }

    /// Puts the ramp back to its bottom: the server restarted or turned cold.
    pub fn reset(&mut self) {
        self.progress = 0;
        self.recent_pace = None;
    }

    fn is_slow(&self) -> bool {
        match (self.recent_pace, self.usual_pace) {
            (Some(recent), Some(usual)) => recent > usual * self.settings.slow_factor,
            (None, _) | (_, None) => false,
        }
    }
}

fn blend(old: Option<f64>, new: f64, weight: f64) -> f64 {
    old.map_or(new, |it| it + (new - it) * weight)
}

#[cfg(test)]
mod tests {
    use googletest::prelude::*;

    use super::*;

    #[gtest]
    fn slow_server_returns_to_bottom() {
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
