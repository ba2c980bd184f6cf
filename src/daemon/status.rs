//! What a process tells operators of itself.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::ProcessShell;
use crate::{
    config::ServiceState,
    units::{
        ClientAccount, ConfigDigest, ConfigVersion, FailureDomain, IncarnationId, ServiceName, VmId,
    },
    wire::{AgentReport, PeerRole},
};

/// The state of one process.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ProcessStatus {
    /// Its VM.
    pub vm: VmId,
    /// Its role.
    pub role: PeerRole,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// This life of it.
    pub incarnation: IncarnationId,
    /// Version of the configuration in force.
    pub version: ConfigVersion,
    /// Digest of the configuration in force.
    pub digest: ConfigDigest,
    /// Whether it takes new work.
    pub state: ServiceState,
    /// Whether it should be sent callers.
    pub ready: bool,
    /// Whether it is stopping.
    pub stopping: bool,
    /// Callers' requests in progress; entries.
    pub requests: usize,
    /// What it can take; agents.
    pub report: AgentReport,
    /// Its fresh shares of plans, by account; an account that is missing gets an equal part.
    pub shares: BTreeMap<ClientAccount, f64>,
    /// The processes it is connected to.
    pub peers: Vec<PeerStatus>,
}

/// One connected process.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct PeerStatus {
    /// Its VM.
    pub vm: VmId,
    /// Its role.
    pub role: PeerRole,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// What it serves.
    pub services: Vec<ServiceName>,
    /// Its latest report.
    pub report: Option<AgentReport>,
    /// Requests of this process there.
    pub outstanding: u32,
}

impl ProcessStatus {
    /// The present state.
    pub fn of(shell: &ProcessShell) -> Self {
        let identity = &shell.settings.identity;
        shell.read(|state| Self {
            vm: identity.vm.clone(),
            role: shell.settings.role.role(),
            failure_domain: identity.failure_domain.clone(),
            incarnation: shell.incarnation,
            version: state.ledger().version(),
            digest: state.ledger().digest(),
            state: state.service_state(),
            ready: state.is_ready(),
            stopping: state.is_stopping(),
            requests: state.requests().len(),
            report: state.report(),
            shares: state.shares(shell.clock.now()),
            peers: state
                .members()
                .peers()
                .map(|(vm, peer)| PeerStatus {
                    vm: vm.clone(),
                    role: peer.hello.role,
                    failure_domain: peer.hello.failure_domain.clone(),
                    services: peer.hello.services.iter().cloned().collect(),
                    report: peer.report,
                    outstanding: peer.outstanding,
                })
                .collect(),
        })
    }
}
