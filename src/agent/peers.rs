//! Connections from entries: the control stream and one stream for each work request.

use std::sync::Arc;

use quinn::{Connection, Incoming};
use thiserror::Error;
use tokio_util::task::TaskTracker;

use super::work;
use crate::{
    core::Event,
    daemon::{ControlError, ProcessShell, exchange_hellos, run_control_stream},
    options::AgentSettings,
    transport::PeerEndpoint,
    wire::PeerRole,
};

/// Why a connection from an entry ended.
#[derive(Debug)]
#[derive(Error)]
enum SessionError {
    #[error(transparent)]
    Connection(#[from] quinn::ConnectionError),
    #[error(transparent)]
    Control(#[from] ControlError),
}

/// Accepts connections from entries until the endpoint closes.
pub(super) async fn run(
    shell: Arc<ProcessShell>,
    endpoint: PeerEndpoint,
    tracker: TaskTracker,
    settings: AgentSettings,
) {
    let settings = Arc::new(settings);
    while let Some(incoming) = endpoint.accept().await {
        let session = serve_entry(shell.clone(), incoming, tracker.clone(), settings.clone());
        tokio::spawn(async move {
            if let Err(error) = session.await {
                log::info!(error:% = error; "connection from an entry ended");
            }
        });
    }
}

/// Exchanges hellos, then serves the control stream and the work streams until the connection ends.
async fn serve_entry(
    shell: Arc<ProcessShell>,
    incoming: Incoming,
    tracker: TaskTracker,
    settings: Arc<AgentSettings>,
) -> Result<(), SessionError> {
    let connection = incoming.await?;
    let (mut send, mut recv) = connection.accept_bi().await?;
    let hello = exchange_hellos(&shell, &mut send, &mut recv, PeerRole::Entry).await?;
    let vm = hello.vm.clone();
    log::info!(peer:% = vm, incarnation:% = hello.incarnation; "entry connected");
    shell.dispatch(Event::PeerConnected(hello));
    let result = tokio::select! {
        result = run_control_stream(shell.clone(), vm.clone(), send, recv) => result.map(|never| match never {}).map_err(SessionError::from),
        result = accept_work(&shell, &connection, &tracker, &settings) => result,
    };
    shell.dispatch(Event::PeerLost(vm));
    result
}

async fn accept_work(
    shell: &Arc<ProcessShell>,
    connection: &Connection,
    tracker: &TaskTracker,
    settings: &Arc<AgentSettings>,
) -> Result<(), SessionError> {
    loop {
        let (send, recv) = connection.accept_bi().await?;
        tracker.spawn(work::run(shell.clone(), settings.clone(), send, recv));
    }
}
