use std::time::Duration;

/// Times and limits of an owner.
#[derive(Debug, Clone, PartialEq)]
pub struct SchedulerSettings {
    /// The lease that a worker is granted for what runs on it: the longest that a run on a worker
    /// that was cut off stands in the way of its successor.
    pub lease: Duration,
    /// A worker that has not answered for this long gets no new work: one hold that waits its full
    /// time, and one lost answer.
    pub unreachable_after: Duration,
    /// How long an order without an answer may stay unlisted before it is stopped.
    pub unconfirmed_timeout: Duration,
    /// How long a confirmed stop is repeated for, when the worker still lists the run.
    pub stop_retry_interval: Duration,
    /// A run that shows no progress for this long is taken to stand still.
    pub stall_timeout: Duration,
    /// A worker that fails whatever it starts gets no work for this long.
    pub quarantine_duration: Duration,
    /// How long a finished submission is kept after its end.
    pub ended_retention: Duration,
    /// The pause before a task that failed is started again.
    pub retry_delay: Duration,
    /// How long a new owner interrupts no lasting task: a stop of its predecessor may take a second
    /// and is listed afterwards.
    pub takeover_interrupt_delay: Duration,
    /// How often leases, stalled runs, waves and pools are looked at: a small part of the shortest
    /// of their times.
    pub check_interval: Duration,
    /// How often the pace of fillers is set: a pace takes effect within 100 ms and shows in the tails
    /// of the last half second.
    pub pace_interval: Duration,
    /// The most starts on their way, from the placement to the worker's answer: several times what a
    /// round trip to the store needs at the highest load. What waits beyond them is still in the order
    /// of its urgency, when the owner's processor is the limit.
    pub max_pending_starts: usize,
    /// The most moves and maintenance calls in flight at the same time: each takes one connection.
    pub max_vm_calls: usize,
    /// How many moves a second may begin, from all entries together, as the platform limits them.
    pub vm_moves_per_s: f64,
}

impl Default for SchedulerSettings {
    fn default() -> Self {
        Self {
            lease: Duration::from_millis(2_500),
            unreachable_after: Duration::from_millis(1_300),
            unconfirmed_timeout: Duration::from_millis(400),
            stop_retry_interval: Duration::from_millis(500),
            stall_timeout: Duration::from_millis(1_500),
            quarantine_duration: Duration::from_secs(4),
            ended_retention: Duration::from_secs(150),
            retry_delay: Duration::from_millis(20),
            takeover_interrupt_delay: Duration::from_millis(2_500),
            check_interval: Duration::from_millis(80),
            pace_interval: Duration::from_millis(600),
            max_pending_starts: 200,
            max_vm_calls: 32,
            vm_moves_per_s: 48.0,
        }
    }
}
