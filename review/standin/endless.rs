//! A runner whose answers have no end.

use std::{
    sync::{Mutex, atomic::Ordering},
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict, client,
    fleet::{Fleet, Net},
    record::Record,
    runner::{Runner, Settings},
    store::Store,
    takeups::{CONFIGURATION, ZONES, request},
};

/// `timeout_ms` of the route.
const TIMEOUT: Duration = Duration::from_millis(2500);
/// How much later an answer has ended.
const SLACK: Duration = Duration::from_millis(500);
/// What clients wait.
const DEADLINE_MS: u64 = 5000;
const REQUESTS: usize = 600;
const RUNNERS: usize = 4;
/// How many of them are faulty.
const FAULTY: usize = 2;
/// One of their answers in this many has no end.
const EVERY: u64 = 20;

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
    store.put("op", "config", &CONFIGURATION.replace("12000", "2500"));
    let fleet = match Fleet::start(net, store_address, &ZONES, 1, "", record) {
        Ok(fleet) => fleet,
        Err(error) => return Verdict::CouldNotRun(error.to_string()),
    };
    let verdict = if fleet.wait_until_ready(Duration::from_secs(15)) {
        thread::sleep(Duration::from_secs(4));
        let before = play(&fleet, 20, "before", record);
        if before.0 < 20 {
            return stop(
                &fleet,
                record,
                Verdict::CouldNotRun(String::from("not all is served")),
            );
        }
        // Those to which most of these requests go.
        runners.sort_by_key(|runner| std::cmp::Reverse(runner.runs.load(Ordering::SeqCst)));
        for runner in runners.iter().take(FAULTY).filter(|_| has_trouble) {
            record.line(&format!(
                "one answer in {EVERY} of {} has no end from now on",
                runner.settings.id
            ));
            runner.endless_every.store(EVERY, Ordering::SeqCst);
        }
        judge(play(&fleet, REQUESTS, "then", record))
    } else {
        Verdict::CouldNotRun(String::from("the routers are not ready"))
    };
    stop(&fleet, record, verdict)
}

fn stop(fleet: &Fleet, record: &Record, verdict: Verdict) -> Verdict {
    for end in fleet.stop() {
        record.say(&format!("ended by itself: {end}"));
    }
    verdict
}

fn judge((_, late, open): (usize, usize, usize)) -> Verdict {
    if open >= 8 && open * 4 > open + late {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Returns how many answers ended within the time-out, up to half a second later, and not by then.
fn play(fleet: &Fleet, requests: usize, what: &str, record: &Record) -> (usize, usize, usize) {
    let (ended, late, open) = (Mutex::new(0), Mutex::new(0), Mutex::new(0));
    thread::scope(|scope| {
        for number in 0..requests {
            let (ended, late, open) = (&ended, &late, &open);
            scope.spawn(move || {
                thread::sleep(Duration::from_millis(number as u64 * 9));
                let Some(router) = fleet.next(number, None) else {
                    return;
                };
                let id = format!("f{:05x}", record.next_number());
                let request = request("/short/chat", id, DEADLINE_MS, 6);
                let sent = Instant::now();
                let (status, bytes, has_ended) = client::skim(router.frontend, &request);
                let took = sent.elapsed();
                record.line(&format!(
                    "client gets {status} for {} at {}: {bytes} bytes in {} ms, ended={has_ended}",
                    request.id,
                    router.name,
                    took.as_millis()
                ));
                let counter = if !has_ended || took > TIMEOUT + SLACK {
                    open
                } else if took > TIMEOUT {
                    late
                } else {
                    ended
                };
                *counter.lock().unwrap() += 1;
            });
        }
    });
    let counts = (
        ended.into_inner().unwrap(),
        late.into_inner().unwrap(),
        open.into_inner().unwrap(),
    );
    record.say(&format!(
        "{what}: requests={requests} ended within timeout_ms={}, within 0.5 s after it={}, not by then={}",
        counts.0, counts.1, counts.2
    ));
    counts
}
