//! A worker process that follows the platform's rules for runs, leases, fences and stops.

use std::collections::BTreeMap;
use std::time::Duration;

use rhubarbfall_core::BootTime;
use rhubarbfall_runs::scheduler::{StartOrder, StopOrder};
use rhubarbfall_runs::{
    ActiveRun, LeaseRenewalResponse, RunEnd, RunEndKind, StartOutcome, TaskId, WorkerReport,
};

/// The longest lease that a worker grants, on its own clock.
const MAX_LEASE_MS: u64 = 10_000;

/// The longest time that a stop takes.
pub(crate) const MAX_STOP: Duration = Duration::from_millis(900);

/// A run on a process.
#[derive(Debug, Clone)]
pub(crate) struct ProcessRun {
    pub(crate) task: TaskId,
    pub(crate) run: u64,
    pub(crate) started_at: BootTime,
    /// How long the run still works; a run without an end is stopped by its submission's cancel.
    pub(crate) remaining: Duration,
    /// Whether the run ends as failed instead of done.
    pub(crate) fails: bool,
    pub(crate) is_gang: bool,
    /// When the run ends because of a stop.
    pub(crate) stops_at: Option<BootTime>,
}

/// A lease renewal that waits for an end.
#[derive(Debug, Clone)]
pub(crate) struct Parked {
    pub(crate) call: u64,
    pub(crate) until: BootTime,
    /// The delay of the response, or `None` if it is lost.
    pub(crate) reply_delay: Option<Duration>,
}

/// One life of a worker.
#[derive(Debug, Clone)]
pub(crate) struct Process {
    pub(crate) report: WorkerReport,
    pub(crate) vm: usize,
    pub(crate) started_at: BootTime,
    pub(crate) clock_offset_ms: u64,
    pub(crate) clock_rate: f64,
    pub(crate) fence: u64,
    pub(crate) lease_deadline_ms: u64,
    pub(crate) runs: Vec<ProcessRun>,
    /// The highest run of each task that was stopped or has ended here.
    pub(crate) closed: BTreeMap<TaskId, u64>,
    pub(crate) ends: Vec<RunEnd>,
    pub(crate) next_end: u64,
    /// The number of the last end before the leases last lapsed.
    pub(crate) last_end_before_lapse: u64,
    pub(crate) parked: Vec<Parked>,
    /// No call and no response passes before this time.
    pub(crate) cut_until: BootTime,
    /// When the draining process exits.
    pub(crate) leaves_at: Option<BootTime>,
}

impl Process {
    pub(crate) fn new(report: WorkerReport, vm: usize, now: BootTime, clock_rate: f64) -> Self {
        let clock_offset_ms = report.incarnation_unix_ms % 7_919 * 31;
        Self {
            report,
            vm,
            started_at: now,
            clock_offset_ms,
            clock_rate,
            fence: 0,
            lease_deadline_ms: 0,
            runs: Vec::new(),
            closed: BTreeMap::new(),
            ends: Vec::new(),
            next_end: 1,
            last_end_before_lapse: 0,
            parked: Vec::new(),
            cut_until: BootTime::default(),
            leaves_at: None,
        }
    }

    pub(crate) fn clock_ms(&self, now: BootTime) -> u64 {
        let elapsed = now.since(self.started_at).mul_f64(self.clock_rate);
        self.clock_offset_ms + elapsed.as_millis() as u64
    }

    fn accept_fence(&mut self, fence: u64) -> bool {
        if fence < self.fence {
            return false;
        }
        self.fence = fence;
        true
    }

    fn extend_lease(&mut self, deadline_ms: u64, now: BootTime) {
        let longest = self.clock_ms(now) + MAX_LEASE_MS;
        self.lease_deadline_ms = self.lease_deadline_ms.max(deadline_ms.min(longest));
    }

    pub(crate) fn start(
        &mut self,
        order: &StartOrder,
        fence: u64,
        run: ProcessRun,
        now: BootTime,
    ) -> StartOutcome {
        if !self.accept_fence(fence) {
            return StartOutcome::Fenced;
        }
        if order.lease_deadline_ms <= self.clock_ms(now) {
            return StartOutcome::LeaseTooOld;
        }
        self.extend_lease(order.lease_deadline_ms, now);
        let is_there = |known: &ProcessRun| known.task == order.task && known.run == order.run;
        if self.runs.iter().any(is_there) {
            return StartOutcome::Accepted;
        }
        if self
            .closed
            .get(&order.task)
            .is_some_and(|closed| order.run <= *closed)
        {
            return StartOutcome::RunTooOld;
        }
        self.runs.push(run);
        StartOutcome::Accepted
    }

    pub(crate) fn stop(
        &mut self,
        order: &StopOrder,
        fence: u64,
        takes: Duration,
        now: BootTime,
    ) -> bool {
        if !self.accept_fence(fence) {
            return false;
        }
        let closed = self.closed.entry(order.task.clone()).or_default();
        *closed = (*closed).max(order.run);
        for run in &mut self.runs {
            if run.task == order.task && run.run == order.run {
                run.stops_at.get_or_insert(now + takes);
            }
        }
        true
    }

    /// Accepts a lease renewal and returns the ends that it lets the worker forget, or returns `None`
    /// if the renewal is not to be answered. Ends after which the leases have lapsed are left out: by
    /// the platform's rules the tasks of such runs may run again.
    pub(crate) fn renew(
        &mut self,
        deadline_ms: Option<u64>,
        acknowledged: u64,
        fence: u64,
        now: BootTime,
    ) -> Option<Vec<RunEnd>> {
        if !self.accept_fence(fence) {
            return None;
        }
        if let Some(deadline_ms) = deadline_ms {
            self.extend_lease(deadline_ms, now);
        }
        let is_acknowledged = |end: &mut RunEnd| end.number <= acknowledged;
        let mut forgotten: Vec<RunEnd> = self.ends.extract_if(.., is_acknowledged).collect();
        forgotten.retain(|end| end.number > self.last_end_before_lapse);
        Some(forgotten)
    }

    pub(crate) fn response(&self, now: BootTime) -> LeaseRenewalResponse {
        LeaseRenewalResponse {
            clock_ms: self.clock_ms(now),
            incarnation_unix_ms: self.report.incarnation_unix_ms,
            running: self
                .runs
                .iter()
                .map(|run| ActiveRun {
                    task: run.task.clone(),
                    run: run.run,
                    checkpoint: None,
                    percent: (now.since(run.started_at).as_millis() / 10).min(100) as u8,
                    tail_ms_or_cpu_millis: Some(30),
                })
                .collect(),
            ended: self.ends.clone(),
            may_have_more_ends: false,
        }
    }

    /// Ends the runs selected by `how`.
    pub(crate) fn end_runs(&mut self, mut how: impl FnMut(&ProcessRun) -> Option<RunEndKind>) {
        let mut index = 0;
        while index < self.runs.len() {
            let Some(kind) = how(&self.runs[index]) else {
                index += 1;
                continue;
            };
            let run = self.runs.swap_remove(index);
            let closed = self.closed.entry(run.task.clone()).or_default();
            *closed = (*closed).max(run.run);
            self.ends.push(RunEnd {
                number: self.next_end,
                task: run.task,
                run: run.run,
                kind,
                checkpoint: None,
            });
            self.next_end += 1;
        }
    }

    /// Advances the runs by `step` and returns the renewals to be answered now.
    pub(crate) fn advance(&mut self, now: BootTime, step: Duration) -> Vec<Parked> {
        let has_lapsed = self.clock_ms(now) > self.lease_deadline_ms;
        if has_lapsed {
            self.last_end_before_lapse = self.next_end - 1;
        }
        for run in self.runs.iter_mut().filter(|run| !run.is_gang) {
            run.remaining = run.remaining.saturating_sub(step);
        }
        self.end_runs(|run| {
            if has_lapsed {
                Some(RunEndKind::Lapsed)
            } else if run.stops_at.is_some_and(|at| at <= now) {
                Some(RunEndKind::Stopped)
            } else if run.is_gang || !run.remaining.is_zero() {
                None
            } else if run.fails {
                Some(RunEndKind::Failed)
            } else {
                Some(RunEndKind::Done)
            }
        });
        let has_ends = !self.ends.is_empty();
        self.parked
            .extract_if(.., |parked| has_ends || parked.until <= now)
            .collect()
    }
}
