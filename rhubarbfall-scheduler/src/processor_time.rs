//! Processor time of the process, by activity.
//!
//! One thread does all the work, so that the time which a task's polls take is the processor time of
//! its activity. What is not counted here is the I/O of connections to workers, store and peers, the
//! runtime and the kernel.

use std::fmt::Write as _;
use std::future::{Future, poll_fn};
use std::pin::pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use rhubarbfall_core::SharedClock;

/// An activity of the process whose processor time is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Activity {
    /// Requests of callers.
    Callers,
    /// Requests of other entries and the status exchange with them.
    Peers,
    /// Scheduler ticks: placements and time-dependent checks.
    Ticks,
    /// Orders to start, stop and pace runs.
    Orders,
    /// Renewals of workers' leases, with the processing of ended runs.
    Renewals,
    /// Batches of rows to the store.
    Rows,
    /// The list of VMs and orders for them.
    Vms,
    /// Changes that the store reports: configuration, ownership, workers and cancellations.
    Feeds,
    /// Writing of log lines, on a thread of its own.
    Logs,
}

/// All activities, in the order of their counters.
const ACTIVITIES: [(Activity, &str); 9] = [
    (Activity::Callers, "callers"),
    (Activity::Peers, "peers"),
    (Activity::Ticks, "ticks"),
    (Activity::Orders, "orders"),
    (Activity::Renewals, "renewals"),
    (Activity::Rows, "rows"),
    (Activity::Vms, "vms"),
    (Activity::Feeds, "feeds"),
    (Activity::Logs, "logs"),
];

/// Processor time since the start of the process, in nanoseconds.
static SPENT_NS: [AtomicU64; ACTIVITIES.len()] = [const { AtomicU64::new(0) }; ACTIVITIES.len()];

/// Adds to the processor time of an activity.
pub(crate) fn add(activity: Activity, spent: Duration) {
    SPENT_NS[activity as usize].fetch_add(spent.as_nanos() as u64, Ordering::Relaxed);
}

/// Runs `work` and counts the time that its polls take for `activity`.
pub(crate) async fn metered<F: Future>(
    activity: Activity,
    clock: SharedClock,
    work: F,
) -> F::Output {
    let mut work = pin!(work);
    poll_fn(move |context| {
        let began_at = clock.now();
        let progress = work.as_mut().poll(context);
        add(activity, clock.now().saturating_duration_since(began_at));
        progress
    })
    .await
}

/// Sets the metrics to the processor time counted so far.
pub(crate) fn export() {
    for ((_, name), spent_ns) in ACTIVITIES.iter().zip(&SPENT_NS) {
        let spent_us = spent_ns.load(Ordering::Relaxed) / 1_000;
        metrics::counter!("processor_microseconds_total", "activity" => *name).absolute(spent_us);
    }
}

/// Logs the processor time of each activity at intervals.
#[derive(Debug, Default)]
pub(crate) struct ProcessorTimeLog {
    logged_ns: [u64; ACTIVITIES.len()],
}

impl ProcessorTimeLog {
    /// Starts from the processor time counted so far.
    pub(crate) fn new() -> Self {
        let mut log = Self::default();
        log.advance();
        log
    }

    /// Returns the processor time of each activity since the previous call.
    fn advance(&mut self) -> [Duration; ACTIVITIES.len()] {
        std::array::from_fn(|index| {
            let total_ns = SPENT_NS[index].load(Ordering::Relaxed);
            let spent_ns = total_ns - std::mem::replace(&mut self.logged_ns[index], total_ns);
            Duration::from_nanos(spent_ns)
        })
    }

    /// Logs what was spent since the previous call.
    pub(crate) fn log(&mut self, interval: Duration) {
        let mut line = format!("event=processor_time interval_ms={}", interval.as_millis());
        for ((_, name), spent) in ACTIVITIES.iter().zip(self.advance()) {
            // Writing to a string cannot fail.
            let _ = write!(line, " {name}_ms={}", spent.as_millis());
        }
        log::info!("{line}");
    }
}

#[cfg(test)]
mod tests;
