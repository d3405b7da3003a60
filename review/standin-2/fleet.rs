//! Routers as processes, runners, and the record of a run.

use std::{
    collections::BTreeMap,
    fs::{self, File},
    io::Write,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Message},
    store::Store,
};

/// What was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        Ok(Self {
            file: Arc::new(Mutex::new(File::create(path)?)),
            started: Instant::now(),
        })
    }

    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_millis();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:>7} ms  {text}");
    }
}

/// The ports of a machine; they are the same on all of them.
#[derive(Clone, Copy)]
pub struct Ports {
    first: u16,
}

impl Ports {
    /// A range of which no port is in use.
    pub fn free() -> Self {
        let mut first = 21_000 + (std::process::id() % 700) as u16 * 16;
        loop {
            let is_free = |port| TcpListener::bind((Ipv4Addr::UNSPECIFIED, port)).is_ok();
            if (first..first + 16).all(is_free) {
                return Self { first };
            }
            first = if first > 32_000 { 21_000 } else { first + 16 };
        }
    }

    pub fn store(self) -> u16 {
        self.first + 15
    }
}

/// A router as a process on an address of its own.
pub struct Router {
    pub name: String,
    pub frontend: SocketAddr,
    pub readiness: SocketAddr,
    settings: PathBuf,
    child: Child,
}

/// What routers are started with.
pub struct Machines {
    pub folder: PathBuf,
    pub ports: Ports,
    pub store: SocketAddr,
    /// The addresses that the settings name as seeds.
    pub seeds: Vec<Ipv4Addr>,
}

impl Machines {
    /// The settings of a machine; `more` replaces entries.
    pub fn settings(&self, name: &str, zone: &str, ip: Ipv4Addr, more: &[(&str, &str)]) -> String {
        let first = self.ports.first;
        let seeds: Vec<String> = self.seeds.iter().map(|ip| format!("{ip}:{}", first + 2)).collect();
        let mut entries: Vec<(String, String)> = Vec::new();
        let mut add = |name: &str, value: String| entries.push((String::from(name), value));
        add("node_name", String::from(name));
        add("role", String::from("router"));
        add("machine_class", String::from("edge"));
        add("serves", String::from("edge,control"));
        add("ip_address", ip.to_string());
        add("zone", String::from(zone));
        add("region", String::from("west"));
        for zone in ["west-a", "west-b", "west-c"] {
            add(&format!("zones.{zone}"), String::from("west"));
        }
        add("listen.frontend", format!("{ip}:{first}"));
        add("listen.readiness", format!("{ip}:{}", first + 1));
        add("listen.control_plane", format!("{ip}:{}", first + 2));
        add("internal_port_range", format!("{},{}", first + 3, first + 12));
        add("seed_nodes", seeds.join(","));
        let fixed = "bootstrap=false counts_as_loss=false limits.cpu_quota=0.25 limits.cpu_cores=1 \
            limits.memory_mb=260 limits.fd_limit=4100 limits.bandwidth_mbps=1000.0 limits.disk_mb=0 \
            discovery=platform entry=vip heartbeat_interval_ms=1200 \
            contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform \
            fault_tolerance.machines=2 fault_tolerance.zones=1 fault_tolerance.regions=0 \
            bounds.seed_lag_s=3 bounds.reuse_after_s=2 bounds.stable_window_ms=3000 \
            bounds.ack_timeout_ms=4000 bounds.catch_up_s=4 bounds.drain_ms=2000 \
            bounds.grace_period_s=8 bounds.loss_slack_ms=200 bounds.config_apply_ms=2000 \
            bounds.rollback_slack_ms=250 bounds.outer_bound_ms=5000 bounds.strict_revocation=false \
            bounds.revoke_ms=5000 bounds.retry_budget_ratio=0.2 bounds.budget_window_s=10 \
            bounds.retry_budget_burst=52 bounds.cold_overshoot=1.5 bounds.cold_slack=5 \
            bounds.evacuation_ms=5000 bounds.recovery_s=12 bounds.pass_ms=120 \
            bounds.reuse_window_s=10 bounds.cap_x=2 platform.form=table platform.writes_per_s=400 \
            platform.reads_per_s=2000 platform.tx_ms=5.0 platform.partition_writes_s=200 \
            platform.row_bytes=65536 platform.across=false platform.history_s=20 \
            platform.blob_bytes=8388608 platform.blob_ms=25.0 platform.blob_mb_s=80.0";
        for entry in fixed.split_whitespace() {
            if let Some((name, value)) = entry.split_once('=') {
                add(name, String::from(value));
            }
        }
        add("platform.address", self.store.to_string());
        let more: BTreeMap<&str, &str> = more.iter().copied().collect();
        let lines = entries.iter().map(|(name, value)| {
            let value = more.get(name.as_str()).copied().unwrap_or(value);
            format!("{name}={value}\n")
        });
        lines.collect()
    }

    pub fn start(&self, name: &str, zone: &str, ip: Ipv4Addr, more: &[(&str, &str)]) -> std::io::Result<Router> {
        let settings = self.folder.join(format!("{name}.conf"));
        fs::write(&settings, self.settings(name, zone, ip, more))?;
        let child = self.launch(name, &settings)?;
        let address = |port| SocketAddr::new(IpAddr::V4(ip), port);
        Ok(Router {
            name: String::from(name),
            frontend: address(self.ports.first),
            readiness: address(self.ports.first + 1),
            settings,
            child,
        })
    }

    fn launch(&self, name: &str, settings: &PathBuf) -> std::io::Result<Child> {
        let path = self.folder.join(format!("{name}.log"));
        let log = fs::OpenOptions::new().create(true).append(true).open(path)?;
        let mut command = Command::new("target/release/weir-platform");
        command.env_clear().env("SESAMEWEIR_NODE_FILE", settings);
        for name in ["PATH", "HOME"] {
            if let Ok(value) = std::env::var(name) {
                command.env(name, value);
            }
        }
        command.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log).spawn()
    }

    /// Starts the process of a machine again, with the settings in effect.
    pub fn restart(&self, router: &mut Router) -> std::io::Result<()> {
        router.child = self.launch(&router.name, &router.settings)?;
        Ok(())
    }
}

impl Router {
    pub fn settings(&self) -> &PathBuf {
        &self.settings
    }

    pub fn is_ready(&self) -> bool {
        let request = b"GET /readyz HTTP/1.1\r\nHost: platform\r\nConnection: close\r\n\r\n";
        let response = http::call(self.readiness, request, Duration::from_millis(500));
        response.is_ok_and(|response| response.status() == 200)
    }

    /// The exit of the process, if it has ended.
    pub fn exit(&mut self) -> Option<std::process::ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let _ = Command::new("kill").args([name, &id]).status();
    }

    /// Ends the process as a loss of the machine does.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until `is_met`; false after `most`.
pub fn wait(most: Duration, mut is_met: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + most;
    while Instant::now() < until {
        if is_met() {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    false
}

/// A request that a runner ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub attempt: String,
    pub tenant: String,
    pub runner: String,
}

pub type Runs = Arc<Mutex<Vec<Run>>>;

/// Starts a runner of a plain service, which answers after `work`.
pub fn start_runner(
    store: &Store,
    id: &str,
    service: &str,
    zone: &str,
    ip: Ipv4Addr,
    work: Duration,
    runs: &Runs,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind((ip, 0))?;
    let address = listener.local_addr()?;
    let (name, runs) = (String::from(id), Arc::clone(runs));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (name, runs) = (name.clone(), Arc::clone(&runs));
            thread::spawn(move || serve_runner(stream, &name, work, &runs));
        }
    });
    let born = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let born = born.map_or(1, |since| since.as_millis());
    let entry = format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"1\",\
         \"slots\":6,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":{born}}}"
    );
    store.put("servers", id, &entry);
    Ok(address)
}

fn serve_runner(mut stream: TcpStream, name: &str, work: Duration, runs: &Runs) {
    let _ = stream.set_nodelay(true);
    while let Ok(Some(request)) = http::read(&mut stream, false) {
        if answer(&mut stream, &request, name, work, runs).is_err() {
            return;
        }
    }
}

fn answer(stream: &mut TcpStream, request: &Message, name: &str, work: Duration, runs: &Runs) -> std::io::Result<()> {
    let load = ("Instance-Load", "1,0,6");
    if request.target() == "/healthz" {
        return http::respond(stream, "200 OK", &[("Instance-Id", name), load], b"{}");
    }
    if request.header("expected-instance").is_some_and(|expected| expected != name) {
        return http::respond(stream, "421 Misdirected Request", &[("Instance-Id", name)], b"");
    }
    let Some(attempt) = request.header("attempt-id") else {
        return http::respond(stream, "400 Bad Request", &[("Not-Executed", "1")], b"");
    };
    let tenant = request.header("tenant").unwrap_or("none");
    runs.lock().unwrap().push(Run {
        attempt: String::from(attempt),
        tenant: String::from(tenant),
        runner: String::from(name),
    });
    thread::sleep(work);
    let headers = [("Attempt-Id", attempt), ("Response-Signature", "a1.b2"), load];
    http::respond(stream, "200 OK", &headers, b"the body of the answer")
}

/// The bytes of a client's request.
pub fn request(method: &str, path: &str, attempt: &str, key: &str, deadline_ms: u64, body: &str) -> Vec<u8> {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {attempt}\r\n\
         Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {key}\r\nConnection: close\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}
