//! Client of a model engine that runs one rank of a group: reads its reports and sends it orders.

use std::{fmt, net::SocketAddr, time::Duration};

use bytes::Bytes;
use serde::{
    Deserialize, Deserializer, Serialize,
    de::{self, DeserializeSeed, SeqAccess, Visitor},
};
use volo_http::client::Client;

use super::{PlatformError, directory::WireGroup, fetch, get_json};
use crate::experts::{ExpertUsage, MapVersion, RankOrder, RankPace, RankReport, StepNumber};

/// Timeout of a read request to an engine.
const QUERY_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout of an order to an engine. An engine usually responds within 1 to 3 ms; a short timeout
/// lets the caller retry soon after a lost response.
const ORDER_TIMEOUT: Duration = Duration::from_millis(40);

#[derive(Deserialize)]
struct WireReport {
    // Requests that wait in the engine's queue.
    #[serde(default)]
    queued: u32,
    // Requests that are running.
    #[serde(default)]
    active: u32,
    // The latest step that began.
    #[serde(default)]
    step: u64,
    // Version of the expert map in use.
    #[serde(default)]
    map: Option<u64>,
    // Version of the map whose experts are copied but not in use; 0 or absent if there is none.
    #[serde(default)]
    prepared: Option<u64>,
    #[serde(default)]
    armed: Option<WireArmed>,
    // Step that does not begin before it is released; 0 or absent if there is none.
    #[serde(default)]
    held: Option<u64>,
    #[serde(default)]
    group: Option<WireGroup>,
    #[serde(default)]
    size: Option<u16>,
    // Factor by which work takes longer than usual; over 1 for a slow engine.
    #[serde(default)]
    pace: Option<f64>,
    // Memory that cannot yield, and all of it, in tokens.
    #[serde(default, rename = "kv-used")]
    used: Option<u32>,
    #[serde(default, rename = "kv-total")]
    total: Option<u32>,
}

// Version of the prepared map that takes effect next, and its first step. Engines send a pair, an
// object, or the version alone, with 0 for none.
#[derive(Deserialize)]
#[serde(untagged)]
enum WireArmed {
    Pair(u64, u64),
    Fields { version: u64, step: u64 },
    Version(u64),
}

// Response of `/v1/picked`: how often each expert was selected since the engine started.
#[derive(Deserialize)]
struct WireCounts {
    counts: FlatCounts,
}

/// Counts per expert of all layers in order. The list on the wire is flat or nested by layer.
///
/// Decoded by hand, since an untagged enum would buffer each of the thousands of numbers.
#[derive(Debug)]
struct FlatCounts(Vec<u64>);

impl<'de> Deserialize<'de> for FlatCounts {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let mut counts = Vec::new();
        deserializer.deserialize_seq(CountVisitor(&mut counts))?;
        Ok(Self(counts))
    }
}

/// Appends a count, or each count of a list, to the vector.
struct CountVisitor<'a>(&'a mut Vec<u64>);

impl<'de> DeserializeSeed<'de> for CountVisitor<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<(), D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for CountVisitor<'_> {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a count or a list of counts")
    }

    fn visit_u64<E: de::Error>(self, count: u64) -> Result<(), E> {
        self.0.push(count);
        Ok(())
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<(), A::Error> {
        while list.next_element_seed(CountVisitor(self.0))?.is_some() {}
        Ok(())
    }
}

// Response of `/v1/picked?lists=1`: the loaded experts in place of the counts.
#[derive(Deserialize)]
struct WireLists {
    map: WireLoadedMap,
}

#[derive(Deserialize)]
struct WireLoadedMap {
    version: u64,
    // Experts of the rank in each layer.
    experts: Vec<Vec<u16>>,
}

// The operations are "prepare", "arm", "hold" and "go"; the last releases a held step.
#[derive(Serialize)]
struct WireOrder<'a> {
    operation: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    version: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    step: Option<u64>,
    epoch: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    map: Option<&'a [Vec<Vec<u16>>]>,
}

/// Outcome of an order that the engine responded to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// Accepted: the engine has begun or completed it, or it was in effect already.
    Taken,
    /// Rejected with this HTTP status, because it conflicts with the engine's state.
    Refused(u16),
}

/// HTTP client of one engine.
#[derive(Clone)]
pub struct EngineClient {
    client: Client,
    address: SocketAddr,
}

impl EngineClient {
    /// Creates a client of the engine at `address`. It connects with its first request.
    ///
    /// # Errors
    ///
    /// The HTTP client cannot be built.
    pub fn new(address: SocketAddr) -> Result<Self, PlatformError> {
        let client = Client::builder().build().map_err(PlatformError::Client)?;
        Ok(Self { client, address })
    }

    /// Address of the engine.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Reads the engine's load, its expert map state and its membership in a group.
    ///
    /// # Errors
    ///
    /// The engine is unreachable, times out, or responds with an error.
    pub async fn report(&self) -> Result<RankReport, PlatformError> {
        let uri = format!("http://{}/v1/report", self.address);
        let wire: WireReport = get_json(&self.client, uri, QUERY_TIMEOUT).await?;
        Ok(wire.decode())
    }

    /// Reads how often each expert was selected since the engine started.
    ///
    /// # Errors
    ///
    /// The engine is unreachable, times out, or responds with an error.
    pub async fn expert_usage(&self) -> Result<ExpertUsage, PlatformError> {
        let uri = format!("http://{}/v1/picked", self.address);
        let wire: WireCounts = get_json(&self.client, uri, QUERY_TIMEOUT).await?;
        Ok(ExpertUsage { counts: wire.counts.0 })
    }

    /// Reads which experts the engine has loaded in each layer, and the version of the map to
    /// which they belong.
    ///
    /// # Errors
    ///
    /// The engine is unreachable, times out, or responds with an error.
    pub async fn loaded_experts(&self) -> Result<(MapVersion, Vec<Vec<u16>>), PlatformError> {
        let uri = format!("http://{}/v1/picked?lists=1", self.address);
        let wire: WireLists = get_json(&self.client, uri, QUERY_TIMEOUT).await?;
        Ok((MapVersion(wire.map.version), wire.map.experts))
    }

    /// Sends an order. `epoch` is the epoch of the group to which the order applies.
    ///
    /// # Errors
    ///
    /// There is no response. The engine may still execute the order, even after this returns.
    pub async fn order(
        &self,
        epoch: u64,
        order: &RankOrder,
    ) -> Result<OrderOutcome, PlatformError> {
        let body = encode_order(epoch, order)?;
        let uri = format!("http://{}/v1/order", self.address);
        let request =
            self.client.post(uri).header(http::header::CONTENT_TYPE, "application/json").data(body);
        let (parts, _) = fetch(request, ORDER_TIMEOUT).await?;
        match parts.status.as_u16() {
            200 | 202 => Ok(OrderOutcome::Taken),
            status => Ok(OrderOutcome::Refused(status)),
        }
    }
}

fn encode_order(epoch: u64, order: &RankOrder) -> Result<Bytes, PlatformError> {
    let without_map =
        |operation, version: Option<MapVersion>, step: Option<StepNumber>| WireOrder {
            operation,
            version: version.map(|it| it.0),
            step: step.map(|it| it.0),
            epoch,
            map: None,
        };
    let wire = match order {
        RankOrder::Prepare { version, map } => {
            WireOrder { map: Some(map), ..without_map("prepare", Some(*version), None) }
        }
        RankOrder::Arm { version, step } => without_map("arm", Some(*version), Some(*step)),
        RankOrder::Hold(step) => without_map("hold", None, Some(*step)),
        RankOrder::Release(step) => without_map("go", None, Some(*step)),
    };
    Ok(serde_json::to_vec(&wire)?.into())
}

impl WireReport {
    fn decode(self) -> RankReport {
        let armed = self.armed.and_then(|it| match it {
            WireArmed::Pair(version, step) | WireArmed::Fields { version, step } => {
                Some((MapVersion(version), StepNumber(step)))
            }
            WireArmed::Version(0) => None,
            WireArmed::Version(version) => Some((MapVersion(version), StepNumber(0))),
        });
        RankReport {
            running: self.active,
            waiting: self.queued,
            step: StepNumber(self.step),
            map: MapVersion(self.map.unwrap_or(0)),
            prepared: self.prepared.filter(|it| *it > 0).map(MapVersion),
            armed,
            held: self.held.filter(|it| *it > 0).map(StepNumber),
            group: self.group.map(WireGroup::decode),
            group_size: self.size.unwrap_or(0),
            pace: self.pace.map_or_else(RankPace::default, RankPace::from_factor),
            used_tokens: self.used.unwrap_or(0),
            max_tokens: self.total.unwrap_or(0),
        }
    }
}

#[cfg(test)]
mod tests {
    use googletest::prelude::*;

    use super::*;

    #[gtest]
    fn counts_are_flattened() {
        for text in ["[1,2,3]", "[[1,2],[3]]"] {
            let counts = serde_json::from_str::<FlatCounts>(text).unwrap();
            expect_that!(counts.0, eq(&vec![1, 2, 3]));
        }
        for text in ["[1,-2]", "7", "[[1],{}]"] {
            expect_that!(serde_json::from_str::<FlatCounts>(text).is_err(), eq(true), "{text}");
        }
    }

    #[gtest]
    fn report_is_decoded() {
        let text = r#"{"group":{"name":"g","epoch":1,"rank":0,"state":"open"},"size":8,"queued":1,
            "active":3,"step":181,"map":7,"prepared":9,"armed":{"version":9,"step":183},"held":null,
            "kv-used":41000,"kv-total":90000}"#;
        let report = serde_json::from_str::<WireReport>(text).unwrap().decode();
        expect_that!(report.armed, some(eq((MapVersion(9), StepNumber(183)))));
        expect_that!(report.held, none());
        expect_that!(report.group_size, eq(8));
        expect_that!(report.pace, eq(RankPace::default()));
        let slow = serde_json::from_str::<WireReport>(r#"{"pace":2.5}"#).unwrap().decode();
        expect_that!(slow.pace.factor(), eq(2.5));
        expect_that!((report.used_tokens, report.max_tokens), eq((41_000, 90_000)));
    }

    #[gtest]
    fn orders_are_encoded() {
        let order = RankOrder::Release(StepNumber(5));
        let body = encode_order(2, &order).unwrap();
        expect_that!(body.as_ref(), eq(br#"{"operation":"go","step":5,"epoch":2}"#.as_slice()));
    }
}
