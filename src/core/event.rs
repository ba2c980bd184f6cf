//! Events: the inputs of the reducer.

use std::{fmt, time::Duration};

use serde::{Deserialize, Serialize};

use super::{ClaimRecord, DemandReport, ShareGrant, StoredAnswer, VmRecord};
use crate::{
    config::{ConfigSnapshot, KeyHash},
    platform::LogPage,
    units::{
        ClientAccount, ConfigDigest, ConfigVersion, LogOffset, Moment, PriorityLevel, RequestId,
        ServiceName, TokenCount, VmId,
    },
    wire::{AgentReport, PeerHello, RefusalReason, RunMode, RunTicket},
};

/// An event and when the process received it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct TimedEvent {
    /// Process time at which the event is applied.
    pub at: Moment,
    /// The event itself.
    pub event: Event,
}

/// Identifies one work item at an agent; unique within the agent's incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct WorkId(pub u64);

/// An input of the reducer.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Event {
    /// A page of the configuration stream was read.
    ConfigRead(LogPage),
    /// A peer sent its complete configuration.
    SnapshotReceived(Box<ConfigSnapshot>),
    /// The platform's VM list was read.
    VmListRead(Vec<VmRecord>),
    /// A connection to a peer was established.
    PeerConnected(PeerHello),
    /// The connection to a peer was lost.
    PeerLost(VmId),
    /// A peer announced the configuration that it applies.
    PeerConfig {
        /// VM of the peer.
        vm: VmId,
        /// Version of the peer's configuration.
        version: ConfigVersion,
        /// Checksum of the peer's configuration.
        digest: ConfigDigest,
    },
    /// An agent reported its limit, load and state.
    PeerReport {
        /// VM of the agent.
        vm: VmId,
        /// The new report.
        report: AgentReport,
    },
    /// A caller's request was read and needs routing.
    RequestArrived(RequestInfo),
    /// The demand interval elapsed: report demand to the home entries.
    DemandDue,
    /// Another entry reported its demand to this home entry.
    DemandReported {
        /// VM of the other entry.
        from: VmId,
        /// Demand by account.
        reports: Vec<DemandReport>,
    },
    /// A home entry granted shares to this entry.
    SharesGranted(Vec<ShareGrant>),
    /// An attempt at a backend server ended.
    AttemptEnded {
        /// Request of the attempt.
        request_id: RequestId,
        /// VM of the server's agent.
        vm: VmId,
        /// Result of the attempt.
        outcome: AttemptOutcome,
    },
    /// The caller got its response or disconnected.
    RequestEnded {
        /// Request that ended.
        request_id: RequestId,
        /// Tokens generated for the request, charged to the account.
        tokens: TokenCount,
    },
    /// An entry sent work to this agent.
    WorkArrived(WorkItem),
    /// An entry requested a ticket, which the agent created with a random key.
    #[serde(rename = "TicketAsked")]
    TicketRequested {
        /// Work that carries the request.
        work: WorkId,
        /// Ticket to issue.
        ticket: RunTicket,
    },
    /// The entry cancelled the work or its connection was lost.
    WorkAbandoned(WorkId),
    /// The backend server generated more tokens for the work.
    WorkProgressed {
        /// Work that progressed.
        work: WorkId,
        /// Tokens since the previous such event.
        tokens: TokenCount,
        /// Time since the previous such event, or since the work was sent to the server.
        elapsed: Duration,
    },
    /// The backend server finished the work, or the work failed there.
    WorkEnded {
        /// Work that ended.
        work: WorkId,
        /// Result of the run.
        outcome: WorkOutcome,
    },
    /// A record of the claim stream was read.
    ClaimRead {
        /// Position in the claim stream.
        offset: LogOffset,
        /// The record at that position.
        record: ClaimRecord,
    },
    /// The claim stream was read to its end for the first time in this incarnation.
    ClaimsReplayed,
    /// Appending claims on these keys to the log timed out.
    ClaimsFailed(Vec<crate::wire::IdempotencyKey>),
    /// The process was told to stop.
    #[serde(rename = "StopAsked")]
    StopRequested,
    /// The timer of the last [`super::Effect::ArmTimer`] fired.
    TimerFired,
}

/// Metadata of a caller's request; the body stays outside the reducer.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RequestInfo {
    /// Identifies the request; unique among the entry's requests in progress.
    pub request_id: RequestId,
    /// Account named in the credentials, not yet authenticated.
    pub account: ClientAccount,
    /// Hash of the secret in the credentials.
    pub key_hash: KeyHash,
    /// Requested model or service.
    pub service: ServiceName,
    /// When the caller stops waiting.
    pub deadline: Moment,
    /// How often the request may run.
    pub mode: RunMode,
}

/// How an attempt at a backend server ended, as the entry sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum AttemptOutcome {
    /// The agent refused the work; it did not run.
    Refused(RefusalReason),
    /// The work was not sent to the agent and did not run.
    NeverSent,
    /// Another server holds the claim on the key.
    ClaimedBy(VmId),
    /// The claim holder does not know whether the key ran.
    ClaimLost,
    /// The key ran earlier, but its response is no longer stored.
    AnswerGone,
    /// The agent or its backend server was lost before the response began; the work may have run.
    LostUnanswered,
    /// The response ended early, after part of it was relayed to the caller.
    LostMidAnswer,
    /// The complete response was relayed to the caller.
    Answered,
}

impl fmt::Display for AttemptOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(reason) => write!(f, "refused, not run: {reason}"),
            Self::NeverSent => f.write_str("not sent: no connection"),
            Self::ClaimedBy(vm) => write!(f, "the key is claimed by {vm}"),
            Self::ClaimLost => f.write_str("the key's claim is of a server that restarted"),
            Self::AnswerGone => f.write_str("ran earlier; the answer is no longer kept"),
            Self::LostUnanswered => f.write_str("lost before the answer"),
            Self::LostMidAnswer => f.write_str("the answer broke off"),
            Self::Answered => f.write_str("answered"),
        }
    }
}

/// One unit of work that an entry sent to an agent; the body stays outside the reducer.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct WorkItem {
    /// Identifies the work at this agent.
    pub work: WorkId,
    /// Account of the request.
    pub account: ClientAccount,
    /// Requested model or service.
    pub service: ServiceName,
    /// Priority from the account's plan.
    pub priority: PriorityLevel,
    /// When the caller stops waiting.
    pub deadline: Moment,
    /// How often the work may run.
    pub mode: RunMode,
}

/// How work ended at the backend server, as its agent sees it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum WorkOutcome {
    /// No connection to the backend server could be made; the work did not run.
    NotHandedOver,
    /// The response was complete. `Some` holds it for retries of the same key; `None` means that it
    /// is not stored, since it was too large or was streamed.
    Finished(Option<StoredAnswer>),
    /// The response ended early after the work was sent to the server; the work may have run.
    Broken,
    /// The entry cancelled the work after it was sent to the server; the work may have run.
    Cancelled,
}
