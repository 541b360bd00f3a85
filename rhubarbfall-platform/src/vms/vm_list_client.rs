use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode};
use rhubarbfall_core::AvailabilityZoneId;

use super::VmRecord;
use crate::{HttpClient, PlatformError};

/// A client of the platform's list of VMs.
#[derive(Debug, Clone)]
pub struct VmListClient {
    http: HttpClient,
}

impl VmListClient {
    /// Creates a client for the list at `address`; `timeout` limits each request.
    pub fn new(
        address: SocketAddr,
        availability_zone: AvailabilityZoneId,
        timeout: Duration,
    ) -> Self {
        Self {
            http: HttpClient::new(address, availability_zone, timeout),
        }
    }

    /// Returns every VM in the list.
    ///
    /// # Errors
    ///
    /// Returns any [`PlatformError`] except [`PlatformError::ConditionFailed`].
    pub async fn list(&self) -> Result<Vec<VmRecord>, PlatformError> {
        let response = self.http.send(Method::GET, "/v1/vms", Bytes::new()).await?;
        if response.status != StatusCode::OK {
            let reason = format!("unexpected HTTP status {}", response.status);
            return Err(PlatformError::Malformed(Arc::from(reason)));
        }
        serde_json::from_slice(&response.body)
            .map_err(|error| PlatformError::Malformed(Arc::from(error.to_string())))
    }
}
