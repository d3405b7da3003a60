//! Urgency and shares over a fleet of routers, in virtual time.

mod engine;
mod scenario;
mod world;

use scenario::{CHAT, CLASSES, DRAFT, Scenario, TAG};
use world::{Report, play};

/// Prints what became of a day, for the design note.
fn print(name: &str, report: &Report) {
    let shares: Vec<String> = report
        .classes
        .iter()
        .map(|tally| format!("{:.3}/{:.3}", tally.served_share(), tally.in_time_share()))
        .collect();
    println!(
        "{name}: served/in time: chats {} tags {} drafts {}; rejected {} refused {}, chats waited {:.0} ms at routers and {:.0} ms at engines, slots {:.2?}",
        shares[CHAT],
        shares[TAG],
        shares[DRAFT],
        report.rejected,
        report.refused,
        report.chat_waits.0 * 1_000.0 / f64::from(report.chat_waits.2.max(1)),
        report.chat_waits.1 * 1_000.0 / f64::from(report.chat_waits.2.max(1)),
        report
            .running
            .map(|running| running as f64 / report.slots.max(1) as f64),
    );
    for (second, tallies) in report.seconds.iter().enumerate() {
        let shares: Vec<String> = tallies
            .iter()
            .map(|tally| format!("{:.2}/{:.2}", tally.served_share(), tally.in_time_share()))
            .collect();
        println!("  {second}: {}", shares.join(" "));
    }
}

/// On a day with drafts at five times and all classes at three times their rate, with a third of
/// the engines lost, drafts took the slots of chats, which wait for a shorter time.
fn overloaded_day(routers: usize) {
    let scenario = Scenario::overloaded(routers);
    print(&format!("{routers} routers, off"), &play(&scenario.off()));
    let report = play(&scenario);
    print(&format!("{routers} routers, on"), &report);
    let chats = report.classes[CHAT].served_share();
    assert!(chats >= 0.80, "{chats}");
    for urgent in 0..CLASSES.len() {
        for less in urgent + 1..CLASSES.len() {
            let urgent = report.classes[urgent].served_share();
            let less = report.classes[less].served_share();
            assert!(urgent >= less - 0.05, "{urgent} {less}");
        }
    }
}

#[test]
fn urgent_requests_are_served_on_an_overloaded_day_by_6_routers() {
    overloaded_day(6);
}

#[test]
fn urgent_requests_are_served_on_an_overloaded_day_by_67_routers() {
    overloaded_day(67);
}

#[test]
fn urgent_requests_are_served_on_an_overloaded_day_by_300_routers() {
    overloaded_day(300);
}
