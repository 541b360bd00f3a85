//! A new owner must know until when its predecessor's orders for VMs may arrive: exactly where the
//! predecessor can be asked or has stated it, else for the longest time.

#[allow(dead_code, reason = "other test files use more of it")]
mod scheduler_process;
#[path = "../../platform/tests/stand_in/mod.rs"]
mod stand_in;
mod support;

use std::time::{Duration, Instant};

use rhubarbfall_testing::{Relay, RelayMode};
use rustix::process::Signal;
use scheduler_process::{SchedulerEntry, WAIT_TIMEOUT, signal, start_entry_with_settings, submit};
use stand_in::StandInSite;

const UNCHECKED_FENCES: &str = "vm_service_checks_fences = false\nvm_order_gap_ms = 4000\n";

/// Returns the first log line of an entry with all of these texts.
async fn line_of(entry: &SchedulerEntry, texts: &[&str]) -> String {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        let log = std::fs::read_to_string(&entry.log).expect("the log can be read");
        let found = log
            .lines()
            .find(|line| texts.iter().all(|text| line.contains(text)));
        if let Some(line) = found {
            return line.to_owned();
        }
        assert!(Instant::now() < deadline, "no line with {texts:?}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Starts an owner whose store can be cut off, and another entry.
async fn owner_and_successor(site: &StandInSite) -> (Relay, SchedulerEntry, SchedulerEntry) {
    let relay = Relay::start(site.store).await.expect("the relay starts");
    let start = |store, name, seeds: &[_]| {
        start_entry_with_settings(site, store, name, seeds, UNCHECKED_FENCES)
    };
    let owner = start(relay.address(), "entry-1", &[]);
    submit(&[&owner], "00000000000000a1").await;
    let successor = start(site.store, "entry-2", &[owner.addresses.peers]);
    line_of(&successor, &["event=owner_changed", "entry-1"]).await;
    (relay, owner, successor)
}

#[tokio::test(flavor = "multi_thread")]
async fn predecessor_without_the_store_is_asked() {
    let site = StandInSite::start(2, Duration::from_millis(100)).await;
    let (relay, _owner, successor) = owner_and_successor(&site).await;
    relay.set_mode(RelayMode::Silent);
    line_of(&successor, &["event=ownership_gained"]).await;
    line_of(
        &successor,
        &[
            "event=predecessor_answered",
            "entry=entry-1",
            "vm_orders_left=0ns",
        ],
    )
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn predecessor_that_releases_its_ownership_leaves_nothing_on_the_way() {
    let site = StandInSite::start(2, Duration::from_millis(100)).await;
    let (_relay, owner, successor) = owner_and_successor(&site).await;
    signal(&owner, Signal::TERM);
    line_of(&successor, &["event=loaded", "vm_orders_left=0ns"]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn predecessor_that_was_killed_is_waited_for() {
    let site = StandInSite::start(2, Duration::from_millis(100)).await;
    let (_relay, mut owner, successor) = owner_and_successor(&site).await;
    owner.child.kill().expect("the owner is killed");
    let loaded = line_of(&successor, &["event=loaded"]).await;
    // The gap counts from the end of the ownership lease, some 0.1 s before the takeover.
    assert!(
        loaded.contains("vm_orders_left=3.") || loaded.contains("vm_orders_left=4."),
        "{loaded}"
    );
    let answered = successor.event_names(&["event=predecessor_answered"]);
    assert!(answered.is_empty(), "{answered:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn predecessor_that_is_suspended_is_asked_once_it_runs_on() {
    let site = StandInSite::start(2, Duration::from_millis(100)).await;
    let (_relay, owner, successor) = owner_and_successor(&site).await;
    signal(&owner, Signal::STOP);
    line_of(&successor, &["event=ownership_gained"]).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let answered = successor.event_names(&["event=predecessor_answered"]);
    assert!(answered.is_empty(), "{answered:?}");
    signal(&owner, Signal::CONT);
    line_of(&owner, &["event=ownership_lost", "fence=1"]).await;
    line_of(&successor, &["event=predecessor_answered"]).await;
}
