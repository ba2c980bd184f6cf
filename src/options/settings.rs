//! The settings file.

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

/// Why the settings are refused.
#[derive(Debug)]
#[derive(Error)]
pub enum SettingsError {
    /// The file is refused.
    #[error(transparent)]
    File(#[from] JsonFileError),
    /// A value is outside its bounds.
    #[error("at {field}: {value} is not {allowed}")]
    OutOfBounds {
        /// Path of the field.
        field: &'static str,
        /// Its value.
        value: SmolStr,
        /// What it may be.
        allowed: &'static str,
    },
}

/// All settings of one process.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Who the process is.
    pub identity: IdentitySettings,
    /// What it does.
    pub role: RoleSettings,
    /// How it talks to other processes.
    pub peers: PeerSettings,
    /// Where the platform is.
    pub platform: PlatformSettings,
    /// Bounds on HTTP.
    #[serde(default)]
    pub http: HttpLimits,
    /// How it stops.
    #[serde(default)]
    pub stop: StopSettings,
    /// Logs and metrics.
    #[serde(default)]
    pub telemetry: TelemetrySettings,
}

/// Who the process is.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IdentitySettings {
    /// Its VM.
    pub vm: VmId,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Address of `/health`, `/ready` and `/status` for operators.
    pub admin_listen: SocketAddr,
}

/// What the process does.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RoleSettings {
    /// In front of callers.
    Entry(EntrySettings),
    /// Beside a backend server.
    Agent(AgentSettings),
}

impl RoleSettings {
    /// The role by name.
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
    /// Address for callers.
    pub listen: SocketAddr,
    /// Bounds on attempts.
    #[serde(default)]
    pub attempts: AttemptSettings,
    /// Deadline of requests that state none, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub default_deadline_ms: u64,
    /// Longest deadline, in milliseconds.
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
    /// Address of the backend server.
    pub backend: SocketAddr,
    /// Models and services it serves.
    pub services: BTreeSet<ServiceName>,
    /// Whether its engine can go on with a stream that broke off on another server.
    #[serde(default)]
    pub resumes_streams: bool,
    /// How much it bears.
    #[serde(default)]
    pub capacity: RampSettings,
    /// Bounds of the queue in front of it.
    #[serde(default)]
    pub queue: QueueSettings,
}

/// How the process talks to others.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// UDP address; agents are reached there, entries send from there.
    pub listen: SocketAddr,
    /// PEM file of the fleet's certificate authority.
    pub authority: PathBuf,
    /// PEM file of the process's certificate.
    pub certificate: PathBuf,
    /// PEM file of its private key.
    pub private_key: PathBuf,
}

/// Where the platform is.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address of the log service.
    pub log_service: SocketAddr,
    /// Address of the VM list.
    pub vm_list: SocketAddr,
}

/// Bounds on HTTP connections and messages.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct HttpLimits {
    /// Connections at once.
    pub max_connections: u32,
    /// Bytes of a request's head.
    pub max_head_bytes: ByteCount,
    /// Headers of a request.
    pub max_headers: u32,
    /// Bytes of a request's body.
    pub max_body_bytes: ByteCount,
    /// Bytes of an answer that is relayed whole.
    pub max_answer_bytes: ByteCount,
    /// Time for a request's head to arrive, in milliseconds.
    pub head_timeout_ms: u64,
    /// Time for a request's body to arrive, in milliseconds.
    pub body_timeout_ms: u64,
    /// Time for which a caller may take nothing of a stream, in milliseconds.
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

/// How the process stops.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StopSettings {
    /// Time for work in progress to end, in milliseconds.
    pub grace_ms: u64,
}

impl StopSettings {
    /// Time for work in progress to end.
    pub fn grace(self) -> Duration {
        Duration::from_millis(self.grace_ms)
    }
}

impl Default for StopSettings {
    fn default() -> Self {
        Self { grace_ms: 900_000 }
    }
}

/// Logs and metrics.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TelemetrySettings {
    /// Least severe level that is logged.
    pub log_level: LogLevel,
    /// UDP address of a statsd server; none sends no metrics.
    pub statsd: Option<SocketAddr>,
}

/// Severity of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Errors only.
    Error,
    /// And warnings.
    Warn,
    /// And what happened.
    #[default]
    Info,
    /// And details.
    Debug,
    /// And everything else.
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
    /// Reads and checks a settings file. Relative paths in it start at the file's folder.
    ///
    /// # Errors
    ///
    /// As [`super::merge`].
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let mut settings: Self = read_json_file(path)?;
        let folder = path.parent().unwrap_or(Path::new(""));
        for file in settings.peers.files() {
            *file = folder.join(&*file);
        }
        settings.check()?;
        Ok(settings)
    }

    /// Checks what the types alone do not say.
    ///
    /// # Errors
    ///
    /// Names the first field that is outside its bounds.
    pub fn check(&self) -> Result<(), SettingsError> {
        positive("http.max_connections", u64::from(self.http.max_connections))?;
        positive("http.max_headers", u64::from(self.http.max_headers))?;
        positive("http.max_body_bytes", self.http.max_body_bytes.0)?;
        positive("http.max_answer_bytes", self.http.max_answer_bytes.0)?;
        positive("http.head_timeout_ms", self.http.head_timeout_ms)?;
        positive("http.body_timeout_ms", self.http.body_timeout_ms)?;
        positive("http.stall_timeout_ms", self.http.stall_timeout_ms)?;
        if self.http.max_head_bytes.0 < MIN_HEAD_BYTES {
            return Err(SettingsError::OutOfBounds {
                field: "http.max_head_bytes",
                value: self.http.max_head_bytes.to_string().into(),
                allowed: "at least 8192",
            });
        }
        match &self.role {
            RoleSettings::Entry(entry) => {
                positive("role.entry.default_deadline_ms", entry.default_deadline_ms)?;
                positive("role.entry.max_deadline_ms", entry.max_deadline_ms)?;
                positive("role.entry.attempts.max_attempts", u64::from(entry.attempts.max_attempts))
            }
            RoleSettings::Agent(agent) => {
                positive("role.agent.services (count)", agent.services.len() as u64)?;
                positive(
                    "role.agent.capacity.cold_concurrency",
                    u64::from(agent.capacity.cold_concurrency.0),
                )?;
                positive(
                    "role.agent.capacity.warm_concurrency",
                    u64::from(agent.capacity.warm_concurrency.0),
                )
            }
        }
    }
}

/// Least size of the buffer for a head that the HTTP library takes.
const MIN_HEAD_BYTES: u64 = 8_192;

fn positive(field: &'static str, value: u64) -> Result<(), SettingsError> {
    if value > 0 {
        return Ok(());
    }
    Err(SettingsError::OutOfBounds { field, value: "0".into(), allowed: "above zero" })
}

impl PeerSettings {
    fn files(&mut self) -> [&mut PathBuf; 3] {
        [&mut self.authority, &mut self.certificate, &mut self.private_key]
    }
}
