//! A model runner: streams of events, `/report`, and restarts under the same id in another version.

use std::{
    io::{self, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    fleet::Record,
    http::{self, Message},
    store::Store,
};

/// The events of a stream, and the time between two of them.
pub const EVENTS: u64 = 60;
const PACE: Duration = Duration::from_millis(100);

/// One incarnation of a runner.
struct Process {
    version: String,
    born: u128,
    started: Instant,
    is_running: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    /// How much later it answers in its first seconds, and how long these last.
    slow: (Duration, Duration),
}

impl Process {
    fn delay(&self) -> Duration {
        let (delay, time) = self.slow;
        if self.started.elapsed() < time { delay } else { Duration::ZERO }
    }

    fn is_running(&self) -> bool {
        self.is_running.load(Ordering::Relaxed)
    }
}

/// A runner that keeps its id and address when it starts again.
pub struct Engine {
    pub id: String,
    zone: String,
    address: SocketAddr,
    process: Mutex<Arc<Process>>,
    record: Record,
}

impl Engine {
    pub fn start(id: &str, zone: &str, address: SocketAddr, version: &str, record: &Record) -> io::Result<Self> {
        let no_delay = (Duration::ZERO, Duration::ZERO);
        let process = launch(id, address, version, no_delay, record)?;
        Ok(Self {
            id: String::from(id),
            zone: String::from(zone),
            address,
            process: Mutex::new(process),
            record: record.clone(),
        })
    }

    /// Writes the runner's entry into the store.
    pub fn register(&self, store: &Store, sequence: u32) {
        let process = self.process.lock().unwrap();
        let entry = format!(
            "{{\"service\":\"llm\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\"slots\":64,\
             \"state\":\"ready\",\"cold_remaining_ms\":0,\"stage\":\"both\",\
             \"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"sequence\":{sequence},\"born\":{}}}",
            self.address, self.zone, process.version, process.born
        );
        store.put("servers", &self.id, &entry);
    }

    /// Ends the process; its connections break and new ones are refused.
    pub fn crash(&self) {
        let process = self.process.lock().unwrap();
        process.is_running.store(false, Ordering::Relaxed);
        for stream in process.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.record.line(&format!("runner {} of version {} crashed", self.id, process.version));
    }

    /// Starts the next process. In its first seconds (`slow.1`) it answers later (by `slow.0`).
    pub fn restart(&self, version: &str, slow: (Duration, Duration)) -> io::Result<()> {
        let next = launch(&self.id, self.address, version, slow, &self.record)?;
        *self.process.lock().unwrap() = next;
        self.record.line(&format!("runner {} started again in version {version}", self.id));
        Ok(())
    }
}

fn launch(
    id: &str,
    address: SocketAddr,
    version: &str,
    slow: (Duration, Duration),
    record: &Record,
) -> io::Result<Arc<Process>> {
    let listener = TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    let born = SystemTime::now().duration_since(UNIX_EPOCH);
    let process = Arc::new(Process {
        version: String::from(version),
        born: born.map_or(1, |since| since.as_millis()),
        started: Instant::now(),
        is_running: AtomicBool::new(true),
        connections: Mutex::default(),
        slow,
    });
    let (served, id, record) = (Arc::clone(&process), String::from(id), record.clone());
    thread::spawn(move || {
        while served.is_running() {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(2));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            if let Ok(clone) = stream.try_clone() {
                served.connections.lock().unwrap().push(clone);
            }
            let (process, id, record) = (Arc::clone(&served), id.clone(), record.clone());
            thread::spawn(move || serve(stream, &process, &id, &record));
        }
    });
    Ok(process)
}

fn serve(mut stream: TcpStream, process: &Process, id: &str, record: &Record) {
    let _ = stream.set_nodelay(true);
    while let Ok(Some(request)) = http::read(&mut stream, false) {
        thread::sleep(process.delay());
        if !process.is_running() || answer(&mut stream, &request, process, id, record).is_err() {
            break;
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
}

fn answer(stream: &mut TcpStream, request: &Message, process: &Process, id: &str, record: &Record) -> io::Result<()> {
    let born = process.born;
    if request.target() == "/report" {
        let report = format!(
            "{{\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"busy\":false,\
             \"sequence\":2,\"queued\":0,\"running\":1,\"kv_used\":1000,\"kv_total\":480558,\"handles\":0,\
             \"pinned\":0,\"held\":0,\"state\":\"ready\",\"runs\":[],\"born\":{born}}}"
        );
        let headers = [("Content-Type", "application/json"), ("Instance-Id", id)];
        return http::respond(stream, "200 OK", &headers, report.as_bytes());
    }
    if request.target() == "/healthz" {
        let headers = [("Instance-Id", id), ("Instance-Load", "1,0,64")];
        return http::respond(stream, "200 OK", &headers, format!("{{\"born\":{born}}}").as_bytes());
    }
    if request.header("expected-instance").is_some_and(|expected| expected != id) {
        return http::respond(stream, "421 Misdirected Request", &[("Instance-Id", id)], b"");
    }
    let Some(attempt) = request.header("attempt-id") else {
        return http::respond(stream, "400 Bad Request", &[("Not-Executed", "1")], b"");
    };
    let last: u64 = request.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
    record.line(&format!(
        "runner {id} of version {} runs {attempt}, after event {last}",
        process.version
    ));
    let head = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Signature: a1.{id}\r\n\
         Content-Type: text/event-stream\r\nInstance-Load: 1,0,64\r\nWeight-Versions: 1\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    for event in last + 1..=EVENTS {
        let text = format!("id: {event}\ndata: piece {event} of version {}\n\n", process.version);
        stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
        thread::sleep(PACE);
        if !process.is_running() {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
    }
    stream.write_all(b"0\r\n\r\n")
}
