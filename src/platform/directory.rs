//! Decoding of entries of the platform's directory, in which backend servers register.

use std::{
    borrow::Cow,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::Duration,
};

use serde::{Deserialize, Deserializer};
use smol_str::SmolStr;
use thiserror::Error;

use crate::{
    routing::{GroupMembership, ServerRecord},
    units::{FailureDomain, GroupName, ServerId, ServiceName},
};

/// Largest number of requests that a server runs at the same time. An entry with more would draw the
/// requests of all gateways.
const MAX_SLOTS: u32 = 65_536;
/// Maximum number of characters of an error in the log: it may quote the entry.
const MAX_ERROR_CHARS: usize = 200;

/// Why an entry names no server to use.
#[derive(Debug)]
#[derive(Error)]
enum EntryError {
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    #[error("no server can be called at {0}")]
    Address(SocketAddr),
    #[error("{0} slots are more than {MAX_SLOTS}")]
    Slots(u32),
}

// A server writes all fields that have no default: an entry that lacks one is another writer's.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct WireServer {
    service: ServiceName,
    address: SocketAddr,
    // The platform's name for the failure domain.
    zone: FailureDomain,
    // Version of the server's software, validated but not used.
    #[serde(rename = "version")]
    _version: IgnoredText,
    // Requests that the server runs at the same time.
    slots: u32,
    state: WireState,
    // Heartbeat counter, validated but not used: an entry that differs only in it is unchanged.
    #[serde(rename = "sequence")]
    _sequence: u64,
    // Remaining warm-up time of the server.
    warmup_left_ms: f64,
    // Start time of the server process in Unix milliseconds.
    #[serde(default)]
    born: Option<u64>,
    #[serde(default)]
    group: Option<WireGroup>,
    // Number of ranks in the group.
    #[serde(default)]
    size: u16,
}

/// A text of any length that is not kept.
struct IgnoredText;

impl<'de> Deserialize<'de> for IgnoredText {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        Cow::<str>::deserialize(deserializer).map(|_| Self)
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum WireState {
    Ready,
    Draining,
}

#[derive(Deserialize)]
pub(super) struct WireGroup {
    name: GroupName,
    epoch: u64,
    rank: u16,
    // "open" while all ranks of the group are running.
    state: SmolStr,
}

impl WireGroup {
    pub(super) fn decode(self) -> GroupMembership {
        let is_open = self.state == "open";
        GroupMembership { name: self.name, epoch: self.epoch, rank: self.rank, is_open }
    }
}

/// Decodes a directory entry from its key, the server's id, and its JSON value.
///
/// Returns `None` and logs a warning for an entry that does not describe a server, since other
/// programs may write to the directory too. A key that is not a valid id is skipped silently.
///
/// ```
/// use alderbay::platform::decode_server;
/// assert!(decode_server("i-1", b"no entry").is_none());
/// ```
pub fn decode_server(key: &str, value: &[u8]) -> Option<ServerRecord> {
    let id: ServerId = key.parse().ok()?;
    let wire = match parse_entry(value) {
        Ok(wire) => wire,
        Err(error) => {
            let error: String = error.to_string().chars().take(MAX_ERROR_CHARS).collect();
            log::warn!(server:% = id, error = error; "directory entry is not a server record");
            return None;
        }
    };
    let warm_up_left = wire.warmup_left_ms.clamp(0.0, 3_600_000.0) / 1_000.0;
    Some(ServerRecord {
        id,
        service: wire.service,
        address: wire.address,
        failure_domain: wire.zone,
        slots: wire.slots.max(1),
        is_draining: matches!(wire.state, WireState::Draining),
        warm_up_left: Duration::from_secs_f64(warm_up_left),
        started_ms: wire.born,
        group: wire.group.map(WireGroup::decode),
        group_size: wire.size,
    })
}

fn parse_entry(value: &[u8]) -> Result<WireServer, EntryError> {
    let wire: WireServer = serde_json::from_slice(value)?;
    let (ip, port) = (wire.address.ip(), wire.address.port());
    let is_broadcast = ip == IpAddr::V4(Ipv4Addr::BROADCAST);
    if port == 0 || ip.is_unspecified() || ip.is_multicast() || is_broadcast {
        return Err(EntryError::Address(wire.address));
    }
    if wire.slots > MAX_SLOTS { Err(EntryError::Slots(wire.slots)) } else { Ok(wire) }
}

#[cfg(test)]
mod tests {
    use googletest::prelude::*;

    use super::*;

    const ENTRY: &str = r#"{"service":"s","address":"10.0.0.9:80","zone":"a","version":"v1",
        "slots":12,"state":"ready","warmup-left-ms":1500,"sequence":4,"born":17,
        "group":{"name":"g","epoch":2,"rank":3,"state":"broken"},"size":8}"#;

    #[gtest]
    fn entry_is_decoded() {
        let record = decode_server("i-1", ENTRY.as_bytes()).unwrap();
        assert_that!(record.warm_up_left, eq(Duration::from_millis(1500)));
        assert_that!(record.group_size, eq(8));
        assert_that!(record.group.map(|it| (it.rank, it.is_open)), some(eq((3, false))));
    }

    #[gtest]
    fn invalid_entries_are_skipped() {
        let broken = [
            ENTRY.replace("ready", "resting"),
            ENTRY.replace("\"10.0.0.9:80\"", "7"),
            ENTRY.replace("\"sequence\":4", "\"sequence\":\"4\""),
            ENTRY.replace("\"zone\":\"a\",", ""),
            ENTRY.replace("\"slots\":12", "\"slots\":4294967295"),
            ENTRY.replace("10.0.0.9:80", "10.0.0.9:0"),
            ENTRY.replace("10.0.0.9:80", "0.0.0.0:80"),
            ENTRY.replace("10.0.0.9:80", "224.0.0.1:80"),
            ENTRY.replace("10.0.0.9:80", "255.255.255.255:80"),
            "\u{0}".to_owned(),
        ];
        for it in broken {
            assert_that!(decode_server("i-1", it.as_bytes()), none());
        }
    }
}
