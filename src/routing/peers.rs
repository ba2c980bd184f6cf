//! The other gateways, and the choice of the reader: the gateway that reads the directory for its
//! failure domain.
//!
//! Each call of the platform's store costs money, and all gateways read the same directory. In each
//! failure domain the gateway with the lowest address reads it; the others poll that reader, and
//! read the directory themselves as soon as it does not respond or its copy is stale. Two gateways
//! that both act as reader cost a few more calls and do no harm.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use super::read_time;
use crate::units::{FailureDomain, Moment};

/// Time after which a gateway that is no longer reported is dropped.
const PEER_TTL: Duration = Duration::from_secs(60);
/// Maximum age of the latest report about a gateway for it to be the reader: several report
/// intervals.
const READER_MAX_AGE: Duration = Duration::from_secs(4);
/// Age of the latest report about a gateway from which it no longer counts.
const COUNT_MAX_AGE: Duration = Duration::from_secs(10);
/// Time for which a reader that returned no fresh directory is not polled.
const READER_COOLDOWN: Duration = Duration::from_secs(5);

/// Address and failure domain of a gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct GatewayLocation {
    /// Address at which other gateways reach it.
    pub address: SocketAddr,
    /// Failure domain that the gateway runs in.
    pub failure_domain: FailureDomain,
}

/// A gateway and the time since it was last reported, in the form in which gateways send it to each other.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct GatewaySighting {
    /// The gateway.
    #[serde(flatten)]
    pub location: GatewayLocation,
    /// Milliseconds since the latest report about it; `None` if there was none. Gateways of earlier
    /// releases do not send it.
    #[serde(default)]
    pub age_ms: Option<u64>,
}

#[derive(Clone, Debug, Default)]
struct PeerRecord {
    failure_domain: Option<FailureDomain>,
    /// Time of the latest report about this gateway; `None` if only the settings name it.
    last_seen: Option<Moment>,
    /// Whether the settings name it, so that it is never dropped.
    is_configured: bool,
    /// The gateway is not polled as the reader before this time.
    paused_until: Moment,
}

/// The other gateways that agents, other gateways or the settings name.
#[derive(Clone, Debug)]
pub struct PeerTable {
    own: GatewayLocation,
    peers: BTreeMap<SocketAddr, PeerRecord>,
}

impl PeerTable {
    /// Creates a table of the gateways that the settings name; these are never dropped.
    pub fn new(own: GatewayLocation, configured: &[SocketAddr]) -> Self {
        let record = PeerRecord { is_configured: true, ..PeerRecord::default() };
        let others = configured.iter().filter(|it| **it != own.address);
        let peers = others.map(|it| (*it, record.clone())).collect();
        Self { own, peers }
    }

    /// Returns the location of this gateway itself.
    pub fn own(&self) -> &GatewayLocation {
        &self.own
    }

    /// Records gateways that agents report or that speak for themselves, and drops those not seen for a
    /// while.
    pub fn record_seen(&mut self, gateways: Vec<GatewayLocation>, now: Moment) {
        for location in gateways {
            self.record(location, Some(now));
        }
        self.drop_unseen(now);
    }

    /// Records gateways that another gateway, asked at `asked_at`, has seen. That it passes them on does
    /// not mean that they still run: their ages go on. A sighting of unknown age adds no gateway, and only
    /// tells the failure domain of a known one.
    pub fn record_sightings(
        &mut self,
        sightings: Vec<GatewaySighting>,
        asked_at: Moment,
        now: Moment,
    ) {
        for GatewaySighting { location, age_ms } in sightings {
            let seen_at = age_ms.and_then(|it| read_time(asked_at, it));
            let is_known = self.peers.contains_key(&location.address);
            if is_known || seen_at.is_some() {
                self.record(location, seen_at);
            }
        }
        self.drop_unseen(now);
    }

    fn record(&mut self, location: GatewayLocation, seen_at: Option<Moment>) {
        if location.address == self.own.address {
            return;
        }
        let record = self.peers.entry(location.address).or_default();
        record.failure_domain = Some(location.failure_domain);
        record.last_seen = record.last_seen.max(seen_at);
    }

    fn drop_unseen(&mut self, now: Moment) {
        let is_alive = |at: Moment| now.since(at) < PEER_TTL;
        self.peers.retain(|_, it| it.is_configured || it.last_seen.is_some_and(is_alive));
    }

    /// Returns the addresses of all other gateways.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.peers.keys().copied()
    }

    /// Returns the number of gateways that were reported recently, this one included.
    ///
    /// No agent knows all gateways, but the agents that report to this one know nearly all of them
    /// together.
    pub fn count(&self, now: Moment) -> u32 {
        let is_recent = |at: Moment| now.since(at) < COUNT_MAX_AGE;
        let others = self.peers.values().filter(|it| it.last_seen.is_some_and(is_recent)).count();
        u32::try_from(others).unwrap_or(u32::MAX).saturating_add(1)
    }

    /// Returns all gateways whose failure domain is known, this one included, with the times since they
    /// were seen.
    pub fn sightings(&self, now: Moment) -> Vec<GatewaySighting> {
        let age_ms = |at: Moment| {
            u64::try_from(now.since(at).as_micros().div_ceil(1_000)).unwrap_or(u64::MAX)
        };
        let sighting = |(address, it): (&SocketAddr, &PeerRecord)| {
            let failure_domain = it.failure_domain.clone()?;
            let location = GatewayLocation { address: *address, failure_domain };
            Some(GatewaySighting { location, age_ms: it.last_seen.map(age_ms) })
        };
        let own = GatewaySighting { location: self.own.clone(), age_ms: Some(0) };
        self.peers.iter().filter_map(sighting).chain([own]).collect()
    }

    /// Returns the gateways that were reported recently, this one included.
    pub fn recent(&self, now: Moment) -> Vec<GatewayLocation> {
        let is_recent = |at: Moment| now.since(at) < COUNT_MAX_AGE;
        let location = |(address, it): (&SocketAddr, &PeerRecord)| {
            let failure_domain = it.failure_domain.clone()?;
            let is_seen = it.last_seen.is_some_and(is_recent);
            is_seen.then_some(GatewayLocation { address: *address, failure_domain })
        };
        self.peers.iter().filter_map(location).chain([self.own.clone()]).collect()
    }

    /// Returns the gateway that reads the directory for this one, or `None` if this one reads it
    /// itself.
    ///
    /// ```
    /// use alderbay::{routing::{GatewayLocation, PeerTable}, units::Moment};
    /// let location = |port| GatewayLocation {
    ///     address: ([10, 0, 0, 1], port).into(),
    ///     failure_domain: "a".parse().unwrap(),
    /// };
    /// let mut table = PeerTable::new(location(2), &[]);
    /// table.record_seen(vec![location(1), location(3)], Moment(0));
    /// assert_eq!(table.reader(Moment(1)), Some(location(1).address));
    /// table.pause_reader(location(1).address, Moment(1));
    /// assert_eq!(table.reader(Moment(2)), None);
    /// ```
    pub fn reader(&self, now: Moment) -> Option<SocketAddr> {
        let is_fresh = |at: Moment| now.since(at) < READER_MAX_AGE;
        let (address, _) = self.peers.iter().find(|(_, it)| {
            it.failure_domain.as_ref() == Some(&self.own.failure_domain)
                && it.last_seen.is_some_and(is_fresh)
                && now >= it.paused_until
        })?;
        (*address < self.own.address).then_some(*address)
    }

    /// Stops polling a reader for a while after it returned no fresh directory.
    pub fn pause_reader(&mut self, address: SocketAddr, now: Moment) {
        if let Some(record) = self.peers.get_mut(&address) {
            record.paused_until = now.after(READER_COOLDOWN);
        }
    }
}
