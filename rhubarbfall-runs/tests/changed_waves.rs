//! A request for a wave that an operator writes again: a VM that was added to a known wave was never
//! maintained, and the wave stayed completed.

use std::time::Duration;

use rhubarbfall_core::{BootTime, CellId, RowVersion, VmId, WaveId};
use rhubarbfall_runs::scheduler::{Action, SchedulerSettings, VmRow, VmState, Wave, WaveState};
use rhubarbfall_runs::{Resources, Scheduler};

const TICK: Duration = Duration::from_millis(100);
const VMS: usize = 3;

fn vm(index: usize) -> VmId {
    format!("vm-{index}").parse().expect("valid VM name")
}

fn wave_id() -> WaveId {
    "3".parse().expect("valid wave name")
}

fn wave(version: u64, vms: &[usize]) -> Wave {
    Wave {
        id: wave_id(),
        vms: vms.iter().map(|index| vm(*index)).collect(),
        duration: Duration::from_secs(25),
        max_down: 1,
        version: RowVersion::new(version),
    }
}

struct Owner {
    scheduler: Scheduler,
    now: BootTime,
    rows: u64,
}

impl Owner {
    fn new(cells: u16) -> Self {
        Self {
            scheduler: Scheduler::new(SchedulerSettings {
                cell: CellId::FIRST,
                cells,
                ..SchedulerSettings::default()
            }),
            now: BootTime::new(Duration::from_secs(100)),
            rows: 100,
        }
    }

    fn request(&mut self, wave: Wave) {
        let unix_ms = self.now.as_millis();
        self.scheduler.wave_requested(wave, None, self.now, unix_ms);
    }

    /// Goes on for this many ticks with a list in each, answers each call, and returns the VMs that
    /// were called for.
    fn calls_within(&mut self, ticks: u32) -> Vec<VmId> {
        let mut called = Vec::new();
        for _ in 0..ticks {
            self.now = self.now + TICK;
            let rows = (0..VMS).map(|index| VmRow {
                vm: vm(index),
                pool: "spare".parse().expect("valid service name"),
                state: VmState::Up,
                worker: None,
                availability_zone: None,
                capacity: Resources::default(),
                labels: Vec::new(),
            });
            self.scheduler
                .vms_listed(rows.collect(), self.now, self.now);
            self.scheduler.tick(self.now, self.now.as_millis());
            while let Some(batch) = self.scheduler.next_batch() {
                self.rows += 1;
                let version = RowVersion::new(self.rows);
                self.scheduler.batch_stored(&batch, version, self.now);
            }
            for action in self.scheduler.take_actions() {
                if let Action::Vm { vm, .. } = action {
                    self.scheduler.vm_answered(&vm, Some(true), self.now);
                    called.push(vm);
                }
            }
        }
        called
    }

    /// Reports the state of the wave, as the owner's loop does, and returns it if it has changed.
    fn state(&mut self) -> Option<WaveState> {
        let unreported = self.scheduler.unreported_waves();
        let (id, state) = unreported.first()?;
        self.scheduler.wave_reported(id, *state);
        Some(*state)
    }
}

/// Guards against `stand-in extended-wave`: a VM is added to a wave that is completed.
#[test]
fn vm_that_is_added_to_a_completed_wave_is_maintained() {
    let mut owner = Owner::new(1);
    owner.request(wave(1, &[0]));
    assert_eq!(owner.calls_within(10), [vm(0)]);
    assert_eq!(owner.state(), Some(WaveState::Completed));
    owner.request(wave(2, &[0, 2]));
    assert_eq!(owner.state(), Some(WaveState::Running));
    assert_eq!(owner.calls_within(100), [vm(2)]);
    assert_eq!(owner.state(), Some(WaveState::Completed));
    assert_eq!(
        owner.scheduler.wave_version(&wave_id()),
        Some(RowVersion::new(2))
    );
}

/// The feed may repeat a request, or deliver an earlier one after a later one.
#[test]
fn earlier_request_does_not_replace_a_later_one() {
    let mut owner = Owner::new(1);
    owner.request(wave(2, &[0, 2]));
    owner.request(wave(1, &[0]));
    let called = owner.calls_within(100);
    assert_eq!(called, [vm(0), vm(2)]);
}

/// A VM that the request no longer names goes on with its work, and the wave ends without it.
#[test]
fn vm_that_is_taken_out_of_a_wave_is_not_maintained() {
    let mut owner = Owner::new(1);
    owner.request(wave(1, &[0, 1]));
    assert_eq!(owner.calls_within(5), [vm(0)]);
    owner.request(wave(2, &[0]));
    assert_eq!(owner.calls_within(100), []);
    assert_eq!(owner.state(), Some(WaveState::Completed));
}

/// The time allowed counts from the newest request, also at the next owner.
#[test]
fn changed_request_gets_its_time() {
    let mut owner = Owner::new(1);
    owner.request(wave(1, &[0]));
    owner.calls_within(200);
    owner.request(wave(2, &[0, 1, 2]));
    owner.calls_within(1);
    let (_, load) = owner.scheduler.wave_loads().next().expect("an open wave");
    assert!(load.elapsed < Duration::from_secs(1), "{:?}", load.elapsed);
}

/// Other cells' reports count for the request that they are about: a cell may not have read the
/// newer one yet, or have completed a wave of the same number before.
#[test]
fn reports_of_other_cells_on_an_earlier_request_complete_nothing() {
    let mut owner = Owner::new(2);
    owner.request(wave(1, &[0]));
    owner.calls_within(10);
    let first = owner.scheduler.cell_report().completed_waves;
    owner.scheduler.waves_completed_elsewhere(first.clone());
    assert_eq!(owner.state(), Some(WaveState::Completed));
    owner.request(wave(2, &[0]));
    owner.calls_within(10);
    assert_eq!(owner.state(), Some(WaveState::Running));
    let second = owner.scheduler.cell_report().completed_waves;
    assert_ne!(first, second);
    owner.scheduler.waves_completed_elsewhere(second);
    assert_eq!(owner.state(), Some(WaveState::Completed));
}
