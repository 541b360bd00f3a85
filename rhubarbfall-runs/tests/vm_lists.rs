//! What a list of VMs proves: a wave was reported as completed, and its VM counted as gone, because a
//! list from before the VM had joined does not contain it.

mod model;
#[allow(dead_code, reason = "other test files use more of it")]
mod single_owner;

use std::time::Duration;

use model::{config, step, submission};

use rhubarbfall_core::{BootTime, CellId, RowVersion, VmId, WaveId};
use rhubarbfall_runs::scheduler::{
    Action, CalledVm, SchedulerSettings, VmRow, VmState, Wave, WaveProgress, WaveState,
};
use rhubarbfall_runs::{LeaseRenewalResponse, Scheduler, Step, WorkerReport};

const TICK: Duration = Duration::from_millis(100);

fn vm(index: usize) -> VmId {
    format!("vm-{index}").parse().expect("valid VM name")
}

fn wave_id() -> WaveId {
    "1".parse().expect("valid wave name")
}

fn wave(vms: &[usize], max_down: usize) -> Wave {
    Wave {
        id: wave_id(),
        vms: vms.iter().map(|index| vm(*index)).collect(),
        duration: Duration::from_mins(1),
        max_down,
        version: RowVersion::new(1),
    }
}

fn row(index: usize, state: VmState) -> VmRow {
    VmRow {
        vm: vm(index),
        pool: "spare".parse().expect("valid service name"),
        state,
        worker: None,
        availability_zone: None,
        capacity: model::WORKER_CAPACITY,
        labels: Vec::new(),
    }
}

struct Owner {
    scheduler: Scheduler,
    now: BootTime,
    rows: u64,
}

impl Owner {
    fn new() -> Self {
        Self::of_cell(CellId::FIRST, 1)
    }

    fn of_cell(cell: CellId, cells: u16) -> Self {
        Self {
            scheduler: Scheduler::new(SchedulerSettings {
                cell,
                cells,
                ..SchedulerSettings::default()
            }),
            now: BootTime::new(Duration::from_secs(100)),
            rows: 1,
        }
    }

    fn request(&mut self, wave: Wave) {
        self.scheduler.wave_requested(wave, None, self.now, 0);
        self.now = self.now + Duration::from_millis(1);
    }

    /// A list with these VMs arrives that was requested `age` ago.
    fn list(&mut self, rows: &[VmRow], age: Duration) {
        self.scheduler
            .vms_listed(rows.to_vec(), self.now.before(age), self.now);
    }

    /// Goes on for a tick and returns the VMs that are called for.
    fn step(&mut self) -> Vec<VmId> {
        self.now = self.now + TICK;
        self.scheduler.tick(self.now, self.now.as_millis());
        while let Some(batch) = self.scheduler.next_batch() {
            self.rows += 1;
            let version = RowVersion::new(self.rows);
            self.scheduler.batch_stored(&batch, version, self.now);
        }
        let actions = self.scheduler.take_actions().into_iter();
        let called = actions.filter_map(|action| match action {
            Action::Vm { vm, .. } => Some(vm),
            _ => None,
        });
        called.collect()
    }

    /// A list arrives that was requested just now, and the owner goes on for a tick.
    fn list_and_step(&mut self, rows: &[VmRow]) -> Vec<VmId> {
        self.list(rows, Duration::ZERO);
        self.step()
    }

    /// Reports the state of the wave, as the owner's loop does, and returns it.
    fn state(&mut self) -> Option<WaveState> {
        let unreported = self.scheduler.unreported_waves();
        let (id, state) = unreported.first()?;
        self.scheduler.wave_reported(id, *state);
        Some(*state)
    }
}

/// Guards against `review/14`: the list falls silent, a VM joins, and a wave of this VM is requested.
#[test]
fn wave_is_not_completed_by_a_list_from_before_it() {
    let mut owner = Owner::new();
    owner.list_and_step(&[row(0, VmState::Up)]);
    owner.list_and_step(&[row(0, VmState::Up)]);
    owner.request(wave(&[1], 1));
    assert_eq!(owner.state(), Some(WaveState::Running));
    for _ in 0..20 {
        owner.step();
        assert_eq!(owner.state(), None);
    }
    let both = [row(0, VmState::Up), row(1, VmState::Up)];
    let called: Vec<VmId> = (0..3).flat_map(|_| owner.list_and_step(&both)).collect();
    assert_eq!(called, [vm(1)]);
    assert_eq!(owner.state(), None);
    owner.scheduler.vm_answered(&vm(1), Some(true), owner.now);
    assert_eq!(owner.state(), Some(WaveState::Completed));
}

/// The answer arrives after the wave, as with an owner that was paused meanwhile.
#[test]
fn wave_is_not_completed_by_a_list_that_was_requested_before_it() {
    let mut owner = Owner::new();
    owner.now = owner.now + Duration::from_secs(10);
    owner.request(wave(&[1], 1));
    for seconds in (1..6).rev() {
        owner.list(&[row(0, VmState::Up)], Duration::from_secs(seconds));
    }
    assert_eq!(owner.state(), Some(WaveState::Running));
}

/// A list of several pages may lack a VM that changed its page meanwhile.
#[test]
fn wave_is_not_completed_by_one_list_that_lacks_its_vm() {
    let mut owner = Owner::new();
    let both = [row(0, VmState::Up), row(1, VmState::Down)];
    owner.request(wave(&[1], 1));
    for _ in 0..3 {
        owner.list_and_step(&both);
        assert_ne!(owner.state(), Some(WaveState::Completed));
        owner.list_and_step(&both[..1]);
        assert_ne!(owner.state(), Some(WaveState::Completed));
    }
}

/// A VM that was removed for good, or never was, does not keep its wave running.
#[test]
fn wave_of_a_vm_that_is_gone_completes() {
    let mut owner = Owner::new();
    owner.request(wave(&[1], 1));
    assert_eq!(owner.state(), Some(WaveState::Running));
    owner.list_and_step(&[row(0, VmState::Up)]);
    owner.list_and_step(&[row(0, VmState::Up)]);
    assert_eq!(owner.state(), Some(WaveState::Completed));
}

/// An empty list is an answer: the last VM of the fleet may have been removed.
#[test]
fn empty_lists_complete_a_wave_and_silence_does_not() {
    let mut owner = Owner::new();
    owner.request(wave(&[1], 1));
    assert_eq!(owner.state(), Some(WaveState::Running));
    owner.step();
    assert_eq!(owner.state(), None);
    owner.list_and_step(&[]);
    owner.list_and_step(&[]);
    assert_eq!(owner.state(), Some(WaveState::Completed));
}

/// A new owner knows from the row which VMs were called for, and nothing of the others.
#[test]
fn next_owner_completes_a_wave_by_lists_of_its_own() {
    let mut owner = Owner::new();
    let called = CalledVm {
        vm: vm(0),
        worker: None,
        has_begun: true,
    };
    let progress = WaveProgress {
        first_seen_unix_ms: 100_000,
        called: vec![called],
        ..WaveProgress::default()
    };
    let stored = Some((progress, RowVersion::new(1)));
    let requested = wave(&[0, 1], 2);
    owner
        .scheduler
        .wave_requested(requested, stored, owner.now, 100_000);
    owner.list(&[row(0, VmState::Up)], Duration::from_secs(1));
    assert_eq!(owner.state(), Some(WaveState::Running));
    let both = [row(0, VmState::Up), row(1, VmState::Up)];
    let called: Vec<VmId> = (0..3).flat_map(|_| owner.list_and_step(&both)).collect();
    assert_eq!(called, [vm(1)]);
    assert_eq!(owner.state(), None);
}

/// Begins the maintenance of VM 0 of a wave over two VMs, one of which may be down.
fn with_one_down() -> Owner {
    let mut owner = Owner::new();
    let up = [row(0, VmState::Up), row(1, VmState::Up)];
    owner.request(wave(&[0, 1], 1));
    let called: Vec<VmId> = (0..3).flat_map(|_| owner.list_and_step(&up)).collect();
    assert_eq!(called, [vm(0)]);
    owner.scheduler.vm_answered(&vm(0), Some(true), owner.now);
    owner
}

/// Guards against a VM that counts as back, so that another one goes down beside it.
#[test]
fn vm_under_maintenance_keeps_its_place_if_one_list_lacks_it() {
    let mut owner = with_one_down();
    for _ in 0..3 {
        assert_eq!(owner.list_and_step(&[row(1, VmState::Up)]), []);
        let both = [row(0, VmState::Maintenance), row(1, VmState::Up)];
        assert_eq!(owner.list_and_step(&both), []);
    }
}

/// As above, with lists from before the VM joined.
#[test]
fn vm_under_maintenance_keeps_its_place_if_lists_from_before_lack_it() {
    let mut owner = with_one_down();
    for _ in 0..3 {
        owner.list(&[row(1, VmState::Up)], Duration::from_secs(5));
        assert_eq!(owner.step(), []);
    }
}

/// A VM that is removed during its maintenance gives its place up.
#[test]
fn vm_that_is_gone_gives_up_its_place() {
    let mut owner = with_one_down();
    let left = [row(1, VmState::Up)];
    let called: Vec<VmId> = (0..4).flat_map(|_| owner.list_and_step(&left)).collect();
    assert_eq!(called, [vm(1)]);
}

/// A list that arrives after one that was requested later does not replace it.
#[test]
fn earlier_list_does_not_replace_a_later_one() {
    let mut owner = Owner::new();
    owner.request(wave(&[0], 1));
    owner.now = owner.now + Duration::from_secs(10);
    owner.list(&[row(0, VmState::Up)], Duration::ZERO);
    owner.list(&[], Duration::from_secs(2));
    owner.list(&[], Duration::from_secs(1));
    let called: Vec<VmId> = (0..2).flat_map(|_| owner.step()).collect();
    assert_eq!(called, [vm(0)]);
}

/// In a divided fleet, a VM that no cell lists yet is nobody's.
#[test]
fn cell_completes_its_part_by_lists_from_after_the_request() {
    for cell in [0, 1] {
        let mut owner = Owner::of_cell(CellId::new(cell), 2);
        owner.list_and_step(&[row(0, VmState::Up)]);
        owner.list_and_step(&[row(0, VmState::Up)]);
        owner.request(wave(&[1], 2));
        assert!(owner.scheduler.cell_report().completed_waves.is_empty());
        owner.list_and_step(&[row(0, VmState::Up)]);
        assert!(owner.scheduler.cell_report().completed_waves.is_empty());
        owner.list_and_step(&[row(0, VmState::Up)]);
        assert!(!owner.scheduler.cell_report().completed_waves.is_empty());
    }
}

/// A cell to which no VM belongs has no part in any wave.
#[test]
fn cell_without_vms_completes_its_part() {
    let mut owner = Owner::of_cell(CellId::new(1), 2);
    owner.request(wave(&[1], 2));
    owner.list_and_step(&[]);
    owner.list_and_step(&[]);
    assert!(!owner.scheduler.cell_report().completed_waves.is_empty());
}

/// A VM is listed before its worker has registered, and the list falls silent. The worker registers
/// and gets work; then a wave of the VM is requested.
#[test]
fn vm_whose_worker_is_not_listed_yet_is_drained() {
    for has_wave_first in [false, true] {
        let mut owner = Owner::new();
        owner
            .scheduler
            .set_config(config(&["labels", "spare"]).into());
        let late = Wave {
            duration: TICK,
            ..wave(&[0], 1)
        };
        let mut up = row(0, VmState::Up);
        up.pool = "labels".parse().expect("valid service name");
        owner.list_and_step(&[up]);
        if has_wave_first {
            owner
                .scheduler
                .wave_requested(late.clone(), None, owner.now, 0);
        }
        let report = WorkerReport {
            vm: Some(vm(0)),
            ..single_owner::report("w-0", 1)
        };
        let id = report.id.clone();
        owner.scheduler.worker_listed(report, owner.now);
        owner
            .scheduler
            .confirm_ownership(owner.now + Duration::from_mins(1));
        let renew = |owner: &mut Owner| {
            owner.scheduler.lease_renewal_request(&id, owner.now);
            let answer = LeaseRenewalResponse {
                clock_ms: owner.now.as_millis(),
                incarnation_unix_ms: 1,
                ..LeaseRenewalResponse::default()
            };
            owner
                .scheduler
                .lease_renewal_answered(&id, owner.now, &answer, owner.now);
        };
        renew(&mut owner);
        let lasting = Step {
            is_long_running: true,
            ..step(1, 1_000)
        };
        owner
            .scheduler
            .submit(submission(1, "labels", lasting), owner.now);
        let called = owner.step();
        let worker = owner.scheduler.worker(&id).expect("a known worker");
        let placed = worker.placed.len();
        assert!(placed == 0 || called.is_empty(), "called for {called:?}");
        if !has_wave_first {
            assert_eq!(placed, 1);
            owner.request(late);
        }
        for _ in 0..10 {
            assert_eq!(owner.step(), []);
        }
    }
}
