//! Requests from the caller to the upstream and back, with each entry as a separate process.

use std::net::SocketAddr;
use std::time::Duration;

use http::{Method, StatusCode};
use rhubarbfall_testing::rig::{Process, TestFleet, TestFleetConfig, TestRequest, wait_until};

const PROGRAM: &str = env!("CARGO_BIN_EXE_rhubarbfall");

fn labels(address: SocketAddr, id: &str) -> TestRequest {
    TestRequest::to_queue(address, "labels-urgent", id)
}

#[test]
fn request_with_a_key_is_answered_by_an_upstream() {
    let fleet = TestFleet::start(PROGRAM, TestFleetConfig::new()).expect("the fleet starts");
    for (index, entry) in fleet.entries.iter().enumerate() {
        let id = format!("request-{index}");
        let request = labels(entry.caller_address(), &id).key("house-a-key");
        let answer = fleet.send(request).expect("the entry answers");
        assert_eq!(answer.status, StatusCode::OK);
        assert_eq!(answer.code(), Some(1000));
        assert_eq!(answer.body, format!("done {id}\n"));
    }
    assert_eq!(fleet.upstream_log.report().started, 4);
}

#[test]
fn request_without_the_right_key_is_rejected_and_not_run() {
    let fleet = TestFleet::start(PROGRAM, TestFleetConfig::new().zones(["zone-a"]))
        .expect("the fleet starts");
    let address = fleet.entries[0].caller_address();
    let rejected = [
        (labels(address, "r1"), 2002),
        (labels(address, "r2").key("wrong"), 2003),
        (labels(address, "r3").key("operator-key"), 2003),
        (
            TestRequest::to_queue(address, "nothing", "r4").key("house-a-key"),
            2001,
        ),
    ];
    for (request, code) in rejected {
        let answer = fleet.send(request).expect("the entry answers");
        assert_eq!(answer.code(), Some(code));
        assert_eq!(answer.header("x-rhubarbfall-execution"), Some("not run"));
    }
    let open = TestRequest::to_queue(address, "labels-open", "r5");
    assert_eq!(
        fleet.send(open).expect("the entry answers").code(),
        Some(1000)
    );
    assert_eq!(fleet.upstream_log.report().started, 1);
}

#[test]
fn long_answer_arrives_complete() {
    let fleet = TestFleet::start(PROGRAM, TestFleetConfig::new().zones(["zone-a"]))
        .expect("the fleet starts");
    let size_bytes = 20 * 1024 * 1024;
    let request = labels(fleet.entries[0].caller_address(), "long")
        .key("house-a-key")
        .header("x-answer-bytes", size_bytes.to_string());
    let answer = fleet.send(request).expect("the entry answers");
    assert_eq!(answer.body.len(), size_bytes);
}

#[test]
fn stand_ins_run_as_processes_of_their_own() {
    let platform = Process::start(PROGRAM, ["stand-in", "platform"]).expect("the process starts");
    let arguments = [
        "stand-in",
        "upstream",
        "--id",
        "labels-1",
        "--run-for",
        "60",
    ];
    let mut upstream = Process::start(PROGRAM, arguments).expect("the process starts");
    let fleet = TestFleet::start(PROGRAM, TestFleetConfig::new().zones(["zone-a"]))
        .expect("the fleet starts");
    let vms = TestRequest::new(Method::GET, platform.address("address"), "/v1/vms");
    assert_eq!(fleet.send(vms).expect("the entry answers").body, "[]");
    let health = TestRequest::new(Method::GET, upstream.address("address"), "/health");
    assert_eq!(
        fleet.send(health).expect("the entry answers").status,
        StatusCode::OK
    );
    upstream.kill();
}

#[test]
fn planned_stop_ends_with_exit_code_zero() {
    let mut fleet = TestFleet::start(PROGRAM, TestFleetConfig::new().zones(["zone-a"]))
        .expect("the fleet starts");
    let mut entry = fleet.entries.remove(0);
    entry.process.terminate();
    wait_until("the entry is not ready", Duration::from_secs(5), || {
        let ready = TestRequest::new(Method::GET, entry.operator_address(), "/ready");
        fleet
            .send(ready)
            .is_ok_and(|answer| answer.status == StatusCode::SERVICE_UNAVAILABLE)
    });
    let status = entry.process.wait_exit(Duration::from_secs(10));
    assert_eq!(status.and_then(|status| status.code()), Some(0));
}
