use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hdrhistogram::Histogram;
use parking_lot::Mutex;
use rhubarbfall_core::LiteMap;
use rhubarbfall_testing::rig::{CallerError, TestResponse};
use serde::Serialize;

/// The highest latency that the histogram records; longer ones are recorded as this.
const MAX_LATENCY_US: u64 = 120_000_000;

/// Counts the results that callers receive; clones share the counts.
#[derive(Debug, Clone)]
pub(super) struct Outcomes {
    counts: Arc<Mutex<OutcomeCounts>>,
}

#[derive(Debug)]
struct OutcomeCounts {
    by_result: LiteMap<Arc<str>, u64>,
    latency_us: Histogram<u64>,
    rejected_as_not_run: Vec<Arc<str>>,
    completed: u64,
    wrong_answers: u64,
    failed_by_entry: LiteMap<SocketAddr, u64>,
    answered_by_entry: LiteMap<SocketAddr, u64>,
    outstanding: LiteMap<(Arc<str>, Arc<str>), u32>,
}

/// The results that callers received, and the latency of completed requests.
#[derive(Debug, Clone, Serialize)]
pub(super) struct OutcomeReport {
    pub(super) by_result: LiteMap<Arc<str>, u64>,
    pub(super) p50_ms: f64,
    pub(super) p99_ms: f64,
    #[serde(skip)]
    pub(super) completed: u64,
    #[serde(skip)]
    pub(super) wrong_answers: u64,
    #[serde(skip)]
    pub(super) rejected_as_not_run: Vec<Arc<str>>,
}

impl Outcomes {
    /// Creates empty counts.
    pub(super) fn new() -> Self {
        let latency_us = Histogram::new_with_max(MAX_LATENCY_US, 3)
            .unwrap_or_else(|_| Histogram::new(3).expect("three digits are allowed"));
        Self {
            counts: Arc::new(Mutex::new(OutcomeCounts {
                by_result: LiteMap::new(),
                latency_us,
                rejected_as_not_run: Vec::new(),
                completed: 0,
                wrong_answers: 0,
                failed_by_entry: LiteMap::new(),
                answered_by_entry: LiteMap::new(),
                outstanding: LiteMap::new(),
            })),
        }
    }

    /// Counts a team's request to a service as outstanding.
    pub(super) fn record_start(&self, service: &str, team: &str) {
        let mut counts = self.counts.lock();
        let key = (Arc::from(service), Arc::from(team));
        *counts.outstanding.entry(key).or_default() += 1;
    }

    /// Counts the result of an outstanding request, and its latency if it completed.
    pub(super) fn record_end(
        &self,
        service: &str,
        team: &str,
        entry: SocketAddr,
        request_id: &str,
        elapsed: Duration,
        result: &Result<TestResponse, CallerError>,
    ) {
        let mut counts = self.counts.lock();
        let key = (Arc::from(service), Arc::from(team));
        *counts.outstanding.entry(key).or_default() -= 1;
        let label: Arc<str> = match result {
            Ok(answer) => answer
                .code()
                .map_or("none".into(), |c| c.to_string().into()),
            Err(error) => Arc::from(format!("{error:?}")),
        };
        *counts.by_result.entry(label).or_default() += 1;
        match result {
            Ok(answer) => counts.record_answer(entry, request_id, elapsed, answer),
            Err(_) => *counts.failed_by_entry.entry(entry).or_default() += 1,
        }
    }

    /// Returns the number of a team's outstanding requests to a service.
    pub(super) fn outstanding(&self, service: &str, team: &str) -> u32 {
        let counts = self.counts.lock();
        let key = (Arc::from(service), Arc::from(team));
        counts.outstanding.get(&key).copied().unwrap_or(0)
    }

    /// Returns how many requests to an entry were answered and how many failed without an answer.
    pub(super) fn entry_counts(&self, entry: SocketAddr) -> (u64, u64) {
        let counts = self.counts.lock();
        let count = |map: &LiteMap<SocketAddr, u64>| map.get(&entry).copied().unwrap_or(0);
        (
            count(&counts.answered_by_entry),
            count(&counts.failed_by_entry),
        )
    }

    /// Returns the counts and the latency percentiles.
    pub(super) fn report(&self) -> OutcomeReport {
        let counts = self.counts.lock();
        let quantile_ms = |q| counts.latency_us.value_at_quantile(q) as f64 / 1000.0;
        OutcomeReport {
            by_result: counts.by_result.clone(),
            p50_ms: quantile_ms(0.50),
            p99_ms: quantile_ms(0.99),
            completed: counts.completed,
            wrong_answers: counts.wrong_answers,
            rejected_as_not_run: counts.rejected_as_not_run.clone(),
        }
    }
}

impl OutcomeCounts {
    fn record_answer(
        &mut self,
        entry: SocketAddr,
        request_id: &str,
        elapsed: Duration,
        answer: &TestResponse,
    ) {
        *self.answered_by_entry.entry(entry).or_default() += 1;
        if answer.code() == Some(1000) {
            self.completed += 1;
            self.latency_us
                .saturating_record(elapsed.as_micros() as u64);
            let expected = format!("done {request_id}\n");
            self.wrong_answers += u64::from(answer.body != expected);
        }
        if answer.header("x-rhubarbfall-execution") == Some("not run") {
            self.rejected_as_not_run.push(Arc::from(request_id));
        }
    }
}
