//! A worker and its owner are lost together. Until the leases of the lost owner have expired, the worker
//! may go on, so that its tasks must wait; how long depends on what the new owner knows of the lost one.

#[allow(dead_code, reason = "other test files use more of it")]
mod scheduler_process;
#[path = "../../platform/tests/stand_in/mod.rs"]
mod stand_in;
mod support;

use std::time::{Duration, Instant};

use http::Method;
use rhubarbfall_testing::{Relay, RelayMode};
use scheduler_process::{
    SchedulerEntry, WAIT_TIMEOUT, active_runs_of, start_entry, start_entry_with_store, status_of,
};
use stand_in::StandInSite;

const ID: &str = "00000000000000a1";

/// The lease that an owner grants a worker, 2.5 s, with the allowance for slow clocks and timers, and
/// twice the time for a takeover. The longest lease alone takes 10 s.
const RESTART_LIMIT: Duration = Duration::from_secs(6);

/// Three tasks that run until they are stopped, each on a worker of its own.
const BODY: &str = r#"{"spec":"endless","steps":[{"count":3,"cpu":1000,"mem_mb":100,
    "estimate_ms":200,"long_running":true,"max_per_server":1}]}"#;

async fn submit_and_wait(site: &StandInSite, entry: &SchedulerEntry) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while active_runs_of(site, ID) < 3 {
        status_of(entry, Method::POST, ID, BODY).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert!(Instant::now() < deadline, "the tasks did not start in time");
    }
}

/// The process of a worker ends, and with it the runs there.
fn lose_worker(site: &StandInSite) {
    let spans = site.spans();
    let active = spans.iter().filter(|span| span.to_ms.is_none());
    let worker = active.map(|span| span.worker).max();
    let worker = worker.expect("an active run");
    site.exit_worker(worker);
    site.unlist_worker(&site.worker_id(worker));
}

/// Returns after how long all tasks run again.
async fn time_until_restart(site: &StandInSite) -> Duration {
    let began_at = Instant::now();
    while active_runs_of(site, ID) < 3 {
        assert!(began_at.elapsed() < WAIT_TIMEOUT, "the tasks do not run");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    began_at.elapsed()
}

/// The owner's process is killed twice and starts again each time, as on a machine that restarts it. Each
/// new owner waited anew for the longest lease of the one before.
#[tokio::test(flavor = "multi_thread")]
async fn restarted_owner_waits_for_the_leases_that_its_earlier_process_granted() {
    let site = StandInSite::start(4, Duration::from_millis(100)).await;
    let mut owner = start_entry(&site, "entry-1", &[]);
    submit_and_wait(&site, &owner).await;
    lose_worker(&site);
    let lost_at = Instant::now();
    for _ in 0..2 {
        owner.child.kill().expect("the owner is killed");
        owner = start_entry(&site, "entry-1", &[]);
        tokio::time::sleep(Duration::from_millis(1_500)).await;
    }
    time_until_restart(&site).await;
    let took = lost_at.elapsed();
    assert!(took < RESTART_LIMIT + Duration::from_secs(2), "{took:?}");
    drop(owner);
}

/// Returns an owner whose store can be cut off and another entry.
async fn owner_and_successor(site: &StandInSite) -> (Relay, SchedulerEntry, SchedulerEntry) {
    let relay = Relay::start(site.store).await.expect("the relay starts");
    let owner = start_entry_with_store(site, relay.address(), "entry-1", &[]);
    submit_and_wait(site, &owner).await;
    let successor = start_entry(site, "entry-2", &[owner.addresses.peers]);
    tokio::time::sleep(Duration::from_secs(1)).await;
    (relay, owner, successor)
}

/// An owner that is cut off from the store answers its successor, and grants no lease from then on.
#[tokio::test(flavor = "multi_thread")]
async fn successor_asks_whether_its_predecessor_grants_leases() {
    let site = StandInSite::start(4, Duration::from_millis(100)).await;
    let (relay, _owner, _successor) = owner_and_successor(&site).await;
    relay.set_mode(RelayMode::Silent);
    lose_worker(&site);
    let took = time_until_restart(&site).await;
    assert!(took < RESTART_LIMIT, "{took:?}");
}

/// A predecessor that does not answer may be cut off and grant leases on: nothing of a worker that does
/// not answer either starts elsewhere before the longest lease has passed.
#[tokio::test(flavor = "multi_thread")]
async fn successor_of_a_silent_owner_waits_for_the_longest_lease() {
    let site = StandInSite::start(4, Duration::from_millis(100)).await;
    let (_relay, mut owner, _successor) = owner_and_successor(&site).await;
    lose_worker(&site);
    owner.child.kill().expect("the owner is killed");
    let took = time_until_restart(&site).await;
    assert!(took > Duration::from_secs(9), "{took:?}");
}
