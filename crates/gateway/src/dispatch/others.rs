//! What other routers have in flight, and what they are told.

use std::collections::HashMap;

use units::{host, time::Instant};

use super::{Dispatch, Load};
use crate::{evidence::Ends, load, pool::Standing, reads::Read};

impl Dispatch {
    /// Another router told what it has in flight.
    ///
    /// In a large fleet sums count in place of it, and most routers tell nothing
    /// here. Adding up over thousands of servers for each of forty datagrams a
    /// second would take more of the processor than the requests do.
    pub(super) fn hear_peer(&mut self, host: host::Id, loads: Vec<load::Load>, now: Instant) {
        let is_news = !loads.is_empty() || self.peers.get(&host).is_some_and(|old| !old.is_empty());
        self.peers.insert(host, loads);
        if now < self.others_until {
            return;
        }
        // Those that add up fell silent: what they told last must not stay.
        let has_expired = !self.others.is_empty();
        self.others.clear();
        if is_news || has_expired {
            self.sum_peers();
        }
    }

    /// Adds up what others told, and judges the servers by it.
    pub(super) fn sum_peers(&mut self) {
        let now = self.clock.now();
        let mut sums: HashMap<u32, (u32, Ends)> = HashMap::new();
        let is_current = now < self.others_until;
        let single = self.peers.values().flatten().filter(|_| !is_current);
        let added = self.others.iter().filter(|_| is_current);
        for load in single.chain(added) {
            let (running, ends) = sums.entry(load.server).or_default();
            *running += u32::from(load.running);
            *ends = *ends + load.ends;
        }
        for (name, line) in &mut self.lines {
            let pool = line.pool_mut();
            pool.hear(|hash| sums.get(&hash).copied().unwrap_or_default());
            for (server, ends) in pool.judge(now) {
                self.metrics.stands(Standing::Ejected);
                logging::event!(
                    info,
                    "server_judged",
                    server = server,
                    pool = name,
                    standing = Standing::Ejected,
                    failed_sixteenths = ends.failed,
                    completed_sixteenths = ends.completed
                );
            }
        }
        self.serve_all();
    }

    /// Other routers saw servers read prompts.
    pub(super) fn hear_reads(&mut self, reads: &[Read], now: Instant) {
        logging::event!(debug, "reads_heard", count = reads.len());
        for line in self.lines.values_mut() {
            line.pool_mut().hear_reads(reads, now);
        }
    }

    /// What this router has in flight, for others.
    pub(super) fn loads(&self) -> Vec<Load> {
        let now = self.clock.now();
        let servers = self.lines.values().flat_map(|line| line.pool().servers());
        let loads = servers.map(|server| Load {
            server: server.name().clone(),
            running: server.running(),
            ends: server.ends(now),
        });
        loads
            .filter(|load| load.running > 0 || !load.ends.is_empty())
            .collect()
    }
}
