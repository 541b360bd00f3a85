//! Maintenance waves with entries as separate processes.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use http::{Method, StatusCode};
use rhubarbfall_core::{VmId, WaveId};
use rhubarbfall_platform::maintenance::{MaintenanceRecord, MaintenanceState};
use rhubarbfall_platform::vms::{VmKind, VmRecord, VmState};
use rhubarbfall_testing::platform::{
    Fault, FaultMode, PlatformService, RebootEvent, RebootOutcome,
};
use rhubarbfall_testing::rig::{
    TEST_DOCUMENT, TestFleet, TestFleetConfig, TestRequest, wait_until,
};
use rhubarbfall_testing::upstream::UpstreamMode;
use serde_json::{Value, json};

const PROGRAM: &str = env!("CARGO_BIN_EXE_rhubarbfall");
const WAVE: &str = "wave-1";
/// Longer than a round and a confirmation together, so that a drain has to wait for requests.
const WORK_TIME: Duration = Duration::from_secs(1);
const ROLL_OUT_TIMEOUT: Duration = Duration::from_secs(90);

const SETTINGS: &str = "\
fleet = { lease_ms = 3000, round_ms = 150, confirm_ms = 100, prove_ms = 300, prove_limit_ms = 5000, \
reboot_limit_ms = 3000, outage_after_ms = 400 }
stop = { balancer_grace_ms = 500, longest_request_ms = 1500 }
control = { document_poll_ms = 200, vm_list_poll_ms = 150, freshness_bound_ms = 5000 }
";

/// Counts that are taken at the platform's reboots.
#[derive(Debug, Default)]
struct RebootCounts {
    down: AtomicU32,
    max_down: AtomicU32,
    interrupted_requests: AtomicU32,
}

fn start() -> TestFleet {
    let spare = "[[fleet.pool]]\nid = \"spare-pool\"\nmax_unavailable_vms = 1\n\n[[fleet.service]]";
    let config = TestFleetConfig::new()
        .document(TEST_DOCUMENT.replacen("[[fleet.service]]", spare, 1))
        .upstreams_per_zone(3)
        .work_time(WORK_TIME)
        .extra_settings(SETTINGS);
    let fleet = TestFleet::start(PROGRAM, config).expect("the fleet starts");
    fleet.platform.set_reboot_time(Duration::from_millis(400));
    fleet
}

/// Makes upstreams refuse work while the platform reboots them, and counts interrupted requests.
fn watch_reboots(fleet: &TestFleet) -> Arc<RebootCounts> {
    let counts = Arc::new(RebootCounts::default());
    let upstreams = fleet.upstreams.clone();
    let log = fleet.upstream_log.clone();
    let state = Arc::clone(&counts);
    fleet.platform.on_reboot(move |vm, event| {
        let upstream = upstreams.iter().find(|up| up.id().as_str() == vm.as_str());
        let upstream = upstream.expect("the VM is an upstream");
        match event {
            RebootEvent::Down => {
                let running = log.report().running_by_upstream;
                let running = running.get(vm.as_str()).copied().unwrap_or(0);
                state
                    .interrupted_requests
                    .fetch_add(running, Ordering::SeqCst);
                let down = state.down.fetch_add(1, Ordering::SeqCst) + 1;
                state.max_down.fetch_max(down, Ordering::SeqCst);
                upstream.set_mode(UpstreamMode::Refuse);
            }
            RebootEvent::Up => {
                state.down.fetch_sub(1, Ordering::SeqCst);
                upstream.set_mode(UpstreamMode::Serve);
            }
        }
    });
    counts
}

fn announce(fleet: &TestFleet) {
    let due = SystemTime::now() + Duration::from_hours(1);
    let due = due
        .duration_since(UNIX_EPOCH)
        .expect("the due time is after the epoch");
    for zone in ["zone-a", "zone-b"] {
        for index in 0..3 {
            fleet.platform.announce(MaintenanceRecord {
                wave: WAVE.parse().expect("the id is valid"),
                vm: vm(zone, index),
                availability_zone: zone.parse().expect("the id is valid"),
                rack: format!("{zone}-rack-0").parse().expect("the id is valid"),
                due_at_unix_ms: due.as_millis() as u64,
                state: MaintenanceState::Announced,
            });
        }
    }
}

fn vm(zone: &str, index: usize) -> VmId {
    format!("{zone}-labels-{index}")
        .parse()
        .expect("the id is valid")
}

fn rebooted_vms(fleet: &TestFleet) -> usize {
    let list = fleet.platform.maintenance();
    let done = list
        .iter()
        .filter(|found| found.state == MaintenanceState::Done);
    done.count()
}

fn in_service_vms(fleet: &TestFleet) -> usize {
    let rows = fleet.platform.rows("vm/");
    let is_in =
        |row: &&rhubarbfall_platform::table::Row| row.value["state"]["step"] == "in-service";
    rows.iter().filter(is_in).count()
}

fn wait_for_end(fleet: &TestFleet) {
    wait_until("the wave has ended", ROLL_OUT_TIMEOUT, || {
        rebooted_vms(fleet) == 6 && in_service_vms(fleet) == 6
    });
}

/// Sends requests to all entries but `skipped` until `stop` is set. Each task returns how many
/// requests it sent and which failed.
fn load(
    fleet: &TestFleet,
    skipped: usize,
    stop: &Arc<AtomicBool>,
) -> Vec<tokio::task::JoinHandle<(u32, Vec<String>)>> {
    let entries = fleet.entries.iter().enumerate();
    let used = entries.filter(|(index, _)| *index != skipped);
    used.flat_map(|(index, entry)| (0..4).map(move |lane| (index, lane, entry.caller_address())))
        .map(|(index, lane, address)| {
            let caller = fleet.caller.clone();
            let stop = Arc::clone(stop);
            fleet.spawn(async move {
                let mut sent = 0;
                let mut failed = Vec::new();
                while !stop.load(Ordering::SeqCst) {
                    let id = format!("load-{index}-{lane}-{sent}");
                    let request =
                        TestRequest::to_queue(address, "labels-urgent", &id).key("house-a-key");
                    let answer = caller.send(request).await;
                    if !answer
                        .as_ref()
                        .is_ok_and(|answer| answer.status == StatusCode::OK)
                    {
                        failed.push(format!("{id}: {answer:?}"));
                    }
                    sent += 1;
                }
                (sent, failed)
            })
        })
        .collect()
}

/// Returns the index of the entry that holds the lease of a zone.
fn lease_holder_index(fleet: &TestFleet, zone: &str) -> usize {
    let mut found = None;
    wait_until("the zone's lease is held", Duration::from_secs(10), || {
        found = fleet.entries.iter().position(|entry| {
            entry.zone == zone && !fleet.state(entry)["fleet"]["fence"].is_null()
        });
        found.is_some()
    });
    found.expect("the lease holder was found")
}

fn operator(fleet: &TestFleet, index: usize, method: Method, path: &str, body: &Value) -> Value {
    let request = TestRequest::new(method, fleet.entries[index].operator_address(), path)
        .key("operator-key")
        .body(body.to_string());
    let answer = fleet.send(request).expect("the entry answers");
    assert_eq!(answer.status, StatusCode::OK, "{:?}", answer.body);
    serde_json::from_slice(&answer.body).expect("the answer is JSON")
}

#[test]
fn wave_completes_after_its_lease_holder_is_killed_and_responses_are_lost() {
    let mut fleet = start();
    let counts = watch_reboots(&fleet);
    let holder = lease_holder_index(&fleet, "zone-a");
    let stop = Arc::new(AtomicBool::new(false));
    let load = load(&fleet, holder, &stop);
    announce(&fleet);
    wait_until("the wave has begun", ROLL_OUT_TIMEOUT, || {
        rebooted_vms(&fleet) >= 1
    });
    fleet.entries[holder].process.kill();
    let killed_entry = &fleet.entries[holder];
    fleet.platform.put_vm(VmRecord {
        id: killed_entry.id.parse().expect("the id is valid"),
        kind: VmKind::Entry,
        availability_zone: killed_entry.zone.parse().expect("the id is valid"),
        region: "west".parse().expect("the id is valid"),
        rack: "entries".parse().expect("the id is valid"),
        address: killed_entry.caller_address(),
        state: VmState::Gone,
    });
    for service in [PlatformService::Table, PlatformService::Vms] {
        let lost = Fault::new(FaultMode::DropResponse).service(service);
        fleet
            .platform
            .add_fault(lost.writes_only(true).remaining(8));
    }
    wait_for_end(&fleet);
    stop.store(true, Ordering::SeqCst);
    let (mut sent, mut failed) = (0, Vec::new());
    for lane in load {
        let (lane_sent, lane_failed) = fleet.block_on(lane).expect("the task ends");
        sent += lane_sent;
        failed.extend(lane_failed);
    }
    println!("sent {sent}, failed {}, {counts:?}", failed.len());
    assert!(sent > 50, "{sent} sent");
    assert!(
        failed.is_empty(),
        "{} of {sent}: {:?}",
        failed.len(),
        failed.first()
    );
    assert_eq!(counts.interrupted_requests.load(Ordering::SeqCst), 0);
    assert_eq!(counts.max_down.load(Ordering::SeqCst), 1, "the budget is 1");
}

#[test]
fn vm_that_stays_down_stops_the_wave_and_every_entry_explains_why() {
    let fleet = start();
    watch_reboots(&fleet);
    let list = ["zone-a", "zone-b"].map(|zone| (0..3).map(move |index| vm(zone, index)));
    for vm in list.into_iter().flatten() {
        fleet
            .platform
            .set_reboot_outcome(vm, RebootOutcome::StaysDown);
    }
    announce(&fleet);
    let wave: WaveId = WAVE.parse().expect("the id is valid");
    let mut row = Value::Null;
    wait_until("the wave is stopped", ROLL_OUT_TIMEOUT, || {
        let rows = fleet.platform.rows(&format!("wave/{wave}"));
        row = rows.first().map_or(Value::Null, |row| row.value.clone());
        !row["status"]["stopped"].is_null()
    });
    assert_eq!(row["failed_vms"], 1, "{row}");
    assert_eq!(
        fleet
            .platform
            .maintenance()
            .iter()
            .filter(|found| found.state == MaintenanceState::Announced)
            .count(),
        5
    );
    for index in 0..fleet.entries.len() {
        let path = format!("/v1/explain?kind=wave&id={wave}");
        let explanation = operator(&fleet, index, Method::GET, &path, &Value::Null);
        let reason = &explanation["wave"]["status"]["stopped"]["reason"]["not-back"];
        assert_eq!(reason["failed_vms"], 1, "{explanation}");
        let plan = explanation["plan"]
            .as_array()
            .expect("the plan is an array");
        assert!(
            plan.iter().all(|vm| vm["reason"]["rule"] == "wave-stopped"),
            "{explanation}"
        );
    }
}

#[test]
fn operators_pause_and_resume_a_wave_at_any_entry() {
    let fleet = start();
    watch_reboots(&fleet);
    announce(&fleet);
    wait_until("the wave has begun", ROLL_OUT_TIMEOUT, || {
        rebooted_vms(&fleet) >= 1
    });
    let change = json!({ "wave": WAVE, "status": "paused" });
    wait_until("the pause is written", Duration::from_secs(10), || {
        let request = TestRequest::new(
            Method::POST,
            fleet.entries[3].operator_address(),
            "/v1/waves/status",
        )
        .key("operator-key")
        .body(change.to_string());
        fleet
            .send(request)
            .is_ok_and(|answer| answer.status == StatusCode::OK)
    });
    wait_until("the started reboots have ended", ROLL_OUT_TIMEOUT, || {
        in_service_vms(&fleet) == 6
    });
    let before = rebooted_vms(&fleet);
    std::thread::sleep(Duration::from_secs(2));
    assert_eq!(
        rebooted_vms(&fleet),
        before,
        "a paused wave permitted a reboot"
    );
    let change = json!({ "wave": WAVE, "status": "running" });
    operator(&fleet, 0, Method::POST, "/v1/waves/status", &change);
    wait_for_end(&fleet);
    let waves = operator(&fleet, 1, Method::GET, "/v1/waves", &Value::Null);
    assert_eq!(waves[0]["rebooted_vms"], 6);
    assert_eq!(waves[0]["row"]["done_vms"], 6, "{waves}");
}

#[test]
fn requested_move_interrupts_no_request() {
    let fleet = start();
    let stop = Arc::new(AtomicBool::new(false));
    let load = load(&fleet, usize::MAX, &stop);
    std::thread::sleep(Duration::from_millis(300));
    let change = json!({ "vm": "zone-a-labels-0", "pool": "spare-pool" });
    operator(&fleet, 2, Method::POST, "/v1/vms/pool", &change);
    wait_until("the VM has moved", ROLL_OUT_TIMEOUT, || {
        let rows = fleet.platform.rows("vm/zone-a-labels-0");
        let row = &rows[0].value;
        row["pool"] == "spare-pool" && row["state"]["step"] == "in-service"
    });
    let started = || {
        fleet
            .upstream_log
            .report()
            .running_by_upstream
            .get("zone-a-labels-0")
            .copied()
    };
    std::thread::sleep(Duration::from_millis(500));
    assert_eq!(started(), Some(0), "requests run on a VM of another pool");
    stop.store(true, Ordering::SeqCst);
    for lane in load {
        let (sent, failed) = fleet.block_on(lane).expect("the task ends");
        assert!(sent > 0);
        assert!(failed.is_empty(), "{:?}", failed.first());
    }
    let explanation = operator(
        &fleet,
        3,
        Method::GET,
        "/v1/explain?kind=vm&id=zone-a-labels-0",
        &Value::Null,
    );
    assert_eq!(
        explanation["vm"]["decision"]["reason"]["rule"], "taken-back",
        "{explanation}"
    );
}
