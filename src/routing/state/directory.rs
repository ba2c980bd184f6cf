//! What the state keeps of servers, after a read of the directory.

use std::{collections::BTreeSet, net::SocketAddr};

use super::{RoutingSettings, RoutingState};
use crate::{
    routing::{Incarnation, KnownServer, choose_subset},
    units::{Moment, ServerId, ServiceName},
};

pub(super) fn prune_servers(state: &mut RoutingState, now: Moment) {
    let servers = &state.servers;
    let is_listed = |(id, started_ms): &Incarnation| {
        servers.server(id).is_some_and(|it| it.record.started_ms == *started_ms)
    };
    state.limits.prune(is_listed, now);
    state.weights.prune(is_listed, now);
    state.cold_limiters.retain(|id, _| servers.server(id).is_some());
    let listed: Vec<SocketAddr> = servers.servers().map(|it| it.record.address).collect();
    state.loads.retain(|address, load| load.outstanding > 0 || listed.contains(address));
    state.room_shares.retain(|address, _| listed.contains(address));
}

pub(super) fn update_subset(state: &mut RoutingState) {
    let RoutingSettings { address, failure_domain, .. } = &state.settings;
    let services: BTreeSet<&ServiceName> =
        state.servers.servers().map(|it| &it.record.service).collect();
    let subset_of = |service: &ServiceName| {
        let usable: Vec<&KnownServer> = state.servers.usable(service).collect();
        let ids: BTreeSet<&ServerId> = usable.iter().map(|it| &it.record.id).collect();
        let listed = state.servers.servers().filter(|it| it.record.service == *service);
        let unusable = listed.filter(|it| !ids.contains(&it.record.id)).collect();
        choose_subset(usable, unusable, *address, failure_domain)
    };
    state.subset = services.into_iter().flat_map(subset_of).collect();
}
