//! Sums of loads in a fleet that is too large for all routers to exchange digests in each
//! round.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use units::{host, time::Instant};
use xxhash_rust::xxh3;

use crate::{
    load::{
        Load,
        buckets::{self, Buckets},
        split,
    },
    outlier::OutcomeCounts,
};

use super::slices::{Figures, Rest, Slice};

/// How long the loads of a router or zone are counted after they were received: three
/// rounds.
pub(super) const MAX_AGE: Duration = Duration::from_millis(700);
/// The summed loads of the routers of one zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneSum {
    /// The hash of the zone's name.
    pub zone: u32,
    /// The number of routers that the sum covers.
    pub routers: u16,
    /// Requests in flight at each server; those of the busiest servers if there are many.
    pub loads: Vec<Load>,
}

/// The hash that identifies a zone or a router, and orders the routers of a zone.
pub fn hash(name: &str) -> u32 {
    (xxh3::xxh3_64(name.as_bytes()) >> 32) as u32
}

/// The loads that an aggregator has received.
///
/// In a large fleet two routers exchange digests only every few seconds. By then a prompt
/// that many callers send at once would have overloaded its server, because each router
/// would place by its own requests only. So each router sends its loads to two aggregators
/// of its zone. The aggregators exchange the sums of their zones and send the fleet total
/// to all routers of their own zone.
#[derive(Clone, Debug, Default)]
pub struct LoadSums {
    routers: BTreeMap<host::Id, (Vec<Load>, Instant)>,
    zones: BTreeMap<u32, (ZoneSum, Instant)>,
    /// The loads of each zone by server, including those that its sums do not name.
    figures: BTreeMap<u32, Figures>,
    /// The loads that the last sum of this zone does not name.
    zone_rest: Rest,
    /// The loads that the last total does not name.
    fleet_rest: Rest,
}

impl LoadSums {
    /// Records the loads of a router of this zone.
    pub fn record_router(&mut self, host: host::Id, loads: Vec<Load>, now: Instant) {
        self.routers.insert(host, (loads, now + MAX_AGE));
    }

    /// Records the sum of another zone.
    ///
    /// An aggregator that the other routers of its zone take for dead may still send a sum
    /// of the few reports that it receives. Accepted as the sum of its zone, it would hide
    /// most requests, so partial sums are ignored while a fuller one is current.
    pub fn record_zone(&mut self, mut sum: ZoneSum, now: Instant) {
        if self.is_hidden_by_fuller(sum.zone, sum.routers, now) {
            return;
        }
        let figures = self.figures.entry(sum.zone).or_default();
        sum.loads = figures.complete(sum.loads, now);
        self.zones.insert(sum.zone, (sum, now + MAX_AGE));
    }

    /// Records loads that the sums of another zone do not name. They count from its next sum
    /// on.
    pub fn record_zone_slice(&mut self, zone: u32, routers: u16, slice: &Slice, now: Instant) {
        if !self.is_hidden_by_fuller(zone, routers, now) {
            self.figures.entry(zone).or_default().apply(slice, now);
        }
    }

    /// Whether a sum over `routers` is partial while a fuller one is current.
    pub(super) fn is_hidden_by_fuller(&self, zone: u32, routers: u16, now: Instant) -> bool {
        self.zones.get(&zone).is_some_and(|(known, expires_at)| {
            now < *expires_at && is_partial(routers, known.routers)
        })
    }

    /// The routers of this zone that recently reported their loads.
    pub fn active_routers(&self) -> BTreeSet<host::Id> {
        self.routers.keys().cloned().collect()
    }

    /// The sum of this router's zone, including its `own` loads.
    pub fn zone_sum(&mut self, zone: u32, own: &[Load], now: Instant) -> ZoneSum {
        self.routers.retain(|_, (_, expires_at)| now < *expires_at);
        let routers = self.routers.values().map(|(loads, _)| loads.as_slice());
        let (loads, rest) = add_loads(routers.chain([own]));
        self.zone_rest = Rest::new(rest);
        ZoneSum {
            zone,
            routers: u16::try_from(self.routers.len() + 1).unwrap_or(u16::MAX),
            loads,
        }
    }

    /// The loads that the last sum of this zone does not name.
    pub fn zone_rest(&self) -> &Rest {
        &self.zone_rest
    }

    /// The loads that the last total does not name.
    pub fn fleet_rest(&self) -> &Rest {
        &self.fleet_rest
    }

    /// The sum over all zones, given the last one of this router's zone.
    pub fn fleet_total(&mut self, own: &ZoneSum, now: Instant) -> Vec<Load> {
        self.zones
            .retain(|zone, (_, expires_at)| now < *expires_at && *zone != own.zone);
        self.figures
            .retain(|zone, figures| self.zones.contains_key(zone) || figures.is_current(now));
        let zones = self.zones.values().map(|(sum, _)| sum.loads.as_slice());
        let own = [own.loads.as_slice(), self.zone_rest.loads.as_slice()];
        let (loads, rest) = add_loads(zones.chain(own));
        let mut buckets = Buckets::default();
        for zone in self.zones.keys() {
            if let Some(figures) = self.figures.get(zone) {
                figures.add_buckets(&mut buckets, now);
            }
        }
        self.fleet_rest = Rest {
            loads: rest,
            buckets,
        };
        loads
    }
}

/// Whether a sum over `routers` covers less than half of the `known` routers.
pub fn is_partial(routers: u16, known: u16) -> bool {
    u32::from(routers) * 2 < u32::from(known)
}

/// The loads of all other routers: a total minus the `own` loads.
pub fn subtract(total: &[Load], own: &[Load]) -> Vec<Load> {
    let own: BTreeMap<u32, &Load> = own.iter().map(|load| (load.server, load)).collect();
    let others = total.iter().map(|load| {
        let part = own.get(&load.server);
        Load {
            server: load.server,
            running: load
                .running
                .saturating_sub(part.map_or(0, |part| part.running)),
            outcomes: load
                .outcomes
                .saturating_sub(part.map_or(OutcomeCounts::default(), |part| part.outcomes)),
        }
    });
    others
        .filter(|load| load.running > 0 || !load.outcomes.is_empty())
        .collect()
}

/// Subtracts the `own` loads at servers that `total` does not name from the requests at such
/// servers.
pub fn subtract_unnamed(buckets: &mut Buckets, total: &[Load], own: &[Load]) {
    if buckets.is_empty() {
        return;
    }
    let named = total.iter().filter(|load| load.running > 0);
    let named: BTreeSet<u32> = named.map(|load| load.server).collect();
    for load in own.iter().filter(|load| !named.contains(&load.server)) {
        buckets.subtract(buckets::of(load.server), u32::from(load.running));
    }
}

/// The maximum number of servers in a sum, so that it fits one datagram; each takes up to
/// twelve bytes.
const MAX_SERVERS: usize = 105;

/// Adds up loads. If there are many, those of the busiest servers are in the first list, which
/// is sent in each round: only they are near their load bound. The others, in the second list,
/// are sent in slices.
fn add_loads<'a>(lists: impl Iterator<Item = &'a [Load]>) -> (Vec<Load>, Vec<Load>) {
    let mut sums: BTreeMap<u32, Load> = BTreeMap::new();
    for load in lists.flatten() {
        let sum = sums.entry(load.server).or_insert(Load {
            server: load.server,
            running: 0,
            outcomes: OutcomeCounts::default(),
        });
        sum.running = sum.running.saturating_add(load.running);
        sum.outcomes = sum.outcomes + load.outcomes;
    }
    split(sums.into_values().collect(), MAX_SERVERS)
}
