//! What leaves an evacuated availability zone ahead of its loss, and what stays.

mod model;
#[allow(dead_code, reason = "other test files use more of it")]
mod single_owner;

use std::time::Duration;

use model::{WORKER_CAPACITY, config, step, submission};
use rhubarbfall_core::AvailabilityZoneId;
use rhubarbfall_runs::scheduler::{
    Action, SchedulerSettings, StartOrder, StopOrder, VmRow, VmState, ZoneRuns,
};
use rhubarbfall_runs::{ActiveRun, RunEnd, RunEndKind, Step};
use single_owner::{Owner, running};

fn zone(name: &str) -> AvailabilityZoneId {
    name.parse().expect("valid availability zone name")
}

/// An owner with the runs on its workers, which make this progress.
struct Fleet {
    owner: Owner,
    workers: Vec<&'static str>,
    runs: Vec<StartOrder>,
    ends: Vec<(String, RunEnd)>,
    percent: u8,
    /// The highest number of tasks that ran nowhere after a step.
    most_absent: usize,
    stops: usize,
    /// The VMs for which moves were ordered.
    moved: Vec<String>,
}

impl Fleet {
    fn new(workers: &[(&'static str, &str)]) -> Self {
        Self::of(Owner::new(), workers)
    }

    fn of(mut owner: Owner, workers: &[(&'static str, &str)]) -> Self {
        for (worker, of) in workers {
            owner.list_in_zone(worker, of);
        }
        Self {
            owner,
            workers: workers.iter().map(|(worker, _)| *worker).collect(),
            runs: Vec::new(),
            ends: Vec::new(),
            percent: 100,
            most_absent: 0,
            stops: 0,
            moved: Vec::new(),
        }
    }

    fn submit(&mut self, number: u64, step: Step) {
        let now = self.owner.now;
        self.owner
            .scheduler
            .submit(submission(number, "labels", step), now);
    }

    /// Starts and stops what the owner orders, and lets all workers answer, for some steps of 100 ms.
    fn steps(&mut self, count: usize) {
        for _ in 0..count {
            let tasks = self.runs.len();
            self.owner.confirm_ownership();
            for action in self.owner.actions() {
                match action {
                    Action::Start(order) => {
                        self.owner.accept(&order);
                        self.runs.push(order);
                    }
                    Action::Stop(order) => self.stop(&order),
                    Action::Vm { vm, .. } => self.moved.push(vm.to_string()),
                    _ => {}
                }
            }
            if self.percent < 100 {
                // A run whose progress does not change counts as stalled.
                self.percent ^= 1;
            }
            self.most_absent = self.most_absent.max(tasks.saturating_sub(self.runs.len()));
            for worker in self.workers.clone() {
                self.answer(worker);
            }
        }
    }

    fn stop(&mut self, order: &StopOrder) {
        let is_it = |start: &&mut StartOrder| start.task == order.task && start.run == order.run;
        self.stops += 1;
        if let Some(start) = self.runs.extract_if(.., |start| is_it(&start)).next() {
            let end = RunEnd {
                number: self.ends.len() as u64 + 1,
                task: start.task.clone(),
                run: start.run,
                kind: RunEndKind::Stopped,
                checkpoint: Some("halfway".into()),
            };
            self.owner.confirm_stop(&start, 1);
            self.ends.push((start.worker.to_string(), end));
        }
    }

    fn answer(&mut self, worker: &str) {
        let of_worker = self
            .runs
            .iter()
            .filter(|start| start.worker.as_str() == worker);
        let active = of_worker.map(|start| ActiveRun {
            percent: self.percent,
            ..running(start)
        });
        let active = active.collect();
        let ended = self.ends.iter().filter(|(of, _)| of == worker);
        let ended = ended.map(|(_, end)| end.clone()).collect();
        self.owner.answer(worker, 1, active, ended);
    }

    fn runs_on(&self, worker: &str) -> usize {
        let of_worker = |start: &&StartOrder| start.worker.as_str() == worker;
        self.runs.iter().filter(of_worker).count()
    }

    fn reported(&mut self) -> Vec<ZoneRuns> {
        self.owner.scheduler.take_zone_runs()
    }
}

fn lasting(tasks: u32, cpu_millis: u64) -> Step {
    Step {
        is_long_running: true,
        max_unavailable: 1,
        ..step(tasks, cpu_millis)
    }
}

fn checkpointed(cpu_millis: u64) -> Step {
    Step {
        is_checkpointed: true,
        estimate: Duration::from_secs(20),
        ..step(1, cpu_millis)
    }
}

/// Long-running tasks that stay until the zone is lost are all away at once.
#[test]
fn long_running_tasks_leave_within_their_limit() {
    let mut fleet = Fleet::new(&[("w-a", "zone-a"), ("w-b", "zone-b")]);
    fleet.submit(1, lasting(3, 20_000));
    fleet.steps(3);
    assert_eq!(fleet.runs_on("w-a"), 3);
    fleet.owner.evacuate([zone("zone-a")]);
    fleet.most_absent = 0;
    fleet.steps(30);
    assert_eq!((fleet.runs_on("w-a"), fleet.runs_on("w-b")), (0, 3));
    assert_eq!((fleet.stops, fleet.most_absent), (3, 1));
    let empty = ZoneRuns {
        zone: zone("zone-a"),
        runs: 0,
    };
    assert_eq!(fleet.reported().last(), Some(&empty));
}

/// A task that is stopped and finds no room elsewhere is away for longer than the loss of its zone
/// would cost.
#[test]
fn nothing_is_stopped_to_wait() {
    let mut fleet = Fleet::new(&[("w-a", "zone-a"), ("w-b", "zone-b")]);
    fleet.submit(1, lasting(2, 24_000));
    fleet.steps(3);
    fleet.submit(2, lasting(1, 40_000));
    fleet.submit(3, checkpointed(20_000));
    fleet.steps(3);
    fleet.percent = 10;
    fleet.steps(1);
    fleet.percent = 100;
    assert_eq!((fleet.runs_on("w-a"), fleet.runs_on("w-b")), (2, 2));
    fleet.owner.evacuate([zone("zone-a")]);
    fleet.steps(20);
    assert_eq!(fleet.stops, 0);
    let reported = fleet.reported();
    assert_eq!(reported.last().map(|zone| zone.runs), Some(2));
    // Another worker of the other zone makes room for both.
    fleet.owner.list_in_zone("w-c", "zone-b");
    fleet.workers.push("w-c");
    fleet.steps(20);
    assert_eq!((fleet.runs_on("w-a"), fleet.runs_on("w-c")), (0, 2));
}

/// Long-running tasks whose pool has no room beside the zone: they stay until it is lost unless the pool
/// gets VMs of another zone ahead.
#[test]
fn pools_get_vms_of_other_zones_for_what_is_to_leave() {
    let mut fleet = Fleet::new(&[("w-a", "zone-a"), ("w-b", "zone-b")]);
    let spare = |vm: &str, of: &str| VmRow {
        vm: vm.parse().expect("valid VM name"),
        pool: "spare".parse().expect("valid service name"),
        state: VmState::Up,
        worker: None,
        availability_zone: Some(zone(of)),
        capacity: WORKER_CAPACITY,
        labels: Vec::new(),
    };
    let in_use = |vm: &str, worker: &str, of: &str| VmRow {
        pool: "labels".parse().expect("valid service name"),
        worker: worker.parse().ok(),
        ..spare(vm, of)
    };
    let rows = vec![
        in_use("vm-a", "w-a", "zone-a"),
        in_use("vm-b", "w-b", "zone-b"),
        spare("vm-1", "zone-a"),
        spare("vm-2", "zone-b"),
    ];
    let now = fleet.owner.now;
    fleet.owner.scheduler.vms_listed(rows, now, now);
    // Each worker has a task, and room for a third of another one.
    fleet.submit(1, lasting(1, 44_000));
    fleet.submit(2, lasting(1, 44_000));
    fleet.steps(5);
    assert_eq!(fleet.moved, Vec::<String>::new());
    fleet.owner.evacuate([zone("zone-a")]);
    fleet.steps(5);
    assert_eq!((fleet.stops, fleet.moved), (0, vec!["vm-2".to_owned()]));
}

/// Two tasks of different submissions and room for one of them.
#[test]
fn no_more_tasks_leave_than_there_is_room_for() {
    let mut fleet = Fleet::new(&[("w-a", "zone-a")]);
    fleet.submit(1, lasting(1, 30_000));
    fleet.submit(2, lasting(1, 30_000));
    fleet.steps(3);
    fleet.owner.list_in_zone("w-b", "zone-b");
    fleet.workers.push("w-b");
    fleet.submit(3, lasting(1, 34_000));
    fleet.steps(3);
    assert_eq!(fleet.runs_on("w-b"), 1);
    fleet.owner.evacuate([zone("zone-a")]);
    fleet.steps(20);
    assert_eq!(fleet.stops, 1);
    assert_eq!((fleet.runs_on("w-a"), fleet.runs_on("w-b")), (1, 2));
}

/// Two tasks of a step of which a worker may hold one, and one such worker.
#[test]
fn room_counts_the_limit_of_a_step_for_each_worker() {
    let mut fleet = Fleet::new(&[("w-a", "zone-a"), ("w-a1", "zone-a")]);
    let spread = Step {
        max_unavailable: 2,
        max_per_worker: Some(1),
        ..lasting(2, 10_000)
    };
    fleet.submit(1, spread);
    fleet.steps(3);
    fleet.owner.list_in_zone("w-b", "zone-b");
    fleet.workers.push("w-b");
    fleet.owner.evacuate([zone("zone-a")]);
    fleet.steps(20);
    assert_eq!((fleet.stops, fleet.runs_on("w-b")), (1, 1));
}

/// A customer whose limit was lowered below what it runs: a task that is stopped may not start again.
#[test]
fn nothing_of_a_customer_beyond_its_limit_leaves() {
    let mut fleet = Fleet::new(&[("w-a", "zone-a"), ("w-b", "zone-b")]);
    fleet.submit(1, lasting(2, 20_000));
    fleet.steps(3);
    let mut config = config(&["labels", "spare"]);
    config.version = 2;
    config.customers[0].limit.cpu_millis = 30_000;
    fleet.owner.scheduler.set_config(config.into());
    fleet.owner.evacuate([zone("zone-a")]);
    fleet.steps(20);
    assert_eq!((fleet.stops, fleet.runs_on("w-a")), (0, 2));
}

/// A short task that is stopped without a checkpoint has worked for nothing; one with a checkpoint
/// that is nearly done loses more by the stop than it would by staying.
#[test]
fn only_checkpointed_tasks_with_long_to_go_leave_and_only_once() {
    let mut fleet = Fleet::new(&[("w-a", "zone-a"), ("w-b", "zone-b")]);
    fleet.percent = 10;
    fleet.submit(1, checkpointed(10_000));
    fleet.submit(2, step(1, 10_000));
    fleet.steps(3);
    fleet.submit(
        3,
        Step {
            estimate: Duration::from_secs(3),
            ..checkpointed(10_000)
        },
    );
    fleet.steps(3);
    assert_eq!(fleet.runs_on("w-a"), 3);
    fleet.owner.evacuate([zone("zone-a")]);
    fleet.steps(10);
    assert_eq!((fleet.runs_on("w-a"), fleet.runs_on("w-b")), (2, 1));
    let moved = fleet.runs.last().expect("a start");
    assert_eq!(moved.checkpoint.as_deref(), Some("halfway"));
    // The zone to which it went is evacuated too, and a third one has room.
    fleet.owner.list_in_zone("w-c", "zone-c");
    fleet.workers.push("w-c");
    fleet.owner.evacuate([zone("zone-a"), zone("zone-b")]);
    fleet.steps(10);
    assert_eq!((fleet.stops, fleet.runs_on("w-c")), (1, 0));
}

/// A gang of which one member leaves: the others would end with it, and wait for it in vain.
#[test]
fn a_gang_leaves_whole_or_not_at_all() {
    let mut fleet = Fleet::new(&[("w-a", "zone-a"), ("w-b", "zone-b")]);
    fleet.percent = 10;
    let gang = Step {
        is_gang: true,
        tasks: 2,
        ..checkpointed(40_000)
    };
    fleet.submit(1, gang);
    fleet.steps(3);
    assert_eq!((fleet.runs_on("w-a"), fleet.runs_on("w-b")), (1, 1));
    fleet.owner.evacuate([zone("zone-a")]);
    fleet.steps(10);
    assert_eq!(fleet.stops, 0);
    fleet.owner.list_in_zone("w-c", "zone-c");
    fleet.workers.push("w-c");
    fleet.steps(10);
    assert_eq!(fleet.stops, 2);
    assert_eq!((fleet.runs_on("w-b"), fleet.runs_on("w-c")), (1, 1));
}

/// The zone that would take the tasks is cut off: nothing of the evacuated zone may be stopped for it.
#[test]
fn nothing_leaves_for_a_zone_that_is_cut_off() {
    let mut fleet = Fleet::new(&[("w-a", "zone-a"), ("w-b", "zone-b")]);
    fleet.submit(1, lasting(2, 20_000));
    fleet.steps(3);
    fleet.workers.retain(|worker| *worker != "w-b");
    fleet.steps(20);
    fleet.owner.evacuate([zone("zone-a")]);
    fleet.steps(20);
    assert_eq!((fleet.stops, fleet.runs_on("w-a")), (0, 2));
    fleet.workers.push("w-b");
    fleet.steps(20);
    assert_eq!(fleet.runs_on("w-b"), 2);
}

/// The evacuated zone itself is cut off: its tasks start elsewhere only once their leases have lapsed.
#[test]
fn tasks_of_an_evacuated_zone_that_is_cut_off_start_once_elsewhere() {
    let mut fleet = Fleet::new(&[("w-a", "zone-a"), ("w-b", "zone-b")]);
    fleet.submit(1, lasting(2, 20_000));
    fleet.steps(3);
    fleet.workers.retain(|worker| *worker != "w-a");
    fleet.steps(14);
    fleet.owner.evacuate([zone("zone-a")]);
    fleet.steps(7);
    assert_eq!((fleet.stops, fleet.runs_on("w-b")), (0, 0));
    fleet.steps(20);
    assert_eq!((fleet.stops, fleet.runs_on("w-b")), (0, 2));
}

/// With every zone evacuated nothing has room elsewhere: all of it goes on.
#[test]
fn nothing_leaves_when_all_zones_are_evacuated() {
    let mut fleet = Fleet::new(&[("w-a", "zone-a"), ("w-b", "zone-b")]);
    fleet.submit(1, lasting(2, 20_000));
    fleet.steps(3);
    fleet.owner.evacuate([zone("zone-a"), zone("zone-b")]);
    fleet.steps(20);
    assert_eq!((fleet.stops, fleet.runs_on("w-a")), (0, 2));
    // The request is withdrawn: the zone's runs are no longer counted.
    fleet.owner.evacuate([]);
    fleet.steps(1);
    let reported = fleet.reported();
    assert!(reported.iter().rev().take(2).all(|zone| zone.runs == 0));
}

/// A task that is stopped for room that is held for another one finds none, and is away until that one
/// runs.
#[test]
fn nothing_is_stopped_for_room_that_is_held() {
    let lasting_for = |seconds, cpu_millis| Step {
        estimate: Duration::from_secs(seconds),
        ..step(1, cpu_millis)
    };
    let settings = SchedulerSettings {
        placement_lookahead: true,
        ..SchedulerSettings::default()
    };
    let mut fleet = Fleet::of(Owner::with_settings(settings), &[("w-a", "zone-a")]);
    fleet.submit(1, checkpointed(15_000));
    fleet.submit(2, lasting_for(20, 30_000));
    fleet.steps(3);
    fleet.owner.list_in_zone("w-b", "zone-b");
    fleet.workers.push("w-b");
    fleet.submit(3, lasting_for(5, 20_000));
    fleet.steps(3);
    // The first room for a whole VM is on the second worker; the small task takes none of it.
    fleet.submit(4, lasting(1, WORKER_CAPACITY.cpu_millis));
    fleet.submit(5, lasting_for(20, 1_000));
    fleet.percent = 10;
    fleet.steps(3);
    assert_eq!((fleet.runs_on("w-a"), fleet.runs_on("w-b")), (3, 1));
    fleet.owner.evacuate([zone("zone-a")]);
    fleet.steps(20);
    assert_eq!((fleet.runs_on("w-a"), fleet.stops), (3, 0));
    // The place is not needed any more once the task has another one.
    fleet.owner.list_in_zone("w-c", "zone-b");
    fleet.workers.push("w-c");
    fleet.steps(20);
    assert_eq!(fleet.runs_on("w-c"), 1);
    assert_eq!((fleet.runs_on("w-a"), fleet.runs_on("w-b")), (2, 2));
}
