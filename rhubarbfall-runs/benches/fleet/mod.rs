//! A fleet for the benches: workers, store and network answer at once and take no time.
#![allow(dead_code, reason = "each bench uses a part of the fleet")]

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use litemap::LiteMap;
use rhubarbfall_core::{BootTime, RowVersion, WorkerId};
use rhubarbfall_runs::scheduler::{Action, SchedulerSettings, StartOrder, VmRow, VmState};
use rhubarbfall_runs::{
    ActiveRun, LeaseRenewalResponse, Resources, RunEnd, RunEndKind, Scheduler, StartOutcome,
    WorkerReport,
};

#[path = "../../tests/model/inputs.rs"]
mod inputs;

pub(crate) use inputs::WORKER_CAPACITY;
use inputs::{config, step, submission};

pub(crate) const QUEUES: [&str; 4] = ["q-a", "q-b", "q-c", "q-d"];

pub(crate) const TASK_DURATION: Duration = Duration::from_millis(640);

pub(crate) const TASKS: u32 = 12;
pub(crate) const TASK_CPU_MILLIS: u64 = 8_900;

#[derive(Debug, Default)]
struct BenchWorker {
    running: VecDeque<(BootTime, StartOrder)>,
    ends: Vec<RunEnd>,
    next_end: u64,
}

pub(crate) struct Fleet {
    pub(crate) scheduler: Scheduler,
    pub(crate) now: BootTime,
    pub(crate) ids: Vec<WorkerId>,
    workers: LiteMap<WorkerId, BenchWorker>,
    rows: u64,
    pub(crate) submitted: u64,
    pub(crate) starts: u64,
    pub(crate) spent: Duration,
}

impl Fleet {
    pub(crate) fn new(count: usize) -> Self {
        let now = BootTime::new(Duration::from_secs(100));
        let mut names = QUEUES.to_vec();
        names.push("spare");
        let mut scheduler = Scheduler::new(SchedulerSettings::default());
        scheduler.set_config(config(&names).into());
        let mut fleet = Self {
            scheduler,
            now,
            ids: Vec::new(),
            workers: LiteMap::new(),
            rows: 0,
            submitted: 0,
            starts: 0,
            spent: Duration::ZERO,
        };
        let mut vms = Vec::new();
        for index in 0..count {
            let id: WorkerId = format!("w-{index:05}").parse().expect("valid worker name");
            let pool = QUEUES[index % QUEUES.len()];
            let report = WorkerReport {
                id: id.clone(),
                address: "127.0.0.1:1".parse().expect("valid address"),
                service: pool.parse().expect("valid service name"),
                vm: None,
                availability_zone: "zone-a".parse().expect("valid availability zone name"),
                capacity: WORKER_CAPACITY,
                labels: vec!["a".into(), "r1".into()],
                rack: Some("r1".parse().expect("valid rack name")),
                is_draining: false,
                incarnation_unix_ms: 1,
            };
            fleet.scheduler.worker_listed(report, now);
            vms.push(VmRow {
                vm: format!("vm-{index:05}").parse().expect("valid VM name"),
                pool: pool.parse().expect("valid service name"),
                state: VmState::Up,
                worker: Some(id.clone()),
                availability_zone: None,
                capacity: WORKER_CAPACITY,
                labels: Vec::new(),
            });
            fleet.workers.insert(id.clone(), BenchWorker::default());
            fleet.ids.push(id);
        }
        fleet.scheduler.vms_listed(vms, now, now);
        for index in 0..count {
            fleet.renew(index);
        }
        fleet
    }

    /// Calls the scheduler and counts the time that it takes.
    pub(crate) fn decide<T>(&mut self, change: impl FnOnce(&mut Scheduler, BootTime) -> T) -> T {
        let began_at = Instant::now();
        let result = change(&mut self.scheduler, self.now);
        self.spent += began_at.elapsed();
        result
    }

    pub(crate) fn renew(&mut self, index: usize) {
        let id = self.ids[index].clone();
        let now = self.now;
        let order = self.decide(|scheduler, now| scheduler.lease_renewal_request(&id, now));
        let Some(order) = order else { return };
        let worker = self.workers.get_mut(&id).expect("known worker");
        worker.ends.retain(|end| end.number > order.acknowledged);
        while worker.running.front().is_some_and(|(end, _)| *end <= now) {
            let Some((_, run)) = worker.running.pop_front() else {
                break;
            };
            worker.next_end += 1;
            worker.ends.push(RunEnd {
                number: worker.next_end,
                task: run.task,
                run: run.run,
                kind: RunEndKind::Done,
                checkpoint: None,
            });
        }
        let running = worker.running.iter().map(|(_, run)| ActiveRun {
            task: run.task.clone(),
            run: run.run,
            checkpoint: None,
            percent: 50,
            tail_ms_or_cpu_millis: None,
        });
        let answer = LeaseRenewalResponse {
            clock_ms: now.as_millis(),
            incarnation_unix_ms: 1,
            running: running.collect(),
            ended: worker.ends.clone(),
            may_have_more_ends: false,
        };
        self.decide(|scheduler, now| scheduler.lease_renewal_answered(&id, now, &answer, now));
    }

    pub(crate) fn act(&mut self) {
        let actions = self.decide(|scheduler, _| scheduler.take_actions());
        for action in actions {
            match action {
                Action::Start(order) => {
                    self.starts += 1;
                    let (end, now) = (self.now + TASK_DURATION, self.now);
                    self.decide(|scheduler, _| {
                        let (task, worker) = (&order.task, &order.worker);
                        let outcome = StartOutcome::Accepted;
                        scheduler.start_answered(task, worker, order.run, outcome, now);
                    });
                    if let Some(worker) = self.workers.get_mut(&order.worker) {
                        worker.running.push_back((end, order));
                    }
                }
                Action::Vm { vm, .. } => {
                    self.decide(|scheduler, now| scheduler.vm_answered(&vm, Some(false), now));
                }
                Action::Stop(_) | Action::Pace(_) | Action::Advise { .. } => {}
            }
        }
    }

    /// Submits a job of [`TASKS`] tasks to one of the queues.
    pub(crate) fn submit(&mut self, queue: usize) {
        self.submitted += 1;
        let mut step = step(TASKS, TASK_CPU_MILLIS);
        step.estimate = TASK_DURATION;
        step.demand = Resources {
            memory_mb: 1_000,
            ..step.demand
        };
        let submission = submission(self.submitted, QUEUES[queue], step);
        self.decide(|scheduler, now| scheduler.submit(submission, now));
    }

    /// Stores the next batch, and returns whether there was one.
    pub(crate) fn store(&mut self) -> bool {
        let Some(batch) = self.decide(|scheduler, _| scheduler.next_batch()) else {
            return false;
        };
        self.rows += 1;
        let version = RowVersion::new(self.rows);
        self.decide(|scheduler, now| scheduler.batch_stored(&batch, version, now));
        true
    }
}
