//! Checks the history of the callers against the runs on the workers.

use std::collections::BTreeMap;

use crate::callers::{CallerHistory, SubmissionRecord};
use crate::stand_in::Span;

/// The number of the soak's tasks that fit on a worker at once.
const WORKER_TASK_SLOTS: i32 = 4;

/// The number of tasks of a submission, in both of its steps.
const TASK_COUNT: usize = 5;

/// The checks that were made, and the violations that they found.
#[derive(Debug, Default)]
pub(crate) struct SoakVerdict {
    pub(crate) violations: Vec<String>,
    checked: BTreeMap<&'static str, usize>,
}

impl SoakVerdict {
    fn check(&mut self, guarantee: &'static str, holds: bool, describe: impl FnOnce() -> String) {
        *self.checked.entry(guarantee).or_default() += 1;
        if !holds {
            self.violations.push(format!("{guarantee}: {}", describe()));
        }
    }

    pub(crate) fn summary(&self) -> String {
        const ALL: [&str; 7] = [
            "accepted work is completed",
            "rejected work never runs",
            "one run at a time",
            "no start after completion",
            "steps in order",
            "worker capacity",
            "states are correct",
        ];
        let unchecked: Vec<&str> = ALL
            .into_iter()
            .filter(|guarantee| !self.checked.contains_key(guarantee))
            .collect();
        let state = if self.violations.is_empty() {
            "held"
        } else {
            "BROKEN"
        };
        if unchecked.is_empty() {
            state.to_owned()
        } else {
            format!("{state} (not checked: {})", unchecked.join(", "))
        }
    }
}

/// Checks all guarantees for one seed.
pub(crate) fn check_history(history: &CallerHistory, spans: &[Span]) -> SoakVerdict {
    let mut verdict = SoakVerdict::default();
    let mut by_task: BTreeMap<&str, Vec<&Span>> = BTreeMap::new();
    for span in spans {
        by_task.entry(&span.task).or_default().push(span);
    }
    let submissions = history.submissions();
    for (id, record) in submissions.iter() {
        check_submission(&mut verdict, id, record, &by_task);
    }
    for (task, spans) in &mut by_task {
        spans.sort_by_key(|span| span.from_ms);
        check_task_runs(&mut verdict, task, spans);
    }
    check_step_order(&mut verdict, &by_task);
    check_worker_capacity(&mut verdict, spans);
    verdict
}

fn check_submission(
    verdict: &mut SoakVerdict,
    id: &str,
    record: &SubmissionRecord,
    by_task: &BTreeMap<&str, Vec<&Span>>,
) {
    let prefix = format!("{id}.");
    let tasks = || by_task.iter().filter(|(task, _)| task.starts_with(&prefix));
    let done = tasks()
        .filter(|(_, spans)| spans.iter().any(|span| span.state == "done"))
        .count();
    if record.was_rejected() {
        verdict.check("rejected work never runs", tasks().count() == 0, || {
            format!(
                "{id} was rejected, but {} of its tasks started",
                tasks().count()
            )
        });
    }
    if record.accepted_at.is_some() && record.cancelled_at.is_none() && !record.is_outcome_unknown {
        verdict.check(
            "accepted work is completed",
            done == TASK_COUNT && record.reported_completed_at.is_some(),
            || {
                format!(
                    "{id}: {done} of {TASK_COUNT} tasks done, reported as completed at {:?}",
                    record.reported_completed_at
                )
            },
        );
    }
    if record.reported_completed_at.is_some() {
        verdict.check("states are correct", done == TASK_COUNT, || {
            format!("{id} was reported as completed with {done} of {TASK_COUNT} tasks done")
        });
    }
    verdict.check("states are correct", record.violations.is_empty(), || {
        format!("{id}: {}", record.violations.join(", "))
    });
}

/// Checks that runs of a task do not overlap, and that none starts after one was done. By the
/// platform's rules a run whose end was not acknowledged before the worker's leases expired does
/// not count as done, since its worker was unreachable.
fn check_task_runs(verdict: &mut SoakVerdict, task: &str, spans: &[&Span]) {
    for pair in spans.windows(2) {
        let (first, second) = (pair[0], pair[1]);
        let is_over = first.to_ms.is_some_and(|to_ms| to_ms <= second.from_ms);
        verdict.check("one run at a time", is_over, || {
            format!("{task}: {first:?} and {second:?}")
        });
        verdict.check(
            "no start after completion",
            first.state != "done" || !first.is_acknowledged,
            || format!("{task}: {first:?} and {second:?}"),
        );
    }
}

/// Checks that no task of the second step starts before all tasks of the first step are done.
fn check_step_order(verdict: &mut SoakVerdict, by_task: &BTreeMap<&str, Vec<&Span>>) {
    for (task, spans) in by_task {
        let mut parts = task.split('.');
        let (id, _, step) = (parts.next().unwrap_or_default(), parts.next(), parts.next());
        if step != Some("1") {
            continue;
        }
        let first_step = format!("{id}.0.0.");
        let done_ms: Vec<u64> = by_task
            .iter()
            .filter(|(other, _)| other.starts_with(&first_step))
            .filter_map(|(_, spans)| spans.iter().find(|span| span.state == "done")?.to_ms)
            .collect();
        let from_ms = spans.iter().map(|span| span.from_ms).min().unwrap_or(0);
        let is_after = done_ms.len() == 3 && done_ms.iter().all(|done_ms| *done_ms <= from_ms);
        verdict.check("steps in order", is_after, || {
            format!("{task} started at {from_ms} ms, tasks of the previous step were done at {done_ms:?} ms")
        });
    }
}

fn check_worker_capacity(verdict: &mut SoakVerdict, spans: &[Span]) {
    let mut by_worker: BTreeMap<usize, Vec<(u64, i32)>> = BTreeMap::new();
    for span in spans {
        let changes = by_worker.entry(span.worker).or_default();
        changes.push((span.from_ms, 1));
        changes.extend(span.to_ms.map(|to_ms| (to_ms, -1)));
    }
    for (worker, mut changes) in by_worker {
        // At the same millisecond, ends sort before starts.
        changes.sort_unstable();
        let mut running = 0;
        let peak = changes
            .iter()
            .map(|(_, change)| {
                running += change;
                running
            })
            .max();
        verdict.check("worker capacity", peak <= Some(WORKER_TASK_SLOTS), || {
            format!("worker {worker} ran {peak:?} tasks at once")
        });
    }
}
