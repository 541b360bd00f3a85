//! Minions and the machines' list, as PROTOCOL.md says. A minion reads its work from `spec`, which is
//! opaque to everybody else: `work_ms=300 fails=1` is work of 300 ms whose first run fails.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Request, Response, Server, serve, serve_at};
use crate::json::Json;
use crate::record::{Event, Record};

const MAX_ENDS: usize = 500;

/// `hold_max_ms`.
const LONGEST_LEASE_MS: u64 = 10_000;

/// How long a stop takes; at most `stop_ms`, 900 ms.
const STOP: Duration = Duration::from_millis(100);

struct Run {
    number: u64,
    started: Instant,
    work: Option<Duration>,
    fails: bool,
    stops_at: Option<Instant>,
}

struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
}

struct Life {
    born_ms: u64,
    began: Instant,
    fence: u64,
    lease_ends_ms: u64,
    running: BTreeMap<String, Run>,
    ends: Vec<End>,
    last_end: u64,
    /// The highest run that was stopped or has ended here.
    closed: BTreeMap<String, u64>,
    /// Until when it is cut off: no call reaches it, and it works on.
    cut_until: Option<Instant>,
    /// Until when starts are answered with 503, and nothing is done.
    unhealthy_until: Option<Instant>,
}

#[derive(Clone)]
pub struct Minion {
    pub id: String,
    pub machine: String,
    pub address: SocketAddr,
    pub cpu: u64,
    pub memory_mb: u64,
    life: Arc<(Mutex<Life>, Condvar)>,
    server: Arc<Mutex<Option<Server>>>,
    record: Record,
}

impl Life {
    fn new() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        Self {
            born_ms: since_epoch.as_millis() as u64,
            began: Instant::now(),
            fence: 0,
            lease_ends_ms: 0,
            running: BTreeMap::new(),
            ends: Vec::new(),
            last_end: 0,
            closed: BTreeMap::new(),
            cut_until: None,
            unhealthy_until: None,
        }
    }
}

impl Minion {
    pub fn start(number: usize, cpu: u64, memory_mb: u64, record: &Record) -> Self {
        let mut minion = Self {
            id: format!("i-{number:04}"),
            machine: format!("m-{number:04}"),
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            cpu,
            memory_mb,
            life: Arc::new((Mutex::new(Life::new()), Condvar::new())),
            server: Arc::default(),
            record: record.clone(),
        };
        minion.address = minion.listen().expect("a free port");
        let working = minion.clone();
        thread::spawn(move || {
            loop {
                working.work();
                thread::sleep(Duration::from_millis(5));
            }
        });
        minion
    }

    fn listen(&self) -> std::io::Result<SocketAddr> {
        let serving = self.clone();
        let born_ms = self.life.0.lock().unwrap().born_ms;
        let server = serve_at(self.address, move |request| {
            // A call to an earlier life neither reaches this one nor gets an answer from it.
            let is_same_life = || serving.life.0.lock().unwrap().born_ms == born_ms;
            if serving.wait_while_cut() || !is_same_life() {
                return None;
            }
            let response = serving.handle(&request);
            (!serving.wait_while_cut() && is_same_life()).then_some(response)
        })?;
        let address = server.address;
        *self.server.lock().unwrap() = Some(server);
        Ok(address)
    }

    /// Ends at once, and starts again under the same id after `down`, with nothing of before.
    pub fn crash(&self, down: Duration) {
        if let Some(server) = self.server.lock().unwrap().take() {
            server.end();
        }
        let ended = std::mem::replace(&mut *self.life.0.lock().unwrap(), Life::new());
        self.life.1.notify_all();
        self.record.line(format!("{} crashes", self.id));
        for task in ended.running.keys() {
            self.record.event(task, Event::Ended);
        }
        thread::sleep(down);
        *self.life.0.lock().unwrap() = Life::new();
        for _ in 0..100 {
            if self.listen().is_ok() {
                break;
            }
            thread::sleep(Duration::from_millis(2));
        }
        let born_ms = self.life.0.lock().unwrap().born_ms;
        self.record
            .line(format!("{} starts again, born {born_ms}", self.id));
    }

    fn capacity(&self) -> Json {
        object(&[
            ("cpu", number(self.cpu)),
            ("mem_mb", number(self.memory_mb)),
            ("gpu", number(0)),
        ])
    }

    fn labels(&self) -> Json {
        Json::List(vec![text("a"), text("rack-1")])
    }

    /// The entry under `servers/ID`.
    pub fn entry(&self) -> Json {
        object(&[
            ("service", text("svc")),
            ("address", text(&self.address.to_string())),
            ("zone", text("zone-a")),
            ("version", text("1")),
            ("slots", number(8)),
            ("state", text("ready")),
            ("cold_left_ms", number(0)),
            ("seq", number(1)),
            ("capacity", self.capacity()),
            ("labels", self.labels()),
            ("born", number(self.life.0.lock().unwrap().born_ms)),
        ])
    }

    pub fn be_unhealthy_for(&self, time: Duration) {
        self.life.0.lock().unwrap().unhealthy_until = Some(Instant::now() + time);
    }

    pub fn cut_off_for(&self, time: Duration) {
        self.record
            .line(format!("{} is cut off for {time:?}", self.id));
        self.life.0.lock().unwrap().cut_until = Some(Instant::now() + time);
    }

    /// Returns whether it was cut off; what came meanwhile is lost with its channel.
    fn wait_while_cut(&self) -> bool {
        let mut was_cut = false;
        while self
            .life
            .0
            .lock()
            .unwrap()
            .cut_until
            .is_some_and(|until| Instant::now() < until)
        {
            was_cut = true;
            thread::sleep(Duration::from_millis(5));
        }
        was_cut
    }

    pub fn is_at_work(&self, id: &str) -> bool {
        let life = self.life.0.lock().unwrap();
        life.running.keys().any(|task| task.starts_with(id))
    }

    /// Ends what is done, failed, stopped or without a lease.
    fn work(&self) {
        let mut life = self.life.0.lock().unwrap();
        let now_ms = life.began.elapsed().as_millis() as u64;
        let has_lapsed = now_ms > life.lease_ends_ms;
        let mut over = Vec::new();
        for (task, run) in &life.running {
            let worked = run.started.elapsed();
            let how = if has_lapsed {
                "lapsed"
            } else if run.stops_at.is_some_and(|at| Instant::now() >= at) {
                "stopped"
            } else if run.fails && run.work.is_some_and(|work| worked >= work) {
                "failed"
            } else if run.work.is_some_and(|work| worked >= work) {
                "done"
            } else {
                continue;
            };
            over.push((task.clone(), run.number, how));
        }
        for (task, run, how) in over {
            life.running.remove(&task);
            life.last_end += 1;
            let number = life.last_end;
            self.record
                .line(format!("{} ended {task} run {run} {how}", self.id));
            close(&mut life, &task, run);
            self.record.event(
                &task,
                if how == "done" {
                    Event::Done
                } else {
                    Event::Ended
                },
            );
            life.ends.push(End {
                number,
                task,
                run,
                how,
            });
            self.life.1.notify_all();
        }
    }

    fn handle(&self, request: &Request) -> Response {
        if request.header("x-expect-instance") != self.id {
            return Response::new(421, "{}");
        }
        let Some(body) = Json::parse(&request.body) else {
            return Response::new(400, "{}");
        };
        match request.path.as_str() {
            "/-/run-start" => self.run_start(&body),
            "/-/run-stop" => self.run_stop(&body),
            "/-/hold" => self.hold(&body),
            "/-/pace" => self.answer(&self.life.0.lock().unwrap(), 200, None),
            _ => Response::new(404, "{}"),
        }
    }

    fn answer(&self, life: &Life, status: u16, reason: Option<&str>) -> Response {
        let mut fields = vec![
            ("clock_ms", number(life.began.elapsed().as_millis() as u64)),
            ("born", number(life.born_ms)),
        ];
        fields.extend(reason.map(|reason| ("reason", text(reason))));
        Response::new(status, object(&fields).to_string())
    }

    fn run_start(&self, body: &Json) -> Response {
        let mut life = self.life.0.lock().unwrap();
        if life
            .unhealthy_until
            .is_some_and(|until| Instant::now() < until)
        {
            self.record.line(format!(
                "{} answers 503 to a start of {}",
                self.id,
                body.get("task").text()
            ));
            return Response::new(503, "{}");
        }
        let now_ms = life.began.elapsed().as_millis() as u64;
        let (task, run) = (body.get("task").text().to_owned(), body.get("run").number());
        let (fence, deadline_ms) = (
            body.get("fencing_token").number(),
            body.get("deadline_ms").number(),
        );
        if fence < life.fence {
            return self.answer(&life, 409, Some("fence"));
        }
        life.fence = fence;
        if deadline_ms <= now_ms {
            return self.answer(&life, 409, Some("late"));
        }
        extend(&mut life, deadline_ms, now_ms);
        if life
            .running
            .get(&task)
            .is_some_and(|present| present.number == run)
        {
            return self.answer(&life, 200, None);
        }
        if life.closed.get(&task).is_some_and(|closed| run <= *closed) {
            return self.answer(&life, 409, Some("old"));
        }
        let spec = body.get("spec").text();
        let field = |name: &str| {
            let mut words = spec.split(' ').filter_map(|word| word.split_once('='));
            words
                .find(|(field, _)| *field == name)
                .and_then(|(_, value)| value.parse::<u64>().ok())
        };
        self.record
            .line(format!("{} starts {task} run {run} fence {fence}", self.id));
        self.record.event(&task, Event::Started);
        let new = Run {
            number: run,
            started: Instant::now(),
            work: field("work_ms").map(Duration::from_millis),
            fails: run <= field("fails").unwrap_or(0),
            stops_at: None,
        };
        life.running.insert(task, new);
        self.answer(&life, 200, None)
    }

    fn run_stop(&self, body: &Json) -> Response {
        let mut life = self.life.0.lock().unwrap();
        let (task, run) = (body.get("task").text().to_owned(), body.get("run").number());
        let fence = body.get("fencing_token").number();
        if fence < life.fence {
            return self.answer(&life, 409, Some("fence"));
        }
        life.fence = fence;
        match life
            .running
            .get_mut(&task)
            .filter(|present| present.number == run)
        {
            Some(present) => drop(present.stops_at.get_or_insert(Instant::now() + STOP)),
            None => close(&mut life, &task, run),
        }
        self.answer(&life, 200, None)
    }

    fn hold(&self, body: &Json) -> Response {
        let mut life = self.life.0.lock().unwrap();
        let fence = body.get("fencing_token").number();
        if fence < life.fence {
            return self.answer(&life, 409, Some("fence"));
        }
        life.fence = fence;
        let now_ms = life.began.elapsed().as_millis() as u64;
        let deadline_ms = body.get("deadline_ms").number();
        if deadline_ms > now_ms {
            extend(&mut life, deadline_ms, now_ms);
        }
        let acknowledged = body.get("ack_cursor").number();
        for end in life.ends.iter().filter(|end| end.number <= acknowledged) {
            let (task, number) = (&end.task, end.number);
            self.record.line(format!(
                "{} end {number} of {task} is taken note of, ack_cursor {acknowledged}",
                self.id
            ));
            if end.how == "done" {
                self.record.event(task, Event::Noted);
            }
        }
        life.ends.retain(|end| end.number > acknowledged);
        let wait = Duration::from_millis(body.get("wait_ms").number().min(2_000));
        let until = Instant::now() + wait;
        while life.ends.is_empty() && Instant::now() < until {
            let left = until.saturating_duration_since(Instant::now());
            life = self.life.1.wait_timeout(life, left).unwrap().0;
        }
        let running = life.running.iter().map(|(task, run)| {
            let percent = run.work.map_or(100, |work| {
                let done = run.started.elapsed().as_secs_f64() / work.as_secs_f64().max(0.001);
                (done * 100.0).min(99.0) as u64
            });
            Json::List(vec![
                text(task),
                number(run.number),
                text(""),
                number(percent),
                number(0),
            ])
        });
        let ends = life.ends.iter().take(MAX_ENDS).map(|end| {
            let task = text(&end.task);
            Json::List(vec![
                number(end.number),
                task,
                number(end.run),
                text(end.how),
                text(""),
            ])
        });
        let answer = object(&[
            ("clock_ms", number(life.began.elapsed().as_millis() as u64)),
            ("born", number(life.born_ms)),
            ("running", Json::List(running.collect())),
            ("finished", Json::List(ends.collect())),
        ]);
        Response::new(200, answer.to_string())
    }
}

fn close(life: &mut Life, task: &str, run: u64) {
    let closed = life.closed.entry(task.to_owned()).or_default();
    *closed = run.max(*closed);
}

/// Lengthens the lease of everything that runs; it never shortens.
fn extend(life: &mut Life, deadline_ms: u64, now_ms: u64) {
    let deadline_ms = deadline_ms.min(now_ms + LONGEST_LEASE_MS);
    life.lease_ends_ms = life.lease_ends_ms.max(deadline_ms);
}

/// Lists the machines of the minions; it has no other pool to move one to, and no wave.
pub fn serve_machines(minions: Vec<Minion>) -> SocketAddr {
    serve(move |request| {
        if request.method != "GET" || request.path != "/-/machines" {
            return Some(Response::new(400, "{}"));
        }
        let rows = minions.iter().map(|minion| {
            object(&[
                ("machine", text(&minion.machine)),
                ("pool", text("svc")),
                ("state", text("up")),
                ("zone", text("zone-a")),
                ("labels", minion.labels()),
                ("capacity", minion.capacity()),
                ("id", text(&minion.id)),
            ])
        });
        let list = object(&[
            ("machines", Json::List(rows.collect())),
            ("next_token", text("")),
        ]);
        Some(Response::new(200, list.to_string()))
    })
}

pub fn object(fields: &[(&str, Json)]) -> Json {
    let fields = fields
        .iter()
        .map(|(name, value)| ((*name).to_owned(), value.clone()));
    Json::Object(fields.collect())
}

pub fn text(text: &str) -> Json {
    Json::Text(text.to_owned())
}

pub fn number(number: u64) -> Json {
    Json::Number(number as f64)
}
