//! A minion: runs under leases and fences, as PROTOCOL.md says.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::fleet::{Log, unix_ms};
use crate::http::{Answer, Request, listen};
use crate::json::{Json, quote};

/// The longest lease that a minion grants, and how long a stop takes.
const HOLD_MAX_MS: u64 = 10_000;
const STOP_MS: u64 = 300;

/// `checkpoint_interval_s` and `gang_ms` of the small sites.
const CHECKPOINT_MS: u64 = 1_000;
const GANG_MS: u64 = 3_000;

/// The spec of subtasks whose runs end `failed`.
pub const FAILING: &str = "fails";

/// What becomes of each subtask with this spec, over all minions.
#[derive(Default)]
pub struct Attempts(Mutex<BTreeMap<String, Attempt>>);

#[derive(Clone, Copy, Debug, Default)]
pub struct Attempt {
    pub starts: u32,
    /// The runs that have ended `failed`, and those of them that were taken note of.
    pub failed: u32,
    pub noted: u32,
    /// The starts after as many failed ends as the configuration allows.
    pub beyond: u32,
}

/// `max_attempts` of the queues.
const MAX_ATTEMPTS: u32 = 3;

impl Attempts {
    pub fn of(&self, task: &str) -> Attempt {
        let attempts = self.0.lock().expect("attempts");
        attempts.get(task).copied().unwrap_or_default()
    }

    fn update(&self, task: &str, change: impl Fn(&mut Attempt)) {
        let mut attempts = self.0.lock().expect("attempts");
        change(attempts.entry(task.to_owned()).or_default());
    }
}

/// The runs of gangs, which the members on all minions share, by ID.K.STEP and run.
#[derive(Default)]
pub struct Gangs(Mutex<BTreeMap<(String, u64), Gang>>);

#[derive(Default)]
struct Gang {
    members: Vec<String>,
    /// When all were present.
    began_at: Option<Instant>,
    /// The work that the checkpoints of its starts hold, in checkpoint intervals.
    resumed: Option<u64>,
    is_over: bool,
    /// Whether it ended `done`.
    is_done: bool,
}

impl Gang {
    fn work_ms(&self) -> u64 {
        let elapsed = self
            .began_at
            .map_or(0, |at| at.elapsed().as_millis() as u64);
        self.resumed.unwrap_or(0) * CHECKPOINT_MS + elapsed
    }

    /// The newest checkpoint, which is the same on all minions of the gang.
    fn checkpoint(&self) -> String {
        match self.work_ms() / CHECKPOINT_MS {
            0 => String::new(),
            units => format!("{units:016x}"),
        }
    }
}

/// Returns the size of a gang, which its spec tells.
fn gang_size(spec: &str) -> Option<usize> {
    spec.strip_prefix("gang-of-")?.parse().ok()
}

fn gang_key(task: &str, run: u64) -> (String, u64) {
    (
        task.rsplit_once('.')
            .map_or("", |(step, _)| step)
            .to_owned(),
        run,
    )
}

#[derive(Clone, Debug)]
pub struct Run {
    pub task: String,
    pub number: u64,
    spec: String,
    done_ms: u64,
    stop_ms: Option<u64>,
    started_ms: u64,
}

#[derive(Default)]
struct State {
    fence: u64,
    lease_until_ms: u64,
    runs: Vec<Run>,
    /// Number, task, run, how and saved.
    ends: Vec<(u64, String, u64, &'static str, String)>,
    last_end: u64,
    /// The highest run of each task that has started, ended or been stopped here.
    seen: Vec<(String, u64)>,
    has_crashed: bool,
    /// The spec of each start.
    specs: Vec<String>,
}

pub struct Minion {
    pub id: String,
    pub born: u64,
    started_at: Instant,
    /// How long a subtask takes.
    task_ms: u64,
    state: Mutex<State>,
    changed: Condvar,
    log: Arc<Log>,
    gangs: Arc<Gangs>,
    attempts: Arc<Attempts>,
}

impl Minion {
    /// Starts a minion, and returns it with its address.
    pub fn start(
        id: &str,
        task_ms: u64,
        log: &Arc<Log>,
        gangs: &Arc<Gangs>,
        attempts: &Arc<Attempts>,
    ) -> (Arc<Self>, SocketAddr) {
        let minion = Arc::new(Self {
            id: id.to_owned(),
            born: unix_ms(),
            started_at: Instant::now(),
            task_ms,
            state: Mutex::default(),
            changed: Condvar::new(),
            log: Arc::clone(log),
            gangs: Arc::clone(gangs),
            attempts: Arc::clone(attempts),
        });
        let served = Arc::clone(&minion);
        let address = listen(move |request| served.answer(request));
        (minion, address)
    }

    fn clock_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64 + 1_000
    }

    /// Crashes for good: everything that runs ends, and nothing is told any more.
    pub fn crash(&self) {
        self.log.add(&format!("DISRUPTION: {} crashes", self.id));
        self.end();
    }

    /// Ends with everything that runs, as at a move or an upkeep of its machine.
    pub fn end(&self) {
        let mut state = self.state.lock().expect("state");
        state.has_crashed = true;
        let mut gangs = self.gangs.0.lock().expect("gangs");
        for run in state.runs.drain(..) {
            if let Some(gang) = gangs.get_mut(&gang_key(&run.task, run.number)) {
                gang.is_over = true;
            }
        }
        self.changed.notify_all();
    }

    /// Returns how many starts had this spec.
    pub fn starts_of(&self, spec: &str) -> usize {
        let state = self.state.lock().expect("state");
        state
            .specs
            .iter()
            .filter(|started| *started == spec)
            .count()
    }

    /// Returns the number of runs.
    pub fn runs(&self) -> usize {
        self.state.lock().expect("state").runs.len()
    }

    fn answer(&self, request: &Request) -> Answer {
        if self.state.lock().expect("state").has_crashed {
            return Some((0, String::new()));
        }
        if request
            .header("x-expect-instance")
            .is_some_and(|id| id != self.id)
        {
            return Some((421, String::new()));
        }
        let body = Json::parse(&request.body);
        let answer = match request.path.as_str() {
            "/-/run-start" => self.start_run(&body),
            "/-/run-stop" => self.stop_run(&body),
            "/-/hold" => self.hold(&body),
            "/-/pace" => (200, format!("{{\"clock_ms\":{}}}", self.clock_ms())),
            _ => (404, String::new()),
        };
        if self.state.lock().expect("state").has_crashed {
            return Some((0, String::new()));
        }
        Some(answer)
    }

    fn refusal(&self, reason: &str) -> (u16, String) {
        (
            409,
            format!(
                "{{\"clock_ms\":{},\"reason\":\"{reason}\"}}",
                self.clock_ms()
            ),
        )
    }

    /// Ends the runs that are done, stopped or without a lease.
    fn settle(&self, state: &mut State) {
        let now_ms = self.clock_ms();
        let lease_ms = state.lease_until_ms;
        let runs = std::mem::take(&mut state.runs);
        for run in runs {
            let stop_ms = run.stop_ms.unwrap_or(u64::MAX);
            let own_end = if run.spec == FAILING {
                "failed"
            } else {
                "done"
            };
            let (mut how, mut at_ms) = [
                (own_end, run.done_ms),
                ("stopped", stop_ms),
                ("lapsed", lease_ms),
            ]
            .into_iter()
            .min_by_key(|(_, at_ms)| *at_ms)
            .unwrap_or(("lapsed", lease_ms));
            let mut saved = String::new();
            if gang_size(&run.spec).is_some() {
                let mut gangs = self.gangs.0.lock().expect("gangs");
                let gang = gangs.entry(gang_key(&run.task, run.number)).or_default();
                saved = gang.checkpoint();
                gang.is_done |= gang.began_at.is_some() && gang.work_ms() >= self.task_ms;
                if gang.is_done {
                    (how, at_ms) = ("done", now_ms);
                } else if gang.is_over {
                    (how, at_ms) = ("broken", now_ms);
                } else if gang.began_at.is_none() && now_ms > run.started_ms + GANG_MS {
                    (how, at_ms) = ("alone", now_ms);
                }
                gang.is_over |= at_ms <= now_ms;
            }
            if at_ms > now_ms {
                state.runs.push(run);
                continue;
            }
            if how == "failed" {
                self.attempts
                    .update(&run.task, |attempt| attempt.failed += 1);
            }
            state.last_end += 1;
            self.log.add(&format!(
                "minion={} ended task={} run={} how={how} saved={saved:?}",
                self.id, run.task, run.number
            ));
            state
                .ends
                .push((state.last_end, run.task, run.number, how, saved));
        }
    }

    /// Takes a fence; returns whether it is lower than one seen.
    fn is_fenced(state: &mut State, body: &Json) -> bool {
        let fence = body.get("fencing_token").number().unwrap_or(0);
        let is_lower = fence < state.fence;
        state.fence = state.fence.max(fence);
        is_lower
    }

    fn extend(&self, state: &mut State, body: &Json) {
        if let Some(until_ms) = body.get("deadline_ms").number() {
            let until_ms = until_ms.min(self.clock_ms() + HOLD_MAX_MS);
            state.lease_until_ms = state.lease_until_ms.max(until_ms);
        }
    }

    fn start_run(&self, body: &Json) -> (u16, String) {
        let mut state = self.state.lock().expect("state");
        self.settle(&mut state);
        if Self::is_fenced(&mut state, body) {
            return self.refusal("fence");
        }
        let now_ms = self.clock_ms();
        if body.get("deadline_ms").number().unwrap_or(0) < now_ms {
            return self.refusal("late");
        }
        self.extend(&mut state, body);
        let task = body.get("task").text().to_owned();
        let number = body.get("run").number().unwrap_or(0);
        if state
            .runs
            .iter()
            .any(|run| run.task == task && run.number == number)
        {
            return (200, format!("{{\"clock_ms\":{now_ms}}}"));
        }
        if state
            .seen
            .iter()
            .any(|(seen, last)| *seen == task && *last >= number)
        {
            return self.refusal("old");
        }
        let spec = body.get("spec").text().to_owned();
        let checkpoint = body.get("checkpoint").text();
        self.log.add(&format!(
            "minion={} started task={task} run={number} spec={} checkpoint={checkpoint:?}",
            self.id,
            quote(&spec)
        ));
        state.seen.push((task.clone(), number));
        state.specs.push(spec.clone());
        if spec == FAILING {
            self.attempts.update(&task, |attempt| {
                attempt.starts += 1;
                attempt.beyond += u32::from(attempt.failed >= MAX_ATTEMPTS);
            });
        }
        let mut done_ms = now_ms + self.task_ms;
        if let Some(size) = gang_size(&spec) {
            done_ms = u64::MAX;
            let resumed = u64::from_str_radix(checkpoint, 16).unwrap_or(0);
            let mut gangs = self.gangs.0.lock().expect("gangs");
            let gang = gangs.entry(gang_key(&task, number)).or_default();
            gang.members.push(checkpoint.to_owned());
            gang.resumed = Some(gang.resumed.map_or(resumed, |known| known.min(resumed)));
            if gang.members.len() == size {
                gang.began_at = Some(Instant::now());
            }
        }
        let started_ms = now_ms;
        state.runs.push(Run {
            task,
            number,
            spec,
            done_ms,
            stop_ms: None,
            started_ms,
        });
        self.changed.notify_all();
        (200, format!("{{\"clock_ms\":{now_ms}}}"))
    }

    fn stop_run(&self, body: &Json) -> (u16, String) {
        let mut state = self.state.lock().expect("state");
        self.settle(&mut state);
        if Self::is_fenced(&mut state, body) {
            return self.refusal("fence");
        }
        let (task, number) = (
            body.get("task").text(),
            body.get("run").number().unwrap_or(0),
        );
        let stop_ms = self.clock_ms() + STOP_MS;
        let found = state
            .runs
            .iter_mut()
            .find(|run| run.task == task && run.number == number);
        if let Some(run) = found {
            run.stop_ms.get_or_insert(stop_ms);
        } else {
            state.seen.push((task.to_owned(), number));
        }
        (200, format!("{{\"clock_ms\":{}}}", self.clock_ms()))
    }

    fn hold(&self, body: &Json) -> (u16, String) {
        let wait_ms = body.get("wait_ms").number().unwrap_or(0).min(2_000);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.state.lock().expect("state");
        self.settle(&mut state);
        if Self::is_fenced(&mut state, body) {
            return self.refusal("fence");
        }
        self.extend(&mut state, body);
        let cursor = body.get("ack_cursor").number().unwrap_or(0);
        for (number, task, run, how, _) in &state.ends {
            if *how == "failed" && *number <= cursor {
                self.log
                    .add(&format!("minion={} noted task={task} run={run}", self.id));
                self.attempts.update(task, |attempt| attempt.noted += 1);
            }
        }
        state.ends.retain(|(number, ..)| *number > cursor);
        loop {
            self.settle(&mut state);
            if !state.ends.is_empty() || state.has_crashed || Instant::now() >= until {
                break;
            }
            let pause = Duration::from_millis(10);
            state = self.changed.wait_timeout(state, pause).expect("state").0;
        }
        let now_ms = self.clock_ms();
        let running = state.runs.iter().map(|run| {
            let mut left = run.done_ms.saturating_sub(now_ms).min(self.task_ms);
            let mut saved = String::new();
            if gang_size(&run.spec).is_some() {
                let gangs = self.gangs.0.lock().expect("gangs");
                if let Some(gang) = gangs.get(&gang_key(&run.task, run.number)) {
                    left = self.task_ms.saturating_sub(gang.work_ms());
                    saved = gang.checkpoint();
                }
            }
            let percent = 100 - left * 100 / self.task_ms.max(1);
            format!(
                "[{},{},\"{saved}\",{percent},0]",
                quote(&run.task),
                run.number
            )
        });
        let running: Vec<String> = running.collect();
        let ends = state.ends.iter().take(500);
        let ends = ends.map(|(number, task, run, how, saved)| {
            format!("[{number},{},{run},\"{how}\",\"{saved}\"]", quote(task))
        });
        let ends: Vec<String> = ends.collect();
        let body = format!(
            "{{\"clock_ms\":{now_ms},\"born\":{},\"running\":[{}],\"finished\":[{}]}}",
            self.born,
            running.join(","),
            ends.join(",")
        );
        (200, body)
    }
}

impl Gangs {
    /// Returns the runs of gangs whose members were started with different checkpoints.
    pub fn at_odds(&self) -> Vec<String> {
        let gangs = self.0.lock().expect("gangs");
        let at_odds = gangs.iter().filter(|(_, gang)| {
            gang.members
                .iter()
                .any(|checkpoint| *checkpoint != gang.members[0])
        });
        at_odds
            .map(|((step, run), gang)| format!("{step} run {run}: {:?}", gang.members))
            .collect()
    }
}
