//! The pace of a server: the time of a step of its group, smoothed so that a short change moves no
//! traffic.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::units::Moment;

/// Time over which a longer step time takes effect. A shift of the experts that a group uses passes
/// sooner.
const SLOWDOWN_TIME: Duration = Duration::from_millis(1_000);
/// Time over which a shorter step time takes effect, so that gateways return bit by bit.
const SPEEDUP_TIME: Duration = Duration::from_millis(2_000);
/// Time without a step after which the pace counts as unknown, so that an idle group is tried again.
const PACE_TTL: Duration = Duration::from_secs(3);
/// Part of the longest pause allowed from which the pace of a server counts against it.
const PACE_HEADROOM: f64 = 0.75;

/// Part of the longest pause allowed that steps may take. Steps above the mean that agents report are
/// longer.
const MAX_STEP_FRACTION: f64 = 0.85;
/// Factor on the load that a server may bear after steps that were too long.
const LOAD_CUT: f64 = 0.92;
/// Time between two cuts: what is in progress has to end before a cut shows.
const CUT_INTERVAL: Duration = Duration::from_millis(700);
/// Part of the usual load by which the limit rises again in a second.
const LOAD_RECOVERY: f64 = 0.012;
/// Least part of the usual load: nothing is refused while half of the slots are free.
const MIN_LOAD_PART: f64 = 0.68;

/// Part of the usual load that a server bears with steps that keep streams on time.
///
/// Steps grow with the number of streams in progress, and all of them are late once a step exceeds the
/// longest pause allowed. So fewer are admitted where steps come near it, for example where the
/// popularity of experts shifts again and again. A step has a large constant part, so the server
/// makes nearly as many tokens with fewer streams.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct PaceLimit {
    part: f64,
    updated_at: Moment,
    next_cut: Moment,
}

impl Default for PaceLimit {
    fn default() -> Self {
        Self { part: 1.0, updated_at: Moment(0), next_cut: Moment(0) }
    }
}

impl PaceLimit {
    /// Records the time that steps have taken lately.
    ///
    /// ```
    /// use std::time::Duration;
    /// use alderbay::{routing::PaceLimit, units::Moment};
    /// let mut limit = PaceLimit::default();
    /// let objective = Duration::from_millis(120);
    /// limit.record(Duration::from_millis(70), objective, Moment(0));
    /// assert_eq!(limit.part(), 1.0);
    /// limit.record(Duration::from_millis(130), objective, Moment(1_000));
    /// assert!(limit.part() < 1.0);
    /// ```
    pub fn record(&mut self, step_time: Duration, objective: Duration, now: Moment) {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.updated_at = now;
        if step_time <= objective.mul_f64(MAX_STEP_FRACTION) {
            self.part = (self.part + LOAD_RECOVERY * elapsed).min(1.0);
        } else if now >= self.next_cut {
            self.part = (self.part * LOAD_CUT).max(MIN_LOAD_PART);
            self.next_cut = now.after(CUT_INTERVAL);
        }
    }

    /// Returns the part of the usual load, from above a half to 1.
    pub fn part(&self) -> f64 {
        self.part
    }
}

/// Smoothed step time of a server's group.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct StepPace {
    smoothed: Duration,
    updated_at: Moment,
}

impl StepPace {
    /// Returns the pace after a report of this step time.
    ///
    /// ```
    /// use std::time::Duration;
    /// use alderbay::{routing::StepPace, units::Moment};
    /// let (fast, slow) = (Duration::from_millis(60), Duration::from_millis(140));
    /// let pace = StepPace::updated(None, fast, Moment(0));
    /// let pace = StepPace::updated(Some(pace), slow, Moment(500_000));
    /// assert!(pace.step_time(Moment(500_000)).unwrap() < Duration::from_millis(100));
    /// ```
    #[must_use]
    pub fn updated(earlier: Option<Self>, step_time: Duration, now: Moment) -> Self {
        let known = earlier.and_then(|it| Some((it.step_time(now)?, it.updated_at)));
        let Some((smoothed, at)) = known else {
            return Self { smoothed: step_time, updated_at: now };
        };
        let time = if step_time > smoothed { SLOWDOWN_TIME } else { SPEEDUP_TIME };
        let weight = 1.0 - (-now.since(at).as_secs_f64() / time.as_secs_f64()).exp();
        let seconds = smoothed.as_secs_f64() * (1.0 - weight) + step_time.as_secs_f64() * weight;
        Self { smoothed: Duration::from_secs_f64(seconds), updated_at: now }
    }

    /// Returns the smoothed step time, or `None` if no step was reported lately.
    pub fn step_time(&self, now: Moment) -> Option<Duration> {
        (now.since(self.updated_at) < PACE_TTL).then_some(self.smoothed)
    }
}

/// Returns the factor by which a server counts as more loaded because of its step time: 1 while the
/// longest pause that a stream may have is well within reach.
///
/// ```
/// use std::time::Duration;
/// use alderbay::routing::pace_factor;
/// let objective = Some(Duration::from_millis(120));
/// assert_eq!(pace_factor(Some(Duration::from_millis(70)), objective), 1.0);
/// assert_eq!(pace_factor(Some(Duration::from_millis(180)), objective), 2.0);
/// assert_eq!(pace_factor(None, objective), 1.0);
/// ```
pub fn pace_factor(step_time: Option<Duration>, gap_objective: Option<Duration>) -> f64 {
    let (Some(step_time), Some(objective)) = (step_time, gap_objective) else { return 1.0 };
    let usual = objective.as_secs_f64() * PACE_HEADROOM;
    if usual > 0.0 { (step_time.as_secs_f64() / usual).max(1.0) } else { 1.0 }
}
