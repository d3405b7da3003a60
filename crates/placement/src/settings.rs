//! What operators may set about placement.

use std::time;

/// Settings of placement, the same on all routers of a region.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The most load of one server, as a multiple of the pool's mean; at least 1.
    pub load_bound: f64,
    /// How far below `load_bound` admissions stay, in standard deviations of
    /// the pool's load.
    pub headroom: f64,
    /// The bound for chats that the server has not cached, as a multiple of the mean.
    ///
    /// They lose nothing elsewhere. Turned away first, they leave the room up
    /// to `load_bound` to the chats that would have to be computed anew.
    pub uncached_load_bound: f64,
    /// How long a request of a cached chat waits for room before it goes elsewhere.
    pub warm_queue_timeout: time::Duration,
    /// How many of the first in rank are asked whether they have the chat cached.
    pub max_warm_candidates: usize,
    /// How many of the first in rank a request is offered to otherwise.
    pub max_candidates: usize,
    /// How many topologies are kept to compute earlier homes from.
    pub max_past_topologies: usize,
    /// How long after a change the last chats go to their new home.
    ///
    /// Each chat has its own instant within this time, so that warm chats
    /// move evenly over it and not in one wave.
    pub return_window: time::Duration,
    /// The most chats remembered for each owned server.
    pub max_chats_per_server: usize,
    /// How long after its last use a chat counts as warm.
    pub cache_ttl: time::Duration,
    /// The fewest cached tokens that make a chat warm.
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
