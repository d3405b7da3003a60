//! What finding out about the paths to servers needs of a pool.

use std::{cmp::Reverse, collections::BTreeMap, time::Duration};

use units::{availability, backend, time::Instant};

use xxhash_rust::xxh3;

use super::{Pool, Server};
use crate::dial;

/// How long after a response a server is expected to accept connections.
const RESPONSIVE_FOR: Duration = Duration::from_secs(1);

impl Pool {
    /// The timeout for connecting to `server`.
    pub fn connect_timeout(&self, server: &Server) -> Duration {
        self.zone_tracker.connect_timeout(server.zone())
    }

    /// Forgets which servers and zones could not be connected to. The reason was that this
    /// router had lost its paths.
    pub fn forget_connect_failures(&mut self) {
        self.zone_tracker.forget_failures();
        for server in self.servers.values_mut() {
            server.forget_connect_failures();
        }
    }

    /// Servers other than `name` that connections are not known to fail to, to compare it with.
    ///
    /// Those that have responded a moment ago come first. The rest differs for each `name`, since
    /// the same few would mislead all routers about all servers while they are down.
    pub fn controls(&self, name: &backend::Server, now: Instant) -> dial::Controls {
        let others = self.servers.values();
        let others = others.filter(|server| server.name() != name && server.is_reachable(now));
        let mut others: Vec<&Server> = others.collect();
        let seed = xxh3::xxh3_64(name.as_str().as_bytes());
        others.sort_by_cached_key(|server| {
            let is_responsive = now.since(server.responded_at()) < RESPONSIVE_FOR;
            let bytes = server.name().as_str().as_bytes();
            (Reverse(is_responsive), xxh3::xxh3_64_with_seed(bytes, seed))
        });
        let addresses = others.into_iter().map(Server::address);
        addresses.take(dial::MAX_CONTROLS).collect()
    }

    /// One server of each zone, another one with each `round`, and one of `failed` only where
    /// there is no other.
    pub fn one_per_zone(&self, round: usize, failed: &[backend::Server]) -> Vec<&Server> {
        let mut zones: BTreeMap<&availability::Zone, Vec<&Server>> = BTreeMap::new();
        for server in self.servers.values() {
            zones.entry(server.zone()).or_default().push(server);
        }
        for servers in zones.values_mut() {
            if servers.iter().any(|server| !failed.contains(server.name())) {
                servers.retain(|server| !failed.contains(server.name()));
            }
        }
        let zones = zones.into_values();
        zones
            .map(|servers| servers[round % servers.len()])
            .collect()
    }
}
