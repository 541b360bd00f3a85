//! State and background loops of the entry that owns a cell.

mod advice_request;
mod cancellation_feed;
mod division;
mod lending_loop;
mod renewal_pacing;
mod round_trip;
mod start;
mod state_rows;
mod store_loop;
mod tick_loop;
mod vm_loop;
mod wave_reports;
mod worker_list;
mod worker_loop;

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use litemap::LiteMap;
use rhubarbfall_core::{BootTime, FencingNumber, RowVersion, SubmissionId, WorkerId};
use rhubarbfall_runs::{CellLayout, Scheduler, Submission};
use rhubarbfall_site::WorkerClient;
use tokio::sync::{Notify, oneshot};

use crate::cell_state::CellState;
use crate::node::Node;
use crate::ownership::{
    MAX_OWNERSHIP_LEASE, MIN_OWNERSHIP_LEASE, OWNERSHIP_LEASE_ROUND_TRIPS, RENEWAL_INTERVAL,
    Renewal,
};
use crate::vm_orders_on_the_way::VmOrdersOnTheWay;
use lending_loop::Lending;
use round_trip::RoundTripEstimate;

pub(crate) use start::start;
pub(crate) use state_rows::{read_stored_state, store_cancellation};

/// Time before the end of the ownership lease at which the owner stops starting anything.
const TAKEOVER_MARGIN: Duration = Duration::from_millis(200);

/// Deducted from the longest lease, so that leases expire before a successor counts them as
/// expired.
const MAX_LEASE_RESERVE: Duration = Duration::from_millis(800);

/// Shortest time between two scheduler ticks, so that one tick handles several events.
const MIN_TICK_INTERVAL: Duration = Duration::from_millis(12);

/// Weight of the latest timer in the smoothed lateness; a change shows after a few ticks.
const TIMER_LATENESS_SMOOTHING: f64 = 0.2;

/// Time after which a submission is withdrawn if its batch has not been sent. By then the store has
/// not answered for many times its usual latency, and the caller still has time to try another
/// entry.
const WITHDRAW_AFTER: Duration = Duration::from_millis(700);

/// Limit of renewals in flight: a standalone one, one in a batch, and one without an answer.
const MAX_RENEWALS_IN_FLIGHT: usize = 3;

/// Time for which a closing owner waits until pending submissions and cancellations are stored.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(400);

/// Outcome of a caller's submission or cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestOutcome {
    /// The change is stored.
    Stored,
    /// No owner was reached; nothing was accepted.
    NoOwner,
    /// The change may be stored.
    Unknown,
    /// The submission does not exist.
    NotFound,
    /// The submission violates a rule; it never runs.
    Invalid,
    /// The owner has no room for the submission, or cannot start it in time; nothing was accepted. The
    /// caller may come back after `retry_after`.
    Busy { retry_after: Duration },
}

/// State of the entry that owns a cell.
pub(crate) struct Owner {
    cell: Rc<CellState>,
    /// The division under which the cell is owned.
    layout: Arc<CellLayout>,
    scheduler: RefCell<Scheduler>,
    fencing_number: FencingNumber,
    row_version: RowVersion,
    confirmed_at: Cell<BootTime>,
    /// Duration of the ownership lease from `confirmed_at` on.
    ownership_lease: Cell<Duration>,
    /// Ownership lease that the next renewal requests.
    next_ownership_lease: Cell<Duration>,
    /// Estimated duration of a store transaction.
    round_trip: Cell<RoundTripEstimate>,
    /// Whether a batch is in flight; a batch also renews the ownership if a renewal is due.
    is_batch_in_flight: Cell<bool>,
    /// Ownership leases requested by the last renewals; no other renewals are in flight.
    requested_ownership_leases: RefCell<VecDeque<Duration>>,
    max_lease: Duration,
    has_ended: Cell<bool>,
    is_closing: Cell<bool>,
    is_loaded: Cell<bool>,
    wake_tick: Notify,
    wake_store: Notify,
    waiters: RefCell<Vec<Waiter>>,
    worker_clients: RefCell<LiteMap<WorkerId, Rc<WorkerClient>>>,
    /// Notifies the tasks that wait for a batch to be stored.
    batch_stored: Notify,
    /// Smoothed lateness of the process's timers, which measures the wait for the processor.
    timer_lateness: Cell<Duration>,
    /// Orders for VMs that may still reach the VM service.
    pub(crate) vm_orders: Rc<VmOrdersOnTheWay>,
    /// When all leases that earlier owners granted to workers have expired.
    inherited_leases_until: Cell<BootTime>,
    /// Until when leases of owners of earlier versions may last.
    earlier_version_leases_until: BootTime,
    /// Shares of the limits that cells have together.
    lending: RefCell<Lending>,
}

/// What earlier owners may have left on its way when an owner takes over.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Inheritance {
    /// Until when their orders may reach the VM service.
    pub(crate) vm_orders_arrive_by: BootTime,
    /// Until when the leases that they granted to workers may last.
    pub(crate) leases_until: BootTime,
    /// Until when those of the leases may last that owners of earlier versions granted.
    pub(crate) earlier_version_leases_until: BootTime,
}

/// Caller waiting until a version of a job is stored.
struct Waiter {
    id: SubmissionId,
    version: u64,
    sender: oneshot::Sender<()>,
}

impl fmt::Debug for Owner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Owner")
            .field("cell", &self.cell.id)
            .field("fencing_number", &self.fencing_number)
            .finish_non_exhaustive()
    }
}

impl Owner {
    pub(crate) fn new(
        node: &Node,
        cell: &Rc<CellState>,
        fencing_number: FencingNumber,
        owner_row_version: RowVersion,
        confirmed_at: BootTime,
        inheritance: Inheritance,
    ) -> Rc<Self> {
        let ownership_lease = MIN_OWNERSHIP_LEASE;
        let layout = node
            .layout()
            .unwrap_or_else(|| Arc::new(CellLayout::single()));
        let scheduler = Scheduler::new(node.settings.scheduler_of(cell.id, layout.count()));
        let owner = Self {
            cell: Rc::clone(cell),
            layout,
            scheduler: RefCell::new(scheduler),
            fencing_number,
            row_version: owner_row_version,
            confirmed_at: Cell::default(),
            ownership_lease: Cell::default(),
            next_ownership_lease: Cell::new(ownership_lease),
            round_trip: Cell::default(),
            is_batch_in_flight: Cell::default(),
            requested_ownership_leases: RefCell::new(VecDeque::from([ownership_lease])),
            max_lease: node.settings.max_lease().saturating_sub(MAX_LEASE_RESERVE),
            has_ended: Cell::new(false),
            is_closing: Cell::new(false),
            is_loaded: Cell::new(false),
            wake_tick: Notify::new(),
            wake_store: Notify::new(),
            waiters: RefCell::default(),
            worker_clients: RefCell::new(LiteMap::new()),
            batch_stored: Notify::new(),
            timer_lateness: Cell::default(),
            vm_orders: Rc::new(VmOrdersOnTheWay::new(
                node.settings.vm_order_time(),
                inheritance.vm_orders_arrive_by,
            )),
            inherited_leases_until: Cell::new(inheritance.leases_until),
            earlier_version_leases_until: inheritance.earlier_version_leases_until,
            lending: RefCell::default(),
        };
        owner.confirm_renewal(confirmed_at);
        Rc::new(owner)
    }

    /// Returns the cell that is owned.
    pub(crate) fn cell(&self) -> &CellState {
        &self.cell
    }

    pub(crate) const fn fencing_number(&self) -> FencingNumber {
        self.fencing_number
    }

    /// Returns the version of the owner row, which every write of this owner is conditioned on.
    pub(crate) const fn owner_row_version(&self) -> RowVersion {
        self.row_version
    }

    /// Records that a renewal sent at `sent_at` was stored. The ownership lease becomes the
    /// shortest one requested by the renewals in flight, since the store may apply them in any
    /// order.
    pub(crate) fn confirm_renewal(&self, sent_at: BootTime) {
        self.confirmed_at.set(self.confirmed_at.get().max(sent_at));
        let shortest = self
            .requested_ownership_leases
            .borrow()
            .iter()
            .min()
            .copied();
        self.ownership_lease.set(shortest.unwrap_or_default());
        self.scheduler
            .borrow_mut()
            .confirm_ownership(sent_at + self.max_lease);
    }

    /// Returns the ownership lease for the next renewal and counts that renewal as in flight.
    pub(crate) fn request_ownership_lease(&self) -> Duration {
        let ownership_lease = self.next_ownership_lease.get();
        let mut requested = self.requested_ownership_leases.borrow_mut();
        if requested.len() >= MAX_RENEWALS_IN_FLIGHT {
            requested.pop_front();
        }
        requested.push_back(ownership_lease);
        ownership_lease
    }

    /// Records the duration of a transaction, or the time waited without an answer.
    pub(crate) fn record_round_trip(&self, took: Duration) {
        let mut round_trip = self.round_trip.get();
        round_trip.add(took);
        self.round_trip.set(round_trip);
        let round_trips = took * OWNERSHIP_LEASE_ROUND_TRIPS;
        self.next_ownership_lease
            .set(round_trips.clamp(MIN_OWNERSHIP_LEASE, MAX_OWNERSHIP_LEASE));
    }

    /// Returns the timeout of the next transaction.
    pub(crate) fn commit_timeout(&self) -> Duration {
        self.round_trip.get().timeout()
    }

    /// Returns whether a renewal is due. Renewals are limited, because each one wakes all other
    /// entries.
    pub(crate) fn is_renewal_due(&self, now: BootTime) -> bool {
        now.since(self.confirmed_at.get()) >= RENEWAL_INTERVAL
    }

    /// Returns whether a standalone renewal is needed, since no batch in flight may carry it.
    pub(crate) fn needs_renewal(&self, now: BootTime) -> bool {
        !self.is_batch_in_flight.get() && self.is_renewal_due(now)
    }

    /// Returns whether the ownership lease is valid, so that no other entry can have taken over.
    pub(crate) fn is_active(&self, now: BootTime) -> bool {
        self.is_loaded.get()
            && !self.has_ended.get()
            && !self.is_closing.get()
            && now < self.active_until()
    }

    /// Returns the time until which this entry acts as the owner unless it renews its ownership.
    pub(crate) fn active_until(&self) -> BootTime {
        let lease = self.ownership_lease.get().saturating_sub(TAKEOVER_MARGIN);
        self.confirmed_at.get() + lease
    }

    /// Returns whether every lease that this owner granted to workers has expired.
    pub(crate) fn have_worker_leases_expired(&self, now: BootTime) -> bool {
        now.since(self.confirmed_at.get()) > self.max_lease
    }

    pub(crate) fn has_ended(&self) -> bool {
        self.has_ended.get()
    }

    /// Calls `change` with the scheduler and wakes the tick loop.
    pub(crate) fn with<T>(&self, change: impl FnOnce(&mut Scheduler) -> T) -> T {
        let result = change(&mut self.scheduler.borrow_mut());
        self.wake_tick.notify_one();
        result
    }

    /// Records how late a timer fired.
    fn record_timer_lateness(&self, late: Duration) {
        let smoothed = self
            .timer_lateness
            .get()
            .mul_f64(1.0 - TIMER_LATENESS_SMOOTHING)
            + late.mul_f64(TIMER_LATENESS_SMOOTHING);
        self.timer_lateness.set(smoothed);
        metrics::gauge!("timer_lateness_seconds").set(smoothed.as_secs_f64());
    }

    /// Ends all background loops. Waiting callers receive an unknown outcome.
    pub(crate) fn end(&self) {
        self.has_ended.set(true);
        self.waiters.borrow_mut().clear();
        self.wake_tick.notify_one();
        self.wake_store.notify_one();
        self.batch_stored.notify_waiters();
    }

    /// Returns a renewal of this ownership.
    pub(crate) fn renewal(&self, sent_at: BootTime, ownership_lease: Duration) -> Renewal {
        Renewal {
            fencing_number: self.fencing_number,
            sent_at,
            ownership_lease,
            vm_orders_on_the_way: self.vm_orders.remaining(sent_at),
            inherited_leases: self.inherited_leases_remaining(sent_at),
            earlier_version_leases: self.earlier_version_leases_until.since(sent_at),
        }
    }

    /// Returns how long leases that earlier owners granted to workers may last.
    pub(crate) fn inherited_leases_remaining(&self, now: BootTime) -> Duration {
        self.inherited_leases_until.get().since(now)
    }

    /// Records that leases of earlier owners last until `until` at most.
    pub(crate) fn bound_inherited_leases(&self, until: BootTime) {
        let until = until.min(self.inherited_leases_until.get());
        self.inherited_leases_until.set(until);
        self.with(|scheduler| scheduler.bound_inherited_leases(until));
    }

    /// Records that no order of an earlier owner reaches the VM service after `until`.
    pub(crate) fn vm_orders_arrive_by(&self, until: BootTime) {
        self.vm_orders.inherit(until);
        self.with(|scheduler| scheduler.await_inherited_vm_orders(until));
    }

    /// Stops accepting requests and giving orders for VMs, and waits until pending changes are stored
    /// and orders are answered, for at most `CLOSE_TIMEOUT`.
    pub(crate) async fn close(&self) {
        self.is_closing.set(true);
        let all_stored = async {
            while !self.waiters.borrow().is_empty() || self.vm_orders.is_any_in_flight() {
                tokio::time::sleep(MIN_TICK_INTERVAL).await;
            }
        };
        if tokio::time::timeout(CLOSE_TIMEOUT, all_stored)
            .await
            .is_err()
        {
            log::warn!(
                "event=closed_with_waiters count={} are_vm_orders_in_flight={}",
                self.waiters.borrow().len(),
                self.vm_orders.is_any_in_flight()
            );
        }
    }

    /// Accepts a submission and waits until it is stored.
    pub(crate) async fn submit(&self, node: &Node, submission: Submission) -> RequestOutcome {
        let id = submission.id.clone();
        if let Err(error) = self.scheduler.borrow().check(&submission) {
            log::info!("event=submission_refused id={id} code=2026 error={error}");
            return RequestOutcome::Invalid;
        }
        let now = node.now();
        if let Err(retry_after) = self.scheduler.borrow_mut().admit(&submission, now) {
            return RequestOutcome::Busy { retry_after };
        }
        let version = self.with(|scheduler| scheduler.submit(submission, now));
        if self.scheduler.borrow().is_unreadable(&id) {
            return RequestOutcome::Unknown;
        }
        let stored = self.wait_until_stored(id.clone(), version);
        tokio::pin!(stored);
        // If the store does not answer, a submission that was never sent to it is withdrawn, and
        // its caller can try another entry.
        if let Ok(outcome) = tokio::time::timeout(WITHDRAW_AFTER, &mut stored).await {
            if outcome != RequestOutcome::Unknown {
                return outcome;
            }
            return self.withdraw(node, &id).unwrap_or(RequestOutcome::Unknown);
        }
        match self.withdraw(node, &id) {
            Some(outcome) => outcome,
            None => stored.await,
        }
    }

    /// Withdraws a submission that was never sent to the store. Returns `None` if it may be stored.
    fn withdraw(&self, node: &Node, id: &SubmissionId) -> Option<RequestOutcome> {
        let now = node.now();
        self.with(|scheduler| scheduler.withdraw(id, now))
            .then_some(RequestOutcome::NoOwner)
    }

    /// Cancels a submission and waits until the cancellation is stored, also if the submission has
    /// not arrived.
    pub(crate) async fn cancel(&self, node: &Node, id: &SubmissionId) -> RequestOutcome {
        let now = node.now();
        let Some(version) = self.with(|scheduler| scheduler.cancel(id, now)) else {
            return RequestOutcome::NoOwner;
        };
        let outcome = self.wait_until_stored(id.clone(), version).await;
        let is_known = self.scheduler.borrow().submission_state(id).is_some();
        match outcome {
            RequestOutcome::Stored if !is_known => RequestOutcome::NotFound,
            outcome => outcome,
        }
    }

    async fn wait_until_stored(&self, id: SubmissionId, version: u64) -> RequestOutcome {
        if self.scheduler.borrow().is_stored(&id, version) == Some(true) {
            return RequestOutcome::Stored;
        }
        let (sender, receiver) = oneshot::channel();
        self.waiters.borrow_mut().push(Waiter {
            id,
            version,
            sender,
        });
        self.wake_store.notify_one();
        match receiver.await {
            Ok(()) => RequestOutcome::Stored,
            Err(_) => RequestOutcome::Unknown,
        }
    }

    /// Notifies callers whose job versions are stored.
    fn resolve_waiters(&self) {
        let scheduler = self.scheduler.borrow();
        let waiting = std::mem::take(&mut *self.waiters.borrow_mut());
        for waiter in waiting {
            match scheduler.is_stored(&waiter.id, waiter.version) {
                Some(true) => drop(waiter.sender.send(())),
                Some(false) if !waiter.sender.is_closed() => {
                    self.waiters.borrow_mut().push(waiter);
                }
                Some(false) | None => {}
            }
        }
    }

    fn worker_client(&self, id: &WorkerId) -> Option<Rc<WorkerClient>> {
        self.worker_clients.borrow().get(id).cloned()
    }
}
