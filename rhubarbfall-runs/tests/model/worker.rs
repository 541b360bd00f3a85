//! The simulated worker and its runs.

use std::time::Duration;

use rhubarbfall_core::BootTime;
use rhubarbfall_runs::scheduler::StartOrder;
use rhubarbfall_runs::{ActiveRun, Resources, RunEnd, RunEndKind, Scheduler, TaskId, WorkerReport};

#[derive(Debug, Clone)]
pub(crate) struct ModelRun {
    pub(crate) task: TaskId,
    pub(crate) run: u64,
    pub(crate) remaining: Duration,
    pub(crate) duration: Duration,
    pub(crate) demand: Resources,
}

#[derive(Debug, Clone)]
pub(crate) struct ModelWorker {
    pub(crate) report: WorkerReport,
    pub(crate) vm: usize,
    pub(crate) runs: Vec<ModelRun>,
    pub(crate) ends: Vec<RunEnd>,
    pub(crate) next_end: u64,
    pub(crate) fence: u64,
    pub(crate) lease_expiry: BootTime,
    pub(crate) renewed_at: BootTime,
    /// The worker answers no calls, and its runs continue.
    pub(crate) is_cut_off: bool,
    /// Every run on the worker fails.
    pub(crate) fails_all: bool,
    /// The worker refuses start calls.
    pub(crate) refuses_starts: bool,
    /// The worker leaves start calls unanswered and carries them out after this time.
    pub(crate) start_delay: Option<Duration>,
    pub(crate) delayed_starts: Vec<(BootTime, StartOrder, u64)>,
}

pub(super) fn start(
    worker: &mut ModelWorker,
    order: &StartOrder,
    duration: Duration,
    scheduler: &Scheduler,
    now: BootTime,
) {
    let until = BootTime::new(Duration::from_millis(order.lease_deadline_ms));
    if until < now {
        return;
    }
    worker.lease_expiry = worker.lease_expiry.max(until);
    let demand = scheduler
        .jobs()
        .find(|job| job.submission.id == order.task.submission)
        .map(|job| job.submission.steps[usize::from(order.task.step)].reserved());
    worker.runs.push(ModelRun {
        task: order.task.clone(),
        run: order.run,
        remaining: duration,
        duration,
        demand: demand.unwrap_or_default(),
    });
}

pub(super) fn end(worker: &mut ModelWorker, task: TaskId, run: u64, kind: RunEndKind) {
    let number = worker.next_end;
    worker.next_end += 1;
    worker.ends.push(RunEnd {
        number,
        task,
        run,
        kind,
        checkpoint: None,
    });
}

pub(super) fn report_run(run: &ModelRun, tail_ms: u64, warm_up: Duration) -> ActiveRun {
    let elapsed = run.duration.saturating_sub(run.remaining);
    let done = elapsed.as_secs_f64() / run.duration.as_secs_f64();
    ActiveRun {
        task: run.task.clone(),
        run: run.run,
        checkpoint: None,
        percent: if run.duration > Duration::from_hours(1) {
            if elapsed >= warm_up { 100 } else { 50 }
        } else {
            (done * 100.0) as u8
        },
        tail_ms_or_cpu_millis: Some(tail_ms),
    }
}
