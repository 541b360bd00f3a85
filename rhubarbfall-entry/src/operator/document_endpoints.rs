use std::sync::Arc;
use std::time::Duration;

use rhubarbfall_core::{LiteMap, ResultCode, Revision};
use rhubarbfall_document::api::{
    DocumentView, OperatorErrorResponse, TRANSACTION_HEADER, ViewSource,
};
use rhubarbfall_document::{
    ChangeError, Document, DocumentDraft, HistoryRecord, KeyOwner, MAX_DOCUMENT_BYTES, SectionId,
};
use xitca_web::body::RequestBody;
use xitca_web::handler::body::Body;
use xitca_web::handler::state::StateRef;
use xitca_web::http::{HeaderMap, Uri, WebResponse};

use super::OperatorContext;
use super::operator_key::{key_digest, key_owner, text_header};
use super::response::respond;
use crate::Shared;
use crate::document::{ChangeRequest, accept_change, check_change, read_state, table_read_error};
use crate::traffic::{BufferedBody, discard_body, read_body};

/// Maximum length of a change's identifier, which is stored in the table.
const MAX_TRANSACTION_ID_BYTES: usize = 128;

/// Returns the part of the document that the key's owner may view.
pub(super) async fn document(
    StateRef(context): StateRef<'_, OperatorContext>,
    headers: &HeaderMap,
) -> WebResponse {
    respond(view(&context.shared, headers).await)
}

/// Returns the history after a revision, without the sections that the key's owner may not view.
pub(super) async fn history(
    StateRef(context): StateRef<'_, OperatorContext>,
    headers: &HeaderMap,
    uri: &Uri,
) -> WebResponse {
    respond(history_since(&context.shared, headers, uri).await)
}

/// Accepts a change of sections, or returns why it is rejected.
pub(super) async fn change_document(
    StateRef(context): StateRef<'_, OperatorContext>,
    headers: &HeaderMap,
    Body(body): Body<RequestBody>,
) -> WebResponse {
    accept(context, headers, body, false).await
}

/// Accepts the first document of a fleet, or returns why it is rejected.
pub(super) async fn put_first_document(
    StateRef(context): StateRef<'_, OperatorContext>,
    headers: &HeaderMap,
    Body(body): Body<RequestBody>,
) -> WebResponse {
    accept(context, headers, body, true).await
}

async fn accept(
    context: &OperatorContext,
    headers: &HeaderMap,
    body: RequestBody,
    is_first: bool,
) -> WebResponse {
    let shared = &context.shared;
    respond(
        match change_request(shared, headers, body, is_first).await {
            Ok(request) => accept_change(shared, &request).await,
            Err(error) => Err(error),
        },
    )
}

/// Returns whether a change would be accepted, without recording it.
pub(super) async fn check_document(
    StateRef(context): StateRef<'_, OperatorContext>,
    headers: &HeaderMap,
    Body(body): Body<RequestBody>,
) -> WebResponse {
    let shared = &context.shared;
    respond(match change_request(shared, headers, body, false).await {
        Ok(request) => check_change(shared, &request).await,
        Err(error) => Err(error),
    })
}

/// Reads a request body of at most `MAX_DOCUMENT_BYTES`.
pub(crate) async fn read_operator_body(
    shared: &Shared,
    body: &mut RequestBody,
) -> Result<BufferedBody, OperatorErrorResponse> {
    let timeout = Duration::from_millis(shared.settings.traffic.body_timeout_ms);
    let read = read_body(body, &shared.body_budget, MAX_DOCUMENT_BYTES, timeout);
    read.await.map_err(OperatorErrorResponse::new)
}

async fn change_request(
    shared: &Shared,
    headers: &HeaderMap,
    mut body: RequestBody,
    is_first: bool,
) -> Result<ChangeRequest, OperatorErrorResponse> {
    let request = read_change(shared, headers, &mut body, is_first).await;
    if request.is_err() {
        discard_body(&mut body).await;
    }
    request
}

async fn read_change(
    shared: &Shared,
    headers: &HeaderMap,
    body: &mut RequestBody,
    is_first: bool,
) -> Result<ChangeRequest, OperatorErrorResponse> {
    let digest = key_digest(shared, headers)?;
    let transaction_id = transaction_id(headers)?;
    let body = read_operator_body(shared, body).await?;
    let text = std::str::from_utf8(&body.bytes);
    let text = text.map_err(|error| {
        OperatorErrorResponse::new(ResultCode::DocumentSyntax).message(error.to_string())
    })?;
    let draft = DocumentDraft::parse(text)
        .map_err(|error| OperatorErrorResponse::from(ChangeError::Invalid(error)));
    Ok(ChangeRequest {
        digest,
        transaction_id,
        draft: draft?,
        is_first,
    })
}

fn transaction_id(headers: &HeaderMap) -> Result<Arc<str>, OperatorErrorResponse> {
    let bad_request =
        |message: &str| OperatorErrorResponse::new(ResultCode::BadRequest).message(message);
    let id = text_header(headers, TRANSACTION_HEADER)?;
    let id = id.ok_or_else(|| bad_request("header x-transaction-id is missing"))?;
    if id.is_empty() || id.len() > MAX_TRANSACTION_ID_BYTES {
        return Err(bad_request(
            "header x-transaction-id must have between 1 and 128 bytes",
        ));
    }
    Ok(Arc::from(id))
}

async fn view(shared: &Shared, headers: &HeaderMap) -> Result<DocumentView, OperatorErrorResponse> {
    let digest = key_digest(shared, headers)?;
    let (source, document, versions) = match read_state(&shared.table).await {
        Ok(state) => (ViewSource::Table, state.document, state.versions),
        Err(_) => (ViewSource::InForce, in_force(shared)?, LiteMap::new()),
    };
    let owner = key_owner(&document, &digest)?;
    let mut view = DocumentView {
        source,
        revision: document.revision,
        versions,
        document,
    };
    hide_other_teams(&mut view, &owner);
    Ok(view)
}

fn in_force(shared: &Shared) -> Result<Document, OperatorErrorResponse> {
    let document = shared.document.load_full();
    let document = document.ok_or_else(|| OperatorErrorResponse::new(ResultCode::NotReady))?;
    Ok((*document).clone())
}

/// Removes the keys and sections of others from a team's view, apart from the fleet section.
fn hide_other_teams(view: &mut DocumentView, owner: &KeyOwner) {
    let KeyOwner::Team(team) = owner else {
        return;
    };
    view.document.keys.keys.retain(|key| key.owner == *owner);
    view.document.teams.retain(|id, _| id == team);
    view.versions.retain(|id, _| may_view(owner, id));
}

fn may_view(owner: &KeyOwner, section: &SectionId) -> bool {
    match owner {
        KeyOwner::Operator(_) => true,
        KeyOwner::Team(_) => *section == SectionId::Fleet || owner.may_edit(section),
    }
}

async fn history_since(
    shared: &Shared,
    headers: &HeaderMap,
    uri: &Uri,
) -> Result<Vec<HistoryRecord>, OperatorErrorResponse> {
    let since = since(uri)?;
    let digest = key_digest(shared, headers)?;
    let state = read_state(&shared.table).await;
    let state = state.map_err(|error| table_read_error(&error))?;
    let owner = key_owner(&state.document, &digest)?;
    let visible = |record: &HistoryRecord| HistoryRecord {
        changes: record
            .changes
            .iter()
            .filter(|change| may_view(&owner, &change.section))
            .cloned()
            .collect(),
        ..record.clone()
    };
    let records = state.changes_since(since).iter().map(visible);
    Ok(records.collect())
}

fn since(uri: &Uri) -> Result<Revision, OperatorErrorResponse> {
    let query = uri.query().unwrap_or_default();
    let value = query
        .split('&')
        .find_map(|part| part.strip_prefix("since="));
    value.map_or(Ok(Revision::default()), |value| {
        value.parse().map_err(|_| {
            OperatorErrorResponse::new(ResultCode::BadRequest)
                .message("query `since` is not a revision")
        })
    })
}
