//! Load reports of agents.

use std::{net::SocketAddr, time::Duration};

use super::{RoutingState, room_shares::draw_share, stalls::progress_reported};
use crate::{
    routing::{LoadDetail, LoadReport, RoutingEffect},
    units::Moment,
};

/// Time for which the largest reported number of gateways stays in use.
const GATEWAY_COUNT_WINDOW: Duration = Duration::from_secs(10);

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
    let is_expired =
        state.reported_gateways.is_none_or(|(_, at)| now.since(at) > GATEWAY_COUNT_WINDOW);
    if is_expired || state.reported_gateways.is_some_and(|(max, _)| gateway_count >= max) {
        state.reported_gateways = Some((gateway_count, now));
    }
    match detail {
        Some(_) => progress_reported(state, address, report, now),
        None => Vec::new(),
    }
}

/// Returns the longest pause that streams of the server at this address may have.
fn gap_objective(state: &RoutingState, address: SocketAddr) -> Option<Duration> {
    let server = state.servers.servers().find(|it| it.record.address == address)?;
    state.catalog.as_ref()?.gap_objective(&server.record.service)
}
