use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode};
use rhubarbfall_core::AvailabilityZoneId;

use super::{MaintenancePermit, MaintenanceRecord};
use crate::{HttpClient, PlatformError};

/// A client of the platform's maintenance service.
#[derive(Debug, Clone)]
pub struct MaintenanceClient {
    http: HttpClient,
}

impl MaintenanceClient {
    /// Creates a client for the service at `address`; `timeout` limits each request.
    pub fn new(
        address: SocketAddr,
        availability_zone: AvailabilityZoneId,
        timeout: Duration,
    ) -> Self {
        Self {
            http: HttpClient::new(address, availability_zone, timeout),
        }
    }

    /// Returns the announced reboots of all availability zones.
    ///
    /// # Errors
    ///
    /// Returns any [`PlatformError`] except [`PlatformError::ConditionFailed`].
    pub async fn list(&self) -> Result<Vec<MaintenanceRecord>, PlatformError> {
        let path = "/v1/maintenance";
        let response = self.http.send(Method::GET, path, Bytes::new()).await?;
        if response.status != StatusCode::OK {
            return Err(unexpected_status(response.status));
        }
        serde_json::from_slice(&response.body)
            .map_err(|error| PlatformError::Malformed(Arc::from(error.to_string())))
    }

    /// Permits the platform to reboot a VM; the call is idempotent.
    ///
    /// # Errors
    ///
    /// Returns any [`PlatformError`] except [`PlatformError::ConditionFailed`].
    pub async fn permit(&self, permit: &MaintenancePermit) -> Result<(), PlatformError> {
        let body = serde_json::to_vec(permit)
            .map_err(|error| PlatformError::Malformed(Arc::from(error.to_string())))?;
        let path = "/v1/maintenance/permits";
        let response = self.http.send(Method::POST, path, body).await?;
        match response.status {
            StatusCode::OK => Ok(()),
            status => Err(unexpected_status(status)),
        }
    }
}

fn unexpected_status(status: StatusCode) -> PlatformError {
    PlatformError::Malformed(Arc::from(format!("unexpected HTTP status {status}")))
}
