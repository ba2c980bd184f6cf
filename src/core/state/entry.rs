//! Events of an entry: callers' requests, attempts at backend servers, and shares of plans.

use std::{collections::BTreeMap, time::Duration};

use rand::rngs::SmallRng;

use super::{DEREGISTRATION_DELAY, ProcessState};
use crate::{
    config::{ConfigLedger, PlanRecord, ServiceState},
    core::{
        AttemptOutcome, CoreSettings, DemandReport, Effect, MemberTable, PlanShare, Refusal,
        RefusalCode, RequestInfo, ServerChoice, ServerView, ShareGrant, choose_by_key,
        choose_server, home_entry,
        requests::{NextStep, RequestState},
    },
    units::{ConfigVersion, Moment, RequestId, TokenCount, VmId},
    wire::RunMode,
};

/// Retry delay that callers get when no server is available or all are overloaded.
const SERVER_RETRY_DELAY: Duration = Duration::from_secs(1);

pub(super) fn request_arrived(
    state: &mut ProcessState,
    info: RequestInfo,
    now: Moment,
) -> Vec<Effect> {
    let request_id = info.request_id.clone();
    if state.requests.get(&request_id).is_some() {
        let refusal = Refusal::not_run(RefusalCode::RepeatedRequestId);
        return vec![Effect::Refuse { request_id, refusal }];
    }
    match admit(state, &info, now) {
        Ok(plan) => {
            state.requests.insert(info, plan.priority);
            route(state, &request_id)
        }
        Err(refusal) => vec![Effect::Refuse { request_id, refusal }],
    }
}

fn admit(state: &mut ProcessState, info: &RequestInfo, now: Moment) -> Result<PlanRecord, Refusal> {
    if state.ledger.version() == ConfigVersion(0) {
        return Err(Refusal::not_run(RefusalCode::NoConfiguration).retry_after(SERVER_RETRY_DELAY));
    }
    if !accepts_new_work(state, now) {
        return Err(Refusal::not_run(RefusalCode::ShuttingDown).retry_after(Duration::ZERO));
    }
    let plan = authorize(state, info)?;
    state.demand.record_request(&info.account);
    let share = PlanShare(state.demand.share(&info.account, state.equal_share.0, now));
    state.limiter.admit(&info.account, &plan, share, now)?;
    Ok(plan)
}

/// Whether the entry accepts new requests. An entry that stops or is out of service still does
/// while the platform's balancer may send it callers.
fn accepts_new_work(state: &ProcessState, now: Moment) -> bool {
    match state.service_state() {
        ServiceState::In => true,
        ServiceState::Out => {
            state.out_since.is_some_and(|since| now.since(since) < DEREGISTRATION_DELAY)
        }
    }
}

fn authorize(state: &ProcessState, info: &RequestInfo) -> Result<PlanRecord, Refusal> {
    let unknown_account = || Refusal::not_run(RefusalCode::UnknownAccount);
    let account = state.ledger.account(&info.account).ok_or_else(unknown_account)?;
    if !account.key_hashes.contains(&info.key_hash) {
        return Err(unknown_account());
    }
    let plan = state.ledger.plan(&account.plan).ok_or_else(unknown_account)?;
    if plan.services.contains(&info.service) {
        return Ok(plan.clone());
    }
    let is_in_any_plan = state.ledger.plans().any(|it| it.services.contains(&info.service));
    let code = if is_in_any_plan { RefusalCode::NotInPlan } else { RefusalCode::UnknownService };
    Err(Refusal::not_run(code))
}

/// Sends the request to a server that was not tried yet, or refuses it if none is left.
fn route(state: &mut ProcessState, request_id: &RequestId) -> Vec<Effect> {
    let Some(request) = state.requests.get(request_id) else { return Vec::new() };
    if let RunMode::Ticketed(ticket) = &request.info.mode
        && request.tried.is_empty()
    {
        // Only the agent that issued the ticket can run it or knows whether it ran.
        let holder = ticket.vm.clone();
        return apply_step(state, request_id, NextStep::TryClaimHolder(holder));
    }
    let choice = choose_server_for(
        &mut state.members,
        &state.ledger,
        &state.settings,
        request,
        &mut state.rng,
    );
    match choice {
        ServerChoice::Server(vm) => start_attempt(state, request_id, vm),
        ServerChoice::NoCandidate => {
            let code = if request.tried.is_empty() {
                RefusalCode::NoServer
            } else {
                RefusalCode::Overloaded
            };
            let refusal = request.refusal(code).retry_after(SERVER_RETRY_DELAY);
            vec![Effect::Refuse { request_id: request_id.clone(), refusal }]
        }
    }
}

fn choose_server_for(
    members: &mut MemberTable,
    ledger: &ConfigLedger,
    settings: &CoreSettings,
    request: &RequestState,
    rng: &mut SmallRng,
) -> ServerChoice {
    let servers = members
        .servers(&request.info.service, ledger)
        .filter(|(vm, _)| !request.tried.contains(vm));
    match &request.info.mode {
        RunMode::Keyed(key) => choose_by_key(servers.map(|(vm, _)| vm), key),
        RunMode::Ticketed(_) => ServerChoice::NoCandidate,
        RunMode::Idempotent | RunMode::Single => {
            let views: Vec<ServerView<'_>> = servers
                .map(|(vm, peer)| ServerView {
                    vm,
                    failure_domain: &peer.hello.failure_domain,
                    limit: peer.report.map_or(0, |it| it.limit.0),
                    load: peer.load(),
                })
                .collect();
            choose_server(&views, &settings.failure_domain, rng)
        }
    }
}

fn start_attempt(state: &mut ProcessState, request_id: &RequestId, vm: VmId) -> Vec<Effect> {
    state.requests.start_attempt(request_id, &vm);
    state.members.start_request(&vm);
    let Some(request) = state.requests.get(request_id) else { return Vec::new() };
    vec![Effect::Attempt { request_id: request_id.clone(), vm, priority: request.priority }]
}

pub(super) fn attempt_ended(
    state: &mut ProcessState,
    request_id: &RequestId,
    vm: &VmId,
    outcome: &AttemptOutcome,
    now: Moment,
) -> Vec<Effect> {
    let Some(step) =
        state.requests.end_attempt(request_id, vm, outcome, state.settings.attempts, now)
    else {
        return Vec::new();
    };
    let mut effects = state.members.end_request(vm);
    effects.extend(apply_step(state, request_id, step));
    effects
}

fn apply_step(state: &mut ProcessState, request_id: &RequestId, step: NextStep) -> Vec<Effect> {
    match step {
        NextStep::Done => {
            state.retry_budget.deposit();
            Vec::new()
        }
        NextStep::TryAnother { spends_budget } => {
            if spends_budget && !state.retry_budget.withdraw() {
                return refuse(state, request_id, RefusalCode::OutcomeUnknown);
            }
            route(state, request_id)
        }
        NextStep::TryClaimHolder(holder) => {
            if state.members.peer(&holder).is_some() {
                return start_attempt(state, request_id, holder);
            }
            // If the holder still runs, the connection will be ready for the caller's retry.
            let connect = state.members.pin_agent(&holder);
            let refusal =
                Refusal::unknown(RefusalCode::OutcomeUnknown).retry_after(SERVER_RETRY_DELAY);
            let refuse = Effect::Refuse { request_id: request_id.clone(), refusal };
            connect.into_iter().chain([refuse]).collect()
        }
        NextStep::Refuse(refusal) => {
            vec![Effect::Refuse { request_id: request_id.clone(), refusal }]
        }
    }
}

fn refuse(state: &ProcessState, request_id: &RequestId, code: RefusalCode) -> Vec<Effect> {
    let Some(request) = state.requests.get(request_id) else { return Vec::new() };
    vec![Effect::Refuse { request_id: request_id.clone(), refusal: request.refusal(code) }]
}

pub(super) fn request_ended(
    state: &mut ProcessState,
    request_id: &RequestId,
    tokens: TokenCount,
) -> Vec<Effect> {
    let Some(request) = state.requests.remove(request_id) else { return Vec::new() };
    state.limiter.release(&request.info.account, tokens);
    match request.current_server {
        Some(vm) => state.members.end_request(&vm),
        None => Vec::new(),
    }
}

/// Reports each account's demand to its home entry. Accounts whose home entry is this one get their
/// shares at once.
pub(super) fn report_demand(state: &mut ProcessState, now: Moment) -> Vec<Effect> {
    let mut by_home: BTreeMap<VmId, Vec<DemandReport>> = BTreeMap::new();
    for report in state.demand.close_interval(now) {
        let entries = state.members.active_entries(&state.ledger).map(|it| &it.vm);
        let Some(home) = home_entry(entries, &report.account) else { continue };
        by_home.entry(home.clone()).or_default().push(report);
    }
    let own = state.settings.vm.clone();
    if let Some(reports) = by_home.remove(&own) {
        let grants = grant_shares(state, &own, reports, now);
        state.demand.apply_grants(grants, now);
    }
    let address_of =
        |vm: &VmId| state.members.listed().find(|it| it.vm == *vm).map(|it| it.address);
    by_home
        .into_iter()
        .filter_map(|(home, reports)| {
            let address = address_of(&home)?;
            Some(Effect::ReportDemand { home, address, reports })
        })
        .collect()
}

pub(super) fn grant_shares(
    state: &mut ProcessState,
    entry: &VmId,
    reports: Vec<DemandReport>,
    now: Moment,
) -> Vec<ShareGrant> {
    let n_entries = state.members.active_entries(&state.ledger).count();
    state.allocator.allocate(entry, reports, n_entries, now)
}
