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

/// Returns how long the large submission waits beside small tasks that keep coming for 40 s.
fn wait_of(work: &Submission, seed: u64, is_on: bool, announced: Duration) -> Duration {
    let mut model = fleet(VMS, seed, is_on);
    let mut small = SmallTasks::new(&model, Duration::from_secs(46));
    small.announced = announced;
    let begin = model.now + Duration::from_secs(6);
    while model.now < begin {
        small.step(&mut model);
    }
    let duration = if work.is_long_running() {
        Duration::from_hours(2)
    } else {
        Duration::from_secs(1)
    };
    model.submit(work.clone(), duration);
    while model.runs_of(LARGE).is_empty() && model.now < begin + Duration::from_secs(60) {
        small.step(&mut model);
    }
    assert_eq!(model.violations, Vec::<String>::new());
    model.now.since(begin)
}

/// Guards against small tasks that starve a large one: each takes the gap that another leaves.
#[test]
fn a_large_task_does_not_wait_for_as_long_as_small_ones_come() {
    for seed in 1..=4 {
        let announced = Duration::from_millis(800);
        let [off, on] = [false, true].map(|is_on| wait_of(&large(), seed, is_on, announced));
        assert!(on * 3 < off, "seed {seed}: {on:?} on, {off:?} off");
        assert!(on < Duration::from_secs(12), "seed {seed}: {on:?}");
    }
}
