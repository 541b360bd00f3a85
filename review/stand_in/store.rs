//! The platform's store: rows in tables, transactions, reads and the feed of changes, with the
//! limits that PROTOCOL.md and the settings of the site state.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Answer, Request};
use crate::json::{Json, quote};

/// `row_bytes` of the settings.
const ROW_BYTES: usize = 65_536;
/// `tx_ms` of the settings.
const TRANSACTION_TIME: Duration = Duration::from_millis(6);
/// `part_writes_per_s` of the settings is 200.
const PART_INTERVAL: Duration = Duration::from_millis(5);
/// The time of an answer of the store on the site's sheet.
const READ_TIME: Duration = Duration::from_millis(4);
const WRITES_PER_S: usize = 800;
const READS_PER_S: usize = 2_000;
const MAX_ENTRIES: usize = 100;
const MAX_CALL_BYTES: usize = 1 << 20;
const PAGE_ROWS: usize = 500;
const PAGE_BYTES: usize = 1 << 20;
const HISTORY: Duration = Duration::from_secs(20);
const LONGEST_WAIT_MS: u64 = 30_000;

#[derive(Clone)]
struct Row {
    /// Base64, as it was written.
    value: String,
    version: u64,
    is_removed: bool,
}

type Key = (String, String, String);

#[derive(Default)]
struct Rows {
    version: u64,
    rows: BTreeMap<Key, Row>,
    /// The changes of each table by version.
    changes: BTreeMap<String, Vec<(u64, Key)>>,
    /// Versions with the times at which they were given.
    history: VecDeque<(Instant, u64)>,
    forgotten: u64,
    part_free_at: BTreeMap<String, Instant>,
    writes: VecDeque<Instant>,
    reads: VecDeque<Instant>,
    down_until: Option<Instant>,
    /// Transactions that were refused since a value is longer than `ROW_BYTES`.
    refused_values: u64,
    largest_value: usize,
}

pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    began_at: Instant,
}

impl Store {
    /// Starts the store and returns it with its address.
    pub fn start(began_at: Instant) -> (Arc<Store>, SocketAddr) {
        let store = Arc::new(Store { rows: Mutex::default(), changed: Condvar::new(), began_at });
        let served = Arc::clone(&store);
        let address = http::serve(move |request| served.answer(request));
        (store, address)
    }

    /// Answers all calls with 503 for this time.
    pub fn go_down(&self, time: Duration) {
        self.rows.lock().unwrap().down_until = Some(Instant::now() + time);
    }

    /// Returns how many transactions were refused for a value that is too long, and the longest
    /// value that was sent.
    pub fn refused_values(&self) -> (u64, usize) {
        let rows = self.rows.lock().unwrap();
        (rows.refused_values, rows.largest_value)
    }

    /// Returns the number of rows of a table.
    pub fn count(&self, table: &str) -> usize {
        let rows = self.rows.lock().unwrap();
        rows.rows.iter().filter(|((of, ..), row)| of == table && !row.is_removed).count()
    }

    /// Writes a row for the operator or for a minion.
    pub fn write(&self, table: &str, key: &str, value: &str) {
        let mut rows = self.rows.lock().unwrap();
        let version = rows.next_version();
        rows.put((table.into(), String::new(), key.into()), encode_base64(value.as_bytes()), version, false);
        self.changed.notify_all();
    }

    /// Removes the row of a minion that has left.
    pub fn remove(&self, table: &str, key: &str) {
        let mut rows = self.rows.lock().unwrap();
        let version = rows.next_version();
        rows.put((table.into(), String::new(), key.into()), String::new(), version, true);
        self.changed.notify_all();
    }

    fn answer(&self, request: &Request) -> Answer {
        {
            let mut rows = self.rows.lock().unwrap();
            if rows.down_until.is_some_and(|until| Instant::now() < until) {
                return Some((503, "{}".into()));
            }
            let is_write = request.method == "POST";
            if !rows.admit(is_write) {
                return Some((429, "{}".into()));
            }
        }
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/-/rows-tx") => self.commit(request),
            ("GET", "/-/rows-get") => Some(self.read(request)),
            ("GET", "/-/rows-feed") => Some(self.feed(request)),
            _ => Some((404, "{}".into())),
        }
    }

    fn commit(&self, request: &Request) -> Answer {
        let Some(body) = Json::parse(&request.body) else {
            return Some((400, "{}".into()));
        };
        let entries = || ["expected", "writes", "remove"].into_iter().flat_map(|name| body.get(name).list());
        let part = entries().next().map_or("", |entry| entry.get("part").text()).to_owned();
        if request.body.len() > MAX_CALL_BYTES
            || entries().count() > MAX_ENTRIES
            || entries().any(|entry| entry.get("part").text() != part)
        {
            return Some((400, "{}".into()));
        }
        let longest = body.get("writes").list().iter().map(|write| decoded_length(write.get("value").text()));
        let longest = longest.max().unwrap_or(0);
        let due = {
            let mut rows = self.rows.lock().unwrap();
            rows.largest_value = rows.largest_value.max(longest);
            if longest > ROW_BYTES {
                rows.refused_values += 1;
                return Some((400, "{}".into()));
            }
            let now = Instant::now();
            let free_at = rows.part_free_at.get(&part).copied().unwrap_or(now).max(now);
            if free_at - now > Duration::from_secs(1) {
                return Some((429, "{}".into()));
            }
            rows.part_free_at.insert(part, free_at + PART_INTERVAL);
            free_at + TRANSACTION_TIME
        };
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let mut rows = self.rows.lock().unwrap();
        let expected = body.get("expected").list();
        let is_met = expected.iter().all(|entry| rows.version_of(&key_of(entry)) == entry.get("ver").number());
        if !is_met {
            let current = expected.iter().filter_map(|entry| rows.encode(&key_of(entry)));
            let current: Vec<String> = current.collect();
            let answer = format!(
                "{{\"ver\":{},\"now_ms\":{},\"rows\":[{}]}}",
                rows.version, self.now_ms(), current.join(",")
            );
            return Some((412, answer));
        }
        let version = rows.next_version();
        for write in body.get("writes").list() {
            rows.put(key_of(write), write.get("value").text().to_owned(), version, false);
        }
        for removed in body.get("remove").list() {
            let key = key_of(removed);
            if rows.version_of(&key) > 0 {
                rows.put(key, String::new(), version, true);
            }
        }
        self.changed.notify_all();
        Some((200, format!("{{\"ver\":{version},\"now_ms\":{}}}", self.now_ms())))
    }

    fn read(&self, request: &Request) -> (u16, String) {
        thread::sleep(READ_TIME);
        let rows = self.rows.lock().unwrap();
        let (table, part) = (request.query("table"), request.query("part"));
        let limit = request.query("limit").parse().unwrap_or(PAGE_ROWS).min(PAGE_ROWS);
        let from = (table.to_owned(), part.to_owned(), request.query("from").to_owned());
        let to = request.query("to");
        let (mut page, mut count, mut has_more) = (String::new(), 0, false);
        for (key, row) in rows.rows.range(from..) {
            if key.0 != table || key.1 != part || (!to.is_empty() && key.2.as_str() >= to) {
                break;
            }
            if row.is_removed {
                continue;
            }
            let encoded = encode_row(key, row);
            if count == limit || (count > 0 && page.len() + encoded.len() > PAGE_BYTES) {
                has_more = true;
                break;
            }
            if count > 0 {
                page.push(',');
            }
            page.push_str(&encoded);
            count += 1;
        }
        let answer = format!(
            "{{\"ver\":{},\"now_ms\":{},\"rows\":[{page}],\"has_more\":{has_more}}}",
            rows.version, self.now_ms()
        );
        (200, answer)
    }

    fn feed(&self, request: &Request) -> (u16, String) {
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait_ms = request.query("wait_ms").parse().unwrap_or(0).min(LONGEST_WAIT_MS);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        thread::sleep(READ_TIME);
        let mut rows = self.rows.lock().unwrap();
        loop {
            if after < rows.forgotten {
                return (410, "{}".into());
            }
            let changes = rows.changes.get(request.query("table")).map_or(&[][..], Vec::as_slice);
            let first = changes.partition_point(|(version, _)| *version <= after);
            let mut changed: Vec<String> = Vec::new();
            for (version, key) in &changes[first..] {
                // A later change of the same row stands for all of its changes.
                let row = &rows.rows[key];
                if row.version == *version {
                    changed.push(encode_row(key, row));
                }
            }
            let now = Instant::now();
            if !changed.is_empty() || now >= until {
                let answer = format!(
                    "{{\"ver\":{},\"now_ms\":{},\"rows\":[{}]}}",
                    rows.version, self.now_ms(), changed.join(",")
                );
                return (200, answer);
            }
            if rows.down_until.is_some_and(|until| now < until) {
                return (503, "{}".into());
            }
            rows = self.changed.wait_timeout(rows, until - now).unwrap().0;
        }
    }

    fn now_ms(&self) -> u128 {
        self.began_at.elapsed().as_millis()
    }
}

impl Rows {
    fn admit(&mut self, is_write: bool) -> bool {
        let (calls, limit) = if is_write {
            (&mut self.writes, WRITES_PER_S)
        } else {
            (&mut self.reads, READS_PER_S)
        };
        let now = Instant::now();
        while calls.front().is_some_and(|at| now - *at > Duration::from_secs(1)) {
            calls.pop_front();
        }
        let is_admitted = calls.len() < limit;
        if is_admitted {
            calls.push_back(now);
        }
        is_admitted
    }

    fn next_version(&mut self) -> u64 {
        let now = Instant::now();
        self.version += 1;
        self.history.push_back((now, self.version));
        while self.history.front().is_some_and(|(at, _)| now - *at > HISTORY) {
            self.forgotten = self.history.pop_front().map_or(0, |(_, version)| version);
        }
        self.version
    }

    fn put(&mut self, key: Key, value: String, version: u64, is_removed: bool) {
        let changes = self.changes.entry(key.0.clone()).or_default();
        changes.push((version, key.clone()));
        self.rows.insert(key, Row { value, version, is_removed });
    }

    fn version_of(&self, key: &Key) -> u64 {
        self.rows.get(key).filter(|row| !row.is_removed).map_or(0, |row| row.version)
    }

    fn encode(&self, key: &Key) -> Option<String> {
        let row = self.rows.get(key).filter(|row| !row.is_removed)?;
        Some(encode_row(key, row))
    }
}

fn key_of(entry: &Json) -> Key {
    let text = |name: &str| entry.get(name).text().to_owned();
    (text("table"), text("part"), text("key"))
}

fn encode_row(key: &Key, row: &Row) -> String {
    let (table, part, name) = (quote(&key.0), quote(&key.1), quote(&key.2));
    let version = row.version;
    if row.is_removed {
        return format!("{{\"table\":{table},\"part\":{part},\"key\":{name},\"ver\":{version},\"deleted\":true}}");
    }
    let value = &row.value;
    format!("{{\"table\":{table},\"part\":{part},\"key\":{name},\"ver\":{version},\"value\":\"{value}\"}}")
}

fn decoded_length(base64: &str) -> usize {
    base64.trim_end_matches('=').len() * 3 / 4
}

fn encode_base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut encoded = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for index in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * index) & 63) as usize];
            encoded.push(if index <= chunk.len() { digit as char } else { '=' });
        }
    }
    encoded
}
