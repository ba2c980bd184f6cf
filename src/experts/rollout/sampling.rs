//! Schedule by which the ranks of a group sample their expert counts.
//!
//! All samples go to the coordinator. A sample has one byte per expert and layer, so in a large
//! group the samples of all ranks would fill the coordinator's link. There the ranks take turns;
//! requests are spread over the ranks at random, so a few of them represent the group.

/// Number of sampling intervals per second.
const INTERVALS_PER_SECOND: usize = 10;
/// Maximum size of the samples that a coordinator receives per second: about a quarter of the
/// slowest link.
const MAX_SAMPLE_BYTES_PER_SECOND: usize = 200_000;

/// What a rank does in a sampling interval.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SampleAction {
    /// Nothing.
    Skip,
    /// Read the counters as the base of the next sample.
    ReadBase,
    /// Read the counters and send the difference to the previous reading.
    Send,
}

/// Turns of the ranks of one group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SampleSchedule {
    /// Number of intervals from one sample of a rank to its next.
    period: usize,
}

impl SampleSchedule {
    /// Creates the schedule of a group whose samples have `sample_bytes` bytes each.
    ///
    /// ```
    /// use alderbay::experts::{SampleAction, SampleSchedule};
    /// let small = SampleSchedule::new(8, 384);
    /// assert_eq!(small.action(3, 0), SampleAction::Send);
    /// let large = SampleSchedule::new(96, 3_072);
    /// assert_eq!(large.action(3, 0), SampleAction::Skip);
    /// ```
    pub fn new(ranks: usize, sample_bytes: usize) -> Self {
        let bytes = ranks * sample_bytes * INTERVALS_PER_SECOND;
        Self { period: bytes.div_ceil(MAX_SAMPLE_BYTES_PER_SECOND).max(1) }
    }

    /// Returns what a rank does in the interval with this number.
    pub fn action(self, rank: u16, interval: usize) -> SampleAction {
        let turn = usize::from(rank) % self.period;
        let place = interval % self.period;
        if place == turn {
            SampleAction::Send
        } else if (place + 1) % self.period == turn {
            SampleAction::ReadBase
        } else {
            SampleAction::Skip
        }
    }
}
