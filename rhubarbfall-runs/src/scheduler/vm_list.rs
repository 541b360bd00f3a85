//! The platform's list of VMs, and what it proves of a VM that it lacks.
//!
//! A list shows the fleet at some time after it was requested. A VM may be missing from it that has
//! joined since, or that changed its page while the list was read in several. A VM is gone once two
//! lists in a row lack it that were requested after it was last known to exist.

use litemap::LiteMap;
use rhubarbfall_core::{BootTime, VmId};

use super::VmRow;

/// The newest list of VMs, with what is kept of the one before it.
#[derive(Debug, Default)]
pub(super) struct VmList {
    vms: LiteMap<VmId, VmRow>,
    /// When the newest list was requested.
    requested_at: Option<BootTime>,
    /// When the list before it was requested.
    previous_requested_at: Option<BootTime>,
    /// The VMs that only the list before it contains, sorted.
    only_in_previous: Vec<VmId>,
}

impl VmList {
    /// Replaces the list by one that was requested at `requested_at`. Returns false, and changes
    /// nothing, if the present one was requested later.
    pub(super) fn replace(&mut self, rows: Vec<VmRow>, requested_at: BootTime) -> bool {
        if self.requested_at.is_some_and(|known| requested_at < known) {
            return false;
        }
        let mut vms = LiteMap::new();
        for row in rows {
            vms.insert(row.vm.clone(), row);
        }
        let previous = std::mem::replace(&mut self.vms, vms);
        let is_missing = |vm: &&VmId| self.vms.get(*vm).is_none();
        self.only_in_previous = previous.keys().filter(is_missing).cloned().collect();
        self.previous_requested_at = self.requested_at.replace(requested_at);
        true
    }

    /// Returns a VM of the newest list.
    pub(super) fn get(&self, vm: &VmId) -> Option<&VmRow> {
        self.vms.get(vm)
    }

    /// Returns the VMs of the newest list, sorted by identifier.
    pub(super) fn iter(&self) -> impl Iterator<Item = &VmRow> {
        self.vms.values()
    }

    /// Returns whether the newest list or the one before it contains a VM.
    pub(super) fn is_listed(&self, vm: &VmId) -> bool {
        self.vms.contains_key(vm) || self.only_in_previous.binary_search(vm).is_ok()
    }

    /// Returns whether the last two lists were requested after `time`.
    pub(super) fn is_newer_than(&self, time: BootTime) -> bool {
        let is_newer = |requested_at: BootTime| requested_at > time;
        self.previous_requested_at.is_some_and(is_newer)
    }

    /// Returns whether a VM that existed at `time` is gone.
    pub(super) fn is_gone_since(&self, vm: &VmId, time: BootTime) -> bool {
        self.is_newer_than(time) && !self.is_listed(vm)
    }

    /// Returns when the newest list was requested.
    pub(super) const fn requested_at(&self) -> Option<BootTime> {
        self.requested_at
    }
}
