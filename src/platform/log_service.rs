//! Client of the append-only log service.
//!
//! `POST /v1/streams/{stream}/records` appends the body as one record and answers `{"offset": n}`.
//! `GET /v1/streams/{stream}/records?from=n&wait_ms=w&max=m` answers a [`LogPage`], after at most
//! `w` milliseconds where the stream holds nothing at `n` yet. Offsets of a stream count from zero
//! without gaps.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use volo_http::client::Client;

use super::{EXCHANGE_TIMEOUT, PlatformError, exchange, get_json};
use crate::units::LogOffset;

/// Records of one stream.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LogPage {
    /// Oldest record that the log still keeps.
    pub first: LogOffset,
    /// Offset of the next append.
    pub next: LogOffset,
    /// The records, by offset; empty where there is none yet.
    pub records: Vec<LogRecord>,
}

/// One record.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LogRecord {
    /// Its position.
    pub offset: LogOffset,
    /// Its text.
    pub text: String,
}

#[derive(Deserialize)]
struct AppendAnswer {
    offset: LogOffset,
}

/// Client of the log service.
#[derive(Clone)]
pub struct LogClient {
    client: Client,
    address: SocketAddr,
}

impl LogClient {
    /// A client of the service at `address`.
    ///
    /// # Errors
    ///
    /// The HTTP client cannot be built.
    pub fn new(address: SocketAddr) -> Result<Self, PlatformError> {
        let client = Client::builder().build().map_err(PlatformError::Client)?;
        Ok(Self { client, address })
    }

    /// Appends one record and gives its offset.
    ///
    /// # Errors
    ///
    /// Any error but a status below 500 leaves open whether the record was appended: read back
    /// before trying again.
    pub async fn append(&self, stream: &str, text: String) -> Result<LogOffset, PlatformError> {
        let uri = format!("http://{}/v1/streams/{stream}/records", self.address);
        let request = self.client.post(uri).data(text);
        let (parts, body) = exchange(request, EXCHANGE_TIMEOUT).await?;
        if parts.status != http::StatusCode::OK {
            return Err(PlatformError::Status(parts.status.as_u16()));
        }
        let answer: AppendAnswer = serde_json::from_slice(&body)?;
        Ok(answer.offset)
    }

    /// Reads records from `from` on, waiting up to `wait` for the first.
    ///
    /// # Errors
    ///
    /// The service is unreachable, slow, or answers with an error.
    pub async fn read(
        &self,
        stream: &str,
        from: LogOffset,
        wait: Duration,
    ) -> Result<LogPage, PlatformError> {
        let wait_ms = wait.as_millis();
        let uri = format!(
            "http://{}/v1/streams/{stream}/records?from={from}&wait_ms={wait_ms}",
            self.address
        );
        get_json(&self.client, uri, EXCHANGE_TIMEOUT + wait).await
    }
}
