//! The queue of membership updates to gossip.

use std::collections::BTreeMap;

use smallvec::SmallVec;
use units::host;

/// The most updates in the queue; when it is full, the one sent most often is evicted.
const MAX_QUEUED: usize = 256;
/// The number of pushes that carry an update; later transmissions are piggybacked on
/// periodic heartbeats.
const PUSH_ROUNDS: usize = 2;

/// The members whose state changed recently, each with the transmissions of its update.
#[derive(Clone, Debug, Default)]
pub(crate) struct UpdateQueue {
    transmissions: BTreeMap<host::Id, usize>,
}

impl UpdateQueue {
    /// Queues the update about `host`, with no transmissions yet.
    pub(crate) fn enqueue(&mut self, host: &host::Id) {
        if self.transmissions.len() >= MAX_QUEUED && !self.transmissions.contains_key(host) {
            self.evict_most_sent();
        }
        self.transmissions.insert(host.clone(), 0);
    }

    /// Whether an update was not yet sent in enough pushes to `fanout` routers each.
    pub(crate) fn needs_push(&self, fanout: usize) -> bool {
        self.transmissions
            .values()
            .any(|sent| *sent < PUSH_ROUNDS * fanout)
    }

    /// Takes the hosts of up to `count` updates to send in a fleet of `size` routers, those
    /// sent least often first.
    pub(crate) fn take(&mut self, count: usize, size: usize) -> SmallVec<[host::Id; 4]> {
        let mut order: Vec<(&host::Id, &mut usize)> = self.transmissions.iter_mut().collect();
        order.sort_by_key(|(_, sent)| **sent);
        let hosts: SmallVec<[host::Id; 4]> = order
            .into_iter()
            .take(count)
            .map(|(host, sent)| {
                *sent += 1;
                host.clone()
            })
            .collect();
        self.transmissions
            .retain(|_, sent| *sent < max_transmissions(size));
        hosts
    }

    fn evict_most_sent(&mut self) {
        let most = self.transmissions.iter().max_by_key(|(_, sent)| **sent);
        if let Some(host) = most.map(|(host, _)| host.clone()) {
            self.transmissions.remove(&host);
        }
    }
}

/// How often one router sends an update: twice the binary logarithm of the fleet size.
fn max_transmissions(size: usize) -> usize {
    let log = usize::BITS - size.leading_zeros();
    usize::try_from(2 * log).unwrap_or(usize::MAX)
}
