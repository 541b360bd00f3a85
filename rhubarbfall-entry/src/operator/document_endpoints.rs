use rhubarbfall_core::{ResultCode, Revision, RowVersion};
use rhubarbfall_document::{Document, KeyOwner, digest_key};
use rhubarbfall_platform::table::{Transaction, TransactionId};
use xitca_web::handler::state::StateRef;
use xitca_web::http::{HeaderMap, WebResponse};

use super::OperatorContext;
use super::health_endpoints::json;
use crate::control::{DOCUMENT_ROW, put_in_force};
use crate::traffic::Refusal;

/// Answers with the document in force.
pub(super) async fn show(StateRef(context): StateRef<'_, OperatorContext>) -> WebResponse {
    match context.shared.document.load_full() {
        Some(document) => json(&*document),
        None => Refusal::new(ResultCode::NotReady).into_response(),
    }
}

/// Accepts a new document.
pub(super) async fn apply(
    StateRef(context): StateRef<'_, OperatorContext>,
    headers: &HeaderMap,
    text: String,
) -> WebResponse {
    match try_apply(context, headers, &text).await {
        Ok(revision) => json(&revision),
        Err(refusal) => refusal.into_response(),
    }
}

async fn try_apply(
    context: &OperatorContext,
    headers: &HeaderMap,
    text: &str,
) -> Result<Revision, Refusal> {
    let shared = &context.shared;
    let mut document: Document = toml::from_str(text)
        .map_err(|error| Refusal::new(ResultCode::DocumentSyntax).message(error.to_string()))?;
    let platform = |error: rhubarbfall_platform::PlatformError| {
        Refusal::new(error.code()).message(error.to_string())
    };
    let row = shared.table.read(DOCUMENT_ROW).await.map_err(platform)?;
    let version = row
        .as_ref()
        .map_or(RowVersion::default(), |row| row.version);
    let current: Option<Document> = row.map(|row| row.parse()).transpose().map_err(platform)?;
    if let Some(current) = &current {
        check_operator_key(context, headers, current)?;
    }
    document.revision = current
        .map_or(Revision::default(), |doc| doc.revision)
        .next();
    let value = serde_json::to_value(&document)
        .map_err(|error| Refusal::new(ResultCode::DocumentInvalid).message(error.to_string()))?;
    let writer = &shared.settings.entry.id;
    let id = TransactionId::new(writer, document.revision.get(), version.get());
    let transaction = Transaction::new(id)
        .expect(DOCUMENT_ROW, version)
        .put(DOCUMENT_ROW, value);
    shared.table.commit(&transaction).await.map_err(platform)?;
    let revision = document.revision;
    put_in_force(shared, document);
    Ok(revision)
}

fn check_operator_key(
    context: &OperatorContext,
    headers: &HeaderMap,
    current: &Document,
) -> Result<(), Refusal> {
    let key = headers
        .get("x-rhubarbfall-key")
        .and_then(|key| key.to_str().ok());
    let pepper = &context.shared.settings.secrets.key_pepper;
    let granted = key.and_then(|key| current.key(&digest_key(pepper, key)));
    match granted.map(|key| &key.owner) {
        Some(KeyOwner::Operator(_)) => Ok(()),
        _ => Err(Refusal::new(ResultCode::OperatorKeyRefused)),
    }
}
