//! Routing by entries that run as separate processes: duplicates, leaving upstreams, silent
//! connections and planned stops.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http::StatusCode;
use rhubarbfall_platform::vms::{VmKind, VmRecord, VmState};
use rhubarbfall_testing::platform::{Fault, FaultMode, PlatformService};
use rhubarbfall_testing::rig::{TestFleet, TestFleetConfig, TestRequest, TestResponse, wait_until};
use rhubarbfall_testing::upstream::UpstreamMode;
use rhubarbfall_testing::{Relay, RelayMode};

const PROGRAM: &str = env!("CARGO_BIN_EXE_rhubarbfall");

/// Builds a non-idempotent request to the queue that needs no key.
fn non_idempotent(address: SocketAddr, id: &str) -> TestRequest {
    TestRequest::to_queue(address, "labels-open", id)
}

fn idempotent(address: SocketAddr, id: &str) -> TestRequest {
    non_idempotent(address, id).header("x-rhubarbfall-idempotent", "true")
}

fn one_zone() -> TestFleetConfig {
    TestFleetConfig::new().zones(["zone-a"])
}

fn table_down() -> Fault {
    Fault::new(FaultMode::Down).service(PlatformService::Table)
}

fn put_live_vm(fleet: &TestFleet, index: usize, address: SocketAddr) {
    fleet.platform.put_vm(VmRecord {
        id: format!("zone-a-labels-{index}")
            .parse()
            .expect("the id is valid"),
        kind: VmKind::Worker,
        availability_zone: "zone-a".parse().expect("the id is valid"),
        region: "west".parse().expect("the id is valid"),
        rack: "zone-a-rack-0".parse().expect("the id is valid"),
        address,
        state: VmState::Live,
    });
}

#[test]
fn duplicates_sent_to_all_entries_at_once_run_once() {
    let fleet = TestFleet::start(PROGRAM, TestFleetConfig::new()).expect("the fleet starts");
    for number in 0..10 {
        let id = format!("duplicate-{number}");
        let duplicates = fleet
            .entries
            .iter()
            .map(|entry| non_idempotent(entry.caller_address(), &id))
            .collect();
        let answers = fleet.send_all(duplicates);
        let codes: Vec<Option<u16>> = answers
            .iter()
            .map(|answer| answer.as_ref().ok().and_then(TestResponse::code))
            .collect();
        let completed = codes.iter().filter(|code| **code == Some(1000)).count();
        let rejected = codes.iter().filter(|code| **code == Some(3004)).count();
        assert_eq!((completed, rejected), (1, 3), "{codes:?}");
        assert_eq!(fleet.upstream_log.starts_of(&id), 1);
    }
}

#[test]
fn request_resent_to_another_entry_after_a_kill_does_not_run_again() {
    let mut fleet = TestFleet::start(PROGRAM, one_zone()).expect("the fleet starts");
    let first =
        non_idempotent(fleet.entries[0].caller_address(), "killed").header("x-work-ms", "3000");
    let caller = fleet.caller.clone();
    let lost = fleet.spawn(async move { caller.send(first).await });
    wait_until("the request runs", Duration::from_secs(10), || {
        fleet.upstream_log.starts_of("killed") == 1
    });
    fleet.entries[0].process.kill();
    assert!(fleet.block_on(lost).expect("the task ends").is_err());
    let repeat = non_idempotent(fleet.entries[1].caller_address(), "killed");
    let answer = fleet.send(repeat).expect("the entry answers");
    assert_eq!(answer.code(), Some(3004));
    assert_eq!(answer.header("x-rhubarbfall-execution"), Some("unknown"));
    assert_eq!(fleet.upstream_log.starts_of("killed"), 1);
}

#[test]
fn table_outage_duplicates_no_request_and_claims_resume_after_it() {
    let fleet = TestFleet::start(PROGRAM, one_zone()).expect("the fleet starts");
    let [first, second] = [0, 1].map(|index| fleet.entries[index].caller_address());
    let answer = fleet
        .send(non_idempotent(first, "before"))
        .expect("the entry answers");
    assert_eq!(answer.code(), Some(1000));
    fleet.platform.add_fault(table_down());
    let repeats = vec![
        non_idempotent(first, "before"),
        non_idempotent(second, "before"),
        non_idempotent(first, "during"),
        non_idempotent(second, "during"),
    ];
    for answer in fleet.send_all(repeats) {
        let answer = answer.expect("the entry answers");
        assert!(matches!(answer.code(), Some(3004 | 3007)), "{answer:?}");
        assert_eq!(answer.header("x-rhubarbfall-execution"), Some("unknown"));
    }
    let answer = fleet
        .send(idempotent(first, "idempotent"))
        .expect("the entry answers");
    assert_eq!(answer.code(), Some(1000));
    assert_eq!(fleet.upstream_log.starts_of("before"), 1);
    assert_eq!(fleet.upstream_log.starts_of("during"), 0);
    fleet.platform.clear_faults();
    wait_until("claims resume", Duration::from_secs(10), || {
        fleet
            .send(non_idempotent(first, "during"))
            .is_ok_and(|answer| answer.code() == Some(1000))
    });
    assert_eq!(fleet.upstream_log.starts_of("during"), 1);
}

#[test]
fn lost_table_responses_neither_duplicate_nor_block_a_request() {
    let fleet = TestFleet::start(PROGRAM, one_zone()).expect("the fleet starts");
    let lost = Fault::new(FaultMode::DropResponse)
        .service(PlatformService::Table)
        .writes_only(true)
        .remaining(2);
    fleet.platform.add_fault(lost);
    let requests = fleet
        .entries
        .iter()
        .map(|entry| non_idempotent(entry.caller_address(), "lost-answer"))
        .collect();
    let answers = fleet.send_all(requests);
    let completed = answers.iter().filter(|answer| {
        answer
            .as_ref()
            .is_ok_and(|answer| answer.code() == Some(1000))
    });
    assert_eq!(completed.count(), 1, "{answers:?}");
    assert_eq!(fleet.upstream_log.starts_of("lost-answer"), 1);
}

#[test]
fn rejected_request_runs_when_it_is_sent_again() {
    let fleet = TestFleet::start(PROGRAM, one_zone()).expect("the fleet starts");
    for upstream in &fleet.upstreams {
        upstream.set_mode(UpstreamMode::Refuse);
    }
    let [first, second] = [0, 1].map(|index| fleet.entries[index].caller_address());
    let answer = fleet
        .send(non_idempotent(first, "refused"))
        .expect("the entry answers");
    assert_eq!(answer.header("x-rhubarbfall-execution"), Some("not run"));
    for upstream in &fleet.upstreams {
        upstream.set_mode(UpstreamMode::Serve);
    }
    wait_until("the repeat runs", Duration::from_secs(10), || {
        fleet
            .send(non_idempotent(second, "refused"))
            .is_ok_and(|answer| answer.code() == Some(1000))
    });
    assert_eq!(fleet.upstream_log.starts_of("refused"), 1);
}

#[test]
fn leaving_upstream_receives_no_new_work_while_the_vm_list_is_stale() {
    let fleet = TestFleet::start(PROGRAM, one_zone()).expect("the fleet starts");
    // The VM list still shows the upstream as live.
    fleet.upstreams[0].set_mode(UpstreamMode::Leaving);
    let until = Instant::now() + Duration::from_secs(6);
    let mut number = 0;
    while Instant::now() < until {
        let requests = fleet
            .entries
            .iter()
            .map(|entry| {
                idempotent(
                    entry.caller_address(),
                    &format!("leaving-{}-{number}", entry.id),
                )
            })
            .collect();
        for answer in fleet.send_all(requests) {
            assert_eq!(answer.expect("the entry answers").code(), Some(1000));
        }
        number += 1;
    }
    assert_eq!(fleet.upstream_log.report().started_after_leaving, 0);
}

#[test]
fn silent_connections_neither_lose_nor_duplicate_requests() {
    let fleet = TestFleet::start(PROGRAM, one_zone()).expect("the fleet starts");
    let start = |target| fleet.block_on(Relay::start(target)).expect("relay starts");
    let relays: Vec<Relay> = fleet
        .upstreams
        .iter()
        .map(|up| start(up.address()))
        .collect();
    for (index, relay) in relays.iter().enumerate() {
        put_live_vm(&fleet, index, relay.address());
    }
    let addresses: Vec<String> = relays.iter().map(|up| up.address().to_string()).collect();
    wait_until(
        "the entries use the relays",
        Duration::from_secs(10),
        || {
            fleet.entries.iter().all(|entry| {
                let state = fleet.state(entry);
                let upstreams = state["dispatch"]["upstreams"].as_array();
                upstreams.is_some_and(|upstreams| {
                    let uses = |up: &serde_json::Value| {
                        addresses
                            .iter()
                            .any(|address| up["address"] == address.as_str())
                    };
                    upstreams.len() == 2 && upstreams.iter().all(uses)
                })
            })
        },
    );
    let send_batch = |name: &str| {
        let requests: Vec<TestRequest> = (0..16)
            .map(|number| {
                let entry = &fleet.entries[number % 2];
                non_idempotent(entry.caller_address(), &format!("{name}-{number}"))
            })
            .collect();
        for answer in fleet.send_all(requests) {
            assert_eq!(answer.expect("the entry answers").code(), Some(1000));
        }
    };
    send_batch("first");
    std::thread::sleep(Duration::from_millis(300));
    for relay in &relays {
        relay.set_mode(RelayMode::ForgetOpen);
    }
    let began = Instant::now();
    send_batch("second");
    assert!(began.elapsed() < Duration::from_secs(5));
    assert_eq!(fleet.upstream_log.report().repeated, 0);
}

#[test]
fn planned_stop_under_load_interrupts_no_request() {
    let mut fleet = TestFleet::start(PROGRAM, one_zone()).expect("the fleet starts");
    let address = fleet.entries[0].caller_address();
    let mut tasks = Vec::new();
    let mut send = |fleet: &TestFleet, id: String| {
        let request = idempotent(address, &id)
            .header("x-work-ms", "1500")
            .header("x-answer-bytes", (4 * 1024 * 1024).to_string());
        let caller = fleet.caller.clone();
        tasks.push(fleet.spawn(async move { caller.send(request).await }));
    };
    for number in 0..4 {
        send(&fleet, format!("before-{number}"));
    }
    wait_until("the requests run", Duration::from_secs(10), || {
        fleet.upstream_log.report().started == 4
    });
    fleet.entries[0].process.terminate();
    // The balancer still sends requests for some time after the entry reports that it is not ready.
    for number in 0..8 {
        send(&fleet, format!("after-{number}"));
        std::thread::sleep(Duration::from_millis(100));
    }
    for task in tasks {
        let answer = fleet.block_on(task).expect("the task ends");
        let answer = answer.expect("the entry answers");
        assert_eq!(answer.status, StatusCode::OK);
        assert_eq!(answer.body.len(), 4 * 1024 * 1024);
    }
    let status = fleet.entries[0].process.wait_exit(Duration::from_secs(10));
    assert_eq!(status.and_then(|status| status.code()), Some(0));
    assert_eq!(fleet.upstream_log.report().started, 12);
}

#[test]
fn resumed_entry_checks_an_upstream_before_it_sends_work() {
    let fleet = TestFleet::start(PROGRAM, one_zone()).expect("the fleet starts");
    let entry = &fleet.entries[0];
    entry.process.freeze();
    fleet.upstreams[0].set_mode(UpstreamMode::Leaving);
    std::thread::sleep(Duration::from_millis(3_200));
    entry.process.resume();
    let requests = (0..8)
        .map(|number| idempotent(entry.caller_address(), &format!("paused-{number}")))
        .collect();
    for answer in fleet.send_all(requests) {
        assert_eq!(answer.expect("the entry answers").code(), Some(1000));
    }
    assert_eq!(fleet.upstream_log.report().started_after_leaving, 0);
}

/// Each entry of a zone counts only its own requests against the slots of an upstream. Without a
/// division of the slots, the entries together exceed them.
#[test]
fn entries_of_a_zone_together_keep_to_the_slots_of_an_upstream() {
    let config = TestFleetConfig::new()
        .zones(["zone-a"])
        .upstreams_per_zone(1)
        .work_time(Duration::from_millis(300));
    let fleet = TestFleet::start(PROGRAM, config).expect("the fleet starts");
    let requests = (0..32).map(|number| {
        let entry = &fleet.entries[number % fleet.entries.len()];
        let team = ["house-a-key", "house-b-key"][number / 2 % 2];
        TestRequest::to_queue(
            entry.caller_address(),
            "labels-urgent",
            &format!("slot-{number}"),
        )
        .key(team)
    });
    let answers = fleet.send_all(requests.collect());
    assert!(answers.iter().all(Result::is_ok));
    let peaks = fleet.upstream_log.report().peak_by_upstream;
    assert!(peaks.values().all(|peak| *peak <= 8), "{peaks:?}");
}
