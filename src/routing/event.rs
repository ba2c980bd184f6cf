//! Events and effects of the gateway's reducer.

use std::{collections::BTreeSet, fmt, net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::{
    AnswerProgress, AttemptResult, BlockedInput, CrashReport, DemandNews, GatewayCount,
    GatewayLocation, LimitReport, LimitSource, LoadDetail, LoadReport, RouteCatalog, RouteKind,
    ServerRecord, SuspectInput,
};
use crate::{
    core::Refusal,
    units::{
        ClientAccount, ContentHash, FailureDomain, InputDigest, Moment, RequestId, RequestRate,
        RouteName, ServerId, ServiceName, TokenCount, UrgencyRank, WeightVersion,
    },
};

/// Number of a caller's request, unique while the gateway process runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct RequestNumber(pub u64);

/// Source from which a gateway read a catalog.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CatalogSource {
    /// The platform's store.
    Store,
    /// Another gateway, while the store cannot be read.
    Peer,
}

impl fmt::Display for CatalogSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Store => "store",
            Self::Peer => "peer",
        })
    }
}

/// Size of a request to a model, as its caller states it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RequestSize {
    /// Tokens of the prompt.
    pub prompt: TokenCount,
    /// Expected tokens of the response.
    pub output: TokenCount,
}

/// The parts of a caller's request that routing depends on.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RoutingRequest {
    /// Number of the request at this gateway.
    pub number: RequestNumber,
    /// Request id, from the caller or generated.
    pub request_id: RequestId,
    /// Requested host, lower case and without port; empty if none is given.
    pub host: SmolStr,
    /// Path of the URI, without the query.
    pub path: SmolStr,
    /// API key; `None` if the request has none.
    pub api_key: Option<SmolStr>,
    /// Remaining time that the caller waits for a response; `None` if it states none.
    #[serde(rename = "patience")]
    pub caller_timeout: Option<Duration>,
    /// Time since the request arrived at this gateway.
    pub waited: Duration,
    /// Whether the request resumes a stream of which the caller has received the beginning.
    pub resumes: bool,
    /// Ids of the parts of the prompt that other requests may share, in order.
    #[serde(default)]
    pub shared_parts: Vec<SmolStr>,
    /// Hash of the target and the body.
    #[serde(default)]
    pub content: ContentHash,
    /// Size in tokens; `None` if the caller states none.
    #[serde(default)]
    pub size: Option<RequestSize>,
    /// Version of the weights that the server must have; `None` for any.
    #[serde(default)]
    pub weight_version: Option<WeightVersion>,
}

/// What a response says about the number of requests that its server takes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LimitNotice {
    /// The server takes what it can bear.
    #[default]
    Absent,
    /// The server takes this many requests from all gateways together.
    Named(RequestRate),
    /// The server names a limit that cannot be read.
    Unreadable,
}

impl fmt::Display for LimitNotice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Absent => f.write_str("none"),
            Self::Named(rate) => rate.fmt(f),
            Self::Unreadable => f.write_str("unreadable"),
        }
    }
}

/// What a server says about itself with a response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ServerNotice {
    /// Whether the server is about to shut down.
    pub is_leaving: bool,
    /// Time for which the server wants no requests from this gateway; `None` if it takes them.
    pub rest: Option<Duration>,
    /// Limit on the requests that the server takes.
    #[serde(default)]
    pub limit: LimitNotice,
}

/// An input of the reducer.
#[derive(Clone, Debug, PartialEq)]
pub enum RoutingEvent {
    /// A catalog was read.
    CatalogRead {
        /// Source of the catalog.
        source: CatalogSource,
        /// The catalog that was read, whether newer than the current one or not.
        catalog: Box<RouteCatalog>,
    },
    /// The full set of evacuated failure domains was read.
    EvacuationsRead(BTreeSet<FailureDomain>),
    /// The full directory of backend servers was read.
    DirectoryRead(Vec<ServerRecord>),
    /// A read of the platform's store failed.
    StoreUnavailable {
        /// Time at which the known directory was read from the store, by whichever gateway; `None` if that
        /// is not known.
        read_at: Option<Moment>,
    },
    /// The platform's store can be read again.
    StoreRecovered,
    /// The platform's store came back from an older copy of itself; the directory read from it
    /// follows.
    StoreRewound,
    /// An agent reported the load of its server.
    LoadReported {
        /// Address of the server.
        address: SocketAddr,
        /// Load and state of the server.
        report: LoadReport,
        /// Number of gateways subscribed to the agent.
        gateway_count: u32,
        /// What else the agent knows of its server; `None` from agents of earlier releases.
        detail: Option<LoadDetail>,
    },
    /// An agent sent what accounts ask of the gateways that subscribe to it.
    DemandReported {
        /// Address of the agent's server.
        address: SocketAddr,
        /// Sums over those gateways.
        news: DemandNews,
        /// Number of those gateways.
        subscribers: u32,
    },
    /// A caller's request was received completely.
    RequestArrived(RoutingRequest),
    /// The delay of a [`RoutingEffect::Wait`] has passed.
    WaitEnded(RoutingRequest),
    /// An attempt ended.
    AttemptEnded {
        /// Request that the attempt belongs to.
        number: RequestNumber,
        /// Result of the attempt.
        result: AttemptResult,
        /// How far the server's response came.
        progress: AnswerProgress,
    },
    /// The server of an attempt that ended as [`AttemptResult::Stalled`] has gone on before any other.
    AttemptRevived {
        /// Request that the attempt belongs to.
        number: RequestNumber,
        /// Number of the attempt.
        attempt: u32,
    },
    /// An attempt that ended as [`AttemptResult::Stalled`], and whose call was still open, has failed.
    SilentAttemptEnded {
        /// Request that the attempt belongs to.
        number: RequestNumber,
        /// Number of the attempt.
        attempt: u32,
        /// How it failed.
        result: AttemptResult,
        /// How far the response came.
        progress: AnswerProgress,
    },
    /// The server of a request's attempt said something about itself.
    ServerNoticed {
        /// Request that the attempt belongs to.
        number: RequestNumber,
        /// Number of the attempt, which may have been set aside.
        attempt: u32,
        /// What the server said.
        notice: ServerNotice,
    },
    /// The first event of the stream of an attempt has arrived.
    AnswerBegan(RequestNumber),
    /// The stream of a request has reached [`SETTLED_EVENTS`](super::SETTLED_EVENTS) events.
    AnswerSettled(RequestNumber),
    /// Another gateway sent its records of servers that ended.
    QuarantineRead(Vec<CrashReport>),
    /// Another gateway sent what it heard of servers' limits.
    LimitsRead(Vec<LimitReport>),
    /// The gateways that were seen lately, this one included.
    GatewaysSeen(Vec<GatewayLocation>),
    /// An operator ordered that a part of prompts, or a whole request, is no longer blocked.
    InputLifted(InputDigest),
    /// A server whose attempt was lost was tried for a connection.
    ServerProbed {
        /// The server.
        server: ServerId,
        /// Whether its address refuses connections, so that the server has ended.
        has_ended: bool,
    },
    /// The caller got its response or has disconnected.
    RequestEnded(RequestNumber),
    /// The process was asked to stop.
    StopRequested(StopSchedule),
}

/// Times of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StopSchedule {
    /// From this time on, callers' new connections go to other gateways.
    pub callers_moved_at: Moment,
    /// The process ends at this time at the latest.
    pub ends_at: Moment,
}

/// Time in which an answer reaches its caller.
const DELIVERY_TIME: Duration = Duration::from_millis(100);

impl StopSchedule {
    /// Returns the time by which each request must have its answer.
    ///
    /// ```
    /// use alderbay::{routing::StopSchedule, units::Moment};
    /// let (callers_moved_at, ends_at) = (Moment(2_000_000), Moment(7_000_000));
    /// let schedule = StopSchedule { callers_moved_at, ends_at };
    /// assert_eq!(schedule.answers_due_at(), Moment(6_900_000));
    /// ```
    pub fn answers_due_at(&self) -> Moment {
        self.ends_at.before(DELIVERY_TIME)
    }
}

/// An attempt to make: its server and the parameters of the request.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptSpec {
    /// Id of the chosen server.
    pub server: ServerId,
    /// Address of the server.
    pub address: SocketAddr,
    /// Service that the request uses.
    pub service: ServiceName,
    /// Route that matched the request.
    pub route: RouteName,
    /// Account of the caller; `None` for requests without a known key.
    pub account: Option<ClientAccount>,
    /// Whether the request may be repeated, and the form of its response.
    pub kind: RouteKind,
    /// Time by which the caller must have its response.
    pub deadline: Moment,
    /// Target latency of the response, or of the first event of a stream; `None` if the route sets
    /// none.
    pub latency_objective: Option<Duration>,
    /// Number of the attempt, starting at 1.
    pub attempt: u32,
    /// Estimated number of requests at the server when it was chosen.
    pub load: f64,
    /// Expected time to the first event of a stream; `None` if the server's pace is unknown.
    pub first_event: Option<Duration>,
    /// Urgency of the request in the server's queue; `None` where all requests are equally urgent.
    pub rank: Option<UrgencyRank>,
    /// Digests of the parts of the prompt that other requests may share, in order.
    pub shared_parts: Vec<InputDigest>,
    /// Digest of the whole request, which is the same when the caller sends it again.
    pub content: InputDigest,
}

/// What became of a request that was admitted out of the queue, waits or is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionOutcome {
    /// It waits for a server.
    Queued,
    /// It began after a wait.
    Began,
    /// It was refused.
    Refused,
    /// Its caller left while it waited.
    Abandoned,
}

impl fmt::Display for AdmissionOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Queued => "queued",
            Self::Began => "began",
            Self::Refused => "refused",
            Self::Abandoned => "abandoned",
        })
    }
}

/// A decision on the admission of a request, for the log and the metrics.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionNote {
    /// Id of the request.
    pub request_id: RequestId,
    /// Its rank in the order of urgency.
    pub rank: UrgencyRank,
    /// Load, in requests per slot, from which a server gets no more requests like it.
    pub limit: f64,
    /// Lowest load of the servers that this gateway uses; `None` if it uses none.
    pub best_load: Option<f64>,
    /// Age of the load report of that server; `None` if there is none.
    pub news_age: Option<Duration>,
    /// Number of requests ahead of it in the queue; `None` if it does not wait.
    pub position: Option<usize>,
    /// Number of waiting requests.
    pub queue_length: usize,
    /// Time that it has waited.
    pub waited: Duration,
    /// What became of it.
    pub outcome: AdmissionOutcome,
    /// Whether the decision is logged; the metrics count all.
    pub is_logged: bool,
}

/// A decision on another attempt of a request, for the log and the metrics.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryNote {
    /// Id of the request.
    pub request_id: RequestId,
    /// Service whose budget bounds the retries.
    pub service: ServiceName,
    /// How the attempt before it ended.
    pub reason: AttemptResult,
    /// Whether the budget allows it.
    pub is_allowed: bool,
    /// Retries that this gateway has left for the service.
    pub balance: f64,
    /// The number of gateways that this gateway's share rests on.
    pub gateways: GatewayCount,
    /// Whether the decision is logged; the metrics count all.
    pub is_logged: bool,
}

/// An output of the reducer, carried out by the gateway.
#[derive(Clone, Debug, PartialEq)]
pub enum RoutingEffect {
    /// Send the request to a server.
    Attempt(RequestNumber, Box<AttemptSpec>),
    /// End an attempt in progress as [`AttemptResult::Stalled`]: its server makes no progress.
    EndAttempt {
        /// Request that the attempt belongs to.
        number: RequestNumber,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Wait this long, then dispatch [`RoutingEvent::WaitEnded`].
    Wait(RequestNumber, Duration),
    /// End the wait of a request: dispatch [`RoutingEvent::WaitEnded`] at once.
    Resume(RequestNumber),
    /// Log and count a decision on admission.
    AdmissionNoted(Box<AdmissionNote>),
    /// Log and count a decision on another attempt.
    RetryNoted(Box<RetryNote>),
    /// Refuse the request and end it.
    Refuse(RequestNumber, Refusal),
    /// End the request: no further attempt follows.
    Finished(RequestNumber),
    /// Log and count a change of the routing state.
    StateChanged(RoutingChange),
    /// Exchange the records of servers that ended, and servers' limits, with other gateways.
    ShareRecords,
    /// Find out whether a server has ended, then dispatch [`RoutingEvent::ServerProbed`].
    ProbeServer {
        /// The server.
        server: ServerId,
        /// Address of the server.
        address: SocketAddr,
    },
}

/// A change of the routing state, for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum RoutingChange {
    /// A newer catalog is in force.
    Catalog {
        /// Version of the catalog.
        version: super::CatalogVersion,
        /// Source that it was read from.
        source: CatalogSource,
    },
    /// A failure domain was evacuated: its servers get no new work.
    DomainEvacuated(FailureDomain),
    /// The evacuation of a failure domain ended.
    DomainRestored(FailureDomain),
    /// A server is new in the directory.
    ServerListed(ServerId),
    /// A server started to drain.
    ServerDraining(ServerId),
    /// A server said in a response that it is about to shut down.
    ServerLeaving(ServerId),
    /// A server said in a response that it wants no requests for a while.
    ServerResting {
        /// The server.
        server: ServerId,
        /// Time for which it gets none from this gateway.
        rest: Duration,
    },
    /// A server takes fewer requests than it could bear, or no longer does.
    ServerLimited {
        /// The server.
        server: ServerId,
        /// Requests per second that it takes from all gateways together; `None` if it names no limit
        /// any more.
        limit: Option<RequestRate>,
        /// Where this gateway heard of it.
        source: LimitSource,
        /// Time since the server's answer.
        age: Duration,
    },
    /// A server names a limit that cannot be read.
    ServerLimitUnreadable(ServerId),
    /// Another server responded at a server's address.
    ServerReplaced {
        /// The server that is not used.
        server: ServerId,
        /// Time for which it is not used.
        pause: Duration,
    },
    /// A server is used again at whose address another one responded a while ago.
    ServerTriedAgain(ServerId),
    /// A server was removed from the table.
    ServerRemoved(ServerId),
    /// A server's group opened or broke, or the server joined or left a group.
    GroupChanged {
        /// Server that belongs to the group.
        server: ServerId,
        /// Whether the group serves requests now.
        is_open: bool,
    },
    /// A server gets no requests for a while, because attempts at it failed.
    ServerPaused {
        /// The paused server.
        server: ServerId,
        /// Result of the attempt that triggered the pause.
        result: AttemptResult,
    },
    /// A server ended while it ran requests.
    ServerEnded {
        /// The server.
        server: ServerId,
        /// The requests that it ran for this gateway without having got beyond the beginning of their
        /// answers, with what they hold.
        suspects: Vec<(RequestId, SuspectInput)>,
    },
    /// A part of prompts, or a whole request, ends servers: requests with it are refused.
    InputBlocked {
        /// The part or request.
        input: InputDigest,
        /// What a request must have to be refused, and the evidence.
        blocked: BlockedInput,
    },
    /// The record of a request that may have ended its server has no room for so many parts of its prompt.
    EvidenceDropped {
        /// The request.
        request: RequestId,
        /// Number of parts that are left out.
        parts: usize,
    },
    /// A part of prompts, or a whole request, is no longer blocked.
    InputUnblocked(InputDigest),
    /// Many servers ended at once as they ran requests with a part or copies of a request: few
    /// gateways send it, one at a time.
    TrialBegan(InputDigest),
    /// The trial of a part or request has ended.
    TrialEnded(InputDigest),
    /// An account asks for more than its share in a crowded service, or no longer does.
    AccountShare {
        /// The service.
        service: ServiceName,
        /// The account.
        account: ClientAccount,
        /// Whether it asks for more.
        is_beyond: bool,
        /// What it asks for per second.
        demand: TokenCount,
        /// Its share per second.
        share: TokenCount,
        /// Age of the newest sums of demand; `None` if this gateway knows only its own.
        sums_age: Option<Duration>,
    },
    /// Limits over all gateways are divided by another number of gateways.
    GatewaysCounted(GatewayCount),
    /// The platform's store cannot be read.
    StoreUnavailable,
    /// The platform's store can be read again.
    StoreRecovered,
    /// The platform's store came back from an older copy of itself.
    StoreRewound,
    /// The process was asked to stop.
    Stopping,
}

impl fmt::Display for RoutingChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Catalog { version, source } => {
                write!(f, "catalog {version} in force, read from the {source}")
            }
            Self::DomainEvacuated(domain) => write!(f, "failure domain {domain} is evacuated"),
            Self::DomainRestored(domain) => write!(f, "failure domain {domain} is in use again"),
            Self::ServerListed(id) => write!(f, "server {id} is listed"),
            Self::ServerDraining(id) => write!(f, "server {id} is draining"),
            Self::ServerLeaving(id) => write!(f, "server {id} says that it leaves"),
            Self::ServerResting { server, rest } => {
                write!(f, "server {server} wants no requests for {} ms", rest.as_millis())
            }
            Self::ServerLimited { server, limit, source, age } => {
                let source = match source {
                    LimitSource::Answer => "it",
                    LimitSource::Peer => "another gateway",
                };
                let age_ms = age.as_millis();
                match limit {
                    Some(limit) => write!(f, "server {server} takes {limit} requests a second")?,
                    None => write!(f, "server {server} has no limit any more")?,
                }
                write!(f, ", heard from {source} {age_ms} ms ago")
            }
            Self::ServerLimitUnreadable(id) => {
                write!(f, "server {id} names a limit that cannot be read, ignored")
            }
            Self::ServerReplaced { server, pause } => {
                let pause_ms = pause.as_millis();
                write!(f, "server {server} gets no requests for {pause_ms} ms: ")?;
                f.write_str("another server responded at its address")
            }
            Self::ServerTriedAgain(id) => {
                write!(
                    f,
                    "server {id} gets requests again, another server responded at its address"
                )
            }
            Self::ServerRemoved(id) => write!(f, "server {id} is removed"),
            Self::GroupChanged { server, is_open } => {
                let state = if *is_open { "open" } else { "broken" };
                write!(f, "group of server {server} is {state}")
            }
            Self::ServerPaused { server, result } => {
                write!(f, "server {server} is paused after attempt result {result}")
            }
            Self::ServerEnded { server, suspects } => {
                write!(f, "server {server} ended as it ran ")?;
                for (n, (request, input)) in suspects.iter().enumerate() {
                    let separator = if n > 0 { ", " } else { "" };
                    write!(f, "{separator}request {request}")?;
                    if let Some(content) = input.content {
                        write!(f, " with content {content}")?;
                    }
                    if !input.parts.is_empty() {
                        write!(f, " with parts {}", join_parts(&input.parts))?;
                    }
                }
                Ok(())
            }
            Self::InputBlocked { input, blocked: BlockedInput { combination, end_count } } => {
                let kind = if combination.is_empty() { "request" } else { "prompt part" };
                write!(f, "{kind} {input} is blocked after {end_count} server ends")?;
                let others: Vec<InputDigest> =
                    combination.iter().copied().filter(|it| it != input).collect();
                if others.is_empty() { Ok(()) } else { write!(f, ", with {}", join_parts(&others)) }
            }
            Self::EvidenceDropped { request, parts } => {
                write!(f, "record of request {request} has no room for {parts} parts of its prompt")
            }
            Self::InputUnblocked(input) => write!(f, "input {input} is no longer blocked"),
            Self::TrialBegan(input) => {
                write!(f, "input {input} is on trial: many servers ended at once as they ran it")
            }
            Self::TrialEnded(input) => write!(f, "input {input} is no longer on trial"),
            Self::AccountShare { service, account, is_beyond, demand, share, sums_age } => {
                let position = if *is_beyond { "beyond" } else { "within" };
                write!(
                    f,
                    "account {account} is {position} its share of service {service}: asks for "
                )?;
                write!(f, "{demand} tokens a second, share {share}, ")?;
                match sums_age {
                    Some(age) => write!(f, "sums {} ms old", age.as_millis()),
                    None => f.write_str("own demand only"),
                }
            }
            Self::GatewaysCounted(GatewayCount { count, source, .. }) => {
                write!(f, "limits are divided among {count} gateways, known from: {source}")
            }
            Self::StoreUnavailable => f.write_str("platform store is unavailable"),
            Self::StoreRecovered => f.write_str("platform store is available again"),
            Self::StoreRewound => f.write_str("platform store came back from an older copy"),
            Self::Stopping => f.write_str("stop requested"),
        }
    }
}

/// Maximum number of digests in a line of the log.
const MAX_LOGGED_PARTS: usize = 48;

/// Writes digests separated by spaces, for logs; of many the first ones, and how many there are.
pub(crate) fn join_parts(parts: &[InputDigest]) -> String {
    let listed = parts.iter().take(MAX_LOGGED_PARTS).map(InputDigest::to_string);
    let text = listed.collect::<Vec<_>>().join(" ");
    if parts.len() <= MAX_LOGGED_PARTS {
        text
    } else {
        format!("{text} and others, {} in all", parts.len())
    }
}
