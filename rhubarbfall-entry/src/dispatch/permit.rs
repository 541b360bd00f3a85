use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

use rhubarbfall_admission::{Completion, MAX_START_DELAY, Ticket};
use rhubarbfall_core::{ServiceId, UpstreamId};

use super::Dispatcher;

/// The right to run one request on one upstream; dropping it releases the right.
///
/// After [`Permit::begin`] the upstream may run the request. A permit that is dropped then, without
/// [`Permit::end`], releases the right only once the request must have ended.
#[derive(Debug)]
pub struct Permit {
    pub(super) dispatcher: Arc<Dispatcher>,
    pub(super) ticket: Ticket,
    pub(super) service: ServiceId,
    pub(super) upstream: UpstreamId,
    pub(super) address: SocketAddr,
    pub(super) granted_at: Instant,
    pub(super) is_running: AtomicBool,
}

impl Permit {
    /// Returns the upstream that the request must be sent to.
    #[must_use]
    pub const fn upstream(&self) -> &UpstreamId {
        &self.upstream
    }

    /// Returns the address that the request must be sent to.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Records that the request is sent now; returns `false` if it must not be sent because the
    /// permit was granted [`MAX_START_DELAY`] ago or earlier, as after a pause of this process.
    #[must_use]
    pub fn begin(&self, now: Instant) -> bool {
        if now >= self.granted_at + MAX_START_DELAY {
            return false;
        }
        self.is_running.store(true, Ordering::Relaxed);
        true
    }

    /// Records that the upstream certainly does not run the request, or no longer does.
    pub fn end(&self) {
        self.is_running.store(false, Ordering::Relaxed);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let completion = if self.is_running.load(Ordering::Relaxed) {
            Completion::Unknown
        } else {
            Completion::Confirmed
        };
        self.dispatcher
            .release(self.ticket, &self.service, &self.upstream, completion);
    }
}
