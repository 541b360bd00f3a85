//! Calls to workers: one call at a time that holds a worker's leases, and orders to start and stop.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rhubarbfall_core::{BootTime, WorkerId};
use rhubarbfall_runs::StartOutcome;
use rhubarbfall_runs::scheduler::{PaceOrder, StartOrder, StopOrder};
use rhubarbfall_site::{RenewalError, WorkerClient};

use super::Owner;
use crate::node::Node;
use crate::telemetry;

/// How long an order may take: a worker answers within milliseconds, a lost opening packet is sent
/// again after a second.
const ORDER_TIMEOUT: Duration = Duration::from_millis(700);

/// How long a worker with runs may hold a call: a third of a lease.
const BUSY_WAIT: Duration = Duration::from_millis(700);

/// How long a worker without runs may hold a call.
const IDLE_WAIT: Duration = Duration::from_millis(900);

/// The pause after a call that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// The shortest time between two calls, so that ends come together.
const MIN_PAUSE: Duration = Duration::from_millis(20);

/// How many times the lateness of timers is added to that.
const PAUSE_FACTOR: u32 = 6;

/// The longest time between two calls, a small part of a lease and of most tasks.
const MAX_PAUSE: Duration = Duration::from_millis(300);

/// How long a call waits for ends to be stored, since a worker repeats what is not acknowledged.
const STORE_PATIENCE: Duration = Duration::from_millis(500);

/// Starts to follow a worker.
pub(super) fn spawn(node: &Rc<Node>, owner: &Rc<Owner>, id: WorkerId, address: SocketAddr) {
    let calls = Rc::new(WorkerClient::new(id.clone(), address, ORDER_TIMEOUT));
    owner
        .calls
        .borrow_mut()
        .insert(id.clone(), Rc::clone(&calls));
    tokio::task::spawn_local(hold(Rc::clone(node), Rc::clone(owner), id, calls));
}

/// Holds a worker's leases until it is forgotten or another one is known under its name.
async fn hold(node: Rc<Node>, owner: Rc<Owner>, id: WorkerId, calls: Rc<WorkerClient>) {
    while !owner.has_ended() {
        let sent_at = node.now();
        let order = owner.scheduler.borrow_mut().hold_order(&id, sent_at);
        let Some(order) = order.filter(|order| order.address == calls.address()) else {
            break;
        };
        let is_known = owner
            .scheduler
            .borrow()
            .worker(&id)
            .is_some_and(|worker| worker.clock.is_some());
        let wait = match (is_known, order.is_busy) {
            (false, _) => Duration::ZERO,
            (true, true) => BUSY_WAIT,
            (true, false) => IDLE_WAIT,
        };
        let fence = owner.fencing_number();
        match calls
            .renew_leases(order.lease_deadline_ms, order.acknowledged, wait, fence)
            .await
        {
            Ok(answer) => {
                telemetry::count_worker_call("hold", "answered");
                let now = node.now();
                let has_ends = !answer.ended.is_empty();
                owner.with(|scheduler| scheduler.hold_answered(&id, sent_at, &answer, now));
                tokio::time::sleep(pause(owner.lateness.get())).await;
                if has_ends {
                    wait_until_stored(&owner, &id).await;
                }
            }
            Err(error) => {
                telemetry::count_worker_call("hold", "failed");
                log::debug!("event=hold_failed worker={id} error={error}");
                if error == RenewalError::OtherWorker {
                    owner.with(|scheduler| scheduler.worker_unlisted(&id));
                }
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
    let mut all = owner.calls.borrow_mut();
    if all
        .get(&id)
        .is_some_and(|current| Rc::ptr_eq(current, &calls))
    {
        all.remove(&id);
    }
}

/// Returns the time between two calls: a busy owner asks less often, so that each answer tells of
/// more ends and less of the processor goes into calls.
fn pause(lateness: Duration) -> Duration {
    (MIN_PAUSE + lateness * PAUSE_FACTOR).min(MAX_PAUSE)
}

async fn wait_until_stored(owner: &Owner, id: &WorkerId) {
    let is_stored = || {
        let scheduler = owner.scheduler.borrow();
        scheduler
            .worker(id)
            .is_none_or(|worker| worker.stored_end >= worker.seen_end)
    };
    let stored = async {
        while !owner.has_ended() && !is_stored() {
            owner.batch_stored.notified().await;
        }
    };
    // The call goes out anyway: it renews leases.
    let _ = tokio::time::timeout(STORE_PATIENCE, stored).await;
}

/// Sends an order to start a run.
pub(super) fn start_run(node: &Rc<Node>, owner: &Rc<Owner>, order: StartOrder) {
    let Some(calls) = owner.worker_calls(&order.worker) else {
        return start_not_sent(owner, &order, node.now());
    };
    let (node, owner) = (Rc::clone(node), Rc::clone(owner));
    tokio::task::spawn_local(async move {
        let outcome = calls.start(&order, owner.fencing_number()).await;
        telemetry::count_worker_call("start", outcome.as_str());
        if outcome == StartOutcome::Fenced {
            node.drop_ownership("fenced_by_worker");
        }
        answer(&owner, &order, outcome, node.now());
    });
}

/// Gives an order back that was not sent.
pub(super) fn start_not_sent(owner: &Owner, order: &StartOrder, now: BootTime) {
    answer(owner, order, StartOutcome::NotSent, now);
}

fn answer(owner: &Owner, order: &StartOrder, outcome: StartOutcome, now: BootTime) {
    owner.with(|scheduler| {
        scheduler.start_answered(&order.task, &order.worker, order.run, outcome, now);
    });
}

/// Sends an order to stop a run.
pub(super) fn stop_run(node: &Rc<Node>, owner: &Rc<Owner>, order: StopOrder) {
    let Some(calls) = owner.worker_calls(&order.worker) else {
        return;
    };
    let (node, owner) = (Rc::clone(node), Rc::clone(owner));
    tokio::task::spawn_local(async move {
        let is_confirmed = calls.stop(&order, owner.fencing_number()).await;
        telemetry::count_worker_order("stop", is_confirmed);
        let now = node.now();
        owner.with(|scheduler| {
            scheduler.stop_answered(&order.task, &order.worker, order.run, is_confirmed, now);
        });
    });
}

/// Sends an order to let a run work at a share. One without an answer is not repeated: the next
/// report of the worker's tails leads to another.
pub(super) fn pace_run(owner: &Rc<Owner>, order: PaceOrder) {
    let Some(calls) = owner.worker_calls(&order.worker) else {
        return;
    };
    let owner = Rc::clone(owner);
    tokio::task::spawn_local(async move {
        let is_confirmed = calls.pace(&order, owner.fencing_number()).await;
        telemetry::count_worker_order("pace", is_confirmed);
    });
}
