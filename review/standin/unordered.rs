//! A new version that is started beside the one in service, before any order to move to it.

use std::{
    sync::atomic::{AtomicUsize, Ordering},
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

/// `bounds.grace_period_s`.
const GRACE: Duration = Duration::from_secs(8);
/// `bounds.stable_window_ms` of the site.
const STABLE_WINDOW: Duration = Duration::from_millis(4000);
/// How long a runner that crashed is away.
const AWAY: Duration = Duration::from_millis(2000);
/// The pause between two machines that are stopped.
const GAP: Duration = Duration::from_secs(1);
/// What the settings of a deployment with roll-outs add.
const SETTINGS: &str = "contracts=base,drain,config,cost,retry,recover,health,pool,engine,stream,tenants,places,rollout,platform\n\
    bounds.stable_window_ms=4000\nbounds.drain_ms=3000\nbounds.config_apply_ms=3000\n\
    bounds.exposure_share=0.1\nbounds.exposure_slack=50\nbounds.rollback_ms=5000\n";

pub fn run(has_trouble: bool, record: &Record) -> Verdict {
    let Some(net) = Net::choose() else {
        return Verdict::CouldNotRun(String::from("no free addresses"));
    };
    let store_address = net.address(3, 1, 8223);
    let store = match Store::start(store_address) {
        Ok(store) => store,
        Err(error) => return Verdict::CouldNotRun(error.to_string()),
    };
    let start = |index: usize, version: &str| {
        let settings = Settings {
            id: format!("i-5b0c4de{index}"),
            service: String::from("huvo11a"),
            zone: String::from(ZONES[index % ZONES.len()]),
            version: String::from(version),
            address: net.address(2, index as u8 + 1, 8080),
            slots: 64,
            is_engine: true,
        };
        Runner::start(settings, &store, record)
    };
    let old: Result<Vec<Runner>, _> = (0..4).map(|index| start(index, "v1")).collect();
    let old = match old {
        Ok(old) => old,
        Err(error) => return Verdict::CouldNotRun(error.to_string()),
    };
    store.put("op", "config", CONFIGURATION);
    let fleet = match Fleet::start(net, store_address, &ZONES, 1, SETTINGS, record) {
        Ok(fleet) => fleet,
        Err(error) => return Verdict::CouldNotRun(error.to_string()),
    };
    let verdict = if fleet.wait_until_ready(Duration::from_secs(15)) {
        thread::sleep(Duration::from_secs(4));
        let new: Result<Vec<Runner>, _> = (4..8).map(|index| start(index, "v2")).collect();
        match new {
            Ok(_) => play(&fleet, &store, &old, has_trouble, record),
            Err(error) => Verdict::CouldNotRun(error.to_string()),
        }
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
    old: &[Runner],
    has_trouble: bool,
    record: &Record,
) -> Verdict {
    record.line("runners of v2 are started; there is no order");
    thread::sleep(Duration::from_secs(2));
    let before = send(fleet, 30, record);
    record.say(&format!(
        "before: run by v1: {}, by v2: {}, by none: {}",
        before.0, before.1, before.2
    ));
    // For comparison, `CRASHES=0` leaves the runners alone, and `RESTARTS=0` the machines.
    let plays = |name| has_trouble && std::env::var(name).map_or(true, |value| value != "0");
    if plays("CRASHES") {
        for runner in old {
            runner.crash();
            thread::sleep(AWAY);
            runner.restart("v1", store);
            thread::sleep(Duration::from_millis(2500));
        }
    }
    if plays("RESTARTS") {
        let mut restarts = Vec::new();
        for index in 0..fleet.routers.len() {
            let fleet = fleet.clone();
            restarts.push(thread::spawn(move || fleet.restart(index, GRACE)));
            thread::sleep(GAP);
        }
        for restart in restarts {
            let _ = restart.join();
        }
    }
    let until = Instant::now() + Duration::from_secs(15);
    let is_calm = || {
        fleet
            .routers
            .iter()
            .all(|router| router.is_in_touch(STABLE_WINDOW))
    };
    let is_in = || {
        fleet
            .routers
            .iter()
            .all(|router| router.is_in.load(Ordering::SeqCst))
    };
    while !(is_calm() && is_in()) {
        if Instant::now() > until {
            return Verdict::CouldNotRun(String::from("the routers are not in touch"));
        }
        thread::sleep(Duration::from_millis(100));
    }
    thread::sleep(Duration::from_secs(1));
    let after = send(fleet, 120, record);
    record.say(&format!(
        "after: run by v1: {}, by v2: {}, by none: {}",
        after.0, after.1, after.2
    ));
    if before.0 + after.0 + after.1 == 0 {
        return Verdict::CouldNotRun(String::from("nothing was served"));
    }
    if before.1 + after.1 > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Sends requests to all machines. Returns how many ran at v1, at v2 and nowhere.
fn send(fleet: &Fleet, count: usize, record: &Record) -> (usize, usize, usize) {
    let (v1, v2, none) = (
        AtomicUsize::new(0),
        AtomicUsize::new(0),
        AtomicUsize::new(0),
    );
    thread::scope(|scope| {
        for number in 0..count {
            let (v1, v2, none) = (&v1, &v2, &none);
            scope.spawn(move || {
                thread::sleep(Duration::from_millis(number as u64 * 25));
                let Some(router) = fleet.next(number, None) else {
                    none.fetch_add(1, Ordering::SeqCst);
                    return;
                };
                let id = format!("e{:06x}", record.next_number());
                let answer = client::call(
                    router.frontend,
                    &request("/short/chat", id.clone(), DEADLINE_MS, 6),
                    None,
                );
                record.line(&format!(
                    "client gets {} for {id} at {}: {:?}",
                    answer.status,
                    router.name,
                    answer.body.lines().nth(1)
                ));
                let counter = if answer.body.contains("by v2\n") {
                    v2
                } else if answer.body.contains("by v1\n") {
                    v1
                } else {
                    none
                };
                counter.fetch_add(1, Ordering::SeqCst);
            });
        }
    });
    (v1.into_inner(), v2.into_inner(), none.into_inner())
}
