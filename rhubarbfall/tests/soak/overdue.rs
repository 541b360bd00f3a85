//! Schedules with many occurrences that are due, handed in while faults go on, and the check that no
//! entry exceeds its memory.

use std::sync::Arc;
use std::time::Duration;

use http::{Method, StatusCode};
use tokio::task::JoinHandle;

use crate::callers::{CallerHistory, SoakCaller, pause};
use crate::entry::{Entries, SchedulerEntry};

/// A schedule that is a million occurrences behind.
const BODY: &str = r#"{"spec":"overdue","first_run_ms":1,"interval_ms":1,"max_runs":1000000,
    "steps":[{"count":2,"cpu":4000,"mem_mb":100,"estimate_ms":600}]}"#;

/// The number of schedules, of which a few hold all the room that their customer may have.
pub(crate) const SCHEDULES: usize = 24;

/// The memory that an entry may use, in kilobytes: 128 MB.
const MAX_MEMORY_KB: u64 = 128 * 1024;

const MEMORY_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The time within which the schedules are cancelled after the last fault.
const MAX_CANCEL_ATTEMPTS: usize = 20;

/// The callers that hand schedules in, and the watch on the memory of the entries.
pub(crate) struct OverdueSchedules {
    caller: JoinHandle<Vec<String>>,
    watch: JoinHandle<Option<u64>>,
}

/// What was found once the schedules were cancelled.
pub(crate) struct OverdueOutcome {
    /// The largest memory of an entry above the limit, in kilobytes.
    pub(crate) exceeded_kb: Option<u64>,
    /// The schedules whose cancel was not confirmed.
    pub(crate) left: Vec<String>,
}

impl OverdueSchedules {
    /// Hands in this many schedules beside the other callers.
    pub(crate) fn start(
        count: usize,
        entries: &Arc<Entries>,
        history: &Arc<CallerHistory>,
    ) -> Self {
        let shared = || (Arc::clone(entries), Arc::clone(history));
        let (entries, history) = shared();
        let caller = tokio::spawn(run(count, entries, history));
        let (entries, history) = shared();
        let watch = tokio::spawn(async move { watch_memory(&entries, &history).await });
        Self { caller, watch }
    }

    /// Waits until the schedules are cancelled, once the history is stopped.
    pub(crate) async fn finish(self) -> OverdueOutcome {
        OverdueOutcome {
            exceeded_kb: self.watch.await.expect("the watch ends"),
            left: self.caller.await.expect("the caller's task ends"),
        }
    }
}

/// Hands in schedules until the history is stopped, and cancels them then. Returns those whose cancel
/// was not confirmed.
async fn run(count: usize, entries: Arc<Entries>, history: Arc<CallerHistory>) -> Vec<String> {
    let mut caller = SoakCaller::new(count as u64);
    let mut ids = Vec::new();
    while ids.len() < count && !history.is_stopped() {
        let id = caller.new_id();
        for _ in 0..3 {
            let answer = caller.call(&entries, Method::POST, &id, BODY).await;
            if matches!(answer, Ok((StatusCode::OK, _))) {
                break;
            }
            pause(&mut caller, 400).await;
        }
        ids.push(id);
        pause(&mut caller, 200).await;
    }
    while !history.is_stopped() {
        pause(&mut caller, 200).await;
    }
    let mut left = Vec::new();
    for id in ids {
        if !cancel(&mut caller, &entries, &id).await {
            left.push(id);
        }
    }
    left
}

async fn cancel(caller: &mut SoakCaller, entries: &Entries, id: &str) -> bool {
    for _ in 0..MAX_CANCEL_ATTEMPTS {
        let answer = caller.call(entries, Method::DELETE, id, "").await;
        if matches!(answer, Ok((StatusCode::OK | StatusCode::GONE, _))) {
            return true;
        }
        pause(caller, 400).await;
    }
    false
}

/// Looks at the memory of the entries until the history is stopped, and returns the largest one above
/// the limit, in kilobytes.
async fn watch_memory(entries: &Entries, history: &CallerHistory) -> Option<u64> {
    let mut largest_kb = 0;
    while !history.is_stopped() {
        let used = entries
            .processes
            .iter()
            .filter_map(SchedulerEntry::memory_kb);
        largest_kb = used.fold(largest_kb, u64::max);
        tokio::time::sleep(MEMORY_CHECK_INTERVAL).await;
    }
    (largest_kb > MAX_MEMORY_KB).then_some(largest_kb)
}
