//! The table of backend servers and their eligibility for new work: the platform's directory,
//! corrected for evacuations, outages of the store and entries that outlive their servers.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use super::RoutingChange;
use crate::units::{FailureDomain, GroupName, Moment, ServerId, ServiceName};

/// Time after an outage of the store in which an entry that expired during the outage may come
/// back. The platform promises about two seconds.
const LAPSE_GRACE: Duration = Duration::from_millis(2_300);
/// Shortest time without the store in which entries can expire. An entry expires after three heartbeat
/// intervals without one, of which one may have passed before.
const MIN_LAPSE_OUTAGE: Duration = Duration::from_millis(2_000);
/// Time after the store has come back from a copy within which each living server has written its
/// entry again, and the entries of others have expired: four heartbeats.
const REWIND_GRACE: Duration = Duration::from_millis(4_800);
/// Time for which a removed server is remembered, longer than a copy is old.
const REMOVED_TTL: Duration = Duration::from_secs(60);
/// Time for which a server is not used after another one has responded at its address. An entry expires
/// within it, except during an outage of the store.
const REPLACED_TTL: Duration = Duration::from_secs(10);
/// Longest time from a server's start until the directory shows that it is cold: its heartbeat
/// interval plus the propagation delay of the directory.
const DIRECTORY_LAG: Duration = Duration::from_millis(2_000);

/// Rank of a server in its group: a set of servers that run one model together.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct GroupMembership {
    /// Name of the group.
    pub name: GroupName,
    /// Epoch of the group: identifies one formation of its ranks.
    pub epoch: u64,
    /// Rank of the server within the group.
    pub rank: u16,
    /// Whether the group serves requests; `false` while a rank is missing.
    pub is_open: bool,
}

/// One server's entry in the directory.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServerRecord {
    /// Server id; most restarts bring a new one.
    pub id: ServerId,
    /// Service that the server runs.
    pub service: ServiceName,
    /// Address of the server, for requests and load reports.
    pub address: SocketAddr,
    /// Failure domain that the server runs in.
    pub failure_domain: FailureDomain,
    /// Number of requests that the server processes concurrently.
    pub slots: u32,
    /// Whether the server is shutting down and must get no new work.
    pub is_draining: bool,
    /// Time for which the server stays cold, as of the read.
    pub warm_up_left: Duration,
    /// Start time in Unix milliseconds; distinguishes two incarnations under the same id.
    pub started_ms: Option<u64>,
    /// Group membership; `None` for a server that belongs to no group.
    pub group: Option<GroupMembership>,
    /// Number of ranks in the group; 0 without a group or if the entry does not state it.
    pub group_size: u16,
}

/// Longest time from a refused connection until the directory shows that the server has started again:
/// the longest pause of a server that accepts no connections, and the directory's lag.
const RESTART_LAG: Duration = Duration::from_millis(5_200);

/// A listed server and the state that this gateway keeps for it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct KnownServer {
    /// The latest directory entry.
    pub record: ServerRecord,
    /// The server counts as cold until this time.
    pub cold_until: Moment,
    /// Time at which the server is removed unless its entry, which expired during an outage of the
    /// store, comes back; `None` while the directory lists it.
    pub lapses_at: Option<Moment>,
    /// Another server has responded at this address, so that the entry has outlived its server: it is
    /// not used until this time.
    pub replaced_until: Option<Moment>,
    /// Whether the directory lists a server at this address that started later.
    #[serde(default)]
    pub is_outlived: bool,
}

impl KnownServer {
    /// Returns the id and start time of the server.
    pub fn incarnation(&self) -> Incarnation {
        (self.record.id.clone(), self.record.started_ms)
    }
}

/// All servers that may exist, the evacuated domains, and the store's availability.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ServerTable {
    servers: BTreeMap<ServerId, KnownServer>,
    evacuated: BTreeSet<FailureDomain>,
    /// Time of the last directory before the current outage of the store; `None` while the store is
    /// readable.
    outage_since: Option<Moment>,
    /// End of the latest outage of the store in which entries may have expired; `None` if there was none.
    returned_at: Option<Moment>,
    /// When the store last came back from a copy; `None` if it never did.
    rewound_at: Option<Moment>,
    /// Servers that were removed lately, by id and start time, with the time of their removal.
    removed: BTreeMap<Incarnation, Moment>,
    /// Servers that said in a response that they leave, with the time.
    leaving: BTreeMap<Incarnation, Moment>,
    /// Servers that want no requests for a while, with the end of that time.
    resting: BTreeMap<Incarnation, Moment>,
}

/// Id and start time of a server; an id may be used again.
pub type Incarnation = (ServerId, Option<u64>);

impl ServerTable {
    /// Returns all servers, unusable ones included.
    pub fn servers(&self) -> impl Iterator<Item = &KnownServer> {
        self.servers.values()
    }

    /// Returns the server with this id, or `None` if the directory does not list it.
    pub fn server(&self, id: &ServerId) -> Option<&KnownServer> {
        self.servers.get(id)
    }

    /// Whether a server with this id, listed now or lately, has stated when it started.
    pub fn states_start(&self, id: &ServerId) -> bool {
        let is_listed = self.servers.get(id).is_some_and(|it| it.record.started_ms.is_some());
        is_listed || self.removed.keys().any(|(removed, start)| removed == id && start.is_some())
    }

    /// Whether no server is known.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Returns the evacuated failure domains, whose servers get no new work.
    pub fn evacuated(&self) -> &BTreeSet<FailureDomain> {
        &self.evacuated
    }

    /// Replaces the set of evacuated failure domains.
    pub fn set_evacuations(&mut self, domains: BTreeSet<FailureDomain>) -> Vec<RoutingChange> {
        let newly_evacuated =
            domains.difference(&self.evacuated).cloned().map(RoutingChange::DomainEvacuated);
        let restored =
            self.evacuated.difference(&domains).cloned().map(RoutingChange::DomainRestored);
        let changes = newly_evacuated.chain(restored).collect();
        self.evacuated = domains;
        changes
    }

    /// Records that an outage of the store has begun since the known directory was read from it, at
    /// `read_at`; repeated calls keep the first time.
    pub fn mark_store_unavailable(&mut self, read_at: Option<Moment>, now: Moment) {
        self.outage_since.get_or_insert(read_at.unwrap_or(now));
    }

    /// Records the end of an outage of the store.
    pub fn mark_store_recovered(&mut self, now: Moment) {
        let outage_since = self.outage_since.take();
        if outage_since.is_some_and(|it| now.since(it) >= MIN_LAPSE_OUTAGE) {
            self.returned_at = Some(now);
        }
    }

    /// Records that the store came back from an older copy of itself.
    ///
    /// For a while, a server that the directory does not list yet stays in use, one that was leaving
    /// stays unused although it is listed as ready, and one that had left stays removed although it
    /// is listed.
    pub fn mark_store_rewound(&mut self, now: Moment) {
        self.rewound_at = Some(now);
        self.returned_at = Some(now);
    }

    /// Whether the directory may still hold entries of the copy that are out of date.
    fn is_recovering_copy(&self, now: Moment) -> bool {
        self.rewound_at.is_some_and(|at| now.since(at) < REWIND_GRACE)
    }

    /// Replaces the table by a full directory. Entries that disappear because of an outage of the
    /// store stay for a while (see `removal_time`).
    pub fn apply_directory(&mut self, list: Vec<ServerRecord>, now: Moment) -> Vec<RoutingChange> {
        let mut changes = Vec::new();
        let mut previous = std::mem::take(&mut self.servers);
        let is_recovering_copy = self.is_recovering_copy(now);
        self.removed.retain(|_, at| now.since(*at) < REMOVED_TTL);
        for mut record in list {
            if is_recovering_copy
                && self.removed.contains_key(&(record.id.clone(), record.started_ms))
            {
                continue;
            }
            let known = previous.remove(&record.id);
            let was_draining = known.as_ref().is_some_and(|it| {
                it.record.is_draining && it.record.started_ms == record.started_ms
            });
            record.is_draining |= is_recovering_copy && was_draining;
            changes.extend(detect_change(known.as_ref(), &record));
            let server = merge_record(known, record, now);
            self.servers.insert(server.record.id.clone(), server);
        }
        for (id, server) in previous {
            match self.removal_time(&server, now) {
                Some(end) if now < end => {
                    self.servers.insert(id, KnownServer { lapses_at: Some(end), ..server });
                }
                Some(_) | None => {
                    self.removed.insert((id.clone(), server.record.started_ms), now);
                    changes.push(RoutingChange::ServerRemoved(id));
                }
            }
        }
        self.prune_notices(now);
        changes
    }

    /// Records that another server responded at this server's address. Returns a change if this is news.
    pub fn mark_replaced(
        &mut self,
        incarnation: &Incarnation,
        now: Moment,
    ) -> Option<RoutingChange> {
        let server = self.servers.get_mut(&incarnation.0)?;
        if server.record.started_ms != incarnation.1 {
            return None;
        }
        let is_news = server.replaced_until.replace(now.after(REPLACED_TTL)).is_none();
        let id = incarnation.0.clone();
        is_news.then_some(RoutingChange::ServerReplaced { server: id, pause: REPLACED_TTL })
    }

    /// Records that a server's address refuses connections. The server may start again under its id, and
    /// counts as cold until the directory shows whether it has.
    pub fn mark_ended(&mut self, incarnation: &Incarnation, now: Moment) {
        let server = self.servers.get_mut(&incarnation.0);
        if let Some(server) = server.filter(|it| it.record.started_ms == incarnation.1) {
            server.cold_until = server.cold_until.max(now.after(RESTART_LAG));
        }
    }

    /// Records that a server said that it leaves: it gets no new work, whatever the directory says.
    /// Returns whether this is news.
    pub fn mark_leaving(&mut self, incarnation: Incarnation, now: Moment) -> bool {
        self.leaving.insert(incarnation, now).is_none()
    }

    /// Whether a server is shutting down, by the directory or by its own word.
    pub fn is_leaving(&self, server: &KnownServer) -> bool {
        server.record.is_draining || self.leaving.contains_key(&server.incarnation())
    }

    /// Records that a server wants no requests until `end`; never shortens its rest.
    pub fn mark_resting(&mut self, incarnation: Incarnation, end: Moment) {
        let known = self.resting.entry(incarnation).or_insert(end);
        *known = end.max(*known);
    }

    /// Returns the end of a server's rest, or `None` if it takes requests.
    pub fn rest_end(&self, server: &KnownServer, now: Moment) -> Option<Moment> {
        self.resting.get(&server.incarnation()).copied().filter(|it| now < *it)
    }

    /// Forgets what servers that are no longer listed have said, and ended rests.
    fn prune_notices(&mut self, now: Moment) {
        let servers = &self.servers;
        let is_listed = |(id, started_ms): &Incarnation| {
            servers.get(id).is_some_and(|it| it.record.started_ms == *started_ms)
        };
        self.leaving.retain(|it, at| is_listed(it) || now.since(*at) < REMOVED_TTL);
        self.resting.retain(|_, end| now < *end);
    }

    /// Marks all but the latest started of the servers listed at the same address as outlived. Entries
    /// of services that are not named don't count: another writer may have left them.
    pub fn mark_address_conflicts(&mut self, is_named: impl Fn(&ServiceName) -> bool) {
        let mut newest: BTreeMap<SocketAddr, u64> = BTreeMap::new();
        for server in self.servers.values().filter(|it| is_named(&it.record.service)) {
            let started = server.record.started_ms.unwrap_or(0);
            let latest = newest.entry(server.record.address).or_default();
            *latest = started.max(*latest);
        }
        for server in self.servers.values_mut() {
            let started = server.record.started_ms.unwrap_or(0);
            server.is_outlived = newest.get(&server.record.address).is_some_and(|it| started < *it);
        }
    }

    /// Removes servers whose expired entries did not come back in time, and uses those again at whose
    /// addresses others responded a while ago.
    pub fn expire(&mut self, now: Moment) -> Vec<RoutingChange> {
        let expired: Vec<ServerId> = self
            .servers
            .values()
            .filter(|it| it.lapses_at.is_some_and(|end| end <= now))
            .map(|it| it.record.id.clone())
            .collect();
        for id in &expired {
            if let Some(server) = self.servers.remove(id) {
                self.removed.insert((id.clone(), server.record.started_ms), now);
            }
        }
        let mut changes: Vec<RoutingChange> =
            expired.into_iter().map(RoutingChange::ServerRemoved).collect();
        for server in self.servers.values_mut() {
            if server.replaced_until.is_some_and(|end| end <= now) {
                server.replaced_until = None;
                changes.push(RoutingChange::ServerTriedAgain(server.record.id.clone()));
            }
        }
        changes
    }

    /// Returns the time at which a server that the directory no longer lists is removed, or `None`
    /// for at once. A draining server is removed at once, even during an outage of the store.
    fn removal_time(&self, server: &KnownServer, now: Moment) -> Option<Moment> {
        if server.record.is_draining {
            return None;
        }
        if let Some(end) = server.lapses_at {
            return Some(end);
        }
        if self.outage_since.is_some_and(|it| now.since(it) >= MIN_LAPSE_OUTAGE) {
            return Some(now.after(LAPSE_GRACE));
        }
        self.returned_at.map(|it| it.after(LAPSE_GRACE))
    }

    /// Returns the servers of a service that may get new work: those not draining, leaving, replaced
    /// or evacuated. Some of them may rest.
    pub fn usable<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a KnownServer> + 'a {
        self.servers.values().filter(move |it| {
            let record = &it.record;
            record.service == *service
                && !self.is_leaving(it)
                && it.replaced_until.is_none()
                && !it.is_outlived
                && !self.evacuated.contains(&record.failure_domain)
        })
    }
}

fn detect_change(known: Option<&KnownServer>, record: &ServerRecord) -> Option<RoutingChange> {
    let id = record.id.clone();
    let Some(known) = known else { return Some(RoutingChange::ServerListed(id)) };
    if record.is_draining && !known.record.is_draining {
        return Some(RoutingChange::ServerDraining(id));
    }
    let (previous, new) = (known.record.group.as_ref(), record.group.as_ref());
    if previous.map(|it| it.is_open) != new.map(|it| it.is_open) {
        let is_open = new.is_some_and(|it| it.is_open);
        return Some(RoutingChange::GroupChanged { server: id, is_open });
    }
    None
}

fn merge_record(known: Option<KnownServer>, record: ServerRecord, now: Moment) -> KnownServer {
    let is_same_incarnation = known
        .as_ref()
        .is_some_and(|it| it.record.started_ms == record.started_ms && it.record.id == record.id);
    let warm_up_end = now.after(record.warm_up_left);
    let replaced_until =
        known.as_ref().filter(|_| is_same_incarnation).and_then(|it| it.replaced_until);
    let cold_until = match known {
        // Reading an unchanged entry again must not restart the warm-up.
        Some(known) if is_same_incarnation && known.record == record => known.cold_until,
        Some(known) if is_same_incarnation => {
            if record.warm_up_left.is_zero() {
                known.cold_until.min(warm_up_end)
            } else {
                warm_up_end
            }
        }
        Some(_) | None => warm_up_end.max(now.after(DIRECTORY_LAG)),
    };
    KnownServer { record, cold_until, lapses_at: None, replaced_until, is_outlived: false }
}
