//! The messages themselves.

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

/// The role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerRole {
    /// In front of callers.
    Entry,
    /// Beside a backend server.
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

/// First message of both sides on a connection.
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
    /// This life of the sender.
    pub incarnation: IncarnationId,
    /// What the sender's backend server serves; empty for entries.
    pub services: BTreeSet<ServiceName>,
}

/// Later messages of both sides on a control stream.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum ControlMessage {
    /// Which configuration the sender has.
    Config {
        /// Its version.
        version: ConfigVersion,
        /// Its digest.
        digest: ConfigDigest,
    },
    /// Asks for the sender's whole configuration.
    ConfigWanted,
    /// The whole configuration of the sender.
    ConfigState(Box<ConfigSnapshot>),
    /// What the agent can take; agents only.
    Report(AgentReport),
}

/// What an agent can take now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AgentReport {
    /// Requests the backend server can bear at once now.
    pub limit: ConcurrencyLimit,
    /// Requests in progress at the backend server.
    pub running: u32,
    /// Requests waiting at the agent.
    pub waiting: u32,
    /// Whether the agent takes new work.
    pub state: ServiceState,
}

/// A header by name and value.
pub type HeaderPair = (SmolStr, Bytes);

/// The caller's key of a non-idempotent request: a version 7 UUID, unique for each account.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct IdempotencyKey {
    /// The account that made the key.
    pub account: ClientAccount,
    /// The key.
    pub key: Uuid,
}

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.account, self.key)
    }
}

/// The right to run one call, issued by an agent that remembers it in this life. It needs no log.
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
    /// The agent's VM.
    pub vm: VmId,
    /// The agent's life.
    pub incarnation: IncarnationId,
    /// What the agent remembers the call by.
    pub key: IdempotencyKey,
}

/// What a ticket's text begins with.
const TICKET_PREFIX: &str = "ticket/";

impl RunTicket {
    /// A ticket of one life of the agent on `vm`.
    pub fn new(vm: VmId, incarnation: IncarnationId, account: ClientAccount, key: Uuid) -> Self {
        Self { vm, incarnation, key: IdempotencyKey { account, key } }
    }

    /// Reads a ticket that `account` shows; none where the text is no ticket.
    pub fn parse(text: &str, account: ClientAccount) -> Option<Self> {
        let mut parts = text.strip_prefix(TICKET_PREFIX)?.split('/');
        let vm = parts.next()?.parse().ok()?;
        let incarnation = parts.next()?.parse().ok()?;
        let key = Uuid::parse_str(parts.next()?).ok()?;
        let is_whole = parts.next().is_none();
        is_whole.then(|| Self::new(vm, incarnation, account, key))
    }
}

impl fmt::Display for RunTicket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{TICKET_PREFIX}{}/{}/{}", self.vm, self.incarnation, self.key.key)
    }
}

/// How often a request may be handed to a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum RunMode {
    /// Any number of times.
    Idempotent,
    /// Once over all servers, by a claim on the log.
    Keyed(IdempotencyKey),
    /// Once, by a ticket that one life of one agent issued and alone may run.
    Ticketed(RunTicket),
    /// Once, by being handed over by one attempt only.
    Single,
}

impl RunMode {
    /// The key under which an agent remembers the run, where there is one.
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

/// What is to be run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum WorkKind {
    /// A draft whose answer is one whole document.
    WholeDraft,
    /// A draft whose answer is a stream of server-sent events that ends with `[DONE]`.
    StreamedDraft,
    /// A call of a plain service.
    ServiceCall,
    /// A ticket for a later call of a plain service; nothing is run.
    TicketIssue,
}

/// One request on its way to a backend server.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct WorkRequest {
    /// The caller's request.
    pub request_id: RequestId,
    /// Under which account.
    pub account: ClientAccount,
    /// The model or service.
    pub service: ServiceName,
    /// Urgency by the account's plan.
    pub priority: PriorityLevel,
    /// Time left until the caller's deadline.
    pub time_left: Duration,
    /// How often it may run.
    pub mode: RunMode,
    /// What is to be run.
    pub kind: WorkKind,
    /// Events of an interrupted stream that the caller already has.
    pub resume_after: u64,
    /// HTTP method.
    pub method: SmolStr,
    /// Path and query.
    pub path: SmolStr,
    /// Headers for the backend server.
    pub headers: Vec<HeaderPair>,
    /// Body.
    pub body: Bytes,
}

/// Why work was not run. Each of these means that nothing was handed to the backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The server and its queue are full.
    Busy,
    /// The server, its failure domain or its VM takes no new work.
    Leaving,
    /// The deadline passed while waiting.
    DeadlinePassed,
    /// Work of a more urgent plan took the place.
    Shed,
    /// The agent's server does not serve this.
    WrongService,
    /// No connection to the backend server could be made.
    BackendUnreachable,
    /// Keys cannot be claimed on the log now.
    ClaimsUnavailable,
    /// The server's engine cannot go on with an interrupted stream.
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

/// One message of the answer to a [`WorkRequest`].
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum WorkReply {
    /// Nothing was run.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// What the agent can take now.
        report: AgentReport,
    },
    /// Another server holds the claim on the key.
    ClaimedBy(VmId),
    /// The key was claimed by a process that can no longer say whether it ran.
    OutcomeUnknown,
    /// The key ran, and its answer is no longer kept.
    AnswerGone,
    /// Head of the backend server's answer.
    Head {
        /// Echo of the request's id; a reply to another request is refused.
        request_id: RequestId,
        /// HTTP status.
        status: u16,
        /// Headers of the answer.
        headers: Vec<HeaderPair>,
    },
    /// A part of the body. Parts of a streamed draft hold whole events.
    Data {
        /// Events that carry tokens in this part; zero for other kinds of work.
        events: u32,
        /// The bytes.
        bytes: Bytes,
    },
    /// The answer is whole.
    End {
        /// What the agent can take now.
        report: AgentReport,
    },
    /// The backend server's answer broke off after the request was handed over.
    Broken,
}
