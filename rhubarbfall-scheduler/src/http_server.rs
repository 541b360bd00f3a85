//! HTTP/1.1 server on the process's single thread.
//!
//! It uses `hyper` directly: `xitca-web` starts its own worker threads with separate state, but
//! with a quarter of a core, requests and scheduling share one thread.

use std::convert::Infallible;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, spawn_local};

use crate::node::Node;
use crate::processor_time::{Activity, metered};

/// Limit of the request body size; above the largest submission that operators allow.
const MAX_BODY_BYTES: usize = 1024 * 1024;

/// Time limit for receiving a request head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(15);

/// Pause after a failed accept, for example when no file descriptors are left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Request with its complete body.
#[derive(Debug)]
pub(crate) struct ServerRequest {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl ServerRequest {
    /// Returns the value of a header, or `None` if it is absent or not visible ASCII.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// Response with its complete body.
#[derive(Debug)]
pub(crate) struct ServerResponse {
    pub(crate) status: StatusCode,
    pub(crate) retry_after: Option<Duration>,
    pub(crate) body: Bytes,
}

impl ServerResponse {
    pub(crate) fn new(status: StatusCode, body: impl Into<Bytes>) -> Self {
        Self {
            status,
            retry_after: None,
            body: body.into(),
        }
    }

    pub(crate) fn empty(status: StatusCode) -> Self {
        Self::new(status, Bytes::new())
    }
}

/// Accepts and serves connections until the process ends. Their processor time counts for `activity`.
pub(crate) async fn serve<F, ResponseFuture>(
    node: Rc<Node>,
    listener: TcpListener,
    activity: Activity,
    handle: F,
) where
    F: Fn(Rc<Node>, ServerRequest) -> ResponseFuture + Clone + 'static,
    ResponseFuture: Future<Output = ServerResponse> + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let node = Rc::clone(&node);
                let clock = node.clock.clone();
                let connection = serve_connection(node, stream, handle.clone());
                spawn_local(metered(activity, clock, connection));
            }
            Err(error) => {
                log::warn!("event=accept_failed error={error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection<F, ResponseFuture>(node: Rc<Node>, stream: TcpStream, handle: F)
where
    F: Fn(Rc<Node>, ServerRequest) -> ResponseFuture + Clone + 'static,
    ResponseFuture: Future<Output = ServerResponse> + 'static,
{
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("event=nodelay_failed error={error}");
    }
    let service_node = Rc::clone(&node);
    let service = service_fn(move |request: http::Request<Incoming>| {
        let is_detached = request.method() == Method::DELETE;
        let response = handle_request(Rc::clone(&service_node), request, handle.clone());
        let execution = Execution::new(response, is_detached);
        async move { Ok::<_, Infallible>(execution.response().await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let outcome = tokio::select! {
        outcome = connection.as_mut() => outcome,
        () = node.close_connections.notified() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = outcome {
        log::debug!("event=connection_ended error={error}");
    }
}

/// How a request is executed.
enum Execution<ResponseFuture> {
    /// The request ends with its connection.
    Attached(ResponseFuture),
    /// The request takes effect even if its caller closes the connection.
    Detached(JoinHandle<http::Response<Full<Bytes>>>),
}

impl<ResponseFuture> Execution<ResponseFuture>
where
    ResponseFuture: Future<Output = http::Response<Full<Bytes>>> + 'static,
{
    /// Starts a detached request at once: a connection that has ended does not poll its requests.
    fn new(response: ResponseFuture, is_detached: bool) -> Self {
        if is_detached {
            Self::Detached(spawn_local(response))
        } else {
            Self::Attached(response)
        }
    }

    async fn response(self) -> http::Response<Full<Bytes>> {
        match self {
            Self::Attached(response) => response.await,
            Self::Detached(task) => task.await.unwrap_or_else(|error| {
                log::error!("event=request_failed error={error}");
                internal_error()
            }),
        }
    }
}

fn internal_error() -> http::Response<Full<Bytes>> {
    let mut response = http::Response::new(Full::default());
    *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
    response
}

async fn handle_request<F, ResponseFuture>(
    node: Rc<Node>,
    request: http::Request<Incoming>,
    handle: F,
) -> http::Response<Full<Bytes>>
where
    F: Fn(Rc<Node>, ServerRequest) -> ResponseFuture,
    ResponseFuture: Future<Output = ServerResponse>,
{
    let (head, body) = request.into_parts();
    let response = match Limited::new(body, MAX_BODY_BYTES).collect().await {
        Ok(body) => {
            let request = ServerRequest {
                method: head.method,
                path: head.uri.path().to_owned(),
                headers: head.headers,
                body: body.to_bytes(),
            };
            handle(Rc::clone(&node), request).await
        }
        Err(error) => {
            log::info!("event=body_unreadable error={error}");
            ServerResponse::empty(StatusCode::PAYLOAD_TOO_LARGE)
        }
    };
    let mut builder = http::Response::builder().status(response.status);
    if !response.body.is_empty() {
        builder = builder.header("content-type", "application/json");
    }
    if let Some(after) = response.retry_after {
        let whole_seconds = after.as_millis().div_ceil(1_000).max(1);
        builder = builder.header("retry-after", whole_seconds.to_string());
    }
    // Makes the caller reconnect, so that the load balancer can pick an entry that can serve it.
    if node.is_stopping.get() || node.is_isolated() {
        builder = builder.header("connection", "close");
    }
    builder
        .body(Full::new(response.body))
        .unwrap_or_else(|error| {
            log::error!("event=answer_malformed error={error}");
            internal_error()
        })
}
