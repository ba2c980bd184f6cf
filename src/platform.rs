//! HTTP clients and codecs for the platform: its log service, VM list, metadata store and model
//! engines.
//!
//! Only this module knows the platform's names on the wire. The rest of the process sees plain
//! types.

mod directory;
mod engine;
mod headers;
mod log_service;
mod manifest;
mod store;
mod vm_list;

pub use directory::decode_server;
pub use engine::{EngineClient, OrderOutcome};
pub use headers::{
    AttemptHeaders, CallerHeaders, READY_PATH, ResponseKind, build_attempt_headers,
    classify_response, decode_server_notice, echo_request_id, set_retry_after, strip_hop_by_hop,
};
pub use log_service::{LogClient, LogPage, LogRecord};
pub use manifest::{OperatorKey, decode_catalog};
pub use store::{KeyedRead, KeyedRecord, KeyedStream, StoreClient};
pub use vm_list::VmListClient;

use std::time::Duration;

use thiserror::Error;

use crate::{
    http::{BodyError, collect_body},
    units::ByteCount,
};

/// Maximum size of a response. The largest are full reads of a store's stream and other gateways'
/// views of it.
const MAX_RESPONSE: ByteCount = ByteCount(8 << 20);

/// Timeout of one request to the log service or the VM list; a long poll adds its wait.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Names of the system's own streams on the log service.
pub mod streams {
    use crate::units::ServiceName;

    /// Stream of edits and snapshots of the configuration.
    pub const CONFIG: &str = "alderbay-config";
    /// Stream of the audit trail: actions that the system took without an operator.
    pub const AUDIT: &str = "alderbay-audit";

    /// Returns the name of the stream of the claims on the idempotency keys of one service.
    ///
    /// ```
    /// let service = "ledger".parse()?;
    /// assert_eq!(alderbay::platform::streams::claims(&service), "alderbay-claims-ledger");
    /// # Ok::<(), alderbay::units::IdError>(())
    /// ```
    pub fn claims(service: &ServiceName) -> String {
        format!("alderbay-claims-{service}")
    }
}

/// Why a request to the platform, or to another process over HTTP, failed.
#[derive(Debug)]
#[derive(Error)]
pub enum PlatformError {
    /// The request failed; a write may have taken effect.
    #[error("request to the platform failed: {0}")]
    Request(#[from] volo_http::error::ClientError),
    /// The response body is incomplete or too large; a write may have taken effect.
    #[error("cannot read the body of the platform's response: {0}")]
    Body(#[from] BodyError),
    /// There was no complete response in time; a write may have taken effect.
    #[error("the platform did not respond within {0:?}")]
    Timeout(Duration),
    /// The response has an unexpected HTTP status.
    #[error("the platform responded with status {0}")]
    Status(u16),
    /// The store has started a new era during a read, or the response is from an earlier one.
    #[error("the platform's store has started a new era")]
    EraChanged,
    /// The number of the store's era is not an integer.
    #[error("the platform's store sent an invalid era")]
    InvalidEra,
    /// The response ends in the middle of a record.
    #[error("the platform's response is truncated")]
    Truncated,
    /// The JSON cannot be decoded or encoded.
    #[error("cannot decode or encode the platform's JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// The HTTP client cannot be built.
    #[error("cannot build the HTTP client: {0}")]
    Client(volo_http::error::ClientError),
}

/// Fetches and decodes a JSON document from the platform or from another process.
///
/// # Errors
///
/// The request fails or times out, its status is not 200, or the body has an unexpected shape.
pub async fn get_json<T: serde::de::DeserializeOwned>(
    client: &volo_http::client::Client,
    uri: String,
    timeout: Duration,
) -> Result<T, PlatformError> {
    let (parts, body) = fetch(client.get(uri), timeout).await?;
    if parts.status != http::StatusCode::OK {
        return Err(PlatformError::Status(parts.status.as_u16()));
    }
    Ok(serde_json::from_slice(&body)?)
}

/// Sends a JSON document to another process and decodes the JSON of its response.
///
/// # Errors
///
/// The request fails or times out, its status is not 200, or the body has an unexpected shape.
pub async fn post_json<T: serde::de::DeserializeOwned>(
    client: &volo_http::client::Client,
    uri: String,
    document: &impl serde::Serialize,
    timeout: Duration,
) -> Result<T, PlatformError> {
    let body = serde_json::to_vec(document)?;
    let (parts, body) = fetch(client.post(uri).body(body.into()), timeout).await?;
    if parts.status != http::StatusCode::OK {
        return Err(PlatformError::Status(parts.status.as_u16()));
    }
    Ok(serde_json::from_slice(&body)?)
}

/// Sends a request and reads the complete response within `timeout`. The connection of a response
/// that is too large is closed.
async fn fetch(
    request: volo_http::client::RequestBuilder<volo_http::client::Client>,
    timeout: Duration,
) -> Result<(http::response::Parts, bytes::Bytes), PlatformError> {
    let receive = async {
        let response = request.send().await?;
        let (parts, mut body) = response.into_parts();
        let body = collect_body(&mut body, MAX_RESPONSE).await?;
        Ok((parts, body))
    };
    tokio::time::timeout(timeout, receive).await.map_err(|_| PlatformError::Timeout(timeout))?
}
