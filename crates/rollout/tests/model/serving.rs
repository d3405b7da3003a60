//! Versions in service.

use rollout::{Order, Role, Serving, Stage, serving::Server};
use units::{backend, time::Millis};
use yare::parameterized;

fn version(text: &str) -> backend::Version {
    text.parse().expect("a valid version")
}

fn order(to: &str, revision: u64) -> Order {
    Order {
        pool: "llm".parse().expect("a valid name"),
        to: version(to),
        duration: Millis(12_000),
        revision,
    }
}

/// Applies servers, given by their versions and incarnations.
fn set_servers(serving: &mut Serving, servers: &[(&str, u64)]) {
    let versions: Vec<_> = servers.iter().map(|(text, _)| version(text)).collect();
    let servers = servers.iter().zip(&versions);
    let servers = servers.map(|((_, incarnation), version)| Server {
        version,
        incarnation: *incarnation,
        recorded_at: None,
    });
    serving.set_servers(servers);
}

/// Applies servers of versions that are on record in this order.
fn set_recorded(serving: &mut Serving, servers: &[(&str, u64)], on_record: &[&str]) {
    let versions: Vec<_> = servers.iter().map(|(text, _)| version(text)).collect();
    let recorded_at = |text: &str| on_record.iter().position(|known| *known == text);
    let described = servers.iter().zip(&versions);
    let described = described.map(|((text, incarnation), version)| Server {
        version,
        incarnation: *incarnation,
        recorded_at: recorded_at(text).map(|position| position as u64),
    });
    serving.set_servers(described);
}

/// Guards against a router that starts after the servers in service have crashed and started again, and
/// takes those of a new version, which have run longer, for the ones in service.
#[test]
fn the_version_recorded_first_serves() {
    let servers = [("v1", 300), ("v2", 200)];
    let mut serving = Serving::default();
    set_recorded(&mut serving, &servers, &["v1", "v2"]);
    assert_eq!(serving.role(&version("v1")), Role::Serving);
    assert_eq!(serving.role(&version("v2")), Role::Idle);
}

/// Guards against a version that stays in service because it was chosen before the records were read,
/// and against one that is given up because another is recorded later.
#[test]
fn a_choice_made_without_the_records_is_made_again_once() {
    let servers = [("v1", 300), ("v2", 200)];
    let mut serving = Serving::default();
    set_recorded(&mut serving, &servers, &[]);
    assert_eq!(serving.role(&version("v2")), Role::Serving);
    set_recorded(&mut serving, &servers, &["v1", "v2"]);
    assert_eq!(serving.role(&version("v1")), Role::Serving);
    set_recorded(&mut serving, &servers, &["v2", "v1"]);
    assert_eq!(serving.role(&version("v1")), Role::Serving);
}

fn serving(servers: &[(&str, u64)]) -> Serving {
    let mut serving = Serving::default();
    set_servers(&mut serving, servers);
    serving
}

/// Servers of a new version are started beside the old ones ahead of an order. A router
/// that starts then must not take them for servers in service, however many they are.
#[test]
fn the_version_that_has_run_longest_serves() {
    let serving = serving(&[("v2", 200), ("v1", 100), ("v2", 201), ("v2", 202)]);
    assert_eq!(serving.role(&version("v1")), Role::Serving);
    assert_eq!(serving.role(&version("v2")), Role::Idle);
}

/// All old servers crash and start again, while servers of a new version run on. They have
/// run longer now, and still no order allows them to serve.
#[test]
fn restarts_of_the_servers_do_not_change_the_version_in_service() {
    let mut serving = serving(&[("v1", 100), ("v2", 200)]);
    set_servers(&mut serving, &[("v1", 300), ("v2", 200)]);
    assert_eq!(serving.role(&version("v1")), Role::Serving);
    assert_eq!(serving.role(&version("v2")), Role::Idle);
}

/// All servers of a service are replaced by those of another version without an order. The
/// service must not be refused.
#[test]
fn a_version_serves_once_no_other_is_registered() {
    let mut serving = serving(&[("v1", 100)]);
    set_servers(&mut serving, &[("v1", 100), ("v2", 200)]);
    assert_eq!(serving.role(&version("v2")), Role::Idle);
    set_servers(&mut serving, &[("v2", 200)]);
    assert_eq!(serving.role(&version("v2")), Role::Serving);
}

/// The version of an order receives requests only in the stages that allow it. Before its
/// stage is known, the roll-out may have been rolled back.
#[parameterized(
    unknown = { None, Role::Serving, Role::Idle },
    canary = { Some(Stage::Canary), Role::Serving, Role::Candidate },
    promoting = { Some(Stage::Promoting), Role::Serving, Role::Candidate },
    completing = { Some(Stage::Completing), Role::Serving, Role::Candidate },
    rolling_back = { Some(Stage::RollingBack), Role::Serving, Role::Idle },
    rolled_back = { Some(Stage::RolledBack), Role::Serving, Role::Idle },
    completed = { Some(Stage::Completed), Role::Idle, Role::Serving },
)]
fn the_stage_decides_what_the_versions_receive(stage: Option<Stage>, old: Role, new: Role) {
    let mut serving = serving(&[("v1", 100)]);
    set_servers(&mut serving, &[("v1", 100), ("v2", 200), ("v3", 50)]);
    serving.set_order(Some(&order("v2", 7)));
    if let Some(stage) = stage {
        serving.set_stage(7, stage);
    }
    assert_eq!(serving.role(&version("v1")), old);
    assert_eq!(serving.role(&version("v2")), new);
    assert_eq!(serving.role(&version("v3")), Role::Idle);
}

/// A stage of an earlier order arrives late. Taken for one of the present order, it would
/// let an untried version receive all requests.
#[test]
fn a_stage_of_another_order_is_ignored() {
    let mut serving = serving(&[("v1", 100)]);
    serving.set_order(Some(&order("v3", 9)));
    serving.set_stage(7, Stage::Completed);
    assert_eq!(serving.stage(), None);
    assert_eq!(serving.role(&version("v1")), Role::Serving);
    assert_eq!(serving.role(&version("v3")), Role::Idle);
}

/// The order is replaced or withdrawn while the new version is tried out. The version in
/// service stays.
#[test]
fn a_replaced_order_ends_the_canary() {
    let mut serving = serving(&[("v1", 100), ("v2", 200), ("v3", 300)]);
    serving.set_order(Some(&order("v2", 7)));
    serving.set_stage(7, Stage::Canary);
    serving.set_order(Some(&order("v3", 8)));
    assert_eq!(serving.role(&version("v2")), Role::Idle);
    assert_eq!(serving.role(&version("v3")), Role::Idle);
    serving.set_order(None);
    assert_eq!(serving.role(&version("v1")), Role::Serving);
}

/// All old servers are lost during a roll-out. The new version is all that is left, unless
/// it is known to be faulty.
#[parameterized(
    canary = { Stage::Canary, Role::Serving },
    rolled_back = { Stage::RolledBack, Role::Idle },
)]
fn the_new_version_serves_if_the_old_one_is_gone(stage: Stage, expected: Role) {
    let mut serving = serving(&[("v1", 100), ("v2", 200)]);
    serving.set_order(Some(&order("v2", 7)));
    serving.set_stage(7, stage);
    set_servers(&mut serving, &[("v2", 200)]);
    assert_eq!(serving.role(&version("v2")), expected);
}

/// A router starts in the middle of a roll-out, after all old servers have been restarted.
/// The servers of the new version have run longest then.
#[test]
fn a_router_that_starts_during_a_rollout_knows_the_old_version() {
    let mut serving = Serving::default();
    serving.set_order(Some(&order("v2", 7)));
    set_servers(&mut serving, &[("v1", 300), ("v2", 200)]);
    assert_eq!(serving.role(&version("v1")), Role::Serving);
    assert_eq!(serving.role(&version("v2")), Role::Idle);
}

/// Guards against a router that takes the version of an order for the one in service, because it
/// started when the old servers had started again after the new ones, or were all gone.
#[parameterized(
    restarted_in_canary = { &[("v1", 300), ("v2", 200)], Stage::Canary, Role::Candidate },
    restarted_in_rollback = { &[("v1", 300), ("v2", 200)], Stage::RollingBack, Role::Idle },
    restarted_after_rollback = { &[("v1", 300), ("v2", 200)], Stage::RolledBack, Role::Idle },
    gone_in_rollback = { &[("v2", 200)], Stage::RollingBack, Role::Idle },
    gone_after_rollback = { &[("v2", 200)], Stage::RolledBack, Role::Idle },
)]
fn a_stage_corrects_what_a_starting_router_assumed(
    servers: &[(&str, u64)],
    stage: Stage,
    expected: Role,
) {
    let mut serving = serving(servers);
    assert_eq!(
        serving.role(&version("v2")),
        Role::Serving,
        "nothing else is known"
    );
    serving.set_order(Some(&order("v2", 7)));
    serving.set_stage(7, stage);
    set_servers(&mut serving, servers);
    assert_eq!(serving.role(&version("v2")), expected);
    set_servers(&mut serving, &[("v1", 300), ("v2", 200)]);
    assert_eq!(serving.role(&version("v1")), Role::Serving);
    assert_eq!(serving.role(&version("v2")), expected);
}
