//! Placement of streams that only servers of one version can continue.

use std::time::Duration;

use gateway::{
    pool::{Demand, Denial, Outcome, Pool},
    queue::{Admission, Queue, Request},
    roster,
    settings::Bounds,
};
use proptest::prelude::*;
use rollout::{Order, Settings, Stage};
use units::{backend, cost::Cost, request::Attempt, time::Instant, time::Millis};

use crate::world::{START, bounds, demand, entry, fleet, pool, workspace};

fn version(name: &str) -> backend::Version {
    name.parse().expect("a valid version")
}

/// Servers of these versions, `s0` and up, in three zones.
fn servers(versions: &[&str]) -> Vec<roster::Entry> {
    let zones = ["a", "b", "c"];
    let entries = versions.iter().enumerate().map(|(index, name)| {
        let mut entry = entry(&format!("s{index}"), zones[index % 3]);
        entry.version = version(name);
        entry.slots = 4;
        entry
    });
    entries.collect()
}

fn bound_to(name: &str) -> Demand {
    Demand {
        version: Some(version(name)),
        ..demand(1, 1)
    }
}

fn request(attempt: u64, demand: Demand, wait_ms: u64) -> Request {
    Request {
        attempt: Attempt(attempt),
        workspace: workspace("team"),
        cost: Cost(1000),
        rank: 1,
        latest_start: START + Duration::from_millis(wait_ms),
        demand,
    }
}

/// Guards against another version as the last resort while servers of the right one are full.
#[test]
fn a_full_version_is_waited_for_beside_free_servers_of_another() {
    let mut queue = Queue::new(pool(&servers(&["v1", "v2", "v2"])));
    let mut placed = 0;
    let waiting = loop {
        placed += 1;
        let admission = queue.submit(request(placed, bound_to("v1"), 1000), &fleet(), START);
        match admission {
            Admission::Placed(placement) => assert_eq!(placement.version, version("v1")),
            other => break other,
        }
    };
    assert_eq!(waiting, Admission::Queued);
    let server = "s0".parse().expect("a valid name");
    // The standing of the server does not matter here.
    let _ = queue.ended(&server, &workspace("team"), Outcome::Completed, START);
    let dequeued = queue.dequeue(&fleet(), START);
    let versions = dequeued.iter().map(|(attempt, result)| {
        let placement = result.as_ref().expect("a placement");
        (attempt.0, placement.version.clone())
    });
    assert_eq!(versions.collect::<Vec<_>>(), [(placed, version("v1"))]);
}

/// Guards against new requests of a workspace that wait behind its streams of a full version.
#[test]
fn requests_for_any_version_do_not_wait_behind_bound_streams() {
    let mut queue = Queue::new(pool(&servers(&["v1", "v2", "v2"])));
    for attempt in 0..8 {
        queue.submit(request(attempt, bound_to("v1"), 1000), &fleet(), START);
    }
    assert!(!queue.is_empty());
    let admission = queue.submit(request(100, demand(2, 2), 1000), &fleet(), START);
    assert!(
        matches!(admission, Admission::Placed(placement) if placement.version == version("v2"))
    );
}

/// Guards against streams that wait for a server until the caller gives up.
#[test]
fn a_bound_stream_is_refused_at_its_latest_start() {
    let mut queue = Queue::new(pool(&servers(&["v1", "v2"])));
    let mut attempt = 0;
    while !matches!(
        queue.submit(request(attempt, bound_to("v1"), 300), &fleet(), START),
        Admission::Queued
    ) {
        attempt += 1;
    }
    let due = START + Duration::from_millis(300);
    assert_eq!(queue.next_wake(), Some(due));
    let dequeued = queue.dequeue(&fleet(), due);
    assert!(matches!(&dequeued[..], [(refused, Err(_))] if refused.0 == attempt));
    assert!(queue.is_empty());
}

/// Guards against a wait for a version that has no server, which is hopeless.
#[test]
fn a_stream_of_a_version_without_servers_is_refused_at_once() {
    let mut queue = Queue::new(pool(&servers(&["v1", "v1"])));
    let admission = queue.submit(request(1, bound_to("v2"), 1000), &fleet(), START);
    let Admission::Refused(refusal) = admission else {
        panic!("refused at once, but got {admission:?}");
    };
    assert_eq!(refusal.denial, Denial::VersionGone);
    assert!(refusal.retry_at > START);
}

/// Guards against requests to servers that have announced their shutdown.
#[test]
fn servers_that_leave_do_not_count_for_their_version() {
    let mut entries = servers(&["v1", "v2"]);
    entries[0].is_draining = true;
    let mut pool = pool(&entries);
    let denial = pool.admit(&bound_to("v1"), &fleet(), START);
    assert_eq!(denial.err(), Some(Denial::VersionGone));
}

fn ordered(stage: Option<Stage>) -> Pool {
    let entries = servers(&["v1", "v1", "v2", "v2"]);
    let mut pool = Pool::new(
        "a".parse().expect("a valid name"),
        Bounds {
            rollouts: Some(Settings::default()),
            ..bounds()
        },
    );
    pool.set_servers(entries.iter().map(|entry| (entry, false)));
    let order = Order {
        pool: "llm".parse().expect("a valid name"),
        to: version("v2"),
        duration: Millis(8000),
        revision: 1,
    };
    if let Some(stage) = stage {
        pool.set_order(Some(&order));
        pool.set_stage(1, stage);
    }
    pool
}

/// Guards against streams that leave their version, or reach a version that must get nothing,
/// while a service moves to another version.
#[test]
fn streams_stay_with_their_version_in_each_stage_of_a_rollout() {
    let cases = [
        (None, Ok("v1"), Err(Denial::VersionGone)),
        (Some(Stage::Canary), Ok("v1"), Ok("v2")),
        (Some(Stage::Promoting), Ok("v1"), Ok("v2")),
        (Some(Stage::Completing), Ok("v1"), Ok("v2")),
        (Some(Stage::Completed), Err(Denial::VersionGone), Ok("v2")),
        (Some(Stage::RollingBack), Ok("v1"), Err(Denial::VersionGone)),
        (Some(Stage::RolledBack), Ok("v1"), Err(Denial::VersionGone)),
    ];
    for (stage, old, new) in cases {
        for (name, expected) in [("v1", old), ("v2", new)] {
            let mut pool = ordered(stage);
            let placed = pool.admit(&bound_to(name), &fleet(), START);
            let placed = placed.map(|placement| placement.version);
            assert_eq!(placed, expected.map(version), "{stage:?} {name}");
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: prop::test_runner::RngSeed::Fixed(45), ..ProptestConfig::default() })]

    /// Guards against any way on which a bound stream gets to a server of another version.
    #[test]
    fn a_bound_stream_reaches_only_servers_of_its_version(
        versions in prop::collection::vec(0_usize..3, 1..9),
        steps in prop::collection::vec((0_usize..4, 0_u64..4, 0_u8..5, any::<bool>()), 1..80),
    ) {
        let names = ["v1", "v2", "v3"];
        let kinds: Vec<&str> = versions.iter().map(|index| names[*index]).collect();
        let mut queue = Queue::new(pool(&servers(&kinds)));
        let mut now = START;
        let mut running: Vec<backend::Server> = Vec::new();
        let mut wanted = std::collections::BTreeMap::new();
        for (number, (index, gap, outcome, is_ended)) in (0_u64..).zip(steps) {
            now = now + Duration::from_millis(gap * 40);
            if let Some(server) = running.pop().filter(|_| is_ended) {
                let outcomes = [Outcome::Completed, Outcome::Broken, Outcome::Unreachable, Outcome::Full, Outcome::Cancelled];
                let _ = queue.ended(&server, &workspace("team"), outcomes[usize::from(outcome)], now);
            }
            let bound = names.get(index).copied();
            wanted.insert(number, bound);
            let demand = bound.map_or_else(|| demand(number, number), bound_to);
            let request = Request { latest_start: now + Duration::from_millis(200), ..request(number, demand, 0) };
            let mut placed = Vec::new();
            if let Admission::Placed(placement) = queue.submit(request, &fleet(), now) {
                placed.push((number, *placement));
            }
            for (attempt, result) in queue.dequeue(&fleet(), now) {
                placed.extend(result.ok().map(|placement| (attempt.0, placement)));
            }
            for (attempt, placement) in placed {
                if let Some(Some(bound)) = wanted.get(&attempt) {
                    prop_assert_eq!(placement.version.as_str(), *bound);
                }
                running.push(placement.server);
            }
        }
        let end = now + Duration::from_secs(1);
        queue.dequeue(&fleet(), end);
        prop_assert!(queue.is_empty(), "a request waits for ever");
        prop_assert!(queue.next_wake().is_none_or(|at| at > Instant::ZERO));
    }
}
