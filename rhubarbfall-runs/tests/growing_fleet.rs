//! Fleets of different sizes, with as much work for each entry: on the large deployment one entry did
//! the work of 147 entries, and what was started in time did not grow with them.

mod model;

use std::time::Duration;

use model::{Model, step, submission};
use rhubarbfall_core::RackId;
use rhubarbfall_runs::{CellLayout, Submission};

const TASK_TIME: Duration = Duration::from_secs(1);

/// The starts that the processor of one entry bears a second, with all that belongs to them; a step of
/// the model takes 20 ms.
const STARTS_PER_S: usize = 400;

/// The workers for each entry; they have room for more than its starts.
const WORKERS_PER_ENTRY: usize = 70;

/// The tasks of a submission.
const TASKS: u32 = 8;

/// What is submitted, as a multiple of what the entries' processors bear together.
const LOAD: f64 = 0.9;

/// Returns the time within which a submission counts as in time.
fn objective(submission: &Submission) -> Duration {
    submission.critical_path().mul_f64(1.6) + Duration::from_millis(600)
}

/// The VMs in a rack.
const VMS_PER_RACK: usize = 10;

/// Returns the cells of a fleet of this size; each of them has an owner of its own.
fn layout(workers: usize) -> CellLayout {
    let rack = |vm: usize| format!("r{}", vm / VMS_PER_RACK).parse::<RackId>().ok();
    CellLayout::divide((0..workers).map(rack), WORKERS_PER_ENTRY)
}

/// Returns how many submissions complete in time of those sent in ten seconds.
fn in_time(entries: usize) -> usize {
    let workers = WORKERS_PER_ENTRY * entries;
    let layout = layout(workers);
    let owners = usize::from(layout.count());
    let mut models: Vec<Model> = (0..owners)
        .map(|seed| Model::new(&[("labels", workers / owners), ("spare", 0)], seed as u64))
        .collect();
    for model in &mut models {
        model.run_for(Duration::from_millis(300));
        model.starts_per_step = Some(STARTS_PER_S / 50);
    }
    let per_s = LOAD * (entries * STARTS_PER_S) as f64 / f64::from(TASKS);
    let (began_at, mut sent) = (models[0].now, 0_u64);
    while models[0].now.since(began_at) < Duration::from_secs(10) {
        let due = (models[0].now.since(began_at).as_secs_f64() * per_s) as u64;
        while sent < due {
            sent += 1;
            let submission = submission(sent, "labels", step(TASKS, 1_000));
            let cell = layout.cell_of_submission(&submission.id);
            let model = &mut models[usize::from(cell.number())];
            if model.scheduler.admit(&submission, model.now).is_ok() {
                model.submit(submission, TASK_TIME);
            }
        }
        models.iter_mut().for_each(Model::step);
    }
    let mut in_time = 0;
    for model in &mut models {
        model.run_for(Duration::from_secs(4));
        assert_eq!(model.violations, Vec::<String>::new());
        in_time += model.completed_within(objective);
    }
    in_time
}

/// Four times the entries, workers and work complete four times as much in time.
#[test]
fn what_starts_in_time_grows_with_the_entries() {
    let (one, four) = (in_time(1), in_time(4));
    println!("in time: {one} with one entry, {four} with four");
    assert!(
        four >= 4 * one * 95 / 100,
        "{four} with four, {one} with one"
    );
}
