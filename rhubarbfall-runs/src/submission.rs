use std::sync::Arc;
use std::time::Duration;

use quick_error::quick_error;
use rhubarbfall_core::{CustomerId, QueueId, RackId, SubmissionId};

use crate::Resources;

/// The largest number of tasks of one submission's occurrence; bounds an entry's memory.
const MAX_TASKS_PER_SUBMISSION: u64 = 20_000;

quick_error! {
    /// Why a submission cannot be taken.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum SubmissionError {
        /// There is no step.
        NoSteps {
            display("a submission needs at least one step")
        }
        /// A step without tasks.
        EmptyStep(step: usize) {
            display("step {step} has no tasks")
        }
        /// A step waits for itself or a later one.
        ForwardDependency(step: usize) {
            display("step {step} waits for a step that does not come before it")
        }
        /// More tasks than an entry keeps.
        TooLarge(tasks: u64) {
            display("{tasks} tasks are more than {MAX_TASKS_PER_SUBMISSION}")
        }
    }
}

/// Work that a customer handed in. It never changes after it was accepted.
#[derive(Debug, Clone, PartialEq)]
pub struct Submission {
    /// The identifier that the caller chose.
    pub id: SubmissionId,
    /// The queue that it was handed in to.
    pub queue: QueueId,
    /// The customer, or none on a queue that is open to all.
    pub customer: Option<CustomerId>,
    /// What the workers run; opaque here.
    pub program: Arc<str>,
    /// The steps, each after those that it waits for.
    pub steps: Vec<Step>,
    /// When it runs more than once, or not at once.
    pub schedule: Option<Schedule>,
    /// When an entry received it, in milliseconds since 1970 on that entry's clock.
    pub received_unix_ms: u64,
}

/// When the occurrences of a submission are due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Schedule {
    /// The first time, in milliseconds since 1970.
    pub first_due_unix_ms: u64,
    /// The time between two occurrences.
    pub interval_ms: u64,
    /// How often it runs.
    pub occurrences: u32,
}

/// A step of a submission: tasks that are alike.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Step {
    /// How many tasks.
    pub tasks: u32,
    /// What each task asks for.
    pub demand: Resources,
    /// The caller's estimate of a task's duration.
    pub estimate: Duration,
    /// The steps whose tasks must all be done first.
    pub after: Vec<u16>,
    /// Whether tasks save their progress.
    pub is_checkpointed: bool,
    /// Whether the tasks only work together.
    pub is_gang: bool,
    /// Whether the tasks are faster on one rack.
    pub wants_same_rack: bool,
    /// A label that the worker must have.
    pub required_label: Option<Arc<str>>,
    /// The rack that holds the data.
    pub data_rack: Option<RackId>,
    /// The most tasks of this step on one worker.
    pub max_per_worker: Option<u32>,
    /// Whether copies of a task may run at the same time.
    pub is_speculative: bool,
    /// Whether the tasks run until the submission is cancelled.
    pub is_long_running: bool,
    /// What the tasks run; tasks of one image behave alike.
    pub image: Option<Arc<str>>,
    /// The tail latency that lasting tasks must keep for their own users.
    pub tail_latency_target: Option<Duration>,
    /// Whether the tasks use processor time that others leave over.
    pub is_best_effort: bool,
    /// How many lasting tasks may be interrupted at the same time.
    pub max_unavailable: u32,
}

impl Step {
    /// Returns what a task of this step takes from its worker's room.
    #[must_use]
    pub const fn reserved(&self) -> Resources {
        Resources {
            cpu_millis: if self.is_best_effort {
                0
            } else {
                self.demand.cpu_millis
            },
            ..self.demand
        }
    }
}

impl Submission {
    /// Checks what every submission has to keep.
    ///
    /// # Errors
    ///
    /// [`SubmissionError`] names the first rule that is broken.
    pub fn check(&self) -> Result<(), SubmissionError> {
        if self.steps.is_empty() {
            return Err(SubmissionError::NoSteps);
        }
        for (number, step) in self.steps.iter().enumerate() {
            if step.tasks == 0 {
                return Err(SubmissionError::EmptyStep(number));
            }
            if step
                .after
                .iter()
                .any(|earlier| usize::from(*earlier) >= number)
            {
                return Err(SubmissionError::ForwardDependency(number));
            }
        }
        let tasks = self.steps.iter().map(|step| u64::from(step.tasks)).sum();
        if tasks > MAX_TASKS_PER_SUBMISSION {
            return Err(SubmissionError::TooLarge(tasks));
        }
        Ok(())
    }

    /// Returns how often the steps run.
    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.schedule
            .map_or(1, |schedule| schedule.occurrences.max(1))
    }

    /// Returns when an occurrence is due, in milliseconds since 1970, or zero for at once.
    #[must_use]
    pub fn due_unix_ms(&self, occurrence: u32) -> u64 {
        self.schedule.map_or(0, |schedule| {
            schedule.first_due_unix_ms + u64::from(occurrence) * schedule.interval_ms
        })
    }

    /// Returns whether any step lasts until the submission is cancelled.
    #[must_use]
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.is_long_running)
    }

    /// Returns the estimated length of the longest chain of steps.
    #[must_use]
    pub fn critical_path(&self) -> Duration {
        self.longest_path(|_| false)
    }

    /// Returns the estimated length of the longest chain of steps, without those that are done by
    /// their number.
    pub(crate) fn longest_path(&self, is_done: impl Fn(usize) -> bool) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(self.steps.len());
        for (number, step) in self.steps.iter().enumerate() {
            let earlier = step.after.iter().map(|earlier| ends[usize::from(*earlier)]);
            let begin = earlier.max().unwrap_or_default();
            let own = if is_done(number) {
                Duration::ZERO
            } else {
                step.estimate
            };
            ends.push(begin + own);
        }
        ends.into_iter().max().unwrap_or_default()
    }
}
