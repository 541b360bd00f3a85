use std::sync::Arc;

use rhubarbfall_core::WorkerId;

use crate::{Job, JobState, TaskPhase};

/// What is stored of a job beside the submission.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct JobProgress {
    /// The state.
    pub state: JobState,
    /// Whether any task was ever placed.
    pub has_begun: bool,
    /// The tasks that are done, by occurrence, step and index.
    pub done: Vec<(u32, u16, u32)>,
    /// The tasks that are not done and have a history.
    pub open: Vec<OpenTask>,
}

/// A task that is not done and has had a run.
#[derive(Debug, Clone, PartialEq)]
pub struct OpenTask {
    /// The occurrence, step and index.
    pub position: (u32, u16, u32),
    /// How many runs have failed.
    pub failures: u32,
    /// The highest number that a run has had.
    pub last_run: u64,
    /// The newest checkpoint at the time of storing.
    pub checkpoint: Option<Arc<str>>,
    /// Where it runs, if it does.
    pub placed: Option<PlacedRun>,
}

/// Where a run was placed.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacedRun {
    /// The worker.
    pub worker: WorkerId,
    /// The life of the worker, by its first millisecond since 1970.
    pub incarnation_unix_ms: u64,
    /// The run's number.
    pub run: u64,
}

impl JobProgress {
    /// Takes what has to be stored of a job.
    #[must_use]
    pub fn of(job: &Job) -> Self {
        let mut progress = Self {
            state: job.state,
            has_begun: job.has_begun,
            ..Self::default()
        };
        job.for_each_task(|occurrence, step, index, task| {
            let position = (occurrence, step as u16, index as u32);
            let placed = match &task.phase {
                TaskPhase::Done => {
                    progress.done.push(position);
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
            progress.open.push(OpenTask {
                position,
                failures: task.failures,
                last_run: task.last_run,
                checkpoint: task.checkpoint.clone(),
                placed,
            });
        });
        progress
    }
}
