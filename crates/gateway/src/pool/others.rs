//! What other routers told of the servers.

use units::{backend, time::Instant};

use super::Pool;
use crate::{evidence::Ends, reads::Read};

impl Pool {
    /// Sets what other routers have at each server, and how requests of theirs
    /// lately ended there. Servers are named by their hashes.
    pub fn hear(&mut self, sums: impl Fn(u32) -> (u32, Ends)) {
        for server in self.servers.values_mut() {
            let (running, ends) = sums(server.hash());
            server.set_elsewhere(running);
            server.set_ends_elsewhere(ends);
        }
    }

    /// Takes in prompts that servers have read for other routers.
    pub fn hear_reads(&mut self, reads: &[Read], now: Instant) {
        for server in self.servers.values_mut() {
            let hash = server.hash();
            for read in reads.iter().filter(|read| read.server == hash) {
                server.heard(*read, now);
            }
        }
    }

    /// Sets how requests of other routers lately ended at each server.
    pub fn set_ends_elsewhere(&mut self, ends: impl Fn(&backend::Server) -> Ends) {
        for server in self.servers.values_mut() {
            let ends = ends(server.name());
            server.set_ends_elsewhere(ends);
        }
    }

    /// Leaves servers alone that fail by what all routers saw. Returns those
    /// that are left alone from now on.
    ///
    /// Of many routers each meets a server too seldom to see by itself that it
    /// fails, and a server may fail every request and say that it is well.
    pub fn judge(&mut self, now: Instant) -> Vec<(backend::Server, Ends)> {
        let all = || {
            let servers = self.servers.values();
            servers.map(|server| (server, server.all_ends(now)))
        };
        let total = all().fold(Ends::default(), |sum, (_, ends)| sum + ends);
        if total.failed == 0 {
            return Vec::new();
        }
        let failing: Vec<_> = all()
            .filter(|(_, ends)| ends.show_failing(total.without(*ends)))
            .filter(|(server, _)| !self.ejection.is_failing(server.name(), now))
            .map(|(server, ends)| (server.name().clone(), ends))
            .collect();
        for (name, _) in &failing {
            self.ejection.eject(name, now);
        }
        failing
    }

    /// Sets how many requests other routers have at each server.
    pub fn set_elsewhere(&mut self, loads: impl Fn(&backend::Server) -> u32) {
        for server in self.servers.values_mut() {
            let load = loads(server.name());
            server.set_elsewhere(load);
        }
    }
}
