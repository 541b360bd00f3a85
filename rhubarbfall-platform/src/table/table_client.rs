use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode};
use rhubarbfall_core::{AvailabilityZoneId, RowVersion};
use serde::Deserialize;
use serde::de::DeserializeOwned;

use super::{Committed, Row, Transaction};
use crate::{HttpClient, PlatformError};

/// The maximum number of retries of a transaction that may have taken effect.
const MAX_RETRIES: u32 = 3;

/// The back-off before the first retry; it grows by this amount with each further one.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// A client of the transactional table.
#[derive(Debug, Clone)]
pub struct TableClient {
    http: HttpClient,
}

#[derive(Debug, Deserialize)]
struct Conflict {
    key: Arc<str>,
    version: RowVersion,
}

impl TableClient {
    /// Creates a client for the table at `address`; `timeout` limits each request.
    pub fn new(
        address: SocketAddr,
        availability_zone: AvailabilityZoneId,
        timeout: Duration,
    ) -> Self {
        Self {
            http: HttpClient::new(address, availability_zone, timeout),
        }
    }

    /// Commits a transaction, retrying it under the same identifier while it may have taken effect.
    ///
    /// The table responds to a repeated identifier with the first result, so that the writes take
    /// effect at most once.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::ConditionFailed`] or [`PlatformError::Unavailable`] if nothing was
    /// written, and [`PlatformError::ResponseLost`] if the writes may have taken effect and the
    /// retries failed too.
    pub async fn commit(&self, transaction: &Transaction) -> Result<Committed, PlatformError> {
        let body = to_body(transaction)?;
        let mut may_have_taken_effect = false;
        let mut retries = 0;
        loop {
            let error = match self.try_commit(body.clone()).await {
                Ok(committed) => return Ok(committed),
                Err(error) => error,
            };
            may_have_taken_effect |= error.may_have_taken_effect();
            if matches!(error, PlatformError::ConditionFailed(..)) || !may_have_taken_effect {
                return Err(error);
            }
            if retries == MAX_RETRIES {
                return Err(PlatformError::ResponseLost(Arc::from(error.to_string())));
            }
            retries += 1;
            tokio::time::sleep(RETRY_DELAY * retries).await;
        }
    }

    async fn try_commit(&self, body: Bytes) -> Result<Committed, PlatformError> {
        let response = self
            .http
            .send(Method::POST, "/v1/transactions", body)
            .await?;
        match response.status {
            StatusCode::OK => from_body(&response.body),
            StatusCode::CONFLICT => {
                let conflict: Conflict = from_body(&response.body)?;
                Err(PlatformError::ConditionFailed(
                    conflict.key,
                    conflict.version,
                ))
            }
            status => Err(unexpected_status(status)),
        }
    }

    /// Returns one row, or `None` if the table has no row with this key.
    ///
    /// # Errors
    ///
    /// Returns any [`PlatformError`] except [`PlatformError::ConditionFailed`].
    pub async fn read(&self, key: &str) -> Result<Option<Row>, PlatformError> {
        let path = format!("/v1/rows/{key}");
        let response = self.http.send(Method::GET, &path, Bytes::new()).await?;
        match response.status {
            StatusCode::OK => from_body(&response.body).map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(unexpected_status(status)),
        }
    }

    /// Returns every row whose key starts with `prefix`, in key order.
    ///
    /// # Errors
    ///
    /// Returns any [`PlatformError`] except [`PlatformError::ConditionFailed`].
    pub async fn scan(&self, prefix: &str) -> Result<Vec<Row>, PlatformError> {
        let path = format!("/v1/scan?prefix={prefix}");
        let response = self.http.send(Method::GET, &path, Bytes::new()).await?;
        match response.status {
            StatusCode::OK => from_body(&response.body),
            status => Err(unexpected_status(status)),
        }
    }
}

fn to_body(transaction: &Transaction) -> Result<Bytes, PlatformError> {
    serde_json::to_vec(transaction)
        .map(Bytes::from)
        .map_err(|error| PlatformError::Unavailable(Arc::from(error.to_string())))
}

fn from_body<T: DeserializeOwned>(body: &Bytes) -> Result<T, PlatformError> {
    serde_json::from_slice(body)
        .map_err(|error| PlatformError::Malformed(Arc::from(error.to_string())))
}

fn unexpected_status(status: StatusCode) -> PlatformError {
    PlatformError::Malformed(Arc::from(format!("unexpected HTTP status {status}")))
}
