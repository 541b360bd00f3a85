use std::sync::Arc;

use rhubarbfall_document::Document;
use rhubarbfall_platform::PlatformError;

use crate::document::{read_head, read_newer};
use crate::{Phase, Shared};

/// Reads the head row, and puts the document of its revision in force if it is newer.
///
/// While a peer may still send the newer document, only the read is recorded.
pub(crate) async fn poll(shared: &Arc<Shared>) -> Result<(), PlatformError> {
    let read_started_at = shared.clock.now();
    let Some(head) = read_head(&shared.table).await? else {
        return Ok(());
    };
    let in_force = shared.document.load_full();
    let known_revision = in_force.as_ref().map(|document| document.revision);
    let is_behind = known_revision < Some(head.revision);
    if is_behind
        && !(known_revision.is_some() && shared.membership.may_wait_for_peers(read_started_at))
    {
        let document = read_newer(&shared.table, in_force.as_deref(), &head).await?;
        put_in_force(shared, document);
    }
    shared
        .membership
        .observe_read(read_started_at, head.revision);
    Ok(())
}

/// Puts a document in force, unless the document in force is the same or a newer revision.
pub(crate) fn put_in_force(shared: &Arc<Shared>, document: Document) {
    // The lock keeps a concurrent call with an older document from replacing a newer one.
    let _guard = shared.document_lock.lock();
    let previous = shared.document.load_full();
    let current = previous.as_ref().map(|previous| previous.revision);
    if current >= Some(document.revision) {
        return;
    }
    let document = Arc::new(document.sorted());
    log::info!("event=document-in-force revision={}", document.revision);
    shared.dispatcher.configure(&document);
    shared.document.store(Some(Arc::clone(&document)));
    let now = shared.clock.now();
    shared
        .membership
        .put_in_force(now, previous.as_deref(), &document);
    shared.lifecycle.advance(Phase::Ready);
}
