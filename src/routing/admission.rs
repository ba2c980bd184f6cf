//! Where a request goes, and when it is refused instead.
//!
//! The load that this answers: bursts above what all servers together can take. A request that
//! would wait longer than its objective displaces one that can still be timely, so it is refused at
//! once and told when room is likely; nothing is refused while half of the places are free.

use std::time::Duration;

use rand::{Rng, rngs::SmallRng};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::units::ServerId;

/// Bounds on load.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AdmissionSettings {
    /// Load, in requests for each place of a server, from which it gets no more.
    pub max_pressure: f64,
    /// Part of a place by which equal servers are told apart at random, so that gateways with the
    /// same lagged reports choose differently.
    pub spread: f64,
    /// Shortest time after which a refused caller is told to come back, in milliseconds.
    pub retry_after_ms: u64,
    /// Spread of that time, in milliseconds.
    pub retry_after_spread_ms: u64,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            max_pressure: 1.15,
            spread: 0.08,
            retry_after_ms: 600,
            retry_after_spread_ms: 900,
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
    /// Whether it stands in the gateway's own failure domain.
    pub is_near: bool,
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
    Full {
        /// When to ask again.
        retry_after: Duration,
    },
    /// There is none.
    Nowhere {
        /// When to ask again.
        retry_after: Duration,
        /// Why none of the known servers may be used.
        reason: SmolStr,
    },
}

/// Chooses the least loaded server.
///
/// ```
/// use alderbay::routing::{AdmissionSettings, Candidate, PlacementChoice, choose_candidate};
/// use rand::{SeedableRng, rngs::SmallRng};
/// let (a, b) = ("a".parse()?, "b".parse()?);
/// let candidate = |id, load| Candidate { id, load, slots: 12, is_near: true };
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
    let mut best: Option<(f64, &Candidate<'_>)> = None;
    for candidate in candidates {
        let score = candidate.pressure() + rng.random_range(0.0..=settings.spread);
        if best.is_none_or(|(lowest, _)| score < lowest) {
            best = Some((score, candidate));
        }
    }
    let spread = rng.random_range(0..=settings.retry_after_spread_ms);
    let retry_after = Duration::from_millis(settings.retry_after_ms + spread);
    let Some((_, best)) = best else {
        return PlacementChoice::Nowhere { retry_after, reason: "no server".into() };
    };
    if best.pressure() >= settings.max_pressure {
        return PlacementChoice::Full { retry_after };
    }
    PlacementChoice::Server(best.id.clone())
}
