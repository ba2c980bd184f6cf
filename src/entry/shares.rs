//! Demand reports between entries, each exchanged on its own stream.
//!
//! Each account has a home: the entry that divides the account's plan limits among all entries by
//! the demand that they report to it.

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

/// Interval between demand reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of one exchange with a home, including connecting to it.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(800);
/// Time after which an unused connection to a home is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum size of a message.
const MAX_MESSAGE_SIZE: ByteCount = ByteCount(1 << 20);

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
    #[error("the home entry did not answer in time")]
    Timeout,
}

/// The demand that one entry reports to a home.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct DemandRequest {
    from: VmId,
    reports: Vec<DemandReport>,
}

/// Dispatches [`Event::DemandDue`] at each report interval, forever.
pub(super) async fn run_demand_timer(shell: Arc<ProcessShell>) {
    let mut ticks = interval(REPORT_INTERVAL);
    loop {
        ticks.tick().await;
        shell.dispatch(Event::DemandDue);
    }
}

/// Sends reports to homes and dispatches the granted shares, until the message channel closes.
pub(super) async fn send_reports(
    shell: Arc<ProcessShell>,
    endpoint: PeerEndpoint,
    mut messages: mpsc::UnboundedReceiver<DemandMessage>,
) {
    let mut connections: HashMap<VmId, (Connection, Instant)> = HashMap::new();
    while let Some(message) = messages.recv().await {
        connections.retain(|_, (_, used_at)| used_at.elapsed() < IDLE_TIMEOUT);
        let connection = connections.get(&message.home).map(|it| it.0.clone());
        let exchange =
            exchange_reports(&shell, &endpoint, connection, message.address, message.reports);
        match timeout(EXCHANGE_TIMEOUT, exchange).await.unwrap_or(Err(ShareError::Timeout)) {
            Ok((connection, grants)) => {
                connections.insert(message.home, (connection, Instant::now()));
                shell.dispatch(Event::SharesGranted(grants));
            }
            Err(error) => {
                connections.remove(&message.home);
                shell.metrics.count("shares.home_unreachable");
                log::debug!(
                    home:% = message.home, error:% = error;
                    "demand report to the home entry failed"
                );
            }
        }
    }
}

async fn exchange_reports(
    shell: &ProcessShell,
    endpoint: &PeerEndpoint,
    connection: Option<Connection>,
    address: SocketAddr,
    reports: Vec<DemandReport>,
) -> Result<(Connection, Vec<ShareGrant>), ShareError> {
    let connection = match connection {
        Some(connection) => connection,
        None => endpoint.connect(address).await?,
    };
    let (mut send, mut recv) = connection.open_bi().await?;
    let request = DemandRequest { from: shell.settings.identity.vm.clone(), reports };
    write_frame(&mut send, &request).await?;
    let grants = read_frame(&mut recv, MAX_MESSAGE_SIZE).await?;
    Ok((connection, grants))
}

/// Answers the demand reports of other entries until the endpoint closes.
pub(super) async fn serve_reports(shell: Arc<ProcessShell>, endpoint: PeerEndpoint) {
    while let Some(incoming) = endpoint.accept().await {
        let shell = shell.clone();
        tokio::spawn(async move {
            if let Err(error) = serve_connection(&shell, incoming).await {
                log::debug!(error:% = error; "connection from another entry ended");
            }
        });
    }
}

async fn serve_connection(shell: &ProcessShell, incoming: Incoming) -> Result<(), ShareError> {
    let connection = incoming.await?;
    loop {
        let (mut send, mut recv) = connection.accept_bi().await?;
        let DemandRequest { from, reports } = read_frame(&mut recv, MAX_MESSAGE_SIZE).await?;
        let mut grant_receiver = shell.grant_mailboxes().replace(&from);
        shell.dispatch(Event::DemandReported { from: from.clone(), reports });
        let grants = grant_receiver.try_recv().unwrap_or_default();
        shell.grant_mailboxes().close(&from);
        write_frame(&mut send, &grants).await?;
        let _ = send.finish();
    }
}
