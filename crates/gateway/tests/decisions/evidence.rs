//! Servers that fail by what all routers saw.

use std::time::Duration;

use gateway::{
    evidence::{Ends, Tally},
    pool::{Outcome, Pool, Standing},
};
use units::time::Instant;
use yare::parameterized;

use crate::world::{START, demand, entry, fleet, pool, server};

fn dozen() -> Pool {
    let entries: Vec<_> = (0..12)
        .map(|index| entry(&format!("s{index}"), "a"))
        .collect();
    pool(&entries)
}

/// So many whole requests, in the unit in which routers tell of them.
fn ends(failed: u16, completed: u16) -> Ends {
    Ends {
        failed: failed * 16,
        completed: completed * 16,
    }
}

fn judged(pool: &mut Pool, ends_of: impl Fn(usize) -> Ends) -> Vec<String> {
    pool.set_ends_elsewhere(|name| {
        let index = (0..12).find(|index| *name == server(&format!("s{index}")));
        ends_of(index.expect("a server"))
    });
    let failing = pool.judge(START);
    failing
        .iter()
        .map(|(name, _)| String::from(name.as_str()))
        .collect()
}

/// A server says that it is well and fails every request. Eighty routers send
/// it one request each in some seconds, and each takes the failure for a single
/// one: for as long as it fails, a twelfth of all callers get nothing.
#[test]
fn a_server_that_fails_for_others_is_left_alone() {
    let mut pool = dozen();
    let sound = ends(0, 10);
    let failing = judged(
        &mut pool,
        |index| if index == 5 { ends(8, 0) } else { sound },
    );
    assert_eq!(failing, ["s5"]);
    assert_eq!(pool.standing(&server("s5"), START), Standing::Ejected);
    for own in 0..40 {
        let place = pool.admit(&demand(own, own), &fleet(), START);
        assert_ne!(place.expect("a place").server, server("s5"));
    }
}

/// A server crashes. Each router finds out by itself that its host refuses
/// connections, so that for seconds nearly each request in a fleet of hundreds
/// meets servers that are gone.
#[test]
fn a_server_whose_host_refuses_connections_is_left_alone_by_all() {
    let refused = |_| {
        let mut pool = dozen();
        pool.ended(&server("s5"), Outcome::Refused, START);
        pool.server_mut(&server("s5"))
            .expect("the server")
            .ends(START)
    };
    let told = (0..5)
        .map(refused)
        .fold(Ends::default(), |sum, ends| sum + ends);
    let mut pool = dozen();
    let failing = judged(
        &mut pool,
        |index| if index == 5 { told } else { ends(0, 3) },
    );
    assert_eq!(failing, ["s5"]);
}

/// A zone is cut off. Counted as failures, connections that hang would keep its
/// servers out for seconds after the way is back.
#[test]
fn a_server_that_cannot_be_reached_is_no_failure() {
    let mut pool = dozen();
    pool.ended(&server("s5"), Outcome::Unreachable, START);
    let server = pool.server_mut(&server("s5")).expect("the server");
    assert!(server.ends(START).is_empty());
}

/// What is too little to say anything of a server, or is no fault of its own.
/// Left alone for it, it would leave its work to others that are no better.
#[parameterized(
    a_single_failure = { ends(1, 0), ends(0, 10) },
    two_failures = { ends(2, 1), ends(0, 10) },
    what_fails_now_and_then = { ends(3, 20), ends(1, 20) },
    all_fail_alike = { ends(8, 4), ends(8, 4) },
)]
fn a_server_is_not_left_alone(one: Ends, others: Ends) {
    let mut pool = dozen();
    let failing = judged(&mut pool, |index| if index == 5 { one } else { others });
    assert_eq!(failing, Vec::<String>::new());
}

/// The own failures and those that others told of count together.
#[test]
fn own_failures_count_too() {
    let mut pool = dozen();
    let place = pool.admit(&demand(1, 1), &fleet(), START).expect("a place");
    pool.ended(&place.server, Outcome::Failed, START);
    let failing = judged(&mut pool, |index| {
        let is_it = place.server == server(&format!("s{index}"));
        if is_it { ends(3, 0) } else { ends(0, 10) }
    });
    assert_eq!(failing, [place.server.as_str()]);
}

/// A server failed for a moment, and everyone goes on to tell of it. If old
/// failures counted like new ones, it would be left alone for minutes.
#[test]
fn failures_are_forgotten() {
    let mut tally = Tally::default();
    for _ in 0..8 {
        tally.note(true, START);
    }
    let failed = |after: Duration| tally.ends(START + after).failed;
    assert_eq!(failed(Duration::ZERO), 8 * 16);
    assert_eq!(failed(Duration::from_secs(2)), 4 * 16);
    assert_eq!(failed(Duration::from_secs(40)), 0);
    assert_eq!(Tally::default().ends(Instant::ZERO), Ends::default());
}
