use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode};
use rhubarbfall_core::AvailabilityZoneId;

use crate::{HttpClient, PlatformError};

/// A client of the platform's object store.
#[derive(Debug, Clone)]
pub struct ObjectClient {
    http: HttpClient,
}

impl ObjectClient {
    /// Creates a client for the store at `address`; `timeout` limits each request.
    pub fn new(
        address: SocketAddr,
        availability_zone: AvailabilityZoneId,
        timeout: Duration,
    ) -> Self {
        Self {
            http: HttpClient::new(address, availability_zone, timeout),
        }
    }

    /// Stores an object, replacing any previous object under the same key.
    ///
    /// # Errors
    ///
    /// Returns any [`PlatformError`] except [`PlatformError::ConditionFailed`].
    pub async fn put(&self, key: &str, content: impl Into<Bytes>) -> Result<(), PlatformError> {
        let path = format!("/v1/objects/{key}");
        let response = self.http.send(Method::PUT, &path, content).await?;
        match response.status {
            StatusCode::OK => Ok(()),
            status => Err(unexpected_status(status)),
        }
    }

    /// Returns the content of an object, or `None` if no object has this key.
    ///
    /// # Errors
    ///
    /// Returns any [`PlatformError`] except [`PlatformError::ConditionFailed`].
    pub async fn get(&self, key: &str) -> Result<Option<Bytes>, PlatformError> {
        let path = format!("/v1/objects/{key}");
        let response = self.http.send(Method::GET, &path, Bytes::new()).await?;
        match response.status {
            StatusCode::OK => Ok(Some(response.body)),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(unexpected_status(status)),
        }
    }
}

fn unexpected_status(status: StatusCode) -> PlatformError {
    PlatformError::Malformed(Arc::from(format!("unexpected HTTP status {status}")))
}
