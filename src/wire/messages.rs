//! Messages on QUIC streams between entries and agents.

use std::{collections::BTreeSet, fmt, time::Duration};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use uuid::Uuid;

use crate::{
    config::{ConfigSnapshot, ServiceState},
    units::{
        ClientAccount, ConcurrencyLimit, ConfigDigest, ConfigVersion, FailureDomain, IncarnationId,
        PriorityLevel, RequestId, ServiceName, VmId,
    },
};

/// Role of a process at either end of a QUIC connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerRole {
    /// Accepts callers' requests and forwards them to agents.
    Entry,
    /// Runs beside a backend server and passes requests on to it.
    Agent,
}

impl fmt::Display for PeerRole {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Entry => "entry",
            Self::Agent => "agent",
        })
    }
}

/// First message of each side on the control stream.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct PeerHello {
    /// Wire version of the sender.
    pub wire_version: u16,
    /// VM of the sender.
    pub vm: VmId,
    /// Role of the sender.
    pub role: PeerRole,
    /// Failure domain of the sender.
    pub failure_domain: FailureDomain,
    /// Incarnation of the sender: a random id for each start of its process.
    pub incarnation: IncarnationId,
    /// Models and services of the sender's backend server; empty for entries.
    pub services: BTreeSet<ServiceName>,
}

/// Message of either side on the control stream, after the [`PeerHello`].
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum ControlMessage {
    /// State of the sender's configuration.
    Config {
        /// Version of the configuration.
        version: ConfigVersion,
        /// Digest of the configuration.
        digest: ConfigDigest,
    },
    /// Request for the receiver's whole configuration, answered by [`ControlMessage::ConfigState`].
    ConfigWanted,
    /// Whole configuration of the sender.
    ConfigState(Box<ConfigSnapshot>),
    /// Capacity and load of the sender; from agents only.
    Report(AgentReport),
}

/// Current capacity and load of an agent and its backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AgentReport {
    /// Requests that the backend server may run at the same time now; it rises during warm-up.
    pub limit: ConcurrencyLimit,
    /// Requests in progress at the backend server.
    pub running: u32,
    /// Requests in the agent's queue.
    pub waiting: u32,
    /// Whether the agent accepts new work.
    pub state: ServiceState,
}

/// Name and value of an HTTP header.
pub type HeaderPair = (SmolStr, Bytes);

/// Idempotency key of a request that must not run twice, unique within its account.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct IdempotencyKey {
    /// Account of the caller.
    pub account: ClientAccount,
    /// A version 7 UUID from the caller, or the one of a [`RunTicket`].
    pub key: Uuid,
}

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.account, self.key)
    }
}

/// Permission to run one call at most once, issued by one incarnation of an agent.
///
/// The agent keeps issued tickets in memory, so a ticketed call needs no claim on the log; the
/// ticket is void once the agent restarts.
///
/// ```
/// use alderbay::{units::IncarnationId, wire::RunTicket};
/// let ticket = RunTicket::new("b-1".parse()?, IncarnationId(9), "dues".parse()?, uuid::Uuid::nil());
/// let text = ticket.to_string();
/// assert_eq!(RunTicket::parse(&text, "dues".parse()?), Some(ticket));
/// # Ok::<(), alderbay::units::IdError>(())
/// ```
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct RunTicket {
    /// VM of the agent that issued the ticket.
    pub vm: VmId,
    /// Incarnation of that agent.
    pub incarnation: IncarnationId,
    /// Key under which the agent records the call.
    pub key: IdempotencyKey,
}

/// Start of the text form of a ticket: `ticket/VM/INCARNATION/KEY`.
const TICKET_PREFIX: &str = "ticket/";

impl RunTicket {
    /// Creates a ticket of one incarnation of the agent on `vm`.
    pub fn new(vm: VmId, incarnation: IncarnationId, account: ClientAccount, key: Uuid) -> Self {
        Self { vm, incarnation, key: IdempotencyKey { account, key } }
    }

    /// Parses the text form of a ticket that `account` presents. The account is not part of the
    /// text. Returns `None` if the text is not a ticket.
    pub fn parse(text: &str, account: ClientAccount) -> Option<Self> {
        let mut parts = text.strip_prefix(TICKET_PREFIX)?.split('/');
        let vm = parts.next()?.parse().ok()?;
        let incarnation = parts.next()?.parse().ok()?;
        let key = Uuid::parse_str(parts.next()?).ok()?;
        let is_complete = parts.next().is_none();
        is_complete.then(|| Self::new(vm, incarnation, account, key))
    }
}

impl fmt::Display for RunTicket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{TICKET_PREFIX}{}/{}/{}", self.vm, self.incarnation, self.key.key)
    }
}

/// How often a request may be sent to a backend server, and what enforces it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum RunMode {
    /// Any number of times.
    Idempotent,
    /// At most once across all servers: an agent claims the key on the log first.
    Keyed(IdempotencyKey),
    /// At most once: only the agent incarnation that issued the ticket may run it.
    Ticketed(RunTicket),
    /// At most once: only one attempt may reach a backend server.
    Single,
}

impl RunMode {
    /// Returns the key under which an agent records the run, or `None` for modes without a key.
    ///
    /// ```
    /// assert_eq!(alderbay::wire::RunMode::Single.key(), None);
    /// ```
    pub fn key(&self) -> Option<&IdempotencyKey> {
        match self {
            Self::Idempotent | Self::Single => None,
            Self::Keyed(key) => Some(key),
            Self::Ticketed(ticket) => Some(&ticket.key),
        }
    }
}

/// Kind of work that a request asks for. A draft is a completion by a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum WorkKind {
    /// A draft whose response is one complete document.
    WholeDraft,
    /// A draft whose response is a stream of server-sent events that ends with `[DONE]`.
    StreamedDraft,
    /// A call of a service that is not a model.
    ServiceCall,
    /// A ticket for a later service call; nothing is run.
    TicketIssue,
}

/// First message on a request's stream: one attempt of an entry at an agent's backend server.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct WorkRequest {
    /// Id of the caller's request; the same for all of its attempts.
    pub request_id: RequestId,
    /// Account of the caller.
    pub account: ClientAccount,
    /// Model or service to run.
    pub service: ServiceName,
    /// Priority from the account's plan.
    pub priority: PriorityLevel,
    /// Time until the caller's deadline.
    pub time_left: Duration,
    /// How often the request may run.
    pub mode: RunMode,
    /// Kind of work.
    pub kind: WorkKind,
    /// Number of events of an interrupted stream that the caller has already received; 0 starts the
    /// stream from its beginning.
    pub resume_after: u64,
    /// HTTP method.
    pub method: SmolStr,
    /// HTTP path and query.
    pub path: SmolStr,
    /// HTTP headers for the backend server.
    pub headers: Vec<HeaderPair>,
    /// HTTP body.
    pub body: Bytes,
}

/// Why an agent refused a request. In every case nothing was sent to the backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The backend server is at its concurrency limit and the agent's queue is full.
    Busy,
    /// The agent, its VM or its failure domain accepts no new work.
    Leaving,
    /// The deadline passed in the agent's queue.
    DeadlinePassed,
    /// A request of higher priority took its place in the queue.
    Shed,
    /// The agent's backend server does not offer the model or service.
    WrongService,
    /// No connection to the backend server could be established.
    BackendUnreachable,
    /// Idempotency keys cannot be claimed on the log at the moment.
    ClaimsUnavailable,
    /// The backend server's engine cannot resume an interrupted stream.
    CannotResume,
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Busy => "busy",
            Self::Leaving => "leaving",
            Self::DeadlinePassed => "deadline_passed",
            Self::Shed => "shed",
            Self::WrongService => "wrong_service",
            Self::BackendUnreachable => "backend_unreachable",
            Self::ClaimsUnavailable => "claims_unavailable",
            Self::CannotResume => "cannot_resume",
        })
    }
}

/// Message of an agent in reply to a [`WorkRequest`].
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum WorkReply {
    /// Last message: the agent refused the request and nothing was run.
    Refused {
        /// Why the agent refused.
        reason: RefusalReason,
        /// Current capacity and load of the agent.
        report: AgentReport,
    },
    /// Last message: the agent on this VM holds the claim on the idempotency key.
    ClaimedBy(VmId),
    /// Last message: the request may have run. The process that claimed its key no longer knows the
    /// outcome, or the backend server was lost during a run that must not be repeated.
    OutcomeUnknown,
    /// Last message: the request with this key has run, but its response is no longer stored.
    AnswerGone,
    /// Head of the backend server's response.
    Head {
        /// Id of the request; the entry rejects a reply to another request.
        request_id: RequestId,
        /// HTTP status.
        status: u16,
        /// HTTP headers.
        headers: Vec<HeaderPair>,
    },
    /// Chunk of the response body. Chunks of a streamed draft hold complete events.
    Data {
        /// Number of events in the chunk that carry tokens; 0 for other kinds of work.
        events: u32,
        /// Content of the chunk.
        bytes: Bytes,
    },
    /// Last message: the response is complete.
    End {
        /// Current capacity and load of the agent.
        report: AgentReport,
    },
    /// Last message: the response is incomplete. The backend server received the request and may
    /// have run it.
    Broken,
}
