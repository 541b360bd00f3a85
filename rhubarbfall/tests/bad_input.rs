//! Malformed, oversized and slow input on the ports of an entry that runs as a separate process.

use std::fs;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::process::Command;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use http::Method;
use rhubarbfall_testing::rig::{TestFleet, TestFleetConfig, TestRequest, TestResponse, wait_until};
use serde_json::Value;
use tempfile::TempDir;

const PROGRAM: &str = env!("CARGO_BIN_EXE_rhubarbfall");

/// Limits that are small enough for the tests to reach.
const SMALL_LIMITS: &str =
    "[traffic]\nmax_body_bytes = 100000\nmax_buffered_bytes = 400000\nbody_timeout_ms = 1500\n";

/// The memory by which a process may grow under bad input: its budget for bodies, heads of 64 KiB
/// on each connection, and memory that the allocator retains.
const MAX_GROWTH_KB: u64 = 24 * 1024;

fn start() -> TestFleet {
    let config = TestFleetConfig::new().zones(["zone-a"]).entries_per_zone(1);
    TestFleet::start(PROGRAM, config.extra_settings(SMALL_LIMITS)).expect("the fleet starts")
}

/// Builds a request with a new identifier, since a used one is rejected as a duplicate.
fn labels(fleet: &TestFleet) -> TestRequest {
    static NEXT_REQUEST: AtomicU64 = AtomicU64::new(0);
    let id = format!("r{}", NEXT_REQUEST.fetch_add(1, Ordering::Relaxed));
    TestRequest::to_queue(fleet.entries[0].caller_address(), "labels-urgent", &id)
        .key("house-a-key")
}

fn resident_kb(fleet: &TestFleet) -> u64 {
    let path = format!("/proc/{}/status", fleet.entries[0].process.id());
    let status = fs::read_to_string(path).expect("the process runs");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    number.expect("the status has a VmRSS line")
}

fn assert_still_serving(fleet: &TestFleet) {
    let answer = fleet.send(labels(fleet)).expect("the entry answers");
    assert_eq!(answer.code(), Some(1000), "{answer:?}");
}

fn send_raw(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).expect("the port is open");
    let timeout = Some(Duration::from_secs(10));
    stream.set_read_timeout(timeout).expect("the option is set");
    let _ = stream.write_all(bytes);
    let _ = stream.shutdown(Shutdown::Write);
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

fn json(answer: &TestResponse) -> Value {
    serde_json::from_slice(&answer.body).expect("the answer is JSON")
}

#[test]
fn malformed_requests_are_rejected_with_a_result_code_and_not_run() {
    let fleet = start();
    let address = fleet.entries[0].caller_address();
    let bare =
        |path: &str| TestRequest::new(Method::POST, address, path.to_owned()).key("house-a-key");
    let cases = [
        (bare("/v1/queues/labels-urgent"), 2012),
        (
            bare("/v1/queues/labels-urgent").header("x-request-id", "a b"),
            2012,
        ),
        (
            bare("/v1/queues/labels-urgent").header("x-request-id", "x".repeat(129)),
            2012,
        ),
        (labels(&fleet).key("second"), 2012),
        (labels(&fleet).header("x-rhubarbfall-class", "soon"), 2012),
        (
            labels(&fleet).header("x-rhubarbfall-idempotent", "maybe"),
            2012,
        ),
        (
            labels(&fleet).header("x-rhubarbfall-deadline-ms", "-1"),
            2012,
        ),
        (
            labels(&fleet).header("x-rhubarbfall-deadline-ms", "99999999999999999999"),
            2012,
        ),
        (
            TestRequest::new(Method::GET, address, "/v1/queues/labels-urgent"),
            2012,
        ),
        (TestRequest::new(Method::DELETE, address, "/"), 2012),
        (bare("/"), 2001),
        (bare("/v1/queues/"), 2001),
        (bare("/v1/queues/nothing").header("x-request-id", "r"), 2001),
        (bare("/v1/queues/%00").header("x-request-id", "r"), 2001),
        (labels(&fleet).body(vec![b'x'; 100_001]), 2013),
        (labels(&fleet).body(vec![b'x'; 5_000_000]), 2013),
    ];
    for (request, code) in cases {
        let shown = format!("{} {} {:?}", request.method, request.path, request.headers);
        let answer = fleet.send(request).expect("the entry answers");
        assert_eq!(answer.code(), Some(code), "{shown}");
        assert_eq!(
            answer.header("x-rhubarbfall-execution"),
            Some("not run"),
            "{shown}"
        );
    }
    assert_eq!(fleet.upstream_log.report().started, 0);
    assert_still_serving(&fleet);
}

#[test]
fn huge_deadline_leaves_the_entry_serving() {
    let fleet = start();
    let request = labels(&fleet).header("x-rhubarbfall-deadline-ms", u64::MAX.to_string());
    let answer = fleet.send(request).expect("the entry answers");
    assert!(matches!(answer.code(), Some(1000 | 2012)), "{answer:?}");
    assert_still_serving(&fleet);
}

#[test]
fn operators_get_errors_with_result_codes() {
    let fleet = start();
    let address = fleet.entries[0].operator_address();
    let request =
        |method, path: &str| TestRequest::new(method, address, path.to_owned()).key("operator-key");
    let apply = || request(Method::POST, "/v1/document").header("x-transaction-id", "t");
    let cases = [
        (apply().body(vec![0xff_u8; 100]), 4001),
        (apply().body("[fleet"), 4001),
        (apply().body("x = 1"), 4002),
        (apply().body("a.".repeat(100_000)), 4001),
        (apply().body(format!("a = {}", "[".repeat(100_000))), 4001),
        (apply().body(vec![b'#'; 400_001]), 2021),
        (request(Method::POST, "/v1/document").body("[fleet]"), 2012),
        (apply().header("x-transaction-id", "second"), 2012),
        (request(Method::GET, "/v1/document/history?since=x"), 2012),
        (request(Method::GET, "/v1/nothing"), 4007),
        (request(Method::POST, "/v1/key-digest").body("\u{7}"), 2012),
        (
            request(Method::POST, "/v1/key-digest").body("k".repeat(300)),
            2012,
        ),
    ];
    for (request, code) in cases {
        let shown = format!("{} {}", request.method, request.path);
        let answer = fleet.send(request).expect("the entry answers");
        assert_eq!(json(&answer)["code"], code, "{shown}");
    }
    assert_still_serving(&fleet);
}

#[test]
fn slow_senders_are_disconnected_and_keep_to_the_body_budget() {
    let fleet = start();
    let address = fleet.entries[0].caller_address();
    let before_kb = resident_kb(&fleet);
    let head = "POST /v1/queues/labels-urgent HTTP/1.1\r\nhost: x\r\nx-request-id: s\r\n\
                x-rhubarbfall-key: house-a-key\r\ncontent-length: 90000\r\n\r\n";
    let mut senders: Vec<TcpStream> = Vec::new();
    for _ in 0..64 {
        let mut stream = TcpStream::connect(address).expect("the port is open");
        stream.write_all(head.as_bytes()).expect("the head is sent");
        let _ = stream.write_all(&vec![b'x'; 80_000]);
        senders.push(stream);
    }
    wait_until("the bodies have arrived", Duration::from_secs(5), || {
        fleet.state(&fleet.entries[0])["in_flight"].as_u64() >= Some(4)
    });
    assert!(resident_kb(&fleet) < before_kb + MAX_GROWTH_KB);
    let mut codes = [0, 0];
    for mut stream in senders {
        let timeout = Some(Duration::from_secs(10));
        stream.set_read_timeout(timeout).expect("the option is set");
        let mut answer = [0; 4096];
        let length = stream.read(&mut answer).unwrap_or(0);
        let answer = String::from_utf8_lossy(&answer[..length]).into_owned();
        codes[0] += usize::from(answer.contains("x-rhubarbfall-code: 2014"));
        codes[1] += usize::from(answer.contains("x-rhubarbfall-code: 2021"));
    }
    // Four bodies of 80 kB and part of a fifth fit in the budget of 400 kB.
    assert_eq!(codes.iter().sum::<usize>(), 64, "{codes:?}");
    assert!((1..=5).contains(&codes[0]), "{codes:?}");
    assert!(resident_kb(&fleet) < before_kb + MAX_GROWTH_KB);
    assert_still_serving(&fleet);
}

#[test]
fn garbage_and_oversized_heads_end_the_connection_only() {
    let fleet = start();
    let before_kb = resident_kb(&fleet);
    let entry = &fleet.entries[0];
    let long_header = format!("GET / HTTP/1.1\r\nx: {}\r\n\r\n", "y".repeat(1_000_000));
    let many_headers = format!("GET / HTTP/1.1\r\n{}\r\n", "x: y\r\n".repeat(1_000));
    let garbage: Vec<u8> = (0..200_000_u32).map(|n| (n * 31 % 251) as u8).collect();
    for address in [entry.caller_address(), entry.operator_address()] {
        assert!(send_raw(address, &garbage).starts_with("HTTP/1.1 400 "));
        assert!(send_raw(address, b"\0\0\0\0\r\n\r\n").starts_with("HTTP/1.1 400 "));
        assert!(send_raw(address, many_headers.as_bytes()).starts_with("HTTP/1.1 431 "));
        // The connection may be closed before the sender reads the response.
        let answer = send_raw(address, long_header.as_bytes());
        assert!(
            answer.is_empty() || answer.starts_with("HTTP/1.1 431 "),
            "{answer}"
        );
        assert!(send_raw(address, b"GET / HTT").is_empty());
        let both = b"POST /v1/queues/labels-urgent HTTP/1.1\r\ncontent-length: 5\r\n\
                     transfer-encoding: chunked\r\n\r\n0\r\n\r\n";
        assert!(!send_raw(address, both).contains("HTTP/1.1 200"));
    }
    assert!(resident_kb(&fleet) < before_kb + MAX_GROWTH_KB);
    assert_still_serving(&fleet);
}

#[test]
fn garbage_from_peers_ends_the_connection_only() {
    let fleet = start();
    let before_kb = resident_kb(&fleet);
    let address = fleet.entries[0].process.address("peers");
    let garbage: Vec<u8> = (0..1_000_000_u32).map(|n| (n * 31 % 251) as u8).collect();
    let huge_frame = [&u32::MAX.to_be_bytes()[..], &vec![b'x'; 1_000_000]].concat();
    let empty_frames = vec![0; 100_000];
    for bytes in [&garbage, &huge_frame, &empty_frames] {
        // The response is at most a greeting.
        assert!(send_raw(address, bytes).len() < 1_000);
    }
    let silent: Vec<TcpStream> = (0..200)
        .map(|_| TcpStream::connect(address).expect("the port is open"))
        .collect();
    assert_still_serving(&fleet);
    drop(silent);
    assert!(resident_kb(&fleet) < before_kb + MAX_GROWTH_KB);
    assert_still_serving(&fleet);
}

#[test]
fn bad_settings_exit_with_code_two_and_list_every_fault() {
    let directory = TempDir::new().expect("a temporary directory is created");
    let path = directory.path().join("bad.toml");
    fs::write(
        &path,
        "[entry]\nid = 'a b'\n[listen]\n[traffic]\nthreads = 0\n",
    )
    .expect("the settings are written");
    for command in ["check-settings", "serve"] {
        let output = Command::new(PROGRAM)
            .args([command, "--settings"])
            .arg(&path)
            .output()
            .expect("the program runs");
        assert_eq!(output.status.code(), Some(2));
        let errors = String::from_utf8_lossy(&output.stderr);
        for line in [
            "line 2, column 6: entry.id: ",
            "line 3, column 2: listen.callers: this field is missing",
            "line 5, column 1: traffic.threads: must be at least 1",
            "secrets: this section is missing",
        ] {
            assert!(errors.contains(line), "{errors}");
        }
    }
}
