//! A small deployment: the entry processes with the deploy file's command, and the consumers' calls.

use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Client, Response};
use crate::json::Json;
use crate::minion::{Minion, number, object, serve_machines, text};
use crate::record::Record;
use crate::store::Store;

pub const HOST: &str = "labels.example";
pub const KEY: &str = "key-1";

/// A case runs for 120 s at most.
const LONGEST_CASE: Duration = Duration::from_secs(112);

/// How long the platform waits before it starts a process again that has ended.
const RESTART: Duration = Duration::from_millis(500);

pub struct Entry {
    pub name: String,
    pub front: SocketAddr,
    settings: PathBuf,
    child: Child,
    /// Whether the platform keeps it running.
    is_wanted: bool,
    /// How often it ended without a signal of the test.
    pub own_ends: u32,
    restart_at: Option<Instant>,
}

pub struct Fleet {
    pub store: Store,
    pub minions: Vec<Minion>,
    pub entries: Arc<Mutex<Vec<Entry>>>,
    pub record: Record,
    folder: PathBuf,
}

pub fn route() -> Json {
    object(&[
        ("name", text("print")),
        ("host", text(HOST)),
        ("path_prefix", text("/print/")),
        ("service", text("svc")),
        ("priority", number(0)),
        ("max_attempts", number(3)),
        ("stretch", number(2)),
        ("latency_slo_ms", number(600)),
    ])
}

pub fn config(version: u64, routes: Vec<Json>) -> Json {
    let service = object(&[
        ("name", text("svc")),
        ("enforces_capacity", Json::Bool(false)),
    ]);
    let tenant = object(&[
        ("name", text("tenant-1")),
        ("api_keys", Json::List(vec![text(KEY)])),
        ("weight", number(100_000)),
    ]);
    object(&[
        ("version", number(version)),
        ("routes", Json::List(routes)),
        ("services", Json::List(vec![service])),
        ("tenants", Json::List(vec![tenant])),
        ("limits", object(&[])),
    ])
}

impl Fleet {
    /// Starts the platform's stand-ins and `entries` processes, and waits until they are ready.
    /// A process over `memory_mb` is killed and started again, as DEPLOY.md says.
    pub fn start(
        record: &Record,
        entries: usize,
        minions: usize,
        memory_mb: Option<u64>,
    ) -> Option<Self> {
        let store = Store::start();
        let all = (0..minions).map(|index| Minion::start(index, 64_000, 128_000, record));
        let minions: Vec<Minion> = all.collect();
        store.put("op", "config", &config(1, vec![route()]));
        for minion in &minions {
            store.put("servers", &minion.id, &minion.entry());
        }
        let machines = serve_machines(minions.clone());
        let folder =
            std::env::temp_dir().join(format!("rhubarbfall-review-{}", std::process::id()));
        fs::create_dir_all(&folder).ok()?;
        let ports: Vec<[SocketAddr; 5]> = (0..entries).map(|_| free_addresses()).collect();
        let seeds: Vec<String> = ports
            .iter()
            .map(|ports| format!("\"{}\"", ports[2]))
            .collect();
        let mut running = Vec::new();
        for (index, [front, ready, control, metrics, _]) in ports.iter().enumerate() {
            let name = format!("front-{}", index + 1);
            let settings = folder.join(format!("{name}.toml"));
            let content = format!(
                "entry = \"{name}\"\navailability_zone = \"zone-a\"\ncallers = \"{front}\"\n\
                 readiness = \"{ready}\"\npeers = \"{control}\"\nmetrics = \"{metrics}\"\n\
                 seeds = [{}]\nstore = \"{}\"\nvm_service = \"{machines}\"\nmax_lease_ms = 10000\n\
                 stop_grace_s = 6\ncpu_share = 0.25\nvm_calls_per_s = 64\nstore_row_bytes = 65536\n\
                 vm_service_checks_fences = true\nvm_order_gap_ms = 3000\n",
                seeds.join(", "),
                store.address,
            );
            fs::write(&settings, content).ok()?;
            let child = spawn(&folder, &settings, &name)?;
            let is_wanted = true;
            running.push(Entry {
                name,
                front: *front,
                settings,
                child,
                is_wanted,
                own_ends: 0,
                restart_at: None,
            });
        }
        let fleet = Self {
            store,
            minions,
            entries: Arc::new(Mutex::new(running)),
            record: record.clone(),
            folder,
        };
        fleet.supervise(memory_mb);
        fleet.wait_until_served().then_some(fleet)
    }

    /// Starts processes again that have ended, and ends those over the memory limit.
    fn supervise(&self, memory_mb: Option<u64>) {
        let (entries, record, folder) = (
            Arc::clone(&self.entries),
            self.record.clone(),
            self.folder.clone(),
        );
        let began = Instant::now();
        thread::spawn(move || {
            loop {
                if began.elapsed() > LONGEST_CASE {
                    record.line("the case takes too long");
                    end(&entries, &folder);
                    std::process::exit(2);
                }
                for entry in entries
                    .lock()
                    .unwrap()
                    .iter_mut()
                    .filter(|entry| entry.is_wanted)
                {
                    if let Some(at) = entry.restart_at {
                        if Instant::now() >= at {
                            if let Some(child) = spawn(&folder, &entry.settings, &entry.name) {
                                entry.child = child;
                                entry.restart_at = None;
                                record.line(format!("{} is started again", entry.name));
                            }
                        }
                        continue;
                    }
                    let resident_mb = resident_mb(entry.child.id());
                    if memory_mb.is_some_and(|limit| resident_mb > limit) {
                        record.line(format!("{} has {resident_mb} MB and is killed", entry.name));
                        let _ = entry.child.kill();
                        let _ = entry.child.wait();
                        entry.own_ends += 1;
                        entry.restart_at = Some(Instant::now() + RESTART);
                    } else if let Ok(Some(status)) = entry.child.try_wait() {
                        record.line(format!("{} has ended: {status}", entry.name));
                        entry.own_ends += 1;
                        entry.restart_at = Some(Instant::now() + RESTART);
                    }
                }
                thread::sleep(Duration::from_millis(3));
            }
        });
    }

    fn wait_until_served(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            let fronts = self.fronts();
            let is_served = |front: &SocketAddr| {
                let answer = call(*front, "GET", "", "", Duration::from_secs(1));
                answer.is_ok_and(|answer| answer.status == 200)
            };
            if fronts.iter().all(is_served) {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    pub fn fronts(&self) -> Vec<SocketAddr> {
        self.entries
            .lock()
            .unwrap()
            .iter()
            .map(|entry| entry.front)
            .collect()
    }

    /// Sends SIGTERM to all processes, which the platform starts again once they have ended.
    pub fn terminate_all(&self) {
        let mut entries = self.entries.lock().unwrap();
        for entry in entries.iter_mut() {
            self.record.line(format!("{} gets SIGTERM", entry.name));
            let _ = Command::new("kill")
                .arg("-TERM")
                .arg(entry.child.id().to_string())
                .status();
        }
    }

    /// Copies the lines of the processes' logs that tell of the ownership to the record.
    pub fn record_ownerships(&self) {
        for entry in self.entries.lock().unwrap().iter() {
            let log = fs::read_to_string(self.folder.join(format!("{}.log", entry.name)));
            let events = [
                "event=ownership_",
                "event=loaded",
                "event=superseded",
                "event=task_panicked",
                "event=load_failed",
            ];
            for line in log.unwrap_or_default().lines() {
                if events.iter().any(|event| line.contains(event)) {
                    self.record.line(format!("log of {}: {line}", entry.name));
                }
            }
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        end(&self.entries, &self.folder);
    }
}

/// Ends all processes and removes their files.
fn end(entries: &Mutex<Vec<Entry>>, folder: &Path) {
    for entry in entries
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
        .iter_mut()
    {
        entry.is_wanted = false;
        let _ = entry.child.kill();
        let _ = entry.child.wait();
    }
    let _ = fs::remove_dir_all(folder);
}

fn spawn(folder: &Path, settings: &Path, name: &str) -> Option<Child> {
    let path = folder.join(format!("{name}.log"));
    let log = fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(path)
        .ok()?;
    Command::new("target/release/rhubarbfall")
        .args(["schedule", "--settings"])
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone().ok()?)
        .stderr(log)
        .spawn()
        .ok()
}

fn free_addresses() -> [SocketAddr; 5] {
    let listeners = [0; 5].map(|_| TcpListener::bind("127.0.0.1:0").expect("a free port"));
    listeners.map(|listener| listener.local_addr().expect("a bound address"))
}

/// Resident memory of a process.
pub fn resident_mb(process: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) / 1024
}

/// One consumer's call on a channel of its own.
pub fn call(
    front: SocketAddr,
    method: &str,
    id: &str,
    body: &str,
    wait: Duration,
) -> Result<Response, String> {
    call_with(&mut Client::new(front), method, id, body, wait)
}

pub fn call_with(
    client: &mut Client,
    method: &str,
    id: &str,
    body: &str,
    wait: Duration,
) -> Result<Response, String> {
    let deadline_ms = wait.as_millis().to_string();
    let headers = [
        ("host", HOST),
        ("api-key", KEY),
        ("x-deadline-ms", deadline_ms.as_str()),
    ];
    client.call(method, &format!("/print/{id}"), &headers, body, wait)
}

/// Hands a submission in as a consumer does: with the same ID at one process after the other, until
/// it is accepted.
pub fn submit(fleet: &Fleet, id: &str, body: &str, within: Duration) -> bool {
    let until = Instant::now() + within;
    let fronts = fleet.fronts();
    for front in fronts.iter().cycle() {
        let answer = call(*front, "POST", id, body, Duration::from_secs(3));
        let status = answer
            .as_ref()
            .map(|answer| answer.status)
            .map_err(String::as_str);
        fleet
            .record
            .line(format!("POST {id} at {front}: {status:?}"));
        if status == Ok(200) {
            return true;
        }
        if Instant::now() >= until {
            return false;
        }
        thread::sleep(Duration::from_millis(200));
    }
    false
}

/// Asks for the state of a submission at one process after the other.
pub fn state(fleet: &Fleet, id: &str) -> String {
    for front in fleet.fronts() {
        if let Ok(answer) = call(front, "GET", id, "", Duration::from_secs(3)) {
            if answer.status == 200 {
                let state = Json::parse(&answer.body).unwrap_or(Json::Null);
                return state.get("state").text().to_owned();
            }
        }
    }
    "no answer".to_owned()
}
