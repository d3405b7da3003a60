//! The platform's metadata store: linearizable rows in tables, with transactions and a feed.

use std::{
    collections::BTreeMap,
    io,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Connection, Head},
    json,
};

#[derive(Clone)]
struct Row {
    /// In base64; `None` once the row was removed.
    value: Option<String>,
    version: u64,
}

#[derive(Default)]
struct Tables {
    rows: BTreeMap<(String, String), Row>,
    version: u64,
}

#[derive(Clone)]
pub struct Store(Arc<Shared>);

struct Shared {
    tables: Mutex<Tables>,
    changed: Condvar,
    started: Instant,
    is_silent: AtomicBool,
}

impl Store {
    pub fn start(address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let store = Self(Arc::new(Shared {
            tables: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
            is_silent: AtomicBool::new(false),
        }));
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = server.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Whether it responds to nobody, and performs nothing.
    pub fn is_silent(&self) -> bool {
        self.0.is_silent.load(Ordering::SeqCst)
    }

    pub fn set_silent(&self, is_silent: bool) {
        self.0.is_silent.store(is_silent, Ordering::SeqCst);
    }

    /// Waits while it is silent. A connection on which a response is lost delivers nothing further.
    fn wait_while_silent(&self) -> bool {
        let was_silent = self.is_silent();
        while self.is_silent() {
            thread::sleep(Duration::from_millis(10));
        }
        was_silent
    }

    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.change(table, key, Some(encode(value.as_bytes())));
    }

    fn change(&self, table: &str, key: &str, value: Option<String>) {
        self.0.tables.lock().unwrap().change(table, key, value);
        self.0.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(head) = connection.head() {
            let Ok(body) = connection.whole(&head) else {
                return;
            };
            if self.wait_while_silent() {
                return;
            }
            let (status, body) = self.answer(&head, &body);
            if self.wait_while_silent() {
                return;
            }
            let length = body.len();
            let text = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}"
            );
            if connection.send(&text).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &[u8]) -> (&'static str, String) {
        let (path, query) = head.target().split_once('?').unwrap_or((head.target(), ""));
        match (head.method(), path) {
            ("GET", "/rows-get") => self.read(query),
            ("GET", "/rows-feed") => self.feed(query),
            ("POST", "/rows-tx") => self.transact(&String::from_utf8_lossy(body)),
            _ => ("404 Not Found", String::from("{}")),
        }
    }

    fn now_ms(&self) -> u128 {
        self.0.started.elapsed().as_millis()
    }

    fn page(&self, tables: &Tables, rows: &[String], truncated: bool) -> String {
        let (rows, version, now) = (rows.join(","), tables.version, self.now_ms());
        format!(r#"{{"rows":[{rows}],"truncated":{truncated},"ver":{version},"now_ms":{now}}}"#)
    }

    fn read(&self, query: &str) -> (&'static str, String) {
        let (from, to) = (parameter(query, "from"), parameter(query, "to"));
        let limit = parameter(query, "limit").parse().unwrap_or(500).min(500);
        let (table, part) = (parameter(query, "table"), parameter(query, "part"));
        let tables = self.0.tables.lock().unwrap();
        let matches = |(name, key): &(String, String), row: &Row| {
            let is_in_range = *key >= from && (to.is_empty() || *key < to);
            *name == table && part.is_empty() && row.value.is_some() && is_in_range
        };
        let rows = tables.rows.iter().filter(|(name, row)| matches(name, row));
        let rows: Vec<String> = rows
            .map(|((_, key), row)| document(&table, key, row))
            .collect();
        let truncated = rows.len() > limit;
        let page = self.page(&tables, &rows[..rows.len().min(limit)], truncated);
        ("200 OK", page)
    }

    fn feed(&self, query: &str) -> (&'static str, String) {
        let table = parameter(query, "table");
        let after: u64 = parameter(query, "after").parse().unwrap_or(0);
        let wait: u64 = parameter(query, "wait_ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut tables = self.0.tables.lock().unwrap();
        loop {
            let rows = tables.rows.iter();
            let rows = rows.filter(|((name, _), row)| *name == table && row.version > after);
            let mut rows: Vec<_> = rows.collect();
            rows.sort_by_key(|(_, row)| row.version);
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                let rows: Vec<String> = rows
                    .iter()
                    .map(|((_, key), row)| document(&table, key, row))
                    .collect();
                return ("200 OK", self.page(&tables, &rows, false));
            }
            tables = self.0.changed.wait_timeout(tables, left).unwrap().0;
        }
    }

    fn transact(&self, text: &str) -> (&'static str, String) {
        let Some(call) = json::parse(text) else {
            return ("400 Bad Request", String::from("{}"));
        };
        let mut tables = self.0.tables.lock().unwrap();
        for expected in call.get("expected").list() {
            let name = (
                String::from(expected.get("table").text()),
                String::from(expected.get("key").text()),
            );
            let row = tables.rows.get(&name).filter(|row| row.value.is_some());
            if row.map_or(0, |row| row.version) != expected.get("ver").number() {
                return ("412 Precondition Failed", self.page(&tables, &[], false));
            }
        }
        let is_forbidden =
            |entry: &json::Value| matches!(entry.get("table").text(), "op" | "servers");
        let (writes, removals) = (call.get("writes").list(), call.get("remove").list());
        if writes.iter().chain(removals).any(is_forbidden) {
            return ("403 Forbidden", String::from("{}"));
        }
        for write in writes {
            let value = Some(String::from(write.get("value").text()));
            tables.change(write.get("table").text(), write.get("key").text(), value);
        }
        for removal in removals {
            tables.change(removal.get("table").text(), removal.get("key").text(), None);
        }
        let (version, now) = (tables.version, self.now_ms());
        drop(tables);
        self.0.changed.notify_all();
        ("200 OK", format!(r#"{{"ver":{version},"now_ms":{now}}}"#))
    }
}

impl Tables {
    fn change(&mut self, table: &str, key: &str, value: Option<String>) {
        self.version += 1;
        let version = self.version;
        let name = (String::from(table), String::from(key));
        self.rows.insert(name, Row { value, version });
    }
}

fn document(table: &str, key: &str, row: &Row) -> String {
    let version = row.version;
    let rest = match &row.value {
        Some(value) => format!(r#""value":"{value}","#),
        None => String::from(r#""tombstone":true,"#),
    };
    format!(r#"{{"table":"{table}","part":"","key":"{key}",{rest}"ver":{version}}}"#)
}

fn parameter(query: &str, name: &str) -> String {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let value = pairs
        .find(|(known, _)| *known == name)
        .map(|(_, value)| value);
    decode_percent(value.unwrap_or_default())
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = bytes
            .get(at + 1..at + 3)
            .and_then(|hex| std::str::from_utf8(hex).ok());
        let code = hex.and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(code)) => {
                out.push(code);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn encode(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for group in bytes.chunks(3) {
        let mut bits = 0_u32;
        for index in 0..3 {
            bits = bits << 8 | u32::from(group.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            if index <= group.len() {
                let digit = bits >> (18 - 6 * index) & 63;
                out.push(char::from(DIGITS[digit as usize]));
            } else {
                out.push('=');
            }
        }
    }
    out
}
