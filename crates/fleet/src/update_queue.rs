//! News about members that is still being passed on.

use std::collections::BTreeMap;

use smallvec::SmallVec;
use units::host;

/// How many pieces of news are passed on at a time; those told most are dropped.
const MAX_QUEUED: usize = 256;
/// In how many pushes a piece of news goes out; after that it rides on beats.
const PUSH_ROUNDS: usize = 2;

/// The members whose claims changed lately, each with how often it was told.
#[derive(Clone, Debug, Default)]
pub(crate) struct UpdateQueue {
    transmissions: BTreeMap<host::Id, usize>,
}

impl UpdateQueue {
    /// Starts to pass on what is known of `host`.
    pub(crate) fn enqueue(&mut self, host: &host::Id) {
        if self.transmissions.len() >= MAX_QUEUED && !self.transmissions.contains_key(host) {
            self.evict_most_sent();
        }
        self.transmissions.insert(host.clone(), 0);
    }

    /// Whether some news has to be pushed still, to `fanout` routers each time.
    pub(crate) fn needs_push(&self, fanout: usize) -> bool {
        self.transmissions
            .values()
            .any(|sent| *sent < PUSH_ROUNDS * fanout)
    }

    /// Takes up to `count` hosts to tell of in a fleet of `size` routers, those least told first.
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

/// How often one router tells a piece of news: twice the logarithm of the fleet's size.
fn max_transmissions(size: usize) -> usize {
    let log = usize::BITS - size.leading_zeros();
    usize::try_from(2 * log).unwrap_or(usize::MAX)
}
