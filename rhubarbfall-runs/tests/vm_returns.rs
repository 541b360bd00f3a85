//! When a VM counts as back from a move or from maintenance. A VM of the spare pool has no worker before
//! or after, so that no change of its worker shows that it is back: each of them kept its place in its
//! wave for six seconds, while its maintenance took two, and the next ones of the wave waited drained.

mod model;

use std::time::Duration;

use model::{WORKER_CAPACITY, config, step, submission};
use rhubarbfall_core::{BootTime, RowVersion, VmId, WaveId, WorkerId};
use rhubarbfall_runs::Scheduler;
use rhubarbfall_runs::scheduler::{
    Action, CalledVm, SchedulerSettings, VmRow, VmState, Wave, WaveProgress,
};

const TICK: Duration = Duration::from_millis(100);
const VMS: usize = 3;

/// The time by which a VM without a sign of its absence has returned.
const LONGEST_ABSENCE: Duration = Duration::from_secs(7);

fn vm(index: usize) -> VmId {
    format!("vm-{index}").parse().expect("valid VM name")
}

fn worker(name: &str) -> WorkerId {
    name.parse().expect("valid worker name")
}

/// An owner of a wave over three spare VMs, one of which may be down at a time.
struct Owner {
    scheduler: Scheduler,
    now: BootTime,
    rows: u64,
    states: [VmState; VMS],
    pool: &'static str,
    workers: [Option<WorkerId>; VMS],
    /// Whether the list of VMs arrives.
    has_list: bool,
    /// How long ago a list was requested when it arrives.
    list_age: Duration,
}

impl Owner {
    fn new(stored: Option<WaveProgress>) -> Self {
        let mut owner = Self::without_wave();
        let stored = stored.map(|progress| (progress, RowVersion::new(1)));
        owner.request_wave(stored);
        owner
    }

    fn request_wave(&mut self, stored: Option<(WaveProgress, RowVersion)>) {
        let wave = Wave {
            id: "1".parse::<WaveId>().expect("valid wave name"),
            vms: (0..VMS).map(vm).collect(),
            duration: Duration::from_mins(1),
            max_down: 1,
            version: RowVersion::new(1),
        };
        let unix_ms = self.now.as_millis();
        self.scheduler
            .wave_requested(wave, stored, self.now, unix_ms);
    }

    fn without_wave() -> Self {
        let now = BootTime::new(Duration::from_secs(100));
        let scheduler = Scheduler::new(SchedulerSettings::default());
        Self {
            scheduler,
            now,
            rows: 1,
            states: [VmState::Up; VMS],
            pool: "spare",
            workers: [None, None, None],
            has_list: true,
            list_age: Duration::ZERO,
        }
    }

    /// Goes on for this time at most, and returns the first VM that is called for and after how long.
    fn next_call(&mut self, within: Duration) -> Option<(usize, Duration)> {
        let began_at = self.now;
        while self.now < began_at + within {
            self.now = self.now + TICK;
            if self.has_list {
                let rows = (0..VMS).map(|index| VmRow {
                    vm: vm(index),
                    pool: self.pool.parse().expect("valid service name"),
                    state: self.states[index],
                    worker: self.workers[index].clone(),
                    availability_zone: None,
                    capacity: WORKER_CAPACITY,
                    labels: Vec::new(),
                });
                let asked_at = self.now.before(self.list_age);
                self.scheduler
                    .vms_listed(rows.collect(), asked_at, self.now);
            }
            self.scheduler.tick(self.now, self.now.as_millis());
            while let Some(batch) = self.scheduler.next_batch() {
                self.rows += 1;
                let version = RowVersion::new(self.rows);
                self.scheduler.batch_stored(&batch, version, self.now);
            }
            let calls = self.scheduler.take_actions().into_iter();
            let called = calls.filter_map(|action| match action {
                Action::Vm { vm, .. } => Some(vm),
                _ => None,
            });
            let called: Vec<VmId> = called.collect();
            assert!(called.len() <= 1, "more calls than the limit: {called:?}");
            if let Some(called) = called.first() {
                let index = (0..VMS).find(|index| vm(*index) == *called);
                let index = index.expect("a VM of the wave");
                return Some((index, self.now.since(began_at)));
            }
        }
        None
    }

    fn answer(&mut self, index: usize, is_done: Option<bool>) {
        self.scheduler.vm_answered(&vm(index), is_done, self.now);
    }

    /// The first VM is called for, the call succeeds, and the VM is listed as away for a second.
    fn begin_first(&mut self) -> usize {
        let (first, _) = self.next_call(TICK * 3).expect("a first call");
        self.answer(first, Some(true));
        self.states[first] = VmState::Maintenance;
        assert_eq!(self.next_call(Duration::from_secs(1)), None);
        first
    }
}

/// The VM is listed as under maintenance and then as up, without a worker all the time.
#[test]
fn vm_without_a_worker_is_back_when_it_is_listed_as_up_again() {
    let mut owner = Owner::new(None);
    let first = owner.begin_first();
    owner.states[first] = VmState::Up;
    let (second, after) = owner.next_call(LONGEST_ABSENCE).expect("a second call");
    assert_ne!(second, first);
    assert!(after <= TICK * 3, "called for after {after:?}");
}

/// A worker may come back under its name; the list shows that its VM was away.
#[test]
fn vm_with_the_same_worker_is_back_when_it_is_listed_as_up_again() {
    let mut owner = Owner::new(None);
    owner.workers = ["w-0", "w-1", "w-2"].map(|name| Some(worker(name)));
    let first = owner.begin_first();
    owner.states[first] = VmState::Up;
    let (second, after) = owner.next_call(LONGEST_ABSENCE).expect("a second call");
    assert_ne!(second, first);
    assert!(after <= TICK * 3, "called for after {after:?}");
}

/// A list that was requested before the call was answered shows the VM as it was before; so does one
/// that arrives late.
#[test]
fn list_of_before_the_call_does_not_show_a_return() {
    let mut owner = Owner::new(None);
    let (first, _) = owner.next_call(TICK * 3).expect("a first call");
    owner.answer(first, Some(true));
    owner.list_age = Duration::from_secs(2);
    assert_eq!(owner.next_call(Duration::from_secs(2)), None);
}

/// A VM that no list shows as away may have been listed from before the call took effect.
#[test]
fn vm_that_was_never_listed_as_away_waits() {
    let mut owner = Owner::new(None);
    let (first, _) = owner.next_call(TICK * 3).expect("a first call");
    owner.answer(first, Some(true));
    let (_, after) = owner.next_call(LONGEST_ABSENCE).expect("a second call");
    assert!(after > Duration::from_secs(5), "called for after {after:?}");
}

/// A VM that stays away holds its place for as long, also when no list arrives for a while.
#[test]
fn vm_that_is_listed_as_away_holds_its_place() {
    let mut owner = Owner::new(None);
    let first = owner.begin_first();
    owner.has_list = false;
    assert_eq!(owner.next_call(LONGEST_ABSENCE), None);
    owner.has_list = true;
    assert_eq!(owner.next_call(LONGEST_ABSENCE), None);
    owner.states[first] = VmState::Up;
    assert!(owner.next_call(TICK * 3).is_some());
}

/// An owner that has taken over knows from the wave's row that the maintenance has begun, and sees the
/// VM away and back.
#[test]
fn next_owner_sees_the_return() {
    let called = CalledVm {
        vm: vm(1),
        worker: None,
        has_begun: true,
    };
    let mut owner = Owner::new(Some(WaveProgress {
        first_seen_unix_ms: 100_000,
        called: vec![called],
        ..WaveProgress::default()
    }));
    owner.states[1] = VmState::Maintenance;
    assert_eq!(owner.next_call(Duration::from_secs(1)), None);
    owner.states[1] = VmState::Up;
    let (_, after) = owner.next_call(LONGEST_ABSENCE).expect("a second call");
    assert!(after <= TICK * 3, "called for after {after:?}");
}

/// A call without an answer is confirmed by the list, which also shows the VM away.
#[test]
fn return_after_an_unanswered_call_is_seen() {
    let mut owner = Owner::new(None);
    let (first, _) = owner.next_call(TICK * 3).expect("a first call");
    owner.answer(first, None);
    owner.states[first] = VmState::Maintenance;
    assert_eq!(owner.next_call(TICK * 3), None);
    owner.states[first] = VmState::Up;
    let (second, after) = owner.next_call(LONGEST_ABSENCE).expect("a second call");
    assert_ne!(second, first);
    assert!(after <= TICK * 3, "called for after {after:?}");
}

/// The service answers a call only after the VM has come back: lists of during the call showed it away.
#[test]
fn return_before_a_late_answer_is_seen() {
    let mut owner = Owner::new(None);
    let (first, _) = owner.next_call(TICK * 3).expect("a first call");
    owner.states[first] = VmState::Maintenance;
    assert_eq!(owner.next_call(Duration::from_secs(2)), None);
    owner.states[first] = VmState::Up;
    assert_eq!(owner.next_call(TICK * 3), None);
    owner.answer(first, Some(true));
    let (second, after) = owner.next_call(LONGEST_ABSENCE).expect("a second call");
    assert_ne!(second, first);
    assert!(after <= TICK * 3, "called for after {after:?}");
}

/// A VM is moved out of the spare pool while no list arrives. The next list shows it in its new pool, where
/// its worker has not announced itself.
#[test]
fn vm_in_its_new_pool_is_back_without_a_worker() {
    let mut owner = Owner::without_wave();
    owner
        .scheduler
        .set_config(config(&["labels", "spare"]).into());
    let work = submission(1, "labels", step(1, 1_000));
    owner.scheduler.submit(work, owner.now);
    let (moved, _) = owner.next_call(Duration::from_secs(2)).expect("a move");
    owner.answer(moved, Some(true));
    owner.has_list = false;
    assert_eq!(owner.next_call(Duration::from_secs(2)), None);
    owner.has_list = true;
    owner.pool = "labels";
    owner.request_wave(None);
    let mut called = Vec::new();
    while let Some((next, _)) = owner.next_call(TICK * 5) {
        owner.answer(next, Some(true));
        owner.states[next] = VmState::Maintenance;
        assert_eq!(owner.next_call(TICK * 2), None);
        owner.states[next] = VmState::Up;
        called.push(next);
    }
    assert!(called.contains(&moved), "{called:?} without {moved}");
}

/// After a takeover, spare VMs are listed as away for the operations of the earlier owner. They were called
/// for first, and each refusal held up all other calls for a while.
#[test]
fn spare_vm_that_is_away_is_not_moved() {
    for away in [VmState::Moving, VmState::Maintenance] {
        let mut owner = Owner::without_wave();
        owner
            .scheduler
            .set_config(config(&["labels", "spare"]).into());
        owner.states = [VmState::Up, away, away];
        let work = submission(1, "labels", step(1, 1_000));
        owner.scheduler.submit(work, owner.now);
        let (moved, _) = owner.next_call(Duration::from_secs(2)).expect("a move");
        assert_eq!(moved, 0);
    }
}
