//! Engine ownership and configuration propagation, without a network.
#![expect(clippy::unwrap_used, reason = "a failed setup of a test ends the test")]

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use fleet::{
    owner,
    revision_sync::{Outcome, RevisionSync, Settings, Step},
};
use proptest::{prelude::*, test_runner::RngSeed};
use units::{availability::Zone, backend::Server, host, revision, time::Instant};

const NOW: Instant = Instant::from_millis(5000);

type Router = (host::Id, Zone);

fn zone(index: usize) -> Zone {
    format!("lk-west-{index}").parse().unwrap()
}

fn server(index: usize) -> Server {
    format!("engine-{index}").parse().unwrap()
}

fn routers(count: usize) -> Vec<Router> {
    (0..count)
        .map(|index| (format!("router-{index}").parse().unwrap(), zone(index % 3)))
        .collect()
}

fn owner_among<'a>(server: &Server, zone: &Zone, routers: &'a [Router]) -> Option<&'a host::Id> {
    owner(
        server,
        zone,
        routers.iter().map(|(host, zone)| (host, zone)),
    )
}

fn source(index: usize) -> (host::Id, SocketAddr) {
    let host = format!("router-{index}").parse().unwrap();
    (host, SocketAddr::from(([10, 0, 0, 1], 7000)))
}

fn new_sync() -> RevisionSync {
    RevisionSync::new(Settings::default(), 1, NOW)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // An engine that changes owner loses its limits and queues, so when a router
    // leaves, only its own engines may change owner. Two routers with the same
    // list in a different order must agree on the owner.
    #[test]
    fn only_the_servers_of_a_removed_router_change_owner(
        count in 4..60usize,
        removed_index: prop::sample::Index,
        rotated: prop::sample::Index,
    ) {
        let all = routers(count);
        let mut remaining = all.clone();
        let (removed, _) = remaining.remove(removed_index.index(count));
        let mut reordered = all.clone();
        reordered.rotate_left(rotated.index(count));
        for index in 0..60 {
            let (server, zone) = (server(index), zone(index % 3));
            let before = owner_among(&server, &zone, &all).unwrap();
            prop_assert_eq!(before, owner_among(&server, &zone, &reordered).unwrap());
            let after = owner_among(&server, &zone, &remaining).unwrap();
            prop_assert!(before == after || *before == removed);
            let in_zone = remaining.iter().find(|(host, _)| host == after).unwrap();
            prop_assert!(in_zone.1 == zone || remaining.iter().all(|router| router.1 != zone));
        }
    }

    // The table and peers may return revisions in any order, old ones included. An
    // applied revision must never be followed by a lower one.
    #[test]
    fn applied_revisions_only_increase(operations in prop::collection::vec((0..4u8, 0..30u64), 1..80)) {
        let mut sync = new_sync();
        let mut highest = None;
        let mut now = NOW;
        for (kind, number) in operations {
            let revision = revision::Id(number);
            now = now + Duration::from_millis(100);
            match kind {
                0 => sync.add_source(source(number as usize).0, source(0).1, revision),
                1 => sync.record_outcome(Outcome::Succeeded(revision), now),
                2 => {
                    sync.step(now);
                }
                _ => {
                    let applied = sync.apply(revision);
                    prop_assert_eq!(applied, Some(revision) > highest);
                    highest = highest.max(Some(revision));
                }
            }
            prop_assert_eq!(sync.applied(), highest);
        }
    }
}

#[test]
fn servers_are_balanced_over_the_routers_of_their_zone() {
    let routers = routers(138);
    let mut owned: BTreeMap<host::Id, usize> = BTreeMap::new();
    for index in 0..1365 {
        let owner = owner_among(&server(index), &zone(index % 3), &routers).unwrap();
        *owned.entry(owner.clone()).or_default() += 1;
    }
    let max_owned = owned.values().max().unwrap();
    println!("measure=owned servers=1365 routers=138 most={max_owned}");
    assert!(*max_owned <= 22, "{max_owned}");
}

#[test]
fn a_zone_without_routers_is_owned_by_other_zones() {
    let routers = routers(6);
    let empty_zone: Zone = "lk-west-9".parse().unwrap();
    assert!(owner_among(&server(1), &empty_zone, &routers).is_some());
    assert_eq!(owner_among(&server(1), &empty_zone, &[]), None);
}

// A starting router sees that peers have a newer configuration than the table has
// just returned. If it became ready with the old one, it would send requests to a
// drained server; if it waited for ever, an isolated zone would lose the router.
#[test]
fn a_starting_router_applies_the_highest_known_revision_before_it_is_ready() {
    let mut sync = new_sync();
    assert!(!sync.is_ready(NOW + Duration::from_secs(60)));
    assert_eq!(sync.step(NOW), Step::Poll);
    let (host, address) = source(1);
    sync.add_source(host.clone(), address, revision::Id(7));
    assert!(sync.apply(revision::Id(5)));
    sync.record_outcome(Outcome::Succeeded(revision::Id(5)), NOW);
    assert!(!sync.is_ready(NOW));
    let fetch = Step::Fetch {
        host,
        address,
        revision: revision::Id(7),
    };
    assert_eq!(sync.step(NOW), fetch);
    sync.record_outcome(Outcome::Failed, NOW);
    assert!(!sync.is_ready(NOW));
    assert!(sync.is_ready(NOW + Settings::default().settle_time));
}

// The peer that announced a newer revision dies before the fetch. The table has the
// revision as well and must be polled at once.
#[test]
fn a_failed_fetch_is_followed_by_a_poll() {
    let mut sync = new_sync();
    sync.step(NOW);
    sync.apply(revision::Id(5));
    sync.record_outcome(Outcome::Succeeded(revision::Id(5)), NOW);
    let (host, address) = source(1);
    sync.add_source(host, address, revision::Id(6));
    assert!(matches!(sync.step(NOW), Step::Fetch { .. }));
    let timeout = NOW + Settings::default().timeout;
    assert_eq!(sync.step(NOW), Step::Wait(timeout));
    assert_eq!(sync.step(timeout), Step::Poll);
}

// The platform is down for a long time. Without backoff, the polls of all routers would
// overload it when it recovers.
#[test]
fn polls_back_off_while_the_table_is_down() {
    let mut sync = new_sync();
    let mut now = NOW;
    let mut polls = 0;
    while now < NOW + Duration::from_secs(600) {
        match sync.step(now) {
            Step::Poll => {
                polls += 1;
                sync.record_outcome(Outcome::Failed, now);
            }
            Step::Wait(until) => now = until,
            Step::Fetch { .. } => unreachable!("no peer has a configuration"),
        }
    }
    println!("measure=polls_while_down seconds=600 value={polls}");
    assert!((15..40).contains(&polls), "{polls}");
}
