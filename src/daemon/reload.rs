//! Reloads the settings file on SIGHUP.

use crate::{
    options::{DaemonArguments, DaemonSettings, load_settings},
    telemetry::set_log_level,
};

/// Reads and validates the settings again on each SIGHUP, forever. Only the log level is applied to
/// the running process; the other settings take effect at its next start.
pub async fn reload_on_sighup(arguments: DaemonArguments) {
    use tokio::signal::unix::{SignalKind, signal};

    let mut hangups = match signal(SignalKind::hangup()) {
        Ok(hangups) => hangups,
        Err(error) => {
            log::error!(error:% = error; "installing the SIGHUP handler failed");
            return;
        }
    };
    while hangups.recv().await.is_some() {
        match load_settings(&arguments) {
            Ok(DaemonSettings::Direct(settings)) => {
                set_log_level(settings.telemetry.log_level);
                log::info!(level:% = settings.telemetry.log_level; "settings reloaded");
            }
            Ok(DaemonSettings::Fleet(_)) => {
                log::error!("settings name a role of another kind, keeping the old settings");
            }
            Err(error) => {
                log::error!(error:% = error; "settings are invalid, keeping the old settings")
            }
        }
    }
}
