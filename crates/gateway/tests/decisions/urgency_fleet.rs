//! Urgency and shares over a fleet of routers, in virtual time.

mod engine;
mod scenario;
mod world;

use scenario::{CHAT, CLASSES, DRAFT, Exchange, Scenario, TAG};
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
    assert_urgent_served(&report);
}

/// Most chats are served, and no class notably more often than a more urgent one.
fn assert_urgent_served(report: &Report) {
    let chats = report.classes[CHAT].served_share();
    assert!(chats >= 0.80, "{chats}");
    assert_ordered(report);
}

/// No class is served notably more often than a more urgent one.
fn assert_ordered(report: &Report) {
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

/// A workspace that sends eight times as much as usual took the slots of all others.
fn hot_workspace(routers: usize) {
    let scenario = Scenario::hot(routers);
    let usual = Scenario {
        hot_rate: 1.0,
        ..scenario.clone()
    };
    let off = play(&scenario.off());
    let (usual, hot) = (play(&usual), play(&scenario));
    print(&format!("{routers} routers, hot workspace, off"), &off);
    print(&format!("{routers} routers, hot workspace, on"), &hot);
    let share = |report: &Report, workspace: usize| report.workspaces[workspace].served_share();
    let lost = |report: &Report| {
        let others = (0..scenario.workspaces).filter(|&other| other != scenario.hot);
        let lost = others.map(|other| share(&usual, other) - share(report, other));
        lost.fold(0.0, f64::max)
    };
    println!(
        "{routers} routers: the other workspaces lose at most {:.3} off, {:.3} on",
        lost(&off),
        lost(&hot)
    );
    assert!(lost(&hot) <= 0.02, "{}", lost(&hot));
}

#[test]
fn a_hot_workspace_at_one_of_6_routers_takes_nothing_from_others() {
    hot_workspace(6);
}

#[test]
fn a_hot_workspace_at_one_of_67_routers_takes_nothing_from_others() {
    hot_workspace(67);
}

#[test]
fn a_hot_workspace_at_one_of_300_routers_takes_nothing_from_others() {
    hot_workspace(300);
}

/// The routers of a zone hear nothing from the others for two seconds, and the others nothing of
/// them. Each side believes that the slots of the other are free. A second after the zone's
/// return, all decide by the same loads again.
#[test]
fn a_partitioned_zone_converges_within_a_second_of_its_return() {
    let scenario = Scenario {
        exchange: Exchange::Partition(4_000..6_000),
        counted_ms: 7_000..10_000,
        ..Scenario::overloaded(67)
    };
    let report = play(&scenario);
    print("after a partition", &report);
    assert_urgent_served(&report);
}

/// A router dies with requests in flight. Nothing that it held may stay taken.
#[test]
fn the_slots_of_a_dead_router_are_used_by_others() {
    let scenario = Scenario {
        death_ms: Some(4_000),
        counted_ms: 5_000..10_000,
        ..Scenario::overloaded(6)
    };
    let report = play(&scenario);
    print("after a death", &report);
    assert_urgent_served(&report);
}

/// The messages of three zones to the fourth are lost, those in the other direction are not.
#[test]
fn urgent_requests_come_first_while_messages_are_lost_one_way() {
    let scenario = Scenario {
        exchange: Exchange::OneWay(3_000..10_000),
        ..Scenario::overloaded(67)
    };
    let report = play(&scenario);
    print("messages lost one way", &report);
    assert_ordered(&report);
}

/// Routers know nothing of each other and decide by their own requests. Engines run chats first,
/// but reject what exceeds their queues, whatever its rank.
#[test]
fn chats_are_served_as_often_as_drafts_without_any_information() {
    let scenario = Scenario {
        exchange: Exchange::Silent,
        ..Scenario::overloaded(67)
    };
    print("no information, off", &play(&scenario.off()));
    let report = play(&scenario);
    print("no information, on", &report);
    let share = |class: usize| report.classes[class].served_share();
    assert!(share(CHAT) >= share(DRAFT) - 0.05);
}
