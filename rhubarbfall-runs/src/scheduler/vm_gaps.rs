//! What is left on the VMs of a pool beside tasks that are not short.
//!
//! The load: a pool whose VMs all hold long-running tasks has much free in total, but no single VM with
//! room for a task that needs most of one, however many short tasks end.

use crate::Resources;

/// The room on the VMs of a pool that hold tasks which are not short.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub(super) struct VmGaps {
    /// The number of these VMs.
    pub(super) vms: usize,
    /// What they have left once their short tasks have ended, without those that have no more of
    /// anything than another one.
    gaps: Vec<Resources>,
}

impl VmGaps {
    /// Adds a VM with this much left.
    pub(super) fn add(&mut self, gap: Resources) {
        self.vms += 1;
        if !self.has_room(gap) {
            self.gaps.retain(|smaller| !smaller.fits_in(gap));
            self.gaps.push(gap);
        }
    }

    /// Returns whether one of the VMs has room for this much.
    pub(super) fn has_room(&self, reserved: Resources) -> bool {
        self.gaps.iter().any(|gap| reserved.fits_in(*gap))
    }
}
