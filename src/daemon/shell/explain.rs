//! The course of the latest requests, kept for operators.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::{
    core::{AttemptOutcome, Refusal},
    units::{ClientAccount, Moment, RequestId, ServiceName, VmId},
};

/// Requests that are remembered.
const MAX_REMEMBERED: usize = 1_000;

/// The course of one request.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ExplainedRequest {
    /// The request.
    pub request_id: RequestId,
    /// Under which account.
    pub account: ClientAccount,
    /// The model or service.
    pub service: ServiceName,
    /// When it came, since the entry started.
    pub at: Moment,
    /// The servers it was sent to.
    pub attempts: Vec<AttemptNote>,
    /// What the caller was told in place of an answer.
    pub refusal: Option<Refusal>,
}

/// One attempt.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct AttemptNote {
    /// The server.
    pub vm: VmId,
    /// When it was sent, since the entry started.
    pub at: Moment,
    /// How it ended; none while it lasts.
    pub outcome: Option<AttemptOutcome>,
}

/// The latest requests, oldest first.
#[derive(Debug, Default)]
pub(super) struct RequestHistory {
    requests: VecDeque<ExplainedRequest>,
}

impl RequestHistory {
    pub(super) fn push(&mut self, request: ExplainedRequest) {
        self.requests.push_back(request);
        if self.requests.len() > MAX_REMEMBERED {
            self.requests.pop_front();
        }
    }

    pub(super) fn find(&mut self, request_id: &RequestId) -> Option<&mut ExplainedRequest> {
        self.requests.iter_mut().rev().find(|it| it.request_id == *request_id)
    }
}
