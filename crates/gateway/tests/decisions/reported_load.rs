//! What routers believe of the load that servers report, and what they pass on.

use std::{collections::BTreeMap, time::Duration};

use gateway::{
    dispatch::{Dispatch, Message},
    load::Load,
    pool::{Demand, Effect, Outcome, Pool, Standing},
    roster, route,
    status::Row,
};
use load_report::{Report, Shared, Slowdown, TTL};
use tokio::sync::{mpsc, oneshot};
use units::time::{Instant, Millis};
use yare::parameterized;

use crate::prefixes::{acquire, task};
use crate::world::{START, admit, demand, entry, fleet, pool, run, server, twelve_servers};

fn slowdown(percent: u16) -> Slowdown {
    Slowdown::from_percent(percent).expect("valid")
}

fn report(running: u32, percent: Option<u16>) -> Report {
    Report {
        running,
        waiting: 0,
        slots: 64,
        slowdown: percent.map(slowdown),
    }
}

fn shared(name: &str, percent: u16, age_ms: u64) -> Shared {
    Shared {
        server: Load::hash(&server(name)),
        slowdown: slowdown(percent),
        age: Millis(age_ms),
    }
}

fn after(millis: u64) -> Instant {
    START + Duration::from_millis(millis)
}

fn plain_pool(entries: &[roster::Entry]) -> Pool {
    let mut pool = pool(entries);
    pool.set_service(route::Service {
        cold_per_s: 0.0,
        cache_tokens: 0,
        health_path: String::new(),
    });
    pool
}

/// Guards against a service that is served differently although its servers send three figures.
#[test]
fn reports_without_a_speed_change_no_choice() {
    let mut told = pool(&twelve_servers());
    let mut untold = pool(&twelve_servers());
    for index in 0..200 {
        let name = server(&format!("s{}", index % 12));
        let running = 10_000 * (index as u32 % 2);
        told.record_load_report(&name, 1, report(running, None), after(index));
        assert!(!told.reports_speed(after(index)));
        let demand = demand(index % 20, index);
        let chosen = told.admit(&demand, &fleet(), after(index));
        assert_eq!(chosen, untold.admit(&demand, &fleet(), after(index)));
        assert_eq!(told.slowdown_updates(after(index)).count(), 0);
    }
}

/// Guards against the same for plain services.
#[test]
fn reports_without_a_speed_change_no_choice_of_plain_servers() {
    let entries = [entry("s0", "a"), entry("s1", "b"), entry("s2", "c")];
    let (mut told, mut untold) = (plain_pool(&entries), plain_pool(&entries));
    for index in 0..30 {
        told.record_load_report(&server("s0"), 1, report(64, None), after(index));
        let demand = Demand::default();
        let chosen = told.admit(&demand, &fleet(), after(index));
        assert_eq!(chosen, untold.admit(&demand, &fleet(), after(index)));
    }
}

/// Guards against an engine at a fifth of its speed that keeps its full share.
#[test]
fn an_engine_five_times_as_slow_gets_a_smaller_part() {
    let mut entries = twelve_servers();
    for entry in &mut entries {
        entry.slots = 32;
    }
    let mut pool = pool(&entries);
    let slow = server("s5");
    let mut running: Vec<(Instant, _)> = Vec::new();
    let mut counts: BTreeMap<_, u32> = BTreeMap::new();
    // Requests of 400 ms that use half of the slots at the usual speed.
    for index in 0..4_800 {
        let now = START + Duration::from_micros(2_083 * index);
        for entry in &entries {
            let percent = if entry.server == slow { 500 } else { 100 };
            pool.record_load_report(&entry.server, 1, report(0, Some(percent)), now);
        }
        running.retain(|(end, name)| {
            let is_over = now >= *end;
            if is_over {
                pool.ended(name, Outcome::Completed, now);
            }
            !is_over
        });
        let placement = run(&mut pool, index % 60, index, now);
        let factor = if placement.server == slow { 5 } else { 1 };
        running.push((
            now + Duration::from_millis(400 * factor),
            placement.server.clone(),
        ));
        *counts.entry(placement.server).or_default() += 1;
        let load = pool.server(&slow).expect("the server").load();
        assert!(load <= 32 / 5, "{load} requests");
    }
    let mean = 4_800 / 12;
    let count = counts.get(&slow).copied().unwrap_or_default();
    println!("{count} requests at the slow engine, {mean} on average");
    assert!(count <= mean / 5, "{count} of {mean} on average");
}

/// Guards against a service whose engines all serve slowly and get nothing.
#[test]
fn engines_that_are_all_slow_are_used() {
    let entries = [entry("s0", "a"), entry("s1", "b")];
    let mut pool = pool(&entries);
    for entry in &entries {
        pool.record_load_report(&entry.server, 1, report(0, Some(10_000)), START);
    }
    assert!(admit(&mut pool, 1, 1, START).is_ok());
    assert!(admit(&mut pool, 2, 2, START).is_ok());
}

/// Guards against a prompt that is read at a slow engine although another would be done sooner.
#[test]
fn the_slowdown_scales_the_read_time() {
    let entries = twelve_servers();
    let mut pool = pool(&entries);
    let usual = admit(&mut pool, 7, 1, START).expect("a placement").server;
    for entry in &entries {
        let percent = if entry.server == usual { 10_000 } else { 100 };
        pool.record_load_report(&entry.server, 1, report(0, Some(percent)), START);
    }
    let chosen = admit(&mut pool, 7, 2, START).expect("a placement").server;
    assert_ne!(chosen, usual);
    let expired = START + TTL;
    let chosen = admit(&mut pool, 7, 3, expired).expect("a placement").server;
    assert_eq!(chosen, usual, "the report has expired");
}

/// Guards against requests of other routers that a plain server runs and no router counts.
#[test]
fn reported_requests_count_where_they_exceed_the_known_ones() {
    let mut pool = plain_pool(&[entry("s0", "a")]);
    let name = server("s0");
    pool.set_peer_load(|_| 3);
    let load = |pool: &Pool, now| pool.server(&name).expect("the server").expected_load(now);
    assert_eq!(load(&pool, START), 3);
    pool.record_load_report(&name, 1, report(9, Some(100)), START);
    assert_eq!(load(&pool, START), 9);
    // The report does not hold the requests that were placed after it.
    pool.admit(&Demand::default(), &fleet(), START)
        .expect("a placement");
    assert_eq!(load(&pool, START), 10);
    pool.record_load_report(&name, 1, report(1, Some(100)), after(1));
    assert_eq!(load(&pool, after(1)), 4);
    pool.record_load_report(&name, 1, report(10_000, Some(100)), after(2));
    assert_eq!(load(&pool, after(2)), 4 * 64, "a false figure is bounded");
    assert_eq!(load(&pool, after(2) + TTL), 4);
}

/// Guards against a restarted server that is taken for its slow predecessor.
#[test]
fn a_restart_ends_the_belief() {
    let mut entries = [entry("s0", "a"), entry("s1", "b")];
    let mut pool = pool(&entries);
    let name = server("s0");
    pool.record_load_report(&name, 1, report(0, Some(500)), START);
    entries[0].incarnation = 2;
    pool.set_reading(roster::Reading {
        former_confirmed_at: START,
        at: after(100),
    });
    pool.set_servers(entries.iter().map(|entry| (entry, false)));
    let now = after(110);
    let known = |pool: &Pool| pool.server(&name).expect("the server").slowdown(now);
    assert_eq!(known(&pool), Slowdown::NONE);
    let effect = pool.record_load_report(&name, 1, report(0, Some(500)), now);
    assert_eq!(effect, Effect::Ignored);
    pool.record_peer_slowdowns(&[shared("s0", 500, 50)], now);
    assert_eq!(known(&pool), Slowdown::NONE);
    pool.record_peer_slowdowns(&[shared("s0", 500, 5)], now);
    assert_eq!(known(&pool), slowdown(500));
}

/// Guards against reports of other routers that are false, old or of unknown servers.
#[parameterized(
    newer = { 250, 50, 250 },
    older = { 250, 150, 300 },
    expired = { 250, 1_000, 300 },
    absurd_age = { 250, u64::MAX, 300 },
)]
fn the_newest_report_of_any_router_counts(percent: u16, age_ms: u64, expected: u16) {
    let mut pool = pool(&twelve_servers());
    let name = server("s3");
    pool.record_load_report(&name, 1, report(0, Some(300)), after(100));
    let mut reports = [shared("s3", percent, age_ms), shared("unknown", 900, 0)];
    reports.sort_by_key(|report| report.server);
    pool.record_peer_slowdowns(&reports, after(200));
    let known = pool.server(&name).expect("the server");
    assert_eq!(known.slowdown(after(200)), slowdown(expected));
}

/// Guards against news that no other router hears, and against traffic without news.
#[test]
fn news_and_deviations_are_passed_on() {
    let mut pool = pool(&twelve_servers());
    let updates = |pool: &Pool, now| -> Vec<(Shared, bool)> {
        let updates = pool.slowdown_updates(now);
        updates
            .map(|update| (update.shared, update.is_news))
            .collect()
    };
    pool.record_load_report(&server("s1"), 1, report(0, Some(104)), START);
    assert_eq!(updates(&pool, START), [], "about the usual speed");
    pool.record_load_report(&server("s2"), 1, report(0, Some(250)), START);
    assert_eq!(updates(&pool, after(50)), [(shared("s2", 250, 50), true)]);
    pool.record_load_report(&server("s2"), 1, report(0, Some(250)), after(60));
    assert_eq!(updates(&pool, after(60)), [(shared("s2", 250, 0), false)]);
    assert_eq!(updates(&pool, after(461)), [], "not refreshed");
    pool.record_load_report(&server("s2"), 1, report(0, Some(100)), after(500));
    assert_eq!(updates(&pool, after(700)), [(shared("s2", 100, 200), true)]);
    assert_eq!(updates(&pool, after(901)), []);
}

/// Guards against reports that are repeated in a circle: each router passes on only what servers
/// have told itself.
#[test]
fn reports_of_other_routers_are_not_passed_on() {
    let mut pool = pool(&twelve_servers());
    pool.record_peer_slowdowns(&[shared("s2", 250, 0)], START);
    assert!(pool.reports_speed(START));
    assert_eq!(pool.slowdown_updates(START).count(), 0);
}

/// Guards against a choice that stays different after the servers stop to report their speed.
#[test]
fn a_service_without_reports_is_served_as_before() {
    let mut pool = pool(&twelve_servers());
    pool.record_load_report(&server("s2"), 1, report(0, Some(250)), START);
    assert!(pool.reports_speed(after(4_999)));
    assert!(!pool.reports_speed(after(5_000)));
}

/// Guards against a status page that hides why a server is avoided.
#[test]
fn the_status_page_shows_reports_and_their_age() {
    let mut pool = pool(&twelve_servers());
    let row = |pool: &Pool, now| {
        let known = pool.server(&server("s2")).expect("the server");
        let id = "llm".parse().expect("a valid name");
        Row::new(&id, known, 1.0, Standing::Sound, now).to_string()
    };
    assert!(!row(&pool, START).contains("reported"));
    pool.record_load_report(&server("s2"), 1, report(3, Some(250)), START);
    let text = row(&pool, after(30));
    let expected = " reported=3 reported_age_ms=30 slowdown=250 slowdown_age_ms=30";
    assert!(text.ends_with(expected), "{text}");
}

fn handle_all(task: &mut Dispatch, messages: &mut mpsc::UnboundedReceiver<Message>) {
    while let Ok(message) = messages.try_recv() {
        task.handle_message(message);
    }
}

/// The slowdowns that a router sends right after a response with a report.
fn sent_slowdowns(percent: Option<u16>) -> (String, Vec<Shared>) {
    let (mut task, mut messages) = task();
    let permit = acquire(&mut task);
    let name = permit.placement().server.to_string();
    permit.record_load_report(report(1, percent));
    permit.end(Outcome::Completed);
    handle_all(&mut task, &mut messages);
    let (reply, mut answer) = oneshot::channel();
    task.handle_message(Message::PeerUpdate(reply));
    let update = answer.try_recv().expect("an immediate reply");
    (name, update.load_reports)
}

/// Guards against a slowdown that other routers learn of only from the server.
#[test]
fn a_reported_slowdown_is_sent_to_other_routers() {
    // An update is sent only for a moment, and the machine may pause for longer.
    let sent = (0..10)
        .map(|_| sent_slowdowns(Some(250)))
        .find(|(_, sent)| !sent.is_empty());
    let (name, sent) = sent.expect("an update");
    assert_eq!(sent, [shared(&name, 250, sent[0].age.0)]);
}

/// Guards against traffic where no speed is reported.
#[test]
fn nothing_is_sent_without_a_reported_speed() {
    assert_eq!(sent_slowdowns(None).1, []);
}

/// Guards against reports of other routers that are lost on the way to placement.
#[test]
fn a_slowdown_from_another_router_reaches_placement() {
    let is_avoided = || {
        let (mut task, _messages) = task();
        let chosen = acquire(&mut task).placement().server.clone();
        let reports = vec![
            shared(chosen.as_str(), 10_000, 0),
            shared("unknown", 900, 0),
        ];
        task.handle_message(Message::PeerLoadReports(reports));
        acquire(&mut task).placement().server != chosen
    };
    // A report expires, and the machine may pause for longer.
    assert!((0..10).any(|_| is_avoided()));
}
