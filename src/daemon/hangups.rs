//! SIGHUP: the settings file may have changed.

use crate::{
    options::{DaemonArguments, DaemonSettings, load_settings},
    telemetry::set_log_level,
};

/// Checks the settings again on SIGHUP and says what is new. What a running process can take over
/// is the log level; the rest comes into force with its next start.
pub async fn follow_hangups(arguments: DaemonArguments) {
    use tokio::signal::unix::{SignalKind, signal};

    let mut hangups = match signal(SignalKind::hangup()) {
        Ok(hangups) => hangups,
        Err(error) => {
            log::error!(error:% = error; "SIGHUP cannot be caught");
            return;
        }
    };
    while hangups.recv().await.is_some() {
        match load_settings(&arguments) {
            Ok(DaemonSettings::Direct(settings)) => {
                set_log_level(settings.telemetry.log_level);
                log::info!(level:% = settings.telemetry.log_level; "settings read again");
            }
            Ok(DaemonSettings::Fleet(_)) => {
                log::error!("the settings name another role; the old ones stay in force");
            }
            Err(error) => log::error!(error:% = error; "settings refused; the old ones stay"),
        }
    }
}
