//! Callers' requests in progress at an entry: where each is, what was tried, and what follows from
//! each outcome.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use super::{AttemptOutcome, Refusal, RefusalCode, RequestFacts};
use crate::{
    units::{Moment, PriorityLevel, RequestId, VmId},
    wire::{RefusalReason, RunMode},
};

/// Bounds on attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AttemptSettings {
    /// Servers that are asked at most for one request.
    pub max_attempts: u32,
}

impl Default for AttemptSettings {
    fn default() -> Self {
        Self { max_attempts: 4 }
    }
}

/// One request in progress.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RequestState {
    /// What the caller asked for.
    pub facts: RequestFacts,
    /// Urgency of the account's plan.
    pub priority: PriorityLevel,
    /// Servers tried, in order.
    pub tried: Vec<VmId>,
    /// Whether an attempt may have run it.
    pub may_have_run: bool,
    /// Where the present attempt is.
    pub at: Option<VmId>,
}

/// All requests in progress.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RequestTable {
    requests: BTreeMap<RequestId, RequestState>,
}

/// What follows from an attempt's outcome.
#[derive(Clone, Debug, PartialEq)]
pub enum NextStep {
    /// Nothing: the caller has its answer.
    Done,
    /// Try another server; a retry that costs budget where the first attempt may have done work.
    TryAnother {
        /// Whether the retry is taken from the budget.
        spends_budget: bool,
    },
    /// Try the server that holds the key's claim.
    TryHolder(VmId),
    /// Tell the caller.
    Refuse(Refusal),
}

impl RequestTable {
    /// Requests in progress.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether none is in progress.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// One request.
    pub fn get(&self, id: &RequestId) -> Option<&RequestState> {
        self.requests.get(id)
    }

    /// Adds a request.
    pub fn insert(&mut self, facts: RequestFacts, priority: PriorityLevel) {
        let id = facts.request_id.clone();
        let state =
            RequestState { facts, priority, tried: Vec::new(), may_have_run: false, at: None };
        self.requests.insert(id, state);
    }

    /// Takes a request out.
    pub fn remove(&mut self, id: &RequestId) -> Option<RequestState> {
        self.requests.remove(id)
    }

    /// Notes an attempt.
    pub fn begin(&mut self, id: &RequestId, vm: &VmId) {
        if let Some(state) = self.requests.get_mut(id) {
            state.tried.push(vm.clone());
            state.at = Some(vm.clone());
        }
    }

    /// Notes the end of an attempt and says what follows. None where the request or the attempt is
    /// not known: a late outcome of an attempt that was given up changes nothing.
    pub fn end(
        &mut self,
        id: &RequestId,
        vm: &VmId,
        outcome: &AttemptOutcome,
        settings: AttemptSettings,
        now: Moment,
    ) -> Option<NextStep> {
        let state = self.requests.get_mut(id)?;
        if state.at.as_ref() != Some(vm) {
            return None;
        }
        state.at = None;
        let step = state.next_step(outcome);
        Some(state.bound(step, settings, now))
    }
}

impl RequestState {
    fn next_step(&mut self, outcome: &AttemptOutcome) -> NextStep {
        match outcome {
            AttemptOutcome::Answered => NextStep::Done,
            AttemptOutcome::Refused(RefusalReason::DeadlinePassed) => {
                NextStep::Refuse(self.refusal(RefusalCode::DeadlinePassed))
            }
            AttemptOutcome::Refused(RefusalReason::Shed) => {
                NextStep::Refuse(self.refusal(RefusalCode::Overloaded))
            }
            AttemptOutcome::Refused(RefusalReason::ClaimsUnavailable) => {
                NextStep::Refuse(self.refusal(RefusalCode::ClaimsUnavailable))
            }
            AttemptOutcome::Refused(
                RefusalReason::Busy
                | RefusalReason::Leaving
                | RefusalReason::WrongService
                | RefusalReason::CannotResume
                | RefusalReason::BackendUnreachable,
            )
            | AttemptOutcome::NeverSent => NextStep::TryAnother { spends_budget: false },
            AttemptOutcome::ClaimedBy(holder) => NextStep::TryHolder(holder.clone()),
            AttemptOutcome::ClaimLost => {
                NextStep::Refuse(Refusal::unknown(RefusalCode::OutcomeUnknown))
            }
            AttemptOutcome::AnswerGone => NextStep::Refuse(Refusal {
                code: RefusalCode::AnswerBroken,
                outcome: super::RunOutcome::Ran,
                retry_after: None,
            }),
            AttemptOutcome::LostUnanswered => {
                self.may_have_run = true;
                match &self.facts.mode {
                    // Only the agent that issued a ticket can say what became of it.
                    RunMode::Ticketed(ticket) => NextStep::TryHolder(ticket.vm.clone()),
                    RunMode::Idempotent | RunMode::Keyed(_) => {
                        NextStep::TryAnother { spends_budget: true }
                    }
                    RunMode::Single => {
                        NextStep::Refuse(Refusal::unknown(RefusalCode::OutcomeUnknown))
                    }
                }
            }
            AttemptOutcome::LostMidAnswer => {
                self.may_have_run = true;
                match &self.facts.mode {
                    RunMode::Idempotent => NextStep::TryAnother { spends_budget: true },
                    RunMode::Keyed(_) | RunMode::Ticketed(_) | RunMode::Single => {
                        NextStep::Refuse(Refusal::unknown(RefusalCode::AnswerBroken))
                    }
                }
            }
        }
    }

    /// Turns further attempts into a final answer where the bounds are reached.
    fn bound(&self, step: NextStep, settings: AttemptSettings, now: Moment) -> NextStep {
        match step {
            NextStep::TryAnother { .. } | NextStep::TryHolder(_) => {
                if now >= self.facts.deadline {
                    let has_begun = self.may_have_run;
                    let code = if has_begun {
                        RefusalCode::DeadlineDuringRun
                    } else {
                        RefusalCode::DeadlinePassed
                    };
                    return NextStep::Refuse(self.refusal(code));
                }
                if self.tried.len() >= settings.max_attempts as usize {
                    return NextStep::Refuse(
                        self.refusal(RefusalCode::Overloaded).retry_after(Duration::from_secs(1)),
                    );
                }
                step
            }
            NextStep::Done | NextStep::Refuse(_) => step,
        }
    }

    /// A refusal that says truly whether the request ran: "not run" only where no attempt may have
    /// run it. An idempotent request that may have run is said to be unknown, too.
    pub fn refusal(&self, code: RefusalCode) -> Refusal {
        if self.may_have_run { Refusal::unknown(code) } else { Refusal::not_run(code) }
    }
}
