//! Peak load: queues surge one after the other, each beyond the capacity of its own pool.

mod model;

use std::time::Duration;

use model::{Model, step, submission};
use rhubarbfall_runs::{JobState, Submission};

/// How long a surge lasts on the users' sites.
const SURGE_DURATION: Duration = Duration::from_millis(4_500);

/// Returns the time within which a submission counts as in time.
fn objective(submission: &Submission) -> Duration {
    submission.critical_path().mul_f64(1.6) + Duration::from_millis(600)
}

/// Two rounds of surges over four queues; a surging queue demands 1.75 times the capacity of its
/// pool.
fn simulate_surges(spare: usize, seed: u64) -> (usize, usize, Model) {
    let queues = ["q-a", "q-b", "q-c", "q-d"];
    let pools: Vec<(&str, usize)> = queues
        .iter()
        .map(|queue| (*queue, 10))
        .chain([("spare", spare)])
        .collect();
    let mut model = Model::new(&pools, seed);
    let mut submitted = 0_u64;
    for surge in 0..8 {
        let queue = queues[surge % 4];
        let end = model.now + SURGE_DURATION;
        while model.now < end {
            // Six tasks of four cores for a second are 24 core-seconds; the pool has 640 per
            // second.
            for _ in 0..2 {
                submitted += 1;
                let duration = model.sample_duration(Duration::from_secs(1), 0.5);
                model.submit(submission(submitted, queue, step(6, 4_000)), duration);
            }
            model.run_for(Duration::from_millis(43));
        }
    }
    model.run_for(Duration::from_secs(15));
    let in_time = model.completed_within(objective);
    (in_time, submitted as usize, model)
}

#[test]
fn idle_vms_move_to_the_queue_that_surges() {
    for seed in 0..3 {
        let (in_time, submitted, model) = simulate_surges(8, seed);
        assert_eq!(model.violations, Vec::<String>::new());
        assert_eq!(model.count(JobState::Completed), submitted);
        // The fleet has capacity for all: only the first second of each surge is late.
        let share = in_time as f64 / submitted as f64;
        assert!(
            share >= 0.75,
            "seed {seed}: {in_time} of {submitted} in time"
        );
        assert!(model.moves > 20, "seed {seed}: {} moves", model.moves);
    }
}

/// One queue demands 1.75 times the capacity of its pool, and no VM can be added.
fn simulate_overload(seed: u64) -> (usize, usize) {
    let mut model = Model::new(&[("q-a", 10), ("spare", 0)], seed);
    model.run_for(Duration::from_millis(300));
    let mut submitted = 0_u64;
    let end = model.now + SURGE_DURATION * 2;
    while model.now < end {
        for _ in 0..2 {
            submitted += 1;
            let duration = model.sample_duration(Duration::from_secs(1), 0.5);
            let tasks = 4 + model.sample_below(10);
            model.submit(submission(submitted, "q-a", step(tasks, 4_000)), duration);
        }
        model.run_for(Duration::from_millis(43));
    }
    model.run_for(Duration::from_secs(20));
    assert_eq!(model.violations, Vec::<String>::new());
    assert_eq!(model.count(JobState::Completed), submitted as usize);
    (model.completed_within(objective), submitted as usize)
}

/// The pool has capacity for 56% of the demanded work; nine tenths of that share must be in time.
const SHARE_IN_TIME: f64 = 0.56 * 0.9;

#[test]
fn submissions_that_can_be_in_time_are_not_delayed_by_those_that_cannot() {
    for seed in 0..3 {
        let (in_time, submitted) = simulate_overload(seed);
        let share = in_time as f64 / submitted as f64;
        assert!(
            share >= SHARE_IN_TIME,
            "seed {seed}: {in_time} of {submitted} in time"
        );
    }
}

/// How long a surge lasts from its rise to its fall on the larger sites.
const GRADUAL_SURGE_DURATION: Duration = Duration::from_secs(10);

/// Surges over four queues, each of which rises and falls over ten seconds; the pools alone have
/// capacity for a third of the peak.
fn simulate_gradual_surges(seed: u64) -> (usize, usize, Model) {
    let queues = ["q-a", "q-b", "q-c", "q-d"];
    let pools: Vec<(&str, usize)> = queues
        .iter()
        .map(|queue| (*queue, 10))
        .chain([("spare", 20)])
        .collect();
    let mut model = Model::new(&pools, seed);
    model.run_for(Duration::from_secs(4));
    let mut submitted = 0_u64;
    for queue in queues {
        let begin = model.now;
        let mut due_submissions = 0.0;
        while model.now.since(begin) < GRADUAL_SURGE_DURATION {
            let phase = model
                .now
                .since(begin)
                .div_duration_f64(GRADUAL_SURGE_DURATION);
            // Six tasks of four cores each: 80 submissions a second need 30 VMs.
            due_submissions += 80.0 * (std::f64::consts::PI * phase).sin().powi(2) * 0.02;
            while due_submissions >= 1.0 {
                due_submissions -= 1.0;
                submitted += 1;
                let duration = model.sample_duration(Duration::from_secs(1), 0.5);
                model.submit(submission(submitted, queue, step(6, 4_000)), duration);
            }
            model.run_for(model::STEP);
        }
    }
    model.run_for(Duration::from_secs(8));
    let in_time = model.completed_within(objective);
    (in_time, submitted as usize, model)
}

#[test]
fn vms_are_moved_ahead_of_rising_arrivals() {
    for seed in 0..3 {
        let (in_time, submitted, model) = simulate_gradual_surges(seed);
        assert_eq!(model.violations, Vec::<String>::new());
        assert_eq!(model.count(JobState::Completed), submitted);
        let share = in_time as f64 / submitted as f64;
        println!(
            "seed {seed}: {in_time} of {submitted} in time, {} moves",
            model.moves
        );
        assert!(
            share >= 0.95,
            "seed {seed}: {in_time} of {submitted} in time"
        );
    }
}

/// An owner whose processor allows 500 starts a second, after an outage that left a backlog of work
/// without value, with enough VMs for all of it.
fn simulate_backlog_of_busy_owner(seed: u64) -> (usize, usize) {
    let mut model = Model::new(&[("q-a", 120), ("spare", 0)], seed);
    model.run_for(Duration::from_millis(300));
    model.is_store_blocked = true;
    for number in 0..600 {
        model.submit(
            submission(number, "q-a", step(10, 4_000)),
            Duration::from_secs(1),
        );
    }
    model.run_for(Duration::from_secs(9));
    model.is_store_blocked = false;
    model.starts_per_step = Some(10);
    let backlog = model.scheduler.jobs().count();
    let mut submitted = 0_u64;
    let end = model.now + Duration::from_secs(8);
    while model.now < end {
        submitted += 1;
        let duration = model.sample_duration(Duration::from_secs(1), 0.3);
        model.submit(
            submission(10_000 + submitted, "q-a", step(8, 4_000)),
            duration,
        );
        model.run_for(Duration::from_millis(20));
    }
    model.run_for(Duration::from_secs(30));
    assert_eq!(model.violations, Vec::<String>::new());
    assert_eq!(
        model.count(JobState::Completed),
        backlog + submitted as usize
    );
    (model.completed_within(objective), submitted as usize)
}

#[test]
fn a_busy_owner_starts_submissions_that_can_be_in_time_first() {
    for seed in 0..3 {
        let (in_time, submitted) = simulate_backlog_of_busy_owner(seed);
        let share = in_time as f64 / submitted as f64;
        println!("seed {seed}: {in_time} of {submitted} in time after an outage");
        // The new work needs four fifths of the starts that the owner can make.
        assert!(
            share >= 0.9,
            "seed {seed}: {in_time} of {submitted} in time"
        );
    }
}
