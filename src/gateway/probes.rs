//! Finds out whether servers whose attempts were lost have ended.

use std::{io::ErrorKind, net::SocketAddr, sync::Arc, time::Duration};

use tokio::sync::mpsc;

use super::shell::GatewayShell;
use crate::{http::connect, routing::RoutingEvent, units::ServerId};

/// Delay of a probe, in which other attempts at the server are lost too.
const PROBE_DELAY: Duration = Duration::from_millis(30);
/// Timeout of a probe. A server that cannot be reached at all may still run.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of probes that wait to be made.
pub(super) const MAX_QUEUED_PROBES: usize = 64;

/// A server to probe.
#[derive(Clone, Debug)]
pub(super) struct ServerProbe {
    pub(super) server: ServerId,
    pub(super) address: SocketAddr,
}

/// Makes the probes that the reducer requests.
pub(super) async fn probe_servers(
    shell: Arc<GatewayShell>,
    mut probes: mpsc::Receiver<ServerProbe>,
) {
    while let Some(probe) = probes.recv().await {
        tokio::spawn(probe_server(shell.clone(), probe));
    }
}

async fn probe_server(shell: Arc<GatewayShell>, ServerProbe { server, address }: ServerProbe) {
    tokio::time::sleep(PROBE_DELAY).await;
    let connected = connect(address, PROBE_TIMEOUT).await;
    let error = connected.as_ref().err().map(std::io::Error::kind);
    let has_ended = error == Some(ErrorKind::ConnectionRefused);
    log::info!(
        server:% = server, has_ended = has_ended,
        error:? = error;
        "server probed after a lost attempt"
    );
    shell.dispatch(RoutingEvent::ServerProbed { server, has_ended });
}
