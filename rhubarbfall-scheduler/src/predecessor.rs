//! Asks the previous owner what it has left behind, so that its successor need not wait for the longest
//! time: until when its orders for VMs may still arrive, and that it grants workers no more leases.

use std::rc::Rc;
use std::time::Duration;

use rhubarbfall_core::BootTime;

use crate::cell_state::Holder;
use crate::node::Node;
use crate::owner::Owner;
use crate::ownership::max_inherited_lease;
use crate::{peer, peer_status};

/// Timeout of a question: a process that was killed refuses the connection at once.
const ASK_TIMEOUT: Duration = Duration::from_millis(300);

/// Pause between two questions.
const ASK_INTERVAL: Duration = Duration::from_millis(150);

/// What the predecessor's last renewal states. Earlier versions state less.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Stated {
    /// How long orders for VMs may be on their way.
    pub(crate) vm_orders: Option<Duration>,
    /// How long leases of the owners before it may last; `None` while leases that an owner of an earlier
    /// version granted may last.
    pub(crate) inherited_leases: Option<Duration>,
}

/// What the successor still has to learn.
#[derive(Debug)]
struct Open {
    vm_orders: bool,
    leases: bool,
}

/// Asks `predecessor` in the background until it has answered, or until the longest time has passed.
pub(crate) fn ask(node: &Rc<Node>, owner: &Rc<Owner>, predecessor: Holder, stated: Stated) {
    let (node, owner) = (Rc::clone(node), Rc::clone(owner));
    tokio::task::spawn_local(async move {
        let mut open = Open {
            vm_orders: true,
            leases: stated.inherited_leases.is_some(),
        };
        while !owner.has_ended() && open.matters(&owner, node.now()) {
            if let Some(answer) = ask_once(&node, &owner, &predecessor).await {
                open.process(answer, &node, &owner, &predecessor, stated);
            }
            tokio::time::sleep(ASK_INTERVAL).await;
        }
    });
}

impl Open {
    /// Returns whether the successor waits for something that an answer may shorten.
    fn matters(&self, owner: &Owner, now: BootTime) -> bool {
        self.vm_orders && !owner.vm_orders.inherited_remaining(now).is_zero()
            || self.leases && !owner.inherited_leases_remaining(now).is_zero()
    }

    fn process(
        &mut self,
        answer: Answer,
        node: &Node,
        owner: &Owner,
        predecessor: &Holder,
        stated: Stated,
    ) {
        let now = node.now();
        if self.leases {
            // Whatever it answers, its ownership has ended.
            let settings = &node.settings;
            let own_lease = settings.scheduler().lease;
            let left =
                max_inherited_lease(stated.inherited_leases, own_lease, settings.max_lease());
            owner.bound_inherited_leases(now + left);
            self.leases = false;
            log::info!(
                "event=predecessor_grants_no_leases entry={} leases_left={:?}",
                predecessor.entry,
                owner.inherited_leases_remaining(now)
            );
        }
        if !self.vm_orders {
            return;
        }
        let (left, is_final) = match (answer, stated.vm_orders) {
            (Answer::Left(left), _) => (left, left.is_zero()),
            // The connections of an earlier process were reset when it ended; the orders that it had
            // inherited may still arrive.
            (Answer::Restarted, Some(stated)) => (stated, true),
            (Answer::Restarted, None) => {
                self.vm_orders = false;
                return;
            }
        };
        owner.vm_orders_arrive_by(now + left);
        self.vm_orders = !is_final;
        if is_final {
            log::info!(
                "event=predecessor_answered entry={} vm_orders_left={left:?}",
                predecessor.entry
            );
        }
    }
}

/// What is known of the process that owned the submissions before. Either way it grants workers no
/// leases from now on.
#[derive(Debug, Clone, Copy)]
enum Answer {
    /// It has ended, and the entry runs another process.
    Restarted,
    /// Its ownership has ended. Its orders for VMs may arrive for this long; longer while it waits for
    /// the outcome of one.
    Left(Duration),
}

/// Asks the predecessor, and returns `None` if it does not answer or has not ended its ownership.
async fn ask_once(node: &Node, owner: &Owner, predecessor: &Holder) -> Option<Answer> {
    let request = peer_status::status_request(owner.cell());
    let response = peer::exchange_status(node, predecessor.address, &request, ASK_TIMEOUT)
        .await
        .ok()?;
    if response.incarnation != 0 && response.incarnation != predecessor.incarnation {
        return Some(Answer::Restarted);
    }
    let left_ms = response.vm_orders_left_ms?;
    Some(Answer::Left(Duration::from_millis(left_ms)))
}
