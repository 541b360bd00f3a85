//! Follows the platform's list of VMs and gives orders about them.

use std::rc::Rc;
use std::time::Duration;

use rhubarbfall_core::{BootTime, VmId};
use rhubarbfall_runs::scheduler::VmTask;
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
pub(super) fn order(node: &Rc<Node>, owner: &Rc<Owner>, vm: VmId, task: VmTask) {
    let (node, owner) = (Rc::clone(node), Rc::clone(owner));
    tokio::task::spawn_local(async move {
        let fence = owner.fencing_number();
        let outcome = match &task {
            VmTask::Move(to) => node.vm_service.move_vm(&vm, to, fence).await,
            VmTask::Maintain(wave) => node.vm_service.maintain(&vm, wave, fence).await,
        };
        let is_done = match outcome {
            VmOrderOutcome::Done => Some(true),
            VmOrderOutcome::Busy | VmOrderOutcome::Refused | VmOrderOutcome::Retry => Some(false),
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

/// Gives an order back that was not sent.
pub(super) fn not_ordered(owner: &Owner, vm: &VmId, now: BootTime) {
    owner.with(|scheduler| scheduler.vm_answered(vm, Some(false), now));
}
