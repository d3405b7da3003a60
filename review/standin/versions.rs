//! Runners that start again under their id with another version of their software.

use std::{
    sync::{Arc, Mutex, atomic::Ordering},
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict, client,
    fleet::{Fleet, Net},
    record::Record,
    runner::{Runner, Settings},
    store::Store,
    takeups::{CONFIGURATION, DEADLINE_MS, ZONES, request},
};

/// How long the store is silent.
const SILENT: Duration = Duration::from_millis(4500);
/// The pause between two runners that are replaced.
const GAP: Duration = Duration::from_millis(3000);
/// How long a runner takes to start.
const START: Duration = Duration::from_millis(1500);
const EVENTS: u64 = 40;
const STREAMS: usize = 60;
const RUNNERS: usize = 4;

pub fn run(has_trouble: bool, record: &Record) -> Verdict {
    let Some(net) = Net::choose() else {
        return Verdict::CouldNotRun(String::from("no free addresses"));
    };
    let store_address = net.address(3, 1, 8223);
    let store = match Store::start(store_address) {
        Ok(store) => store,
        Err(error) => return Verdict::CouldNotRun(error.to_string()),
    };
    let mut runners = Vec::new();
    for index in 0..RUNNERS {
        let settings = Settings {
            id: format!("i-7f3a91c{index}"),
            service: String::from("huvo11a"),
            zone: String::from(ZONES[index % ZONES.len()]),
            version: String::from("v1"),
            address: net.address(2, index as u8 + 1, 8080),
            slots: 64,
            is_engine: true,
        };
        match Runner::start(settings, &store, record) {
            Ok(runner) => runners.push(runner),
            Err(error) => return Verdict::CouldNotRun(error.to_string()),
        }
    }
    store.put("op", "config", CONFIGURATION);
    let fleet = match Fleet::start(net, store_address, &ZONES, 1, "", record) {
        Ok(fleet) => fleet,
        Err(error) => return Verdict::CouldNotRun(error.to_string()),
    };
    let verdict = if fleet.wait_until_ready(Duration::from_secs(15)) {
        play(&fleet, &store, &runners, has_trouble, record)
    } else {
        Verdict::CouldNotRun(String::from("the routers are not ready"))
    };
    for end in fleet.stop() {
        record.say(&format!("ended by itself: {end}"));
    }
    verdict
}

fn play(
    fleet: &Fleet,
    store: &Store,
    runners: &[Runner],
    has_trouble: bool,
    record: &Record,
) -> Verdict {
    thread::sleep(Duration::from_secs(5));
    let joined = Arc::new(Mutex::new((0, 0)));
    let is_silent = has_trouble && std::env::var_os("STORE").is_none_or(|store| store != "up");
    if is_silent {
        record.line("the store falls silent");
        store.set_silent(true);
    }
    let returns_at = Instant::now() + SILENT;
    thread::sleep(Duration::from_millis(200));
    // Without the disruption, the runners start again with the version that they had.
    let version = if has_trouble { "v2" } else { "v1" };
    let mut threads = Vec::new();
    for step in 0..RUNNERS / 2 {
        // The second one is the one with the most streams of the others.
        let others = runners[1..].iter();
        let busiest = others.max_by_key(|runner| runner.running.load(Ordering::SeqCst));
        let runner = if step == 0 {
            &runners[0]
        } else {
            busiest.unwrap_or(&runners[1])
        };
        runner.crash();
        thread::sleep(START);
        runner.restart(version, store);
        if threads.is_empty() {
            for number in 0..STREAMS {
                let (fleet, record, joined) = (fleet.clone(), record.clone(), Arc::clone(&joined));
                threads.push(thread::spawn(move || {
                    stream(&fleet, number, &record, &joined)
                }));
            }
            thread::sleep(GAP - START);
        }
    }
    thread::sleep(returns_at.saturating_duration_since(Instant::now()));
    if is_silent {
        record.line("the store is back");
        store.set_silent(false);
    }
    for runner in runners {
        runner.beat(store);
    }
    for thread in threads {
        let _ = thread.join();
    }
    let (joined, whole) = *joined.lock().unwrap();
    record.say(&format!(
        "streams={STREAMS} whole={whole} with_events_of_two_versions={joined}"
    ));
    if joined > 2 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// A stream whose client takes it up once if its connection breaks.
fn stream(fleet: &Fleet, number: usize, record: &Record, joined: &Mutex<(usize, usize)>) {
    thread::sleep(Duration::from_millis(number as u64 * 10));
    let begun = Instant::now();
    let first = format!("d{number:03x}0");
    let Some(router) = fleet.next(number, None) else {
        return;
    };
    record.line(&format!("client sends {first} to {}", router.name));
    let original = request("/long/chat", first.clone(), DEADLINE_MS, EVENTS);
    let mut answer = client::call(router.frontend, &original, None);
    let at = answer.events.last().copied().unwrap_or(0);
    let mut body = answer.body.clone();
    record.line(&format!(
        "client gets {} for {first}: events to {at}, complete={}",
        answer.status, answer.is_complete
    ));
    if !answer.is_complete || answer.status != 200 {
        let mut again = original;
        again.id = format!("d{number:03x}1");
        again.deadline_ms = DEADLINE_MS.saturating_sub(begun.elapsed().as_millis() as u64);
        again.headers.push((String::from("Resumes"), first.clone()));
        if at > 0 {
            again
                .headers
                .push((String::from("Last-Event-Id"), at.to_string()));
        }
        if let Some(router) = fleet.next(number, Some(&router.name)) {
            answer = client::call(router.frontend, &again, None);
            record.line(&format!(
                "client gets {} for {} from {}: events {:?}, complete={}",
                answer.status, again.id, router.name, answer.events, answer.is_complete
            ));
            if answer.status == 200 {
                body += &answer.body;
            }
        }
    }
    let is_joined = body.contains("by v1\n") && body.contains("by v2\n");
    if is_joined {
        let change = body
            .lines()
            .find(|line| line.ends_with("by v2"))
            .unwrap_or_default();
        record.line(&format!(
            "the stream of {first} holds events of two versions, from {change:?} on"
        ));
    }
    let mut joined = joined.lock().unwrap();
    joined.0 += usize::from(is_joined);
    joined.1 += usize::from(answer.is_complete && answer.status == 200);
}
