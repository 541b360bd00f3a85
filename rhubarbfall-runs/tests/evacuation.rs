//! Availability zones that operators evacuate: which tasks start there, and which VMs move.

mod model;
#[allow(dead_code, reason = "other test files use more of it")]
mod single_owner;

use std::time::Duration;

use model::{WORKER_CAPACITY, step, submission};
use rhubarbfall_core::{AvailabilityZoneId, RowVersion};
use rhubarbfall_runs::scheduler::{Action, SchedulerSettings, VmRow, VmState};
use single_owner::{Owner, id};

const MAX_VIEW_AGE: Duration = Duration::from_secs(3);

fn zone(name: &str) -> AvailabilityZoneId {
    name.parse().expect("valid availability zone name")
}

/// An owner with a worker in each of two zones that has just read the operators' requests.
fn owner_of_two_zones() -> Owner {
    let settings = SchedulerSettings {
        max_operator_view_age: Some(MAX_VIEW_AGE),
        ..SchedulerSettings::default()
    };
    let mut owner = Owner::with_settings(settings);
    owner.scheduler.confirm_operator_view(owner.now);
    owner.list_in_zone("w-a", "zone-a");
    owner.list_in_zone("w-b", "zone-b");
    owner
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
    owner.scheduler.set_evacuated_zones([zone("zone-a")]);
    submit(&mut owner, 1);
    submit(&mut owner, 2);
    assert_eq!(started_on(&mut owner), ["w-b"]);
    assert_eq!(started_on(&mut owner), Vec::<String>::new());
    owner.scheduler.set_evacuated_zones([]);
    assert_eq!(started_on(&mut owner), ["w-a"]);
}

/// A request that is read between the placement of a task and the store's answer: the start would be
/// sent after the request is in force.
#[test]
fn a_placement_that_is_being_stored_does_not_start_in_an_evacuated_zone() {
    let mut owner = owner_of_two_zones();
    owner.scheduler.set_evacuated_zones([zone("zone-b")]);
    submit(&mut owner, 1);
    owner.scheduler.tick(owner.now, owner.now.as_millis());
    let batch = owner.scheduler.next_batch().expect("a placement");
    owner.scheduler.set_evacuated_zones([zone("zone-a")]);
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
        max_operator_view_age: Some(MAX_VIEW_AGE),
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
    owner.scheduler.set_evacuated_zones(zones);
    submit(&mut owner, 1);
    assert_eq!(started_on(&mut owner), Vec::<String>::new());
    owner.scheduler.set_evacuated_zones([]);
    assert_eq!(started_on(&mut owner).len(), 1);
}

/// VMs of the spare pool in both zones: those of the evacuated zone would give no room.
#[test]
fn no_vm_of_an_evacuated_zone_moves_to_a_pool() {
    let mut owner = owner_of_two_zones();
    owner.scheduler.set_evacuated_zones([zone("zone-a")]);
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
