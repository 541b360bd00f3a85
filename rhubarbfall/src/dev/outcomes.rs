use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hdrhistogram::Histogram;
use parking_lot::Mutex;
use rhubarbfall_core::LiteMap;
use rhubarbfall_testing::rig::{CallerError, TestResponse};
use serde::Serialize;

/// The largest latency that the histogram tells apart.
const MAX_LATENCY_US: u64 = 120_000_000;

/// What callers saw, counted as it happens; clones share one record.
#[derive(Debug, Clone)]
pub(super) struct Outcomes {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug)]
struct Inner {
    by_result: LiteMap<Arc<str>, u64>,
    latency_us: Histogram<u64>,
    refused_as_not_run: Vec<Arc<str>>,
    answers: u64,
    wrong_answers: u64,
    broken_by_entry: LiteMap<SocketAddr, u64>,
    answered_by_entry: LiteMap<SocketAddr, u64>,
    outstanding: LiteMap<(Arc<str>, Arc<str>), u32>,
}

/// Counts of what callers saw.
#[derive(Debug, Clone, Serialize)]
pub(super) struct OutcomeReport {
    pub(super) by_result: LiteMap<Arc<str>, u64>,
    pub(super) p50_ms: f64,
    pub(super) p99_ms: f64,
    #[serde(skip)]
    pub(super) answers: u64,
    #[serde(skip)]
    pub(super) wrong_answers: u64,
    #[serde(skip)]
    pub(super) refused_as_not_run: Vec<Arc<str>>,
}

impl Outcomes {
    /// Creates an empty record.
    pub(super) fn new() -> Self {
        let latency_us = Histogram::new_with_max(MAX_LATENCY_US, 3)
            .unwrap_or_else(|_| Histogram::new(3).expect("three digits are allowed"));
        Self {
            inner: Arc::new(Mutex::new(Inner {
                by_result: LiteMap::new(),
                latency_us,
                refused_as_not_run: Vec::new(),
                answers: 0,
                wrong_answers: 0,
                broken_by_entry: LiteMap::new(),
                answered_by_entry: LiteMap::new(),
                outstanding: LiteMap::new(),
            })),
        }
    }

    /// Counts a request as waiting for its answer.
    pub(super) fn begin(&self, service: &str, team: &str) {
        let mut inner = self.inner.lock();
        let key = (Arc::from(service), Arc::from(team));
        *inner.outstanding.entry(key).or_default() += 1;
    }

    /// Counts the end of a request.
    pub(super) fn end(
        &self,
        service: &str,
        team: &str,
        entry: SocketAddr,
        request_id: &str,
        elapsed: Duration,
        result: &Result<TestResponse, CallerError>,
    ) {
        let mut inner = self.inner.lock();
        let key = (Arc::from(service), Arc::from(team));
        *inner.outstanding.entry(key).or_default() -= 1;
        let label: Arc<str> = match result {
            Ok(answer) => answer
                .code()
                .map_or("none".into(), |c| c.to_string().into()),
            Err(error) => Arc::from(format!("{error:?}")),
        };
        *inner.by_result.entry(label).or_default() += 1;
        match result {
            Ok(answer) => inner.take_answer(entry, request_id, elapsed, answer),
            Err(_) => *inner.broken_by_entry.entry(entry).or_default() += 1,
        }
    }

    /// Returns how many requests of each team wait for their answer at one service.
    pub(super) fn outstanding(&self, service: &str, team: &str) -> u32 {
        let inner = self.inner.lock();
        let key = (Arc::from(service), Arc::from(team));
        inner.outstanding.get(&key).copied().unwrap_or(0)
    }

    /// Returns how many requests to an entry were answered, and how many were cut off.
    pub(super) fn of_entry(&self, entry: SocketAddr) -> (u64, u64) {
        let inner = self.inner.lock();
        let count = |map: &LiteMap<SocketAddr, u64>| map.get(&entry).copied().unwrap_or(0);
        (
            count(&inner.answered_by_entry),
            count(&inner.broken_by_entry),
        )
    }

    /// Returns the counts.
    pub(super) fn report(&self) -> OutcomeReport {
        let inner = self.inner.lock();
        let quantile_ms = |q| inner.latency_us.value_at_quantile(q) as f64 / 1000.0;
        OutcomeReport {
            by_result: inner.by_result.clone(),
            p50_ms: quantile_ms(0.50),
            p99_ms: quantile_ms(0.99),
            answers: inner.answers,
            wrong_answers: inner.wrong_answers,
            refused_as_not_run: inner.refused_as_not_run.clone(),
        }
    }
}

impl Inner {
    fn take_answer(
        &mut self,
        entry: SocketAddr,
        request_id: &str,
        elapsed: Duration,
        answer: &TestResponse,
    ) {
        *self.answered_by_entry.entry(entry).or_default() += 1;
        if answer.code() == Some(1000) {
            self.answers += 1;
            self.latency_us
                .saturating_record(elapsed.as_micros() as u64);
            let expected = format!("done {request_id}\n");
            self.wrong_answers += u64::from(answer.body != expected);
        }
        if answer.header("x-rhubarbfall-execution") == Some("not run") {
            self.refused_as_not_run.push(Arc::from(request_id));
        }
    }
}
