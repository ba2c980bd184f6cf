//! Events and effects of a gateway.

use std::{collections::BTreeSet, fmt, net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::{LoadReport, RouteCatalog, RouteKind, ServerRecord};
use crate::{
    core::Refusal,
    units::{ClientAccount, FailureDomain, Moment, RequestId, RouteName, ServerId, ServiceName},
};

/// Number of a caller's request at this gateway, unique in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct RequestNumber(pub u64);

/// Where a process learns what the platform holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SourceName {
    /// The platform's store itself.
    Store,
    /// Another gateway.
    Peer,
}

impl fmt::Display for SourceName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Store => "store",
            Self::Peer => "peer",
        })
    }
}

/// What the reducer needs to know of a caller's request.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct CallerFacts {
    /// Its number here.
    pub number: RequestNumber,
    /// Its id.
    pub request_id: RequestId,
    /// Host that it names.
    pub host: SmolStr,
    /// Its path.
    pub path: SmolStr,
    /// The key that it shows.
    pub api_key: Option<SmolStr>,
    /// How long the caller still waits.
    pub patience: Option<Duration>,
    /// How long it has waited here.
    pub waited: Duration,
    /// Whether it goes on with a stream of which the caller has the beginning.
    pub resumes: bool,
}

/// How an attempt at a backend server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptResult {
    /// The caller has the whole answer, or an error of the server that cannot be mended.
    Answered,
    /// The server answered with an error of its own; it ran.
    ServerError,
    /// No connection: nothing was sent.
    NeverSent,
    /// The server says that it did not run it.
    NotRun,
    /// Another server has the address; nothing ran.
    WrongServer,
    /// It was sent, and the connection ended without an answer that can be used.
    Lost,
    /// It was sent, and nothing comes any more.
    Stalled,
    /// The caller is gone, or its time is up.
    Abandoned,
}

impl AttemptResult {
    /// Whether the server may have run the request.
    pub fn may_have_run(self) -> bool {
        match self {
            Self::Answered | Self::ServerError | Self::Lost | Self::Stalled | Self::Abandoned => {
                true
            }
            Self::NeverSent | Self::NotRun | Self::WrongServer => false,
        }
    }
}

impl fmt::Display for AttemptResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Answered => "answered",
            Self::ServerError => "server_error",
            Self::NeverSent => "never_sent",
            Self::NotRun => "not_run",
            Self::WrongServer => "wrong_server",
            Self::Lost => "lost",
            Self::Stalled => "stalled",
            Self::Abandoned => "abandoned",
        })
    }
}

/// Something that happened.
#[derive(Clone, Debug, PartialEq)]
pub enum RoutingEvent {
    /// A catalog was read.
    CatalogRead {
        /// From where.
        source: SourceName,
        /// The catalog.
        catalog: Box<RouteCatalog>,
    },
    /// The evacuated failure domains were read.
    EvacuationsRead(BTreeSet<FailureDomain>),
    /// The directory of backend servers was read.
    DirectoryRead(Vec<ServerRecord>),
    /// The store cannot be read.
    StoreLost,
    /// The store can be read.
    StoreRegained,
    /// An agent reported on its server.
    LoadReported {
        /// Where the server is.
        address: SocketAddr,
        /// Its load.
        report: LoadReport,
        /// Gateways that the agent hears from.
        gateways: u32,
    },
    /// A caller's request was read.
    RequestArrived(CallerFacts),
    /// A request that was told to wait has done so.
    WaitEnded(CallerFacts),
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        number: RequestNumber,
        /// How.
        result: AttemptResult,
    },
    /// The caller has its answer or is gone.
    RequestEnded(RequestNumber),
    /// A stop was asked for.
    StopAsked,
}

/// Where a request is to be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptOrder {
    /// The server.
    pub server: ServerId,
    /// Where it is.
    pub address: SocketAddr,
    /// What it serves.
    pub service: ServiceName,
    /// The route that sends it there.
    pub route: RouteName,
    /// Whose request it is.
    pub account: Option<ClientAccount>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// When the caller must have its answer.
    pub deadline: Moment,
    /// Time within which an answer is timely.
    pub latency_objective: Option<Duration>,
    /// Which attempt it is, from one.
    pub attempt: u32,
    /// What decided: the load that the server was thought to have, and the age of the directory.
    pub load: f64,
}

/// Something to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum RoutingEffect {
    /// Send the request to a server.
    Attempt(RequestNumber, Box<AttemptOrder>),
    /// Ask again after this time, with [`RoutingEvent::WaitEnded`].
    Wait(RequestNumber, Duration),
    /// Tell the caller.
    Refuse(RequestNumber, Refusal),
    /// The caller has its answer.
    Finished(RequestNumber),
    /// Something is believed now that was not before.
    Believe(BeliefChange),
}

/// A change of what the process believes.
#[derive(Clone, Debug, PartialEq)]
pub enum BeliefChange {
    /// A catalog is in force.
    Catalog {
        /// Its version.
        version: super::CatalogVersion,
        /// Where it came from.
        source: SourceName,
    },
    /// A failure domain gets nothing.
    DomainLeft(FailureDomain),
    /// A failure domain may be used again.
    DomainReturned(FailureDomain),
    /// A server is in the directory.
    ServerAppeared(ServerId),
    /// A server says that it is leaving.
    ServerDraining(ServerId),
    /// A server is out of the directory.
    ServerGone(ServerId),
    /// A server's group began or ceased to work.
    GroupState {
        /// The server.
        server: ServerId,
        /// Whether it works.
        is_open: bool,
    },
    /// A server is given nothing for a while.
    ServerPaused {
        /// The server.
        server: ServerId,
        /// How the attempt ended that decided.
        result: AttemptResult,
    },
    /// The store cannot be read.
    StoreLost,
    /// The store can be read again.
    StoreRegained,
    /// The process was asked to stop.
    Stopping,
}

impl fmt::Display for BeliefChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Catalog { version, source } => {
                write!(f, "catalog {version} in force, read from the {source}")
            }
            Self::DomainLeft(domain) => write!(f, "failure domain {domain} gets no new work"),
            Self::DomainReturned(domain) => write!(f, "failure domain {domain} gets work again"),
            Self::ServerAppeared(id) => write!(f, "server {id} is listed"),
            Self::ServerDraining(id) => write!(f, "server {id} is draining"),
            Self::ServerGone(id) => write!(f, "server {id} is gone"),
            Self::GroupState { server, is_open } => {
                let state = if *is_open { "open" } else { "broken" };
                write!(f, "the group of server {server} is {state}")
            }
            Self::ServerPaused { server, result } => {
                write!(f, "server {server} gets nothing for a while after: {result}")
            }
            Self::StoreLost => f.write_str("the platform's store cannot be read"),
            Self::StoreRegained => f.write_str("the platform's store can be read again"),
            Self::Stopping => f.write_str("asked to stop"),
        }
    }
}
