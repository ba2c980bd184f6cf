//! Client of the append-only log service.
//!
//! `POST /v1/streams/{stream}/records` appends the body as one record and returns `{"offset": n}`.
//! `GET /v1/streams/{stream}/records?from=n&wait_ms=w&max=m` returns a [`LogPage`]; it is a long
//! poll that waits up to `w` milliseconds while the stream has no record at offset `n`. Offsets of
//! a stream count from zero without gaps.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use volo_http::client::Client;

use super::{PlatformError, REQUEST_TIMEOUT, fetch, get_json};
use crate::units::LogOffset;

/// A page of consecutive records of one stream.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LogPage {
    /// Offset of the oldest record that the log retains.
    pub first: LogOffset,
    /// Offset that the next appended record will get.
    pub next: LogOffset,
    /// Records in the order of their offsets; empty if there are none yet.
    pub records: Vec<LogRecord>,
}

/// A record of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LogRecord {
    /// Position in the stream.
    pub offset: LogOffset,
    /// Content, exactly as it was appended.
    pub text: String,
}

#[derive(Deserialize)]
struct AppendResponse {
    offset: LogOffset,
}

/// HTTP client of the log service.
#[derive(Clone)]
pub struct LogClient {
    client: Client,
    address: SocketAddr,
}

impl LogClient {
    /// Creates a client of the service at `address`. It connects with its first request.
    ///
    /// # Errors
    ///
    /// The HTTP client cannot be built.
    pub fn new(address: SocketAddr) -> Result<Self, PlatformError> {
        let client = Client::builder().build().map_err(PlatformError::Client)?;
        Ok(Self { client, address })
    }

    /// Appends one record and returns its offset.
    ///
    /// # Errors
    ///
    /// The record was not appended if the error is a status below 500. After any other error it
    /// may have been: read the stream before retrying.
    pub async fn append(&self, stream: &str, text: String) -> Result<LogOffset, PlatformError> {
        let uri = format!("http://{}/v1/streams/{stream}/records", self.address);
        let request = self.client.post(uri).data(text);
        let (parts, body) = fetch(request, REQUEST_TIMEOUT).await?;
        if parts.status != http::StatusCode::OK {
            return Err(PlatformError::Status(parts.status.as_u16()));
        }
        let response: AppendResponse = serde_json::from_slice(&body)?;
        Ok(response.offset)
    }

    /// Reads records from offset `from`. A long poll: waits up to `wait` if there are none yet.
    ///
    /// # Errors
    ///
    /// The service is unreachable, times out, or responds with an error.
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
        get_json(&self.client, uri, REQUEST_TIMEOUT + wait).await
    }
}
