//! Asks the previous owner until when its orders for VMs may still arrive, so that its successor
//! need not wait for the longest time.

use std::rc::Rc;
use std::time::Duration;

use crate::node::{Holder, Node};
use crate::owner::Owner;
use crate::{peer, peer_status};

/// Timeout of a question: a process that was killed refuses the connection at once.
const ASK_TIMEOUT: Duration = Duration::from_millis(300);

/// Pause between two questions.
const ASK_INTERVAL: Duration = Duration::from_millis(150);

/// Asks `predecessor` in the background until it answers, or until the longest time has passed.
/// `stated` is what its last renewal states of orders that were on their way then.
pub(crate) fn ask_for_vm_orders(
    node: &Rc<Node>,
    owner: &Rc<Owner>,
    predecessor: Holder,
    stated: Option<Duration>,
) {
    let (node, owner) = (Rc::clone(node), Rc::clone(owner));
    tokio::task::spawn_local(async move {
        while !owner.has_ended() && !owner.vm_orders.remaining(node.now()).is_zero() {
            if let Some(left) = ask(&node, &predecessor, stated).await {
                log::info!(
                    "event=predecessor_answered entry={} vm_orders_left={left:?}",
                    predecessor.entry
                );
                owner.vm_orders_arrive_by(node.now() + left);
                return;
            }
            tokio::time::sleep(ASK_INTERVAL).await;
        }
    });
}

/// Returns how long the predecessor's orders may still arrive, or `None` if it is not known.
async fn ask(node: &Node, predecessor: &Holder, stated: Option<Duration>) -> Option<Duration> {
    let request = peer_status::status_request(node);
    let response = peer::exchange_status(node, predecessor.address, &request, ASK_TIMEOUT)
        .await
        .ok()?;
    // The connections of an earlier process were reset when it ended; the orders that it had
    // inherited may still arrive.
    let has_restarted =
        response.incarnation != 0 && response.incarnation != predecessor.incarnation;
    if has_restarted {
        return stated;
    }
    response.vm_orders_left_ms.map(Duration::from_millis)
}
