//! Sums of loads over a fleet that is too large for each to hear each.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use units::{host, time::Instant};
use xxhash_rust::xxh3;

use crate::{
    evidence::Ends,
    load::{Load, busiest},
};

/// How long what a router or a zone told counts: three rounds.
pub(super) const MAX_AGE: Duration = Duration::from_millis(700);
/// The loads of all routers of one zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sum {
    /// A hash of the zone's name.
    pub zone: u32,
    /// How many routers' loads these are.
    pub routers: u16,
    /// Requests in flight at each server.
    pub loads: Vec<Load>,
}

/// The hash that stands for a zone, or orders the routers of one.
pub fn hash(name: &str) -> u32 {
    (xxh3::xxh3_64(name.as_bytes()) >> 32) as u32
}

/// What a router that adds up has been told.
///
/// In a large fleet a router hears each other one every few seconds. By then a
/// prompt that many callers send at once has filled its server: every router
/// placed by what it saw itself. So each tells its loads to two routers of its
/// zone, these exchange the sums of their zones, and tell all of their own zone
/// what the fleet has in flight.
#[derive(Clone, Debug, Default)]
pub struct Sums {
    routers: BTreeMap<host::Id, (Vec<Load>, Instant)>,
    zones: BTreeMap<u32, (Sum, Instant)>,
}

impl Sums {
    /// A router of the own zone told its loads.
    pub fn record_router(&mut self, host: host::Id, loads: Vec<Load>, now: Instant) {
        self.routers.insert(host, (loads, now + MAX_AGE));
    }

    /// Another zone's sum has come.
    ///
    /// A router that the others of its zone take for dead may still add up what
    /// few tell it. Taken for the sum of its zone, it would hide most requests.
    pub fn record_zone(&mut self, sum: Sum, now: Instant) {
        let keeps_known = |(known, expires_at): &(Sum, Instant)| {
            now < *expires_at && is_partial(sum.routers, known.routers)
        };
        if self.zones.get(&sum.zone).is_some_and(keeps_known) {
            return;
        }
        self.zones.insert(sum.zone, (sum, now + MAX_AGE));
    }

    /// The routers of the own zone that lately told their loads.
    pub fn active_routers(&self) -> BTreeSet<host::Id> {
        self.routers.keys().cloned().collect()
    }

    /// The sum of the own zone, of which the own loads are a part.
    pub fn zone_sum(&mut self, zone: u32, own: &[Load], now: Instant) -> Sum {
        self.routers.retain(|_, (_, expires_at)| now < *expires_at);
        let routers = self.routers.values().map(|(loads, _)| loads.as_slice());
        Sum {
            zone,
            routers: u16::try_from(self.routers.len() + 1).unwrap_or(u16::MAX),
            loads: add_loads(routers.chain([own])),
        }
    }

    /// The sum over all zones, the own one given.
    pub fn fleet_sum(&mut self, own: &Sum, now: Instant) -> Vec<Load> {
        self.zones
            .retain(|zone, (_, expires_at)| now < *expires_at && *zone != own.zone);
        let zones = self.zones.values().map(|(sum, _)| sum.loads.as_slice());
        add_loads(zones.chain([own.loads.as_slice()]))
    }
}

/// Whether a sum over `routers` leaves out too many, when another is over `known`.
pub fn is_partial(routers: u16, known: u16) -> bool {
    u32::from(routers) * 2 < u32::from(known)
}

/// What others have at each server: a total less the own part.
pub fn subtract(total: &[Load], own: &[Load]) -> Vec<Load> {
    let own: BTreeMap<u32, &Load> = own.iter().map(|load| (load.server, load)).collect();
    let others = total.iter().map(|load| {
        let part = own.get(&load.server);
        Load {
            server: load.server,
            running: load
                .running
                .saturating_sub(part.map_or(0, |part| part.running)),
            ends: load
                .ends
                .without(part.map_or(Ends::default(), |part| part.ends)),
        }
    });
    others
        .filter(|load| load.running > 0 || !load.ends.is_empty())
        .collect()
}

/// The most servers that a sum tells of, so that it fits one datagram: each
/// takes up to twelve bytes.
const MAX_SERVERS: usize = 105;

/// Adds up, and keeps the busiest servers if there are many.
///
/// Only the busiest are near their bound. Left out, the others count with what
/// a router has there itself, which makes the mean and so the bound too small.
fn add_loads<'a>(lists: impl Iterator<Item = &'a [Load]>) -> Vec<Load> {
    let mut sums: BTreeMap<u32, Load> = BTreeMap::new();
    for load in lists.flatten() {
        let sum = sums.entry(load.server).or_insert(Load {
            server: load.server,
            running: 0,
            ends: Ends::default(),
        });
        sum.running = sum.running.saturating_add(load.running);
        sum.ends = sum.ends + load.ends;
    }
    busiest(sums.into_values().collect(), MAX_SERVERS)
}
