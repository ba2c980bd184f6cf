//! How far requests of a rank may fill servers, and how long they wait for one.
//!
//! Servers take the most urgent of the requests in their queue first. The most urgent rank in recent
//! traffic may therefore fill a server beyond its slots, by what the server begins in time. Less
//! urgent ranks stop earlier, so that the more urgent ones that arrive meanwhile find a free slot.

use std::{collections::BTreeMap, time::Duration};

use crate::units::{Moment, UrgencyRank};

/// Time over which the rate of arrivals is averaged.
const RATE_WINDOW: Duration = Duration::from_secs(4);
/// Time after its last request for which a rank counts as present.
const TRAFFIC_WINDOW: Duration = Duration::from_secs(5);
/// Usual age of what a gateway knows about the load of a server.
const NEWS_AGE: Duration = Duration::from_millis(100);
/// Part of a stream's objective that its server takes for the first event.
const FIRST_EVENT_FRACTION: f64 = 0.25;
/// Part of the time until its latest start that a request may spend in a server's queue. Other
/// gateways send to the same server on the same news.
const SERVER_QUEUE_FRACTION: f64 = 0.5;
/// Requests per slot below which nothing is refused, whatever its rank.
const MIN_LIMIT: f64 = 0.55;
/// Requests per slot that no rank exceeds.
const MAX_LIMIT: f64 = 1.5;
/// Time that requests are assumed to hold their slots before one has ended.
const DEFAULT_HOLD: Duration = Duration::from_secs(1);
/// Weight of the latest request in the average time that requests hold their slots.
const HOLD_WEIGHT: f64 = 0.05;
/// Part of the rate at which slots free that is never counted as taken by more urgent requests, so
/// that estimates of a wait stay finite.
const MIN_FREE_FRACTION: f64 = 0.05;

/// Arrivals of one rank at this gateway.
#[derive(Clone, Copy, Debug, PartialEq)]
struct RankMeter {
    /// Arrivals, each of which fades within [`RATE_WINDOW`].
    count: f64,
    last_arrival: Moment,
    /// Longest time from the arrival to the start of such a request.
    start_wait: Duration,
}

impl RankMeter {
    /// Returns the arrivals per second.
    fn rate(&self, now: Moment) -> f64 {
        let window = RATE_WINDOW.as_secs_f64();
        self.count * (-now.since(self.last_arrival).as_secs_f64() / window).exp() / window
    }
}

/// Recent traffic of one service at one gateway, by rank.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RankTraffic {
    meters: BTreeMap<UrgencyRank, RankMeter>,
    hold_time: Option<Duration>,
}

/// Capacity of a service, and the number of gateways that share it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceCapacity {
    /// Slots of all servers that take requests.
    pub slots: u32,
    /// Number of these servers.
    pub servers: u32,
    /// Number of gateways.
    pub gateways: u32,
}

impl RankTraffic {
    /// Counts a request that may wait `start_wait` for its start.
    pub fn record_arrival(&mut self, rank: UrgencyRank, start_wait: Duration, now: Moment) {
        let window = RATE_WINDOW.as_secs_f64();
        let faded = self.meters.get(&rank).map_or(0.0, |it| it.rate(now) * window);
        let meter = RankMeter { count: faded + 1.0, last_arrival: now, start_wait };
        self.meters.insert(rank, meter);
    }

    /// Records for how long a request held its slot.
    pub fn record_hold(&mut self, held: Duration) {
        let average = self
            .hold_time
            .map_or(held, |it| it.mul_f64(1.0 - HOLD_WEIGHT) + held.mul_f64(HOLD_WEIGHT));
        self.hold_time = Some(average);
    }

    /// Returns the average time for which requests hold their slots.
    pub fn hold_time(&self) -> Duration {
        self.hold_time.unwrap_or(DEFAULT_HOLD).max(Duration::from_millis(1))
    }

    fn more_urgent(&self, rank: UrgencyRank, now: Moment) -> impl Iterator<Item = &RankMeter> {
        let meters = self.meters.range(..rank).map(|it| it.1);
        meters.filter(move |it| now.since(it.last_arrival) < TRAFFIC_WINDOW)
    }

    fn less_urgent(&self, rank: UrgencyRank, now: Moment) -> impl Iterator<Item = &RankMeter> {
        let meters = self.meters.range(rank..).filter(move |it| *it.0 > rank).map(|it| it.1);
        meters.filter(move |it| now.since(it.last_arrival) < TRAFFIC_WINDOW)
    }

    /// Whether requests of more urgent ranks arrived lately, and of no less urgent one.
    pub fn is_least_urgent(&self, rank: UrgencyRank, now: Moment) -> bool {
        self.has_more_urgent(rank, now) && self.less_urgent(rank, now).next().is_none()
    }

    /// Whether requests of a more urgent rank arrived lately.
    pub fn has_more_urgent(&self, rank: UrgencyRank, now: Moment) -> bool {
        self.more_urgent(rank, now).next().is_some()
    }

    /// Returns the load, in requests per slot, from which a server gets no more requests of a rank.
    ///
    /// `start_wait` is the time within which the request has to begin, `usual` the limit for
    /// requests without a rank.
    ///
    /// ```
    /// use std::time::Duration;
    /// use alderbay::{routing::{RankTraffic, ServiceCapacity}, units::{Moment, UrgencyRank}};
    /// let (mut traffic, wait) = (RankTraffic::default(), Duration::from_millis(300));
    /// let capacity = ServiceCapacity { slots: 100, servers: 10, gateways: 5 };
    /// [0, 1].map(|rank| traffic.record_arrival(UrgencyRank(rank), wait, Moment(1_000_000)));
    /// let now = Moment(2_000_000);
    /// let limit = |rank| traffic.load_limit(UrgencyRank(rank), wait, capacity, 0.95, now);
    /// assert!(limit(0) > 1.0 && limit(2) < 0.95);
    /// ```
    pub fn load_limit(
        &self,
        rank: UrgencyRank,
        start_wait: Duration,
        capacity: ServiceCapacity,
        usual: f64,
        now: Moment,
    ) -> f64 {
        if !self.has_more_urgent(rank, now) {
            let queue_time = start_wait.mul_f64(SERVER_QUEUE_FRACTION).as_secs_f64();
            let limit = 1.0 + queue_time / self.hold_time().as_secs_f64();
            return limit.clamp(usual, MAX_LIMIT.max(usual));
        }
        let expected = self
            .more_urgent(rank, now)
            .map(|it| it.rate(now) * (it.start_wait + NEWS_AGE).as_secs_f64());
        let all_gateways = expected.sum::<f64>() * f64::from(capacity.gateways.max(1));
        let slots = f64::from(capacity.slots.max(1));
        // The most urgent rank has a slot's worth of room beyond the slots. Between the others there is
        // a slot at least, since servers are full by whole requests.
        let slot = f64::from(capacity.servers.max(1)) / slots;
        let steps = self.more_urgent(rank, now).count() as f64 - 1.0;
        let reserve = (all_gateways / slots - slot).max(steps * slot);
        (usual - reserve).max(MIN_LIMIT.min(usual))
    }

    /// Returns how long a request of a rank waits if `ahead` others of this gateway begin before it.
    ///
    /// ```
    /// use std::time::Duration;
    /// use alderbay::{routing::{RankTraffic, ServiceCapacity}, units::{Moment, UrgencyRank}};
    /// let mut traffic = RankTraffic::default();
    /// traffic.record_hold(Duration::from_secs(2));
    /// let capacity = ServiceCapacity { slots: 100, servers: 10, gateways: 5 };
    /// // Ten slots free each second for this gateway.
    /// let wait = traffic.expected_wait(UrgencyRank(1), 4, capacity, Moment(0));
    /// assert_eq!(wait, Duration::from_millis(500));
    /// ```
    pub fn expected_wait(
        &self,
        rank: UrgencyRank,
        ahead: usize,
        capacity: ServiceCapacity,
        now: Moment,
    ) -> Duration {
        let freed = f64::from(capacity.slots.max(1)) / self.hold_time().as_secs_f64();
        let share = freed / f64::from(capacity.gateways.max(1));
        let urgent: f64 = self.more_urgent(rank, now).map(|it| it.rate(now)).sum();
        let rate = (share - urgent).max(share * MIN_FREE_FRACTION);
        Duration::from_secs_f64((ahead as f64 + 1.0) / rate)
    }

    /// Returns the part of a range of retry delays from which callers of a rank draw theirs, between
    /// 0 and 1: more urgent ones come back earlier.
    pub fn retry_fraction(&self, rank: UrgencyRank, now: Moment) -> f64 {
        let earlier = self.more_urgent(rank, now).count();
        let later = self.less_urgent(rank, now).count();
        (earlier + 1) as f64 / (earlier + 1 + later) as f64
    }
}

/// Returns the longest time from a request's arrival to its start at which it can be on time.
///
/// ```
/// use std::time::Duration;
/// use alderbay::routing::start_wait;
/// let (objective, hold) = (Duration::from_millis(400), Duration::from_secs(2));
/// assert_eq!(start_wait(objective, true, hold), Duration::from_millis(300));
/// // A whole answer takes as long as the request holds its slot.
/// assert_eq!(start_wait(objective, false, hold), Duration::ZERO);
/// ```
pub fn start_wait(objective: Duration, is_stream: bool, hold_time: Duration) -> Duration {
    let first_event = objective.mul_f64(FIRST_EVENT_FRACTION);
    let needed = if is_stream { first_event } else { hold_time.max(first_event) };
    objective.saturating_sub(needed)
}
