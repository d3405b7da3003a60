//! What finding out about the paths to servers needs of a pool.

use std::{collections::BTreeMap, time::Duration};

use units::{availability, backend, time::Instant};

use super::{Pool, Server};

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

    /// A server other than `name` that connections are not known to fail to.
    pub fn another(&self, name: &backend::Server, now: Instant) -> Option<&Server> {
        let mut servers = self.servers.values();
        servers.find(|server| server.name() != name && server.is_reachable(now))
    }

    /// One server of each zone, another one with each `round`.
    pub fn one_per_zone(&self, round: usize) -> Vec<&Server> {
        let mut zones: BTreeMap<&availability::Zone, Vec<&Server>> = BTreeMap::new();
        for server in self.servers.values() {
            zones.entry(server.zone()).or_default().push(server);
        }
        let zones = zones.into_values();
        zones
            .map(|servers| servers[round % servers.len()])
            .collect()
    }
}
