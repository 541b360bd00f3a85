//! Keeps a panic in one task from silently ending a duty of the process: an owner whose loop has
//! ended would renew its ownership and do nothing, and an entry whose feed has ended would serve an
//! old configuration.

use std::future::Future;
use std::panic;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;

use crate::node::Node;
use crate::owner::Owner;
use crate::processor_time::{Activity, metered};

/// Pause before a duty starts again after a panic.
const RESTART_PAUSE: Duration = Duration::from_millis(500);

/// Logs panics like all other events.
pub(crate) fn log_panics() {
    panic::set_hook(Box::new(|info| {
        let place = info.location().map(ToString::to_string);
        let cause = info.payload_as_str().unwrap_or_default();
        log::error!(
            "event=task_panicked place={} cause={cause:?}",
            place.unwrap_or_default()
        );
        metrics::counter!("task_panics_total").increment(1);
    }));
}

/// Runs a duty of the process, and starts it again after a panic.
pub(crate) fn spawn_duty<F: Future<Output = ()> + 'static>(
    name: &'static str,
    start: impl Fn() -> F + 'static,
) {
    spawn_local(async move {
        while spawn_local(start()).await.is_err() {
            log::error!("event=duty_restarted duty={name}");
            tokio::time::sleep(RESTART_PAUSE).await;
        }
    });
}

/// Runs a loop of an owner, whose processor time counts for `activity`. After a panic the ownership is given up, because the owner's state may
/// be inconsistent; the next owner loads what is stored.
pub(crate) fn spawn_owner_loop(
    node: &Rc<Node>,
    owner: &Rc<Owner>,
    name: &'static str,
    activity: Activity,
    work: impl Future<Output = ()> + 'static,
) {
    let work = metered(activity, node.clock.clone(), work);
    let (node, owner) = (Rc::clone(node), Rc::clone(owner));
    spawn_local(async move {
        if spawn_local(work).await.is_err() && !owner.has_ended() {
            log::error!("event=owner_loop_failed loop={name}");
            owner.cell().drop_ownership(&node, "loop_failed");
        }
    });
}

#[cfg(test)]
mod tests;
