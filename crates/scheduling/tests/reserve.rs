//! Tests of the slots that stay free for more urgent requests.

use scheduling::{Arrivals, Reserve};
use units::time::Instant;
use yare::parameterized;

fn reserve(steps: u32, arrivals: f64) -> Reserve {
    Reserve {
        steps,
        arrivals,
        ..Reserve::default()
    }
}

/// Less urgent requests took the last slots, and urgent ones found none.
#[parameterized(
    most_urgent = { 0, 12 },
    next = { 1, 11 },
    least_urgent = { 2, 10 },
    least_urgent_over_its_share = { 3, 9 },
)]
fn a_request_leaves_a_slot_for_each_more_urgent_rank(steps: u32, admitted: u32) {
    let reserve = reserve(steps, 0.0);
    let count = (0..20).filter(|&used| reserve.admits(12, used, 94)).count();
    assert_eq!(count, admitted as usize);
    assert_eq!(reserve.over_service(1_128, 94), steps * 94);
}

/// Few servers with many requests: a slot for each rank is less than what arrives unseen.
#[test]
fn the_reserve_covers_what_arrives_unseen() {
    let few = reserve(1, 10.0).over_service(120, 10);
    let many = reserve(1, 1_000.0).over_service(120, 10);
    assert!(few < many, "{few} {many}");
    assert!(reserve(0, 1_000.0).over_service(120, 10) == 0);
}

/// A server with two slots, or absurd rates: less urgent requests run nevertheless.
#[parameterized(
    few_slots = { 2, 0.0 },
    one_slot = { 1, 0.0 },
    absurd_rate = { 12, f64::MAX },
    no_number = { 12, f64::NAN },
    infinite_rate = { 12, f64::INFINITY },
    negative_rate = { 12, -1.0 },
)]
fn less_urgent_requests_run_on_an_idle_server(slots: u32, arrivals: f64) {
    let reserve = reserve(200, arrivals);
    assert!(reserve.admits(slots, 0, 1));
    assert!(reserve.admits_over_service(slots, 0, 1));
}

/// Zero slots and counts beyond all bounds decide nothing and end no process.
#[test]
fn absurd_counts_are_survived() {
    let reserve = reserve(u32::MAX, 1.0);
    assert!(!reserve.admits(0, 0, 0));
    assert!(!reserve.admits(12, u32::MAX, u32::MAX));
    assert!(!reserve.admits_over_service(u32::MAX, u32::MAX, u32::MAX));
    assert!(!reserve.admits_overcommitted(u32::MAX, u32::MAX));
}

/// Urgent requests wait at a full engine, but not behind more of them than end in time.
#[test]
fn overcommit_is_bounded() {
    let urgent = Reserve {
        may_overcommit: true,
        ..Reserve::default()
    };
    assert!(urgent.admits_overcommitted(12, 14));
    assert!(!urgent.admits_overcommitted(12, 15));
    assert!(!reserve(0, 0.0).admits_overcommitted(12, 12));
}

/// A service with requests of one rank leaves nothing for others.
#[test]
fn only_ranks_of_the_service_count() {
    let now = Instant::from_millis(1_000);
    let mut arrivals = Arrivals::default();
    arrivals.record(2, now);
    assert_eq!(arrivals.more_urgent(2, now), 0);
    arrivals.set_ranks([0, 2].into_iter());
    assert_eq!(arrivals.more_urgent(2, now), 1);
    assert!(arrivals.has_less_urgent(0, now));
    assert!(!arrivals.has_less_urgent(2, now));
    arrivals.set_ranks([2].into_iter());
    assert_eq!(arrivals.more_urgent(2, now), 0);
}

/// A rank that callers no longer send is forgotten.
#[test]
fn a_rank_without_requests_expires() {
    let mut arrivals = Arrivals::default();
    arrivals.record(0, Instant::from_millis(1_000));
    assert_eq!(arrivals.more_urgent(1, Instant::from_millis(2_000)), 1);
    assert_eq!(arrivals.more_urgent(1, Instant::from_millis(62_000)), 0);
}
