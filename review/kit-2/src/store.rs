//! The platform's metadata store: rows, transactions and the feed of changes.

use std::collections::BTreeMap;
use std::net::TcpStream;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{respond, Request};
use crate::json::{self, quote, Json};

#[derive(Clone)]
struct Row {
    /// Base64; `None` once removed.
    value: Option<String>,
    version: u64,
}

#[derive(Default)]
struct State {
    version: u64,
    rows: BTreeMap<(String, String), Row>,
}

/// A store; clones share it.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    started: Instant,
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn base64(text: &str) -> String {
    let mut out = String::new();
    for part in text.as_bytes().chunks(3) {
        let word = (u32::from(part[0]) << 16)
            | (u32::from(*part.get(1).unwrap_or(&0)) << 8)
            | u32::from(*part.get(2).unwrap_or(&0));
        for place in 0..4 {
            if place <= part.len() {
                out.push(ALPHABET[(word >> (18 - 6 * place)) as usize & 63] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

impl Store {
    pub fn new() -> Self {
        Self { state: Arc::default(), started: Instant::now() }
    }

    /// Writes a row as the operator or a server does.
    pub fn put(&self, table: &str, key: &str, text: &str) -> u64 {
        self.write(table, key, Some(base64(text)))
    }

    fn write(&self, table: &str, key: &str, value: Option<String>) -> u64 {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.version += 1;
        let version = state.version;
        state.rows.insert((table.to_owned(), key.to_owned()), Row { value, version });
        changed.notify_all();
        version
    }

    fn now_ms(&self) -> u128 {
        self.started.elapsed().as_millis()
    }

    /// Answers a call.
    pub fn handle(&self, request: &Request, out: &mut TcpStream) -> bool {
        let (status, body) = match (request.method.as_str(), request.plain_path()) {
            ("GET", "/api/rows-get") => (200, self.get(request)),
            ("GET", "/api/rows-feed") => (200, self.feed(request)),
            ("POST", "/api/rows-tx") => self.transact(request),
            _ => (404, "{}".to_owned()),
        };
        let headers = [("Content-Type", "application/json")];
        respond(out, status, &headers, body.as_bytes()).is_ok()
    }

    fn get(&self, request: &Request) -> String {
        let (table, from, before) =
            (request.query("tableName"), request.query("from"), request.query("targetVersion"));
        let limit = request.query("limit").parse().unwrap_or(500_usize).clamp(1, 500);
        let state = self.state.0.lock().unwrap();
        let rows = state.rows.iter().filter(|((of, key), row)| {
            *of == table
                && row.value.is_some()
                && key.as_bytes() >= from.as_bytes()
                && (before.is_empty() || key.as_bytes() < before.as_bytes())
        });
        let all: Vec<_> = rows.take(limit + 1).collect();
        let texts: Vec<String> = all.iter().take(limit).map(|(key, row)| row_text(key, row)).collect();
        format!(
            "{{\"rows\":[{}],\"hasMore\":{},\"schemaVer\":{},\"nowMs\":{}}}",
            texts.join(","),
            all.len() > limit,
            state.version,
            self.now_ms()
        )
    }

    fn feed(&self, request: &Request) -> String {
        let table = request.query("tableName");
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait = Duration::from_millis(request.query("waitMs").parse().unwrap_or(0).min(30_000));
        let until = Instant::now() + wait;
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        loop {
            let mut rows: Vec<_> = state
                .rows
                .iter()
                .filter(|((of, _), row)| *of == table && row.version > after)
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                rows.sort_by_key(|(_, row)| row.version);
                let texts: Vec<String> = rows.iter().map(|(key, row)| row_text(key, row)).collect();
                return format!(
                    "{{\"rows\":[{}],\"schemaVer\":{},\"nowMs\":{}}}",
                    texts.join(","),
                    state.version,
                    self.now_ms()
                );
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transact(&self, request: &Request) -> (u16, String) {
        let Some(body) = json::parse(&String::from_utf8_lossy(&request.body)) else {
            return (400, "{}".to_owned());
        };
        let place = |entry: &Json| (entry.text("tableName"), entry.text("key"));
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let is_met = body.list("expectRev").iter().all(|entry| {
            let row = state.rows.get(&place(entry)).filter(|row| row.value.is_some());
            row.map_or(0, |row| row.version) == entry.number("schemaVer") as u64
        });
        if !is_met {
            let places = body.list("expectRev").iter().map(place);
            let rows: Vec<String> = places
                .filter_map(|key| state.rows.get(&key).map(|row| row_text(&key, row)))
                .collect();
            let version = state.version;
            return (
                412,
                format!("{{\"rows\":[{}],\"schemaVer\":{version},\"nowMs\":{}}}", rows.join(","), self.now_ms()),
            );
        }
        state.version += 1;
        let version = state.version;
        for entry in body.list("writes") {
            let row = Row { value: Some(entry.text("value")), version };
            state.rows.insert(place(entry), row);
        }
        for entry in body.list("remove") {
            state.rows.insert(place(entry), Row { value: None, version });
        }
        changed.notify_all();
        (200, format!("{{\"schemaVer\":{version},\"nowMs\":{}}}", self.now_ms()))
    }
}

fn row_text((table, key): &(String, String), row: &Row) -> String {
    let value = match &row.value {
        Some(value) => format!("\"value\":{}", quote(value)),
        None => "\"deleted\":true".to_owned(),
    };
    format!(
        "{{\"tableName\":{},\"part\":\"\",\"key\":{},{value},\"schemaVer\":{}}}",
        quote(table),
        quote(key),
        row.version
    )
}
