//! Settings file of entries and agents.

use std::{
    collections::BTreeSet,
    fmt,
    net::SocketAddr,
    path::{Path, PathBuf},
    str::FromStr,
    time::Duration,
};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use thiserror::Error;

use super::{JsonFileError, read_json_file};
use crate::{
    core::{AttemptSettings, QueueSettings, RampSettings},
    units::{ByteCount, FailureDomain, ServiceName, VmId},
    wire::PeerRole,
};

/// Why settings are rejected.
#[derive(Debug)]
#[derive(Error)]
pub enum SettingsError {
    /// The file cannot be read or decoded.
    #[error(transparent)]
    File(#[from] JsonFileError),
    /// A value is not among the allowed ones.
    #[error("at {field}: {value} is not {allowed}")]
    OutOfBounds {
        /// Path of the field within the document.
        field: &'static str,
        /// The rejected value.
        value: SmolStr,
        /// Description of the allowed values.
        allowed: &'static str,
    },
}

/// Settings file of an entry or an agent.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// VM, failure domain and operators' address of the process.
    pub identity: IdentitySettings,
    /// Role of the process, with its own settings.
    pub role: RoleSettings,
    /// QUIC connections to other processes.
    pub peers: PeerSettings,
    /// Addresses of the platform's services.
    pub platform: PlatformSettings,
    /// Limits on HTTP connections and messages.
    #[serde(default)]
    pub http: HttpLimits,
    /// Settings of the graceful stop.
    #[serde(default)]
    pub stop: StopSettings,
    /// Settings of logs and metrics.
    #[serde(default)]
    pub telemetry: TelemetrySettings,
}

/// VM, failure domain and operators' address of a process.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IdentitySettings {
    /// VM on which the process runs.
    pub vm: VmId,
    /// Failure domain of the VM.
    pub failure_domain: FailureDomain,
    /// TCP address of `/health`, `/ready` and `/status` for operators.
    pub admin_listen: SocketAddr,
}

/// Role of the process, with its own settings.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RoleSettings {
    /// Accepts callers' requests and forwards them to agents.
    Entry(EntrySettings),
    /// Runs beside a backend server and passes requests on to it.
    Agent(AgentSettings),
}

impl RoleSettings {
    /// Returns the role that the settings belong to.
    pub fn role(&self) -> PeerRole {
        match self {
            Self::Entry(_) => PeerRole::Entry,
            Self::Agent(_) => PeerRole::Agent,
        }
    }
}

/// Settings of an entry.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// TCP address on which callers connect.
    pub listen: SocketAddr,
    /// Limits on the attempts for one request.
    #[serde(default)]
    pub attempts: AttemptSettings,
    /// Time until the deadline of requests without a deadline header, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub default_deadline_ms: u64,
    /// Longest time until a deadline, in milliseconds.
    #[serde(default = "max_deadline_ms")]
    pub max_deadline_ms: u64,
}

fn default_deadline_ms() -> u64 {
    120_000
}

fn max_deadline_ms() -> u64 {
    900_000
}

/// Settings of an agent.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// HTTP address of the backend server.
    pub backend: SocketAddr,
    /// Models and services of the backend server; at least one.
    pub services: BTreeSet<ServiceName>,
    /// Whether the backend server can resume a stream that was interrupted on another server.
    #[serde(default)]
    pub resumes_streams: bool,
    /// Concurrency limits of the backend server and its warm-up.
    #[serde(default)]
    pub capacity: RampSettings,
    /// Limits of the agent's queue.
    #[serde(default)]
    pub queue: QueueSettings,
}

/// Address and certificates for QUIC connections to other processes.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// UDP address. Agents accept connections on it; entries open connections from it.
    pub listen: SocketAddr,
    /// PEM file with the certificate of the fleet's certificate authority.
    pub authority: PathBuf,
    /// PEM file with the certificate chain of the process.
    pub certificate: PathBuf,
    /// PEM file with the private key of the certificate.
    pub private_key: PathBuf,
}

/// Addresses of the platform's services.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address of the log service.
    pub log_service: SocketAddr,
    /// Address of the VM list.
    pub vm_list: SocketAddr,
}

/// Limits on HTTP connections and messages.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct HttpLimits {
    /// Limit on concurrent connections of a listener; further ones wait to be accepted.
    pub max_connections: u32,
    /// Limit on the size of a request's path and headers; at least 8192.
    pub max_head_bytes: ByteCount,
    /// Limit on the number of headers of a request.
    pub max_headers: u32,
    /// Limit on the size of a request's body.
    pub max_body_bytes: ByteCount,
    /// Limit on the size of a response that is buffered before it is relayed.
    pub max_answer_bytes: ByteCount,
    /// Timeout for the arrival of a request's head, in milliseconds.
    pub head_timeout_ms: u64,
    /// Timeout for the arrival of a request's body, in milliseconds.
    pub body_timeout_ms: u64,
    /// Timeout after which a stream is cut off if the caller reads nothing, in milliseconds.
    pub stall_timeout_ms: u64,
}

impl Default for HttpLimits {
    fn default() -> Self {
        Self {
            max_connections: 4_096,
            max_head_bytes: ByteCount(32 << 10),
            max_headers: 64,
            max_body_bytes: ByteCount(4 << 20),
            max_answer_bytes: ByteCount(8 << 20),
            head_timeout_ms: 10_000,
            body_timeout_ms: 30_000,
            stall_timeout_ms: 60_000,
        }
    }
}

/// Settings of the graceful stop.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StopSettings {
    /// Grace period for requests in progress after the stop signal, in milliseconds.
    pub grace_ms: u64,
}

impl StopSettings {
    /// Returns the grace period for requests in progress after the stop signal.
    pub fn grace(self) -> Duration {
        Duration::from_millis(self.grace_ms)
    }
}

impl Default for StopSettings {
    fn default() -> Self {
        Self { grace_ms: 900_000 }
    }
}

/// Settings of logs and metrics.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TelemetrySettings {
    /// Least severe level that is logged.
    pub log_level: LogLevel,
    /// UDP address of a statsd server; `None` sends no metrics.
    pub statsd: Option<SocketAddr>,
}

/// Least severe level of log lines that are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Errors only.
    Error,
    /// Errors and warnings.
    Warn,
    /// Also normal events.
    #[default]
    Info,
    /// Also details for debugging.
    Debug,
    /// Everything, including log lines of libraries.
    Trace,
}

impl fmt::Display for LogLevel {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Error => "error",
            Self::Warn => "warn",
            Self::Info => "info",
            Self::Debug => "debug",
            Self::Trace => "trace",
        })
    }
}

impl FromStr for LogLevel {
    type Err = SettingsError;

    fn from_str(text: &str) -> Result<Self, SettingsError> {
        match text {
            "error" => Ok(Self::Error),
            "warn" => Ok(Self::Warn),
            "info" => Ok(Self::Info),
            "debug" => Ok(Self::Debug),
            "trace" => Ok(Self::Trace),
            _ => Err(SettingsError::OutOfBounds {
                field: "log_level",
                value: text.into(),
                allowed: "error, warn, info, debug or trace",
            }),
        }
    }
}

impl Settings {
    /// Reads and validates a settings file. Relative paths in it are resolved against the file's
    /// folder.
    ///
    /// # Errors
    ///
    /// The same as for [`super::load_settings`].
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let mut settings: Self = read_json_file(path)?;
        let folder = path.parent().unwrap_or(Path::new(""));
        for path in settings.peers.paths_mut() {
            *path = folder.join(&*path);
        }
        settings.validate()?;
        Ok(settings)
    }

    /// Checks the bounds that the types do not enforce.
    ///
    /// # Errors
    ///
    /// The first value that is out of bounds.
    pub fn validate(&self) -> Result<(), SettingsError> {
        check_positive("http.max_connections", u64::from(self.http.max_connections))?;
        check_positive("http.max_headers", u64::from(self.http.max_headers))?;
        check_positive("http.max_body_bytes", self.http.max_body_bytes.0)?;
        check_positive("http.max_answer_bytes", self.http.max_answer_bytes.0)?;
        check_positive("http.head_timeout_ms", self.http.head_timeout_ms)?;
        check_positive("http.body_timeout_ms", self.http.body_timeout_ms)?;
        check_positive("http.stall_timeout_ms", self.http.stall_timeout_ms)?;
        if self.http.max_head_bytes.0 < MIN_HEAD_BYTES {
            return Err(SettingsError::OutOfBounds {
                field: "http.max_head_bytes",
                value: self.http.max_head_bytes.to_string().into(),
                allowed: "at least 8192",
            });
        }
        match &self.role {
            RoleSettings::Entry(entry) => {
                check_positive("role.entry.default_deadline_ms", entry.default_deadline_ms)?;
                check_positive("role.entry.max_deadline_ms", entry.max_deadline_ms)?;
                check_positive(
                    "role.entry.attempts.max_attempts",
                    u64::from(entry.attempts.max_attempts),
                )
            }
            RoleSettings::Agent(agent) => {
                check_positive("role.agent.services (count)", agent.services.len() as u64)?;
                check_positive(
                    "role.agent.capacity.cold_concurrency",
                    u64::from(agent.capacity.cold_concurrency.0),
                )?;
                check_positive(
                    "role.agent.capacity.warm_concurrency",
                    u64::from(agent.capacity.warm_concurrency.0),
                )
            }
        }
    }
}

/// Smallest read buffer that the HTTP library accepts.
const MIN_HEAD_BYTES: u64 = 8_192;

fn check_positive(field: &'static str, value: u64) -> Result<(), SettingsError> {
    if value > 0 {
        return Ok(());
    }
    Err(SettingsError::OutOfBounds { field, value: "0".into(), allowed: "above zero" })
}

impl PeerSettings {
    fn paths_mut(&mut self) -> [&mut PathBuf; 3] {
        [&mut self.authority, &mut self.certificate, &mut self.private_key]
    }
}
