//! Selection of the requests that a router sends to the new version.

use std::collections::BTreeMap;

use xxhash_rust::xxh3;

use crate::counts::Route;

/// The credit is kept within this range, so that a route whose selected requests could not
/// be placed for a while does not send a series of requests later.
const MAX_CREDIT: f64 = 2.0;

/// Selects a share of a router's requests, route by route.
///
/// The share is taken of the requests that were admitted to a server, since only these
/// count for the exposure of the new version. It holds at each router by itself, so it
/// holds over any set of routers, whichever of them start, stop or lose contact.
#[derive(Clone, Debug)]
pub struct Selector {
    seed: u64,
    credits: BTreeMap<Route, f64>,
}

impl Selector {
    /// Creates a selector. Routers need different seeds, otherwise all of them select
    /// their first requests at the same time.
    pub const fn new(seed: u64) -> Self {
        Self {
            seed,
            credits: BTreeMap::new(),
        }
    }

    /// Whether the next request of `route` is selected, for a `share` of its requests.
    pub fn is_next(&self, route: Route, share: f64) -> bool {
        let credit = self.credits.get(&route).copied();
        credit.unwrap_or_else(|| self.initial_credit(route)) + share >= 1.0
    }

    /// Records that a request of `route` was admitted to a server.
    pub fn record(&mut self, route: Route, share: f64, is_selected: bool) {
        let initial = self.initial_credit(route);
        let credit = self.credits.entry(route).or_insert(initial);
        let spent = if is_selected { 1.0 } else { 0.0 };
        *credit = (*credit + share - spent).clamp(-MAX_CREDIT, MAX_CREDIT);
    }

    /// A fraction between zero and one that differs by router and route.
    ///
    /// With it, routers that each receive a few requests send as many to the new version
    /// together as the share allows, and not none or one each.
    fn initial_credit(&self, route: Route) -> f64 {
        let hash = xxh3::xxh3_64_with_seed(&route.0.to_le_bytes(), self.seed);
        (hash >> 11) as f64 / (1_u64 << 53) as f64
    }
}
