//! Measured pace of a group's steps, by which the coordinator chooses the step to hold.

use std::time::Duration;

use crate::{experts::StepNumber, units::Moment};

/// Duration from which on steps count as long: waiting for one more of them costs more than a short
/// wait of the group at the held one.
const LONG_STEP: Duration = Duration::from_millis(80);
/// Time that an order to hold takes to be executed and the ranks to be armed.
const SWITCH_TIME: Duration = Duration::from_millis(60);

/// When the step in progress was first seen, and how long the last two took.
#[derive(Clone, Debug)]
pub(super) struct StepPace {
    step: StepNumber,
    seen_at: Moment,
    durations: [Duration; 2],
}

impl StepPace {
    /// Creates the pace of a group of which no step was seen.
    pub(super) fn new() -> Self {
        Self { step: StepNumber(0), seen_at: Moment(0), durations: [Duration::ZERO; 2] }
    }

    /// Records the last step that the group has started.
    pub(super) fn observe(&mut self, step: StepNumber, now: Moment) {
        if step == self.step {
            return;
        }
        let steps = step.0.saturating_sub(self.step.0).clamp(1, u64::from(u32::MAX)) as u32;
        self.durations = [self.durations[1], now.since(self.seen_at) / steps];
        self.step = step;
        self.seen_at = now;
    }

    /// Whether steps are long and the one in progress leaves time for a switch at the next one.
    pub(super) fn can_hold_next(&self, now: Moment) -> bool {
        // A pause without requests makes one step look long, so the shorter one counts.
        let duration = self.durations[0].min(self.durations[1]);
        duration >= LONG_STEP && now.since(self.seen_at) + SWITCH_TIME <= duration
    }
}
