//! Division of a large fleet into cells, before anything of it is stored.

use rhubarbfall_core::CellId;
use rhubarbfall_runs::CellLayout;
use rhubarbfall_site::{CommitOutcome, ListedVm};

use super::Owner;
use crate::node::Node;
use crate::ownership;

/// Divides the fleet if it is large, undivided and without submissions, and returns whether this ended
/// the ownership: owners of all cells, the first one included, begin under the stored layout.
///
/// A fleet with submissions stays as it is: their rows are in the partition of the first cell.
pub(super) async fn divide_if_large(node: &Node, owner: &Owner, vms: &[ListedVm]) -> bool {
    let settings = &node.settings;
    let is_large = vms.len() >= settings.min_divided_vms;
    if !is_large || !owner.layout.is_single() || owner.cell.id != CellId::FIRST {
        return false;
    }
    if !owner.scheduler.borrow().is_untouched() {
        log::debug!("event=not_divided reason=submissions vms={}", vms.len());
        return false;
    }
    let racks = vms.iter().map(|vm| vm.rack.clone());
    let layout =
        CellLayout::divide(racks, settings.vms_per_cell).above_fence(owner.fencing_number());
    if layout.is_single() {
        log::debug!("event=not_divided reason=racks vms={}", vms.len());
        return false;
    }
    // Nothing may be accepted while the layout is being stored.
    owner.is_closing.set(true);
    let transaction = ownership::division(owner, &layout);
    match node.store.commit(&transaction).await {
        Ok(CommitOutcome::Stored(_)) => {
            log::info!("event=divided cells={} vms={}", layout.count(), vms.len());
        }
        Ok(CommitOutcome::Conflict(_)) => log::warn!("event=division_failed error=conflict"),
        Err(error) => log::warn!("event=division_failed error={error}"),
    }
    // Whatever the outcome, the next owner reads which layout is in force.
    owner.cell.drop_ownership(node, "division");
    true
}
