//! Workers that start again under their name while starts and stops for their earlier life are on
//! their way.

mod model;
#[allow(dead_code, reason = "other test files use more of it")]
mod single_owner;

use std::time::Duration;

use model::{step, submission};
use rhubarbfall_core::RowVersion;
use rhubarbfall_runs::scheduler::{Action, StartOrder};
use rhubarbfall_runs::{
    ActiveRun, JobState, PlacedRun, RunEnd, RunEndKind, StartOutcome, Submission,
};
use single_owner::{Owner, id, owner_with_gang, report_done, running, stored_job};

/// A worker that starts again under its name and carries out a start that was meant for its earlier
/// life: the task is placed again while that run goes on.
#[test]
fn a_run_that_a_restarted_worker_lists_is_not_started_again() {
    let mut owner = Owner::new();
    owner.list("w-1");
    owner.answer("w-1", 1, Vec::new(), Vec::new());
    owner
        .scheduler
        .submit(submission(1, "labels", step(1, 4_000)), owner.now);
    let starts = owner.starts();
    owner.accept(&starts[0]);
    owner.answer("w-1", 2, vec![running(&starts[0])], Vec::new());
    assert_eq!(owner.starts(), vec![]);
}

/// Starts a task on a worker, which then starts again. `is_listed` tells whether the worker's
/// earlier life has listed the run, and `outcome` how the start was answered.
fn owner_of_a_restarted_worker(is_listed: bool, outcome: StartOutcome) -> (Owner, StartOrder) {
    let mut owner = Owner::new();
    owner.list("w-1");
    owner.answer("w-1", 1, Vec::new(), Vec::new());
    let submission = submission(1, "labels", step(1, 4_000));
    owner.scheduler.submit(submission, owner.now);
    let start = owner.starts().remove(0);
    let (task, worker) = (&start.task, &start.worker);
    owner
        .scheduler
        .start_answered(task, worker, start.run, outcome, owner.now);
    owner.now = owner.now + Duration::from_millis(10);
    if is_listed {
        owner.answer("w-1", 1, vec![running(&start)], Vec::new());
    }
    owner.list_incarnation("w-1", 2);
    (owner, start)
}

/// The same as above where the platform's list tells of the restart, before the worker answers.
#[test]
fn a_start_that_no_list_has_shown_waits_for_the_list_of_a_restarted_worker() {
    let (mut owner, start) = owner_of_a_restarted_worker(false, StartOutcome::Accepted);
    owner.list("w-2");
    owner.answer("w-2", 1, Vec::new(), Vec::new());
    assert_eq!(owner.starts(), vec![]);
    owner.answer("w-1", 2, vec![running(&start)], Vec::new());
    assert_eq!(owner.starts(), vec![]);
    assert_eq!(owner.reserved().len(), 1);
}

/// The first list of the present life decides: a run that it does not contain has ended with the
/// earlier life.
#[test]
fn a_start_that_a_restarted_worker_does_not_list_is_made_again() {
    let (mut owner, _) = owner_of_a_restarted_worker(false, StartOutcome::Accepted);
    owner.answer("w-1", 2, Vec::new(), Vec::new());
    assert_eq!(owner.starts().len(), 1);
}

/// A run that the earlier life has listed has ended with it: its task must not wait for an answer
/// of the present life, which may not come.
#[test]
fn a_run_of_an_earlier_life_is_replaced_before_the_restarted_worker_answers() {
    let (mut owner, _) = owner_of_a_restarted_worker(true, StartOutcome::Accepted);
    owner.list("w-2");
    owner.answer("w-2", 1, Vec::new(), Vec::new());
    let starts = owner.starts();
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].worker, id("w-2"));
}

/// A start without an answer can reach the present life after that life's first list, and a stop
/// that the earlier life has confirmed keeps the present one from nothing.
#[test]
fn a_stop_confirmed_by_an_earlier_life_does_not_end_a_start_on_its_way() {
    let (mut owner, start) = owner_of_a_restarted_worker(false, StartOutcome::Unknown);
    owner.confirm_stop(&start, 1);
    for _ in 0..10 {
        owner.answer("w-1", 2, Vec::new(), Vec::new());
        assert_eq!(owner.starts(), vec![]);
        owner.confirm_stop(&start, 1);
    }
    owner.answer("w-1", 2, vec![running(&start)], Vec::new());
    assert!(owner.starts().is_empty());
    // The present life confirms a stop, and its next list does not contain the run.
    owner.confirm_stop(&start, 2);
    owner.now = owner.now + Duration::from_millis(100);
    owner.answer("w-1", 2, Vec::new(), Vec::new());
    assert_eq!(owner.starts().len(), 1);
}

/// A stop that was confirmed before the restart is ordered again, since the present life does not
/// know it; the run of a cancelled submission would go on there.
#[test]
fn a_confirmed_stop_is_repeated_to_the_next_life_of_a_worker() {
    let mut owner = Owner::new();
    owner.list("w-1");
    owner.answer("w-1", 1, Vec::new(), Vec::new());
    let submission = submission(1, "labels", step(1, 4_000));
    let submission_id = submission.id.clone();
    owner.scheduler.submit(submission, owner.now);
    let start = owner.starts().remove(0);
    owner.scheduler.cancel(&submission_id, owner.now);
    assert_eq!(owner.stops(), 1);
    owner.confirm_stop(&start, 1);
    owner.list_incarnation("w-1", 2);
    owner.answer("w-1", 2, Vec::new(), Vec::new());
    assert_eq!(owner.stops(), 1);
    assert_eq!(owner.reserved().len(), 1);
    owner.confirm_stop(&start, 2);
    owner.now = owner.now + Duration::from_millis(100);
    owner.answer("w-1", 2, Vec::new(), Vec::new());
    assert_eq!(owner.reserved(), vec![]);
}

/// A start that is still to be sent states the end of its lease on the earlier life's clock.
#[test]
fn a_start_that_was_not_sent_before_the_restart_is_not_sent() {
    let mut owner = Owner::new();
    owner.list("w-1");
    owner.answer("w-1", 1, Vec::new(), Vec::new());
    let submission = submission(1, "labels", step(1, 4_000));
    owner.scheduler.submit(submission, owner.now);
    owner.scheduler.tick(owner.now, owner.now.as_millis());
    let batch = owner.scheduler.next_batch().expect("the placement");
    let version = RowVersion::new(1);
    owner.scheduler.batch_stored(&batch, version, owner.now);
    owner.list_incarnation("w-1", 2);
    assert_eq!(owner.scheduler.take_actions(), vec![]);
    assert_eq!(owner.reserved(), vec![]);
}

/// The lease of a start that reaches the next life ends at a time on the clock of the earlier one,
/// so that it may last as long as the worker grants leases. A worker that never answers again must
/// not keep the task for good.
#[test]
fn a_start_for_an_earlier_life_waits_for_the_longest_lease_of_a_silent_worker() {
    let (mut owner, _) = owner_of_a_restarted_worker(false, StartOutcome::Unknown);
    owner.list("w-2");
    let restarted_at = owner.now;
    let mut started_after = None;
    for _ in 0..130 {
        owner.answer("w-2", 1, Vec::new(), Vec::new());
        owner.confirm_ownership();
        let starts = owner.starts();
        if let Some(start) = starts.first() {
            assert_eq!(start.worker, id("w-2"));
            started_after = Some(owner.now.since(restarted_at));
            break;
        }
    }
    let started_after = started_after.expect("the task starts elsewhere");
    assert!(started_after > Duration::from_secs(10), "{started_after:?}");
    assert!(started_after < Duration::from_secs(11), "{started_after:?}");
}

/// Takes over a submission with a run on a worker that starts again 9 s later, 1 s before the
/// earlier owner's leases have expired.
fn successor_with_a_run_on_a_restarted_worker() -> Owner {
    let mut owner = Owner::new();
    let placed = PlacedRun {
        worker: id("w-1"),
        incarnation_unix_ms: 1,
        run: 1,
    };
    let stored = stored_job(JobState::Active, placed);
    let inherited = owner.now + Duration::from_secs(10);
    owner
        .scheduler
        .recover([stored], inherited, owner.now, owner.now.as_millis());
    owner.list("w-1");
    owner.list("w-2");
    for _ in 0..90 {
        owner.confirm_ownership();
        owner.answer("w-2", 1, Vec::new(), Vec::new());
        assert_eq!(owner.starts(), vec![]);
    }
    owner.list_incarnation("w-1", 2);
    owner
}

/// A start by an earlier owner can reach the next life of its worker as well.
#[test]
fn an_inherited_run_on_a_silent_restarted_worker_waits_for_the_longest_lease() {
    let mut owner = successor_with_a_run_on_a_restarted_worker();
    for _ in 0..100 {
        owner.confirm_ownership();
        owner.answer("w-2", 1, Vec::new(), Vec::new());
        assert_eq!(owner.starts(), vec![]);
    }
    owner.confirm_ownership();
    let mut starts = Vec::new();
    for _ in 0..5 {
        owner.answer("w-2", 1, Vec::new(), Vec::new());
        starts.extend(owner.starts());
    }
    assert_eq!(starts.len(), 1);
}

/// The first list of the present life shows what became of a start by an earlier owner, whose
/// orders the worker refuses from then on.
#[test]
fn an_inherited_run_is_replaced_once_a_restarted_worker_does_not_list_it() {
    let mut owner = successor_with_a_run_on_a_restarted_worker();
    owner.answer("w-2", 1, Vec::new(), Vec::new());
    owner.answer("w-1", 2, Vec::new(), Vec::new());
    assert_eq!(owner.starts().len(), 1);
}

/// Lets the lease of the task's worker expire, so that the task waits.
fn owner_of_a_lapsed_worker(submission: Submission) -> (Owner, StartOrder) {
    let mut owner = Owner::new();
    owner.list("w-1");
    owner.answer("w-1", 1, Vec::new(), Vec::new());
    owner.scheduler.submit(submission, owner.now);
    let start = owner.starts().remove(0);
    owner.accept(&start);
    for _ in 0..40 {
        assert_eq!(owner.starts(), vec![]);
    }
    assert_eq!(owner.reserved(), vec![]);
    (owner, start)
}

/// A worker that lists a run after its lease should have ended: the run goes on, so that its task
/// must not start beside it, and its load counts.
#[test]
fn a_listed_run_of_a_waiting_task_goes_on_as_its_run() {
    let (mut owner, start) = owner_of_a_lapsed_worker(submission(1, "labels", step(1, 4_000)));
    owner.answer("w-1", 1, vec![running(&start)], Vec::new());
    let actions = owner.actions();
    assert!(actions.is_empty(), "{actions:?}");
    let reserved = owner.reserved();
    assert_eq!(reserved.len(), 1);
    assert_eq!(reserved[0].1.cpu_millis, 4_000);
    report_done(&mut owner, &start);
    owner.actions();
    let job = owner.scheduler.jobs().next().expect("the task's job");
    assert_eq!(job.state, JobState::Completed);
}

/// The same where the task is placed elsewhere already and its start is not ordered yet.
#[test]
fn a_listed_run_takes_the_place_of_one_that_is_not_ordered_yet() {
    let (mut owner, start) = owner_of_a_lapsed_worker(submission(1, "labels", step(1, 4_000)));
    owner.list("w-2");
    owner.answer("w-2", 1, Vec::new(), Vec::new());
    owner.scheduler.tick(owner.now, owner.now.as_millis());
    let batch = owner.scheduler.next_batch().expect("the new placement");
    owner.answer("w-1", 1, vec![running(&start)], Vec::new());
    owner.rows += 1;
    let version = RowVersion::new(owner.rows);
    owner.scheduler.batch_stored(&batch, version, owner.now);
    assert_eq!(owner.starts(), vec![]);
    let reserved = owner.reserved();
    assert_eq!(reserved.len(), 1);
    assert_eq!(reserved[0].0, id("w-1"));
}

/// An earlier run that the worker lists while the list shows that the placed run is over: a start
/// by an earlier owner that the worker's present life has carried out late.
#[test]
fn an_earlier_run_that_goes_on_takes_the_place_of_one_that_is_over() {
    let mut owner = Owner::new();
    owner.list("w-1");
    owner.answer("w-1", 1, Vec::new(), Vec::new());
    owner
        .scheduler
        .submit(submission(1, "labels", step(1, 4_000)), owner.now);
    let first = owner.starts().remove(0);
    owner.accept(&first);
    owner.now = owner.now + Duration::from_millis(10);
    owner.answer("w-1", 1, Vec::new(), Vec::new());
    let second = owner.starts().remove(0);
    owner.accept(&second);
    owner.now = owner.now + Duration::from_millis(10);
    owner.answer("w-1", 1, vec![running(&first)], Vec::new());
    let actions = owner.actions();
    assert!(actions.is_empty(), "{actions:?}");
    assert_eq!(owner.reserved().len(), 1);
    report_done(&mut owner, &first);
    let job = owner.scheduler.jobs().next().expect("the task's job");
    assert_eq!(job.state, JobState::Completed);
}

/// A listed run of a submission that was cancelled meanwhile is stopped.
#[test]
fn a_listed_run_of_a_cancelled_submission_is_stopped() {
    let submission = submission(1, "labels", step(1, 4_000));
    let submission_id = submission.id.clone();
    let (mut owner, start) = owner_of_a_lapsed_worker(submission);
    owner.scheduler.cancel(&submission_id, owner.now);
    for _ in 0..3 {
        owner.answer("w-1", 1, vec![running(&start)], Vec::new());
        let actions = owner.actions();
        assert!(
            matches!(&actions[..], [Action::Stop(order)] if order.run == start.run),
            "{actions:?}"
        );
    }
}

/// A gang's member that goes on alone is stopped, and the gang starts again only after its end.
#[test]
fn a_listed_run_of_a_waiting_gang_is_stopped_before_the_gang_starts() {
    let (mut owner, starts) = owner_with_gang();
    for _ in 0..40 {
        owner.starts();
    }
    assert_eq!(owner.reserved(), vec![]);
    owner.list("w-3");
    let first = &starts[0];
    let name = first.worker.to_string();
    let other = starts[1].worker.to_string();
    for _ in 0..3 {
        owner.answer(&other, 1, Vec::new(), Vec::new());
        owner.answer("w-3", 1, Vec::new(), Vec::new());
        owner.answer(&name, 1, vec![running(first)], Vec::new());
        let actions = owner.actions();
        let is_start = |action: &Action| matches!(action, Action::Start(_));
        assert!(!actions.iter().any(is_start), "{actions:?}");
    }
    let end = RunEnd {
        number: 1,
        task: first.task.clone(),
        run: first.run,
        kind: RunEndKind::Stopped,
        checkpoint: None,
    };
    owner.answer(&name, 1, Vec::new(), vec![end]);
    owner.answer(&other, 1, Vec::new(), Vec::new());
    assert_eq!(owner.starts().len(), 2);
}

/// An answer of a worker's earlier life that arrives after the next life is listed and has
/// answered: it returns the tasks of the present life to the queue while their runs go on.
#[test]
fn an_answer_of_an_earlier_life_requeues_nothing() {
    let mut owner = Owner::new();
    owner.list("w-1");
    let sent_at = owner.now;
    owner.now = owner.now + Duration::from_millis(10);
    owner.answer("w-1", 2, Vec::new(), Vec::new());
    owner
        .scheduler
        .submit(submission(1, "labels", step(1, 4_000)), owner.now);
    let starts = owner.starts();
    owner.accept(&starts[0]);
    owner.answer_call_sent_at(sent_at, "w-1", 1, Vec::new(), Vec::new());
    owner.answer("w-1", 2, vec![running(&starts[0])], Vec::new());
    assert_eq!(owner.starts(), vec![]);
}

/// A worker starts again after its VM's clock was set back, so that its present life has a lower
/// number than the earlier one: its answers must count, or it gets no work and no stops.
#[test]
fn a_worker_that_starts_again_with_a_lower_incarnation_is_heard() {
    let mut owner = Owner::new();
    owner.list("w-1");
    owner.answer("w-1", 2, Vec::new(), Vec::new());
    owner.now = owner.now + Duration::from_secs(2);
    owner.answer("w-1", 1, Vec::new(), Vec::new());
    owner
        .scheduler
        .submit(submission(1, "labels", step(1, 4_000)), owner.now);
    let starts = owner.starts();
    assert_eq!(starts.len(), 1);
    owner.accept(&starts[0]);
    owner.answer("w-1", 1, vec![running(&starts[0])], Vec::new());
    assert_eq!(owner.starts(), vec![]);
}

/// A list read before a worker's restart can arrive after the present one. Its entry describes a
/// life that has ended, at an address that may be another worker's by now.
#[test]
fn an_entry_of_an_earlier_life_replaces_nothing() {
    let mut owner = Owner::new();
    owner.list_incarnation("w-1", 2);
    owner.list_incarnation("w-1", 1);
    let worker = owner.scheduler.worker(&id("w-1")).expect("listed worker");
    assert_eq!(worker.report.incarnation_unix_ms, 2);
}

/// Lets a worker start again after its VM's clock was set back, so that its present incarnation has a
/// lower number than the earlier one, and starts a task on it that it lists.
fn owner_of_a_worker_whose_clock_was_set_back() -> (Owner, StartOrder) {
    let mut owner = Owner::new();
    owner.list_incarnation("w-1", 2);
    owner.answer("w-1", 2, Vec::new(), Vec::new());
    owner.now = owner.now + Duration::from_secs(2);
    owner.answer("w-1", 1, Vec::new(), Vec::new());
    owner
        .scheduler
        .submit(submission(1, "labels", step(1, 4_000)), owner.now);
    let start = owner.starts().remove(0);
    owner.accept(&start);
    owner.answer("w-1", 1, vec![running(&start)], Vec::new());
    owner.list("w-2");
    owner.answer("w-2", 1, Vec::new(), Vec::new());
    (owner, start)
}

/// The entry of an incarnation that has ended comes again, as in a list that is read anew before the
/// worker has written the next one: the task ran elsewhere beside its run on the present incarnation.
#[test]
fn an_entry_of_an_ended_incarnation_with_a_higher_number_replaces_nothing() {
    let (mut owner, start) = owner_of_a_worker_whose_clock_was_set_back();
    owner.list_incarnation("w-1", 2);
    assert_eq!(owner.starts(), vec![]);
    owner.answer("w-1", 1, vec![running(&start)], Vec::new());
    assert_eq!(owner.starts(), vec![]);
}

/// The same with an answer that arrives late.
#[test]
fn an_answer_of_an_ended_incarnation_with_a_higher_number_requeues_nothing() {
    let (mut owner, _) = owner_of_a_worker_whose_clock_was_set_back();
    let sent_at = owner.now.before(Duration::from_secs(3));
    owner.answer_call_sent_at(sent_at, "w-1", 2, Vec::new(), Vec::new());
    assert_eq!(owner.starts(), vec![]);
}

/// What was granted to an incarnation before its owner learns of it by another way counts on: an owner
/// that forgets it starts tasks elsewhere too early.
#[test]
fn a_restart_shortens_no_lease() {
    let (mut owner, _) = owner_of_a_restarted_worker(true, StartOutcome::Accepted);
    let worker = owner.scheduler.worker(&id("w-1")).expect("listed worker");
    assert!(worker.lease_expiry > owner.now + Duration::from_secs(2));
    owner.now = owner.now + Duration::from_millis(1);
    owner.list_incarnation("w-1", 3);
    let worker = owner.scheduler.worker(&id("w-1")).expect("listed worker");
    assert!(worker.lease_expiry > owner.now + Duration::from_secs(2));
}

/// An owner of an earlier version may have renewed leases of a worker that had just started again, with
/// an end on the clock of the incarnation before. A worker that answers its successor once and falls
/// silent may hold such a lease: its task must not start elsewhere before the longest one has lapsed.
#[test]
fn a_lease_by_an_owner_of_an_earlier_version_may_be_the_longest_one() {
    for (is_earlier_version, lapses_within) in [(false, 4), (true, 11)] {
        let mut owner = Owner::new();
        let placed = PlacedRun {
            worker: id("w-1"),
            incarnation_unix_ms: 1,
            run: 1,
        };
        let stored = stored_job(JobState::Active, placed);
        let until = owner.now + Duration::from_secs(10);
        owner
            .scheduler
            .recover([stored], until, owner.now, owner.now.as_millis());
        if is_earlier_version {
            owner.scheduler.expect_longest_leases_until(until);
        }
        owner.list("w-1");
        owner.list("w-2");
        let run = ActiveRun {
            task: "0000000000000001.0.0.0".parse().expect("valid task name"),
            run: 1,
            checkpoint: None,
            percent: 0,
            tail_ms_or_cpu_millis: None,
        };
        owner.answer("w-1", 1, vec![run], Vec::new());
        let fell_silent_at = owner.now;
        let mut starts = Vec::new();
        while starts.is_empty() {
            owner.confirm_ownership();
            owner.answer("w-2", 1, Vec::new(), Vec::new());
            starts = owner.starts();
        }
        let lapsed_after = owner.now.since(fell_silent_at).as_secs();
        assert!(lapsed_after < lapses_within, "{lapsed_after} s");
        assert_eq!(lapsed_after >= 10, is_earlier_version, "{lapsed_after} s");
    }
}

/// A worker that starts again under its name in the pool of another service: its tasks start elsewhere
/// once its list shows that they are over, and it gets none of its former service any more.
#[test]
fn a_worker_that_starts_again_in_another_pool_gets_no_task_of_its_former_one() {
    let (mut owner, _) = owner_of_a_restarted_worker(false, StartOutcome::Accepted);
    owner.list_in_pool("w-1", 3, "permits");
    owner.answer("w-1", 3, Vec::new(), Vec::new());
    assert_eq!(owner.starts(), vec![]);
    owner.list("w-2");
    owner.answer("w-2", 1, Vec::new(), Vec::new());
    let starts = owner.starts();
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].worker, id("w-2"));
}

/// The same where the present life carries out the start: the task must not start beside its run.
#[test]
fn a_run_that_goes_on_in_another_pool_is_not_started_again() {
    let (mut owner, start) = owner_of_a_restarted_worker(false, StartOutcome::Accepted);
    owner.list_in_pool("w-1", 3, "permits");
    owner.list("w-2");
    owner.answer("w-2", 1, Vec::new(), Vec::new());
    assert_eq!(owner.starts(), vec![]);
    for _ in 0..20 {
        owner.answer("w-1", 3, vec![running(&start)], Vec::new());
        owner.answer("w-2", 1, Vec::new(), Vec::new());
        assert_eq!(owner.starts(), vec![]);
    }
    assert_eq!(owner.reserved().len(), 1);
}

/// A row of a placement for a life that is over, read by the next owner while the platform's list still
/// shows that life: the answer of the present one tells that the run is over, and it starts once.
#[test]
fn an_inherited_placement_for_a_life_that_is_over_starts_once() {
    let mut owner = successor_with_a_run_on_a_restarted_worker();
    owner.list("w-2");
    owner.answer("w-2", 1, Vec::new(), Vec::new());
    assert_eq!(owner.starts(), vec![]);
    owner.answer("w-1", 2, Vec::new(), Vec::new());
    assert_eq!(owner.starts().len(), 1);
    owner.list_incarnation("w-1", 1);
    owner.answer("w-1", 2, Vec::new(), Vec::new());
    assert_eq!(owner.starts(), vec![]);
}
