//! What routers tell each other.

use std::{collections::BTreeMap, time::Duration};

use gateway::queue::Queue;
use scheduling::Usage;
use units::backend;

use super::{EXCHANGE_DELAY_MS, EXCHANGE_MS, Event, SLOTS, SUM_TTL_MS, Sums, World, ZONES};
use crate::urgency_fleet::scenario::Exchange;

impl World {
    pub(super) fn exchange(&mut self) {
        let round = self.now_ms();
        if self.scenario.counted_ms.contains(&round) {
            for call in &self.calls {
                if call.is_running {
                    self.report.running[call.class] += 1;
                }
            }
            self.report.slots += (SLOTS * self.engines.len()) as u64;
        }
        let sums = Sums {
            loads: self.own.clone(),
            usages: self.routers.iter().map(Queue::usages).collect(),
            sent_ms: round,
        };
        self.sums.insert(round, sums);
        for router in 0..self.routers.len() {
            // The rounds of routers are not aligned.
            let offset = (router as u64 * 37) % EXCHANGE_MS;
            let at = self.now + Duration::from_millis(EXCHANGE_DELAY_MS + offset);
            self.push(at, Event::Receive(router));
        }
        if round < self.scenario.duration_ms {
            let next = self.now + Duration::from_millis(EXCHANGE_MS);
            self.push(next, Event::Exchange);
        }
        self.sums.retain(|sent, _| sent + 2_000 > round);
    }

    /// Whether `router` hears what `other` sent.
    pub(super) fn hears(&self, router: usize, other: usize, sent_ms: u64) -> bool {
        let is_apart = |router: usize| router.is_multiple_of(ZONES);
        match &self.scenario.exchange {
            Exchange::Whole => true,
            Exchange::Silent => false,
            Exchange::OneWay(time) => {
                !time.contains(&sent_ms) || !is_apart(router) || is_apart(other)
            }
            Exchange::Partition(time) => {
                !time.contains(&sent_ms) || is_apart(router) == is_apart(other)
            }
        }
    }

    pub(super) fn receive(&mut self, router: usize) {
        if self.is_dead[router] {
            return;
        }
        let now_ms = self.now_ms();
        let latest = now_ms - EXCHANGE_DELAY_MS;
        let Some((_, sums)) = self.sums.range(..=latest).next_back() else {
            return;
        };
        let heard: Vec<usize> = (0..self.routers.len())
            .filter(|&other| other != router && !self.is_dead[other])
            .filter(|&other| self.hears(router, other, sums.sent_ms))
            .collect();
        if heard.is_empty() && now_ms < self.heard_ms[router] + SUM_TTL_MS {
            return;
        }
        if !heard.is_empty() {
            self.heard_ms[router] = now_ms;
        }
        let mut loads = vec![0; self.engines.len()];
        let mut usages: BTreeMap<u32, u32> = BTreeMap::new();
        for &other in &heard {
            for (sum, load) in loads.iter_mut().zip(&sums.loads[other]) {
                *sum += load;
            }
            for usage in &sums.usages[other] {
                *usages.entry(usage.workspace).or_default() += usage.running;
            }
        }
        let names = self.names.clone();
        let queue = &mut self.routers[router];
        let load = |name: &backend::Server| {
            let engine = names.iter().position(|other| other == name);
            engine.map_or(0, |engine| loads[engine])
        };
        queue.pool_mut().set_peer_load(load);
        if !heard.is_empty() {
            let usages = usages
                .into_iter()
                .map(|(workspace, running)| Usage { workspace, running });
            queue.set_peer_usages(usages, self.now);
        }
        self.dequeue(router);
    }
}
