//! Reloads the settings file of a gateway or a rank agent on SIGHUP.

use tokio::signal::unix::{Signal, SignalKind, signal};

use super::DaemonError;
use crate::{
    options::{DaemonArguments, DaemonSettings, load_settings},
    telemetry::set_log_level,
};

/// Reloads the settings on each SIGHUP from the time of the installation on. Until then the signal
/// kills the process.
#[derive(Debug)]
pub struct SettingsReload {
    hangups: Signal,
    arguments: DaemonArguments,
}

impl SettingsReload {
    /// Installs the handler. Must be called within a tokio runtime.
    ///
    /// # Errors
    ///
    /// The handler cannot be installed.
    pub fn install(arguments: DaemonArguments) -> Result<Self, DaemonError> {
        let hangups = signal(SignalKind::hangup()).map_err(DaemonError::Signal)?;
        Ok(Self { hangups, arguments })
    }

    /// Reads and validates the settings again on each signal, forever. Only the log level is applied
    /// to the running process; the other settings take effect at its next start.
    pub async fn run(mut self) {
        while self.hangups.recv().await.is_some() {
            match load_settings(&self.arguments) {
                Ok(DaemonSettings::Direct(settings)) => {
                    set_log_level(settings.telemetry.log_level);
                    log::info!(level:% = settings.telemetry.log_level; "settings reloaded");
                }
                Ok(DaemonSettings::Fleet(_)) => {
                    log::error!(
                        "settings are those of an entry or an agent, keeping the old settings"
                    );
                }
                Err(error) => {
                    log::error!(error:% = error; "settings are invalid, keeping the old settings")
                }
            }
        }
    }
}
