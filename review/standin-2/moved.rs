//! The store moves to another address, and the settings file says so.

use std::{
    env, fs, io,
    net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    Verdict,
    fleet::{self, Machines, Ports, Record, Router, Runs},
    lost_machines as keys,
    store::Store,
};

/// How long both addresses of the store work after the SIGHUP. The settings are read again without a
/// signal within this time, too.
const BOTH: Duration = Duration::from_millis(7000);
/// How long only the new one works before the configuration changes (`stable_window_ms` is 3 s).
const AFTER: Duration = Duration::from_millis(4000);
const SERVING: usize = 3;

/// Passes connections on to the store until it is closed.
struct Address {
    is_open: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Address {
    fn open(at: SocketAddr, store: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(at)?;
        listener.set_nonblocking(true)?;
        let address = Self {
            is_open: Arc::new(AtomicBool::new(true)),
            connections: Arc::default(),
        };
        let (is_open, connections) = (Arc::clone(&address.is_open), Arc::clone(&address.connections));
        thread::spawn(move || {
            while is_open.load(Ordering::Relaxed) {
                let Ok((near, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(2));
                    continue;
                };
                let _ = near.set_nonblocking(false);
                let _ = near.set_nodelay(true);
                let Ok(far) = TcpStream::connect(store) else {
                    continue;
                };
                let _ = far.set_nodelay(true);
                for (from, to) in [(&near, &far), (&far, &near)] {
                    if let (Ok(mut from), Ok(mut to), Ok(kept)) = (from.try_clone(), to.try_clone(), from.try_clone()) {
                        connections.lock().unwrap().push(kept);
                        thread::spawn(move || {
                            let _ = io::copy(&mut from, &mut to);
                            let _ = to.shutdown(Shutdown::Both);
                        });
                    }
                }
            }
        });
        Ok(address)
    }

    fn close(&self) {
        self.is_open.store(false, Ordering::Relaxed);
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

pub fn run(record: &str, has_trouble: bool) -> io::Result<Verdict> {
    let folder = env::temp_dir().join(format!("moved-{}", std::process::id()));
    fs::create_dir_all(&folder)?;
    let record = Record::create(record)?;
    let verdict = play(&record, has_trouble, &folder);
    fs::remove_dir_all(&folder)?;
    verdict
}

fn play(record: &Record, has_trouble: bool, folder: &Path) -> io::Result<Verdict> {
    let ports = Ports::free();
    let at = |last, port| SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 52, 0, last)), port);
    let store = Store::start(at(1, ports.store()))?;
    let (old, new) = (at(2, ports.store()), at(3, ports.store()));
    let old_address = Address::open(old, store.address)?;
    let _new_address = Address::open(new, store.address)?;
    let runs: Runs = Arc::default();
    for index in 1..=3 {
        let (name, ip) = (format!("r{index}"), Ipv4Addr::new(127, 53, 0, index));
        fleet::start_runner(&store, &name, "api", "west-a", ip, Duration::from_millis(10), &runs)?;
    }
    store.put("op", "config", &keys::configuration(1, "\"kept\",\"dropped\""));
    let ip = |index| Ipv4Addr::new(127, 54, 0, index as u8 + 1);
    let machines = Machines {
        folder: folder.to_path_buf(),
        ports,
        store: old,
        seeds: (0..SERVING).map(ip).collect(),
    };
    let zones = ["west-a", "west-b", "west-c"];
    let mut routers = Vec::new();
    for (index, zone) in zones.into_iter().enumerate() {
        routers.push(machines.start(&format!("edge-{zone}-1"), zone, ip(index), &[])?);
    }
    if !fleet::wait(Duration::from_secs(8), || routers.iter().all(Router::is_ready)) {
        return Ok(Verdict::NotRun);
    }
    record.line(&format!("three routers are ready, with platform.address={old}"));
    thread::sleep(Duration::from_secs(4));
    if has_trouble {
        let moved = new.to_string();
        for (index, router) in routers.iter().enumerate() {
            let text = machines.settings(&router.name, zones[index], ip(index), &[("platform.address", &moved)]);
            fs::write(router.settings(), text)?;
            router.signal("-HUP");
        }
        record.line(&format!("the settings files changed to platform.address={new}, and SIGHUP was sent to all"));
    }
    thread::sleep(BOTH);
    if has_trouble {
        old_address.close();
        record.line("the store is no longer at the old address");
    }
    thread::sleep(AFTER);
    store.put("op", "config", &keys::configuration(2, "\"kept\""));
    let acknowledged = std::time::Instant::now();
    record.line("version 2 acknowledged, which drops the key `dropped`");
    let sent = keys::ask(&routers, record, acknowledged);
    Ok(keys::judge(&sent, &runs, record))
}
