//! Generates the faults of a seed and injects them.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rhubarbfall_testing::{Relay, RelayMode};
use rustix::process::Signal;
use tokio::time::Instant;

use crate::disturbances::{DisturbanceLog, DisturbanceScope};
use crate::entry::Entries;
use crate::stand_in::StandInSite;

/// The mean time between the starts of two faults; it is short enough that several overlap.
const MEAN_FAULT_INTERVAL: Duration = Duration::from_millis(350);

/// A fault that starts at `at`, measured from the start of the injection, and lasts for `length`.
#[derive(Debug, Clone)]
pub(crate) struct Fault {
    at: Duration,
    length: Duration,
    kind: FaultKind,
}

#[derive(Debug, Clone, Copy)]
enum FaultKind {
    /// An entry is killed and restarted.
    Kill(usize),
    /// An entry receives SIGTERM and is restarted.
    Stop(usize),
    /// An entry is suspended and resumed.
    Freeze(usize),
    /// An entry receives SIGHUP, so that it reloads its settings.
    Reload(usize),
    /// All entries are killed at once and restarted.
    KillAll,
    /// The connections between an entry and the store are impaired.
    StorePath(usize, RelayMode),
    /// The connections between all entries and a worker are impaired.
    WorkerPath(usize, RelayMode),
    /// The store answers no request.
    StoreDown,
}

impl Fault {
    /// Returns whether the fault excuses no late stop of cancelled work but on its own worker.
    pub(crate) fn excuses_one_worker_at_most(&self) -> bool {
        disturbed(self.kind) != Some(DisturbanceScope::AllWorkers)
    }
}

/// Generates the faults of a seed, ordered by start.
pub(crate) fn schedule(
    rng: &mut ChaCha8Rng,
    duration: Duration,
    entries: usize,
    workers: usize,
) -> Vec<Fault> {
    let mut faults = Vec::new();
    // The first entry needs some time to become the owner of the submissions.
    let mut at = Duration::from_secs(2);
    while at < duration {
        let length = Duration::from_millis(rng.random_range(200..4_000));
        let (entry, worker) = (rng.random_range(0..entries), rng.random_range(0..workers));
        let kind = match rng.random_range(0..100) {
            0..16 => FaultKind::Kill(entry),
            16..30 => FaultKind::Stop(entry),
            30..44 => FaultKind::Freeze(entry),
            44..48 => FaultKind::Reload(entry),
            48..52 => FaultKind::KillAll,
            52..74 => FaultKind::StorePath(entry, path_mode(rng)),
            74..93 => FaultKind::WorkerPath(worker, path_mode(rng)),
            _ => FaultKind::StoreDown,
        };
        faults.push(Fault { at, length, kind });
        at += MEAN_FAULT_INTERVAL.mul_f64(rng.random_range(0.0..2.0));
    }
    faults
}

fn path_mode(rng: &mut ChaCha8Rng) -> RelayMode {
    match rng.random_range(0..5) {
        0 => RelayMode::Cut,
        1 => RelayMode::Silent,
        2 => RelayMode::DropAnswers,
        3 => RelayMode::ForgetOpen,
        _ => RelayMode::Delay(Duration::from_millis(rng.random_range(20..500))),
    }
}

/// Starts and ends the faults at their times.
pub(crate) async fn inject(
    faults: &[Fault],
    entries: &Entries,
    site: &StandInSite,
    workers: &[Relay],
    disturbances: &DisturbanceLog,
) {
    let started_at = Instant::now();
    // (time, fault, whether the fault starts)
    let mut changes: Vec<(Duration, &Fault, bool)> = faults
        .iter()
        .flat_map(|fault| {
            [
                (fault.at, fault, true),
                (fault.at + fault.length, fault, false),
            ]
        })
        .collect();
    changes.sort_by_key(|(at, ..)| *at);
    for (at, fault, is_start) in changes {
        tokio::time::sleep_until(started_at + at).await;
        if let Some(scope) = disturbed(fault.kind).filter(|_| is_start) {
            disturbances.add(scope, fault.length);
        }
        apply(fault.kind, is_start, entries, site, workers);
    }
}

/// Returns what a fault disturbs, if anything.
fn disturbed(kind: FaultKind) -> Option<DisturbanceScope> {
    match kind {
        FaultKind::Reload(_) => None,
        FaultKind::WorkerPath(worker, _) => Some(DisturbanceScope::Worker(worker)),
        _ => Some(DisturbanceScope::AllWorkers),
    }
}

fn apply(
    kind: FaultKind,
    is_start: bool,
    entries: &Entries,
    site: &StandInSite,
    workers: &[Relay],
) {
    let mode = |mode: RelayMode| if is_start { mode } else { RelayMode::Pass };
    match kind {
        FaultKind::Kill(entry) if is_start => entries.processes[entry].kill(),
        FaultKind::Stop(entry) if is_start => entries.processes[entry].signal(Signal::TERM),
        FaultKind::Kill(entry) | FaultKind::Stop(entry) => entries.processes[entry].start(),
        FaultKind::Freeze(entry) => {
            let signal = if is_start { Signal::STOP } else { Signal::CONT };
            entries.processes[entry].signal(signal);
        }
        FaultKind::Reload(entry) if is_start => entries.processes[entry].signal(Signal::HUP),
        FaultKind::Reload(_) => {}
        FaultKind::KillAll => {
            for entry in &entries.processes {
                if is_start {
                    entry.kill();
                } else {
                    entry.start();
                }
            }
        }
        FaultKind::StorePath(entry, relay_mode) => entries.processes[entry]
            .store_relay
            .set_mode(mode(relay_mode)),
        FaultKind::WorkerPath(worker, relay_mode) => workers[worker].set_mode(mode(relay_mode)),
        FaultKind::StoreDown => site.set_store_down(is_start),
    }
}
