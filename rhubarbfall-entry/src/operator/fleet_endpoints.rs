use rhubarbfall_core::ResultCode;
use rhubarbfall_document::api::{
    EntryStatus, KeyDigestResponse, OperatorErrorResponse, StatusView, UpstreamView,
};
use rhubarbfall_document::{AccessKey, Document, ParseAccessKeyError, digest_key};
use xitca_web::body::RequestBody;
use xitca_web::handler::body::Body;
use xitca_web::handler::state::StateRef;
use xitca_web::http::{HeaderMap, WebResponse};

use super::OperatorContext;
use super::document_endpoints::read_operator_body;
use super::fleet_status::poll_entries;
use super::operator_key::check_operator;
use super::response::respond;
use crate::Shared;
use crate::document::read_head;
use crate::traffic::discard_body;

/// Returns the digest of the key in the body, with which an operator can grant the key.
pub(super) async fn key_digest(
    StateRef(context): StateRef<'_, OperatorContext>,
    headers: &HeaderMap,
    Body(body): Body<RequestBody>,
) -> WebResponse {
    respond(digest_of_body(&context.shared, headers, body).await)
}

/// Returns which revision each entry has in force.
pub(super) async fn status(
    StateRef(context): StateRef<'_, OperatorContext>,
    headers: &HeaderMap,
) -> WebResponse {
    let shared = &context.shared;
    respond(match check_operator(shared, headers) {
        Ok(()) => Ok(status_of(shared).await),
        Err(error) => Err(error),
    })
}

/// Returns the upstreams that this entry knows, with their states.
pub(super) async fn upstreams(
    StateRef(context): StateRef<'_, OperatorContext>,
    headers: &HeaderMap,
) -> WebResponse {
    let shared = &context.shared;
    respond(check_operator(shared, headers).map(|()| upstreams_of(shared)))
}

async fn digest_of_body(
    shared: &Shared,
    headers: &HeaderMap,
    mut body: RequestBody,
) -> Result<KeyDigestResponse, OperatorErrorResponse> {
    let text = match check_operator(shared, headers) {
        Ok(()) => read_operator_body(shared, &mut body).await,
        Err(error) => Err(error),
    };
    if text.is_err() {
        discard_body(&mut body).await;
    }
    let text = text?;
    let text = String::from_utf8_lossy(&text.bytes);
    let key: Result<AccessKey, ParseAccessKeyError> = text.parse();
    let key = key.map_err(|error| {
        OperatorErrorResponse::new(ResultCode::BadRequest).message(error.to_string())
    })?;
    let digest = digest_key(&shared.settings.secrets.key_pepper, key.reveal());
    Ok(KeyDigestResponse { digest })
}

async fn status_of(shared: &Shared) -> StatusView {
    let head = read_head(&shared.table).await;
    let settings = &shared.settings.entry;
    let document = shared.document.load_full();
    let own = EntryStatus {
        availability_zone: settings.availability_zone.clone(),
        entry: settings.id.clone(),
        revision: document.map(|document| document.revision),
        age_ms: Some(0),
    };
    let mut entries = poll_entries(shared).await;
    entries.push(own);
    entries.sort_by(|a, b| {
        let by_zone = a.availability_zone.cmp(&b.availability_zone);
        by_zone.then_with(|| a.entry.cmp(&b.entry))
    });
    StatusView {
        entry: settings.id.clone(),
        newest: head.ok().flatten().map(|head| head.revision),
        entries,
    }
}

fn upstreams_of(shared: &Shared) -> Vec<UpstreamView> {
    let document = shared.document.load_full();
    let in_use = shared.dispatcher.snapshot().upstreams;
    let view = |upstream: rhubarbfall_routing::UpstreamHealthSnapshot| {
        let is_drained = |document: &Document| document.is_drained(&upstream.upstream);
        let dispatch = in_use
            .iter()
            .find(|used| used.upstream == upstream.upstream);
        let state = if document.as_deref().is_some_and(is_drained) {
            "drained"
        } else if upstream.is_leaving {
            "leaving"
        } else if upstream.is_ejected {
            "ejected"
        } else if upstream.is_usable {
            "serving"
        } else {
            "silent"
        };
        UpstreamView {
            id: upstream.upstream.clone(),
            service: dispatch.map(|used| used.service.clone()),
            availability_zone: shared.settings.entry.availability_zone.clone(),
            state: state.into(),
            running_slots: dispatch.map_or(0, |used| used.running_slots.get()),
        }
    };
    shared.upstreams.snapshot().into_iter().map(view).collect()
}
