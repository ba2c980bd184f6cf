//! Load reports of agents.

use std::{net::SocketAddr, time::Duration};

use super::{RoutingState, room_shares::draw_share, stalls::progress_reported};
use crate::{
    routing::{LoadDetail, LoadReport, RoutingChange, RoutingEffect},
    units::Moment,
};

pub(super) fn load_reported(
    state: &mut RoutingState,
    address: SocketAddr,
    (report, detail): (LoadReport, Option<LoadDetail>),
    gateway_count: u32,
    now: Moment,
) -> Vec<RoutingEffect> {
    let gap_objective = gap_objective(state, address);
    let load = state.loads.entry(address).or_default();
    load.record_report(report, detail, now);
    gap_objective.into_iter().for_each(|it| load.record_pace(it, now));
    draw_share(state, address, now);
    let counted = state.gateways.belief(now);
    state.gateways.record_report(gateway_count, now);
    let mut effects = match detail {
        Some(_) => progress_reported(state, address, report, now),
        None => Vec::new(),
    };
    let counted_now = state.gateways.belief(now);
    if (counted_now.count, counted_now.source) != (counted.count, counted.source) {
        effects.push(RoutingEffect::StateChanged(RoutingChange::GatewaysCounted(counted_now)));
    }
    effects
}

/// Returns the longest pause that streams of the server at this address may have.
fn gap_objective(state: &RoutingState, address: SocketAddr) -> Option<Duration> {
    let server = state.servers.servers().find(|it| it.record.address == address)?;
    state.catalog.as_ref()?.gap_objective(&server.record.service)
}
