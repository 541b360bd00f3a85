//! Follows the platform's list of VMs and gives orders about them.

use std::rc::Rc;
use std::time::Duration;

use rhubarbfall_runs::scheduler::Action;
use rhubarbfall_site::VmOrderOutcome;

use super::Owner;
use crate::node::Node;

/// How often the list is read: a move takes a second or more.
const INTERVAL: Duration = Duration::from_millis(400);

/// Reads the list until the ownership ends.
pub(super) async fn run(node: Rc<Node>, owner: Rc<Owner>) {
    while !owner.has_ended() {
        let asked_at = node.now();
        if let Some(rows) = node.vm_service.list().await {
            let now = node.now();
            owner.with(|scheduler| scheduler.vms_listed(rows, asked_at, now));
        }
        tokio::time::sleep(INTERVAL).await;
    }
}

/// Gives an order about a VM.
pub(super) fn order(node: &Rc<Node>, owner: &Rc<Owner>, action: Action, may_act: bool) {
    let (node, owner) = (Rc::clone(node), Rc::clone(owner));
    tokio::task::spawn_local(async move {
        let fence = owner.fencing_number();
        let (vm, outcome) = match action {
            Action::Move { vm, .. } | Action::Maintain { vm, .. } if !may_act => {
                (vm, VmOrderOutcome::NotNow)
            }
            Action::Move { vm, to } => {
                let outcome = node.vm_service.move_vm(&vm, &to, fence).await;
                (vm, outcome)
            }
            Action::Maintain { vm, wave } => {
                let outcome = node.vm_service.maintain(&vm, &wave, fence).await;
                (vm, outcome)
            }
            Action::Start(_) | Action::Stop(_) | Action::Pace(_) | Action::Advise { .. } => return,
        };
        let is_done = match outcome {
            VmOrderOutcome::Done => Some(true),
            VmOrderOutcome::Busy | VmOrderOutcome::Refused | VmOrderOutcome::NotNow => Some(false),
            VmOrderOutcome::Unknown => None,
            VmOrderOutcome::Fenced => {
                node.drop_ownership("fenced_by_vm_service");
                return;
            }
        };
        let now = node.now();
        owner.with(|scheduler| scheduler.vm_answered(&vm, is_done, now));
    });
}
