//! Server state reported by peers.

use units::{backend, time::Instant};

use super::Pool;
use crate::{
    load::growth::{Estimator, Known},
    outlier::OutcomeCounts,
    prefixes::CachedPrefix,
};

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

    /// Whether requests that peers have placed since their last report are estimated.
    ///
    /// Only where callers compete for slots, the same free slot is otherwise promised by
    /// several routers.
    pub fn estimates_peers(&self) -> bool {
        self.bounds.is_contended
    }

    /// The load that peers report for each server, with its slots.
    pub fn peer_loads(&self) -> impl Iterator<Item = Known> {
        self.servers.values().map(|server| Known {
            server: server.hash(),
            running: server.peer_load(),
            slots: server.slots(),
        })
    }

    /// Sets the load that peers reported for each server, plus the estimate of what they have
    /// placed since.
    pub fn apply_estimates(&mut self, estimator: &Estimator, now: Instant) {
        for server in self.servers.values_mut() {
            let hash = server.hash();
            server.set_peer_load(estimator.known(hash) + estimator.estimate(hash, now));
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
