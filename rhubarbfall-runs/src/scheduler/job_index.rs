//! The jobs of an owner, with those that have ended apart from the active ones.
//!
//! The load: ended jobs are kept for minutes, so that a busy owner holds many times more of them than
//! of active jobs. What runs with every pass walks the active ones only.

use litemap::LiteMap;
use rhubarbfall_core::SubmissionId;

use crate::Job;

type SortedJobs = LiteMap<SubmissionId, Box<Job>>;

/// The jobs by identifier.
#[derive(Debug, Default)]
pub(super) struct JobIndex {
    active: SortedJobs,
    ended: SortedJobs,
}

impl JobIndex {
    pub(super) fn is_empty(&self) -> bool {
        self.active.is_empty() && self.ended.is_empty()
    }

    /// Returns a job, or `None` if it is not known.
    pub(super) fn get(&self, id: &SubmissionId) -> Option<&Job> {
        let found = self.active.get(id).or_else(|| self.ended.get(id));
        found.map(|job| &**job)
    }

    /// Returns a job for modification; after a change to a final state, [`Self::set_ended`] has to
    /// follow.
    pub(super) fn get_mut(&mut self, id: &SubmissionId) -> Option<&mut Job> {
        let (active, ended) = (&mut self.active, &mut self.ended);
        let found = active.get_mut(id).or_else(|| ended.get_mut(id));
        found.map(|job| &mut **job)
    }

    /// Adds a job, in place of one with the same identifier.
    pub(super) fn insert(&mut self, job: Job) {
        let id = job.submission.id.clone();
        self.remove(&id);
        let jobs = if job.state.is_final() {
            &mut self.ended
        } else {
            &mut self.active
        };
        jobs.insert(id, Box::new(job));
    }

    /// Removes and returns a job.
    pub(super) fn remove(&mut self, id: &SubmissionId) -> Option<Box<Job>> {
        self.active.remove(id).or_else(|| self.ended.remove(id))
    }

    /// Counts a job that has reached a final state among the ended ones.
    pub(super) fn set_ended(&mut self, id: &SubmissionId) {
        if let Some(job) = self.active.remove(id) {
            self.ended.insert(id.clone(), job);
        }
    }

    /// Returns all jobs, sorted by identifier.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Job> {
        let mut active = self.active().peekable();
        let mut ended = self.ended().peekable();
        std::iter::from_fn(move || match (active.peek(), ended.peek()) {
            (Some(left), Some(right)) if left.submission.id < right.submission.id => active.next(),
            (_, Some(_)) => ended.next(),
            (_, None) => active.next(),
        })
    }

    /// Returns the active jobs, sorted by identifier.
    pub(super) fn active(&self) -> impl Iterator<Item = &Job> {
        self.active.iter().map(|(_, job)| &**job)
    }

    /// Returns the active jobs for modification, sorted by identifier.
    pub(super) fn active_mut(&mut self) -> impl Iterator<Item = &mut Job> {
        self.active.iter_mut().map(|(_, job)| &mut **job)
    }

    /// Returns the ended jobs, sorted by identifier.
    pub(super) fn ended(&self) -> impl Iterator<Item = &Job> {
        self.ended.iter().map(|(_, job)| &**job)
    }
}
