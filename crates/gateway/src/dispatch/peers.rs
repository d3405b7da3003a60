//! What other routers have in flight, and what they are told.

use std::collections::HashMap;

use units::{host, time::Instant};

use super::{Dispatch, Load};
use crate::{load, outlier::OutcomeCounts, pool::Standing, prefixes::CachedPrefix};

impl Dispatch {
    /// Another router told what it has in flight.
    ///
    /// In a large fleet sums count in place of it, and most routers tell nothing
    /// here. Adding up over thousands of servers for each of forty datagrams a
    /// second would take more of the processor than the requests do.
    pub(super) fn set_peer_loads(&mut self, host: host::Id, loads: Vec<load::Load>, now: Instant) {
        let has_changed = !loads.is_empty()
            || self
                .peer_loads
                .get(&host)
                .is_some_and(|old| !old.is_empty());
        self.peer_loads.insert(host, loads);
        if now < self.aggregate_until {
            return;
        }
        // Those that add up fell silent: what they told last must not stay.
        let has_expired = !self.aggregate.is_empty();
        self.aggregate.clear();
        if has_changed || has_expired {
            self.sum_peers();
        }
    }

    /// Adds up what others told, and judges the servers by it.
    pub(super) fn sum_peers(&mut self) {
        let now = self.clock.now();
        let mut sums: HashMap<u32, (u32, OutcomeCounts)> = HashMap::new();
        let is_current = now < self.aggregate_until;
        let individual = self.peer_loads.values().flatten().filter(|_| !is_current);
        let aggregated = self.aggregate.iter().filter(|_| is_current);
        for load in individual.chain(aggregated) {
            let (running, outcomes) = sums.entry(load.server).or_default();
            *running += u32::from(load.running);
            *outcomes = *outcomes + load.outcomes;
        }
        for (name, queue) in &mut self.queues {
            let pool = queue.pool_mut();
            pool.set_peer_state(|hash| sums.get(&hash).copied().unwrap_or_default());
            for (server, outcomes) in pool.detect_outliers(now) {
                self.metrics.stands(Standing::Ejected);
                logging::event!(
                    info,
                    "server_judged",
                    server = server,
                    pool = name,
                    standing = Standing::Ejected,
                    failed_sixteenths = outcomes.failed,
                    completed_sixteenths = outcomes.completed
                );
            }
        }
        self.dequeue_all();
    }

    /// Other routers saw servers read prompts.
    pub(super) fn add_peer_prefixes(&mut self, prefixes: &[CachedPrefix], now: Instant) {
        logging::event!(debug, "reads_heard", count = prefixes.len());
        for queue in self.queues.values_mut() {
            queue.pool_mut().add_peer_prefixes(prefixes, now);
        }
    }

    /// What this router has in flight, for others.
    pub(super) fn loads(&self) -> Vec<Load> {
        let now = self.clock.now();
        let servers = self
            .queues
            .values()
            .flat_map(|queue| queue.pool().servers());
        let loads = servers.map(|server| Load {
            server: server.name().clone(),
            running: server.running(),
            outcomes: server.outcomes(now),
        });
        loads
            .filter(|load| load.running > 0 || !load.outcomes.is_empty())
            .collect()
    }
}
