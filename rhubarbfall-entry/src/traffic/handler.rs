use std::sync::Arc;
use std::time::{Duration, Instant};

use rhubarbfall_core::ResultCode;
use rhubarbfall_document::Document;
use xitca_web::body::{RequestBody, ResponseBody};
use xitca_web::handler::body::Body;
use xitca_web::handler::state::StateRef;
use xitca_web::http::{HeaderMap, HeaderValue, Method, Uri, WebResponse};

use super::attempts::send_with_retries;
use super::authorize::{Authorized, authorize};
use super::exchange::{OutgoingRequest, UpstreamResponse};
use super::read_body::{discard_body, read_body};
use super::upstream_body::{RequestResources, UpstreamBody};
use super::{CallerRequest, ErrorResponse, InFlightGuard};
use crate::dispatch::{DispatchRequest, Permit};
use crate::{Phase, Shared};

/// Handles one request of a caller.
pub(super) async fn handle(
    StateRef(shared): StateRef<'_, Arc<Shared>>,
    uri: &Uri,
    headers: &HeaderMap,
    method: &Method,
    Body(mut body): Body<RequestBody>,
) -> WebResponse {
    let started = shared.clock.now();
    let in_flight = InFlightGuard::new(Arc::clone(shared));
    let result = match check_method(method) {
        Ok(()) => serve_request(in_flight, uri, headers, &mut body, started).await,
        Err(error) => Err(error),
    };
    if result.is_err() {
        discard_body(&mut body).await;
    }
    let elapsed = shared.clock.now().duration_since(started);
    metrics::histogram!("rhubarbfall_request_seconds").record(elapsed);
    match result {
        Ok(response) => {
            count_result(ResultCode::Completed);
            response
        }
        Err(error) => {
            count_result(error.code);
            let request = error.request_id.as_ref().map_or("-", |id| id.as_str());
            log::info!(
                "event=refused request={request} path={} code={} execution={:?}",
                uri.path(),
                error.code.number(),
                error.execution,
            );
            error.into_response()
        }
    }
}

fn count_result(code: ResultCode) {
    metrics::counter!("rhubarbfall_requests_total", "code" => code.number().to_string())
        .increment(1);
}

fn check_method(method: &Method) -> Result<(), ErrorResponse> {
    if *method == Method::POST {
        return Ok(());
    }
    Err(ErrorResponse::new(ResultCode::BadRequest).message("queues accept only the method POST"))
}

/// Authorizes a request by the document now in force and by announced changes that may revoke its
/// key or its team's access to the queue.
pub(super) fn authorize_now(
    shared: &Shared,
    caller: &CallerRequest,
) -> Result<(Arc<Document>, Authorized), ResultCode> {
    let document = shared.document.load_full().ok_or(ResultCode::NotReady)?;
    let pepper = &shared.settings.secrets.key_pepper;
    let authorized = authorize(&document, pepper, shared.is_document_fresh(), caller)?;
    let membership = &shared.membership;
    if let Some(key) = &caller.key
        && membership.forbids(pepper, key, &caller.queue, &authorized.team)
    {
        return Err(ResultCode::KeyRefused);
    }
    Ok((document, authorized))
}

async fn serve_request(
    in_flight: InFlightGuard,
    uri: &Uri,
    headers: &HeaderMap,
    body: &mut RequestBody,
    started: Instant,
) -> Result<WebResponse, ErrorResponse> {
    let shared = &Arc::clone(in_flight.shared());
    let caller = CallerRequest::parse(uri.path(), headers)?;
    let reject = |code| ErrorResponse::new(code).request_id(caller.request_id.clone());
    if shared.lifecycle.phase() == Phase::Stopping {
        return Err(reject(ResultCode::EntryStopping));
    }
    // Authorized before the body occupies memory, and again after its arrival, which may take long.
    authorize_now(shared, &caller).map_err(reject)?;
    let limits = &shared.settings.traffic;
    let timeout = Duration::from_millis(limits.body_timeout_ms);
    let body = read_body(body, &shared.body_budget, limits.max_body_bytes, timeout);
    let body = body.await.map_err(reject)?;
    let (document, authorized) = authorize_now(shared, &caller).map_err(reject)?;
    let default_deadline = Duration::from_millis(shared.settings.traffic.default_deadline_ms);
    let request = DispatchRequest {
        request_id: caller.request_id.clone(),
        team: authorized.team.clone(),
        queue: caller.queue.clone(),
        service: authorized.service.clone(),
        class: caller.class,
        deadline: started + caller.deadline.unwrap_or(default_deadline),
        avoided: Vec::new(),
    };
    let service = document.service(&authorized.service);
    let timeout = service.map_or(default_deadline, |service| {
        Duration::from_millis(service.answer_timeout_ms)
    });
    let outgoing = OutgoingRequest {
        caller: &caller,
        authorized: &authorized,
        headers,
        body: body.bytes.clone(),
        timeout,
    };
    let (permit, response) = send_with_retries(shared, &outgoing, request)
        .await
        .map_err(reject)?;
    Ok(forward_response(in_flight, permit, response))
}

fn forward_response(
    in_flight: InFlightGuard,
    permit: Permit,
    upstream_response: UpstreamResponse,
) -> WebResponse {
    let UpstreamResponse {
        response,
        connection,
    } = upstream_response;
    let (mut parts, incoming) = response.into_parts();
    for name in [
        "connection",
        "keep-alive",
        "transfer-encoding",
        "content-length",
    ] {
        parts.headers.remove(name);
    }
    let code = HeaderValue::from(ResultCode::Completed.number());
    parts.headers.insert("x-rhubarbfall-code", code);
    let ran = HeaderValue::from_static("ran");
    parts.headers.insert("x-rhubarbfall-execution", ran);
    let body = UpstreamBody {
        incoming,
        resources: Some(RequestResources {
            in_flight,
            permit,
            connection,
        }),
    };
    WebResponse::from_parts(parts, ResponseBody::boxed(body))
}
