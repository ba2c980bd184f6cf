//! The entry role: accepts HTTP requests from callers, sends each to an agent and relays the
//! response.

mod attempt;
mod callers;
mod request;
mod peers;
mod shares;

pub use peers::AgentConnections;

use std::sync::Arc;

use tokio::sync::{mpsc, watch};

use crate::{
    core::{DEREGISTRATION_DELAY, Event},
    daemon::{DaemonError, DemandMessage, PeerCommand, ProcessShell, StopSignals},
    http::{HttpListener, ListenerPhase},
    options::EntrySettings,
    transport::PeerEndpoint,
};

/// Runs an entry until it receives a stop signal and has drained. Returns the number of requests
/// that were still in progress when the grace period ended.
///
/// # Errors
///
/// An address cannot be bound, or a certificate cannot be loaded.
pub async fn run(
    shell: Arc<ProcessShell>,
    (commands, demand): (
        mpsc::UnboundedReceiver<PeerCommand>,
        mpsc::UnboundedReceiver<DemandMessage>,
    ),
    settings: &EntrySettings,
    mut signals: StopSignals,
) -> Result<usize, DaemonError> {
    let endpoint = PeerEndpoint::bind(&shell.settings.peers)?;
    let connections = Arc::new(AgentConnections::default());
    tokio::spawn(peers::run(shell.clone(), endpoint.clone(), connections.clone(), commands));
    tokio::spawn(shares::run_demand_timer(shell.clone()));
    tokio::spawn(shares::send_reports(shell.clone(), endpoint.clone(), demand));
    tokio::spawn(shares::serve_reports(shell.clone(), endpoint.clone()));
    let (phase, phases) = watch::channel(ListenerPhase::Open);
    let listener = HttpListener::bind(settings.listen, shell.settings.http).await?;
    let router = callers::router(shell.clone(), connections);
    let server_task = tokio::spawn(listener.serve(router, phases));
    log::info!(listen:% = settings.listen; "entry started");
    signals.received().await;
    let n_cut_off = drain(&shell, &phase, server_task).await;
    endpoint.close().await;
    Ok(n_cut_off)
}

/// Reports the entry as not ready, waits until the platform's balancer has noticed, then waits up
/// to the grace period for requests in progress to end. Returns the number that did not.
async fn drain(
    shell: &ProcessShell,
    phase: &watch::Sender<ListenerPhase>,
    server_task: tokio::task::JoinHandle<()>,
) -> usize {
    log::info!("stop requested, draining");
    shell.dispatch(Event::StopRequested);
    phase.send_replace(ListenerPhase::Draining);
    tokio::time::sleep(DEREGISTRATION_DELAY).await;
    let grace = shell.settings.stop.grace();
    let ended = async {
        shell.wait_idle().await;
        phase.send_replace(ListenerPhase::Closed);
        // Each connection closes once its response is flushed.
        let _ = server_task.await;
    };
    let is_clean = tokio::time::timeout(grace, ended).await.is_ok();
    let n_cut_off = shell.read(|it| it.requests().len());
    log::info!(clean = is_clean, cut_off = n_cut_off; "entry stopped");
    n_cut_off
}
