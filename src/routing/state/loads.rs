//! Load reports of agents.

use std::{net::SocketAddr, time::Duration};

use super::{
    RoutingState, limits::share_limits, room_shares::draw_share, stalls::progress_reported,
};
use crate::{
    routing::{
        GatewayCount, GatewayLocation, LoadDetail, LoadReport, RoutingChange, RoutingEffect,
    },
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
    if state.gateways.has_unseen_domains()
        && let Some(server) = state.servers.servers().find(|it| it.record.address == address)
    {
        state.gateways.record_reached(&server.record.failure_domain);
    }
    state.gateways.record_report(gateway_count, now);
    let mut effects = match detail {
        Some(_) => progress_reported(state, address, report, now),
        None => Vec::new(),
    };
    effects.extend(count_change(state, counted, now));
    effects
}

/// Takes in the gateways that were seen lately.
pub(super) fn gateways_seen(
    state: &mut RoutingState,
    gateways: Vec<GatewayLocation>,
    now: Moment,
) -> Vec<RoutingEffect> {
    let counted = state.gateways.belief(now);
    state.gateways.record_seen(&gateways, now);
    state.known_gateways = gateways.iter().map(|it| it.address).collect();
    share_limits(state, gateways, now);
    count_change(state, counted, now).into_iter().collect()
}

/// Returns the change of the number of gateways among which limits are divided, if there is one.
fn count_change(state: &RoutingState, before: GatewayCount, now: Moment) -> Option<RoutingEffect> {
    let counted = state.gateways.belief(now);
    let is_same = (counted.count, counted.source) == (before.count, before.source);
    let change = RoutingChange::GatewaysCounted(counted);
    (!is_same).then_some(RoutingEffect::StateChanged(change))
}

/// Returns the longest pause that streams of the server at this address may have.
fn gap_objective(state: &RoutingState, address: SocketAddr) -> Option<Duration> {
    let server = state.servers.servers().find(|it| it.record.address == address)?;
    state.catalog.as_ref()?.gap_objective(&server.record.service)
}
