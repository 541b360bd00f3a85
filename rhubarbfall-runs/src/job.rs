use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use rhubarbfall_core::{BootTime, RowVersion};

use crate::{Step, Submission, Task, TaskId, TaskPhase};

/// A submission with the state of its tasks.
#[derive(Debug, Clone)]
pub struct Job {
    /// What was handed in.
    pub submission: Arc<Submission>,
    /// The estimated length of its longest chain of steps.
    pub critical_path: Duration,
    /// When it arrived, or when this owner took it over.
    pub accepted_at: BootTime,
    /// When its first task was placed by this owner.
    pub placed_at: Option<BootTime>,
    /// Whether it was ranked as late because its queue asked for more than its workers do.
    pub was_deferred: bool,
    /// Whether the customer had handed in more than its weight allows when this one came.
    pub is_excess: bool,
    /// The state, which may not be stored yet.
    pub state: JobState,
    /// The occurrences that have begun, by number.
    pub occurrences: Vec<Occurrence>,
    /// Whether any task of it was ever placed.
    pub has_begun: bool,
    /// Whether a worker is known to have started a task of it.
    pub has_started: bool,
    /// Rises with each change that has to be stored.
    pub version: u64,
    /// The version that is stored.
    pub stored_version: u64,
    /// The state that is stored, which callers are told.
    pub stored_state: JobState,
    /// Whether the submission was ever part of a batch, which may be stored without an answer.
    pub was_sent: bool,
    /// Whether the submission's own row is stored.
    pub is_accepted: bool,
    /// The version of the row with the progress, if it exists.
    pub progress_row: Option<RowVersion>,
    /// When the job came to its end.
    pub ended_at: Option<BootTime>,
}

/// One time that a submission runs.
#[derive(Debug, Clone)]
pub struct Occurrence {
    /// Its number, from 0.
    pub number: u32,
    /// Its steps.
    pub steps: Vec<StepState>,
}

/// The tasks of one step.
#[derive(Debug, Clone)]
pub struct StepState {
    /// The tasks, by index.
    pub tasks: Vec<Task>,
    /// How many of them are done.
    pub done: u32,
}

/// The state of a job.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum JobState {
    /// It has tasks to run.
    #[default]
    Active,
    /// All tasks are done.
    Completed,
    /// A task has failed too often.
    Failed,
    /// The customer cancelled it.
    Cancelled,
}

impl JobState {
    /// Returns whether nothing of the job will start any more.
    #[must_use]
    pub const fn is_final(self) -> bool {
        !matches!(self, Self::Active)
    }
}

impl fmt::Display for JobState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Active => "active",
            Self::Completed => "completed",
            Self::Failed => "failed",
            Self::Cancelled => "cancelled",
        })
    }
}

impl StepState {
    /// Returns whether all tasks are done.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.done as usize == self.tasks.len()
    }
}

impl Occurrence {
    fn new(number: u32, submission: &Submission) -> Self {
        let step_run = |tasks: u32| StepState {
            tasks: vec![Task::default(); tasks as usize],
            done: 0,
        };
        let steps = submission.steps.iter().map(|step| step_run(step.tasks));
        Self {
            number,
            steps: steps.collect(),
        }
    }

    /// Returns whether every step that this one waits for is done.
    #[must_use]
    pub fn is_unblocked(&self, after: &[u16]) -> bool {
        after
            .iter()
            .all(|earlier| self.steps[usize::from(*earlier)].is_done())
    }

    /// Returns whether every step is done.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.steps.iter().all(StepState::is_done)
    }
}

impl Job {
    /// Creates a job that is not stored yet.
    #[must_use]
    pub fn new(submission: Arc<Submission>, now: BootTime) -> Self {
        Self {
            critical_path: submission.critical_path(),
            submission,
            accepted_at: now,
            placed_at: None,
            was_deferred: false,
            is_excess: false,
            state: JobState::Active,
            occurrences: Vec::new(),
            has_begun: false,
            has_started: false,
            version: 1,
            stored_version: 0,
            stored_state: JobState::Active,
            was_sent: false,
            is_accepted: false,
            progress_row: None,
            ended_at: None,
        }
    }

    /// Returns an occurrence, and begins those up to it.
    pub fn occurrence_mut(&mut self, number: u32) -> &mut Occurrence {
        while self.occurrences.len() <= number as usize {
            let next = self.occurrences.len() as u32;
            self.occurrences
                .push(Occurrence::new(next, &self.submission));
        }
        &mut self.occurrences[number as usize]
    }

    /// Finds a task.
    #[must_use]
    pub fn task(&self, id: &TaskId) -> Option<&Task> {
        let occurrence = self.occurrences.get(id.occurrence as usize)?;
        let step = occurrence.steps.get(usize::from(id.step))?;
        step.tasks.get(id.index as usize)
    }

    /// Returns the step of a task.
    #[must_use]
    pub fn step(&self, id: &TaskId) -> &Step {
        &self.submission.steps[usize::from(id.step)]
    }

    /// Finds a task to change it.
    pub fn task_mut(&mut self, id: &TaskId) -> Option<&mut Task> {
        let occurrence = self.occurrences.get_mut(id.occurrence as usize)?;
        let step = occurrence.steps.get_mut(usize::from(id.step))?;
        step.tasks.get_mut(id.index as usize)
    }

    /// Notes that a task is done.
    pub fn set_done(&mut self, id: &TaskId) {
        let Some(occurrence) = self.occurrences.get_mut(id.occurrence as usize) else {
            return;
        };
        let Some(step) = occurrence.steps.get_mut(usize::from(id.step)) else {
            return;
        };
        if let Some(task) = step.tasks.get_mut(id.index as usize)
            && task.phase != TaskPhase::Done
        {
            task.phase = TaskPhase::Done;
            task.checkpoint = None;
            step.done += 1;
        }
    }

    /// Returns whether all occurrences are done.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.occurrences.len() == self.submission.occurrences() as usize
            && self.occurrences.iter().all(Occurrence::is_done)
    }

    /// Returns the steps that are not done and wait for no other, with the numbers of their occurrence
    /// and of the step.
    pub fn open_steps(&self) -> impl Iterator<Item = (u32, usize, &Step, &StepState)> {
        self.occurrences.iter().flat_map(|occurrence| {
            let steps = self.submission.steps.iter().zip(&occurrence.steps);
            steps
                .enumerate()
                .filter(|(_, (step, run))| !run.is_done() && occurrence.is_unblocked(&step.after))
                .map(|(number, (step, run))| (occurrence.number, number, step, run))
        })
    }

    /// Calls `visit` for each task with its occurrence, step and index.
    pub fn for_each_task(&self, mut visit: impl FnMut(u32, usize, usize, &Task)) {
        for occurrence in &self.occurrences {
            for (step, step_run) in occurrence.steps.iter().enumerate() {
                for (index, task) in step_run.tasks.iter().enumerate() {
                    visit(occurrence.number, step, index, task);
                }
            }
        }
    }

    /// Returns the names of the tasks that `select` picks.
    pub fn tasks_where(&self, mut select: impl FnMut(&Task) -> bool) -> Vec<TaskId> {
        let mut found = Vec::new();
        self.for_each_task(|occurrence, step, index, task| {
            if select(task) {
                found.push(self.task_id(occurrence, step, index));
            }
        });
        found
    }

    /// Returns the name of a task of this job.
    #[must_use]
    pub fn task_id(&self, occurrence: u32, step: usize, index: usize) -> TaskId {
        TaskId {
            submission: self.submission.id.clone(),
            occurrence,
            step: step as u16,
            index: index as u32,
        }
    }
}
