//! An owner's decision on a request that an entry router offers to its server.

use units::time;

use crate::{bound::Bound, cache::CacheStatus, load::TotalLoad, plan::Terms, settings::Settings};

/// The owner's decision on an offered request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request goes to admission, where it may queue until its deadline.
    Accept,
    /// The request goes to admission, and is cancelled there if it is still
    /// queued at this instant, so that the next candidate is tried.
    AcceptUntil(time::Instant),
    /// The request is declined immediately, without having run.
    Decline,
}

/// The load and the limits of a server, as its owner's admission reports them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Requests in flight, including requests of other routers that the server
    /// reports.
    pub load: u32,
    /// The number of requests currently allowed in flight: the lower of the
    /// concurrency limit and the load bound.
    pub limit: u32,
    /// Requests in the queue.
    pub queued: u32,
}

impl Capacity {
    fn is_available(self, limit: u32) -> bool {
        self.queued == 0 && self.load < limit
    }
}

/// An offered request, with the owner's state of the server.
#[derive(Clone, Copy, Debug)]
pub struct Offer {
    /// The terms under which the owner may accept the request.
    pub terms: Terms,
    /// Whether this server has the chat cached.
    pub cache_status: CacheStatus,
    /// The server's load and limits.
    pub capacity: Capacity,
    /// The server's weight.
    pub weight: u32,
    /// The total load of the pool.
    pub total: TotalLoad,
}

impl Offer {
    /// Decides whether the owner accepts the request.
    ///
    /// A request of a chat that is cached here may queue for a short time, since
    /// any other server would have to recompute its prompt. A chat that is known
    /// not to be cached here is limited to [`Settings::uncached_load_bound`]: it
    /// loses nothing on another server, and the capacity above that bound stays
    /// available to cached chats.
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
