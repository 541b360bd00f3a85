use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use parking_lot::Mutex;
use rhubarbfall_core::SharedClock;
use rhubarbfall_document::Document;
use rhubarbfall_platform::table::TableClient;
use rhubarbfall_platform::vms::VmListClient;

use crate::dispatch::Dispatcher;
use crate::fleet::FleetState;
use crate::membership::Membership;
use crate::operator::FleetStatus;
use crate::routing::{ClaimService, Upstreams};
use crate::traffic::{BodyBudget, UpstreamConnections};
use crate::{Lifecycle, Settings};

/// State that traffic threads, the control thread and the operators' interface share.
#[derive(Debug)]
pub struct Shared {
    /// Settings that the process was started with.
    pub settings: Settings,
    /// Clock that all threads use.
    pub clock: SharedClock,
    /// Lock that is held while a document is put in force.
    pub(crate) document_lock: Mutex<()>,
    /// Document in force; `None` before the first one has been read.
    pub document: ArcSwapOption<Document>,
    /// The other entries, and the time until which the document in force is proven to be the
    /// newest.
    pub membership: Membership,
    /// Phase of the process and number of requests in flight.
    pub lifecycle: Lifecycle,
    /// Waiting and running requests.
    pub dispatcher: Arc<Dispatcher>,
    /// Health of upstreams, and retries of failed attempts.
    pub upstreams: Upstreams,
    /// Open connections to upstreams.
    pub connections: UpstreamConnections,
    /// Revisions that the other entries have reported as in force.
    pub fleet_status: FleetStatus,
    /// Maintenance waves, moves of VMs between pools and drains.
    pub fleet: FleetState,
    /// Memory budget for request bodies.
    pub body_budget: Arc<BodyBudget>,
    /// Claims of non-idempotent requests.
    pub claims: Arc<ClaimService>,
    /// Client of the platform's table.
    pub table: TableClient,
    /// Client of the platform's VM list.
    pub vm_list: VmListClient,
}

impl Shared {
    /// Creates the state of a process that has just started: no document, no peers, no requests.
    #[must_use]
    pub fn new(settings: Settings, clock: SharedClock) -> Self {
        let platform = &settings.platform;
        let zone = &settings.entry.availability_zone;
        let timeout = platform.timeout();
        Self {
            fleet: FleetState::new(&settings),
            table: TableClient::new(platform.table, zone.clone(), timeout),
            vm_list: VmListClient::new(platform.vms, zone.clone(), timeout),
            connections: UpstreamConnections::new(
                Arc::clone(&clock),
                Duration::from_millis(settings.traffic.connect_timeout_ms),
            ),
            upstreams: Upstreams::new(Arc::clone(&clock)),
            dispatcher: Arc::new(Dispatcher::new(Arc::clone(&clock), &settings)),
            claims: Arc::new(ClaimService::new(
                &clock,
                &settings.entry.id,
                settings.claims,
            )),
            fleet_status: FleetStatus::default(),
            body_budget: Arc::new(BodyBudget::new(settings.traffic.max_buffered_bytes)),
            document_lock: Mutex::new(()),
            document: ArcSwapOption::empty(),
            membership: Membership::new(),
            lifecycle: Lifecycle::new(),
            clock,
            settings,
        }
    }

    /// Returns whether the document in force is proven to have been the newest within the freshness
    /// bound.
    #[must_use]
    pub fn is_document_fresh(&self) -> bool {
        self.membership.is_fresh(self.clock.now())
    }
}
