//! Admission control: limits on the load of servers, and the retry delay of refused callers.
//!
//! It is designed for bursts above the capacity of all servers together. A request that would wait
//! longer than its latency objective displaces one that can still be on time, so it is refused at
//! once with a retry delay after which capacity is likely. Nothing is refused while half of the
//! slots are free.

use std::time::Duration;

use rand::{Rng, rngs::SmallRng};
use serde::{Deserialize, Serialize};

/// Settings of admission control.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AdmissionSettings {
    /// Requests per slot of a server from which it gets no more requests.
    pub max_pressure: f64,
    /// Number of servers drawn at random, of which the least loaded is chosen. If all gateways
    /// chose the least loaded of all servers, they would overload it before its next report.
    pub choices: usize,
    /// Longest retry delay, as a fraction of the caller's remaining time. Callers wait no longer
    /// for another attempt.
    pub max_wait: f64,
    /// Fraction of the longest retry delay over which delays are spread if all servers were full.
    pub full_spread: f64,
    /// The same if no server was usable. Smaller by default, so that these callers retry late:
    /// outages last.
    pub outage_spread: f64,
    /// Services in which accounts beyond their shares of a crowded service are admitted last.
    pub account_shares: ShareScope,
}

/// Services in which a crowd is divided among client accounts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ShareScope {
    /// Those whose requests differ in urgency.
    #[default]
    Ranked,
    /// All.
    All,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            max_pressure: 0.95,
            choices: 2,
            max_wait: 0.33,
            full_spread: 0.6,
            outage_spread: 0.12,
            account_shares: ShareScope::default(),
        }
    }
}

impl AdmissionSettings {
    /// Returns the settings whose retry delays, if all servers are full, come from the earlier part of
    /// the range that these ones draw from.
    ///
    /// ```
    /// use alderbay::routing::AdmissionSettings;
    /// let (settings, whole) = (AdmissionSettings::default(), AdmissionSettings::default());
    /// assert_eq!(settings.for_part(1.0), whole);
    /// assert!(settings.for_part(0.5).max_wait < whole.max_wait);
    /// ```
    #[must_use]
    pub fn for_part(self, part: f64) -> Self {
        if part >= 1.0 {
            return self;
        }
        let shortest = 1.0 - self.full_spread;
        let longest = shortest + self.full_spread * part.max(0.0);
        let full_spread = 1.0 - shortest / longest.max(f64::EPSILON);
        Self { max_wait: self.max_wait * longest, full_spread, ..self }
    }
}

/// Why a caller is asked to retry later.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryReason {
    /// All servers were full.
    Full,
    /// No server could be used.
    Outage,
}

/// Draws the retry delay of a refused caller.
///
/// A refused request misses its latency objective in any case, so what matters is that the caller
/// finds capacity within its remaining time. The delay is at most a fraction of that time, with
/// jitter so that callers refused together do not retry together.
///
/// ```
/// use std::time::Duration;
/// use alderbay::routing::{AdmissionSettings, RetryReason, retry_after};
/// use rand::{SeedableRng, rngs::SmallRng};
/// let mut rng = SmallRng::seed_from_u64(1);
/// let left = Duration::from_secs(6);
/// let wait = retry_after(left, RetryReason::Outage, &AdmissionSettings::default(), &mut rng);
/// assert!(wait > left / 4 && wait < left / 3);
/// ```
pub fn retry_after(
    time_left: Duration,
    reason: RetryReason,
    settings: &AdmissionSettings,
    rng: &mut SmallRng,
) -> Duration {
    let spread = match reason {
        RetryReason::Full => settings.full_spread,
        RetryReason::Outage => settings.outage_spread,
    };
    let fraction = settings.max_wait * (1.0 - rng.random_range(0.0..=spread.clamp(0.0, 1.0)));
    time_left.mul_f64(fraction.clamp(0.0, 1.0))
}
