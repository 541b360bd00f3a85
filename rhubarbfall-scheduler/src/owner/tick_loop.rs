//! Ticks of the scheduler, and the orders that they lead to.

use std::rc::Rc;
use std::time::Duration;

use rhubarbfall_core::BootTime;
use rhubarbfall_runs::scheduler::Action;

use super::{MIN_TICK_INTERVAL, Owner, advice_request, vm_loop, worker_loop};
use crate::node::Node;
use crate::processor_time::ProcessorTimeLog;
use crate::telemetry;

/// Longest time between two scheduler ticks, which handle time-based transitions.
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which an owner logs its processor time.
const PROCESSOR_TIME_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Ticks the scheduler and dispatches its orders until the ownership ends.
pub(super) async fn run(node: Rc<Node>, owner: Rc<Owner>) {
    let (mut processor_time, mut logged_at) = (ProcessorTimeLog::new(), node.now());
    while !owner.has_ended() {
        // A notification and a timeout both lead to a tick.
        let _ = tokio::time::timeout(MAX_TICK_INTERVAL, owner.wake_tick.notified()).await;
        let now = node.now();
        if owner.is_active(now) {
            let unix_ms = node.unix_ms();
            owner.scheduler.borrow_mut().tick(now, unix_ms);
        } else {
            owner.scheduler.borrow_mut().tick_without_lease(now);
        }
        dispatch(&node, &owner, now);
        for zone in owner.scheduler.borrow_mut().take_zone_runs() {
            telemetry::set_zone_runs(owner.cell.id, &zone.zone, zone.runs);
        }
        for cleared in owner.scheduler.borrow_mut().take_cleared_jobs() {
            telemetry::record_cleared_job(&cleared);
        }
        owner.wake_store.notify_one();
        let due = node.now() + MIN_TICK_INTERVAL;
        tokio::time::sleep(MIN_TICK_INTERVAL).await;
        owner.record_timer_lateness(node.now().since(due));
        let interval = node.now().since(logged_at);
        if interval >= PROCESSOR_TIME_LOG_INTERVAL {
            processor_time.log(interval);
            telemetry::set_held(owner.cell.id, owner.scheduler.borrow().held());
            logged_at = node.now();
        }
    }
    for zone in owner.scheduler.borrow().evacuated_zones() {
        telemetry::set_zone_runs(owner.cell.id, zone, 0);
    }
}

fn dispatch(node: &Rc<Node>, owner: &Rc<Owner>, now: BootTime) {
    let is_active = owner.is_active(now);
    let actions = owner.scheduler.borrow_mut().take_actions();
    for action in actions {
        match action {
            Action::Start(order) if is_active => worker_loop::start_run(node, owner, order),
            Action::Start(order) => worker_loop::start_not_sent(owner, &order, now),
            Action::Stop(order) => worker_loop::stop_run(node, owner, order),
            Action::Pace(order) => worker_loop::pace_run(node, owner, order),
            Action::Advise { step, workers } => advice_request::send(node, owner, step, workers),
            Action::Vm { vm, operation } if is_active => {
                vm_loop::send_order(node, owner, vm, operation);
            }
            Action::Vm { vm, .. } => vm_loop::order_not_sent(owner, &vm, now),
        }
    }
}
