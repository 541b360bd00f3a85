//! The platform's store: rows, transactions and feeds, as PROTOCOL.md says.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Bound;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Request, Response, serve};
use crate::json::Json;

/// `tx_ms` of the settings' example in DEPLOY.md.
const TRANSACTION: Duration = Duration::from_millis(6);

/// "4 ms an answer" (SYSTEM.md).
const ANSWER: Duration = Duration::from_millis(4);

const PAGE_ROWS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;

type Key = (String, String, String);

#[derive(Default)]
struct Rows {
    current: BTreeMap<Key, (String, u64)>,
    /// Every change, with the value or `None` for a removed row.
    changes: Vec<(u64, Key, Option<String>)>,
    version: u64,
}

#[derive(Clone)]
pub struct Store {
    rows: Arc<(Mutex<Rows>, Condvar)>,
    parts: Arc<Mutex<BTreeMap<String, Arc<Mutex<()>>>>>,
    started: Instant,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> Self {
        let mut store = Self {
            rows: Arc::default(),
            parts: Arc::default(),
            started: Instant::now(),
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
        };
        let serving = store.clone();
        store.address = serve(move |request| Some(serving.handle(&request)));
        store
    }

    /// Writes a row as the operator or a minion does.
    pub fn put(&self, table: &str, key: &str, value: &Json) {
        let key = (table.to_owned(), String::new(), key.to_owned());
        self.change(vec![(key, Some(base64(value.to_string().as_bytes())))]);
    }

    fn change(&self, changes: Vec<(Key, Option<String>)>) -> u64 {
        let mut rows = self.rows.0.lock().unwrap();
        let version = apply(&mut rows, changes);
        self.rows.1.notify_all();
        version
    }

    fn handle(&self, request: &Request) -> Response {
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/-/rows-tx") => self.transaction(&request.body),
            ("GET", "/-/rows-get") => self.page(request),
            ("GET", "/-/rows-feed") => self.feed(request),
            _ => Response::new(404, "{}"),
        }
    }

    fn transaction(&self, body: &str) -> Response {
        let Some(body) = Json::parse(body) else {
            return Response::new(400, "{}");
        };
        let key = |row: &Json| {
            let text = |name| row.get(name).text().to_owned();
            (text("table"), text("part"), text("key"))
        };
        let (expected, writes, removed) = (
            body.get("expected").list(),
            body.get("writes").list(),
            body.get("remove").list(),
        );
        let all = || expected.iter().chain(writes).chain(removed).map(key);
        let Some(part) = all().next().map(|key| key.1) else {
            return Response::new(400, "{}");
        };
        if all().any(|key| key.1 != part) || all().count() > 100 {
            return Response::new(400, "{}");
        }
        if writes
            .iter()
            .chain(removed)
            .any(|row| ["op", "servers"].contains(&row.get("table").text()))
        {
            return Response::new(403, "{}");
        }
        let lock = Arc::clone(self.parts.lock().unwrap().entry(part).or_default());
        let response = {
            // A part handles its transactions one after another.
            let _turn = lock.lock().unwrap();
            thread::sleep(TRANSACTION);
            let mut rows = self.rows.0.lock().unwrap();
            let version = |key: &Key| rows.current.get(key).map_or(0, |row| row.1);
            if expected
                .iter()
                .any(|row| version(&key(row)) != row.get("ver").number())
            {
                let found = expected.iter().map(key).filter_map(|key| {
                    let (value, version) = rows.current.get(&key)?;
                    Some(wire_row(&key, Some(value), *version))
                });
                let found = Json::List(found.collect());
                Response::new(412, self.answer(found, rows.version, false))
            } else {
                let value = |row: &Json| Some(row.get("value").text().to_owned());
                let changes = writes.iter().map(|row| (key(row), value(row)));
                let changes = changes.chain(removed.iter().map(|row| (key(row), None)));
                let version = apply(&mut rows, changes.collect());
                self.rows.1.notify_all();
                Response::new(200, self.answer(Json::List(Vec::new()), version, false))
            }
        };
        thread::sleep(ANSWER);
        response
    }

    fn page(&self, request: &Request) -> Response {
        let (table, part) = (request.parameter("table"), request.parameter("part"));
        let (from, to) = (request.parameter("from"), request.parameter("to"));
        let limit = request
            .parameter("limit")
            .parse()
            .unwrap_or(PAGE_ROWS)
            .min(PAGE_ROWS);
        let rows = self.rows.0.lock().unwrap();
        let (mut page, mut bytes, mut has_more) = (Vec::new(), 0, false);
        let first = (table.to_owned(), part.to_owned(), from.to_owned());
        for (key, (value, version)) in rows
            .current
            .range((Bound::Included(first), Bound::Unbounded))
        {
            if key.0 != table || key.1 != part || (!to.is_empty() && key.2.as_str() >= to) {
                break;
            }
            if page.len() >= limit || bytes + value.len() > PAGE_BYTES {
                has_more = true;
                break;
            }
            bytes += value.len();
            page.push(wire_row(key, Some(value), *version));
        }
        let body = self.answer(Json::List(page), rows.version, has_more);
        drop(rows);
        thread::sleep(ANSWER);
        Response::new(200, body)
    }

    fn feed(&self, request: &Request) -> Response {
        let table = request.parameter("table");
        let after: u64 = request.parameter("after").parse().unwrap_or(0);
        let wait_ms: u64 = request.parameter("wait_ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut rows = self.rows.0.lock().unwrap();
        let mut seen = after;
        let (changed, version) = loop {
            let first = rows.changes.partition_point(|change| change.0 <= seen);
            let mut newest: BTreeMap<&Key, (u64, Option<&String>)> = BTreeMap::new();
            for (version, key, value) in &rows.changes[first..] {
                if key.0 == table {
                    newest.insert(key, (*version, value.as_ref()));
                }
            }
            if !newest.is_empty() || Instant::now() >= until {
                let mut changed: Vec<_> = newest.into_iter().collect();
                changed.sort_by_key(|(_, (version, _))| *version);
                let changed = changed.into_iter();
                let changed = changed.map(|(key, (version, value))| wire_row(key, value, version));
                break (Json::List(changed.collect()), rows.version);
            }
            seen = rows.version;
            let left = until.saturating_duration_since(Instant::now());
            rows = self.rows.1.wait_timeout(rows, left).unwrap().0;
        };
        drop(rows);
        let body = self.answer(changed, version, false);
        thread::sleep(ANSWER);
        Response::new(200, body)
    }

    fn answer(&self, rows: Json, version: u64, has_more: bool) -> String {
        let now_ms = self.started.elapsed().as_millis();
        format!("{{\"rows\":{rows},\"has_more\":{has_more},\"ver\":{version},\"now_ms\":{now_ms}}}")
    }
}

fn apply(rows: &mut Rows, changes: Vec<(Key, Option<String>)>) -> u64 {
    rows.version += 1;
    let version = rows.version;
    for (key, value) in changes {
        match &value {
            Some(value) => drop(rows.current.insert(key.clone(), (value.clone(), version))),
            None => drop(rows.current.remove(&key)),
        }
        rows.changes.push((version, key, value));
    }
    version
}

fn wire_row(key: &Key, value: Option<&String>, version: u64) -> Json {
    let text = |text: &String| Json::Text(text.clone());
    Json::Object(vec![
        ("table".to_owned(), text(&key.0)),
        ("part".to_owned(), text(&key.1)),
        ("key".to_owned(), text(&key.2)),
        ("value".to_owned(), value.map_or(Json::Null, text)),
        ("ver".to_owned(), Json::Number(version as f64)),
        ("deleted".to_owned(), Json::Bool(value.is_none())),
    ])
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let group = chunk
            .iter()
            .fold(0_u32, |group, byte| group << 8 | u32::from(*byte));
        let group = group << (8 * (3 - chunk.len()));
        for index in 0..4 {
            if index <= chunk.len() {
                let digit = group >> (18 - 6 * index) & 63;
                out.push(char::from(DIGITS[digit as usize]));
            } else {
                out.push('=');
            }
        }
    }
    out
}
