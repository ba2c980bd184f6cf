//! How many gateways there are, as far as this one knows: limits over all gateways are divided by it.
//!
//! A gateway hears only of those that agents in its reach hear of. Gateways of another failure domain
//! that fall silent together may be cut off and go on sending, so they count on; single ones that are
//! gone from a domain that is heard of have been removed.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    time::Duration,
};

use super::GatewayLocation;
use crate::units::{FailureDomain, Moment};

/// Number of gateways assumed where load is estimated, until an agent reports how many subscribe to it.
pub(super) const DEFAULT_GATEWAY_COUNT: u32 = 12;
/// Number of gateways assumed where limits are divided, until an agent reports: the largest supported.
const MAX_GATEWAY_COUNT: u32 = 400;
/// Time for which the largest reported number stays in use.
const REPORT_WINDOW: Duration = Duration::from_secs(10);
/// Time for which a larger number of gateways of a domain that is heard of counts on, up to twice.
const HOLD_TIME: Duration = Duration::from_secs(300);
/// Time for which the gateways of a domain that is not heard of count on: regions may lose each other
/// for hours.
const SILENT_DOMAIN_TTL: Duration = Duration::from_secs(24 * 3_600);
/// Maximum number of domains that are remembered.
const MAX_DOMAINS: usize = 64;

/// Where a gateway knows the number of gateways from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CountSource {
    /// Nobody has reported yet.
    Assumed,
    /// Agents report who subscribes to them.
    Agents,
    /// Agents reported more before.
    Held,
}

impl fmt::Display for CountSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Assumed => "assumed",
            Self::Agents => "agents",
            Self::Held => "earlier reports",
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
    /// Time since the latest report of an agent; `None` if there was none.
    pub age: Option<Duration>,
}

/// The gateways of one failure domain.
#[derive(Clone, Copy, Debug)]
struct DomainCount {
    /// Largest number seen since `period_began_at`, and in the period before it.
    largest: u32,
    previous: u32,
    period_began_at: Moment,
    seen_at: Moment,
}

impl DomainCount {
    fn record(&mut self, count: u32, now: Moment) {
        if now.since(self.period_began_at) >= HOLD_TIME {
            (self.previous, self.largest, self.period_began_at) = (self.largest, 0, now);
        }
        self.largest = self.largest.max(count);
        self.seen_at = now;
    }

    fn held(&self) -> u32 {
        self.largest.max(self.previous)
    }
}

/// What this gateway was told of the number of gateways.
#[derive(Clone, Debug, Default)]
pub(super) struct GatewayCounter {
    /// Largest number reported lately, and the time of that report.
    reported: Option<(u32, Moment)>,
    /// Times of the first and of the latest report.
    heard_at: Option<(Moment, Moment)>,
    domains: BTreeMap<FailureDomain, DomainCount>,
    /// Domains whose agents have been heard.
    reached: BTreeSet<FailureDomain>,
    /// Domains that may have gateways.
    expected: BTreeSet<FailureDomain>,
}

impl GatewayCounter {
    /// Creates the counter of a process that has just started in a deployment with these domains.
    pub(super) fn new(expected: BTreeSet<FailureDomain>) -> Self {
        Self { expected, ..Self::default() }
    }

    /// Records what an agent reports.
    pub(super) fn record_report(&mut self, count: u32, now: Moment) {
        let is_expired = self.reported.is_none_or(|(_, at)| now.since(at) > REPORT_WINDOW);
        if is_expired || self.reported.is_some_and(|(max, _)| count >= max) {
            self.reported = Some((count, now));
        }
        self.heard_at = Some((self.heard_at.map_or(now, |it| it.0), now));
    }

    /// Records the gateways that were seen lately.
    pub(super) fn record_seen(&mut self, gateways: &[GatewayLocation], now: Moment) {
        let mut counts: BTreeMap<&FailureDomain, u32> = BTreeMap::new();
        gateways.iter().for_each(|it| *counts.entry(&it.failure_domain).or_default() += 1);
        for (domain, count) in counts {
            let has_room = self.domains.len() < MAX_DOMAINS;
            if let Some(known) = self.domains.get_mut(domain) {
                known.record(count, now);
            } else if has_room {
                let (period_began_at, seen_at) = (now, now);
                let new = DomainCount { largest: count, previous: 0, period_began_at, seen_at };
                self.domains.insert(domain.clone(), new);
            }
        }
        self.domains.retain(|_, it| now.since(it.seen_at) < SILENT_DOMAIN_TTL);
    }

    /// Whether agents of this domain may be news: nothing is known of its gateways.
    pub(super) fn has_unseen_domains(&self) -> bool {
        self.expected.iter().any(|it| self.is_unseen(it))
    }

    /// Records that an agent of this domain is heard. If the domain has gateways, it lists them.
    pub(super) fn record_reached(&mut self, domain: &FailureDomain) {
        if self.expected.contains(domain) {
            self.reached.insert(domain.clone());
        }
    }

    fn is_unseen(&self, domain: &FailureDomain) -> bool {
        !self.domains.contains_key(domain) && !self.reached.contains(domain)
    }

    /// Whether the number is known at all.
    pub(super) fn is_known(&self) -> bool {
        self.reported.is_some()
    }

    /// Returns the number of gateways that send now, as far as this one hears of them.
    pub(super) fn recent(&self) -> u32 {
        self.reported.map_or(DEFAULT_GATEWAY_COUNT, |it| it.0.max(1))
    }

    /// Returns the number of gateways that may send, or `None` before the first report.
    pub(super) fn possible(&self, now: Moment) -> Option<u32> {
        let (first_heard_at, _) = self.heard_at?;
        let held = || self.domains.values().map(DomainCount::held);
        let mut sum = held().fold(0, u32::saturating_add);
        // A process that starts in a cut has not seen the gateways of other domains yet.
        if now.since(first_heard_at) < SILENT_DOMAIN_TTL {
            let unseen = self.expected.iter().filter(|it| self.is_unseen(it)).count();
            let largest = held().max().unwrap_or(0);
            sum = sum
                .saturating_add(largest.saturating_mul(u32::try_from(unseen).unwrap_or(u32::MAX)));
        }
        Some(self.recent().max(sum))
    }

    /// Returns the number of gateways among which limits are divided, with what it rests on.
    pub(super) fn belief(&self, now: Moment) -> GatewayCount {
        let age = self.heard_at.map(|(_, at)| now.since(at));
        let (count, source) = match self.possible(now) {
            Some(count) if count > self.recent() => (count, CountSource::Held),
            Some(count) => (count, CountSource::Agents),
            None => (MAX_GATEWAY_COUNT, CountSource::Assumed),
        };
        GatewayCount { count, source, age }
    }
}
