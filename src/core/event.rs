//! Events: everything a process learns.

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

/// An event with the moment at which the process learned of it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct TimedEvent {
    /// When.
    pub at: Moment,
    /// What.
    pub event: Event,
}

/// Number of one piece of work at an agent, unique in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct WorkId(pub u64);

/// Something that happened.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Event {
    /// A page of the configuration stream was read.
    ConfigRead(LogPage),
    /// A peer sent its whole configuration.
    SnapshotReceived(Box<ConfigSnapshot>),
    /// The VM list was read.
    VmListRead(Vec<VmRecord>),
    /// A connection to a peer stands.
    PeerConnected(PeerHello),
    /// The connection to a peer is gone.
    PeerLost(VmId),
    /// A peer said which configuration it has.
    PeerConfig {
        /// The peer.
        vm: VmId,
        /// Its version.
        version: ConfigVersion,
        /// Its digest.
        digest: ConfigDigest,
    },
    /// An agent said what it can take.
    PeerReport {
        /// The agent.
        vm: VmId,
        /// Its report.
        report: AgentReport,
    },
    /// A caller's request was read and is to be routed.
    RequestArrived(RequestFacts),
    /// An interval of demand is over.
    DemandDue,
    /// Another entry reported its demand to this home.
    DemandReported {
        /// The entry.
        from: VmId,
        /// Its demand by account.
        reports: Vec<DemandReport>,
    },
    /// A home granted shares to this entry.
    SharesGranted(Vec<ShareGrant>),
    /// An attempt at a backend server ended.
    AttemptEnded {
        /// The request.
        request_id: RequestId,
        /// At which server.
        vm: VmId,
        /// How.
        outcome: AttemptOutcome,
    },
    /// The caller has its answer or is gone.
    RequestEnded {
        /// The request.
        request_id: RequestId,
        /// Tokens generated for it.
        tokens: TokenCount,
    },
    /// An entry sent work to this agent.
    WorkArrived(WorkFacts),
    /// An entry asked for a ticket, to be issued under this random key.
    TicketAsked {
        /// The work that asks.
        work: WorkId,
        /// The ticket.
        ticket: RunTicket,
    },
    /// The entry gave up on the work.
    WorkAbandoned(WorkId),
    /// The backend server generated more tokens for the work.
    WorkProgressed {
        /// The work.
        work: WorkId,
        /// Tokens since the last such event.
        tokens: TokenCount,
        /// Time since the last such event or since the hand-over.
        elapsed: Duration,
    },
    /// The backend server is done with the work.
    WorkEnded {
        /// The work.
        work: WorkId,
        /// How.
        outcome: WorkOutcome,
    },
    /// The claim stream holds this record at this offset.
    ClaimRead {
        /// Position in the stream.
        offset: LogOffset,
        /// The record.
        record: ClaimRecord,
    },
    /// The claim stream was read up to its end for the first time in this life.
    ClaimsReplayed,
    /// The log did not take the claims within the time allowed.
    ClaimsFailed(Vec<crate::wire::IdempotencyKey>),
    /// A stop was asked for.
    StopAsked,
    /// The moment that the last [`super::Effect::ArmTimer`] named has come.
    TimerFired,
}

/// What the reducer needs to know of a caller's request.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RequestFacts {
    /// Its id.
    pub request_id: RequestId,
    /// The account it names.
    pub account: ClientAccount,
    /// Hash of the secret it shows.
    pub key_hash: KeyHash,
    /// The model or service it asks for.
    pub service: ServiceName,
    /// When the caller stops waiting.
    pub deadline: Moment,
    /// How often it may run.
    pub mode: RunMode,
}

/// How an attempt at a backend server ended, as the entry sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum AttemptOutcome {
    /// The agent refused; nothing ran.
    Refused(RefusalReason),
    /// The order never left this process; nothing ran.
    NeverSent,
    /// Another server holds the claim.
    ClaimedBy(VmId),
    /// The holder of the claim cannot say whether it ran.
    ClaimLost,
    /// It ran earlier, and its answer is no longer kept.
    AnswerGone,
    /// The agent or its backend server was lost before the answer began; it may have run.
    LostUnanswered,
    /// The answer broke off after a part was relayed to the caller.
    LostMidAnswer,
    /// The answer was whole.
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

/// What the reducer needs to know of work at an agent.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct WorkFacts {
    /// Its number.
    pub work: WorkId,
    /// Under which account.
    pub account: ClientAccount,
    /// The model or service.
    pub service: ServiceName,
    /// Urgency.
    pub priority: PriorityLevel,
    /// When the caller stops waiting.
    pub deadline: Moment,
    /// How often it may run.
    pub mode: RunMode,
}

/// How work ended at the backend server, as its agent sees it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum WorkOutcome {
    /// No connection could be made; nothing ran.
    NotHandedOver,
    /// The answer was whole; kept for callers that ask again, where it is small enough.
    Finished(Option<StoredAnswer>),
    /// The answer broke off after the hand-over; it may have run.
    Broken,
    /// The entry gave up after the hand-over.
    Cancelled,
}
