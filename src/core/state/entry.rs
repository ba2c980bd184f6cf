//! Events of an entry: callers' requests and attempts at backend servers.

use std::{collections::BTreeMap, time::Duration};

use rand::rngs::SmallRng;

use super::{BALANCER_LAG, ProcessState};
use crate::{
    config::{ConfigLedger, PlanRecord, ServiceState},
    core::{
        AttemptOutcome, CoreSettings, DemandReport, Effect, MemberTable, PlanShare, Refusal,
        RefusalCode, RequestFacts, RouteChoice, ServerView, ShareGrant, choose_home, choose_server,
        home_entry,
        requests::{NextStep, RequestState},
    },
    units::{ConfigVersion, Moment, RequestId, TokenCount, VmId},
    wire::RunMode,
};

/// When to ask again where servers are missing or full.
const SERVER_RETRY: Duration = Duration::from_secs(1);

pub(super) fn request_arrived(
    state: &mut ProcessState,
    facts: RequestFacts,
    now: Moment,
) -> Vec<Effect> {
    let request_id = facts.request_id.clone();
    if state.requests.get(&request_id).is_some() {
        let refusal = Refusal::not_run(RefusalCode::RepeatedRequestId);
        return vec![Effect::Refuse { request_id, refusal }];
    }
    match admit(state, &facts, now) {
        Ok(plan) => {
            state.requests.insert(facts, plan.priority);
            route(state, &request_id)
        }
        Err(refusal) => vec![Effect::Refuse { request_id, refusal }],
    }
}

fn admit(
    state: &mut ProcessState,
    facts: &RequestFacts,
    now: Moment,
) -> Result<PlanRecord, Refusal> {
    if state.ledger.version() == ConfigVersion(0) {
        return Err(Refusal::not_run(RefusalCode::NoConfiguration).retry_after(SERVER_RETRY));
    }
    if !takes_new_work(state, now) {
        return Err(Refusal::not_run(RefusalCode::ShuttingDown).retry_after(Duration::ZERO));
    }
    let plan = authorise(state, facts)?;
    state.demand.note(&facts.account);
    let share = PlanShare(state.demand.share(&facts.account, state.share.0, now));
    state.limits.admit(&facts.account, &plan, share, now)?;
    Ok(plan)
}

/// An entry that stops or was taken out goes on while the platform's balancer may still send it
/// callers.
fn takes_new_work(state: &ProcessState, now: Moment) -> bool {
    match state.service_state() {
        ServiceState::In => true,
        ServiceState::Out => state.out_since.is_some_and(|since| now.since(since) < BALANCER_LAG),
    }
}

fn authorise(state: &ProcessState, facts: &RequestFacts) -> Result<PlanRecord, Refusal> {
    let unknown = || Refusal::not_run(RefusalCode::UnknownAccount);
    let account = state.ledger.account(&facts.account).ok_or_else(unknown)?;
    if !account.key_hashes.contains(&facts.key_hash) {
        return Err(unknown());
    }
    let plan = state.ledger.plan(&account.plan).ok_or_else(unknown)?;
    if plan.services.contains(&facts.service) {
        return Ok(plan.clone());
    }
    let named_elsewhere = state.ledger.plans().any(|it| it.services.contains(&facts.service));
    let code = if named_elsewhere { RefusalCode::NotInPlan } else { RefusalCode::UnknownService };
    Err(Refusal::not_run(code))
}

/// Sends the request to a server not tried yet, or refuses it at once where none is left.
fn route(state: &mut ProcessState, request_id: &RequestId) -> Vec<Effect> {
    let Some(request) = state.requests.get(request_id) else { return Vec::new() };
    if let RunMode::Ticketed(ticket) = &request.facts.mode
        && request.tried.is_empty()
    {
        // Only the agent that issued the ticket can run it, or say that it did.
        let holder = ticket.vm.clone();
        return take_step(state, request_id, NextStep::TryHolder(holder));
    }
    let choice =
        choose(&mut state.members, &state.ledger, &state.settings, request, &mut state.rng);
    match choice {
        RouteChoice::Server(vm) => attempt(state, request_id, vm),
        RouteChoice::Nowhere => {
            let code = if request.tried.is_empty() {
                RefusalCode::NoServer
            } else {
                RefusalCode::Overloaded
            };
            let refusal = request.refusal(code).retry_after(SERVER_RETRY);
            vec![Effect::Refuse { request_id: request_id.clone(), refusal }]
        }
    }
}

fn choose(
    members: &mut MemberTable,
    ledger: &ConfigLedger,
    settings: &CoreSettings,
    request: &RequestState,
    rng: &mut SmallRng,
) -> RouteChoice {
    let servers = members
        .servers(&request.facts.service, ledger)
        .filter(|(vm, _)| !request.tried.contains(vm));
    match &request.facts.mode {
        RunMode::Keyed(key) => choose_home(servers.map(|(vm, _)| vm), key),
        RunMode::Ticketed(_) => RouteChoice::Nowhere,
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

fn attempt(state: &mut ProcessState, request_id: &RequestId, vm: VmId) -> Vec<Effect> {
    state.requests.begin(request_id, &vm);
    state.members.begin(&vm);
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
    let Some(step) = state.requests.end(request_id, vm, outcome, state.settings.attempts, now)
    else {
        return Vec::new();
    };
    let mut effects = state.members.end(vm);
    effects.extend(take_step(state, request_id, step));
    effects
}

fn take_step(state: &mut ProcessState, request_id: &RequestId, step: NextStep) -> Vec<Effect> {
    match step {
        NextStep::Done => {
            state.budget.deposit();
            Vec::new()
        }
        NextStep::TryAnother { spends_budget } => {
            if spends_budget && !state.budget.withdraw() {
                return refuse(state, request_id, RefusalCode::OutcomeUnknown);
            }
            route(state, request_id)
        }
        NextStep::TryHolder(holder) => {
            if state.members.peer(&holder).is_some() {
                return attempt(state, request_id, holder);
            }
            // The caller's next try finds the connection, where the holder still lives.
            let connect = state.members.want(&holder);
            let refusal = Refusal::unknown(RefusalCode::OutcomeUnknown).retry_after(SERVER_RETRY);
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
    state.limits.release(&request.facts.account, tokens);
    match request.at {
        Some(vm) => state.members.end(&vm),
        None => Vec::new(),
    }
}

/// Reports each account's demand to its home; this entry's own accounts are granted at once.
pub(super) fn demand_due(state: &mut ProcessState, now: Moment) -> Vec<Effect> {
    let mut by_home: BTreeMap<VmId, Vec<DemandReport>> = BTreeMap::new();
    for report in state.demand.close_interval(now) {
        let entries = state.members.entries(&state.ledger).map(|it| &it.vm);
        let Some(home) = home_entry(entries, &report.account) else { continue };
        by_home.entry(home.clone()).or_default().push(report);
    }
    let own = state.settings.vm.clone();
    if let Some(reports) = by_home.remove(&own) {
        let grants = grants_for(state, &own, reports, now);
        state.demand.grant(grants, now);
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

pub(super) fn grants_for(
    state: &mut ProcessState,
    entry: &VmId,
    reports: Vec<DemandReport>,
    now: Moment,
) -> Vec<ShareGrant> {
    let entries = state.members.entries(&state.ledger).count();
    state.homes.report(entry, reports, entries, now)
}
