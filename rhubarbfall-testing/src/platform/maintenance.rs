use std::fmt;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rhubarbfall_core::{LiteMap, VmId, WaveId};
use rhubarbfall_platform::maintenance::{MaintenanceRecord, MaintenanceState};

/// Outcome of a VM's reboot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RebootOutcome {
    /// The VM comes up again, and the platform reports the reboot as done.
    Completes,
    /// The VM stays down, and the platform never reports the reboot as done.
    StaysDown,
}

/// Event of a reboot, passed to the hook that a test has set.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RebootEvent {
    /// The VM goes down.
    Down,
    /// The VM is up again.
    Up,
}

type RebootHook = Arc<dyn Fn(&VmId, RebootEvent) + Send + Sync>;

/// Announced maintenance of the stand-in platform, and the reboots in progress.
#[derive(Default)]
pub(super) struct Maintenance {
    records: LiteMap<(WaveId, VmId), MaintenanceRecord>,
    outcomes: LiteMap<VmId, RebootOutcome>,
    reboot_ends: Vec<(Instant, WaveId, VmId)>,
    reboot_time: Duration,
    hook: Option<RebootHook>,
    permits: u64,
}

impl fmt::Debug for Maintenance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Maintenance")
            .field("records", &self.records)
            .field("permits", &self.permits)
            .finish_non_exhaustive()
    }
}

impl Maintenance {
    pub(super) fn set_hook(&mut self, hook: impl Fn(&VmId, RebootEvent) + Send + Sync + 'static) {
        self.hook = Some(Arc::new(hook));
    }

    pub(super) const fn set_reboot_time(&mut self, time: Duration) {
        self.reboot_time = time;
    }

    pub(super) fn set_outcome(&mut self, vm: VmId, outcome: RebootOutcome) {
        self.outcomes.insert(vm, outcome);
    }

    pub(super) fn announce(&mut self, record: MaintenanceRecord) {
        let key = (record.wave.clone(), record.vm.clone());
        self.records.insert(key, record);
    }

    pub(super) const fn permits(&self) -> u64 {
        self.permits
    }

    /// Returns the records, after ending the reboots whose time has passed.
    pub(super) fn list(&mut self, now: Instant) -> Vec<MaintenanceRecord> {
        self.advance(now);
        self.records.values().cloned().collect()
    }

    /// Starts the reboot of an announced VM; any other permit is counted and has no effect.
    pub(super) fn permit(&mut self, wave: &WaveId, vm: &VmId, now: Instant) {
        self.permits += 1;
        self.reboot(wave, vm, now);
    }

    /// Starts the reboot of an announced VM, with or without a permit.
    pub(super) fn reboot(&mut self, wave: &WaveId, vm: &VmId, now: Instant) {
        self.advance(now);
        let key = (wave.clone(), vm.clone());
        let Some(record) = self.records.get_mut(&key) else {
            return;
        };
        if record.state != MaintenanceState::Announced {
            return;
        }
        record.state = MaintenanceState::Rebooting;
        self.reboot_ends
            .push((now + self.reboot_time, wave.clone(), vm.clone()));
        if let Some(hook) = &self.hook {
            hook(vm, RebootEvent::Down);
        }
    }

    pub(super) fn advance(&mut self, now: Instant) {
        let reboot_ends = std::mem::take(&mut self.reboot_ends);
        let (ended, pending) = reboot_ends.into_iter().partition(|(end, _, _)| *end <= now);
        self.reboot_ends = pending;
        for (_, wave, vm) in ended {
            if self.outcomes.get(&vm) == Some(&RebootOutcome::StaysDown) {
                continue;
            }
            if let Some(record) = self.records.get_mut(&(wave, vm.clone())) {
                record.state = MaintenanceState::Done;
            }
            if let Some(hook) = &self.hook {
                hook(&vm, RebootEvent::Up);
            }
        }
    }
}
