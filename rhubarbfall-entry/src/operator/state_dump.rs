use rhubarbfall_core::{AvailabilityZoneId, EntryId, Revision};
use rhubarbfall_routing::{ClaimLedgerSnapshot, UpstreamHealthSnapshot};
use serde::Serialize;

use crate::dispatch::DispatchSnapshot;
use crate::fleet::FleetDump;
use crate::membership::MembershipSnapshot;
use crate::{Phase, Shared};

/// State of one process, for operators and tests.
#[derive(Debug, Serialize)]
pub struct StateDump {
    /// Identifier of the entry.
    pub entry: EntryId,
    /// Availability zone of the entry.
    pub availability_zone: AvailabilityZoneId,
    /// Phase of the process.
    pub phase: Phase,
    /// Number of requests in flight.
    pub in_flight: u32,
    /// Revision in force; `None` before the first document.
    pub revision: Option<Revision>,
    /// Whether the document in force is proven to have been the newest within the freshness bound.
    pub is_document_fresh: bool,
    /// The other entries and the evidence of freshness; `None` before the peer network is started.
    pub membership: Option<MembershipSnapshot>,
    /// Waiting and running requests.
    pub dispatch: DispatchSnapshot,
    /// Health of the upstreams.
    pub upstreams: Vec<UpstreamHealthSnapshot>,
    /// Claims of non-idempotent requests.
    pub claims: ClaimLedgerSnapshot,
    /// Maintenance waves and moves, while this process holds the zone's lease.
    pub fleet: FleetDump,
}

impl StateDump {
    /// Copies the current state of a process.
    #[must_use]
    pub fn of(shared: &Shared) -> Self {
        Self {
            entry: shared.settings.entry.id.clone(),
            availability_zone: shared.settings.entry.availability_zone.clone(),
            phase: shared.lifecycle.phase(),
            in_flight: shared.lifecycle.in_flight(),
            revision: shared.document.load().as_ref().map(|doc| doc.revision),
            is_document_fresh: shared.is_document_fresh(),
            membership: shared.membership.snapshot(shared.clock.now()),
            dispatch: shared.dispatcher.snapshot(),
            upstreams: shared.upstreams.snapshot(),
            claims: shared.claims.snapshot(),
            fleet: shared.fleet.dump(),
        }
    }
}
