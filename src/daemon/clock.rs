//! The runtime's clock as moments since the process started.

use std::time::Duration;

use tokio::time::Instant;

use crate::units::Moment;

/// Counts from its making.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    start: Instant,
}

impl ProcessClock {
    /// Starts counting.
    pub fn start() -> Self {
        Self { start: Instant::now() }
    }

    /// The present moment.
    pub fn now(&self) -> Moment {
        Moment(u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX))
    }

    /// The instant of a moment.
    pub fn instant(&self, moment: Moment) -> Instant {
        self.start + Duration::from_micros(moment.0)
    }
}
