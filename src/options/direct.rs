//! Settings of the roles that run on the users' platform, without a log service or a VM list:
//! gateways, which call backend servers directly, and rank agents.

use std::{collections::BTreeSet, net::SocketAddr, path::Path, time::Duration};

use serde::{Deserialize, Serialize};

use super::{HttpLimits, IdentitySettings, SettingsError, TelemetrySettings, read_json_file};
use crate::{
    routing::{AdmissionSettings, BudgetSettings},
    units::{FailureDomain, ServiceName},
};

/// Largest number of retries that one request may earn.
const MAX_RETRY_RATIO: f64 = 10.0;

/// Settings file of a gateway or a rank agent.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DirectSettings {
    /// VM, failure domain and operators' address of the process.
    pub identity: IdentitySettings,
    /// Role of the process, with its own settings.
    pub role: DirectRole,
    /// UDP address for load reports and expert maps. The port must be the same on all VMs.
    pub datagrams: SocketAddr,
    /// Limits on HTTP connections and messages.
    #[serde(default)]
    pub http: HttpLimits,
    /// Grace period from the stop signal to the end of the process, in seconds; above zero.
    pub grace_s: f64,
    /// Settings of logs and metrics.
    #[serde(default)]
    pub telemetry: TelemetrySettings,
}

/// Role of the process, with its own settings.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DirectRole {
    /// Accepts callers' requests and calls backend servers.
    Gateway(Box<GatewaySettings>),
    /// Runs beside the engine of a rank.
    RankAgent(RankAgentSettings),
}

/// Settings of a gateway.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// TCP address on which callers connect.
    pub listen: SocketAddr,
    /// TCP address for readiness probes of the platform's load balancer.
    pub ready_listen: SocketAddr,
    /// TCP address on which other gateways connect.
    pub peer_listen: SocketAddr,
    /// Peer addresses of some other gateways, for discovery. They may be stale.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The failure domains of the deployment that may have gateways. A process that starts while it is
    /// cut off from some of them divides limits among their gateways too.
    #[serde(default)]
    pub failure_domains: BTreeSet<FailureDomain>,
    /// Address of the platform's metadata store.
    pub store: SocketAddr,
    /// Time in milliseconds within which a draining server must no longer receive new work. The
    /// gateway polls the directory several times within it.
    #[serde(default = "default_leave_ms")]
    pub leave_ms: u64,
    /// Time in milliseconds within which a new catalog or an evacuation must be in force.
    #[serde(default = "default_apply_ms")]
    pub apply_ms: u64,
    /// Limits on retries and on requests to cold servers.
    #[serde(default)]
    pub budget: BudgetSettings,
    /// Limits for admission of requests under load.
    #[serde(default)]
    pub admission: AdmissionSettings,
    /// Memory of the VM in megabytes; at least 64. Requests may hold half of it together.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: f64,
}

/// Memory of the smallest VM on which gateways run.
fn default_memory_mb() -> f64 {
    112.0
}

/// Least memory of a VM on which a gateway can run.
const MIN_MEMORY_MB: f64 = 64.0;

fn default_leave_ms() -> u64 {
    2_000
}

fn default_apply_ms() -> u64 {
    2_000
}

/// Shortest bound within which gateways can learn of a change.
const MIN_BOUND_MS: u64 = 200;

/// Settings of a rank agent.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RankAgentSettings {
    /// Address of the model engine beside the agent.
    pub engine: SocketAddr,
    /// Model that the engine serves.
    pub service: ServiceName,
}

impl DirectSettings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// The file cannot be read, or a field is invalid; the error names it.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let settings: Self = read_json_file(path)?;
        settings.validate()?;
        Ok(settings)
    }

    fn validate(&self) -> Result<(), SettingsError> {
        if !(self.grace_s.is_finite() && self.grace_s > 0.0) {
            return Err(SettingsError::OutOfBounds {
                field: "grace_s",
                value: self.grace_s.to_string().into(),
                allowed: "a number of seconds above zero",
            });
        }
        if self.http.max_connections == 0 {
            return Err(SettingsError::OutOfBounds {
                field: "http.max_connections",
                value: "0".into(),
                allowed: "above zero",
            });
        }
        let DirectRole::Gateway(gateway) = &self.role else { return Ok(()) };
        let ratio = gateway.budget.retry_ratio;
        if !(0.0..=MAX_RETRY_RATIO).contains(&ratio) {
            return Err(SettingsError::OutOfBounds {
                field: "role.gateway.budget.retry_ratio",
                value: ratio.to_string().into(),
                allowed: "between 0 and 10",
            });
        }
        if !(gateway.memory_mb.is_finite() && gateway.memory_mb >= MIN_MEMORY_MB) {
            return Err(SettingsError::OutOfBounds {
                field: "role.gateway.memory_mb",
                value: gateway.memory_mb.to_string().into(),
                allowed: "a number of megabytes of at least 64",
            });
        }
        let bounds = [
            ("role.gateway.leave_ms", gateway.leave_ms),
            ("role.gateway.apply_ms", gateway.apply_ms),
        ];
        match bounds.into_iter().find(|it| it.1 < MIN_BOUND_MS) {
            Some((field, value)) => Err(SettingsError::OutOfBounds {
                field,
                value: value.to_string().into(),
                allowed: "at least 200",
            }),
            None => Ok(()),
        }
    }

    /// Returns the grace period from the stop signal to the end of the process.
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }
}
