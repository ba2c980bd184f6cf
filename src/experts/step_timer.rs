//! The time that a step of a group takes, from polls of one rank's engine.

use std::{collections::VecDeque, time::Duration};

use super::StepNumber;
use crate::units::Moment;

/// Time over which steps are averaged.
const STEP_WINDOW: Duration = Duration::from_millis(800);
/// Longest time between two steps that counts as one step although this rank was idle: other ranks
/// may have run requests, or the whole group was idle.
const MAX_IDLE_STEP: Duration = Duration::from_millis(150);
/// Time without a new step, despite running requests, after which a group counts as stalled: a
/// multiple of the usual step time.
const STALL_TIMEOUT: Duration = Duration::from_millis(300);
/// Number of steps that a slow group misses before it counts as stalled.
const STALL_STEPS: u32 = 3;
/// Time without a new step after which even a slow group counts as stalled.
const MAX_STALL_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Recent steps of a group.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StepTimer {
    /// The latest step, its group's epoch, and when it was first seen.
    latest: Option<(StepNumber, u64, Moment)>,
    /// Last time at which the rank was idle or a new step was seen.
    progress_at: Option<Moment>,
    /// Whether the rank ran requests at all polls since the latest step.
    is_busy: bool,
    /// Recent intervals between new steps: their end, length, and number of steps.
    recent: VecDeque<(Moment, Duration, u64)>,
}

impl StepTimer {
    /// Records the step that a poll has seen, the epoch of the group, and whether the rank runs
    /// requests.
    ///
    /// ```
    /// use alderbay::{experts::{StepNumber, StepTimer}, units::Moment};
    /// let mut timer = StepTimer::default();
    /// timer.record(StepNumber(1), 1, true, Moment(0));
    /// timer.record(StepNumber(3), 1, true, Moment(100_000));
    /// assert_eq!(timer.step_time(Moment(100_000)).unwrap().as_millis(), 50);
    /// ```
    pub fn record(&mut self, step: StepNumber, epoch: u64, is_running: bool, now: Moment) {
        let Some((latest, latest_epoch, at)) = self.latest else {
            self.begin(step, epoch, is_running, now);
            return;
        };
        if epoch != latest_epoch || step < latest {
            self.recent.clear();
            self.begin(step, epoch, is_running, now);
            return;
        }
        if step > latest {
            let length = now.since(at);
            if self.is_busy || length <= MAX_IDLE_STEP {
                self.recent.push_back((now, length, step.0 - latest.0));
            }
            self.begin(step, epoch, is_running, now);
        } else if !is_running {
            self.is_busy = false;
            self.progress_at = Some(now);
        }
        while self.recent.front().is_some_and(|it| now.since(it.0) > STEP_WINDOW) {
            self.recent.pop_front();
        }
    }

    fn begin(&mut self, step: StepNumber, epoch: u64, is_running: bool, now: Moment) {
        self.latest = Some((step, epoch, now));
        self.progress_at = Some(now);
        self.is_busy = is_running;
    }

    /// Returns the mean time of the recent steps, or `None` if there were none.
    pub fn step_time(&self, now: Moment) -> Option<Duration> {
        let recent = self.recent.iter().filter(|it| now.since(it.0) <= STEP_WINDOW);
        let (mut total, mut count) = (Duration::ZERO, 0);
        for (_, length, steps) in recent {
            total += *length;
            count += u32::try_from(*steps).unwrap_or(u32::MAX);
        }
        total.checked_div(count)
    }

    /// Returns the time for which the rank has run requests without a new step.
    pub fn since_step(&self, now: Moment) -> Duration {
        self.progress_at.map_or(Duration::ZERO, |at| now.since(at))
    }

    /// Whether the group makes no steps although the rank runs requests. A group with long steps is
    /// given more time.
    pub fn is_stalled(&self, now: Moment) -> bool {
        let step_time = self.step_time(now).unwrap_or_default();
        let timeout = (step_time * STALL_STEPS).clamp(STALL_TIMEOUT, MAX_STALL_TIMEOUT);
        self.since_step(now) >= timeout
    }
}
