//! The runtime that entries and agents share: the shell around the reducer, the tasks that follow
//! the platform's log and VM list, and the operators' HTTP interface.

mod admin;
mod audit;
mod clock;
mod control;
mod discovery;
mod reload;
mod replication;
mod shell;
mod status;

pub use admin::health_routes;
pub use audit::AuditRecord;
pub use clock::ProcessClock;
pub use control::{ControlError, exchange_hellos, run_control_stream};
pub use reload::reload_on_sighup;
pub use shell::{
    AttemptRecord, DaemonError, DemandMessage, EffectReceivers, PeerCommand, ProcessShell,
    RequestCommand, RequestTrace, WorkCommand,
};
pub use status::{PeerStatus, ProcessStatus};

use std::sync::Arc;

use tokio::sync::watch;

use crate::{
    http::{HttpListener, ListenerPhase},
    options::{RoleSettings, Settings},
    telemetry::{MetricSink, init_logging},
};

/// Runs an entry or an agent until it receives a stop signal and has drained. Returns the number of
/// requests that were still in progress when the grace period ended.
///
/// # Errors
///
/// Returns an error if the process cannot start, for instance because an address cannot be bound or
/// a certificate cannot be loaded.
pub async fn run(settings: Settings) -> Result<usize, DaemonError> {
    init_logging(settings.telemetry.log_level, settings.identity.vm.clone())?;
    let metrics = MetricSink::open(&settings.telemetry)?;
    let (shell, receivers) = ProcessShell::new(&settings, metrics)?;
    let shell = Arc::new(shell);
    let (phase, phases) = watch::channel(ListenerPhase::Open);
    let listener = HttpListener::bind(settings.identity.admin_listen, settings.http).await?;
    tokio::spawn(listener.serve(admin::router(shell.clone()), phases));
    tokio::spawn(replication::follow(shell.clone()));
    tokio::spawn(discovery::follow(shell.clone()));
    tokio::spawn(audit::publish(shell.clone(), receivers.audit));
    tokio::spawn(shell::run_timer(shell.clone()));
    let n_cut_off = match &settings.role {
        RoleSettings::Entry(entry) => {
            crate::entry::run(shell, receivers.peers, receivers.demand, entry).await?
        }
        RoleSettings::Agent(agent) => crate::agent::run(shell, receivers.claims, agent).await?,
    };
    drop(phase);
    Ok(n_cut_off)
}

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns an error if the signal handlers cannot be installed.
pub async fn wait_for_stop_signal() -> Result<(), DaemonError> {
    use tokio::signal::unix::{SignalKind, signal};

    let mut terminate = signal(SignalKind::terminate()).map_err(DaemonError::Signal)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(DaemonError::Signal)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
