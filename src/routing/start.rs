//! Estimates of when a server begins a request and sends its first event.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::units::UrgencyRank;

/// Events of a stream assumed until streams have ended.
const DEFAULT_EVENTS: f64 = 20.0;
/// Steps from the begin of a request to its first event assumed until streams have begun: the rest
/// of the step in progress and one of its own.
const DEFAULT_FIRST_STEPS: f64 = 2.0;
/// Weight of the latest observation in a running mean.
const MEAN_WEIGHT: f64 = 0.05;
/// Factor by which the weight of earlier requests in the mix of ranks decreases with each request.
const RANK_DECAY: f64 = 0.995;

/// Load and pace of a server at the time of a choice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerPace {
    /// Number of requests that the server processes concurrently.
    pub slots: u32,
    /// Requests that it processes.
    pub running: f64,
    /// Requests that wait there or are on their way.
    pub waiting: f64,
    /// Time of a step of its group.
    pub step_time: Duration,
}

/// What a gateway has learned of the requests to a service.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct StartModel {
    /// Mean number of steps that a request holds a slot.
    events: f64,
    /// Mean number of steps from the begin of a request to its first event.
    first_steps: f64,
    /// Weights of the ranks of recent requests.
    ranks: BTreeMap<Option<UrgencyRank>, f64>,
}

impl Default for StartModel {
    fn default() -> Self {
        Self { events: DEFAULT_EVENTS, first_steps: DEFAULT_FIRST_STEPS, ranks: BTreeMap::new() }
    }
}

impl StartModel {
    /// Records the rank of a request.
    pub fn record_rank(&mut self, rank: Option<UrgencyRank>) {
        self.ranks.values_mut().for_each(|it| *it *= RANK_DECAY);
        self.ranks.retain(|_, weight| *weight > 0.01);
        *self.ranks.entry(rank).or_insert(0.0) += 1.0;
    }

    /// Records the time from the first event of a whole stream to its end.
    pub fn record_stream(&mut self, length: Duration, step_time: Duration) {
        let steps = length.as_secs_f64() / step_time.as_secs_f64();
        if steps.is_finite() {
            self.events += (steps - self.events) * MEAN_WEIGHT;
        }
    }

    /// Records the time to the first event of a request that a free slot took.
    pub fn record_first_event(&mut self, delay: Duration, step_time: Duration) {
        let steps = delay.as_secs_f64() / step_time.as_secs_f64();
        if steps.is_finite() {
            self.first_steps += (steps - self.first_steps) * MEAN_WEIGHT;
        }
    }

    /// Returns the part of the waiting requests that servers admit before a new one of this rank:
    /// those that are at least as urgent. Requests without a rank are as urgent as any.
    ///
    /// ```
    /// use alderbay::{routing::StartModel, units::UrgencyRank};
    /// let mut model = StartModel::default();
    /// assert_eq!(model.share_ahead(Some(UrgencyRank(0))), 1.0);
    /// model.record_rank(Some(UrgencyRank(2)));
    /// assert_eq!(model.share_ahead(Some(UrgencyRank(0))), 0.0);
    /// assert_eq!(model.share_ahead(Some(UrgencyRank(2))), 1.0);
    /// ```
    pub fn share_ahead(&self, rank: Option<UrgencyRank>) -> f64 {
        let total: f64 = self.ranks.values().sum();
        let Some(rank) = rank.filter(|_| total > 0.0) else { return 1.0 };
        let is_ahead = |it: &Option<UrgencyRank>| it.is_none_or(|it| it <= rank);
        let ahead = self.ranks.iter().filter(|(it, _)| is_ahead(it)).map(|it| it.1);
        ahead.sum::<f64>() / total
    }
}

/// Returns the expected time until a slot is free for one more request of this rank.
///
/// The requests in the slots end in turn, evenly spread over the time that one of them takes.
///
/// ```
/// use std::time::Duration;
/// use alderbay::routing::{ServerPace, StartModel, start_delay};
/// let step_time = Duration::from_millis(50);
/// let pace = ServerPace { slots: 10, running: 9.0, waiting: 0.0, step_time };
/// let model = StartModel::default();
/// assert_eq!(start_delay(&pace, &model, None), Duration::ZERO);
/// let full = ServerPace { running: 10.0, ..pace };
/// assert_eq!(start_delay(&full, &model, None), Duration::from_millis(100));
/// ```
pub fn start_delay(pace: &ServerPace, model: &StartModel, rank: Option<UrgencyRank>) -> Duration {
    let slots = f64::from(pace.slots.max(1));
    let free = (slots - pace.running).max(0.0);
    let ahead = pace.waiting * model.share_ahead(rank);
    // Requests that must end before this one begins.
    let ends = (ahead + 1.0 - free).max(0.0);
    if ends < 1.0 && free > 0.0 {
        return Duration::ZERO;
    }
    pace.step_time.mul_f64(ends * model.events / slots)
}

/// Returns the expected time until the first event of one more request of this rank.
///
/// ```
/// use std::time::Duration;
/// use alderbay::routing::{ServerPace, StartModel, first_event_delay};
/// let step_time = Duration::from_millis(50);
/// let pace = ServerPace { slots: 10, running: 2.0, waiting: 0.0, step_time };
/// let delay = first_event_delay(&pace, &StartModel::default(), None);
/// assert_eq!(delay, Duration::from_millis(100));
/// ```
pub fn first_event_delay(
    pace: &ServerPace,
    model: &StartModel,
    rank: Option<UrgencyRank>,
) -> Duration {
    start_delay(pace, model, rank) + pace.step_time.mul_f64(model.first_steps)
}
