//! Callers that hand in, ask, cancel and come back, and what they were told.

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

use crate::entry::Entries;

/// How long a caller waits for an answer.
const TIME_LIMIT: Duration = Duration::from_millis(1_500);

/// How often a caller comes back with the same submission at the most.
const MAX_ATTEMPTS: usize = 5;

/// How long an accepted submission may be unknown to the entries, as the platform states it.
const VISIBLE_AFTER: Duration = Duration::from_secs(3);

const BODY: &str = r#"{"spec":"print","steps":[{"count":3,"cpu":4000,"mem_mb":100,"estimate_ms":600},
    {"count":2,"cpu":4000,"mem_mb":100,"estimate_ms":600,"after":[0]}]}"#;

/// What callers know of one submission.
#[derive(Debug, Clone, Default)]
pub(crate) struct Told {
    pub(crate) accepted_at: Option<Instant>,
    /// Whether any attempt had an outcome that leaves open whether it was accepted.
    pub(crate) is_unclear: bool,
    pub(crate) cancelled_at: Option<Instant>,
    pub(crate) shown_completed_at: Option<Instant>,
    /// States that no promise allows.
    pub(crate) wrong: Vec<String>,
}

/// What all callers were told.
#[derive(Default)]
pub(crate) struct Record {
    told: Mutex<BTreeMap<String, Told>>,
    is_over: AtomicBool,
}

impl Record {
    pub(crate) fn told(&self) -> MutexGuard<'_, BTreeMap<String, Told>> {
        self.told.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn update(&self, id: &str, change: impl FnOnce(&mut Told)) {
        change(self.told().entry(id.to_owned()).or_default());
    }

    pub(crate) fn stop(&self) {
        self.is_over.store(true, Ordering::Relaxed);
    }

    pub(crate) fn summary(&self) -> String {
        let told = self.told();
        let count = |is_it: fn(&Told) -> bool| told.values().filter(|told| is_it(told)).count();
        format!(
            "{} submissions, {} accepted, {} refused for sure, {} unclear, {} cancelled",
            told.len(),
            count(|told| told.accepted_at.is_some()),
            count(Told::was_refused),
            count(|told| told.accepted_at.is_none() && told.is_unclear),
            count(|told| told.cancelled_at.is_some()),
        )
    }
}

impl Told {
    /// Returns whether every attempt was told that it has not run.
    pub(crate) fn was_refused(&self) -> bool {
        self.accepted_at.is_none() && !self.is_unclear
    }
}

/// A caller with connections of its own, which it uses until they break.
struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
    rng: ChaCha8Rng,
}

impl Caller {
    fn new(seed: u64) -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Sends one request to an entry drawn by lot. Returns `None` when no answer came, and whether
    /// the request can have reached the entry.
    async fn call(
        &mut self,
        entries: &Entries,
        method: Method,
        id: &str,
        body: &'static str,
    ) -> Result<(StatusCode, String), bool> {
        let entry = &entries.all[self.rng.random_range(0..entries.all.len())];
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}/print/{id}", entry.callers))
            .header("host", "labels.example")
            .header("api-key", "key-a")
            .header("x-deadline-ms", TIME_LIMIT.as_millis().to_string())
            .body(Full::new(Bytes::from_static(body.as_bytes())))
            .expect("a request");
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
        tokio::time::timeout(TIME_LIMIT, exchange)
            .await
            .unwrap_or(Err(true))
    }
}

/// Hands in submissions one after the other until the record is stopped.
pub(crate) async fn run(seed: u64, entries: Arc<Entries>, record: Arc<Record>) {
    let mut caller = Caller::new(seed);
    while !record.is_over.load(Ordering::Relaxed) {
        let id = format!("{:016x}", caller.rng.random::<u64>());
        record.update(&id, |_| {});
        if submit(&mut caller, &entries, &record, &id).await {
            if caller.rng.random_bool(0.15) {
                cancel(&mut caller, &entries, &record, &id).await;
            }
            for _ in 0..3 {
                pause(&mut caller, 400).await;
                ask(&mut caller, &entries, &record, &id).await;
            }
        }
        pause(&mut caller, 300).await;
    }
}

async fn pause(caller: &mut Caller, most_ms: u64) {
    let ms = caller.rng.random_range(0..most_ms);
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

async fn submit(caller: &mut Caller, entries: &Entries, record: &Record, id: &str) -> bool {
    let attempts = caller.rng.random_range(1..=MAX_ATTEMPTS);
    for _ in 0..attempts {
        match caller.call(entries, Method::POST, id, BODY).await {
            Ok((StatusCode::OK, _)) => {
                record.update(id, |told| told.accepted_at = Some(Instant::now()));
                return true;
            }
            Ok((StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS, _))
            | Err(false) => {}
            Ok(_) | Err(true) => record.update(id, |told| told.is_unclear = true),
        }
        pause(caller, 800).await;
    }
    false
}

async fn cancel(caller: &mut Caller, entries: &Entries, record: &Record, id: &str) {
    let answer = caller.call(entries, Method::DELETE, id, "").await;
    match answer {
        Ok((StatusCode::OK | StatusCode::GONE, _)) => {
            record.update(id, |told| told.cancelled_at = Some(Instant::now()));
        }
        Ok(_) | Err(_) => record.update(id, |told| told.is_unclear = true),
    }
}

async fn ask(caller: &mut Caller, entries: &Entries, record: &Record, id: &str) {
    let asked_at = Instant::now();
    let Ok((status, body)) = caller.call(entries, Method::GET, id, "").await else {
        return;
    };
    record.update(id, |told| {
        let accepted_for = told
            .accepted_at
            .map(|at| asked_at.saturating_duration_since(at));
        let is_known = accepted_for.is_some_and(|age| age > VISIBLE_AFTER);
        let is_cancelled = told.cancelled_at.is_some() || told.is_unclear;
        if status == StatusCode::GONE && is_known && !is_cancelled {
            told.wrong.push("unknown after it was accepted".to_owned());
        }
        if body.contains("failed") || (body.contains("cancelled") && !is_cancelled) {
            told.wrong.push(format!("shown as {body}"));
        }
        if body.contains("completed") {
            told.shown_completed_at.get_or_insert(asked_at);
        }
    });
}

/// Asks for every accepted submission until it has ended, for as long as `patience`.
pub(crate) async fn wait_ended(entries: &Entries, record: &Record, patience: Duration) {
    let until = Instant::now() + patience;
    let mut caller = Caller::new(0);
    let is_open = |told: &Told| {
        told.accepted_at.is_some()
            && told.cancelled_at.is_none()
            && !told.is_unclear
            && told.shown_completed_at.is_none()
    };
    loop {
        let told = record.told().clone();
        let open: Vec<&String> = told
            .iter()
            .filter(|(_, told)| is_open(told))
            .map(|(id, _)| id)
            .collect();
        if open.is_empty() || Instant::now() > until {
            return;
        }
        for id in open {
            ask(&mut caller, entries, record, id).await;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}
