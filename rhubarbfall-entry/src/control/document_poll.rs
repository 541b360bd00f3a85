use std::sync::Arc;
use std::time::Duration;

use rhubarbfall_document::Document;
use rhubarbfall_platform::PlatformError;
use tokio::time::sleep;

use crate::document::{read_head, read_newer};
use crate::{Phase, Shared};

/// Reads the document until the process ends, and puts a newer one in force.
pub(super) async fn run(shared: Arc<Shared>) {
    let interval = Duration::from_millis(shared.settings.control.document_poll_ms);
    loop {
        if let Err(error) = poll(&shared).await {
            log::warn!("event=document-poll error={error}");
        }
        sleep(interval).await;
    }
}

async fn poll(shared: &Arc<Shared>) -> Result<(), PlatformError> {
    let asked_at = shared.clock.now();
    let Some(head) = read_head(&shared.table).await? else {
        return Ok(());
    };
    let in_force = shared.document.load_full();
    let known = in_force.as_ref().map(|document| document.revision);
    if known < Some(head.revision) {
        let document = read_newer(&shared.table, in_force.as_deref(), &head).await?;
        put_in_force(shared, document);
    }
    *shared.document_confirmed_at.lock() = Some(asked_at);
    Ok(())
}

/// Puts a document in force unless a newer one is.
pub(crate) fn put_in_force(shared: &Arc<Shared>, document: Document) {
    let current = shared.document.load_full();
    if current.is_some_and(|current| current.revision >= document.revision) {
        return;
    }
    let document = Arc::new(document.sorted());
    log::info!("event=document-in-force revision={}", document.revision);
    shared.dispatcher.configure(&document);
    shared.document.store(Some(document));
    shared.lifecycle.advance(Phase::Ready);
}
