//! Operator endpoints for maintenance waves, VM moves and explanations of decisions.

use std::sync::Arc;

use rhubarbfall_core::ResultCode;
use rhubarbfall_document::api::OperatorErrorResponse;
use xitca_web::body::RequestBody;
use xitca_web::handler::body::Body;
use xitca_web::handler::state::StateRef;
use xitca_web::http::{HeaderMap, Uri, WebResponse};

use super::operations;
use crate::Shared;
use crate::operator::{OperatorContext, check_operator, read_operator_body, respond};
use crate::traffic::{BufferedBody, discard_body};

/// Lists the waves.
pub(crate) async fn waves(
    StateRef(context): StateRef<'_, OperatorContext>,
    headers: &HeaderMap,
) -> WebResponse {
    let shared = &context.shared;
    respond(match check_operator(shared, headers) {
        Ok(()) => operations::list_waves(shared).await,
        Err(error) => Err(error),
    })
}

/// Returns when the drain of each VM of a wave is expected to start, or what it waits for.
pub(crate) async fn wave_plan(
    StateRef(context): StateRef<'_, OperatorContext>,
    headers: &HeaderMap,
    uri: &Uri,
) -> WebResponse {
    let shared = &context.shared;
    respond(match checked_query(shared, headers, uri, "wave") {
        Ok(wave) => operations::plan_wave(shared, &wave).await,
        Err(error) => Err(error),
    })
}

/// Pauses, resumes or stops a wave.
pub(crate) async fn set_wave_status(
    StateRef(context): StateRef<'_, OperatorContext>,
    headers: &HeaderMap,
    Body(body): Body<RequestBody>,
) -> WebResponse {
    let shared = &context.shared;
    respond(match checked_body(shared, headers, body).await {
        Ok(body) => operations::change_status(shared, &body.bytes).await,
        Err(error) => Err(error),
    })
}

/// Requests the move of a VM to a pool.
pub(crate) async fn move_vm(
    StateRef(context): StateRef<'_, OperatorContext>,
    headers: &HeaderMap,
    Body(body): Body<RequestBody>,
) -> WebResponse {
    let shared = &context.shared;
    respond(match checked_body(shared, headers, body).await {
        Ok(body) => operations::request_move(shared, &body.bytes).await,
        Err(error) => Err(error),
    })
}

/// Explains the state and the decisions of a VM, a pool, a team or a wave.
pub(crate) async fn explain(
    StateRef(context): StateRef<'_, OperatorContext>,
    headers: &HeaderMap,
    uri: &Uri,
) -> WebResponse {
    let shared = &context.shared;
    let kind = checked_query(shared, headers, uri, "kind");
    let id = checked_query(shared, headers, uri, "id");
    respond(match (kind, id) {
        (Ok(kind), Ok(id)) => operations::explanation(shared, &kind, &id).await,
        (Err(error), _) | (_, Err(error)) => Err(error),
    })
}

async fn checked_body(
    shared: &Arc<Shared>,
    headers: &HeaderMap,
    mut body: RequestBody,
) -> Result<BufferedBody, OperatorErrorResponse> {
    let read = match check_operator(shared, headers) {
        Ok(()) => read_operator_body(shared, &mut body).await,
        Err(error) => Err(error),
    };
    if read.is_err() {
        discard_body(&mut body).await;
    }
    read
}

fn checked_query(
    shared: &Shared,
    headers: &HeaderMap,
    uri: &Uri,
    name: &str,
) -> Result<String, OperatorErrorResponse> {
    check_operator(shared, headers)?;
    let pairs = uri.query().unwrap_or_default().split('&');
    let value = pairs
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value.to_owned());
    let missing =
        || OperatorErrorResponse::new(ResultCode::BadRequest).message(format!("{name} is missing"));
    value.ok_or_else(missing)
}
