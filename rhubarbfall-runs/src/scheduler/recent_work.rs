use std::collections::VecDeque;
use std::time::Duration;

use rhubarbfall_core::{BootTime, ServiceId};

use crate::{Resources, Submission};

/// The time over which arrivals are counted: several submissions of a surging queue, and a fraction
/// of the time that a move takes.
const WINDOW: Duration = Duration::from_millis(700);

/// The work that arrived of late, by service: what a surge will need is known from its arrivals
/// before its later steps wait for workers.
#[derive(Debug, Default)]
pub(super) struct RecentWork {
    arrivals: VecDeque<(BootTime, ServiceId, Resources)>,
}

impl RecentWork {
    /// Counts a submission.
    pub(super) fn add(&mut self, service: &ServiceId, submission: &Submission, now: BootTime) {
        let mut work = Resources::default();
        for step in submission.steps.iter().filter(|step| !step.is_lasting) {
            let task_ms = step.estimate.as_millis() as u64;
            let reserved = step.reserved().times(u64::from(step.tasks) * task_ms);
            work += reserved;
        }
        self.arrivals.push_back((now, service.clone(), work));
        while self
            .arrivals
            .front()
            .is_some_and(|(at, ..)| now.since(*at) > WINDOW)
        {
            self.arrivals.pop_front();
        }
    }

    /// Returns the resources that a service needs all the time to keep up with its arrivals.
    pub(super) fn rate(&self, service: &ServiceId, now: BootTime) -> Resources {
        let window_ms = WINDOW.as_millis() as u64;
        let mut work = Resources::default();
        for (at, of, arrived) in &self.arrivals {
            if of == service && now.since(*at) <= WINDOW {
                work += *arrived;
            }
        }
        Resources {
            cpu_millis: work.cpu_millis / window_ms,
            memory_mb: work.memory_mb / window_ms,
            gpus: work.gpus / window_ms,
        }
    }
}
