//! The control stream of a connection: hellos, then configuration versions, reports and whole
//! configurations.

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

/// Longest control message; a whole configuration is the largest.
const MAX_NOTICE: ByteCount = ByteCount(16 << 20);
/// Shortest time between two reports of an agent that neither comes nor leaves.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Why a control stream ended.
#[derive(Debug)]
#[derive(Error)]
pub enum ControlError {
    /// A message could not be exchanged.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// The peer speaks another wire version.
    #[error("{vm} speaks wire version {theirs}, this process {WIRE_VERSION}")]
    WireVersion {
        /// The peer.
        vm: VmId,
        /// Its version.
        theirs: u16,
    },
    /// The peer is not of the role expected here.
    #[error("{vm} has the role {theirs}, which is not the one expected here")]
    WrongRole {
        /// The peer.
        vm: VmId,
        /// Its role.
        theirs: PeerRole,
    },
}

/// Exchanges hellos with a peer that must be of the role `expected`.
///
/// # Errors
///
/// The stream broke, or the peer is of another wire version or role.
pub async fn exchange_hellos(
    shell: &ProcessShell,
    send: &mut SendStream,
    recv: &mut RecvStream,
    expected: PeerRole,
) -> Result<PeerHello, ControlError> {
    write_frame(send, &own_hello(shell)).await?;
    let hello: PeerHello = read_frame(recv, MAX_NOTICE).await?;
    if hello.wire_version != WIRE_VERSION {
        return Err(ControlError::WireVersion { vm: hello.vm, theirs: hello.wire_version });
    }
    if hello.role != expected {
        return Err(ControlError::WrongRole { vm: hello.vm, theirs: hello.role });
    }
    Ok(hello)
}

fn own_hello(shell: &ProcessShell) -> PeerHello {
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

/// Exchanges notices with `peer` until the stream breaks.
///
/// # Errors
///
/// Always: the reason why the stream ended.
pub async fn run_control(
    shell: Arc<ProcessShell>,
    peer: VmId,
    send: SendStream,
    mut recv: RecvStream,
) -> Result<Infallible, ControlError> {
    let mailbox = shell.notices().replace(&peer);
    tokio::select! {
        ended = read_notices(&shell, &peer, &mut recv) => ended,
        ended = write_notices(&shell, send, mailbox) => ended,
    }
}

async fn write_notices(
    shell: &ProcessShell,
    mut send: SendStream,
    mut mailbox: mpsc::UnboundedReceiver<ControlMessage>,
) -> Result<Infallible, ControlError> {
    let is_agent = shell.settings.role.role() == PeerRole::Agent;
    let mut config = shell.watch_config();
    let mut report = shell.watch_report();
    config.mark_changed();
    report.mark_changed();
    let mut last_report = None;
    loop {
        let notice = tokio::select! {
            Ok(()) = config.changed() => {
                let (version, digest) = *config.borrow_and_update();
                ControlMessage::Config { version, digest }
            }
            Some(notice) = mailbox.recv() => notice,
            () = next_report(&mut report, last_report), if is_agent => {
                let latest = *report.borrow_and_update();
                last_report = Some((latest, Instant::now()));
                ControlMessage::Report(latest)
            }
        };
        write_frame(&mut send, &notice).await?;
    }
}

/// Waits for a report worth sending: at once where the agent comes or leaves, and no more than one
/// an interval where the server bears more or less, or work begins or ceases to wait. How much runs
/// rides on the answers.
async fn next_report(
    report: &mut watch::Receiver<AgentReport>,
    last: Option<(AgentReport, Instant)>,
) {
    let Some((sent, at)) = last else { return };
    // The sender lives in the shell, as long as the process does; its end would only end the wait.
    let _ = report.wait_for(|it| differs(it, &sent)).await;
    tokio::select! {
        _ = report.wait_for(|it| it.state != sent.state) => {}
        () = tokio::time::sleep_until(at + REPORT_INTERVAL) => {}
    }
}

fn differs(now: &AgentReport, sent: &AgentReport) -> bool {
    let waits = |it: &AgentReport| it.waiting > 0;
    now.state != sent.state || now.limit != sent.limit || waits(now) != waits(sent)
}

async fn read_notices(
    shell: &ProcessShell,
    peer: &VmId,
    recv: &mut RecvStream,
) -> Result<Infallible, ControlError> {
    loop {
        match read_frame(recv, MAX_NOTICE).await? {
            ControlMessage::Config { version, digest } => {
                shell.dispatch(Event::PeerConfig { vm: peer.clone(), version, digest });
            }
            ControlMessage::ConfigWanted => {
                let snapshot = shell.read(|it| it.ledger().snapshot());
                shell.notices().send(peer, ControlMessage::ConfigState(Box::new(snapshot)));
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
