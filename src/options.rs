//! Command-line arguments and the settings file, merged and validated once.

mod arguments;
mod direct;
mod json_file;
mod settings;

pub use arguments::{DaemonArguments, daemon_arguments};
pub use direct::{DirectRole, DirectSettings, GatewaySettings, RankAgentSettings};
pub use json_file::{JsonFileError, read_json_file};
pub use settings::{
    AgentSettings, EntrySettings, HttpLimits, IdentitySettings, LogLevel, PeerSettings,
    PlatformSettings, RoleSettings, Settings, SettingsError, StopSettings, TelemetrySettings,
};

/// The settings of a process, by the kind of its role.
#[derive(Clone, Debug, PartialEq)]
pub enum DaemonSettings {
    /// An entry or an agent, with QUIC between them.
    Fleet(Box<Settings>),
    /// A gateway or a rank agent.
    Direct(Box<DirectSettings>),
}

/// Names of the roles that [`DirectSettings`] describe.
const DIRECT_ROLES: [&str; 2] = ["gateway", "rank_agent"];

/// Reads the settings file that the arguments name and puts the arguments' own values over it.
///
/// # Errors
///
/// The file cannot be read, is not JSON of the right shape, or holds values that do not go
/// together; the error names the path of the field.
pub fn merge(arguments: &DaemonArguments) -> Result<DaemonSettings, SettingsError> {
    let file: serde_json::Value = read_json_file(&arguments.settings)?;
    let is_direct = DIRECT_ROLES.iter().any(|it| file["role"].get(it).is_some());
    if is_direct {
        let mut settings = DirectSettings::read(&arguments.settings)?;
        override_log_level(&mut settings.telemetry, arguments);
        return Ok(DaemonSettings::Direct(Box::new(settings)));
    }
    let mut settings = Settings::read(&arguments.settings)?;
    override_log_level(&mut settings.telemetry, arguments);
    Ok(DaemonSettings::Fleet(Box::new(settings)))
}

fn override_log_level(telemetry: &mut TelemetrySettings, arguments: &DaemonArguments) {
    if let Some(level) = arguments.log_level {
        telemetry.log_level = level;
    }
}
