//! Aggregation of loads over a fleet.

use std::{collections::BTreeSet, time::Duration};

use gateway::{
    load::{Load, Report, ReportDecoder, ReportEncoder},
    outlier::OutcomeCounts,
    peers::{AGGREGATORS, Aggregators, FleetTotal, Frame, LoadSums, ZoneSum, relays, sums},
    source::Member,
};
use proptest::prelude::*;
use units::host;

use crate::world::{START, host, registered};

fn load(server: u32, running: u16) -> Load {
    Load {
        server,
        running,
        outcomes: OutcomeCounts::default(),
    }
}

/// Guards against overload by many small loads: 85 routers each have one or two requests in
/// flight at the same server. Each alone sees a free server, but together they fill it.
#[test]
fn zone_loads_are_summed() {
    let mut aggregator = LoadSums::default();
    for index in 0..28 {
        aggregator.record_router(
            host(&format!("a{index}")),
            vec![load(1, 1), load(2, 2)],
            START,
        );
    }
    for zone in [7, 8] {
        let loads = vec![load(1, 28)];
        let routers = 28;
        aggregator.record_zone(
            ZoneSum {
                zone,
                routers,
                loads,
            },
            START,
        );
    }
    let own = [load(1, 2)];
    let sum = aggregator.zone_sum(6, &own, START);
    assert_eq!(sum.loads, [load(1, 30), load(2, 56)]);
    let total = aggregator.fleet_total(&sum, START);
    assert_eq!(total, [load(1, 86), load(2, 56)]);
    assert_eq!(sums::subtract(&total, &own), [load(1, 84), load(2, 56)]);
}

/// Guards against missing sums: 3,000 servers do not fit one datagram, and without a sum
/// every router would count only its own requests.
#[test]
fn a_sum_over_many_servers_keeps_the_busiest() {
    let mut aggregator = LoadSums::default();
    let own: Vec<_> = (0..3000)
        .map(|server| load(server, (server % 700) as u16))
        .collect();
    let sum = aggregator.zone_sum(6, &own, START);
    let least = sum.loads.iter().map(|load| load.running).min();
    assert!(least >= Some(600), "{least:?}");
    let frame = Frame::ZoneSum {
        zone: sum.zone,
        routers: sum.routers,
        loads: ReportEncoder::default().next(&sum.loads, START),
        cached_prefixes: Vec::new(),
    };
    assert!(frame.encode().is_ok());
    let total = FleetTotal {
        aggregator: u32::MAX,
        routers: u16::MAX,
        loads: ReportEncoder::default().next(&aggregator.fleet_total(&sum, START), START),
        cached_prefixes: Vec::new(),
        relay_to: vec![u32::MAX; 10],
    };
    assert!(Frame::FleetTotal(total).encode().is_ok());
}

/// Guards against slow detection of a failing server: each of 28 routers sees a single
/// failure. Summed up, they reach the whole fleet; otherwise every router would have to see
/// three failures itself.
#[test]
fn failures_of_all_routers_are_summed() {
    let with_failures = |failed| Load {
        outcomes: OutcomeCounts {
            failed,
            completed: 0,
        },
        ..load(1, 0)
    };
    let mut aggregator = LoadSums::default();
    for index in 0..28 {
        aggregator.record_router(host(&format!("a{index}")), vec![with_failures(16)], START);
    }
    let own = [with_failures(16)];
    let sum = aggregator.zone_sum(6, &own, START);
    let total = aggregator.fleet_total(&sum, START);
    assert_eq!(total, [with_failures(29 * 16)]);
    assert_eq!(sums::subtract(&total, &own), [with_failures(28 * 16)]);
}

/// Guards against loads of a dead router or a disconnected zone that are counted forever.
#[test]
fn expired_loads_are_ignored() {
    let mut aggregator = LoadSums::default();
    aggregator.record_router(host("a1"), vec![load(1, 9)], START);
    aggregator.record_zone(
        ZoneSum {
            zone: 7,
            routers: 1,
            loads: vec![load(1, 9)],
        },
        START,
    );
    let later = START + Duration::from_secs(1);
    let sum = aggregator.zone_sum(6, &[], later);
    assert_eq!(aggregator.fleet_total(&sum, later), []);
}

fn ended(server: u32, failed: u16, completed: u16) -> Load {
    Load {
        outcomes: OutcomeCounts { failed, completed },
        ..load(server, 1)
    }
}

/// Guards against delayed failure reports: sent only with the next full report, a failure
/// would reach other routers two seconds later, and they would go on sending requests to
/// the server.
#[test]
fn new_failures_are_reported_at_once() {
    let mut reporter = ReportEncoder::default();
    let mut received = ReportDecoder::default();
    let before = [ended(1, 0, 160), ended(2, 0, 160)];
    assert_eq!(received.apply(reporter.next(&before, START)), before);
    let first_round = START + Duration::from_millis(200);
    let failing = [ended(1, 16, 150), ended(2, 0, 150)];
    let change = reporter.next(&failing, first_round);
    assert_eq!(
        received.apply(change),
        [ended(1, 16, 150), ended(2, 0, 160)]
    );
    let next = first_round + Duration::from_millis(200);
    let Report::Delta { outcomes, .. } = reporter.next(&failing, next) else {
        panic!("a full report before its time");
    };
    assert_eq!(outcomes, [], "the failure was already reported");
}

/// Guards against lasting effects of lost datagrams: one that reported a failure, and one
/// that reported that a server has no more requests, are both lost.
#[test]
fn a_full_report_recovers_from_lost_ones() {
    let mut reporter = ReportEncoder::default();
    let mut received = ReportDecoder::default();
    received.apply(reporter.next(&[load(1, 3)], START));
    let lost = reporter.next(&[ended(2, 32, 0)], START + Duration::from_millis(200));
    drop(lost);
    let now = [ended(2, 32, 0)];
    let whole = reporter.next(&now, START + Duration::from_secs(2));
    assert_eq!(received.apply(whole), now);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(1), ..ProptestConfig::with_cases(500) })]

    /// Whatever the hashes of the servers are, requests in flight are decoded as they were
    /// encoded.
    #[test]
    fn reported_requests_in_flight_round_trip(
        running in proptest::collection::btree_map(0_u32..1 << 24, 1_u16..500, 0..80),
    ) {
        let loads: Vec<_> = running.into_iter().map(|(server, running)| load(server, running)).collect();
        let mut reporter = ReportEncoder::default();
        let mut received = ReportDecoder::default();
        received.apply(reporter.next(&[], START));
        let report = reporter.next(&loads, START);
        let frame = Frame::Loads {
            loads: report,
            cached_prefixes: Vec::new(),
        };
        let Ok(Frame::Loads { loads: report, .. }) = Frame::decode(&frame.encode().expect("the frame fits one datagram")) else {
            panic!("decoded as another kind of frame");
        };
        prop_assert_eq!(received.apply(report), loads);
    }
}

/// Guards against a zone that goes on sending its loads to a dead aggregator, so that its
/// routers place by their own requests only.
#[test]
fn a_dead_aggregator_is_replaced() {
    let members = registered(28);
    let own = &members[0];
    let mut aggregators = Aggregators::default();
    let mut now = START;
    let choose = |aggregators: &mut Aggregators, now| -> Vec<host::Id> {
        let chosen = aggregators.choose(members.iter(), own, now);
        chosen.iter().map(|member| member.host.clone()).collect()
    };
    let first = choose(&mut aggregators, now);
    assert_eq!(first.len(), AGGREGATORS);
    let alive: Vec<_> = first.iter().filter(|host| **host != own.host).collect();
    let (dead, alive) = (alive[0], alive.get(1));
    let mut chosen = first.clone();
    for _ in 0..6 {
        now = now + Duration::from_millis(200);
        if let Some(alive) = alive {
            aggregators.sum_received(sums::hash(alive.as_str()), now);
        }
        chosen = choose(&mut aggregators, now);
    }
    assert!(
        !chosen.contains(dead),
        "a failed aggregator is excluded after a second"
    );
    assert_eq!(chosen.len(), AGGREGATORS);
    let later = now + Duration::from_secs(5);
    assert!(
        choose(&mut aggregators, later).contains(dead),
        "it is eligible again after the exclusion"
    );
}

/// Guards against routers that receive no total because their relay has died.
#[test]
fn sums_are_relayed_by_live_routers() {
    let members = registered(27);
    let all: Vec<&Member> = members.iter().collect();
    let alive: BTreeSet<host::Id> = members[9..]
        .iter()
        .map(|member| member.host.clone())
        .collect();
    let mut first = BTreeSet::new();
    for round in 0..6 {
        let relays = relays(&all, &alive, round);
        let mut reached: Vec<u32> = Vec::new();
        for relay in &relays {
            assert!(relay.targets.is_empty() || alive.contains(&relay.member.host));
            assert!(
                relay.targets.len() <= 5,
                "{} routers behind one relay",
                relay.targets.len()
            );
            reached.push(sums::hash(relay.member.host.as_str()));
            reached.extend(&relay.targets);
            first.insert(relay.member.host.clone());
        }
        reached.sort_unstable();
        let mut expected: Vec<_> = all
            .iter()
            .map(|member| sums::hash(member.host.as_str()))
            .collect();
        expected.sort_unstable();
        assert_eq!(reached, expected, "each router is reached once");
        assert!(
            relays.len() <= 5,
            "{} routers are sent a total directly",
            relays.len()
        );
    }
    assert_eq!(first.len(), 18, "all live routers relay in turn");
}

/// Guards against a partial sum that hides nearly all requests of a zone: the zone's
/// routers take an aggregator for dead and send it nothing, but it still sends sums.
#[test]
fn partial_sums_are_ignored() {
    let sum = |routers, running| ZoneSum {
        zone: 7,
        routers,
        loads: vec![load(1, running)],
    };
    let own = ZoneSum {
        zone: 6,
        ..sum(1, 1)
    };
    let mut aggregator = LoadSums::default();
    aggregator.record_zone(sum(28, 60), START);
    aggregator.record_zone(sum(3, 5), START);
    assert_eq!(aggregator.fleet_total(&own, START), [load(1, 61)]);
    aggregator.record_zone(sum(20, 40), START);
    assert_eq!(aggregator.fleet_total(&own, START), [load(1, 41)]);
    let later = START + Duration::from_secs(1);
    aggregator.record_zone(sum(3, 5), later);
    assert_eq!(
        aggregator.fleet_total(&own, later),
        [load(1, 6)],
        "the fuller sum has expired"
    );
}

/// Guards against sums of other routers' figures that have no result.
#[test]
fn the_largest_loads_of_routers_are_added_up() {
    let outcomes = OutcomeCounts {
        failed: u16::MAX,
        completed: u16::MAX,
    };
    let largest = Load {
        server: u32::MAX,
        running: u16::MAX,
        outcomes,
    };
    let mut sums = LoadSums::default();
    for index in 0..4 {
        sums.record_router(host(&format!("r{index}")), vec![largest; 3], START);
        let sum = ZoneSum {
            zone: index,
            routers: u16::MAX,
            loads: vec![largest; 3],
        };
        sums.record_zone(sum, START);
    }
    let own = sums.zone_sum(9, &[largest], START);
    let total = sums.fleet_total(&own, START);
    assert_eq!(total, [largest]);
    assert_eq!(sums::subtract(&total, &[largest]), Vec::new());
}
