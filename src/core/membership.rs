//! Which processes there are: the platform's lagging VM list joined with what this process sees
//! itself.

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

/// One row of the VM list.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct VmRecord {
    /// The VM.
    pub vm: VmId,
    /// Role of the alderbay process on it.
    pub role: PeerRole,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Where the process listens for peers.
    pub address: SocketAddr,
    /// Where it answers operators.
    pub admin: SocketAddr,
    /// Models and services of a backend server, as far as the list says; an agent of which it says
    /// nothing is kept by all entries.
    #[serde(default)]
    pub services: BTreeSet<ServiceName>,
    /// Out where the platform says that the VM is leaving.
    #[serde(default)]
    pub state: ServiceState,
}

/// What this process knows of one connected peer.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct PeerFacts {
    /// What the peer said of itself.
    pub hello: PeerHello,
    /// Its latest report; none before the first.
    pub report: Option<AgentReport>,
    /// Requests of this entry at the peer.
    pub outstanding: u32,
    /// The same, when the latest report came.
    pub outstanding_at_report: u32,
}

impl PeerFacts {
    /// Requests the peer is thought to have: what it reported, corrected by what this entry did
    /// since.
    pub fn load(&self) -> u32 {
        let reported = self.report.map_or(0, |it| it.running + it.waiting);
        let estimate = i64::from(reported) + i64::from(self.outstanding)
            - i64::from(self.outstanding_at_report);
        u32::try_from(estimate.max(i64::from(self.outstanding))).unwrap_or(u32::MAX)
    }
}

/// All VMs listed and all peers connected.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct MemberTable {
    listed: BTreeMap<VmId, VmRecord>,
    peers: BTreeMap<VmId, PeerFacts>,
    /// Agents that this entry keeps by the list.
    subset: BTreeSet<VmId>,
    /// Agents that it keeps because they hold a claim that was asked for.
    pinned: BTreeSet<VmId>,
    /// Agents to which connections were asked for.
    wanted: BTreeSet<VmId>,
    /// Agents that may be given new work, by what they serve, as far as it was asked for.
    usable: HashMap<ServiceName, Vec<VmId>>,
    /// Version of the configuration that [`Self::usable`] rests on.
    usable_at: ConfigVersion,
}

impl MemberTable {
    /// Listed VMs.
    pub fn listed(&self) -> impl Iterator<Item = &VmRecord> {
        self.listed.values()
    }

    /// Connected peers.
    pub fn peers(&self) -> impl Iterator<Item = (&VmId, &PeerFacts)> {
        self.peers.iter()
    }

    /// One connected peer.
    pub fn peer(&self, vm: &VmId) -> Option<&PeerFacts> {
        self.peers.get(vm)
    }

    /// Entries that give out shares of the plans.
    pub fn entries(&self, ledger: &ConfigLedger) -> impl Iterator<Item = &VmRecord> {
        let in_service = |it: &&VmRecord| {
            it.role == PeerRole::Entry
                && it.state == ServiceState::In
                && ledger.vm_state(&it.vm, &it.failure_domain) == ServiceState::In
        };
        self.listed.values().filter(in_service)
    }

    /// Takes over a new VM list and says which agents entry `own` connects to or lets go. An empty
    /// list is taken for a fault of the platform and changes nothing.
    pub fn read_list(&mut self, own: &VmId, list: Vec<VmRecord>) -> Vec<Effect> {
        if list.is_empty() {
            return Vec::new();
        }
        self.usable.clear();
        let old = std::mem::take(&mut self.listed);
        self.listed = list.into_iter().map(|it| (it.vm.clone(), it)).collect();
        self.subset = self.subset_of(own);
        let mut effects = Vec::new();
        for vm in &self.subset {
            let Some(record) = self.listed.get(vm) else { continue };
            let has_moved = old.get(vm).is_none_or(|it| it.address != record.address);
            if has_moved || !self.wanted.contains(vm) {
                self.wanted.insert(vm.clone());
                effects.push(Effect::Connect { vm: vm.clone(), address: record.address });
            }
        }
        effects.extend(self.let_go());
        effects
    }

    /// Agents that entry `own` keeps: of each service a bounded number.
    fn subset_of(&self, own: &VmId) -> BTreeSet<VmId> {
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
            let Some(kept) = subsets.get(own) else { continue };
            subset.extend(kept.iter().map(|it| (*it).clone()));
        }
        subset
    }

    /// Connects to a listed agent outside the subset, which stays until it is off the list.
    pub fn want(&mut self, vm: &VmId) -> Option<Effect> {
        let record = self.listed.get(vm)?;
        self.pinned.insert(vm.clone());
        let is_new = self.wanted.insert(vm.clone());
        is_new.then(|| Effect::Connect { vm: vm.clone(), address: record.address })
    }

    /// Lets go of peers that are not to be kept any more, once nothing of this entry is in progress
    /// there.
    fn let_go(&mut self) -> Vec<Effect> {
        let gone: Vec<VmId> = self.wanted.iter().filter(|it| self.is_spare(it)).cloned().collect();
        for vm in &gone {
            self.wanted.remove(vm);
            self.pinned.remove(vm);
        }
        gone.into_iter().map(Effect::Disconnect).collect()
    }

    fn is_spare(&self, vm: &VmId) -> bool {
        let is_kept = self.subset.contains(vm) || self.pinned.contains(vm);
        let is_idle = self.peers.get(vm).is_none_or(|it| it.outstanding == 0);
        is_idle && !(is_kept && self.listed.contains_key(vm))
    }

    /// Adds a peer, in place of an earlier life of it.
    pub fn connect(&mut self, hello: PeerHello) {
        self.usable.clear();
        let facts = PeerFacts { report: None, outstanding: 0, outstanding_at_report: 0, hello };
        self.peers.insert(facts.hello.vm.clone(), facts);
    }

    /// Removes a peer.
    pub fn disconnect(&mut self, vm: &VmId) {
        self.usable.clear();
        self.peers.remove(vm);
    }

    /// Takes over a report.
    pub fn report(&mut self, vm: &VmId, report: AgentReport) {
        if let Some(peer) = self.peers.get_mut(vm) {
            if peer.report.map(|it| it.state) != Some(report.state) {
                self.usable.clear();
            }
            peer.report = Some(report);
            peer.outstanding_at_report = peer.outstanding;
        }
    }

    /// Counts a request sent to a peer.
    pub fn begin(&mut self, vm: &VmId) {
        if let Some(peer) = self.peers.get_mut(vm) {
            peer.outstanding += 1;
        }
    }

    /// Counts a request ended at a peer.
    pub fn end(&mut self, vm: &VmId) -> Vec<Effect> {
        if let Some(peer) = self.peers.get_mut(vm) {
            peer.outstanding = peer.outstanding.saturating_sub(1);
        }
        if self.is_spare(vm) { self.let_go() } else { Vec::new() }
    }

    /// Agents that serve `service` and may be given new work. The answer is kept until a peer comes,
    /// goes or changes its state, or the list or the configuration changes.
    pub fn servers(
        &mut self,
        service: &ServiceName,
        ledger: &ConfigLedger,
    ) -> impl Iterator<Item = (&VmId, &PeerFacts)> {
        if self.usable_at != ledger.version() {
            self.usable.clear();
            self.usable_at = ledger.version();
        }
        if !self.usable.contains_key(service) {
            let usable = self.find_servers(service, ledger);
            self.usable.insert(service.clone(), usable);
        }
        let usable = self.usable.get(service).into_iter().flatten();
        usable.filter_map(|vm| self.peers.get_key_value(vm))
    }

    fn find_servers(&self, service: &ServiceName, ledger: &ConfigLedger) -> Vec<VmId> {
        let may_serve = |vm: &VmId, peer: &PeerFacts| {
            peer.hello.services.contains(service)
                && peer.report.is_some_and(|it| it.state == ServiceState::In)
                && self.listed.get(vm).is_some_and(|it| it.state == ServiceState::In)
                && ledger.vm_state(vm, &peer.hello.failure_domain) == ServiceState::In
        };
        self.peers.iter().filter(|(vm, peer)| may_serve(vm, peer)).map(|it| it.0.clone()).collect()
    }
}
