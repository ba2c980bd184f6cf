//! Reports of and orders to a model engine that is a rank of a group.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use volo_http::client::Client;

use super::{PlatformError, directory::WireGroup, exchange, get_json};
use crate::experts::{ExpertUsage, MapVersion, RankOrder, RankReport, StepNumber};

/// Time for one question to an engine.
const ENGINE_TIMEOUT: Duration = Duration::from_millis(250);
/// Time for one order to an engine: some of its usual answer times of 1 to 3 ms, so that an order
/// whose answer is lost is soon repeated.
const ORDER_TIMEOUT: Duration = Duration::from_millis(40);

#[derive(Deserialize)]
struct WireReport {
    #[serde(default)]
    queued: u32,
    #[serde(default)]
    active: u32,
    #[serde(default)]
    step: u64,
    // Versions of the maps in use, and copied.
    #[serde(default)]
    map: Option<u64>,
    #[serde(default)]
    prepared: Option<u64>,
    #[serde(default)]
    armed: Option<WireArmed>,
    // Step that does not begin before it is let go.
    #[serde(default)]
    held: Option<u64>,
    #[serde(default)]
    group: Option<WireGroup>,
    #[serde(default)]
    size: Option<u16>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum WireArmed {
    Pair(u64, u64),
    Fields { version: u64, step: u64 },
    Version(u64),
}

#[derive(Deserialize)]
struct WireCounts {
    counts: CountTree,
}

/// Counts, nested by layer or flat.
#[derive(Deserialize)]
#[serde(untagged)]
enum CountTree {
    Count(u64),
    List(Vec<CountTree>),
}

impl CountTree {
    /// The counts of all layers one after the other.
    fn flatten(&self, counts: &mut Vec<u64>) {
        match self {
            Self::Count(count) => counts.push(*count),
            Self::List(list) => list.iter().for_each(|it| it.flatten(counts)),
        }
    }
}

#[derive(Deserialize)]
struct WireLists {
    map: WireHeld,
}

#[derive(Deserialize)]
struct WireHeld {
    version: u64,
    experts: Vec<Vec<u16>>,
}

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

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// Begun, done, or already in force.
    Taken,
    /// Does not fit the engine's state.
    Refused(u16),
}

/// Client of one engine.
#[derive(Clone)]
pub struct EngineClient {
    client: Client,
    address: SocketAddr,
}

impl EngineClient {
    /// A client of the engine at `address`.
    ///
    /// # Errors
    ///
    /// The HTTP client cannot be built.
    pub fn new(address: SocketAddr) -> Result<Self, PlatformError> {
        let client = Client::builder().build().map_err(PlatformError::Client)?;
        Ok(Self { client, address })
    }

    /// Where the engine is.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Its load and its place in the group.
    ///
    /// # Errors
    ///
    /// The engine is unreachable, slow, or answers with an error.
    pub async fn report(&self) -> Result<RankReport, PlatformError> {
        let uri = format!("http://{}/v1/report", self.address);
        let wire: WireReport = get_json(&self.client, uri, ENGINE_TIMEOUT).await?;
        Ok(wire.decode())
    }

    /// How often its requests chose each expert since its start.
    ///
    /// # Errors
    ///
    /// The engine is unreachable, slow, or answers with an error.
    pub async fn expert_use(&self) -> Result<ExpertUsage, PlatformError> {
        let uri = format!("http://{}/v1/picked", self.address);
        let wire: WireCounts = get_json(&self.client, uri, ENGINE_TIMEOUT).await?;
        let mut counts = Vec::new();
        wire.counts.flatten(&mut counts);
        Ok(ExpertUsage { counts })
    }

    /// Which experts it holds by layer, and as of which map.
    ///
    /// # Errors
    ///
    /// The engine is unreachable, slow, or answers with an error.
    pub async fn held_experts(&self) -> Result<(MapVersion, Vec<Vec<u16>>), PlatformError> {
        let uri = format!("http://{}/v1/picked?lists=1", self.address);
        let wire: WireLists = get_json(&self.client, uri, ENGINE_TIMEOUT).await?;
        Ok((MapVersion(wire.map.version), wire.map.experts))
    }

    /// Gives an order.
    ///
    /// # Errors
    ///
    /// There is no answer: the order may be carried out, also later.
    pub async fn order(
        &self,
        epoch: u64,
        order: &RankOrder,
    ) -> Result<OrderOutcome, PlatformError> {
        let body = encode_order(epoch, order)?;
        let uri = format!("http://{}/v1/order", self.address);
        let request =
            self.client.post(uri).header(http::header::CONTENT_TYPE, "application/json").data(body);
        let (parts, _) = exchange(request, ORDER_TIMEOUT).await?;
        match parts.status.as_u16() {
            200 | 202 => Ok(OrderOutcome::Taken),
            status => Ok(OrderOutcome::Refused(status)),
        }
    }
}

fn encode_order(epoch: u64, order: &RankOrder) -> Result<Bytes, PlatformError> {
    let plain = |operation, version: Option<MapVersion>, step: Option<StepNumber>| WireOrder {
        operation,
        version: version.map(|it| it.0),
        step: step.map(|it| it.0),
        epoch,
        map: None,
    };
    let wire = match order {
        RankOrder::Prepare { version, map } => {
            WireOrder { map: Some(map), ..plain("prepare", Some(*version), None) }
        }
        RankOrder::Arm { version, step } => plain("arm", Some(*version), Some(*step)),
        RankOrder::Hold(step) => plain("hold", None, Some(*step)),
        RankOrder::Release(step) => plain("go", None, Some(*step)),
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
            let mut counts = Vec::new();
            serde_json::from_str::<CountTree>(text).unwrap().flatten(&mut counts);
            expect_that!(counts, eq(&vec![1, 2, 3]));
        }
        expect_that!(serde_json::from_str::<CountTree>("[1,-2]").is_err(), eq(true));
    }

    #[gtest]
    fn report_is_decoded() {
        let text = r#"{"group":{"name":"g","epoch":1,"rank":0,"state":"open"},"size":8,"queued":1,
            "active":3,"step":181,"map":7,"prepared":9,"armed":{"version":9,"step":183},"held":null}"#;
        let report = serde_json::from_str::<WireReport>(text).unwrap().decode();
        expect_that!(report.armed, some(eq((MapVersion(9), StepNumber(183)))));
        expect_that!(report.held, none());
        expect_that!(report.group_size, eq(8));
    }

    #[gtest]
    fn orders_are_encoded() {
        let order = RankOrder::Release(StepNumber(5));
        let body = encode_order(2, &order).unwrap();
        expect_that!(body.as_ref(), eq(br#"{"operation":"go","step":5,"epoch":2}"#.as_slice()));
    }
}
