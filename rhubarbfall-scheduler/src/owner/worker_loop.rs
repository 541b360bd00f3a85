//! Calls to workers: lease renewals, one at a time per worker, and orders to start, stop and pace
//! runs.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rhubarbfall_core::{BootTime, WorkerId};
use rhubarbfall_runs::StartOutcome;
use rhubarbfall_runs::scheduler::{PaceOrder, StartOrder, StopOrder};
use rhubarbfall_site::{RenewalError, WorkerClient};

use super::Owner;
use super::renewal_pacing::{BUSY_LONG_POLL_TIMEOUT, RenewalLoad, call_pause};
use crate::node::Node;
use crate::processor_time::{Activity, metered};
use crate::supervision::spawn_owner_loop;
use crate::telemetry;

/// Timeout of an order. A worker answers within milliseconds; a lost SYN packet is sent again
/// only after a second.
const ORDER_TIMEOUT: Duration = Duration::from_millis(700);

/// Time for which a worker without runs may hold a lease renewal.
const IDLE_LONG_POLL_TIMEOUT: Duration = Duration::from_millis(900);

/// Time for which a worker may hold a lease renewal while it is not known whether a run that was to
/// start on it has started.
const UNCONFIRMED_LONG_POLL_TIMEOUT: Duration = Duration::from_millis(100);

/// Pause after a failed lease renewal.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Time for which the next lease renewal waits until reported run ends are stored. A worker repeats
/// ends that are not acknowledged.
const STORE_WAIT_LIMIT: Duration = Duration::from_millis(500);

/// Starts the lease renewal loop of a worker.
pub(super) fn spawn(node: &Rc<Node>, owner: &Rc<Owner>, id: WorkerId, address: SocketAddr) {
    let client = Rc::new(WorkerClient::new(id.clone(), address, ORDER_TIMEOUT));
    owner
        .worker_clients
        .borrow_mut()
        .insert(id.clone(), Rc::clone(&client));
    let work = renew_leases(Rc::clone(node), Rc::clone(owner), id, client);
    spawn_owner_loop(node, owner, "lease_renewal", Activity::Renewals, work);
}

/// Renews a worker's leases until the worker is removed from the list or listed at another address.
async fn renew_leases(node: Rc<Node>, owner: Rc<Owner>, id: WorkerId, client: Rc<WorkerClient>) {
    while !owner.has_ended() {
        let sent_at = node.now();
        let order = owner
            .scheduler
            .borrow_mut()
            .lease_renewal_request(&id, sent_at);
        let Some(order) = order.filter(|order| order.address == client.address()) else {
            break;
        };
        let is_clock_known = owner
            .scheduler
            .borrow()
            .worker(&id)
            .is_some_and(|worker| worker.clock.is_some());
        let wait = match (is_clock_known, order.is_busy) {
            (false, _) => Duration::ZERO,
            (true, _) if order.has_unconfirmed_starts => UNCONFIRMED_LONG_POLL_TIMEOUT,
            (true, true) => BUSY_LONG_POLL_TIMEOUT,
            (true, false) => IDLE_LONG_POLL_TIMEOUT,
        };
        let fence = owner.fencing_number();
        match client.renew_leases(&order, wait, fence).await {
            Ok(answer) => {
                telemetry::count_worker_call("hold", "answered");
                let now = node.now();
                let has_run_ends = !answer.ended.is_empty();
                owner
                    .with(|scheduler| scheduler.lease_renewal_answered(&id, sent_at, &answer, now));
                let load = RenewalLoad {
                    timer_lateness: owner.timer_lateness.get(),
                    are_starts_limited: owner.scheduler.borrow().are_starts_limited(now),
                    has_unconfirmed_starts: order.has_unconfirmed_starts,
                };
                tokio::time::sleep(call_pause(load)).await;
                if has_run_ends {
                    wait_until_run_ends_stored(&owner, &id).await;
                }
            }
            Err(error) => {
                telemetry::count_worker_call("hold", "failed");
                log::debug!("event=lease_renewal_failed worker={id} error={error}");
                if error == RenewalError::OtherWorker {
                    owner.with(|scheduler| scheduler.worker_unlisted(&id));
                }
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
    let mut worker_clients = owner.worker_clients.borrow_mut();
    if worker_clients
        .get(&id)
        .is_some_and(|current| Rc::ptr_eq(current, &client))
    {
        worker_clients.remove(&id);
    }
}

async fn wait_until_run_ends_stored(owner: &Owner, id: &WorkerId) {
    let is_stored = || {
        let scheduler = owner.scheduler.borrow();
        scheduler
            .worker(id)
            .is_none_or(|worker| worker.last_stored_end >= worker.last_processed_end)
    };
    let stored = async {
        while !owner.has_ended() && !is_stored() {
            owner.batch_stored.notified().await;
        }
    };
    // The call is sent even after a timeout, because it renews leases.
    let _ = tokio::time::timeout(STORE_WAIT_LIMIT, stored).await;
}

/// Carries out an order in the background.
fn spawn_order(node: &Node, order: impl Future<Output = ()> + 'static) {
    tokio::task::spawn_local(metered(Activity::Orders, node.clock.clone(), order));
}

/// Sends an order to start a run.
pub(super) fn start_run(node: &Rc<Node>, owner: &Rc<Owner>, order: StartOrder) {
    let Some(client) = owner.worker_client(&order.worker) else {
        return start_not_sent(owner, &order, node.now());
    };
    let (node, owner) = (Rc::clone(node), Rc::clone(owner));
    spawn_order(&Rc::clone(&node), async move {
        let outcome = client.start(&order, owner.fencing_number()).await;
        telemetry::count_worker_call("start", outcome.as_str());
        if outcome == StartOutcome::Fenced {
            owner.cell.drop_ownership(&node, "fenced_by_worker");
        }
        report_start_outcome(&owner, &order, outcome, node.now());
    });
}

/// Reports to the scheduler that a start order was not sent.
pub(super) fn start_not_sent(owner: &Owner, order: &StartOrder, now: BootTime) {
    report_start_outcome(owner, order, StartOutcome::NotSent, now);
}

fn report_start_outcome(owner: &Owner, order: &StartOrder, outcome: StartOutcome, now: BootTime) {
    owner.with(|scheduler| {
        scheduler.start_answered(&order.task, &order.worker, order.run, outcome, now);
    });
}

/// Sends an order to stop a run.
pub(super) fn stop_run(node: &Rc<Node>, owner: &Rc<Owner>, order: StopOrder) {
    let Some(client) = owner.worker_client(&order.worker) else {
        return;
    };
    let (node, owner) = (Rc::clone(node), Rc::clone(owner));
    spawn_order(&Rc::clone(&node), async move {
        let is_confirmed = client.stop(&order, owner.fencing_number()).await;
        telemetry::count_worker_order("stop", is_confirmed);
        let now = node.now();
        owner.with(|scheduler| {
            scheduler.stop_answered(&order, is_confirmed, now);
        });
    });
}

/// Sends an order to limit a run to a percentage of its full speed. An unconfirmed order is not
/// retried: the worker's next report of tail latencies leads to a new one.
pub(super) fn pace_run(node: &Node, owner: &Rc<Owner>, order: PaceOrder) {
    let Some(client) = owner.worker_client(&order.worker) else {
        return;
    };
    let owner = Rc::clone(owner);
    spawn_order(node, async move {
        let is_confirmed = client.pace(&order, owner.fencing_number()).await;
        telemetry::count_worker_order("pace", is_confirmed);
    });
}
