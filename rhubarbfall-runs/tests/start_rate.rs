//! More submissions than the owner's processor can start, with idle workers: as on the large
//! deployment, where one owner accepted nearly all of them and most never ran.

mod model;

use std::time::Duration;

use model::{Model, step, submission};
use rhubarbfall_runs::{JobState, Submission};

const TASK_TIME: Duration = Duration::from_secs(1);

/// The starts of the owner's processor a second; a step of the model takes 20 ms.
const STARTS_PER_S: usize = 400;

/// Each submission has this many tasks.
const TASKS: u32 = 8;

/// Returns the time within which a submission counts as in time.
fn objective(submission: &Submission) -> Duration {
    submission.critical_path().mul_f64(1.6) + Duration::from_millis(600)
}

struct Outcome {
    sent: usize,
    accepted: usize,
    in_time: usize,
    retry_after: Vec<Duration>,
}

/// Sends this multiple of what the owner can start for twelve seconds.
fn run(load: f64, is_admission_asked: bool) -> Outcome {
    let mut model = Model::new(&[("labels", 60), ("spare", 0)], 1);
    model.run_for(Duration::from_millis(300));
    model.starts_per_step = Some(STARTS_PER_S / 50);
    let interval = Duration::from_secs_f64(f64::from(TASKS) / STARTS_PER_S as f64 / load);
    let (mut sent, mut accepted, mut retry_after) = (0, 0, Vec::new());
    let (began_at, mut due) = (model.now, Duration::ZERO);
    while due < Duration::from_secs(12) {
        while model.now.since(began_at) < due {
            model.step();
        }
        due += interval;
        sent += 1;
        let submission = submission(sent as u64, "labels", step(TASKS, 1_000));
        match model.scheduler.admit(&submission, model.now) {
            Err(after) if is_admission_asked => retry_after.push(after),
            _ => {
                accepted += 1;
                model.submit(submission, TASK_TIME);
            }
        }
    }
    model.run_for(Duration::from_secs(12));
    assert_eq!(model.violations, Vec::<String>::new());
    Outcome {
        sent,
        accepted,
        in_time: model.completed_within(objective),
        retry_after,
    }
}

/// Twice of what the owner can start: what is accepted is in time but for the first second, and about as
/// much is accepted as can be started.
#[test]
fn accepted_submissions_are_in_time_beyond_the_start_rate() {
    let outcome = run(2.0, true);
    let (accepted, in_time) = (outcome.accepted as f64, outcome.in_time as f64);
    assert!(in_time > 0.8 * accepted, "{in_time} of {accepted} in time");
    let possible = outcome.sent as f64 / 2.0;
    assert!(
        accepted > 0.8 * possible,
        "{accepted} of {possible} accepted"
    );
    // Refusals cost no more than what arrives before the rate is known.
    let all = run(2.0, false).in_time as f64;
    let per_s = STARTS_PER_S as f64 / f64::from(TASKS);
    assert!(
        in_time + per_s > all,
        "{in_time} in time, {all} without refusals"
    );
}

/// Callers that are refused together are asked to come back at different times.
#[test]
fn refused_callers_come_back_at_different_times() {
    let outcome = run(2.0, true);
    let times = outcome.retry_after.iter();
    assert!(times.clone().all(|after| *after >= Duration::from_secs(1)));
    let mut different: Vec<_> = times.collect();
    different.sort();
    different.dedup();
    assert!(different.len() > 20, "{} different times", different.len());
}

/// Within the owner's rate nothing is refused, also in a burst.
#[test]
fn nothing_is_refused_within_the_start_rate() {
    let outcome = run(0.9, true);
    assert_eq!(outcome.retry_after, Vec::<Duration>::new());
    assert_eq!(outcome.accepted, outcome.sent);
    let mut model = Model::new(&[("labels", 60), ("spare", 0)], 2);
    model.run_for(Duration::from_millis(300));
    for number in 0..100 {
        let submission = submission(number, "labels", step(TASKS, 1_000));
        assert_eq!(model.scheduler.admit(&submission, model.now), Ok(()));
        model.submit(submission, TASK_TIME);
    }
    model.run_for(Duration::from_secs(5));
    assert_eq!(model.count(JobState::Completed), 100);
}

/// A copy of an accepted submission is accepted whatever the load, and so is what is long-running.
#[test]
fn copies_and_long_running_submissions_are_never_refused() {
    let mut model = Model::new(&[("labels", 60), ("spare", 0)], 3);
    model.run_for(Duration::from_millis(300));
    model.starts_per_step = Some(1);
    for number in 0..200 {
        model.submit(submission(number, "labels", step(TASKS, 1_000)), TASK_TIME);
    }
    model.run_for(Duration::from_secs(1));
    let copy = submission(7, "labels", step(TASKS, 1_000));
    let mut lasting = submission(900, "labels", step(TASKS, 1_000));
    lasting.steps[0].is_long_running = true;
    let new = submission(901, "labels", step(TASKS, 1_000));
    let now = model.now;
    assert_eq!(model.scheduler.admit(&copy, now), Ok(()));
    assert_eq!(model.scheduler.admit(&lasting, now), Ok(()));
    assert!(model.scheduler.admit(&new, now).is_err());
}

/// Renewals are spaced while starts are limited. A limit that outlasts its cause, or that a calm owner
/// reports, would delay the ends of a fleet without need.
#[test]
fn starts_are_limited_only_while_tasks_wait_for_pending_ones() {
    let mut model = Model::new(&[("labels", 60), ("spare", 0)], 1);
    model.run_for(Duration::from_millis(300));
    model.submit(submission(1, "labels", step(TASKS, 1_000)), TASK_TIME);
    model.run_for(Duration::from_millis(300));
    assert!(!model.scheduler.are_starts_limited(model.now));
    model.starts_per_step = Some(STARTS_PER_S / 50);
    for number in 2..62 {
        model.submit(submission(number, "labels", step(TASKS, 1_000)), TASK_TIME);
    }
    model.run_for(Duration::from_millis(200));
    assert!(model.scheduler.are_starts_limited(model.now));
    model.run_for(Duration::from_secs(4));
    assert!(!model.scheduler.are_starts_limited(model.now));
}
