//! Client of the platform's list of VMs: `GET /v1/vms` answers a list of [`VmRecord`]s.

use std::net::SocketAddr;

use volo_http::client::Client;

use super::{EXCHANGE_TIMEOUT, PlatformError, get_json};
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
        let uri = format!("http://{}/v1/vms", self.address);
        get_json(&self.client, uri, EXCHANGE_TIMEOUT).await
    }
}
