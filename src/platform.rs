//! The platform's services, read and written over HTTP; the rest of the process sees plain
//! structures.

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
    classify_response, echo_request_id, set_retry_after, strip_hop_by_hop,
};
pub use log_service::{LogClient, LogPage, LogRecord};
pub use manifest::{OperatorKey, decode_catalog};
pub use store::{KeyedRead, KeyedRecord, KeyedStream, StoreClient};
pub use vm_list::VmListClient;

use std::time::Duration;

use thiserror::Error;

/// Time for one exchange with the platform, long polls aside.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(5);

/// Streams that the system keeps on the log service.
pub mod streams {
    use crate::units::ServiceName;

    /// Edits and snapshots of the configuration.
    pub const CONFIG: &str = "alderbay-config";
    /// What the system did by itself.
    pub const AUDIT: &str = "alderbay-audit";

    /// Claims on the keys of one service.
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

/// Why the platform gave no answer that can be used.
#[derive(Debug)]
#[derive(Error)]
pub enum PlatformError {
    /// The exchange failed; a write may have taken effect.
    #[error("exchange with the platform: {0}")]
    Exchange(#[from] volo_http::error::ClientError),
    /// The body broke off; a write may have taken effect.
    #[error("body of the platform's answer: {0}")]
    Body(volo_http::body::BodyConvertError),
    /// The platform did not answer in time; a write may have taken effect.
    #[error("the platform did not answer within {0:?}")]
    Timeout(Duration),
    /// The platform answered with an error.
    #[error("the platform answered {0}")]
    Status(u16),
    /// The answer ends before its records do.
    #[error("the platform's answer is cut off")]
    Truncated,
    /// The answer is not of the published shape.
    #[error("answer of the platform: {0}")]
    Shape(#[from] serde_json::Error),
    /// The HTTP client could not be built.
    #[error("HTTP client: {0}")]
    Client(volo_http::error::ClientError),
}

/// Gets a JSON document of a process or of the platform.
///
/// # Errors
///
/// There is no answer in time, or none of the right shape.
pub async fn get_json<T: serde::de::DeserializeOwned>(
    client: &volo_http::client::Client,
    uri: String,
    timeout: Duration,
) -> Result<T, PlatformError> {
    let (parts, body) = exchange(client.get(uri), timeout).await?;
    if parts.status != http::StatusCode::OK {
        return Err(PlatformError::Status(parts.status.as_u16()));
    }
    Ok(serde_json::from_slice(&body)?)
}

/// Sends a request and reads the whole answer.
async fn exchange(
    request: volo_http::client::RequestBuilder<volo_http::client::Client>,
    timeout: Duration,
) -> Result<(http::response::Parts, bytes::Bytes), PlatformError> {
    use volo_http::body::BodyConversion;

    let answer = async {
        let response = request.send().await?;
        let (parts, body) = response.into_parts();
        let body = body.into_bytes().await.map_err(PlatformError::Body)?;
        Ok((parts, body))
    };
    tokio::time::timeout(timeout, answer).await.map_err(|_| PlatformError::Timeout(timeout))?
}
