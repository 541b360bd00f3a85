//! Entries as separate processes, each with its own relay to the store.

use std::fs::File;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rhubarbfall_testing::{Relay, RelayMode};
use rustix::process::{Pid, Signal, kill_process};
use tempfile::TempDir;

use crate::disturbances::{DisturbanceLog, DisturbanceScope};
use crate::stand_in::StandInSite;
use crate::support::EntryAddresses;

/// The time after which an entry stops by itself, so that it ends even if the soak is killed.
const MAX_RUN_TIME: &str = "3m";

/// The interval and the number of attempts at which stopped entries are restarted after the last
/// fault; together they cover the grace period of a planned stop.
const RESTART_INTERVAL: Duration = Duration::from_millis(500);
const RESTART_ATTEMPTS: usize = 13;

/// The interval at which the exit of a process is looked for.
const EXIT_CHECK_INTERVAL: Duration = Duration::from_millis(2);

/// One entry, whose process may be stopped.
pub(crate) struct SchedulerEntry {
    pub(crate) caller_address: SocketAddr,
    pub(crate) store_relay: Relay,
    settings: PathBuf,
    child: Arc<Mutex<Option<Child>>>,
    start_count: Mutex<u32>,
    /// When the process was killed or told to stop, and when it has exited.
    ends: Arc<Mutex<Vec<Instant>>>,
    disturbances: Arc<DisturbanceLog>,
}

/// All entries of one seed.
pub(crate) struct Entries {
    pub(crate) processes: Vec<SchedulerEntry>,
    directory: Mutex<Option<TempDir>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Entries {
    pub(crate) async fn start(
        site: &StandInSite,
        seed: u64,
        count: usize,
        more_settings: &str,
        disturbances: &Arc<DisturbanceLog>,
    ) -> Self {
        let directory = tempfile::Builder::new()
            .prefix(&format!("soak-{seed}-"))
            .tempdir()
            .expect("a temporary directory is created");
        let addresses: Vec<EntryAddresses> =
            (0..count).map(|_| EntryAddresses::allocate()).collect();
        let seeds: Vec<SocketAddr> = addresses.iter().take(3).map(|entry| entry.peers).collect();
        let mut processes = Vec::new();
        for (index, addresses) in addresses.iter().enumerate() {
            let store_relay = Relay::start(site.store).await.expect("the relay starts");
            let name = format!("entry-{index}");
            let text = addresses.settings(&name, &seeds, store_relay.address(), site.vm_service);
            let settings = directory.path().join(format!("{name}.toml"));
            std::fs::write(&settings, text + more_settings).expect("the settings are written");
            processes.push(SchedulerEntry {
                caller_address: addresses.callers,
                store_relay,
                settings,
                child: Arc::default(),
                start_count: Mutex::default(),
                ends: Arc::default(),
                disturbances: Arc::clone(disturbances),
            });
        }
        for entry in &processes {
            entry.start();
        }
        Self {
            processes,
            directory: Mutex::new(Some(directory)),
        }
    }

    /// Ends all faults and restarts the stopped entries.
    pub(crate) async fn end_faults(&self) {
        for entry in &self.processes {
            entry.store_relay.set_mode(RelayMode::Pass);
            entry.signal(Signal::CONT);
        }
        // An entry in a planned stop can restart only once its grace period has passed.
        for _ in 0..RESTART_ATTEMPTS {
            tokio::time::sleep(RESTART_INTERVAL).await;
            for entry in &self.processes {
                entry.start();
            }
        }
    }

    /// Keeps the directory of the logs after the test and returns its path.
    pub(crate) fn keep_logs(&self) -> PathBuf {
        let directory = lock(&self.directory).take();
        directory.map_or_else(PathBuf::new, TempDir::keep)
    }

    /// Kills every entry that still runs.
    pub(crate) fn kill_all(&self) {
        for entry in &self.processes {
            entry.kill();
        }
    }
}

impl Drop for Entries {
    fn drop(&mut self) {
        self.kill_all();
    }
}

impl SchedulerEntry {
    /// Starts the process unless it runs already.
    pub(crate) fn start(&self) {
        let mut child = lock(&self.child);
        if child.as_mut().is_some_and(is_running) {
            return;
        }
        self.disturbances
            .add(DisturbanceScope::AllWorkers, Duration::ZERO);
        let mut start_count = lock(&self.start_count);
        *start_count += 1;
        let log = File::create(self.settings.with_extension(format!("{start_count}.log")));
        let started = Command::new(env!("CARGO_BIN_EXE_rhubarbfall"))
            .args(["schedule", "--run-for", MAX_RUN_TIME, "--settings"])
            .arg(&self.settings)
            .stdout(log.expect("the log file is created"))
            .stderr(Stdio::inherit())
            .spawn();
        *child = Some(started.expect("the entry starts"));
    }

    /// Kills the process.
    pub(crate) fn kill(&self) {
        if let Some(mut child) = lock(&self.child).take() {
            lock(&self.ends).push(Instant::now());
            // Errors are ignored, because the process may have exited already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub(crate) fn signal(&self, signal: Signal) {
        if let Some(child) = lock(&self.child).as_mut()
            && is_running(child)
            && let Some(id) = Pid::from_raw(child.id().cast_signed())
        {
            if signal == Signal::TERM {
                lock(&self.ends).push(Instant::now());
                self.record_exit(child.id());
            }
            kill_process(id, signal).expect("the signal is sent");
        }
    }

    /// Records when a process exits that is told to stop: it serves its callers for seconds until then.
    fn record_exit(&self, id: u32) {
        let (child, ends) = (Arc::clone(&self.child), Arc::clone(&self.ends));
        std::thread::spawn(move || {
            let is_this = |child: &&mut Child| child.id() == id;
            while lock(&child)
                .as_mut()
                .filter(is_this)
                .is_some_and(is_running)
            {
                std::thread::sleep(EXIT_CHECK_INTERVAL);
            }
            lock(&ends).push(Instant::now());
        });
    }

    /// Returns the resident memory of the process in kilobytes, or `None` if it does not run.
    pub(crate) fn memory_kb(&self) -> Option<u64> {
        let id = lock(&self.child).as_ref()?.id();
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))?;
        line.split_whitespace().next()?.parse().ok()
    }

    /// Returns whether the process was neither killed nor told to stop since `from`, nor has exited.
    pub(crate) fn has_lived_since(&self, from: Instant) -> bool {
        lock(&self.ends).iter().all(|end| *end < from)
    }
}

fn is_running(child: &mut Child) -> bool {
    matches!(child.try_wait(), Ok(None))
}
