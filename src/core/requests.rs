//! Callers' requests in progress at an entry: their attempts, and the next step after each outcome.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use super::{AttemptOutcome, Refusal, RefusalCode, RequestInfo};
use crate::{
    units::{Moment, PriorityLevel, RequestId, VmId},
    wire::{RefusalReason, RunMode},
};

/// Limits on the attempts for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AttemptSettings {
    /// Maximum number of attempts for one request.
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
    /// Metadata of the request.
    #[serde(rename = "facts")]
    pub info: RequestInfo,
    /// Priority from the account's plan.
    pub priority: PriorityLevel,
    /// Servers tried, in order, including the current one.
    pub tried: Vec<VmId>,
    /// Whether an attempt may have run the request.
    pub may_have_run: bool,
    /// Server of the current attempt; `None` between attempts.
    #[serde(rename = "at")]
    pub current_server: Option<VmId>,
}

/// All requests in progress.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RequestTable {
    requests: BTreeMap<RequestId, RequestState>,
}

/// How to proceed after an attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum NextStep {
    /// Do nothing: the caller has its response.
    Done,
    /// Try another server.
    TryAnother {
        /// Whether the retry is charged to the retry budget. It is if the failed attempt may have
        /// run.
        spends_budget: bool,
    },
    /// Try the server that holds the claim on the key.
    TryClaimHolder(VmId),
    /// Send the caller an error response.
    Refuse(Refusal),
}

impl RequestTable {
    /// Returns the number of requests in progress.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether no request is in progress.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns the request with this id, or `None` if it is not in progress.
    pub fn get(&self, id: &RequestId) -> Option<&RequestState> {
        self.requests.get(id)
    }

    /// Adds a request without attempts.
    pub fn insert(&mut self, info: RequestInfo, priority: PriorityLevel) {
        let id = info.request_id.clone();
        let state = RequestState {
            info,
            priority,
            tried: Vec::new(),
            may_have_run: false,
            current_server: None,
        };
        self.requests.insert(id, state);
    }

    /// Removes and returns a request. Returns `None` if it is not in progress.
    pub fn remove(&mut self, id: &RequestId) -> Option<RequestState> {
        self.requests.remove(id)
    }

    /// Records the start of an attempt at the server on `vm`.
    pub fn start_attempt(&mut self, id: &RequestId, vm: &VmId) {
        if let Some(state) = self.requests.get_mut(id) {
            state.tried.push(vm.clone());
            state.current_server = Some(vm.clone());
        }
    }

    /// Records the outcome of an attempt and returns the next step. Returns `None` if the request
    /// is not in progress or `vm` is not its current server: an outcome that arrives late is
    /// ignored.
    pub fn end_attempt(
        &mut self,
        id: &RequestId,
        vm: &VmId,
        outcome: &AttemptOutcome,
        settings: AttemptSettings,
        now: Moment,
    ) -> Option<NextStep> {
        let state = self.requests.get_mut(id)?;
        if state.current_server.as_ref() != Some(vm) {
            return None;
        }
        state.current_server = None;
        let step = state.step_after(outcome);
        Some(state.apply_limits(step, settings, now))
    }
}

impl RequestState {
    fn step_after(&mut self, outcome: &AttemptOutcome) -> NextStep {
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
            AttemptOutcome::ClaimedBy(holder) => NextStep::TryClaimHolder(holder.clone()),
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
                match &self.info.mode {
                    // Only the agent that issued the ticket knows whether it ran.
                    RunMode::Ticketed(ticket) => NextStep::TryClaimHolder(ticket.vm.clone()),
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
                match &self.info.mode {
                    RunMode::Idempotent => NextStep::TryAnother { spends_budget: true },
                    RunMode::Keyed(_) | RunMode::Ticketed(_) | RunMode::Single => {
                        NextStep::Refuse(Refusal::unknown(RefusalCode::AnswerBroken))
                    }
                }
            }
        }
    }

    /// Replaces a further attempt by a refusal if the deadline or the attempt limit is reached.
    fn apply_limits(&self, step: NextStep, settings: AttemptSettings, now: Moment) -> NextStep {
        match step {
            NextStep::TryAnother { .. } | NextStep::TryClaimHolder(_) => {
                if now >= self.info.deadline {
                    let may_have_run = self.may_have_run;
                    let code = if may_have_run {
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

    /// Creates a refusal whose outcome is "not run" only if no attempt may have run the request.
    /// Otherwise it is "unknown", also for idempotent requests.
    pub fn refusal(&self, code: RefusalCode) -> Refusal {
        if self.may_have_run { Refusal::unknown(code) } else { Refusal::not_run(code) }
    }
}
