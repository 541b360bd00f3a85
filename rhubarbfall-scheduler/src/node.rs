//! State that the tasks of one entry process share: configuration, cells and clients.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use litemap::LiteMap;
use metrics_exporter_prometheus::PrometheusHandle;
use rhubarbfall_core::{AvailabilityZoneId, BootTime, CellId, SharedClock, SubmissionId, WaveId};
use rhubarbfall_runs::scheduler::Wave;
use rhubarbfall_runs::{CellLayout, FleetConfig, Scheduler};
use rhubarbfall_site::{AdviceServiceClient, HttpClient, StoreClient, VmServiceClient};
use tokio::sync::Notify;

use crate::cancel_delivery::UndeliveredCancellations;
use crate::cell_state::CellState;
use crate::owner::Owner;
use crate::peer_status::poll_cycle;
use crate::settings::SchedulerProcessSettings;

/// Timeout of a call to the store: its longest announced slow-down plus network time.
const STORE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time without an answer from the store or an active owner after which an entry counts as
/// isolated. Both normally answer several times a second; without an owner, the store answers after
/// one second.
const ISOLATED_AFTER: Duration = Duration::from_millis(1_200);

/// Poll cycles without an answer from an owner after which an entry probes it before sending a
/// request: two cycles plus network time.
const OWNER_SILENT_CYCLES: f64 = 2.4;

/// Timeout of a call to the VM service.
const VM_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Shared state of one entry process.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) settings: SchedulerProcessSettings,
    pub(crate) clock: SharedClock,
    pub(crate) store: StoreClient,
    pub(crate) vm_service: VmServiceClient,
    pub(crate) advice: Option<AdviceServiceClient>,
    pub(crate) metrics: Option<PrometheusHandle>,
    /// Random number that distinguishes this process from earlier processes of the same entry.
    pub(crate) incarnation: u64,
    /// Configuration in force; version 0 until one has been read.
    pub(crate) config: RefCell<Arc<FleetConfig>>,
    /// Encoded configuration as the operator wrote it, sent to peers that cannot reach the store.
    pub(crate) config_text: RefCell<Bytes>,
    /// Time of the store's last answer to a poll of the configuration.
    pub(crate) config_polled_at: Cell<BootTime>,
    /// Waves requested by operators.
    pub(crate) waves: RefCell<LiteMap<WaveId, Wave>>,
    /// Availability zones that operators have evacuated, sorted.
    evacuated_zones: RefCell<Vec<AvailabilityZoneId>>,
    /// All operator rows that were stored before this time are known; `None` until they have been read.
    operator_view_at: Cell<Option<BootTime>>,
    /// How the fleet is divided; `None` until the store or an active owner has told.
    layout: RefCell<Option<Arc<CellLayout>>>,
    /// The cells, by number; only the first one until the layout is known.
    cells: RefCell<Vec<Rc<CellState>>>,
    /// Notifies the watch of ownerships that one of this entry has ended.
    pub(crate) ownership_ended: Notify,
    /// Time of the last answer from the store.
    pub(crate) last_store_contact: Cell<BootTime>,
    pub(crate) is_stopping: Cell<bool>,
    /// Makes open connections shut down during a planned stop.
    pub(crate) close_connections: Notify,
    /// Number of caller requests being served.
    pub(crate) in_flight: Cell<usize>,
    pub(crate) undelivered_cancellations: RefCell<UndeliveredCancellations>,
    /// Notifies the delivery of cancellations that there is one to deliver.
    pub(crate) cancellation_kept: Notify,
    peer_clients: RefCell<LiteMap<SocketAddr, Rc<HttpClient>>>,
}

impl Node {
    pub(crate) fn new(
        settings: SchedulerProcessSettings,
        clock: SharedClock,
        metrics: Option<PrometheusHandle>,
    ) -> Self {
        Self {
            store: StoreClient::new(settings.store, STORE_TIMEOUT),
            advice: settings.advice.map(AdviceServiceClient::new),
            vm_service: VmServiceClient::new(
                settings.vm_service,
                settings.entry.clone(),
                VM_TIMEOUT,
            ),
            settings,
            clock,
            metrics,
            incarnation: rand::random(),
            config: RefCell::default(),
            config_text: RefCell::default(),
            config_polled_at: Cell::default(),
            waves: RefCell::new(LiteMap::new()),
            evacuated_zones: RefCell::default(),
            operator_view_at: Cell::default(),
            layout: RefCell::default(),
            cells: RefCell::new(vec![Rc::new(CellState::new(CellId::FIRST))]),
            ownership_ended: Notify::new(),
            last_store_contact: Cell::default(),
            is_stopping: Cell::default(),
            close_connections: Notify::new(),
            in_flight: Cell::default(),
            undelivered_cancellations: RefCell::new(LiteMap::new()),
            cancellation_kept: Notify::new(),
            peer_clients: RefCell::new(LiteMap::new()),
        }
    }

    pub(crate) fn now(&self) -> BootTime {
        self.clock.boot_time()
    }

    pub(crate) fn unix_ms(&self) -> u64 {
        self.clock
            .wall_time()
            .duration_since(std::time::UNIX_EPOCH)
            .map_or(0, |elapsed| elapsed.as_millis() as u64)
    }

    /// Returns how the fleet is divided, or `None` if that is not known yet.
    pub(crate) fn layout(&self) -> Option<Arc<CellLayout>> {
        self.layout.borrow().clone()
    }

    /// Sets how the fleet is divided.
    pub(crate) fn set_layout(&self, layout: CellLayout) {
        let mut current = self.layout.borrow_mut();
        if current.as_deref() == Some(&layout) {
            return;
        }
        log::info!("event=layout cells={}", layout.count());
        let mut cells = self.cells.borrow_mut();
        let known = cells.len();
        cells.extend(
            layout
                .cells()
                .skip(known)
                .map(|id| Rc::new(CellState::new(id))),
        );
        *current = Some(Arc::new(layout));
    }

    /// Returns the known cells, by number.
    pub(crate) fn cells(&self) -> Vec<Rc<CellState>> {
        self.cells.borrow().clone()
    }

    /// Returns a cell, or `None` if it is not known.
    pub(crate) fn cell(&self, id: CellId) -> Option<Rc<CellState>> {
        self.cells.borrow().get(usize::from(id.number())).cloned()
    }

    /// Returns the cell of a submission, or `None` if the division is not known yet.
    pub(crate) fn cell_of(&self, id: &SubmissionId) -> Option<Rc<CellState>> {
        let layout = self.layout()?;
        self.cell(layout.cell_of_submission(id))
    }

    /// Returns the owners of the cells that this entry owns, also while their leases are not valid.
    pub(crate) fn owners(&self) -> Vec<Rc<Owner>> {
        let cells = self.cells.borrow();
        cells
            .iter()
            .filter_map(|cell| cell.owner.borrow().clone())
            .collect()
    }

    /// Returns whether neither the store nor an active owner has answered for longer than
    /// `ISOLATED_AFTER`, or the division is not known. Such an entry cannot serve callers.
    pub(crate) fn is_isolated(&self) -> bool {
        let cells = self.cells.borrow();
        let contacts = cells.iter().map(|cell| cell.last_owner_contact());
        let last_contact = contacts.fold(self.last_store_contact.get(), BootTime::max);
        self.layout.borrow().is_none() || self.now().since(last_contact) > ISOLATED_AFTER
    }

    /// Returns the interval at which this entry polls each owner.
    pub(crate) fn poll_cycle(&self) -> Duration {
        poll_cycle(self.cells.borrow().len())
    }

    /// Returns whether a cell's owner has not answered for several poll cycles and may be
    /// unreachable.
    pub(crate) fn is_owner_silent(&self, cell: &CellState) -> bool {
        cell.owner_silence(self.now()) > self.poll_cycle().mul_f64(OWNER_SILENT_CYCLES)
    }

    /// Returns the HTTP client for another entry, which reuses its connections.
    pub(crate) fn peer_client(&self, address: SocketAddr) -> Rc<HttpClient> {
        let mut peer_clients = self.peer_clients.borrow_mut();
        if let Some(peer) = peer_clients.get(&address) {
            return Rc::clone(peer);
        }
        let peer = Rc::new(HttpClient::new(address));
        peer_clients.insert(address, Rc::clone(&peer));
        peer
    }

    /// Records that all operator rows that were stored before `viewed_at` are known.
    pub(crate) fn confirm_operator_view(&self, viewed_at: BootTime) {
        self.operator_view_at.set(Some(viewed_at));
        for owner in self.owners() {
            owner.with(|scheduler| self.pass_operator_view(scheduler));
        }
    }

    /// Passes the evacuated zones, and when they were read, to an owner's scheduler.
    pub(crate) fn pass_operator_view(&self, scheduler: &mut Scheduler) {
        let Some(viewed_at) = self.operator_view_at.get() else {
            return;
        };
        let zones = self.evacuated_zones.borrow();
        if scheduler.evacuated_zones() != zones.as_slice() {
            scheduler.set_evacuated_zones(zones.iter().cloned(), self.now());
        }
        scheduler.confirm_operator_view(viewed_at);
    }

    /// Replaces the evacuated zones.
    pub(crate) fn set_evacuated_zones(&self, mut zones: Vec<AvailabilityZoneId>) {
        zones.sort();
        *self.evacuated_zones.borrow_mut() = zones;
    }

    /// Adds or removes an evacuated zone.
    pub(crate) fn set_evacuated(&self, zone: AvailabilityZoneId, is_evacuated: bool) {
        let mut zones = self.evacuated_zones.borrow_mut();
        match (zones.binary_search(&zone), is_evacuated) {
            (Err(index), true) => zones.insert(index, zone),
            (Ok(index), false) => drop(zones.remove(index)),
            (Ok(_), true) | (Err(_), false) => {}
        }
    }

    /// Applies a configuration if it is newer than the one in force.
    pub(crate) fn accept_config(&self, config: FleetConfig, text: Bytes, source: &str) {
        let in_force = self.config.borrow().version;
        if config.version <= in_force {
            return;
        }
        log::info!(
            "event=config_accepted version={} previous={in_force} source={source}",
            config.version
        );
        let config = Arc::new(config);
        *self.config.borrow_mut() = Arc::clone(&config);
        *self.config_text.borrow_mut() = text;
        for owner in self.owners() {
            owner.with(|scheduler| scheduler.set_config(Arc::clone(&config)));
        }
    }
}

/// Counts a request as in flight until it is dropped.
pub(crate) struct InFlightGuard(Rc<Node>);

impl InFlightGuard {
    pub(crate) fn new(node: &Rc<Node>) -> Self {
        node.in_flight.set(node.in_flight.get() + 1);
        Self(Rc::clone(node))
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}
