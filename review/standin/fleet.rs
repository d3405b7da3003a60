//! Routers as processes, each at a loopback address of its own, and the platform's balancer.

use std::{
    fs::{self, File},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{http::Connection, record::Record};

/// Addresses that nobody else uses at present.
#[derive(Clone, Copy)]
pub struct Net {
    second: u8,
}

const FRONTEND: u16 = 8227;
const READINESS: u16 = 8220;
const CONTROL: u16 = 8229;
const INTERNAL: u16 = 7340;

impl Net {
    /// Chooses a part of 127.0.0.0/8 by the id of this process.
    pub fn choose() -> Option<Self> {
        let first = std::process::id() % 200;
        (0..50)
            .map(|step| Self {
                second: (20 + (first + step * 7) % 200) as u8,
            })
            .find(|net| {
                let ports = [
                    FRONTEND,
                    READINESS,
                    CONTROL,
                    INTERNAL,
                    INTERNAL + 1,
                    INTERNAL + 2,
                ];
                let free = |port: &u16| TcpListener::bind(net.address(1, 1, *port)).is_ok();
                ports.iter().all(free)
            })
    }

    pub fn ip(self, third: u8, fourth: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.second, third, fourth))
    }

    pub fn address(self, third: u8, fourth: u8, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip(third, fourth), port)
    }
}

/// A router and its process.
pub struct Router {
    pub name: String,
    pub frontend: SocketAddr,
    pub readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
    /// Set by the balancer.
    pub is_in: AtomicBool,
    pub started: Mutex<Instant>,
    pub last_signal: Mutex<Option<Instant>>,
}

impl Router {
    fn start(&self) -> std::io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new("target/release/weir-platform")
            .env_clear()
            .env("SESAMEWEIR_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        *self.child.lock().unwrap() = Some(child);
        *self.started.lock().unwrap() = Instant::now();
        Ok(())
    }

    pub fn signal(&self, name: &str) {
        let child = self.child.lock().unwrap();
        if let Some(child) = &*child {
            *self.last_signal.lock().unwrap() = Some(Instant::now());
            // The shell has `kill` built in.
            let command = format!("kill -{name} {}", child.id());
            let _ = Command::new("sh").arg("-c").arg(command).status();
        }
    }

    /// The exit status, once the process has ended.
    pub fn ended(&self) -> Option<String> {
        let mut child = self.child.lock().unwrap();
        let status = child.as_mut()?.try_wait().ok().flatten()?;
        Some(status.to_string())
    }

    /// In touch, as far as its own process matters: no start and no signal in `window`.
    pub fn is_in_touch(&self, window: Duration) -> bool {
        let signalled = *self.last_signal.lock().unwrap();
        let is_calm = signalled.is_none_or(|at| at.elapsed() >= window);
        is_calm && self.started.lock().unwrap().elapsed() >= window
    }
}

#[derive(Clone)]
pub struct Fleet {
    pub routers: Arc<Vec<Router>>,
    folder: PathBuf,
    record: Record,
    is_over: Arc<AtomicBool>,
}

impl Fleet {
    /// Starts one router in each of `zones`, `per_zone` times. The lines of `extra` end their settings.
    pub fn start(
        net: Net,
        store: SocketAddr,
        zones: &[&str],
        per_zone: usize,
        extra: &str,
        record: &Record,
    ) -> std::io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("weir-review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let mut routers = Vec::new();
        let seeds: Vec<String> = (1..=3.min(zones.len() * per_zone))
            .map(|host| net.address(1, host as u8, CONTROL).to_string())
            .collect();
        for index in 0..zones.len() * per_zone {
            let host = index as u8 + 1;
            let zone = zones[index % zones.len()];
            let name = format!("edge-{zone}-{}", index / zones.len() + 1);
            let settings = folder.join(format!("{name}.conf"));
            fs::write(
                &settings,
                text(net, store, host, &name, zone, zones, &seeds) + extra,
            )?;
            routers.push(Router {
                log: folder.join(format!("{name}.log")),
                frontend: net.address(1, host, FRONTEND),
                readiness: net.address(1, host, READINESS),
                name,
                settings,
                child: Mutex::new(None),
                is_in: AtomicBool::new(false),
                started: Mutex::new(Instant::now()),
                last_signal: Mutex::new(None),
            });
        }
        let fleet = Self {
            routers: Arc::new(routers),
            folder,
            record: record.clone(),
            is_over: Arc::default(),
        };
        for router in fleet.routers.iter() {
            router.start()?;
        }
        for index in 0..fleet.routers.len() {
            let fleet = fleet.clone();
            thread::spawn(move || fleet.balance(index));
        }
        Ok(fleet)
    }

    /// Asks for readiness once a second, as the platform does. After two misses the router is out.
    fn balance(&self, index: usize) {
        let router = &self.routers[index];
        let mut misses = 0;
        while !self.is_over.load(Ordering::SeqCst) {
            if is_ready(router.readiness) {
                misses = 0;
                if !router.is_in.swap(true, Ordering::SeqCst) {
                    self.record
                        .line(&format!("balancer: {} is in", router.name));
                }
            } else {
                misses += 1;
                if misses >= 2 && router.is_in.swap(false, Ordering::SeqCst) {
                    self.record
                        .line(&format!("balancer: {} is out", router.name));
                }
            }
            thread::sleep(Duration::from_secs(1));
        }
    }

    pub fn wait_until_ready(&self, timeout: Duration) -> bool {
        let until = Instant::now() + timeout;
        while Instant::now() < until {
            if self
                .routers
                .iter()
                .all(|router| router.is_in.load(Ordering::SeqCst))
            {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// A router to which the balancer sends a new connection, in turn.
    pub fn next(&self, turn: usize, not: Option<&str>) -> Option<&Router> {
        let count = self.routers.len();
        let candidates = (0..count).map(|step| &self.routers[(turn + step) % count]);
        let is_usable = |router: &&Router| {
            router.is_in.load(Ordering::SeqCst) && not.is_none_or(|not| not != router.name)
        };
        let mut candidates = candidates.filter(is_usable);
        candidates.next()
    }

    /// Stops a router as the platform does, and starts it again once its process has ended.
    pub fn restart(&self, index: usize, grace: Duration) {
        let router = &self.routers[index];
        self.record.line(&format!("SIGTERM to {}", router.name));
        router.signal("TERM");
        let killed_at = Instant::now() + grace;
        loop {
            if let Some(status) = router.ended() {
                self.record
                    .line(&format!("{} has ended: {status}", router.name));
                break;
            }
            if Instant::now() >= killed_at {
                self.record.line(&format!("SIGKILL to {}", router.name));
                router.signal("KILL");
                thread::sleep(Duration::from_millis(50));
            }
            thread::sleep(Duration::from_millis(10));
        }
        thread::sleep(Duration::from_millis(200));
        match router.start() {
            Ok(()) => self
                .record
                .line(&format!("{} is started again", router.name)),
            Err(error) => self
                .record
                .line(&format!("{} was not started: {error}", router.name)),
        }
    }

    /// Ends all processes. Returns those that had ended by themselves.
    pub fn stop(&self) -> Vec<String> {
        self.is_over.store(true, Ordering::SeqCst);
        let mut ended = Vec::new();
        for router in self.routers.iter() {
            if let Some(status) = router.ended() {
                ended.push(format!("{}: {status}", router.name));
            }
            if let Some(mut child) = router.child.lock().unwrap().take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(Path::new(&self.folder));
        } else {
            println!("logs: {}", self.folder.display());
        }
        ended
    }
}

fn is_ready(address: SocketAddr) -> bool {
    let Ok(mut connection) = Connection::open(address, Duration::from_millis(800)) else {
        return false;
    };
    let _ = connection
        .stream
        .set_read_timeout(Some(Duration::from_millis(800)));
    let sent = connection.send("GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    sent.is_ok() && connection.head().is_ok_and(|head| head.status() == 200)
}

fn text(
    net: Net,
    store: SocketAddr,
    host: u8,
    name: &str,
    zone: &str,
    zones: &[&str],
    seeds: &[String],
) -> String {
    let ip = net.ip(1, host);
    let zones: String = zones
        .iter()
        .map(|zone| format!("zones.{zone}=dk-east\n"))
        .collect();
    format!(
        "node_name={name}\nrole=router\nmachine_class=edge\nserves=edge,control\nip_address={ip}\n\
         zone={zone}\nregion=dk-east\n{zones}listen.frontend={ip}:{FRONTEND}\n\
         listen.readiness={ip}:{READINESS}\nlisten.control_plane={ip}:{CONTROL}\n\
         internal_port_range={INTERNAL},{}\nseed_nodes={}\nbootstrap=true\ncounts_as_loss=false\n\
         limits.cpu_quota=0.25\nlimits.cpu_cores=1\nlimits.memory_mb=260\nlimits.fd_limit=4100\n\
         limits.bandwidth_mbps=1000.0\nlimits.disk_mb=0\ndiscovery=platform\nentry=vip\n\
         heartbeat_interval_ms=1200\n\
         contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform\n\
         fault_tolerance.machines=2\nfault_tolerance.zones=1\nfault_tolerance.regions=0\n\
         bounds.seed_lag_s=3\nbounds.reuse_after_s=2\nbounds.stable_window_ms=3000\n\
         bounds.ack_timeout_ms=4000\nbounds.catch_up_s=4\nbounds.drain_ms=2000\n\
         bounds.grace_period_s=8\nbounds.loss_slack_ms=200\nbounds.config_apply_ms=2000\n\
         bounds.rollback_slack_ms=250\nbounds.outer_bound_ms=5000\nbounds.strict_revocation=false\n\
         bounds.revoke_ms=5000\nbounds.retry_budget_ratio=0.2\nbounds.budget_window_s=10\n\
         bounds.retry_budget_burst=56\nbounds.cold_overshoot=1.5\nbounds.cold_slack=5\n\
         bounds.evacuation_ms=5000\nbounds.recovery_s=12\nbounds.pass_ms=120\n\
         bounds.reuse_window_s=10\nbounds.cap_x=2\nplatform.address={store}\nplatform.form=table\n\
         platform.writes_per_s=400\nplatform.reads_per_s=2000\nplatform.tx_ms=5.0\n\
         platform.partition_writes_s=200\nplatform.row_bytes=65536\nplatform.across=false\n\
         platform.history_s=20\nplatform.blob_bytes=8388608\nplatform.blob_ms=25.0\n\
         platform.blob_mb_s=80.0\n",
        INTERNAL + 15,
        seeds.join(",")
    )
}
