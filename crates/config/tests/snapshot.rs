//! Application, lookup and serialization of snapshots.

use config::{
    change, resource, snapshot,
    state::{self, Router},
};
use proptest::{prelude::*, test_runner::RngSeed};
use units::revision;
use yare::parameterized;

fn resources() -> Vec<resource::Resource> {
    let text = r#"[
        {"type":"workspace","name":"acme","weight":3,"key_hashes":["ab"]},
        {"type":"pool","name":"weir-llm","kind":"engine","load_bound":1.5,
         "servers":[{"name":"e1","zone":"a","address":"127.0.0.1:1"}]},
        {"type":"pool","name":"small","kind":"engine"},
        {"type":"route","name":"all","path":"/v1","pool":"weir-llm"},
        {"type":"route","name":"chat","path":"/v1/chat","pool":"weir-llm"},
        {"type":"route","name":"chat-small","path":"/v1/chat","model":"small","pool":"small"},
        {"type":"zone","name":"a","service":"out"},
        {"type":"drain","name":"e1"}]"#;
    serde_json::from_str(text).expect("resources")
}

fn change(from: u64) -> change::Change {
    change::Change {
        id: format!("c{from}").parse().expect("name"),
        who: "ann".parse().expect("name"),
        when: 1,
        from: revision::Id(from),
        to: revision::Id(from + 1),
        puts: resources(),
        deletes: Vec::new(),
    }
}

#[test]
fn changes_and_snapshots_round_trip() {
    let change = change(0);
    let mut snapshot = snapshot::Snapshot::default();
    snapshot.apply(&change).unwrap();
    let sent = postcard::to_stdvec(&change).unwrap();
    assert_eq!(change, postcard::from_bytes(&sent).unwrap());
    let sent = postcard::to_stdvec(&snapshot).unwrap();
    assert_eq!(snapshot, postcard::from_bytes(&sent).unwrap());
    let text = serde_json::to_string(&snapshot).unwrap();
    assert_eq!(snapshot, serde_json::from_str(&text).unwrap());
}

#[parameterized(
    longest_prefix = { "/v1/chat/completions", None, Some("chat") },
    model_first = { "/v1/chat/completions", Some("small"), Some("chat-small") },
    other_model = { "/v1/chat", Some("large"), Some("chat") },
    shorter_prefix = { "/v1/models", None, Some("all") },
    part_of_a_segment = { "/v1/chatty", None, Some("all") },
    none = { "/v2", None, None },
)]
fn longest_matching_route_is_chosen(path: &str, model: Option<&str>, expected: Option<&str>) {
    let mut snapshot = snapshot::Snapshot::default();
    snapshot.apply(&change(0)).unwrap();
    let route = snapshot.route(path, model);
    assert_eq!(expected, route.map(|route| route.name.as_str()));
}

/// The change that creates revision `to`: it takes zone `a` out of service for odd revisions
/// and back in for even ones.
fn toggle_zone(to: u64) -> change::Change {
    let service = if to.is_multiple_of(2) { "in" } else { "out" };
    let zone = format!(r#"[{{"type":"zone","name":"a","service":"{service}"}}]"#);
    change::Change {
        puts: serde_json::from_str(&zone).expect("zone"),
        ..change(to - 1)
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(5),
        ..ProptestConfig::default()
    })]

    // Peers send changes late, duplicated and in any order. A zone that operators
    // took out of service must not receive requests again because an old change
    // arrived last.
    #[test]
    fn changes_in_any_order_never_revert_snapshot(
        order in prop::collection::vec(1_u64..12, 0..120),
    ) {
        let mut snapshot = snapshot::Snapshot::default();
        for to in order {
            let current = snapshot.revision();
            let applied = snapshot.apply(&toggle_zone(to));
            prop_assert_eq!(applied.is_ok(), to == current.0 + 1);
            let stale = matches!(applied, Err(snapshot::Mismatch::Stale { .. }));
            prop_assert_eq!(stale, to <= current.0);
            let expected = if applied.is_ok() { revision::Id(to) } else { current };
            prop_assert_eq!(expected, snapshot.revision());
            let service = match expected.0 % 2 {
                0 => resource::Service::In,
                _ => resource::Service::Out,
            };
            let zone = "a".parse().expect("zone");
            prop_assert_eq!(service, snapshot.zone_service(&zone));
        }
    }
}

fn router(text: &str) -> Router {
    let parts: Vec<&str> = text.split(' ').collect();
    Router {
        host: parts[0].parse().expect("host"),
        zone: parts[1].parse().expect("zone"),
        revision: parts[2].parse().expect("revision"),
        state: String::from(parts[3]),
    }
}

// A router has not applied a change, or is down. An operator who sees a change
// reported as in force relies on it that no reachable router acts otherwise.
#[parameterized(
    none = { &[], false, "" },
    all = { &["r1 a 7 ready", "r2 b 8 ready"], true, "a 1/1 lost=0 b 1/1 lost=0" },
    behind = { &["r1 a 7 ready", "r2 b 6 ready"], false, "a 1/1 lost=0 b 0/1 lost=0" },
    suspect = { &["r1 a 7 ready", "r2 b 6 suspect"], false, "a 1/1 lost=0 b 0/1 lost=0" },
    draining = { &["r1 a 7 ready", "r2 a 6 leaving"], false, "a 1/2 lost=0" },
    starting = { &["r1 a 7 ready", "r2 a 0 starting"], true, "a 1/1 lost=0" },
    lost = { &["r1 a 7 ready", "r2 b 6 down"], true, "a 1/1 lost=0 b 0/0 lost=1" },
    left = { &["r1 a 7 ready", "r2 a 6 left"], true, "a 1/1 lost=0" },
    only_lost = { &["r2 b 7 down"], false, "b 0/0 lost=1" },
)]
fn change_is_in_force_when_all_reachable_routers_applied_it(
    routers: &[&str],
    applied: bool,
    expected: &str,
) {
    let routers: Vec<Router> = routers.iter().map(|text| router(text)).collect();
    let zones = state::coverage(revision::Id(7), &routers);
    assert_eq!(applied, state::is_applied(&zones));
    let shown: Vec<String> = zones
        .iter()
        .map(|(name, zone)| {
            format!(
                "{name} {}/{} lost={}",
                zone.applied, zone.routers, zone.lost
            )
        })
        .collect();
    assert_eq!(expected, shown.join(" "));
}

// Peers send each change to every router. If the size of a change grew with the
// configuration, the control traffic of a thousand nodes would exceed its limit.
#[test]
fn small_change_has_small_encoding() {
    let sent = postcard::to_stdvec(&toggle_zone(10_000)).unwrap();
    assert!(sent.len() <= 40, "{} bytes", sent.len());
}
