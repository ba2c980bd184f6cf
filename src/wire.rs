//! Messages between entries and agents, and their framing on a stream.
//!
//! A connection begins with one control stream, on which both sides send a [`PeerHello`] and then
//! [`ControlMessage`]s. Each request travels on a stream of its own: one [`WorkRequest`], then
//! [`WorkReply`]s up to an explicit end.

mod datagrams;
mod framing;
mod messages;

pub use datagrams::{Datagram, GroupMember, HoldRequest, MAX_DATAGRAM_BYTES, Subscription};
pub use framing::{FrameError, read_frame, write_frame};
pub use messages::{
    AgentReport, ControlMessage, HeaderPair, IdempotencyKey, PeerHello, PeerRole, RefusalReason,
    RunMode, RunTicket, WorkKind, WorkReply, WorkRequest,
};

/// Protocol name offered in the TLS handshake; it carries the wire version, so that peers of
/// another version are refused before any message.
pub const ALPN: &[u8] = b"alderbay/1";

/// Version that peers state in their hello.
pub const WIRE_VERSION: u16 = 1;
