//! Adaptive connect timeouts.

use std::time::Duration;

use gateway::pool::{Outcome, connect::ConnectTimes};
use units::time::Instant;
use yare::parameterized;

use crate::world::{START, demand, entry, fleet, pool};

const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Connect times after `count` connections that took `time` each.
fn measured(time: Duration, count: usize) -> ConnectTimes {
    let mut times = ConnectTimes::default();
    for _ in 0..count {
        times.record(time);
    }
    times
}

/// A zone is partitioned. A caller that needs a response within 100 ms gets it from the
/// next server only if the hanging connection times out well before.
#[parameterized(same_zone = { 1 }, across_zones = { 4 }, distant_zones = { 13 })]
fn a_connect_timeout_leaves_time_for_another_attempt(latency_ms: u64) {
    assert!(measured(ms(latency_ms), 20).timeout() <= ms(60));
}

/// Nothing has been measured for the path yet. With a short timeout, connections over a
/// slow path would always fail, and its servers would be treated as unreachable.
#[test]
fn an_unmeasured_zone_gets_the_maximum_timeout() {
    assert_eq!(ConnectTimes::default().timeout(), ms(300));
}

/// The latency to a zone rises above the timeout that was derived before. If the
/// timeout stayed, every connection would fail, none would be measured, and the zone
/// would never be used again.
#[parameterized(doubled = { 120 }, much_higher = { 250 })]
fn the_timeout_adapts_to_higher_latency(latency_ms: u64) {
    let mut times = measured(ms(3), 20);
    let mut now = START;
    for _ in 0..4 {
        if times.timeout() >= ms(latency_ms) {
            break;
        }
        let begun_at = now;
        now = now + times.timeout();
        times.record_timeout(begun_at, now);
    }
    assert!(times.timeout() >= ms(latency_ms), "{:?}", times.timeout());
    for _ in 0..20 {
        times.record(ms(latency_ms));
    }
    assert!(times.timeout() >= ms(latency_ms), "{:?}", times.timeout());
}

/// Ten concurrent connections hang at a partitioned zone. If each raised the timeout,
/// later attempts would be slow again.
#[test]
fn concurrent_timeouts_count_once() {
    let mut times = measured(ms(3), 20);
    for index in 0..10 {
        let begun_at = START + ms(index);
        times.record_timeout(begun_at, begun_at + ms(50));
    }
    assert!(times.timeout() <= ms(120), "{:?}", times.timeout());
}

/// A router is throttled by its CPU quota for a tenth of a second now and then, and its
/// connections take that much longer. Timing out, they would make healthy servers look
/// unreachable.
#[test]
fn jitter_raises_the_timeout() {
    let mut times = measured(ms(3), 20);
    for _ in 0..10 {
        times.record(ms(100));
        times.record(ms(3));
    }
    assert!(times.timeout() >= ms(110), "{:?}", times.timeout());
}

/// Zones differ in latency. The timeout for the nearest one must not apply to the
/// farthest.
#[test]
fn each_zone_has_its_own_timeout() {
    let mut pool = pool(&[entry("near", "a"), entry("far", "b")]);
    let timeout = |pool: &mut gateway::pool::Pool| {
        let placement = pool
            .admit(&demand(1, 1), &fleet(), START)
            .expect("a placement");
        pool.ended(&placement.server, Outcome::Completed, START);
        (
            placement.server.clone(),
            placement.connect_deadline.since(START),
        )
    };
    let (server, unmeasured) = timeout(&mut pool);
    assert_eq!(unmeasured, ms(300));
    let other = ["near", "far"].map(crate::world::server);
    let other = other.into_iter().find(|name| *name != server);
    for _ in 0..20 {
        pool.record_connect_time(&other.clone().expect("the other server"), ms(3));
    }
    assert_eq!(timeout(&mut pool), (server.clone(), ms(300)));
    for _ in 0..20 {
        pool.record_connect_time(&server, ms(3));
    }
    assert_eq!(timeout(&mut pool), (server, ms(50)));
}

/// After a series of timeouts, the first successful connection resets the timeout.
#[test]
fn a_successful_connection_resets_the_backoff() {
    let mut times = measured(ms(3), 20);
    times.record_timeout(Instant::ZERO, START);
    let backed_off = times.timeout();
    times.record(ms(3));
    assert!(times.timeout() < backed_off);
}
