//! What this process knows of one cell: its last known owner, and the owner's state while this entry
//! owns the cell.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rhubarbfall_core::{BootTime, CellId, EntryId, FencingNumber};

use crate::node::Node;
use crate::owner::Owner;
use crate::ownership::MIN_OWNERSHIP_LEASE;
use crate::vm_orders_on_the_way::VmOrdersOnTheWay;

/// State of one cell.
#[derive(Debug)]
pub(crate) struct CellState {
    pub(crate) id: CellId,
    /// Partition of the store that holds the cell's rows.
    pub(crate) part: Arc<str>,
    pub(crate) known_owner: RefCell<KnownOwner>,
    /// Owner state while this entry owns the cell.
    pub(crate) owner: RefCell<Option<Rc<Owner>>>,
    /// Orders for VMs of the last ownership of this entry that has ended.
    last_vm_orders: RefCell<Option<Rc<VmOrdersOnTheWay>>>,
    /// Time of the last answer from the owner that confirmed it is active.
    last_owner_contact: Cell<BootTime>,
}

/// Last known owner of a cell.
#[derive(Debug, Clone, Default)]
pub(crate) struct KnownOwner {
    /// Fencing number of the owner's orders and writes.
    pub(crate) fencing_number: FencingNumber,
    /// Entry that owns the cell; `None` if the last owner released its ownership.
    pub(crate) holder: Option<Holder>,
}

/// Entry that owns a cell.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Holder {
    pub(crate) entry: EntryId,
    pub(crate) address: SocketAddr,
    pub(crate) incarnation: u64,
    /// Whether it reads cancellations that other entries store; earlier versions do not.
    pub(crate) reads_cancellations: bool,
}

/// Location of a cell's owner.
#[derive(Debug)]
pub(crate) enum OwnerLocation {
    /// This process.
    Local(Rc<Owner>),
    /// Another entry, at its peer address.
    Peer(SocketAddr),
}

impl CellState {
    pub(crate) fn new(id: CellId) -> Self {
        Self {
            id,
            part: Arc::from(id.to_string()),
            known_owner: RefCell::default(),
            owner: RefCell::default(),
            last_vm_orders: RefCell::default(),
            last_owner_contact: Cell::default(),
        }
    }

    /// Returns whether this entry owns the cell, also while its ownership lease is not valid.
    pub(crate) fn is_owned(&self) -> bool {
        self.owner.borrow().is_some()
    }

    /// Returns the owner state if this entry is the owner and its ownership lease is valid.
    pub(crate) fn active_owner(&self, now: BootTime) -> Option<Rc<Owner>> {
        let owner = self.owner.borrow().clone()?;
        owner.is_active(now).then_some(owner)
    }

    /// Returns this process if it is the active owner, else the entry known as the owner, if any.
    pub(crate) fn find_owner(&self, node: &Node) -> Option<OwnerLocation> {
        match self.active_owner(node.now()) {
            Some(owner) => Some(OwnerLocation::Local(owner)),
            None => self.other_owner(node).map(OwnerLocation::Peer),
        }
    }

    /// Returns the peer address of the owner if it is another entry.
    pub(crate) fn other_owner(&self, node: &Node) -> Option<SocketAddr> {
        let known_owner = self.known_owner.borrow();
        let holder = known_owner.holder.as_ref()?;
        (holder.address != node.settings.peers).then_some(holder.address)
    }

    /// Records that the owner has answered as active.
    pub(crate) fn record_owner_contact(&self, now: BootTime) {
        self.last_owner_contact.set(now);
    }

    /// Returns the time of the last answer from an active owner.
    pub(crate) const fn last_owner_contact(&self) -> BootTime {
        self.last_owner_contact.get()
    }

    /// Returns the time since an active owner last answered.
    pub(crate) fn owner_silence(&self, now: BootTime) -> Duration {
        now.since(self.last_owner_contact.get())
    }

    /// Updates the known owner unless the fencing number is older than the known one. Ends this
    /// entry's ownership if the fencing number is newer than its own.
    pub(crate) fn update_known_owner(
        &self,
        node: &Node,
        fencing_number: FencingNumber,
        holder: Option<Holder>,
    ) {
        let mut known_owner = self.known_owner.borrow_mut();
        if fencing_number < known_owner.fencing_number {
            return;
        }
        if fencing_number > known_owner.fencing_number || holder != known_owner.holder {
            log::info!(
                "event=owner_changed fence={fencing_number} cell={} holder={holder:?}",
                self.id
            );
            // The source of this update was in contact with the owner recently.
            self.last_owner_contact.set(node.now());
        }
        *known_owner = KnownOwner {
            fencing_number,
            holder,
        };
        drop(known_owner);
        let is_superseded = |owner: &Rc<Owner>| owner.fencing_number() < fencing_number;
        if self.owner.borrow().as_ref().is_some_and(is_superseded) {
            self.drop_ownership(node, "superseded");
        }
    }

    /// Ends this entry's ownership. Waiting callers receive an unknown outcome.
    pub(crate) fn drop_ownership(&self, node: &Node, reason: &str) {
        if let Some(owner) = self.owner.borrow_mut().take() {
            log::warn!(
                "event=ownership_lost fence={} reason={reason} cell={}",
                owner.fencing_number(),
                self.id
            );
            metrics::gauge!("is_owner").decrement(1.0);
            owner.end();
            let is_cut_off = node.now().since(node.last_store_contact.get()) > MIN_OWNERSHIP_LEASE;
            owner.vm_orders.end_ownership(is_cut_off);
            *self.last_vm_orders.borrow_mut() = Some(Rc::clone(&owner.vm_orders));
            node.ownership_ended.notify_one();
        }
    }

    /// Returns how long orders for VMs of this process may still matter to another owner, or `None`
    /// while this entry holds the ownership.
    pub(crate) fn vm_orders_left(&self, now: BootTime) -> Option<Duration> {
        if self.is_owned() {
            return None;
        }
        let last_vm_orders = self.last_vm_orders.borrow();
        let left = |orders: &Rc<VmOrdersOnTheWay>| orders.remaining_for_successor(now);
        Some(last_vm_orders.as_ref().map_or(Duration::ZERO, left))
    }
}
