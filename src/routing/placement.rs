//! The choice of a server for a request among those that can take it.

use std::time::Duration;

use rand::{
    rngs::SmallRng,
    seq::{IteratorRandom, SliceRandom},
};

use super::AdmissionSettings;
use crate::units::ServerId;

/// A server that may get the request.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate<'a> {
    /// Id of the server.
    pub id: &'a ServerId,
    /// Estimated number of requests at the server.
    pub load: f64,
    /// Number of requests that the server processes concurrently.
    pub slots: u32,
    /// Factor by which the server counts as more loaded because it is slow.
    pub pace_factor: f64,
}

impl Candidate<'_> {
    /// Returns the estimated number of requests per slot.
    fn pressure(&self) -> f64 {
        self.load / f64::from(self.slots.max(1))
    }

    /// Returns the number of requests per slot with one more, weighted by the server's pace.
    fn cost(&self) -> f64 {
        (self.load + 1.0) / f64::from(self.slots.max(1)) * self.pace_factor
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
/// let candidate = |id, load| Candidate { id, load, slots: 12, pace_factor: 1.0 };
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
    let least_loaded = drawn.into_iter().min_by(|a, b| a.cost().total_cmp(&b.cost()));
    least_loaded.map_or(PlacementChoice::Full, |it| PlacementChoice::Server(it.id.clone()))
}
