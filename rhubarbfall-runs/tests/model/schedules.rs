//! Schedules of two customers.

use std::time::Duration;

use rhubarbfall_runs::{Customer, Job, Schedule, Step, Submission};

use super::{Model, step, submission};

pub(crate) const POOLS: [(&str, usize); 2] = [("labels", 4), ("spare", 0)];

/// A print run of twelve tasks in two steps, each occurrence due when the submission arrives.
pub(crate) fn print_run(number: u64, occurrences: u32) -> Submission {
    let mut run = submission(number, "labels", step(6, 3_500));
    let second = Step {
        after: vec![0],
        ..step(6, 3_500)
    };
    run.steps.push(second);
    scheduled(run, occurrences, 0)
}

pub(crate) fn scheduled(submission: Submission, occurrences: u32, interval_ms: u64) -> Submission {
    Submission {
        schedule: Some(Schedule {
            first_due_unix_ms: 0,
            interval_ms,
            occurrences,
        }),
        ..submission
    }
}

pub(crate) fn of_other_customer(submission: Submission) -> Submission {
    Submission {
        customer: Some("house-b".parse().expect("valid customer name")),
        ..submission
    }
}

pub(crate) fn model_of_two_customers() -> Model {
    let mut model = Model::new(&POOLS, 1);
    model.update_config(|config| {
        let other = Customer {
            id: "house-b".parse().expect("valid customer name"),
            ..config.customers[0].clone()
        };
        config.customers.push(other);
    });
    model.run_for(Duration::from_millis(300));
    model
}

pub(crate) fn begun_tasks(model: &Model) -> usize {
    model.scheduler.jobs().map(Job::begun_tasks).sum()
}

pub(crate) fn open_tasks(model: &Model) -> usize {
    model.scheduler.jobs().map(Job::open_tasks).sum()
}
