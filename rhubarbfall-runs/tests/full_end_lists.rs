//! Workers whose ends outgrow their list: the ends beyond its limit are neither listed nor lost, and
//! a run among them must not be taken for one that never was.

mod model;

use std::time::Duration;

use model::{Model, step, submission};
use rhubarbfall_runs::JobState;

const TASK_TIME: Duration = Duration::from_secs(2);
const SUBMISSIONS: usize = 20;

/// Returns a model in which 640 tasks run on one worker, with longer ones that keep its lease.
fn with_many_runs() -> Model {
    let mut model = Model::new(&[("labels", 3), ("spare", 0)], 1);
    model.run_for(Duration::from_millis(300));
    model.submit(
        submission(100, "labels", step(8, 500)),
        Duration::from_secs(20),
    );
    model.run_for(Duration::from_millis(200));
    for number in 0..SUBMISSIONS as u64 {
        let submission = submission(number, "labels", step(32, 90));
        model.submit(submission, TASK_TIME);
    }
    while model.starts < 640 {
        model.step();
    }
    let busiest = model.workers.iter().map(|worker| worker.runs.len()).max();
    assert!(
        busiest >= Some(600),
        "{busiest:?} runs on the busiest worker"
    );
    model
}

/// The store is down while 640 tasks of one worker end. The worker lists 500 ends; the other 140 tasks
/// started again as soon as the store was back.
#[test]
fn ends_beyond_the_list_do_not_run_again() {
    let mut model = with_many_runs();
    model.is_store_blocked = true;
    model.run_for(Duration::from_secs(4));
    model.is_store_blocked = false;
    model.run_for(Duration::from_secs(10));
    assert_eq!(model.done_twice(), 0, "done tasks ran again");
    assert_eq!(model.count(JobState::Completed), SUBMISSIONS);
    assert_eq!(model.violations, Vec::<String>::new());
}

/// The same with an owner that takes over while the ends are listed.
#[test]
fn ends_beyond_the_list_do_not_run_again_at_a_new_owner() {
    let mut model = with_many_runs();
    model.is_store_blocked = true;
    model.run_for(Duration::from_secs(4));
    model.fail_over();
    model.run_for(Duration::from_secs(1));
    model.is_store_blocked = false;
    model.run_for(Duration::from_secs(10));
    assert_eq!(model.done_twice(), 0, "done tasks ran again");
    assert_eq!(model.count(JobState::Completed), SUBMISSIONS);
}
