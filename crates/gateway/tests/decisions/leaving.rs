//! Servers that announce their shutdown in a response.

use std::time::Duration;

use gateway::{
    advisory::Advisory,
    pool::{Denial, Outcome, Pool},
    roster,
};
use units::time::Instant;
use yare::parameterized;

use crate::{
    prefixes,
    world::{START, admit, entry, pool, run, server, twelve_servers},
};

const LEAVING: Advisory = Advisory {
    is_leaving: true,
    throttled_until: Instant::ZERO,
    max_rejections: None,
};

/// Announces the shutdown of `s0`.
fn announce(pool: &mut Pool, incarnation: u64) {
    assert!(pool.record_advisory(&server("s0"), incarnation, LEAVING, START));
}

/// Places requests of many topics, and returns whether `s0` received one.
fn is_used(pool: &mut Pool) -> bool {
    let uses = (0..20).filter(|&topic| {
        let placement = admit(pool, topic, topic, START).expect("a server");
        pool.ended(&placement.server, Outcome::Completed, START);
        placement.server == server("s0")
    });
    uses.count() > 0
}

/// Guards against a shutdown that is forgotten when the entry of the server is written anew,
/// moves or is gone for a moment.
#[parameterized(
    rewritten = { false, 1_001 },
    moved = { false, 1_002 },
    gone_for_a_moment = { true, 1_001 },
)]
fn an_announced_shutdown_outlasts_changes_of_the_entry(is_removed: bool, port: u16) {
    let mut entries = [entry("s0", "a"), entry("s1", "a")];
    let mut pool = pool(&entries);
    announce(&mut pool, 1);
    if is_removed {
        pool.set_servers([(&entries[1], false)].into_iter());
    }
    entries[0].address = ([127, 0, 0, 1], port).into();
    entries[0].revision = 2;
    pool.set_servers(entries.iter().map(|entry| (entry, false)));
    assert!(!is_used(&mut pool));
}

/// Guards against a shutdown that is held against the next process with the same name, for
/// which there would be no end.
#[parameterized(
    listed_all_the_time = { false },
    gone_for_a_moment = { true },
)]
fn a_restarted_server_is_not_leaving(is_removed: bool) {
    let mut entries = [entry("s0", "a"), entry("s1", "a")];
    let mut pool = pool(&entries);
    announce(&mut pool, 1);
    if is_removed {
        pool.set_servers([(&entries[1], false)].into_iter());
    }
    entries[0].incarnation = 2;
    entries[0].revision = 2;
    pool.set_servers(entries.iter().map(|entry| (entry, false)));
    assert!(is_used(&mut pool));
}

/// Guards against a late response of the former process that takes the new one out of
/// service.
#[test]
fn a_response_of_a_former_process_does_not_count() {
    let mut entries = [entry("s0", "a"), entry("s1", "a")];
    entries[0].incarnation = 2;
    let mut pool = pool(&entries);
    assert!(!pool.record_advisory(&server("s0"), 1, LEAVING, START));
    assert!(is_used(&mut pool));
}

/// Guards against a shutdown that is forgotten because the store tells of the process that announced
/// it only afterwards, and against one that is held against a process for good.
#[parameterized(
    before_the_entry = { Duration::ZERO, false },
    after_the_entry = { Duration::ZERO, true },
    in_an_outage_of_the_store = { Duration::from_secs(30), false },
)]
fn a_shutdown_of_a_process_without_an_entry_counts_for_a_time(outage: Duration, is_late: bool) {
    let mut entries = [entry("s0", "a"), entry("s1", "a")];
    let mut pool = pool(&entries);
    let announced_at = START + Duration::from_millis(500);
    let read_at = announced_at + outage;
    let announce = |pool: &mut Pool, at| pool.record_advisory(&server("s0"), 1, LEAVING, at);
    if !is_late {
        assert!(announce(&mut pool, announced_at));
    }
    entries[0].incarnation = 2;
    entries[0].revision = 2;
    pool.set_reading(roster::Reading {
        former_confirmed_at: START,
        at: read_at,
    });
    pool.set_servers(entries.iter().map(|entry| (entry, false)));
    if is_late {
        assert!(announce(&mut pool, read_at));
    }
    assert!(!is_used(&mut pool));
    pool.expire_shutdowns(read_at + Duration::from_secs(2));
    assert!(!is_used(&mut pool));
    pool.expire_shutdowns(read_at + Duration::from_secs(6));
    assert!(is_used(&mut pool));
}

/// Guards against a shutdown of a former process that keeps the next one out of service although
/// the store had an entry of the former one after the announcement.
#[test]
fn a_shutdown_of_a_process_that_had_an_entry_ends_with_it() {
    let mut entries = [entry("s0", "a"), entry("s1", "a")];
    let mut pool = pool(&entries);
    announce(&mut pool, 1);
    entries[0].incarnation = 2;
    entries[0].revision = 2;
    pool.set_reading(roster::Reading {
        former_confirmed_at: START + Duration::from_secs(2),
        at: START + Duration::from_secs(3),
    });
    pool.set_servers(entries.iter().map(|entry| (entry, false)));
    assert!(is_used(&mut pool));
}

/// Guards against a shutdown that ends early because an earlier process may have announced it too.
#[test]
fn a_shutdown_that_the_present_process_announces_does_not_expire() {
    let mut entries = [entry("s0", "a"), entry("s1", "a")];
    let mut pool = pool(&entries);
    announce(&mut pool, 1);
    entries[0].incarnation = 2;
    entries[0].revision = 2;
    pool.set_reading(roster::Reading {
        former_confirmed_at: START,
        at: START,
    });
    pool.set_servers(entries.iter().map(|entry| (entry, false)));
    pool.record_advisory(&server("s0"), 2, LEAVING, START);
    pool.expire_shutdowns(START + Duration::from_secs(60));
    assert!(!is_used(&mut pool));
}

/// Guards against fallbacks that use a server that shuts down when all others fail.
#[parameterized(
    out_of_reach = { Outcome::Unreachable },
    refused = { Outcome::Refused },
    ejected = { Outcome::Failed },
)]
fn a_server_that_shuts_down_is_no_last_resort(outcome: Outcome) {
    let mut pool = pool(&[entry("s0", "a"), entry("s1", "b"), entry("s2", "c")]);
    announce(&mut pool, 1);
    let mut now = START;
    while now < START + Duration::from_secs(5) {
        for own in 0..4 {
            let Ok(placement) = admit(&mut pool, 7, own, now) else {
                continue;
            };
            assert_ne!(placement.server, server("s0"));
            pool.ended(&placement.server, outcome, now);
        }
        now = now + Duration::from_millis(50);
    }
}

/// Guards against callers that wait although the last server shuts down.
#[test]
fn a_request_is_denied_when_the_last_server_shuts_down() {
    let mut pool = pool(&[entry("s0", "a")]);
    announce(&mut pool, 1);
    assert_eq!(admit(&mut pool, 7, 0, START), Err(Denial::NoServer));
}

/// Guards against a request that is sent to a server whose shutdown became known while the
/// connection was made.
#[test]
fn a_request_that_is_connecting_is_withdrawn_when_the_server_shuts_down() {
    let (mut task, mut messages) = prefixes::task();
    let answered = prefixes::acquire(&mut task);
    let connecting = prefixes::acquire(&mut task);
    assert_eq!(answered.placement().server, connecting.placement().server);
    answered.record_advisory("a1", LEAVING);
    while let Ok(message) = messages.try_recv() {
        task.handle_message(message);
    }
    assert!(connecting.is_withdrawn(START));
}

/// Guards against prompts that are read anew although the server that shuts down still runs
/// and has them.
#[test]
fn a_prompt_is_copied_from_a_server_that_shuts_down() {
    let mut pool = pool(&twelve_servers());
    let former_first = run(&mut pool, 7, 0, START);
    assert!(pool.record_advisory(&former_first.server, 1, LEAVING, START));
    let placement = admit(&mut pool, 7, 1, START).expect("a server");
    assert_eq!(placement.source, Some(former_first.address));
}
