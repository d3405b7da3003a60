//! The platform's store: rows, feeds of changes and conditional writes, as PROTOCOL.md has them.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Message},
    json::{Json, base64, quoted},
};

/// The most rows in one response.
const PAGE: usize = 500;

struct Row {
    /// In base64; `None` if the row was removed.
    value: Option<String>,
    ver: u64,
}

#[derive(Default)]
struct State {
    rows: BTreeMap<(String, String), Row>,
    ver: u64,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
    started: Instant,
    is_silent: Arc<AtomicBool>,
}

impl Store {
    pub fn start(address: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let store = Self {
            address: listener.local_addr()?,
            shared: Arc::default(),
            started: Instant::now(),
            is_silent: Arc::default(),
        };
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = server.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes a row as the operator or a runner does. Its return is the acknowledgement.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut state = self.shared.0.lock().unwrap();
        state.ver += 1;
        change(&mut state, table, key, Some(base64(value.as_bytes())));
        drop(state);
        self.shared.1.notify_all();
    }

    /// Begins or ends an outage in which no call is answered.
    pub fn set_silent(&self, is_silent: bool) {
        self.is_silent.store(is_silent, Ordering::Relaxed);
        self.shared.1.notify_all();
    }

    fn wait_while_silent(&self) {
        while self.is_silent.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// The keys of a table.
    pub fn keys(&self, table: &str) -> Vec<String> {
        let state = self.shared.0.lock().unwrap();
        let rows = state.rows.iter();
        let rows = rows.filter(|((name, _), row)| name == table && row.value.is_some());
        rows.map(|((_, key), _)| key.clone()).collect()
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        while let Ok(Some(call)) = http::read(&mut stream, false) {
            self.wait_while_silent();
            let path = call.target().split('?').next().unwrap_or_default();
            let (status, body) = match (call.method(), path) {
                ("GET", "/rows-get") => ("200 OK", self.get(&call)),
                ("GET", "/rows-feed") => ("200 OK", self.feed(&call)),
                ("POST", "/rows-tx") => self.transact(&call),
                _ => ("404 Not Found", String::from("{}")),
            };
            self.wait_while_silent();
            let headers = [("Content-Type", "application/json")];
            if http::respond(&mut stream, status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn document(&self, state: &State, rows: &[String], truncated: bool) -> String {
        format!(
            "{{\"rows\":[{}],\"truncated\":{truncated},\"ver\":{},\"now_ms\":{}}}",
            rows.join(","),
            state.ver,
            1000 + self.started.elapsed().as_millis()
        )
    }

    fn get(&self, call: &Message) -> String {
        let (table, from, to) = (call.parameter("table"), call.parameter("from"), call.parameter("to"));
        let state = self.shared.0.lock().unwrap();
        let rows = state.rows.iter();
        let rows = rows.filter(|((name, key), row)| {
            *name == table && row.value.is_some() && *key >= from && (to.is_empty() || *key < to)
        });
        let mut rows: Vec<String> = rows.map(row_json).collect();
        let truncated = rows.len() > PAGE;
        rows.truncate(PAGE);
        self.document(&state, &rows, truncated)
    }

    fn feed(&self, call: &Message) -> String {
        let table = call.parameter("table");
        let after: u64 = call.parameter("after").parse().unwrap_or(0);
        let wait = call.parameter("wait_ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = self.shared.0.lock().unwrap();
        loop {
            let rows = state.rows.iter();
            let rows = rows.filter(|((name, _), row)| *name == table && row.ver > after);
            let mut rows: Vec<_> = rows.collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                rows.sort_by_key(|(_, row)| row.ver);
                let rows: Vec<String> = rows.into_iter().map(row_json).collect();
                return self.document(&state, &rows, false);
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transact(&self, call: &Message) -> (&'static str, String) {
        thread::sleep(Duration::from_millis(5));
        let Some(call) = Json::parse(&String::from_utf8_lossy(&call.body)) else {
            return ("400 Bad Request", String::from("{}"));
        };
        let mut state = self.shared.0.lock().unwrap();
        let name = |entry: &Json| {
            let text = |name| String::from(entry.text(name).unwrap_or_default());
            (text("table"), text("key"))
        };
        for entry in call.list("writes").iter().chain(call.list("remove")) {
            if ["op", "servers"].contains(&name(entry).0.as_str()) {
                return ("403 Forbidden", String::from("{}"));
            }
        }
        let mut differs = false;
        let mut current = Vec::new();
        for entry in call.list("expected") {
            let name = name(entry);
            let row = state.rows.get(&name).filter(|row| row.value.is_some());
            differs |= row.map_or(0, |row| row.ver) as f64 != entry.number("ver").unwrap_or(0.0);
            current.extend(row.map(|row| row_json((&name, row))));
        }
        if differs {
            let body = self.document(&state, &current, false);
            return ("412 Precondition Failed", body);
        }
        state.ver += 1;
        for entry in call.list("writes") {
            let (table, key) = name(entry);
            let value = entry.text("value").map(String::from);
            change(&mut state, &table, &key, value);
        }
        for entry in call.list("remove") {
            let (table, key) = name(entry);
            if state.rows.get(&(table.clone(), key.clone())).is_some_and(|row| row.value.is_some()) {
                change(&mut state, &table, &key, None);
            }
        }
        let body = self.document(&state, &[], false);
        drop(state);
        self.shared.1.notify_all();
        ("200 OK", body)
    }
}

/// Changes a row at the present version.
fn change(state: &mut State, table: &str, key: &str, value: Option<String>) {
    let ver = state.ver;
    let name = (String::from(table), String::from(key));
    state.rows.insert(name, Row { value, ver });
}

fn row_json((name, row): (&(String, String), &Row)) -> String {
    let (table, key) = (quoted(&name.0), quoted(&name.1));
    let ver = row.ver;
    match &row.value {
        Some(value) => format!(
            "{{\"table\":{table},\"part\":\"\",\"key\":{key},\"value\":\"{value}\",\"ver\":{ver}}}"
        ),
        None => {
            format!("{{\"table\":{table},\"part\":\"\",\"key\":{key},\"ver\":{ver},\"tombstone\":true}}")
        }
    }
}
