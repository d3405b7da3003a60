//! Streams that clients take up again after the routers were stopped and started in turn.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    client::{self, Request},
    fleet::{Fleet, Net},
    record::Record,
    runner::{Runner, Settings},
    store::Store,
};

/// `bounds.stable_window_ms`.
const STABLE_WINDOW: Duration = Duration::from_millis(3000);
/// `bounds.grace_period_s`.
const GRACE: Duration = Duration::from_secs(8);
/// The pause between two machines that are stopped.
const GAP: Duration = Duration::from_secs(1);
/// `timeout_ms` of the route, and what clients wait.
pub const DEADLINE_MS: u64 = 12_000;
/// The events of a long stream, 200 ms apart.
const EVENTS: u64 = 55;
const STREAMS: usize = 24;
pub const ZONES: [&str; 3] = ["dk-east-a", "dk-east-b", "dk-east-c"];
const KEY: &str = "n2ctnfzs989anu6wsjnb";

pub const CONFIGURATION: &str = r#"{"version":7,"routes":[{"name":"r-long","hostname":"ficu95.example","prefix":"/long/","route_kind":"streaming","timeout_ms":12000,"target_latency_ms":600,"priority":1,"service":"huvo11a","max_attempts":2,"anonymous":false,"session_affinity":true,"stream_resume":true,"gap_target_ms":400},{"name":"r-short","hostname":"ficu95.example","prefix":"/short/","route_kind":"streaming","timeout_ms":12000,"target_latency_ms":600,"priority":1,"service":"huvo11a","max_attempts":2,"anonymous":false,"session_affinity":true,"stream_resume":true,"gap_target_ms":400}],"services":[{"name":"huvo11a","health_path":"/healthz","max_connections":370,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":16.0,"engine":{"slots":64,"kv_capacity_tokens":620704,"kv_token_bytes":327680,"bandwidth_mbps":280000.0,"moves":false,"backups":false,"stride":8,"most":2,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"hule930","api_keys":["n2ctnfzs989anu6wsjnb"],"priority":1}]}"#;

#[derive(Default)]
struct Counts {
    cut: usize,
    taken_up: usize,
    went_on: usize,
    whole: usize,
    not_in_touch: usize,
    begun: usize,
    begun_of: usize,
}

/// The routers are stopped and started in turn.
pub fn rolling(has_trouble: bool, record: &Record) -> Verdict {
    run(&USUAL, record, |fleet| {
        play_rolling(fleet, has_trouble, record)
    })
}

/// Most routers are lost for good, and later one more.
pub fn lost(has_trouble: bool, record: &Record) -> Verdict {
    run(
        &Setup {
            per_zone: 4,
            ..USUAL
        },
        record,
        |fleet| play_lost(fleet, has_trouble, record),
    )
}

/// Streams that last longer than a minute, of two versions that serve side by side.
pub fn long(has_trouble: bool, record: &Record) -> Verdict {
    let setup = Setup {
        per_zone: 1,
        versions: &["v1", "v2", "v1", "v2"],
        timeout_ms: LONG_MS,
    };
    run(&setup, record, |fleet| {
        play_long(fleet, has_trouble, record)
    })
}

/// What is started.
struct Setup {
    /// The machines in each zone.
    per_zone: usize,
    /// The version of each runner.
    versions: &'static [&'static str],
    /// `timeout_ms` of the route.
    timeout_ms: u64,
}

const USUAL: Setup = Setup {
    per_zone: 1,
    versions: &["v1", "v1", "v1"],
    timeout_ms: DEADLINE_MS,
};

fn run(setup: &Setup, record: &Record, play: impl Fn(&Fleet) -> Verdict) -> Verdict {
    let Some(net) = Net::choose() else {
        return Verdict::CouldNotRun(String::from("no free addresses"));
    };
    let store_address = net.address(3, 1, 8223);
    let store = match Store::start(store_address) {
        Ok(store) => store,
        Err(error) => return Verdict::CouldNotRun(error.to_string()),
    };
    for (index, version) in setup.versions.iter().enumerate() {
        let settings = Settings {
            id: format!("i-7f3a91c{index}"),
            service: String::from("huvo11a"),
            zone: String::from(ZONES[index % ZONES.len()]),
            version: String::from(*version),
            address: net.address(2, index as u8 + 1, 8080),
            slots: 64,
            is_engine: true,
        };
        if let Err(error) = Runner::start(settings, &store, record) {
            return Verdict::CouldNotRun(error.to_string());
        }
    }
    let timeout = format!(r#""timeout_ms":{}"#, setup.timeout_ms);
    let configuration = CONFIGURATION.replace(r#""timeout_ms":12000"#, &timeout);
    store.put("op", "config", &configuration);
    let fleet = match Fleet::start(net, store_address, &ZONES, setup.per_zone, "", record) {
        Ok(fleet) => fleet,
        Err(error) => return Verdict::CouldNotRun(error.to_string()),
    };
    let verdict = if fleet.wait_until_ready(Duration::from_secs(15)) {
        play(&fleet)
    } else {
        Verdict::CouldNotRun(String::from("the routers are not ready"))
    };
    let ended = fleet.stop();
    for end in ended {
        record.say(&format!("ended by itself: {end}"));
    }
    verdict
}

fn play_rolling(fleet: &Fleet, has_trouble: bool, record: &Record) -> Verdict {
    // All machines are in touch, and know each other.
    thread::sleep(Duration::from_secs(5));
    let counts = Arc::new(Mutex::new(Counts::default()));
    let is_over = Arc::new(AtomicBool::new(false));
    let last = fleet.routers.len() - 1;
    let mut threads = Vec::new();
    for number in 0..STREAMS {
        let (fleet, record, counts) = (fleet.clone(), record.clone(), Arc::clone(&counts));
        threads.push(thread::spawn(move || {
            let plan = Plan {
                deadline_ms: DEADLINE_MS,
                events: EVENTS,
                leave_after: (!has_trouble).then_some(Duration::from_millis(9700)),
            };
            stream(&fleet, number, last, &plan, &record, &counts);
        }));
    }
    for worker in 0..2 {
        let (fleet, record, counts) = (fleet.clone(), record.clone(), Arc::clone(&counts));
        let is_over = Arc::clone(&is_over);
        threads.push(thread::spawn(move || {
            begin_new(&fleet, worker, &is_over, &record, &counts)
        }));
    }
    let mut restarts = Vec::new();
    if has_trouble {
        thread::sleep(Duration::from_millis(300));
        // For comparison, `ONLY_LAST=1` stops the last machine alone.
        let from = if std::env::var_os("ONLY_LAST").is_some() {
            last
        } else {
            0
        };
        if from == last {
            thread::sleep(GAP * last as u32);
        }
        for index in from..fleet.routers.len() {
            let fleet = fleet.clone();
            restarts.push(thread::spawn(move || fleet.restart(index, GRACE)));
            if index < last {
                thread::sleep(GAP);
            }
        }
    }
    thread::sleep(Duration::from_secs(14));
    is_over.store(true, Ordering::SeqCst);
    for thread in threads.into_iter().chain(restarts) {
        let _ = thread.join();
    }
    judge(&counts.lock().unwrap(), record)
}

/// The machines that are lost, as an index from which on the others are kept.
const KEPT: usize = 10;

fn play_lost(fleet: &Fleet, has_trouble: bool, record: &Record) -> Verdict {
    thread::sleep(Duration::from_secs(5));
    let counts = Arc::new(Mutex::new(Counts::default()));
    let is_over = Arc::new(AtomicBool::new(false));
    if has_trouble {
        for router in &fleet.routers[..KEPT] {
            record.line(&format!(
                "SIGKILL to {}, which is lost for good",
                router.name
            ));
            router.signal("KILL");
        }
        thread::sleep(Duration::from_secs(8));
    }
    let last = fleet.routers.len() - 1;
    let mut threads = Vec::new();
    for number in 0..2 * STREAMS {
        let (fleet, record, counts) = (fleet.clone(), record.clone(), Arc::clone(&counts));
        threads.push(thread::spawn(move || {
            let plan = Plan {
                deadline_ms: DEADLINE_MS,
                events: 30,
                leave_after: (!has_trouble).then_some(Duration::from_millis(3000)),
            };
            stream(&fleet, number, last, &plan, &record, &counts);
        }));
    }
    for worker in 0..2 {
        let (fleet, record, counts) = (fleet.clone(), record.clone(), Arc::clone(&counts));
        let is_over = Arc::clone(&is_over);
        threads.push(thread::spawn(move || {
            begin_new(&fleet, worker, &is_over, &record, &counts)
        }));
    }
    thread::sleep(Duration::from_secs(3));
    if has_trouble {
        record.line(&format!("SIGKILL to {}", fleet.routers[last].name));
        fleet.routers[last].signal("KILL");
    }
    thread::sleep(Duration::from_secs(6));
    is_over.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    judge(&counts.lock().unwrap(), record)
}

fn judge(counts: &Counts, record: &Record) -> Verdict {
    record.say(&format!(
        "streams={} whole_at_once={} broken={} taken_up_at_machines_in_touch={} went_on={} \
         at_machines_not_in_touch={} new_streams={} of_which_began={}",
        counts.whole + counts.cut,
        counts.whole,
        counts.cut,
        counts.taken_up,
        counts.went_on,
        counts.not_in_touch,
        counts.begun_of,
        counts.begun
    ));
    if counts.taken_up < 12 || counts.begun_of == 0 {
        return Verdict::CouldNotRun(String::from("fewer than 12 streams were taken up"));
    }
    let went_on = counts.went_on as f64 / counts.taken_up as f64;
    let began = counts.begun as f64 / counts.begun_of as f64;
    record.say(&format!(
        "share that goes on: {went_on:.2}; share of new streams that begin: {began:.2}"
    ));
    if went_on < began / 2.0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// `timeout_ms` of the route with long streams, and what their clients wait.
const LONG_MS: u64 = 90_000;

fn play_long(fleet: &Fleet, has_trouble: bool, record: &Record) -> Verdict {
    thread::sleep(Duration::from_secs(5));
    let counts = Arc::new(Mutex::new(Counts::default()));
    let is_over = Arc::new(AtomicBool::new(false));
    let last = fleet.routers.len() - 1;
    // For comparison, the connections break within a minute.
    let breaks_after = Duration::from_secs(if has_trouble { 66 } else { 40 });
    let mut threads = Vec::new();
    for number in 0..2 * STREAMS {
        let (fleet, record, counts) = (fleet.clone(), record.clone(), Arc::clone(&counts));
        threads.push(thread::spawn(move || {
            let plan = Plan {
                deadline_ms: LONG_MS,
                events: 380,
                leave_after: (number % 2 == 0).then_some(breaks_after),
            };
            stream(&fleet, number, last, &plan, &record, &counts);
        }));
    }
    thread::sleep(breaks_after - Duration::from_secs(3));
    for worker in 0..2 {
        let (fleet, record, counts) = (fleet.clone(), record.clone(), Arc::clone(&counts));
        let is_over = Arc::clone(&is_over);
        threads.push(thread::spawn(move || {
            begin_new(&fleet, worker, &is_over, &record, &counts)
        }));
    }
    thread::sleep(Duration::from_secs(6));
    is_over.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    judge(&counts.lock().unwrap(), record)
}

/// How a stream is asked for.
struct Plan {
    deadline_ms: u64,
    events: u64,
    /// When the connection breaks on the client's side.
    leave_after: Option<Duration>,
}

pub fn request(path: &str, id: String, deadline_ms: u64, events: u64) -> Request {
    Request {
        method: "POST",
        path: String::from(path),
        key: String::from(KEY),
        deadline_ms,
        headers: vec![
            (String::from("Model"), String::from("m")),
            (String::from("Token-Usage"), format!("1460,{}", events * 8)),
            (
                String::from("Prefix-Hash"),
                format!("5c1e07a2:800,91bd3f06:410,{id}:250"),
            ),
        ],
        body: format!("prompt of {id}"),
        id,
    }
}

/// A stream that begins at the machine `last`. If its connection breaks, its client takes it up once,
/// at another machine that the balancer chooses.
fn stream(
    fleet: &Fleet,
    number: usize,
    last: usize,
    plan: &Plan,
    record: &Record,
    counts: &Mutex<Counts>,
) {
    thread::sleep(Duration::from_millis(number as u64 * 5));
    let begun = Instant::now();
    let first = format!("a{number:03x}0");
    let router = &fleet.routers[last];
    record.line(&format!("client sends {first} to {}", router.name));
    let original = request("/long/chat", first.clone(), plan.deadline_ms, plan.events);
    let answer = client::call(router.frontend, &original, plan.leave_after);
    let at = answer.events.last().copied().unwrap_or(0);
    record.line(&format!(
        "client gets {} for {first}: events to {at}, complete={}, error={:?}",
        answer.status, answer.is_complete, answer.error
    ));
    if answer.is_complete {
        counts.lock().unwrap().whole += 1;
        return;
    }
    counts.lock().unwrap().cut += 1;
    let left = plan
        .deadline_ms
        .saturating_sub(begun.elapsed().as_millis() as u64);
    let Some(next) = fleet.next(number, Some(&router.name)) else {
        record.line(&format!("client finds no machine for {first}"));
        return;
    };
    let is_in_touch = next.is_in_touch(STABLE_WINDOW);
    let second = format!("a{number:03x}1");
    let mut again = Request {
        id: second.clone(),
        deadline_ms: left,
        ..original
    };
    again.headers.push((String::from("Resumes"), first.clone()));
    if at > 0 {
        again
            .headers
            .push((String::from("Last-Event-Id"), at.to_string()));
    }
    record.line(&format!(
        "client takes {first} up with {second} at {} after {at}, {left} ms left, in touch={is_in_touch}",
        next.name
    ));
    let answer = client::call(next.frontend, &again, None);
    record.line(&format!(
        "client gets {} for {second}: events {:?}, complete={}, retry_after={:?}, body={:?}",
        answer.status,
        answer.events,
        answer.is_complete,
        answer.retry_after,
        answer.body.chars().take(160).collect::<String>()
    ));
    let mut counts = counts.lock().unwrap();
    if !is_in_touch {
        counts.not_in_touch += 1;
        return;
    }
    counts.taken_up += 1;
    if answer.status == 200 && answer.events.first() == Some(&(at + 1)) {
        counts.went_on += 1;
    }
}

/// Begins short new streams at the machines to which the balancer sends new connections.
fn begin_new(
    fleet: &Fleet,
    worker: usize,
    is_over: &AtomicBool,
    record: &Record,
    counts: &Mutex<Counts>,
) {
    let mut turn = worker;
    while !is_over.load(Ordering::SeqCst) {
        turn += 1;
        let id = format!("b{worker}{turn:03x}");
        if let Some(router) = fleet.next(turn, None) {
            let answer = client::call(
                router.frontend,
                &request("/short/chat", id.clone(), DEADLINE_MS, 6),
                None,
            );
            record.line(&format!(
                "client gets {} for {id} from {}: events {:?}, complete={}, error={:?}",
                answer.status, router.name, answer.events, answer.is_complete, answer.error
            ));
            let mut counts = counts.lock().unwrap();
            counts.begun_of += 1;
            if !answer.events.is_empty() {
                counts.begun += 1;
            }
        }
        thread::sleep(Duration::from_millis(100));
    }
}
