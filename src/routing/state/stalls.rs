//! Groups that make no steps: they get no new attempts, and attempts in progress there end before
//! their timers do.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use super::{RequestState, RoutingState, attempts::MIN_ATTEMPT_TIME, retries::available_retries};
use crate::{
    routing::{KnownServer, LoadDetail, LoadReport, RequestNumber, RoutingEffect},
    units::{GroupName, Moment, ServiceName},
};

/// Time without a step, despite running requests, after which a group will not go on: longer than
/// the steps of a slow group.
const STUCK_SILENCE: Duration = Duration::from_millis(600);
/// Age from which a report is no evidence of a stall.
const EVIDENCE_TTL: Duration = Duration::from_millis(300);
/// Number of ranks that must report a stall, where as many run requests.
const MIN_EVIDENCE: usize = 2;
/// Age from which an attempt may end early. The report may be older than a younger attempt.
const MIN_ATTEMPT_AGE: Duration = Duration::from_millis(150);

/// What fresh reports of a group's agents say about its steps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum GroupProgress {
    /// It makes steps, or nothing is known.
    Moving,
    /// It has made no step for longer than usual.
    Paused,
    /// It is broken or stalled; what runs there will be cut off.
    Stuck {
        /// Whether several ranks report it.
        is_confirmed: bool,
    },
}

/// Groups whose agents report a stall, until the evidence expires.
#[derive(Clone, Debug, Default)]
pub(super) struct StallTable {
    groups: BTreeMap<GroupName, (GroupProgress, Moment)>,
}

impl StallTable {
    fn expire(&mut self, now: Moment) {
        self.groups.retain(|_, (_, at)| now.since(*at) < EVIDENCE_TTL);
    }

    /// Returns what is known of the group.
    pub(super) fn progress(&self, group: &GroupName, now: Moment) -> GroupProgress {
        let known = self.groups.get(group).filter(|(_, at)| now.since(*at) < EVIDENCE_TTL);
        known.map_or(GroupProgress::Moving, |it| it.0)
    }
}

/// Takes in the report of an agent that sends details. Returns the attempts to end.
pub(super) fn progress_reported(
    state: &mut RoutingState,
    address: SocketAddr,
    report: LoadReport,
    now: Moment,
) -> Vec<RoutingEffect> {
    state.stalls.expire(now);
    // Reports of servers that make steps matter only to groups under suspicion.
    if report.is_open && state.stalls.groups.is_empty() {
        return Vec::new();
    }
    let server = state.servers.servers().find(|it| it.record.address == address);
    let Some(record) = server.map(|it| &it.record) else { return Vec::new() };
    let Some(group) = record.group.as_ref().map(|it| it.name.clone()) else { return Vec::new() };
    let service = record.service.clone();
    let progress = group_progress(state, &group, now);
    match progress {
        GroupProgress::Moving => {
            state.stalls.groups.remove(&group);
            Vec::new()
        }
        GroupProgress::Paused => {
            state.stalls.groups.insert(group, (progress, now));
            Vec::new()
        }
        GroupProgress::Stuck { is_confirmed } => {
            state.stalls.groups.insert(group.clone(), (progress, now));
            end_attempts(state, (&service, &group), is_confirmed, now)
        }
    }
}

fn group_progress(state: &RoutingState, group: &GroupName, now: Moment) -> GroupProgress {
    let (mut paused, mut stuck) = (0, 0);
    for server in state.servers.servers().filter(|it| is_member(it, group)) {
        let load = state.loads.get(&server.record.address);
        let fresh = load.and_then(|it| it.detailed_report(EVIDENCE_TTL, now));
        let Some((report, detail)) = fresh else { continue };
        // All ranks make the same steps, so one that goes on is proof for all. One without requests
        // knows of no stall.
        match (report.is_open, report.running) {
            (true, 0) => continue,
            (true, _) => return GroupProgress::Moving,
            (false, _) => paused += 1,
        }
        stuck += usize::from(is_stuck(&report, &detail));
    }
    if stuck > 0 && stuck >= paused.min(MIN_EVIDENCE) {
        GroupProgress::Stuck { is_confirmed: stuck >= MIN_EVIDENCE }
    } else if paused > 0 {
        GroupProgress::Paused
    } else {
        GroupProgress::Moving
    }
}

fn is_stuck(report: &LoadReport, detail: &LoadDetail) -> bool {
    let silence = Duration::from_micros(u64::from(detail.silent_micros));
    !report.is_open && (detail.is_broken || silence >= STUCK_SILENCE)
}

fn is_member(server: &KnownServer, group: &GroupName) -> bool {
    server.record.group.as_ref().is_some_and(|it| it.name == *group)
}

/// Returns the attempts in progress at a stuck group that end now: as many as this gateway may
/// retry, those without a first event first. The others are left to the server, which may still
/// state that it has not run them.
fn end_attempts(
    state: &mut RoutingState,
    (service, group): (&ServiceName, &GroupName),
    is_confirmed: bool,
    now: Moment,
) -> Vec<RoutingEffect> {
    if !has_other_group(state, service, group, now) {
        return Vec::new();
    }
    let servers = &state.servers;
    let addresses: Vec<SocketAddr> =
        servers.servers().filter(|it| is_member(it, group)).map(|it| it.record.address).collect();
    let is_ending = |it: &RequestState| {
        it.service == *service && it.current_attempt.as_ref().is_some_and(|it| it.is_ending)
    };
    let ending = state.requests.values().filter(|it| is_ending(it)).count();
    let mut numbers: Vec<(bool, RequestNumber)> = state
        .requests
        .iter()
        .filter(|(_, it)| may_end(it, &addresses, is_confirmed, now))
        .map(|(number, it)| (it.current_attempt.as_ref().is_some_and(|it| it.has_begun), *number))
        .collect();
    numbers.sort_unstable();
    let available = available_retries(state, service).saturating_sub(ending);
    numbers.truncate(available);
    let mut effects = Vec::new();
    for (_, number) in numbers {
        let request = state.requests.get_mut(&number);
        let Some(attempt) = request.and_then(|it| it.current_attempt.as_mut()) else { continue };
        attempt.is_ending = true;
        effects.push(RoutingEffect::EndAttempt { number, attempt: attempt.attempt });
    }
    effects
}

/// Whether an attempt at one of these servers may end and another one follow.
fn may_end(
    request: &RequestState,
    addresses: &[SocketAddr],
    is_confirmed: bool,
    now: Moment,
) -> bool {
    let Some(attempt) = &request.current_attempt else { return false };
    addresses.contains(&attempt.address)
        && !attempt.is_ending
        && (is_confirmed || !attempt.has_begun)
        && now.since(attempt.began_at) >= MIN_ATTEMPT_AGE
        && request.route.kind.is_idempotent()
        && request.attempts_sent + 1 < request.route.max_attempts.max(1)
        && now.after(MIN_ATTEMPT_TIME) < request.deadline
}

/// Whether a server of another group has room for an attempt.
fn has_other_group(
    state: &RoutingState,
    service: &ServiceName,
    group: &GroupName,
    now: Moment,
) -> bool {
    let (gateway_count, max_pressure) =
        (state.gateway_count(), state.settings.admission.max_pressure);
    state.servers.usable(service).filter(|it| !is_member(it, group)).any(|it| {
        let load = state.loads.get(&it.record.address);
        let report = load.and_then(|it| it.report(now));
        let estimate = load.map_or(0.0, |it| it.estimate(gateway_count, now));
        report.is_some_and(|it| it.is_open) && estimate < f64::from(it.record.slots) * max_pressure
    })
}
