//! Messages between entries and agents, and their framing on a stream.
//!
//! A connection begins with one control stream, on which both sides send a [`PeerHello`] and then
//! [`PeerNotice`]s. Each request travels on a stream of its own: one [`WorkOrder`], then
//! [`WorkReply`]s up to an explicit end.

mod datagrams;
mod framing;
mod messages;

pub use datagrams::{Datagram, GroupMember, HoldRequest, MAX_DATAGRAM, Subscription};
pub use framing::{FrameError, read_frame, write_frame};
pub use messages::{
    AgentReport, HeaderPair, PeerHello, PeerNotice, PeerRole, RefusalReason, RunKey, RunMode,
    RunTicket, WorkKind, WorkOrder, WorkReply,
};

/// Protocol name offered in the TLS handshake; it carries the wire version, so that peers of
/// another version are refused before any message.
pub const ALPN: &[u8] = b"alderbay/1";

/// Version that peers state in their hello.
pub const WIRE_VERSION: u16 = 1;
