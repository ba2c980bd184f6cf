//! Which servers may get a request: reachable, open, not paused, and able to take it.

use std::{collections::BTreeMap, time::Duration};

use rand::rngs::SmallRng;

use super::{
    RequestState, RoutingState,
    pace::{fits_memory, load_factor},
    room_shares::{has_share, needs_share},
    stalls::GroupProgress,
    waiting::request_admission,
};
use crate::{
    routing::{
        Candidate, KnownServer, PlacementChoice, choose_candidate,
        gateway_count::DEFAULT_GATEWAY_COUNT,
    },
    units::{FailureDomain, GroupName, Moment, ServiceName},
};

/// Time after the first directory read in which some agents may not have reported yet.
const REPORTS_WARM_UP: Duration = Duration::from_millis(1_500);
/// Pace factor from which a server gets requests only if no other has room: its steps are as long as
/// the longest pause allowed.
const MAX_PACE_FACTOR: f64 = 4.0 / 3.0;

/// Chooses a server for an attempt of the request. Returns the random number generator to keep.
pub(super) fn choose_server(
    state: &RoutingState,
    request: &RequestState,
    now: Moment,
) -> (PlacementChoice, SmallRng) {
    let gateway_count = state.gateway_count();
    let mut usable: Vec<&KnownServer> = state
        .servers
        .usable(&request.service)
        .filter(|it| !request.tried_servers.contains(&it.record.id))
        .filter(|it| can_accept(state, it, now) && has_weights(state, it, request, now))
        .collect();
    let rest_ends: Vec<Moment> = usable.iter().filter_map(|it| next_send(state, it, now)).collect();
    if let Some(first_end) = rest_ends.iter().min().filter(|_| rest_ends.len() == usable.len()) {
        return (PlacementChoice::Resting(first_end.since(now)), state.rng.clone());
    }
    usable.retain(|it| next_send(state, it, now).is_none());
    let in_subset = |it: &&&KnownServer| state.subset.contains(&it.record.id);
    let subset: Vec<&KnownServer> = usable.iter().filter(in_subset).copied().collect();
    if !subset.is_empty() {
        usable = subset;
    }
    let unpaused = |it: &&&KnownServer| {
        let address = it.record.address;
        !state.loads.get(&address).is_some_and(|load| load.is_paused(now))
    };
    let reachable =
        |it: &&&KnownServer| !is_domain_unreachable(state, &it.record.failure_domain, now);
    let in_other_group = |it: &&&KnownServer| {
        it.record.group.as_ref().is_none_or(|it| !request.failed_groups.contains(&it.name))
    };
    let is_moving = |it: &&&KnownServer| group_progress(state, it, now) == GroupProgress::Moving;
    // Preferences, not requirements: each filter applies only if it leaves at least one server.
    let mut chosen: Vec<&KnownServer> = usable.iter().filter(unpaused).copied().collect();
    if chosen.is_empty() {
        chosen = usable;
    }
    let reachable_servers: Vec<&KnownServer> = chosen.iter().filter(reachable).copied().collect();
    if !reachable_servers.is_empty() {
        chosen = reachable_servers;
    }
    let moving: Vec<&KnownServer> = chosen.iter().filter(is_moving).copied().collect();
    if !moving.is_empty() {
        chosen = moving;
    }
    let other_groups: Vec<&KnownServer> = chosen.iter().filter(in_other_group).copied().collect();
    if !other_groups.is_empty() {
        chosen = other_groups;
    }
    // An unused slot is lost, and with it the chance to learn that a limit has ended.
    let has_open_slot = |it: &&&KnownServer| state.limits.has_open_slot(&it.incarnation(), now);
    let slotted: Vec<&KnownServer> = chosen.iter().filter(has_open_slot).copied().collect();
    if !slotted.is_empty() {
        chosen = slotted;
    }
    if needs_share(state, request, now) {
        let is_any = !chosen.is_empty();
        chosen.retain(|it| has_share(state, it, now));
        if is_any && chosen.is_empty() {
            return (PlacementChoice::Full, state.rng.clone());
        }
    }
    let candidates: Vec<(Candidate<'_>, bool)> = chosen
        .iter()
        .map(|it| {
            let load = state.loads.get(&it.record.address);
            let pace_factor = load_factor(load, request, now);
            let candidate = Candidate {
                id: &it.record.id,
                load: load.map_or(0.0, |load| load.estimate(gateway_count, now) / load.pace_part()),
                slots: it.record.slots,
                pace_factor,
            };
            (candidate, pace_factor < MAX_PACE_FACTOR && fits_memory(load, request, now))
        })
        .collect();
    let mut rng = state.rng.clone();
    let admission = request_admission(state, request, now);
    // What a slow server, or one without memory, can take is better than a refusal.
    let suitable: Vec<Candidate<'_>> =
        candidates.iter().filter(|it| it.1).map(|it| it.0.clone()).collect();
    let choice = match choose_candidate(&suitable, &admission, &mut rng) {
        PlacementChoice::Full | PlacementChoice::NoCandidate
            if suitable.len() < candidates.len() =>
        {
            let all: Vec<Candidate<'_>> = candidates.into_iter().map(|it| it.0).collect();
            choose_candidate(&all, &admission, &mut rng)
        }
        choice @ (PlacementChoice::Server(_)
        | PlacementChoice::Full
        | PlacementChoice::Resting(_)
        | PlacementChoice::NoCandidate) => choice,
    };
    (choice, rng)
}

/// Returns the time until which a server wants no requests from this gateway, because it asked for
/// rest or has a limit, or `None` if it takes one now.
fn next_send(state: &RoutingState, server: &KnownServer, now: Moment) -> Option<Moment> {
    let rest_end = state.servers.rest_end(server, now);
    let next_send = state.limits.next_send(&server.incarnation(), now);
    rest_end.max(next_send)
}

/// Whether all servers of the service have refused the weights that the request expects.
pub(super) fn lacks_weights(state: &RoutingState, request: &RequestState, now: Moment) -> bool {
    let mut usable = state.servers.usable(&request.service).peekable();
    usable.peek().is_some() && !usable.any(|it| has_weights(state, it, request, now))
}

/// Whether the server may have the weights that the request expects.
fn has_weights(
    state: &RoutingState,
    server: &KnownServer,
    request: &RequestState,
    now: Moment,
) -> bool {
    let expected = request.weight_version;
    expected.is_none_or(|it| !state.weights.has_refused(&server.incarnation(), it, now))
}

/// Whether all other failure domains count as unreachable.
pub(super) fn is_isolated(state: &RoutingState, now: Moment) -> bool {
    let own = &state.settings.failure_domain;
    let mut others: Vec<&FailureDomain> = state
        .servers
        .servers()
        .map(|it| &it.record.failure_domain)
        .filter(|it| *it != own)
        .collect();
    others.sort_unstable();
    others.dedup();
    !others.is_empty() && others.iter().all(|it| is_domain_unreachable(state, it, now))
}

/// Whether a reachable server of the service accepts requests. Also `true` if no server of
/// the service is eligible anywhere.
pub(super) fn has_usable(state: &RoutingState, service: &ServiceName, now: Moment) -> bool {
    let mut listed = state.servers.usable(service).peekable();
    listed.peek().is_none()
        || listed.any(|it| {
            can_accept(state, it, now)
                && !is_domain_unreachable(state, &it.record.failure_domain, now)
        })
}

/// Whether another failure domain counts as unreachable: none of its agents reports and at least
/// two have fallen silent, or at least half of its servers, and at least two, accept no connection.
fn is_domain_unreachable(state: &RoutingState, domain: &FailureDomain, now: Moment) -> bool {
    if *domain == state.settings.failure_domain {
        return false;
    }
    let (mut total, mut unreachable, mut silent, mut reporting) = (0, 0, 0, 0);
    for server in state.servers.servers().filter(|it| it.record.failure_domain == *domain) {
        total += 1;
        let Some(load) = state.loads.get(&server.record.address) else { continue };
        unreachable += usize::from(load.is_unreachable() && load.is_paused(now));
        silent += usize::from(load.is_silent(now));
        reporting += usize::from(load.is_reporting(now));
    }
    reporting == 0 && silent > 1 || unreachable > 1 && unreachable * 2 >= total
}

/// Returns what agents report of the steps of the server's group.
fn group_progress(state: &RoutingState, server: &KnownServer, now: Moment) -> GroupProgress {
    let group = server.record.group.as_ref();
    group.map_or(GroupProgress::Moving, |it| state.stalls.progress(&it.name, now))
}

/// Whether the server's group is open and, if the server is cold, its rate limit allows one more
/// request.
pub(super) fn can_accept(state: &RoutingState, server: &KnownServer, now: Moment) -> bool {
    let record = &server.record;
    let report = state.loads.get(&record.address).and_then(|it| it.report(now));
    let is_listed_open = record.group.as_ref().is_none_or(|it| it.is_open);
    // The agent's report is fresher than the directory.
    if !report.map_or(is_listed_open, |it| it.is_open) {
        return false;
    }
    match group_progress(state, server, now) {
        GroupProgress::Stuck { .. } => return false,
        GroupProgress::Moving | GroupProgress::Paused => {}
    }
    if now >= server.cold_until {
        return true;
    }
    let catalog = state.catalog.as_ref();
    let cold_rate =
        catalog.and_then(|it| it.service(&record.service)).map_or(0.0, |it| it.cold_rate);
    if cold_rate <= 0.0 {
        return true;
    }
    let mut limiter = state.cold_limiters.get(&record.id).cloned().unwrap_or_default();
    let gateway_count = state.gateways.possible(now).unwrap_or(DEFAULT_GATEWAY_COUNT);
    limiter.has_capacity(&state.settings.budget, cold_rate, gateway_count, now)
}

/// Whether servers of the service can be expected soon: all agents of one of its groups report, so
/// that the group is only forming, or this process has just started and lacks reports. An outage of
/// a server or of a failure domain lasts longer than callers wait.
pub(super) fn is_recovering(state: &RoutingState, service: &ServiceName, now: Moment) -> bool {
    let is_starting = state.first_directory_at.is_none_or(|at| now.since(at) < REPORTS_WARM_UP);
    // By group: the number of listed ranks, and whether all agents that report to this gateway do.
    let mut groups: BTreeMap<&GroupName, (u16, bool)> = BTreeMap::new();
    let mut has_full_group = false;
    for server in state.servers.usable(service) {
        let Some(membership) = &server.record.group else { continue };
        let load = state.loads.get(&server.record.address);
        let is_reporting = load.is_some_and(|it| it.is_reporting(now));
        let (count, all_report) = groups.entry(&membership.name).or_insert((0, true));
        *count += 1;
        *all_report &= is_reporting || !state.subset.contains(&server.record.id);
    }
    for server in state.servers.usable(service) {
        let group = server.record.group.as_ref().and_then(|it| groups.get(&it.name));
        has_full_group |=
            group.is_some_and(|(count, all)| *all && *count >= server.record.group_size.max(1));
    }
    is_starting || has_full_group
}
