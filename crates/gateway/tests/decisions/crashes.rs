//! Detection of requests that crash servers.

use std::time::Duration;

use gateway::crashes::{Request, Sign, Tracker};
use units::{
    request::{Fingerprint, Part},
    time::Instant,
};

use crate::world::{START, server};

const CRASHING: Fingerprint = Fingerprint(7);
const HARMLESS: Fingerprint = Fingerprint(8);

/// Crashes `count` servers with the request, one per second from `START` on.
fn crash(tracker: &mut Tracker, fingerprint: Fingerprint, count: u64) -> Instant {
    let mut now = START;
    for index in 0..count {
        let name = server(&format!("s{index}"));
        let began_at = now;
        now = now + Duration::from_millis(500);
        tracker.record_sign(Sign::Broken, fingerprint, &name, 1, began_at, now);
        tracker.record_death(&name, 1, now);
        now = now + Duration::from_millis(500);
    }
    now
}

/// A request crashes every server that runs it, and its caller retries it repeatedly.
/// Without a strike count it would take down one server after the other and break all
/// requests in flight there.
#[test]
fn a_request_that_crashed_three_servers_is_refused() {
    let mut tracker = Tracker::default();
    let now = crash(&mut tracker, CRASHING, 2);
    assert!(!tracker.is_refused(CRASHING, now));
    let now = crash(&mut tracker, CRASHING, 3);
    assert!(tracker.is_refused(CRASHING, now));
    assert!(!tracker.is_refused(HARMLESS, now));
}

/// Connections may be reset although the server keeps running.
#[test]
fn a_reset_connection_is_not_a_crash() {
    let mut tracker = Tracker::default();
    for index in 0..10 {
        let now = START + Duration::from_secs(index);
        tracker.record_sign(Sign::Broken, HARMLESS, &server("s0"), 1, now, now);
        assert!(!tracker.is_refused(HARMLESS, now));
    }
}

/// The server crashes long after the connection broke.
#[test]
fn an_old_connection_failure_does_not_count() {
    let mut tracker = Tracker::default();
    tracker.record_sign(Sign::Broken, HARMLESS, &server("s0"), 1, START, START);
    assert_eq!(
        tracker.record_death(&server("s0"), 1, START + Duration::from_secs(7)),
        Vec::new()
    );
}

/// A harmless request was in flight during crashes and then completes elsewhere.
#[test]
fn a_request_that_completes_is_cleared() {
    let mut tracker = Tracker::default();
    let now = crash(&mut tracker, HARMLESS, 2);
    tracker.record_completed(HARMLESS, now);
    let now = crash(&mut tracker, HARMLESS, 2);
    assert!(!tracker.is_refused(HARMLESS, now));
}

/// The caller sends the request to a different router each time, so no router sees more
/// than one crash.
#[test]
fn strikes_of_all_routers_add_up() {
    let mut trackers = [Tracker::default(), Tracker::default(), Tracker::default()];
    let mut now = START;
    for index in 0..3 {
        let name = server(&format!("s{index}"));
        trackers[index].record_sign(
            Sign::Broken,
            CRASHING,
            &name,
            1,
            now,
            now + Duration::from_millis(100),
        );
        now = now + Duration::from_millis(200);
        trackers[index].record_death(&name, 1, now);
        let strikes = trackers[index].reports(now);
        assert_eq!(strikes.len(), index + 1, "earlier strikes are forwarded");
        for tracker in &mut trackers {
            tracker.merge(&strikes, now);
        }
        now = now + Duration::from_millis(200);
    }
    assert!(
        trackers
            .iter()
            .all(|tracker| tracker.is_refused(CRASHING, now))
    );
}

/// Guards against a router that has started since the first crashes, and goes on to send a request
/// that all others refuse.
#[test]
fn a_router_that_starts_is_told_of_the_first_strikes() {
    let mut known = Tracker::default();
    crash(&mut known, CRASHING, 2);
    let mut started = Tracker::default();
    let now = START + Duration::from_secs(20);
    let name = server("s2");
    let reported_at = now + Duration::from_millis(100);
    started.record_sign(Sign::Broken, CRASHING, &name, 1, now, reported_at);
    started.record_death(&name, 1, reported_at);
    known.merge(&started.reports(reported_at), reported_at);
    assert!(known.is_refused(CRASHING, reported_at));
    started.merge(&known.reports(reported_at), reported_at);
    assert!(started.is_refused(CRASHING, reported_at));
}

/// Guards against a harmless request that one router has cleared and the others refuse.
#[test]
fn a_completion_clears_a_request_on_all_routers() {
    let mut trackers = [Tracker::default(), Tracker::default()];
    let now = crash(&mut trackers[0], HARMLESS, 3);
    let reports = trackers[0].reports(now);
    trackers[1].merge(&reports, now);
    assert!(trackers[1].is_refused(HARMLESS, now));
    trackers[0].record_completed(HARMLESS, now);
    let reports = trackers[0].reports(now);
    trackers[1].merge(&reports, now);
    assert!(!trackers[1].is_refused(HARMLESS, now));
}

/// Guards against strikes that are not sent because many requests get one in a power cut.
#[test]
fn strikes_against_many_requests_do_not_crowd_out_a_crashing_one() {
    let mut tracker = Tracker::default();
    let now = crash(&mut tracker, CRASHING, 2);
    let dark = server("dark");
    for request in 0..200 {
        let fingerprint = Fingerprint(1000 + request);
        tracker.record_sign(
            Sign::Broken,
            fingerprint,
            &dark,
            1,
            now,
            now + Duration::from_millis(1),
        );
    }
    let now = now + Duration::from_millis(2);
    tracker.record_death(&dark, 1, now);
    let reports = tracker.reports(now);
    let mut other = Tracker::default();
    other.merge(&reports, now);
    other.record_sign(
        Sign::Broken,
        CRASHING,
        &server("last"),
        1,
        now,
        now + Duration::from_millis(1),
    );
    let now = now + Duration::from_millis(2);
    other.record_death(&server("last"), 1, now);
    assert!(other.is_refused(CRASHING, now), "{reports:?}");
}

/// Guards against a server that seems to crash because its callers do not wait for it.
#[test]
fn a_slow_server_that_accepts_connections_has_not_crashed() {
    let mut tracker = Tracker::default();
    for index in 0..5 {
        let now = START + Duration::from_secs(index);
        let name = server(&format!("s{index}"));
        tracker.record_sign(
            Sign::Silent,
            HARMLESS,
            &name,
            1,
            now,
            now + Duration::from_millis(600),
        );
        tracker.record_alive(&name, 1);
        let now = now + Duration::from_millis(900);
        assert_eq!(tracker.record_death(&name, 1, now), Vec::new());
    }
}

/// Guards against a request under which hosts lose power, and whose callers leave.
#[test]
fn a_request_that_silenced_three_servers_is_refused() {
    let mut tracker = Tracker::default();
    let mut now = START;
    for index in 0..3 {
        let name = server(&format!("s{index}"));
        let began_at = now;
        now = now + Duration::from_secs(2);
        tracker.record_sign(Sign::Silent, CRASHING, &name, 1, began_at, now);
        now = now + Duration::from_millis(1200);
        tracker.record_death(&name, 1, now);
    }
    assert!(tracker.is_refused(CRASHING, now));
}

/// Guards against a repeated request that is refused no longer once its crashes are explained by
/// its parts.
#[test]
fn a_repeated_request_with_parts_stays_refused() {
    let request = Request {
        fingerprint: CRASHING,
        parts: [Part(1), Part(2)].into_iter().collect(),
    };
    let mut tracker = Tracker::default();
    let mut now = START;
    for index in 0..3 {
        let name = server(&format!("s{index}"));
        let broken_at = now + Duration::from_millis(100);
        tracker.record_sign(Sign::Broken, request.clone(), &name, 1, now, broken_at);
        tracker.record_death(&name, 1, broken_at);
        now = now + Duration::from_secs(1);
    }
    tracker.decide(now);
    assert!(tracker.is_refused(CRASHING, now));
    assert!(tracker.refused_parts(&request).is_some());
    let other = Request {
        fingerprint: HARMLESS,
        ..request
    };
    assert_eq!(tracker.refused_parts(&other), None);
}
