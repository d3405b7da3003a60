//! The prompt parts that a server has cached or has to read.

use std::time::Duration;

use placement::Settings;
use units::{chat, cost::Cost, time::Instant};

use super::Server;
use crate::{
    pool::Part,
    prefixes::{self, CachedPrefix},
};

/// The number of prompt parts recorded for each server, at 200 bytes each.
const MAX_PREFIX_PARTS: usize = 512;
/// How long a part is assumed to stay cached after its last use.
const CACHED_FOR: Duration = Duration::from_secs(600);

/// The settings of the index of cached prompt parts.
pub(super) fn settings() -> Settings {
    Settings {
        max_chats_per_server: MAX_PREFIX_PARTS,
        min_cached_tokens: 1,
        cache_ttl: CACHED_FOR,
        ..Settings::default()
    }
}

impl Server {
    /// Uncached prompt tokens of requests that have not received their first byte.
    pub fn pending_prefill(&self) -> Cost {
        self.pending_prefill
    }

    /// The number of prompt tokens that the server would have to prefill.
    ///
    /// A cached part is usable only together with all parts before it, so these are
    /// assumed to be cached too.
    pub fn uncached(&self, parts: &[Part], now: Instant) -> u64 {
        let last = parts.iter().rposition(|part| self.has_cached(part, now));
        let cached = last.map_or(0, |last| last + 1);
        parts[cached..]
            .iter()
            .map(|part| u64::from(part.tokens))
            .sum()
    }

    /// Removes the prefill of a request that has received its first byte or has ended
    /// without one.
    pub fn end_prefill(&mut self, uncached: Cost) {
        self.pending_prefill -= uncached;
    }

    /// Whether a part is known to be cached for a request of any router.
    pub fn has_cached(&self, part: &Part, now: Instant) -> bool {
        let hash = chat::Key(u64::from(prefixes::hash(part.key)));
        self.own_prefixes.cached_tokens(part.key, now).is_some()
            || self.peer_prefixes.cached_tokens(hash, now).is_some()
    }

    /// Records a prefix that the server has cached for a peer's request.
    pub fn record_peer_prefix(&mut self, prefix: CachedPrefix, now: Instant) {
        let hash = chat::Key(u64::from(prefix.part));
        self.peer_prefixes.record_served(hash, prefix.tokens, now);
    }

    /// Records that the server has cached these parts of a prompt.
    pub fn record_cached(&mut self, parts: &[Part], now: Instant) {
        for part in parts {
            self.own_prefixes.record_served(part.key, part.tokens, now);
        }
    }
}
