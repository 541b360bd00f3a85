//! Callers that submit, query, cancel and retry, and the history of the responses that they got.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::cancels::cancel_until_answered;
use crate::entry::{Entries, SchedulerEntry};

/// The time for which a caller waits for a response.
pub(crate) const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The maximum number of times that a caller sends the same submission.
const MAX_ATTEMPTS: usize = 5;

/// The time for which the platform allows an accepted submission to be unknown to the entries.
const MAX_VISIBILITY_DELAY: Duration = Duration::from_secs(3);

pub(crate) const BODY: &str = r#"{"spec":"print","steps":[{"count":3,"cpu":4000,"mem_mb":100,"estimate_ms":600},
    {"count":2,"cpu":4000,"mem_mb":100,"estimate_ms":600,"after":[0]}]}"#;

/// What callers know of one submission from the responses.
#[derive(Debug, Clone, Default)]
pub(crate) struct SubmissionRecord {
    pub(crate) accepted_at: Option<Instant>,
    /// Whether any attempt ended without telling whether the submission was accepted or cancelled.
    pub(crate) is_outcome_unknown: bool,
    /// Whether the submission runs until it is cancelled.
    pub(crate) is_endless: bool,
    pub(crate) is_cancel_sent: bool,
    /// When a cancel was answered for the first time, with `cancel_status`.
    pub(crate) cancelled_at: Option<Instant>,
    pub(crate) cancel_status: Option<StatusCode>,
    /// The entry to which a cancel was sent by a caller that left without the answer, and when.
    pub(crate) cancel_left: Option<(usize, Instant)>,
    pub(crate) reported_completed_at: Option<Instant>,
    /// Reported states that contradict a guarantee.
    pub(crate) violations: Vec<String>,
}

/// The responses of all callers, by submission.
#[derive(Default)]
pub(crate) struct CallerHistory {
    submissions: Mutex<BTreeMap<String, SubmissionRecord>>,
    is_stopped: AtomicBool,
}

impl CallerHistory {
    pub(crate) fn submissions(&self) -> MutexGuard<'_, BTreeMap<String, SubmissionRecord>> {
        self.submissions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn update(&self, id: &str, change: impl FnOnce(&mut SubmissionRecord)) {
        change(self.submissions().entry(id.to_owned()).or_default());
    }

    pub(crate) fn stop(&self) {
        self.is_stopped.store(true, Ordering::Relaxed);
    }

    pub(crate) fn is_stopped(&self) -> bool {
        self.is_stopped.load(Ordering::Relaxed)
    }

    /// Returns when the last cancel was answered.
    pub(crate) fn last_cancel(&self) -> Option<Instant> {
        let submissions = self.submissions();
        submissions
            .values()
            .filter_map(|record| record.cancelled_at)
            .max()
    }

    /// Returns when the last cancel was sent by a caller that left without the answer.
    pub(crate) fn last_left_cancel(&self) -> Option<Instant> {
        let submissions = self.submissions();
        submissions
            .values()
            .filter_map(|record| record.cancel_left.map(|(_, sent_at)| sent_at))
            .max()
    }

    pub(crate) fn was_accepted(&self, id: &str) -> bool {
        let submissions = self.submissions();
        submissions
            .get(id)
            .is_some_and(|record| record.accepted_at.is_some())
    }

    pub(crate) fn was_rejected(&self, id: &str) -> bool {
        let submissions = self.submissions();
        submissions
            .get(id)
            .is_some_and(SubmissionRecord::was_rejected)
    }

    pub(crate) fn summary(&self) -> String {
        let submissions = self.submissions();
        let count = |predicate: fn(&SubmissionRecord) -> bool| {
            submissions
                .values()
                .filter(|record| predicate(record))
                .count()
        };
        format!(
            "{} submissions, {} accepted, {} refused for sure, {} unclear, {} cancelled, {} cancelled \
             by callers that left",
            submissions.len(),
            count(|record| record.accepted_at.is_some()),
            count(SubmissionRecord::was_rejected),
            count(|record| record.accepted_at.is_none() && record.is_outcome_unknown),
            count(|record| record.cancelled_at.is_some()),
            count(|record| record.cancel_left.is_some()),
        )
    }
}

impl SubmissionRecord {
    /// Returns whether every attempt was answered as not run.
    pub(crate) fn was_rejected(&self) -> bool {
        self.accepted_at.is_none() && !self.is_outcome_unknown
    }
}

/// A caller with its own connections, each used until it breaks.
pub(crate) struct SoakCaller {
    client: Client<HttpConnector, Full<Bytes>>,
    pub(crate) rng: ChaCha8Rng,
}

impl SoakCaller {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    pub(crate) fn new_id(&mut self) -> String {
        format!("{:016x}", self.rng.random::<u64>())
    }

    /// Sends one request to a random entry. Without a response, the error is whether the request
    /// may have reached the entry.
    pub(crate) async fn call(
        &mut self,
        entries: &Entries,
        method: Method,
        id: &str,
        body: &'static str,
    ) -> Result<(StatusCode, String), bool> {
        let entry = &entries.processes[self.rng.random_range(0..entries.processes.len())];
        self.call_entry(entry, method, id, body).await
    }

    /// Sends one request to an entry, as [`SoakCaller::call`] does.
    pub(crate) async fn call_entry(
        &self,
        entry: &SchedulerEntry,
        method: Method,
        id: &str,
        body: &'static str,
    ) -> Result<(StatusCode, String), bool> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}/print/{id}", entry.caller_address))
            .header("host", "labels.example")
            .header("api-key", "key-a")
            .header("x-deadline-ms", REQUEST_TIMEOUT.as_millis().to_string())
            .body(Full::new(Bytes::from_static(body.as_bytes())))
            .expect("the request is well-formed");
        let exchange = async {
            let response = self
                .client
                .request(request)
                .await
                .map_err(|error| !error.is_connect())?;
            let status = response.status();
            let body = response.into_body().collect().await.map_err(|_| true)?;
            Ok((
                status,
                String::from_utf8_lossy(&body.to_bytes()).into_owned(),
            ))
        };
        tokio::time::timeout(REQUEST_TIMEOUT, exchange)
            .await
            .unwrap_or(Err(true))
    }
}

/// Sends submissions one after the other until the history is stopped.
pub(crate) async fn run(seed: u64, entries: Arc<Entries>, history: Arc<CallerHistory>) {
    let mut caller = SoakCaller::new(seed);
    while !history.is_stopped() {
        let id = caller.new_id();
        history.update(&id, |_| {});
        if submit(&mut caller, &entries, &history, &id, BODY).await {
            if caller.rng.random_bool(0.15) {
                cancel_until_answered(&mut caller, &entries, &history, &id).await;
            }
            for _ in 0..3 {
                pause(&mut caller, 400).await;
                query(&mut caller, &entries, &history, &id).await;
            }
        }
        pause(&mut caller, 300).await;
    }
}

pub(crate) async fn pause(caller: &mut SoakCaller, max_ms: u64) {
    let ms = caller.rng.random_range(0..max_ms);
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

pub(crate) async fn submit(
    caller: &mut SoakCaller,
    entries: &Entries,
    history: &CallerHistory,
    id: &str,
    body: &'static str,
) -> bool {
    let attempts = caller.rng.random_range(1..=MAX_ATTEMPTS);
    for _ in 0..attempts {
        match caller.call(entries, Method::POST, id, body).await {
            Ok((StatusCode::OK, _)) => {
                history.update(id, |record| record.accepted_at = Some(Instant::now()));
                return true;
            }
            Ok((StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS, _))
            | Err(false) => {}
            Ok(_) | Err(true) => history.update(id, |record| record.is_outcome_unknown = true),
        }
        pause(caller, 800).await;
    }
    false
}

async fn query(caller: &mut SoakCaller, entries: &Entries, history: &CallerHistory, id: &str) {
    let queried_at = Instant::now();
    let Ok((status, body)) = caller.call(entries, Method::GET, id, "").await else {
        return;
    };
    history.update(id, |record| {
        let accepted_for = record
            .accepted_at
            .map(|at| queried_at.saturating_duration_since(at));
        let is_known = accepted_for.is_some_and(|age| age > MAX_VISIBILITY_DELAY);
        let is_cancelled = record.is_cancel_sent || record.is_outcome_unknown;
        if status == StatusCode::GONE && is_known && !is_cancelled {
            record
                .violations
                .push("reported as unknown after it was accepted".to_owned());
        }
        if body.contains("failed") || (body.contains("cancelled") && !is_cancelled) {
            record.violations.push(format!("reported as {body}"));
        }
        if body.contains("completed") {
            record.reported_completed_at.get_or_insert(queried_at);
        }
    });
}

/// Queries every accepted submission until it is reported as completed, for at most `timeout`.
pub(crate) async fn wait_completed(entries: &Entries, history: &CallerHistory, timeout: Duration) {
    let deadline = Instant::now() + timeout;
    let mut caller = SoakCaller::new(0);
    let is_pending = |record: &SubmissionRecord| {
        record.accepted_at.is_some()
            && !record.is_cancel_sent
            && !record.is_outcome_unknown
            && record.reported_completed_at.is_none()
    };
    loop {
        let submissions = history.submissions().clone();
        let pending: Vec<&String> = submissions
            .iter()
            .filter(|(_, record)| is_pending(record))
            .map(|(id, _)| id)
            .collect();
        if pending.is_empty() || Instant::now() > deadline {
            return;
        }
        for id in pending {
            query(&mut caller, entries, history, id).await;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}
