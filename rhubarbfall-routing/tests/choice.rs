//! Distribution of requests when upstreams are slow or fail fast, in virtual time.
//!
//! Guards against an upstream that fails in 1 ms attracting requests because it appears idle.

use std::fmt::Write as _;
use std::time::Duration;

use expect_test::expect;
use rhubarbfall_core::Slots;
use rhubarbfall_routing::{UpstreamLoad, least_wait};

const UPSTREAMS: usize = 10;
/// About a quarter of the capacity of the fast upstreams.
const REQUESTS_PER_SECOND: u64 = 1_000;
const SECONDS: u64 = 20;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SelectionPolicy {
    LeastRunning,
    LeastWait,
}

/// The first upstream fails in 1 ms, the second takes 200 ms, the others take 20 ms.
const fn upstream_behaviour(index: usize) -> (u64, bool) {
    match index {
        0 => (1, false),
        1 => (200, true),
        _ => (20, true),
    }
}

fn choose(policy: SelectionPolicy, loads: &mut [UpstreamLoad]) -> Option<usize> {
    match policy {
        SelectionPolicy::LeastWait => least_wait(loads.iter_mut().map(|load| (load, false))),
        SelectionPolicy::LeastRunning => (0..loads.len())
            .filter(|index| loads[*index].has_free_slot())
            .min_by_key(|index| loads[*index].running_slots()),
    }
}

/// Returns the shares of the requests that the failing and the slow upstream receive.
fn run(policy: SelectionPolicy) -> (f64, f64) {
    let mut loads = [UpstreamLoad::new(Slots::new(8)); UPSTREAMS];
    let mut running: Vec<(u64, usize)> = Vec::new();
    let mut request_counts = [0_u64; UPSTREAMS];
    for ms in 0..SECONDS * 1_000 {
        running.retain(|(end_ms, index)| {
            if *end_ms > ms {
                return true;
            }
            let (work_ms, is_success) = upstream_behaviour(*index);
            loads[*index].end();
            loads[*index].observe(Duration::from_millis(work_ms), is_success);
            false
        });
        for _ in 0..REQUESTS_PER_SECOND / 1_000 {
            let index = choose(policy, &mut loads).expect("an upstream has a free slot");
            loads[index].start();
            request_counts[index] += 1;
            running.push((ms + upstream_behaviour(index).0, index));
        }
    }
    let total = request_counts.iter().sum::<u64>() as f64;
    (
        request_counts[0] as f64 / total,
        request_counts[1] as f64 / total,
    )
}

/// Share of the requests that an upstream would receive if all were equal.
const EVEN_SHARE: f64 = 1.0 / UPSTREAMS as f64;

#[test]
fn fast_failures_do_not_attract_requests() {
    let mut report = String::new();
    for policy in [SelectionPolicy::LeastRunning, SelectionPolicy::LeastWait] {
        let (failing, slow) = run(policy);
        let _ = writeln!(report, "{policy:?}: failing {failing:.3}, slow {slow:.3}");
        if policy == SelectionPolicy::LeastWait {
            assert!(failing < EVEN_SHARE && slow < EVEN_SHARE);
        }
    }
    expect![[r"
        LeastRunning: failing 1.000, slow 0.000
        LeastWait: failing 0.005, slow 0.020
    "]]
    .assert_eq(&report);
}
