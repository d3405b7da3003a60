//! How loads are added up over a fleet.

use std::{collections::BTreeSet, time::Duration};

use gateway::{
    load::{Load, Report, ReportDecoder, ReportEncoder},
    outlier::OutcomeCounts,
    peers::{AGGREGATORS, Aggregators, Frame, Sum, Sums, Total, relays, sums},
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

/// Eighty-five routers have a request or two each at one server. Each alone sees
/// a server with room, and all together fill it.
#[test]
fn loads_of_all_zones_add_up() {
    let mut aggregator = Sums::default();
    for index in 0..28 {
        aggregator.told(
            host(&format!("a{index}")),
            vec![load(1, 1), load(2, 2)],
            START,
        );
    }
    for zone in [7, 8] {
        let loads = vec![load(1, 28)];
        let routers = 28;
        aggregator.heard(
            Sum {
                zone,
                routers,
                loads,
            },
            START,
        );
    }
    let own = [load(1, 2)];
    let sum = aggregator.zone(6, &own, START);
    assert_eq!(sum.loads, [load(1, 30), load(2, 56)]);
    let total = aggregator.total(&sum, START);
    assert_eq!(total, [load(1, 86), load(2, 56)]);
    assert_eq!(sums::without(&total, &own), [load(1, 84), load(2, 56)]);
}

/// Three thousand servers do not fit one datagram. Were the sum not told at all,
/// every router would see only its own requests.
#[test]
fn a_sum_over_many_servers_tells_of_the_busiest() {
    let mut aggregator = Sums::default();
    let own: Vec<_> = (0..3000)
        .map(|server| load(server, (server % 700) as u16))
        .collect();
    let sum = aggregator.zone(6, &own, START);
    let least = sum.loads.iter().map(|load| load.running).min();
    assert!(least >= Some(600), "{least:?}");
    let frame = Frame::Sum {
        zone: sum.zone,
        routers: sum.routers,
        loads: ReportEncoder::default().next(&sum.loads, START),
        reads: Vec::new(),
    };
    assert!(frame.encode().is_ok());
    let total = Total {
        aggregator: u32::MAX,
        routers: u16::MAX,
        loads: ReportEncoder::default().next(&aggregator.total(&sum, START), START),
        reads: Vec::new(),
        others: vec![u32::MAX; 10],
    };
    assert!(Frame::Total(total).encode().is_ok());
}

/// Each of 28 routers of a zone sees a single failure of a server. Added up, they
/// tell the whole fleet; if they were not, every router would have to meet the
/// server three times to learn it.
#[test]
fn failures_of_all_routers_add_up() {
    let seen = |failed| Load {
        outcomes: OutcomeCounts {
            failed,
            completed: 0,
        },
        ..load(1, 0)
    };
    let mut aggregator = Sums::default();
    for index in 0..28 {
        aggregator.told(host(&format!("a{index}")), vec![seen(16)], START);
    }
    let own = [seen(16)];
    let sum = aggregator.zone(6, &own, START);
    let total = aggregator.total(&sum, START);
    assert_eq!(total, [seen(29 * 16)]);
    assert_eq!(sums::without(&total, &own), [seen(28 * 16)]);
}

/// A router died, or a zone is cut off. What it told last must not count for ever.
#[test]
fn old_loads_do_not_count() {
    let mut aggregator = Sums::default();
    aggregator.told(host("a1"), vec![load(1, 9)], START);
    aggregator.heard(
        Sum {
            zone: 7,
            routers: 1,
            loads: vec![load(1, 9)],
        },
        START,
    );
    let later = START + Duration::from_secs(1);
    let sum = aggregator.zone(6, &[], later);
    assert_eq!(aggregator.total(&sum, later), []);
}

fn ended(server: u32, failed: u16, completed: u16) -> Load {
    Load {
        outcomes: OutcomeCounts { failed, completed },
        ..load(server, 1)
    }
}

/// A server fails a request. Told only with the next whole report, callers would
/// meet it for two seconds longer.
#[test]
fn new_failures_are_told_at_once() {
    let mut teller = ReportEncoder::default();
    let mut heard = ReportDecoder::default();
    let calm = [ended(1, 0, 160), ended(2, 0, 160)];
    assert_eq!(heard.apply(teller.next(&calm, START)), calm);
    let soon = START + Duration::from_millis(200);
    let failing = [ended(1, 16, 150), ended(2, 0, 150)];
    let news = teller.next(&failing, soon);
    assert_eq!(heard.apply(news), [ended(1, 16, 150), ended(2, 0, 160)]);
    let next = soon + Duration::from_millis(200);
    let Report::Delta { outcomes, .. } = teller.next(&failing, next) else {
        panic!("a whole report so soon");
    };
    assert_eq!(outcomes, [], "it has been told");
}

/// The datagram that told of a failure is lost, and one that told that a server
/// has no requests any more.
#[test]
fn a_whole_report_makes_up_for_lost_ones() {
    let mut teller = ReportEncoder::default();
    let mut heard = ReportDecoder::default();
    heard.apply(teller.next(&[load(1, 3)], START));
    let lost = teller.next(&[ended(2, 32, 0)], START + Duration::from_millis(200));
    drop(lost);
    let now = [ended(2, 32, 0)];
    let whole = teller.next(&now, START + Duration::from_secs(2));
    assert_eq!(heard.apply(whole), now);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(1), ..ProptestConfig::with_cases(500) })]

    /// Whatever the hashes of servers are, those in flight arrive as they were told.
    #[test]
    fn requests_in_flight_arrive_as_told(
        running in proptest::collection::btree_map(0_u32..1 << 24, 1_u16..500, 0..80),
    ) {
        let loads: Vec<_> = running.into_iter().map(|(server, running)| load(server, running)).collect();
        let mut teller = ReportEncoder::default();
        let mut heard = ReportDecoder::default();
        heard.apply(teller.next(&[], START));
        let report = teller.next(&loads, START);
        let frame = Frame::Loads {
            loads: report,
            reads: Vec::new(),
        };
        let Ok(Frame::Loads { loads: report, .. }) = Frame::decode(&frame.encode().expect("it fits")) else {
            panic!("another frame");
        };
        prop_assert_eq!(heard.apply(report), loads);
    }
}

/// A router that adds up dies. The others of its zone go on telling it their
/// loads, and place by what they see themselves.
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
            aggregators.heard(sums::hash(alive.as_str()), now);
        }
        chosen = choose(&mut aggregators, now);
    }
    assert!(!chosen.contains(dead), "after a second it is passed over");
    assert_eq!(chosen.len(), AGGREGATORS);
    let later = now + Duration::from_secs(5);
    assert!(
        choose(&mut aggregators, later).contains(dead),
        "it gets another chance"
    );
}

/// Sums are sent through routers of which some have died. Those behind them
/// would hear no sum at all.
#[test]
fn sums_are_passed_on_by_routers_that_are_alive() {
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
            assert!(relay.others.is_empty() || alive.contains(&relay.member.host));
            assert!(
                relay.others.len() <= 5,
                "{} are passed on to",
                relay.others.len()
            );
            reached.push(sums::hash(relay.member.host.as_str()));
            reached.extend(&relay.others);
            first.insert(relay.member.host.clone());
        }
        reached.sort_unstable();
        let mut wanted: Vec<_> = all
            .iter()
            .map(|member| sums::hash(member.host.as_str()))
            .collect();
        wanted.sort_unstable();
        assert_eq!(reached, wanted, "each is reached once");
        assert!(relays.len() <= 5, "{} are sent to", relays.len());
    }
    assert_eq!(first.len(), 18, "all that are alive take their turns");
}

/// A router is taken for dead by the others of its zone, which tell it nothing,
/// and still adds up. Its sum would hide nearly all requests of the zone.
#[test]
fn a_partial_sum_does_not_count() {
    let sum = |routers, running| Sum {
        zone: 7,
        routers,
        loads: vec![load(1, running)],
    };
    let own = Sum {
        zone: 6,
        ..sum(1, 1)
    };
    let mut aggregator = Sums::default();
    aggregator.heard(sum(28, 60), START);
    aggregator.heard(sum(3, 5), START);
    assert_eq!(aggregator.total(&own, START), [load(1, 61)]);
    aggregator.heard(sum(20, 40), START);
    assert_eq!(aggregator.total(&own, START), [load(1, 41)]);
    let later = START + Duration::from_secs(1);
    aggregator.heard(sum(3, 5), later);
    assert_eq!(
        aggregator.total(&own, later),
        [load(1, 6)],
        "nobody else is left"
    );
}
