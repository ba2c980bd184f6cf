//! UDP datagrams between gateways and rank agents, and among the rank agents of a group.
//!
//! Each datagram is self-contained and may be lost, duplicated or reordered. A receiver applies
//! only what is newer than its own state.

use std::net::{IpAddr, SocketAddr};

use serde::{Deserialize, Serialize};

use crate::{
    experts::{MapRollout, MemberStatus, RankPace, StepNumber},
    routing::{DemandNews, ExpertLayout, GatewayLocation, LoadDetail, LoadReport},
};

/// Version of the encoding, sent as the first byte. Datagrams of other versions are dropped.
const DATAGRAM_VERSION: u8 = 2;
/// Size of the largest datagram that can be received.
pub const MAX_DATAGRAM_BYTES: usize = 60_000;

/// Content of a datagram.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Datagram {
    /// A gateway subscribes to the load reports of an agent.
    Subscribe(Subscription),
    /// Load report of an agent, sent to its subscribers.
    Load {
        /// Address of the agent's server.
        server: SocketAddr,
        /// Load of the server.
        report: LoadReport,
        /// Number of gateways that subscribe to the agent.
        subscribers: u32,
        /// Locations of the subscribers, so that gateways discover each other. Empty in most
        /// reports, to keep them short.
        gateways: Vec<GatewayLocation>,
    },
    /// Status of a rank, sent by its agent to the other agents of the group.
    Status(MemberStatus),
    /// A group's coordinator asks an agent of another group to order the coordinator's own engine
    /// to hold a step.
    HoldRequest(HoldRequest),
    /// Reply to a [`HoldRequest`]: the engine has responded to the order.
    HoldGiven,
    /// A rollout of an expert map, sent by the coordinator to the other agents of the group.
    Rollout(MapRollout),
    /// A rollout that the receiving agent also forwards to other agents of its group.
    RelayedRollout(MapRollout),
}

/// Subscription of a gateway to an agent, with what the gateway knows about the agent's group.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Subscription {
    /// Location of the gateway.
    pub gateway: GatewayLocation,
    /// Ranks of the agent's group; empty for a server outside a group, or if this subscription
    /// omits them.
    pub group: Vec<GroupMember>,
    /// VM of an agent of another group, to which a coordinator of this group sends its
    /// [`HoldRequest`]s. `None` if there is no other group.
    pub helper: Option<IpAddr>,
    /// Limits on the placement of the group's experts; `None` for a dense model.
    pub layout: Option<ExpertLayout>,
}

/// Order for an engine to hold a step, that is, not to begin it before it is released.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HoldRequest {
    /// Address of the engine.
    pub engine: SocketAddr,
    /// Epoch of the engine's group to which the order applies.
    pub epoch: u64,
    /// Step to hold.
    pub step: StepNumber,
}

/// A rank of a group and its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct GroupMember {
    /// Index of the rank in the group.
    pub rank: u16,
    /// Address of the rank's server.
    pub server: SocketAddr,
}

/// Fields that later releases have added to datagrams. They follow the datagram in its packet, where
/// earlier releases ignore them.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct DatagramExtension {
    /// With [`Datagram::Load`]: what the agent knows of its server beside the numbers of requests.
    pub load: Option<LoadDetail>,
    /// With [`Datagram::Subscribe`]: what client accounts ask of the gateway. With
    /// [`Datagram::Load`]: the sum over the agent's subscribers.
    pub demand: DemandNews,
    /// With [`Datagram::Status`]: pace of the rank; `None` for the usual one.
    pub pace: Option<RankPace>,
}

impl Datagram {
    /// Encodes the datagram with an extension after it.
    ///
    /// # Errors
    ///
    /// A field cannot be encoded. The size is not checked.
    pub fn encode_extended(
        &self,
        extension: &DatagramExtension,
    ) -> Result<Vec<u8>, postcard::Error> {
        let bytes = self.encode()?;
        if *extension == DatagramExtension::default() {
            return Ok(bytes);
        }
        postcard::to_extend(extension, bytes)
    }

    /// Decodes a datagram and its extension. An extension that is missing or malformed counts as
    /// empty: the datagram itself comes first and holds without it.
    ///
    /// ```
    /// use alderbay::wire::{Datagram, DatagramExtension};
    /// let bytes = Datagram::HoldGiven.encode()?;
    /// let decoded = Datagram::decode_extended(&bytes);
    /// assert_eq!(decoded, Some((Datagram::HoldGiven, DatagramExtension::default())));
    /// # Ok::<(), postcard::Error>(())
    /// ```
    pub fn decode_extended(bytes: &[u8]) -> Option<(Self, DatagramExtension)> {
        let (version, content) = bytes.split_first()?;
        if *version != DATAGRAM_VERSION {
            return None;
        }
        let (datagram, rest) = postcard::take_from_bytes(content).ok()?;
        let extension = match rest {
            [] => DatagramExtension::default(),
            rest => postcard::from_bytes(rest).unwrap_or_default(),
        };
        Some((datagram, extension))
    }

    /// Encodes the datagram, with its version in front.
    ///
    /// # Errors
    ///
    /// A field cannot be encoded. The size is not checked.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_extend(self, vec![DATAGRAM_VERSION])
    }

    /// Decodes a datagram; `None` if it is malformed or has another version.
    ///
    /// ```
    /// use alderbay::wire::Datagram;
    /// assert_eq!(Datagram::decode(&[9, 9]), None);
    /// ```
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (version, content) = bytes.split_first()?;
        if *version != DATAGRAM_VERSION {
            return None;
        }
        postcard::from_bytes(content).ok()
    }
}
