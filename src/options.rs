//! Command-line arguments and the settings file, merged and validated once.

mod arguments;
mod json_file;
mod settings;

pub use arguments::{DaemonArguments, daemon_arguments};
pub use json_file::{JsonFileError, read_json_file};
pub use settings::{
    AgentSettings, EntrySettings, HttpLimits, IdentitySettings, LogLevel, PeerSettings,
    PlatformSettings, RoleSettings, Settings, SettingsError, StopSettings, TelemetrySettings,
};

/// Reads the settings file that the arguments name and puts the arguments' own values over it.
///
/// # Errors
///
/// The file cannot be read, is not JSON of the right shape, or holds values that do not go
/// together; the error names the path of the field.
pub fn merge(arguments: &DaemonArguments) -> Result<Settings, SettingsError> {
    let mut settings = Settings::read(&arguments.settings)?;
    if let Some(level) = arguments.log_level {
        settings.telemetry.log_level = level;
    }
    Ok(settings)
}
