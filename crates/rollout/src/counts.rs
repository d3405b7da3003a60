//! Counts of outcomes, by route and version.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

/// A route, by the hash of its name.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Route(pub u16);

impl Route {
    /// Stands for all routes beyond the first [`MAX_ROUTES`].
    pub const OTHER: Self = Self(0);

    /// The route with this name.
    pub fn named(name: &str) -> Self {
        Self((xxh3::xxh3_64(name.as_bytes()) >> 48) as u16)
    }
}

/// The maximum number of routes that are counted separately, so that the counts fit one
/// datagram.
pub const MAX_ROUTES: usize = 12;

/// The version that processed a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Arm {
    /// The version in service.
    Baseline,
    /// The version of the order.
    Candidate,
}

impl Arm {
    /// The name used in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Baseline => "baseline",
            Self::Candidate => "candidate",
        }
    }
}

/// The number of classes of response times.
pub const TIME_CLASSES: usize = 6;
/// The upper limit of the first class, as a divisor of the expected time. Each further
/// class ends at twice the limit of the one before.
const FIRST_CLASS_DIVISOR: u32 = 4;
/// The first class of times that are longer than expected.
const FIRST_SLOW_CLASS: usize = 3;

/// The class of a response time. Class `n` ends at `2^n / 4` of the expected time.
fn time_class(time: Duration, expected: Duration) -> usize {
    let mut limit = expected / FIRST_CLASS_DIVISOR;
    let mut class = 0;
    while time >= limit && class + 1 < TIME_CLASSES {
        limit *= 2;
        class += 1;
    }
    class
}

/// The outcomes of one route at the servers of one version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Responses that began and were no failures.
    ///
    /// They are counted when they begin: a failure is known at once, a complete response
    /// only after its last byte, and the counts of a growing load would hold too many
    /// failures.
    pub begun: u32,
    /// Responses of [`Tally::begun`] that ended before they were complete.
    pub unfinished: u32,
    /// Failures and broken responses.
    pub failed: u32,
    /// Responses by the class of their time to first byte.
    pub times: [u32; TIME_CLASSES],
}

impl Tally {
    /// The number of responses that are complete or have not ended.
    pub const fn succeeded(&self) -> u32 {
        self.begun.saturating_sub(self.unfinished)
    }

    /// The number of outcomes.
    pub const fn outcomes(&self) -> u32 {
        self.succeeded().saturating_add(self.failed)
    }

    /// The number of records behind the counts.
    fn records(&self) -> u64 {
        let ends = u64::from(self.unfinished) + u64::from(self.failed);
        u64::from(self.begun) + ends + u64::from(self.timed())
    }

    /// The number of measured times.
    pub fn timed(&self) -> u32 {
        self.times.iter().sum()
    }

    /// The number of measured times in `class` or a slower one.
    pub fn slower(&self, class: usize) -> u32 {
        self.times[class.min(TIME_CLASSES)..].iter().sum()
    }

    fn add(&mut self, other: &Self) {
        self.begun = self.begun.saturating_add(other.begun);
        self.unfinished = self.unfinished.saturating_add(other.unfinished);
        self.failed = self.failed.saturating_add(other.failed);
        add_all(&mut self.times, &other.times);
    }
}

/// The number of groups into which servers are divided by a hash of their names.
pub const GROUPS: usize = 8;

/// The servers of the new version behind the outcomes of a route, by group.
///
/// A faulty version fails on all its servers. A single faulty server fails alone, which
/// says nothing about the version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spread {
    /// The groups whose servers responded or failed a request, as a bit set.
    pub seen: u8,
    /// Failures.
    pub failed: [u32; GROUPS],
    /// Responses that took longer than expected.
    pub slow: [u32; GROUPS],
}

impl Spread {
    fn add(&mut self, other: &Self) {
        self.seen |= other.seen;
        add_all(&mut self.failed, &other.failed);
        add_all(&mut self.slow, &other.slow);
    }
}

fn add_all(sums: &mut [u32], counts: &[u32]) {
    for (sum, count) in sums.iter_mut().zip(counts) {
        *sum = sum.saturating_add(*count);
    }
}

/// The outcomes of one route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteCounts {
    /// At the version in service.
    pub baseline: Tally,
    /// At the new version.
    pub candidate: Tally,
    /// The servers of the new version.
    pub spread: Spread,
}

impl RouteCounts {
    fn tally_mut(&mut self, arm: Arm) -> &mut Tally {
        match arm {
            Arm::Baseline => &mut self.baseline,
            Arm::Candidate => &mut self.candidate,
        }
    }

    /// Adds other counts.
    pub fn add(&mut self, other: &Self) {
        self.baseline.add(&other.baseline);
        self.candidate.add(&other.candidate);
        self.spread.add(&other.spread);
    }
}

/// The outcomes of a service since a roll-out began, by route.
///
/// The counts of one router only grow, so of two reports the one with more outcomes is the
/// later one, in whatever order they arrive.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    routes: BTreeMap<Route, RouteCounts>,
}

/// The group of a server in [`Spread`].
const fn group(server: u64) -> usize {
    (server % GROUPS as u64) as usize
}

impl Counts {
    /// Records a failure. `server` is a hash of the server's name.
    pub fn record_failure(&mut self, route: Route, arm: Arm, server: u64) {
        let counts = self.route_mut(route);
        let tally = counts.tally_mut(arm);
        tally.failed = tally.failed.saturating_add(1);
        if arm == Arm::Candidate {
            let group = group(server);
            counts.spread.seen |= 1 << group;
            counts.spread.failed[group] = counts.spread.failed[group].saturating_add(1);
        }
    }

    /// Records a response that has begun.
    pub fn record_success(&mut self, route: Route, arm: Arm, server: u64) {
        let counts = self.route_mut(route);
        let tally = counts.tally_mut(arm);
        tally.begun = tally.begun.saturating_add(1);
        if arm == Arm::Candidate {
            counts.spread.seen |= 1 << group(server);
        }
    }

    /// Records the end of a response that has begun and is not complete.
    pub fn record_unfinished(&mut self, route: Route, arm: Arm) {
        let tally = self.route_mut(route).tally_mut(arm);
        tally.unfinished = tally.unfinished.saturating_add(1);
    }

    /// Records a time to first byte, and the time that is expected at a sound server.
    pub fn record_time(
        &mut self,
        route: Route,
        arm: Arm,
        server: u64,
        time: Duration,
        expected: Duration,
    ) {
        let class = time_class(time, expected);
        let counts = self.route_mut(route);
        let count = &mut counts.tally_mut(arm).times[class];
        *count = count.saturating_add(1);
        if arm == Arm::Candidate && class >= FIRST_SLOW_CLASS {
            let slow = &mut counts.spread.slow[group(server)];
            *slow = slow.saturating_add(1);
        }
    }

    /// Adds other counts. Routes beyond [`MAX_ROUTES`] are added up as [`Route::OTHER`].
    pub fn add(&mut self, other: &Self) {
        for (route, counts) in &other.routes {
            self.route_mut(*route).add(counts);
        }
    }

    fn route_mut(&mut self, route: Route) -> &mut RouteCounts {
        let is_counted = self.routes.contains_key(&route) || self.routes.len() < MAX_ROUTES;
        let route = if is_counted { route } else { Route::OTHER };
        self.routes.entry(route).or_default()
    }

    /// The counts of each route.
    pub fn routes(&self) -> impl Iterator<Item = (Route, &RouteCounts)> {
        self.routes.iter().map(|(route, counts)| (*route, counts))
    }

    /// The counts of all routes together.
    pub fn total(&self) -> RouteCounts {
        let mut total = RouteCounts::default();
        for counts in self.routes.values() {
            total.add(counts);
        }
        total
    }

    /// The number of outcomes and measured times, which grows with each record.
    pub fn records(&self) -> u64 {
        let total = self.total();
        [total.baseline, total.candidate]
            .iter()
            .map(Tally::records)
            .sum()
    }

    /// The number of failed and slow responses of the new version.
    pub fn suspicious(&self) -> u32 {
        let candidate = self.total().candidate;
        candidate.failed + candidate.slower(FIRST_SLOW_CLASS)
    }

    /// Whether nothing has been recorded.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }
}
