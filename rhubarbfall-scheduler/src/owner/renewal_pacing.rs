//! The pause between two lease renewals of a worker.
//!
//! The load: an owner that is short of processor time. Each run that ends answers a renewal, and each
//! answer takes processor time, whether it reports one end or several. While that time is what limits
//! the starts, room that is known to be free earlier starts nothing, so that the ends of a worker are
//! taken together and the time goes to starts and to callers.
//!
//! A renewal has three duties, and each of them bounds the pause: leases last on, ends reach callers,
//! and ends are acknowledged. A run that may or may not have started is asked for early whatever the
//! load.

use std::time::Duration;

use super::MIN_TICK_INTERVAL;

/// Time for which a worker with runs may hold a lease renewal: a third of a lease.
pub(super) const BUSY_LONG_POLL_TIMEOUT: Duration = Duration::from_millis(700);

/// Shortest pause between two lease renewals, so that one answer reports several ended runs.
const MIN_CALL_PAUSE: Duration = Duration::from_millis(20);

/// Multiple of the timer lateness that is added to `MIN_CALL_PAUSE`.
const LATENESS_PAUSE_FACTOR: u32 = 6;

/// Longest pause between two lease renewals: a small part of a lease, and half of the shortest
/// objective of a queue. With the longest wait for an answer, it leaves a worker time to answer before
/// it counts as unreachable.
const MAX_CALL_PAUSE: Duration = Duration::from_millis(300);

/// Timer lateness from which an owner is short of processor time: its ticks take twice their interval.
const SHORT_OF_TIME_LATENESS: Duration = MIN_TICK_INTERVAL;

/// What the pause before a worker's next renewal depends on.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RenewalLoad {
    /// Smoothed lateness of the process's timers, which measures the wait for the processor.
    pub(super) timer_lateness: Duration,
    /// Whether tasks with room wait for the answers to other starts.
    pub(super) are_starts_limited: bool,
    /// Whether it is not known if a run that was to start on the worker has started.
    pub(super) has_unconfirmed_starts: bool,
}

impl RenewalLoad {
    /// Returns whether processor time is what limits the starts. A slow store limits them as well, but
    /// not the timers.
    fn is_processor_limit(&self) -> bool {
        self.are_starts_limited && self.timer_lateness >= SHORT_OF_TIME_LATENESS
    }
}

/// Returns the pause between two lease renewals of a worker. A busy owner renews less often, so that
/// each answer reports more ended runs and calls use less processor time.
pub(super) fn call_pause(load: RenewalLoad) -> Duration {
    if load.is_processor_limit() && !load.has_unconfirmed_starts {
        return MAX_CALL_PAUSE;
    }
    (MIN_CALL_PAUSE + load.timer_lateness * LATENESS_PAUSE_FACTOR).min(MAX_CALL_PAUSE)
}

#[cfg(test)]
#[path = "renewal_pacing/tests.rs"]
mod tests;
