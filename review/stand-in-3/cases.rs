//! The cases: what is sent, the disruption, and the rule.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use crate::fleet::{Fleet, JALPAI, Log, unix_ms};
use crate::json::decode_base64;
use crate::minion::{Attempt, FAILING};

/// The outcome of a script, as its exit code.
const HELD: u8 = 0;
const BROKEN: u8 = 1;
const NOT_RUN: u8 = 2;

/// The occurrences of the schedule: one each minute of a year.
const OCCURRENCES: u64 = 525_600;

/// How many gangs are at work, which began at different times.
const GANGS: u64 = 13;

/// A submission of each tenant.
const FIRST_PATH: &str = "/jalpai/5c0e7a21d94b36f8";
const SECOND_PATH: &str = "/ganga/77aa01b2c3d4e5f6";

/// Runs a case and returns the exit code of its script.
pub fn run(case: &str, record: &str, is_troubled: bool) -> u8 {
    let log = Log::create(record);
    log.add(&format!("case {case}, troubled: {is_troubled}"));
    let (minions, task_ms, run): (usize, u64, fn(&Fleet, bool) -> u8) = match case {
        "schedule" => (4, 300, schedule),
        "gang" => (16, 8_000, gang),
        "wave" => (4, 300, wave),
        "attempts" => (4, 1_500, attempts),
        // Trials without a folder, see review/REPORT-3.md.
        "extended-wave" => (4, 300, extended_wave),
        "same-id" => (4, 300, same_id),
        _ => return NOT_RUN,
    };
    let fleet = Fleet::start(&log, minions, task_ms);
    let outcome = if fleet.wait_until_ready() {
        run(&fleet, is_troubled)
    } else {
        NOT_RUN
    };
    fleet.end();
    let words = [
        "the rule held",
        "the rule was broken",
        "the case could not run",
    ];
    let word = words[usize::from(outcome.min(NOT_RUN))];
    log.add(&format!("outcome: {word}"));
    println!("{word}");
    outcome
}

/// A print run: two steps of six subtasks.
fn print_run(spec: &str) -> String {
    format!(
        "{{\"spec\":\"{spec}\",\"steps\":[{{\"count\":6,\"cpu\":3500,\"mem_mb\":256,\
         \"estimate_ms\":300}},{{\"count\":6,\"cpu\":3500,\"mem_mb\":256,\"estimate_ms\":300,\
         \"after\":[0]}}]}}"
    )
}

/// A print run with occurrences.
fn scheduled(spec: &str, first_ms: u64, interval_ms: u64, max_runs: u64) -> String {
    let fields = format!(
        "{{\"first_run_ms\":{first_ms},\"interval_ms\":{interval_ms},\"max_runs\":{max_runs},\"spec\""
    );
    print_run(spec).replacen("{\"spec\"", &fields, 1)
}

/// The rule Fault: processes that end by themselves three times with no disruption there, on a tenth
/// of the machines in use, two at least.
fn breaks_fault(fleet: &Fleet) -> bool {
    let ends = fleet
        .entries
        .iter()
        .map(|entry| *entry.own_ends.lock().expect("ends"));
    ends.filter(|ends| *ends >= 3).count() >= 2
}

/// Asks for the second tenant's submission until it is completed, and judges Fault and LOST.
fn judge(fleet: &Fleet, limit: Duration) -> u8 {
    let is_completed = fleet.wait_for_state("key-ganga", SECOND_PATH, "completed", limit);
    let has_fault = breaks_fault(fleet);
    fleet.log.add(&format!(
        "LOST: the second tenant's submission completed: {is_completed}; Fault broken: {has_fault}"
    ));
    if is_completed && !has_fault {
        HELD
    } else {
        BROKEN
    }
}

/// A schedule is handed in whose occurrences are due; without the disruption it begins in an hour.
fn schedule(fleet: &Fleet, is_troubled: bool) -> u8 {
    let body = scheduled("second", unix_ms() + 12_000, 1_000, 1);
    if !fleet.submit("key-ganga", SECOND_PATH, &body) {
        return NOT_RUN;
    }
    let first_ms = if is_troubled {
        fleet
            .log
            .add("DISRUPTION: a schedule whose occurrences are due");
        unix_ms() - OCCURRENCES * 60_000
    } else {
        unix_ms() + 3_600_000
    };
    let body = scheduled("each minute", first_ms, 60_000, OCCURRENCES);
    // A refusal for good would be an answer; it is no fault.
    let is_accepted = fleet.submit("key-jalpai", FIRST_PATH, &body);
    fleet
        .log
        .add(&format!("the schedule was accepted: {is_accepted}"));
    judge(fleet, Duration::from_secs(60))
}

/// A minion crashes while gangs with checkpoints are at work.
fn gang(fleet: &Fleet, is_troubled: bool) -> u8 {
    let path = |number: u64| format!("/jalpai/5c0e7a21d94b36f{number:x}");
    let body = "{\"spec\":\"gang-of-3\",\"steps\":[{\"count\":3,\"cpu\":3500,\"mem_mb\":256,\
                \"estimate_ms\":8000,\"gang\":true,\"checkpointed\":true,\"max_per_server\":1}]}";
    for number in 0..GANGS {
        if !fleet.submit("key-jalpai", &path(number), body) {
            return NOT_RUN;
        }
        std::thread::sleep(Duration::from_millis(80));
    }
    std::thread::sleep(Duration::from_millis(3_000));
    if is_troubled {
        let minions = fleet.platform.minions();
        let Some(busiest) = minions.iter().max_by_key(|minion| minion.runs()) else {
            return NOT_RUN;
        };
        busiest.crash();
        // Three heartbeat intervals of silence.
        std::thread::sleep(Duration::from_millis(4_500));
        fleet
            .log
            .add(&format!("platform: the entry of {} is removed", busiest.id));
        fleet.store.remove("servers", &busiest.id);
    }
    let until = Instant::now() + Duration::from_secs(50);
    let are_completed = (0..GANGS)
        .filter(|number| {
            let left = until.saturating_duration_since(Instant::now());
            fleet.wait_for_state("key-jalpai", &path(*number), "completed", left)
        })
        .count() as u64;
    fleet
        .log
        .add(&format!("completed: {are_completed} of {GANGS}"));
    let at_odds = fleet.platform.gangs.at_odds();
    for run in &at_odds {
        fleet.log.add(&format!(
            "UNASKED: started with different checkpoints: {run}"
        ));
    }
    match (at_odds.is_empty(), are_completed) {
        (false, _) => BROKEN,
        (true, GANGS) => HELD,
        (true, _) => NOT_RUN,
    }
}

/// A machine is added while the list of machines is silent, and is due for upkeep.
fn wave(fleet: &Fleet, is_troubled: bool) -> u8 {
    let log = &fleet.log;
    if !fleet.submit("key-jalpai", FIRST_PATH, &print_run("first"))
        || !fleet.wait_for_state(
            "key-jalpai",
            FIRST_PATH,
            "completed",
            Duration::from_secs(20),
        )
    {
        return NOT_RUN;
    }
    std::thread::sleep(Duration::from_secs(2));
    let began_at = Instant::now();
    if is_troubled {
        log.add("DISRUPTION: the list of machines is silent for 5 s");
        fleet.platform.is_down.store(true, Ordering::Relaxed);
    }
    std::thread::sleep(Duration::from_secs(1));
    fleet.platform.add_machine(4, "a", JALPAI);
    std::thread::sleep(Duration::from_secs(2));
    let row = "{\"wave\":3,\"machines\":[\"machine-4\"],\"duration_s\":25,\"cap\":1}";
    log.add(&format!("operator: op/wave/3 {row}"));
    fleet.store.write("op", "", "wave/3", row.as_bytes());
    let (mut last, mut is_broken, mut is_completed) = (String::new(), false, false);
    while began_at.elapsed() < Duration::from_secs(40) && !is_completed {
        if began_at.elapsed() >= Duration::from_secs(5) {
            fleet.platform.is_down.store(false, Ordering::Relaxed);
        }
        let rows = fleet.store.rows_of("status");
        let row = rows.iter().find(|(key, _)| key.2 == "wave/3");
        let state = row
            .map(|(_, row)| decode_base64(&row.value))
            .unwrap_or_default();
        let state = String::from_utf8_lossy(&state).into_owned();
        // Read after the status, so that an upkeep that begins between the two is no fault.
        let has_begun = fleet.platform.upkeeps("machine-4") > 0;
        if state != last {
            log.add(&format!(
                "status/wave/3 is {state}; upkeep of machine-4 begun: {has_begun}"
            ));
        }
        let says_completed = state.contains("completed");
        is_broken |= says_completed && !has_begun;
        is_completed = says_completed && has_begun;
        last = state;
        std::thread::sleep(Duration::from_millis(20));
    }
    log.add(&format!(
        "MIXED: said to be completed before the upkeep began: {is_broken}; completed in the end: \
         {is_completed}"
    ));
    match (is_broken, is_completed) {
        (true, _) => BROKEN,
        (false, true) => HELD,
        (false, false) => NOT_RUN,
    }
}

/// A queue is away while the last attempt of a subtask fails.
fn attempts(fleet: &Fleet, is_troubled: bool) -> u8 {
    let log = &fleet.log;
    let body = format!(
        "{{\"spec\":\"{FAILING}\",\"steps\":[{{\"count\":1,\"cpu\":3500,\"mem_mb\":256,\
         \"estimate_ms\":1500}}]}}"
    );
    let task = "5c0e7a21d94b36f8.0.0.0";
    if !fleet.submit("key-jalpai", FIRST_PATH, &body) {
        return NOT_RUN;
    }
    let wait = |is_reached: &dyn Fn(Attempt) -> bool| {
        let until = Instant::now() + Duration::from_secs(30);
        while Instant::now() < until {
            if is_reached(fleet.platform.attempts.of(task)) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        false
    };
    if !wait(&|attempt| attempt.starts == 3) {
        return NOT_RUN;
    }
    if is_troubled {
        log.add("DISRUPTION: the queue is removed, and added again after the third end");
        fleet.configure(8, false);
    }
    if !wait(&|attempt| attempt.noted == 3) {
        return NOT_RUN;
    }
    std::thread::sleep(Duration::from_secs(1));
    if is_troubled {
        fleet.configure(9, true);
    }
    let is_failed =
        fleet.wait_for_state("key-jalpai", FIRST_PATH, "failed", Duration::from_secs(15));
    let attempt = fleet.platform.attempts.of(task);
    log.add(&format!(
        "BUDGET: shown as failed: {is_failed}; {attempt:?}"
    ));
    if attempt.beyond > 0 && attempt.noted >= 3 {
        BROKEN
    } else if is_failed {
        HELD
    } else {
        NOT_RUN
    }
}

/// A trial: the operator adds a machine to a wave that is at work or over.
fn extended_wave(fleet: &Fleet, is_troubled: bool) -> u8 {
    let log = &fleet.log;
    let write = |machines: &str| {
        let row = format!("{{\"wave\":3,\"machines\":[{machines}],\"duration_s\":25,\"cap\":1}}");
        log.add(&format!("operator: op/wave/3 {row}"));
        fleet.store.write("op", "", "wave/3", row.as_bytes());
    };
    std::thread::sleep(Duration::from_secs(2));
    if is_troubled {
        write("\"machine-0\"");
        std::thread::sleep(Duration::from_secs(1));
    }
    write("\"machine-0\",\"machine-2\"");
    std::thread::sleep(Duration::from_secs(30));
    let rows = fleet.store.rows_of("status");
    let row = rows.iter().find(|(key, _)| key.2 == "wave/3");
    let state = row
        .map(|(_, row)| decode_base64(&row.value))
        .unwrap_or_default();
    let state = String::from_utf8_lossy(&state).into_owned();
    let has_begun = fleet.platform.upkeeps("machine-2") > 0;
    log.add(&format!(
        "status/wave/3 is {state}; upkeep of machine-2 begun: {has_begun}"
    ));
    match (state.contains("completed"), has_begun) {
        (true, false) => BROKEN,
        (true, true) => HELD,
        (false, _) => NOT_RUN,
    }
}

/// A trial: consumers of two tenants choose the same identifier, each in its own queue.
fn same_id(fleet: &Fleet, is_troubled: bool) -> u8 {
    let second = if is_troubled {
        "/ganga/5c0e7a21d94b36f8"
    } else {
        SECOND_PATH
    };
    if !fleet.submit("key-jalpai", FIRST_PATH, &print_run("of jalpai")) {
        return NOT_RUN;
    }
    if !fleet.submit("key-ganga", second, &print_run("of ganga")) {
        fleet.log.add("the second submission is refused");
        return HELD;
    }
    let is_completed =
        fleet.wait_for_state("key-ganga", second, "completed", Duration::from_secs(20));
    let starts = fleet
        .platform
        .minions()
        .iter()
        .map(|minion| minion.starts_of("of ganga"))
        .sum::<usize>();
    fleet.log.add(&format!(
        "completed: {is_completed}; starts of the second submission: {starts}"
    ));
    match (is_completed, starts) {
        (true, 0) => BROKEN,
        (true, _) => HELD,
        (false, _) => NOT_RUN,
    }
}
