//! Comparison of two versions.

use std::time::Duration;

use rollout::{
    Counts,
    counts::{Arm, Route},
    verdict::{self, Kind},
};
use yare::parameterized;

const EXPECTED: Duration = Duration::from_millis(100);

/// The outcomes of a version on one route.
#[derive(Clone, Copy)]
struct Outcomes {
    route: u16,
    succeeded: u32,
    failed: u32,
    servers: u64,
}

impl Outcomes {
    const fn new(succeeded: u32, failed: u32) -> Self {
        Self {
            route: 1,
            succeeded,
            failed,
            servers: 6,
        }
    }

    const fn on_route(self, route: u16) -> Self {
        Self { route, ..self }
    }

    const fn on_servers(self, servers: u64) -> Self {
        Self { servers, ..self }
    }

    fn record(self, counts: &mut Counts, arm: Arm) {
        let route = Route(self.route);
        for index in 0..self.succeeded {
            counts.record_success(route, arm, u64::from(index) % 6);
        }
        for index in 0..self.failed {
            counts.record_failure(route, arm, u64::from(index) % self.servers);
        }
    }
}

fn counts_of(baseline: &[Outcomes], candidate: &[Outcomes]) -> Counts {
    let mut counts = Counts::default();
    for outcomes in baseline {
        outcomes.record(&mut counts, Arm::Baseline);
    }
    for outcomes in candidate {
        outcomes.record(&mut counts, Arm::Candidate);
    }
    counts
}

/// Guards against a version that fails nearly every request and is promoted, because the few
/// servers that are left of the old one fail as often.
#[parameterized(
    all_fail = { Outcomes::new(3, 16), Outcomes::new(0, 7), false },
    most_fail = { Outcomes::new(3, 16), Outcomes::new(3, 7), false },
    a_third_fails_on_both = { Outcomes::new(40, 20), Outcomes::new(8, 4), true },
    only_the_old_one_fails = { Outcomes::new(3, 16), Outcomes::new(12, 0), true },
)]
fn a_version_that_fails_most_requests_is_not_promoted(
    baseline: Outcomes,
    candidate: Outcomes,
    expected: bool,
) {
    let assessment = verdict::assess(&counts_of(&[baseline], &[candidate]));
    assert_eq!(assessment.permits_promotion(), expected, "{assessment:?}");
}

fn is_faulty(baseline: &[Outcomes], candidate: &[Outcomes]) -> bool {
    verdict::assess(&counts_of(baseline, candidate)).is_faulty()
}

/// Guards against faulty versions that are not recognized, and against sound ones that are
/// taken for faulty because the old version, a server or a single request fails.
#[parameterized(
    sound = { &[Outcomes::new(1000, 1)], &[Outcomes::new(100, 0)], false },
    one_failure = { &[Outcomes::new(1000, 0)], &[Outcomes::new(3, 1)], false },
    half_fails = { &[Outcomes::new(1000, 1)], &[Outcomes::new(10, 10)], true },
    a_seventh_fails = { &[Outcomes::new(1000, 1)], &[Outcomes::new(60, 10)], true },
    a_twentieth_fails = { &[Outcomes::new(5000, 5)], &[Outcomes::new(380, 20)], true },
    both_fail_alike = { &[Outcomes::new(500, 250)], &[Outcomes::new(60, 30)], false },
    only_the_old_version_fails = { &[Outcomes::new(500, 250)], &[Outcomes::new(90, 0)], false },
    one_server_fails = {
        &[Outcomes::new(1000, 1)], &[Outcomes::new(90, 15).on_servers(1)], false
    },
    nothing_is_known_of_the_old_version = { &[], &[Outcomes::new(10, 10)], false },
    one_route_fails = {
        &[Outcomes::new(1000, 1), Outcomes::new(200, 0).on_route(2)],
        &[Outcomes::new(100, 0), Outcomes::new(10, 10).on_route(2)],
        true
    },
    the_route_fails_at_both = {
        &[Outcomes::new(1000, 1), Outcomes::new(100, 100).on_route(2)],
        &[Outcomes::new(100, 0), Outcomes::new(10, 10).on_route(2)],
        false
    },
)]
fn failures_are_compared(baseline: &[Outcomes], candidate: &[Outcomes], expected: bool) {
    assert_eq!(is_faulty(baseline, candidate), expected);
}

/// Counts in which the responses of each version take so many percent of the expected time.
fn timed(baseline: &[u32], candidate: &[u32]) -> Counts {
    let mut counts = Counts::default();
    for (arm, times) in [(Arm::Baseline, baseline), (Arm::Candidate, candidate)] {
        for server in 0..60 {
            for percent in times {
                let time = EXPECTED * *percent / 100;
                counts.record_success(Route(1), arm, server);
                counts.record_time(Route(1), arm, server, time, EXPECTED);
            }
        }
    }
    counts
}

/// Guards against versions that are several times slower, also where ordinary responses take
/// a small part of the time that is expected of them.
#[parameterized(
    alike = { &[40, 60, 80], &[40, 60, 80], false },
    somewhat_slower = { &[60, 70, 80], &[60, 70, 90], false },
    four_times_slower = { &[40, 60, 80], &[160, 240, 320], true },
    four_times_slower_than_fast = { &[15, 20, 22], &[60, 80, 88], true },
    a_third_is_slower = { &[40, 60, 80], &[40, 60, 320], true },
    both_are_slow = { &[160, 240, 320], &[160, 240, 320], false },
)]
fn response_times_are_compared(baseline: &[u32], candidate: &[u32], expected: bool) {
    let assessment = verdict::assess(&timed(baseline, candidate));
    assert_eq!(assessment.is_faulty(), expected, "{assessment:?}");
    if expected {
        assert_eq!(assessment.kind, Kind::SlowResponse);
    }
}
