//! Shares in the slow-start limit of a cold server.

use std::time::Duration;

use gateway::slow_start::{self, Pacer, RateLimit};
use units::time::Instant;
use yare::parameterized;

use crate::world::{START, host, members, server};

const LIMIT: RateLimit = RateLimit {
    rate: 11.0,
    max_per_s: 21.5,
};

/// All routers send to a cold server as often as their shares permit, with different
/// offsets. A server that receives more than its limit crashes and breaks all requests
/// in flight.
#[parameterized(
    one = { 1, 1 },
    six = { 6, 6 },
    three_not_yet_registered = { 6, 9 },
    eighty_five = { 85, 85 },
    a_thousand = { 1000, 1000 },
)]
fn shares_of_all_routers_stay_within_the_limit(registered: usize, running: usize) {
    let all = members(running);
    for target in ["s0", "s1", "s2"] {
        let mut sent: Vec<Instant> = Vec::new();
        for (index, own) in all.iter().enumerate() {
            // A router that is not known to the others still counts itself.
            let mut known_members: Vec<_> = all[..registered].to_vec();
            if index >= registered {
                known_members.push(own.clone());
            }
            let Some(share) = slow_start::share(LIMIT, own, &known_members, &server(target)) else {
                continue;
            };
            let mut pacer = Pacer::default();
            let offset = Duration::from_micros(u64::try_from(index * 7919 % 100_000).unwrap());
            let mut now = START + offset;
            while now < START + Duration::from_secs(5) {
                if pacer.is_ready(now) {
                    pacer.record(share, now);
                    sent.push(now);
                }
                now = now + Duration::from_millis(1);
            }
        }
        sent.sort_unstable();
        let window = |from: &Instant| {
            let until = *from + Duration::from_secs(1);
            sent.iter()
                .filter(|&at| *at >= *from && *at < until)
                .count()
        };
        let busiest = sent.iter().map(window).max().unwrap_or(0);
        assert!(
            busiest as f64 <= LIMIT.max_per_s,
            "{target}: {busiest} requests in one second"
        );
        assert!(
            busiest >= 5,
            "{target}: only {busiest} requests in one second"
        );
    }
}

/// A router that the others do not know would exceed the planned rate.
#[test]
fn an_unregistered_router_has_no_share() {
    let share = slow_start::share(LIMIT, &host("new"), &members(6), &server("s0"));
    assert_eq!(share, None);
}

/// Some services can handle almost no requests while they are cold.
#[test]
fn a_limit_below_one_leaves_a_single_share() {
    let limit = RateLimit {
        rate: 0.5,
        max_per_s: 0.9,
    };
    let all = members(6);
    let shares = all
        .iter()
        .filter_map(|own| slow_start::share(limit, own, &all, &server("s0")));
    assert_eq!(shares.count(), 1);
}
