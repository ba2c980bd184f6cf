//! Datagrams between gateways and rank agents, and among the agents of a group.
//!
//! Each is whole in itself and may be lost, repeated or late: a receiver takes over what is newer
//! than what it has.

use std::net::{IpAddr, SocketAddr};

use serde::{Deserialize, Serialize};

use crate::{
    experts::{MapRollout, MemberStatus, StepNumber},
    routing::{ExpertLayout, GatewayPlace, LoadReport},
};

/// Version of the encoding; a datagram of another version is dropped.
const DATAGRAM_VERSION: u8 = 2;
/// Largest datagram that is read.
pub const MAX_DATAGRAM_BYTES: usize = 60_000;

/// One datagram.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Datagram {
    /// A gateway asks an agent for reports.
    Subscribe(Subscription),
    /// An agent reports on its server.
    Load {
        /// The server.
        server: SocketAddr,
        /// Its load.
        report: LoadReport,
        /// Number of gateways that subscribe.
        subscribers: u32,
        /// Where they are, for each other: in some reports only, since they are long.
        gateways: Vec<GatewayPlace>,
    },
    /// An agent tells the others of its group how its rank stands.
    Status(MemberStatus),
    /// A coordinator asks an agent of another group to give its rank's engine the order to hold a step.
    HoldRequest(HoldRequest),
    /// The order was given.
    HoldGiven,
    /// The coordinator tells the others of its group what their ranks are to do.
    Rollout(MapRollout),
}

/// What a gateway tells an agent.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Subscription {
    /// Where the gateway is.
    pub gateway: GatewayPlace,
    /// The ranks of the agent's group.
    pub group: Vec<GroupMember>,
    /// VM of an agent of another group, which gives orders for this one.
    pub helper: Option<IpAddr>,
    /// How the group's experts may be placed.
    pub layout: Option<ExpertLayout>,
}

/// A step that an engine is to hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HoldRequest {
    /// The engine.
    pub engine: SocketAddr,
    /// Forming of its group.
    pub epoch: u64,
    /// The step.
    pub step: StepNumber,
}

/// One rank of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct GroupMember {
    /// The rank.
    pub rank: u16,
    /// Its server.
    pub server: SocketAddr,
}

impl Datagram {
    /// Encodes the datagram.
    ///
    /// # Errors
    ///
    /// A part of it cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_extend(self, vec![DATAGRAM_VERSION])
    }

    /// Decodes a datagram; none where it is of another version or broken.
    ///
    /// ```
    /// use alderbay::wire::Datagram;
    /// assert_eq!(Datagram::decode(&[9, 9]), None);
    /// ```
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (version, rest) = bytes.split_first()?;
        if *version != DATAGRAM_VERSION {
            return None;
        }
        postcard::from_bytes(rest).ok()
    }
}
