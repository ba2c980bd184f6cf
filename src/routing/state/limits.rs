//! Limits that servers name: what other gateways heard of them, and this gateway's shares.

use super::{RoutingState, change_effects};
use crate::{
    routing::{GatewayLocation, Incarnation, LimitReport, RoutingEffect, SenderSet},
    units::Moment,
};

/// Merges what another gateway heard of servers' limits.
pub(super) fn limits_read(
    state: &mut RoutingState,
    reports: Vec<LimitReport>,
    now: Moment,
) -> Vec<RoutingEffect> {
    let mut effects = Vec::new();
    let mut has_news = false;
    for report in reports {
        let domain = state.servers.server(&report.server).map(|it| &it.record.failure_domain);
        let update = state.limits.merge(report, domain, now, &mut state.rng);
        has_news |= update.has_news;
        effects.extend(change_effects(update.changes));
    }
    effects.extend(has_news.then_some(RoutingEffect::ShareRecords));
    effects
}

/// Shares servers' limits between these gateways.
pub(super) fn share_limits(state: &mut RoutingState, gateways: Vec<GatewayLocation>, now: Moment) {
    let own = gateways.iter().find(|it| it.address == state.settings.address).cloned();
    // Until an agent has reported, nobody knows how many others there are.
    let own = own.filter(|_| state.gateways.is_known());
    let senders = SenderSet { gateways, own, count: state.gateway_count() };
    let servers = &state.servers;
    let domain_of = |it: &Incarnation| servers.server(&it.0).map(|it| &it.record.failure_domain);
    state.limits.set_senders(senders, domain_of, now);
}
