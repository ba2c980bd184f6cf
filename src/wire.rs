//! Messages between processes: on QUIC streams between entries and agents, and in UDP datagrams
//! between gateways and rank agents.
//!
//! A QUIC connection begins with one control stream, on which both sides send a [`PeerHello`] and
//! then [`ControlMessage`]s. Each request has a stream of its own: one [`WorkRequest`], then
//! [`WorkReply`]s, the last of which ends the exchange.

mod datagrams;
mod framing;
mod messages;

pub use datagrams::{
    Datagram, DatagramExtension, GroupMember, HoldRequest, MAX_DATAGRAM_BYTES, Subscription,
};
pub use framing::{FrameError, read_frame, write_frame};
pub use messages::{
    AgentReport, ControlMessage, HeaderPair, IdempotencyKey, PeerHello, PeerRole, RefusalReason,
    RunMode, RunTicket, WorkKind, WorkReply, WorkRequest,
};

/// ALPN protocol name in the TLS handshake. It contains the wire version, so that the handshake
/// fails between peers of different versions.
pub const ALPN: &[u8] = b"alderbay/1";

/// Version of the messages, sent in [`PeerHello`].
pub const WIRE_VERSION: u16 = 1;
