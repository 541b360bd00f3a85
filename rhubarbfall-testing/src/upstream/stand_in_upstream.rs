use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::header::{CONNECTION, HeaderValue};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use parking_lot::Mutex;
use rhubarbfall_core::UpstreamId;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::sync::mpsc;

use super::UpstreamLog;
use super::upstream_log::RequestStart;
use crate::{Body, ConnectionDropped, json_response, serve_http, text_response};

/// Time after an upstream's leaving notice before a new request counts as started after leaving.
const LEAVING_GRACE: Duration = Duration::from_secs(3);

/// Maximum size of the chunks in which a response body is sent.
const CHUNK_BYTES: usize = 16 * 1024;

/// Behaviour of a stand-in upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UpstreamMode {
    /// Runs every request.
    Serve,
    /// Responds with status 500 at once.
    Fail,
    /// Responds with status 503 and the header `x-not-started`, without running the request.
    Refuse,
    /// Starts requests and never responds.
    Silent,
    /// Runs requests, sends half of each response body and drops the connection.
    #[serde(rename = "cut-answer")]
    TruncateResponse,
    /// Runs requests and responds with the identifier of another request.
    #[serde(rename = "wrong-request")]
    WrongRequestId,
    /// Runs requests and announces that it leaves: `connection: close` and a failing health check.
    Leaving,
}

/// Stand-in for an upstream of a service.
#[derive(Debug, Clone)]
pub struct StandInUpstream {
    address: SocketAddr,
    shared: Arc<UpstreamState>,
}

#[derive(Debug)]
struct UpstreamState {
    id: UpstreamId,
    log: UpstreamLog,
    mode: Mutex<(UpstreamMode, Instant)>,
    default_work_time: Duration,
}

impl StandInUpstream {
    /// Starts an upstream on the current runtime.
    ///
    /// A request takes `default_work_time`, unless its header `x-work-ms` sets another time.
    ///
    /// # Errors
    ///
    /// Any I/O error if the address cannot be bound.
    pub async fn start(
        id: UpstreamId,
        listen: SocketAddr,
        log: UpstreamLog,
        default_work_time: Duration,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(UpstreamState {
            id,
            log,
            mode: Mutex::new((UpstreamMode::Serve, Instant::now())),
            default_work_time,
        });
        let state = Arc::clone(&shared);
        let handler = move |request| handle(Arc::clone(&state), request);
        tokio::spawn(serve_http(listener, handler));
        Ok(Self { address, shared })
    }

    /// Returns the address on which the upstream listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the identifier of the upstream.
    #[must_use]
    pub fn id(&self) -> &UpstreamId {
        &self.shared.id
    }

    /// Sets the behaviour for requests that arrive from now on.
    pub fn set_mode(&self, mode: UpstreamMode) {
        *self.shared.mode.lock() = (mode, Instant::now());
    }
}

/// Guard of a request in the log: dropping it records the end of the request.
struct RunningRequest {
    shared: Arc<UpstreamState>,
    queue: String,
    team: String,
    is_complete: bool,
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        let id = self.shared.id.as_str();
        self.shared
            .log
            .finish(id, &self.queue, &self.team, self.is_complete);
    }
}

async fn handle(
    shared: Arc<UpstreamState>,
    request: Request<Incoming>,
) -> Result<Response<Body>, ConnectionDropped> {
    let path = request.uri().path().to_owned();
    let (mode, mode_since) = *shared.mode.lock();
    if path == "/health" {
        let is_healthy = matches!(mode, UpstreamMode::Serve | UpstreamMode::WrongRequestId);
        let status = if is_healthy {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        return Ok(text_response(status, ""));
    }
    if path == "/control/report" {
        return Ok(json_response(StatusCode::OK, &shared.log.report()));
    }
    if path == "/control/mode" {
        let body = request
            .into_body()
            .collect()
            .await
            .map_err(|_| ConnectionDropped)?;
        let Ok(mode) = serde_json::from_slice(&body.to_bytes()) else {
            return Ok(text_response(StatusCode::BAD_REQUEST, "no such mode"));
        };
        *shared.mode.lock() = (mode, Instant::now());
        return Ok(text_response(StatusCode::OK, "done"));
    }
    match mode {
        UpstreamMode::Refuse => Ok(refusal()),
        UpstreamMode::Fail => Ok(text_response(StatusCode::INTERNAL_SERVER_ERROR, "failed")),
        _ => run(shared, mode, mode_since, request).await,
    }
}

fn refusal() -> Response<Body> {
    let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, "refused");
    let headers = response.headers_mut();
    headers.insert("x-not-started", HeaderValue::from_static("1"));
    response
}

async fn run(
    shared: Arc<UpstreamState>,
    mode: UpstreamMode,
    mode_since: Instant,
    request: Request<Incoming>,
) -> Result<Response<Body>, ConnectionDropped> {
    let header = |name: &str| {
        let value = request.headers().get(name)?;
        Some(value.to_str().ok()?.to_owned())
    };
    let request_id = header("x-request-id").unwrap_or_default();
    let team = header("x-team").unwrap_or_default();
    let work_ms = header("x-work-ms").and_then(|text| text.parse().ok());
    let work_time = work_ms.map_or(shared.default_work_time, Duration::from_millis);
    let response_bytes = header("x-answer-bytes").and_then(|text| text.parse().ok());
    let is_idempotent = header("x-rhubarbfall-idempotent").as_deref() == Some("true");
    let path = request.uri().path();
    let queue = path.rsplit('/').next().unwrap_or_default().to_owned();
    request
        .into_body()
        .collect()
        .await
        .map_err(|_| ConnectionDropped)?;
    shared.log.start(RequestStart {
        upstream: shared.id.as_str(),
        queue: &queue,
        team: &team,
        request: &request_id,
        is_idempotent,
        is_after_leaving_grace: mode == UpstreamMode::Leaving
            && mode_since.elapsed() > LEAVING_GRACE,
    });
    let running = RunningRequest {
        shared,
        queue,
        team,
        is_complete: false,
    };
    if mode == UpstreamMode::Silent {
        std::future::pending::<()>().await;
    }
    if !work_time.is_zero() {
        tokio::time::sleep(work_time).await;
    }
    let echoed_id = if mode == UpstreamMode::WrongRequestId {
        "another-request"
    } else {
        request_id.as_str()
    };
    let is_truncated = mode == UpstreamMode::TruncateResponse;
    let mut response = Response::new(response_body(
        running,
        &request_id,
        response_bytes,
        is_truncated,
    ));
    let headers = response.headers_mut();
    if let Ok(value) = HeaderValue::from_str(echoed_id) {
        headers.insert("x-request-id", value);
    }
    if mode == UpstreamMode::Leaving {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

/// Returns the response body: the line `done <request id>`, repeated or cut to `size_bytes`.
fn response_body(
    running: RunningRequest,
    request_id: &str,
    size_bytes: Option<usize>,
    is_truncated: bool,
) -> Body {
    let line = format!("done {request_id}\n");
    let size_bytes = size_bytes.unwrap_or(line.len());
    let content = Bytes::from(line);
    let (sender, receiver) = mpsc::channel::<Result<Frame<Bytes>, ConnectionDropped>>(2);
    tokio::spawn(async move {
        let mut running = running;
        let mut sent_bytes = 0;
        while sent_bytes < size_bytes {
            if is_truncated && sent_bytes >= size_bytes / 2 {
                let _ = sender.send(Err(ConnectionDropped)).await;
                return;
            }
            let length = CHUNK_BYTES
                .min(size_bytes - sent_bytes)
                .min(if is_truncated {
                    size_bytes.div_ceil(2)
                } else {
                    usize::MAX
                });
            let chunk = repeat_to_length(&content, length);
            if sender.send(Ok(Frame::data(chunk))).await.is_err() {
                return;
            }
            sent_bytes += length;
        }
        running.is_complete = true;
    });
    StreamBody::new(ReceiverStream { receiver }).boxed()
}

fn repeat_to_length(content: &Bytes, length: usize) -> Bytes {
    if length <= content.len() {
        return content.slice(..length);
    }
    content.iter().copied().cycle().take(length).collect()
}

struct ReceiverStream {
    receiver: mpsc::Receiver<Result<Frame<Bytes>, ConnectionDropped>>,
}

impl futures_util::Stream for ReceiverStream {
    type Item = Result<Frame<Bytes>, ConnectionDropped>;

    fn poll_next(
        mut self: std::pin::Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Self::Item>> {
        self.receiver.poll_recv(context)
    }
}
