use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

/// How long a caller waits for a whole answer.
const RESPONSE_TIMEOUT: Duration = Duration::from_mins(1);

/// A caller, or any other HTTP client of a test.
#[derive(Debug, Clone)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
}

/// A request that a caller sends.
#[derive(Debug, Clone)]
pub struct TestRequest {
    /// The method.
    pub method: Method,
    /// The address to send to.
    pub address: SocketAddr,
    /// The path.
    pub path: Arc<str>,
    /// The headers.
    pub headers: Vec<(Arc<str>, Arc<str>)>,
    /// The body.
    pub body: Bytes,
}

/// A whole answer.
#[derive(Debug, Clone)]
pub struct TestResponse {
    /// The HTTP status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// Why no whole answer came.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerError {
    /// No connection could be made, so that nothing was sent.
    NotConnected,
    /// The connection broke, or the answer was cut.
    Broken,
    /// No whole answer came in time.
    Timeout,
}

impl TestRequest {
    /// Creates a request to a queue of an entry.
    pub fn to_queue(address: SocketAddr, queue: &str, request_id: &str) -> Self {
        Self {
            method: Method::POST,
            address,
            path: Arc::from(format!("/v1/queues/{queue}")),
            headers: vec![(Arc::from("x-request-id"), Arc::from(request_id))],
            body: Bytes::new(),
        }
    }

    /// Creates a request of any kind.
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

    /// Adds a key.
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
    /// Returns the number of the result code; nothing when the answer carries none.
    #[must_use]
    pub fn code(&self) -> Option<u16> {
        self.header("x-rhubarbfall-code")?.parse().ok()
    }

    /// Returns a header as text.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

impl Caller {
    /// Creates a caller that keeps connections open between requests.
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

    /// Sends a request and waits for the whole answer.
    ///
    /// # Errors
    ///
    /// [`CallerError`] when no whole answer came.
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
