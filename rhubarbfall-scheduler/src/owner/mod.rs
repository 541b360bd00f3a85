//! The duties of the entry that owns the submissions.

mod advice_loop;
mod round_trip;
mod state_rows;
mod store_loop;
mod vm_loop;
mod worker_list;
mod worker_loop;

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use litemap::LiteMap;
use rhubarbfall_core::{BootTime, FencingNumber, RowVersion, SubmissionId, WorkerId};
use rhubarbfall_runs::scheduler::Action;
use rhubarbfall_runs::{Scheduler, Submission};
use rhubarbfall_site::WorkerClient;
use tokio::sync::{Notify, oneshot};
use tokio::task::spawn_local;

use crate::node::Node;
use crate::ownership::{MAX_TENURE, MIN_TENURE, RENEW_INTERVAL, TENURE_ROUND_TRIPS};
use round_trip::RoundTrip;

pub(crate) use state_rows::{CELL_PART, read_stored_state};

/// The owner stops starting anything this long before others may take over.
const ACT_MARGIN: Duration = Duration::from_millis(200);

/// What is kept of the longest lease, so that leases end before a successor counts them as lapsed.
const LEASE_MARGIN: Duration = Duration::from_millis(800);

/// The longest time between two looks at what depends on time alone.
const TICK: Duration = Duration::from_millis(50);

/// The shortest time between two looks, so that events are taken together.
const MIN_TICK: Duration = Duration::from_millis(12);

/// The part that one timer has in the smoothed lateness: a few ticks show a change.
const LATENESS_GAIN: f64 = 0.2;

/// A submission that waits this long for its batch to be sent is given back: the store has not
/// answered for many times its usual time, and the caller has time left to try another entry.
const TAKE_BACK_AFTER: Duration = Duration::from_millis(700);

/// The most renewals on their way: one of its own, one with a batch, and one without an answer.
const MAX_RENEWALS: usize = 3;

/// How long a closing owner waits for what callers wait for.
const CLOSE_PATIENCE: Duration = Duration::from_millis(400);

/// How a caller's submission or cancellation ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Submitted {
    /// It is stored.
    Stored,
    /// No owner was reached; nothing was taken.
    NoOwner,
    /// It may be stored.
    Unknown,
    /// There is no such submission.
    NotFound,
}

/// The state of the entry that owns the submissions.
pub(crate) struct Owner {
    scheduler: RefCell<Scheduler>,
    fencing_number: FencingNumber,
    row_version: RowVersion,
    confirmed_at: Cell<BootTime>,
    /// How long the confirmed renewal keeps others from taking over.
    tenure: Cell<Duration>,
    /// What the next renewal asks for.
    next_tenure: Cell<Duration>,
    /// How long the store takes for a transaction.
    round_trip: Cell<RoundTrip>,
    /// Whether a batch is on its way, which renews the ownership as well.
    is_batch_under_way: Cell<bool>,
    /// What the last renewals asked for; no more than these are on their way.
    asked_tenures: RefCell<VecDeque<Duration>>,
    max_lease: Duration,
    has_ended: Cell<bool>,
    is_closing: Cell<bool>,
    is_loaded: Cell<bool>,
    wake_tick: Notify,
    wake_store: Notify,
    waiters: RefCell<Vec<Waiter>>,
    calls: RefCell<LiteMap<WorkerId, Rc<WorkerClient>>>,
    /// Wakes what waits for a batch to be stored.
    batch_stored: Notify,
    /// How late the process's timers are, smoothed: the processor's queue.
    lateness: Cell<Duration>,
}

/// A caller that waits until a version of a job is stored.
struct Waiter {
    id: SubmissionId,
    version: u64,
    stored: oneshot::Sender<()>,
}

impl fmt::Debug for Owner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Owner")
            .field("fencing_number", &self.fencing_number)
            .finish_non_exhaustive()
    }
}

impl Owner {
    pub(crate) fn new(
        node: &Node,
        fencing_number: FencingNumber,
        owner_row: RowVersion,
        confirmed_at: BootTime,
        tenure: Duration,
    ) -> Rc<Self> {
        let scheduler = Scheduler::new(node.settings.scheduler());
        let owner = Self {
            scheduler: RefCell::new(scheduler),
            fencing_number,
            row_version: owner_row,
            confirmed_at: Cell::default(),
            tenure: Cell::default(),
            next_tenure: Cell::new(tenure),
            round_trip: Cell::default(),
            is_batch_under_way: Cell::default(),
            asked_tenures: RefCell::new(VecDeque::from([tenure])),
            max_lease: node.settings.max_lease().saturating_sub(LEASE_MARGIN),
            has_ended: Cell::new(false),
            is_closing: Cell::new(false),
            is_loaded: Cell::new(false),
            wake_tick: Notify::new(),
            wake_store: Notify::new(),
            waiters: RefCell::default(),
            calls: RefCell::new(LiteMap::new()),
            batch_stored: Notify::new(),
            lateness: Cell::default(),
        };
        owner.confirm(confirmed_at);
        Rc::new(owner)
    }

    pub(crate) const fn fencing_number(&self) -> FencingNumber {
        self.fencing_number
    }

    /// Returns the version of the row that every write of this owner is conditioned on.
    pub(crate) const fn owner_row(&self) -> RowVersion {
        self.row_version
    }

    /// Notes that a renewal sent at this time was stored: nobody takes over before the shortest time
    /// that a renewal on its way asks for has passed, since the store may take them in any order.
    pub(crate) fn confirm(&self, sent_at: BootTime) {
        self.confirmed_at.set(self.confirmed_at.get().max(sent_at));
        let shortest = self.asked_tenures.borrow().iter().min().copied();
        self.tenure.set(shortest.unwrap_or_default());
        self.scheduler
            .borrow_mut()
            .confirm_ownership(sent_at + self.max_lease);
    }

    /// Returns the time that the next renewal asks for, and counts that renewal as on its way.
    pub(crate) fn ask_tenure(&self) -> Duration {
        let tenure = self.next_tenure.get();
        let mut asked = self.asked_tenures.borrow_mut();
        if asked.len() >= MAX_RENEWALS {
            asked.pop_front();
        }
        asked.push_back(tenure);
        tenure
    }

    /// Takes how long a transaction took, or for how long no answer came.
    pub(crate) fn note_round_trip(&self, took: Duration) {
        let mut round_trip = self.round_trip.get();
        round_trip.add(took);
        self.round_trip.set(round_trip);
        let round_trips = took * TENURE_ROUND_TRIPS;
        self.next_tenure
            .set(round_trips.clamp(MIN_TENURE, MAX_TENURE));
    }

    /// Returns how long to wait for the answer to a transaction.
    pub(crate) fn commit_timeout(&self) -> Duration {
        self.round_trip.get().timeout()
    }

    /// Returns whether it is time to renew the ownership. Each renewal wakes all other entries.
    pub(crate) fn is_renewal_due(&self, now: BootTime) -> bool {
        now.since(self.confirmed_at.get()) >= RENEW_INTERVAL
    }

    /// Returns whether the ownership has to be renewed by a transaction of its own.
    pub(crate) fn needs_renewal(&self, now: BootTime) -> bool {
        !self.is_batch_under_way.get() && self.is_renewal_due(now)
    }

    /// Returns whether nobody else can have taken over yet.
    pub(crate) fn may_act(&self, now: BootTime) -> bool {
        self.is_loaded.get()
            && !self.has_ended.get()
            && !self.is_closing.get()
            && now.since(self.confirmed_at.get()) + ACT_MARGIN < self.tenure.get()
    }

    /// Returns whether every lease that it may grant has ended.
    pub(crate) fn has_lapsed(&self, now: BootTime) -> bool {
        now.since(self.confirmed_at.get()) > self.max_lease
    }

    pub(crate) fn has_ended(&self) -> bool {
        self.has_ended.get()
    }

    /// Changes the scheduler's state and lets the duties look at it.
    pub(crate) fn with<T>(&self, change: impl FnOnce(&mut Scheduler) -> T) -> T {
        let changed = change(&mut self.scheduler.borrow_mut());
        self.wake_tick.notify_one();
        changed
    }

    /// Takes how late a timer was.
    fn note_lateness(&self, late: Duration) {
        let smoothed =
            self.lateness.get().mul_f64(1.0 - LATENESS_GAIN) + late.mul_f64(LATENESS_GAIN);
        self.lateness.set(smoothed);
        metrics::gauge!("timer_lateness_seconds").set(smoothed.as_secs_f64());
    }

    /// Ends all duties; callers that wait are told that the outcome is unknown.
    pub(crate) fn end(&self) {
        self.has_ended.set(true);
        self.waiters.borrow_mut().clear();
        self.wake_tick.notify_one();
        self.wake_store.notify_one();
        self.batch_stored.notify_waiters();
    }

    /// Takes nothing more, and waits for what callers wait for.
    pub(crate) async fn close(&self) {
        self.is_closing.set(true);
        let all_stored = async {
            while !self.waiters.borrow().is_empty() {
                tokio::time::sleep(MIN_TICK).await;
            }
        };
        if tokio::time::timeout(CLOSE_PATIENCE, all_stored)
            .await
            .is_err()
        {
            log::warn!(
                "event=closed_with_waiters count={}",
                self.waiters.borrow().len()
            );
        }
    }

    /// Takes a submission and waits until it is stored.
    pub(crate) async fn submit(&self, node: &Node, submission: Submission) -> Submitted {
        let id = submission.id.clone();
        let now = node.now();
        let version = self.with(|scheduler| scheduler.submit(submission, now));
        let stored = self.wait_stored(id.clone(), version);
        tokio::pin!(stored);
        // While the store does not answer, what it was never sent is given back to its caller.
        if let Ok(outcome) = tokio::time::timeout(TAKE_BACK_AFTER, &mut stored).await {
            if outcome != Submitted::Unknown {
                return outcome;
            }
            return self.take_back(node, &id).unwrap_or(Submitted::Unknown);
        }
        match self.take_back(node, &id) {
            Some(outcome) => outcome,
            None => stored.await,
        }
    }

    /// Gives a submission back that was never sent to the store; `None` when it may be stored.
    fn take_back(&self, node: &Node, id: &SubmissionId) -> Option<Submitted> {
        let now = node.now();
        self.with(|scheduler| scheduler.take_back(id, now))
            .then_some(Submitted::NoOwner)
    }

    /// Cancels a submission and waits until that is stored.
    pub(crate) async fn cancel(&self, node: &Node, id: &SubmissionId) -> Submitted {
        let now = node.now();
        match self.with(|scheduler| scheduler.cancel(id, now)) {
            Some(version) => self.wait_stored(id.clone(), version).await,
            None => Submitted::NotFound,
        }
    }

    async fn wait_stored(&self, id: SubmissionId, version: u64) -> Submitted {
        if self.scheduler.borrow().is_stored(&id, version) == Some(true) {
            return Submitted::Stored;
        }
        let (stored, is_stored) = oneshot::channel();
        self.waiters.borrow_mut().push(Waiter {
            id,
            version,
            stored,
        });
        self.wake_store.notify_one();
        match is_stored.await {
            Ok(()) => Submitted::Stored,
            Err(_) => Submitted::Unknown,
        }
    }

    /// Tells callers whose versions are stored.
    fn resolve_waiters(&self) {
        let scheduler = self.scheduler.borrow();
        let waiting = std::mem::take(&mut *self.waiters.borrow_mut());
        for waiter in waiting {
            match scheduler.is_stored(&waiter.id, waiter.version) {
                Some(true) => drop(waiter.stored.send(())),
                Some(false) if !waiter.stored.is_closed() => {
                    self.waiters.borrow_mut().push(waiter);
                }
                Some(false) | None => {}
            }
        }
    }

    fn worker_calls(&self, id: &WorkerId) -> Option<Rc<WorkerClient>> {
        self.calls.borrow().get(id).cloned()
    }
}

/// Loads what earlier owners stored, and starts the duties.
pub(crate) async fn start(node: &Rc<Node>, owner: Rc<Owner>, inherited_until: BootTime) {
    let loaded = state_rows::load(node).await;
    let state_rows::Loaded { jobs, mut waves } = match loaded {
        Ok(loaded) => loaded,
        Err(error) => {
            log::warn!("event=load_failed error={error}");
            return owner.end();
        }
    };
    let (now, unix_ms) = (node.now(), node.unix_ms());
    log::info!(
        "event=loaded jobs={} inherited_until={inherited_until}",
        jobs.len()
    );
    let config = node.config.borrow().clone();
    let requested: Vec<_> = node
        .waves
        .borrow()
        .iter()
        .map(|(_, wave)| wave.clone())
        .collect();
    owner.with(|scheduler| {
        scheduler.set_config(config);
        scheduler.recover(jobs, inherited_until, now, unix_ms);
        for wave in requested {
            let stored = waves.remove(&wave.id);
            scheduler.wave_requested(wave, stored, now, unix_ms);
        }
    });
    owner.is_loaded.set(true);
    *node.owner.borrow_mut() = Some(Rc::clone(&owner));
    metrics::gauge!("is_owner").set(1.0);
    spawn_local(store_loop::run(Rc::clone(node), Rc::clone(&owner)));
    spawn_local(store_loop::report(Rc::clone(node), Rc::clone(&owner)));
    spawn_local(worker_list::run(Rc::clone(node), Rc::clone(&owner)));
    spawn_local(vm_loop::run(Rc::clone(node), Rc::clone(&owner)));
    spawn_local(decide(Rc::clone(node), owner));
}

/// Moves the scheduler on and carries out what it orders.
async fn decide(node: Rc<Node>, owner: Rc<Owner>) {
    while !owner.has_ended() {
        // A wake-up and the passing of time lead to the same look.
        let _ = tokio::time::timeout(TICK, owner.wake_tick.notified()).await;
        let now = node.now();
        if owner.may_act(now) {
            let unix_ms = node.unix_ms();
            owner.scheduler.borrow_mut().tick(now, unix_ms);
        }
        dispatch(&node, &owner, now);
        owner.wake_store.notify_one();
        let due = node.now() + MIN_TICK;
        tokio::time::sleep(MIN_TICK).await;
        owner.note_lateness(node.now().since(due));
    }
}

fn dispatch(node: &Rc<Node>, owner: &Rc<Owner>, now: BootTime) {
    let may_act = owner.may_act(now);
    let actions = owner.scheduler.borrow_mut().take_actions();
    for action in actions {
        match action {
            Action::Start(order) if may_act => worker_loop::start_run(node, owner, order),
            Action::Start(order) => worker_loop::start_not_sent(owner, &order, now),
            Action::Stop(order) => worker_loop::stop_run(node, owner, order),
            Action::Pace(order) => worker_loop::pace_run(owner, order),
            Action::Advise { step, workers } => advice_loop::ask(node, owner, step, workers),
            Action::Vm { vm, task } if may_act => vm_loop::order(node, owner, vm, task),
            Action::Vm { vm, .. } => vm_loop::not_ordered(owner, &vm, now),
        }
    }
}
