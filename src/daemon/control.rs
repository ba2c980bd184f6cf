//! The control stream of a connection between an entry and an agent: a handshake of hellos, then
//! configuration versions, configuration snapshots and agent reports.

use std::{convert::Infallible, sync::Arc, time::Duration};

use quinn::{RecvStream, SendStream};
use thiserror::Error;
use tokio::{
    sync::{mpsc, watch},
    time::Instant,
};

use super::ProcessShell;
use crate::{
    core::Event,
    options::RoleSettings,
    units::{ByteCount, VmId},
    wire::{
        AgentReport, ControlMessage, FrameError, PeerHello, PeerRole, WIRE_VERSION, read_frame,
        write_frame,
    },
};

/// Maximum size of a control message; snapshots of the configuration are the largest.
const MAX_MESSAGE_SIZE: ByteCount = ByteCount(16 << 20);
/// Minimum time between two reports of an agent while its service state does not change.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Why a control stream ended.
#[derive(Debug)]
#[derive(Error)]
pub enum ControlError {
    /// A message could not be sent or received.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// The peer uses another wire version.
    #[error("{vm} uses wire version {theirs}, this process uses {WIRE_VERSION}")]
    WireVersion {
        /// VM of the peer.
        vm: VmId,
        /// Wire version of the peer.
        theirs: u16,
    },
    /// The peer does not have the role expected on this connection.
    #[error("{vm} has the unexpected role {theirs}")]
    WrongRole {
        /// VM of the peer.
        vm: VmId,
        /// Role of the peer.
        theirs: PeerRole,
    },
}

/// Exchanges hellos with a peer, which must have the role `expected`.
///
/// # Errors
///
/// Returns an error if the stream breaks or the peer has another wire version or role.
pub async fn exchange_hellos(
    shell: &ProcessShell,
    send: &mut SendStream,
    recv: &mut RecvStream,
    expected: PeerRole,
) -> Result<PeerHello, ControlError> {
    write_frame(send, &build_hello(shell)).await?;
    let hello: PeerHello = read_frame(recv, MAX_MESSAGE_SIZE).await?;
    if hello.wire_version != WIRE_VERSION {
        return Err(ControlError::WireVersion { vm: hello.vm, theirs: hello.wire_version });
    }
    if hello.role != expected {
        return Err(ControlError::WrongRole { vm: hello.vm, theirs: hello.role });
    }
    Ok(hello)
}

fn build_hello(shell: &ProcessShell) -> PeerHello {
    let services = match &shell.settings.role {
        RoleSettings::Entry(_) => Default::default(),
        RoleSettings::Agent(agent) => agent.services.clone(),
    };
    PeerHello {
        wire_version: WIRE_VERSION,
        vm: shell.settings.identity.vm.clone(),
        role: shell.settings.role.role(),
        failure_domain: shell.settings.identity.failure_domain.clone(),
        incarnation: shell.incarnation,
        services,
    }
}

/// Exchanges control messages with `peer` until the stream breaks.
///
/// # Errors
///
/// Always returns the error that ended the stream.
pub async fn run_control_stream(
    shell: Arc<ProcessShell>,
    peer: VmId,
    send: SendStream,
    mut recv: RecvStream,
) -> Result<Infallible, ControlError> {
    let messages = shell.control_mailboxes().replace(&peer);
    tokio::select! {
        result = receive_messages(&shell, &peer, &mut recv) => result,
        result = send_messages(&shell, send, messages) => result,
    }
}

/// Sends the messages of the reducer, each new configuration version, and an agent's reports.
async fn send_messages(
    shell: &ProcessShell,
    mut send: SendStream,
    mut messages: mpsc::UnboundedReceiver<ControlMessage>,
) -> Result<Infallible, ControlError> {
    let is_agent = shell.settings.role.role() == PeerRole::Agent;
    let mut config = shell.watch_config();
    let mut report = shell.watch_report();
    config.mark_changed();
    report.mark_changed();
    let mut last_sent = None;
    loop {
        let message = tokio::select! {
            Ok(()) = config.changed() => {
                let (version, digest) = *config.borrow_and_update();
                ControlMessage::Config { version, digest }
            }
            Some(message) = messages.recv() => message,
            () = wait_for_report(&mut report, last_sent), if is_agent => {
                let latest = *report.borrow_and_update();
                last_sent = Some((latest, Instant::now()));
                ControlMessage::Report(latest)
            }
        };
        write_frame(&mut send, &message).await?;
    }
}

/// Waits until a report should be sent: at once for the first report and when the service state
/// changes, and at most once per [`REPORT_INTERVAL`] when the concurrency limit changes or the
/// queue becomes empty or non-empty. The number of running requests needs no report of its own,
/// because the end of each answer carries one.
async fn wait_for_report(
    report: &mut watch::Receiver<AgentReport>,
    last: Option<(AgentReport, Instant)>,
) {
    let Some((sent, at)) = last else { return };
    // The sender exists until the process ends. An error would only end the wait early.
    let _ = report.wait_for(|it| is_reportable(it, &sent)).await;
    tokio::select! {
        _ = report.wait_for(|it| it.state != sent.state) => {}
        () = tokio::time::sleep_until(at + REPORT_INTERVAL) => {}
    }
}

fn is_reportable(now: &AgentReport, sent: &AgentReport) -> bool {
    let has_waiting = |it: &AgentReport| it.waiting > 0;
    now.state != sent.state || now.limit != sent.limit || has_waiting(now) != has_waiting(sent)
}

/// Dispatches the peer's messages and answers its requests for a configuration snapshot.
async fn receive_messages(
    shell: &ProcessShell,
    peer: &VmId,
    recv: &mut RecvStream,
) -> Result<Infallible, ControlError> {
    loop {
        match read_frame(recv, MAX_MESSAGE_SIZE).await? {
            ControlMessage::Config { version, digest } => {
                shell.dispatch(Event::PeerConfig { vm: peer.clone(), version, digest });
            }
            ControlMessage::ConfigWanted => {
                let snapshot = shell.read(|it| it.ledger().snapshot());
                shell
                    .control_mailboxes()
                    .send(peer, ControlMessage::ConfigState(Box::new(snapshot)));
            }
            ControlMessage::ConfigState(snapshot) => {
                shell.dispatch(Event::SnapshotReceived(snapshot))
            }
            ControlMessage::Report(report) => {
                shell.dispatch(Event::PeerReport { vm: peer.clone(), report })
            }
        }
    }
}
