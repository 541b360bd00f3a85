use std::sync::Arc;

use rhubarbfall_core::WorkerId;

use crate::{DoneTasks, Job, JobState, TaskPhase, TaskPosition, TaskRange};

/// The part of a job's state that is stored beside the submission.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct JobProgress {
    /// The state of the job.
    pub state: JobState,
    /// Whether any task was ever placed.
    pub has_begun: bool,
    /// Whether a worker is known to have started a task. Rows of earlier versions do not tell.
    pub has_started: bool,
    /// The number of leading occurrences of which every task is done.
    pub done_occurrences: u32,
    /// The tasks that are done, without those of the leading occurrences.
    pub done: DoneTasks,
    /// The unfinished tasks that were placed at least once.
    pub open: Vec<OpenTask>,
}

/// An unfinished task that was placed at least once.
#[derive(Debug, Clone, PartialEq)]
pub struct OpenTask {
    /// The occurrence, step and index of the task.
    pub position: TaskPosition,
    /// The number of failed runs.
    pub failures: u32,
    /// The highest run number used so far.
    pub last_run: u64,
    /// The newest checkpoint when the progress was stored.
    pub checkpoint: Option<Arc<str>>,
    /// The run in progress, if the task is placed.
    pub placed: Option<PlacedRun>,
}

/// The worker and number of a placed run.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacedRun {
    /// The worker on which the run was placed.
    pub worker: WorkerId,
    /// The worker's incarnation: its start time in milliseconds since 1970.
    pub incarnation_unix_ms: u64,
    /// The number of the run.
    pub run: u64,
}

impl JobProgress {
    /// Returns whether a task has certainly started. A placement proves no start, because the
    /// worker may refuse it.
    #[must_use]
    pub fn proves_start(&self) -> bool {
        self.has_started
            || self.done_occurrences > 0
            || !self.done.is_empty()
            || self.open.iter().any(|task| task.failures > 0)
    }

    /// Collects the progress of a job for storage.
    #[must_use]
    pub fn of(job: &Job) -> Self {
        let mut done = done_after_gap(job);
        let mut open = Vec::new();
        job.for_each_task(|occurrence, step, index, task| {
            let position = (occurrence, step as u16, index as u32);
            let placed = match &task.phase {
                TaskPhase::Done => {
                    done.push(TaskRange::from(position));
                    return;
                }
                TaskPhase::Placed(placement) => Some(PlacedRun {
                    worker: placement.worker.clone(),
                    incarnation_unix_ms: placement.incarnation_unix_ms,
                    run: placement.run,
                }),
                TaskPhase::Waiting if task.last_run == 0 => return,
                TaskPhase::Waiting => None,
            };
            open.push(OpenTask {
                position,
                failures: task.failures,
                last_run: task.last_run,
                checkpoint: task.checkpoint.clone(),
                placed,
            });
        });
        Self {
            state: job.state,
            has_begun: job.has_begun,
            has_started: job.has_started,
            done_occurrences: job.done_occurrences(),
            done: done.into_iter().collect(),
            open,
        }
    }
}

/// Returns the tasks of the done occurrences that follow one which is not done.
fn done_after_gap(job: &Job) -> Vec<TaskRange> {
    let steps = || job.submission.steps.iter().enumerate();
    let of_occurrence = |occurrence: u32| {
        steps().map(move |(number, step)| TaskRange {
            occurrence,
            step: number as u16,
            first: 0,
            count: step.tasks,
        })
    };
    job.done.after_gap().flat_map(of_occurrence).collect()
}
