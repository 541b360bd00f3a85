//! State that the tasks of one entry process share: configuration, the known owner and clients.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use litemap::LiteMap;
use metrics_exporter_prometheus::PrometheusHandle;
use rhubarbfall_core::{BootTime, EntryId, FencingNumber, SharedClock, WaveId};
use rhubarbfall_runs::FleetConfig;
use rhubarbfall_runs::scheduler::Wave;
use rhubarbfall_site::{AdviceServiceClient, HttpClient, StoreClient, VmServiceClient};
use tokio::sync::Notify;

use crate::cancel_delivery::UndeliveredCancellations;
use crate::owner::Owner;
use crate::ownership::MIN_OWNERSHIP_LEASE;
use crate::settings::SchedulerProcessSettings;
use crate::vm_orders_on_the_way::VmOrdersOnTheWay;

/// Timeout of a call to the store: its longest announced slow-down plus network time.
const STORE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time without an answer from the store or an active owner after which an entry counts as
/// isolated. Both normally answer several times a second; without an owner, the store answers after
/// one second.
const ISOLATED_AFTER: Duration = Duration::from_millis(1_200);

/// Time without an answer from the owner after which an entry probes it before sending a request:
/// two poll intervals plus network time.
const OWNER_SILENT_AFTER: Duration = Duration::from_millis(600);

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
    /// Last known owner of the submissions.
    pub(crate) known_owner: RefCell<KnownOwner>,
    /// Owner state while this entry owns the submissions.
    pub(crate) owner: RefCell<Option<Rc<Owner>>>,
    /// Orders for VMs of the last ownership of this entry that has ended.
    last_vm_orders: RefCell<Option<Rc<VmOrdersOnTheWay>>>,
    /// Time of the last answer from the store.
    pub(crate) last_store_contact: Cell<BootTime>,
    /// Time of the last answer from the owner that confirmed it is active.
    pub(crate) last_owner_contact: Cell<BootTime>,
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

/// Last known owner of the submissions.
#[derive(Debug, Clone, Default)]
pub(crate) struct KnownOwner {
    /// Fencing number of the owner's orders and writes.
    pub(crate) fencing_number: FencingNumber,
    /// Entry that owns the submissions; `None` if the last owner released its ownership.
    pub(crate) holder: Option<Holder>,
}

/// Entry that owns the submissions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Holder {
    pub(crate) entry: EntryId,
    pub(crate) address: SocketAddr,
    pub(crate) incarnation: u64,
    /// Whether it reads cancellations that other entries store; earlier versions do not.
    pub(crate) reads_cancellations: bool,
}

/// Location of the owner.
#[derive(Debug)]
pub(crate) enum OwnerLocation {
    /// This process.
    Local(Rc<Owner>),
    /// Another entry, at its peer address.
    Peer(SocketAddr),
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
            known_owner: RefCell::default(),
            owner: RefCell::default(),
            last_vm_orders: RefCell::default(),
            last_store_contact: Cell::default(),
            last_owner_contact: Cell::default(),
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

    /// Returns the owner state if this entry is the owner and its ownership lease is valid.
    pub(crate) fn active_owner(&self) -> Option<Rc<Owner>> {
        let owner = self.owner.borrow().clone()?;
        owner.is_active(self.now()).then_some(owner)
    }

    /// Returns whether neither the store nor an active owner has answered for longer than
    /// `ISOLATED_AFTER`. An isolated entry cannot serve callers.
    pub(crate) fn is_isolated(&self) -> bool {
        let last_contact = self
            .last_store_contact
            .get()
            .max(self.last_owner_contact.get());
        self.now().since(last_contact) > ISOLATED_AFTER
    }

    /// Returns the time since an active owner last answered.
    pub(crate) fn owner_silence(&self) -> Duration {
        self.now().since(self.last_owner_contact.get())
    }

    /// Returns whether the owner has not answered for longer than `OWNER_SILENT_AFTER` and may be
    /// unreachable.
    pub(crate) fn is_owner_silent(&self) -> bool {
        self.owner_silence() > OWNER_SILENT_AFTER
    }

    /// Returns this process if it is the active owner, else the entry known as the owner, if any.
    pub(crate) fn find_owner(&self) -> Option<OwnerLocation> {
        match self.active_owner() {
            Some(owner) => Some(OwnerLocation::Local(owner)),
            None => self.other_owner().map(OwnerLocation::Peer),
        }
    }

    /// Returns the peer address of the owner if it is another entry.
    pub(crate) fn other_owner(&self) -> Option<SocketAddr> {
        let known_owner = self.known_owner.borrow();
        let holder = known_owner.holder.as_ref()?;
        (holder.address != self.settings.peers).then_some(holder.address)
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
        if let Some(owner) = &*self.owner.borrow() {
            owner.with(|scheduler| scheduler.set_config(config));
        }
    }

    /// Updates the known owner unless the fencing number is older than the known one. Ends this
    /// entry's ownership if the fencing number is newer than its own.
    pub(crate) fn update_known_owner(&self, fencing_number: FencingNumber, holder: Option<Holder>) {
        let mut known_owner = self.known_owner.borrow_mut();
        if fencing_number < known_owner.fencing_number {
            return;
        }
        if fencing_number > known_owner.fencing_number || holder != known_owner.holder {
            log::info!("event=owner_changed fence={fencing_number} holder={holder:?}");
            // The source of this update was in contact with the owner recently.
            self.last_owner_contact.set(self.now());
        }
        *known_owner = KnownOwner {
            fencing_number,
            holder,
        };
        drop(known_owner);
        let is_superseded = |owner: &Rc<Owner>| owner.fencing_number() < fencing_number;
        if self.owner.borrow().as_ref().is_some_and(is_superseded) {
            self.drop_ownership("superseded");
        }
    }

    /// Ends this entry's ownership. Waiting callers receive an unknown outcome.
    pub(crate) fn drop_ownership(&self, reason: &str) {
        if let Some(owner) = self.owner.borrow_mut().take() {
            log::warn!(
                "event=ownership_lost fence={} reason={reason}",
                owner.fencing_number()
            );
            metrics::gauge!("is_owner").set(0.0);
            owner.end();
            let is_cut_off = self.now().since(self.last_store_contact.get()) > MIN_OWNERSHIP_LEASE;
            owner.vm_orders.end_ownership(is_cut_off);
            *self.last_vm_orders.borrow_mut() = Some(Rc::clone(&owner.vm_orders));
        }
    }

    /// Returns how long orders for VMs of this process may still matter to another owner, or `None`
    /// while this entry holds the ownership.
    pub(crate) fn vm_orders_left(&self) -> Option<Duration> {
        if self.owner.borrow().is_some() {
            return None;
        }
        let last_vm_orders = self.last_vm_orders.borrow();
        let left = |orders: &Rc<VmOrdersOnTheWay>| orders.remaining_for_successor(self.now());
        Some(last_vm_orders.as_ref().map_or(Duration::ZERO, left))
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
