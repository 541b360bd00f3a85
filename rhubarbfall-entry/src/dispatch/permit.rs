use std::net::SocketAddr;
use std::sync::Arc;

use rhubarbfall_core::{ServiceId, TeamId, UpstreamId};

use super::Dispatcher;

/// The right to run one request on one upstream; dropping it gives the right back.
#[derive(Debug)]
pub struct Permit {
    pub(super) dispatcher: Arc<Dispatcher>,
    pub(super) team: TeamId,
    pub(super) service: ServiceId,
    pub(super) upstream: UpstreamId,
    pub(super) address: SocketAddr,
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
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.dispatcher
            .release(&self.team, &self.service, &self.upstream);
    }
}
