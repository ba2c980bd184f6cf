//! Where a request goes, and when it is refused instead.
//!
//! The load that this answers: bursts above what all servers together can take. A request that
//! would wait longer than its objective displaces one that can still be timely, so it is refused at
//! once and told when room is likely; nothing is refused while half of the places are free.

use std::time::Duration;

use rand::{Rng, rngs::SmallRng, seq::IteratorRandom};
use serde::{Deserialize, Serialize};

use crate::units::ServerId;

/// Bounds on load.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AdmissionSettings {
    /// Load, in requests for each place of a server, from which it gets no more.
    pub max_pressure: f64,
    /// Servers that are drawn at random, of which the least loaded is taken. Gateways that all take
    /// the least loaded of all servers overrun it before its next report.
    pub choices: usize,
    /// Part of the time that a caller has left after which it is told to come back, at most: callers
    /// wait no longer for another attempt.
    pub max_wait: f64,
    /// Part of that wait over which callers that found all servers full are spread.
    pub full_spread: f64,
    /// The same for callers that found none; their return is best late, since outages last.
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

/// One server that may be given the request.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate<'a> {
    /// The server.
    pub id: &'a ServerId,
    /// Requests that it is thought to have.
    pub load: f64,
    /// Requests that it works on at once.
    pub slots: u32,
}

impl Candidate<'_> {
    fn pressure(&self) -> f64 {
        self.load / f64::from(self.slots.max(1))
    }
}

/// The choice.
#[derive(Clone, Debug, PartialEq)]
pub enum PlacementChoice {
    /// This server.
    Server(ServerId),
    /// All are full.
    Full,
    /// There is none.
    Nowhere,
}

/// Chooses the least loaded of a few servers that are drawn at random from those with room.
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
        return PlacementChoice::Nowhere;
    }
    let with_room = candidates.iter().filter(|it| it.pressure() < settings.max_pressure);
    let drawn = with_room.choose_multiple(rng, settings.choices.max(1));
    let least = drawn.into_iter().min_by(|a, b| a.pressure().total_cmp(&b.pressure()));
    least.map_or(PlacementChoice::Full, |it| PlacementChoice::Server(it.id.clone()))
}

/// Why a caller is told to come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReturnCause {
    /// All servers were full.
    Full,
    /// No server could be used.
    Outage,
}

/// When a refused caller is told to come back.
///
/// An answer to a refused request is late in any case, so what counts is that the caller finds room
/// within the time it has: it returns after at most a part of that time, spread so that those
/// refused together do not return together.
///
/// ```
/// use std::time::Duration;
/// use alderbay::routing::{AdmissionSettings, ReturnCause, retry_after};
/// use rand::{SeedableRng, rngs::SmallRng};
/// let mut rng = SmallRng::seed_from_u64(1);
/// let left = Duration::from_secs(6);
/// let wait = retry_after(left, ReturnCause::Outage, &AdmissionSettings::default(), &mut rng);
/// assert!(wait > left / 4 && wait < left / 3);
/// ```
pub fn retry_after(
    time_left: Duration,
    cause: ReturnCause,
    settings: &AdmissionSettings,
    rng: &mut SmallRng,
) -> Duration {
    let spread = match cause {
        ReturnCause::Full => settings.full_spread,
        ReturnCause::Outage => settings.outage_spread,
    };
    let part = settings.max_wait * (1.0 - rng.random_range(0.0..=spread.clamp(0.0, 1.0)));
    time_left.mul_f64(part.clamp(0.0, 1.0))
}
