//! A small deployment: entries under supervision, minions, the list of machines and the operator.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU16, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Answer, Request, listen};
use crate::json::{Json, quote};
use crate::minion::{Attempts, Gangs, Minion};
use crate::store::Store;

/// `memory_mb` of the small sites, in bytes.
pub const MEMORY_LIMIT: u64 = 260 * 1_024 * 1_024;

const ENTRIES: usize = 3;

/// How long after its end a process is started again.
const RESTART_DELAY: Duration = Duration::from_millis(1_000);

/// The period in which the platform looks at the memory of the processes.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);

/// How long an upkeep and a move take (`upkeep_s`, `move_s`).
const UPKEEP: Duration = Duration::from_millis(2_000);
const MOVE: Duration = Duration::from_millis(1_500);

pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}

/// The record of a case: what was sent, answered and run.
pub struct Log {
    began_at: Instant,
    file: Mutex<File>,
}

impl Log {
    pub fn create(path: &str) -> Arc<Self> {
        let file = Mutex::new(File::create(path).expect("the record can be written"));
        Arc::new(Self {
            began_at: Instant::now(),
            file,
        })
    }

    pub fn add(&self, text: &str) {
        let at = self.began_at.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().expect("record"), "{at:8.3} {text}");
    }
}

struct Machine {
    /// The service whose pool the machine is in.
    pool: &'static str,
    kind: &'static str,
    minion: Option<Arc<Minion>>,
    /// What the machine is away for, and when it is back.
    away: Option<(&'static str, Instant)>,
    fence: u64,
    upkeeps: u32,
}

pub struct Entry {
    pub name: String,
    pub callers: SocketAddr,
    readiness: SocketAddr,
    child: Mutex<Option<Child>>,
    /// How often the process has ended by itself, which includes going over the memory limit.
    pub own_ends: Mutex<u32>,
    pub peak_bytes: Mutex<u64>,
    settings: PathBuf,
    output: PathBuf,
}

pub struct Fleet {
    pub log: Arc<Log>,
    pub store: Arc<Store>,
    pub entries: Vec<Arc<Entry>>,
    pub platform: Arc<Platform>,
    is_over: Arc<AtomicBool>,
    directory: PathBuf,
}

/// Returns a free port below those that outgoing channels use, so that it stays free while a process
/// that listens there is started again.
fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let first = 10_000 + (std::process::id() % 200) as u16 * 100;
    loop {
        let port = first + NEXT.fetch_add(1, Ordering::Relaxed);
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

impl Fleet {
    /// Starts the services, minions and three entries.
    pub fn start(log: &Arc<Log>, minions: usize, task_ms: u64) -> Self {
        let directory = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        std::fs::create_dir_all(&directory).expect("a temporary folder");
        let store = Store::new();
        let served = Arc::clone(&store);
        let store_address = listen(move |request| served.answer(request));
        let platform = Arc::new(Platform {
            log: Arc::clone(log),
            store: Arc::clone(&store),
            machines: Mutex::default(),
            is_down: AtomicBool::new(false),
            gangs: Arc::default(),
            attempts: Arc::default(),
            task_ms,
            lives: AtomicU16::new(0),
        });
        let served = Arc::clone(&platform);
        let cloud_address = listen(move |request| served.answer(request));
        let mut fleet = Self {
            log: Arc::clone(log),
            store,
            entries: Vec::new(),
            platform,
            is_over: Arc::default(),
            directory,
        };
        let (platform, is_over) = (Arc::clone(&fleet.platform), Arc::clone(&fleet.is_over));
        std::thread::spawn(move || {
            while !is_over.load(Ordering::Relaxed) {
                platform.bring_back();
                std::thread::sleep(LOOK_INTERVAL);
            }
        });
        fleet.configure(7, true);
        for number in 0..minions {
            fleet.platform.add_machine(number, "a", service_of(number));
        }
        let peers: Vec<SocketAddr> = (0..ENTRIES).map(|_| free_address()).collect();
        for number in 0..ENTRIES {
            let entry = fleet.start_entry(number, &peers, store_address, cloud_address);
            fleet.entries.push(entry);
        }
        fleet
    }

    fn start_entry(
        &self,
        number: usize,
        peers: &[SocketAddr],
        store: SocketAddr,
        cloud: SocketAddr,
    ) -> Arc<Entry> {
        let name = format!("front-howrah-{}", number + 1);
        let (callers, readiness) = (free_address(), free_address());
        let seeds = peers.iter().take(3).map(|seed| format!("\"{seed}\""));
        let seeds: Vec<String> = seeds.collect();
        let template = std::fs::read_to_string("deploy/settings.toml.template");
        let mut text = template.expect("run in the repository's root");
        let values = [
            ("{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}", seeds.join(", ")),
            ("{{node}}", name.clone()),
            ("{{zone}}", "howrah".to_owned()),
            ("{{listen_addrs.front}}", callers.to_string()),
            ("{{listen_addrs.ready}}", readiness.to_string()),
            ("{{listen_addrs.control}}", peers[number].to_string()),
            ("{{ip}}:7001", free_address().to_string()),
            ("{{platform.address}}", store.to_string()),
            ("{{cloud.address}}", cloud.to_string()),
            ("{{bounds.hold_max_ms}}", "10000".to_owned()),
            ("{{bounds.grace_s}}", "6".to_owned()),
            ("{{limits.cpu_share}}", "0.25".to_owned()),
            ("{{cloud.duty_per_s}}", "64.0".to_owned()),
            ("{{platform.row_bytes}}", "65536".to_owned()),
            ("{{bounds.fencing_enforced|json}}", "true".to_owned()),
            ("{{bounds.lease_ms}}", "3000".to_owned()),
        ];
        for (placeholder, value) in values {
            text = text.replace(placeholder, &value);
        }
        // Sections without a value are left out.
        let lines = text.lines().filter(|line| !line.contains("{{"));
        let text: Vec<&str> = lines.collect();
        let settings = self.directory.join(format!("{name}.toml"));
        std::fs::write(&settings, text.join("\n")).expect("the settings are written");
        let entry = Arc::new(Entry {
            output: self.directory.join(format!("{name}.log")),
            name,
            callers,
            readiness,
            child: Mutex::new(None),
            own_ends: Mutex::new(0),
            peak_bytes: Mutex::new(0),
            settings,
        });
        entry.spawn(&self.log);
        let (supervised, log) = (Arc::clone(&entry), Arc::clone(&self.log));
        let is_over = Arc::clone(&self.is_over);
        std::thread::spawn(move || supervised.supervise(&log, &is_over));
        entry
    }

    /// Writes a configuration, with or without the first queue.
    pub fn configure(&self, version: u64, has_first: bool) {
        self.log.add(&format!(
            "operator: op/config version {version}, with jalpai-print: {has_first}"
        ));
        let text = config(version, has_first);
        self.store.write("op", "", "config", text.as_bytes());
    }

    /// Waits until all entries accept consumers.
    pub fn wait_until_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(20);
        self.entries.iter().all(|entry| {
            while Instant::now() < until {
                let limit = Duration::from_secs(1);
                let answer = http::call(entry.readiness, "GET", "/-/ready", &[], "", limit);
                if answer.is_some_and(|(status, _)| status == 200) {
                    return true;
                }
                std::thread::sleep(Duration::from_millis(100));
            }
            false
        })
    }

    /// Makes one call of a consumer.
    pub fn call(
        &self,
        entry: &Entry,
        key: &str,
        method: &str,
        path: &str,
        body: &str,
    ) -> Option<(u16, String)> {
        let headers = [
            ("host", "pule25.example"),
            ("api-key", key),
            ("x-deadline-ms", "3000"),
        ];
        let limit = Duration::from_millis(3_000);
        let answer = http::call(entry.callers, method, path, &headers, body, limit);
        let shown: String = body.chars().take(300).collect();
        self.log.add(&format!(
            "consumer {key} -> {}: {method} {path} {shown} -> {answer:?}",
            entry.name
        ));
        answer
    }

    /// Sends a submission until it is answered with 200, as consumers retry. Returns whether it was.
    pub fn submit(&self, key: &str, path: &str, body: &str) -> bool {
        for attempt in 0..5 {
            let entry = &self.entries[attempt % self.entries.len()];
            match self.call(entry, key, "POST", path, body) {
                Some((200, _)) => return true,
                Some((400..500, _)) => return false,
                _ => std::thread::sleep(Duration::from_millis(500)),
            }
        }
        false
    }

    /// Asks the entries in turn for the state of a submission until it is the one, for this time.
    pub fn wait_for_state(&self, key: &str, path: &str, state: &str, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let wanted = format!("\"{state}\"");
        let mut turn = 0;
        while Instant::now() < until {
            let entry = &self.entries[turn % self.entries.len()];
            turn += 1;
            let answer = self.call(entry, key, "GET", path, "");
            if answer.is_some_and(|(status, body)| status == 200 && body.contains(&wanted)) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(500));
        }
        false
    }

    /// Ends all processes that were started, and removes the temporary folder.
    pub fn end(&self) {
        self.is_over.store(true, Ordering::Relaxed);
        for entry in &self.entries {
            if let Some(mut child) = entry.child.lock().expect("child").take() {
                let _ = child.kill();
                let _ = child.wait();
            }
            let peak = *entry.peak_bytes.lock().expect("peak") / 1_024 / 1_024;
            let ends = *entry.own_ends.lock().expect("ends");
            self.log
                .add(&format!("{}: own ends {ends}, peak {peak} MB", entry.name));
        }
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.directory);
        }
    }
}

impl Entry {
    fn spawn(&self, log: &Log) {
        let output = File::options().create(true).append(true).open(&self.output);
        let output = output.expect("the log can be written");
        let errors = output.try_clone().expect("the log can be written");
        let program = Path::new("target/release/rhubarbfall");
        let mut command = Command::new(program);
        command.args(["schedule", "--settings"]).arg(&self.settings);
        command.stdin(Stdio::null()).stdout(output).stderr(errors);
        // SAFETY: the call only sets an attribute of the new process.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        let child = command
            .spawn()
            .expect("the program of the deploy file is built");
        log.add(&format!("platform: {} started", self.name));
        *self.child.lock().expect("child") = Some(child);
    }

    /// Watches memory and ends of the process, and starts it again.
    fn supervise(&self, log: &Log, is_over: &AtomicBool) {
        while !is_over.load(Ordering::Relaxed) {
            std::thread::sleep(LOOK_INTERVAL);
            let mut guard = self.child.lock().expect("child");
            let Some(child) = guard.as_mut() else {
                drop(guard);
                std::thread::sleep(RESTART_DELAY);
                if !is_over.load(Ordering::Relaxed) {
                    self.spawn(log);
                }
                continue;
            };
            let bytes = resident_bytes(child.id());
            let mut peak = self.peak_bytes.lock().expect("peak");
            *peak = (*peak).max(bytes);
            let has_exited = child.try_wait().ok().flatten();
            if let Some(status) = has_exited {
                log.add(&format!(
                    "platform: {} has ended by itself ({status})",
                    self.name
                ));
            } else if bytes > MEMORY_LIMIT {
                log.add(&format!(
                    "platform: {} exceeds memory_mb with {} MB and is killed",
                    self.name,
                    bytes / 1_024 / 1_024
                ));
                let _ = child.kill();
                let _ = child.wait();
            } else {
                continue;
            }
            *self.own_ends.lock().expect("ends") += 1;
            *guard = None;
        }
    }
}

// Processes that a stand-in has started end with it, also when it is killed.
unsafe extern "C" {
    fn prctl(option: i32, ...) -> i32;
}

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

/// Returns the resident memory of a process that this one has started.
fn resident_bytes(id: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|rest| rest.trim().trim_end_matches(" kB").parse::<u64>().ok());
    kilobytes.unwrap_or(0) * 1_024
}

/// Returns the service of a machine; each queue has one of its own.
fn service_of(number: usize) -> &'static str {
    if number % 2 == 0 { JALPAI } else { GANGA }
}

pub const JALPAI: &str = "jalpai-svc";
const GANGA: &str = "ganga-svc";

fn config(version: u64, has_first: bool) -> String {
    let route = |name: &str, prefix: &str, service: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"pule25.example\",\"path_prefix\":\"{prefix}\",\
             \"kind\":\"unsafe\",\"timeout_ms\":3000,\"latency_slo_ms\":600,\"priority\":0,\
             \"service\":\"{service}\",\"max_attempts\":3,\"stretch\":1.6,\"public\":false}}"
        )
    };
    let tenant = |name: &str, key: &str| {
        format!(
            "{{\"name\":\"{name}\",\"api_keys\":[\"{key}\"],\"weight\":100,\
             \"cap\":{{\"cpu\":0,\"mem_mb\":0,\"gpu\":0}}}}"
        )
    };
    let first = route("jalpai-print", "/jalpai/", "jalpai-svc") + ",";
    let first = if has_first { first } else { String::new() };
    format!(
        "{{\"version\":{version},\"routes\":[{first}{}],\"services\":[{{\"name\":\"jalpai-svc\",\
         \"enforces_capacity\":false}},{{\"name\":\"ganga-svc\",\"enforces_capacity\":false}}],\"tenants\":[{},{}]}}",
        route("ganga-print", "/ganga/", "ganga-svc"),
        tenant("jalpai", "key-jalpai"),
        tenant("ganga", "key-ganga")
    )
}

/// The machines, their minions, and the calls for them.
pub struct Platform {
    log: Arc<Log>,
    store: Arc<Store>,
    machines: Mutex<BTreeMap<String, Machine>>,
    /// Whether the list of machines is silent.
    pub is_down: AtomicBool,
    pub gangs: Arc<Gangs>,
    pub attempts: Arc<Attempts>,
    task_ms: u64,
    /// The number of minions so far.
    lives: AtomicU16,
}

impl Platform {
    /// Adds a machine, which joins a pool.
    pub fn add_machine(&self, number: usize, kind: &'static str, pool: &'static str) {
        let name = format!("machine-{number}");
        let minion = Some(self.start_minion(&name, kind, pool));
        let machine = Machine {
            pool,
            kind,
            minion,
            away: None,
            fence: 0,
            upkeeps: 0,
        };
        self.machines
            .lock()
            .expect("machines")
            .insert(name, machine);
    }

    /// Starts the minion of a machine, which registers itself.
    fn start_minion(&self, machine: &str, kind: &str, pool: &str) -> Arc<Minion> {
        let id = format!("minion-{}", self.lives.fetch_add(1, Ordering::Relaxed));
        let (minion, address) =
            Minion::start(&id, self.task_ms, &self.log, &self.gangs, &self.attempts);
        let entry = format!(
            "{{\"service\":\"{pool}\",\"address\":\"{address}\",\"zone\":\"howrah\",\
             \"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":1,\
             \"machine\":\"{machine}\",\"capacity\":{{\"cpu\":64000,\"mem_mb\":131072}},\
             \"labels\":[\"{kind}\",\"r1\"],\"born\":{}}}",
            minion.born
        );
        self.store.write("servers", "", &id, entry.as_bytes());
        self.log.add(&format!(
            "platform: {machine} is in {pool} with {id}, kind {kind}"
        ));
        minion
    }

    /// Returns how many upkeeps of a machine have begun.
    pub fn upkeeps(&self, machine: &str) -> u32 {
        let machines = self.machines.lock().expect("machines");
        machines.get(machine).map_or(0, |machine| machine.upkeeps)
    }

    /// Returns the minions that are up.
    pub fn minions(&self) -> Vec<Arc<Minion>> {
        let machines = self.machines.lock().expect("machines");
        machines
            .values()
            .filter_map(|machine| machine.minion.clone())
            .collect()
    }

    /// Brings back the machines whose move or upkeep is over.
    fn bring_back(&self) {
        let mut machines = self.machines.lock().expect("machines");
        for (name, machine) in machines.iter_mut() {
            if machine
                .away
                .is_some_and(|(_, until)| until <= Instant::now())
            {
                machine.away = None;
                machine.minion = Some(self.start_minion(name, machine.kind, machine.pool));
            }
        }
    }

    fn answer(&self, request: &Request) -> Answer {
        if self.is_down.load(Ordering::Relaxed) {
            return None;
        }
        std::thread::sleep(Duration::from_millis(4));
        let mut machines = self.machines.lock().expect("machines");
        match request.path.as_str() {
            "/-/machines" => Some((200, list(&machines))),
            "/-/machine-upkeep" | "/-/machine-move" => Some(self.order(&mut machines, request)),
            _ => Some((404, String::new())),
        }
    }

    fn order(&self, machines: &mut BTreeMap<String, Machine>, request: &Request) -> (u16, String) {
        let body = Json::parse(&request.body);
        let name = body.get("machine").text();
        let fence = request
            .header("x-fencing-token")
            .and_then(|text| text.parse().ok());
        let fence: u64 = fence.unwrap_or(0);
        let to = body.get("pool").text();
        let to = [JALPAI, GANGA].into_iter().find(|pool| *pool == to);
        let is_upkeep = request.path == "/-/machine-upkeep";
        let Some(machine) = machines.get_mut(name) else {
            return (400, String::new());
        };
        if fence < machine.fence {
            return (409, "{\"reason\":\"fence\"}".to_owned());
        }
        machine.fence = fence;
        let is_done = if is_upkeep {
            machine.upkeeps > 0
        } else {
            to == Some(machine.pool)
        };
        if is_done {
            return (200, "{}".to_owned());
        }
        if machine.away.is_some() {
            return (409, "{\"reason\":\"busy\"}".to_owned());
        }
        if is_upkeep {
            machine.upkeeps += 1;
            machine.away = Some(("upkeep", Instant::now() + UPKEEP));
        } else if let Some(to) = to {
            machine.pool = to;
            machine.away = Some(("moving", Instant::now() + MOVE));
        } else {
            return (400, String::new());
        }
        self.log.add(&format!(
            "platform: {} of {name} begins, pool {}",
            if is_upkeep { "upkeep" } else { "move" },
            machine.pool
        ));
        if let Some(minion) = machine.minion.take() {
            minion.end();
            self.store.remove("servers", &minion.id);
        }
        (200, "{}".to_owned())
    }
}

fn list(machines: &BTreeMap<String, Machine>) -> String {
    let rows = machines.iter().map(|(name, machine)| {
        let is_off = machine.minion.is_none();
        let state = machine
            .away
            .map_or(if is_off { "down" } else { "up" }, |(state, _)| state);
        let minion = machine.minion.as_ref().map_or("", |minion| &minion.id);
        format!(
            "{{\"machine\":{},\"pool\":\"{}\",\"state\":\"{state}\",\"zone\":\"howrah\",\
             \"labels\":[\"{}\",\"r1\"],\"capacity\":{{\"cpu\":64000,\"mem_mb\":131072,\"gpu\":0}},\
             \"id\":{}}}",
            quote(name),
            machine.pool,
            machine.kind,
            quote(minion)
        )
    });
    let rows: Vec<String> = rows.collect();
    format!("{{\"machines\":[{}],\"next_token\":\"\"}}", rows.join(","))
}
