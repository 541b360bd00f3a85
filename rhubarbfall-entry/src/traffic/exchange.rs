use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_LENGTH, HOST, HeaderValue, TRANSFER_ENCODING};
use http::{Method, Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use rhubarbfall_core::ResultCode;
use rhubarbfall_routing::{HealthReport, Reuse};

use super::CallerRequest;
use super::authorize::Authorized;
use super::upstream_connections::{Connection, check_health};
use crate::Shared;
use crate::dispatch::Permit;

/// Time limit of the health check before an idle connection is reused.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// The head of an upstream's response, with the connection that carries its body.
pub(super) struct UpstreamResponse {
    pub(super) response: Response<Incoming>,
    pub(super) connection: Connection,
}

/// A caller's request as it is sent to an upstream.
pub(super) struct OutgoingRequest<'a> {
    pub(super) caller: &'a CallerRequest,
    pub(super) authorized: &'a Authorized,
    pub(super) headers: &'a http::HeaderMap,
    pub(super) body: Bytes,
    pub(super) timeout: Duration,
}

impl UpstreamResponse {
    /// Returns whether the status is not a server error (5xx).
    pub(super) fn is_success(&self) -> bool {
        !self.response.status().is_server_error()
    }
}

/// Sends a request to the permit's upstream and waits for the head of the response.
pub(super) async fn exchange(
    shared: &Arc<Shared>,
    outgoing: &OutgoingRequest<'_>,
    permit: &Permit,
) -> Result<UpstreamResponse, ResultCode> {
    let request = upstream_request(outgoing, permit)?;
    let mut connection = working_connection(shared, outgoing, permit).await?;
    if !permit.begin(shared.clock.now()) {
        return Err(ResultCode::UpperLimitReached);
    }
    let sent = tokio::time::timeout(outgoing.timeout, connection.send_request(request));
    let response = match sent.await {
        Err(_) => return Err(ResultCode::UpstreamSilent),
        Ok(Err(error)) if error.is_canceled() => {
            permit.end();
            return Err(ResultCode::ConnectFailed);
        }
        Ok(Err(_)) => return Err(ResultCode::UpstreamConnectionLost),
        Ok(Ok(response)) => response,
    };
    if is_closing(&response) {
        shared.upstreams.on_leaving_response(permit.upstream());
    }
    check_response(&response, outgoing.caller).inspect_err(|code| {
        if *code == ResultCode::UpstreamRefused {
            permit.end();
        }
    })?;
    Ok(UpstreamResponse {
        response,
        connection,
    })
}

/// Returns an idle connection that is known to work, after a health check if required, or a new
/// connection.
async fn working_connection(
    shared: &Arc<Shared>,
    outgoing: &OutgoingRequest<'_>,
    permit: &Permit,
) -> Result<Connection, ResultCode> {
    let address = permit.address();
    let connections = &shared.connections;
    let is_idempotent = outgoing.caller.is_idempotent;
    let Some((mut connection, reuse)) = connections.take_idle(address, is_idempotent) else {
        return connections.open(address).await;
    };
    if reuse == Reuse::Direct {
        return Ok(connection);
    }
    match check_health(&mut connection, PROBE_TIMEOUT).await {
        Some(HealthReport::Serving) => Ok(connection),
        Some(_) => {
            shared.upstreams.on_leaving_response(permit.upstream());
            Err(ResultCode::UpstreamRefused)
        }
        None => {
            log::info!("event=connection-silent upstream={}", permit.upstream());
            metrics::counter!("rhubarbfall_silent_connections_total").increment(1);
            connections.drop_idle(address);
            connections.open(address).await
        }
    }
}

fn is_closing(response: &Response<Incoming>) -> bool {
    let value = response.headers().get(CONNECTION);
    value.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"))
}

/// Checks that a response belongs to the request, and that its framing marks its end, so that a
/// truncated response can be detected.
fn check_response(response: &Response<Incoming>, caller: &CallerRequest) -> Result<(), ResultCode> {
    let headers = response.headers();
    if headers.contains_key("x-not-started") {
        return Err(ResultCode::UpstreamRefused);
    }
    let echoed = headers.get("x-request-id").map(HeaderValue::as_bytes);
    if echoed != Some(caller.request_id.as_str().as_bytes()) {
        return Err(ResultCode::AnswerMismatch);
    }
    let has_end = headers.contains_key(TRANSFER_ENCODING) || headers.contains_key(CONTENT_LENGTH);
    if has_end {
        Ok(())
    } else {
        Err(ResultCode::AnswerCut)
    }
}

fn upstream_request(
    outgoing: &OutgoingRequest<'_>,
    permit: &Permit,
) -> Result<Request<Full<Bytes>>, ResultCode> {
    let mut request = Request::builder()
        .method(Method::POST)
        .uri(format!("/work/{}", outgoing.caller.queue))
        .header(HOST, permit.address().to_string())
        .header("x-team", outgoing.authorized.team.as_str())
        .body(Full::new(outgoing.body.clone()))
        .map_err(|_| ResultCode::BadRequest)?;
    for (name, value) in outgoing.headers {
        if is_forwarded(name) {
            request.headers_mut().append(name, value.clone());
        }
    }
    Ok(request)
}

/// Returns whether a caller's header is forwarded to the upstream: all but the API key, the team
/// and headers that apply to the caller's connection or to the framing of its request.
fn is_forwarded(name: &http::HeaderName) -> bool {
    let not_forwarded = [
        "connection",
        "expect",
        "host",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-rhubarbfall-key",
        "x-team",
    ];
    *name != CONTENT_LENGTH && not_forwarded.binary_search(&name.as_str()).is_err()
}
