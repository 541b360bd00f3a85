//! Consumers: they hand submissions in, repeat a request that got no answer, and ask for states.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::http::Client;
use crate::json::Json;
use crate::site::{HOST, KEY, PREFIX, Site};

/// The consumers' time limit on the site's sheet.
const TIME_LIMIT_MS: u64 = 3_000;
/// The consumers' retries on the site's sheet.
const RETRIES: usize = 4;

/// A call as its consumer saw it.
#[derive(Debug, Clone)]
pub struct Call {
    pub sent_ms: u64,
    pub answered_ms: u64,
    pub method: &'static str,
    pub id: String,
    /// 0 if no answer came.
    pub status: u16,
    pub body: String,
}

/// A submission that is to be sent.
#[derive(Clone)]
pub struct Planned {
    pub at_ms: u64,
    pub id: String,
    pub body: String,
}

pub struct Consumers {
    began_at: Instant,
    addresses: Vec<SocketAddr>,
    calls: Arc<Mutex<Vec<Call>>>,
}

impl Consumers {
    pub fn new(site: &Site) -> Consumers {
        Consumers {
            began_at: site.began_at,
            addresses: site.entries.iter().map(|entry| entry.callers).collect(),
            calls: Arc::default(),
        }
    }

    pub fn calls(&self) -> Vec<Call> {
        let mut calls = self.calls.lock().unwrap().clone();
        calls.sort_by_key(|call| call.sent_ms);
        calls
    }

    /// Sends the submissions at their times from this many threads.
    pub fn submit_all(&self, planned: Vec<Planned>, threads: usize) -> Vec<JoinHandle<()>> {
        let (next, planned) = (Arc::new(AtomicUsize::new(0)), Arc::new(planned));
        let worker = |first: usize| {
            let (next, planned, mut caller) = (Arc::clone(&next), Arc::clone(&planned), self.caller(first));
            thread::spawn(move || {
                while let Some(submission) = planned.get(next.fetch_add(1, Ordering::Relaxed)) {
                    caller.wait_until(submission.at_ms);
                    caller.submit(&submission.id, &submission.body);
                }
            })
        };
        (0..threads).map(worker).collect()
    }

    pub fn caller(&self, first: usize) -> Caller {
        let timeout = Duration::from_millis(TIME_LIMIT_MS);
        let clients = self.addresses.iter().map(|address| Client::new(*address, timeout));
        Caller { began_at: self.began_at, clients: clients.collect(), next: first, calls: Arc::clone(&self.calls) }
    }
}

pub struct Caller {
    began_at: Instant,
    clients: Vec<Client>,
    next: usize,
    calls: Arc<Mutex<Vec<Call>>>,
}

impl Caller {
    fn now_ms(&self) -> u64 {
        self.began_at.elapsed().as_millis() as u64
    }

    fn wait_until(&self, at_ms: u64) {
        thread::sleep(Duration::from_millis(at_ms.saturating_sub(self.now_ms())));
    }

    /// Hands a submission in, with retries at other entries, and returns the last status.
    pub fn submit(&mut self, id: &str, body: &str) -> u16 {
        let mut status = 0;
        for attempt in 0..=RETRIES {
            status = self.call("POST", id, body).status;
            if status == 200 || status == 404 {
                break;
            }
            // A refusal says to come back after a second.
            let pause_ms = if status == 503 || status == 429 { 1_000 } else { 100 };
            if attempt < RETRIES {
                thread::sleep(Duration::from_millis(pause_ms));
            }
        }
        status
    }

    /// Asks for the state of a submission, at other entries until one answers.
    pub fn state(&mut self, id: &str) -> String {
        for _ in 0..=RETRIES {
            let call = self.call("GET", id, "");
            match call.status {
                200 => return call.body,
                410 => return "410".into(),
                _ => thread::sleep(Duration::from_millis(200)),
            }
        }
        "no answer".into()
    }

    /// Asks one entry for the number of pending submissions.
    pub fn pending(&mut self, entry: usize) -> Option<u64> {
        self.next = entry;
        let call = self.call("GET", "", "");
        let body = Json::parse(call.body.as_bytes()).filter(|_| call.status == 200)?;
        Some(body.get("pending").number())
    }

    fn call(&mut self, method: &'static str, id: &str, body: &str) -> Call {
        let sent_ms = self.now_ms();
        let headers = format!("Host: {HOST}\r\nApi-Key: {KEY}\r\nX-Deadline-Ms: {TIME_LIMIT_MS}\r\n");
        let index = self.next % self.clients.len();
        self.next += 1;
        let answer = self.clients[index].call(method, &format!("{PREFIX}{id}"), &headers, body);
        let (status, answer) = answer.unwrap_or_default();
        let answered_ms = self.now_ms();
        let call = Call { sent_ms, answered_ms, method, id: id.into(), status, body: answer };
        self.calls.lock().unwrap().push(call.clone());
        call
    }
}

/// Returns the body of a submission of one step whose subtasks take `work_ms` each. The text of
/// `spec` is filled up to `spec_bytes`.
pub fn one_step(count: usize, cpu: u64, mem_mb: u64, work_ms: u64, spec_bytes: usize) -> String {
    let mut spec = format!("{work_ms} ");
    while spec.len() < spec_bytes {
        spec.push_str("label ");
    }
    spec.truncate(spec_bytes.max(6));
    format!(
        "{{\"spec\":\"{spec}\",\"steps\":[{{\"count\":{count},\"cpu\":{cpu},\"mem_mb\":{mem_mb},\
         \"estimate_ms\":{work_ms}}}]}}"
    )
}
