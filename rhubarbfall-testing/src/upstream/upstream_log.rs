use std::collections::HashMap;
use std::sync::Arc;

use parking_lot::Mutex;
use rhubarbfall_core::LiteMap;
use serde::{Deserialize, Serialize};

/// Record of the requests that a group of upstreams has run.
///
/// Clones share one record, so that a report counts all upstreams at the same instant.
#[derive(Debug, Clone, Default)]
pub struct UpstreamLog {
    inner: Arc<Mutex<UpstreamLogState>>,
}

#[derive(Debug, Default)]
struct UpstreamLogState {
    report: UpstreamReport,
    starts_by_request: HashMap<Arc<str>, u32>,
    limit_by_team: LiteMap<Arc<str>, u32>,
    queues_by_upstream: LiteMap<Arc<str>, Vec<Arc<str>>>,
}

/// Counts of requests over all upstreams of a group.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamReport {
    /// Requests started, repeated ones included.
    pub started: u64,
    /// Requests that ended with a complete response.
    pub finished: u64,
    /// Requests started again under the same identifier.
    pub repeated: u64,
    /// Non-idempotent requests started again under the same identifier.
    pub repeated_non_idempotent: u64,
    /// Requests running now, by team.
    pub running_by_team: LiteMap<Arc<str>, u32>,
    /// Requests running now, by queue and team.
    pub running_by_queue: LiteMap<Arc<str>, LiteMap<Arc<str>, u32>>,
    /// Maximum number of requests that ran at once, by team.
    pub peak_by_team: LiteMap<Arc<str>, u32>,
    /// Requests started, by team.
    pub started_by_team: LiteMap<Arc<str>, u64>,
    /// Maximum number of requests that ran at once, by upstream.
    pub peak_by_upstream: LiteMap<Arc<str>, u32>,
    /// Requests running now, by upstream.
    pub running_by_upstream: LiteMap<Arc<str>, u32>,
    /// Requests started while as many requests of their team were running as its limit allows.
    pub started_above_limit: u64,
    /// Requests with which an upstream changed to another queue, as after a move to another pool.
    pub queue_changes: u64,
    /// Queue changes to a queue that the upstream had served earlier, or while requests of another
    /// queue were running there.
    pub started_in_two_pools: u64,
    /// Requests started more than 3 s after their upstream announced that it leaves.
    pub started_after_leaving: u64,
}

/// Request that an upstream starts.
#[derive(Debug, Clone, Copy)]
pub(super) struct RequestStart<'a> {
    pub(super) upstream: &'a str,
    pub(super) queue: &'a str,
    pub(super) team: &'a str,
    pub(super) request: &'a str,
    pub(super) is_idempotent: bool,
    pub(super) is_after_leaving_grace: bool,
}

impl UpstreamLog {
    /// Creates an empty record.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the current counts.
    #[must_use]
    pub fn report(&self) -> UpstreamReport {
        self.inner.lock().report.clone()
    }

    /// Returns how often the request with this identifier was started.
    #[must_use]
    pub fn starts_of(&self, request: &str) -> u32 {
        let inner = self.inner.lock();
        inner.starts_by_request.get(request).copied().unwrap_or(0)
    }

    /// Sets the limit of a team over all upstreams of the group, for the count of starts above it.
    pub fn set_limit(&self, team: impl Into<Arc<str>>, limit: u32) {
        self.inner.lock().limit_by_team.insert(team.into(), limit);
    }

    pub(super) fn start(&self, start: RequestStart<'_>) {
        let mut inner = self.inner.lock();
        let request = Arc::from(start.request);
        let starts = inner.starts_by_request.entry(request).or_default();
        *starts += 1;
        let is_repeat = *starts > 1;
        let limit = inner.limit_by_team.get(start.team).copied();
        inner.record_queue(start.upstream, start.queue);
        let report = &mut inner.report;
        report.started += 1;
        report.repeated += u64::from(is_repeat);
        report.repeated_non_idempotent += u64::from(is_repeat && !start.is_idempotent);
        report.started_after_leaving += u64::from(start.is_after_leaving_grace);
        *entry_or_default(&mut report.started_by_team, start.team) += 1;
        let running = increment(&mut report.running_by_team, start.team);
        report.started_above_limit += u64::from(limit.is_some_and(|limit| running > limit));
        let peak = entry_or_default(&mut report.peak_by_team, start.team);
        *peak = running.max(*peak);
        increment(
            entry_or_default(&mut report.running_by_queue, start.queue),
            start.team,
        );
        let running = increment(&mut report.running_by_upstream, start.upstream);
        let peak = entry_or_default(&mut report.peak_by_upstream, start.upstream);
        *peak = running.max(*peak);
    }

    pub(super) fn finish(&self, upstream: &str, queue: &str, team: &str, is_complete: bool) {
        let mut inner = self.inner.lock();
        inner.report.finished += u64::from(is_complete);
        *entry_or_default(
            entry_or_default(&mut inner.report.running_by_queue, queue),
            team,
        ) -= 1;
        *entry_or_default(&mut inner.report.running_by_team, team) -= 1;
        *entry_or_default(&mut inner.report.running_by_upstream, upstream) -= 1;
    }
}

impl UpstreamLogState {
    /// Records the sequence of queues that an upstream serves, and counts queue changes.
    fn record_queue(&mut self, upstream: &str, queue: &str) {
        let queues = entry_or_default(&mut self.queues_by_upstream, upstream);
        if queues.last().is_some_and(|last| **last == *queue) {
            return;
        }
        let had_served = queues.iter().any(|earlier| **earlier == *queue);
        let is_change = !queues.is_empty();
        queues.push(Arc::from(queue));
        let running = entry_or_default(&mut self.report.running_by_upstream, upstream);
        let is_overlapping = is_change && *running > 0;
        self.report.queue_changes += u64::from(is_change);
        self.report.started_in_two_pools += u64::from(had_served || is_overlapping);
    }
}

fn increment(counts: &mut LiteMap<Arc<str>, u32>, key: &str) -> u32 {
    let count = entry_or_default(counts, key);
    *count += 1;
    *count
}

fn entry_or_default<'a, V: Default>(map: &'a mut LiteMap<Arc<str>, V>, key: &str) -> &'a mut V {
    map.entry(Arc::from(key)).or_default()
}
