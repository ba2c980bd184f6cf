//! Shares of client accounts: what the reducer records of their demand, and the limit of load for
//! accounts beyond their shares.

use std::{collections::BTreeMap, net::SocketAddr};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{RequestState, RoutingState};
use crate::{
    routing::{AccountStanding, DemandNews, RequestSize, ShareScope, ShareTable},
    units::{ClientAccount, Moment, ServiceName, TokenCount},
};

impl RoutingState {
    /// Returns what accounts ask of this gateway for a service, for the agents of its servers; empty
    /// without accounts.
    pub fn demand_news(&self, service: &ServiceName, now: Moment) -> DemandNews {
        if !divides_accounts(self, service) {
            return DemandNews::default();
        }
        self.shares.news(service, now)
    }

    /// Returns demands and shares of the accounts, by service.
    pub fn account_standings(
        &self,
        now: Moment,
    ) -> BTreeMap<ServiceName, BTreeMap<ClientAccount, AccountStanding>> {
        self.shares.standings(now)
    }
}

/// Records the demand of a request that arrived. Returns its work; 0 for one without an account.
pub(super) fn record_arrival(
    state: &mut RoutingState,
    request: &RequestState,
    size: Option<RequestSize>,
    now: Moment,
) -> TokenCount {
    let Some(account) = &request.account else { return TokenCount(0) };
    let work = state.shares.record_arrival(&request.service, account, size, now);
    refresh(state, &request.service, now);
    work
}

/// Records that a request is being sent to its first server.
pub(super) fn record_start(table: &mut ShareTable, request: &RequestState, now: Moment) {
    if let Some(account) = request.account.as_ref().filter(|_| request.tried_servers.is_empty()) {
        table.record_start(&request.service, account, request.work, now);
    }
}

/// Records the sums that the agent at a server's address sent, heard from this many gateways.
pub(super) fn demand_reported(
    state: &mut RoutingState,
    address: SocketAddr,
    news: DemandNews,
    subscribers: u32,
    now: Moment,
) {
    let server = state.servers.servers().find(|it| it.record.address == address);
    let Some(service) = server.map(|it| it.record.service.clone()) else { return };
    let scale = f64::from(state.gateway_count()) / f64::from(subscribers.max(1));
    state.shares.record_sums(&service, address, news, scale.max(1.0) as f32, now);
    refresh(state, &service, now);
}

fn refresh(state: &mut RoutingState, service: &ServiceName, now: Moment) {
    let of_service = state.servers.servers().filter(|it| it.record.service == *service);
    let agents = of_service.map(|it| (it.record.address, &it.record.failure_domain));
    state.shares.refresh(service, agents, now);
}

/// Returns the factor on the limit of load for a request: 1 within its account's share and where the
/// service is not crowded, less beyond the share.
pub(super) fn share_factor(state: &RoutingState, request: &RequestState, now: Moment) -> f64 {
    let is_in_scope = divides_accounts(state, &request.service);
    let has_accounts = is_in_scope && state.catalog.as_ref().is_some_and(|it| it.requires_key());
    let account = request.account.as_ref().filter(|_| has_accounts);
    let standing = account.and_then(|it| state.shares.standing(&request.service, it, now));
    let Some(standing) = standing.filter(|_| is_crowded(state, &request.service, now)) else {
        return 1.0;
    };
    let id = request.request_id.as_str().as_bytes();
    let draw = xxh3_64_with_seed(id, state.settings.seed) as f64 / u64::MAX as f64;
    standing.limit_factor(draw, state.settings.admission.max_pressure)
}

/// Whether a crowd at the service is divided among client accounts.
fn divides_accounts(state: &RoutingState, service: &ServiceName) -> bool {
    match state.settings.admission.account_shares {
        ShareScope::Ranked => state.catalog.as_ref().is_some_and(|it| it.has_ranks(service)),
        ShareScope::All => true,
    }
}

/// Whether requests to a service were refused a moment ago, or none of its servers that report has
/// room.
fn is_crowded(state: &RoutingState, service: &ServiceName, now: Moment) -> bool {
    if state.shares.has_refused(service, now) {
        return true;
    }
    let (gateway_count, max_pressure) =
        (state.gateway_count(), state.settings.admission.max_pressure);
    let of_service = state.subset().filter(|it| it.record.service == *service);
    let mut has_report = false;
    for server in of_service {
        let load = state.loads.get(&server.record.address);
        let Some(load) = load.filter(|it| it.is_reporting(now)) else { continue };
        has_report = true;
        let slots = f64::from(server.record.slots.max(1));
        if load.estimate(gateway_count, now) < max_pressure * slots {
            return false;
        }
    }
    has_report
}
