use std::collections::VecDeque;
use std::time::{Duration, Instant};

use rhubarbfall_core::{LiteMap, VmId};
use rhubarbfall_platform::vms::VmRecord;

/// Maximum number of snapshots kept; the oldest is dropped first.
const MAX_SNAPSHOTS: usize = 4096;

/// Snapshots of the VMs after each change, from which a lagging list is read.
#[derive(Debug)]
pub(super) struct VmHistory {
    snapshots: VecDeque<(Instant, LiteMap<VmId, VmRecord>)>,
    pub(super) lag: Duration,
}

impl VmHistory {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            snapshots: VecDeque::from([(now, LiteMap::new())]),
            lag: Duration::ZERO,
        }
    }

    pub(super) fn put(&mut self, now: Instant, vm: VmRecord) {
        let mut vms = self.snapshots.back().map(|(_, vms)| vms.clone());
        let vms = vms.get_or_insert_default();
        vms.insert(vm.id.clone(), vm);
        self.snapshots.push_back((now, vms.clone()));
        if self.snapshots.len() > MAX_SNAPSHOTS {
            self.snapshots.pop_front();
        }
    }

    /// Returns the newest snapshot that is at least one lag old, or else the oldest one.
    pub(super) fn list(&self, now: Instant) -> Vec<VmRecord> {
        let is_visible = |at: &Instant| now.duration_since(*at) >= self.lag;
        let visible = self.snapshots.iter().rev().find(|(at, _)| is_visible(at));
        visible
            .or(self.snapshots.front())
            .map(|(_, vms)| vms.values().cloned().collect())
            .unwrap_or_default()
    }
}
