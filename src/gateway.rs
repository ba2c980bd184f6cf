//! The gateway: it reads callers' requests, sends each to a backend server and relays the answer.
//!
//! What it knows comes from the platform's store, from other gateways while the store cannot be
//! read, and from the agents beside the servers. It keeps nothing that must last.

mod callers;
mod event_stream;
mod flight;
mod peers;
mod reports;
mod shell;
mod sources;

use std::{sync::Arc, time::Duration};

use tokio::sync::watch;

use crate::{
    daemon::{DaemonError, follow_hangups, stop_signal},
    http::{HttpListener, ListenerPhase},
    options::{DaemonArguments, DirectRole, DirectSettings, GatewaySettings},
    platform::StoreClient,
    routing::RoutingEvent,
    telemetry::{MetricSink, init_logging, serve_metrics},
};
use shell::GatewayShell;

/// Time in which the platform's balancer notices that a gateway is not ready: two questions, one a
/// second.
const BALANCER_NOTICE: Duration = Duration::from_millis(2_300);
/// Time after that in which callers' connections are closed after their next answer.
const CLOSING_TIME: Duration = Duration::from_millis(1_200);
/// Time before the end of the grace in which the process ends by itself.
const GRACE_MARGIN: Duration = Duration::from_millis(300);

/// Runs a gateway until it is told to stop and its work has ended. Gives the requests that were cut
/// off.
///
/// # Errors
///
/// An address cannot be used.
pub async fn run(
    settings: DirectSettings,
    arguments: DaemonArguments,
) -> Result<usize, DaemonError> {
    init_logging(settings.telemetry.log_level, settings.identity.vm.clone())?;
    let metrics = MetricSink::open(&settings.telemetry)?;
    let DirectRole::Gateway(gateway) = settings.role.clone() else { return Ok(0) };
    let store = StoreClient::new(gateway.store)?;
    let shell = Arc::new(GatewayShell::new(&settings, &gateway, metrics));
    log::info!(version = env!("CARGO_PKG_VERSION"); "started");
    let (phase, phases) = watch::channel(ListenerPhase::Open);
    let served = serve(&shell, &settings, &gateway, phases).await?;
    tokio::spawn(sources::follow_operator(shell.clone(), store.clone()));
    tokio::spawn(sources::follow_directory(shell.clone(), store, peers::new_client()?));
    tokio::spawn(reports::exchange(shell.clone(), settings.datagrams).await?);
    tokio::spawn(follow_hangups(arguments));
    stop_signal().await?;
    stop(&shell, &settings, &phase, served).await;
    let cut_off = shell.in_progress();
    log::info!(cut_off = cut_off; "stopped");
    Ok(cut_off)
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

/// Goes on serving until the balancer has noticed, then closes connections, then waits for what is
/// in progress.
async fn stop(
    shell: &Arc<GatewayShell>,
    settings: &DirectSettings,
    phase: &watch::Sender<ListenerPhase>,
    served: tokio::task::JoinHandle<()>,
) {
    let end = tokio::time::Instant::now() + settings.grace().saturating_sub(GRACE_MARGIN);
    shell.dispatch(RoutingEvent::StopAsked);
    tokio::time::sleep(BALANCER_NOTICE).await;
    phase.send_replace(ListenerPhase::Draining);
    tokio::time::sleep(CLOSING_TIME).await;
    phase.send_replace(ListenerPhase::Closed);
    if tokio::time::timeout_at(end, served).await.is_err() {
        log::warn!(in_progress = shell.in_progress(); "grace is over with requests in progress");
    }
}
