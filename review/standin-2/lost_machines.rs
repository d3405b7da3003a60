//! Machines are lost for good and replaced, and a key is dropped after that.

use std::{
    env, fs, io,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    fleet::{self, Machines, Ports, Record, Router, Runs},
    http,
    store::Store,
};

/// The machines that are lost, one batch after the other.
const BATCHES: usize = 5;
const BATCH: usize = 40;
/// The machines that serve in the end.
const SERVING: usize = 3;
/// `stable_window_ms`, after which a machine that has started is in touch.
const IN_TOUCH: Duration = Duration::from_millis(3000);
/// `config_apply_ms`.
const APPLY: Duration = Duration::from_millis(2000);
/// How long clients go on after the change.
const WATCHED: Duration = Duration::from_millis(12_000);
const ZONES: [&str; 3] = ["west-a", "west-b", "west-c"];

pub fn configuration(version: u64, keys: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"book\",\"hostname\":\"shop.example\",\
         \"prefix\":\"/book/\",\"route_kind\":\"unsafe\",\"timeout_ms\":1000,\"target_latency_ms\":150,\
         \"priority\":1,\"service\":\"api\",\"max_attempts\":2,\"anonymous\":false}}],\
         \"services\":[{{\"name\":\"api\",\"health_path\":\"/healthz\",\"max_connections\":96}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"shop\",\"api_keys\":[{keys}]}}]}}"
    )
}

/// The settings of `machine` are on an address of its own.
fn ip(machine: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, 41, (machine / 200) as u8, (machine % 200 + 1) as u8)
}

pub fn run(record: &str, has_trouble: bool) -> io::Result<Verdict> {
    let folder = env::temp_dir().join(format!("lost-machines-{}", std::process::id()));
    fs::create_dir_all(&folder)?;
    let record = Record::create(record)?;
    let verdict = play(&record, has_trouble, &folder);
    fs::remove_dir_all(&folder)?;
    verdict
}

fn play(record: &Record, has_trouble: bool, folder: &std::path::Path) -> io::Result<Verdict> {
    let ports = Ports::free();
    let store = Store::start(SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 40, 0, 1)), ports.store()))?;
    let runs: Runs = Arc::default();
    for (index, zone) in ZONES.iter().enumerate() {
        let ip = Ipv4Addr::new(127, 42, 0, index as u8 + 1);
        let work = Duration::from_millis(10);
        fleet::start_runner(&store, &format!("r{index}"), "api", zone, ip, work, &runs)?;
    }
    store.put("op", "config", &configuration(1, "\"kept\",\"dropped\""));
    let machines = Machines {
        folder: folder.to_path_buf(),
        ports,
        store: store.address,
        seeds: (0..3).map(ip).collect(),
    };
    for batch in 0..BATCHES {
        if !replace(&machines, &store, record, batch, has_trouble)? {
            record.line("the machines of a batch did not register, or did not end");
            return Ok(Verdict::NotRun);
        }
    }
    let mut serving = Vec::new();
    let started = Instant::now();
    for index in 0..SERVING {
        let machine = BATCHES * BATCH + index;
        let name = format!("edge-{machine:04}");
        serving.push(machines.start(&name, ZONES[machine % 3], ip(machine), &[])?);
    }
    let are_ready = fleet::wait(Duration::from_secs(8), || serving.iter().all(Router::is_ready));
    let registered = store.keys("weir-routers").len();
    record.line(&format!("{SERVING} machines serve, ready: {are_ready}; rows of routers: {registered}"));
    if !are_ready {
        return Ok(Verdict::NotRun);
    }
    let in_touch_at = Instant::now().max(started) + IN_TOUCH + Duration::from_millis(500);
    thread::sleep(in_touch_at.saturating_duration_since(Instant::now()));
    store.put("op", "config", &configuration(2, "\"kept\""));
    let acknowledged = Instant::now();
    record.line("version 2 acknowledged, which drops the key `dropped`");
    let sent = ask(&serving, record, acknowledged);
    Ok(judge(&sent, &runs, record))
}

/// Starts a batch of machines, waits until they are registered and ends them: by a loss, or in order.
fn replace(machines: &Machines, store: &Store, record: &Record, batch: usize, has_trouble: bool) -> io::Result<bool> {
    let mut routers = Vec::new();
    for index in 0..BATCH {
        let machine = batch * BATCH + index;
        let name = format!("edge-{machine:04}");
        routers.push(machines.start(&name, ZONES[machine % 3], ip(machine), &[])?);
    }
    let are_registered = fleet::wait(Duration::from_secs(10), || {
        let keys = store.keys("weir-routers");
        routers.iter().all(|router| keys.contains(&router.name))
    });
    if !are_registered {
        return Ok(false);
    }
    if has_trouble {
        routers.iter_mut().for_each(Router::kill);
        record.line(&format!("batch {batch}: {BATCH} machines lost (SIGKILL, not started again)"));
        return Ok(true);
    }
    routers.iter().for_each(|router| router.signal("-TERM"));
    let have_ended = fleet::wait(Duration::from_secs(8), || {
        routers.iter_mut().all(|router| router.exit().is_some())
    });
    record.line(&format!("batch {batch}: {BATCH} machines ended in order (SIGTERM)"));
    Ok(have_ended)
}

pub struct Sent {
    attempt: String,
    key: &'static str,
    after: Duration,
    status: u16,
}

/// Sends requests with both keys to each machine, ten times a second.
pub fn ask(serving: &[Router], record: &Record, acknowledged: Instant) -> Vec<Sent> {
    let sent = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for router in serving {
            for key in ["kept", "dropped"] {
                let sent = &sent;
                scope.spawn(move || {
                    let mut count = 0;
                    while acknowledged.elapsed() < WATCHED {
                        count += 1;
                        let attempt = format!("{}-{key}-{count}", router.name);
                        let request = fleet::request("POST", "/book/x", &attempt, key, 1000, "one seat");
                        let after = acknowledged.elapsed();
                        let response = http::call(router.frontend, &request, Duration::from_millis(1500));
                        let status = response.map_or(0, |response| response.status());
                        record.line(&format!(
                            "request {attempt} sent {} ms after the acknowledgement, answered {status}",
                            after.as_millis()
                        ));
                        sent.lock().unwrap().push(Sent { attempt, key, after, status });
                        thread::sleep(Duration::from_millis(100));
                    }
                });
            }
        }
    });
    sent.into_inner().unwrap()
}

pub fn judge(sent: &[Sent], runs: &Runs, record: &Record) -> Verdict {
    let runs = runs.lock().unwrap();
    for run in runs.iter() {
        record.line(&format!("runner {} ran {} for tenant {}", run.runner, run.attempt, run.tenant));
    }
    let kept = sent.iter().filter(|sent| sent.key == "kept");
    let (all, served) = (kept.clone().count(), kept.filter(|sent| sent.status == 200).count());
    let late = sent.iter().filter(|sent| sent.key == "dropped" && sent.after > APPLY);
    let late: Vec<&Sent> = late.collect();
    let has_run = |sent: &&&Sent| runs.iter().any(|run| run.attempt == sent.attempt);
    let stale: Vec<&&Sent> = late.iter().filter(has_run).collect();
    let last = stale.iter().map(|sent| sent.after.as_millis()).max().unwrap_or(0);
    let text = format!(
        "with the kept key: {served} of {all} served; with the dropped key, sent over {} ms after the \
         acknowledgement: {} of {} run, the last one sent {last} ms after it",
        APPLY.as_millis(),
        stale.len(),
        late.len()
    );
    record.line(&text);
    println!("{text}");
    if served * 2 < all {
        return Verdict::NotRun;
    }
    if stale.is_empty() { Verdict::Held } else { Verdict::Broken }
}
