//! The settings file changes to a grace period that is a fraction; the process is ended in order and
//! started again after that.

use std::{
    env, fs, io,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::Path,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    fleet::{self, Machines, Ports, Record, Router, Runs},
    http,
    store::Store,
};

/// `grace_period_s` before and after the change; with `TROUBLE=0` the new one is whole.
const BEFORE: &str = "8";
const AFTER: &str = "12.5";
const AFTER_WHOLE: &str = "12";
/// How long the runner works on each request.
const WORK: Duration = Duration::from_millis(8500);
/// When the requests are sent after the SIGTERM.
const SENT: Duration = Duration::from_millis(500);
const REQUESTS: usize = 5;

fn configuration() -> String {
    String::from(
        "{\"version\":1,\"routes\":[{\"name\":\"report\",\"hostname\":\"shop.example\",\
         \"prefix\":\"/report/\",\"route_kind\":\"unsafe\",\"timeout_ms\":12000,\"target_latency_ms\":1000,\
         \"priority\":1,\"service\":\"api\",\"max_attempts\":2,\"anonymous\":false}],\
         \"services\":[{\"name\":\"api\",\"health_path\":\"/healthz\",\"max_connections\":96}],\
         \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\
         \"tenants\":[{\"name\":\"shop\",\"api_keys\":[\"key\"]}]}",
    )
}

pub fn run(record: &str, has_trouble: bool) -> io::Result<Verdict> {
    let folder = env::temp_dir().join(format!("fraction-{}", std::process::id()));
    fs::create_dir_all(&folder)?;
    let record = Record::create(record)?;
    let verdict = play(&record, has_trouble, &folder);
    fs::remove_dir_all(&folder)?;
    verdict
}

fn play(record: &Record, has_trouble: bool, folder: &Path) -> io::Result<Verdict> {
    let ports = Ports::free();
    let address = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 43, 0, 1)), ports.store());
    let store = Store::start(address)?;
    let runs: Runs = Arc::default();
    for index in 1..=3 {
        let (name, ip) = (format!("r{index}"), Ipv4Addr::new(127, 44, 0, index));
        fleet::start_runner(&store, &name, "api", "west-a", ip, WORK, &runs)?;
    }
    store.put("op", "config", &configuration());
    let ip = Ipv4Addr::new(127, 45, 0, 1);
    let machines = Machines {
        folder: folder.to_path_buf(),
        ports,
        store: store.address,
        seeds: vec![ip],
    };
    let (name, zone) = ("edge-west-a-1", "west-a");
    let mut router = machines.start(name, zone, ip, &[("bounds.grace_period_s", BEFORE)])?;
    if !fleet::wait(Duration::from_secs(8), || router.is_ready()) {
        return Ok(Verdict::NotRun);
    }
    record.line(&format!("the router is ready, with grace_period_s={BEFORE}"));
    thread::sleep(Duration::from_secs(4));
    let after = if has_trouble { AFTER } else { AFTER_WHOLE };
    let changed = machines.settings(name, zone, ip, &[("bounds.grace_period_s", after)]);
    fs::write(router.settings(), changed)?;
    router.signal("-HUP");
    record.line(&format!("the settings file changed to grace_period_s={after}, and SIGHUP was sent"));
    thread::sleep(Duration::from_secs(6));
    let grace: f64 = after.parse().map_err(io::Error::other)?;
    let lost = end_in_order(&mut router, grace, record);
    for run in runs.lock().unwrap().iter() {
        record.line(&format!("runner {} ran {} for tenant {}", run.runner, run.attempt, run.tenant));
    }
    let starts = start_again(&machines, &mut router, record)?;
    let text = format!(
        "{lost} of {REQUESTS} requests were passed on to a runner and ended without an answer; \
         the process started again: {starts}"
    );
    record.line(&text);
    println!("{text}");
    Ok(if lost == 0 && starts { Verdict::Held } else { Verdict::Broken })
}

/// Sends SIGTERM, and after it requests that the runners answer well before the last sixth of the grace
/// period. Returns how many of them got no answer.
fn end_in_order(router: &mut Router, grace: f64, record: &Record) -> usize {
    let signal = Instant::now();
    router.signal("-TERM");
    record.line("SIGTERM sent");
    thread::sleep(SENT);
    let frontend = router.frontend;
    let calls: Vec<_> = (1..=REQUESTS)
        .map(|index| {
            let record = record.clone();
            thread::spawn(move || {
                let attempt = format!("request-{index}");
                let request = fleet::request("POST", "/report/x", &attempt, "key", 12_000, "a report");
                record.line(&format!("{attempt} sent {} ms after SIGTERM", signal.elapsed().as_millis()));
                let response = http::call(frontend, &request, Duration::from_secs(13));
                let (status, end) = match &response {
                    Ok(response) => (response.status(), String::from("answered")),
                    Err(error) => (0, error.to_string()),
                };
                let after = signal.elapsed().as_millis();
                record.line(&format!("{attempt} ended {after} ms after SIGTERM: {status} {end}"));
                status
            })
        })
        .collect();
    let mut exited = None;
    fleet::wait(Duration::from_secs_f64(grace), || {
        exited = router.exit();
        exited.is_some()
    });
    let after = signal.elapsed().as_millis();
    match exited {
        Some(status) => record.line(&format!("the router exited {after} ms after SIGTERM: {status}")),
        None => {
            record.line(&format!("the router was killed {after} ms after SIGTERM"));
            router.kill();
        }
    }
    let statuses = calls.into_iter().map(|call| call.join().unwrap_or(0));
    statuses.filter(|status| *status == 0).count()
}

/// Starts the process again as the platform does after an exit, up to three times.
fn start_again(machines: &Machines, router: &mut Router, record: &Record) -> io::Result<bool> {
    for _ in 0..3 {
        machines.restart(router)?;
        let mut exit = None;
        let is_ready = fleet::wait(Duration::from_secs(4), || {
            exit = router.exit();
            exit.is_some() || router.is_ready()
        });
        match exit {
            Some(status) => record.line(&format!("the process was started again and ended by itself: {status}")),
            None => {
                record.line(&format!("the process was started again, ready: {is_ready}"));
                return Ok(is_ready);
            }
        }
    }
    Ok(false)
}
