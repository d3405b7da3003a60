//! Servers that ask this router to send nothing for a time.

use std::time::Duration;

use gateway::{
    advisory::Advisory,
    pool::{Denial, Outcome, Pool, Standing},
    queue::{Admission, Queue, Request},
};
use units::{backend, cost::Cost, request::Attempt, time::Instant};
use yare::parameterized;

use crate::{
    prefixes,
    world::{START, admit, demand, entry, fleet, pool, run, server, twelve_servers, workspace},
};

/// How long the servers of these tests ask for.
const PAUSE: Duration = Duration::from_secs(3);

fn pause(until: Instant) -> Advisory {
    Advisory {
        throttled_until: until,
        ..Advisory::default()
    }
}

fn throttle(pool: &mut Pool, name: &backend::Server, until: Instant) {
    assert!(pool.record_advisory(name, 1, pause(until), START));
}

fn throttle_all(pool: &mut Pool) {
    for entry in twelve_servers() {
        throttle(pool, &entry.server, START + PAUSE);
    }
}

fn request(latest_start: Instant) -> Request {
    Request {
        attempt: Attempt(1),
        workspace: workspace("team"),
        cost: Cost(1000),
        rank: 1,
        latest_start,
        demand: demand(1, 1),
    }
}

/// Guards against a pause that is cut short or never ends.
#[test]
fn a_throttled_server_is_used_again_after_its_pause() {
    let mut pool = pool(&twelve_servers());
    let first = run(&mut pool, 7, 0, START).server;
    throttle(&mut pool, &first, START + PAUSE);
    let last_moment = START + PAUSE - Duration::from_millis(1);
    for now in [START, last_moment] {
        assert_ne!(admit(&mut pool, 7, 1, now).expect("a server").server, first);
        assert_eq!(pool.standing(&first, now), Standing::Throttled);
    }
    let after = admit(&mut pool, 7, 1, START + PAUSE).expect("a server");
    assert_eq!(after.server, first);
}

/// Guards against a shorter pause that is asked for later and ends the first one.
#[test]
fn the_latest_end_of_several_pauses_counts() {
    let mut pool = pool(&[entry("s0", "a")]);
    throttle(&mut pool, &server("s0"), START + PAUSE);
    assert!(!pool.record_advisory(&server("s0"), 1, pause(START + PAUSE / 2), START));
    let now = START + PAUSE / 2;
    assert_eq!(
        admit(&mut pool, 7, 0, now),
        Err(Denial::Throttled(START + PAUSE))
    );
}

/// Guards against fallbacks that use a throttled server when all others fail or are out of
/// reach.
#[parameterized(
    out_of_reach = { Outcome::Unreachable },
    refused = { Outcome::Refused },
    ejected = { Outcome::Failed },
)]
fn a_throttled_server_is_no_last_resort(outcome: Outcome) {
    let mut pool = pool(&[entry("s0", "a"), entry("s1", "b"), entry("s2", "c")]);
    throttle(&mut pool, &server("s0"), START + PAUSE);
    let mut now = START;
    while now < START + PAUSE {
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

/// Guards against a pause that is forgotten when the entry of the server changes.
#[parameterized(
    rewritten = { 1 },
    restarted_under_its_name = { 2 },
)]
fn a_pause_outlasts_changes_of_the_entry(incarnation: u64) {
    let mut entries = vec![entry("s0", "a"), entry("s1", "a")];
    let mut pool = pool(&entries);
    throttle(&mut pool, &server("s0"), START + PAUSE);
    entries[0].incarnation = incarnation;
    entries[0].revision = 2;
    pool.set_servers(entries.iter().map(|entry| (entry, false)));
    for own in 0..20 {
        let placement = admit(&mut pool, own, own, START).expect("a server");
        assert_eq!(placement.server, server("s1"));
        pool.ended(&placement.server, Outcome::Completed, START);
    }
}

/// Guards against callers that wait for servers of which none can take their request in
/// time, and against callers that are told to come back within the pause.
#[test]
fn a_request_is_refused_at_once_while_all_servers_are_throttled() {
    let mut pool = pool(&twelve_servers());
    throttle_all(&mut pool);
    let mut queue = Queue::new(pool);
    let latest_start = START + PAUSE - Duration::from_millis(1);
    let Admission::Refused(refusal) = queue.submit(request(latest_start), &fleet(), START) else {
        panic!("the request was not refused");
    };
    assert_eq!(refusal.denial, Denial::Throttled(START + PAUSE));
    assert!(refusal.retry_at >= START + PAUSE);
}

/// Guards against a refusal that names the end of a long pause although an unreachable zone is
/// tried again sooner, or the other way round.
#[parameterized(
    long_pause = { Duration::from_secs(60), false },
    short_pause = { Duration::from_millis(1), true },
)]
fn a_refusal_names_what_ends_first(length: Duration, is_pause: bool) {
    let mut pool = pool(&[
        entry("s0", "a"),
        entry("s1", "b"),
        entry("s2", "b"),
        entry("s3", "b"),
    ]);
    throttle(&mut pool, &server("s0"), START + length);
    for _ in 0..3 {
        let placement = admit(&mut pool, 7, 0, START).expect("a server");
        pool.ended(&placement.server, Outcome::Unreachable, START);
    }
    let denial = admit(&mut pool, 7, 0, START).expect_err("no server can be tried");
    let is_expected = match denial {
        Denial::Throttled(end) => is_pause && end == START + length,
        Denial::ZonesUnreachable(probe) => !is_pause && probe < START + length,
        _ => false,
    };
    assert!(is_expected, "{denial:?}");
}

/// Guards against a refusal that asks the caller back within a pause of the only server,
/// which has just rejected the request.
#[test]
fn a_rejected_request_may_return_when_the_pause_of_the_only_server_ends() {
    let mut pool = pool(&[entry("s0", "a")]);
    throttle(&mut pool, &server("s0"), START + PAUSE);
    let mut queue = Queue::new(pool);
    let mut request = request(START + PAUSE * 2);
    request.demand.tried.push(server("s0"));
    let Admission::Refused(refusal) = queue.submit(request, &fleet(), START) else {
        panic!("the request was not refused");
    };
    assert!(refusal.retry_at >= START + PAUSE);
}

/// Guards against a request that waits for a full server although the pause of another ends.
#[test]
fn a_request_queued_for_a_full_server_is_placed_when_a_pause_ends() {
    let mut entries = vec![entry("s0", "a"), entry("s1", "a")];
    entries[0].slots = 1;
    let mut pool = pool(&entries);
    throttle(&mut pool, &server("s1"), START + PAUSE);
    run(&mut pool, 1, 0, START);
    let mut queue = Queue::new(pool);
    let submitted = queue.submit(request(START + PAUSE * 2), &fleet(), START);
    assert_eq!(submitted, Admission::Queued);
    assert_eq!(queue.next_wake(), Some(START + PAUSE));
}

/// Guards against a pause that is forgotten while the entry of the server is gone for a
/// moment, whether it was asked for before or meanwhile.
#[parameterized(
    before = { true },
    meanwhile = { false },
)]
fn a_pause_outlasts_an_entry_that_lapses(is_asked_before: bool) {
    let entries = [entry("s0", "a"), entry("s1", "a")];
    let mut pool = pool(&entries);
    if is_asked_before {
        throttle(&mut pool, &server("s0"), START + PAUSE);
    }
    pool.set_servers([(&entries[1], false)].into_iter());
    if !is_asked_before {
        throttle(&mut pool, &server("s0"), START + PAUSE);
    }
    pool.set_servers(entries.iter().map(|entry| (entry, false)));
    for own in 0..20 {
        let placement = admit(&mut pool, own, own, START).expect("a server");
        assert_eq!(placement.server, server("s1"));
        pool.ended(&placement.server, Outcome::Completed, START);
    }
}

/// Guards against a queue that sleeps on when a pause ends.
#[test]
fn a_queued_request_is_placed_when_a_pause_ends() {
    let mut pool = pool(&twelve_servers());
    throttle_all(&mut pool);
    let mut queue = Queue::new(pool);
    let submitted = queue.submit(request(START + PAUSE * 2), &fleet(), START);
    assert_eq!(submitted, Admission::Queued);
    assert_eq!(queue.next_wake(), Some(START + PAUSE));
    let dequeued = queue.dequeue(&fleet(), START + PAUSE);
    assert!(matches!(dequeued.as_slice(), [(Attempt(1), Ok(_))]));
}

/// Guards against prompts that are copied from a server which wants no work.
#[test]
fn a_prompt_is_not_copied_from_a_throttled_server() {
    let mut pool = pool(&twelve_servers());
    let first = run(&mut pool, 7, 0, START);
    throttle(&mut pool, &first.server, START + PAUSE);
    let placement = admit(&mut pool, 7, 1, START).expect("a server");
    assert_ne!(placement.source, Some(first.address));
}

/// Guards against a request that is placed before a server asks for a pause, connects
/// slowly and reaches it within the pause.
#[test]
fn a_request_that_is_connecting_is_withdrawn_when_the_pause_begins() {
    let (mut task, mut messages) = prefixes::task();
    let rejected = prefixes::acquire(&mut task);
    let connecting = prefixes::acquire(&mut task);
    assert_eq!(rejected.placement().server, connecting.placement().server);
    assert!(!connecting.is_withdrawn(START));
    rejected.record_advisory("a1", pause(Instant::NEVER));
    while let Ok(message) = messages.try_recv() {
        task.handle_message(message);
    }
    assert!(connecting.is_withdrawn(START));
}
