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

use crate::owner::Owner;
use crate::settings::ScheduleSettings;

/// How long a call to the store may take: its worst announced slow-down, and the way.
const STORE_TIMEOUT: Duration = Duration::from_secs(1);

/// An entry that has heard neither the store nor an owner at work for this long is cut off: both answer
/// several times a second, the store after a second when there is no owner.
const ALONE_AFTER: Duration = Duration::from_millis(1_200);

/// An owner that has not answered for this long is asked whether it is there before it is sent
/// anything: two of the regular exchanges, and the way.
const OWNER_SILENT_AFTER: Duration = Duration::from_millis(600);

/// How long a call about a VM may take.
const VM_TIMEOUT: Duration = Duration::from_millis(1_500);

/// What one entry process knows and shares between its duties.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) settings: ScheduleSettings,
    pub(crate) clock: SharedClock,
    pub(crate) store: StoreClient,
    pub(crate) vm_service: VmServiceClient,
    pub(crate) advice: Option<AdviceServiceClient>,
    pub(crate) metrics: Option<PrometheusHandle>,
    /// Tells this life of the process from others of the same entry.
    pub(crate) incarnation: u64,
    /// The configuration in force.
    pub(crate) config: RefCell<Arc<FleetConfig>>,
    /// The configuration as the operator wrote it, for peers that the store turns away.
    pub(crate) config_text: RefCell<Bytes>,
    /// The waves that operators asked for.
    pub(crate) waves: RefCell<LiteMap<WaveId, Wave>>,
    /// Who owns the submissions, as far as is known.
    pub(crate) belief: RefCell<OwnerBelief>,
    /// The state of the owner, while this entry is it.
    pub(crate) owner: RefCell<Option<Rc<Owner>>>,
    /// When the store answered last.
    pub(crate) store_heard_at: Cell<BootTime>,
    /// When the owner last answered that it can store what it takes.
    pub(crate) owner_heard_at: Cell<BootTime>,
    pub(crate) is_stopping: Cell<bool>,
    /// Wakes duties when a planned stop begins.
    pub(crate) stop: Notify,
    /// How many requests of callers are being served.
    pub(crate) in_flight: Cell<usize>,
    peers: RefCell<LiteMap<SocketAddr, Rc<HttpClient>>>,
}

/// Who owns the submissions, as far as an entry knows.
#[derive(Debug, Clone, Default)]
pub(crate) struct OwnerBelief {
    /// The number that the owner's orders are fenced by.
    pub(crate) fencing_number: FencingNumber,
    /// The owner, unless the last one handed its ownership back.
    pub(crate) holder: Option<Holder>,
}

/// The entry that owns the submissions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Holder {
    pub(crate) entry: EntryId,
    pub(crate) address: SocketAddr,
    pub(crate) incarnation: u64,
}

/// Where the owner is asked.
#[derive(Debug)]
pub(crate) enum OwnerAt {
    /// In this process.
    Here(Rc<Owner>),
    /// At another entry.
    Peer(SocketAddr),
}

impl Node {
    pub(crate) fn new(
        settings: ScheduleSettings,
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
            waves: RefCell::new(LiteMap::new()),
            belief: RefCell::default(),
            owner: RefCell::default(),
            store_heard_at: Cell::default(),
            owner_heard_at: Cell::default(),
            is_stopping: Cell::default(),
            stop: Notify::new(),
            in_flight: Cell::default(),
            peers: RefCell::new(LiteMap::new()),
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

    /// Returns the state of the owner, while this entry is it and may act.
    pub(crate) fn acting_owner(&self) -> Option<Rc<Owner>> {
        let owner = self.owner.borrow().clone()?;
        owner.may_act(self.now()).then_some(owner)
    }

    /// Returns whether neither the store nor an owner at work has been heard of late: the entry is cut off
    /// and can serve nobody.
    pub(crate) fn is_alone(&self) -> bool {
        let heard_at = self.store_heard_at.get().max(self.owner_heard_at.get());
        self.now().since(heard_at) > ALONE_AFTER
    }

    /// Returns for how long no owner at work has answered.
    pub(crate) fn owner_silence(&self) -> Duration {
        self.now().since(self.owner_heard_at.get())
    }

    /// Returns whether the owner has not answered for so long that it may be out of reach.
    pub(crate) fn is_owner_silent(&self) -> bool {
        self.owner_silence() > OWNER_SILENT_AFTER
    }

    /// Returns where the owner is to be asked: here while this entry may act, or at another entry.
    pub(crate) fn find_owner(&self) -> Option<OwnerAt> {
        match self.acting_owner() {
            Some(owner) => Some(OwnerAt::Here(owner)),
            None => self.other_owner().map(OwnerAt::Peer),
        }
    }

    /// Returns the address of another entry that owns the submissions.
    pub(crate) fn other_owner(&self) -> Option<SocketAddr> {
        let belief = self.belief.borrow();
        let holder = belief.holder.as_ref()?;
        (holder.address != self.settings.peers).then_some(holder.address)
    }

    /// Returns the caller for another entry, which keeps its connections.
    pub(crate) fn peer(&self, address: SocketAddr) -> Rc<HttpClient> {
        let mut peers = self.peers.borrow_mut();
        if let Some(peer) = peers.get(&address) {
            return Rc::clone(peer);
        }
        let peer = Rc::new(HttpClient::new(address));
        peers.insert(address, Rc::clone(&peer));
        peer
    }

    /// Takes a configuration if it is newer than the one in force.
    pub(crate) fn accept_config(&self, config: FleetConfig, text: Bytes, source: &str) {
        let in_force = self.config.borrow().version;
        if config.version <= in_force {
            return;
        }
        log::info!(
            "event=config_taken version={} was={in_force} source={source}",
            config.version
        );
        let config = Arc::new(config);
        *self.config.borrow_mut() = Arc::clone(&config);
        *self.config_text.borrow_mut() = text;
        if let Some(owner) = &*self.owner.borrow() {
            owner.with(|scheduler| scheduler.set_config(config));
        }
    }

    /// Takes a newer belief about who owns the submissions.
    pub(crate) fn accept_belief(&self, fencing_number: FencingNumber, holder: Option<Holder>) {
        let mut belief = self.belief.borrow_mut();
        if fencing_number < belief.fencing_number {
            return;
        }
        if fencing_number > belief.fencing_number || holder != belief.holder {
            log::info!("event=owner_known fence={fencing_number} holder={holder:?}");
            // Whoever told has just heard of it.
            self.owner_heard_at.set(self.now());
        }
        *belief = OwnerBelief {
            fencing_number,
            holder,
        };
        drop(belief);
        let is_superseded = |owner: &Rc<Owner>| owner.fencing_number() < fencing_number;
        if self.owner.borrow().as_ref().is_some_and(is_superseded) {
            self.drop_ownership("superseded");
        }
    }

    /// Ends this entry's ownership; callers that wait are told that the outcome is unknown.
    pub(crate) fn drop_ownership(&self, reason: &str) {
        if let Some(owner) = self.owner.borrow_mut().take() {
            log::warn!(
                "event=ownership_lost fence={} reason={reason}",
                owner.fencing_number()
            );
            metrics::gauge!("is_owner").set(0.0);
            owner.end();
        }
    }
}
