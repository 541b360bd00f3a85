//! A randomized soak test: entries run as separate processes against a stand-in of the users'
//! platform while faults are injected; the guarantees are checked at callers and workers.
//!
//! `cargo test --release -p rhubarbfall --test soak -- --seed 7` runs one seed, `--seeds 50` runs
//! fifty from `--first`, and without either the regression seeds and a few more are run. `--cells 2` divides
//! the fleet into two cells; with `--restarts` workers start again under their identifiers, in series;
//! with `--evacuations` availability zones are evacuated and taken back; with `--schedules` schedules are
//! handed in that are a million occurrences behind.

mod callers;
mod cancels;
mod checker;
mod disturbances;
mod entry;
mod evacuations;
mod faults;
mod fleet;
mod overdue;
mod restarts;
#[path = "../../../platform/tests/stand_in/mod.rs"]
mod stand_in;
#[path = "../support/mod.rs"]
mod support;

use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rhubarbfall_testing::{Relay, RelayMode};
use stand_in::StandInSite;
use tokio::task::JoinHandle;

use callers::CallerHistory;
use checker::{ACK_BOUND, SETTLE_TIME, SoakVerdict};
use disturbances::DisturbanceLog;
use entry::Entries;
use evacuations::{EVACUATION_BOUND_MS, Evacuation, EvacuationLog};
use faults::Fault;
use fleet::{Fleet, FleetChange};
use overdue::OverdueSchedules;
use restarts::RestartSeries;

/// Seeds that failed before, each with the cause. CI runs them every time.
const REGRESSION_SEEDS: [(u64, &str); 4] = [
    (
        104,
        "a worker's responses were dropped until its leases expired: the check counted a run as \
         done although its end was never acknowledged",
    ),
    (120, "the same cause as seed 104"),
    (
        1_003,
        "a cancel was answered as unknown, because its submission had not arrived yet; the \
         submission arrived later, was accepted and ran on",
    ),
    (
        3_008,
        "an entry dropped a cancel whose caller had left, or whose delivery had found no owner",
    ),
];

/// Further seeds that CI runs.
const CI_SEEDS: [u64; 2] = [1, 2];

/// Seeds that CI runs with the fleet divided, each with the number of cells.
const CI_CELL_SEEDS: [(u64, usize); 2] = [(1, 2), (2, 3)];

/// Seeds that CI runs with restarts of workers.
const CI_RESTART_SEEDS: [u64; 2] = [1, 2];

/// Seeds that CI runs with overdue schedules.
const CI_SCHEDULE_SEEDS: [u64; 1] = [2];

/// Seeds that CI runs with evacuations.
const CI_EVACUATION_SEEDS: [u64; 2] = [1, 3];

/// The number of workers that each cell of a divided fleet has at first.
const WORKERS_PER_CELL: usize = 5;

/// The number of racks that each cell of a divided fleet has.
const RACKS_PER_CELL: usize = 2;

/// The number of workers below which none leaves. A divided fleet keeps all but two, so that each
/// cell has some.
const MIN_WORKERS: usize = 4;

/// The time within which a fleet is divided.
const DIVISION_TIMEOUT: Duration = Duration::from_secs(10);

/// The time for which faults are injected.
const FAULT_DURATION: Duration = Duration::from_secs(12);

/// The time that submissions may take to complete after the last fault: it covers the longest lease
/// and their tasks.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(30);

/// The duration of a task with even and with odd seeds. Short tasks end while their worker is
/// unreachable; long ones still run when a new owner may consider them lost.
const TASK_DURATIONS: [Duration; 2] = [Duration::from_millis(600), Duration::from_millis(2_400)];

/// Divides the number of callers if tasks are long, since workers complete a quarter as many then.
const LONG_TASK_CALLER_DIVISOR: usize = 4;

/// The number of workers that are away at first.
const SPARE_WORKERS: usize = 2;

/// The number of callers that cancel their submissions.
const CANCELLING_CALLERS: usize = 4;

/// The number of callers that cancel and leave without the answer.
const LEAVING_CALLERS: usize = 2;

/// Every fifth seed plays no faults of entries and of the store, so that nothing but the faults of
/// its own worker excuses a run of cancelled work.
const PLANNED_SEED_PERIOD: u64 = 5;
const PLANNED_SEED_REMAINDER: u64 = 3;

const TEST_NAME: &str = "soak_keeps_the_promises";

/// The size of the fleet and the number of callers.
#[derive(Debug, Clone, Copy)]
struct SoakConfig {
    entries: usize,
    workers: usize,
    callers: usize,
    cells: usize,
    /// Whether workers start again under their identifiers, in series.
    has_restarts: bool,
    /// Whether availability zones are evacuated and taken back.
    has_evacuations: bool,
    /// Whether overdue schedules are handed in.
    has_schedules: bool,
}

impl SoakConfig {
    /// Returns this size with the fleet divided into cells.
    fn with_cells(self, cells: usize) -> Self {
        if cells < 2 {
            return self;
        }
        let workers = self.workers.max(cells * WORKERS_PER_CELL);
        Self {
            workers,
            cells,
            ..self
        }
    }

    const fn is_divided(&self) -> bool {
        self.cells > 1
    }

    const fn racks(&self) -> usize {
        if self.is_divided() {
            self.cells * RACKS_PER_CELL
        } else {
            1
        }
    }

    const fn min_workers(&self) -> usize {
        if self.is_divided() {
            self.workers - 2
        } else {
            MIN_WORKERS
        }
    }

    /// Returns for how long zones are evacuated and taken back.
    const fn evacuation_duration(&self) -> Duration {
        if self.has_evacuations {
            FAULT_DURATION
        } else {
            Duration::ZERO
        }
    }

    /// Returns the time that submissions may take to complete after the last fault. Those that could not
    /// start for the evacuations run after them.
    fn completion_timeout(&self) -> Duration {
        COMPLETION_TIMEOUT + self.evacuation_duration()
    }

    /// Returns the number of overdue schedules that are handed in.
    const fn schedules(&self) -> usize {
        if self.has_schedules {
            overdue::SCHEDULES
        } else {
            0
        }
    }

    /// Returns for how long workers restart.
    const fn restart_duration(&self) -> Duration {
        if self.has_restarts {
            FAULT_DURATION
        } else {
            Duration::ZERO
        }
    }

    /// Returns the settings that divide the fleet.
    fn settings(&self) -> String {
        let settings = if self.has_evacuations {
            format!("evacuation_bound_ms = {EVACUATION_BOUND_MS}\n")
        } else {
            String::new()
        };
        if !self.is_divided() {
            return settings;
        }
        let vms = self.workers + SPARE_WORKERS;
        let per_cell = vms / self.cells;
        settings + &format!("min_divided_vms = {vms}\nvms_per_cell = {per_cell}\n")
    }
}

/// One run of the soak.
#[derive(Debug, Clone, Copy)]
struct SoakRun {
    seed: u64,
    cells: usize,
    has_restarts: bool,
    has_evacuations: bool,
    has_schedules: bool,
}

impl SoakRun {
    const fn new(seed: u64, cells: usize) -> Self {
        Self {
            seed,
            cells,
            has_restarts: false,
            has_evacuations: false,
            has_schedules: false,
        }
    }
}

fn main() -> ExitCode {
    let arguments = command().get_matches();
    if arguments.get_flag("list") {
        println!("{TEST_NAME}: test");
        return ExitCode::SUCCESS;
    }
    if !is_selected(&arguments) {
        return ExitCode::SUCCESS;
    }
    let first = arguments.get_one::<u64>("first").copied().unwrap_or(1_000);
    let cells = arguments.get_one::<usize>("cells").copied().unwrap_or(1);
    let has_restarts = arguments.get_flag("restarts");
    let has_evacuations = arguments.get_flag("evacuations");
    let has_schedules = arguments.get_flag("schedules");
    let with_flags = |seed| SoakRun {
        has_restarts,
        has_evacuations,
        has_schedules,
        ..SoakRun::new(seed, cells)
    };
    let runs: Vec<SoakRun> = match (
        arguments.get_one::<u64>("seed"),
        arguments.get_one::<u64>("seeds"),
    ) {
        (Some(seed), _) => vec![with_flags(*seed)],
        (None, Some(count)) => (first..first + count).map(with_flags).collect(),
        (None, None) => REGRESSION_SEEDS
            .iter()
            .map(|(seed, _)| *seed)
            .chain(CI_SEEDS)
            .map(|seed| SoakRun::new(seed, cells))
            .chain(CI_CELL_SEEDS.map(|(seed, cells)| SoakRun::new(seed, cells)))
            .chain(CI_RESTART_SEEDS.map(|seed| SoakRun {
                has_restarts: true,
                ..SoakRun::new(seed, cells)
            }))
            .chain(CI_EVACUATION_SEEDS.map(|seed| SoakRun {
                has_evacuations: true,
                ..SoakRun::new(seed, cells)
            }))
            .chain(CI_SCHEDULE_SEEDS.map(|seed| SoakRun {
                has_schedules: true,
                ..SoakRun::new(seed, cells)
            }))
            .collect(),
    };
    let config = SoakConfig {
        entries: arguments.get_one::<usize>("entries").copied().unwrap_or(4),
        workers: arguments.get_one::<usize>("workers").copied().unwrap_or(6),
        callers: arguments.get_one::<usize>("callers").copied().unwrap_or(8),
        cells: 1,
        has_restarts: false,
        has_evacuations: false,
        has_schedules: false,
    };
    let runtime = tokio::runtime::Runtime::new().expect("the runtime starts");
    let failed: Vec<SoakRun> = runs
        .iter()
        .copied()
        .filter(|run| {
            let config = SoakConfig {
                has_restarts: run.has_restarts,
                has_evacuations: run.has_evacuations,
                has_schedules: run.has_schedules,
                ..config.with_cells(run.cells)
            };
            !runtime.block_on(run_seed(run.seed, config))
        })
        .collect();
    println!(
        "{} passed, {} failed",
        runs.len() - failed.len(),
        failed.len()
    );
    if failed.is_empty() {
        ExitCode::SUCCESS
    } else {
        println!("failed: {failed:?}");
        ExitCode::FAILURE
    }
}

fn command() -> Command {
    let number = |name: &'static str| {
        Arg::new(name)
            .long(name)
            .value_parser(value_parser!(u64))
            .num_args(1)
    };
    let count = |name: &'static str| {
        Arg::new(name)
            .long(name)
            .value_parser(value_parser!(usize))
            .num_args(1)
    };
    let flag = |name: &'static str| Arg::new(name).long(name).action(ArgAction::SetTrue);
    Command::new("soak")
        .arg(number("seed"))
        .arg(number("seeds"))
        .arg(number("first"))
        .arg(count("entries"))
        .arg(count("workers"))
        .arg(count("callers"))
        .arg(count("cells"))
        .arg(flag("restarts"))
        .arg(flag("evacuations"))
        .arg(flag("schedules"))
        // Arguments that the test harness of the workspace passes to every test program.
        .arg(flag("list"))
        .arg(flag("exact"))
        .arg(flag("nocapture"))
        .arg(Arg::new("skip").long("skip").action(ArgAction::Append))
        .arg(Arg::new("filter").action(ArgAction::Append))
}

fn is_selected(arguments: &ArgMatches) -> bool {
    let named = |id: &str| {
        arguments
            .get_many::<String>(id)
            .map(|names| names.cloned().collect::<Vec<String>>())
    };
    let is_named = named("filter").is_none_or(|names| names.iter().any(|name| name == TEST_NAME));
    is_named
        && !named("skip")
            .unwrap_or_default()
            .contains(&TEST_NAME.to_owned())
}

/// Runs one seed and returns whether every guarantee held.
async fn run_seed(seed: u64, config: SoakConfig) -> bool {
    let started_at = Instant::now();
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let is_long = !seed.is_multiple_of(2);
    let task_duration = TASK_DURATIONS[usize::from(is_long)];
    let callers = if is_long {
        config.callers.div_ceil(LONG_TASK_CALLER_DIVISOR)
    } else {
        config.callers
    };
    let site = start_site(config, task_duration).await;
    let worker_relays = start_worker_relays(&site, config.workers + SPARE_WORKERS).await;
    let disturbances = Arc::new(DisturbanceLog::default());
    let fleet = Arc::new(Fleet::new(
        site.clone(),
        Arc::clone(&disturbances),
        config.workers,
        SPARE_WORKERS,
        config.min_workers(),
    ));
    let settings = config.settings();
    let entries = Entries::start(&site, seed, config.entries, &settings, &disturbances).await;
    let entries = Arc::new(entries);
    if config.is_divided() {
        wait_until_divided(&site).await;
    }
    let history = Arc::new(CallerHistory::default());
    let shared = (Arc::clone(&entries), Arc::clone(&history));
    let submitting = spawn_callers(callers, &mut rng, &shared, callers::run);
    let is_planned = seed % PLANNED_SEED_PERIOD == PLANNED_SEED_REMAINDER;
    let mut schedule = faults::schedule(&mut rng, FAULT_DURATION, config.entries, config.workers);
    if is_planned {
        schedule.retain(Fault::excuses_one_worker_at_most);
    }
    let cancelling = spawn_callers(CANCELLING_CALLERS, &mut rng, &shared, cancels::run);
    let changes = fleet::schedule(&mut rng, FAULT_DURATION, worker_relays.len());
    let leaving = spawn_callers(LEAVING_CALLERS, &mut rng, &shared, cancels::run_leaving);
    let restarts = restarts::schedule(&mut rng, config.restart_duration(), config.workers);
    let evacuations = evacuations::schedule(&mut rng, config.evacuation_duration());
    let evacuation_log = EvacuationLog::default();
    let overdue = OverdueSchedules::start(config.schedules(), &entries, &history);
    let faults_end = tokio::time::Instant::now() + FAULT_DURATION;
    tokio::join!(
        async {
            faults::inject(&schedule, &entries, &site, &worker_relays, &disturbances).await;
            tokio::time::sleep_until(faults_end).await;
            end_faults(&entries, &site, &worker_relays).await;
        },
        fleet.play(&changes),
        restarts::play(&restarts, &fleet, &worker_relays),
        evacuations::play(&evacuations, &site, &evacuation_log),
    );
    history.stop();
    for caller in submitting.into_iter().chain(cancelling).chain(leaving) {
        caller.await.expect("the caller's task ends");
    }
    let overdue = overdue.finish().await;
    callers::wait_completed(&entries, &history, config.completion_timeout()).await;
    let last_event = last_event(&history, &disturbances).unwrap_or(started_at);
    tokio::time::sleep_until((last_event + SETTLE_TIME).into()).await;
    let mut verdict = checker::check_history(&history, &entries, &site, &disturbances);
    checker::check_evacuations(&mut verdict, &site, &evacuation_log);
    checker::check_overdue(&mut verdict, &overdue);
    let elapsed = started_at.elapsed();
    println!(
        "seed {seed}, cells {}: {} in {elapsed:.1?}; {}",
        config.cells,
        verdict.summary(),
        history.summary()
    );
    if !verdict.violations.is_empty() {
        print_plan(&schedule, &changes, &restarts, &evacuations);
        print_violations(seed, config, &verdict, &entries);
    }
    entries.kill_all();
    verdict.violations.is_empty()
}

/// Returns the time of the last disturbance or cancel.
fn last_event(history: &CallerHistory, disturbances: &DisturbanceLog) -> Option<Instant> {
    let last_due = history
        .last_left_cancel()
        .map(|sent_at| disturbances.calm_for(sent_at, ACK_BOUND));
    disturbances
        .last_end()
        .max(history.last_cancel())
        .max(last_due)
}

fn print_plan(
    faults: &[Fault],
    changes: &[FleetChange],
    restarts: &[RestartSeries],
    evacuations: &[Evacuation],
) {
    for fault in faults {
        println!("  fault: {fault:?}");
    }
    for change in changes {
        println!("  change: {change:?}");
    }
    for series in restarts {
        println!("  restarts: {series:?}");
    }
    for evacuation in evacuations {
        println!("  evacuation: {evacuation:?}");
    }
}

fn print_violations(seed: u64, config: SoakConfig, verdict: &SoakVerdict, entries: &Entries) {
    for violation in &verdict.violations {
        println!("  broken: {violation}");
    }
    println!("  logs: {}", entries.keep_logs().display());
    let flag = |is_set: bool, name: &'static str| if is_set { name } else { "" };
    println!(
        "  again: cargo test --release -p rhubarbfall --test soak -- --seed {seed} --cells {}{}{}{}",
        config.cells,
        flag(config.has_restarts, " --restarts"),
        flag(config.has_evacuations, " --evacuations"),
        flag(config.has_schedules, " --schedules"),
    );
}

/// Starts a stand-in of the platform, which lists VMs if the fleet is to be divided.
async fn start_site(config: SoakConfig, task_duration: Duration) -> StandInSite {
    let workers = config.workers + SPARE_WORKERS;
    let site = StandInSite::start_in_racks(workers, config.racks(), task_duration).await;
    if config.is_divided() {
        site.list_vms();
    }
    if config.has_evacuations {
        site.spread_over_zones(evacuations::ZONES);
    }
    site
}

/// Waits until the entries have divided the fleet: a fleet with submissions stays undivided.
async fn wait_until_divided(site: &StandInSite) {
    let deadline = Instant::now() + DIVISION_TIMEOUT;
    while !site.has_row("cell", "c0", "layout") {
        assert!(Instant::now() < deadline, "the fleet is not divided");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Spawns callers, each with a seed of its own.
fn spawn_callers<F>(
    count: usize,
    rng: &mut ChaCha8Rng,
    (entries, history): &(Arc<Entries>, Arc<CallerHistory>),
    run: impl Fn(u64, Arc<Entries>, Arc<CallerHistory>) -> F,
) -> Vec<JoinHandle<()>>
where
    F: Future<Output = ()> + Send + 'static,
{
    (0..count)
        .map(|_| {
            let seed = rng.random();
            tokio::spawn(run(seed, Arc::clone(entries), Arc::clone(history)))
        })
        .collect()
}

/// Starts a relay in front of each worker and registers the worker under its address.
async fn start_worker_relays(site: &StandInSite, workers: usize) -> Vec<Relay> {
    let mut relays = Vec::new();
    for index in 0..workers {
        let relay = Relay::start(site.worker_address(index))
            .await
            .expect("the relay starts");
        site.register(index, relay.address());
        relays.push(relay);
    }
    relays
}

async fn end_faults(entries: &Entries, site: &StandInSite, workers: &[Relay]) {
    site.set_store_down(false);
    for relay in workers {
        relay.set_mode(RelayMode::Pass);
    }
    entries.end_faults().await;
}
