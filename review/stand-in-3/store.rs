//! The platform's store: rows with versions, transactions, pages and feeds.

use std::collections::BTreeMap;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Answer, Request};
use crate::json::{Json, encode_base64, quote};

const MAX_PAGE_ROWS: usize = 500;
const MAX_PAGE_BYTES: usize = 1_000_000;
const MAX_VALUE_BYTES: usize = 65_536;
const MAX_ENTRIES: usize = 100;

/// Table, part and key.
pub type Key = (String, String, String);

#[derive(Clone)]
pub struct Row {
    /// In base64.
    pub value: String,
    pub version: u64,
    pub is_removed: bool,
}

#[derive(Default)]
pub struct Rows {
    pub version: u64,
    pub rows: BTreeMap<Key, Row>,
}

pub struct Store {
    pub rows: Mutex<Rows>,
    changed: Condvar,
    started_at: Instant,
    /// How long an answer takes.
    answer_time: Duration,
}

fn row_key(row: &Json) -> Key {
    let text = |name: &str| row.get(name).text().to_owned();
    (text("table"), text("part"), text("key"))
}

fn row_json(key: &Key, row: &Row) -> String {
    format!(
        "{{\"table\":{},\"part\":{},\"key\":{},\"value\":\"{}\",\"ver\":{}{}}}",
        quote(&key.0),
        quote(&key.1),
        quote(&key.2),
        row.value,
        row.version,
        if row.is_removed {
            ",\"deleted\":true"
        } else {
            ""
        }
    )
}

impl Store {
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            rows: Mutex::default(),
            changed: Condvar::new(),
            started_at: Instant::now(),
            answer_time: Duration::from_millis(4),
        })
    }

    /// Writes a row as the operator, a minion or an earlier process does.
    pub fn write(&self, table: &str, part: &str, key: &str, value: &[u8]) {
        let mut rows = self.rows.lock().expect("rows");
        rows.version += 1;
        let version = rows.version;
        let key = (table.to_owned(), part.to_owned(), key.to_owned());
        let value = encode_base64(value);
        rows.rows.insert(
            key,
            Row {
                value,
                version,
                is_removed: false,
            },
        );
        self.changed.notify_all();
    }

    /// Removes a row, as the platform does with the entry of a minion that is silent.
    pub fn remove(&self, table: &str, key: &str) {
        let mut rows = self.rows.lock().expect("rows");
        rows.version += 1;
        let version = rows.version;
        let key = (table.to_owned(), String::new(), key.to_owned());
        rows.rows.insert(
            key,
            Row {
                value: String::new(),
                version,
                is_removed: true,
            },
        );
        self.changed.notify_all();
    }

    /// Returns the rows of a table that exist.
    pub fn rows_of(&self, table: &str) -> Vec<(Key, Row)> {
        let rows = self.rows.lock().expect("rows");
        let of_table = rows.rows.iter().filter(|(key, _)| key.0 == table);
        let existing = of_table.filter(|(_, row)| !row.is_removed);
        existing
            .map(|(key, row)| (key.clone(), row.clone()))
            .collect()
    }

    pub fn answer(&self, request: &Request) -> Answer {
        std::thread::sleep(self.answer_time);
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/-/rows-tx") => Some(self.commit(&Json::parse(&request.body))),
            ("GET", "/-/rows-get") => Some(self.read(request)),
            ("GET", "/-/rows-feed") => Some(self.feed(request)),
            _ => Some((404, String::new())),
        }
    }

    fn tail(&self, rows: &Rows) -> String {
        let now_ms = self.started_at.elapsed().as_millis();
        format!("\"ver\":{},\"now_ms\":{now_ms}", rows.version)
    }

    fn commit(&self, body: &Json) -> (u16, String) {
        let list = |name: &str| body.get(name).list();
        let (expected, writes, remove) = (list("expected"), list("writes"), list("remove"));
        let is_too_long = |row: &Json| row.get("value").text().len() > MAX_VALUE_BYTES;
        let is_forbidden = |row: &Json| matches!(row.get("table").text(), "op" | "servers");
        if expected.len() + writes.len() + remove.len() > MAX_ENTRIES
            || writes.iter().any(is_too_long)
        {
            return (400, String::new());
        }
        if writes.iter().chain(remove).any(is_forbidden) {
            return (403, String::new());
        }
        let mut rows = self.rows.lock().expect("rows");
        let is_met = |row: &Json| {
            let current = rows.rows.get(&row_key(row)).filter(|row| !row.is_removed);
            row.get("ver").number() == Some(current.map_or(0, |row| row.version))
        };
        if !expected.iter().all(is_met) {
            let keys = expected.iter().map(row_key);
            let current = keys.filter_map(|key| rows.rows.get_key_value(&key));
            let current = current.filter(|(_, row)| !row.is_removed);
            let current: Vec<String> = current.map(|(key, row)| row_json(key, row)).collect();
            return (
                412,
                format!("{{\"rows\":[{}],{}}}", current.join(","), self.tail(&rows)),
            );
        }
        rows.version += 1;
        let version = rows.version;
        for row in writes {
            let value = row.get("value").text().to_owned();
            rows.rows.insert(
                row_key(row),
                Row {
                    value,
                    version,
                    is_removed: false,
                },
            );
        }
        for row in remove {
            let removed = Row {
                value: String::new(),
                version,
                is_removed: true,
            };
            rows.rows.insert(row_key(row), removed);
        }
        self.changed.notify_all();
        (200, format!("{{{}}}", self.tail(&rows)))
    }

    fn read(&self, request: &Request) -> (u16, String) {
        let (table, part) = (request.parameter("table"), request.parameter("part"));
        let (from, to) = (request.parameter("from"), request.parameter("to"));
        let limit = request.parameter("limit").parse().unwrap_or(MAX_PAGE_ROWS);
        let limit = limit.min(MAX_PAGE_ROWS);
        let rows = self.rows.lock().expect("rows");
        let (mut found, mut bytes, mut has_more) = (Vec::new(), 0, false);
        let begin = (table.clone(), part.clone(), from);
        for (key, row) in rows.rows.range(begin..) {
            if key.0 != table || key.1 != part || !to.is_empty() && key.2 >= to {
                break;
            }
            if row.is_removed {
                continue;
            }
            bytes += row.value.len();
            if !found.is_empty() && (found.len() >= limit || bytes > MAX_PAGE_BYTES) {
                has_more = true;
                break;
            }
            found.push(row_json(key, row));
        }
        let tail = self.tail(&rows);
        (
            200,
            format!(
                "{{\"rows\":[{}],\"has_more\":{has_more},{tail}}}",
                found.join(",")
            ),
        )
    }

    fn feed(&self, request: &Request) -> (u16, String) {
        let table = request.parameter("table");
        let after: u64 = request.parameter("after").parse().unwrap_or(0);
        let wait_ms = request
            .parameter("wait_ms")
            .parse()
            .unwrap_or(0_u64)
            .min(30_000);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut rows = self.rows.lock().expect("rows");
        loop {
            let begin = (table.clone(), String::new(), String::new());
            let of_table = rows
                .rows
                .range(begin..)
                .take_while(|(key, _)| key.0 == table);
            let mut changed: Vec<_> = of_table.filter(|(_, row)| row.version > after).collect();
            if !changed.is_empty() || Instant::now() >= until {
                changed.sort_by_key(|(_, row)| row.version);
                let changed: Vec<String> = changed
                    .into_iter()
                    .map(|(key, row)| row_json(key, row))
                    .collect();
                return (
                    200,
                    format!("{{\"rows\":[{}],{}}}", changed.join(","), self.tail(&rows)),
                );
            }
            let left = until.saturating_duration_since(Instant::now());
            rows = self.changed.wait_timeout(rows, left).expect("rows").0;
        }
    }
}
