//! Budgets of retries: which attempts they allow, and what the log tells of it.

use std::{collections::BTreeMap, time::Duration};

use super::RoutingState;
use crate::{
    routing::{AttemptBudget, AttemptResult, RequestNumber, RetryNote, RoutingEffect},
    units::{Moment, ServiceName},
};

/// Number of denied retries that are logged in one [`LOG_INTERVAL`]: many requests may be lost at once.
const MAX_LOGGED_DENIALS: u32 = 16;
/// Interval over which logged denials are counted.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The budgets of all services, with what is to be logged of their use.
#[derive(Clone, Debug, Default)]
pub(super) struct RetryBudgets {
    budgets: BTreeMap<ServiceName, AttemptBudget>,
    notes: Vec<RoutingEffect>,
    interval_began_at: Option<Moment>,
    logged_denials: u32,
}

impl RetryBudgets {
    /// Returns what is to be logged, once.
    pub(super) fn take_effects(&mut self) -> Vec<RoutingEffect> {
        std::mem::take(&mut self.notes)
    }

    fn budget(&mut self, service: &ServiceName) -> &mut AttemptBudget {
        self.budgets.entry(service.clone()).or_default()
    }

    fn is_logged(&mut self, is_allowed: bool, now: Moment) -> bool {
        if is_allowed {
            return true;
        }
        if self.interval_began_at.is_none_or(|at| now.since(at) >= LOG_INTERVAL) {
            self.interval_began_at = Some(now);
            self.logged_denials = 0;
        }
        self.logged_denials += 1;
        self.logged_denials <= MAX_LOGGED_DENIALS
    }
}

/// Adds what a caller's request earns.
pub(super) fn deposit_retries(state: &mut RoutingState, service: &ServiceName, now: Moment) {
    let (settings, gateways) = (state.settings.budget, state.gateways.belief(now));
    state.retries.budget(service).deposit(&settings, gateways.count);
}

/// Returns the number of retries that are left.
pub(super) fn available_retries(state: &mut RoutingState, service: &ServiceName) -> usize {
    state.retries.budget(service).available()
}

/// Withdraws one retry from the service's budget, given how the attempt before it ended. Returns
/// `false` if none is left.
pub(super) fn withdraw_retry(
    state: &mut RoutingState,
    number: RequestNumber,
    reason: AttemptResult,
    now: Moment,
) -> bool {
    let Some(request) = state.requests.get(&number) else { return false };
    let (request_id, service) = (request.request_id.clone(), request.service.clone());
    let gateways = state.gateways.belief(now);
    let budget = state.retries.budget(&service);
    let is_allowed = budget.withdraw(&mut state.rng);
    let balance = budget.balance();
    let is_logged = state.retries.is_logged(is_allowed, now);
    let note = RetryNote { request_id, service, reason, is_allowed, balance, gateways, is_logged };
    state.retries.notes.push(RoutingEffect::RetryNoted(Box::new(note)));
    is_allowed
}
