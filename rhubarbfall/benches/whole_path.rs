//! Latency and throughput through one entry, relative to the same load sent directly to the
//! upstream, and the memory that idle callers take.
//!
//! Prints ratios within one run; see `docs/MEASUREMENTS.md`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use http::Method;
use rhubarbfall_testing::rig::{Caller, TEST_DOCUMENT, TestFleet, TestFleetConfig, TestRequest};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const PROGRAM: &str = env!("CARGO_BIN_EXE_rhubarbfall");

/// The number of requests in each latency measurement.
const LATENCY_REQUESTS: usize = 2_000;

/// The number of concurrent callers in each throughput measurement, one per upstream connection.
const CONCURRENT_CALLERS: usize = 64;

/// The duration of each throughput measurement.
const THROUGHPUT_TIME: Duration = Duration::from_secs(5);

/// The number of callers that open a connection and send only an incomplete head.
const IDLE_CALLERS: usize = 1_000;

fn main() {
    let document = TEST_DOCUMENT
        .replace("slots_per_upstream = 8", "slots_per_upstream = 64")
        .replace("upper_limit_slots = 16", "upper_limit_slots = 1000");
    let config = TestFleetConfig::new()
        .zones(["zone-a"])
        .entries_per_zone(1)
        .upstreams_per_zone(1)
        .work_time(Duration::ZERO)
        .document(document);
    let fleet = TestFleet::start(PROGRAM, config).expect("the fleet starts");
    let entry = fleet.entries[0].caller_address();
    let upstream = fleet.upstreams[0].address();
    // The rounds alternate, so that both sides are measured in the same state of the machine.
    for round in 0..3 {
        let direct = latency(&fleet, upstream, "direct", round);
        let via_entry = latency(&fleet, entry, "entry", round);
        println!(
            "latency round {round}: direct p50 {} us p99 {} us, entry p50 {} us p99 {} us, p50 ratio {:.2}",
            direct.value_at_quantile(0.5),
            direct.value_at_quantile(0.99),
            via_entry.value_at_quantile(0.5),
            via_entry.value_at_quantile(0.99),
            via_entry.value_at_quantile(0.5) as f64 / direct.value_at_quantile(0.5) as f64,
        );
        let direct = throughput(&fleet, upstream, "direct", round);
        let via_entry = throughput(&fleet, entry, "entry", round);
        println!(
            "throughput round {round}: direct {direct:.0}/s, entry {via_entry:.0}/s, ratio {:.2}",
            via_entry / direct
        );
    }
    let before = resident_kib(fleet.entries[0].process.id());
    let idle = idle_callers(&fleet, entry);
    let after = resident_kib(fleet.entries[0].process.id());
    println!(
        "memory: {before} KiB before, {after} KiB with {} idle callers",
        idle.len()
    );
}

fn request(address: SocketAddr, id: &str) -> TestRequest {
    let mut request = TestRequest::to_queue(address, "labels-urgent", id)
        .key("house-a-key")
        .header("x-rhubarbfall-idempotent", "true");
    request.method = Method::POST;
    request
}

fn latency(fleet: &TestFleet, address: SocketAddr, name: &str, round: usize) -> Histogram<u64> {
    let mut histogram = Histogram::new(3).expect("three digits are allowed");
    let caller = Caller::new();
    fleet.block_on(async {
        for number in 0..LATENCY_REQUESTS {
            let id = format!("latency-{name}-{round}-{number}");
            let sent_at = Instant::now();
            let answer = caller.send(request(address, &id)).await;
            assert!(answer.is_ok_and(|answer| answer.status == 200));
            histogram.saturating_record(sent_at.elapsed().as_micros() as u64);
        }
    });
    histogram
}

fn throughput(fleet: &TestFleet, address: SocketAddr, name: &str, round: usize) -> f64 {
    let end = Instant::now() + THROUGHPUT_TIME;
    let name: Arc<str> = Arc::from(name);
    let tasks: Vec<_> = (0..CONCURRENT_CALLERS)
        .map(|index| {
            let caller = Caller::new();
            let name = Arc::clone(&name);
            fleet.spawn(async move {
                let mut answered = 0_u64;
                while Instant::now() < end {
                    let id = format!("throughput-{name}-{round}-{index}-{answered}");
                    let answer = caller.send(request(address, &id)).await;
                    assert!(answer.is_ok_and(|answer| answer.status == 200));
                    answered += 1;
                }
                answered
            })
        })
        .collect();
    let mut answered = 0;
    for task in tasks {
        answered += fleet.block_on(task).expect("the caller's task ends");
    }
    answered as f64 / THROUGHPUT_TIME.as_secs_f64()
}

fn idle_callers(fleet: &TestFleet, address: SocketAddr) -> Vec<TcpStream> {
    fleet.block_on(async {
        let mut callers = Vec::new();
        for _ in 0..IDLE_CALLERS {
            let mut stream = TcpStream::connect(address).await.expect("the port is open");
            let head = b"POST /v1/queues/labels-urgent HTTP/1.1\r\n";
            stream.write_all(head).await.expect("the entry reads");
            callers.push(stream);
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
        callers
    })
}

fn resident_kib(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status"));
    status
        .unwrap_or_default()
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|rest| rest.split_whitespace().next()?.parse().ok())
        .unwrap_or(0)
}
