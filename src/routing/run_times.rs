//! How long requests of each route take, as far as their answers were whole.

use std::{collections::BTreeMap, time::Duration};

use crate::units::RouteName;

/// Weight of the latest observation in the running mean and deviation.
const MEAN_WEIGHT: f64 = 0.05;
/// Number of mean deviations above the mean within which nearly all requests end.
const DEVIATIONS: f64 = 4.0;
/// Maximum number of routes; an operator's catalogs may name new ones for ever.
const MAX_ROUTES: usize = 1_024;

/// Number of requests after which the longest of them is forgotten, once as many more have ended.
const LONGEST_OF: u32 = 256;

/// Mean and mean deviation of a route's run times, in seconds, and the longest of late.
#[derive(Clone, Copy, Debug, PartialEq)]
struct RunTime {
    mean: f64,
    deviation: f64,
    longest: Duration,
    /// Longest of the [`LONGEST_OF`] requests before.
    longest_before: Duration,
    /// Requests since the longest was last forgotten.
    count: u32,
}

impl RunTime {
    fn record_longest(&mut self, elapsed: Duration) {
        if self.count == LONGEST_OF {
            self.count = 0;
            self.longest_before = std::mem::take(&mut self.longest);
        }
        self.count += 1;
        self.longest = self.longest.max(elapsed);
    }
}

/// Run times of requests by route.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RunTimes(BTreeMap<RouteName, RunTime>);

impl RunTimes {
    /// Records the time from the arrival of a request to the end of its answer.
    pub fn record(&mut self, route: &RouteName, elapsed: Duration) {
        let seconds = elapsed.as_secs_f64();
        if let Some(time) = self.0.get_mut(route) {
            time.deviation += ((seconds - time.mean).abs() - time.deviation) * MEAN_WEIGHT;
            time.mean += (seconds - time.mean) * MEAN_WEIGHT;
            time.record_longest(elapsed);
        } else if self.0.len() < MAX_ROUTES {
            let time = RunTime {
                mean: seconds,
                deviation: seconds / 2.0,
                longest: elapsed,
                longest_before: Duration::ZERO,
                count: 1,
            };
            self.0.insert(route.clone(), time);
        }
    }

    /// Keeps the routes that a new catalog still has.
    pub fn retain(&mut self, is_known: impl Fn(&RouteName) -> bool) {
        self.0.retain(|it, _| is_known(it));
    }

    /// Returns the longest time that a request of a route has taken of late, or `None` if none has ended.
    ///
    /// ```
    /// use std::time::Duration;
    /// use alderbay::routing::RunTimes;
    /// let (mut times, route) = (RunTimes::default(), "r".parse().unwrap());
    /// times.record(&route, Duration::from_secs(5));
    /// times.record(&route, Duration::from_secs(1));
    /// assert_eq!(times.longest(&route), Some(Duration::from_secs(5)));
    /// ```
    pub fn longest(&self, route: &RouteName) -> Option<Duration> {
        let time = self.0.get(route)?;
        Some(time.longest.max(time.longest_before))
    }

    /// Returns the time within which nearly all requests of a route end, or `None` if none has ended.
    ///
    /// ```
    /// use std::time::Duration;
    /// use alderbay::routing::RunTimes;
    /// let (mut times, route) = (RunTimes::default(), "r".parse().unwrap());
    /// assert_eq!(times.bound(&route), None);
    /// times.record(&route, Duration::from_secs(2));
    /// assert_eq!(times.bound(&route), Some(Duration::from_secs(6)));
    /// ```
    pub fn bound(&self, route: &RouteName) -> Option<Duration> {
        let time = self.0.get(route)?;
        Some(Duration::from_secs_f64(time.mean + DEVIATIONS * time.deviation))
    }
}
