//! Admission control: the choice of a server for a request, and the retry delay of refused callers.
//!
//! It is designed for bursts above the capacity of all servers together. A request that would wait
//! longer than its latency objective displaces one that can still be on time, so it is refused at
//! once with a retry delay after which capacity is likely. Nothing is refused while half of the
//! slots are free.

use std::time::Duration;

use rand::{
    Rng,
    rngs::SmallRng,
    seq::{IteratorRandom, SliceRandom},
};
use serde::{Deserialize, Serialize};

use crate::units::ServerId;

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
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            max_pressure: 0.95,
            choices: 2,
            max_wait: 0.33,
            full_spread: 0.6,
            outage_spread: 0.12,
        }
    }
}

/// A server that may get the request.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate<'a> {
    /// Id of the server.
    pub id: &'a ServerId,
    /// Estimated number of requests at the server.
    pub load: f64,
    /// Number of requests that the server processes concurrently.
    pub slots: u32,
}

impl Candidate<'_> {
    /// Returns the estimated number of requests per slot.
    fn pressure(&self) -> f64 {
        self.load / f64::from(self.slots.max(1))
    }
}

/// Result of choosing a server.
#[derive(Clone, Debug, PartialEq)]
pub enum PlacementChoice {
    /// The server to use.
    Server(ServerId),
    /// All candidates are full.
    Full,
    /// All servers that could take the request want none for at least this time.
    Resting(Duration),
    /// There are no candidates.
    NoCandidate,
}

/// Chooses the least loaded of a few servers drawn at random from those below the load limit.
///
/// ```
/// use alderbay::routing::{AdmissionSettings, Candidate, PlacementChoice, choose_candidate};
/// use rand::{SeedableRng, rngs::SmallRng};
/// let (a, b) = ("a".parse()?, "b".parse()?);
/// let candidate = |id, load| Candidate { id, load, slots: 12 };
/// let mut rng = SmallRng::seed_from_u64(1);
/// let settings = AdmissionSettings::default();
/// let choice = choose_candidate(&[candidate(&a, 9.0), candidate(&b, 3.0)], &settings, &mut rng);
/// assert_eq!(choice, PlacementChoice::Server(b));
/// # Ok::<(), alderbay::units::IdError>(())
/// ```
pub fn choose_candidate(
    candidates: &[Candidate<'_>],
    settings: &AdmissionSettings,
    rng: &mut SmallRng,
) -> PlacementChoice {
    if candidates.is_empty() {
        return PlacementChoice::NoCandidate;
    }
    let with_capacity = candidates.iter().filter(|it| it.pressure() < settings.max_pressure);
    let mut drawn = with_capacity.choose_multiple(rng, settings.choices.max(1));
    // The order of the sample is not random, and the first of equally loaded servers is chosen.
    drawn.shuffle(rng);
    let least_loaded = drawn.into_iter().min_by(|a, b| a.pressure().total_cmp(&b.pressure()));
    least_loaded.map_or(PlacementChoice::Full, |it| PlacementChoice::Server(it.id.clone()))
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
