//! How long connections to servers may take.

use std::time::Duration;

use gateway::pool::{Outcome, connect::Times};
use units::time::Instant;
use yare::parameterized;

use crate::world::{START, demand, entry, fleet, pool};

const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Times of connections that took `time` each.
fn measured(time: Duration, count: usize) -> Times {
    let mut times = Times::default();
    for _ in 0..count {
        times.took(time);
    }
    times
}

/// A zone is cut off in silence. A caller who wants an answer within 100 ms gets
/// it from the next server only if the connection that hangs is given up well
/// before.
#[parameterized(near = { 1 }, across_zones = { 4 }, far_zones = { 13 })]
fn a_connection_that_hangs_leaves_time_for_another(usual_ms: u64) {
    assert!(measured(ms(usual_ms), 20).limit() <= ms(60));
}

/// Nothing is known of a way yet. Given up too early, connections over a long one
/// would never come about, and its servers count as dead.
#[test]
fn the_first_connection_gets_the_longest_time() {
    assert_eq!(Times::default().limit(), ms(300));
}

/// The way to a zone becomes longer than the limit that fitted it before. Every
/// connection would be given up, none would be measured, and the zone stays
/// unused for good.
#[parameterized(doubled = { 120 }, much_longer = { 250 })]
fn a_way_that_becomes_longer_is_found_again(now_ms: u64) {
    let mut times = measured(ms(3), 20);
    let mut now = START;
    for _ in 0..4 {
        if times.limit() >= ms(now_ms) {
            break;
        }
        let begun_at = now;
        now = now + times.limit();
        times.timed_out(begun_at, now);
    }
    assert!(times.limit() >= ms(now_ms), "{:?}", times.limit());
    for _ in 0..20 {
        times.took(ms(now_ms));
    }
    assert!(times.limit() >= ms(now_ms), "{:?}", times.limit());
}

/// Ten requests hang side by side at a zone that was cut off. Taken for ten
/// reasons to wait longer, they would make each later try late again.
#[test]
fn connections_that_hang_side_by_side_count_once() {
    let mut times = measured(ms(3), 20);
    for index in 0..10 {
        let begun_at = START + ms(index);
        times.timed_out(begun_at, begun_at + ms(50));
    }
    assert!(times.limit() <= ms(120), "{:?}", times.limit());
}

/// A router runs out of its share of the processor for a tenth of a second now
/// and then, and its connections take that much longer. Given up, they would make
/// sound servers count as out of reach.
#[test]
fn connections_that_vary_get_more_time() {
    let mut times = measured(ms(3), 20);
    for _ in 0..10 {
        times.took(ms(100));
        times.took(ms(3));
    }
    assert!(times.limit() >= ms(110), "{:?}", times.limit());
}

/// Zones lie at different distances. The limit of the nearest must not hold for
/// the farthest.
#[test]
fn each_zone_has_its_own_limit() {
    let mut pool = pool(&[entry("near", "a"), entry("far", "b")]);
    let limit = |pool: &mut gateway::pool::Pool| {
        let place = pool.admit(&demand(1, 1), &fleet(), START).expect("a place");
        pool.ended(&place.server, Outcome::Completed, START);
        (place.server.clone(), place.connect_by.since(START))
    };
    let (server, unmeasured) = limit(&mut pool);
    assert_eq!(unmeasured, ms(300));
    let other = ["near", "far"].map(crate::world::server);
    let other = other.into_iter().find(|name| *name != server);
    for _ in 0..20 {
        pool.connected(&other.clone().expect("the other"), ms(3));
    }
    assert_eq!(limit(&mut pool), (server.clone(), ms(300)));
    for _ in 0..20 {
        pool.connected(&server, ms(3));
    }
    assert_eq!(limit(&mut pool), (server, ms(50)));
}

/// After a while in which connections were given up the first one that comes
/// about counts as before.
#[test]
fn one_connection_ends_the_longer_limits() {
    let mut times = measured(ms(3), 20);
    times.timed_out(Instant::ZERO, START);
    let longer = times.limit();
    times.took(ms(3));
    assert!(times.limit() < longer);
}
