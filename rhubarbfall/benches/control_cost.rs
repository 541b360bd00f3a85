//! Processor time and memory that idle entries use for control, as separate processes:
//! `cargo bench -p rhubarbfall --bench control_cost`.

use std::fs;
use std::thread::sleep;
use std::time::Duration;

use rhubarbfall_testing::rig::{TestFleet, TestFleetConfig};

const PROGRAM: &str = env!("CARGO_BIN_EXE_rhubarbfall");

const ZONES: [&str; 11] = [
    "zone-a", "zone-b", "zone-c", "zone-d", "zone-e", "zone-f", "zone-g", "zone-h", "zone-i",
    "zone-j", "zone-k",
];

/// Zones and entries per zone: an eighth, a quarter, a half and all of the fleet.
const FLEET_SIZES: [(usize, usize); 4] = [(3, 4), (5, 5), (8, 6), (11, 9)];

const WARM_UP: Duration = Duration::from_secs(20);
const MEASUREMENT_TIME: Duration = Duration::from_secs(20);

/// The resolution of processor time in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;

fn main() {
    // `cargo test --all-targets` also runs benches, but without this argument.
    if !std::env::args().any(|argument| argument == "--bench") {
        return;
    }
    println!("| entries | core %, mean | core %, most | resident kB, most |");
    println!("|---|---|---|---|");
    for (zones, entries) in FLEET_SIZES {
        measure(zones, entries);
    }
}

fn measure(zones: usize, entries: usize) {
    let config = TestFleetConfig::new()
        .zones(&ZONES[..zones])
        .entries_per_zone(entries)
        .upstreams_per_zone(1);
    let fleet = TestFleet::start(PROGRAM, config).expect("the fleet starts");
    sleep(WARM_UP);
    let ids: Vec<u32> = fleet
        .entries
        .iter()
        .map(|entry| entry.process.id())
        .collect();
    let before: Vec<f64> = ids.iter().map(|id| cpu_ticks(*id)).collect();
    sleep(MEASUREMENT_TIME);
    let percent = |(id, before): (&u32, f64)| {
        let seconds = (cpu_ticks(*id) - before) / TICKS_PER_SECOND;
        100.0 * seconds / MEASUREMENT_TIME.as_secs_f64()
    };
    let shares: Vec<f64> = ids.iter().zip(before).map(percent).collect();
    let mean = shares.iter().sum::<f64>() / shares.len() as f64;
    let max = shares.iter().copied().fold(0.0, f64::max);
    let resident_kb = ids
        .iter()
        .map(|id| resident_kb(*id))
        .max()
        .unwrap_or_default();
    println!("| {} | {mean:.2} | {max:.2} | {resident_kb} |", ids.len());
}

/// Returns the processor time of a process in user and system mode, in ticks.
fn cpu_ticks(id: u32) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let fields = stat
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split_whitespace();
    let cpu_ticks = fields
        .skip(11)
        .take(2)
        .filter_map(|field| field.parse::<f64>().ok());
    cpu_ticks.sum()
}

fn resident_kb(id: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    number
        .and_then(|number| number.parse().ok())
        .unwrap_or_default()
}
