//! What entries and agents share at run time: the shell around the reducer and the followers of the
//! platform.

mod admin;
mod audit_trail;
mod clock;
mod config_follower;
mod control_stream;
mod hangups;
mod shell;
mod status;
mod vm_follower;

pub use admin::health_routes;
pub use audit_trail::AuditRecord;
pub use clock::ProcessClock;
pub use control_stream::{ControlError, exchange_hellos, run_control};
pub use hangups::follow_hangups;
pub use shell::{
    AttemptNote, DaemonError, DemandMessage, ExplainedRequest, PeerCommand, ProcessShell,
    RequestCommand, ShellInbox, WorkCommand,
};
pub use status::{PeerStatus, ProcessStatus};

use std::sync::Arc;

use tokio::sync::watch;

use crate::{
    http::{HttpListener, ListenerPhase},
    options::{RoleSettings, Settings},
    telemetry::{MetricSink, init_logging},
};

/// Runs one process until it is told to stop and its work has ended. Gives the requests that were
/// cut off.
///
/// # Errors
///
/// A file, an address or a certificate cannot be used.
pub async fn run(settings: Settings) -> Result<usize, DaemonError> {
    init_logging(settings.telemetry.log_level, settings.identity.vm.clone())?;
    let metrics = MetricSink::open(&settings.telemetry)?;
    let (shell, inbox) = ProcessShell::new(&settings, metrics)?;
    let shell = Arc::new(shell);
    let (phase, phases) = watch::channel(ListenerPhase::Open);
    let listener = HttpListener::bind(settings.identity.admin_listen, settings.http).await?;
    tokio::spawn(listener.serve(admin::router(shell.clone()), phases));
    tokio::spawn(config_follower::follow(shell.clone()));
    tokio::spawn(vm_follower::follow(shell.clone()));
    tokio::spawn(audit_trail::publish(shell.clone(), inbox.audit));
    tokio::spawn(shell::run_timer(shell.clone()));
    let cut_off = match &settings.role {
        RoleSettings::Entry(entry) => {
            crate::entry::run(shell, inbox.peers, inbox.demand, entry).await?
        }
        RoleSettings::Agent(agent) => crate::agent::run(shell, inbox.claims, agent).await?,
    };
    drop(phase);
    Ok(cut_off)
}

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// The signals cannot be caught.
pub async fn stop_signal() -> Result<(), DaemonError> {
    use tokio::signal::unix::{SignalKind, signal};

    let mut terminate = signal(SignalKind::terminate()).map_err(DaemonError::Signal)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(DaemonError::Signal)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
