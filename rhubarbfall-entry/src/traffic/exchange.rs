use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_LENGTH, HOST};
use http::{Method, Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use rhubarbfall_core::ResultCode;

use super::CallerRequest;
use super::authorize::Authorized;
use super::upstream_connections::Connection;
use crate::Shared;
use crate::dispatch::Permit;

/// The head of an upstream's answer, with the connection that carries the rest.
pub(super) struct Answer {
    pub(super) response: Response<Incoming>,
    pub(super) connection: Connection,
}

/// Sends a request to the permit's upstream and waits for the head of the answer.
pub(super) async fn exchange(
    shared: &Arc<Shared>,
    caller: &CallerRequest,
    authorized: &Authorized,
    permit: &Permit,
    headers: &http::HeaderMap,
    body: Bytes,
    timeout: Duration,
) -> Result<Answer, ResultCode> {
    let address = permit.address();
    let mut connection = match shared.connections.take_idle(address) {
        Some(connection) => connection,
        None => shared.connections.open(address).await?,
    };
    let request = upstream_request(caller, authorized, permit, headers, body)?;
    let sent = tokio::time::timeout(timeout, connection.send_request(request));
    let response = match sent.await {
        Err(_) => return Err(ResultCode::UpstreamSilent),
        Ok(Err(_)) => return Err(ResultCode::UpstreamConnectionLost),
        Ok(Ok(response)) => response,
    };
    if response.headers().contains_key("x-not-started") {
        return Err(ResultCode::UpstreamRefused);
    }
    let echoed = response.headers().get("x-request-id");
    if echoed.is_some_and(|id| id.as_bytes() != caller.request_id.as_str().as_bytes()) {
        return Err(ResultCode::AnswerMismatch);
    }
    Ok(Answer {
        response,
        connection,
    })
}

fn upstream_request(
    caller: &CallerRequest,
    authorized: &Authorized,
    permit: &Permit,
    headers: &http::HeaderMap,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, ResultCode> {
    let mut request = Request::builder()
        .method(Method::POST)
        .uri(format!("/work/{}", caller.queue))
        .header(HOST, permit.address().to_string())
        .header("x-team", authorized.team.as_str())
        .body(Full::new(body))
        .map_err(|_| ResultCode::BadRequest)?;
    for (name, value) in headers {
        if is_passed_on(name) {
            request.headers_mut().append(name, value.clone());
        }
    }
    Ok(request)
}

/// Returns whether a caller's header is for the upstream too; keys and the caller's own framing
/// are not.
fn is_passed_on(name: &http::HeaderName) -> bool {
    let held_back = [
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
    *name != CONTENT_LENGTH && held_back.binary_search(&name.as_str()).is_err()
}
