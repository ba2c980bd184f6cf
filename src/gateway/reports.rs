//! Reports of the agents beside the servers: fresher than the directory, and free of its price.

use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use rand::seq::IteratorRandom;
use tokio::net::UdpSocket;

use super::shell::GatewayShell;
use crate::{
    daemon::DaemonError,
    experts::COORDINATOR_CANDIDATES,
    http::ListenerError,
    routing::{ExpertLayout, RoutingEvent, RoutingState},
    units::GroupName,
    wire::{Datagram, GroupMember, MAX_DATAGRAM, Subscription},
};

/// Pause between subscriptions; agents forget a gateway after a few that are missing.
const SUBSCRIBE_PAUSE: Duration = Duration::from_millis(800);

/// Opens the socket and gives the task that subscribes to agents and takes their reports.
///
/// # Errors
///
/// The address cannot be used.
pub(super) async fn exchange(
    shell: Arc<GatewayShell>,
    address: SocketAddr,
) -> Result<impl Future<Output = ()>, DaemonError> {
    let socket = UdpSocket::bind(address)
        .await
        .map_err(|source| DaemonError::Listener(ListenerError::new(address, source)))?;
    Ok(async move {
        tokio::join!(subscribe(&shell, &socket, address.port()), receive(&shell, &socket));
    })
}

async fn subscribe(shell: &GatewayShell, socket: &UdpSocket, port: u16) {
    loop {
        for EngineGroup { vm, group, helper, layout } in shell.read(engines) {
            let gateway = shell.peers().own().clone();
            let message = Datagram::Subscribe(Subscription { gateway, group, helper, layout });
            match message.encode() {
                Ok(bytes) => send(socket, SocketAddr::new(vm, port), &bytes).await,
                Err(error) => log::error!(error:% = error; "subscription cannot be encoded"),
            }
        }
        tokio::time::sleep(SUBSCRIBE_PAUSE).await;
    }
}

/// A datagram that cannot be sent counts as lost; the next subscription replaces it.
async fn send(socket: &UdpSocket, to: SocketAddr, bytes: &[u8]) {
    if let Err(error) = socket.send_to(bytes, to).await {
        log::debug!(to:% = to, error:% = error; "datagram not sent");
    }
}

/// What an agent is told of its group.
struct EngineGroup {
    vm: IpAddr,
    group: Vec<GroupMember>,
    helper: Option<IpAddr>,
    layout: Option<ExpertLayout>,
}

/// VMs of model engines, each with the members of its group and one of another group.
fn engines(state: &RoutingState) -> Vec<EngineGroup> {
    let mut groups: BTreeMap<&GroupName, Vec<GroupMember>> = BTreeMap::new();
    for server in state.servers().servers() {
        let record = &server.record;
        if let Some(place) = &record.group {
            let member = GroupMember { rank: place.rank, server: record.address };
            groups.entry(&place.name).or_default().push(member);
        }
    }
    // The first ranks coordinate their own groups.
    let is_helper = |it: &&GroupMember| it.rank >= COORDINATOR_CANDIDATES;
    let helper_of = |own: &GroupName| {
        let others = groups.iter().filter(|it| *it.0 != own);
        let helpers = others.flat_map(|it| it.1.iter().filter(is_helper));
        helpers.map(|it| it.server.ip()).choose(&mut rand::rng())
    };
    let helpers: BTreeMap<&GroupName, Option<IpAddr>> =
        groups.keys().map(|it| (*it, helper_of(it))).collect();
    let engine_of = |server: &crate::routing::KnownServer| {
        let record = &server.record;
        let engine = state.catalog()?.service(&record.service)?.engine.as_ref()?;
        let name = record.group.as_ref().map(|it| &it.name);
        Some(EngineGroup {
            vm: record.address.ip(),
            group: name.and_then(|it| groups.get(it)).cloned().unwrap_or_default(),
            helper: name.and_then(|it| helpers.get(it)).copied().flatten(),
            layout: engine.layout,
        })
    };
    state.servers().servers().filter_map(engine_of).collect()
}

async fn receive(shell: &GatewayShell, socket: &UdpSocket) {
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!(error:% = error; "datagram not received");
                continue;
            }
        };
        match Datagram::decode(&buffer[..length]) {
            Some(Datagram::Load { server, report, subscribers, gateways }) => {
                shell.note_peers(gateways);
                let event =
                    RoutingEvent::LoadReported { address: server, report, gateways: subscribers };
                shell.dispatch(event);
            }
            Some(
                Datagram::Subscribe(_)
                | Datagram::Status(_)
                | Datagram::Rollout(_)
                | Datagram::HoldRequest(_)
                | Datagram::HoldGiven,
            ) => {
                log::debug!(from:% = from; "datagram is not for a gateway");
            }
            None => log::debug!(from:% = from; "datagram cannot be read"),
        }
    }
}
