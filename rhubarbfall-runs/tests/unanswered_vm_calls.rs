//! Calls for VMs without an answer: they may have been carried out, and a refusal of a repetition says
//! nothing about the first call.

use std::time::Duration;

use rhubarbfall_core::{BootTime, RowVersion, VmId, WaveId};
use rhubarbfall_runs::scheduler::{
    Action, CalledVm, SchedulerSettings, VmRow, VmState, Wave, WaveProgress,
};
use rhubarbfall_runs::{Resources, Scheduler};

const TICK: Duration = Duration::from_millis(100);

fn vm(index: usize) -> VmId {
    format!("vm-{index}").parse().expect("valid VM name")
}

fn wave() -> Wave {
    let id: WaveId = "1".parse().expect("valid wave name");
    Wave {
        id,
        vms: (0..3).map(vm).collect(),
        duration: Duration::from_secs(5),
        max_down: 1,
        version: RowVersion::new(1),
    }
}

struct Owner {
    scheduler: Scheduler,
    now: BootTime,
    rows: u64,
    states: [VmState; 3],
}

impl Owner {
    fn new(stored: Option<WaveProgress>) -> Self {
        let now = BootTime::new(Duration::from_secs(100));
        let mut scheduler = Scheduler::new(SchedulerSettings::default());
        let stored = stored.map(|progress| (progress, RowVersion::new(1)));
        scheduler.wave_requested(wave(), stored, now, now.as_millis());
        Self {
            scheduler,
            now,
            rows: 1,
            states: [VmState::Up; 3],
        }
    }

    /// Goes on for this time and returns the VMs that are called for.
    fn calls_within(&mut self, duration: Duration) -> Vec<VmId> {
        let (end, mut calls) = (self.now + duration, Vec::new());
        while self.now < end {
            self.now = self.now + TICK;
            let rows = self.states.iter().enumerate().map(|(index, state)| VmRow {
                vm: vm(index),
                pool: "labels".parse().expect("valid service name"),
                state: *state,
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
                    calls.push(vm);
                }
            }
        }
        calls
    }

    fn answer(&mut self, vm: &VmId, is_done: Option<bool>) {
        self.scheduler.vm_answered(vm, is_done, self.now);
    }
}

/// The first call is carried out and its answer lost; its repetition meets a service that is down. The
/// VM counted as never called for, and another one went down beside it.
#[test]
fn a_refused_repetition_frees_no_place() {
    let mut owner = Owner::new(None);
    let first = owner.calls_within(TICK * 2);
    assert_eq!(first.len(), 1);
    owner.answer(&first[0], None);
    for _ in 0..3 {
        let repeated = owner.calls_within(Duration::from_secs(1));
        assert_eq!(repeated, first);
        owner.answer(&first[0], Some(false));
    }
    let repeated = owner.calls_within(Duration::from_secs(1));
    assert_eq!(repeated, first);
    owner.answer(&first[0], Some(true));
    assert_eq!(
        owner.calls_within(Duration::from_secs(2)),
        Vec::<VmId>::new()
    );
}

/// The same with a new owner, which only knows that the call was to be made.
#[test]
fn a_refusal_frees_no_place_that_an_earlier_owner_may_have_taken() {
    let called = CalledVm {
        vm: vm(1),
        worker: None,
        has_begun: false,
    };
    let mut owner = Owner::new(Some(WaveProgress {
        first_seen_unix_ms: 100_000,
        called: vec![called],
        ..WaveProgress::default()
    }));
    for _ in 0..3 {
        assert_eq!(owner.calls_within(Duration::from_secs(1)), [vm(1)]);
        owner.answer(&vm(1), Some(false));
    }
}

/// A VM that the platform lists under maintenance is down for its wave, whatever the calls say.
#[test]
fn a_vm_listed_under_maintenance_confirms_the_call_and_takes_a_place() {
    let mut owner = Owner::new(None);
    let first = owner.calls_within(TICK * 2);
    owner.answer(&first[0], None);
    let index = (0..3)
        .find(|index| vm(*index) == first[0])
        .expect("a VM of the wave");
    owner.states[index] = VmState::Maintenance;
    assert_eq!(
        owner.calls_within(Duration::from_secs(3)),
        Vec::<VmId>::new()
    );
}

/// Without an unanswered call, a refusal is the truth: the VM stays in service.
#[test]
fn a_refused_first_call_frees_its_place() {
    let mut owner = Owner::new(None);
    let first = owner.calls_within(TICK * 2);
    owner.answer(&first[0], Some(false));
    assert_eq!(owner.calls_within(Duration::from_secs(1)).len(), 1);
}

/// A refusal for good also tells of the calls without an answer: no VM is kept out of service for them.
#[test]
fn an_invalid_order_ends_its_operation() {
    let mut owner = Owner::new(None);
    let first = owner.calls_within(TICK * 2);
    owner.answer(&first[0], None);
    owner.scheduler.vm_order_invalid(&first[0], owner.now);
    let next = owner.calls_within(Duration::from_secs(1));
    assert_eq!(next.len(), 1, "{next:?}");
}
