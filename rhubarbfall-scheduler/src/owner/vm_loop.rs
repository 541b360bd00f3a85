//! Polls the platform's VM list, and sends move and maintenance orders for VMs.

use std::rc::Rc;
use std::time::Duration;

use rhubarbfall_core::{BootTime, VmId};
use rhubarbfall_runs::scheduler::VmOperation;
use rhubarbfall_site::{ListedVm, SendDeadline, VmOrderOutcome};

use super::{Owner, division};
use crate::node::Node;
use crate::processor_time::{Activity, metered};

/// Interval between two polls of the VM list; a move takes at least one second.
const LIST_INTERVAL: Duration = Duration::from_millis(400);

/// Polls the VM list until the ownership ends.
pub(super) async fn run(node: Rc<Node>, owner: Rc<Owner>) {
    while !owner.has_ended() {
        let polled_at = node.now();
        if let Some(listed) = node.vm_service.list().await {
            if division::divide_if_large(&node, &owner, &listed).await {
                return;
            }
            let is_own =
                |vm: &ListedVm| owner.layout.cell_of_rack(vm.rack.as_ref()) == owner.cell.id;
            let rows = listed.into_iter().filter(is_own).map(|vm| vm.row).collect();
            let now = node.now();
            owner.with(|scheduler| scheduler.vms_listed(rows, polled_at, now));
            report_waves(&owner);
        }
        tokio::time::sleep(LIST_INTERVAL).await;
    }
}

/// Sets the gauges of the waves that have VMs left to maintain, for all of them together.
fn report_waves(owner: &Owner) {
    let (mut not_begun, mut in_progress, mut room) = (0, 0, 0);
    for (_, load) in owner.scheduler.borrow().wave_loads() {
        not_begun += load.not_begun;
        in_progress += load.in_progress;
        room = load.room;
    }
    metrics::gauge!("wave_vms_not_begun").set(not_begun as f64);
    metrics::gauge!("wave_vms_in_progress").set(in_progress as f64);
    metrics::gauge!("wave_room_vms").set(room as f64);
}

/// Sends an order for a VM in the background and passes the outcome to the scheduler.
pub(super) fn send_order(node: &Rc<Node>, owner: &Rc<Owner>, vm: VmId, operation: VmOperation) {
    let (node, owner) = (Rc::clone(node), Rc::clone(owner));
    owner.vm_orders.begin(node.now());
    let clock = node.clock.clone();
    tokio::task::spawn_local(metered(Activity::Vms, clock, async move {
        let fence = owner.fencing_number();
        let deadline = SendDeadline::new(node.clock.clone(), owner.active_until());
        let outcome = match &operation {
            VmOperation::Move(to) => node.vm_service.move_vm(&vm, to, fence, deadline).await,
            VmOperation::Maintain(wave) => {
                node.vm_service.maintain(&vm, wave, fence, deadline).await
            }
        };
        let is_settled = outcome != VmOrderOutcome::Unknown;
        owner.vm_orders.end(is_settled, node.now());
        let is_done = match outcome {
            VmOrderOutcome::Done => Some(true),
            VmOrderOutcome::Busy | VmOrderOutcome::Retry => Some(false),
            VmOrderOutcome::Unknown => None,
            VmOrderOutcome::Refused => {
                let now = node.now();
                owner.with(|scheduler| scheduler.vm_order_invalid(&vm, now));
                return;
            }
            VmOrderOutcome::Fenced => {
                owner.cell.drop_ownership(&node, "fenced_by_vm_service");
                return;
            }
        };
        let now = node.now();
        owner.with(|scheduler| scheduler.vm_answered(&vm, is_done, now));
    }));
}

/// Reports to the scheduler that an order for a VM was not sent.
pub(super) fn order_not_sent(owner: &Owner, vm: &VmId, now: BootTime) {
    owner.with(|scheduler| scheduler.vm_answered(vm, Some(false), now));
}
