//! Changes that take VMs out of service, or count those that went by themselves.

use rhubarbfall_core::{FencingNumber, VmId};

use crate::draft::Draft;
use crate::{Announcement, MoveRequest, Permit, PlannedVm, Purpose, Reason, VmRow, VmState};

/// Counts a reboot that had no permit, so that the VM is not drained for it again.
pub(crate) fn count_unpermitted(
    draft: &mut Draft,
    row: &VmRow,
    found: &Announcement,
    fence: FencingNumber,
) {
    if let Some(vm) = draft.vm_mut(&row.vm) {
        vm.last_wave = Some(found.wave.clone());
        vm.fence = fence;
    }
    let wave = draft.wave_mut(&found.wave);
    wave.granted_vms += 1;
    wave.done_vms += 1;
}

pub(crate) fn grant(draft: &mut Draft, planned: &PlannedVm, fence: FencingNumber) {
    let purpose = Purpose::Maintenance {
        wave: planned.wave.clone(),
    };
    if take_out(draft, &planned.vm, purpose, fence).is_some() {
        draft.wave_mut(&planned.wave).granted_vms += 1;
    }
}

pub(crate) fn start_move(
    draft: &mut Draft,
    request: &MoveRequest,
    fence: FencingNumber,
) -> Option<Reason> {
    let row = &draft.rows().vms.get(&request.vm)?.value;
    if !row.is_routable() || row.pool == request.to {
        return None;
    }
    let purpose = Purpose::Move {
        to: request.to.clone(),
    };
    take_out(draft, &request.vm, purpose, fence)?;
    Some(request.reason.clone())
}

/// Takes a permit for the VM and starts its drain, if the budget has room.
pub(crate) fn take_out(
    draft: &mut Draft,
    vm: &VmId,
    purpose: Purpose,
    fence: FencingNumber,
) -> Option<()> {
    let row = &draft.rows().vms.get(vm)?.value;
    let pool = row.pool.clone();
    let permit = Permit {
        zone: row.zone.clone(),
        purpose: purpose.clone(),
        fence,
    };
    draft
        .ledger(&pool)
        .clone()
        .grant(vm.clone(), permit.clone())
        .ok()?;
    draft.ledger_mut(&pool).grant(vm.clone(), permit).ok()?;
    draft
        .vm_mut(vm)?
        .enter(VmState::Draining { purpose }, fence);
    Some(())
}
