//! Load totals of the region's zones, and the mean load per engine.

use std::collections::BTreeMap;

use std::time::Duration;

use units::{cost, revision, time};
use wire::heartbeat;

/// The most zones whose totals are kept; further zones are ignored.
const MAX_ZONES: usize = 64;

/// The latest load total of each zone of the region.
#[derive(Clone, Debug, Default)]
pub(crate) struct ZoneTotals {
    sums: BTreeMap<heartbeat::ZoneTag, Sum>,
}

#[derive(Clone, Copy, Debug)]
struct Sum {
    /// When the root of the zone's load tree computed it, on this router's clock.
    taken_at: time::Instant,
    lowest: revision::Id,
    load: heartbeat::Load,
}

impl ZoneTotals {
    /// Replaces a zone's total if `total` is newer.
    pub(crate) fn update(&mut self, total: &heartbeat::Total, now: time::Instant) {
        let taken_at = now - Duration::from_millis(u64::from(total.age));
        let known = self.sums.get(&total.zone);
        if known.is_some_and(|sum| sum.taken_at >= taken_at) {
            return;
        }
        if known.is_none() && self.sums.len() >= MAX_ZONES {
            return;
        }
        let sum = Sum {
            taken_at,
            lowest: total.lowest,
            load: total.load,
        };
        self.sums.insert(total.zone, sum);
    }

    /// The totals of all zones, with their ages at `now`.
    pub(crate) fn totals(&self, now: time::Instant) -> impl Iterator<Item = heartbeat::Total> {
        self.sums.iter().map(move |(zone, sum)| heartbeat::Total {
            zone: *zone,
            age: u32::try_from(now.since(sum.taken_at).as_millis()).unwrap_or(u32::MAX),
            lowest: sum.lowest,
            load: sum.load,
        })
    }

    /// The sum over all zones except `local`.
    pub(crate) fn sum_except(&self, local: heartbeat::ZoneTag) -> heartbeat::Load {
        let others = self.sums.iter().filter(|(zone, _)| **zone != local);
        others.fold(heartbeat::Load::default(), |sum, (_, zone)| {
            add(sum, zone.load)
        })
    }

    pub(crate) fn expire(&mut self, age: Duration, now: time::Instant) {
        self.sums.retain(|_, sum| now.since(sum.taken_at) <= age);
    }
}

/// The sum of two loads.
pub(crate) fn add(a: heartbeat::Load, b: heartbeat::Load) -> heartbeat::Load {
    heartbeat::Load {
        cost: a.cost + b.cost,
        requests: a.requests.saturating_add(b.requests),
        engines: a.engines.saturating_add(b.engines),
    }
}

/// The mean cost per engine, zero without an engine.
pub(crate) fn mean(load: heartbeat::Load) -> cost::Cost {
    cost::Cost(
        load.cost
            .0
            .checked_div(u64::from(load.engines))
            .unwrap_or(0),
    )
}
