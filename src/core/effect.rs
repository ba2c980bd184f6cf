//! Effects: everything the reducer wants done.

use std::{fmt, net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use super::{DemandReport, KnownAnswer, ShareGrant, WorkId};
use crate::{
    config::EditVerdict,
    units::{ConfigVersion, Moment, PriorityLevel, RequestId, VmId},
    wire::{AgentReport, IdempotencyKey, RefusalReason},
};

/// Something to be done by the shell around the reducer.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Effect {
    /// Keep a connection to this peer.
    Connect {
        /// The peer.
        vm: VmId,
        /// Where it listens.
        address: SocketAddr,
    },
    /// Drop the connection to this peer.
    Disconnect(VmId),
    /// Ask a peer for its whole configuration.
    FetchConfig(VmId),
    /// A new configuration is in force in this process.
    ConfigInForce(ConfigVersion),
    /// An edit was judged.
    EditJudged(EditVerdict),
    /// Record in the audit trail what the process did by itself.
    Audit(AuditFact),
    /// Report demand to the home of these accounts.
    ReportDemand {
        /// The home.
        home: VmId,
        /// Where it listens.
        address: SocketAddr,
        /// The demand.
        reports: Vec<DemandReport>,
    },
    /// Answer the demand that an entry has just reported.
    AnswerDemand {
        /// The entry.
        to: VmId,
        /// Its shares.
        grants: Vec<ShareGrant>,
    },
    /// Send the request to this server.
    Attempt {
        /// The request.
        request_id: RequestId,
        /// The server.
        vm: VmId,
        /// Urgency of the account's plan.
        priority: PriorityLevel,
    },
    /// Tell the caller that its request is refused or lost.
    Refuse {
        /// The request.
        request_id: RequestId,
        /// Why.
        refusal: Refusal,
    },
    /// Hand the work to the backend server.
    StartWork(WorkId),
    /// Hand out the ticket that the work asked for.
    IssueTicket(WorkId),
    /// Answer the work with a refusal.
    RefuseWork {
        /// The work.
        work: WorkId,
        /// Why.
        reason: RefusalReason,
    },
    /// Point the work's entry to the server that holds the claim.
    PointToClaim {
        /// The work.
        work: WorkId,
        /// The server.
        vm: VmId,
    },
    /// Answer the work with what is known of an earlier run of its key.
    ReplayAnswer {
        /// The work.
        work: WorkId,
        /// What is known.
        answer: KnownAnswer,
    },
    /// Append claims on these keys to the log.
    AppendClaims(Vec<IdempotencyKey>),
    /// Tell all connected entries what this agent can take.
    Report(AgentReport),
    /// Send [`super::Event::TimerFired`] at this moment; replaces an earlier one.
    ArmTimer(Moment),
    /// The process may end: nothing is in progress.
    StopReady,
}

/// What a process did by itself, for the audit trail.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AuditFact {
    /// It takes new work no more, by the configuration.
    WentOut {
        /// Version that took it out.
        version: ConfigVersion,
    },
    /// It takes new work again.
    CameIn {
        /// Version that took it in.
        version: ConfigVersion,
    },
    /// Its backend server restarted or slowed down, and is given little until it is warm again.
    ServerCold,
    /// A peer holds another state of a version.
    ConfigDiverged {
        /// The peer.
        vm: VmId,
        /// The version.
        version: ConfigVersion,
    },
    /// It was asked to stop.
    Stopping,
}

impl fmt::Display for AuditFact {
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

/// Whether a request ran, as far as is known. The three are never confused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunOutcome {
    /// Provably never handed to a backend server.
    NotRun,
    /// Ran; the answer may be incomplete.
    Ran,
    /// It may have run.
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

/// What a caller is told in place of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Refusal {
    /// Stable code.
    pub code: RefusalCode,
    /// Whether it ran.
    pub outcome: RunOutcome,
    /// When it is worth asking again.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal of a request that provably did not run.
    ///
    /// ```
    /// use alderbay::core::{Refusal, RefusalCode, RunOutcome};
    /// assert_eq!(Refusal::not_run(RefusalCode::Overloaded).outcome, RunOutcome::NotRun);
    /// ```
    pub fn not_run(code: RefusalCode) -> Self {
        Self { code, outcome: RunOutcome::NotRun, retry_after: None }
    }

    /// A refusal of a request that may have run.
    ///
    /// ```
    /// use alderbay::core::{Refusal, RefusalCode, RunOutcome};
    /// assert_eq!(Refusal::unknown(RefusalCode::OutcomeUnknown).outcome, RunOutcome::Unknown);
    /// ```
    pub fn unknown(code: RefusalCode) -> Self {
        Self { code, outcome: RunOutcome::Unknown, retry_after: None }
    }

    /// The same refusal with a time after which to ask again.
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
        /// Stable codes of errors that callers see.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        #[derive(Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum RefusalCode {
            $(#[doc = $message] $(#[$doc])* $name,)*
        }

        impl RefusalCode {
            /// HTTP status of the answer.
            ///
            /// ```
            /// assert_eq!(alderbay::core::RefusalCode::Overloaded.status(), 503);
            /// ```
            pub fn status(self) -> u16 {
                match self {
                    $(Self::$name => $status,)*
                }
            }

            /// Message for people.
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
    ShuttingDown = "shutting_down", 503, "this entry takes no new work; ask another";
    NoConfiguration = "no_configuration", 503, "this entry has not learned the configuration yet";
    ClaimsUnavailable = "claims_unavailable", 503, "keys cannot be claimed now, so nothing was run";
    DeadlinePassed = "deadline_passed", 504, "the deadline passed before the request was run";
    OutcomeUnknown = "outcome_unknown", 502, "the backend server was lost; the request may have run";
    AnswerTooLarge = "answer_too_large", 502, "the backend server's answer is over the bound";
    AnswerBroken = "answer_broken", 502, "the backend server's answer broke off";
    DeadlineDuringRun = "deadline_during_run", 504, "the deadline passed while the request ran";
}
