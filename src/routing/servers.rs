//! Which backend servers there are and may be given work: the platform's directory, corrected by
//! evacuations and by what outages of the store do to it.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use super::BeliefChange;
use crate::units::{FailureDomain, GroupName, Moment, ServerId, ServiceName};

/// Time after the store's return in which an entry that lapsed meanwhile may still come back: the
/// platform promises about two seconds.
const LAPSE_GRACE: Duration = Duration::from_millis(2_300);
/// How long a server may have been cold before the directory says so: its heartbeat and the
/// directory's lag.
const UNSEEN_COLD: Duration = Duration::from_millis(2_000);

/// Place of a server among the ranks of its group.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct GroupPlace {
    /// The group.
    pub name: GroupName,
    /// Which forming of the group it is.
    pub epoch: u64,
    /// The rank.
    pub rank: u16,
    /// Whether the group works; false while a rank is missing.
    pub is_open: bool,
}

/// What the directory says of one server.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServerRecord {
    /// Its id, new with most starts.
    pub id: ServerId,
    /// What it serves.
    pub service: ServiceName,
    /// Where.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it is about to leave.
    pub is_draining: bool,
    /// How long it stays cold.
    pub warm_up_left: Duration,
    /// Unix milliseconds of its start: tells two lives under one id apart.
    pub started_ms: Option<u64>,
    /// Its rank, where it is one.
    pub group: Option<GroupPlace>,
    /// Ranks of its group; zero where it has none or does not say.
    pub group_size: u16,
}

/// One server and what this process holds of it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct KnownServer {
    /// The directory's entry.
    pub record: ServerRecord,
    /// Cold until then.
    pub cold_until: Moment,
    /// Set where its entry lapsed during an outage of the store: gone for good then.
    pub lapses_at: Option<Moment>,
    /// Whether another server was found at its address: the entry outlived its server.
    pub is_replaced: bool,
}

/// All servers.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ServerTable {
    servers: BTreeMap<ServerId, KnownServer>,
    evacuated: BTreeSet<FailureDomain>,
    /// Set while the store cannot be read.
    outage_since: Option<Moment>,
    /// When it could be read again.
    returned_at: Option<Moment>,
}

impl ServerTable {
    /// All servers.
    pub fn servers(&self) -> impl Iterator<Item = &KnownServer> {
        self.servers.values()
    }

    /// One server.
    pub fn server(&self, id: &ServerId) -> Option<&KnownServer> {
        self.servers.get(id)
    }

    /// Whether none is known.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Failure domains whose servers get nothing.
    pub fn evacuated(&self) -> &BTreeSet<FailureDomain> {
        &self.evacuated
    }

    /// Takes over the evacuations.
    pub fn evacuate(&mut self, domains: BTreeSet<FailureDomain>) -> Vec<BeliefChange> {
        let left = domains.difference(&self.evacuated).cloned().map(BeliefChange::DomainLeft);
        let back = self.evacuated.difference(&domains).cloned().map(BeliefChange::DomainReturned);
        let changes = left.chain(back).collect();
        self.evacuated = domains;
        changes
    }

    /// The store cannot be read.
    pub fn store_lost(&mut self, now: Moment) {
        self.outage_since.get_or_insert(now);
    }

    /// The store can be read.
    pub fn store_regained(&mut self, now: Moment) {
        if self.outage_since.take().is_some() {
            self.returned_at = Some(now);
        }
    }

    /// Takes over the whole directory.
    pub fn read_directory(&mut self, list: Vec<ServerRecord>, now: Moment) -> Vec<BeliefChange> {
        let mut changes = Vec::new();
        let mut old = std::mem::take(&mut self.servers);
        for record in list {
            let known = old.remove(&record.id);
            changes.extend(change_of(known.as_ref(), &record));
            let server = renew(known, record, now);
            self.servers.insert(server.record.id.clone(), server);
        }
        for (id, server) in old {
            match self.lapse_of(&server, now) {
                Some(end) if now < end => {
                    self.servers.insert(id, KnownServer { lapses_at: Some(end), ..server });
                }
                Some(_) | None => changes.push(BeliefChange::ServerGone(id)),
            }
        }
        self.mark_replaced();
        changes
    }

    /// Notes that another server was found at a server's address.
    pub fn note_replaced(&mut self, id: &ServerId) {
        if let Some(server) = self.servers.get_mut(id) {
            server.is_replaced = true;
        }
    }

    /// Of entries that name one address, only the server started last can be there.
    fn mark_replaced(&mut self) {
        let mut newest: BTreeMap<SocketAddr, u64> = BTreeMap::new();
        for server in self.servers.values() {
            let started = server.record.started_ms.unwrap_or(0);
            let latest = newest.entry(server.record.address).or_default();
            *latest = started.max(*latest);
        }
        for server in self.servers.values_mut() {
            let started = server.record.started_ms.unwrap_or(0);
            server.is_replaced |=
                newest.get(&server.record.address).is_some_and(|it| started < *it);
        }
    }

    /// Drops servers whose lapsed entries did not come back in time.
    pub fn expire(&mut self, now: Moment) -> Vec<BeliefChange> {
        let due: Vec<ServerId> = self
            .servers
            .values()
            .filter(|it| it.lapses_at.is_some_and(|end| end <= now))
            .map(|it| it.record.id.clone())
            .collect();
        for id in &due {
            self.servers.remove(id);
        }
        due.into_iter().map(BeliefChange::ServerGone).collect()
    }

    /// When a missing entry counts as gone; none where it does at once. A server that had said it
    /// was leaving is gone in any case.
    fn lapse_of(&self, server: &KnownServer, now: Moment) -> Option<Moment> {
        if server.record.is_draining {
            return None;
        }
        if let Some(end) = server.lapses_at {
            return Some(end);
        }
        if self.outage_since.is_some() {
            return Some(now.after(LAPSE_GRACE));
        }
        self.returned_at.map(|it| it.after(LAPSE_GRACE))
    }

    /// Servers of a service that may be given new work.
    pub fn usable<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a KnownServer> + 'a {
        self.servers.values().filter(move |it| {
            let record = &it.record;
            record.service == *service
                && !record.is_draining
                && !it.is_replaced
                && !self.evacuated.contains(&record.failure_domain)
        })
    }
}

fn change_of(known: Option<&KnownServer>, record: &ServerRecord) -> Option<BeliefChange> {
    let id = record.id.clone();
    let Some(known) = known else { return Some(BeliefChange::ServerAppeared(id)) };
    if record.is_draining && !known.record.is_draining {
        return Some(BeliefChange::ServerDraining(id));
    }
    let (old, new) = (known.record.group.as_ref(), record.group.as_ref());
    if old.map(|it| it.is_open) != new.map(|it| it.is_open) {
        let is_open = new.is_some_and(|it| it.is_open);
        return Some(BeliefChange::GroupState { server: id, is_open });
    }
    None
}

fn renew(known: Option<KnownServer>, record: ServerRecord, now: Moment) -> KnownServer {
    let is_same_life = known
        .as_ref()
        .is_some_and(|it| it.record.started_ms == record.started_ms && it.record.id == record.id);
    let stated = now.after(record.warm_up_left);
    let is_replaced = is_same_life && known.as_ref().is_some_and(|it| it.is_replaced);
    let cold_until = match known {
        // The same entry read again must not start its warm-up anew.
        Some(known) if is_same_life && known.record == record => known.cold_until,
        Some(known) if is_same_life => {
            if record.warm_up_left.is_zero() {
                known.cold_until.min(stated)
            } else {
                stated
            }
        }
        Some(_) | None => stated.max(now.after(UNSEEN_COLD)),
    };
    KnownServer { record, cold_until, lapses_at: None, is_replaced }
}
