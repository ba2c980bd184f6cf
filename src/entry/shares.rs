//! Demand reports between entries, each on a stream of its own.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use quinn::{Connection, Incoming};
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio::{
    sync::mpsc,
    time::{Instant, interval, timeout},
};

use crate::{
    core::{DemandReport, Event, ShareGrant},
    daemon::{DemandMessage, ProcessShell},
    transport::{PeerEndpoint, TransportError},
    units::{ByteCount, VmId},
    wire::{FrameError, read_frame, write_frame},
};

/// Interval of reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Time for one exchange with a home.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(800);
/// Time after which an unused connection to a home is dropped.
const UNUSED_TIME: Duration = Duration::from_secs(10);
/// Longest message.
const MAX_MESSAGE: ByteCount = ByteCount(1 << 20);

/// Why an exchange with another entry failed.
#[derive(Debug)]
#[derive(Error)]
enum ShareError {
    #[error(transparent)]
    Transport(#[from] TransportError),
    #[error(transparent)]
    Connection(#[from] quinn::ConnectionError),
    #[error(transparent)]
    Frame(#[from] FrameError),
    #[error("the home did not answer in time")]
    Timeout,
}

/// One entry's reports.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct DemandQuestion {
    from: VmId,
    reports: Vec<DemandReport>,
}

/// Ends an interval of demand each second, for ever.
pub(super) async fn run_clock(shell: Arc<ProcessShell>) {
    let mut ticks = interval(REPORT_INTERVAL);
    loop {
        ticks.tick().await;
        shell.dispatch(Event::DemandDue);
    }
}

/// Sends reports to homes, for ever.
pub(super) async fn send_reports(
    shell: Arc<ProcessShell>,
    endpoint: PeerEndpoint,
    mut messages: mpsc::UnboundedReceiver<DemandMessage>,
) {
    let mut links: HashMap<VmId, (Connection, Instant)> = HashMap::new();
    while let Some(message) = messages.recv().await {
        links.retain(|_, (_, used_at)| used_at.elapsed() < UNUSED_TIME);
        let link = links.get(&message.home).map(|it| it.0.clone());
        let exchange = ask(&shell, &endpoint, link, message.address, message.reports);
        match timeout(EXCHANGE_TIMEOUT, exchange).await.unwrap_or(Err(ShareError::Timeout)) {
            Ok((link, grants)) => {
                links.insert(message.home, (link, Instant::now()));
                shell.dispatch(Event::SharesGranted(grants));
            }
            Err(error) => {
                links.remove(&message.home);
                shell.metrics.count("shares.home_unreachable");
                log::debug!(home:% = message.home, error:% = error; "no shares from the home");
            }
        }
    }
}

async fn ask(
    shell: &ProcessShell,
    endpoint: &PeerEndpoint,
    link: Option<Connection>,
    address: SocketAddr,
    reports: Vec<DemandReport>,
) -> Result<(Connection, Vec<ShareGrant>), ShareError> {
    let link = match link {
        Some(link) => link,
        None => endpoint.connect(address).await?,
    };
    let (mut send, mut recv) = link.open_bi().await?;
    let question = DemandQuestion { from: shell.settings.identity.vm.clone(), reports };
    write_frame(&mut send, &question).await?;
    let grants = read_frame(&mut recv, MAX_MESSAGE).await?;
    Ok((link, grants))
}

/// Answers other entries' reports, for ever.
pub(super) async fn answer_reports(shell: Arc<ProcessShell>, endpoint: PeerEndpoint) {
    while let Some(incoming) = endpoint.accept().await {
        let shell = shell.clone();
        tokio::spawn(async move {
            if let Err(error) = serve(&shell, incoming).await {
                log::debug!(error:% = error; "connection of an entry ended");
            }
        });
    }
}

async fn serve(shell: &ProcessShell, incoming: Incoming) -> Result<(), ShareError> {
    let link = incoming.await?;
    loop {
        let (mut send, mut recv) = link.accept_bi().await?;
        let DemandQuestion { from, reports } = read_frame(&mut recv, MAX_MESSAGE).await?;
        let mut answers = shell.demand_answers().replace(&from);
        shell.dispatch(Event::DemandReported { from: from.clone(), reports });
        let grants = answers.try_recv().unwrap_or_default();
        shell.demand_answers().close(&from);
        write_frame(&mut send, &grants).await?;
        let _ = send.finish();
    }
}
