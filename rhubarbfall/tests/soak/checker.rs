//! Checks the history of the callers against the runs on the workers.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::callers::{CallerHistory, SubmissionRecord};
use crate::disturbances::DisturbanceLog;
use crate::entry::Entries;
use crate::evacuations::EvacuationLog;
use crate::overdue::OverdueOutcome;
use crate::stand_in::{Span, StandInSite};

/// The number of the soak's tasks that fit on a worker at once.
const WORKER_TASK_SLOTS: i32 = 4;

/// The number of tasks of a submission, in both of its steps.
const TASK_COUNT: usize = 5;

/// The time in steady state after which the platform counts an unanswered cancel as acknowledged.
pub(crate) const ACK_BOUND: Duration = Duration::from_secs(6);

/// The time after the answer to a cancel in which the platform allows tasks to start.
const CANCEL_BOUND: Duration = Duration::from_secs(4);

/// The further time that the platform allows for a task to stop.
const STOP_BOUND: Duration = Duration::from_millis(900);

/// The time for which a disturbance excuses starts after its end.
const CONTACT_BOUND: Duration = Duration::from_secs(4);

const CANCELLED_STOPS: &str = "cancelled work stops";

/// The time after the last disturbance and the last cancel in which everything cancelled must end.
pub(crate) const SETTLE_TIME: Duration = Duration::from_millis(5_200);

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
        const ALL: [&str; 8] = [
            "accepted work is completed",
            "rejected work never runs",
            CANCELLED_STOPS,
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
pub(crate) fn check_history(
    history: &CallerHistory,
    entries: &Entries,
    site: &StandInSite,
    disturbances: &DisturbanceLog,
) -> SoakVerdict {
    let spans = site.spans();
    let mut verdict = SoakVerdict::default();
    let mut by_task: BTreeMap<&str, Vec<&Span>> = BTreeMap::new();
    for span in &spans {
        by_task.entry(&span.task).or_default().push(span);
    }
    let submissions = history.submissions();
    for (id, record) in submissions.iter() {
        check_submission(&mut verdict, id, record, &by_task);
        if let Some((entry, sent_at)) = record.cancel_left {
            // A process that lives on reads all that has been sent to it.
            if entries.processes[entry].has_lived_since(sent_at) {
                let due_at = disturbances.calm_for(sent_at, ACK_BOUND);
                let cancel = format!("cancel left at entry {entry} is due at");
                let cancel = (due_at, cancel.as_str());
                check_cancelled(&mut verdict, id, cancel, &spans, site, disturbances);
            }
            continue;
        }
        check_cancel(&mut verdict, id, record, &spans, site, disturbances);
    }
    for (task, spans) in &mut by_task {
        spans.sort_by_key(|span| span.from_ms);
        check_task_runs(&mut verdict, task, spans);
    }
    check_step_order(&mut verdict, &by_task);
    check_worker_capacity(&mut verdict, &spans);
    verdict
}

/// Checks that no run began in an availability zone while a request to evacuate it was in force.
pub(crate) fn check_evacuations(
    verdict: &mut SoakVerdict,
    site: &StandInSite,
    evacuations: &EvacuationLog,
) {
    for span in site.spans() {
        verdict.check("evacuated zones", !evacuations.forbids(&span), || {
            format!("started in an evacuated zone: {span:?}")
        });
    }
}

/// Checks that no entry exceeded its memory, and that every overdue schedule was cancelled.
pub(crate) fn check_overdue(verdict: &mut SoakVerdict, outcome: &OverdueOutcome) {
    let OverdueOutcome { exceeded_kb, left } = outcome;
    verdict.check("memory of entries", exceeded_kb.is_none(), || {
        format!("an entry used {exceeded_kb:?} kB")
    });
    verdict.check(CANCELLED_STOPS, left.is_empty(), || {
        format!("overdue schedules without a confirmed cancel: {left:?}")
    });
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
    if record.accepted_at.is_some() && !record.is_cancel_sent && !record.is_outcome_unknown {
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

/// Checks an answered cancel, and that every cancel that callers repeated was answered.
fn check_cancel(
    verdict: &mut SoakVerdict,
    id: &str,
    record: &SubmissionRecord,
    spans: &[Span],
    site: &StandInSite,
    disturbances: &DisturbanceLog,
) {
    let Some(cancelled_at) = record.cancelled_at else {
        verdict.check(CANCELLED_STOPS, !record.is_cancel_sent, || {
            format!("{id}: no cancel was answered")
        });
        return;
    };
    let status = record.cancel_status.map_or(0, |status| status.as_u16());
    let cancel = format!("cancel answered {status} at");
    let cancel = (cancelled_at, cancel.as_str());
    check_cancelled(verdict, id, cancel, spans, site, disturbances);
}

/// Checks that nothing of a cancelled submission starts later than `CANCEL_BOUND` after the answer,
/// or after an unanswered cancel is due, or runs on `STOP_BOUND` after that. A start is excused by a
/// disturbance of its worker in the `CONTACT_BOUND` before it, and if the worker carried the order
/// out late. A run is excused as long as no stretch of both bounds is calm; that of an order carried
/// out late counts from its start.
fn check_cancelled(
    verdict: &mut SoakVerdict,
    id: &str,
    (cancelled_at, cancel): (Instant, &str),
    spans: &[Span],
    site: &StandInSite,
    disturbances: &DisturbanceLog,
) {
    let answer = || {
        let cancelled_ms = site.clock_ms_at(cancelled_at);
        format!("{cancel} {cancelled_ms} ms")
    };
    let prefix = format!("{id}.");
    for span in spans.iter().filter(|span| span.task.starts_with(&prefix)) {
        let from = site.instant_of(span.from_ms);
        let to = span
            .to_ms
            .map_or_else(Instant::now, |ms| site.instant_of(ms));
        let touch_from = from.checked_sub(CONTACT_BOUND).unwrap_or(from);
        let is_undisturbed =
            disturbances.calm_stretches(span.worker, touch_from, from) == [(touch_from, from)];
        let is_late_start = from > cancelled_at + CANCEL_BOUND && !span.is_late && is_undisturbed;
        verdict.check(CANCELLED_STOPS, !is_late_start, || {
            format!("started late, {}: {span:?}", answer())
        });
        let due_from = if span.is_late {
            cancelled_at.max(from)
        } else {
            cancelled_at
        };
        let runs_on = disturbances
            .calm_stretches(span.worker, due_from, to.max(due_from))
            .into_iter()
            .any(|(calm_from, calm_to)| {
                calm_to > from && calm_to - calm_from > CANCEL_BOUND + STOP_BOUND
            });
        verdict.check(CANCELLED_STOPS, !runs_on, || {
            format!("runs on, {}: {span:?}", answer())
        });
    }
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
