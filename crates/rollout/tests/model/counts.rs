//! Merging of counts, and their size in datagrams.

use std::time::Duration;

use rollout::{
    Counts, Message, Reports, Selector,
    counts::{Arm, MAX_ROUTES, Route},
};

const EXPECTED: Duration = Duration::from_millis(100);

/// Counts of `failed` failures and `succeeded` successes of the new version on one route.
pub fn counts(route: u16, succeeded: u32, failed: u32) -> Counts {
    let mut counts = Counts::default();
    for server in 0..u64::from(succeeded) {
        counts.record_success(Route(route), Arm::Candidate, server);
    }
    for server in 0..u64::from(failed) {
        counts.record_failure(Route(route), Arm::Candidate, server);
    }
    counts
}

/// Datagrams are repeated and overtake each other. A count that is added twice would let a
/// sound version look faulty.
#[test]
fn repeated_and_reordered_reports_are_counted_once() {
    let (early, late) = (counts(1, 3, 1), counts(1, 5, 2));
    let mut reports = Reports::default();
    assert!(reports.record_router(7, late.clone()));
    assert!(!reports.record_router(7, early));
    assert!(!reports.record_router(7, late));
    assert!(reports.record_zone(2, 40, counts(1, 30, 10)));
    assert!(!reports.record_zone(2, 3, counts(1, 2, 0)));
    let (reporters, total) = reports.total();
    assert_eq!(reporters, 42);
    assert_eq!(total.total().candidate.failed, 12);
    assert_eq!(total.total().candidate.succeeded(), 35);
}

/// A router is killed after it has reported failures. They must not be forgotten, and the
/// reports of its next start must not be taken for older ones.
#[test]
fn counts_of_a_killed_router_remain() {
    let mut reports = Reports::default();
    reports.record_router(1, counts(1, 10, 5));
    reports.record_router(2, counts(1, 1, 0));
    assert_eq!(reports.total().1.total().candidate.outcomes(), 16);
}

/// A configuration may have hundreds of routes. Counts of all of them would not fit one
/// datagram and would not be sent.
#[test]
fn counts_of_many_routes_fit_one_datagram() {
    let mut counts = Counts::default();
    for route in 1..500 {
        for server in 0..16 {
            counts.record_failure(Route(route), Arm::Candidate, server);
            counts.record_success(Route(route), Arm::Baseline, server);
            counts.record_time(Route(route), Arm::Candidate, server, EXPECTED * 5, EXPECTED);
        }
    }
    assert_eq!(counts.routes().count(), MAX_ROUTES + 1);
    assert_eq!(counts.total().candidate.failed, 499 * 16);
    let message = Message::Zone {
        revision: u64::MAX,
        zone: u32::MAX,
        reporters: u16::MAX,
        counts,
    };
    let bytes = postcard::to_stdvec(&message).expect("an encodable message");
    assert!(bytes.len() < 1200, "{}", bytes.len());
}

/// A router with a few routes sends a report once per second to one of two others. Control
/// traffic may grow by 300 bytes a second.
#[test]
fn a_report_takes_few_bytes() {
    let mut counts = Counts::default();
    for route in 1..=3 {
        for server in 0..200 {
            counts.record_success(Route(route * 9000), Arm::Baseline, server);
            counts.record_time(
                Route(route * 9000),
                Arm::Baseline,
                server,
                EXPECTED,
                EXPECTED,
            );
        }
        for server in 0..20 {
            counts.record_success(Route(route * 9000), Arm::Candidate, server);
            counts.record_time(
                Route(route * 9000),
                Arm::Candidate,
                server,
                EXPECTED,
                EXPECTED,
            );
        }
    }
    let message = Message::Report {
        revision: 1_000_000,
        reporter: u32::MAX,
        counts,
    };
    let bytes = postcard::to_stdvec(&message).expect("an encodable message");
    assert!(bytes.len() <= 160, "{}", bytes.len());
}

/// Each router sees only a few requests per second. Whether their share rounds to none or
/// to one each, the new version would receive too few requests or too many.
#[test]
fn shares_of_many_routers_add_up() {
    let share = 0.09;
    let selected: u32 = (0..1000)
        .map(|seed| {
            let mut selector = Selector::new(seed);
            (0..5)
                .map(|_| {
                    let is_selected = selector.is_next(Route(1), share);
                    selector.record(Route(1), share, is_selected);
                    u32::from(is_selected)
                })
                .sum::<u32>()
        })
        .sum();
    assert!((400..=500).contains(&selected), "{selected}");
}

/// Requests are selected while no server of the new version can take them. They must not
/// be made up for in one burst later.
#[test]
fn missed_requests_are_not_made_up_for_in_a_burst() {
    let mut selector = Selector::new(1);
    for _ in 0..1000 {
        selector.record(Route(1), 0.1, false);
    }
    let burst = (0..100).take_while(|_| {
        let is_selected = selector.is_next(Route(1), 0.1);
        selector.record(Route(1), 0.1, is_selected);
        is_selected
    });
    assert!(burst.count() <= 2);
}
