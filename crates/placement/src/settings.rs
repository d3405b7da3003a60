//! Settings of placement.

use std::time;

/// Settings of placement; they must be the same on all routers of a region.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The maximum load of a server, as a multiple of the pool's mean; at least 1.
    pub load_bound: f64,
    /// How far below `load_bound` the admission limit is set, in standard
    /// deviations of the pool's load.
    pub headroom: f64,
    /// The load up to which a server accepts chats that it has not cached, as a
    /// multiple of the mean.
    ///
    /// An uncached chat loses nothing on another server. Declining it first leaves
    /// the capacity up to `load_bound` to cached chats, whose prompts any other
    /// server would have to recompute.
    pub uncached_load_bound: f64,
    /// How long a request of a cached chat may queue before the next candidate is
    /// tried.
    pub warm_queue_timeout: time::Duration,
    /// How many of the highest-ranked servers get an offer under
    /// [`Terms::Warm`](crate::plan::Terms::Warm).
    pub max_warm_candidates: usize,
    /// How many of the highest-ranked servers get an offer under the other terms.
    pub max_candidates: usize,
    /// How many past topologies are kept to compute earlier homes from.
    pub max_past_topologies: usize,
    /// How long after a topology change all chats have moved to their new homes.
    ///
    /// Each chat moves at its own instant within this window, so that cached
    /// chats move gradually instead of all at once.
    pub return_window: time::Duration,
    /// The maximum number of chats in the cache index of a server.
    pub max_chats_per_server: usize,
    /// How long after its last use a chat counts as cached.
    pub cache_ttl: time::Duration,
    /// The minimum number of cached tokens for a chat to count as cached.
    pub min_cached_tokens: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            load_bound: 1.25,
            headroom: 0.5,
            uncached_load_bound: 1.0,
            warm_queue_timeout: time::Duration::from_millis(600),
            max_warm_candidates: 4,
            max_candidates: 4,
            max_past_topologies: 4,
            return_window: time::Duration::from_secs(300),
            max_chats_per_server: 16_384,
            cache_ttl: time::Duration::from_secs(3600),
            min_cached_tokens: 64,
        }
    }
}
