//! Membership: the platform's VM list, which lags behind, combined with the peers that are
//! connected to this process.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
};

use serde::{Deserialize, Serialize};

use super::{Effect, FanoutSettings, PlacedVm, assign_agents};
use crate::{
    config::{ConfigLedger, ServiceState},
    units::{ConfigVersion, FailureDomain, ServiceName, VmId},
    wire::{AgentReport, PeerHello, PeerRole},
};

/// One row of the platform's VM list.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct VmRecord {
    /// Identifies the VM.
    pub vm: VmId,
    /// Role of the alderbay process on the VM.
    pub role: PeerRole,
    /// Failure domain in which the VM runs.
    pub failure_domain: FailureDomain,
    /// Address at which the process accepts peers.
    pub address: SocketAddr,
    /// Address of the process's admin interface.
    pub admin: SocketAddr,
    /// Models and services of the agent's backend server. All entries connect to an agent for which
    /// the list gives none.
    #[serde(default)]
    pub services: BTreeSet<ServiceName>,
    /// `Out` if the platform reports that the VM is leaving.
    #[serde(default)]
    pub state: ServiceState,
}

/// The state of one connected peer.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct PeerState {
    /// Identity and services that the peer sent on connecting.
    pub hello: PeerHello,
    /// Latest report of the peer; `None` before the first one.
    pub report: Option<AgentReport>,
    /// Requests of this entry that are in progress at the peer.
    pub outstanding: u32,
    /// Value of `outstanding` when the latest report arrived.
    pub outstanding_at_report: u32,
}

impl PeerState {
    /// Returns the estimated number of requests at the peer: its last report, corrected by the
    /// requests that this entry started and ended since.
    pub fn load(&self) -> u32 {
        let reported = self.report.map_or(0, |it| it.running + it.waiting);
        let estimate = i64::from(reported) + i64::from(self.outstanding)
            - i64::from(self.outstanding_at_report);
        u32::try_from(estimate.max(i64::from(self.outstanding))).unwrap_or(u32::MAX)
    }
}

/// The listed VMs, the connected peers and the agents that this entry should connect to.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct MemberTable {
    listed: BTreeMap<VmId, VmRecord>,
    peers: BTreeMap<VmId, PeerState>,
    /// Agents that this entry connects to according to the VM list.
    subset: BTreeSet<VmId>,
    /// Agents that it connects to whether or not they are in the subset, because they hold the
    /// claim on a caller's key.
    pinned: BTreeSet<VmId>,
    /// Agents for which [`Effect::Connect`] was emitted and no [`Effect::Disconnect`] since.
    #[serde(rename = "wanted")]
    desired: BTreeSet<VmId>,
    /// Cache of the agents that may get new work, by service; filled on demand.
    usable: HashMap<ServiceName, Vec<VmId>>,
    /// Configuration version for which `usable` is valid.
    #[serde(rename = "usable_at")]
    usable_version: ConfigVersion,
}

impl MemberTable {
    /// Returns all listed VMs.
    pub fn listed(&self) -> impl Iterator<Item = &VmRecord> {
        self.listed.values()
    }

    /// Returns all connected peers.
    pub fn peers(&self) -> impl Iterator<Item = (&VmId, &PeerState)> {
        self.peers.iter()
    }

    /// Returns the connected peer on `vm`, or `None` if it is not connected.
    pub fn peer(&self, vm: &VmId) -> Option<&PeerState> {
        self.peers.get(vm)
    }

    /// Returns the listed entries in service; the plans' limits are divided among them.
    pub fn active_entries(&self, ledger: &ConfigLedger) -> impl Iterator<Item = &VmRecord> {
        let is_in_service = |it: &&VmRecord| {
            it.role == PeerRole::Entry
                && it.state == ServiceState::In
                && ledger.vm_state(&it.vm, &it.failure_domain) == ServiceState::In
        };
        self.listed.values().filter(is_in_service)
    }

    /// Replaces the VM list and returns the connections that entry `own` has to open or close. An
    /// empty list is treated as a platform fault and ignored.
    pub fn apply_list(&mut self, own: &VmId, list: Vec<VmRecord>) -> Vec<Effect> {
        if list.is_empty() {
            return Vec::new();
        }
        self.usable.clear();
        let old = std::mem::take(&mut self.listed);
        self.listed = list.into_iter().map(|it| (it.vm.clone(), it)).collect();
        self.subset = self.compute_subset(own);
        let mut effects = Vec::new();
        for vm in &self.subset {
            let Some(record) = self.listed.get(vm) else { continue };
            let has_moved = old.get(vm).is_none_or(|it| it.address != record.address);
            if has_moved || !self.desired.contains(vm) {
                self.desired.insert(vm.clone());
                effects.push(Effect::Connect { vm: vm.clone(), address: record.address });
            }
        }
        effects.extend(self.disconnect_unneeded());
        effects
    }

    /// Computes the agents that entry `own` connects to: a bounded number for each service.
    fn compute_subset(&self, own: &VmId) -> BTreeSet<VmId> {
        let of_role = |role| self.listed.values().filter(move |it| it.role == role);
        let entries: Vec<PlacedVm<'_>> =
            of_role(PeerRole::Entry).map(|it| (&it.vm, &it.failure_domain)).collect();
        let mut by_service: BTreeMap<&ServiceName, Vec<PlacedVm<'_>>> = BTreeMap::new();
        let mut subset = BTreeSet::new();
        for record in of_role(PeerRole::Agent) {
            if record.services.is_empty() {
                subset.insert(record.vm.clone());
            }
            for service in &record.services {
                let agents = by_service.entry(service).or_default();
                agents.push((&record.vm, &record.failure_domain));
            }
        }
        let settings = FanoutSettings::for_services(by_service.len());
        for agents in by_service.values() {
            let subsets = assign_agents(&entries, agents, settings);
            let Some(selected) = subsets.get(own) else { continue };
            subset.extend(selected.iter().map(|it| (*it).clone()));
        }
        subset
    }

    /// Connects to a listed agent outside the subset and keeps the connection until the agent is no
    /// longer listed. Returns `None` if the agent is not listed or already desired.
    pub fn pin_agent(&mut self, vm: &VmId) -> Option<Effect> {
        let record = self.listed.get(vm)?;
        self.pinned.insert(vm.clone());
        let is_new = self.desired.insert(vm.clone());
        is_new.then(|| Effect::Connect { vm: vm.clone(), address: record.address })
    }

    /// Disconnects from agents that are no longer needed and have no request of this entry in
    /// progress.
    fn disconnect_unneeded(&mut self) -> Vec<Effect> {
        let unneeded: Vec<VmId> =
            self.desired.iter().filter(|it| self.is_unneeded(it)).cloned().collect();
        for vm in &unneeded {
            self.desired.remove(vm);
            self.pinned.remove(vm);
        }
        unneeded.into_iter().map(Effect::Disconnect).collect()
    }

    fn is_unneeded(&self, vm: &VmId) -> bool {
        let is_selected = self.subset.contains(vm) || self.pinned.contains(vm);
        let is_idle = self.peers.get(vm).is_none_or(|it| it.outstanding == 0);
        is_idle && !(is_selected && self.listed.contains_key(vm))
    }

    /// Adds a connected peer and replaces an earlier connection to the same VM.
    pub fn add_peer(&mut self, hello: PeerHello) {
        self.usable.clear();
        let peer = PeerState { report: None, outstanding: 0, outstanding_at_report: 0, hello };
        self.peers.insert(peer.hello.vm.clone(), peer);
    }

    /// Removes a peer whose connection was lost.
    pub fn remove_peer(&mut self, vm: &VmId) {
        self.usable.clear();
        self.peers.remove(vm);
    }

    /// Records the report of a connected peer.
    pub fn record_report(&mut self, vm: &VmId, report: AgentReport) {
        if let Some(peer) = self.peers.get_mut(vm) {
            if peer.report.map(|it| it.state) != Some(report.state) {
                self.usable.clear();
            }
            peer.report = Some(report);
            peer.outstanding_at_report = peer.outstanding;
        }
    }

    /// Counts a request that this entry sends to a peer.
    pub fn start_request(&mut self, vm: &VmId) {
        if let Some(peer) = self.peers.get_mut(vm) {
            peer.outstanding += 1;
        }
    }

    /// Counts a request that ended at a peer, and disconnects agents that are no longer needed.
    pub fn end_request(&mut self, vm: &VmId) -> Vec<Effect> {
        if let Some(peer) = self.peers.get_mut(vm) {
            peer.outstanding = peer.outstanding.saturating_sub(1);
        }
        if self.is_unneeded(vm) { self.disconnect_unneeded() } else { Vec::new() }
    }

    /// Returns the connected agents that serve `service` and may get new work. The result is cached
    /// until a peer connects, disconnects or changes its state, or the VM list or the configuration
    /// changes.
    pub fn servers(
        &mut self,
        service: &ServiceName,
        ledger: &ConfigLedger,
    ) -> impl Iterator<Item = (&VmId, &PeerState)> {
        if self.usable_version != ledger.version() {
            self.usable.clear();
            self.usable_version = ledger.version();
        }
        if !self.usable.contains_key(service) {
            let usable = self.find_usable(service, ledger);
            self.usable.insert(service.clone(), usable);
        }
        let usable = self.usable.get(service).into_iter().flatten();
        usable.filter_map(|vm| self.peers.get_key_value(vm))
    }

    fn find_usable(&self, service: &ServiceName, ledger: &ConfigLedger) -> Vec<VmId> {
        let can_serve = |vm: &VmId, peer: &PeerState| {
            peer.hello.services.contains(service)
                && peer.report.is_some_and(|it| it.state == ServiceState::In)
                && self.listed.get(vm).is_some_and(|it| it.state == ServiceState::In)
                && ledger.vm_state(vm, &peer.hello.failure_domain) == ServiceState::In
        };
        self.peers.iter().filter(|(vm, peer)| can_serve(vm, peer)).map(|it| it.0.clone()).collect()
    }
}
