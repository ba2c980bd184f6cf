//! Effects: the actions that the reducer requests.

use std::{fmt, net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use super::{DemandReport, PriorResult, ShareGrant, WorkId};
use crate::{
    config::EditVerdict,
    units::{ConfigVersion, Moment, PriorityLevel, RequestId, VmId},
    wire::{AgentReport, IdempotencyKey, RefusalReason},
};

/// An action for the process around the reducer to execute.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Effect {
    /// Connect to this agent and reconnect until [`Effect::Disconnect`].
    Connect {
        /// VM of the agent.
        vm: VmId,
        /// Address at which the agent accepts peers.
        address: SocketAddr,
    },
    /// Close the connection to this agent.
    Disconnect(VmId),
    /// Fetch the complete configuration from a peer that has a newer version.
    FetchConfig(VmId),
    /// This process now applies this version of the configuration.
    ConfigInForce(ConfigVersion),
    /// An edit of the configuration was accepted or rejected.
    #[serde(rename = "EditJudged")]
    EditDecided(EditVerdict),
    /// Record an event in the audit trail.
    Audit(AuditEvent),
    /// Report demand to the home entry of these accounts, which replies with shares.
    ReportDemand {
        /// VM of the home entry.
        home: VmId,
        /// Address at which the home entry accepts peers.
        address: SocketAddr,
        /// Demand by account.
        reports: Vec<DemandReport>,
    },
    /// Reply to the demand report that another entry has just sent.
    AnswerDemand {
        /// VM of that entry.
        to: VmId,
        /// The shares granted to it.
        grants: Vec<ShareGrant>,
    },
    /// Send the request to this backend server.
    Attempt {
        /// Request to send.
        request_id: RequestId,
        /// VM of the server's agent.
        vm: VmId,
        /// Priority from the account's plan.
        priority: PriorityLevel,
    },
    /// Send the caller an error response.
    Refuse {
        /// Request that failed.
        request_id: RequestId,
        /// Error to send.
        refusal: Refusal,
    },
    /// Send the work to the backend server.
    StartWork(WorkId),
    /// Reply to a ticket request with its ticket, which is now registered.
    IssueTicket(WorkId),
    /// Refuse the work; it did not run.
    RefuseWork {
        /// Work to refuse.
        work: WorkId,
        /// Reason sent to the entry.
        reason: RefusalReason,
    },
    /// Redirect the work's entry to the server that holds the claim on the key.
    PointToClaim {
        /// Work to redirect.
        work: WorkId,
        /// VM of the claim holder.
        vm: VmId,
    },
    /// Reply to the work with the result of an earlier run of its key.
    ReplayAnswer {
        /// Work to reply to.
        work: WorkId,
        /// Result of the earlier run.
        answer: PriorResult,
    },
    /// Append claims on these keys to the claim stream.
    AppendClaims(Vec<IdempotencyKey>),
    /// Send this agent's limit, load and state to all connected entries.
    Report(AgentReport),
    /// Send [`super::Event::TimerFired`] at this moment. Replaces the timer armed before.
    ArmTimer(Moment),
    /// The process was told to stop and may exit: nothing is in progress.
    StopReady,
}

/// A state change that a process records in the audit trail.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AuditEvent {
    /// The configuration took the process out of service.
    WentOut {
        /// Configuration version of the change.
        version: ConfigVersion,
    },
    /// The configuration put the process back in service.
    CameIn {
        /// Configuration version of the change.
        version: ConfigVersion,
    },
    /// The backend server restarted or became much slower. Its concurrency limit stays low until it
    /// is warm again.
    ServerCold,
    /// A peer has the same configuration version with a different digest.
    ConfigDiverged {
        /// VM of the peer.
        vm: VmId,
        /// Version on which the two processes differ.
        version: ConfigVersion,
    },
    /// The process was told to stop.
    Stopping,
}

impl fmt::Display for AuditEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::WentOut { version } => write!(f, "takes no new work since version {version}"),
            Self::CameIn { version } => write!(f, "takes new work since version {version}"),
            Self::ServerCold => f.write_str("its backend server is cold again"),
            Self::ConfigDiverged { vm, version } => {
                write!(f, "{vm} holds another state of version {version}")
            }
            Self::Stopping => f.write_str("was asked to stop"),
        }
    }
}

/// Whether a request ran. An uncertain outcome is always reported as [`RunOutcome::Unknown`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunOutcome {
    /// The request provably never reached a backend server.
    NotRun,
    /// The request ran; its response may be incomplete.
    Ran,
    /// The request may have run.
    Unknown,
}

impl fmt::Display for RunOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotRun => "not_run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        })
    }
}

/// An error that a caller gets instead of the response of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Refusal {
    /// Stable error code, which also selects HTTP status and message.
    pub code: RefusalCode,
    /// Whether the request ran.
    pub outcome: RunOutcome,
    /// Delay before a retry may succeed; `None` where no delay is suggested.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal of a request that provably did not run.
    ///
    /// ```
    /// use alderbay::core::{Refusal, RefusalCode, RunOutcome};
    /// assert_eq!(Refusal::not_run(RefusalCode::Overloaded).outcome, RunOutcome::NotRun);
    /// ```
    pub fn not_run(code: RefusalCode) -> Self {
        Self { code, outcome: RunOutcome::NotRun, retry_after: None }
    }

    /// Creates a refusal of a request that may have run.
    ///
    /// ```
    /// use alderbay::core::{Refusal, RefusalCode, RunOutcome};
    /// assert_eq!(Refusal::unknown(RefusalCode::OutcomeUnknown).outcome, RunOutcome::Unknown);
    /// ```
    pub fn unknown(code: RefusalCode) -> Self {
        Self { code, outcome: RunOutcome::Unknown, retry_after: None }
    }

    /// Sets the delay after which the caller may retry.
    ///
    /// ```
    /// use std::time::Duration;
    /// use alderbay::core::{Refusal, RefusalCode};
    /// let refusal = Refusal::not_run(RefusalCode::Overloaded).retry_after(Duration::from_secs(1));
    /// assert_eq!(refusal.retry_after, Some(Duration::from_secs(1)));
    /// ```
    pub fn retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }
}

macro_rules! refusal_codes {
    ($($(#[$doc:meta])* $name:ident = $text:literal, $status:literal, $message:literal;)*) => {
        /// Stable error codes for callers.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        #[derive(Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum RefusalCode {
            $(#[doc = $message] $(#[$doc])* $name,)*
        }

        impl RefusalCode {
            /// Returns the HTTP status code of the error response.
            ///
            /// ```
            /// assert_eq!(alderbay::core::RefusalCode::Overloaded.status(), 503);
            /// ```
            pub fn status(self) -> u16 {
                match self {
                    $(Self::$name => $status,)*
                }
            }

            /// Returns the human-readable message of the error response.
            ///
            /// ```
            /// assert!(!alderbay::core::RefusalCode::Overloaded.message().is_empty());
            /// ```
            pub fn message(self) -> &'static str {
                match self {
                    $(Self::$name => $message,)*
                }
            }
        }

        impl fmt::Display for RefusalCode {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(match self {
                    $(Self::$name => $text,)*
                })
            }
        }
    };
}

refusal_codes! {
    MissingKey = "missing_key", 401, "no account key is shown; send 'Authorization: Bearer ACCOUNT.SECRET'";
    UnknownAccount = "unknown_account", 401, "no such account, or the secret does not fit it";
    NotInPlan = "not_in_plan", 403, "the account's plan does not include this model or service";
    UnknownService = "unknown_service", 404, "no plan names this model or service";
    UnknownPath = "unknown_path", 404, "there is nothing at this path";
    BadMethod = "bad_method", 405, "the path does not take this method";
    BadBody = "bad_body", 400, "the body is not a JSON object with a text field 'model' (drafts) or 'service' (tickets)";
    BadDeadline = "bad_deadline", 400, "the deadline header is not a whole number of milliseconds above zero";
    BadRequestId = "bad_request_id", 400, "the request id is not an identifier";
    RepeatedRequestId = "repeated_request_id", 409, "a request of this id is in progress at this entry";
    BadIdempotencyKey = "bad_idempotency_key", 400, "the idempotency key is neither a version 7 UUID nor a ticket";
    ExpiredIdempotencyKey = "expired_idempotency_key", 409, "the idempotency key is too old to say whether it ran";
    BodyTooLarge = "body_too_large", 413, "the body is over the bound";
    BodyTimeout = "body_timeout", 408, "the body did not arrive in time";
    RateLimited = "rate_limited", 429, "the account is over its plan's requests or tokens a second";
    ConcurrencyLimited = "concurrency_limited", 429, "the account is over its plan's requests in progress";
    NoServer = "no_server", 503, "no backend server of this model or service can be reached";
    Overloaded = "overloaded", 503, "all backend servers of this model or service are busy";
    OutOfMemory = "out_of_memory", 503, "this process holds all the memory that it may; the request was not run";
    OtherWeights = "other_weights", 421, "no backend server has the weights that the request expects; it was not run";
    ShuttingDown = "shutting_down", 503, "this process takes no request that it may not complete; ask another";
    NoConfiguration = "no_configuration", 503, "this entry has not learned the configuration yet";
    ClaimsUnavailable = "claims_unavailable", 503, "keys cannot be claimed now, so nothing was run";
    DeadlinePassed = "deadline_passed", 504, "the deadline passed before the request was run";
    OutcomeUnknown = "outcome_unknown", 502, "the backend server was lost; the request may have run";
    ServerEnded = "server_ended", 502, "the backend server ended as it began to answer the request";
    HarmfulPrompt = "harmful_prompt", 500, "backend servers end when they answer prompts with a part of this one";
    /// Backend servers have ended as they ran this request, by its target, account and body.
    HarmfulRequest = "harmful_request", 500, "backend servers end when they run this request";
    /// Many servers have ended at once as they ran requests like this one.
    InputOnTrial = "input_on_trial", 503, "many backend servers ended at once as they ran requests like this one, which is being tried out";
    AnswerTooLarge = "answer_too_large", 502, "the backend server's answer is over the bound";
    AnswerBroken = "answer_broken", 502, "the backend server's answer broke off";
    DeadlineDuringRun = "deadline_during_run", 504, "the deadline passed while the request ran";
}
