use std::time::Duration;

use rhubarbfall_core::CellId;

/// The times and limits of an owner's scheduler.
#[derive(Debug, Clone, PartialEq)]
pub struct SchedulerSettings {
    /// The cell that the scheduler is for.
    pub cell: CellId,
    /// The number of cells; at least 1.
    pub cells: u16,
    /// The length of a worker's leases, which is the longest time that a run on an unreachable
    /// worker delays its successor.
    pub lease: Duration,
    /// The longest lease that a worker grants, whatever an order states.
    pub max_lease: Duration,
    /// How long a worker may go without an answer before it gets no new work: one lease renewal
    /// that waits its full time, and one lost answer.
    pub unreachable_after: Duration,
    /// The interval at which stop calls are repeated.
    pub stop_retry_interval: Duration,
    /// How long a run may show no progress before it counts as stalled.
    pub stall_timeout: Duration,
    /// How long a worker that fails different submissions gets no work.
    pub quarantine_duration: Duration,
    /// How long an ended job is kept.
    pub ended_retention: Duration,
    /// The delay before a requeued task is placed again.
    pub retry_delay: Duration,
    /// How long a new owner interrupts no long-running task: a stop by its predecessor may take one
    /// second and is reported only afterwards.
    pub takeover_interrupt_delay: Duration,
    /// The interval of the checks of leases, stalled runs, waves and pools: a small part of the
    /// shortest time that they check.
    pub check_interval: Duration,
    /// The interval at which the pace of best-effort tasks is set: a pace takes effect within 100
    /// ms and shows in the tail latencies of the last half second.
    pub pace_interval: Duration,
    /// The maximum number of pending starts, from the placement to the worker's answer: several
    /// times what a round trip to the store needs at the highest load. Tasks beyond it stay in the
    /// order of their ranks while the owner's processor is the bottleneck.
    pub max_pending_starts: usize,
    /// The maximum number of calls for moves and maintenance in flight; each takes one connection.
    pub max_vm_calls: usize,
    /// The maximum size of a row's value in bytes.
    pub max_row_bytes: usize,
    /// The time after which operators' requests to evacuate availability zones are in force; `None` if
    /// operators are promised no bound.
    pub evacuation_bound: Option<Duration>,
    /// The maximum number of moves per second by all entries together, as limited by the platform.
    pub vm_moves_per_s: f64,
    /// Whether placement takes into account when runs are expected to end, and holds places for
    /// tasks that fit nowhere while smaller ones would take each gap.
    pub placement_lookahead: bool,
}

impl Default for SchedulerSettings {
    fn default() -> Self {
        Self {
            cell: CellId::FIRST,
            cells: 1,
            lease: Duration::from_millis(2_500),
            max_lease: Duration::from_secs(10),
            unreachable_after: Duration::from_millis(1_300),
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
            max_row_bytes: 48 * 1024,
            evacuation_bound: None,
            vm_moves_per_s: 48.0,
            placement_lookahead: false,
        }
    }
}
