//! A simulation in virtual time of an owner and its environment under trouble, followed by calm:
//! every hand-over of a cancel must end the submission's runs.
#![allow(dead_code, reason = "the checks use a part of each state")]

pub(crate) mod checks;
pub(crate) mod client;
pub(crate) mod faults;
mod former;
mod network;
mod places;
mod scenario;
pub(crate) mod trace;
pub(crate) mod worker;
mod zones;

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rhubarbfall_core::{AvailabilityZoneId, BootTime, RowVersion, SubmissionId, WorkerId};
use rhubarbfall_runs::scheduler::{
    Action, Batch, SchedulerSettings, StoredJob, VmOperation, VmRow, Wave,
};
use rhubarbfall_runs::{
    FleetConfig, RunEnd, RunEndKind, Scheduler, WorkerReport, decode_progress, decode_submission,
    decode_wave,
};

use client::Client;
use faults::Trouble;
use former::Former;
use network::{Message, RenewalLoop, Reply, SentCall};
use places::Vm;
use worker::Process;
use zones::{EVACUATION_BOUND, Zones};

/// The virtual time of one simulation step.
pub(crate) const STEP: Duration = Duration::from_millis(10);

/// The time that a gang waits for its members.
const GANG_WAIT: Duration = Duration::from_secs(4);

/// The longest lease of an earlier owner, as a new owner counts it.
const INHERITED_LEASE: Duration = Duration::from_secs(10);

/// The longest lease that a confirmed ownership allows.
const MAX_LEASE: Duration = Duration::from_millis(9_200);

/// A task that has two runs at the same time; the simulation goes on, since the scheduler stops
/// one of them.
pub(crate) const DOUBLE_RUN: &str = "double run";

/// A task of an ended submission that stays placed; the simulation goes on.
pub(crate) const STUCK_TASK: &str = "stuck task";

/// The end of a run that has done its task, which its worker forgets before it is stored.
pub(crate) const FORGOTTEN_END: &str = "forgotten end";

/// Returns the scheduler's settings, with a retention after which a simulation still goes on.
fn settings(trouble: &[Trouble]) -> SchedulerSettings {
    let has_zones = trouble.contains(&Trouble::Zones);
    SchedulerSettings {
        evacuation_bound: has_zones.then_some(EVACUATION_BOUND),
        ended_retention: Duration::from_secs(12),
        ..SchedulerSettings::default()
    }
}

/// Something that happens at a given time.
#[derive(Debug, Clone)]
enum Event {
    Deliver(u64, SentCall, Option<Duration>),
    Answer(u64, Reply),
    Timeout(u64),
    Wake(u64, usize),
    BatchStored(u64, Batch),
    Row(u64, RowChange),
    VmList(u64, Vec<VmRow>, BootTime),
    VmCall(u64, String, VmOperation, bool),
    VmAnswer(u64, String, Option<bool>),
    /// A view of the evacuated zones, when it was requested, and whether the answer arrives.
    Zones((Vec<AvailabilityZoneId>, BootTime), bool),
}

/// A change in the worker list.
#[derive(Debug, Clone)]
enum RowChange {
    Listed(WorkerReport),
    Removed(WorkerId),
}

/// The stored rows.
#[derive(Debug, Clone, Default)]
struct Store {
    version: u64,
    submissions: BTreeMap<SubmissionId, Vec<u8>>,
    progress: BTreeMap<SubmissionId, (Vec<u8>, u64)>,
    waves: BTreeMap<String, (Vec<u8>, u64)>,
}

pub(crate) struct World {
    pub(crate) now: BootTime,
    pub(crate) scheduler: Scheduler,
    /// The fencing number of the owner.
    pub(crate) epoch: u64,
    pub(crate) processes: Vec<Process>,
    pub(crate) clients: Vec<Client>,
    /// The kinds of violations found, with the first of each.
    pub(crate) violations: BTreeMap<&'static str, String>,
    pub(crate) starts: u64,
    pub(crate) stops: u64,
    rng: ChaCha8Rng,
    trouble: Vec<Trouble>,
    is_calm: bool,
    calm_since: BootTime,
    events: BTreeMap<(BootTime, u64), Event>,
    next_event: u64,
    calls: BTreeMap<u64, SentCall>,
    loops: Vec<RenewalLoop>,
    /// The loop whose client orders to a worker use.
    order_clients: BTreeMap<WorkerId, usize>,
    is_batch_in_flight: bool,
    /// Whether a batch was stored since the waiting callers were looked at.
    has_stored: bool,
    former: Option<Box<Former>>,
    paused_until: BootTime,
    next_tick: BootTime,
    store: Store,
    vms: Vec<Vm>,
    vms_listed_at: BootTime,
    waves: Vec<Wave>,
    zones: Zones,
    config: FleetConfig,
    full_config: FleetConfig,
    rows_until: BootTime,
    next_id: u64,
    next_port: u16,
    next_submission: u64,
    gang_work: BTreeMap<(SubmissionId, u16, u64), (Duration, bool)>,
}

impl World {
    pub(crate) fn new(seed: u64, trouble: &[Trouble]) -> Self {
        let config = crate::model::config(&["q-a", "q-b", "spare"]);
        let mut world = Self {
            now: BootTime::new(Duration::from_secs(100)),
            scheduler: Scheduler::new(settings(trouble)),
            epoch: 1,
            processes: Vec::new(),
            clients: Vec::new(),
            violations: BTreeMap::new(),
            starts: 0,
            stops: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            trouble: trouble.to_vec(),
            is_calm: true,
            calm_since: BootTime::default(),
            events: BTreeMap::new(),
            next_event: 0,
            calls: BTreeMap::new(),
            loops: Vec::new(),
            order_clients: BTreeMap::new(),
            is_batch_in_flight: false,
            has_stored: false,
            former: None,
            paused_until: BootTime::default(),
            next_tick: BootTime::default(),
            store: Store::default(),
            vms: Vec::new(),
            vms_listed_at: BootTime::default(),
            waves: Vec::new(),
            zones: Zones::new(),
            config: config.clone(),
            full_config: config.clone(),
            rows_until: BootTime::default(),
            next_id: 0,
            next_port: 1_000,
            next_submission: 0,
            gang_work: BTreeMap::new(),
        };
        world.scheduler.set_config(config.into());
        for vm in 0..9 {
            world.add_vm(["q-a", "q-b", "q-a"][vm % 3], vm < 8);
        }
        world
    }

    fn has(&self, trouble: Trouble) -> bool {
        self.trouble.contains(&trouble)
    }

    fn has_now(&self, trouble: Trouble) -> bool {
        !self.is_calm && self.has(trouble)
    }

    fn chance(&mut self, per_second: f64) -> bool {
        self.rng.random_bool(per_second * STEP.as_secs_f64())
    }

    fn millis(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(range))
    }

    fn at(&mut self, at: BootTime, event: Event) {
        self.next_event += 1;
        self.events.insert((at, self.next_event), event);
    }

    fn violation(&mut self, kind: &'static str, text: &str) {
        let now = self.now;
        self.violations
            .entry(kind)
            .or_insert_with(|| format!("{now}: {text}"));
    }

    /// Returns the number of submissions that have ended for their callers.
    pub(crate) fn over(&self) -> usize {
        let is_over = |client: &&Client| client.over_since().is_some();
        self.clients.iter().filter(is_over).count()
    }

    /// Runs a time of trouble and a time of calm.
    pub(crate) fn cycle(&mut self) {
        self.is_calm = false;
        let trouble = self.millis(1_500..7_000);
        self.run_for(trouble);
        self.begin_calm();
        self.run_for(Duration::from_secs(11));
        let (now, calm_since) = (self.now, self.calm_since);
        if let Some(text) = checks::stuck_task(&self.scheduler, &self.clients, calm_since, now) {
            self.violation(STUCK_TASK, &text);
        }
        // A stuck task also keeps its customer's limit, and a simulation that ended early proves
        // nothing.
        if self.violations.is_empty()
            && let Some(text) = checks::customer_usage(&self.scheduler)
        {
            self.violation("usage", &text);
        }
    }

    pub(crate) fn run_for(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end
            && self
                .violations
                .keys()
                .all(|kind| [DOUBLE_RUN, STUCK_TASK].contains(kind))
        {
            self.step();
        }
    }

    fn begin_calm(&mut self) {
        self.is_calm = true;
        self.calm_since = self.now;
        self.paused_until = self.now;
        for process in &mut self.processes {
            process.cut_until = self.now;
        }
        self.publish_all();
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        let now = self.now;
        self.act();
        self.advance_processes();
        while let Some(entry) = self
            .events
            .first_entry()
            .filter(|first| first.key().0 <= now)
        {
            let event = entry.remove();
            self.handle_of_either(event);
            self.check_books();
        }
        let is_active = self.paused_until <= now;
        if is_active {
            self.scheduler.confirm_ownership(now + MAX_LEASE);
            let has_stored = std::mem::take(&mut self.has_stored);
            for index in 0..self.clients.len() {
                let client = &mut self.clients[index];
                if let Some(text) = client.step(&mut self.scheduler, self.epoch, has_stored, now) {
                    self.violation("answer", &text);
                }
            }
            if self.next_tick <= now {
                self.next_tick = now + Duration::from_millis(20);
                self.scheduler.tick(now, now.as_millis());
                self.check_books();
            }
        }
        self.execute(is_active);
        self.store_next();
        self.list_vms();
        self.poll_zones();
        self.check();
    }

    fn check_books(&mut self) {
        if let Some(text) = checks::bookkeeping(&self.scheduler) {
            self.violation("books", &text);
        }
    }

    fn check(&mut self) {
        let (now, calm_since) = (self.now, self.calm_since);
        if self.is_calm
            && let Some(text) = checks::ended_runs(
                &self.processes,
                &self.clients,
                &self.scheduler,
                calm_since,
                now,
            )
        {
            self.violation("ended", &text);
        }
        if let Some(text) = checks::double_run(&self.processes) {
            self.violation(DOUBLE_RUN, &text);
        }
    }

    /// Describes the end of a run if its task was done by it and the store does not know.
    fn forgotten_end(&self, end: &RunEnd) -> Option<String> {
        let (bytes, _) = self.store.progress.get(&end.task.submission)?;
        let progress = decode_progress(bytes).expect("valid progress record");
        let client = self
            .clients
            .iter()
            .find(|client| client.submission.id == end.task.submission)?;
        let step = &client.submission.steps[usize::from(end.task.step)];
        let task = &end.task;
        let position = (task.occurrence, task.step, task.index);
        let is_known = progress.state.is_final()
            || progress.done.contains(&position)
            || task.occurrence < progress.done_occurrences;
        let was_done = end.kind == RunEndKind::Done && !step.is_long_running;
        (was_done && !is_known).then(|| format!("{end:?} is forgotten before it is stored"))
    }

    fn advance_processes(&mut self) {
        let now = self.now;
        self.advance_gangs();
        let mut answers = Vec::new();
        for process in &mut self.processes {
            let due = process.advance(now, STEP);
            if !due.is_empty() {
                let response = process.response(now);
                let is_cut = process.cut_until > now;
                answers.extend(
                    due.into_iter()
                        .map(|parked| (parked, response.clone(), is_cut)),
                );
            }
        }
        for (parked, response, is_cut) in answers {
            if let Some(delay) = parked.reply_delay.filter(|_| !is_cut) {
                self.at(
                    now + delay,
                    Event::Answer(parked.call, Reply::Renewal(response)),
                );
            }
        }
        let is_leaving = |process: &Process| process.leaves_at.is_some_and(|at| at <= now);
        for index in (0..self.processes.len()).rev() {
            if is_leaving(&self.processes[index]) {
                self.end_process(index, true);
            }
        }
    }

    fn advance_gangs(&mut self) {
        let now = self.now;
        let mut present: BTreeMap<(SubmissionId, u16, u64), u32> = BTreeMap::new();
        for run in self.processes.iter().flat_map(|process| &process.runs) {
            if run.is_gang {
                let key = (run.task.submission.clone(), run.task.step, run.run);
                *present.entry(key).or_default() += 1;
            }
        }
        for (key, count) in present {
            let Some(client) = self.clients.iter().find(|one| one.submission.id == key.0) else {
                continue;
            };
            let members = client.submission.steps[usize::from(key.1)].tasks;
            let duration = client.duration;
            let (worked, was_complete) = self.gang_work.entry(key.clone()).or_default();
            *was_complete |= count == members;
            if count == members {
                *worked += STEP;
            }
            let (is_done, is_broken) = (*worked >= duration, *was_complete && count < members);
            for process in &mut self.processes {
                process.end_runs(|run| {
                    if (&run.task.submission, run.task.step, run.run) != (&key.0, key.1, key.2) {
                        None
                    } else if is_done {
                        Some(RunEndKind::Done)
                    } else if is_broken {
                        Some(RunEndKind::GangBroken)
                    } else if count < members && now.since(run.started_at) > GANG_WAIT {
                        Some(RunEndKind::GangIncomplete)
                    } else {
                        None
                    }
                });
            }
        }
    }

    fn execute(&mut self, is_active: bool) {
        for action in self.scheduler.take_actions() {
            match action {
                Action::Start(order) if is_active => {
                    self.send_order(&order.worker.clone(), Message::Start(order));
                }
                Action::Start(order) => self.start_not_sent(&order),
                Action::Stop(order) => {
                    self.stops += 1;
                    self.send_order(&order.worker.clone(), Message::Stop(order));
                }
                Action::Pace(_) | Action::Advise { .. } => {}
                Action::Vm { vm, operation } => self.call_vm(&vm, operation, is_active),
            }
        }
    }

    fn store_next(&mut self) {
        if self.is_batch_in_flight || self.paused_until > self.now {
            return;
        }
        let Some(batch) = self.scheduler.next_batch() else {
            return;
        };
        self.is_batch_in_flight = true;
        let mut takes = self.millis(10..40);
        if self.has_now(Trouble::Store) && self.rng.random_bool(0.2) {
            takes = self.millis(100..2_500);
        }
        self.at(self.now + takes, Event::BatchStored(self.epoch, batch));
    }

    fn apply_batch(&mut self, batch: &Batch) -> RowVersion {
        self.store.version += 1;
        let version = self.store.version;
        for row in &batch.rows {
            if let Some(submission) = &row.submission {
                let id = row.id.clone();
                self.store.submissions.insert(id, submission.clone());
            }
            if let Some(progress) = &row.progress {
                let stored = (progress.clone(), version);
                self.store.progress.insert(row.id.clone(), stored);
            }
        }
        for wave in &batch.waves {
            let stored = (wave.progress.clone(), version);
            self.store.waves.insert(wave.id.to_string(), stored);
        }
        RowVersion::new(version)
    }

    /// Replaces the owner by one that knows what is stored.
    pub(crate) fn change_owner(&mut self) {
        // A batch in flight may be stored or not.
        let in_flight = self.events.values().find_map(|event| match event {
            Event::BatchStored(epoch, batch) if *epoch == self.epoch => Some(batch.clone()),
            _ => None,
        });
        if let Some(batch) = in_flight
            && self.rng.random_bool(0.5)
        {
            self.apply_batch(&batch);
        }
        self.retire_owner();
        self.is_batch_in_flight = false;
        self.scheduler.set_config(self.config.clone().into());
        let stored = self.store.submissions.iter().map(|(id, bytes)| StoredJob {
            submission: decode_submission(bytes).expect("valid submission record"),
            progress: self.store.progress.get(id).map(|(bytes, version)| {
                let progress = decode_progress(bytes).expect("valid progress record");
                (progress, RowVersion::new(*version))
            }),
        });
        let stored: Vec<StoredJob> = stored.collect();
        let (now, unix_ms) = (self.now, self.now.as_millis());
        self.scheduler
            .recover(stored, now + INHERITED_LEASE, now, unix_ms);
        for wave in self.waves.clone() {
            let stored = self.store.waves.get(wave.id.as_str());
            let stored = stored.map(|(bytes, version)| {
                let progress = decode_wave(bytes).expect("valid wave record");
                (progress, RowVersion::new(*version))
            });
            self.scheduler.wave_requested(wave, stored, now, unix_ms);
        }
        if self.has(Trouble::Zones) && self.rng.random_bool(0.5) {
            self.pass_zones();
        }
        self.publish_all();
    }
}
