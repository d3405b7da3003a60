//! Runners of a version come back under their ids in another version while the store does not answer.

use std::{
    env, fs,
    io::{self, BufRead, BufReader, Write},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream},
    path::Path,
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    engine::Engine,
    fleet::{self, Machines, Ports, Record, Router},
    store::Store,
};

/// The streams that begin at the runners that are replaced.
const STREAMS: usize = 12;
/// How long the store does not answer.
const OUTAGE: Duration = Duration::from_millis(4500);
/// When the runners crash after its begin, and how long they are down.
const CRASH: Duration = Duration::from_millis(500);
const DOWN: Duration = Duration::from_millis(500);
/// How long a runner that has started is slow (`cold_start_s`), and how much later it answers.
const SLOW_FOR: Duration = Duration::from_millis(3000);
const SLOW_BY: Duration = Duration::from_millis(600);
/// How often a client tries, the first time included.
const TRIES: usize = 3;
const DEADLINE: Duration = Duration::from_millis(12_000);

pub fn configuration() -> String {
    String::from(
        "{\"version\":1,\"routes\":[{\"name\":\"chat\",\"hostname\":\"shop.example\",\
         \"prefix\":\"/chat/\",\"route_kind\":\"streaming\",\"timeout_ms\":12000,\"target_latency_ms\":800,\
         \"priority\":1,\"service\":\"llm\",\"max_attempts\":2,\"anonymous\":false,\
         \"session_affinity\":true,\"stream_resume\":true,\"gap_target_ms\":400}],\
         \"services\":[{\"name\":\"llm\",\"health_path\":\"/healthz\",\"max_connections\":360,\"protocol\":\"h1\",\
         \"tls\":false,\"cold_start_s\":3.0,\"cold_per_s\":11.0,\"engine\":{\"slots\":64,\
         \"kv_capacity_tokens\":480558,\"kv_token_bytes\":163840,\"bandwidth_mbps\":260000.0,\"moves\":true,\
         \"backups\":true,\"stride\":7,\"most\":2,\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"handle_s\":5.0,\
         \"models\":[{\"name\":\"m\"}]}}],\
         \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\
         \"tenants\":[{\"name\":\"shop\",\"api_keys\":[\"key\"]}]}",
    )
}

pub fn run(record: &str, has_trouble: bool) -> io::Result<Verdict> {
    let folder = env::temp_dir().join(format!("versions-{}", std::process::id()));
    fs::create_dir_all(&folder)?;
    let record = Record::create(record)?;
    let verdict = play(&record, has_trouble, &folder);
    fs::remove_dir_all(&folder)?;
    verdict
}

fn play(record: &Record, has_trouble: bool, folder: &Path) -> io::Result<Verdict> {
    let ports = Ports::free();
    let address = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 46, 0, 1)), ports.store());
    let store = Store::start(address)?;
    store.put("op", "config", &configuration());
    let mut engines = Vec::new();
    let places = [("i-a1", "west-a", "v1"), ("i-a2", "west-a", "v1"), ("i-b1", "west-b", "v2"), ("i-b2", "west-b", "v2")];
    for (index, (id, zone, version)) in places.into_iter().enumerate() {
        let ip = Ipv4Addr::new(127, 47, 0, index as u8 + 1);
        let address = SocketAddr::new(IpAddr::V4(ip), ports.store() - 1);
        let engine = Engine::start(id, zone, address, version, record)?;
        engine.register(&store, 1);
        engines.push(engine);
    }
    let ips = [Ipv4Addr::new(127, 48, 0, 1), Ipv4Addr::new(127, 48, 0, 2)];
    let machines = Machines {
        folder: folder.to_path_buf(),
        ports,
        store: store.address,
        seeds: ips.to_vec(),
    };
    let mut routers = Vec::new();
    for (index, ip) in ips.into_iter().enumerate() {
        let zone = ["west-a", "west-b"][index];
        routers.push(machines.start(&format!("edge-{zone}-1"), zone, ip, &[])?);
    }
    if !fleet::wait(Duration::from_secs(8), || routers.iter().all(Router::is_ready)) {
        return Ok(Verdict::NotRun);
    }
    record.line("two routers are ready; version v1 serves in west-a, v2 in west-b");
    thread::sleep(Duration::from_secs(4));
    let streams = Mutex::new(Vec::new());
    let frontends: Vec<SocketAddr> = routers.iter().map(|router| router.frontend).collect();
    thread::scope(|scope| {
        for index in 0..STREAMS {
            let (streams, frontends) = (&streams, &frontends);
            scope.spawn(move || {
                let stream = Stream::open(index, frontends, record);
                streams.lock().unwrap().push(stream);
            });
        }
        thread::sleep(Duration::from_millis(1500));
        if has_trouble {
            disturb(&store, &engines, record);
        }
    });
    Ok(judge(&streams.into_inner().unwrap(), record))
}

fn disturb(store: &Store, engines: &[Engine], record: &Record) {
    let began = Instant::now();
    store.set_silent(true);
    record.line("the store does not answer from now on");
    thread::sleep(CRASH);
    let replaced = &engines[..2];
    replaced.iter().for_each(Engine::crash);
    thread::sleep(DOWN);
    for engine in replaced {
        if let Err(error) = engine.restart("v2", (SLOW_BY, SLOW_FOR)) {
            record.line(&format!("runner {} could not start: {error}", engine.id));
        }
    }
    thread::sleep(OUTAGE.saturating_sub(began.elapsed()));
    store.set_silent(false);
    for engine in replaced {
        engine.register(store, 1);
    }
    record.line("the store answers again, and the runners of west-a have registered as v2");
}

/// A stream as its client sees it.
pub struct Stream {
    pub name: String,
    /// The versions of the events, in the order in which they came.
    pub versions: Vec<String>,
    pub is_whole: bool,
    /// When the client itself breaks the connection off.
    pub stop_at: Option<Instant>,
}

impl Stream {
    pub fn new(name: String) -> Self {
        Self {
            name,
            versions: Vec::new(),
            is_whole: false,
            stop_at: None,
        }
    }

    /// Reads a stream, and takes it up again where it breaks off.
    pub fn open(index: usize, routers: &[SocketAddr], record: &Record) -> Self {
        let mut stream = Self::new(format!("s{index}"));
        let deadline = Instant::now() + DEADLINE;
        let mut origin = None;
        for number in 0..TRIES {
            let attempt = format!("{}-{number}", stream.name);
            let before = stream.versions.len();
            let router = routers[(index + number) % routers.len()];
            let ended = stream.read(router, &attempt, origin.as_deref(), deadline);
            let (status, wait) = ended.unwrap_or((0, Duration::from_millis(200)));
            if stream.versions.len() > before && origin.is_none() {
                origin = Some(attempt.clone());
            }
            let (from, to) = (before + 1, stream.versions.len());
            record.line(&format!("{attempt} at {router} ended with {status}: events {from} to {to}"));
            if stream.is_whole || Instant::now() + wait >= deadline {
                break;
            }
            thread::sleep(wait);
        }
        stream
    }

    /// Returns the status and when to come back.
    pub fn read(&mut self, router: SocketAddr, attempt: &str, origin: Option<&str>, deadline: Instant) -> io::Result<(u16, Duration)> {
        let left = deadline.saturating_duration_since(Instant::now());
        let mut socket = TcpStream::connect_timeout(&router, Duration::from_secs(1))?;
        socket.set_read_timeout(Some(left.max(Duration::from_millis(10))))?;
        let mut more = String::new();
        if let Some(origin) = origin {
            more = format!("Last-Event-Id: {}\r\nResumes: {origin}\r\n", self.versions.len());
        }
        let head = format!(
            "POST /chat/x HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {attempt}\r\nModel: m\r\n\
             Token-Usage: 200,80\r\nPrefix-Hash: 5c1e07a2:100,{:08x}:100\r\nDeadline-Ms: {}\r\n\
             Authorization: Bearer key\r\n{more}Connection: close\r\nContent-Length: 2\r\n\r\nhi",
            0x9100_0000_u32 + self.name.len() as u32 * 4096 + self.name.bytes().map(u32::from).sum::<u32>(),
            left.as_millis()
        );
        socket.write_all(head.as_bytes())?;
        let mut reader = BufReader::new(socket);
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let status = line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
        let mut wait = Duration::from_millis(200);
        loop {
            line.clear();
            if reader.read_line(&mut line)? == 0 || line == "\r\n" {
                break;
            }
            if let Some((name, value)) = line.split_once(':')
                && name.eq_ignore_ascii_case("retry-after")
                && let Ok(seconds) = value.trim().parse()
            {
                wait = Duration::from_secs_f64(seconds);
            }
        }
        while status == 200 && self.stop_at.is_none_or(|at| Instant::now() < at) {
            line.clear();
            if reader.read_line(&mut line)? == 0 {
                break;
            }
            if line == "0\r\n" {
                self.is_whole = true;
                break;
            }
            if let Some((_, version)) = line.trim_end().split_once(" of version ")
                && line.starts_with("data: ")
            {
                self.versions.push(String::from(version));
            }
        }
        Ok((status, wait))
    }
}

pub fn judge(streams: &[Stream], record: &Record) -> Verdict {
    let mut joined = 0;
    let mut whole = 0;
    for stream in streams {
        let first = stream.versions.first();
        let other = stream.versions.iter().position(|version| Some(version) != first);
        joined += usize::from(other.is_some());
        whole += usize::from(stream.is_whole);
        if let (Some(first), Some(other)) = (first, other) {
            record.line(&format!(
                "{}: events 1 to {other} are of version {first}, event {} is of {}",
                stream.name,
                other + 1,
                stream.versions[other]
            ));
        }
    }
    let text = format!(
        "{joined} of {} streams hold events of two versions; {whole} are whole (the rule allows two)",
        streams.len()
    );
    record.line(&text);
    println!("{text}");
    if joined > 2 { Verdict::Broken } else { Verdict::Held }
}
