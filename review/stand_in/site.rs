//! A small deployment: the store, minions, the service that lists machines, the operator, and entry
//! processes as the deploy file starts them.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::cloud::Cloud;
use crate::minion::{Minion, Span};
use crate::store::Store;

/// `heartbeat_ms` of the settings.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

pub const HOST: &str = "labels.example";
pub const PREFIX: &str = "/print/";
pub const KEY: &str = "key-a";
const PORTS: std::ops::Range<u16> = 11_000..31_000;
const SERVICE: &str = "labels";
const ZONES: [&str; 3] = ["howrah", "barasat", "kalyani"];

pub struct Site {
    pub began_at: Instant,
    pub store: Arc<Store>,
    pub cloud: Arc<Cloud>,
    /// The minions at the start.
    pub minions: Vec<Arc<Minion>>,
    pub entries: Vec<Entry>,
    folder: PathBuf,
    store_address: SocketAddr,
    cloud_address: SocketAddr,
}

pub struct Entry {
    name: String,
    pub callers: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    pid_file: PathBuf,
    child: Option<Child>,
}

impl Site {
    /// Starts the platform, minions and entries, and writes the first configuration. Files go to
    /// `folder`.
    pub fn start(folder: PathBuf, minions: usize, entries: usize) -> Site {
        let began_at = Instant::now();
        let born = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64);
        let (store, store_address) = Store::start(began_at);
        let minions: Vec<_> = (0..minions)
            .map(|index| Minion::start(&format!("minion-{index}"), began_at, born + index as u64))
            .collect();
        let (cloud, cloud_address) = Cloud::start(began_at, Arc::clone(&store), SERVICE, ZONES, &minions);
        store.write("op", "config", &config());
        repeat_entries(Arc::clone(&cloud));
        let mut site = Site { began_at, store, cloud, minions, entries: Vec::new(), folder, store_address, cloud_address };
        site.start_entries(entries);
        site
    }

    fn start_entries(&mut self, count: usize) {
        let addresses: Vec<[SocketAddr; 4]> = (0..count).map(|_| free_addresses()).collect();
        let seeds: Vec<String> = addresses.iter().take(3).map(|[_, _, peers, _]| format!("\"{peers}\"")).collect();
        for (index, [callers, readiness, peers, metrics]) in addresses.iter().enumerate() {
            let name = format!("front-{}", index + 1);
            // The names and values of deploy/settings.toml.template.
            let text = format!(
                "entry = \"{name}\"\navailability_zone = \"{}\"\ncallers = \"{callers}\"\n\
                 readiness = \"{readiness}\"\npeers = \"{peers}\"\nmetrics = \"{metrics}\"\nseeds = [{}]\n\
                 store = \"{}\"\nvm_service = \"{}\"\nmax_lease_ms = 10000\nstop_grace_s = 6\ncpu_share = 0.25\n\
                 vm_calls_per_s = 64.0\nvm_service_checks_fences = true\nvm_order_gap_ms = 3000\n",
                ZONES[index % 3], seeds.join(","), self.store_address, self.cloud_address
            );
            let settings = self.folder.join(format!("{name}.toml"));
            fs::write(&settings, text).expect("the settings are written");
            let log = self.folder.join(format!("{name}.log"));
            let pid_file = self.folder.join(format!("{name}.pid"));
            let mut entry = Entry { name, callers: *callers, settings, log, pid_file, child: None };
            entry.start();
            self.entries.push(entry);
        }
        let until = Instant::now() + Duration::from_secs(10);
        while self.entries.iter().any(|entry| TcpStream::connect(entry.callers).is_err()) {
            assert!(Instant::now() < until, "an entry does not listen");
            thread::sleep(Duration::from_millis(20));
        }
    }

    pub fn now_ms(&self) -> u64 {
        self.began_at.elapsed().as_millis() as u64
    }

    /// Returns the index of the entry that was the last to gain the ownership.
    pub fn owner(&self) -> Option<usize> {
        let fence = |line: &str| {
            let text = line.split("event=ownership_gained fence=").nth(1)?;
            text.split(' ').next()?.parse::<u64>().ok()
        };
        let newest = |entry: &Entry| {
            let log = fs::read_to_string(&entry.log).unwrap_or_default();
            log.lines().filter_map(fence).max()
        };
        let fences = self.entries.iter().map(newest).enumerate();
        fences.filter_map(|(index, fence)| Some((fence?, index))).max().map(|(_, index)| index)
    }

    /// Returns every run that a minion saw, by the time of its start.
    pub fn spans(&self) -> Vec<Span> {
        let mut minions = self.minions.clone();
        for minion in self.cloud.minions() {
            if !minions.iter().any(|known| Arc::ptr_eq(known, &minion)) {
                minions.push(minion);
            }
        }
        let mut spans: Vec<Span> = minions.iter().flat_map(|minion| minion.spans()).collect();
        spans.sort_by_key(|span| span.from_ms);
        spans
    }

    /// Returns how often each of these texts stands in the logs of the entries.
    pub fn count_in_logs(&self, text: &str) -> usize {
        let logs = self.entries.iter().filter_map(|entry| fs::read_to_string(&entry.log).ok());
        logs.map(|log| log.matches(text).count()).sum()
    }

    /// Returns the lines of the entries' logs that contain one of these texts.
    pub fn log_lines(&self, texts: &[&str]) -> Vec<String> {
        let mut lines = Vec::new();
        for entry in &self.entries {
            let log = fs::read_to_string(&entry.log).unwrap_or_default();
            let found = log.lines().filter(|line| texts.iter().any(|text| line.contains(text)));
            lines.extend(found.map(|line| format!("{} {line}", entry.name)));
        }
        lines
    }
}

impl Entry {
    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("the log is opened");
        let child = Command::new("target/release/rhubarbfall")
            .args(["schedule", "--settings"])
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("the log is shared"))
            .stdout(log)
            .spawn();
        let child = child.expect("the entry starts");
        // `run.sh` ends the processes that are named in such files.
        fs::write(&self.pid_file, child.id().to_string()).expect("the process is noted");
        self.child = Some(child);
    }

    /// Tells the process to stop.
    pub fn terminate(&mut self) {
        if let Some(child) = &self.child {
            let _ = Command::new("kill").arg("-TERM").arg(child.id().to_string()).status();
        }
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            let _ = fs::remove_file(&self.pid_file);
        }
    }
}

impl Entry {
    /// Returns the memory of the process in MB, or `None` if it does not run.
    pub fn memory_mb(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.as_ref()?.id())).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        let kb: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kb / 1_024)
    }

    /// Returns whether the process runs.
    pub fn is_up(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns addresses for one entry. Their ports lie below those that the system picks for outgoing
/// connections, so that an entry that is killed finds them free when it starts again.
fn free_addresses() -> [SocketAddr; 4] {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let first = std::process::id().wrapping_mul(61);
    let mut listeners: Vec<TcpListener> = Vec::new();
    while listeners.len() < 4 {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        assert!(number < PORTS.len() as u32, "no free port");
        let port = PORTS.start + (first.wrapping_add(number) % PORTS.len() as u32) as u16;
        listeners.extend(TcpListener::bind(("127.0.0.1", port)));
    }
    [0, 1, 2, 3].map(|index: usize| listeners[index].local_addr().expect("an address"))
}

fn config() -> String {
    format!(
        "{{\"version\":3,\"routes\":[{{\"name\":\"q-print\",\"host\":\"{HOST}\",\"path_prefix\":\"{PREFIX}\",\
         \"kind\":\"unsafe\",\"timeout_ms\":3000,\"service\":\"labels\",\"priority\":0,\"max_attempts\":3,\
         \"stretch\":1.6,\"latency_slo_ms\":600,\"public\":false}}],\
         \"services\":[{{\"name\":\"labels\",\"health_path\":\"/health\",\"enforces_capacity\":false}}],\
         \"tenants\":[{{\"name\":\"house-a\",\"api_keys\":[\"{KEY}\"],\"weight\":1000,\
         \"cap\":{{\"cpu\":0,\"mem_mb\":0,\"gpu\":0}}}}],\"limits\":{{}}}}"
    )
}

/// Repeats the minions' entries at each heartbeat.
fn repeat_entries(cloud: Arc<Cloud>) {
    cloud.register_all(1);
    thread::spawn(move || {
        for seq in 2.. {
            thread::sleep(HEARTBEAT);
            cloud.register_all(seq);
        }
    });
}
