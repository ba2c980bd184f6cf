//! Connections from entries.

use std::sync::Arc;

use quinn::{Connection, Incoming};
use thiserror::Error;
use tokio_util::task::TaskTracker;

use super::work;
use crate::{
    core::Event,
    daemon::{ControlError, ProcessShell, exchange_hellos, run_control},
    options::AgentSettings,
    transport::PeerEndpoint,
    wire::PeerRole,
};

/// Why a connection from an entry ended.
#[derive(Debug)]
#[derive(Error)]
enum LinkError {
    #[error(transparent)]
    Connection(#[from] quinn::ConnectionError),
    #[error(transparent)]
    Control(#[from] ControlError),
}

/// Accepts entries until the endpoint closes.
pub(super) async fn run(
    shell: Arc<ProcessShell>,
    endpoint: PeerEndpoint,
    works: TaskTracker,
    settings: AgentSettings,
) {
    let settings = Arc::new(settings);
    while let Some(incoming) = endpoint.accept().await {
        let link = serve(shell.clone(), incoming, works.clone(), settings.clone());
        tokio::spawn(async move {
            if let Err(error) = link.await {
                log::info!(error:% = error; "connection from an entry ended");
            }
        });
    }
}

async fn serve(
    shell: Arc<ProcessShell>,
    incoming: Incoming,
    works: TaskTracker,
    settings: Arc<AgentSettings>,
) -> Result<(), LinkError> {
    let link = incoming.await?;
    let (mut send, mut recv) = link.accept_bi().await?;
    let hello = exchange_hellos(&shell, &mut send, &mut recv, PeerRole::Entry).await?;
    let vm = hello.vm.clone();
    log::info!(peer:% = vm, incarnation:% = hello.incarnation; "an entry connected");
    shell.dispatch(Event::PeerConnected(hello));
    let ended = tokio::select! {
        ended = run_control(shell.clone(), vm.clone(), send, recv) => ended.map(|never| match never {}).map_err(LinkError::from),
        ended = accept_work(&shell, &link, &works, &settings) => ended,
    };
    shell.dispatch(Event::PeerLost(vm));
    ended
}

async fn accept_work(
    shell: &Arc<ProcessShell>,
    link: &Connection,
    works: &TaskTracker,
    settings: &Arc<AgentSettings>,
) -> Result<(), LinkError> {
    loop {
        let (send, recv) = link.accept_bi().await?;
        works.spawn(work::run(shell.clone(), settings.clone(), send, recv));
    }
}
