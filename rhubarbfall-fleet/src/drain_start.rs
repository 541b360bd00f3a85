//! Row changes that start drains, or account for reboots without a permit.

use rhubarbfall_core::{FencingNumber, VmId};

use crate::staged_rows::StagedRows;
use crate::{Announcement, MoveRequest, Permit, PlannedVm, Purpose, Reason, VmRow, VmRowState};

/// Counts a reboot that had no permit as done, so that the VM is not drained for it again.
pub(crate) fn count_unpermitted_reboot(
    staged: &mut StagedRows,
    row: &VmRow,
    found: &Announcement,
    fence: FencingNumber,
) {
    if let Some(vm) = staged.vm_mut(&row.vm) {
        vm.last_wave = Some(found.wave.clone());
        vm.fence = fence;
    }
    let wave = staged.wave_mut(&found.wave);
    wave.granted_vms += 1;
    wave.done_vms += 1;
}

pub(crate) fn start_maintenance(
    staged: &mut StagedRows,
    planned: &PlannedVm,
    fence: FencingNumber,
) {
    let purpose = Purpose::Maintenance {
        wave: planned.wave.clone(),
    };
    if start_drain(staged, &planned.vm, purpose, fence).is_some() {
        staged.wave_mut(&planned.wave).granted_vms += 1;
    }
}

pub(crate) fn start_move(
    staged: &mut StagedRows,
    request: &MoveRequest,
    fence: FencingNumber,
) -> Option<Reason> {
    let row = &staged.rows().vms.get(&request.vm)?.value;
    if !row.is_routable() || row.pool == request.to {
        return None;
    }
    let purpose = Purpose::Move {
        to: request.to.clone(),
    };
    start_drain(staged, &request.vm, purpose, fence)?;
    Some(request.reason.clone())
}

/// Grants the VM a permit and starts its drain, or returns `None` if the budget does not allow it.
pub(crate) fn start_drain(
    staged: &mut StagedRows,
    vm: &VmId,
    purpose: Purpose,
    fence: FencingNumber,
) -> Option<()> {
    let row = &staged.rows().vms.get(vm)?.value;
    let pool = row.pool.clone();
    let permit = Permit {
        zone: row.zone.clone(),
        purpose: purpose.clone(),
        fence,
    };
    staged
        .ledger(&pool)
        .clone()
        .grant(vm.clone(), permit.clone())
        .ok()?;
    staged.ledger_mut(&pool).grant(vm.clone(), permit).ok()?;
    staged
        .vm_mut(vm)?
        .transition_to(VmRowState::Draining { purpose }, fence);
    Some(())
}
