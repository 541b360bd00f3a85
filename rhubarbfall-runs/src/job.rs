use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use rhubarbfall_core::{BootTime, RowVersion};

use crate::{OccurrenceSet, StageTimes, Step, Submission, Task, TaskId, TaskPhase};

/// A submission with the state of its tasks.
#[derive(Debug, Clone)]
pub struct Job {
    /// The submission that the job runs.
    pub submission: Arc<Submission>,
    /// The estimated duration of the longest chain of dependent steps.
    pub critical_path: Duration,
    /// When the submission arrived; for a recovered job, derived from the time at which an entry
    /// received it.
    pub accepted_at: BootTime,
    /// When this owner first placed a task of the job.
    pub placed_at: Option<BootTime>,
    /// Where the time of the job has gone since it arrived or was recovered.
    pub stages: StageTimes,
    /// Whether the job was ever ranked as late because its queue's demand exceeded the capacity of
    /// its workers.
    pub was_deferred: bool,
    /// Whether the customer exceeded the rate that its weight allows when the submission arrived.
    pub is_excess: bool,
    /// The current state, which may not be stored yet.
    pub state: JobState,
    /// The occurrences that have begun and are not done, sorted by number.
    pub occurrences: Vec<Occurrence>,
    /// The occurrences that are done.
    pub done: OccurrenceSet,
    /// Whether any task was ever placed.
    pub has_begun: bool,
    /// Whether a worker is known to have started a task; unknown for a placement that an earlier
    /// owner made, until its worker reports.
    pub has_started: bool,
    /// The version of the job, which increases with each change that has to be stored.
    pub version: u64,
    /// The newest stored version.
    pub stored_version: u64,
    /// The stored state, which is the one reported to callers.
    pub stored_state: JobState,
    /// Whether the submission was ever part of a batch, which may have been stored even if no
    /// answer arrived.
    pub was_sent: bool,
    /// Whether the submission's own row is stored.
    pub is_accepted: bool,
    /// The version of the progress row, if the row exists.
    pub progress_row: Option<RowVersion>,
    /// When this owner decided or recovered the final state, which may not be stored yet.
    pub finished_at: Option<BootTime>,
    /// Whether no run of the job was left after its final state was decided.
    pub is_cleared: bool,
    /// When the final state was stored, or recovered by this owner.
    pub ended_at: Option<BootTime>,
}

/// One execution of a submission's steps.
#[derive(Debug, Clone)]
pub struct Occurrence {
    /// The number of the occurrence, from 0.
    pub number: u32,
    /// The state of each step, in the order of the submission.
    pub steps: Vec<StepState>,
}

/// The tasks of one step in one occurrence.
#[derive(Debug, Clone)]
pub struct StepState {
    /// The tasks, by index.
    pub tasks: Vec<Task>,
    /// The number of tasks that are done.
    pub done: u32,
}

/// The state of a job.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum JobState {
    /// The job has tasks to run.
    #[default]
    Active,
    /// All tasks are done.
    Completed,
    /// A task has reached the maximum number of failures.
    Failed,
    /// The customer cancelled it.
    Cancelled,
}

impl JobState {
    /// Returns whether no task of the job will start any more.
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

    /// Returns whether all steps in `after` are done.
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
    /// Creates an active job that is not stored yet.
    #[must_use]
    pub fn new(submission: Arc<Submission>, now: BootTime) -> Self {
        Self {
            critical_path: submission.critical_path(),
            submission,
            accepted_at: now,
            placed_at: None,
            stages: StageTimes::new(now),
            was_deferred: false,
            is_excess: false,
            state: JobState::Active,
            occurrences: Vec::new(),
            done: OccurrenceSet::default(),
            has_begun: false,
            has_started: false,
            version: 1,
            stored_version: 0,
            stored_state: JobState::Active,
            was_sent: false,
            is_accepted: false,
            progress_row: None,
            finished_at: None,
            is_cleared: false,
            ended_at: None,
        }
    }

    /// Returns the index of an occurrence in `occurrences`, or the index at which to insert it.
    fn position(&self, number: u32) -> Result<usize, usize> {
        // Mostly, the occurrences that have begun follow each other.
        let first = self.occurrences.first().map_or(0, |first| first.number);
        let index = number.saturating_sub(first) as usize;
        match self.occurrences.get(index) {
            Some(occurrence) if occurrence.number == number => Ok(index),
            _ => self
                .occurrences
                .binary_search_by_key(&number, |occurrence| occurrence.number),
        }
    }

    /// Returns an occurrence, or `None` if it has not begun or is done.
    #[must_use]
    pub fn occurrence(&self, number: u32) -> Option<&Occurrence> {
        let index = self.position(number).ok()?;
        self.occurrences.get(index)
    }

    fn occurrence_mut(&mut self, number: u32) -> Option<&mut Occurrence> {
        let index = self.position(number).ok()?;
        self.occurrences.get_mut(index)
    }

    /// Begins an occurrence, unless it has begun or is done.
    pub fn begin_occurrence(&mut self, number: u32) {
        if let Err(index) = self.position(number)
            && !self.done.contains(number)
        {
            let occurrence = Occurrence::new(number, &self.submission);
            self.occurrences.insert(index, occurrence);
        }
    }

    /// Returns the first occurrence that has not begun, or `None` if all have.
    #[must_use]
    pub fn next_occurrence(&self) -> Option<u32> {
        let mut next = self.done.leading();
        for begun in &self.occurrences {
            next = self.done.first_missing(next);
            if begun.number > next {
                break;
            }
            next = begun.number + 1;
        }
        next = self.done.first_missing(next);
        (next < self.submission.occurrences()).then_some(next)
    }

    /// Returns a task, or `None` if its occurrence has not begun or is done, or its position does not
    /// exist.
    #[must_use]
    pub fn task(&self, id: &TaskId) -> Option<&Task> {
        let occurrence = self.occurrence(id.occurrence)?;
        let step = occurrence.steps.get(usize::from(id.step))?;
        step.tasks.get(id.index as usize)
    }

    /// Returns the step of a task.
    #[must_use]
    pub fn step(&self, id: &TaskId) -> &Step {
        &self.submission.steps[usize::from(id.step)]
    }

    /// Returns a task for modification, or `None` as [`Self::task`] does.
    pub fn task_mut(&mut self, id: &TaskId) -> Option<&mut Task> {
        let occurrence = self.occurrence_mut(id.occurrence)?;
        let step = occurrence.steps.get_mut(usize::from(id.step))?;
        step.tasks.get_mut(id.index as usize)
    }

    /// Marks a task as done and drops its checkpoint. Nothing but its number is kept of an occurrence
    /// whose last task that was.
    pub fn set_done(&mut self, id: &TaskId) {
        let Ok(index) = self.position(id.occurrence) else {
            return;
        };
        let occurrence = &mut self.occurrences[index];
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
        if occurrence.is_done() {
            self.occurrences.remove(index);
            self.done.insert(id.occurrence);
        }
    }

    /// Returns the number of leading occurrences of which every task is done.
    #[must_use]
    pub fn done_occurrences(&self) -> u32 {
        self.done.leading()
    }

    /// Returns the number of tasks in the occurrences that have begun and are not done.
    #[must_use]
    pub fn begun_tasks(&self) -> usize {
        self.submission.tasks_per_occurrence() * self.occurrences.len()
    }

    /// Returns the number of tasks that are not done in the occurrences that have begun.
    #[must_use]
    pub fn open_tasks(&self) -> usize {
        let steps = self.occurrences.iter().flat_map(|of_job| &of_job.steps);
        steps.map(|run| run.tasks.len() - run.done as usize).sum()
    }

    /// Forgets the tasks once the final state is stored and no run is left.
    pub(crate) fn forget_tasks_if_over(&mut self) {
        let is_stored = self.ended_at.is_some() && self.stored_version == self.version;
        if self.is_cleared && is_stored {
            self.occurrences = Vec::new();
        }
    }

    /// Returns whether all occurrences are done.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.done.leading() == self.submission.occurrences()
    }

    /// Returns the unfinished steps whose dependencies are done, each with the numbers of its
    /// occurrence and of the step.
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

    /// Returns the identifiers of the tasks for which `select` returns true.
    pub fn tasks_where(&self, mut select: impl FnMut(&Task) -> bool) -> Vec<TaskId> {
        let mut found = Vec::new();
        self.for_each_task(|occurrence, step, index, task| {
            if select(task) {
                found.push(self.task_id(occurrence, step, index));
            }
        });
        found
    }

    /// Returns the identifier of a task of this job.
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
