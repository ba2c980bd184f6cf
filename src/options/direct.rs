//! Settings of the roles that run on the users' platform: gateways, which call backend servers
//! themselves, and rank agents.

use std::{net::SocketAddr, path::Path, time::Duration};

use serde::{Deserialize, Serialize};

use super::{HttpLimits, IdentitySettings, SettingsError, TelemetrySettings, read_json_file};
use crate::{
    routing::{AdmissionSettings, BudgetSettings},
    units::ServiceName,
};

/// All settings of one process.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DirectSettings {
    /// Who the process is.
    pub identity: IdentitySettings,
    /// What it does.
    pub role: DirectRole,
    /// UDP address for load reports and expert maps; its port is the same on all VMs.
    pub datagrams: SocketAddr,
    /// Bounds on HTTP.
    #[serde(default)]
    pub http: HttpLimits,
    /// Time from the stop signal to the end of the process, in seconds.
    pub grace_s: f64,
    /// Logs and metrics.
    #[serde(default)]
    pub telemetry: TelemetrySettings,
}

/// What the process does.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DirectRole {
    /// In front of callers.
    Gateway(Box<GatewaySettings>),
    /// Beside a rank of a group.
    RankAgent(RankAgentSettings),
}

/// Settings of a gateway.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address on which the platform's balancer asks for readiness.
    pub ready_listen: SocketAddr,
    /// Address for other gateways.
    pub peer_listen: SocketAddr,
    /// Addresses of some other gateways; they may be out of date.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The platform's store.
    pub store: SocketAddr,
    /// Time within which a server that leaves gets no new work, in milliseconds: the directory is
    /// read some times as often.
    #[serde(default = "default_leave_ms")]
    pub leave_ms: u64,
    /// Bounds on repeated attempts and cold servers.
    #[serde(default)]
    pub budget: BudgetSettings,
    /// Bounds on load.
    #[serde(default)]
    pub admission: AdmissionSettings,
}

fn default_leave_ms() -> u64 {
    2_000
}

/// Settings of a rank agent.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RankAgentSettings {
    /// The model engine beside it.
    pub engine: SocketAddr,
    /// What the engine serves.
    pub service: ServiceName,
}

impl DirectSettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// The file is unreadable, or a field is bad; the error names it.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let settings: Self = read_json_file(path)?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), SettingsError> {
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
        if !(0.0..=1.0).contains(&ratio) {
            return Err(SettingsError::OutOfBounds {
                field: "role.gateway.budget.retry_ratio",
                value: ratio.to_string().into(),
                allowed: "between 0 and 1",
            });
        }
        Ok(())
    }

    /// Time from the stop signal to the end of the process.
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }
}
