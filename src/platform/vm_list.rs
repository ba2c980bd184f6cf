//! Client of the platform's VM list. `GET /v1/vms` returns a JSON array of [`VmRecord`]s with an
//! entity tag, or 304 if the request carries the current tag.

use std::net::SocketAddr;

use http::{
    HeaderValue, StatusCode,
    header::{ETAG, IF_NONE_MATCH},
};
use volo_http::client::Client;

use super::{PlatformError, REQUEST_TIMEOUT, fetch};
use crate::core::VmRecord;

/// HTTP client of the VM list.
#[derive(Clone)]
pub struct VmListClient {
    client: Client,
    address: SocketAddr,
}

impl VmListClient {
    /// Creates a client of the service at `address`. It connects with its first request.
    ///
    /// # Errors
    ///
    /// The HTTP client cannot be built.
    pub fn new(address: SocketAddr) -> Result<Self, PlatformError> {
        let client = Client::builder().build().map_err(PlatformError::Client)?;
        Ok(Self { client, address })
    }

    /// Reads the whole list. It is eventually consistent and may be stale.
    ///
    /// # Errors
    ///
    /// The service is unreachable, times out, or responds with an error.
    pub async fn read(&self) -> Result<Vec<VmRecord>, PlatformError> {
        Ok(self.read_if_changed(&mut None).await?.unwrap_or_default())
    }

    /// Reads the list if it has changed since `tag`, and stores its new tag there. Returns `None`
    /// if it has not changed, which saves the transfer of a long list. A service without entity
    /// tags sends the list each time.
    ///
    /// # Errors
    ///
    /// The same as for [`VmListClient::read`].
    pub async fn read_if_changed(
        &self,
        tag: &mut Option<HeaderValue>,
    ) -> Result<Option<Vec<VmRecord>>, PlatformError> {
        let mut request = self.client.get(format!("http://{}/v1/vms", self.address));
        if let Some(tag) = tag.clone() {
            request.headers_mut().insert(IF_NONE_MATCH, tag);
        }
        let (parts, body) = fetch(request, REQUEST_TIMEOUT).await?;
        match parts.status {
            StatusCode::NOT_MODIFIED => Ok(None),
            StatusCode::OK => {
                let list = serde_json::from_slice(&body)?;
                *tag = parts.headers.get(ETAG).cloned();
                Ok(Some(list))
            }
            status => Err(PlatformError::Status(status.as_u16())),
        }
    }
}
