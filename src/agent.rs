//! The role beside a backend server: admits work, hands it over, relays the answer.
//!
//! The agent is the only process that talks to its backend server. Whatever the entries think, the
//! rules of one server hold here: the load it can bear, no new work while it is leaving, at most
//! one run of a key.

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
    daemon::{DaemonError, ProcessShell, stop_signal},
    options::AgentSettings,
    transport::PeerEndpoint,
    wire::IdempotencyKey,
};

/// Runs an agent until it is told to stop and its work has ended. Gives the work that was cut off.
///
/// # Errors
///
/// An address or a certificate cannot be used.
pub async fn run(
    shell: Arc<ProcessShell>,
    claim_requests: mpsc::UnboundedReceiver<Vec<IdempotencyKey>>,
    settings: &AgentSettings,
) -> Result<usize, DaemonError> {
    let endpoint = PeerEndpoint::bind(&shell.settings.peers)?;
    let works = TaskTracker::new();
    tokio::spawn(peers::run(shell.clone(), endpoint.clone(), works.clone(), settings.clone()));
    tokio::spawn(claims::run(shell.clone(), claim_requests, settings.clone()));
    log::info!(listen:% = shell.settings.peers.listen, backend:% = settings.backend; "agent started");
    stop_signal().await?;
    let cut_off = drain(&shell, &works).await;
    endpoint.close().await;
    Ok(cut_off)
}

/// Takes no new work, tells the entries so, and lets work in progress end.
async fn drain(shell: &ProcessShell, works: &TaskTracker) -> usize {
    log::info!("stop asked for");
    shell.dispatch(Event::StopRequested);
    let ended = async {
        shell.wait_idle().await;
        works.close();
        works.wait().await;
    };
    let is_clean = tokio::time::timeout(shell.settings.stop.grace(), ended).await.is_ok();
    let left = shell.read(ProcessState::report).running as usize;
    log::info!(clean = is_clean, cut_off = left; "agent stopped");
    left
}
