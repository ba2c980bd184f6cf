//! The gateway process: receives callers' requests, sends each to a backend server and relays the
//! response.
//!
//! Its data comes from the platform's store, from other gateways while the store cannot be read,
//! and from the agents beside the servers. It has no persistent state.

mod attempts;
mod callers;
mod event_stream;
mod exchange;
mod held_memory;
mod open_requests;
mod peers;
mod probes;
mod relay;
mod reports;
mod requests;
mod shell;
mod sources;
mod stopping;

pub(crate) use exchange::{BlockedStatus, EXCHANGE_PATH, LIFT_PATH, LimitStatus, RecordStatus};

use std::sync::Arc;

use tokio::sync::{mpsc, watch};

use crate::{
    daemon::{DaemonError, SettingsReload, StopSignals},
    http::{HttpListener, ListenerPhase},
    options::{DaemonArguments, DirectRole, DirectSettings, GatewaySettings},
    platform::StoreClient,
    telemetry::{MetricSink, init_logging, serve_metrics},
};
use probes::MAX_QUEUED_PROBES;
use shell::GatewayShell;

/// Runs a gateway until it receives a stop signal and has drained its requests. Returns the number
/// of requests that were cut off.
///
/// # Errors
///
/// An address cannot be bound, or logging, metrics, an HTTP client or the signal handlers cannot be
/// set up.
pub async fn run(
    settings: DirectSettings,
    arguments: DaemonArguments,
) -> Result<usize, DaemonError> {
    let (mut signals, reload) = (StopSignals::install()?, SettingsReload::install(arguments)?);
    init_logging(settings.telemetry.log_level, settings.identity.vm.clone())?;
    let metrics = MetricSink::open(&settings.telemetry)?;
    let DirectRole::Gateway(gateway) = settings.role.clone() else { return Ok(0) };
    let store = StoreClient::new(gateway.store)?;
    let (probe_sender, probes) = mpsc::channel(MAX_QUEUED_PROBES);
    let shell = Arc::new(GatewayShell::new(&settings, &gateway, metrics, probe_sender));
    log::info!(version = env!("CARGO_PKG_VERSION"); "started");
    let (phase, phases) = watch::channel(ListenerPhase::Open);
    let served = serve(&shell, &settings, &gateway, phases).await?;
    tokio::spawn(sources::watch_operator(shell.clone(), store.clone()));
    tokio::spawn(sources::watch_directory(shell.clone(), store, peers::new_client()?));
    tokio::spawn(reports::exchange_datagrams(shell.clone(), settings.datagrams).await?);
    tokio::spawn(exchange::exchange_records(shell.clone()));
    tokio::spawn(probes::probe_servers(shell.clone(), probes));
    tokio::spawn(shell.memory.clone().report());
    tokio::spawn(reload.run());
    signals.received().await;
    Ok(stopping::stop(&shell, settings.grace(), &phase, served).await)
}

async fn serve(
    shell: &Arc<GatewayShell>,
    settings: &DirectSettings,
    gateway: &GatewaySettings,
    phases: watch::Receiver<ListenerPhase>,
) -> Result<tokio::task::JoinHandle<()>, DaemonError> {
    let limits = settings.http;
    let (_, open) = watch::channel(ListenerPhase::Open);
    let peers = HttpListener::bind(gateway.peer_listen, limits).await?;
    tokio::spawn(peers.serve_with(peers::handler(shell.clone()), open.clone()));
    let ready = HttpListener::bind(gateway.ready_listen, limits).await?;
    tokio::spawn(ready.serve_with(callers::ready_handler(shell.clone()), open));
    serve_metrics(settings.identity.admin_listen, limits, shell.metrics.clone()).await?;
    let callers = HttpListener::bind(gateway.listen, limits).await?;
    Ok(tokio::spawn(callers.serve_with(callers::handler(shell.clone()), phases)))
}
