//! How long requests of each route take, as far as their answers were whole.

use std::{collections::BTreeMap, time::Duration};

use crate::units::RouteName;

/// Weight of the latest observation in the running mean and deviation.
const MEAN_WEIGHT: f64 = 0.05;
/// Number of mean deviations above the mean within which nearly all requests end.
const DEVIATIONS: f64 = 4.0;
/// Maximum number of routes; an operator's catalogs may name new ones for ever.
const MAX_ROUTES: usize = 1_024;

/// Mean and mean deviation of a route's run times, in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
struct RunTime {
    mean: f64,
    deviation: f64,
}

/// Run times of requests by route.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RunTimes(BTreeMap<RouteName, RunTime>);

impl RunTimes {
    /// Records the time from the arrival of a request to the end of its answer.
    pub fn record(&mut self, route: &RouteName, elapsed: Duration) {
        let elapsed = elapsed.as_secs_f64();
        if let Some(time) = self.0.get_mut(route) {
            time.deviation += ((elapsed - time.mean).abs() - time.deviation) * MEAN_WEIGHT;
            time.mean += (elapsed - time.mean) * MEAN_WEIGHT;
        } else if self.0.len() < MAX_ROUTES {
            self.0.insert(route.clone(), RunTime { mean: elapsed, deviation: elapsed / 2.0 });
        }
    }

    /// Keeps the routes that a new catalog still has.
    pub fn retain(&mut self, is_known: impl Fn(&RouteName) -> bool) {
        self.0.retain(|it, _| is_known(it));
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
