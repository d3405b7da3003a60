//! Placement by the load that servers report, in fleets of routers and in virtual time.
//!
//! Four servers of six slots get 201 requests of 30 ms in a second; one after the other is slow.

mod run;
mod scenario;

use std::time::Duration;

use load_report::{Report, Slowdown};
use run::play;
use scenario::{Figures, Policy, SLOTS, Scenario, Summary};
use yare::parameterized;

/// A difference below this share of the requests is not told from chance: with 32,000 requests,
/// of which one in a hundred is late, the standard deviation of the difference is 0.0008.
const TOLERANCE: f64 = 0.001;

/// The slowdowns of the deployment: for a moment, and for seconds.
fn spells() -> [Scenario; 2] {
    let spell = |percent, slow: u64, period: u64| Scenario {
        percent,
        slow: (Duration::from_millis(slow), Duration::from_millis(period)),
        ..Scenario::default()
    };
    [spell(250, 600, 1_000), spell(500, 3_000, 5_000)]
}

fn print(scenario: &Scenario, summary: &Summary) {
    println!(
        "routers={} rate={} delay_ms={} loss={} percent={} figures={:?} policy={:?} {summary}",
        scenario.routers,
        scenario.rate,
        scenario.delay.as_millis(),
        scenario.loss,
        scenario.percent,
        scenario.figures,
        scenario.policy
    );
}

/// Plays the scenario with each policy.
#[track_caller]
fn compare(scenario: Scenario) -> Summary {
    let reported = play(scenario);
    print(&scenario, &reported);
    for policy in [Policy::Previous, Policy::LeastOwn, Policy::TwoChoices] {
        let scenario = Scenario { policy, ..scenario };
        let other = play(scenario);
        print(&scenario, &other);
        assert!(
            reported.missed_share() <= other.missed_share() + TOLERANCE,
            "{policy:?}: {other}; by reports: {reported}"
        );
    }
    reported
}

/// Guards against requests that are late or refused because a router prefers a server that was
/// reported to be fast a while ago, or avoids one that is fast again.
#[parameterized(
    six_at_once = { 6, 0 },
    six_soon = { 6, 200 },
    six_late = { 6, 500 },
    sixty_seven_at_once = { 67, 0 },
    sixty_seven_soon = { 67, 200 },
    sixty_seven_late = { 67, 500 },
    three_hundred_at_once = { 300, 0 },
    three_hundred_soon = { 300, 200 },
    three_hundred_late = { 300, 500 },
)]
fn reports_do_not_make_requests_late(routers: usize, delay_ms: u64) {
    for scenario in spells() {
        compare(Scenario {
            routers,
            delay: Duration::from_millis(delay_ms),
            length: Duration::from_secs(160),
            ..scenario
        });
    }
}

/// Guards against the same while the slots are in use to five eighths, so that the other servers
/// have no room for all that a slow one would not get.
#[test]
fn reports_do_not_overload_the_other_servers() {
    for scenario in spells() {
        compare(Scenario {
            rate: 500.0,
            ..scenario
        });
    }
}

/// Guards against routers that need each message of the others.
#[test]
fn lost_messages_do_not_make_requests_late() {
    for scenario in spells() {
        compare(Scenario {
            loss: 0.5,
            ..scenario
        });
    }
}

/// Guards against a herd: all routers hear that a server is fast again, and all send their
/// requests there. The server must be able to process within the time what it gets.
#[parameterized(six = { 6 }, sixty_seven = { 67 }, three_hundred = { 300 })]
fn a_favorable_report_attracts_no_herd(routers: usize) {
    for scenario in spells() {
        for delay_ms in [0, 100, 200, 500] {
            let scenario = Scenario {
                routers,
                delay: Duration::from_millis(delay_ms),
                ..scenario
            };
            let herd = play(scenario).herd;
            println!("routers={routers} delay_ms={delay_ms} herd={herd}");
            let served = SLOTS * 100 / scenario.work.as_millis() as u32;
            assert!(herd <= served as usize, "{herd} requests, {served} served");
        }
    }
}

fn fixed(running: u32, percent: u16) -> Figures {
    Figures::Fixed(Report {
        running,
        waiting: 0,
        slots: SLOTS,
        slowdown: Some(Slowdown::from_percent(percent).expect("valid")),
    })
}

/// Guards against a server that attracts or sheds requests by what it falsely reports.
#[parameterized(
    text = { Figures::Unreadable },
    always_idle = { fixed(0, 100) },
    always_full = { fixed(10_000, 100) },
    always_fast = { fixed(0, 10) },
    always_slow = { fixed(0, 10_000) },
)]
fn false_figures_of_a_server_do_not_make_requests_late(figures: Figures) {
    for scenario in spells() {
        compare(Scenario {
            figures,
            ..scenario
        });
    }
}
