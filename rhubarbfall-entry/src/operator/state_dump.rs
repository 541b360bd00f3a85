use rhubarbfall_core::{AvailabilityZoneId, EntryId, Revision};
use rhubarbfall_routing::{ClaimLedgerSnapshot, UpstreamHealthSnapshot};
use serde::Serialize;

use crate::dispatch::DispatchSnapshot;
use crate::fleet::FleetDump;
use crate::membership::MembershipSnapshot;
use crate::{Phase, Shared};

/// The state of one process, for people and for tests.
#[derive(Debug, Serialize)]
pub struct StateDump {
    /// The entry.
    pub entry: EntryId,
    /// Its availability zone.
    pub availability_zone: AvailabilityZoneId,
    /// The phase of the process.
    pub phase: Phase,
    /// Requests in flight.
    pub in_flight: u32,
    /// The revision in force.
    pub revision: Option<Revision>,
    /// Whether the document is known to be the newest.
    pub is_document_fresh: bool,
    /// The other entries and the evidence.
    pub membership: Option<MembershipSnapshot>,
    /// Waiting and running requests.
    pub dispatch: DispatchSnapshot,
    /// The health of upstreams.
    pub upstreams: Vec<UpstreamHealthSnapshot>,
    /// Claims of non-idempotent requests.
    pub claims: ClaimLedgerSnapshot,
    /// Waves and moves, while this process holds the zone's lease.
    pub fleet: FleetDump,
}

impl StateDump {
    /// Copies the state of a process.
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
