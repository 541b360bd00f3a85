//! Entries that own and run submissions, as separate processes, and calls to them.

use std::fs::File;
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use rustix::process::{Pid, Signal, kill_process};

use crate::stand_in::StandInSite;
use crate::support::EntryAddresses;

/// The time for which a test waits for an expected state; it covers several changes of the owner.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

pub(crate) struct SchedulerEntry {
    pub(crate) child: Child,
    pub(crate) addresses: EntryAddresses,
    pub(crate) log: PathBuf,
}

impl SchedulerEntry {
    /// Returns the event names of the log lines that contain all of these texts.
    pub(crate) fn event_names(&self, texts: &[&str]) -> Vec<String> {
        let log = std::fs::read_to_string(&self.log).expect("the log can be read");
        log.lines()
            .filter(|line| texts.iter().all(|text| line.contains(text)))
            .filter_map(|line| line.split("event=").nth(1))
            .map(|event| event.split(' ').next().unwrap_or_default().to_owned())
            .collect()
    }
}

impl Drop for SchedulerEntry {
    fn drop(&mut self) {
        // Errors are ignored, because the process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub(crate) fn start_entry(site: &StandInSite, name: &str, seeds: &[SocketAddr]) -> SchedulerEntry {
    start_entry_with_store(site, site.store, name, seeds)
}

pub(crate) fn start_entry_with_store(
    site: &StandInSite,
    store: SocketAddr,
    name: &str,
    seeds: &[SocketAddr],
) -> SchedulerEntry {
    start_entry_with_settings(site, store, name, seeds, "")
}

/// How often an entry is started whose addresses another process has taken since they were picked.
const MAX_START_ATTEMPTS: usize = 3;

/// The time within which an entry listens or has exited.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// Starts an entry with these lines added to its settings, and waits until it listens.
pub(crate) fn start_entry_with_settings(
    site: &StandInSite,
    store: SocketAddr,
    name: &str,
    seeds: &[SocketAddr],
    more: &str,
) -> SchedulerEntry {
    for _ in 0..MAX_START_ATTEMPTS {
        let addresses = EntryAddresses::allocate();
        let settings = addresses.settings(name, seeds, store, site.vm_service) + more;
        let mut entry = spawn_entry(addresses, &settings);
        if is_listening(&mut entry) {
            return entry;
        }
    }
    panic!("{name} exited at its start {MAX_START_ATTEMPTS} times");
}

fn spawn_entry(addresses: EntryAddresses, settings: &str) -> SchedulerEntry {
    let directory = tempfile::tempdir().expect("a temporary directory is created");
    let directory = directory.keep();
    let (path, log) = (directory.join("entry.toml"), directory.join("entry.log"));
    std::fs::write(&path, settings).expect("the settings are written");
    let output = File::create(&log).expect("the log file is created");
    let child = Command::new(env!("CARGO_BIN_EXE_rhubarbfall"))
        .args(["schedule", "--settings"])
        .arg(&path)
        .stdout(output)
        .spawn()
        .expect("the entry starts");
    SchedulerEntry {
        child,
        addresses,
        log,
    }
}

/// The time within which an entry exits that could not bind an address.
const EXIT_TIME: Duration = Duration::from_millis(100);

/// Waits until an entry listens at all of its addresses, and returns false if it has exited. Another
/// process that has taken one of them since it was picked listens there as well, so that the entry must
/// still run a moment later.
fn is_listening(entry: &mut SchedulerEntry) -> bool {
    let deadline = Instant::now() + START_TIMEOUT;
    let addresses = &entry.addresses;
    for address in [addresses.peers, addresses.metrics] {
        while TcpStream::connect(address).is_err() {
            if has_exited(&mut entry.child) {
                return false;
            }
            assert!(Instant::now() < deadline, "the entry does not listen");
            std::thread::sleep(Duration::from_millis(10));
        }
    }
    std::thread::sleep(EXIT_TIME);
    !has_exited(&mut entry.child)
}

fn has_exited(child: &mut Child) -> bool {
    let state = child.try_wait().expect("the entry's state is known");
    state.is_some()
}

pub(crate) async fn call(
    entry: &SchedulerEntry,
    method: Method,
    path: &str,
    body: &str,
) -> Option<(StatusCode, String)> {
    call_within(entry, method, path, body, 3_000).await
}

pub(crate) async fn call_within(
    entry: &SchedulerEntry,
    method: Method,
    path: &str,
    body: &str,
    limit_ms: u64,
) -> Option<(StatusCode, String)> {
    let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{}{path}", entry.addresses.callers))
        .header("host", "labels.example")
        .header("api-key", "key-a")
        .header("x-deadline-ms", limit_ms)
        .body(Full::new(Bytes::from(body.to_owned())))
        .expect("the request is well-formed");
    let response = client.request(request).await.ok()?;
    let status = response.status();
    let body = response.into_body().collect().await.ok()?.to_bytes();
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}

pub(crate) const BODY: &str = r#"{"spec":"print","steps":[{"count":3,"cpu":1000,"mem_mb":100,"estimate_ms":200},
    {"count":2,"cpu":1000,"mem_mb":100,"estimate_ms":200,"after":[0]}]}"#;

/// Sends a submission until an entry accepts it.
pub(crate) async fn submit(entries: &[&SchedulerEntry], id: &str) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    let mut last = None;
    while Instant::now() < deadline {
        for entry in entries {
            last = call(entry, Method::POST, &format!("/print/{id}"), BODY).await;
            if last
                .as_ref()
                .is_some_and(|(status, _)| *status == StatusCode::OK)
            {
                return;
            }
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    panic!("{id} was not accepted in time; last response: {last:?}");
}

pub(crate) const LONG_RUNNING_BODY: &str = r#"{"spec":"print","steps":[{"count":3,"cpu":1000,"mem_mb":100,
    "estimate_ms":200,"long_running":true}]}"#;

/// Covers several placements and batches.
pub(crate) const SETTLING_TIME: Duration = Duration::from_secs(2);

/// Returns how many runs of a submission were started.
pub(crate) fn starts_of(site: &StandInSite, id: &str) -> usize {
    let started = site.started();
    started.iter().filter(|(task, _)| task.contains(id)).count()
}

/// Returns how many runs of a submission have not ended.
pub(crate) fn active_runs_of(site: &StandInSite, id: &str) -> usize {
    let spans = site.spans().into_iter();
    spans
        .filter(|span| span.task.contains(id) && span.to_ms.is_none())
        .count()
}

pub(crate) async fn status_of(entry: &SchedulerEntry, method: Method, id: &str, body: &str) -> u16 {
    let answer = call(entry, method, &format!("/print/{id}"), body).await;
    answer.map_or(0, |(status, _)| status.as_u16())
}

/// Submits a long-running submission and waits until its tasks run.
pub(crate) async fn submit_long_running(site: &StandInSite, entry: &SchedulerEntry, id: &str) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while active_runs_of(site, id) < 3 {
        status_of(entry, Method::POST, id, LONG_RUNNING_BODY).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert!(Instant::now() < deadline, "{id} did not start in time");
    }
}

/// Sends a signal to an entry.
pub(crate) fn signal(entry: &SchedulerEntry, signal: Signal) {
    let id = Pid::from_raw(entry.child.id().cast_signed()).expect("the process has an identifier");
    kill_process(id, signal).expect("the signal is sent");
}
