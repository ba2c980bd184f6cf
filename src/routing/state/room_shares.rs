//! What a gateway takes of the room that a load report shows.
//!
//! All gateways read the same report. If each sent what it holds back, the server would get many
//! times what it has room for before its next report. Each therefore takes its part.

use std::{collections::HashMap, net::SocketAddr};

use rand::Rng;

use super::{RequestState, RoutingState};
use crate::{
    routing::KnownServer,
    units::{Moment, UrgencyRank},
};

/// Requests per slot below which a server has room for all gateways.
const FREE_PRESSURE: f64 = 0.55;

/// Requests that this gateway may still send to each server until its next report.
pub(super) type RoomShares = HashMap<SocketAddr, u32>;

/// Draws this gateway's part of the room at a server that has just reported.
pub(super) fn draw_share(state: &mut RoutingState, address: SocketAddr, now: Moment) {
    if state.traffic.is_empty() {
        return;
    }
    let mut servers = state.servers.servers();
    let Some(server) = servers.find(|it| it.record.address == address) else { return };
    let gateway_count = state.gateway_count();
    let load = state.loads.get(&address).map_or(0.0, |it| it.estimate(gateway_count, now));
    let slots = f64::from(server.record.slots);
    let room = (state.settings.admission.max_pressure * slots - load).max(0.0);
    let part = room / f64::from(gateway_count);
    let share = (part + state.rng.random_range(0.0..1.0)).floor();
    state.room_shares.insert(address, share as u32);
}

/// Counts an attempt against this gateway's part.
pub(super) fn use_share(state: &mut RoutingState, address: SocketAddr) {
    if let Some(share) = state.room_shares.get_mut(&address) {
        *share = share.saturating_sub(1);
    }
}

/// Whether a request keeps to this gateway's part: those of the least urgent of several ranks do. Few
/// of the others arrive between two reports.
pub(super) fn needs_share(state: &RoutingState, request: &RequestState, now: Moment) -> bool {
    let traffic = state.traffic.get(&request.service);
    let is_least = |rank: UrgencyRank| traffic.is_some_and(|it| it.is_least_urgent(rank, now));
    request.rank.is_some_and(is_least)
}

/// Whether this gateway has a part left of the room at a server.
pub(super) fn has_share(state: &RoutingState, server: &KnownServer, now: Moment) -> bool {
    let address = server.record.address;
    let load = state.loads.get(&address);
    let load = load.map_or(0.0, |it| it.estimate(state.gateway_count(), now));
    let is_free = load < FREE_PRESSURE * f64::from(server.record.slots);
    is_free || state.room_shares.get(&address).is_none_or(|it| *it > 0)
}
