//! Other gateways, and which of them reads the directory for its failure domain.
//!
//! Each call of the platform's store is paid for, and all gateways read the same directory. In each
//! failure domain the one with the lowest address reads it; the others ask that one, and read the
//! directory themselves as soon as it does not answer or what it has is old. Two that both take
//! themselves for the reader cost a few calls more and harm nothing.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::units::{FailureDomain, Moment};

/// How long a gateway that agents no longer hear of is remembered.
const PEER_MEMORY: Duration = Duration::from_secs(60);
/// Age of the latest word of a gateway with which it may be the reader: some reports of agents.
const READER_FRESHNESS: Duration = Duration::from_secs(4);
/// How long a reader that gave no fresh directory is not asked.
const READER_PAUSE: Duration = Duration::from_secs(5);

/// Where a gateway is.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct GatewayPlace {
    /// Where other gateways reach it.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
}

#[derive(Clone, Debug, Default)]
struct PeerRecord {
    failure_domain: Option<FailureDomain>,
    /// When it was last heard of; none for those of the settings.
    heard: Option<Moment>,
    is_configured: bool,
    paused_until: Moment,
}

/// What a gateway knows of the others.
#[derive(Clone, Debug)]
pub struct PeerTable {
    own: GatewayPlace,
    peers: BTreeMap<SocketAddr, PeerRecord>,
}

impl PeerTable {
    /// Begins with the gateways that the settings name; these are kept for good.
    pub fn new(own: GatewayPlace, configured: &[SocketAddr]) -> Self {
        let record = PeerRecord { is_configured: true, ..PeerRecord::default() };
        let others = configured.iter().filter(|it| **it != own.address);
        let peers = others.map(|it| (*it, record.clone())).collect();
        Self { own, peers }
    }

    /// The gateway itself.
    pub fn own(&self) -> &GatewayPlace {
        &self.own
    }

    /// Notes gateways that live, as agents or other gateways say.
    pub fn note(&mut self, gateways: Vec<GatewayPlace>, now: Moment) {
        for place in gateways.into_iter().filter(|it| it.address != self.own.address) {
            let record = self.peers.entry(place.address).or_default();
            record.failure_domain = Some(place.failure_domain);
            record.heard = Some(now);
        }
        let is_recent = |at: Moment| now.since(at) < PEER_MEMORY;
        self.peers.retain(|_, it| it.is_configured || it.heard.is_some_and(is_recent));
    }

    /// All other gateways.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.peers.keys().copied()
    }

    /// All gateways whose failure domain is known, this one included.
    pub fn places(&self) -> Vec<GatewayPlace> {
        let place = |(address, it): (&SocketAddr, &PeerRecord)| {
            let failure_domain = it.failure_domain.clone()?;
            Some(GatewayPlace { address: *address, failure_domain })
        };
        self.peers.iter().filter_map(place).chain([self.own.clone()]).collect()
    }

    /// The gateway that reads the directory for this one; none where it reads by itself.
    ///
    /// ```
    /// use alderbay::{routing::{GatewayPlace, PeerTable}, units::Moment};
    /// let place = |port| GatewayPlace {
    ///     address: ([10, 0, 0, 1], port).into(),
    ///     failure_domain: "a".parse().unwrap(),
    /// };
    /// let mut table = PeerTable::new(place(2), &[]);
    /// table.note(vec![place(1), place(3)], Moment(0));
    /// assert_eq!(table.reader(Moment(1)), Some(place(1).address));
    /// table.pause_reader(place(1).address, Moment(1));
    /// assert_eq!(table.reader(Moment(2)), None);
    /// ```
    pub fn reader(&self, now: Moment) -> Option<SocketAddr> {
        let is_fresh = |at: Moment| now.since(at) < READER_FRESHNESS;
        let (address, _) = self.peers.iter().find(|(_, it)| {
            it.failure_domain.as_ref() == Some(&self.own.failure_domain)
                && it.heard.is_some_and(is_fresh)
                && now >= it.paused_until
        })?;
        (*address < self.own.address).then_some(*address)
    }

    /// Notes that a reader gave no fresh directory.
    pub fn pause_reader(&mut self, address: SocketAddr, now: Moment) {
        if let Some(record) = self.peers.get_mut(&address) {
            record.paused_until = now.after(READER_PAUSE);
        }
    }
}
