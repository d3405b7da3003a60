//! What other routers told of the servers.

use units::{backend, time::Instant};

use super::Pool;
use crate::{outlier::OutcomeCounts, prefixes::CachedPrefix};

impl Pool {
    /// Sets what other routers have at each server, and how requests of theirs
    /// lately ended there. Servers are named by their hashes.
    pub fn set_peer_state(&mut self, sums: impl Fn(u32) -> (u32, OutcomeCounts)) {
        for server in self.servers.values_mut() {
            let (running, outcomes) = sums(server.hash());
            server.set_peer_load(running);
            server.set_peer_outcomes(outcomes);
        }
    }

    /// Takes in prompts that servers have read for other routers.
    pub fn add_peer_prefixes(&mut self, prefixes: &[CachedPrefix], now: Instant) {
        for server in self.servers.values_mut() {
            let hash = server.hash();
            for prefix in prefixes.iter().filter(|prefix| prefix.server == hash) {
                server.record_peer_prefix(*prefix, now);
            }
        }
    }

    /// Sets how requests of other routers lately ended at each server.
    pub fn set_peer_outcomes(&mut self, outcomes: impl Fn(&backend::Server) -> OutcomeCounts) {
        for server in self.servers.values_mut() {
            let outcomes = outcomes(server.name());
            server.set_peer_outcomes(outcomes);
        }
    }

    /// Leaves servers alone that fail by what all routers saw. Returns those
    /// that are left alone from now on.
    ///
    /// Of many routers each meets a server too seldom to see by itself that it
    /// fails, and a server may fail every request and say that it is well.
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

    /// Sets how many requests other routers have at each server.
    pub fn set_peer_load(&mut self, loads: impl Fn(&backend::Server) -> u32) {
        for server in self.servers.values_mut() {
            let load = loads(server.name());
            server.set_peer_load(load);
        }
    }
}
