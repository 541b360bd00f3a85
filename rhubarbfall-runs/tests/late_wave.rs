//! A wave that is behind its time must not wait for VMs that it has already called for: the last VM
//! of a wave missed its time by seconds while two others counted as down that had returned.

use std::time::Duration;

use rhubarbfall_core::{BootTime, RowVersion, VmId, WaveId};
use rhubarbfall_runs::scheduler::{
    Action, CalledVm, SchedulerSettings, VmRow, VmState, Wave, WaveProgress,
};
use rhubarbfall_runs::{Resources, Scheduler};

const NOW: BootTime = BootTime::new(Duration::from_secs(50));
const WAVE_TIME: Duration = Duration::from_secs(25);
const TICK: Duration = Duration::from_millis(100);

fn vm(index: usize) -> VmId {
    format!("vm-{index}").parse().expect("valid VM name")
}

/// Returns after how long the last of three VMs is called for, when the wave began `elapsed` ago and
/// the maintenance of the other two has begun. They are listed with the worker that they had, so
/// that they count as down for some seconds more.
fn last_call_after(elapsed: Duration, max_down: usize) -> Option<Duration> {
    let id: WaveId = "1".parse().expect("valid wave name");
    let mut scheduler = Scheduler::new(SchedulerSettings::default());
    let begun = |index| CalledVm {
        vm: vm(index),
        worker: None,
        has_begun: true,
    };
    let progress = WaveProgress {
        first_seen_unix_ms: 100_000,
        called: vec![begun(0), begun(1)],
        ..WaveProgress::default()
    };
    let wave = Wave {
        id,
        vms: (0..3).map(vm).collect(),
        duration: WAVE_TIME,
        max_down,
        version: RowVersion::new(1),
    };
    let unix_ms = 100_000 + elapsed.as_millis() as u64;
    scheduler.wave_requested(wave, Some((progress, RowVersion::new(1))), NOW, unix_ms);
    let rows = (0..3).map(|index| VmRow {
        vm: vm(index),
        pool: "labels".parse().expect("valid service name"),
        state: VmState::Up,
        worker: None,
        availability_zone: None,
        capacity: Resources::default(),
        labels: Vec::new(),
    });
    let rows: Vec<VmRow> = rows.collect();
    let (mut now, mut version) = (NOW, 1);
    while now < NOW + WAVE_TIME {
        now = now + TICK;
        scheduler.vms_listed(rows.clone(), now, now);
        scheduler.tick(now, 0);
        while let Some(batch) = scheduler.next_batch() {
            version += 1;
            scheduler.batch_stored(&batch, RowVersion::new(version), now);
        }
        let is_last =
            |action: &Action| matches!(action, Action::Vm { vm: called, .. } if *called == vm(2));
        if scheduler.take_actions().iter().any(is_last) {
            return Some(now.since(NOW));
        }
    }
    None
}

#[test]
fn last_vm_of_a_late_wave_waits_for_no_other() {
    let after = last_call_after(Duration::from_secs(16), 3).expect("the VM is called for");
    assert!(after <= TICK * 3, "called for after {after:?}");
}

#[test]
fn late_wave_keeps_its_limit() {
    let after = last_call_after(Duration::from_secs(16), 2).expect("the VM is called for");
    assert!(after > Duration::from_secs(5), "called for after {after:?}");
}
