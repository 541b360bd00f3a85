use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwapOption;
use parking_lot::Mutex;
use rhubarbfall_core::SharedClock;
use rhubarbfall_document::Document;
use rhubarbfall_platform::table::TableClient;
use rhubarbfall_platform::vms::VmListClient;

use crate::dispatch::Dispatcher;
use crate::fleet::FleetState;
use crate::traffic::{BodyBudget, UpstreamConnections};
use crate::{Lifecycle, Settings};

/// State that traffic threads, the control thread and the operators' interface share.
#[derive(Debug)]
pub struct Shared {
    /// The settings.
    pub settings: Settings,
    /// The clock.
    pub clock: SharedClock,
    /// The document in force.
    pub document: ArcSwapOption<Document>,
    /// When it was last known that no newer document had been accepted.
    pub document_confirmed_at: Mutex<Option<Instant>>,
    /// The phase of the process.
    pub lifecycle: Lifecycle,
    /// Waiting and running requests.
    pub dispatcher: Arc<Dispatcher>,
    /// Connections to upstreams.
    pub connections: UpstreamConnections,
    /// Waves, moves and drains.
    pub fleet: FleetState,
    /// The memory for the bodies of requests.
    pub body_budget: Arc<BodyBudget>,
    /// The platform's table.
    pub table: TableClient,
    /// The platform's list of VMs.
    pub vm_list: VmListClient,
}

impl Shared {
    /// Creates the state of a process that has just started.
    #[must_use]
    pub fn new(settings: Settings, clock: SharedClock) -> Self {
        let platform = &settings.platform;
        let zone = &settings.entry.availability_zone;
        let timeout = platform.timeout();
        Self {
            fleet: FleetState::new(&settings),
            table: TableClient::new(platform.table, zone.clone(), timeout),
            vm_list: VmListClient::new(platform.vms, zone.clone(), timeout),
            connections: UpstreamConnections::new(Duration::from_millis(
                settings.traffic.connect_timeout_ms,
            )),
            body_budget: Arc::new(BodyBudget::new(settings.traffic.max_buffered_bytes)),
            dispatcher: Arc::new(Dispatcher::new()),
            document: ArcSwapOption::empty(),
            document_confirmed_at: Mutex::new(None),
            lifecycle: Lifecycle::new(),
            clock,
            settings,
        }
    }

    /// Returns whether the document in force is known to have been the newest a moment ago.
    #[must_use]
    pub fn is_document_fresh(&self) -> bool {
        let bound = Duration::from_millis(self.settings.control.freshness_bound_ms);
        let confirmed_at = *self.document_confirmed_at.lock();
        confirmed_at.is_some_and(|at| self.clock.now().duration_since(at) < bound)
    }
}
