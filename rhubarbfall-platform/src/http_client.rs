use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use rhubarbfall_core::AvailabilityZoneId;

use crate::PlatformError;

/// The maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// How long an unused connection stays in the pool.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// The request header that carries the caller's availability zone.
const ZONE_HEADER: &str = "x-availability-zone";

/// An HTTP client for one service of the platform.
#[derive(Debug, Clone)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    availability_zone: AvailabilityZoneId,
    timeout: Duration,
}

/// A response with its complete body.
#[derive(Debug, Clone)]
pub struct HttpResponse {
    /// The HTTP status code.
    pub status: StatusCode,
    /// The response body, at most 64 MiB.
    pub body: Bytes,
}

impl HttpClient {
    /// Creates a client for the service at `address`; `timeout` limits each connection attempt and
    /// each request as a whole.
    pub fn new(
        address: SocketAddr,
        availability_zone: AvailabilityZoneId,
        timeout: Duration,
    ) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(timeout));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .build(connector);
        Self {
            client,
            address,
            availability_zone,
            timeout,
        }
    }

    /// Sends one request and reads the complete response.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::Unavailable`] if no connection could be opened or the service
    /// responded with status 503, [`PlatformError::ResponseLost`] if the request may have been sent
    /// and no complete response was received in time, and [`PlatformError::Malformed`] if the request
    /// could not be built.
    pub async fn send(
        &self,
        method: Method,
        path_and_query: &str,
        body: impl Into<Bytes>,
    ) -> Result<HttpResponse, PlatformError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path_and_query}", self.address))
            .header(ZONE_HEADER, self.availability_zone.as_str())
            .body(Full::new(body.into()))
            .map_err(|error| PlatformError::Malformed(error_text(&error)))?;
        let exchange = tokio::time::timeout(self.timeout, self.exchange(request));
        let lost = |_| PlatformError::ResponseLost(Arc::from("request timed out"));
        let response = exchange.await.map_err(lost)??;
        if response.status == StatusCode::SERVICE_UNAVAILABLE {
            return Err(PlatformError::Unavailable(Arc::from("HTTP status 503")));
        }
        Ok(response)
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<HttpResponse, PlatformError> {
        let response = self.client.request(request).await.map_err(|error| {
            if error.is_connect() {
                PlatformError::Unavailable(error_text(&error))
            } else {
                PlatformError::ResponseLost(error_text(&error))
            }
        })?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
            .collect()
            .await
            .map_err(|error| PlatformError::ResponseLost(error_text(&error)))?
            .to_bytes();
        Ok(HttpResponse { status, body })
    }
}

fn error_text(error: &impl ToString) -> Arc<str> {
    Arc::from(error.to_string())
}
