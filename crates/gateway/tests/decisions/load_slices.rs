//! Loads of more servers than one datagram names.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use gateway::{
    clock::Clock,
    dispatch::{Dispatch, Message},
    load::{
        Load, ReportDecoder, ReportEncoder,
        buckets::{self, Buckets},
    },
    metrics::Metrics,
    outlier::OutcomeCounts,
    peers::{
        AGGREGATORS, FleetTotal, Frame, INTERVAL, LoadSlice, LoadSums, Scope, ZoneSum,
        slices::{Figures, Rotation, Running, Slice, TURNS},
        sums,
    },
    roster,
};
use tokio::sync::oneshot;
use units::time::Instant;
use yare::parameterized;

use crate::{
    prefixes::settings,
    world::{START, entry, server},
};

/// The rounds of one second.
const ROUNDS: usize = 5;

fn load(server: u32, running: u16) -> Load {
    Load {
        server,
        running,
        outcomes: OutcomeCounts::default(),
    }
}

/// The hashes of `count` servers, ordered.
fn hashes(count: usize) -> Vec<u32> {
    let names = (0..count).map(|index| server(&format!("i-{index:010x}")));
    let hashes: BTreeSet<u32> = names.map(|name| Load::hash(&name)).collect();
    hashes.into_iter().collect()
}

/// Loads in which each server has requests and no two busy servers are neighbors.
fn busy(count: usize) -> Vec<Load> {
    let servers = hashes(count).into_iter().zip(0_u16..);
    servers
        .map(|(server, index)| load(server, 1 + index % 12 * 7 % 12))
        .collect()
}

/// An aggregator of one zone, and how it tells its total to the routers of the zone.
struct Aggregator {
    sums: LoadSums,
    encoder: ReportEncoder,
    rotation: Rotation,
    /// The number of aggregators that alternate.
    count: usize,
}

impl Aggregator {
    fn new(count: usize) -> Self {
        Self {
            sums: LoadSums::default(),
            encoder: ReportEncoder::default(),
            rotation: Rotation::default(),
            count,
        }
    }

    /// The datagrams of one turn.
    fn turn(&mut self, loads: &[Load], now: Instant) -> Vec<Vec<u8>> {
        let sum = self.sums.zone_sum(6, loads, now);
        let total = self.sums.fleet_total(&sum, now);
        let turns = TURNS / self.count;
        let slice = self.rotation.next(self.sums.fleet_rest(), turns, now);
        let relay_to = vec![u32::MAX; 10];
        let slice = slice.map(|slice| {
            Frame::LoadSlice(LoadSlice {
                scope: Scope::Fleet { routers: 100 },
                slice,
                relay_to: relay_to.clone(),
            })
        });
        let total = Frame::FleetTotal(FleetTotal {
            aggregator: u32::MAX,
            routers: 100,
            loads: self.encoder.next(&total, now),
            cached_prefixes: Vec::new(),
            relay_to: relay_to.clone(),
        });
        let frames = slice.into_iter().chain([total]);
        frames
            .map(|frame| frame.encode().expect("the frame fits one datagram"))
            .collect()
    }
}

/// A router that receives totals.
#[derive(Default)]
struct Receiver {
    decoder: ReportDecoder,
    figures: Figures,
    loads: BTreeMap<u32, u16>,
    buckets: Buckets,
}

impl Receiver {
    fn receive(&mut self, datagrams: &[Vec<u8>], now: Instant) {
        for datagram in datagrams {
            match Frame::decode(datagram).expect("a valid frame") {
                Frame::LoadSlice(slice) => self.figures.apply(&slice.slice, now),
                Frame::FleetTotal(total) => {
                    let loads = self.decoder.apply(total.loads);
                    let loads = self.figures.complete(loads, now);
                    let loads = loads.iter().filter(|load| load.running > 0);
                    self.loads = loads.map(|load| (load.server, load.running)).collect();
                    self.buckets = Buckets::default();
                    self.figures.add_buckets(&mut self.buckets, now);
                }
                other => panic!("an unexpected frame: {other:?}"),
            }
        }
    }

    /// The requests that the router expects at each of `servers`.
    fn expected(&self, servers: &[u32]) -> Vec<u32> {
        let unnamed = servers.iter().filter(|hash| !self.loads.contains_key(hash));
        let shares = self.buckets.shares(unnamed.copied());
        let expected = servers.iter().map(|hash| {
            let named = self.loads.get(hash).copied().map(u32::from);
            named.or_else(|| shares.get(&buckets::of(*hash)).copied())
        });
        expected.map(|running| running.unwrap_or(0)).collect()
    }
}

fn round(index: usize) -> Instant {
    START + INTERVAL * u32::try_from(index).expect("few rounds")
}

/// Guards against servers that look idle to every router because sums have no room for
/// them: with 144 servers, all routers sent their requests to the 39 that were left out.
#[parameterized(
    one_more_than_fit = { 106 },
    a_fleet_under_contention = { 144 },
    hundreds = { 600 },
    the_planned_size = { 10_000 },
)]
fn all_servers_are_covered_within_a_second(count: usize) {
    let loads = busy(count);
    let servers = hashes(count);
    let mut aggregators = [Aggregator::new(AGGREGATORS), Aggregator::new(AGGREGATORS)];
    let mut router = Receiver::default();
    for index in 0..ROUNDS {
        let now = round(index);
        let datagrams = aggregators[index % AGGREGATORS].turn(&loads, now);
        assert!(datagrams.len() <= 2, "one slice beside the total");
        let bytes: Vec<_> = datagrams.iter().map(Vec::len).collect();
        println!("servers={count} round={index} bytes={bytes:?}");
        router.receive(&datagrams, now);
        let busiest = loads.iter().filter(|load| load.running == 12).take(50);
        for load in busiest.filter(|_| count <= 600) {
            assert_eq!(router.loads.get(&load.server), Some(&12), "round {index}");
        }
    }
    let expected = router.expected(&servers);
    assert!(
        expected.iter().all(|running| *running > 0),
        "{} servers look idle",
        expected.iter().filter(|running| **running == 0).count()
    );
    let sum: u32 = loads.iter().map(|load| u32::from(load.running)).sum();
    let named: u32 = router.loads.values().copied().map(u32::from).sum();
    let unnamed: u32 = router.buckets.iter().map(|(_, running)| running).sum();
    assert_eq!(named + unnamed, sum, "each request counts once");
    if count <= 400 {
        let exact: BTreeMap<_, _> = loads.iter().map(|l| (l.server, l.running)).collect();
        assert_eq!(router.loads, exact);
    }
}

/// Guards against changed decisions and more bytes where a sum names all servers.
#[test]
fn no_slices_are_sent_for_servers_that_fit_a_sum() {
    let mut aggregator = Aggregator::new(AGGREGATORS);
    let loads = busy(105);
    for index in 0..2 * ROUNDS {
        assert_eq!(aggregator.turn(&loads, round(index)).len(), 1);
    }
}

/// Guards against servers that look idle after one lost datagram: they would be sent the
/// requests of all routers until the next slice arrives.
#[parameterized(
    two_aggregators = { 2 },
    one_aggregator = { 1 },
)]
fn a_lost_slice_does_not_make_servers_look_idle(count: usize) {
    let loads = busy(144);
    let servers = hashes(144);
    for lost in 5..10 {
        let mut aggregators: Vec<_> = (0..count).map(|_| Aggregator::new(count)).collect();
        let mut router = Receiver::default();
        for index in 0..20 {
            let now = round(index);
            let mut datagrams = aggregators[index % count].turn(&loads, now);
            if index == lost {
                datagrams.remove(0);
            }
            router.receive(&datagrams, now);
            if index >= ROUNDS {
                let expected = router.expected(&servers);
                let idle = expected.iter().filter(|running| **running == 0).count();
                assert_eq!(idle, 0, "round {index} after the loss of {lost}");
            }
        }
    }
}

/// Guards against servers that look idle because the aggregator that covered them has died:
/// each aggregator covers all servers by itself.
#[test]
fn one_aggregator_covers_all_servers_after_the_other_has_died() {
    let mut loads = busy(144);
    let servers = hashes(144);
    let mut aggregators = [Aggregator::new(AGGREGATORS), Aggregator::new(AGGREGATORS)];
    let mut router = Receiver::default();
    for index in 0..20 {
        let now = round(index);
        if index == 8 {
            // What the routers know must be renewed and not only kept.
            loads.iter_mut().for_each(|load| load.running += 3);
        }
        let is_dead = index % AGGREGATORS == 1 && index >= 7;
        if !is_dead {
            let datagrams = aggregators[index % AGGREGATORS].turn(&loads, now);
            router.receive(&datagrams, now);
        }
        if index >= ROUNDS {
            let idle = router
                .expected(&servers)
                .iter()
                .filter(|r| **r == 0)
                .count();
            assert_eq!(idle, 0, "round {index}");
        }
        if index >= 8 + ROUNDS {
            let exact: BTreeMap<_, _> = loads.iter().map(|l| (l.server, l.running)).collect();
            assert_eq!(router.loads, exact, "round {index}");
        }
    }
}

/// Guards against requests that are counted long after they ended: servers get too few
/// requests then. After a drop of the load, the sum names all servers again.
#[test]
fn servers_that_become_idle_are_told_within_a_second() {
    let mut aggregator = Aggregator::new(1);
    let mut router = Receiver::default();
    for index in 0..ROUNDS {
        let now = round(index);
        router.receive(&aggregator.turn(&busy(144), now), now);
    }
    let few = busy(10);
    for index in ROUNDS..2 * ROUNDS {
        let now = round(index);
        router.receive(&aggregator.turn(&few, now), now);
    }
    let exact: BTreeMap<_, _> = few.iter().map(|l| (l.server, l.running)).collect();
    assert_eq!(router.loads, exact);
    assert_eq!(aggregator.turn(&few, round(30)).len(), 1, "no more slices");
}

/// Guards against a server that looks idle between two slices because it has just become
/// less busy than the servers that the sum names.
#[test]
fn a_server_that_is_no_longer_named_keeps_its_figure() {
    let mut loads: Vec<_> = hashes(144).into_iter().map(|hash| load(hash, 5)).collect();
    let mut aggregator = Aggregator::new(1);
    let mut router = Receiver::default();
    for index in 0..3 * ROUNDS {
        let now = round(index);
        // Each round the busiest servers are others.
        for (position, load) in loads.iter_mut().enumerate() {
            load.running = if (position + 29 * index) % 144 < 100 {
                9
            } else {
                4
            };
        }
        router.receive(&aggregator.turn(&loads, now), now);
        if index >= ROUNDS {
            let expected = router.expected(&hashes(144));
            let idle = expected.iter().filter(|running| **running == 0).count();
            assert_eq!(idle, 0, "round {index}");
        }
    }
}

/// Guards against sums over zones that lose the servers which the sum of a zone does not
/// name.
#[parameterized(
    named_one_by_one = { 200 },
    by_range = { 5_000 },
)]
fn a_total_covers_what_the_sums_of_zones_do_not_name(count: usize) {
    let loads = busy(count);
    let sum: u32 = loads.iter().map(|load| u32::from(load.running)).sum();
    let mut remote = LoadSums::default();
    let mut rotation = Rotation::default();
    let mut aggregator = LoadSums::default();
    for index in 0..ROUNDS {
        let now = round(index);
        let zone = remote.zone_sum(7, &loads, now);
        let slice = rotation
            .next(remote.zone_rest(), TURNS, now)
            .expect("a rest");
        aggregator.record_zone_slice(7, 1, &slice, now);
        aggregator.record_zone(zone, now);
    }
    let now = round(ROUNDS - 1);
    let own = aggregator.zone_sum(6, &loads, now);
    let total = aggregator.fleet_total(&own, now);
    let rest = aggregator.fleet_rest();
    let known = total.iter().chain(&rest.loads);
    let known: u32 = known.map(|load| u32::from(load.running)).sum();
    let unnamed: u32 = rest.buckets.iter().map(|(_, running)| running).sum();
    assert_eq!(known + unnamed, 2 * sum);
}

/// Guards against a partial sum whose slices hide the requests of a zone.
#[test]
fn slices_of_partial_sums_are_ignored() {
    let zone = |routers| ZoneSum {
        zone: 7,
        routers,
        loads: vec![load(1, 60)],
    };
    let slice = |running| Slice {
        first: 0,
        last: (1 << 24) - 1,
        running: Running::Servers(running),
    };
    let own = ZoneSum {
        zone: 6,
        routers: 1,
        loads: Vec::new(),
    };
    let mut aggregator = LoadSums::default();
    aggregator.record_zone_slice(7, 28, &slice(vec![(9, 4)]), START);
    aggregator.record_zone(zone(28), START);
    aggregator.record_zone_slice(7, 3, &slice(Vec::new()), START);
    aggregator.record_zone(zone(28), START);
    assert_eq!(
        aggregator.fleet_total(&own, START),
        [load(1, 60), load(9, 4)]
    );
}

/// Guards against a router that counts its own requests as those of others, at servers that
/// are known by range only.
#[test]
fn own_requests_are_not_counted_as_those_of_others() {
    let [first, second] = [hashes(2)[0], hashes(2)[1]];
    let mut known = Buckets::default();
    known.add(buckets::of(first), 7);
    sums::subtract_unnamed(
        &mut known,
        &[load(second, 5)],
        &[load(first, 3), load(second, 2)],
    );
    assert_eq!(known.running(buckets::of(first)), 4);
    assert_eq!(known.running(buckets::of(second)), 0);
}

/// Guards against servers that look idle because they are known by range only.
#[tokio::test]
async fn requests_of_a_range_are_divided_among_its_servers() {
    let (mut task, _handle, _messages) =
        Dispatch::new(Clock::start(), Arc::new(Metrics::default()), settings());
    let mut roster = roster::Roster::default();
    for name in ["s1", "s2", "s3"] {
        roster.apply(roster::Change::Present(entry(name, "a")), START);
    }
    task.handle_message(Message::Roster(Arc::new(roster)));
    let named = Load::hash(&server("s1"));
    let mut known = Buckets::default();
    for name in ["s1", "s2", "s3"] {
        known.add(buckets::of(Load::hash(&server(name))), 4);
    }
    task.handle_message(Message::AggregateBuckets(known));
    task.handle_message(Message::Aggregate(vec![load(named, 9)]));
    let (reply, report) = oneshot::channel();
    task.handle_message(Message::Status(reply));
    let report = report.await.expect("a report");
    let loads: Vec<_> = report.servers.iter().map(|row| row.load).collect();
    assert_eq!(loads, [9, 4, 4]);
}
