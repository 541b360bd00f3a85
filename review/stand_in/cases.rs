//! The cases: what is sent, what is disturbed, and the rule that is checked.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::consumers::{Call, Consumers, Planned, one_step};
use crate::minion::{Minion, Span};
use crate::site::Site;

/// `finish_s` of the site: how long after the traffic submissions are asked for.
const FINISH: Duration = Duration::from_secs(14);
/// `recover_s` of the site.
const RECOVER_MS: u64 = 12_000;
/// Processes that were killed are started again after this time, as in the site's closings.
const DOWN: Duration = Duration::from_millis(1_400);

pub struct Outcome {
    /// 0 if the rule held, 1 if it was broken, 2 if the case could not run.
    pub code: i32,
    pub summary: String,
    pub record: String,
}

pub fn find(name: &str) -> Option<fn(PathBuf, bool) -> Outcome> {
    match name {
        "large-submission" => Some(large_submission),
        "takeover-after-traffic" => Some(takeover_after_traffic),
        "pending-after-restart" => Some(pending_after_restart),
        "overdue-schedule" => Some(overdue_schedule),
        "lost-upkeep-answer" => Some(lost_upkeep_answer),
        "many-ends" => Some(many_ends),
        _ => None,
    }
}

fn id(kind: u64, number: usize) -> String {
    format!("{kind:04x}{number:012x}")
}

fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Hands a small submission in until it is accepted, and returns whether that happened.
fn await_service(consumers: &Consumers) -> bool {
    let until = Instant::now() + Duration::from_secs(12);
    let mut caller = consumers.caller(0);
    while Instant::now() < until {
        if caller.submit(&id(0xa, 0), &one_step(1, 100, 100, 200, 0)) == 200 {
            return true;
        }
    }
    false
}

fn could_not_run(why: &str) -> Outcome {
    Outcome { code: 2, summary: format!("could not run: {why}"), record: format!("could not run: {why}\n") }
}

/// Returns how many of the submissions that were first sent in this time were accepted, and how many
/// there are.
fn accepted_of(calls: &[Call], from_ms: u64, to_ms: u64) -> (u32, u32) {
    let mut submissions: BTreeMap<&str, (u64, bool)> = BTreeMap::new();
    for call in calls.iter().filter(|call| call.method == "POST") {
        let submission = submissions.entry(&call.id).or_insert((call.sent_ms, false));
        submission.1 |= call.status == 200;
    }
    let sent = submissions.values().filter(|(sent_ms, _)| (from_ms..to_ms).contains(sent_ms));
    sent.fold((0, 0), |(accepted, all), (_, is_accepted)| (accepted + u32::from(*is_accepted), all + 1))
}

fn record_calls(record: &mut String, calls: &[Call]) {
    let _ = writeln!(record, "\ncalls: sent ms, answered ms, method, submission, status (0: no answer), body");
    for call in calls {
        let body = if call.method == "GET" { call.body.as_str() } else { "" };
        let _ = writeln!(
            record, "{} {} {} {} {} {body}",
            call.sent_ms, call.answered_ms, call.method, call.id, call.status
        );
    }
}

fn record_spans<'a>(record: &mut String, title: &str, spans: impl Iterator<Item = &'a Span>) {
    let _ = writeln!(record, "\n{title}: started ms, ended ms, minion, subtask, run, how, acked ms");
    for span in spans {
        let text = |ms: Option<u64>| ms.map_or("-".to_owned(), |ms| ms.to_string());
        let _ = writeln!(
            record, "{} {} {} {} {} {} {}",
            span.from_ms, text(span.to_ms), span.minion, span.task, span.run, span.how, text(span.acked_ms)
        );
    }
}

/// Returns the runs that TWICE forbids, each with the earlier run: a start after a run has ended
/// `done` whose end is taken note of, or while another run is at work.
fn started_twice(spans: &[Span]) -> Vec<(Span, Span)> {
    let mut by_task: BTreeMap<&str, Vec<&Span>> = BTreeMap::new();
    for span in spans {
        by_task.entry(&span.task).or_default().push(span);
    }
    let mut found = Vec::new();
    for runs in by_task.values() {
        for (index, later) in runs.iter().enumerate() {
            let is_earlier = |earlier: &&&Span| {
                let is_noted = earlier.acked_ms.is_some() && !earlier.has_lapsed_since;
                let is_over = earlier.to_ms.is_some_and(|to_ms| to_ms <= later.from_ms);
                !is_over || (earlier.how == "done" && is_noted)
            };
            if let Some(earlier) = runs[..index].iter().find(is_earlier) {
                found.push(((*earlier).clone(), (*later).clone()));
            }
        }
    }
    found
}

/// Rule TWICE. 640 subtasks on one minion end while the store is down, so that none of their ends can
/// be taken note of, and the minion lists 500 ends at a time.
fn many_ends(folder: PathBuf, has_trouble: bool) -> Outcome {
    const WORK_MS: u64 = 5_000;
    /// The widest step of the site.
    const SUBTASKS: usize = 32;
    const SUBMISSIONS: usize = 20;
    let site = Site::start(folder, 3, 3);
    let consumers = Consumers::new(&site);
    if !await_service(&consumers) {
        return could_not_run("no entry took a submission");
    }
    sleep_ms(2_000);
    // Longer work on the same minion keeps its lease renewed throughout.
    let longer = one_step(8, 500, 200, 28_000, 0);
    if consumers.caller(0).submit(&id(6, 0), &longer) != 200 {
        return could_not_run("the longer work was not taken");
    }
    sleep_ms(1_000);
    let sent_ms = site.now_ms();
    let body = one_step(SUBTASKS, 90, 100, WORK_MS, 0);
    let planned = (0..SUBMISSIONS).map(|number| Planned { at_ms: sent_ms, id: id(1, number), body: body.clone() });
    let threads = consumers.submit_all(planned.collect(), SUBMISSIONS);
    let is_of_case = |span: &&Span| span.task.starts_with("0001");
    let started = || site.spans().iter().filter(is_of_case).count();
    while started() < SUBTASKS * SUBMISSIONS {
        if site.now_ms() > sent_ms + WORK_MS {
            return could_not_run("the subtasks did not start in time");
        }
        sleep_ms(20);
    }
    let first_ms = site.spans().iter().filter(is_of_case).map(|span| span.from_ms).min().unwrap_or(0);
    let down_ms = first_ms + WORK_MS - 500;
    sleep_ms(down_ms.saturating_sub(site.now_ms()));
    if has_trouble {
        site.store.go_down(Duration::from_millis(4_500));
    }
    for thread in threads {
        let _ = thread.join();
    }
    sleep_ms(down_ms + 22_000 - site.now_ms());
    let mut caller = consumers.caller(0);
    let states: Vec<String> = (0..SUBMISSIONS).map(|number| caller.state(&id(1, number))).collect();
    let spans = site.spans();
    let twice = started_twice(&spans);
    let mut record = String::new();
    let _ = writeln!(record, "trouble: {has_trouble}; store down from {down_ms} ms for 4500 ms if so");
    let _ = writeln!(record, "subtasks: {}; runs: {}", SUBTASKS * SUBMISSIONS, spans.iter().filter(is_of_case).count());
    let _ = writeln!(record, "states at the end: {states:?}");
    let _ = writeln!(record, "starts that TWICE forbids: {}", twice.len());
    for (earlier, later) in &twice {
        let _ = writeln!(
            record, "{} run {} on {} ended {} at {:?} ms, acked at {:?} ms; run {} started on {} at {} ms",
            earlier.task, earlier.run, earlier.minion, earlier.how, earlier.to_ms, earlier.acked_ms,
            later.run, later.minion, later.from_ms
        );
    }
    record_calls(&mut record, &consumers.calls());
    record_spans(&mut record, "runs", spans.iter());
    let summary = format!("{} starts that TWICE forbids, of {} subtasks", twice.len(), SUBTASKS * SUBMISSIONS);
    Outcome { code: i32::from(!twice.is_empty()), summary, record }
}

/// Rule LOST. A submission of 2,500 subtasks comes beside ordinary traffic; without trouble, the same
/// subtasks come as ten submissions.
fn large_submission(folder: PathBuf, has_trouble: bool) -> Outcome {
    const SUBTASKS: usize = 2_500;
    const LARGE_WORK_MS: u64 = 8_000;
    const TRAFFIC_MS: u64 = 45_000;
    let site = Site::start(folder, 9, 3);
    let consumers = Consumers::new(&site);
    if !await_service(&consumers) {
        return could_not_run("no entry took a submission");
    }
    sleep_ms(2_000);
    let from_ms = site.now_ms();
    // Six subtasks of 3.5 cores for a second, as the site's print runs.
    let ordinary = one_step(6, 3_500, 6_500, 1_000, 75);
    let interval_ms = 250;
    let mut planned: Vec<Planned> = (0..(TRAFFIC_MS / interval_ms) as usize)
        .map(|number| Planned { at_ms: from_ms + interval_ms * number as u64, id: id(2, number), body: ordinary.clone() })
        .collect();
    let large_ms = from_ms + 8_000;
    let parts = if has_trouble { 1 } else { 10 };
    let body = one_step(SUBTASKS / parts, 100, 100, LARGE_WORK_MS, 75);
    planned.extend((0..parts).map(|number| Planned { at_ms: large_ms, id: id(3, number), body: body.clone() }));
    planned.sort_by_key(|planned| planned.at_ms);
    for thread in consumers.submit_all(planned, 40) {
        let _ = thread.join();
    }
    thread::sleep(FINISH);
    let calls = consumers.calls();
    let mut accepted: Vec<String> = Vec::new();
    for call in calls.iter().filter(|call| call.method == "POST" && call.status == 200) {
        if !accepted.contains(&call.id) {
            accepted.push(call.id.clone());
        }
    }
    let mut caller = consumers.caller(0);
    let states: Vec<(String, String)> = accepted.iter().map(|id| (id.clone(), caller.state(id))).collect();
    let asked_ms = site.now_ms();
    sleep_ms(4_000);
    let (spans, until_ms) = (site.spans(), site.now_ms());
    // Capacity for what waits twice over: hardly anything runs any more.
    let running = spans.iter().filter(|span| span.to_ms.is_none()).count();
    let is_idle = |id: &str| {
        let mut runs = spans.iter().filter(|span| span.task.starts_with(id));
        runs.all(|span| span.to_ms.is_some_and(|to_ms| to_ms + 3_000 < until_ms))
    };
    let is_open = |state: &str| !state.contains("completed");
    let lost: Vec<_> = states.iter().filter(|(id, state)| is_open(state) && is_idle(id)).collect();
    let (taken, sent) = accepted_of(&calls, large_ms + 10_000, u64::MAX);
    let (refused, largest) = site.store.refused_values();
    let unacked = spans.iter().filter(|span| span.to_ms.is_some() && span.acked_ms.is_none()).count();
    let mut record = String::new();
    let _ = writeln!(record, "trouble: {has_trouble}; the {SUBTASKS} subtasks were sent at {large_ms} ms as {parts} submissions");
    let _ = writeln!(record, "accepted submissions: {}", accepted.len());
    let _ = writeln!(record, "accepted, not completed at {asked_ms} ms, and without a run for 3 s at {until_ms} ms: {}", lost.len());
    let _ = writeln!(record, "runs at work at the end: {running} of 576 cores' room");
    let _ = writeln!(record, "submissions first sent later than 10 s after the {SUBTASKS} subtasks: {sent}, accepted: {taken}");
    let _ = writeln!(record, "ends that were listed and never acked: {unacked}");
    let _ = writeln!(record, "transactions that the store refused, as a value was longer than 65536 bytes: {refused}; longest value: {largest} bytes");
    let _ = writeln!(record, "batch_store_failed in the logs: {}", site.count_in_logs("event=batch_store_failed"));
    for (id, state) in &lost {
        let runs = spans.iter().filter(|span| span.task.starts_with(id.as_str()));
        let _ = writeln!(record, "lost: {id} {state}, {} runs so far", runs.count());
    }
    record_calls(&mut record, &calls);
    record_spans(&mut record, "runs of ordinary submissions", spans.iter().filter(|span| span.task.starts_with("0002")));
    let summary = format!(
        "{} of {} accepted submissions lost; {taken} of {sent} later ones accepted; {refused} transactions refused",
        lost.len(), accepted.len()
    );
    Outcome { code: i32::from(!lost.is_empty()), summary, record }
}

/// Rule RECOVER. After a stretch of traffic, all entries are killed and started again.
fn takeover_after_traffic(folder: PathBuf, has_trouble: bool) -> Outcome {
    const PER_S: u64 = 270;
    const TRAFFIC_MS: u64 = 75_000;
    const AFTER_MS: u64 = 22_000;
    /// The longest `spec` that the pages allow.
    const SPEC_BYTES: usize = 4_000;
    /// The rate of the small site.
    const SITE_PER_S: u64 = 16;
    let mut site = Site::start(folder, 9, 4);
    let consumers = Consumers::new(&site);
    if !await_service(&consumers) {
        return could_not_run("no entry took a submission");
    }
    sleep_ms(1_000);
    let from_ms = site.now_ms();
    let body = one_step(1, 500, 200, 100, SPEC_BYTES);
    let first = (0..(PER_S * TRAFFIC_MS / 1_000) as usize)
        .map(|number| Planned { at_ms: from_ms + number as u64 * 1_000 / PER_S, id: id(4, number), body: body.clone() });
    let later = (0..(SITE_PER_S * AFTER_MS / 1_000) as usize).map(|number| Planned {
        at_ms: from_ms + TRAFFIC_MS + number as u64 * 1_000 / SITE_PER_S,
        id: id(5, number),
        body: body.clone(),
    });
    let threads = consumers.submit_all(first.chain(later).collect(), 160);
    let kill_ms = from_ms + TRAFFIC_MS;
    sleep_ms(kill_ms - site.now_ms());
    let rows = site.store.count("submission");
    let mut back_ms = site.now_ms();
    if has_trouble {
        for entry in &mut site.entries {
            entry.kill();
        }
        thread::sleep(DOWN);
        for entry in &mut site.entries {
            entry.start();
        }
        back_ms = site.now_ms();
    }
    for thread in threads {
        let _ = thread.join();
    }
    let calls = consumers.calls();
    let before = accepted_of(&calls, from_ms, kill_ms);
    let after = accepted_of(&calls, back_ms + RECOVER_MS, u64::MAX);
    let is_broken = after.0 * 4 < after.1 && before.0 * 4 >= before.1;
    let mut record = String::new();
    let _ = writeln!(record, "trouble: {has_trouble}; all entries killed at {kill_ms} ms and started again by {back_ms} ms if so");
    let _ = writeln!(record, "rows of submissions in the store at that time: {rows}");
    let _ = writeln!(record, "before: {} of {} requests accepted", before.0, before.1);
    let _ = writeln!(record, "sent later than {RECOVER_MS} ms after: {} of {} requests accepted", after.0, after.1);
    let _ = writeln!(record, "\nownership in the logs of the entries:");
    for line in site.log_lines(&["event=ownership_", "event=loaded", "event=load_failed", "event=started"]) {
        let _ = writeln!(record, "{line}");
    }
    record_calls(&mut record, &calls[calls.partition_point(|call| call.sent_ms < kill_ms)..]);
    let summary = format!(
        "{rows} rows; accepted before: {} of {}, later than 12 s after the restart: {} of {}",
        before.0, before.1, after.0, after.1
    );
    Outcome { code: i32::from(is_broken), summary, record }
}

/// Ends entries whose memory is over their limit and starts them again, as the platform does, for this
/// time. Returns when each entry was ended.
fn enforce_memory(site: &mut Site, time: Duration) -> Vec<Vec<u64>> {
    /// `memory_mb` of the site's machines.
    const MEMORY_MB: u64 = 260;
    const RESTART_MS: u64 = 1_000;
    let until = Instant::now() + time;
    let mut ended: Vec<Vec<u64>> = vec![Vec::new(); site.entries.len()];
    while Instant::now() < until {
        let now_ms = site.now_ms();
        for (entry, ended) in site.entries.iter_mut().zip(&mut ended) {
            if entry.memory_mb().is_some_and(|mb| mb > MEMORY_MB) {
                entry.kill();
                ended.push(now_ms);
            } else if !entry.is_up() && ended.last().is_none_or(|ended_ms| now_ms >= ended_ms + RESTART_MS) {
                entry.start();
            }
        }
        sleep_ms(5);
    }
    ended
}

/// Rule Fault. A timed submission whose first run lies a week back comes beside ordinary traffic.
fn overdue_schedule(folder: PathBuf, has_trouble: bool) -> Outcome {
    const TRAFFIC_MS: u64 = 30_000;
    const OVERDUE_MS: u64 = 7 * 24 * 3_600 * 1_000;
    const RUNS: u64 = 365 * 24 * 3_600;
    let mut site = Site::start(folder, 9, 4);
    let consumers = Consumers::new(&site);
    if !await_service(&consumers) {
        return could_not_run("no entry took a submission");
    }
    sleep_ms(2_000);
    let from_ms = site.now_ms();
    let ordinary = one_step(6, 3_500, 6_500, 1_000, 75);
    let mut planned: Vec<Planned> = (0..(TRAFFIC_MS / 500) as usize)
        .map(|number| Planned { at_ms: from_ms + 500 * number as u64, id: id(7, number), body: ordinary.clone() })
        .collect();
    let unix_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64);
    let timed_ms = from_ms + 8_000;
    // Without trouble, the first run is due when the submission comes.
    let overdue_ms = if has_trouble { OVERDUE_MS } else { 0 };
    let timed = format!(
        "{},\"first_run_ms\":{},\"interval_ms\":1000,\"max_runs\":{RUNS}}}",
        &ordinary[..ordinary.len() - 1], unix_ms + 8_000 - overdue_ms
    );
    planned.push(Planned { at_ms: timed_ms, id: id(8, 0), body: timed });
    planned.sort_by_key(|planned| planned.at_ms);
    let threads = consumers.submit_all(planned, 40);
    let ended = enforce_memory(&mut site, Duration::from_millis(TRAFFIC_MS) + FINISH);
    let calls = consumers.calls();
    let is_accepted = calls.iter().any(|call| call.id == id(8, 0) && call.status == 200);
    // On a tenth of the machines, two at least, three times.
    let is_broken = ended.iter().filter(|ended| ended.len() >= 3).count() >= 2;
    let before = accepted_of(&calls, from_ms, timed_ms);
    let (taken, sent) = accepted_of(&calls, timed_ms + RECOVER_MS, u64::MAX);
    let mut record = String::new();
    let _ = writeln!(record, "trouble: {has_trouble}; the timed submission was sent at {timed_ms} ms, its first run due {overdue_ms} ms before");
    let _ = writeln!(record, "the timed submission was accepted: {}", is_accepted);
    let _ = writeln!(record, "entries ended for memory over 260 MB, at ms: {ended:?}");
    let _ = writeln!(record, "ordinary submissions first sent before it: {}, accepted: {}", before.1, before.0);
    let _ = writeln!(record, "submissions first sent later than 12 s after the timed one: {sent}, accepted: {taken}");
    record_calls(&mut record, &calls);
    record_spans(&mut record, "runs of ordinary submissions", site.spans().iter().filter(|span| span.task.starts_with("0007")));
    drop(threads);
    let ends: Vec<usize> = ended.iter().map(Vec::len).collect();
    let summary = format!("entries ended for memory: {ends:?} times; {taken} of {sent} later submissions accepted");
    Outcome { code: i32::from(is_broken), summary, record }
}

/// Rule LIMIT on waves. The answers to the first three upkeeps are lost, each at the start of a short
/// outage of the service that maintains machines.
fn lost_upkeep_answer(folder: PathBuf, has_trouble: bool) -> Outcome {
    const CAP: usize = 1;
    const DURATION_S: u64 = 40;
    let site = Site::start(folder, 6, 3);
    let consumers = Consumers::new(&site);
    if !await_service(&consumers) {
        return could_not_run("no entry took a submission");
    }
    sleep_ms(2_000);
    if has_trouble {
        site.cloud.fail_at_upkeeps(3, Duration::from_millis(750));
    }
    let from_ms = site.now_ms();
    // Two machines stay free of the wave, so that the ordinary work has room.
    let machines = "[\"m-0\",\"m-1\",\"m-2\",\"m-3\"]";
    let wave = format!("{{\"wave\":1,\"machines\":{machines},\"duration_s\":{DURATION_S},\"cap\":{CAP}}}");
    site.store.write("op", "wave/1", &wave);
    let ordinary = one_step(6, 3_500, 6_500, 1_000, 75);
    let planned = (0..DURATION_S as usize)
        .map(|number| Planned { at_ms: from_ms + 1_000 * number as u64, id: id(7, number), body: ordinary.clone() });
    for thread in consumers.submit_all(planned.collect(), 8) {
        let _ = thread.join();
    }
    sleep_ms(3_000);
    let calls = site.cloud.upkeep_calls();
    let over = calls.iter().filter(|call| call.has_begun && call.down.len() >= CAP).count();
    let begun = calls.iter().filter(|call| call.has_begun).count();
    let mut record = String::new();
    let _ = writeln!(record, "trouble: {has_trouble}; wave 1 of {machines} at {from_ms} ms, cap {CAP}");
    let _ = writeln!(record, "upkeeps begun: {begun}; begun while {CAP} or more of the wave were down: {over}");
    let _ = writeln!(record, "\ncalls for upkeep: ms, machine, answer, whether the upkeep began, machines down for theirs");
    for call in &calls {
        let _ = writeln!(
            record, "{} {} {} {} {:?}",
            call.at_ms, call.machine, call.answer, call.has_begun, call.down
        );
    }
    record_calls(&mut record, &consumers.calls());
    record_spans(&mut record, "runs", site.spans().iter());
    if begun == 0 {
        return Outcome { code: 2, summary: "no upkeep began".into(), record };
    }
    let summary = format!("{over} of {begun} upkeeps began while {CAP} machine of the wave was down");
    Outcome { code: i32::from(over > 0), summary, record }
}

/// Rule MIXED. While one minion refuses all starts and the others are full, the owner is stopped as
/// planned, and the others are asked for the number of pending submissions.
fn pending_after_restart(folder: PathBuf, has_trouble: bool) -> Outcome {
    const REFUSAL_MS: u64 = 6_500;
    /// `visible_ms` + 2 s.
    const VISIBLE_MS: u64 = 5_000;
    const WAITING: usize = 30;
    const MINIONS: usize = 12;
    let mut site = Site::start(folder, MINIONS, 3);
    let consumers = Consumers::new(&site);
    if !await_service(&consumers) {
        return could_not_run("no entry took a submission");
    }
    sleep_ms(2_000);
    // Each of these submissions fills a minion of 64 cores; one minion stays free.
    let filling = one_step(16, 4_000, 4_000, 25_000, 75);
    let from_ms = site.now_ms();
    let planned = (0..MINIONS - 1).map(|number| Planned { at_ms: from_ms, id: id(1, number), body: filling.clone() });
    for thread in consumers.submit_all(planned.collect(), MINIONS) {
        let _ = thread.join();
    }
    sleep_ms(2_000);
    let is_idle = |minion: &&Arc<Minion>| minion.spans().iter().all(|span| span.to_ms.is_some());
    let idle: Vec<_> = site.minions.iter().filter(is_idle).cloned().collect();
    let [idle] = idle.as_slice() else {
        return could_not_run("the minions are not full");
    };
    if has_trouble {
        idle.refuse_starts(Duration::from_millis(REFUSAL_MS));
    }
    let refusal_ms = site.now_ms();
    let waiting = one_step(4, 500, 500, 1_000, 75);
    let planned = (0..WAITING).map(|number| Planned { at_ms: refusal_ms, id: id(2, number), body: waiting.clone() });
    for thread in consumers.submit_all(planned.collect(), 10) {
        let _ = thread.join();
    }
    let accepted_ms = site.now_ms();
    sleep_ms((refusal_ms + 3_000).saturating_sub(site.now_ms()));
    let Some(owner) = site.owner() else {
        return could_not_run("no entry is the owner");
    };
    let mut caller = consumers.caller(0);
    let others = (0..site.entries.len()).filter(|entry| *entry != owner);
    let before: Vec<Option<u64>> = others.map(|entry| caller.pending(entry)).collect();
    let stop_ms = site.now_ms();
    if has_trouble {
        site.entries[owner].terminate();
    }
    sleep_ms((accepted_ms + VISIBLE_MS + 100).saturating_sub(site.now_ms()));
    let mut record = String::new();
    let _ = writeln!(record, "trouble: {has_trouble}; {} refuses starts from {refusal_ms} ms for {REFUSAL_MS} ms and entry {} is stopped at {stop_ms} ms, if so", idle.id, owner + 1);
    let _ = writeln!(record, "{WAITING} submissions accepted by {accepted_ms} ms");
    let _ = writeln!(record, "pending as the other entries answered just before {stop_ms} ms: {before:?}");
    let _ = writeln!(record, "\nat ms, entry, pending as answered, submissions accepted {VISIBLE_MS} ms before without a start");
    let (mut answers, mut wrong) = (0, 0);
    while site.now_ms() < refusal_ms + REFUSAL_MS - 100 {
        for entry in (0..site.entries.len()).filter(|entry| *entry != owner) {
            let asked_ms = site.now_ms();
            let pending = caller.pending(entry);
            let spans = site.spans();
            let is_waiting = |number: &usize| !spans.iter().any(|span| span.task.starts_with(&id(2, *number)));
            let true_count = (0..WAITING).filter(is_waiting).count() as u64;
            let _ = writeln!(record, "{asked_ms} {} {pending:?} {true_count}", entry + 1);
            answers += u32::from(pending.is_some());
            wrong += u32::from(pending.is_some_and(|pending| pending * 2 < true_count));
        }
        sleep_ms(150);
    }
    sleep_ms(4_000);
    if has_trouble {
        site.entries[owner].kill();
        site.entries[owner].start();
        sleep_ms(2_000);
    }
    record_calls(&mut record, &consumers.calls());
    record_spans(&mut record, "runs of the waiting submissions", site.spans().iter().filter(|span| span.task.starts_with("0002")));
    if answers == 0 {
        return Outcome { code: 2, summary: "no entry answered".into(), record };
    }
    let summary = format!("{wrong} of {answers} answers gave less than half of the pending submissions");
    Outcome { code: i32::from(wrong > 0), summary, record }
}
