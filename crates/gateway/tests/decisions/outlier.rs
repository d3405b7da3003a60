//! Outlier detection across routers.

use std::time::Duration;

use gateway::{
    outlier::{OutcomeCounts, OutcomeTracker},
    pool::{Outcome, Pool, Standing},
};
use units::time::Instant;
use yare::parameterized;

use crate::world::{START, demand, entry, fleet, pool, server};

fn twelve_servers() -> Pool {
    let entries: Vec<_> = (0..12)
        .map(|index| entry(&format!("s{index}"), "a"))
        .collect();
    pool(&entries)
}

/// Counts of whole requests, in the units exchanged between routers.
fn outcomes(failed: u16, completed: u16) -> OutcomeCounts {
    OutcomeCounts {
        failed: failed * 16,
        completed: completed * 16,
    }
}

fn detected_outliers(pool: &mut Pool, outcomes_of: impl Fn(usize) -> OutcomeCounts) -> Vec<String> {
    pool.set_peer_outcomes(|name| {
        let index = (0..12).find(|index| *name == server(&format!("s{index}")));
        outcomes_of(index.expect("a server"))
    });
    let failing = pool.detect_outliers(START);
    failing
        .iter()
        .map(|(name, _)| String::from(name.as_str()))
        .collect()
}

/// A server passes its health checks and fails every request. Each of eighty routers
/// sends it one request in several seconds and sees an isolated failure. Without shared
/// counts, a twelfth of all callers would get no response as long as the fault lasts.
#[test]
fn a_server_that_fails_for_peers_is_ejected() {
    let mut pool = twelve_servers();
    let healthy = outcomes(0, 10);
    let failing = detected_outliers(
        &mut pool,
        |index| if index == 5 { outcomes(8, 0) } else { healthy },
    );
    assert_eq!(failing, ["s5"]);
    assert_eq!(pool.standing(&server("s5"), START), Standing::Ejected);
    for own in 0..40 {
        let placement = pool.admit(&demand(own, own), &fleet(), START);
        assert_ne!(placement.expect("a placement").server, server("s5"));
    }
}

/// A server crashes. If each router had to find out for itself that the host refuses
/// connections, nearly every request in a fleet of hundreds of routers would be sent to
/// crashed servers for seconds.
#[test]
fn refused_connections_count_as_failures() {
    let refused = |_| {
        let mut pool = twelve_servers();
        pool.ended(&server("s5"), Outcome::Refused, START);
        pool.server_mut(&server("s5"))
            .expect("the server")
            .outcomes(START)
    };
    let reported = (0..5)
        .map(refused)
        .fold(OutcomeCounts::default(), |sum, outcomes| sum + outcomes);
    let mut pool = twelve_servers();
    let failing = detected_outliers(&mut pool, |index| {
        if index == 5 { reported } else { outcomes(0, 3) }
    });
    assert_eq!(failing, ["s5"]);
}

/// During a network partition, connections hang. Counted as failures, they would keep
/// the servers ejected for seconds after the partition ends.
#[test]
fn connection_timeouts_do_not_count_as_failures() {
    let mut pool = twelve_servers();
    pool.ended(&server("s5"), Outcome::Unreachable, START);
    let server = pool.server_mut(&server("s5")).expect("the server");
    assert!(server.outcomes(START).is_empty());
}

/// These failures are too few to be significant, or they affect all servers. Ejecting
/// the server would shift its load to others that are no better.
#[parameterized(
    single_failure = { outcomes(1, 0), outcomes(0, 10) },
    two_failures = { outcomes(2, 1), outcomes(0, 10) },
    occasional_failures = { outcomes(3, 20), outcomes(1, 20) },
    all_servers_fail_equally = { outcomes(8, 4), outcomes(8, 4) },
)]
fn a_server_is_not_ejected(one: OutcomeCounts, others: OutcomeCounts) {
    let mut pool = twelve_servers();
    let failing = detected_outliers(&mut pool, |index| if index == 5 { one } else { others });
    assert_eq!(failing, Vec::<String>::new());
}

/// A router's own failures and those reported by peers are added.
#[test]
fn own_and_peer_failures_add_up() {
    let mut pool = twelve_servers();
    let placement = pool
        .admit(&demand(1, 1), &fleet(), START)
        .expect("a placement");
    pool.ended(&placement.server, Outcome::Failed, START);
    let failing = detected_outliers(&mut pool, |index| {
        let is_failing = placement.server == server(&format!("s{index}"));
        if is_failing {
            outcomes(3, 0)
        } else {
            outcomes(0, 10)
        }
    });
    assert_eq!(failing, [placement.server.as_str()]);
}

/// A server failed briefly, and routers continue to report it. Without decay, old
/// failures would keep it ejected for minutes.
#[test]
fn failure_counts_decay() {
    let mut tracker = OutcomeTracker::default();
    for _ in 0..8 {
        tracker.record(true, START);
    }
    let failed = |after: Duration| tracker.counts(START + after).failed;
    assert_eq!(failed(Duration::ZERO), 8 * 16);
    assert_eq!(failed(Duration::from_secs(2)), 4 * 16);
    assert_eq!(failed(Duration::from_secs(40)), 0);
    assert_eq!(
        OutcomeTracker::default().counts(Instant::ZERO),
        OutcomeCounts::default()
    );
}
