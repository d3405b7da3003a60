//! Sums of loads over a fleet that is too large for each to hear each.

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

/// How long what a router or a zone told counts: three rounds.
pub(super) const CURRENT: Duration = Duration::from_millis(700);
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
    pub fn told(&mut self, host: host::Id, loads: Vec<Load>, now: Instant) {
        self.routers.insert(host, (loads, now + CURRENT));
    }

    /// Another zone's sum has come.
    ///
    /// A router that the others of its zone take for dead may still add up what
    /// few tell it. Taken for the sum of its zone, it would hide most requests.
    pub fn heard(&mut self, sum: Sum, now: Instant) {
        let stays = |(known, until): &(Sum, Instant)| {
            now < *until && is_partial(sum.routers, known.routers)
        };
        if self.zones.get(&sum.zone).is_some_and(stays) {
            return;
        }
        self.zones.insert(sum.zone, (sum, now + CURRENT));
    }

    /// The routers of the own zone that lately told their loads.
    pub fn alive(&self) -> BTreeSet<host::Id> {
        self.routers.keys().cloned().collect()
    }

    /// The sum of the own zone, of which the own loads are a part.
    pub fn zone(&mut self, zone: u32, own: &[Load], now: Instant) -> Sum {
        self.routers.retain(|_, (_, until)| now < *until);
        let routers = self.routers.values().map(|(loads, _)| loads.as_slice());
        Sum {
            zone,
            routers: u16::try_from(self.routers.len() + 1).unwrap_or(u16::MAX),
            loads: add(routers.chain([own])),
        }
    }

    /// The sum over all zones, the own one given.
    pub fn total(&mut self, own: &Sum, now: Instant) -> Vec<Load> {
        self.zones
            .retain(|zone, (_, until)| now < *until && *zone != own.zone);
        let zones = self.zones.values().map(|(sum, _)| sum.loads.as_slice());
        add(zones.chain([own.loads.as_slice()]))
    }
}

/// Whether a sum over `routers` leaves out too many, when another is over `known`.
pub fn is_partial(routers: u16, known: u16) -> bool {
    u32::from(routers) * 2 < u32::from(known)
}

/// What others have at each server: a total less the own part.
pub fn without(total: &[Load], own: &[Load]) -> Vec<Load> {
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

/// The most servers that a sum tells of, so that it fits one datagram: each
/// takes up to twelve bytes.
const MOST_SERVERS: usize = 105;

/// Adds up, and keeps the busiest servers if there are many.
///
/// Only the busiest are near their bound. Left out, the others count with what
/// a router has there itself, which makes the mean and so the bound too small.
fn add<'a>(lists: impl Iterator<Item = &'a [Load]>) -> Vec<Load> {
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
    busiest(sums.into_values().collect(), MOST_SERVERS)
}
