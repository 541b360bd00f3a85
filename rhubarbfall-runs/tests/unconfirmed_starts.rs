//! A start call without an answer may be carried out at once, seconds later or never. A run that
//! was started so must not be stopped before its worker's list of runs is heard: a long-running
//! task at work was stopped while more tasks of its step were away than its submission allows.

mod model;

use std::collections::BTreeMap;
use std::time::Duration;

use model::{WORKER_CAPACITY, config, step, submission};
use rhubarbfall_core::{BootTime, RowVersion, SubmissionId, WorkerId};
use rhubarbfall_runs::scheduler::{
    Action, SchedulerSettings, StartOrder, StopOrder, VmRow, VmState, Wave,
};
use rhubarbfall_runs::{
    ActiveRun, LeaseRenewalResponse, RunEnd, RunEndKind, Scheduler, StartOutcome, Step, TaskId,
    WorkerReport,
};

const STEP: Duration = Duration::from_millis(20);
const ORDER_TIMEOUT: Duration = Duration::from_millis(700);
const LONG_POLL: Duration = Duration::from_millis(700);
const SHORT_POLL: Duration = Duration::from_millis(100);

/// The number of steps from one answer of a long poll to the next.
const PHASES: u32 = 36;

/// The difference of two phases where every one of them would take too long.
const PHASE_INTERVAL: usize = 5;

const NEVER: Duration = Duration::from_secs(1_000);

/// A worker that carries out starts late or never, without an answer.
struct Worker {
    report: WorkerReport,
    /// When starts are carried out; they are answered if this is `None`.
    start_delay: Option<Duration>,
    late_starts: Vec<(BootTime, StartOrder)>,
    loses_stops: bool,
    /// Stop calls are answered and end no run.
    ignores_stops: bool,
    /// Lease renewals get no answer.
    is_silent: bool,
    runs: Vec<(TaskId, u64, BootTime)>,
    closed: BTreeMap<TaskId, u64>,
    ends: Vec<RunEnd>,
    poll_sent_at: BootTime,
    poll_until: BootTime,
}

impl Worker {
    fn start(&mut self, order: &StartOrder, now: BootTime) {
        if self
            .closed
            .get(&order.task)
            .is_none_or(|run| *run < order.run)
        {
            self.runs.push((order.task.clone(), order.run, now));
        }
    }

    fn stop(&mut self, order: &StopOrder) {
        let closed = self.closed.entry(order.task.clone()).or_default();
        *closed = (*closed).max(order.run);
        let is_stopped =
            |(task, run, _): &mut (TaskId, u64, BootTime)| *task == order.task && *run == order.run;
        for (task, run, _) in self.runs.extract_if(.., is_stopped) {
            self.ends.push(RunEnd {
                number: self.ends.len() as u64 + 1,
                task,
                run,
                kind: RunEndKind::Stopped,
                checkpoint: None,
            });
        }
    }

    fn list(&self, now: BootTime) -> LeaseRenewalResponse {
        let running = self.runs.iter().map(|(task, run, _)| ActiveRun {
            task: task.clone(),
            run: *run,
            checkpoint: None,
            percent: 100,
            tail_ms_or_cpu_millis: None,
        });
        LeaseRenewalResponse {
            clock_ms: now.as_millis(),
            incarnation_unix_ms: self.report.incarnation_unix_ms,
            running: running.collect(),
            ended: self.ends.clone(),
            may_have_more_ends: false,
        }
    }
}

struct World {
    scheduler: Scheduler,
    now: BootTime,
    rows: u64,
    workers: Vec<Worker>,
    unanswered: Vec<(BootTime, StartOrder)>,
    starts: Vec<(BootTime, StartOrder)>,
    stops: Vec<(BootTime, StopOrder)>,
    vm_calls: usize,
}

impl World {
    /// Creates workers whose long polls are answered `phase` steps before the end of this call.
    fn new(workers: usize, phase: u32) -> Self {
        let now = BootTime::new(Duration::from_secs(100));
        let mut scheduler = Scheduler::new(SchedulerSettings::default());
        scheduler.set_config(config(&["labels", "spare"]).into());
        let mut world = Self {
            scheduler,
            now,
            rows: 0,
            workers: Vec::new(),
            unanswered: Vec::new(),
            starts: Vec::new(),
            stops: Vec::new(),
            vm_calls: 0,
        };
        for number in 0..workers {
            let report = WorkerReport {
                id: worker_id(number),
                address: "127.0.0.1:1".parse().expect("valid address"),
                service: "labels".parse().expect("valid service name"),
                vm: None,
                availability_zone: "zone-a".parse().expect("valid availability zone name"),
                capacity: WORKER_CAPACITY,
                labels: vec!["a".into(), "r1".into()],
                rack: Some("r1".parse().expect("valid rack name")),
                is_draining: false,
                incarnation_unix_ms: 1,
            };
            world.scheduler.worker_listed(report.clone(), now);
            world.workers.push(Worker {
                report,
                start_delay: None,
                late_starts: Vec::new(),
                loses_stops: false,
                ignores_stops: false,
                is_silent: false,
                runs: Vec::new(),
                closed: BTreeMap::new(),
                ends: Vec::new(),
                poll_sent_at: now,
                poll_until: now,
            });
        }
        world.run_for(STEP * (PHASES + phase));
        world
    }

    fn run_for(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        let now = self.now;
        self.scheduler
            .confirm_ownership(now + Duration::from_secs(9));
        for worker in &mut self.workers {
            let due: Vec<_> = worker
                .late_starts
                .extract_if(.., |(at, _)| *at <= now)
                .collect();
            for (_, order) in due {
                worker.start(&order, now);
            }
        }
        for (_, order) in self.unanswered.extract_if(.., |(at, _)| *at <= now) {
            let (task, worker) = (&order.task, &order.worker);
            let outcome = StartOutcome::Unknown;
            self.scheduler
                .start_answered(task, worker, order.run, outcome, now);
        }
        self.poll();
        self.scheduler.tick(now, now.as_millis());
        while let Some(batch) = self.scheduler.next_batch() {
            self.rows += 1;
            let version = RowVersion::new(self.rows);
            self.scheduler.batch_stored(&batch, version, now);
        }
        self.execute();
        self.check_double_runs();
    }

    fn poll(&mut self) {
        let now = self.now;
        for worker in &mut self.workers {
            if now < worker.poll_until {
                continue;
            }
            let id = &worker.report.id;
            if !worker.is_silent {
                let answer = worker.list(now);
                self.scheduler
                    .lease_renewal_answered(id, worker.poll_sent_at, &answer, now);
            }
            let request = self.scheduler.lease_renewal_request(id, now);
            let request = request.expect("a known worker");
            let wait = if request.has_unconfirmed_starts {
                SHORT_POLL
            } else {
                LONG_POLL
            };
            worker.poll_sent_at = now;
            worker.poll_until = now + wait + STEP;
        }
    }

    fn execute(&mut self) {
        let now = self.now;
        for action in self.scheduler.take_actions() {
            match action {
                Action::Start(order) => {
                    self.starts.push((now, order.clone()));
                    let worker = find(&mut self.workers, &order.worker);
                    if let Some(delay) = worker.start_delay {
                        worker.late_starts.push((now + delay, order.clone()));
                        self.unanswered.push((now + ORDER_TIMEOUT, order));
                    } else {
                        worker.start(&order, now);
                        self.answer_start(&order, StartOutcome::Accepted);
                    }
                }
                Action::Stop(order) => {
                    self.stops.push((now, order.clone()));
                    let worker = find(&mut self.workers, &order.worker);
                    if !worker.loses_stops {
                        if !worker.ignores_stops {
                            worker.stop(&order);
                        }
                        self.scheduler.stop_answered(&order, true, now);
                    }
                }
                Action::Vm { .. } => self.vm_calls += 1,
                Action::Pace(_) | Action::Advise { .. } => {}
            }
        }
    }

    fn answer_start(&mut self, order: &StartOrder, outcome: StartOutcome) {
        let (task, worker) = (&order.task, &order.worker);
        self.scheduler
            .start_answered(task, worker, order.run, outcome, self.now);
    }

    fn check_double_runs(&self) {
        let mut tasks: Vec<&TaskId> = self
            .workers
            .iter()
            .flat_map(|worker| worker.runs.iter().map(|(task, ..)| task))
            .collect();
        tasks.sort();
        let double = tasks.windows(2).find(|pair| pair[0] == pair[1]);
        assert_eq!(double, None, "two runs at {}", self.now);
    }

    fn submit(&mut self, step: Step) -> SubmissionId {
        let submission = submission(1, "labels", step);
        let id = submission.id.clone();
        self.scheduler.submit(submission, self.now);
        id
    }

    fn set_start_delay(&mut self, delay: Option<Duration>) {
        for worker in &mut self.workers {
            worker.start_delay = delay;
        }
    }

    fn set_silent(&mut self, is_silent: bool) {
        for worker in &mut self.workers {
            worker.is_silent = is_silent;
        }
    }

    fn set_stops_lost(&mut self) {
        for worker in &mut self.workers {
            worker.loses_stops = true;
        }
    }

    fn runs(&self) -> usize {
        self.workers.iter().map(|worker| worker.runs.len()).sum()
    }

    fn vm_rows(&self) -> Vec<VmRow> {
        let row = |(number, worker): (usize, &Worker)| VmRow {
            vm: format!("vm-{number}").parse().expect("valid VM name"),
            pool: "labels".parse().expect("valid service name"),
            state: VmState::Up,
            worker: Some(worker.report.id.clone()),
            availability_zone: None,
            capacity: WORKER_CAPACITY,
            labels: Vec::new(),
        };
        self.workers.iter().enumerate().map(row).collect()
    }
}

fn worker_id(number: usize) -> WorkerId {
    format!("w-{number}").parse().expect("valid worker name")
}

fn find<'a>(workers: &'a mut [Worker], id: &WorkerId) -> &'a mut Worker {
    let mut workers = workers.iter_mut();
    let found = workers.find(|worker| worker.report.id == *id);
    found.expect("an order to a known worker")
}

fn long_running(tasks: u32) -> Step {
    Step {
        is_long_running: true,
        max_unavailable: 1,
        max_per_worker: Some(1),
        ..step(tasks, 4_000)
    }
}

fn finite(tasks: u32) -> Step {
    Step {
        estimate: Duration::from_mins(10),
        max_per_worker: Some(1),
        ..step(tasks, 4_000)
    }
}

fn gang(tasks: u32) -> Step {
    Step {
        is_gang: true,
        ..finite(tasks)
    }
}

fn steps() -> [(&'static str, Step); 3] {
    [
        ("long-running", long_running(3)),
        ("finite", finite(3)),
        ("gang", gang(3)),
    ]
}

/// The list that contains the run arrives up to a long poll after the start call has failed.
#[test]
fn a_started_run_that_is_listed_late_is_not_stopped() {
    for (kind, step) in steps() {
        for phase in 0..PHASES {
            let mut world = World::new(3, phase);
            world.set_start_delay(Some(Duration::from_millis(300)));
            world.submit(step.clone());
            world.run_for(Duration::from_secs(4));
            assert_eq!(world.stops, vec![], "{kind}, phase {phase}");
            assert_eq!((world.starts.len(), world.runs()), (3, 3), "{kind}");
        }
    }
}

/// The worker is not heard for over a second, but its leases have not expired.
#[test]
fn a_started_run_on_a_silent_worker_is_not_stopped() {
    for (kind, step) in steps() {
        for phase in 0..PHASES {
            let mut world = World::new(3, phase);
            world.set_start_delay(Some(Duration::from_millis(300)));
            world.submit(step.clone());
            world.run_for(STEP);
            world.set_silent(true);
            world.run_for(Duration::from_millis(1_200));
            world.set_silent(false);
            world.run_for(Duration::from_secs(4));
            assert_eq!(world.stops, vec![], "{kind}, phase {phase}");
            assert_eq!((world.starts.len(), world.runs()), (3, 3), "{kind}");
        }
    }
}

/// A worker that is not heard again: the task starts elsewhere once the leases have expired.
#[test]
fn a_start_on_a_worker_that_never_answers_again_is_replaced() {
    for (kind, step) in [("long-running", long_running(1)), ("finite", finite(1))] {
        let mut world = World::new(2, 0);
        world.set_start_delay(Some(NEVER));
        world.submit(step);
        world.run_for(STEP);
        let first = world.starts[0].1.worker.clone();
        find(&mut world.workers, &first).is_silent = true;
        world.set_start_delay(None);
        world.run_for(Duration::from_secs(5));
        assert_eq!(world.stops, vec![], "{kind}");
        assert_eq!((world.starts.len(), world.runs()), (2, 1), "{kind}");
        let took = world.starts[1].0.since(world.starts[0].0);
        assert!(took < Duration::from_secs(4), "{kind}: {took:?}");
    }
}

/// A start that is carried out seconds later, where stops pass: it is ruled out, and the task
/// starts once more. `World` checks that no task has two runs.
#[test]
fn a_start_that_is_not_listed_is_ruled_out_before_the_next_one() {
    for (kind, step) in [("long-running", long_running(1)), ("finite", finite(1))] {
        for seconds in 2..=12 {
            for phase in (0..PHASES).step_by(PHASE_INTERVAL) {
                let mut world = World::new(2, phase);
                world.set_start_delay(Some(Duration::from_secs(seconds)));
                world.submit(step.clone());
                world.run_for(STEP);
                world.set_start_delay(None);
                world.run_for(Duration::from_secs(14));
                let case = format!("{kind}, {seconds} s, phase {phase}");
                assert!(
                    !world.stops.is_empty(),
                    "{case}: the start is not ruled out"
                );
                assert_eq!((world.starts.len(), world.runs()), (2, 1), "{case}");
            }
        }
    }
}

/// A start that is carried out seconds later, where no stop passes: the run is kept once it is
/// there, since a stop that follows a list without the run is the only one that ends no run.
#[test]
fn a_run_that_starts_seconds_later_is_kept_if_no_stop_was_confirmed() {
    for (kind, step) in steps() {
        for seconds in 2..=12 {
            for phase in (0..PHASES).step_by(PHASE_INTERVAL) {
                let mut world = World::new(3, phase);
                world.set_start_delay(Some(Duration::from_secs(seconds)));
                world.set_stops_lost();
                world.submit(step.clone());
                world.run_for(Duration::from_secs(15));
                let case = format!("{kind}, {seconds} s, phase {phase}");
                assert_eq!((world.starts.len(), world.runs()), (3, 3), "{case}");
                let started_at = world.workers[0].runs[0].2;
                let late = world.stops.iter().filter(|(at, _)| *at >= started_at);
                assert_eq!(late.count(), 0, "{case}: stops of the run");
                assert!(
                    !world.stops.is_empty(),
                    "{case}: the start is not ruled out"
                );
            }
        }
    }
}

/// A run that is still listed after its stop was confirmed is stopped again.
#[test]
fn a_run_that_is_listed_after_its_stop_was_confirmed_is_stopped_again() {
    let mut world = World::new(1, 0);
    world.set_start_delay(Some(NEVER));
    world.submit(long_running(1));
    while world.stops.is_empty() {
        world.step();
    }
    let (now, order) = world.stops[0].clone();
    let worker = &mut world.workers[0];
    worker.runs.push((order.task, order.run, now));
    worker.ignores_stops = true;
    world.run_for(Duration::from_millis(1_200));
    assert_eq!(world.stops.len(), 3);
    assert_eq!(world.starts.len(), 1);
}

/// A lost start of a finite task delays it by the rest of a long poll and a short one.
#[test]
fn a_finite_task_starts_again_soon_after_a_lost_start() {
    let mut longest = Duration::ZERO;
    for phase in 0..PHASES {
        let mut world = World::new(2, phase);
        world.set_start_delay(Some(NEVER));
        world.submit(finite(1));
        world.run_for(STEP);
        world.set_start_delay(None);
        world.run_for(Duration::from_secs(5));
        assert_eq!(world.starts.len(), 2, "phase {phase}");
        let took = world.starts[1].0.since(world.starts[0].0);
        longest = longest.max(took.saturating_sub(ORDER_TIMEOUT));
    }
    assert!(longest <= Duration::from_millis(1_100), "{longest:?}");
}

/// The submission is cancelled while a start is unconfirmed, or while it is being ruled out: its
/// runs are stopped at once and again, heard or not.
#[test]
fn a_cancelled_submission_is_stopped_in_any_state_of_its_start() {
    for (kind, step) in steps() {
        for millis in (720..3_000).step_by(60) {
            for is_silent in [false, true] {
                let mut world = World::new(3, 0);
                world.set_start_delay(Some(Duration::from_secs(2)));
                world.set_stops_lost();
                let id = world.submit(step.clone());
                world.run_for(Duration::from_millis(millis));
                world.set_silent(is_silent);
                let cancelled_at = world.now;
                world.scheduler.cancel(&id, world.now);
                world.run_for(Duration::from_millis(1_800));
                for task in 0..3 {
                    let stops: Vec<Duration> = world
                        .stops
                        .iter()
                        .filter(|(at, order)| *at > cancelled_at && order.task.index == task)
                        .map(|(at, _)| at.since(cancelled_at))
                        .collect();
                    let case = format!("{kind}, {millis} ms, silent {is_silent}, task {task}");
                    assert!(stops.len() >= 3, "{case}: {stops:?}");
                    assert!(stops[0] <= Duration::from_millis(100), "{case}: {stops:?}");
                }
            }
        }
    }
}

/// A member of a gang that is refused elsewhere: a member with an unconfirmed start is stopped too,
/// since it would wait for the others in vain.
#[test]
fn a_gang_that_will_not_be_complete_is_stopped_with_an_unconfirmed_member() {
    let mut world = World::new(2, 0);
    world.set_start_delay(Some(Duration::from_millis(300)));
    world.submit(gang(2));
    world.run_for(STEP);
    let (_, refused) = world.starts[0].clone();
    world.run_for(ORDER_TIMEOUT);
    world.answer_start(&refused, StartOutcome::NoRoom);
    let before = world.now;
    world.run_for(Duration::from_millis(100));
    let other = world.starts[1].1.task.clone();
    let is_stopped = |(at, order): &(BootTime, StopOrder)| *at > before && order.task == other;
    assert!(world.stops.iter().any(is_stopped), "{:?}", world.stops);
}

/// A run on a worker that is about to leave is stopped once it is listed.
#[test]
fn a_late_run_on_a_draining_worker_is_stopped_when_it_is_listed() {
    let mut world = World::new(1, 0);
    world.set_start_delay(Some(Duration::from_millis(300)));
    world.submit(long_running(1));
    world.run_for(STEP);
    world.set_silent(true);
    let mut report = world.workers[0].report.clone();
    report.is_draining = true;
    world.scheduler.worker_listed(report, world.now);
    world.run_for(Duration::from_millis(1_200));
    assert_eq!(world.stops, vec![]);
    world.set_silent(false);
    world.run_for(Duration::from_secs(1));
    assert_eq!((world.stops.is_empty(), world.runs()), (false, 0));
}

/// A run on a VM that is being drained is stopped only within its step's budget, and the VM does
/// not go down before.
#[test]
fn a_late_run_on_a_draining_vm_keeps_to_the_budget_of_its_step() {
    let mut world = World::new(3, 0);
    world.set_start_delay(Some(Duration::from_millis(300)));
    world.workers[1].start_delay = Some(NEVER);
    world.workers[1].loses_stops = true;
    world.submit(long_running(3));
    world.run_for(STEP);
    let wave = Wave {
        id: "1".parse().expect("valid wave name"),
        vms: vec!["vm-0".parse().expect("valid VM name")],
        duration: Duration::from_secs(20),
        max_down: 1,
        version: RowVersion::new(1),
    };
    let now = world.now;
    world
        .scheduler
        .wave_requested(wave, None, now, now.as_millis());
    let rows = world.vm_rows();
    world.scheduler.vms_listed(rows, now, now);
    world.run_for(Duration::from_secs(5));
    let is_stopped = |world: &World| {
        let is_first = |(_, order): &(BootTime, StopOrder)| order.worker == worker_id(0);
        world.stops.iter().any(is_first)
    };
    assert_eq!(
        (is_stopped(&world), world.vm_calls),
        (false, 0),
        "one task is away"
    );
    world.workers[1].start_delay = None;
    world.workers[1].loses_stops = false;
    world.run_for(Duration::from_secs(5));
    assert_eq!(
        (is_stopped(&world), world.vm_calls),
        (true, 1),
        "none is away"
    );
}
