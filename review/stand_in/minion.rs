//! Minions: runs under leases and fence numbers, and the ends that they list, as PROTOCOL.md says.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Answer, Request};
use crate::json::{Json, quote};

/// `hold_max_ms` of the settings.
const LONGEST_LEASE_MS: u64 = 10_000;
/// A stop takes at most `stop_ms`, 900.
const STOP_MS: u64 = 100;
const LONGEST_WAIT_MS: u64 = 2_000;
/// Ends that one answer returns.
const LISTED_ENDS: usize = 500;

/// A run as its minion saw it, with times in milliseconds since the start of the script.
#[derive(Debug, Clone)]
pub struct Span {
    pub task: String,
    pub run: u64,
    pub minion: String,
    pub from_ms: u64,
    pub to_ms: Option<u64>,
    pub how: &'static str,
    /// When `ack_cursor` reached the end.
    pub acked_ms: Option<u64>,
    /// Whether the lease lapsed between the end and its ack.
    pub has_lapsed_since: bool,
}

struct Run {
    span: usize,
    /// `None` for a subtask that lasts.
    done_ms: Option<u64>,
    stopped_ms: Option<u64>,
}

#[derive(Default)]
struct State {
    fence: u64,
    lease_until_ms: u64,
    lapsed_ms: u64,
    runs: Vec<Run>,
    /// The numbers of the ends that are not acked, each with its span.
    ends: Vec<(u64, usize)>,
    last_end: u64,
    has_left: bool,
    /// Starts are refused with 503 until then.
    refuses_until_ms: u64,
    /// The highest run of each subtask that was started, stopped or has ended here.
    highest: BTreeMap<String, u64>,
    spans: Vec<Span>,
}

pub struct Minion {
    pub id: String,
    pub address: SocketAddr,
    born: u64,
    began_at: Instant,
    state: Mutex<State>,
}

impl Minion {
    pub fn start(id: &str, began_at: Instant, born: u64) -> Arc<Minion> {
        let slot: Arc<Mutex<Option<Arc<Minion>>>> = Arc::default();
        let served = Arc::clone(&slot);
        let address = http::serve(move |request| {
            let minion = served.lock().unwrap().clone()?;
            minion.answer(request)
        });
        let minion = Arc::new(Minion { id: id.into(), address, born, began_at, state: Mutex::default() });
        *slot.lock().unwrap() = Some(Arc::clone(&minion));
        minion
    }

    /// Returns the entry of the minion in the platform's store.
    pub fn entry(&self, service: &str, zone: &str, rack: &str, seq: u64) -> String {
        format!(
            "{{\"service\":{},\"address\":\"{}\",\"zone\":{},\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\
             \"cold_left_ms\":0,\"seq\":{seq},\"born\":{},\"capacity\":{{\"cpu\":64000,\"mem_mb\":131072,\"gpu\":0}},\
             \"labels\":[\"a\",{}]}}",
            quote(service), self.address, quote(zone), self.born, quote(rack)
        )
    }

    pub fn spans(&self) -> Vec<Span> {
        let mut state = self.state.lock().unwrap();
        state.end_elapsed(self.now_ms());
        state.spans.clone()
    }

    /// Refuses all starts for this time, as an unhealthy minion.
    pub fn refuse_starts(&self, time: Duration) {
        self.state.lock().unwrap().refuses_until_ms = self.now_ms() + time.as_millis() as u64;
    }

    /// Ends the minion with all that runs on it; calls get no answer from then on.
    pub fn leave(&self) {
        let now_ms = self.now_ms();
        let mut state = self.state.lock().unwrap();
        state.end_elapsed(now_ms);
        let state = &mut *state;
        for run in state.runs.drain(..) {
            state.spans[run.span].to_ms = Some(now_ms);
            state.spans[run.span].how = "gone";
        }
        state.has_left = true;
    }

    /// Starts the minion that follows this one on its machine.
    pub fn successor(&self) -> Arc<Minion> {
        let born = self.born + self.now_ms();
        Minion::start(&format!("{}-next", self.id), self.began_at, born)
    }

    fn now_ms(&self) -> u64 {
        self.began_at.elapsed().as_millis() as u64
    }

    fn answer(&self, request: &Request) -> Answer {
        if self.state.lock().unwrap().has_left {
            return None;
        }
        let expected = request.header("x-expect-instance");
        if !expected.is_empty() && expected != self.id {
            return Some((421, "{}".into()));
        }
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        match request.path.as_str() {
            "/-/run-start" => Some(self.start_run(&body)),
            "/-/run-stop" => Some(self.stop_run(&body)),
            "/-/hold" => Some(self.hold(&body)),
            "/-/pace" => Some((200, format!("{{\"clock_ms\":{}}}", self.now_ms()))),
            _ => Some((404, "{}".into())),
        }
    }

    fn refusal(now_ms: u64, reason: &str) -> (u16, String) {
        (409, format!("{{\"clock_ms\":{now_ms},\"reason\":\"{reason}\"}}"))
    }

    fn start_run(&self, body: &Json) -> (u16, String) {
        let now_ms = self.now_ms();
        let mut state = self.state.lock().unwrap();
        state.end_elapsed(now_ms);
        if now_ms < state.refuses_until_ms {
            return (503, format!("{{\"clock_ms\":{now_ms}}}"));
        }
        if !state.is_newest_fence(body) {
            return Self::refusal(now_ms, "fence");
        }
        let deadline_ms = body.get("deadline_ms").number();
        if deadline_ms < now_ms {
            return Self::refusal(now_ms, "late");
        }
        state.extend_lease(deadline_ms, now_ms);
        let (task, run) = (body.get("task").text(), body.get("run").number());
        let is_here = |entry: &Run| {
            let span = &state.spans[entry.span];
            span.task == task && span.run == run
        };
        if state.runs.iter().any(is_here) {
            return (200, format!("{{\"clock_ms\":{now_ms}}}"));
        }
        if state.highest.get(task).is_some_and(|highest| *highest >= run) {
            return Self::refusal(now_ms, "old");
        }
        state.highest.insert(task.into(), run);
        let span = state.spans.len();
        state.spans.push(Span {
            task: task.into(),
            run,
            minion: self.id.clone(),
            from_ms: now_ms,
            to_ms: None,
            how: "running",
            acked_ms: None,
            has_lapsed_since: false,
        });
        // The program of a subtask names the time that it takes.
        let spec = body.get("spec").text();
        let work_ms: u64 = spec.split(' ').next().and_then(|word| word.parse().ok()).unwrap_or(1_000);
        state.runs.push(Run { span, done_ms: Some(now_ms + work_ms), stopped_ms: None });
        (200, format!("{{\"clock_ms\":{now_ms}}}"))
    }

    fn stop_run(&self, body: &Json) -> (u16, String) {
        let now_ms = self.now_ms();
        let mut state = self.state.lock().unwrap();
        state.end_elapsed(now_ms);
        if !state.is_newest_fence(body) {
            return Self::refusal(now_ms, "fence");
        }
        let (task, run) = (body.get("task").text().to_owned(), body.get("run").number());
        let state = &mut *state;
        for entry in &mut state.runs {
            let span = &state.spans[entry.span];
            if span.task == task && span.run <= run {
                entry.stopped_ms.get_or_insert(now_ms + STOP_MS);
            }
        }
        let highest = state.highest.entry(task).or_default();
        *highest = (*highest).max(run);
        (200, format!("{{\"clock_ms\":{now_ms}}}"))
    }

    fn hold(&self, body: &Json) -> (u16, String) {
        let wait_ms = body.get("wait_ms").number().min(LONGEST_WAIT_MS);
        let until_ms = self.now_ms() + wait_ms;
        {
            let now_ms = self.now_ms();
            let mut state = self.state.lock().unwrap();
            if !state.is_newest_fence(body) {
                return Self::refusal(now_ms, "fence");
            }
            state.end_elapsed(now_ms);
            state.extend_lease(body.get("deadline_ms").number(), now_ms);
            state.acknowledge(body.get("ack_cursor").number(), now_ms);
        }
        loop {
            let now_ms = self.now_ms();
            let mut state = self.state.lock().unwrap();
            state.end_elapsed(now_ms);
            if !state.ends.is_empty() || now_ms >= until_ms {
                return (200, state.lists(now_ms, self.born));
            }
            drop(state);
            thread::sleep(Duration::from_millis(4));
        }
    }
}

impl State {
    fn is_newest_fence(&mut self, body: &Json) -> bool {
        let fence = body.get("fencing_token").number();
        let is_newest = fence >= self.fence;
        self.fence = self.fence.max(fence);
        is_newest
    }

    fn extend_lease(&mut self, deadline_ms: u64, now_ms: u64) {
        if self.lease_until_ms < now_ms {
            self.lapsed_ms = self.lease_until_ms;
        }
        let deadline_ms = deadline_ms.min(now_ms + LONGEST_LEASE_MS);
        self.lease_until_ms = self.lease_until_ms.max(deadline_ms);
    }

    fn acknowledge(&mut self, cursor: u64, now_ms: u64) {
        let acked = self.ends.partition_point(|(number, _)| *number <= cursor);
        for (_, span) in self.ends.drain(..acked) {
            let span = &mut self.spans[span];
            span.acked_ms = Some(now_ms);
            span.has_lapsed_since = span.to_ms.is_some_and(|to_ms| to_ms <= self.lapsed_ms);
        }
    }

    /// Ends the runs that are done, stopped, or whose lease has lapsed.
    fn end_elapsed(&mut self, now_ms: u64) {
        let lease_until_ms = self.lease_until_ms;
        let mut ended = Vec::new();
        self.runs.retain(|run| {
            let events = [("done", run.done_ms), ("stopped", run.stopped_ms), ("lapsed", Some(lease_until_ms))];
            let first = events.into_iter().filter_map(|(how, at)| Some((at?, how))).min();
            let Some((at_ms, how)) = first.filter(|(at_ms, _)| *at_ms <= now_ms) else {
                return true;
            };
            ended.push((at_ms, how, run.span));
            false
        });
        ended.sort_unstable();
        for (at_ms, how, span) in ended {
            self.spans[span].to_ms = Some(at_ms);
            self.spans[span].how = how;
            self.last_end += 1;
            self.ends.push((self.last_end, span));
        }
    }

    /// The body of an answer to a hold: both lists.
    fn lists(&self, now_ms: u64, born: u64) -> String {
        let running = self.runs.iter().map(|run| {
            let span = &self.spans[run.span];
            let percent = run.done_ms.map_or(100, |done_ms| {
                (now_ms - span.from_ms) * 100 / (done_ms - span.from_ms).max(1)
            });
            format!("[{},{},\"\",{percent},100]", quote(&span.task), span.run)
        });
        let finished = self.ends.iter().take(LISTED_ENDS).map(|(number, span)| {
            let span = &self.spans[*span];
            format!("[{number},{},{},\"{}\",\"\"]", quote(&span.task), span.run, span.how)
        });
        let (running, finished): (Vec<_>, Vec<_>) = (running.collect(), finished.collect());
        format!(
            "{{\"clock_ms\":{now_ms},\"born\":{born},\"running\":[{}],\"finished\":[{}]}}",
            running.join(","), finished.join(",")
        )
    }
}
