//! The disturbances that excuse late starts and stops of cancelled work.
//!
//! By the platform's rules kills, starts, stops and suspensions of entries, and impairments of the
//! store or of a path to it, excuse every worker; an impairment, a restart or a replacement of a
//! worker excuses that worker. Changes of the configuration, reloaded settings, other submissions
//! and their cancels, new workers, and workers that drain and leave excuse nothing.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// What a disturbance affects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DisturbanceScope {
    AllWorkers,
    Worker(usize),
}

struct Disturbance {
    scope: DisturbanceScope,
    from: Instant,
    to: Instant,
}

/// The disturbances of one seed.
#[derive(Default)]
pub(crate) struct DisturbanceLog {
    disturbances: Mutex<Vec<Disturbance>>,
}

impl DisturbanceLog {
    fn disturbances(&self) -> MutexGuard<'_, Vec<Disturbance>> {
        self.disturbances
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a disturbance that begins now.
    pub(crate) fn add(&self, scope: DisturbanceScope, length: Duration) {
        let from = Instant::now();
        let to = from + length;
        self.disturbances().push(Disturbance { scope, from, to });
    }

    /// Returns the end of the last disturbance.
    pub(crate) fn last_end(&self) -> Option<Instant> {
        self.disturbances().iter().map(|entry| entry.to).max()
    }

    /// Returns the stretches between `from` and `to` in which nothing disturbed the worker.
    pub(crate) fn calm_stretches(
        &self,
        worker: usize,
        from: Instant,
        to: Instant,
    ) -> Vec<(Instant, Instant)> {
        let disturbances = self.disturbances();
        let mut near: Vec<(Instant, Instant)> = disturbances
            .iter()
            .filter(|entry| {
                entry.scope == DisturbanceScope::AllWorkers
                    || entry.scope == DisturbanceScope::Worker(worker)
            })
            .filter(|entry| entry.to >= from && entry.from < to)
            .map(|entry| (entry.from, entry.to))
            .collect();
        near.sort_unstable();
        near.push((to, to));
        let mut stretches = Vec::new();
        let mut calm_from = from;
        for (disturbed_from, disturbed_to) in near {
            if disturbed_from > calm_from {
                stretches.push((calm_from, disturbed_from));
            }
            calm_from = calm_from.max(disturbed_to);
        }
        stretches
    }

    /// Returns when `length` has passed since `from` without a disturbance of every worker.
    pub(crate) fn calm_for(&self, from: Instant, length: Duration) -> Instant {
        let disturbances = self.disturbances();
        let mut near: Vec<(Instant, Instant)> = disturbances
            .iter()
            .filter(|entry| entry.scope == DisturbanceScope::AllWorkers && entry.to >= from)
            .map(|entry| (entry.from, entry.to))
            .collect();
        near.sort_unstable();
        let mut calm_from = from;
        for (disturbed_from, disturbed_to) in near {
            if disturbed_from >= calm_from + length {
                break;
            }
            calm_from = calm_from.max(disturbed_to);
        }
        calm_from + length
    }
}
