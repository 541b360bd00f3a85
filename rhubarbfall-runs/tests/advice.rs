//! Queues whose advice service permits only some workers to run a step.

mod model;

use std::time::Duration;

use model::{Model, step, submission};
use rhubarbfall_runs::{AdviceTiming, JobState};

fn model_with_advice(seed: u64) -> Model {
    let mut model = Model::new(&[("labels", 8), ("spare", 0)], seed);
    model.update_config(|config| {
        config.queues[0].advice = Some(AdviceTiming {
            call_time: Duration::from_millis(40),
            time_per_worker: Duration::from_millis(2),
            ticket_validity: Duration::from_secs(3),
        });
    });
    model.run_for(Duration::from_millis(300));
    model
}

#[test]
fn tasks_start_only_with_a_ticket_on_workers_that_may_run_them() {
    let mut model = model_with_advice(1);
    // Workers w-0, w-2, w-4 and w-6.
    model.may_run_step = Some(|id| id.as_str().as_bytes()[2].is_multiple_of(2));
    for number in 0..6 {
        model.submit(
            submission(number, "labels", step(8, 9_000)),
            Duration::from_secs(1),
        );
    }
    model.run_for(Duration::from_secs(8));
    assert_eq!(model.count(JobState::Completed), 6);
    assert_eq!(model.starts, 48);
    assert!(model.tickets.iter().all(Option::is_some));
    // One call per step: the tickets outlast the wait for capacity.
    assert_eq!(model.advice_asked, [8, 8, 8, 8, 8, 8]);
}

#[test]
fn a_ticket_that_has_expired_is_asked_for_again() {
    let mut model = model_with_advice(2);
    let blocker = step(56, 9_000);
    model.submit(submission(1, "labels", blocker), Duration::from_secs(5));
    model.run_for(Duration::from_secs(1));
    // Every worker is full for longer than a ticket is valid.
    model.submit(
        submission(2, "labels", step(4, 9_000)),
        Duration::from_secs(1),
    );
    model.run_for(Duration::from_secs(9));
    assert_eq!(model.count(JobState::Completed), 2);
    assert!(
        model.advice_asked.len() >= 3,
        "workers per call: {:?}",
        model.advice_asked
    );
    assert_eq!(model.violations, Vec::<String>::new());
}

#[test]
fn a_service_that_does_not_answer_is_asked_again_after_a_pause() {
    let mut model = model_with_advice(3);
    model.submit(
        submission(1, "labels", step(1, 9_000)),
        Duration::from_secs(1),
    );
    let now = model.now;
    model.scheduler.tick(now, 0);
    let actions = model.scheduler.take_actions();
    let [rhubarbfall_runs::scheduler::Action::Advise { step, workers }] = actions.as_slice() else {
        panic!("expected one call for advice, got {actions:?}");
    };
    model
        .scheduler
        .advice_answered(step, workers, None, now, now);
    model.scheduler.tick(now, 0);
    assert_eq!(model.scheduler.take_actions(), []);
    model.run_for(Duration::from_secs(2));
    assert_eq!(model.count(JobState::Completed), 1);
}
