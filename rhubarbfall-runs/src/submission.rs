use std::sync::Arc;
use std::time::Duration;

use quick_error::quick_error;
use rhubarbfall_core::{CustomerId, QueueId, RackId, SubmissionId};

use crate::{Resources, encode_submission};

/// The maximum number of tasks of a submission that are held at the same time, which bounds the memory
/// of an entry: those of one occurrence, or of all occurrences with long-running tasks.
pub(crate) const MAX_TASKS_PER_SUBMISSION: u64 = 20_000;

/// The maximum number of tasks of a submission that are needed at the same time: those of its
/// long-running steps and of its largest gang. The progress row holds about as many open tasks.
pub(crate) const MAX_TASKS_AT_ONCE: u64 = 640;

/// The longest estimate of a stored task; sums and multiples of it do not overflow.
pub(crate) const MAX_ESTIMATE: Duration = Duration::from_hours(365 * 24);

/// The longest estimate of a short task: its VM is empty soon after work stops coming.
pub(crate) const MAX_SHORT_ESTIMATE: Duration = Duration::from_secs(3);

quick_error! {
    /// Why a submission is invalid.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum SubmissionError {
        /// The submission has no steps.
        NoSteps {
            display("a submission needs at least one step")
        }
        /// A step has no tasks.
        EmptyStep(step: usize) {
            display("step {step} has no tasks")
        }
        /// A step depends on itself or on a later step.
        ForwardDependency(step: usize) {
            display("step {step} waits for a step that does not come before it")
        }
        /// The submission has more tasks than an entry keeps in memory.
        TooLarge(tasks: u64) {
            display("{tasks} tasks are more than {MAX_TASKS_PER_SUBMISSION}")
        }
        /// The submission needs more tasks at the same time than its progress row holds.
        TooManyAtOnce(tasks: u64) {
            display(
                "{tasks} tasks of long-running steps and of the largest gang are more than \
                 {MAX_TASKS_AT_ONCE}"
            )
        }
        /// The submission takes more bytes than the store accepts in a row.
        TooLong(bytes: usize, max_bytes: usize) {
            display("the submission takes {bytes} bytes to store, at most {max_bytes} are possible")
        }
    }
}

/// Work submitted by a customer; immutable once accepted.
#[derive(Debug, Clone, PartialEq)]
pub struct Submission {
    /// The identifier that the caller chose.
    pub id: SubmissionId,
    /// The queue to which the work was submitted.
    pub queue: QueueId,
    /// The customer, or `None` on a public queue.
    pub customer: Option<CustomerId>,
    /// The program for the workers to run, opaque to the scheduler.
    pub program: Arc<str>,
    /// The steps, each after the steps that it depends on.
    pub steps: Vec<Step>,
    /// The schedule, if the submission runs more than once or at a later time.
    pub schedule: Option<Schedule>,
    /// When an entry received the submission, in milliseconds since 1970 on that entry's clock.
    pub received_unix_ms: u64,
}

/// When the occurrences of a submission are due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Schedule {
    /// When the first occurrence is due, in milliseconds since 1970.
    pub first_due_unix_ms: u64,
    /// The interval between occurrences, in milliseconds.
    pub interval_ms: u64,
    /// The number of occurrences; 0 counts as 1.
    pub occurrences: u32,
}

/// A step of a submission: a set of identical tasks.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Step {
    /// The number of tasks.
    pub tasks: u32,
    /// The resources that each task needs.
    pub demand: Resources,
    /// The caller's estimate of a task's duration.
    pub estimate: Duration,
    /// The positions of the steps whose tasks must all be done before this step starts.
    pub after: Vec<u16>,
    /// Whether the tasks save checkpoints.
    pub is_checkpointed: bool,
    /// Whether the tasks form a gang that must run at the same time.
    pub is_gang: bool,
    /// Whether the tasks run faster on the same rack.
    pub wants_same_rack: bool,
    /// The label that a worker must have to run the tasks.
    pub required_label: Option<Arc<str>>,
    /// The rack that holds the tasks' data.
    pub data_rack: Option<RackId>,
    /// The maximum number of tasks of this step on one worker.
    pub max_per_worker: Option<u32>,
    /// Whether several copies of a task may run at the same time.
    pub is_speculative: bool,
    /// Whether the tasks run until the submission is cancelled.
    pub is_long_running: bool,
    /// The image that the tasks run; tasks with the same image have similar behaviour.
    pub image: Option<Arc<str>>,
    /// The tail latency that long-running tasks must provide to their own users.
    pub tail_latency_target: Option<Duration>,
    /// Whether the tasks use only processor time that other tasks leave unused.
    pub is_best_effort: bool,
    /// The maximum number of long-running tasks of the step that may be interrupted at the same
    /// time; at least 1 applies.
    pub max_unavailable: u32,
}

impl Step {
    /// Returns the resources that a task of this step reserves on its worker; a best-effort task
    /// reserves no processor time.
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

    /// Returns whether tasks of this step keep their VM from becoming empty soon: they are long-running
    /// or have a longer estimate than a short task.
    #[must_use]
    pub fn is_lasting(&self) -> bool {
        self.is_long_running || self.estimate > MAX_SHORT_ESTIMATE
    }
}

impl Submission {
    /// Checks the structure of the submission.
    ///
    /// # Errors
    ///
    /// Returns [`SubmissionError`] for the first violated rule.
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
        let tasks: u64 = self.steps.iter().map(|step| u64::from(step.tasks)).sum();
        let tasks = tasks.saturating_mul(self.lasting_occurrences());
        if tasks > MAX_TASKS_PER_SUBMISSION {
            return Err(SubmissionError::TooLarge(tasks));
        }
        let tasks_of = |step: &Step| u64::from(step.tasks);
        let steps = || self.steps.iter();
        let lasting: u64 = steps()
            .filter(|step| step.is_long_running)
            .map(tasks_of)
            .sum();
        let gangs = steps().filter(|step| step.is_gang && !step.is_long_running);
        let lasting = lasting.saturating_mul(self.lasting_occurrences());
        let at_once = lasting + gangs.map(tasks_of).max().unwrap_or_default();
        if at_once > MAX_TASKS_AT_ONCE {
            return Err(SubmissionError::TooManyAtOnce(at_once));
        }
        Ok(())
    }

    /// Checks the structure of the submission and whether the store can hold it.
    ///
    /// # Errors
    ///
    /// Returns [`SubmissionError`] for the first violated rule.
    pub fn check_storable(&self, max_row_bytes: usize) -> Result<(), SubmissionError> {
        self.check()?;
        let bytes = encode_submission(self).len();
        if bytes > max_row_bytes {
            return Err(SubmissionError::TooLong(bytes, max_row_bytes));
        }
        Ok(())
    }

    /// Returns the number of tasks in one occurrence.
    #[must_use]
    pub fn tasks_per_occurrence(&self) -> usize {
        self.steps.iter().map(|step| step.tasks as usize).sum()
    }

    /// Returns how many occurrences must be open at the same time: all of them if tasks are
    /// long-running, which go on until the submission is cancelled.
    fn lasting_occurrences(&self) -> u64 {
        if self.is_long_running() {
            u64::from(self.occurrences())
        } else {
            1
        }
    }

    /// Returns how many occurrences are held from when the submission is accepted, or as many of them as
    /// earlier versions have accepted and an entry holds.
    pub(crate) fn reserved_occurrences(&self) -> u64 {
        let tasks = self.tasks_per_occurrence().max(1) as u64;
        let held = (MAX_TASKS_PER_SUBMISSION / tasks).max(1);
        self.lasting_occurrences().min(held)
    }

    /// Returns the number of occurrences, at least 1.
    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.schedule
            .map_or(1, |schedule| schedule.occurrences.max(1))
    }

    /// Returns when an occurrence is due, in milliseconds since 1970, or zero if it is due
    /// immediately.
    #[must_use]
    pub fn due_unix_ms(&self, occurrence: u32) -> u64 {
        self.schedule.map_or(0, |schedule| {
            let interval_ms = schedule.interval_ms.saturating_mul(u64::from(occurrence));
            schedule.first_due_unix_ms.saturating_add(interval_ms)
        })
    }

    /// Returns whether any step runs until the submission is cancelled.
    #[must_use]
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.is_long_running)
    }

    /// Returns the estimated duration of the longest chain of dependent steps.
    #[must_use]
    pub fn critical_path(&self) -> Duration {
        self.longest_path(|_| false)
    }

    /// Returns the estimated duration of the longest chain of dependent steps, counting steps for
    /// which `is_done` returns true as zero.
    pub(crate) fn longest_path(&self, is_done: impl Fn(usize) -> bool) -> Duration {
        // Most submissions have one step, and this is called for each job in every pass.
        if let [only] = &self.steps[..] {
            return if is_done(0) {
                Duration::ZERO
            } else {
                only.estimate
            };
        }
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
