//! A submission whose cancellation was answered must not run, in whatever order its requests arrive
//! and whichever owner handles them. Simulated in virtual time.

mod model;

use std::time::Duration;

use model::{Model, step, submission};
use rhubarbfall_core::SubmissionId;
use rhubarbfall_runs::scheduler::SubmissionState;
use rhubarbfall_runs::{JobState, Step, Submission, decode_progress};

const UNBOUNDED: Duration = Duration::from_secs(100_000);

/// Covers the leases of an earlier owner.
const LONG: Duration = Duration::from_secs(14);

const BACKGROUND: u64 = 0xffff;

fn id(number: u64) -> SubmissionId {
    format!("{number:016x}").parse().expect("valid identifier")
}

fn long_running(number: u64) -> Submission {
    let step = Step {
        is_long_running: true,
        max_unavailable: 1,
        ..step(3, 4_000)
    };
    submission(number, "labels", step)
}

/// Returns a model in which a long-running task on each worker keeps the pool from shrinking.
fn model(seed: u64) -> Model {
    let mut model = Model::new(&[("labels", 3), ("spare", 0)], seed);
    let mut background = long_running(BACKGROUND);
    background.steps[0].max_per_worker = Some(1);
    model.submit(background, UNBOUNDED);
    model.run_for(Duration::from_secs(1));
    assert_eq!(model.runs_of(BACKGROUND).len(), model.workers.len());
    model
}

fn cancel(model: &mut Model, number: u64) -> Option<u64> {
    model.scheduler.cancel(&id(number), model.now)
}

fn is_stored(model: &Model, number: u64, version: u64) -> bool {
    model.scheduler.is_stored(&id(number), version) == Some(true)
}

/// A `DELETE` can reach the owner before the `POST`, which waits at another entry.
#[test]
fn submission_that_arrives_after_its_cancellation_never_runs() {
    let mut model = model(1);
    let starts = model.starts;
    cancel(&mut model, 1);
    model.run_for(Duration::from_secs(1));
    model.submit(long_running(1), UNBOUNDED);
    model.run_for(Duration::from_secs(2));
    assert_eq!(model.runs_of(1), vec![]);
    assert_eq!(model.starts, starts);
}

/// The owner that answered the cancellation ends before the `POST` arrives.
#[test]
fn submission_that_arrives_at_the_next_owner_after_its_cancellation_never_runs() {
    let mut model = model(2);
    let starts = model.starts;
    cancel(&mut model, 1);
    model.run_for(Duration::from_secs(1));
    model.fail_over();
    model.run_for(Duration::from_secs(1));
    model.submit(long_running(1), UNBOUNDED);
    model.run_for(Duration::from_secs(2));
    assert_eq!(model.starts, starts);
}

/// The submission waits for the store, is cancelled and then withdrawn; the request is repeated.
#[test]
fn cancelled_submission_that_is_withdrawn_and_sent_again_never_runs() {
    let mut model = model(3);
    let starts = model.starts;
    model.is_store_blocked = true;
    model.submit(long_running(1), UNBOUNDED);
    model.run_for(Duration::from_millis(300));
    cancel(&mut model, 1);
    model.run_for(Duration::from_millis(400));
    model.scheduler.withdraw(&id(1), model.now);
    model.is_store_blocked = false;
    model.run_for(Duration::from_secs(1));
    model.submit(long_running(1), UNBOUNDED);
    model.run_for(Duration::from_secs(2));
    assert_eq!(model.starts, starts);
}

/// The versions of a job that is withdrawn and submitted again start anew, so that a version of the
/// new job could be taken for the cancellation of the old one.
#[test]
fn cancellation_of_a_withdrawn_submission_is_not_confirmed_by_its_repetition() {
    let mut model = model(4);
    model.is_store_blocked = true;
    model.submit(long_running(1), UNBOUNDED);
    let version = cancel(&mut model, 1).expect("the submission is known");
    model.scheduler.withdraw(&id(1), model.now);
    model.submit(long_running(1), UNBOUNDED);
    model.run_for(Duration::from_millis(300));
    model.is_store_blocked = false;
    model.run_for(Duration::from_secs(1));
    let is_confirmed = is_stored(&model, 1, version);
    assert!(
        !is_confirmed || model.runs_of(1).is_empty(),
        "confirmed, and runs: {:?}",
        model.runs_of(1)
    );
}

/// An owner that ends between the cancellation and its storage.
#[test]
fn cancellation_that_is_not_stored_is_not_confirmed_and_its_repetition_stops_all_runs() {
    let mut model = model(5);
    model.submit(long_running(1), UNBOUNDED);
    model.run_for(Duration::from_secs(1));
    model.is_store_blocked = true;
    let version = cancel(&mut model, 1).expect("the submission is known");
    model.run_for(Duration::from_secs(1));
    assert!(!is_stored(&model, 1, version));
    model.is_store_blocked = false;
    model.fail_over();
    model.run_for(Duration::from_secs(1));
    let version = cancel(&mut model, 1).expect("the next owner knows the submission");
    model.run_for(LONG);
    assert!(is_stored(&model, 1, version));
    assert_eq!(model.runs_of(1), vec![]);
    assert_eq!(model.count(JobState::Cancelled), 1);
}

/// The next owner must end the runs of a cancelled submission and start no others, whatever the
/// state of each run was and however late the cancellation came.
#[test]
fn cancelled_submission_stays_cancelled_over_changes_of_the_owner() {
    for seed in 0..60 {
        let mut model = model(seed);
        let start_delay = (seed % 3 == 0).then_some(Duration::from_millis(900));
        for worker in &mut model.workers {
            worker.start_delay = start_delay;
        }
        model.submit(long_running(1), UNBOUNDED);
        let pause = Duration::from_millis(20 * (seed % 12));
        model.run_for(pause);
        let cut_off = model.workers[0].report.id.clone();
        if seed % 4 == 0 {
            model.cut_off(&cut_off);
        }
        let version = cancel(&mut model, 1).expect("the submission is known");
        while !is_stored(&model, 1, version) {
            model.step();
        }
        for _ in 0..=(seed % 3) {
            model.fail_over();
            model.run_for(Duration::from_millis(20 * (seed % 7)));
        }
        for worker in &mut model.workers {
            worker.start_delay = None;
        }
        model.run_for(LONG);
        assert_eq!(model.runs_of(1), vec![], "seed {seed}");
        let starts = model.starts;
        model.run_for(Duration::from_secs(3));
        assert_eq!(model.starts, starts, "seed {seed}");
        assert_eq!(model.count(JobState::Cancelled), 1, "seed {seed}");
        assert_eq!(model.violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// Ends of runs are reported after the cancellation and change the stored progress again.
#[test]
fn progress_stored_after_a_cancellation_keeps_it() {
    let mut model = model(6);
    model.submit(
        submission(1, "labels", step(12, 4_000)),
        Duration::from_millis(700),
    );
    model.run_for(Duration::from_millis(660));
    let version = cancel(&mut model, 1).expect("the submission is known");
    for _ in 0..200 {
        model.step();
        if is_stored(&model, 1, version) {
            let (bytes, _) = &model.store.progress[&id(1)];
            let progress = decode_progress(bytes).expect("valid progress record");
            assert_eq!(progress.state, JobState::Cancelled);
        }
    }
    assert!(is_stored(&model, 1, version));
}

/// The end of the last run can be known to the owner and not stored when the cancellation arrives.
#[test]
fn cancellation_of_a_job_that_has_just_ended_is_confirmed_once_its_end_is_stored() {
    let mut model = model(7);
    model.submit(
        submission(1, "labels", step(2, 4_000)),
        Duration::from_millis(500),
    );
    model.run_for(Duration::from_millis(400));
    model.is_store_blocked = true;
    model.run_for(Duration::from_secs(1));
    assert_eq!(model.count(JobState::Completed), 1);
    let version = cancel(&mut model, 1).expect("the submission is known");
    assert!(!is_stored(&model, 1, version));
    let starts = model.starts;
    model.fail_over();
    model.is_store_blocked = false;
    model.run_for(Duration::from_secs(1));
    let version = cancel(&mut model, 1).expect("the next owner knows the submission");
    model.run_for(LONG);
    assert!(is_stored(&model, 1, version));
    assert_eq!(model.starts, starts);
    assert_eq!(model.runs_of(1), vec![]);
}

/// A worker carries out a start when the owner has forgotten the ended job.
#[test]
fn run_of_a_submission_that_is_no_longer_kept_is_stopped() {
    let mut model = model(8);
    for worker in &mut model.workers {
        worker.start_delay = Some(UNBOUNDED);
    }
    model.submit(long_running(1), UNBOUNDED);
    model.run_for(Duration::from_millis(100));
    // The stops of the cancellation do not reach these starts.
    let held: Vec<_> = model
        .workers
        .iter_mut()
        .map(|worker| std::mem::take(&mut worker.delayed_starts))
        .collect();
    assert_eq!(held.iter().map(Vec::len).sum::<usize>(), 3);
    cancel(&mut model, 1);
    model.run_for(Duration::from_secs(152));
    assert_eq!(model.scheduler.jobs().count(), 1);
    let now = model.now;
    for (worker, starts) in model.workers.iter_mut().zip(held) {
        for (_, mut order, fence) in starts {
            order.lease_deadline_ms = (now + Duration::from_secs(2)).as_millis();
            worker.delayed_starts.push((now, order, fence));
        }
    }
    model.run_for(Duration::from_millis(400));
    assert!(
        model
            .workers
            .iter()
            .all(|worker| worker.delayed_starts.is_empty())
    );
    assert_eq!(model.runs_of(1), vec![]);
}

/// A late copy of the request of an ended submission must not be started: its row exists, so that
/// the transaction that would accept it conflicts.
#[test]
fn late_copy_of_an_ended_submission_starts_nothing_before_it_is_stored_anew() {
    let mut model = model(9);
    model.submit(long_running(1), UNBOUNDED);
    model.run_for(Duration::from_secs(1));
    cancel(&mut model, 1);
    model.run_for(Duration::from_secs(152));
    let starts = model.starts;
    model.is_store_blocked = true;
    model.submit(long_running(1), UNBOUNDED);
    model.run_for(Duration::from_secs(1));
    assert_eq!(model.starts, starts);
    let batch = model.scheduler.next_batch().expect("batch with the job");
    assert!(
        batch.rows[0].submission.is_some(),
        "no condition on the row"
    );
}

/// A cancellation of an unknown submission is answered `410`; the submission must not be shown.
#[test]
fn cancelled_submission_is_shown_only_once_it_was_submitted() {
    let mut model = model(10);
    cancel(&mut model, 1);
    model.run_for(Duration::from_secs(1));
    assert_eq!(model.scheduler.submission_state(&id(1)), None);
    model.submit(long_running(1), UNBOUNDED);
    model.run_for(Duration::from_millis(200));
    let state = model.scheduler.submission_state(&id(1));
    assert_eq!(state, Some(SubmissionState::Cancelled));
}

/// The submission of a kept cancellation arrives before the cancellation is stored, and after: both
/// callers are answered only by what the next owner finds.
#[test]
fn submission_of_a_kept_cancellation_is_cancelled_at_each_time_of_its_arrival() {
    for seed in 0..40 {
        let mut model = model(seed);
        let starts = model.starts;
        model.is_store_blocked = true;
        let version = cancel(&mut model, 1).expect("the cancellation is kept");
        let in_flight = (seed % 2 == 0).then(|| model.scheduler.next_batch());
        let accepted = model.scheduler.submit(long_running(1), model.now);
        assert!(!model.scheduler.withdraw(&id(1), model.now));
        assert!(!is_stored(&model, 1, version) && !is_stored(&model, 1, accepted));
        if let Some(batch) = in_flight.flatten() {
            model.store(&batch);
            assert!(!is_stored(&model, 1, accepted), "no row of the submission");
        }
        if seed % 4 < 2 {
            model.fail_over();
            model.submit(long_running(1), UNBOUNDED);
            cancel(&mut model, 1).expect("the cancellation is kept");
        }
        model.is_store_blocked = false;
        model.run_for(Duration::from_secs(1));
        assert!(is_stored(&model, 1, version) && is_stored(&model, 1, accepted));
        let state = model.scheduler.submission_state(&id(1));
        assert_eq!(state, Some(SubmissionState::Cancelled), "seed {seed}");
        model.fail_over();
        model.run_for(LONG);
        assert_eq!(model.starts, starts, "seed {seed}");
    }
}

/// Cancellations of submissions that never come must not fill the memory or the store.
#[test]
fn kept_cancellations_are_bounded_in_number_and_in_time() {
    let mut model = model(11);
    let kept = (1..=20_000)
        .take_while(|number| cancel(&mut model, BACKGROUND + number).is_some())
        .count();
    assert_eq!(kept, 10_000);
    let again = cancel(&mut model, BACKGROUND + 1);
    assert!(again.is_some(), "a repetition needs no room");
    model.run_for(Duration::from_secs(1));
    assert_eq!(model.store.early_cancellations.len(), kept);
    model.fail_over();
    assert_eq!(cancel(&mut model, 1), None);
    model.run_for(Duration::from_secs(152));
    assert_eq!(model.store.early_cancellations.len(), 0);
    cancel(&mut model, 1).expect("there is room again");
    model.run_for(Duration::from_millis(100));
    assert_eq!(model.store.early_cancellations.len(), 1);
}

/// A caller repeats its cancellation shortly before the first one is no longer kept, and a copy of
/// the submission arrives afterwards.
#[test]
fn repeated_cancellation_of_an_unknown_submission_is_kept_from_its_repetition_on() {
    let mut model = model(12);
    let starts = model.starts;
    cancel(&mut model, 1);
    model.run_for(Duration::from_secs(140));
    cancel(&mut model, 1);
    model.run_for(Duration::from_secs(100));
    model.submit(long_running(1), UNBOUNDED);
    model.run_for(Duration::from_secs(2));
    assert_eq!(model.runs_of(1), vec![]);
    assert_eq!(model.starts, starts);
}

/// Two copies of a submission wait for the store, one of them withdraws it, and a cancellation
/// follows: the other copy must not be answered as stored, since the submission has no row.
#[test]
fn kept_cancellation_does_not_confirm_a_withdrawn_submission() {
    let mut model = model(13);
    model.is_store_blocked = true;
    let accepted = model.scheduler.submit(long_running(1), model.now);
    assert!(model.scheduler.withdraw(&id(1), model.now));
    let cancelled = cancel(&mut model, 1).expect("the cancellation is kept");
    model.is_store_blocked = false;
    model.run_for(Duration::from_secs(1));
    assert!(is_stored(&model, 1, cancelled));
    assert!(!is_stored(&model, 1, accepted));
    assert!(!model.store.submissions.contains_key(&id(1)));
}

/// A value that the store client cannot decode is empty, and every field of an empty record has its
/// default, which would make an ended job active again.
#[test]
fn empty_progress_record_is_malformed() {
    decode_progress(&[]).expect_err("an empty record");
}

/// An entry that does not reach the owner stores a cancellation itself. Each owner that reads it has to
/// stop the submission, also one that has loaded the submission as active.
#[test]
fn cancellation_stored_by_another_entry_stops_the_submission() {
    for fails_over in [false, true] {
        let mut model = model(14);
        model.submit(long_running(1), UNBOUNDED);
        model.run_for(Duration::from_secs(1));
        assert_eq!(model.runs_of(1).len(), 3);
        model.store.early_cancellations.insert(id(1));
        if fails_over {
            model.fail_over();
        } else {
            model
                .scheduler
                .apply_stored_cancellations([id(1)], model.now);
        }
        model.run_for(Duration::from_secs(2));
        assert_eq!(model.runs_of(1), vec![], "fails over: {fails_over}");
        let state = model.scheduler.submission_state(&id(1));
        assert_eq!(state, Some(SubmissionState::Cancelled));
        let starts = model.starts;
        model.fail_over();
        model.run_for(LONG);
        assert_eq!(model.starts, starts, "fails over: {fails_over}");
    }
}

/// The row of a cancellation must outlast its retention time until the submission is stored as
/// cancelled: it alone tells a later owner of the cancellation.
#[test]
fn stored_cancellation_is_kept_until_its_submission_is_stored_as_cancelled() {
    let mut model = model(15);
    model.submit(long_running(1), UNBOUNDED);
    model.run_for(Duration::from_secs(1));
    model.store.early_cancellations.insert(id(1));
    model
        .scheduler
        .apply_stored_cancellations([id(1)], model.now);
    model.is_store_blocked = true;
    model.run_for(Duration::from_secs(152));
    model.is_store_blocked = false;
    model.fail_over();
    model.run_for(LONG);
    assert_eq!(model.runs_of(1), vec![]);
    model.run_for(Duration::from_secs(152));
    assert_eq!(model.store.early_cancellations.len(), 0);
}
