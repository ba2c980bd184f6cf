//! The role in front of callers: reads requests, sends each to an agent, relays the answer.

mod attempt;
mod callers;
mod flight;
mod peers;
mod shares;

pub use peers::PeerLinks;

use std::sync::Arc;

use tokio::sync::{mpsc, watch};

use crate::{
    core::{DEREGISTRATION_DELAY, Event},
    daemon::{DaemonError, DemandMessage, PeerCommand, ProcessShell, stop_signal},
    http::{HttpListener, ListenerPhase},
    options::EntrySettings,
    transport::PeerEndpoint,
};

/// Runs an entry until it is told to stop and its requests have ended. Gives the requests that were
/// cut off.
///
/// # Errors
///
/// An address or a certificate cannot be used.
pub async fn run(
    shell: Arc<ProcessShell>,
    commands: mpsc::UnboundedReceiver<PeerCommand>,
    demand: mpsc::UnboundedReceiver<DemandMessage>,
    settings: &EntrySettings,
) -> Result<usize, DaemonError> {
    let endpoint = PeerEndpoint::bind(&shell.settings.peers)?;
    let links = Arc::new(PeerLinks::default());
    tokio::spawn(peers::run(shell.clone(), endpoint.clone(), links.clone(), commands));
    tokio::spawn(shares::run_clock(shell.clone()));
    tokio::spawn(shares::send_reports(shell.clone(), endpoint.clone(), demand));
    tokio::spawn(shares::answer_reports(shell.clone(), endpoint.clone()));
    let (phase, phases) = watch::channel(ListenerPhase::Open);
    let listener = HttpListener::bind(settings.listen, shell.settings.http).await?;
    let router = callers::router(shell.clone(), links);
    let serving = tokio::spawn(listener.serve(router, phases));
    log::info!(listen:% = settings.listen; "entry started");
    stop_signal().await?;
    let cut_off = drain(&shell, &phase, serving).await;
    endpoint.close().await;
    Ok(cut_off)
}

/// Tells callers to go elsewhere, waits until the platform's balancer has noticed, and lets
/// requests end.
async fn drain(
    shell: &ProcessShell,
    phase: &watch::Sender<ListenerPhase>,
    serving: tokio::task::JoinHandle<()>,
) -> usize {
    log::info!("stop asked for");
    shell.dispatch(Event::StopRequested);
    phase.send_replace(ListenerPhase::Draining);
    tokio::time::sleep(DEREGISTRATION_DELAY).await;
    let grace = shell.settings.stop.grace();
    let ended = async {
        shell.wait_idle().await;
        phase.send_replace(ListenerPhase::Closed);
        // Connections end once their answers are flushed.
        let _ = serving.await;
    };
    let is_clean = tokio::time::timeout(grace, ended).await.is_ok();
    let left = shell.read(|it| it.requests().len());
    log::info!(clean = is_clean, cut_off = left; "entry stopped");
    left
}
