//! What is believed of a server's load, and for how long.

use std::time::Duration;

use load_report::{Belief, Report, Slowdown, TTL};
use units::time::Instant;
use yare::parameterized;

const START: Instant = Instant::from_millis(10_000);

fn slowdown(percent: u16) -> Slowdown {
    Slowdown::from_percent(percent).expect("valid")
}

fn report(running: u32, percent: u16) -> Report {
    Report {
        running,
        waiting: 1,
        slots: 6,
        slowdown: Some(slowdown(percent)),
    }
}

fn after(millis: u64) -> Instant {
    START + Duration::from_millis(millis)
}

/// Guards against a report that arrives late and replaces a newer one.
#[test]
fn an_older_report_does_not_replace_a_newer_one() {
    let mut belief = Belief::new(1, Instant::ZERO);
    assert!(belief.record(1, report(3, 250), after(100)));
    assert!(!belief.record(1, report(0, 100), after(99)));
    assert!(!belief.record_shared(slowdown(100), after(50)));
    assert_eq!(belief.slowdown(after(100)), slowdown(250));
    assert_eq!(belief.requests(after(100)), 4);
    assert!(belief.record_shared(slowdown(100), after(101)));
    assert_eq!(belief.slowdown(after(101)), Slowdown::NONE);
}

/// Guards against a server that is avoided forever because it gets no requests that would show
/// that it is fast again.
#[test]
fn a_report_expires() {
    let mut belief = Belief::new(1, Instant::ZERO);
    belief.record(1, report(3, 250), START);
    let last = START + TTL - Duration::from_micros(1);
    assert_eq!(belief.slowdown(last), slowdown(250));
    assert_eq!(belief.slowdown(START + TTL), Slowdown::NONE);
    assert_eq!(belief.requests(START + TTL), 0);
    assert_eq!(belief.speed_at(START + TTL), None);
    assert_eq!(belief.requests_at(START + TTL), None);
}

/// Guards against the load of a former process that is believed of the present one.
#[test]
fn a_report_from_before_a_restart_is_ignored() {
    let mut belief = Belief::new(2, START);
    assert!(!belief.record(1, report(3, 250), after(10)));
    assert!(!belief.record_shared(slowdown(250), START - Duration::from_millis(1)));
    assert_eq!(belief.slowdown(after(10)), Slowdown::NONE);
    assert!(belief.record(2, report(3, 250), after(10)));
}

/// Guards against a missing fourth figure that hides what another router has heard.
#[test]
fn a_report_without_a_speed_keeps_the_known_one() {
    let mut belief = Belief::new(1, Instant::ZERO);
    belief.record_shared(slowdown(250), START);
    let without = Report {
        slowdown: None,
        ..report(3, 100)
    };
    assert!(belief.record(1, without, after(100)));
    assert_eq!(belief.slowdown(after(100)), slowdown(250));
}

/// Guards against a server that attracts all requests by a false figure.
#[test]
fn a_fast_server_attracts_at_most_twice_its_share() {
    let mut belief = Belief::new(1, Instant::ZERO);
    belief.record(1, report(0, 10), START);
    assert_eq!(belief.slowdown(START), slowdown(50));
}

/// Guards against a server that gets nothing because it falsely reports to be slow.
#[test]
fn measured_times_overrule_a_reported_slowdown() {
    let mut belief = Belief::new(1, Instant::ZERO);
    belief.record(1, report(0, 10_000), START);
    let (measured, expected) = (Duration::from_millis(30), Duration::from_secs(3));
    assert!(!belief.record_time(measured, expected, after(10)));
    assert!(!belief.record_time(measured, expected, after(20)));
    assert!(belief.record_time(measured, expected, after(30)));
    belief.record(1, report(0, 10_000), after(40));
    assert_eq!(belief.slowdown(after(40)), Slowdown::NONE);
    let later = after(30) + Duration::from_secs(5);
    belief.record(1, report(0, 10_000), later);
    assert_eq!(belief.slowdown(later), slowdown(10_000));
}

/// Guards against single short times, as of requests that were placed before the speed changed.
#[test]
fn single_short_times_do_not_overrule_a_slowdown() {
    let mut belief = Belief::new(1, Instant::ZERO);
    belief.record(1, report(0, 500), START);
    let expected = Duration::from_millis(300);
    for index in 0..20 {
        let measured = if index % 3 == 0 { 150 } else { 30 };
        let measured = Duration::from_millis(measured);
        assert!(!belief.record_time(measured, expected, after(index)));
    }
    assert_eq!(belief.slowdown(after(20)), slowdown(500));
}

/// Guards against a slow engine that keeps its full share, and against one that gets nothing and
/// so never shows that it is fast again.
#[parameterized(
    usual = { 100, 32, 32 },
    five_times = { 500, 32, 6 },
    much_slower = { 10_000, 32, 1 },
    faster = { 50, 32, 32 },
    no_slots = { 500, 0, 0 },
)]
fn a_slow_server_has_fewer_effective_slots(percent: u16, slots: u32, expected: u32) {
    assert_eq!(slowdown(percent).effective_slots(slots), expected);
}

/// Guards against figures that no server can have.
#[parameterized(
    idle = { 0, 0, 6, true },
    queued = { 6, 18, 6, true },
    no_slots = { 0, 0, 0, false },
    a_million_running = { 1_000_000, 0, 6, false },
    a_million_waiting = { 0, 1_000_000, 6, false },
    a_million_slots = { 0, 0, 1_000_000, false },
)]
fn absurd_figures_are_told(running: u32, waiting: u32, slots: u32, expected: bool) {
    let report = Report {
        running,
        waiting,
        slots,
        slowdown: None,
    };
    assert_eq!(report.is_plausible(), expected);
}
