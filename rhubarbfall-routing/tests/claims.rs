//! Claims under duplicate requests, lost responses, delayed writes, and killed or paused processes.
//!
//! Guards against a non-idempotent request that runs twice, and against claims that stay blocked
//! after faults.

mod claim_log;

use std::time::{Duration, Instant};

use claim_log::{FakeTable, Fault};
use expect_test::expect;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rhubarbfall_core::LiteMap;
use rhubarbfall_routing::{ClaimAction, ClaimKey, ClaimLedger, ClaimSettings, ClaimVerdict};

const ENTRIES: usize = 3;
const WINDOW: Duration = Duration::from_mins(1);

fn key(number: usize) -> ClaimKey {
    let request = format!("request-{number}")
        .parse()
        .expect("valid request id");
    ClaimKey::new("house-a", &request)
}

fn settings() -> ClaimSettings {
    ClaimSettings::default().window_ms(WINDOW.as_millis() as u64)
}

#[derive(Debug, Clone)]
enum Step {
    Claim { entry: usize, key: usize },
    RunAction { entry: usize, fault: Fault },
    Advance { ms: u64 },
    Replace { entry: usize },
    Release { entry: usize, key: usize },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let fault = prop_oneof![
        6 => Just(Fault::None),
        1 => Just(Fault::ResponseLost),
        1 => Just(Fault::RequestLost),
        1 => Just(Fault::Delayed),
    ];
    let step = prop_oneof![
        6 => (0..ENTRIES, 0..4_usize).prop_map(|(entry, key)| Step::Claim { entry, key }),
        12 => (0..ENTRIES, fault).prop_map(|(entry, fault)| Step::RunAction { entry, fault }),
        3 => (1..900_u64).prop_map(|ms| Step::Advance { ms }),
        1 => (1_000..90_000_u64).prop_map(|ms| Step::Advance { ms }),
        1 => (0..ENTRIES).prop_map(|entry| Step::Replace { entry }),
        2 => (0..ENTRIES, 0..4_usize).prop_map(|(entry, key)| Step::Release { entry, key }),
    ];
    prop::collection::vec(step, 1..250)
}

/// Three entries, their table and the requests that they ran.
struct Simulation {
    now: Instant,
    table: FakeTable,
    ledgers: Vec<ClaimLedger>,
    incarnations: usize,
    /// Granted requests that have not started.
    granted: Vec<(usize, ClaimKey)>,
    runs: Vec<(ClaimKey, Instant)>,
}

impl Simulation {
    fn new() -> Self {
        let now = Instant::now();
        let ledger = |entry| ClaimLedger::new(now, format!("entry-{entry}/0"), settings());
        Self {
            now,
            table: FakeTable::default(),
            ledgers: (0..ENTRIES).map(ledger).collect(),
            incarnations: 0,
            granted: Vec::new(),
            runs: Vec::new(),
        }
    }

    fn apply(&mut self, step: &Step) {
        match step {
            Step::Claim { entry, key: number } => self.claim(*entry, key(*number)),
            Step::RunAction { entry, fault } => self.run_action(*entry, *fault),
            Step::Advance { ms } => self.now += Duration::from_millis(*ms),
            Step::Replace { entry } => self.replace(*entry),
            Step::Release { entry, key: number } => self.release(*entry, key(*number)),
        }
    }

    fn claim(&mut self, entry: usize, key: ClaimKey) {
        if self.ledgers[entry].claim(self.now, key) == Some(ClaimVerdict::Granted) {
            self.granted.push((entry, key));
        }
    }

    fn run_action(&mut self, entry: usize, fault: Fault) {
        self.send_granted(entry);
        let ledger = &mut self.ledgers[entry];
        ledger.expire(self.now);
        self.table.step(self.now, ledger, fault);
        for (key, verdict) in ledger.take_verdicts() {
            if verdict == ClaimVerdict::Granted {
                self.granted.push((entry, key));
            }
        }
    }

    fn send_granted(&mut self, entry: usize) {
        let (own, others) = self.granted.drain(..).partition(|(at, _)| *at == entry);
        self.granted = others;
        for (_, key) in own {
            if self.ledgers[entry].may_start(self.now, key) {
                self.runs.push((key, self.now));
            }
        }
    }

    fn release(&mut self, entry: usize, key: ClaimKey) {
        let position = self.granted.iter().position(|grant| *grant == (entry, key));
        if let Some(position) = position {
            self.granted.remove(position);
            self.ledgers[entry].release(key);
        }
    }

    fn replace(&mut self, entry: usize) {
        self.incarnations += 1;
        let appender = format!("entry-{entry}/{}", self.incarnations);
        self.ledgers[entry] = ClaimLedger::new(self.now, appender, settings());
        self.granted.retain(|(at, _)| *at != entry);
    }

    fn run_without_faults(&mut self) {
        for _ in 0..200 {
            self.now += Duration::from_millis(50);
            for entry in 0..ENTRIES {
                self.run_action(entry, Fault::None);
            }
        }
    }

    fn check_no_repeated_run(&self) -> Result<(), TestCaseError> {
        for (index, (key, at)) in self.runs.iter().enumerate() {
            for (other, later) in &self.runs[index + 1..] {
                let is_repeated_run = key == other && *later - *at < WINDOW / 2;
                prop_assert!(!is_repeated_run, "{key} ran twice within half a window");
            }
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_request_runs_at_most_once_and_claims_resume(steps in steps()) {
        let mut simulation = Simulation::new();
        for step in &steps {
            simulation.apply(step);
        }
        simulation.run_without_faults();
        simulation.check_no_repeated_run()?;
        let before = simulation.runs.len();
        simulation.claim(0, key(99));
        simulation.claim(1, key(99));
        simulation.run_without_faults();
        prop_assert_eq!(simulation.runs.len(), before + 1);
        simulation.check_no_repeated_run()?;
    }
}

#[test]
fn a_released_request_may_run_at_another_entry() {
    let mut simulation = Simulation::new();
    simulation.run_without_faults();
    simulation.claim(0, key(1));
    while simulation.granted.is_empty() {
        simulation.run_action(0, Fault::None);
        simulation.now += Duration::from_millis(1);
    }
    simulation.release(0, key(1));
    simulation.run_without_faults();
    simulation.claim(1, key(1));
    simulation.run_without_faults();
    assert_eq!(simulation.runs.len(), 1);
}

#[test]
fn claims_are_rejected_as_unchecked_while_the_table_is_down() {
    let mut simulation = Simulation::new();
    simulation.run_without_faults();
    assert_eq!(simulation.ledgers[0].claim(simulation.now, key(1)), None);
    for _ in 0..30 {
        simulation.now += Duration::from_millis(100);
        let ledger = &mut simulation.ledgers[0];
        ledger.expire(simulation.now);
        simulation
            .table
            .step(simulation.now, ledger, Fault::RequestLost);
    }
    let verdicts = simulation.ledgers[0].take_verdicts();
    assert_eq!(verdicts, [(key(1), ClaimVerdict::Unchecked)]);
    let verdict = simulation.ledgers[0].claim(simulation.now, key(2));
    assert_eq!(verdict, Some(ClaimVerdict::Unchecked));
    simulation.run_without_faults();
    simulation.claim(0, key(1));
    simulation.run_without_faults();
    assert_eq!(simulation.runs.len(), 1);
}

/// Reports the load on the table with the given number of entries and non-idempotent requests per
/// second.
fn table_load(entries: usize, requests_per_second: usize) -> String {
    const SECONDS: usize = 30;
    /// A tenth of the write rate that the table allows.
    const WRITES_PER_SECOND: usize = 30;
    const TABLE_LATENCY_MS: u64 = 4;
    let settings = ClaimSettings::default().window_ms(10_000);
    let mut now = Instant::now();
    let mut table = FakeTable::default();
    let mut ledgers: Vec<ClaimLedger> = (0..entries)
        .map(|entry| ClaimLedger::new(now, format!("entry-{entry}/0"), settings))
        .collect();
    let mut in_flight: Vec<Option<(Instant, ClaimAction)>> = vec![None; entries];
    let mut claimed_at: LiteMap<ClaimKey, Instant> = LiteMap::new();
    let mut waits_ms = Vec::new();
    let mut requests = 0;
    for ms in 0..SECONDS * 1000 {
        now += Duration::from_millis(1);
        while requests * 1000 < ms * requests_per_second {
            let claimed = key(requests);
            ledgers[requests % entries].claim(now, claimed);
            claimed_at.insert(claimed, now);
            requests += 1;
        }
        for (entry, ledger) in ledgers.iter_mut().enumerate() {
            match in_flight[entry].take() {
                Some((at, action)) if at <= now => {
                    table.perform(now, ledger, &action, Fault::None);
                }
                Some(pending) => in_flight[entry] = Some(pending),
                None => {
                    let due = now + Duration::from_millis(TABLE_LATENCY_MS);
                    in_flight[entry] = ledger.next_action(now).map(|action| (due, action));
                }
            }
            for (granted, _) in ledger.take_verdicts() {
                let since = claimed_at
                    .remove(&granted)
                    .expect("verdict for a claimed request");
                waits_ms.push((now - since).as_millis() as u64);
            }
        }
    }
    waits_ms.sort_unstable();
    assert!(table.transactions <= WRITES_PER_SECOND * SECONDS);
    assert!(table.rows_written <= 2 * WRITES_PER_SECOND * SECONDS);
    let percentile = |percent: usize| waits_ms.get(waits_ms.len() * percent / 100).copied();
    format!(
        "{entries} entries, {requests_per_second}/s: {} transactions/s, {} rows/s, {} reads/s, \
         wait p50 {:?} ms, p99 {:?} ms, granted {} of {requests}\n",
        table.transactions / SECONDS,
        table.rows_written / SECONDS,
        table.reads / SECONDS,
        percentile(50).unwrap_or(0),
        percentile(99).unwrap_or(0),
        waits_ms.len(),
    )
}

#[test]
fn claim_writes_stay_within_their_share_of_the_table_rate() {
    let report = [table_load(9, 2), table_load(9, 20), table_load(9, 200)].concat();
    expect![[r"
        9 entries, 2/s: 2 transactions/s, 3 rows/s, 3 reads/s, wait p50 9 ms, p99 18 ms, granted 60 of 60
        9 entries, 20/s: 17 transactions/s, 23 rows/s, 18 reads/s, wait p50 165 ms, p99 474 ms, granted 594 of 600
        9 entries, 200/s: 19 transactions/s, 22 rows/s, 19 reads/s, wait p50 299 ms, p99 599 ms, granted 5900 of 6000
    "]].assert_eq(&report);
}
