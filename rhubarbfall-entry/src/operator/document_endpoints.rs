use std::sync::Arc;
use std::time::Duration;

use rhubarbfall_core::{LiteMap, ResultCode, Revision};
use rhubarbfall_document::api::{DocumentView, ErrorAnswer, TRANSACTION_HEADER, ViewSource};
use rhubarbfall_document::{
    ChangeError, Document, DocumentDraft, HistoryRecord, KeyOwner, MAX_DOCUMENT_BYTES, SectionId,
};
use xitca_web::body::RequestBody;
use xitca_web::handler::body::Body;
use xitca_web::handler::state::StateRef;
use xitca_web::http::{HeaderMap, Uri, WebResponse};

use super::OperatorContext;
use super::answer::answer;
use super::operator_key::{key_digest, owner, text_header};
use crate::Shared;
use crate::document::{ChangeRequest, accept_change, check_change, not_done, read_state};
use crate::traffic::{BufferedBody, discard_body, read_body};

/// The longest identifier of a change, in bytes; it is kept in the table.
const MAX_TRANSACTION_ID_BYTES: usize = 128;

/// Answers with the part of the document that the key's owner may see.
pub(super) async fn show(
    StateRef(context): StateRef<'_, OperatorContext>,
    headers: &HeaderMap,
) -> WebResponse {
    answer(view(&context.shared, headers).await)
}

/// Answers with the history after a revision.
pub(super) async fn history(
    StateRef(context): StateRef<'_, OperatorContext>,
    headers: &HeaderMap,
    uri: &Uri,
) -> WebResponse {
    answer(history_since(&context.shared, headers, uri).await)
}

/// Accepts a change of sections.
pub(super) async fn apply(
    StateRef(context): StateRef<'_, OperatorContext>,
    headers: &HeaderMap,
    Body(body): Body<RequestBody>,
) -> WebResponse {
    accept(context, headers, body, false).await
}

/// Accepts the first document of a fleet.
pub(super) async fn put_first(
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
    answer(
        match change_request(shared, headers, body, is_first).await {
            Ok(request) => accept_change(shared, &request).await,
            Err(error) => Err(error),
        },
    )
}

/// Says whether a change would be accepted.
pub(super) async fn check(
    StateRef(context): StateRef<'_, OperatorContext>,
    headers: &HeaderMap,
    Body(body): Body<RequestBody>,
) -> WebResponse {
    let shared = &context.shared;
    answer(match change_request(shared, headers, body, false).await {
        Ok(request) => check_change(shared, &request).await,
        Err(error) => Err(error),
    })
}

/// Reads the body of a request to the operators' interface.
pub(crate) async fn read_text(
    shared: &Shared,
    body: &mut RequestBody,
) -> Result<BufferedBody, ErrorAnswer> {
    let timeout = Duration::from_millis(shared.settings.traffic.body_timeout_ms);
    let read = read_body(body, &shared.body_budget, MAX_DOCUMENT_BYTES, timeout);
    read.await.map_err(ErrorAnswer::new)
}

async fn change_request(
    shared: &Shared,
    headers: &HeaderMap,
    mut body: RequestBody,
    is_first: bool,
) -> Result<ChangeRequest, ErrorAnswer> {
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
) -> Result<ChangeRequest, ErrorAnswer> {
    let digest = key_digest(shared, headers)?;
    let transaction_id = transaction_id(headers)?;
    let body = read_text(shared, body).await?;
    let text = std::str::from_utf8(&body.bytes);
    let text = text
        .map_err(|error| ErrorAnswer::new(ResultCode::DocumentSyntax).message(error.to_string()))?;
    let draft =
        DocumentDraft::parse(text).map_err(|error| ErrorAnswer::from(ChangeError::Invalid(error)));
    Ok(ChangeRequest {
        digest,
        transaction_id,
        draft: draft?,
        is_first,
    })
}

fn transaction_id(headers: &HeaderMap) -> Result<Arc<str>, ErrorAnswer> {
    let bad = |message: &str| ErrorAnswer::new(ResultCode::BadRequest).message(message);
    let id = text_header(headers, TRANSACTION_HEADER)?;
    let id = id.ok_or_else(|| bad("header x-transaction-id is missing"))?;
    if id.is_empty() || id.len() > MAX_TRANSACTION_ID_BYTES {
        return Err(bad("header x-transaction-id has between 1 and 128 bytes"));
    }
    Ok(Arc::from(id))
}

async fn view(shared: &Shared, headers: &HeaderMap) -> Result<DocumentView, ErrorAnswer> {
    let digest = key_digest(shared, headers)?;
    let (source, document, versions) = match read_state(&shared.table).await {
        Ok(state) => (ViewSource::Table, state.document, state.versions),
        Err(_) => (ViewSource::InForce, in_force(shared)?, LiteMap::new()),
    };
    let owner = owner(&document, &digest)?;
    let mut view = DocumentView {
        source,
        revision: document.revision,
        versions,
        document,
    };
    hide_others(&mut view, &owner);
    Ok(view)
}

fn in_force(shared: &Shared) -> Result<Document, ErrorAnswer> {
    let document = shared.document.load_full();
    let document = document.ok_or_else(|| ErrorAnswer::new(ResultCode::NotReady))?;
    Ok((*document).clone())
}

/// Leaves a team the fleet section and its own; other teams' keys and sections are not its matter.
fn hide_others(view: &mut DocumentView, owner: &KeyOwner) {
    let KeyOwner::Team(team) = owner else {
        return;
    };
    view.document.keys.keys.retain(|key| key.owner == *owner);
    view.document.teams.retain(|id, _| id == team);
    view.versions.retain(|id, _| may_see(owner, id));
}

fn may_see(owner: &KeyOwner, section: &SectionId) -> bool {
    match owner {
        KeyOwner::Operator(_) => true,
        KeyOwner::Team(_) => *section == SectionId::Fleet || owner.may_edit(section),
    }
}

async fn history_since(
    shared: &Shared,
    headers: &HeaderMap,
    uri: &Uri,
) -> Result<Vec<HistoryRecord>, ErrorAnswer> {
    let since = since(uri)?;
    let digest = key_digest(shared, headers)?;
    let state = read_state(&shared.table).await;
    let state = state.map_err(|error| not_done(&error))?;
    let owner = owner(&state.document, &digest)?;
    let visible = |record: &HistoryRecord| HistoryRecord {
        changes: record
            .changes
            .iter()
            .filter(|change| may_see(&owner, &change.section))
            .cloned()
            .collect(),
        ..record.clone()
    };
    let records = state.changes_since(since).iter().map(visible);
    Ok(records.collect())
}

fn since(uri: &Uri) -> Result<Revision, ErrorAnswer> {
    let query = uri.query().unwrap_or_default();
    let value = query
        .split('&')
        .find_map(|part| part.strip_prefix("since="));
    value.map_or(Ok(Revision::default()), |value| {
        value.parse().map_err(|_| {
            ErrorAnswer::new(ResultCode::BadRequest).message("query `since` is not a revision")
        })
    })
}
