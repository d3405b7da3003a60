//! The loads of other routers, and the state sent to them.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use units::{host, time::Instant};

use super::{Dispatch, Load};
use crate::{
    load::{self, buckets},
    outlier::OutcomeCounts,
    pool::Standing,
    prefixes::CachedPrefix,
};

/// The mean age of the loads in a total when it arrives: half a round at the routers, at the
/// aggregators of their zones and at those of this one.
const SUM_AGE: Duration = Duration::from_millis(200);
/// The mean age of the loads in the digests of all peers: half a round.
const DIGEST_AGE: Duration = Duration::from_millis(100);
/// The interval in which estimates are renewed. At the rate of a burst, some requests are
/// placed within it.
const ESTIMATE_INTERVAL: Duration = Duration::from_millis(50);

impl Dispatch {
    /// Stores the loads reported by another router.
    ///
    /// In a large fleet, aggregated loads replace them, and most routers report none
    /// here. Summing up thousands of servers for each of forty datagrams per second
    /// would cost more CPU time than the requests themselves.
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
        // The aggregators have stopped sending; their last sums must not stay in
        // effect.
        let has_expired = !self.aggregate.is_empty();
        self.aggregate.clear();
        if has_changed || has_expired {
            self.sum_peers();
        }
    }

    /// Sums up the loads of other routers and runs outlier detection on the result.
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
        let unnamed = self.unnamed_shares(&sums, is_current);
        for (name, queue) in &mut self.queues {
            let pool = queue.pool_mut();
            pool.set_peer_state(|hash| {
                let (running, outcomes) = sums.get(&hash).copied().unwrap_or_default();
                let share = unnamed.get(&buckets::of(hash)).copied().unwrap_or(0);
                (if running > 0 { running } else { share }, outcomes)
            });
            if pool.estimates_peers() {
                let estimator = self.estimators.entry(name.clone()).or_default();
                let age = if is_current { SUM_AGE } else { DIGEST_AGE };
                estimator.record(pool.peer_loads(), age, now);
                pool.apply_estimates(estimator, now);
                if estimator.is_growing() {
                    let (known, placed) = estimator.totals(now);
                    logging::event!(
                        debug,
                        "peers_estimated",
                        pool = name,
                        known = known,
                        placed = placed,
                        age_ms = estimator.age(now).as_millis()
                    );
                }
            }
            for (server, outcomes) in pool.detect_outliers(now) {
                self.metrics.standing_changed(Standing::Ejected);
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

    /// Counts what others are estimated to have placed since their last sum.
    pub(super) fn update_estimates(&mut self, now: Instant) {
        if now < self.estimate_at {
            return;
        }
        self.estimate_at = now + ESTIMATE_INTERVAL;
        for (name, estimator) in &mut self.estimators {
            let Some(queue) = self.queues.get_mut(name) else {
                continue;
            };
            if queue.pool().estimates_peers() && estimator.is_growing() {
                queue.pool_mut().apply_estimates(estimator, now);
            }
        }
    }

    /// The requests at each server that `sums` does not name, by range of its hash.
    fn unnamed_shares(
        &self,
        sums: &HashMap<u32, (u32, OutcomeCounts)>,
        is_current: bool,
    ) -> BTreeMap<u16, u32> {
        if !is_current || self.aggregate_buckets.is_empty() {
            return BTreeMap::new();
        }
        let servers = self
            .queues
            .values()
            .flat_map(|queue| queue.pool().servers());
        let hashes = servers.map(|server| server.hash());
        let unnamed = hashes.filter(|hash| sums.get(hash).is_none_or(|(running, _)| *running == 0));
        self.aggregate_buckets.shares(unnamed)
    }

    /// Adds prefixes that servers have cached for requests of other routers.
    pub(super) fn add_peer_prefixes(&mut self, prefixes: &[CachedPrefix], now: Instant) {
        logging::event!(debug, "reads_heard", count = prefixes.len());
        for queue in self.queues.values_mut() {
            queue.pool_mut().add_peer_prefixes(prefixes, now);
        }
    }

    /// The loads that this router reports to others.
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
