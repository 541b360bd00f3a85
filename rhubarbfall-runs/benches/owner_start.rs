//! Processor time that an owner's decisions take for each start, at different numbers of workers.
//!
//! Load grows with the workers: a queue in its surge asks for more than its pool holds, so that
//! submissions wait. Workers, store and network answer at once and take no time. Prints one row for
//! each size; ratios between sizes matter, not the times themselves.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use litemap::LiteMap;
use rhubarbfall_core::{BootTime, RowVersion, WorkerId};
use rhubarbfall_runs::scheduler::{Action, SchedulerSettings, StartOrder, VmRow, VmState};
use rhubarbfall_runs::{
    ActiveRun, LeaseRenewalResponse, Resources, RunEnd, RunEndKind, Scheduler, StartOutcome,
    WorkerReport,
};

#[path = "../tests/model/inputs.rs"]
mod inputs;

use inputs::{WORKER_CAPACITY, config, step, submission};

const WORKERS: [usize; 4] = [50, 350, 1_100, 2_900];

const QUEUES: [&str; 4] = ["q-a", "q-b", "q-c", "q-d"];

/// The time between two ticks of a busy owner.
const TICK: Duration = Duration::from_millis(12);

/// The simulated time.
const DURATION: Duration = Duration::from_secs(6);

const TASK_DURATION: Duration = Duration::from_millis(640);

/// The interval at which each worker reports what has ended.
const RENEWAL_TICKS: usize = 8;

const TASKS: u32 = 12;
const TASK_CPU_MILLIS: u64 = 8_900;

/// What a surging queue asks for, as a multiple of what its pool can do.
const SURGE_FACTOR: f64 = 1.5;

/// What another queue asks for, as a multiple of what its pool can do.
const CALM_FACTOR: f64 = 0.1;

#[derive(Debug, Default)]
struct BenchWorker {
    running: VecDeque<(BootTime, StartOrder)>,
    ends: Vec<RunEnd>,
    next_end: u64,
}

struct Fleet {
    scheduler: Scheduler,
    now: BootTime,
    ids: Vec<WorkerId>,
    workers: LiteMap<WorkerId, BenchWorker>,
    rows: u64,
    submitted: u64,
    starts: u64,
    spent: Duration,
}

impl Fleet {
    fn new(count: usize) -> Self {
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
    fn decide<T>(&mut self, change: impl FnOnce(&mut Scheduler, BootTime) -> T) -> T {
        let began_at = Instant::now();
        let result = change(&mut self.scheduler, self.now);
        self.spent += began_at.elapsed();
        result
    }

    fn renew(&mut self, index: usize) {
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

    fn submit(&mut self, load: &mut [f64], surging: usize) {
        let pool = self.ids.len() as f64 / QUEUES.len() as f64;
        let tasks_per_worker = (WORKER_CAPACITY.cpu_millis / TASK_CPU_MILLIS) as f64;
        let jobs_per_tick =
            pool * tasks_per_worker * TICK.div_duration_f64(TASK_DURATION) / f64::from(TASKS);
        for (index, queue) in QUEUES.iter().enumerate() {
            let factor = if index == surging {
                SURGE_FACTOR
            } else {
                CALM_FACTOR
            };
            load[index] += jobs_per_tick * factor;
            while load[index] >= 1.0 {
                load[index] -= 1.0;
                self.submitted += 1;
                let mut step = step(TASKS, TASK_CPU_MILLIS);
                step.estimate = TASK_DURATION;
                step.demand = Resources {
                    memory_mb: 1_000,
                    ..step.demand
                };
                let submission = submission(self.submitted, queue, step);
                self.decide(|scheduler, now| scheduler.submit(submission, now));
            }
        }
    }

    fn act(&mut self) {
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

    fn run(&mut self) {
        let end = self.now + DURATION;
        let (mut load, mut tick) = ([0.0; QUEUES.len()], 0);
        while self.now < end {
            self.now = self.now + TICK;
            tick += 1;
            let lease_end = self.now + Duration::from_secs(9);
            self.decide(|scheduler, _| scheduler.confirm_ownership(lease_end));
            self.submit(&mut load, tick / 120 % QUEUES.len());
            for index in (tick % RENEWAL_TICKS..self.ids.len()).step_by(RENEWAL_TICKS) {
                self.renew(index);
            }
            self.decide(|scheduler, now| scheduler.tick(now, 0));
            self.act();
            if let Some(batch) = self.decide(|scheduler, _| scheduler.next_batch()) {
                self.rows += 1;
                let version = RowVersion::new(self.rows);
                self.decide(|scheduler, now| scheduler.batch_stored(&batch, version, now));
            }
            self.act();
        }
    }
}

fn main() {
    println!("| workers | starts/s | decisions, us a start | share of a core |");
    println!("|---|---|---|---|");
    for count in WORKERS {
        let mut fleet = Fleet::new(count);
        fleet.spent = Duration::ZERO;
        fleet.run();
        let per_start = fleet.spent.as_secs_f64() * 1e6 / fleet.starts.max(1) as f64;
        println!(
            "| {count} | {:.0} | {per_start:.1} | {:.3} |",
            fleet.starts as f64 / DURATION.as_secs_f64(),
            fleet.spent.div_duration_f64(DURATION)
        );
    }
}
