//! Upper limits of teams while entries, as separate processes, are killed, frozen and replaced, and
//! during outages of the table.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::sleep;
use std::time::Duration;

use rhubarbfall_testing::platform::{Fault, FaultMode, PlatformService};
use rhubarbfall_testing::rig::{
    Caller, TEST_DOCUMENT, TestFleet, TestFleetConfig, TestRequest, wait_until,
};

const PROGRAM: &str = env!("CARGO_BIN_EXE_rhubarbfall");

/// The upper limit of the team that requests to the queue without a key count towards.
const LIMIT_SLOTS: u32 = 4;

/// Leases that are short enough to expire within the test.
const SETTINGS: &str = "[limits]\nloan_lease_ms = 1500\nmin_reclaim_delay_ms = 3000\n";

const CALLERS_PER_ENTRY: usize = 6;

/// Callers that send requests to one entry until this is dropped.
struct Load {
    is_stopped: Arc<AtomicBool>,
}

impl Load {
    fn start(fleet: &TestFleet, entry: SocketAddr) -> Self {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let is_stopped = Arc::new(AtomicBool::new(false));
        for _ in 0..CALLERS_PER_ENTRY {
            let is_stopped = Arc::clone(&is_stopped);
            fleet.spawn(async move {
                let caller = Caller::new();
                while !is_stopped.load(Ordering::Relaxed) {
                    let id = format!("work-{}", NEXT.fetch_add(1, Ordering::Relaxed));
                    // Idempotent, because other requests need a claim in the table.
                    let request = TestRequest::to_queue(entry, "labels-open", &id)
                        .header("x-rhubarbfall-idempotent", "true");
                    if caller.send(request).await.is_err() {
                        tokio::time::sleep(Duration::from_millis(50)).await;
                    }
                }
            });
        }
        Self { is_stopped }
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::Relaxed);
    }
}

fn running(fleet: &TestFleet) -> u32 {
    let report = fleet.upstream_log.report();
    report.running_by_team.get("public").copied().unwrap_or(0)
}

fn start() -> TestFleet {
    let document = TEST_DOCUMENT.replace("answer_timeout_ms = 10000", "answer_timeout_ms = 1000");
    let config = TestFleetConfig::new()
        .document(document)
        .extra_settings(SETTINGS)
        .work_time(Duration::from_millis(150));
    let fleet = TestFleet::start(PROGRAM, config).expect("the fleet starts");
    fleet.upstream_log.set_limit("public", LIMIT_SLOTS);
    fleet
}

fn assert_within_limit(fleet: &TestFleet) {
    let report = fleet.upstream_log.report();
    assert_eq!(report.started_above_limit, 0, "{:?}", report.peak_by_team);
}

#[test]
fn team_stays_within_its_limit_while_entries_are_killed_frozen_and_without_the_table() {
    let mut fleet = start();
    let loads: Vec<Load> = fleet
        .entries
        .iter()
        .map(|entry| Load::start(&fleet, entry.caller_address()))
        .collect();
    sleep(Duration::from_secs(3));
    fleet.entries[1].process.freeze();
    sleep(Duration::from_secs(4));
    fleet
        .platform
        .add_fault(Fault::new(FaultMode::Down).service(PlatformService::Table));
    fleet.entries[1].process.resume();
    sleep(Duration::from_secs(2));
    fleet.entries[0].process.kill();
    sleep(Duration::from_secs(2));
    assert!(
        running(&fleet) > 0,
        "no request runs while the table is down"
    );
    fleet.platform.clear_faults();
    fleet.platform.add_fault(
        Fault::new(FaultMode::DropResponse)
            .service(PlatformService::Table)
            .writes_only(true)
            .remaining(4),
    );
    fleet.entries[0] = fleet
        .start_entry("zone-a", 0)
        .expect("a replacement starts");
    fleet.wait_ready();
    sleep(Duration::from_secs(2));
    assert_within_limit(&fleet);
    drop(loads);
    let _load = Load::start(&fleet, fleet.entries[3].caller_address());
    wait_until(
        "one entry uses the whole limit again",
        Duration::from_secs(20),
        || running(&fleet) == LIMIT_SLOTS,
    );
    assert_within_limit(&fleet);
}

#[test]
fn one_entry_uses_the_whole_limit_and_releases_it_to_others() {
    let fleet = start();
    let first = Load::start(&fleet, fleet.entries[0].caller_address());
    let uses_whole_limit = || running(&fleet) == LIMIT_SLOTS;
    wait_until(
        "the first entry uses the whole limit",
        Duration::from_secs(10),
        uses_whole_limit,
    );
    drop(first);
    let _second = Load::start(&fleet, fleet.entries[2].caller_address());
    let uses_whole_limit = || running(&fleet) == LIMIT_SLOTS;
    sleep(Duration::from_secs(1));
    wait_until(
        "another entry uses the whole limit",
        Duration::from_secs(10),
        uses_whole_limit,
    );
    assert_within_limit(&fleet);
}

#[test]
fn stopped_entry_hands_its_rights_over() {
    let mut fleet = start();
    let first = Load::start(&fleet, fleet.entries[0].caller_address());
    wait_until(
        "one entry uses the whole limit",
        Duration::from_secs(10),
        || running(&fleet) == LIMIT_SLOTS,
    );
    drop(first);
    fleet.entries[0].process.terminate();
    let status = fleet.entries[0].process.wait_exit(Duration::from_secs(10));
    assert_eq!(status.and_then(|status| status.code()), Some(0));
    // Nothing proves that the process is gone, so its rights would stay with it unless it had
    // handed them over.
    let _second = Load::start(&fleet, fleet.entries[2].caller_address());
    wait_until(
        "another entry uses the whole limit",
        Duration::from_secs(8),
        || running(&fleet) == LIMIT_SLOTS,
    );
    assert_within_limit(&fleet);
}

/// If the first entry acquired the whole limit, the others would have no slots after it dies.
#[test]
fn idle_entries_own_equal_parts_of_each_limit() {
    let fleet = TestFleet::start(PROGRAM, TestFleetConfig::new()).expect("the fleet starts");
    for entry in &fleet.entries {
        let what = format!("{} owns a quarter of the limit of 16", entry.id);
        wait_until(&what, Duration::from_secs(20), || {
            let dump = fleet.state(entry);
            dump["dispatch"]["admission"]["rights"]["teams"]["house-a"]["owned_slots"] == 4
        });
    }
}
