use std::sync::Arc;

use crate::Shared;

/// Counts a request as in flight until dropped, which happens after the end of its response.
#[derive(Debug)]
pub(crate) struct InFlightGuard(Arc<Shared>);

impl InFlightGuard {
    pub(super) fn new(shared: Arc<Shared>) -> Self {
        shared.lifecycle.begin_request();
        Self(shared)
    }

    pub(super) const fn shared(&self) -> &Arc<Shared> {
        &self.0
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.lifecycle.end_request();
    }
}
