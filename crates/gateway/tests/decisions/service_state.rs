//! The speeds of servers and the use by workspaces, as exchanged between routers.

use std::time::Duration;

use gateway::peers::{
    Frame, LoadSlice, Scope, ServiceState, Unknown,
    load_reports::{self, Reports},
    slices::{Running, Slice},
    usages::{self, UsageSums},
};
use load_report::{Shared, Slowdown};
use scheduling::Usage;
use units::time::Millis;
use yare::parameterized;

use crate::world::{START, host};

fn slowdown(percent: u16) -> Slowdown {
    Slowdown::from_percent(percent).expect("a valid slowdown")
}

fn report(server: u32, percent: u16, age_ms: u64) -> Shared {
    Shared {
        server,
        slowdown: slowdown(percent),
        age: Millis(age_ms),
    }
}

/// A report with a figure that no server may report, as only a datagram can hold it.
fn invalid(percent: u16) -> Shared {
    let number = |number: u16| postcard::to_stdvec(&number).expect("a number");
    let bytes = [vec![1], number(percent), vec![0]].concat();
    postcard::from_bytes(&bytes).expect("a report")
}

fn usage(workspace: u32, running: u32) -> Usage {
    Usage { workspace, running }
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against a report that arrives late, such as one from before a restart of its server
/// that waited at a router, and replaces a newer one.
#[test]
fn an_older_report_does_not_replace_a_newer_one() {
    let mut reports = Reports::default();
    let now = START + ms(500);
    reports.record(&[report(1, 250, 20)], now);
    reports.record(&[report(1, 600, 400)], now + ms(10));
    assert_eq!(reports.next(now + ms(10)), [report(1, 250, 30)]);
    reports.record(&[report(1, 600, 450)], now + ms(60));
    assert_eq!(reports.next(now + ms(60)), []);
    reports.record(&[report(1, 100, 0)], now + ms(70));
    assert_eq!(reports.next(now + ms(80)), [report(1, 100, 10)]);
}

/// Guards against reports that look newer than they are because routers kept them for a
/// while.
#[test]
fn each_hop_adds_the_time_for_which_it_kept_a_report() {
    let mut reports = vec![report(1, 250, 40)];
    let mut now = START;
    for _ in 0..3 {
        let mut hop = Reports::default();
        hop.record(&reports, now);
        now = now + ms(150);
        reports = hop.next(now);
    }
    assert_eq!(reports, [report(1, 250, 490)]);
}

/// Guards against a report that looks newer at each hop because its age is rounded down.
#[test]
fn ages_are_rounded_up() {
    let mut reports = Reports::default();
    reports.record(&[report(1, 250, 40)], START);
    let later = START + Duration::from_micros(100_001);
    assert_eq!(reports.next(later), [report(1, 250, 141)]);
}

/// Guards against invalid and stale figures that take effect.
#[parameterized(
    zero = { invalid(0) },
    nine = { invalid(9) },
    a_large_one = { invalid(60_000) },
    a_second_old = { report(1, 250, 1_000) },
    absurdly_old = { report(1, 250, u64::MAX) },
)]
fn invalid_reports_are_ignored(invalid: Shared) {
    let mut reports = Reports::default();
    reports.record(&[invalid], START);
    assert_eq!(reports.next(START), []);
    assert_eq!(load_reports::valid(vec![invalid]), []);
    reports.record(&[report(1, 300, 10)], START);
    reports.record(&[invalid], START);
    assert_eq!(reports.next(START), [report(1, 300, 10)]);
}

/// Guards against reports that take the bytes of all other control traffic: servers report
/// with each response, and nearly all of these reports say what is known.
#[test]
fn only_changes_and_unusual_speeds_are_passed_on() {
    let mut reports = Reports::default();
    let mut sent = 0;
    for round in 0..25_u64 {
        let now = START + ms(200 * round);
        let noise = if round % 2 == 0 { 97 } else { 104 };
        reports.record(&[report(1, noise, 5), report(2, 250, 5)], now);
        let next = reports.next(now);
        assert!(next.iter().all(|report| report.server == 2), "{next:?}");
        sent += next.len();
    }
    assert!((9..=13).contains(&sent), "{sent} in five seconds");
    // The return to the usual speed is a change.
    let now = START + ms(5_200);
    reports.record(&[report(2, 100, 0)], now);
    assert_eq!(reports.next(now), [report(2, 100, 0)]);
    reports.record(&[report(2, 100, 0)], now + ms(800));
    assert_eq!(reports.next(now + ms(800)), []);
}

/// Guards against datagrams that are too long when many servers change at once: the newest
/// reports go first, and the others in the next round.
#[test]
fn the_newest_reports_go_first() {
    let mut reports = Reports::default();
    let all: Vec<_> = (0..100)
        .map(|index| report(index, 250, u64::from(index)))
        .collect();
    reports.record(&all, START);
    let first = reports.next(START);
    assert_eq!(first, all[..60]);
    let second = reports.next(START + ms(200));
    assert_eq!(second.len(), 40);
    assert_eq!(second[0], report(60, 250, 260));
    // Reports of a second ago are not passed on.
    reports.record(&all, START);
    assert_eq!(reports.next(START + ms(1_200)), []);
}

/// Guards against requests that are counted twice, or counted at their own router as those of
/// others.
#[test]
fn usages_of_all_other_routers_are_summed() {
    let mut aggregator = UsageSums::default();
    aggregator.record_router(host("r1"), vec![usage(1, 5), usage(2, 1)], START);
    aggregator.record_router(host("r2"), vec![usage(1, 7)], START);
    aggregator.record_router(host("r2"), vec![usage(1, 6)], START);
    aggregator.record_zone(9, vec![usage(1, 30), usage(3, 2)], START);
    let own = [usage(1, 4), usage(2, 2)];
    let zone = aggregator.zone_sum(&own, START);
    assert_eq!(zone, [usage(1, 15), usage(2, 3)]);
    let total = aggregator.fleet_total(&zone, START);
    assert_eq!(total, [usage(1, 45), usage(2, 3), usage(3, 2)]);
    let others = [usage(1, 41), usage(2, 1), usage(3, 2)];
    assert_eq!(usages::subtract(&total, &own), others);
    assert_eq!(usages::largest(total)[0], usage(1, 45));
}

/// Guards against requests of a dead router, or of a zone whose aggregators are not reached,
/// that are counted forever.
#[test]
fn usages_expire() {
    let mut aggregator = UsageSums::default();
    aggregator.record_router(host("r1"), vec![usage(1, 5)], START);
    aggregator.record_zone(9, vec![usage(1, 30)], START);
    let later = START + ms(700);
    let zone = aggregator.zone_sum(&[usage(1, 1)], later);
    assert_eq!(aggregator.fleet_total(&zone, later), [usage(1, 1)]);
}

/// Guards against datagrams that are too long with many workspaces and servers.
#[test]
fn the_longest_state_fits_one_datagram() {
    let mut reports = Reports::default();
    let all: Vec<_> = (0..1_000)
        .map(|index| report(u32::MAX - index, 10_000, 900))
        .collect();
    reports.record(&all, START);
    let usages: Vec<_> = (0..1_000)
        .map(|index| usage(u32::MAX - index, u32::MAX))
        .collect();
    let state = ServiceState {
        scope: Scope::Fleet { routers: u16::MAX },
        load_reports: reports.next(START),
        usages: usages::largest(usages),
        relay_to: vec![u32::MAX; 20],
    };
    assert_eq!((state.load_reports.len(), state.usages.len()), (60, 32));
    let frame = Frame::ServiceState(state);
    let bytes = frame.encode().expect("the frame fits one datagram");
    assert_eq!(Frame::decode(&bytes), Ok(frame));
}

/// Routers of the previous version ignore frames that they do not know. A new kind of frame
/// must not take the number of an old one.
#[test]
fn the_frame_of_service_state_is_unknown_to_the_previous_version() {
    let frame = Frame::ServiceState(ServiceState {
        scope: Scope::Zone {
            zone: 9,
            routers: 3,
        },
        load_reports: vec![report(5, 100, 7)],
        usages: vec![usage(8, 2)],
        relay_to: Vec::new(),
    });
    let bytes = frame.encode().expect("the frame fits one datagram");
    assert_eq!(bytes, [10, 1, 9, 3, 1, 5, 100, 7, 1, 8, 2, 0]);
    assert_eq!(Frame::decode(&bytes), Ok(frame));
}

/// Guards against a router that fails on, or logs a line for, each frame of a newer version:
/// one may send ten a second to each router.
#[test]
fn frames_of_a_newer_version_are_ignored() {
    let slice = Frame::LoadSlice(LoadSlice {
        scope: Scope::Router,
        slice: Slice {
            first: 0,
            last: 1,
            running: Running::Servers(Vec::new()),
        },
        relay_to: Vec::new(),
    });
    let mut bytes = slice.encode().expect("the frame fits one datagram");
    let mut unknown = Unknown::default();
    let mut lines = Vec::new();
    for index in 0..600_u64 {
        bytes[0] = 12 + (index % 100) as u8;
        assert!(Frame::decode(&bytes).is_err());
        lines.extend(unknown.record(START + ms(100 * index)));
    }
    assert_eq!(
        lines,
        [1, 100, 100, 100, 100, 100],
        "one line in ten seconds"
    );
}
