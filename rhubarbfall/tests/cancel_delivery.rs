//! Cancellations that an entry cannot pass on to the owner at once, or whose callers do not wait for the
//! answer.

mod scheduler_process;
#[path = "../../platform/tests/stand_in/mod.rs"]
mod stand_in;
mod support;

use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use http::Method;
use rhubarbfall_site::{RowKey, StoreClient, Transaction};
use rhubarbfall_testing::{Relay, RelayMode};
use rustix::process::Signal;
use scheduler_process::{
    SETTLING_TIME, WAIT_TIMEOUT, active_runs_of, signal, start_entry, start_entry_with_store,
    starts_of, status_of, submit, submit_long_running,
};
use stand_in::StandInSite;

/// A caller sends its cancellation once, while no entry is the owner, and leaves.
#[tokio::test(flavor = "multi_thread")]
async fn cancellation_whose_caller_leaves_stops_the_submission() {
    let site = StandInSite::start(2, WAIT_TIMEOUT).await;
    let mut first = start_entry(&site, "entry-1", &[]);
    let id = "00000000000001c1";
    submit_long_running(&site, &first, id).await;
    let second = start_entry(&site, "entry-2", &[first.addresses.peers]);
    submit(&[&second], "00000000000001c2").await;
    first.child.kill().expect("the owner is killed");
    let cancelled = status_of(&second, Method::DELETE, id, "");
    tokio::time::timeout(Duration::from_millis(200), cancelled)
        .await
        .expect_err("no answer without an owner");
    submit(&[&second], "00000000000001c3").await;
    tokio::time::sleep(SETTLING_TIME).await;
    assert_eq!(
        active_runs_of(&site, id),
        0,
        "{} starts",
        starts_of(&site, id)
    );
    assert!(!second.event_names(&["event=cancel ", id]).is_empty());
}

/// The owner ends before it has stored a cancellation, and the caller does not repeat it after an
/// answer that leaves the outcome open.
#[tokio::test(flavor = "multi_thread")]
async fn cancellation_with_an_unknown_outcome_stops_the_submission() {
    let site = StandInSite::start(2, WAIT_TIMEOUT).await;
    let mut first = start_entry(&site, "entry-1", &[]);
    let id = "00000000000001d1";
    submit_long_running(&site, &first, id).await;
    let second = start_entry(&site, "entry-2", &[first.addresses.peers]);
    submit(&[&second], "00000000000001d2").await;
    site.set_store_down(true);
    let cancelled = status_of(&second, Method::DELETE, id, "");
    let ended = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        first.child.kill().expect("the owner is killed");
    };
    let (cancelled, ()) = tokio::join!(cancelled, ended);
    assert_eq!(cancelled, 504);
    site.set_store_down(false);
    submit(&[&second], "00000000000001d3").await;
    tokio::time::sleep(SETTLING_TIME).await;
    assert_eq!(active_runs_of(&site, id), 0);
}

/// The request and the end of its connection are queued while the entry is suspended.
#[tokio::test(flavor = "multi_thread")]
async fn cancellation_that_arrives_with_the_end_of_its_connection_stops_the_submission() {
    let site = StandInSite::start(2, WAIT_TIMEOUT).await;
    let entry = start_entry(&site, "entry-1", &[]);
    let id = "00000000000001e1";
    submit_long_running(&site, &entry, id).await;
    signal(&entry, Signal::STOP);
    let mut connection = TcpStream::connect(entry.addresses.callers).expect("the entry listens");
    write!(
        connection,
        "DELETE /print/{id} HTTP/1.1\r\nhost: labels.example\r\napi-key: key-a\r\n\r\n"
    )
    .expect("the request is sent");
    drop(connection);
    tokio::time::sleep(Duration::from_millis(100)).await;
    signal(&entry, Signal::CONT);
    submit(&[&entry], "00000000000001e2").await;
    tokio::time::sleep(SETTLING_TIME).await;
    assert_eq!(active_runs_of(&site, id), 0);
}

/// A caller is told to come back, since there is no owner, and does not.
#[tokio::test(flavor = "multi_thread")]
async fn cancellation_without_an_owner_stops_the_submission() {
    let site = StandInSite::start(2, WAIT_TIMEOUT).await;
    let mut first = start_entry(&site, "entry-1", &[]);
    let id = "00000000000001f1";
    submit_long_running(&site, &first, id).await;
    let second = start_entry(&site, "entry-2", &[first.addresses.peers]);
    submit(&[&second], "00000000000001f2").await;
    site.set_store_down(true);
    first.child.kill().expect("the owner is killed");
    // The end of the owner may be noticed only after the call was sent to it.
    let refused = status_of(&second, Method::DELETE, id, "").await;
    assert!(matches!(refused, 503 | 504), "{refused}");
    site.set_store_down(false);
    submit(&[&second], "00000000000001f3").await;
    tokio::time::sleep(SETTLING_TIME).await;
    assert_eq!(active_runs_of(&site, id), 0);
    assert!(
        !second
            .event_names(&["event=cancel_delivered", id])
            .is_empty()
    );
}

/// The stop of a cancelled task is lost, and the owner loses the store, before it repeats the stop.
/// The owner goes on to renew the worker's leases.
#[tokio::test(flavor = "multi_thread")]
async fn lost_stop_is_repeated_by_an_owner_without_the_store() {
    let site = StandInSite::start(1, WAIT_TIMEOUT).await;
    let worker = Relay::start(site.worker_address(0))
        .await
        .expect("the relay starts");
    site.register(0, worker.address());
    let store = Relay::start(site.store).await.expect("the relay starts");
    let entry = start_entry_with_store(&site, store.address(), "entry-1", &[]);
    let id = "00000000000002a1";
    submit_long_running(&site, &entry, id).await;
    worker.set_mode(RelayMode::Silent);
    assert_eq!(status_of(&entry, Method::DELETE, id, "").await, 200);
    store.set_mode(RelayMode::Silent);
    tokio::time::sleep(Duration::from_millis(900)).await;
    worker.set_mode(RelayMode::Pass);
    tokio::time::sleep(SETTLING_TIME).await;
    assert_eq!(active_runs_of(&site, id), 0);
}

/// The entry does not reach the owner, and cannot become the owner itself because it is being stopped.
#[tokio::test(flavor = "multi_thread")]
async fn cancellation_answered_without_the_owner_is_kept_by_the_next_one() {
    let site = StandInSite::start(2, WAIT_TIMEOUT).await;
    let mut first = start_entry(&site, "entry-1", &[]);
    let id = "00000000000002b1";
    submit_long_running(&site, &first, id).await;
    let second = start_entry(&site, "entry-2", &[first.addresses.peers]);
    submit(&[&second], "00000000000002b2").await;
    first.child.kill().expect("the owner is killed");
    signal(&second, Signal::TERM);
    assert_eq!(status_of(&second, Method::DELETE, id, "").await, 200);
    let third = start_entry(&site, "entry-3", &[]);
    submit(&[&third], "00000000000002b3").await;
    tokio::time::sleep(SETTLING_TIME).await;
    assert_eq!(active_runs_of(&site, id), 0);
}

/// Another entry stores a cancellation because it does not reach the owner.
#[tokio::test(flavor = "multi_thread")]
async fn owner_stops_a_submission_whose_cancellation_it_finds_in_the_store() {
    let site = StandInSite::start(2, WAIT_TIMEOUT).await;
    let entry = start_entry(&site, "entry-1", &[]);
    let id = "00000000000002c1";
    submit_long_running(&site, &entry, id).await;
    let cancellation = Transaction {
        writes: vec![(RowKey::new("cancellation", "c0", id), vec![8, 3])],
        ..Transaction::default()
    };
    let store = StoreClient::new(site.store, WAIT_TIMEOUT);
    store
        .commit(&cancellation)
        .await
        .expect("the row is stored");
    tokio::time::sleep(SETTLING_TIME).await;
    assert_eq!(active_runs_of(&site, id), 0);
}
