use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

use rhubarbfall_admission::{Completion, MAX_START_DELAY, Ticket};
use rhubarbfall_core::{ServiceId, UpstreamId};

use super::Dispatcher;

/// The right to run one request on one upstream; dropping it gives the right back.
///
/// After [`Permit::begin`] an upstream may work on the request, and the right comes back only when
/// [`Permit::end`] has said that it no longer does, or when that must be so.
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
    /// Returns the upstream to use.
    #[must_use]
    pub const fn upstream(&self) -> &UpstreamId {
        &self.upstream
    }

    /// Returns the upstream's address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Records that the request is sent now; false when the right is too old to start work, as after
    /// a pause of this process.
    #[must_use]
    pub fn begin(&self, now: Instant) -> bool {
        if now >= self.granted_at + MAX_START_DELAY {
            return false;
        }
        self.is_running.store(true, Ordering::Relaxed);
        true
    }

    /// Records that the upstream no longer works on the request.
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
