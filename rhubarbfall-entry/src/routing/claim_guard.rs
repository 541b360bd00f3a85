use std::sync::Arc;

use rhubarbfall_routing::ClaimKey;

use super::ClaimService;

/// The exclusive right to run a non-idempotent request.
///
/// Dropping it before the request has started releases the claim, so that a retry may run.
#[derive(Debug)]
pub struct ClaimGuard {
    service: Arc<ClaimService>,
    key: ClaimKey,
    is_started: bool,
}

impl ClaimGuard {
    pub(super) const fn new(service: Arc<ClaimService>, key: ClaimKey) -> Self {
        Self {
            service,
            key,
            is_started: false,
        }
    }

    /// Records that the request is about to be sent; returns `false` if the claim no longer permits
    /// it.
    #[must_use]
    pub fn start(&mut self) -> bool {
        self.is_started = self.service.may_start(self.key);
        self.is_started
    }

    /// Records that the request certainly did not run.
    pub const fn set_not_run(&mut self) {
        self.is_started = false;
    }
}

impl Drop for ClaimGuard {
    fn drop(&mut self) {
        if !self.is_started {
            self.service.release(self.key);
        }
    }
}
