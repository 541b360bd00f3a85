//! What one customer can make an owner hold: some dozens of schedules, each of which held alone, and any
//! number of plain submissions, filled its memory.

mod model;

use std::time::Duration;

use model::schedules::{
    begun_tasks, model_of_two_customers, of_other_customer, print_run, scheduled,
};
use model::{step, submission};
use rhubarbfall_core::{BootTime, CustomerId, RowVersion};
use rhubarbfall_runs::scheduler::{Held, SchedulerSettings, StoredJob};
use rhubarbfall_runs::{JobProgress, JobState, Scheduler, Submission};

/// A part of the 128 MB that a process may use.
const MAX_HELD_BYTES: u64 = 64 * 1024 * 1024;

const TASK_TIME: Duration = Duration::from_millis(300);

/// Accepts submissions of one customer until one is refused, and returns how many were accepted.
fn accepted_until_refused(
    scheduler: &mut Scheduler,
    submission: impl Fn(u64) -> Submission,
) -> u64 {
    let now = BootTime::new(Duration::from_secs(100));
    for number in 0.. {
        let next = submission(number);
        match scheduler.admit(&next, now) {
            Ok(()) => drop(scheduler.submit(next, now)),
            Err(retry_after) => {
                assert!(retry_after >= Duration::from_secs(1));
                assert!(scheduler.held().bytes <= MAX_HELD_BYTES);
                return number;
            }
        }
    }
    unreachable!("the numbers do not end")
}

/// One customer may hold as much as it leaves free, whatever the shape of its submissions; others
/// are still accepted. The customer's own copies are, too.
#[test]
fn one_customer_leaves_room_for_others() {
    let largest = |number| submission(number, "labels", step(20_000, 100));
    let overdue = |number| print_run(number, 100_000);
    let smallest = |number| submission(number, "labels", step(1, 100));
    let long = |number| Submission {
        program: "x".repeat(4_000).into(),
        ..submission(number, "labels", step(1, 100))
    };
    let many_steps = |number| {
        let mut many = submission(number, "labels", step(1, 100));
        many.steps = vec![step(1, 100); 500];
        many
    };
    let shapes: [&dyn Fn(u64) -> Submission; 5] =
        [&largest, &overdue, &smallest, &long, &many_steps];
    for shape in shapes {
        let mut scheduler = Scheduler::new(SchedulerSettings::default());
        let accepted = accepted_until_refused(&mut scheduler, shape);
        assert!(accepted > 3, "{accepted} accepted");
        let now = BootTime::new(Duration::from_secs(100));
        assert_eq!(scheduler.admit(&shape(0), now), Ok(()));
        let other = of_other_customer(shape(1_000_000));
        assert_eq!(scheduler.admit(&other, now), Ok(()));
        // Many customers do not fill it either.
        let mut refused = 0;
        for customer in 0..50 {
            let next = Submission {
                customer: Some(format!("c-{customer}").parse().expect("valid name")),
                ..submission(2_000_000 + customer, "labels", step(1, 100))
            };
            refused += usize::from(scheduler.admit(&next, now).is_err());
            scheduler.submit(next, now);
        }
        assert_eq!(refused, 0);
    }
}

/// Occurrences that one customer is behind with count as its own, and room comes back as they end.
#[test]
fn overdue_schedules_of_one_customer_are_held_within_its_part() {
    let mut model = model_of_two_customers();
    for number in 0..60 {
        model.submit(print_run(number, 1_600), TASK_TIME);
    }
    let mut largest = Held::default();
    for second in 0..20 {
        model.run_for(Duration::from_secs(1));
        let held = model.scheduler.held();
        largest.bytes = largest.bytes.max(held.bytes);
        largest.steps = largest.steps.max(held.steps);
        let other = of_other_customer(submission(1_000 + second, "labels", step(6, 3_500)));
        assert_eq!(model.scheduler.admit(&other, model.now), Ok(()));
        model.submit(other, TASK_TIME);
    }
    assert!(largest.bytes <= MAX_HELD_BYTES / 2, "{largest:?}");
    model.run_for(Duration::from_secs(3));
    let in_time = model.completed_within(|submission| {
        let is_other = submission.customer.as_ref().map(CustomerId::as_str) == Some("house-b");
        if is_other {
            Duration::from_secs(2)
        } else {
            Duration::ZERO
        }
    });
    assert_eq!(in_time, 20, "submissions of the other customer in time");
    assert_eq!(model.violations, Vec::<String>::new());
}

/// Schedules that are behind leave room for what their own customer hands in.
#[test]
fn overdue_schedules_leave_room_for_their_own_customer() {
    let mut model = model_of_two_customers();
    for number in 0..60 {
        let one_task = scheduled(submission(number, "labels", step(1, 3_500)), 100_000, 0);
        model.submit(one_task, TASK_TIME);
    }
    model.run_for(Duration::from_secs(2));
    let urgent = submission(1_000, "labels", step(6, 3_500));
    assert_eq!(model.scheduler.admit(&urgent, model.now), Ok(()));
    model.submit(urgent, TASK_TIME);
    model.run_for(Duration::from_secs(2));
    assert_eq!(model.count(JobState::Completed), 1);
}

/// What has ended takes no memory for its tasks.
#[test]
fn ended_submissions_hold_no_tasks() {
    let mut model = model_of_two_customers();
    for number in 0..20 {
        model.submit(submission(number, "labels", step(20_000, 100)), TASK_TIME);
        model.run_for(Duration::from_millis(100));
        let id = format!("{number:016x}").parse().expect("valid identifier");
        model.scheduler.cancel(&id, model.now);
    }
    model.run_for(Duration::from_secs(3));
    assert_eq!(model.count(JobState::Cancelled), 20);
    assert_eq!(begun_tasks(&model), 0);
    assert!(model.scheduler.held().bytes < 64 * 1024);
}

/// Guards against `review/2` on 29c2cc3: the texts of ended submissions filled their customer's part.
#[test]
fn ended_submissions_hold_no_text() {
    let mut model = model_of_two_customers();
    for number in 0..200 {
        let long = Submission {
            program: "x".repeat(4_000).into(),
            ..submission(number, "labels", step(1, 100))
        };
        model.submit(long, TASK_TIME);
    }
    model.run_for(Duration::from_secs(4));
    assert_eq!(model.count(JobState::Completed), 200);
    assert!(model.scheduler.held().bytes < 200 * 2_000);
}

/// Guards against a new owner that refuses every customer, since the texts of what has ended long ago
/// fill all the room.
#[test]
fn ended_submissions_of_earlier_owners_leave_room() {
    let now = BootTime::new(Duration::from_secs(1_000));
    let stored = (0..12_000).map(|number| StoredJob {
        submission: Submission {
            program: "x".repeat(4_000).into(),
            ..submission(number, "labels", step(1, 100))
        },
        progress: Some((
            JobProgress {
                state: JobState::Completed,
                has_begun: true,
                has_started: true,
                ..JobProgress::default()
            },
            RowVersion::new(1),
        )),
    });
    let mut scheduler = Scheduler::new(SchedulerSettings::default());
    scheduler.recover(stored, now, now, 0);
    scheduler.tick(now + Duration::from_secs(1), 0);
    let other = of_other_customer(submission(1_000_000, "labels", step(1, 100)));
    assert_eq!(scheduler.admit(&other, now), Ok(()));
}
