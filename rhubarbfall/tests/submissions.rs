//! Submissions through entries that run as separate processes against a stand-in for the users'
//! platform.

mod scheduler_process;
#[path = "../../platform/tests/stand_in/mod.rs"]
mod stand_in;
mod support;

use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::future::join_all;
use http::{Method, StatusCode};
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use rhubarbfall_testing::{Relay, RelayMode};
use rustix::process::Signal;
use scheduler_process::{
    BODY, LONG_RUNNING_BODY, SETTLING_TIME, SchedulerEntry, WAIT_TIMEOUT, active_runs_of, call,
    call_within, signal, start_entry, start_entry_with_store, starts_of, status_of, submit,
    submit_long_running,
};
use stand_in::StandInSite;

/// Queries a submission until it is reported as completed.
async fn wait_completed(entry: &SchedulerEntry, id: &str) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    let mut last = None;
    while Instant::now() < deadline {
        last = call(entry, Method::GET, &format!("/print/{id}"), "").await;
        if last
            .as_ref()
            .is_some_and(|(_, body)| body.contains("completed"))
        {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("{id} was not completed in time; last response: {last:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn submission_completes_and_is_visible_through_any_entry() {
    let site = StandInSite::start(2, Duration::from_millis(150)).await;
    let first = start_entry(&site, "entry-1", &[]);
    let second = start_entry(&site, "entry-2", &[first.addresses.peers]);
    submit(&[&first], "00000000000000a1").await;
    submit(&[&second], "00000000000000a2").await;
    wait_completed(&second, "00000000000000a1").await;
    wait_completed(&first, "00000000000000a2").await;
    assert_eq!(site.done().len(), 10, "{:?}", site.done());
    assert_eq!(site.started().len(), 10, "{:?}", site.started());
    let unknown = call(&second, Method::GET, "/print/00000000000000ff", "").await;
    assert_eq!(unknown.map(|(status, _)| status), Some(StatusCode::GONE));
    let nowhere = call(&first, Method::GET, "/nowhere/1", "").await;
    assert_eq!(
        nowhere.map(|(status, _)| status),
        Some(StatusCode::NOT_FOUND)
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_owner_loses_no_submission_and_no_task_completes_twice() {
    let site = StandInSite::start(3, Duration::from_millis(700)).await;
    let mut first = start_entry(&site, "entry-1", &[]);
    submit(&[&first], "00000000000000b1").await;
    let second = start_entry(&site, "entry-2", &[first.addresses.peers]);
    submit(&[&first], "00000000000000b2").await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    first.child.kill().expect("the owner is killed");
    submit(&[&second], "00000000000000b3").await;
    for id in ["00000000000000b1", "00000000000000b2", "00000000000000b3"] {
        wait_completed(&second, id).await;
    }
    let mut done = site.done();
    assert_eq!(done.len(), 15, "{done:?}");
    done.dedup();
    assert_eq!(done.len(), 15, "a task was done twice: {done:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn store_outage_interrupts_no_running_task() {
    let site = StandInSite::start(2, Duration::from_secs(5)).await;
    let entry = start_entry(&site, "entry-1", &[]);
    submit(&[&entry], "00000000000000c1").await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    site.set_store_down(true);
    let rejected = call(&entry, Method::POST, "/print/00000000000000c2", BODY).await;
    let status = rejected.map(|(status, _)| status);
    assert!(status != Some(StatusCode::OK), "{status:?}");
    tokio::time::sleep(Duration::from_secs(2)).await;
    site.set_store_down(false);
    wait_completed(&entry, "00000000000000c1").await;
    let first: Vec<_> = site
        .started()
        .into_iter()
        .filter(|(task, _)| task.contains("c1."))
        .collect();
    assert!(first.iter().all(|(_, run)| *run == 1), "{first:?}");
}

const ENDLESS_BODY: &str = r#"{"spec":"endless","steps":[{"count":2,"cpu":1000,"mem_mb":100,
    "estimate_ms":200,"long_running":true}]}"#;

/// Cancels a submission and returns the status of the answer.
async fn cancel(entry: &SchedulerEntry, id: &str) -> Option<StatusCode> {
    let answer = call(entry, Method::DELETE, &format!("/print/{id}"), "").await;
    answer.map(|(status, _)| status)
}

/// Asserts that nothing of a submission runs once the platform's bounds after its cancel have
/// passed: 4 s in which its tasks may start, and 0.9 s to stop them.
async fn assert_nothing_runs_on(site: &StandInSite, id: &str) {
    tokio::time::sleep(Duration::from_millis(4_900)).await;
    let mut spans = site.spans();
    spans.retain(|span| span.task.starts_with(id) && span.to_ms.is_none());
    assert!(spans.is_empty(), "cancelled work runs on: {spans:?}");
}

/// A caller that has given up cancels at an entry that does not know the submission yet, and a
/// copy of its request arrives later.
#[tokio::test(flavor = "multi_thread")]
async fn submission_that_arrives_after_its_cancel_does_not_run_on() {
    let site = StandInSite::start(2, Duration::from_millis(150)).await;
    let first = start_entry(&site, "entry-1", &[]);
    submit(&[&first], "00000000000001a1").await;
    let id = "00000000000001a2";
    assert_eq!(cancel(&first, id).await, Some(StatusCode::GONE));
    let _ = call(&first, Method::POST, &format!("/print/{id}"), ENDLESS_BODY).await;
    assert_nothing_runs_on(&site, id).await;
}

/// An entry is suspended when it receives a submission, and its caller cancels at another entry.
/// The entry reads the submission when it is resumed.
#[tokio::test(flavor = "multi_thread")]
async fn submission_held_up_in_a_suspended_entry_does_not_run_on_after_its_cancel() {
    let site = StandInSite::start(2, Duration::from_millis(150)).await;
    let first = start_entry(&site, "entry-1", &[]);
    submit(&[&first], "00000000000001b1").await;
    let second = start_entry(&site, "entry-2", &[first.addresses.peers]);
    submit(&[&second], "00000000000001b2").await;
    let id = "00000000000001b3";
    let path = format!("/print/{id}");
    signal(&second, Signal::STOP);
    let submission = call(&second, Method::POST, &path, ENDLESS_BODY);
    let cancelled = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        let status = cancel(&first, id).await;
        signal(&second, Signal::CONT);
        status
    };
    // The caller still waits for the answer to its submission when its cancel is answered.
    let (_, status) = tokio::join!(submission, cancelled);
    assert_eq!(status, Some(StatusCode::GONE));
    assert_nothing_runs_on(&site, id).await;
}

async fn is_ready(entry: &SchedulerEntry) -> bool {
    let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    let uri = format!("http://{}/-/ready", entry.addresses.readiness);
    let response = client.get(uri.parse().expect("the address is valid")).await;
    response.is_ok_and(|response| response.status() == StatusCode::OK)
}

/// The owner of the submissions may be in an isolated zone, where it still answers but cannot store
/// anything. Entries that rely on it must leave the balancer's rotation.
#[tokio::test(flavor = "multi_thread")]
async fn entries_report_not_ready_while_the_owner_cannot_reach_the_store() {
    let site = StandInSite::start(2, Duration::from_millis(150)).await;
    let relay = Relay::start(site.store).await.expect("the relay starts");
    let first = start_entry_with_store(&site, relay.address(), "entry-1", &[]);
    submit(&[&first], "00000000000000d1").await;
    let second =
        start_entry_with_store(&site, relay.address(), "entry-2", &[first.addresses.peers]);
    submit(&[&second], "00000000000000d2").await;
    relay.set_mode(RelayMode::Silent);
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert!(
        !is_ready(&first).await,
        "the owner reports that it is ready"
    );
    assert!(
        !is_ready(&second).await,
        "the other entry reports that it is ready"
    );
    let started_at = Instant::now();
    let answer = call(&second, Method::POST, "/print/00000000000000d3", BODY).await;
    assert_eq!(
        answer.map(|(status, _)| status),
        Some(StatusCode::SERVICE_UNAVAILABLE)
    );
    assert!(started_at.elapsed() < Duration::from_millis(500));
    relay.set_mode(RelayMode::Pass);
    submit(&[&first, &second], "00000000000000d4").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn submission_with_too_short_a_deadline_is_rejected_and_never_runs() {
    let site = StandInSite::start(2, Duration::from_millis(150)).await;
    let entry = start_entry(&site, "entry-1", &[]);
    submit(&[&entry], "00000000000000e1").await;
    let path = "/print/00000000000000e2";
    let answer = call_within(&entry, Method::POST, path, BODY, 100).await;
    assert_eq!(
        answer.map(|(status, _)| status),
        Some(StatusCode::SERVICE_UNAVAILABLE)
    );
    tokio::time::sleep(Duration::from_millis(800)).await;
    let started = site.started();
    assert!(
        !started.iter().any(|(task, _)| task.contains("e2.")),
        "{started:?}"
    );
}

// The searches of docs/OPERATIONS.md, from the identifier of a failed request to its cause.

#[tokio::test(flavor = "multi_thread")]
async fn log_shows_why_a_submission_was_rejected() {
    let site = StandInSite::start(2, Duration::from_millis(150)).await;
    let relay = Relay::start(site.store).await.expect("the relay starts");
    let entry = start_entry_with_store(&site, relay.address(), "entry-1", &[]);
    submit(&[&entry], "00000000000000f1").await;
    relay.set_mode(RelayMode::Silent);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let id = "00000000000000f2";
    let answer = call(&entry, Method::POST, &format!("/print/{id}"), BODY).await;
    assert_eq!(
        answer.map(|(status, _)| status),
        Some(StatusCode::SERVICE_UNAVAILABLE)
    );
    tokio::time::sleep(Duration::from_millis(200)).await;
    let request = entry.event_names(&[id, "outcome=NoOwner", "owner_silent_ms="]);
    assert_eq!(request, ["submission"]);
    assert!(!entry.event_names(&["event=renewal_failed"]).is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn log_shows_how_long_a_delayed_submission_waited() {
    // The only worker fits sixteen tasks of one core each.
    let site = StandInSite::start(1, Duration::from_millis(800)).await;
    let entry = start_entry(&site, "entry-1", &[]);
    let ids: Vec<String> = (0..12).map(|number| format!("{number:016x}")).collect();
    for id in &ids {
        submit(&[&entry], id).await;
    }
    for id in &ids {
        wait_completed(&entry, id).await;
    }
    tokio::time::sleep(Duration::from_millis(200)).await;
    for id in &ids {
        assert_eq!(
            entry.event_names(&[id, "event=job_received"]),
            ["job_received"]
        );
        let ended = entry.event_names(&[id, "state=completed", "took_ms=", "waited_ms=Some("]);
        assert_eq!(ended, ["job_ended"]);
    }
    // Some submissions waited for more than a second, which takes at least four digits.
    let log = std::fs::read_to_string(&entry.log).expect("the log can be read");
    let waits = log
        .lines()
        .filter_map(|line| line.split("waited_ms=Some(").nth(1));
    assert!(
        waits
            .filter_map(|rest| rest.split(')').next())
            .any(|ms| ms.len() >= 4)
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn log_shows_why_a_task_ran_again() {
    let site = StandInSite::start(2, Duration::from_secs(2)).await;
    let relay = Relay::start(site.worker_address(0))
        .await
        .expect("the relay starts");
    site.register(0, relay.address());
    let entry = start_entry(&site, "entry-1", &[]);
    let ids: Vec<String> = (0..6).map(|number| format!("{number:016x}")).collect();
    for id in &ids {
        submit(&[&entry], id).await;
    }
    relay.set_mode(RelayMode::Silent);
    for id in &ids {
        wait_completed(&entry, id).await;
    }
    tokio::time::sleep(Duration::from_millis(200)).await;
    let lost = entry.event_names(&["event=run_lost", "worker=w-0", "reason=lease_lapsed"]);
    assert!(!lost.is_empty());
    assert_eq!(
        entry.event_names(&["event=worker_lapsed", "worker=w-0"]),
        ["worker_lapsed"]
    );
    assert!(
        !entry
            .event_names(&["event=run_placed", "run=2", "worker=w-1"])
            .is_empty()
    );
}

// Cancellations: a submission whose cancellation was answered with 200 or 410 does not run.

/// The `POST` can wait at one entry while the `DELETE` reaches the owner through another one.
#[tokio::test(flavor = "multi_thread")]
async fn submission_that_is_overtaken_by_its_cancellation_never_runs() {
    let site = StandInSite::start(2, WAIT_TIMEOUT).await;
    let first = start_entry(&site, "entry-1", &[]);
    submit(&[&first], "00000000000000a1").await;
    let second = start_entry(&site, "entry-2", &[first.addresses.peers]);
    submit(&[&second], "00000000000000a2").await;
    let id = "00000000000000a3";
    assert_eq!(status_of(&second, Method::DELETE, id, "").await, 410);
    assert_eq!(status_of(&second, Method::GET, id, "").await, 410);
    status_of(&first, Method::POST, id, LONG_RUNNING_BODY).await;
    tokio::time::sleep(SETTLING_TIME).await;
    assert_eq!(starts_of(&site, id), 0);
}

/// The copy of the `POST` reaches the successor of the owner that answered the `DELETE`.
#[tokio::test(flavor = "multi_thread")]
async fn submission_overtaken_by_its_cancellation_never_runs_at_the_next_owner() {
    let site = StandInSite::start(2, WAIT_TIMEOUT).await;
    let mut first = start_entry(&site, "entry-1", &[]);
    submit(&[&first], "00000000000000b1").await;
    let id = "00000000000000b2";
    assert_eq!(status_of(&first, Method::DELETE, id, "").await, 410);
    first.child.kill().expect("the owner is killed");
    let second = start_entry(&site, "entry-2", &[]);
    submit(&[&second], "00000000000000b3").await;
    status_of(&second, Method::POST, id, LONG_RUNNING_BODY).await;
    tokio::time::sleep(SETTLING_TIME).await;
    assert_eq!(starts_of(&site, id), 0);
}

/// A submission that waits for the store is cancelled, and withdrawn when its caller is told that
/// it has not run. The platform delivers a copy of its request later.
#[tokio::test(flavor = "multi_thread")]
async fn submission_cancelled_while_it_waits_for_the_store_never_runs() {
    let site = StandInSite::start(2, WAIT_TIMEOUT).await;
    let relay = Relay::start(site.store).await.expect("the relay starts");
    let entry = start_entry_with_store(&site, relay.address(), "entry-1", &[]);
    submit(&[&entry], "00000000000000c1").await;
    relay.set_mode(RelayMode::Silent);
    let (id, path) = ("00000000000000c3", "/print/00000000000000c3");
    let in_flight = call(&entry, Method::POST, "/print/00000000000000c2", BODY);
    let waiting = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        call_within(&entry, Method::POST, path, LONG_RUNNING_BODY, 900).await
    };
    let cancelled = async {
        tokio::time::sleep(Duration::from_millis(250)).await;
        status_of(&entry, Method::DELETE, id, "").await
    };
    let restored = async {
        tokio::time::sleep(Duration::from_secs(1)).await;
        relay.set_mode(RelayMode::Pass);
    };
    let (_, _, mut cancelled, ()) = tokio::join!(in_flight, waiting, cancelled, restored);
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while cancelled != 200 && cancelled != 410 {
        assert!(Instant::now() < deadline, "last answer: {cancelled}");
        tokio::time::sleep(Duration::from_millis(100)).await;
        cancelled = status_of(&entry, Method::DELETE, id, "").await;
    }
    status_of(&entry, Method::POST, id, LONG_RUNNING_BODY).await;
    tokio::time::sleep(SETTLING_TIME).await;
    assert_eq!(active_runs_of(&site, id), 0);
}

/// Cancels a running submission, replaces the value of its progress row and lets another entry take
/// over.
async fn take_over_with_progress_value(value: &str) {
    let site = StandInSite::start(2, WAIT_TIMEOUT).await;
    let mut first = start_entry(&site, "entry-1", &[]);
    let id = "00000000000000d1";
    submit_long_running(&site, &first, id).await;
    assert_eq!(status_of(&first, Method::DELETE, id, "").await, 200);
    let starts = starts_of(&site, id);
    first.child.kill().expect("the owner is killed");
    site.replace_value("progress", "c0", id, value);
    let second = start_entry(&site, "entry-2", &[]);
    submit(&[&second], "00000000000000d2").await;
    tokio::time::sleep(SETTLING_TIME).await;
    assert_eq!(starts_of(&site, id), starts);
    assert_eq!(status_of(&second, Method::DELETE, id, "").await, 200);
    status_of(&second, Method::POST, id, LONG_RUNNING_BODY).await;
    submit(&[&second], "00000000000000d3").await;
    assert_eq!(second.event_names(&["event=ownership_lost"]).len(), 0);
    assert_eq!(starts_of(&site, id), starts);
}

/// A progress row that is not a valid record leaves the outcome of the submission unknown. It must
/// neither start from the beginning nor keep the other submissions from being stored.
#[tokio::test(flavor = "multi_thread")]
async fn cancelled_submission_with_a_malformed_progress_row_never_runs_again() {
    take_over_with_progress_value("/////w==").await;
}

/// A value that is not base64 is read as empty, which is a valid record of a job without progress.
#[tokio::test(flavor = "multi_thread")]
async fn cancelled_submission_with_an_undecodable_progress_row_never_runs_again() {
    take_over_with_progress_value("?").await;
}

/// A submission that its owner has forgotten, or whose row cannot be read, keeps its row. A late copy
/// of its request meets that row, which must not cost the ownership.
#[tokio::test(flavor = "multi_thread")]
async fn late_copy_of_a_forgotten_submission_costs_no_ownership() {
    let site = StandInSite::start(2, WAIT_TIMEOUT).await;
    let mut first = start_entry(&site, "entry-1", &[]);
    let id = "00000000000000d4";
    submit_long_running(&site, &first, id).await;
    assert_eq!(status_of(&first, Method::DELETE, id, "").await, 200);
    let starts = starts_of(&site, id);
    first.child.kill().expect("the owner is killed");
    site.replace_value("submission", "c0", id, "/////w==");
    let second = start_entry(&site, "entry-2", &[]);
    submit(&[&second], "00000000000000d5").await;
    status_of(&second, Method::POST, id, LONG_RUNNING_BODY).await;
    tokio::time::sleep(SETTLING_TIME).await;
    assert_eq!(starts_of(&site, id), starts);
    assert_eq!(second.event_names(&["event=ownership_lost"]).len(), 0);
}

/// Returns the owner after one that has completed a submission. The rows of that submission appear only
/// after the present owner has read the others, as if it had forgotten them.
async fn owner_that_has_forgotten(site: &StandInSite, id: &str) -> SchedulerEntry {
    let mut first = start_entry(site, "entry-1", &[]);
    submit(&[&first], id).await;
    wait_completed(&first, id).await;
    first.child.kill().expect("the owner is killed");
    for table in ["submission", "progress"] {
        site.set_hidden(table, "c0", id, true);
    }
    let second = start_entry(site, "entry-2", &[]);
    submit(&[&second], "00000000000000d7").await;
    for table in ["submission", "progress"] {
        site.set_hidden(table, "c0", id, false);
    }
    second
}

/// A copy of an ended submission that its owner has forgotten is the same submission: it is
/// confirmed with its state and does not run again, and the other submissions of its batch are
/// stored.
#[tokio::test(flavor = "multi_thread")]
async fn late_copy_of_an_ended_submission_is_confirmed_and_does_not_run_again() {
    let site = StandInSite::start(2, Duration::from_millis(150)).await;
    let id = "00000000000000d6";
    let owner = owner_that_has_forgotten(&site, id).await;
    let starts = starts_of(&site, id);
    let others: Vec<String> = (0..8).map(|number| format!("{number:015x}d")).collect();
    let copies = (0..3).map(|_| status_of(&owner, Method::POST, id, BODY));
    let new = others
        .iter()
        .map(|other| status_of(&owner, Method::POST, other, BODY));
    let (copies, new) = tokio::join!(join_all(copies), join_all(new));
    assert_eq!(copies, [200; 3]);
    assert_eq!(new, [200; 8]);
    for other in &others {
        wait_completed(&owner, other).await;
    }
    wait_completed(&owner, id).await;
    tokio::time::sleep(SETTLING_TIME).await;
    assert_eq!(starts_of(&site, id), starts);
    assert_eq!(owner.event_names(&["event=ownership_lost"]).len(), 0);
    assert_eq!(owner.event_names(&["event=submission_found", id]).len(), 1);
}

/// The same where the row that the copy meets cannot be read: the copy is not confirmed.
#[tokio::test(flavor = "multi_thread")]
async fn late_copy_of_a_submission_that_cannot_be_read_is_not_confirmed() {
    let site = StandInSite::start(2, Duration::from_millis(150)).await;
    let id = "00000000000000d8";
    let owner = owner_that_has_forgotten(&site, id).await;
    let starts = starts_of(&site, id);
    site.replace_value("submission", "c0", id, "/////w==");
    for _ in 0..2 {
        let copy = status_of(&owner, Method::POST, id, BODY);
        let other = status_of(&owner, Method::POST, "00000000000000d9", BODY);
        assert_eq!(tokio::join!(copy, other), (504, 200));
    }
    wait_completed(&owner, "00000000000000d9").await;
    assert_eq!(starts_of(&site, id), starts);
    assert_eq!(owner.event_names(&["event=ownership_lost"]).len(), 0);
    assert_eq!(owner.event_names(&["event=submission_found", id]).len(), 1);
}

/// A wave whose stored progress cannot be read: its row would be stored as a new one, and the conflict
/// would cost each owner in turn its ownership.
#[tokio::test(flavor = "multi_thread")]
async fn wave_row_that_cannot_be_read_costs_no_ownership() {
    let site = StandInSite::start(2, Duration::from_millis(150)).await;
    let mut first = start_entry(&site, "entry-1", &[]);
    submit(&[&first], "00000000000000da").await;
    site.request_wave(1, "m-1");
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while first.event_names(&["event=wave_reported"]).is_empty() {
        assert!(Instant::now() < deadline, "the wave is not reported");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    first.child.kill().expect("the owner is killed");
    site.replace_value("wave", "c0", "1", "/////w==");
    let second = start_entry(&site, "entry-2", &[]);
    submit(&[&second], "00000000000000db").await;
    wait_completed(&second, "00000000000000db").await;
    tokio::time::sleep(SETTLING_TIME).await;
    assert_eq!(second.event_names(&["event=ownership_lost"]).len(), 0);
    assert_eq!(second.event_names(&["event=wave_ignored"]).len(), 1);
}

/// An entry must not go on with a submission whose caller has closed its connection.
#[tokio::test(flavor = "multi_thread")]
async fn waiting_submission_is_dropped_when_its_caller_closes_the_connection() {
    let site = StandInSite::start(2, WAIT_TIMEOUT).await;
    let mut first = start_entry(&site, "entry-1", &[]);
    submit(&[&first], "00000000000000e1").await;
    let second = start_entry(&site, "entry-2", &[first.addresses.peers]);
    submit(&[&second], "00000000000000e2").await;
    first.child.kill().expect("the owner is killed");
    let id = "00000000000000e3";
    // The entry waits for an owner, which takes longer than this caller does.
    let path = format!("/print/{id}");
    let answer = tokio::time::timeout(
        Duration::from_millis(300),
        call(&second, Method::POST, &path, LONG_RUNNING_BODY),
    );
    answer.await.expect_err("no answer without an owner");
    submit(&[&second], "00000000000000e4").await;
    tokio::time::sleep(SETTLING_TIME).await;
    assert_eq!(starts_of(&site, id), 0);
    assert_eq!(status_of(&second, Method::GET, id, "").await, 410);
}

/// A cancellation that is refused changes nothing, and none is confirmed while it is not stored.
#[tokio::test(flavor = "multi_thread")]
async fn refused_cancellation_leaves_the_submission_as_it_was() {
    let site = StandInSite::start(2, WAIT_TIMEOUT).await;
    let entry = start_entry(&site, "entry-1", &[]);
    let id = "00000000000000f1";
    submit_long_running(&site, &entry, id).await;
    let elsewhere = call(&entry, Method::DELETE, &format!("/other/{id}"), "").await;
    assert_eq!(elsewhere.map(|(status, _)| status.as_u16()), Some(404));
    site.set_store_down(true);
    let refused = status_of(&entry, Method::DELETE, id, "").await;
    assert!(matches!(refused, 503 | 504), "{refused}");
    site.set_store_down(false);
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while status_of(&entry, Method::DELETE, id, "").await != 200 {
        assert!(Instant::now() < deadline, "the cancellation is not stored");
    }
    tokio::time::sleep(SETTLING_TIME).await;
    assert_eq!(active_runs_of(&site, id), 0);
}

/// The owner ends at each time between the arrival of a cancellation and its answer. The caller
/// reaches it through another entry, which goes on at the next owner.
#[tokio::test(flavor = "multi_thread")]
async fn cancellation_confirmed_while_the_owner_ends_is_kept_by_the_next_one() {
    for delay_ms in [0, 1, 2, 4, 8, 16] {
        let site = StandInSite::start(2, WAIT_TIMEOUT).await;
        let mut first = start_entry(&site, "entry-1", &[]);
        let id = "00000000000000f2";
        submit_long_running(&site, &first, id).await;
        let second = start_entry(&site, "entry-2", &[first.addresses.peers]);
        submit(&[&second], "00000000000000f3").await;
        let cancelled = status_of(&second, Method::DELETE, id, "");
        let ended = async {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
            first.child.kill().expect("the owner is killed");
        };
        let (mut cancelled, ()) = tokio::join!(cancelled, ended);
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while cancelled != 200 && cancelled != 410 {
            assert!(Instant::now() < deadline, "last answer: {cancelled}");
            cancelled = status_of(&second, Method::DELETE, id, "").await;
        }
        let starts = starts_of(&site, id);
        submit(&[&second], "00000000000000f4").await;
        tokio::time::sleep(SETTLING_TIME).await;
        assert_eq!(cancelled, 200, "after {delay_ms} ms");
        assert_eq!(active_runs_of(&site, id), 0, "after {delay_ms} ms");
        assert_eq!(starts_of(&site, id), starts, "after {delay_ms} ms");
    }
}
