//! Availability zones that operators evacuate: which tasks start there, and which VMs move.

mod model;
#[allow(dead_code, reason = "other test files use more of it")]
mod single_owner;

use std::time::Duration;

use model::{WORKER_CAPACITY, step, submission};
use rhubarbfall_core::{AvailabilityZoneId, RowVersion, VmId};
use rhubarbfall_runs::scheduler::{
    Action, SchedulerSettings, StartOrder, VmOperation, VmRow, VmState, Wave,
};
use rhubarbfall_runs::{JobState, PlacedRun};
use single_owner::{Owner, id, running};

const EVACUATION_BOUND: Duration = Duration::from_secs(5);

/// A view of the operators' requests of this age leaves time for the delivery of a start.
const MAX_VIEW_AGE: Duration = Duration::from_millis(3_400);

fn zone(name: &str) -> AvailabilityZoneId {
    name.parse().expect("valid availability zone name")
}

/// An owner with a worker in each of two zones that has just read the operators' requests.
fn owner_of_two_zones() -> Owner {
    let settings = SchedulerSettings {
        evacuation_bound: Some(EVACUATION_BOUND),
        ..SchedulerSettings::default()
    };
    let mut owner = Owner::with_settings(settings);
    owner.scheduler.confirm_operator_view(owner.now);
    owner.list_in_zone("w-a", "zone-a");
    owner.list_in_zone("w-b", "zone-b");
    owner
}

fn is_on(start: &StartOrder, worker: &str) -> bool {
    start.worker.as_str() == worker
}

/// Submits a task that needs most of a worker.
fn submit(owner: &mut Owner, number: u64) {
    let work = submission(number, "labels", step(1, 40_000));
    owner.scheduler.submit(work, owner.now);
}

/// Lets the workers answer, and returns the workers on which tasks start.
fn started_on(owner: &mut Owner) -> Vec<String> {
    for worker in ["w-a", "w-b"] {
        let has_run = |placed: &str| placed == worker;
        if !owner.reserved().iter().any(|(id, _)| has_run(id.as_str())) {
            owner.answer(worker, 1, Vec::new(), Vec::new());
        }
    }
    let starts = owner.starts();
    starts
        .iter()
        .map(|start| start.worker.to_string())
        .collect()
}

#[test]
fn tasks_start_in_the_other_zone_until_the_zone_is_taken_back() {
    let mut owner = owner_of_two_zones();
    owner.evacuate([zone("zone-a")]);
    submit(&mut owner, 1);
    submit(&mut owner, 2);
    assert_eq!(started_on(&mut owner), ["w-b"]);
    assert_eq!(started_on(&mut owner), Vec::<String>::new());
    owner.evacuate([]);
    assert_eq!(started_on(&mut owner), ["w-a"]);
}

/// A request that is read between the placement of a task and the store's answer: the start would be
/// sent after the request is in force.
#[test]
fn a_placement_that_is_being_stored_does_not_start_in_an_evacuated_zone() {
    let mut owner = owner_of_two_zones();
    owner.evacuate([zone("zone-b")]);
    submit(&mut owner, 1);
    owner.scheduler.tick(owner.now, owner.now.as_millis());
    let batch = owner.scheduler.next_batch().expect("a placement");
    owner.evacuate([zone("zone-a")]);
    owner
        .scheduler
        .batch_stored(&batch, RowVersion::new(1), owner.now);
    let is_start = |action: &Action| matches!(action, Action::Start(_));
    assert!(!owner.scheduler.take_actions().iter().any(is_start));
    assert_eq!(started_on(&mut owner), ["w-b"]);
}

/// An owner that the store's feed does not reach: a request may be in force that it does not know.
#[test]
fn nothing_starts_on_an_outdated_view_of_the_requests() {
    let mut owner = owner_of_two_zones();
    owner.now = owner.now + MAX_VIEW_AGE;
    submit(&mut owner, 1);
    assert_eq!(started_on(&mut owner), Vec::<String>::new());
    owner.scheduler.confirm_operator_view(owner.now);
    assert_eq!(started_on(&mut owner).len(), 1);
}

/// An owner that has taken over before it has read the operators' requests.
#[test]
fn nothing_starts_before_the_first_view_of_the_requests() {
    let settings = SchedulerSettings {
        evacuation_bound: Some(EVACUATION_BOUND),
        ..SchedulerSettings::default()
    };
    let mut owner = Owner::with_settings(settings);
    owner.list_in_zone("w-a", "zone-a");
    submit(&mut owner, 1);
    assert_eq!(started_on(&mut owner), Vec::<String>::new());
}

#[test]
fn without_a_bound_no_view_is_needed() {
    let mut owner = Owner::new();
    owner.list_in_zone("w-a", "zone-a");
    submit(&mut owner, 1);
    assert_eq!(started_on(&mut owner), ["w-a"]);
}

#[test]
fn with_all_zones_evacuated_nothing_starts() {
    let mut owner = owner_of_two_zones();
    let zones = ["zone-a", "zone-b", "zone-unknown"].map(zone);
    owner.evacuate(zones);
    submit(&mut owner, 1);
    assert_eq!(started_on(&mut owner), Vec::<String>::new());
    owner.evacuate([]);
    assert_eq!(started_on(&mut owner).len(), 1);
}

/// VMs of the spare pool in both zones: those of the evacuated zone would give no room.
#[test]
fn no_vm_of_an_evacuated_zone_moves_to_a_pool() {
    let mut owner = owner_of_two_zones();
    owner.evacuate([zone("zone-a")]);
    let spare = |vm: &str, of: &str| VmRow {
        vm: vm.parse().expect("valid VM name"),
        pool: "spare".parse().expect("valid service name"),
        state: VmState::Up,
        worker: None,
        availability_zone: Some(zone(of)),
        capacity: WORKER_CAPACITY,
        labels: Vec::new(),
    };
    let rows = vec![spare("vm-1", "zone-a"), spare("vm-2", "zone-b")];
    owner.scheduler.vms_listed(rows, owner.now, owner.now);
    for number in 1..9 {
        submit(&mut owner, number);
    }
    let mut moved = Vec::new();
    for _ in 0..3 {
        for action in owner.actions() {
            if let Action::Vm { vm, .. } = action {
                moved.push(vm.to_string());
            }
        }
    }
    assert_eq!(moved, ["vm-2"]);
    assert!(owner.scheduler.worker(&id("w-a")).is_some());
}

/// An order that the network holds back: it may reach its worker after the request is in force, and
/// the worker refuses it only if its lease is over.
#[test]
fn no_start_carries_a_lease_beyond_the_bound() {
    let mut owner = owner_of_two_zones();
    let viewed_at = owner.now;
    owner.now = owner.now + MAX_VIEW_AGE.saturating_sub(Duration::from_millis(100));
    for worker in ["w-a", "w-b"] {
        owner.answer(worker, 1, Vec::new(), Vec::new());
    }
    submit(&mut owner, 1);
    let starts = owner.starts();
    assert_eq!(starts.len(), 1);
    let bound = (viewed_at + EVACUATION_BOUND).as_millis();
    assert!(starts[0].lease_deadline_ms < bound);
    assert!(starts[0].lease_deadline_ms > owner.now.as_millis() + 1_000);
}

/// A view that becomes too old between the placement of a task and the store's answer.
#[test]
fn a_placement_that_is_stored_late_does_not_start_on_an_outdated_view() {
    let mut owner = owner_of_two_zones();
    submit(&mut owner, 1);
    owner.scheduler.tick(owner.now, owner.now.as_millis());
    let batch = owner.scheduler.next_batch().expect("a placement");
    owner.now = owner.now + MAX_VIEW_AGE + Duration::from_millis(1);
    for worker in ["w-a", "w-b"] {
        owner.answer(worker, 1, Vec::new(), Vec::new());
    }
    owner
        .scheduler
        .batch_stored(&batch, RowVersion::new(1), owner.now);
    assert_eq!(started_on(&mut owner), Vec::<String>::new());
    owner.scheduler.confirm_operator_view(owner.now);
    assert_eq!(started_on(&mut owner).len(), 1);
}

/// A takeover while a start is on its way to a zone that is evacuated meanwhile: the new owner has to
/// repeat the task elsewhere, once the worker shows that it does not run it.
#[test]
fn a_new_owner_repeats_no_start_in_an_evacuated_zone() {
    let settings = SchedulerSettings {
        evacuation_bound: Some(EVACUATION_BOUND),
        ..SchedulerSettings::default()
    };
    let mut owner = Owner::with_settings(settings);
    let placed = PlacedRun {
        worker: id("w-a"),
        incarnation_unix_ms: 1,
        run: 1,
    };
    let stored = single_owner::stored_job(JobState::Active, placed);
    owner
        .scheduler
        .recover([stored], owner.now + Duration::from_secs(3), owner.now, 0);
    owner.list_in_zone("w-a", "zone-a");
    owner.list_in_zone("w-b", "zone-b");
    assert_eq!(started_on(&mut owner), Vec::<String>::new());
    owner.evacuate([zone("zone-a")]);
    owner.scheduler.confirm_operator_view(owner.now);
    let starts = owner.starts();
    assert_eq!(starts.len(), 1);
    assert_eq!((starts[0].worker.as_str(), starts[0].run), ("w-b", 2));
}

#[test]
fn with_two_zones_evacuated_tasks_start_in_the_third() {
    let mut owner = owner_of_two_zones();
    owner.list_in_zone("w-c", "zone-c");
    owner.evacuate([zone("zone-b"), zone("zone-a")]);
    for number in 1..4 {
        submit(&mut owner, number);
    }
    assert_eq!(started_on(&mut owner), ["w-c"]);
    // One zone is taken back while the other one stays evacuated.
    owner.evacuate([zone("zone-b")]);
    assert_eq!(started_on(&mut owner), ["w-a"]);
    assert_eq!(started_on(&mut owner), Vec::<String>::new());
}

/// A zone whose VMs are all cold when it is taken back: work that waited would go to all of them at
/// once.
#[test]
fn workers_of_a_zone_that_is_taken_back_open_one_after_the_other() {
    let mut owner = owner_of_two_zones();
    let workers = ["w-a", "w-a1", "w-a2", "w-a3"];
    for worker in &workers[1..] {
        owner.list_in_zone(worker, "zone-a");
    }
    owner.evacuate([zone("zone-a"), zone("zone-b")]);
    owner.now = owner.now + Duration::from_secs(20);
    for number in 1..5 {
        submit(&mut owner, number);
    }
    owner.evacuate([zone("zone-b")]);
    let mut started_after_ms = Vec::new();
    let mut started = Vec::new();
    let taken_back_at = owner.now;
    for _ in 0..40 {
        owner.confirm_ownership();
        owner.scheduler.confirm_operator_view(owner.now);
        for worker in workers {
            let of_worker = started.iter().filter(|start| is_on(start, worker));
            let runs = of_worker.map(running).collect();
            owner.answer(worker, 1, runs, Vec::new());
        }
        for start in owner.starts() {
            owner.accept(&start);
            started_after_ms.push(owner.now.since(taken_back_at).as_millis());
            started.push(start);
        }
    }
    // A quarter of the workers opens every 750 ms; the owner looks every 100 ms.
    assert_eq!(started_after_ms, [100, 800, 1_500, 2_300]);
}

/// A request that is withdrawn at once has moved nothing, so that the zone is taken back as fast.
#[test]
fn a_request_that_comes_and_goes_costs_no_time() {
    let mut owner = owner_of_two_zones();
    owner.list_in_zone("w-a1", "zone-a");
    owner.evacuate([zone("zone-a")]);
    submit(&mut owner, 1);
    submit(&mut owner, 2);
    submit(&mut owner, 3);
    assert_eq!(started_on(&mut owner), ["w-b"]);
    owner.now = owner.now + Duration::from_millis(100);
    owner.evacuate([]);
    assert_eq!(started_on(&mut owner).len(), 2);
}

/// A VM that was on its way to a pool when its zone was evacuated: it would count as the pool's supply
/// and never do work there.
#[test]
fn a_vm_on_its_way_in_an_evacuated_zone_counts_for_no_pool() {
    let mut owner = owner_of_two_zones();
    owner.evacuate([zone("zone-b")]);
    let spare = |vm: &str, of: &str| VmRow {
        vm: vm.parse().expect("valid VM name"),
        pool: "spare".parse().expect("valid service name"),
        state: VmState::Up,
        worker: None,
        availability_zone: Some(zone(of)),
        capacity: WORKER_CAPACITY,
        labels: Vec::new(),
    };
    let list = |owner: &mut Owner, vms: &[(&str, &str)]| {
        let rows = vms.iter().map(|(vm, of)| spare(vm, of)).collect();
        owner.scheduler.vms_listed(rows, owner.now, owner.now);
    };
    let moved = |owner: &mut Owner| {
        let actions = owner.actions().into_iter();
        let vms = actions.filter_map(|action| match action {
            Action::Vm { vm, .. } => Some(vm.to_string()),
            _ => None,
        });
        vms.collect::<Vec<String>>()
    };
    list(&mut owner, &[("vm-1", "zone-a")]);
    submit(&mut owner, 1);
    submit(&mut owner, 2);
    let vm_1 = "vm-1".parse().expect("valid VM name");
    assert_eq!(moved(&mut owner), ["vm-1"]);
    owner.scheduler.vm_answered(&vm_1, Some(true), owner.now);
    assert_eq!(moved(&mut owner), Vec::<String>::new());
    // The zone of the VM on its way, and of the worker with the first task, is evacuated.
    owner.evacuate([zone("zone-a"), zone("zone-b")]);
    list(&mut owner, &[("vm-1", "zone-a"), ("vm-2", "zone-c")]);
    assert_eq!(moved(&mut owner), ["vm-2"]);
}

/// Upkeep in an evacuated zone is not held up: nothing new starts there anyway.
#[test]
fn a_wave_goes_on_in_an_evacuated_zone() {
    let mut owner = owner_of_two_zones();
    owner.evacuate([zone("zone-a")]);
    let vm: VmId = "vm-1".parse().expect("valid VM name");
    let wave = Wave {
        id: "1".parse().expect("valid wave name"),
        vms: vec![vm.clone()],
        duration: Duration::from_secs(20),
        max_down: 1,
        version: RowVersion::new(1),
    };
    owner.scheduler.wave_requested(wave, None, owner.now, 0);
    let row = VmRow {
        vm: vm.clone(),
        pool: "labels".parse().expect("valid service name"),
        state: VmState::Up,
        worker: Some(id("w-a")),
        availability_zone: None,
        capacity: WORKER_CAPACITY,
        labels: Vec::new(),
    };
    owner.scheduler.vms_listed(vec![row], owner.now, owner.now);
    let mut maintained = Vec::new();
    for _ in 0..3 {
        for action in owner.actions() {
            if let Action::Vm {
                vm,
                operation: VmOperation::Maintain(_),
            } = action
            {
                maintained.push(vm);
            }
        }
    }
    assert_eq!(maintained, [vm]);
}
