//! Detection of lost paths to servers.

use std::time::Duration;

use gateway::reach::Tracker;

use crate::world::{START, server};

const SERVERS: usize = 3;

/// Guards against one crashed server that counts as the loss of all paths.
#[test]
fn one_failing_server_is_no_lost_path() {
    let mut tracker = Tracker::default();
    for _ in 0..10 {
        assert!(!tracker.record_failure(&server("s1"), SERVERS, START, START));
    }
    assert!(!tracker.is_lost());
}

/// Guards against failures of minutes that add up beside connections that are established.
#[test]
fn failures_before_a_connection_do_not_count() {
    let mut tracker = Tracker::default();
    let later = START + Duration::from_millis(10);
    tracker.record_failure(&server("s1"), SERVERS, START, START);
    tracker.record_reached(later);
    // This attempt began before the connection was established.
    assert!(!tracker.record_failure(&server("s2"), SERVERS, START, later));
    assert!(!tracker.record_failure(&server("s2"), SERVERS, later, later));
    assert!(tracker.record_failure(&server("s3"), SERVERS, later, later));
    assert_eq!(tracker.record_reached(later), Some(later));
    assert!(!tracker.is_lost());
}

/// Guards against a service of one server whose path is never lost.
#[test]
fn a_service_of_one_server_needs_one_failure() {
    let mut tracker = Tracker::default();
    assert!(tracker.record_failure(&server("s1"), 1, START, START));
}

/// Guards against probes of hundreds of routers that add up at servers that have ended.
#[test]
fn probes_of_a_large_fleet_are_bounded() {
    for routers in [2, 6, 85, 300, 1000] {
        let mut tracker = Tracker::default();
        tracker.record_failure(&server("s1"), 1, START, START);
        let millis = 0..60_000;
        let rounds = millis.filter(|ms| {
            let now = START + Duration::from_millis(*ms);
            tracker.start_probes(routers, now).is_some()
        });
        let per_second = rounds.count() * routers / 60;
        assert!(per_second <= 150, "{routers} routers: {per_second}");
    }
}
