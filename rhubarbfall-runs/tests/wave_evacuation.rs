//! A wave beside an evacuated availability zone. The other zone's VMs are short for the work that has to
//! move there: a wave that only counts VMs would take them, or wait with those of the evacuated zone.

mod model;

use std::time::Duration;

use model::{WORKER_CAPACITY, config, step, submission};
use rhubarbfall_core::{AvailabilityZoneId, BootTime, RowVersion, VmId};
use rhubarbfall_runs::scheduler::{Action, SchedulerSettings, VmRow, VmState, Wave, WaveState};
use rhubarbfall_runs::{Scheduler, Step};

const TICK: Duration = Duration::from_millis(100);
const ABSENCE: Duration = Duration::from_secs(2);
const WAVE_TIME: Duration = Duration::from_secs(40);
const VMS: usize = 8;

fn vm(index: usize) -> VmId {
    format!("vm-{index}").parse().expect("valid VM name")
}

/// Every other VM is in the evacuated zone.
fn is_evacuated(index: usize) -> bool {
    index % 2 == 1
}

#[test]
fn vms_of_the_evacuated_zone_are_maintained_while_the_others_are_needed() {
    let mut now = BootTime::new(Duration::from_secs(100));
    let mut scheduler = Scheduler::new(SchedulerSettings::default());
    scheduler.set_config(config(&["labels", "spare"]).into());
    let zone = |name: &str| -> AvailabilityZoneId { name.parse().expect("valid zone name") };
    scheduler.set_evacuated_zones([zone("zone-a")], now);
    // Needs more VMs than there are, and can be in time for all of the wave.
    let work = Step {
        estimate: WAVE_TIME * 4,
        ..step(200, WORKER_CAPACITY.cpu_millis)
    };
    scheduler.submit(submission(1, "labels", work), now);
    let wave = Wave {
        id: "1".parse().expect("valid wave name"),
        vms: (0..VMS).map(vm).collect(),
        duration: WAVE_TIME,
        max_down: 2,
        version: RowVersion::new(1),
    };
    let began_at = now;
    scheduler.wave_requested(wave, None, now, 0);
    let mut back_at: [Option<BootTime>; VMS] = [None; VMS];
    let mut called = Vec::new();
    let (mut version, mut completed_after) = (0, None);
    while completed_after.is_none() && now.since(began_at) < WAVE_TIME * 2 {
        now = now + TICK;
        let rows = (0..VMS).map(|index| VmRow {
            vm: vm(index),
            pool: "labels".parse().expect("valid service name"),
            state: match back_at[index] {
                Some(at) if now < at => VmState::Maintenance,
                _ => VmState::Up,
            },
            worker: None,
            availability_zone: Some(zone(if is_evacuated(index) {
                "zone-a"
            } else {
                "zone-b"
            })),
            capacity: WORKER_CAPACITY,
            labels: Vec::new(),
        });
        scheduler.vms_listed(rows.collect(), now, now);
        scheduler.tick(now, 0);
        while let Some(batch) = scheduler.next_batch() {
            version += 1;
            scheduler.batch_stored(&batch, RowVersion::new(version), now);
        }
        for action in scheduler.take_actions() {
            if let Action::Vm { vm: of, .. } = action {
                let index = (0..VMS).find(|index| vm(*index) == of).expect("a known VM");
                back_at[index] = Some(now + ABSENCE);
                called.push((index, now.since(began_at)));
                scheduler.vm_answered(&of, Some(true), now);
            }
        }
        let states = scheduler.unreported_waves();
        if states
            .iter()
            .any(|(_, state)| *state == WaveState::Completed)
        {
            completed_after = Some(now.since(began_at));
        }
    }
    println!("{called:?}");
    let (first, last) = called.split_at(VMS / 2);
    assert!(
        first.iter().all(|(index, _)| is_evacuated(*index)),
        "{called:?}"
    );
    let begins = first.iter().map(|(_, at)| *at).max().expect("calls");
    assert!(begins < WAVE_TIME / 2, "{called:?}");
    assert!(last.iter().all(|(_, at)| *at > WAVE_TIME / 2), "{called:?}");
    let completed_after = completed_after.expect("a completed wave");
    assert!(completed_after <= WAVE_TIME, "{completed_after:?}");
}
