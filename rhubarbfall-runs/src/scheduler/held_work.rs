//! Bounds what an owner holds for submissions: their memory, and the steps that every pass looks at.
//!
//! A customer may hold as much as is free. Whoever hands in more than is served thus leaves room for
//! others, however many do so. What a submission needs to go on is reserved when it is accepted:
//! one occurrence, or all of them if they are long-running. Further occurrences begin as their
//! customer's part allows, and leave some of it for what the customer hands in.

use std::time::Duration;

use litemap::LiteMap;
use rhubarbfall_core::{BootTime, CustomerId};

use super::Scheduler;
use super::occurrence_window::{is_in_window, is_reserved, next_due};
use super::start_rate::{MAX_RETRY_AFTER, spread};
use crate::{Job, Occurrence, Step, StepState, Submission, Task};

/// The most that an owner holds. The bytes leave room for a second cell and for the rest of the
/// process within its 128 MB; the steps are those of one pass, which all work of an owner waits for.
const MAX_HELD: Held = Held {
    bytes: 48 * 1024 * 1024,
    steps: 32_768,
};

/// The interval at which what is held is counted; in between, what is added counts.
const COUNT_INTERVAL: Duration = Duration::from_secs(1);

/// What is held for submissions.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Held {
    /// The memory in bytes.
    pub bytes: u64,
    /// The number of steps that have begun or may begin.
    pub steps: u64,
}

impl Held {
    const fn plus(self, other: Self) -> Self {
        Self {
            bytes: self.bytes.saturating_add(other.bytes),
            steps: self.steps.saturating_add(other.steps),
        }
    }

    const fn times(self, count: u64) -> Self {
        Self {
            bytes: self.bytes.saturating_mul(count),
            steps: self.steps.saturating_mul(count),
        }
    }

    const fn minus(self, other: Self) -> Self {
        Self {
            bytes: self.bytes.saturating_sub(other.bytes),
            steps: self.steps.saturating_sub(other.steps),
        }
    }

    const fn fits_in(self, room: Self) -> bool {
        self.bytes <= room.bytes && self.steps <= room.steps
    }

    /// Returns what one occurrence of a submission takes.
    fn of_occurrence(submission: &Submission) -> Self {
        let steps = submission.steps.len();
        let bytes = size_of::<Occurrence>()
            + steps * size_of::<StepState>()
            + submission.tasks_per_occurrence() * size_of::<Task>();
        Self {
            bytes: bytes as u64,
            steps: steps as u64,
        }
    }

    /// Returns what a submission takes beside its occurrences.
    fn of_job(submission: &Submission) -> Self {
        let of_step = |step: &Step| {
            let texts = [&step.required_label, &step.image].into_iter().flatten();
            size_of::<Step>()
                + step.after.len() * size_of::<u16>()
                + texts.map(|text| text.len()).sum::<usize>()
        };
        let steps: usize = submission.steps.iter().map(of_step).sum();
        let bytes = size_of::<Job>() + size_of::<Submission>() + submission.program.len() + steps;
        Self {
            bytes: bytes as u64,
            steps: 0,
        }
    }

    /// Returns what is reserved for a submission that is accepted.
    fn reserved_for(submission: &Submission) -> Self {
        let occurrences = Self::of_occurrence(submission).times(submission.reserved_occurrences());
        Self::of_job(submission).plus(occurrences)
    }

    /// Returns what a job takes: at least what is reserved for it until it ends.
    fn of(job: &Job) -> Self {
        let submission = &job.submission;
        let begun = job.occurrences.len() as u64;
        let occurrences = if job.state.is_final() {
            begun
        } else {
            begun.max(submission.reserved_occurrences())
        };
        let mut held = Self::of_job(submission);
        if occurrences > 0 {
            held = held.plus(Self::of_occurrence(submission).times(occurrences));
        }
        held
    }
}

/// What is held for each customer and for all of them.
#[derive(Debug, Default)]
pub(super) struct HeldWork {
    total: Held,
    customers: LiteMap<CustomerId, Held>,
    /// What is held for the submissions of public queues that have no customer.
    without_customer: Held,
    counted_at: Option<BootTime>,
}

impl HeldWork {
    fn of_customer(&self, customer: Option<&CustomerId>) -> Held {
        customer.map_or(self.without_customer, |id| {
            self.customers.get(id).copied().unwrap_or_default()
        })
    }

    fn add(&mut self, customer: Option<&CustomerId>, more: Held) {
        self.total = self.total.plus(more);
        let held = self.of_customer(customer).plus(more);
        match customer {
            Some(id) => drop(self.customers.insert(id.clone(), held)),
            None => self.without_customer = held,
        }
    }

    /// Returns whether a customer may hold this much more: no more than is then free.
    fn allows(&self, customer: Option<&CustomerId>, more: Held) -> bool {
        let total = self.total.plus(more);
        let held = self.of_customer(customer).plus(more);
        total.fits_in(MAX_HELD) && held.fits_in(MAX_HELD.minus(total))
    }

    /// Returns whether a customer may hold this much more for occurrences that can wait: no more than
    /// half of what is then free.
    fn allows_to_wait(&self, customer: Option<&CustomerId>, more: Held) -> bool {
        let held = self.of_customer(customer).plus(more);
        let free = MAX_HELD.minus(self.total.plus(more));
        held.times(2).fits_in(free)
    }

    /// Begins the occurrences of a job that are due, as far as they may be held. Returns whether any
    /// began.
    pub(super) fn begin_due(&mut self, job: &mut Job, unix_ms: u64) -> bool {
        let mut has_begun = false;
        while let Some(next) = next_due(job, unix_ms) {
            if !is_reserved(job) {
                let customer = job.submission.customer.as_ref();
                let more = Held::of_occurrence(&job.submission);
                if !is_in_window(job, next) || !self.allows_to_wait(customer, more) {
                    break;
                }
                self.add(customer, more);
            }
            job.begin_occurrence(next);
            has_begun = true;
        }
        has_begun
    }
}

impl Scheduler {
    /// Returns what this owner holds for submissions.
    #[must_use]
    pub const fn held(&self) -> Held {
        self.held_work.total
    }

    /// Counts a submission that is accepted.
    pub(super) fn hold(&mut self, submission: &Submission) {
        let reserved = Held::reserved_for(submission);
        self.held_work.add(submission.customer.as_ref(), reserved);
    }

    /// Returns after how long the caller may come back with a submission that would exceed what is
    /// held for its customer.
    pub(super) fn admit_to_hold(&self, submission: &Submission) -> Result<(), Duration> {
        let customer = submission.customer.as_ref();
        let reserved = Held::reserved_for(submission);
        if self.held_work.allows(customer, reserved) {
            return Ok(());
        }
        let (held, total) = (self.held_work.of_customer(customer), self.held_work.total);
        log::info!(
            "event=submission_beyond_room id={} queue={} customer={:?} needs={reserved:?} \
             held={held:?} held_in_total={total:?} max={MAX_HELD:?}",
            submission.id,
            submission.queue,
            customer.map(CustomerId::as_str)
        );
        Err(spread(MAX_RETRY_AFTER, submission))
    }

    /// Counts what is held, if that is due.
    pub(super) fn count_held(&mut self, now: BootTime) {
        let counted_at = self.held_work.counted_at;
        if counted_at.is_some_and(|at| now.since(at) < COUNT_INTERVAL) {
            return;
        }
        let mut counted = HeldWork {
            counted_at: Some(now),
            ..HeldWork::default()
        };
        for job in self.jobs.active().chain(self.jobs.ended()) {
            counted.add(job.submission.customer.as_ref(), Held::of(job));
        }
        self.held_work = counted;
    }
}
