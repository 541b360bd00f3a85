use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

/// Timeout of a request, up to the end of the response body.
const RESPONSE_TIMEOUT: Duration = Duration::from_mins(1);

/// HTTP client that a test uses as caller, operator or any other client.
#[derive(Debug, Clone)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
}

/// HTTP request that a test sends.
#[derive(Debug, Clone)]
pub struct TestRequest {
    /// HTTP method.
    pub method: Method,
    /// Address of the server.
    pub address: SocketAddr,
    /// Path and query.
    pub path: Arc<str>,
    /// Names and values of the headers.
    pub headers: Vec<(Arc<str>, Arc<str>)>,
    /// Request body.
    pub body: Bytes,
}

/// HTTP response to a [`TestRequest`], read to its end.
#[derive(Debug, Clone)]
pub struct TestResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// Response body.
    pub body: Bytes,
}

/// Reason why no complete response was received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerError {
    /// No connection could be established, or the request is invalid: nothing was sent.
    NotConnected,
    /// The connection broke before the end of the response.
    Broken,
    /// The response was not complete within the timeout.
    Timeout,
}

impl TestRequest {
    /// Creates a POST request with an empty body to a queue of an entry.
    pub fn to_queue(address: SocketAddr, queue: &str, request_id: &str) -> Self {
        Self {
            method: Method::POST,
            address,
            path: Arc::from(format!("/v1/queues/{queue}")),
            headers: vec![(Arc::from("x-request-id"), Arc::from(request_id))],
            body: Bytes::new(),
        }
    }

    /// Creates a request without headers and with an empty body.
    pub fn new(method: Method, address: SocketAddr, path: impl Into<Arc<str>>) -> Self {
        Self {
            method,
            address,
            path: path.into(),
            headers: Vec::new(),
            body: Bytes::new(),
        }
    }

    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: impl Into<Arc<str>>, value: impl Into<Arc<str>>) -> Self {
        self.headers.push((name.into(), value.into()));
        self
    }

    /// Adds the header with the caller's or operator's key.
    #[must_use]
    pub fn key(self, key: impl Into<Arc<str>>) -> Self {
        self.header("x-rhubarbfall-key", key)
    }

    /// Sets the body.
    #[must_use]
    pub fn body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }
}

impl TestResponse {
    /// Returns the result code; `None` if the response has no valid one.
    #[must_use]
    pub fn code(&self) -> Option<u16> {
        self.header("x-rhubarbfall-code")?.parse().ok()
    }

    /// Returns a header as text; `None` if it is absent or not visible ASCII.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

impl Caller {
    /// Creates a client that reuses connections and never retries a request.
    #[must_use]
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self {
            client: Client::builder(TokioExecutor::new())
                .retry_canceled_requests(false)
                .build(connector),
        }
    }

    /// Sends a request and reads the response to its end.
    ///
    /// # Errors
    ///
    /// [`CallerError`] if no complete response was received.
    pub async fn send(&self, request: TestRequest) -> Result<TestResponse, CallerError> {
        tokio::time::timeout(RESPONSE_TIMEOUT, self.exchange(request))
            .await
            .map_err(|_| CallerError::Timeout)?
    }

    async fn exchange(&self, request: TestRequest) -> Result<TestResponse, CallerError> {
        let mut builder = http::Request::builder()
            .method(request.method)
            .uri(format!("http://{}{}", request.address, request.path));
        for (name, value) in &request.headers {
            builder = builder.header(&**name, &**value);
        }
        let request = builder
            .body(Full::new(request.body))
            .map_err(|_| CallerError::NotConnected)?;
        let response = self.client.request(request).await.map_err(|error| {
            if error.is_connect() {
                CallerError::NotConnected
            } else {
                CallerError::Broken
            }
        })?;
        let (parts, body) = response.into_parts();
        let body = body.collect().await.map_err(|_| CallerError::Broken)?;
        Ok(TestResponse {
            status: parts.status,
            headers: parts.headers,
            body: body.to_bytes(),
        })
    }
}

impl Default for Caller {
    fn default() -> Self {
        Self::new()
    }
}
