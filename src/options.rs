//! Command-line arguments and the settings file, which are merged and validated together.

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

/// Settings of a process, in one of two layouts that its role determines.
#[derive(Clone, Debug, PartialEq)]
pub enum DaemonSettings {
    /// Settings of an entry or an agent, which are connected by QUIC.
    Fleet(Box<Settings>),
    /// Settings of a gateway, which calls backend servers directly, or of a rank agent.
    Direct(Box<DirectSettings>),
}

/// Names of the roles that use [`DirectSettings`].
const DIRECT_ROLES: [&str; 2] = ["gateway", "rank_agent"];

/// Reads and validates the settings file named by the arguments. The arguments override values of
/// the file.
///
/// # Errors
///
/// The file cannot be read, is not JSON of the expected shape, or holds a value that is out of
/// bounds; the error names the path of the field.
pub fn load_settings(arguments: &DaemonArguments) -> Result<DaemonSettings, SettingsError> {
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
