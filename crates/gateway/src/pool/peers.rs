//! Server state reported by peers.

use units::{backend, time::Instant};

use super::Pool;
use crate::{outlier::OutcomeCounts, prefixes::CachedPrefix};

impl Pool {
    /// Sets the load and the recent outcomes that peers report for each server. Servers
    /// are identified by the hashes of their names.
    pub fn set_peer_state(&mut self, sums: impl Fn(u32) -> (u32, OutcomeCounts)) {
        for server in self.servers.values_mut() {
            let (running, outcomes) = sums(server.hash());
            server.set_peer_load(running);
            server.set_peer_outcomes(outcomes);
        }
    }

    /// Adds prefixes that servers have cached for requests of peers.
    pub fn add_peer_prefixes(&mut self, prefixes: &[CachedPrefix], now: Instant) {
        for server in self.servers.values_mut() {
            let hash = server.hash();
            for prefix in prefixes.iter().filter(|prefix| prefix.server == hash) {
                server.record_peer_prefix(*prefix, now);
            }
        }
    }

    /// Sets the recent outcomes of peers' requests at each server.
    pub fn set_peer_outcomes(&mut self, outcomes: impl Fn(&backend::Server) -> OutcomeCounts) {
        for server in self.servers.values_mut() {
            let outcomes = outcomes(server.name());
            server.set_peer_outcomes(outcomes);
        }
    }

    /// Ejects servers that are outliers by the outcomes of all routers. Returns the
    /// newly ejected servers.
    ///
    /// In a large fleet, each router sends too few requests to a server to detect its
    /// failures alone, and a server may fail every request while it passes its health
    /// checks.
    pub fn detect_outliers(&mut self, now: Instant) -> Vec<(backend::Server, OutcomeCounts)> {
        let all = || {
            let servers = self.servers.values();
            servers.map(|server| (server, server.total_outcomes(now)))
        };
        let total = all().fold(OutcomeCounts::default(), |sum, (_, outcomes)| {
            sum + outcomes
        });
        if total.failed == 0 {
            return Vec::new();
        }
        let failing: Vec<_> = all()
            .filter(|(_, outcomes)| outcomes.is_outlier(total.saturating_sub(*outcomes)))
            .filter(|(server, _)| !self.ejection.is_failing(server.name(), now))
            .map(|(server, outcomes)| (server.name().clone(), outcomes))
            .collect();
        for (name, _) in &failing {
            self.ejection.eject(name, now);
        }
        failing
    }

    /// Sets the number of requests that peers have in flight at each server.
    pub fn set_peer_load(&mut self, loads: impl Fn(&backend::Server) -> u32) {
        for server in self.servers.values_mut() {
            let load = loads(server.name());
            server.set_peer_load(load);
        }
    }
}
