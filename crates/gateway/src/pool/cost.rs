//! The cost of a request at each server, and the ranking of servers for a prompt.

use std::cmp::Reverse;

use load_report::Slowdown;
use placement::score;
use smallvec::SmallVec;
use units::{availability, chat, time::Instant};

use super::{Part, Server};

/// Prefill rate of an engine in tokens per millisecond; only its ratio to the other
/// costs in this file matters.
const PREFILL_TOKENS_PER_MS: u64 = 60;
/// Delay that each request in flight at an engine adds to another, in microseconds.
///
/// A value far above a request's share of an engine step would move short prompts away
/// from their cache for small differences in load.
const ENGINE_LOAD_US: u64 = 500;
/// Delay that each request in flight at a plain service adds to another, in
/// microseconds: the time of a short response, divided over a few slots.
const SERVICE_LOAD_US: u64 = 5_000;
/// Round-trip time to another availability zone, in microseconds.
const ZONE_US: u64 = 2_000;
/// The share of a prompt that the first server in its ranking is expected to have
/// cached for other routers, in percent.
const FIRST_CACHED_PERCENT: u64 = 95;
/// The increase of the prefill cost for each position in the ranking, in percent, for
/// the first few positions.
///
/// Requests for which the first server has no room go to the second, which makes it the
/// most likely other server to have the prompt cached. Without the increase, zones and
/// small load differences would scatter these requests. If the second server were
/// assumed to have half of the prompt cached instead, it would attract prompts from
/// servers that are known to have them.
const POSITION_PENALTY_PERCENT: u64 = 25;
/// The number of servers that are ranked individually; all others share this position.
const RANKED_SERVERS: usize = 3;

/// The score of a server for a prompt and the hash of its name; the lowest key ranks
/// first.
type RankKey = (Reverse<u64>, u64);

/// The ranking of servers for a prompt, which is the same at all routers.
///
/// Only the positions that differ in cost are determined: sorting thousands of servers
/// for each request would take longer than most responses.
#[derive(Clone, Debug)]
pub struct Ranking {
    anchor: chat::Key,
    ranked: SmallVec<[RankKey; RANKED_SERVERS]>,
}

impl Ranking {
    /// Ranks `servers` for a prompt; `None` if the prompt is empty.
    pub fn new<'a>(parts: &[Part], servers: impl Iterator<Item = &'a Server>) -> Option<Self> {
        let mut ranking = Self {
            anchor: anchor(parts)?,
            ranked: SmallVec::new(),
        };
        for server in servers {
            ranking.insert(ranking.rank_key(server));
        }
        Some(ranking)
    }

    fn rank_key(&self, server: &Server) -> RankKey {
        let hash = server.name_hash();
        (Reverse(score::pair_hash(self.anchor, hash)), hash)
    }

    fn insert(&mut self, rank_key: RankKey) {
        let position = self.ranked.partition_point(|other| *other < rank_key);
        if position < RANKED_SERVERS {
            self.ranked.truncate(RANKED_SERVERS - 1);
            self.ranked.insert(position, rank_key);
        }
    }

    /// The position of a server; [`RANKED_SERVERS`] if it is not ranked individually.
    pub fn position(&self, server: &Server) -> usize {
        let hash = server.name_hash();
        let position = self.ranked.iter().position(|(_, ranked)| *ranked == hash);
        position.unwrap_or(RANKED_SERVERS)
    }

    /// The sort key for servers that may have `parts` cached; the most likely one has
    /// the lowest key.
    ///
    /// A server that has just started does not get its position in the ranking: its
    /// prompts are still cached at the next server.
    pub fn source_key(
        &self,
        server: &Server,
        parts: &[Part],
        now: Instant,
    ) -> (u64, usize, RankKey) {
        let position = if server.is_settled(now) {
            self.position(server)
        } else {
            RANKED_SERVERS
        };
        let uncached = expected_uncached(server.uncached(parts, now), position);
        (uncached, position, self.rank_key(server))
    }
}

/// The load and the speed of a server by which it is ranked.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// The requests in flight.
    requests: u64,
    /// How long work takes.
    slowdown: Slowdown,
}

impl Load {
    /// The load that routers know of. The server does not report its speed.
    pub fn of_routers(server: &Server) -> Self {
        Self {
            requests: u64::from(server.load()),
            slowdown: Slowdown::NONE,
        }
    }

    /// The load and the speed as the server reports them.
    pub fn reported(server: &Server, now: Instant) -> Self {
        Self {
            requests: u64::from(server.expected_load(now)),
            slowdown: server.slowdown(now),
        }
    }
}

/// The time of a request at `server` that does not depend on its load, in microseconds, for a
/// router in `zone`.
pub fn overhead_us(server: &Server, zone: &availability::Zone, now: Instant) -> u64 {
    let zone_us = if server.zone() == zone { 0 } else { ZONE_US };
    zone_us + server.lag_us(now)
}

/// The expected time to first byte at `server`, in microseconds, for a router in
/// `zone`. `position` is the server's position in the prompt's ranking, if there is a
/// prompt.
pub fn time_us(
    server: &Server,
    zone: &availability::Zone,
    parts: &[Part],
    position: Option<usize>,
    load: Load,
    now: Instant,
) -> u64 {
    let Load { requests, slowdown } = load;
    let common_us = overhead_us(server, zone, now);
    let Some(position) = position else {
        return common_us + slowdown.scale(requests * SERVICE_LOAD_US);
    };
    // A server that has just started has nothing cached for any router.
    let expected_position = if server.is_cold(now) {
        RANKED_SERVERS
    } else {
        position
    };
    let uncached = expected_uncached(server.uncached(parts, now), expected_position);
    let queued_tokens = server.pending_prefill().0 / 4;
    let prefill_us = (uncached + queued_tokens) * 1000 / PREFILL_TOKENS_PER_MS;
    common_us + slowdown.scale(prefill_us + requests * ENGINE_LOAD_US)
}

/// The number of tokens that the server at `position` is expected to prefill, where
/// `uncached` tokens are not known to be in its cache.
pub fn expected_uncached(uncached: u64, position: usize) -> u64 {
    let percent = match position {
        0 => 100 - FIRST_CACHED_PERCENT,
        position => 100 + POSITION_PENALTY_PERCENT * position.min(RANKED_SERVERS) as u64,
    };
    uncached * percent / 100
}

/// The key of the prompt part by which servers are ranked.
///
/// The last part is specific to the request or its chat; the one before it ends the
/// longest prefix that other requests share.
fn anchor(parts: &[Part]) -> Option<chat::Key> {
    let last = parts.len().checked_sub(1)?;
    Some(parts[last.saturating_sub(1)].key)
}
