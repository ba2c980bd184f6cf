//! Traces of the latest requests at an entry, kept in memory for `alderbayctl explain`.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::{
    core::{AttemptOutcome, Refusal},
    units::{ClientAccount, Moment, RequestId, ServiceName, VmId},
};

/// Maximum number of traces kept.
const MAX_TRACES: usize = 1_000;

/// What happened to one request.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RequestTrace {
    /// Id of the request.
    pub request_id: RequestId,
    /// Account of the caller.
    pub account: ClientAccount,
    /// Model or service that was called.
    pub service: ServiceName,
    /// Arrival, measured from the start of the entry.
    pub at: Moment,
    /// Attempts, in order.
    pub attempts: Vec<AttemptRecord>,
    /// The refusal sent to the caller, if there was one.
    pub refusal: Option<Refusal>,
}

/// One attempt at a backend server's agent.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct AttemptRecord {
    /// VM of the agent.
    pub vm: VmId,
    /// Start of the attempt, measured from the start of the entry.
    pub at: Moment,
    /// Outcome, or `None` while the attempt is in progress.
    pub outcome: Option<AttemptOutcome>,
}

/// Ring buffer of the latest traces, oldest first.
#[derive(Debug, Default)]
pub(super) struct TraceBuffer {
    traces: VecDeque<RequestTrace>,
}

impl TraceBuffer {
    pub(super) fn push(&mut self, trace: RequestTrace) {
        self.traces.push_back(trace);
        if self.traces.len() > MAX_TRACES {
            self.traces.pop_front();
        }
    }

    pub(super) fn find(&mut self, request_id: &RequestId) -> Option<&mut RequestTrace> {
        self.traces.iter_mut().rev().find(|it| it.request_id == *request_id)
    }
}
