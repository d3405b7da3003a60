//! The requests of workspaces that routers have in flight.

use scheduling::{Usage, Workspace};
use units::{pool, time::Instant};
use xxhash_rust::xxh3;

use super::Dispatch;

/// The bits of a usage's key that identify the workspace; the others identify the service.
///
/// Services have slots of their own, so a workspace has a share in each. The key stays within the
/// 32 bits that routers exchange.
const WORKSPACE_BITS: u32 = 22;
const WORKSPACE_MASK: u32 = (1 << WORKSPACE_BITS) - 1;

impl Dispatch {
    /// Sets the requests in flight of each workspace at all other routers.
    pub(super) fn set_peer_usages(&mut self, usages: &[Usage], now: Instant) {
        for (name, queue) in &mut self.queues {
            if !queue.pool().is_scheduled(now) {
                continue;
            }
            let service = service_key(name);
            let own = usages
                .iter()
                .filter(|usage| usage.workspace & !WORKSPACE_MASK == service);
            let own = own.map(|usage| Usage {
                workspace: usage.workspace & WORKSPACE_MASK,
                running: usage.running,
            });
            queue.set_peer_usages(own, now);
        }
    }

    /// The requests in flight of each workspace that this router tells others; none where
    /// requests are not scheduled by urgency.
    pub(super) fn usages(&self, now: Instant) -> Vec<Usage> {
        let queues = self.queues.iter();
        let scheduled = queues.filter(|(_, queue)| queue.pool().is_scheduled(now));
        let usages = scheduled.flat_map(|(name, queue)| {
            let service = service_key(name);
            queue.usages().into_iter().map(move |usage| Usage {
                workspace: service | usage.workspace,
                running: usage.running,
            })
        });
        scheduling::largest(usages)
    }
}

/// The part of a usage's key that identifies the service.
fn service_key(pool: &pool::Id) -> Workspace {
    (xxh3::xxh3_64(pool.as_str().as_bytes()) >> 32) as u32 & !WORKSPACE_MASK
}
