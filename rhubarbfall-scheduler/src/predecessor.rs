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
        while !owner.has_ended() && !owner.vm_orders.inherited_remaining(node.now()).is_zero() {
            let (left, is_final) = match ask(&node, &predecessor).await {
                Some(Answer::Left(left)) => (left, left.is_zero()),
                // The connections of an earlier process were reset when it ended; the orders that it
                // had inherited may still arrive.
                Some(Answer::Restarted) => match stated {
                    Some(stated) => (stated, true),
                    None => return,
                },
                None => {
                    tokio::time::sleep(ASK_INTERVAL).await;
                    continue;
                }
            };
            owner.vm_orders_arrive_by(node.now() + left);
            if is_final {
                log::info!(
                    "event=predecessor_answered entry={} vm_orders_left={left:?}",
                    predecessor.entry
                );
                return;
            }
            tokio::time::sleep(ASK_INTERVAL).await;
        }
    });
}

/// What is known of the process that owned the submissions before.
enum Answer {
    /// It has ended, and the entry runs another process.
    Restarted,
    /// Its orders may arrive for this long; longer while it waits for the outcome of one.
    Left(Duration),
}

/// Asks the predecessor, and returns `None` if it does not answer or has not ended its ownership.
async fn ask(node: &Node, predecessor: &Holder) -> Option<Answer> {
    let request = peer_status::status_request(node);
    let response = peer::exchange_status(node, predecessor.address, &request, ASK_TIMEOUT)
        .await
        .ok()?;
    if response.incarnation != 0 && response.incarnation != predecessor.incarnation {
        return Some(Answer::Restarted);
    }
    let left_ms = response.vm_orders_left_ms?;
    Some(Answer::Left(Duration::from_millis(left_ms)))
}
