//! How many gateways there are, as far as this one knows: limits over all gateways are divided by it.

use std::{fmt, time::Duration};

use crate::units::Moment;

/// Number of gateways assumed until an agent reports how many subscribe to it.
pub(super) const DEFAULT_GATEWAY_COUNT: u32 = 12;
/// Time for which the largest reported number stays in use.
const REPORT_WINDOW: Duration = Duration::from_secs(10);

/// Where a gateway knows the number of gateways from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CountSource {
    /// Nobody has reported yet.
    Assumed,
    /// Agents report who subscribes to them.
    Agents,
}

impl fmt::Display for CountSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Assumed => "assumed",
            Self::Agents => "agents",
        })
    }
}

/// The number of gateways that a decision rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GatewayCount {
    /// Number of gateways, this one included.
    pub count: u32,
    /// Where it is known from.
    pub source: CountSource,
    /// Time since it was reported; `None` if it never was.
    pub age: Option<Duration>,
}

/// What this gateway was told of the number of gateways.
#[derive(Clone, Debug, Default)]
pub(super) struct GatewayCounter {
    /// Largest number reported lately, and the time of that report.
    reported: Option<(u32, Moment)>,
}

impl GatewayCounter {
    /// Records what an agent reports.
    pub(super) fn record_report(&mut self, count: u32, now: Moment) {
        let is_expired = self.reported.is_none_or(|(_, at)| now.since(at) > REPORT_WINDOW);
        if is_expired || self.reported.is_some_and(|(max, _)| count >= max) {
            self.reported = Some((count, now));
        }
    }

    /// Whether the number is known at all.
    pub(super) fn is_known(&self) -> bool {
        self.reported.is_some()
    }

    /// Returns the number of gateways.
    pub(super) fn count(&self) -> u32 {
        self.reported.map_or(DEFAULT_GATEWAY_COUNT, |it| it.0.max(1))
    }

    /// Returns the number of gateways with what it rests on.
    pub(super) fn belief(&self, now: Moment) -> GatewayCount {
        let source = match self.reported {
            Some(_) => CountSource::Agents,
            None => CountSource::Assumed,
        };
        let age = self.reported.map(|(_, at)| now.since(at));
        GatewayCount { count: self.count(), source, age }
    }
}
