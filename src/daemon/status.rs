//! Status of a process, as shown to operators.

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

/// Status of one process.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ProcessStatus {
    /// VM of the process.
    pub vm: VmId,
    /// Role of the process.
    pub role: PeerRole,
    /// Failure domain of the VM.
    pub failure_domain: FailureDomain,
    /// Random number that identifies this start of the process.
    pub incarnation: IncarnationId,
    /// Version of the configuration in force.
    pub version: ConfigVersion,
    /// Digest of the configuration in force.
    pub digest: ConfigDigest,
    /// Whether the process takes new work, by the configuration and unless it is draining.
    pub state: ServiceState,
    /// Whether the balancer should send callers here.
    pub ready: bool,
    /// Whether the process is draining after a stop signal.
    pub stopping: bool,
    /// Number of callers' requests in progress; 0 for agents.
    pub requests: usize,
    /// Capacity and load; meaningful for agents only.
    pub report: AgentReport,
    /// Unexpired shares of plan limits that homes granted this entry, as fractions by account. An
    /// account without one gets an equal share.
    pub shares: BTreeMap<ClientAccount, f64>,
    /// Processes to which this one is connected.
    pub peers: Vec<PeerStatus>,
}

/// A connected process, as the process that reports it sees it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct PeerStatus {
    /// VM of the peer.
    pub vm: VmId,
    /// Role of the peer.
    pub role: PeerRole,
    /// Failure domain of the peer.
    pub failure_domain: FailureDomain,
    /// Models and services that the peer's backend server serves; empty for entries.
    pub services: Vec<ServiceName>,
    /// Latest report of an agent; `None` before the first.
    pub report: Option<AgentReport>,
    /// Number of requests that this process has outstanding at the peer.
    pub outstanding: u32,
}

impl ProcessStatus {
    /// Returns the current status of the process.
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
