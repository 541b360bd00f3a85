//! The invariants: what may run on the workers, and the scheduler's own bookkeeping.

use std::collections::BTreeMap;
use std::time::Duration;

use rhubarbfall_core::{BootTime, WorkerId};
use rhubarbfall_runs::{Resources, Scheduler, Task, TaskId};

use super::client::Client;
use super::worker::Process;

/// The time after a cancel, in calm, by which no run of the submission may exist.
pub(crate) const CANCEL_BOUND: Duration = Duration::from_millis(4_900);

/// The time after the end of a submission, in calm, by which its tasks are placed no more: every
/// lease of an earlier owner has expired. For a worker that has fallen silent, the time counts from
/// its last answer, which may have been under way when the calm began.
const STUCK_AFTER: Duration = Duration::from_millis(10_600);

/// A worker without an answer for this long has fallen silent.
const SILENT_AFTER: Duration = Duration::from_secs(3);

/// Checks that placements, the workers' lists of placed tasks and the reservations agree.
pub(crate) fn bookkeeping(scheduler: &Scheduler) -> Option<String> {
    let mut placements: BTreeMap<TaskId, WorkerId> = BTreeMap::new();
    for job in scheduler.jobs() {
        for id in job.tasks_where(|task| task.placement().is_some()) {
            let worker = job.task(&id)?.placement()?.worker.clone();
            placements.insert(id, worker);
        }
    }
    for worker in scheduler.workers() {
        let id = &worker.report.id;
        let mut reserved = Resources::default();
        let mut placed = worker.placed.clone();
        placed.sort();
        if placed.windows(2).any(|pair| pair[0] == pair[1]) {
            return Some(format!("{id} has a task twice: {placed:?}"));
        }
        let is_known = |task: &TaskId| {
            scheduler
                .jobs()
                .any(|job| job.submission.id == task.submission)
        };
        if !placed.iter().all(is_known) {
            // The task of an ended job that was removed; see `stuck_task`.
            continue;
        }
        for task in &placed {
            if placements.get(task) != Some(id) {
                return Some(format!(
                    "{id} has {task}, which is placed on {:?}",
                    placements.get(task)
                ));
            }
            let job = scheduler
                .jobs()
                .find(|job| job.submission.id == task.submission)?;
            reserved += job.step(task).reserved();
        }
        if reserved != worker.reserved {
            return Some(format!(
                "{id} reserves {:?} for {reserved:?}",
                worker.reserved
            ));
        }
    }
    for (task, id) in &placements {
        if let Some(worker) = scheduler.worker(id)
            && !worker.placed.contains(task)
        {
            return Some(format!("{task} is placed on {id}, which does not have it"));
        }
    }
    None
}

/// Checks that no run of an ended submission, and none that no job knows, goes on in calm.
pub(crate) fn ended_runs(
    processes: &[Process],
    clients: &[Client],
    scheduler: &Scheduler,
    calm_since: BootTime,
    now: BootTime,
) -> Option<String> {
    for process in processes {
        for run in &process.runs {
            let client = clients
                .iter()
                .find(|client| client.submission.id == run.task.submission)?;
            let begin = run.started_at.max(calm_since);
            if let Some(over) = client.over_since()
                && now.since(begin.max(over)) > CANCEL_BOUND
            {
                return Some(format!(
                    "{} run {} of an ended submission runs on {} since {} (over since {over}, calm \
                     since {calm_since}): worker {:?}, task {:?}",
                    run.task,
                    run.run,
                    process.report.id,
                    run.started_at,
                    scheduler.worker(&process.report.id),
                    scheduler
                        .jobs()
                        .find(|job| job.submission.id == run.task.submission)
                        .and_then(|job| job.task(&run.task)),
                ));
            }
        }
    }
    None
}

/// Returns a task that has two runs at the same time.
pub(crate) fn double_run(processes: &[Process]) -> Option<String> {
    let mut running: Vec<(&TaskId, u64, &WorkerId)> = processes
        .iter()
        .flat_map(|process| process.runs.iter().map(move |run| (process, run)))
        .map(|(process, run)| (&run.task, run.run, &process.report.id))
        .collect();
    running.sort();
    let pair = running.windows(2).find(|pair| pair[0].0 == pair[1].0)?;
    Some(format!("two runs at the same time: {pair:?}"))
}

/// Returns a task of an ended submission that is still placed this long after it has ended.
pub(crate) fn stuck_task(
    scheduler: &Scheduler,
    clients: &[Client],
    calm_since: BootTime,
    now: BootTime,
) -> Option<String> {
    for worker in scheduler.workers() {
        let is_unknown = |task: &&TaskId| {
            !scheduler
                .jobs()
                .any(|job| job.submission.id == task.submission)
        };
        if let Some(task) = worker.placed.iter().find(is_unknown) {
            return Some(format!(
                "{task} of a removed job is placed on {}",
                worker.report.id
            ));
        }
    }
    for client in clients {
        let Some(over) = client.over_since() else {
            continue;
        };
        let over = over.max(calm_since);
        let job = scheduler
            .jobs()
            .find(|job| job.submission.id == client.submission.id);
        let Some(job) = job else { continue };
        for id in job.tasks_where(|task| task.placement().is_some()) {
            let task = job.task(&id);
            let last_answer = task
                .and_then(Task::placement)
                .and_then(|placed| scheduler.worker(&placed.worker))
                .map(|worker| worker.answered_at)
                .filter(|answered_at| now.since(*answered_at) > SILENT_AFTER);
            let since = over.max(last_answer.unwrap_or_default());
            if now.since(since) > STUCK_AFTER {
                return Some(format!("{id} is still placed, {since}: {task:?}"));
            }
        }
    }
    None
}

/// Checks that a customer's usage is that of its placed tasks. The usage is not public, so it is
/// read from the debug output.
pub(crate) fn customer_usage(scheduler: &Scheduler) -> Option<String> {
    let mut placed = 0;
    for job in scheduler.jobs() {
        for id in job.tasks_where(|task| task.placement().is_some()) {
            placed += job.step(&id).demand.cpu_millis;
        }
    }
    let text = format!("{scheduler:?}");
    let (_, usage) = text.split_once("customer_usage: ")?;
    let (usage, _) = usage.split_once("arrival_limits")?;
    let used: u64 = usage.split_once("cpu_millis: ").map_or(0, |(_, rest)| {
        let digits = rest.split(|character: char| !character.is_ascii_digit());
        let first = digits.into_iter().next().unwrap_or_default();
        first.parse().expect("a number of thousandths of a core")
    });
    (used != placed).then(|| format!("usage {used} for {placed} placed"))
}
