//! The counts of all routers, as far as reported.

use std::collections::BTreeMap;

use crate::Counts;

/// The reported counts of one roll-out.
///
/// Each report replaces the previous one of the same sender, unless it covers less. Reports
/// may therefore be repeated and reordered, and the counts of a router that has ended
/// remain.
#[derive(Clone, Debug, Default)]
pub struct Reports {
    own: Counts,
    routers: BTreeMap<u32, Counts>,
    zones: BTreeMap<u32, (u16, Counts)>,
}

impl Reports {
    /// Sets this router's own counts, which are empty again once the roll-out has ended.
    pub fn set_own(&mut self, counts: Counts) {
        if counts.records() > self.own.records() {
            self.own = counts;
        }
    }

    /// This router's own counts.
    pub const fn own(&self) -> &Counts {
        &self.own
    }

    /// Records the counts of another router of this zone. Returns whether they are new.
    pub fn record_router(&mut self, reporter: u32, counts: Counts) -> bool {
        let known = self.routers.get(&reporter).map_or(0, Counts::records);
        if counts.records() <= known {
            return false;
        }
        self.routers.insert(reporter, counts);
        true
    }

    /// Records the sum of another zone. Returns whether it is new.
    pub fn record_zone(&mut self, zone: u32, reporters: u16, counts: Counts) -> bool {
        let known = self.zones.get(&zone);
        if counts.records() <= known.map_or(0, |(_, counts)| counts.records()) {
            return false;
        }
        self.zones.insert(zone, (reporters, counts));
        true
    }

    /// The sum over the routers of this zone, and the number of reports that it covers.
    pub fn zone_sum(&self) -> (u16, Counts) {
        let mut sum = self.own.clone();
        for counts in self.routers.values() {
            sum.add(counts);
        }
        let reporters = u16::try_from(self.routers.len() + 1).unwrap_or(u16::MAX);
        (reporters, sum)
    }

    /// The sum over all zones, and the number of reports that it covers.
    pub fn total(&self) -> (u16, Counts) {
        let (mut reporters, mut sum) = self.zone_sum();
        for (count, counts) in self.zones.values() {
            reporters = reporters.saturating_add(*count);
            sum.add(counts);
        }
        (reporters, sum)
    }
}
