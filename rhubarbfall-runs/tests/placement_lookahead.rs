//! Placement by what waits and what ends: places held for large tasks, and VMs that empty together.

mod model;

use std::time::Duration;

use model::{Model, STEP, WORKER_CAPACITY, step, submission};
use rhubarbfall_core::BootTime;
use rhubarbfall_runs::scheduler::SchedulerSettings;
use rhubarbfall_runs::{JobState, Step, Submission};

/// The number of the large submission.
const LARGE: u64 = 1;

/// The number of VMs of the pool with small and large tasks.
const VMS: usize = 4;

/// Returns a fleet of one pool without spare VMs.
fn fleet(vms: usize, seed: u64, is_on: bool) -> Model {
    let settings = SchedulerSettings {
        placement_lookahead: is_on,
        ..SchedulerSettings::default()
    };
    let mut model = Model::with_settings(&[("labels", vms), ("spare", 0)], seed, settings);
    model.run_for(Duration::from_secs(1));
    model
}

/// Small tasks that keep four fifths of a pool busy: a quarter of a VM each.
#[derive(Debug)]
struct SmallTasks {
    next: u64,
    /// The announced duration.
    announced: Duration,
    per_s: f64,
    due: f64,
    end: BootTime,
}

impl SmallTasks {
    fn new(model: &Model, lasting: Duration) -> Self {
        Self {
            next: 1_000,
            announced: Duration::from_millis(800),
            per_s: VMS as f64 * 4.0 * 0.8,
            due: 0.0,
            end: model.now + lasting,
        }
    }

    /// Submits what is due and advances the model by a step.
    fn step(&mut self, model: &mut Model) {
        if model.now < self.end {
            self.due += self.per_s * STEP.as_secs_f64();
        }
        while self.due >= 1.0 {
            self.due -= 1.0;
            let mut small = step(1, WORKER_CAPACITY.cpu_millis / 4);
            small.estimate = self.announced;
            let duration = sample_with_tail(model, Duration::from_millis(800));
            model.submit(submission(self.next, "labels", small), duration);
            self.next += 1;
        }
        model.step();
    }
}

/// Returns a random duration: around `mean`, and for one run in twelve up to seven times that.
fn sample_with_tail(model: &mut Model, mean: Duration) -> Duration {
    if model.sample_below(12) == 0 {
        return model.sample_duration(mean * 5, 0.4);
    }
    model.sample_duration(mean, 0.5)
}

fn large() -> Submission {
    submission(LARGE, "labels", step(1, WORKER_CAPACITY.cpu_millis))
}

fn lasting() -> Submission {
    let mut lasting = step(1, WORKER_CAPACITY.cpu_millis);
    lasting.is_long_running = true;
    submission(LARGE, "labels", lasting)
}

fn gang() -> Submission {
    let step = Step {
        is_gang: true,
        ..step(3, WORKER_CAPACITY.cpu_millis * 3 / 4)
    };
    submission(LARGE, "labels", step)
}

/// How long small tasks come beside the large submission.
const SMALL_TASKS_FOR: Duration = Duration::from_secs(90);

/// The bound that docs/design/placement.md states: the time after which a place is firm, four
/// expected waits of 10 s with what each may be late by, and the longest run.
const MAX_WAIT: Duration = Duration::from_millis(10_000 + 4 * 10_300 + 5_600);

/// What came of a large submission beside small tasks.
#[derive(Debug)]
struct Outcome {
    wait: Duration,
    /// The number of small submissions that were done within three times their mean duration.
    prompt: usize,
}

/// Submits large work while small tasks come, until they end.
fn compete(work: &Submission, seed: u64, is_on: bool, announced: Duration) -> Outcome {
    let mut model = fleet(VMS, seed, is_on);
    let begin = model.now + Duration::from_secs(6);
    let mut small = SmallTasks::new(&model, Duration::from_secs(6) + SMALL_TASKS_FOR);
    small.announced = announced;
    while model.now < begin {
        small.step(&mut model);
    }
    let duration = if work.is_long_running() {
        Duration::from_hours(2)
    } else {
        Duration::from_secs(1)
    };
    model.submit(work.clone(), duration);
    let mut wait = None;
    while model.now < begin + SMALL_TASKS_FOR + Duration::from_secs(20) {
        small.step(&mut model);
        if wait.is_none() && !model.runs_of(LARGE).is_empty() {
            wait = Some(model.now.since(begin));
        }
    }
    assert_eq!(model.violations, Vec::<String>::new());
    Outcome {
        wait: wait.expect("the large submission runs once no small tasks come"),
        prompt: model.completed_within(|_| Duration::from_millis(2_400)),
    }
}

/// Compares the waits of large work with and without lookahead.
fn assert_waits_less(work: &Submission, times: u32, max_wait: Duration) {
    for seed in 1..=4 {
        let announced = Duration::from_millis(800);
        let [off, on] = [false, true].map(|is_on| compete(work, seed, is_on, announced));
        println!("seed {seed}: {on:?} on, {off:?} off");
        assert!(
            on.wait * times < off.wait,
            "seed {seed}: {on:?} on, {off:?} off"
        );
        assert!(on.wait < max_wait, "seed {seed}: {on:?}");
    }
}

/// Guards against small tasks in time that starve a large one, which soon is late: each takes the gap
/// that another leaves.
#[test]
fn a_large_task_does_not_wait_for_as_long_as_small_ones_come() {
    assert_waits_less(&large(), 2, MAX_WAIT);
}

/// Guards against short tasks that take each gap while a long-running task waits for a whole VM (day
/// `review/10`, seed 5): it ranks first, and no VM has room for it at once.
#[test]
fn a_long_running_task_does_not_wait_for_as_long_as_short_ones_come() {
    assert_waits_less(&lasting(), 4, Duration::from_secs(12));
}

/// Guards against a gang that finds room for some members at a time and never for all.
#[test]
fn a_gang_does_not_wait_for_as_long_as_small_ones_come() {
    assert_waits_less(&gang(), 2, MAX_WAIT);
}

/// Guards against nonsense that pays: small tasks that are announced as a millisecond would all seem to
/// end before the room that is held is needed.
#[test]
fn tasks_announced_as_short_do_not_delay_a_large_one() {
    for seed in 1..=4 {
        let [honest, false_ones] = [800, 1].map(|announced_ms| {
            compete(&lasting(), seed, true, Duration::from_millis(announced_ms))
        });
        println!("seed {seed}: {honest:?} honest, {false_ones:?} false");
        assert!(
            false_ones.wait < Duration::from_secs(12),
            "seed {seed}: {false_ones:?}"
        );
        assert!(
            false_ones.prompt <= honest.prompt + honest.prompt / 20,
            "seed {seed}: {false_ones:?} announced as a millisecond, {honest:?} honestly"
        );
    }
}

/// Guards against small tasks that wait for ever beside large ones that hold places: all work of a
/// pool that it can do ends, whatever its size.
#[test]
fn neither_small_nor_large_work_starves() {
    for seed in 1..=4 {
        let mut model = fleet(VMS, seed, true);
        let mut small = SmallTasks::new(&model, Duration::from_secs(30));
        small.per_s *= 0.6;
        let begin = model.now;
        for number in 0..12_u64 {
            while model.now < begin + Duration::from_secs(2 * number) {
                small.step(&mut model);
            }
            let mut work = if number % 2 == 0 { large() } else { gang() };
            work.id = submission(number, "labels", step(1, 1)).id;
            model.submit(work, Duration::from_secs(1));
        }
        while model.now < begin + Duration::from_secs(100) {
            small.step(&mut model);
        }
        assert_eq!(model.count(JobState::Active), 0, "seed {seed}");
        assert_eq!(model.violations, Vec::<String>::new());
    }
}

/// Guards against VMs that stay with one straggler each once a queue's turn is over: seconds of VMs
/// that hold one or two short tasks, over turns with a tail of durations.
#[test]
fn vms_empty_together() {
    let mut sums = [0, 0];
    for seed in 1..=4 {
        let [off, on] = [false, true].map(|is_on| nearly_empty_steps(seed, is_on));
        println!("seed {seed}: {on:?} steps of nearly empty VMs on, {off:?} off");
        sums = [sums[0] + off, sums[1] + on];
    }
    let [off, on] = sums;
    assert!(
        on * 10 < off * 9,
        "{on} steps of nearly empty VMs on, {off} off"
    );
}

/// Returns in how many steps VMs held one or two tasks, summed over the VMs.
fn nearly_empty_steps(seed: u64, is_on: bool) -> usize {
    let mut model = fleet(12, seed, is_on);
    let begin = model.now;
    let (mut next, mut steps) = (1_000, 0);
    while model.now < begin + Duration::from_secs(40) {
        // Turns of two seconds in which much comes, and six in which little does.
        let is_turn = model.now.since(begin).as_millis() % 8_000 < 2_000;
        let count = if is_turn {
            2
        } else {
            u32::from(model.sample_below(8) == 0)
        };
        for _ in 0..count {
            let duration = sample_with_tail(&mut model, Duration::from_millis(800));
            let small = step(1, WORKER_CAPACITY.cpu_millis / 10);
            model.submit(submission(next, "labels", small), duration);
            next += 1;
        }
        model.step();
        let runs = model.workers.iter().map(|worker| worker.runs.len());
        steps += runs.filter(|runs| (1..=2).contains(runs)).count();
    }
    assert_eq!(model.violations, Vec::<String>::new());
    steps
}
