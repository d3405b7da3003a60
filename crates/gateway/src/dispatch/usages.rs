//! The requests of workspaces that routers have in flight.

use scheduling::{Usage, Workspace};
use units::{pool, time::Instant};
use xxhash_rust::xxh3;

use super::{AcquireRequest, Dispatch, Refusal};
use crate::{pool::Denial, queue::Queue};

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

    /// Logs and counts a request that is refused for lack of slots where requests are scheduled by
    /// urgency.
    pub(super) fn record_contention(
        &self,
        request: &AcquireRequest,
        refusal: Refusal,
        now: Instant,
    ) {
        let Refusal::Denied(refusal) = refusal else {
            return;
        };
        let queue = self.queues.get(&request.pool);
        let contention = |queue: &Queue| {
            let rank = queue.scheduled_rank(request.rank, &request.demand, now);
            queue.contention(&request.workspace, rank, now)
        };
        let Some(contention) = queue.and_then(contention) else {
            return;
        };
        if refusal.denial != Denial::Full {
            return;
        }
        let is_over_share = contention.is_over_share;
        self.metrics.slot_refused(request.rank, is_over_share);
        let age_ms = contention.age.map(|age| age.as_millis().to_string());
        logging::event!(
            info,
            "slot_refused",
            fingerprint = request.fingerprint,
            pool = request.pool,
            workspace = request.workspace,
            rank = request.rank,
            more_urgent = contention.more_urgent,
            slots = contention.slots,
            load = contention.load,
            queued = contention.queued,
            running = contention.running,
            over_share = is_over_share,
            age_ms = age_ms.as_deref().unwrap_or("none"),
            retry_ms = refusal.retry_at.since(now).as_millis()
        );
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
