use std::sync::Arc;

use crate::Shared;

/// Counts a request as in flight until this is dropped, which is after the end of its answer.
#[derive(Debug)]
pub(crate) struct InFlightGuard(Arc<Shared>);

impl InFlightGuard {
    pub(super) fn new(shared: Arc<Shared>) -> Self {
        shared.lifecycle.begin_request();
        Self(shared)
    }

    /// Returns the state that the entry's threads share.
    pub(super) const fn shared(&self) -> &Arc<Shared> {
        &self.0
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.lifecycle.end_request();
    }
}
