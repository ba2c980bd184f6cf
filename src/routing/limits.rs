//! Servers that name how many requests per second they take from all gateways together.
//!
//! A limit holds for as long as the server's answers name it, and belongs to one incarnation. Answers
//! may arrive in another order than they were sent, and gateways tell each other what they heard, so
//! observations are ordered by cause: one replaces a lower limit only if its request was sent after
//! that limit was heard. Of two observations that cannot be ordered, the lower limit holds.
//!
//! Each gateway uses a share of the limit. If all gateways shared it evenly, each of many could send
//! one request at any time, which together may exceed a small limit at once. So a few gateways, the
//! more the higher the limit, send to a limited server, mostly those of its failure domain; two of
//! other failure domains send a request now and then, and the others leave it alone. All gateways
//! choose the same ones from what they know of each other, without messages.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use rand::{
    Rng,
    rngs::SmallRng,
    seq::{IteratorRandom, SliceRandom},
};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::{GatewayLocation, Incarnation, LimitNotice, RoutingChange, budget::gateway_share};
use crate::units::{FailureDomain, Moment, RequestRate, ServerId};

/// Fraction of a limit that the gateways use together. A window of arrivals may hold more than a
/// window of sends, and two gateways may disagree about who sends.
const USED_FRACTION: f64 = 0.9;
/// Number of gateways that send to a server that takes less than one request per second. One more
/// sends for each request per second.
const MIN_SENDERS: u32 = 2;
/// Number of further gateways that send a request now and then, so that the end of a limit is learned
/// also where the others have no callers.
const RESERVE_SENDERS: usize = 2;
/// Requests per second that are sent to a limited server whatever its limit.
const TRIAL_RATE: f64 = 0.1;
/// Share, in requests per second, from which any gateway may send steadily. Below it the unused shares
/// of many gateways would add up to a rush when callers come after a quiet time.
const MIN_STEADY_SHARE: f64 = 0.5;
/// Length of the time slots in which gateways with smaller shares may send one request.
const SLOT_TIME: Duration = Duration::from_secs(1);
/// Time for which an unused share accumulates, beyond one request.
const BURST_TIME: Duration = Duration::from_millis(250);
/// Fraction of the gateways that must be known to decide who sends.
const MIN_KNOWN_FRACTION: f64 = 0.8;
/// Longest time that news takes from one gateway to another. Its age does not include that time.
const MAX_TRANSFER_TIME: Duration = Duration::from_millis(500);
/// Relative change of a limit from which other gateways are told at once.
const NEWS_CHANGE: f64 = 0.1;
/// Time for which a change is passed on with every exchange.
const NEWS_TTL: Duration = Duration::from_secs(3);
/// Maximum number of changes passed on with one exchange.
const MAX_NEWS: usize = 64;
/// Number of other limits passed on with one exchange, at random.
const MAX_REMINDERS: usize = 8;
/// Time for which the end of a limit, and the limits of servers that are not listed, are remembered.
const RETENTION_TIME: Duration = Duration::from_secs(60);
/// Maximum number of servers whose limits are remembered.
const MAX_SERVERS: usize = 2_048;

/// What another gateway heard of a server's limit.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct LimitReport {
    /// The server.
    pub server: ServerId,
    /// Its start time in Unix milliseconds.
    pub started_ms: Option<u64>,
    /// The limit; `None` if the server names none any more.
    pub limit: Option<RequestRate>,
    /// Time since the request was sent whose answer named it, in milliseconds.
    pub asked_age_ms: u64,
    /// Time since the answer arrived, in milliseconds.
    pub heard_age_ms: u64,
}

/// Where a gateway heard of a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitSource {
    /// An answer of the server.
    Answer,
    /// Another gateway.
    Peer,
}

/// What was heard of a server's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Observation {
    limit: Option<RequestRate>,
    /// When the request was sent whose answer named the limit.
    asked_at: Moment,
    heard_at: Moment,
}

impl Observation {
    fn is_lower_than(&self, other: &Self) -> bool {
        match (self.limit, other.limit) {
            (Some(limit), Some(other)) => limit < other,
            (Some(_), None) => true,
            (None, Some(_) | None) => false,
        }
    }
}

/// How a gateway uses its share of a limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum SendPace {
    /// As it accumulates.
    Steady,
    /// In time slots drawn at random, of which an unused one is lost.
    #[default]
    Slotted,
}

/// A gateway's share of a limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct LimitShare {
    rate: RequestRate,
    pace: SendPace,
}

impl LimitShare {
    fn new(rate: f64, pace: SendPace) -> Self {
        // A share of a valid limit is a valid rate.
        Self { rate: rate.try_into().unwrap_or_default(), pace }
    }
}

#[derive(Clone, Debug)]
struct ServerLimit {
    latest: Observation,
    /// Failure domain of the server, as of the latest share.
    domain: Option<FailureDomain>,
    /// The limit that other gateways were last told, and since when.
    announced: Option<RequestRate>,
    announced_at: Moment,
    /// This gateway's share of the limit.
    share: LimitShare,
    /// Requests that this gateway may send now if it sends steadily, refilled at the rate of the share.
    tokens: f64,
    refilled_at: Moment,
    /// The latest time slot in which a request was sent.
    used_slot: Option<u64>,
}

impl ServerLimit {
    fn tokens(&self, now: Moment) -> f64 {
        let rate = self.share.rate.per_second();
        let depth = 1.0 + rate * BURST_TIME.as_secs_f64();
        let refilled = self.tokens + now.since(self.refilled_at).as_secs_f64() * rate;
        refilled.min(depth)
    }

    fn set_tokens(&mut self, tokens: f64, now: Moment) {
        self.tokens = tokens;
        self.refilled_at = now;
    }
}

/// The gateways between which limits are shared.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SenderSet {
    /// Gateways that were seen lately, this one included.
    pub gateways: Vec<GatewayLocation>,
    /// This gateway.
    pub own: Option<GatewayLocation>,
    /// Number of gateways that may exist.
    pub count: u32,
}

impl SenderSet {
    /// Returns this gateway's share of a server's limit.
    fn share(
        &self,
        server: &ServerId,
        domain: Option<&FailureDomain>,
        limit: RequestRate,
    ) -> LimitShare {
        let limit = limit.per_second();
        let is_known = self.gateways.len() as f64 >= f64::from(self.count) * MIN_KNOWN_FRACTION;
        let Some(own) = self.own.as_ref().filter(|_| is_known) else {
            let trial_share = TRIAL_RATE / f64::from(self.count.max(1));
            let rate = gateway_share(limit, self.count) + trial_share;
            let is_steady = rate >= MIN_STEADY_SHARE;
            return LimitShare::new(
                rate,
                if is_steady { SendPace::Steady } else { SendPace::Slotted },
            );
        };
        let sender_count = (MIN_SENDERS as usize).saturating_add(limit as usize);
        let sender_count = sender_count.min(self.gateways.len()).max(1);
        let trial_share = TRIAL_RATE / (sender_count + RESERVE_SENDERS) as f64;
        let seed = xxh3_64_with_seed(server.as_str().as_bytes(), 0);
        let hash =
            |it: &GatewayLocation| xxh3_64_with_seed(it.address.to_string().as_bytes(), seed);
        let is_remote = |it: &GatewayLocation| domain != Some(&it.failure_domain);
        let mut ranked: Vec<(bool, u64)> =
            self.gateways.iter().map(|it| (is_remote(it), hash(it))).collect();
        ranked.sort_unstable();
        let own_rank = (is_remote(own), hash(own));
        let (senders, others) = ranked.split_at(sender_count);
        if senders.contains(&own_rank) {
            let rate = limit * USED_FRACTION / sender_count as f64 + trial_share;
            return LimitShare::new(rate, SendPace::Steady);
        }
        // Gateways of other failure domains are ranked last.
        let reserve = others.iter().rev().take(RESERVE_SENDERS);
        let is_reserve = reserve.copied().any(|it| it == own_rank);
        LimitShare::new(if is_reserve { trial_share } else { 0.0 }, SendPace::Steady)
    }
}

/// Result of a change of the table.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LimitUpdate {
    /// Whether there is something that other gateways may not know.
    pub has_news: bool,
    /// What changed.
    pub changes: Vec<RoutingChange>,
}

/// The limits that servers have named, and this gateway's use of them.
///
/// ```
/// use alderbay::{
///     routing::{LimitNotice, LimitTable},
///     units::Moment,
/// };
/// use rand::{SeedableRng, rngs::SmallRng};
/// let mut table = LimitTable::new(([127, 0, 0, 1], 9_000).into(), 9);
/// let (server, limit) = (("i-1".parse()?, Some(1)), 2.5.try_into()?);
/// let (named, asked_at) = (LimitNotice::Named(limit), Moment(0));
/// let mut rng = SmallRng::seed_from_u64(1);
/// table.record_answer(&server, None, (named, asked_at), Moment(5), &mut rng);
/// assert_eq!(table.limit(&server), Some(limit));
/// // The request was sent before the limit was heard.
/// table.record_answer(&server, None, (LimitNotice::Absent, Moment(4)), Moment(9), &mut rng);
/// assert_eq!(table.limit(&server), Some(limit));
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Clone, Debug)]
pub struct LimitTable {
    /// Distinguishes this gateway's time slots from those of others.
    slot_seed: u64,
    servers: BTreeMap<Incarnation, ServerLimit>,
    /// Servers that have named a limit that cannot be read.
    unreadable: BTreeSet<Incarnation>,
    senders: SenderSet,
}

impl LimitTable {
    /// Creates the table of the gateway at this address, which assumes this many gateways until others
    /// are seen.
    pub fn new(address: SocketAddr, gateway_count: u32) -> Self {
        Self {
            slot_seed: xxh3_64(address.to_string().as_bytes()),
            servers: BTreeMap::new(),
            unreadable: BTreeSet::new(),
            senders: SenderSet { count: gateway_count, ..SenderSet::default() },
        }
    }

    /// Whether no limit is remembered.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Returns the limit of a server; `None` if it has none.
    pub fn limit(&self, incarnation: &Incarnation) -> Option<RequestRate> {
        self.servers.get(incarnation).and_then(|it| it.latest.limit)
    }

    /// Returns the limits in force with this gateway's shares.
    pub fn limits(&self) -> impl Iterator<Item = (&Incarnation, RequestRate, RequestRate)> {
        self.servers.iter().filter_map(|(key, it)| Some((key, it.latest.limit?, it.share.rate)))
    }

    /// Returns the time at which a server takes the next request from this gateway, or `None` if it
    /// takes one now.
    pub fn next_send(&self, incarnation: &Incarnation, now: Moment) -> Option<Moment> {
        let limit = self.servers.get(incarnation).filter(|it| it.latest.limit.is_some())?;
        let missing = match limit.share.pace {
            SendPace::Steady => 1.0 - limit.tokens(now),
            // The next slot is as likely soon as late.
            SendPace::Slotted if !self.is_slot_open(incarnation, limit, now) => 1.0,
            SendPace::Slotted => 0.0,
        };
        let seconds = missing / limit.share.rate.per_second();
        // Without a share there is no next request.
        let delay = Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX);
        (missing > 0.0).then(|| now.after(delay))
    }

    /// Whether a limited server takes a request from this gateway in the present time slot only.
    pub fn has_open_slot(&self, incarnation: &Incarnation, now: Moment) -> bool {
        self.servers.get(incarnation).is_some_and(|it| {
            it.latest.limit.is_some()
                && it.share.pace == SendPace::Slotted
                && self.is_slot_open(incarnation, it, now)
        })
    }

    /// Whether this gateway has drawn the present time slot and sent nothing in it.
    fn is_slot_open(&self, (server, _): &Incarnation, limit: &ServerLimit, now: Moment) -> bool {
        let slot = slot(now);
        let seed = xxh3_64_with_seed(&slot.to_le_bytes(), self.slot_seed);
        let drawn = xxh3_64_with_seed(server.as_str().as_bytes(), seed) as f64 / u64::MAX as f64;
        let probability = limit.share.rate.per_second() * SLOT_TIME.as_secs_f64();
        limit.used_slot != Some(slot) && drawn < probability
    }

    /// Records that a request is sent to a server.
    pub fn record_send(&mut self, incarnation: &Incarnation, now: Moment) {
        if let Some(limit) = self.servers.get_mut(incarnation) {
            let tokens = limit.tokens(now);
            limit.set_tokens(tokens - 1.0, now);
            limit.used_slot = Some(slot(now));
        }
    }

    /// Records what an answer says, given when its request was sent.
    pub fn record_answer(
        &mut self,
        incarnation: &Incarnation,
        domain: Option<&FailureDomain>,
        (notice, asked_at): (LimitNotice, Moment),
        now: Moment,
        rng: &mut SmallRng,
    ) -> LimitUpdate {
        let limit = match notice {
            LimitNotice::Absent => None,
            LimitNotice::Named(limit) => Some(limit),
            LimitNotice::Unreadable => {
                let is_new = self.unreadable.insert(incarnation.clone());
                let change = RoutingChange::ServerLimitUnreadable(incarnation.0.clone());
                let changes = is_new.then_some(change).into_iter().collect();
                return LimitUpdate { has_news: false, changes };
            }
        };
        let observation = Observation { limit, asked_at, heard_at: now };
        let (uncertainty, source) = (Duration::ZERO, LimitSource::Answer);
        self.observe(incarnation, domain, (observation, uncertainty, source), now, rng)
    }

    /// Merges what another gateway heard.
    pub fn merge(
        &mut self,
        report: LimitReport,
        domain: Option<&FailureDomain>,
        now: Moment,
        rng: &mut SmallRng,
    ) -> LimitUpdate {
        let at = |age_ms| now.before(Duration::from_millis(age_ms));
        let observation = Observation {
            limit: report.limit,
            asked_at: at(report.asked_age_ms.max(report.heard_age_ms)),
            heard_at: at(report.heard_age_ms),
        };
        let incarnation = (report.server, report.started_ms);
        let (uncertainty, source) = (MAX_TRANSFER_TIME, LimitSource::Peer);
        self.observe(&incarnation, domain, (observation, uncertainty, source), now, rng)
    }

    /// Applies an observation whose times may be up to `uncertainty` too late.
    fn observe(
        &mut self,
        incarnation: &Incarnation,
        domain: Option<&FailureDomain>,
        (observation, uncertainty, source): (Observation, Duration, LimitSource),
        now: Moment,
        rng: &mut SmallRng,
    ) -> LimitUpdate {
        let known = self.servers.get(incarnation).map(|it| it.latest);
        let merged = match known {
            // Nothing was limited, and nothing is.
            None if observation.limit.is_none() => return LimitUpdate::default(),
            None if self.servers.len() >= MAX_SERVERS => return LimitUpdate::default(),
            None => observation,
            Some(known) => {
                let is_earlier = observation.heard_at < known.asked_at;
                let is_later = known.heard_at.after(uncertainty) < observation.asked_at;
                if is_earlier || known.is_lower_than(&observation) && !is_later {
                    return LimitUpdate::default();
                }
                Observation {
                    limit: observation.limit,
                    asked_at: known.asked_at.max(observation.asked_at),
                    heard_at: known.heard_at.max(observation.heard_at),
                }
            }
        };
        let entry = self.servers.entry(incarnation.clone()).or_insert_with(|| ServerLimit {
            latest: merged,
            domain: domain.cloned(),
            announced: None,
            announced_at: now,
            share: LimitShare::default(),
            // Gateways that hear of a limit at the same time do not use it at the same time.
            tokens: rng.random_range(0.0..1.0),
            refilled_at: now,
            used_slot: None,
        });
        entry.latest = merged;
        let is_news = is_news(entry.announced, merged.limit);
        if is_news {
            entry.announced = merged.limit;
            entry.announced_at = now;
        }
        if known.is_none_or(|it| it.limit != merged.limit) {
            self.update_share(incarnation, domain, now);
        }
        if !is_news {
            return LimitUpdate::default();
        }
        let change = RoutingChange::ServerLimited {
            server: incarnation.0.clone(),
            limit: merged.limit,
            source,
            age: now.since(merged.heard_at),
        };
        LimitUpdate { has_news: true, changes: vec![change] }
    }

    fn update_share(
        &mut self,
        incarnation: &Incarnation,
        domain: Option<&FailureDomain>,
        now: Moment,
    ) {
        let Some(entry) = self.servers.get_mut(incarnation) else { return };
        let tokens = entry.tokens(now);
        entry.set_tokens(tokens, now);
        entry.domain = domain.cloned();
        let share = entry.latest.limit.map(|it| self.senders.share(&incarnation.0, domain, it));
        entry.share = share.unwrap_or_default();
    }

    /// Replaces the gateways between which limits are shared.
    pub fn set_senders<'a>(
        &mut self,
        senders: SenderSet,
        domain_of: impl Fn(&Incarnation) -> Option<&'a FailureDomain>,
        now: Moment,
    ) {
        let is_changed = self.senders != senders;
        self.senders = senders;
        let is_stale = |(key, it): &(&Incarnation, &ServerLimit)| {
            is_changed || it.domain.as_ref() != domain_of(key)
        };
        let stale = self.servers.iter().filter(is_stale).map(|it| it.0.clone());
        for incarnation in stale.collect::<Vec<_>>() {
            self.update_share(&incarnation, domain_of(&incarnation), now);
        }
    }

    /// Returns what other gateways are told: the latest changes, and a few other limits for those
    /// that missed them.
    pub fn reports(&self, now: Moment, rng: &mut impl Rng) -> Vec<LimitReport> {
        let is_news = |it: &ServerLimit| now.since(it.announced_at) < NEWS_TTL;
        let (mut news, others): (Vec<_>, Vec<_>) =
            self.servers.iter().partition(|(_, it)| is_news(it));
        news.shuffle(rng);
        news.truncate(MAX_NEWS);
        let reminders = others.into_iter().choose_multiple(rng, MAX_REMINDERS);
        let age_ms = |at: Moment| u64::try_from(now.since(at).as_millis()).unwrap_or(u64::MAX);
        news.into_iter()
            .chain(reminders)
            .map(|((server, started_ms), it)| LimitReport {
                server: server.clone(),
                started_ms: *started_ms,
                limit: it.latest.limit,
                asked_age_ms: age_ms(it.latest.asked_at),
                heard_age_ms: age_ms(it.latest.heard_at),
            })
            .collect()
    }

    /// Forgets ended limits and servers that are no longer listed, after a while.
    pub fn prune(&mut self, is_listed: impl Fn(&Incarnation) -> bool, now: Moment) {
        self.servers.retain(|key, it| {
            let is_in_force = it.latest.limit.is_some() && is_listed(key);
            is_in_force || now.since(it.latest.heard_at) < RETENTION_TIME
        });
        self.unreadable.retain(is_listed);
    }
}

/// Returns the number of the time slot.
fn slot(now: Moment) -> u64 {
    now.0 / u64::try_from(SLOT_TIME.as_micros()).unwrap_or(u64::MAX)
}

/// Whether other gateways must be told of a limit at once, given what they were told before.
fn is_news(known: Option<RequestRate>, limit: Option<RequestRate>) -> bool {
    match (known, limit) {
        (None, None) => false,
        (None, Some(_)) | (Some(_), None) => true,
        (Some(known), Some(limit)) => {
            let (known, limit) = (known.per_second(), limit.per_second());
            (known - limit).abs() > known.max(limit) * NEWS_CHANGE
        }
    }
}
