//! Requests in flight by workspace, summed over routers.

use std::{cmp::Reverse, collections::BTreeMap};

use scheduling::Usage;
use units::{host, time::Instant};

use super::sums;

/// The most workspaces in one datagram; each takes up to ten bytes.
const MAX_WORKSPACES: usize = 32;

/// The usages that routers and zones have reported.
#[derive(Clone, Debug, Default)]
pub struct UsageSums {
    routers: BTreeMap<host::Id, (Vec<Usage>, Instant)>,
    zones: BTreeMap<u32, (Vec<Usage>, Instant)>,
}

impl UsageSums {
    /// Records the usages of another router of this zone, or of the whole fleet if it is
    /// small.
    pub fn record_router(&mut self, host: host::Id, usages: Vec<Usage>, now: Instant) {
        self.routers.insert(host, (usages, now + sums::MAX_AGE));
    }

    /// Records the usages of another zone.
    pub fn record_zone(&mut self, zone: u32, usages: Vec<Usage>, now: Instant) {
        self.zones.insert(zone, (usages, now + sums::MAX_AGE));
    }

    /// The sum of other routers' usages that were recorded directly.
    pub fn routers(&mut self, now: Instant) -> Vec<Usage> {
        self.routers.retain(|_, (_, expires_at)| now < *expires_at);
        add(self.routers.values().map(|(usages, _)| usages.as_slice()))
    }

    /// The sum over this zone, including this router's `own` usages.
    pub fn zone_sum(&mut self, own: &[Usage], now: Instant) -> Vec<Usage> {
        let routers = self.routers(now);
        add([routers.as_slice(), own].into_iter())
    }

    /// The sum over all zones, given that of this router's zone.
    pub fn fleet_total(&mut self, own: &[Usage], now: Instant) -> Vec<Usage> {
        self.zones.retain(|_, (_, expires_at)| now < *expires_at);
        let zones = self.zones.values().map(|(usages, _)| usages.as_slice());
        add(zones.chain([own]))
    }
}

/// The usages of all other routers: a total minus the `own` usages.
pub fn subtract(total: &[Usage], own: &[Usage]) -> Vec<Usage> {
    let own: BTreeMap<u32, u32> = own
        .iter()
        .map(|usage| (usage.workspace, usage.running))
        .collect();
    let others = total.iter().map(|usage| Usage {
        workspace: usage.workspace,
        running: usage
            .running
            .saturating_sub(own.get(&usage.workspace).copied().unwrap_or(0)),
    });
    others.filter(|usage| usage.running > 0).collect()
}

/// The largest usages, as many as one datagram holds.
pub fn largest(mut usages: Vec<Usage>) -> Vec<Usage> {
    usages.retain(|usage| usage.running > 0);
    usages.sort_unstable_by_key(|usage| (Reverse(usage.running), usage.workspace));
    usages.truncate(MAX_WORKSPACES);
    usages
}

/// Adds up usages, ordered by workspace.
fn add<'a>(lists: impl Iterator<Item = &'a [Usage]>) -> Vec<Usage> {
    let mut sums: BTreeMap<u32, u32> = BTreeMap::new();
    for usage in lists.flatten() {
        let sum = sums.entry(usage.workspace).or_default();
        *sum = sum.saturating_add(usage.running);
    }
    let sums = sums.into_iter();
    sums.map(|(workspace, running)| Usage { workspace, running })
        .collect()
}
