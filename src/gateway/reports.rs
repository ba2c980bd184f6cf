//! Exchange of datagrams with the agents beside the servers: subscriptions to their load reports,
//! and the reports themselves. Reports are fresher than the directory, and unlike its reads they
//! cost nothing.

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
    routing::{DemandNews, ExpertLayout, RoutingEvent, RoutingState},
    units::{GroupName, Moment},
    wire::{Datagram, DatagramExtension, GroupMember, MAX_DATAGRAM_BYTES, Subscription},
};

/// Interval between subscriptions; agents drop a gateway after a few missed ones.
const SUBSCRIBE_INTERVAL: Duration = Duration::from_millis(800);

/// Number of ranks of a group from which the list of its members is sent only with each
/// [`GROUP_LIST_ROUNDS`]th subscription. All gateways send it, each at another time.
const LONG_GROUP_LIST: usize = 16;
/// Number of subscriptions per list of a large group's members.
const GROUP_LIST_ROUNDS: usize = 4;

/// Binds the socket and returns the task that subscribes to agents and receives their reports.
///
/// # Errors
///
/// The address cannot be bound.
pub(super) async fn exchange_datagrams(
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
    for round in 0_usize.. {
        let now = shell.clock.now();
        for subscription in shell.read(|state| agent_subscriptions(state, now)) {
            let AgentSubscription { vm, mut group, helper, layout, demand } = subscription;
            if group.len() >= LONG_GROUP_LIST && !round.is_multiple_of(GROUP_LIST_ROUNDS) {
                group.clear();
            }
            let gateway = shell.peers().own().clone();
            let message = Datagram::Subscribe(Subscription { gateway, group, helper, layout });
            let extension = DatagramExtension { demand, ..DatagramExtension::default() };
            match message.encode_extended(&extension) {
                Ok(bytes) => send(socket, SocketAddr::new(vm, port), &bytes).await,
                Err(error) => log::error!(error:% = error; "cannot encode subscription"),
            }
        }
        tokio::time::sleep(SUBSCRIBE_INTERVAL).await;
    }
}

/// Sends a datagram. A failure counts as a lost datagram; the next subscription replaces it.
async fn send(socket: &UdpSocket, to: SocketAddr, bytes: &[u8]) {
    if let Err(error) = socket.send_to(bytes, to).await {
        log::debug!(to:% = to, error:% = error; "cannot send datagram");
    }
}

/// The contents of one agent's subscription.
struct AgentSubscription {
    vm: IpAddr,
    group: Vec<GroupMember>,
    /// VM of an agent of another group that sends hold orders on behalf of this group.
    helper: Option<IpAddr>,
    layout: Option<ExpertLayout>,
    /// What client accounts ask of this gateway for the agent's service.
    demand: DemandNews,
}

/// Builds the subscriptions to the agents of all model engines, each with the members of its group
/// and a helper.
fn agent_subscriptions(state: &RoutingState, now: Moment) -> Vec<AgentSubscription> {
    let mut groups: BTreeMap<&GroupName, Vec<GroupMember>> = BTreeMap::new();
    for server in state.servers().servers() {
        let record = &server.record;
        if let Some(membership) = &record.group {
            let member = GroupMember { rank: membership.rank, server: record.address };
            groups.entry(&membership.name).or_default().push(member);
        }
    }
    // The first ranks coordinate their own groups, so they do not help others.
    let can_help = |it: &&GroupMember| it.rank >= COORDINATOR_CANDIDATES;
    let helper_of = |own: &GroupName| {
        let others = groups.iter().filter(|it| *it.0 != own);
        let helpers = others.flat_map(|it| it.1.iter().filter(can_help));
        helpers.map(|it| it.server.ip()).choose(&mut rand::rng())
    };
    let helpers: BTreeMap<&GroupName, Option<IpAddr>> =
        groups.keys().map(|it| (*it, helper_of(it))).collect();
    let subscription_of = |server: &crate::routing::KnownServer| {
        let record = &server.record;
        let engine = state.catalog()?.service(&record.service)?.engine.as_ref()?;
        let name = record.group.as_ref().map(|it| &it.name);
        Some(AgentSubscription {
            vm: record.address.ip(),
            group: name.and_then(|it| groups.get(it)).cloned().unwrap_or_default(),
            helper: name.and_then(|it| helpers.get(it)).copied().flatten(),
            layout: engine.layout,
            demand: state.demand_news(&record.service, now),
        })
    };
    state.subset().filter_map(subscription_of).collect()
}

async fn receive(shell: &GatewayShell, socket: &UdpSocket) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!(error:% = error; "cannot receive datagram");
                continue;
            }
        };
        let (datagram, extension) = Datagram::decode_extended(&buffer[..length]).unzip();
        match datagram {
            Some(Datagram::Load { server, report, subscribers, gateways }) => {
                // Most reports omit the list of gateways. The reducer keeps the largest recent count.
                let has_list = !gateways.is_empty();
                shell.record_peers(gateways);
                let known =
                    if has_list { shell.peers().count(shell.clock.now()) } else { subscribers };
                let event = RoutingEvent::LoadReported {
                    address: server,
                    report,
                    gateway_count: known.max(subscribers),
                    detail: extension.as_ref().and_then(|it| it.load),
                };
                shell.dispatch(event);
                let news = extension.map(|it| it.demand).unwrap_or_default();
                if !news.accounts.is_empty() {
                    let address = server;
                    shell.dispatch(RoutingEvent::DemandReported { address, news, subscribers });
                }
            }
            Some(
                Datagram::Subscribe(_)
                | Datagram::Status(_)
                | Datagram::Rollout(_)
                | Datagram::RelayedRollout(_)
                | Datagram::HoldRequest(_)
                | Datagram::HoldGiven,
            ) => {
                log::debug!(from:% = from; "unexpected datagram type");
            }
            None => log::debug!(from:% = from; "cannot decode datagram"),
        }
    }
}
