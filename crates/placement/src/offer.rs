//! What the owner of a server answers to an offer.

use units::time;

use crate::{bound::Bound, cache::CacheStatus, load::TotalLoad, plan::Terms, settings::Settings};

/// What the owner does with an offered request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It hands the request to admission, where it may wait until its deadline.
    Accept,
    /// It hands the request to admission and takes it back if it still waits
    /// at this instant, so that the next candidate gets it.
    AcceptUntil(time::Instant),
    /// It turns the request down at once. The request has not run.
    Decline,
}

/// The room that a server has, by its owner's admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Requests in flight, those of others that the server reports included.
    pub load: u32,
    /// The most requests allowed at present, by concurrency limit and bound.
    pub limit: u32,
    /// Requests that wait.
    pub queued: u32,
}

impl Capacity {
    fn is_available(self, limit: u32) -> bool {
        self.queued == 0 && self.load < limit
    }
}

/// One offer, as the owner sees it.
#[derive(Clone, Copy, Debug)]
pub struct Offer {
    /// The terms.
    pub terms: Terms,
    /// What is known of the chat on this server.
    pub cache_status: CacheStatus,
    /// The server's room.
    pub capacity: Capacity,
    /// The server's weight.
    pub weight: u32,
    /// The load of the pool.
    pub total: TotalLoad,
}

impl Offer {
    /// The owner's answer.
    ///
    /// A chat that is cached here waits a moment for room, since it would have
    /// to be computed anew elsewhere. One that is certainly not cached here gets
    /// only the room up to the mean: it loses nothing elsewhere, and the room
    /// above stays free for those that do.
    pub fn decide(&self, settings: &Settings, bound: &Bound, now: time::Instant) -> Decision {
        let uncached = bound.uncached_limit(self.weight, self.total);
        let limit = match self.cache_status {
            CacheStatus::Cached(_) | CacheStatus::Unknown => self.capacity.limit,
            CacheStatus::NotCached => self.capacity.limit.min(uncached),
        };
        match (self.terms, self.cache_status) {
            (Terms::Queued, _) => Decision::Accept,
            (Terms::Warm, CacheStatus::Cached(_)) => {
                Decision::AcceptUntil(now + settings.warm_queue_timeout)
            }
            (Terms::Warm, CacheStatus::NotCached) => Decision::Decline,
            (Terms::Warm | Terms::Bounded, _) if self.capacity.is_available(limit) => {
                Decision::Accept
            }
            (Terms::Warm | Terms::Bounded, _) => Decision::Decline,
        }
    }
}
