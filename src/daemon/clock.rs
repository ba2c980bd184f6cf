//! Monotonic clock of a process.

use std::time::Duration;

use tokio::time::Instant;

use crate::units::Moment;

/// Monotonic clock that counts microseconds from its creation.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    start: Instant,
}

impl ProcessClock {
    /// Creates a clock that starts at zero.
    pub fn start() -> Self {
        Self { start: Instant::now() }
    }

    /// Returns the current moment.
    pub fn now(&self) -> Moment {
        Moment(u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX))
    }

    /// Converts a moment of this clock to an instant of the runtime.
    pub fn instant(&self, moment: Moment) -> Instant {
        self.start + Duration::from_micros(moment.0)
    }
}
