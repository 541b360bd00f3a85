//! When the runs on a worker are expected to end, and when it has room for a task.

use std::time::Duration;

use rhubarbfall_core::BootTime;

use crate::Resources;

/// The expected end of runs that last until they are cancelled.
pub const NEVER: BootTime = BootTime::new(Duration::MAX);

/// The expected ends of a worker's runs, in the order of its placed tasks.
#[derive(Debug, Clone, Default)]
pub struct ExpectedEnds {
    runs: Vec<ExpectedEnd>,
    /// The earliest and the latest expected end, or `None` if they have to be determined again.
    bounds: Option<(BootTime, BootTime)>,
}

/// A run with its expected end.
#[derive(Debug, Clone, Copy, Default)]
struct ExpectedEnd {
    reserved: Resources,
    /// When this owner placed the run, or first saw it.
    since: Option<BootTime>,
    /// Whether this owner placed the run, so that its duration is known.
    is_own: bool,
    /// The expected end, or zero if there is no forecast yet.
    at: BootTime,
}

impl ExpectedEnds {
    /// Adds a run without a forecast.
    pub fn push(&mut self, reserved: Resources) {
        self.bounds = None;
        self.runs.push(ExpectedEnd {
            reserved,
            ..ExpectedEnd::default()
        });
    }

    /// Removes a run and puts the last one in its place.
    pub fn swap_remove(&mut self, index: usize) {
        self.bounds = None;
        if index < self.runs.len() {
            self.runs.swap_remove(index);
        }
    }

    /// Records that the last added run was placed at `now` and is expected to end at `at`.
    pub fn set_last(&mut self, now: BootTime, at: BootTime) {
        if let Some(run) = self.runs.last_mut() {
            *run = ExpectedEnd {
                since: Some(now),
                is_own: true,
                at,
                ..*run
            };
        }
        self.bounds = None;
    }

    /// Returns how long a run has lasted, or `None` if this owner did not place it.
    #[must_use]
    pub fn lasted(&self, index: usize, now: BootTime) -> Option<Duration> {
        let run = self.runs.get(index).filter(|run| run.is_own)?;
        Some(now.since(run.since?))
    }

    /// Makes forecasts for the runs that have none or have outlasted theirs. `end` returns the
    /// expected end of the run at an index that has lasted for a duration.
    pub fn refresh(&mut self, now: BootTime, end: impl Fn(usize, Duration) -> BootTime) {
        if self.bounds.is_some_and(|(first, _)| first > now) || self.runs.is_empty() {
            return;
        }
        for (index, run) in self.runs.iter_mut().enumerate() {
            if run.at <= now {
                let since = *run.since.get_or_insert(now);
                run.at = end(index, now.since(since));
            }
        }
        let ends = self.runs.iter().map(|run| run.at);
        self.bounds = ends.clone().min().zip(ends.max());
    }

    /// Returns when the last of the runs is expected to end; zero without runs.
    #[must_use]
    pub fn empties_at(&self) -> BootTime {
        let known = self.bounds.map(|(_, last)| last);
        known.unwrap_or_else(|| self.latest())
    }

    fn latest(&self) -> BootTime {
        let ends = self.runs.iter().map(|run| run.at);
        ends.max().unwrap_or_default()
    }

    /// Returns what the runs that are expected to end by `at` free.
    #[must_use]
    pub fn freed_by(&self, at: BootTime) -> Resources {
        let ending = self.runs.iter().filter(|run| run.at <= at);
        ending.fold(Resources::default(), |sum, run| sum + run.reserved)
    }

    /// Returns when there is room for a task of a demand, given what is free now, or `None` if that is
    /// not before `before`.
    #[must_use]
    pub fn room_before(
        &self,
        before: BootTime,
        free: Resources,
        demand: Resources,
        now: BootTime,
    ) -> Option<BootTime> {
        let (mut free, mut at) = (free, now);
        let mut ended = None;
        while !demand.fits_in(free) {
            let later = self
                .runs
                .iter()
                .filter(|run| ended.is_none_or(|at| run.at > at));
            let end = later.map(|run| run.at).min().filter(|end| *end < before)?;
            let ending = self.runs.iter().filter(|run| run.at == end);
            free = ending.fold(free, |free, run| free + run.reserved);
            ended = Some(end);
            at = end.max(now);
        }
        Some(at).filter(|at| *at < before)
    }

    /// Returns when there is room for one, two and more tasks of a demand, up to `max_tasks`, given
    /// what is free now.
    #[must_use]
    pub fn room_times(
        &self,
        free: Resources,
        demand: Resources,
        max_tasks: usize,
        now: BootTime,
    ) -> Vec<BootTime> {
        let mut ends: Vec<(BootTime, Resources)> =
            self.runs.iter().map(|run| (run.at, run.reserved)).collect();
        ends.sort_unstable_by_key(|(at, _)| *at);
        let mut times = Vec::new();
        let (mut free, mut at) = (free, now);
        let mut ends = ends.into_iter().filter(|(at, _)| *at < NEVER);
        loop {
            while times.len() < max_tasks && demand.times(times.len() as u64 + 1).fits_in(free) {
                times.push(at);
            }
            if times.len() >= max_tasks {
                return times;
            }
            let Some((end, freed)) = ends.next() else {
                return times;
            };
            free += freed;
            at = end.max(now);
        }
    }
}
