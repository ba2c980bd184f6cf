//! Client of the platform's list of VMs: `GET /v1/vms` answers a list of
//! [`VmRecord`]s with an entity tag, and 304 to a request that names the present tag.

use std::net::SocketAddr;

use http::{
    HeaderValue, StatusCode,
    header::{ETAG, IF_NONE_MATCH},
};
use volo_http::client::Client;

use super::{EXCHANGE_TIMEOUT, PlatformError, exchange};
use crate::core::VmRecord;

/// Client of the VM list.
#[derive(Clone)]
pub struct VmListClient {
    client: Client,
    address: SocketAddr,
}

impl VmListClient {
    /// A client of the service at `address`.
    ///
    /// # Errors
    ///
    /// The HTTP client cannot be built.
    pub fn new(address: SocketAddr) -> Result<Self, PlatformError> {
        let client = Client::builder().build().map_err(PlatformError::Client)?;
        Ok(Self { client, address })
    }

    /// Reads the list, which lags behind the truth.
    ///
    /// # Errors
    ///
    /// The service is unreachable, slow, or answers with an error.
    pub async fn read(&self) -> Result<Vec<VmRecord>, PlatformError> {
        Ok(self.read_if_changed(&mut None).await?.unwrap_or_default())
    }

    /// Reads the list where it changed since `tag` was taken from an earlier answer, and none where
    /// it did not. The whole list is long; a service that gives no entity tags sends it each time.
    ///
    /// # Errors
    ///
    /// As [`VmListClient::read`].
    pub async fn read_if_changed(
        &self,
        tag: &mut Option<HeaderValue>,
    ) -> Result<Option<Vec<VmRecord>>, PlatformError> {
        let mut request = self.client.get(format!("http://{}/v1/vms", self.address));
        if let Some(tag) = tag.clone() {
            request.headers_mut().insert(IF_NONE_MATCH, tag);
        }
        let (parts, body) = exchange(request, EXCHANGE_TIMEOUT).await?;
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
