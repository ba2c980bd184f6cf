//! The runtime that entries and agents share: the shell around the reducer, the tasks that read the
//! platform's log and VM list, and the operators' HTTP interface.

mod admin;
mod audit;
mod clock;
mod control;
mod discovery;
mod reload;
mod replication;
mod shell;
mod signals;
mod status;

pub use admin::health_routes;
pub use audit::AuditRecord;
pub use clock::ProcessClock;
pub use control::{ControlError, exchange_hellos, run_control_stream};
pub use reload::SettingsReload;
pub use shell::{
    AttemptRecord, DaemonError, DemandMessage, EffectReceivers, PeerCommand, ProcessShell,
    RequestCommand, RequestTrace, WorkCommand,
};
pub use signals::StopSignals;
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
/// The process cannot start, for instance because an address cannot be bound or a certificate
/// cannot be loaded.
pub async fn run(settings: Settings) -> Result<usize, DaemonError> {
    let signals = StopSignals::install()?;
    init_logging(settings.telemetry.log_level, settings.identity.vm.clone())?;
    let metrics = MetricSink::open(&settings.telemetry)?;
    let (shell, receivers) = ProcessShell::new(&settings, metrics)?;
    let shell = Arc::new(shell);
    let (phase, phases) = watch::channel(ListenerPhase::Open);
    let listener = HttpListener::bind(settings.identity.admin_listen, settings.http).await?;
    tokio::spawn(listener.serve(admin::router(shell.clone()), phases));
    tokio::spawn(replication::run(shell.clone()));
    tokio::spawn(discovery::run(shell.clone()));
    tokio::spawn(audit::publish(shell.clone(), receivers.audit));
    tokio::spawn(shell::run_timer(shell.clone()));
    let n_cut_off = match &settings.role {
        RoleSettings::Entry(entry) => {
            let commands = (receivers.peers, receivers.demand);
            crate::entry::run(shell, commands, entry, signals).await?
        }
        RoleSettings::Agent(agent) => {
            crate::agent::run(shell, receivers.claims, agent, signals).await?
        }
    };
    drop(phase);
    Ok(n_cut_off)
}
