//! Requests that crash servers.

use std::time::Duration;

use gateway::deaths::Deaths;
use units::{request::Fingerprint, time::Instant};

use crate::world::{START, server};

const GUILTY: Fingerprint = Fingerprint(7);
const INNOCENT: Fingerprint = Fingerprint(8);

/// One request crashes a server each second, from `START` on.
fn crash(deaths: &mut Deaths, fingerprint: Fingerprint, count: u64) -> Instant {
    let mut now = START;
    for index in 0..count {
        let name = server(&format!("s{index}"));
        let began_at = now;
        now = now + Duration::from_millis(500);
        deaths.broke(fingerprint, &name, 1, began_at, now);
        deaths.died(&name, 1, now);
        now = now + Duration::from_millis(500);
    }
    now
}

/// A request crashes each server that runs it, and its caller sends it again and
/// again. Without a count it takes down one server after the other, and with
/// each all callers that it had.
#[test]
fn a_request_that_crashed_three_servers_is_refused() {
    let mut deaths = Deaths::default();
    let now = crash(&mut deaths, GUILTY, 2);
    assert!(!deaths.is_refused(GUILTY, now));
    let now = crash(&mut deaths, GUILTY, 3);
    assert!(deaths.is_refused(GUILTY, now));
    assert!(!deaths.is_refused(INNOCENT, now));
}

/// Connections are reset while their servers live.
#[test]
fn a_reset_connection_is_no_death() {
    let mut deaths = Deaths::default();
    for index in 0..10 {
        let now = START + Duration::from_secs(index);
        deaths.broke(INNOCENT, &server("s0"), 1, now, now);
        assert!(!deaths.is_refused(INNOCENT, now));
    }
}

/// A server dies long after a connection to it broke.
#[test]
fn an_old_break_counts_no_more() {
    let mut deaths = Deaths::default();
    deaths.broke(INNOCENT, &server("s0"), 1, START, START);
    assert_eq!(
        deaths.died(&server("s0"), 1, START + Duration::from_secs(7)),
        0
    );
}

/// The innocent one ran beside it once, and runs to its end elsewhere.
#[test]
fn a_request_that_completes_is_cleared() {
    let mut deaths = Deaths::default();
    crash(&mut deaths, INNOCENT, 2);
    deaths.completed(INNOCENT);
    let now = crash(&mut deaths, INNOCENT, 2);
    assert!(!deaths.is_refused(INNOCENT, now));
}

/// The caller sends it to another router each time, so that no router sees more
/// than one death.
#[test]
fn routers_count_together() {
    let mut all = [Deaths::default(), Deaths::default(), Deaths::default()];
    let mut now = START;
    for index in 0..3 {
        let name = server(&format!("s{index}"));
        all[index].broke(GUILTY, &name, 1, now, now + Duration::from_millis(100));
        now = now + Duration::from_millis(200);
        all[index].died(&name, 1, now);
        let told = all[index].tell(now);
        assert_eq!(told.len(), index + 1, "earlier ones are passed on");
        for deaths in &mut all {
            deaths.learn(&told, now);
        }
        now = now + Duration::from_millis(200);
    }
    assert!(all.iter().all(|deaths| deaths.is_refused(GUILTY, now)));
}
