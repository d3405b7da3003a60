//! Sums of loads in a fleet that is too large for all routers to exchange digests in each
//! round.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use units::{host, time::Instant};
use xxhash_rust::xxh3;

use crate::{
    load::{Load, busiest},
    outlier::OutcomeCounts,
};

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
    /// Requests in flight at each server.
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
    pub fn record_zone(&mut self, sum: ZoneSum, now: Instant) {
        let keeps_known = |(known, expires_at): &(ZoneSum, Instant)| {
            now < *expires_at && is_partial(sum.routers, known.routers)
        };
        if self.zones.get(&sum.zone).is_some_and(keeps_known) {
            return;
        }
        self.zones.insert(sum.zone, (sum, now + MAX_AGE));
    }

    /// The routers of this zone that recently reported their loads.
    pub fn active_routers(&self) -> BTreeSet<host::Id> {
        self.routers.keys().cloned().collect()
    }

    /// The sum of this router's zone, including its `own` loads.
    pub fn zone_sum(&mut self, zone: u32, own: &[Load], now: Instant) -> ZoneSum {
        self.routers.retain(|_, (_, expires_at)| now < *expires_at);
        let routers = self.routers.values().map(|(loads, _)| loads.as_slice());
        ZoneSum {
            zone,
            routers: u16::try_from(self.routers.len() + 1).unwrap_or(u16::MAX),
            loads: add_loads(routers.chain([own])),
        }
    }

    /// The sum over all zones, given that of this router's zone.
    pub fn fleet_total(&mut self, own: &ZoneSum, now: Instant) -> Vec<Load> {
        self.zones
            .retain(|zone, (_, expires_at)| now < *expires_at && *zone != own.zone);
        let zones = self.zones.values().map(|(sum, _)| sum.loads.as_slice());
        add_loads(zones.chain([own.loads.as_slice()]))
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

/// The maximum number of servers in a sum, so that it fits one datagram; each takes up to
/// twelve bytes.
const MAX_SERVERS: usize = 105;

/// Adds up loads, and keeps those of the busiest servers if there are many.
///
/// Only the busiest servers are near their load bound. The servers left out count with this
/// router's own requests only, which makes the mean load, and so the bound, too small
/// rather than too large.
fn add_loads<'a>(lists: impl Iterator<Item = &'a [Load]>) -> Vec<Load> {
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
    busiest(sums.into_values().collect(), MAX_SERVERS)
}
