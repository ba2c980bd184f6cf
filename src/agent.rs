//! The agent role: admits work for one backend server, starts it there and relays the response.
//!
//! The agent is the only process that talks to its backend server. It therefore enforces the
//! server's rules, whatever the entries assume: the concurrency limit, no new work while draining,
//! and at most one run of an idempotency key.

mod backend;
mod claims;
mod events;
mod peers;
mod work;

use std::sync::Arc;

use tokio::sync::mpsc;
use tokio_util::task::TaskTracker;

use crate::{
    core::{Event, ProcessState},
    daemon::{DaemonError, ProcessShell, StopSignals},
    options::AgentSettings,
    transport::PeerEndpoint,
    wire::IdempotencyKey,
};

/// Runs an agent until it receives a stop signal and has drained. Returns the number of work
/// items that were still running when the grace period ended.
///
/// # Errors
///
/// An address cannot be bound, or a certificate cannot be loaded.
pub async fn run(
    shell: Arc<ProcessShell>,
    claim_requests: mpsc::UnboundedReceiver<Vec<IdempotencyKey>>,
    settings: &AgentSettings,
    mut signals: StopSignals,
) -> Result<usize, DaemonError> {
    let endpoint = PeerEndpoint::bind(&shell.settings.peers)?;
    let tracker = TaskTracker::new();
    tokio::spawn(peers::run(shell.clone(), endpoint.clone(), tracker.clone(), settings.clone()));
    tokio::spawn(claims::run(shell.clone(), claim_requests, settings.clone()));
    log::info!(listen:% = shell.settings.peers.listen, backend:% = settings.backend; "agent started");
    signals.received().await;
    let n_cut_off = drain(&shell, &tracker).await;
    endpoint.close().await;
    Ok(n_cut_off)
}

/// Stops admitting work, reports this to the entries, and waits up to the grace period for running
/// work to end. Returns the number of work items that did not.
async fn drain(shell: &ProcessShell, tracker: &TaskTracker) -> usize {
    log::info!("stop requested, draining");
    shell.dispatch(Event::StopRequested);
    let ended = async {
        shell.wait_idle().await;
        tracker.close();
        tracker.wait().await;
    };
    let is_clean = tokio::time::timeout(shell.settings.stop.grace(), ended).await.is_ok();
    let n_cut_off = shell.read(ProcessState::report).running as usize;
    log::info!(clean = is_clean, cut_off = n_cut_off; "agent stopped");
    n_cut_off
}
