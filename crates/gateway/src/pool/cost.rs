//! What a request costs at a server, and the order of servers for a prompt.

use std::cmp::Reverse;

use placement::score;
use smallvec::SmallVec;
use units::{availability, chat, time::Instant};

use super::{Part, Server};

/// Tokens that an engine reads in a millisecond; only its ratio to the other
/// costs here matters.
const PREFILL_TOKENS_PER_MS: u64 = 60;
/// What one request in flight adds to the time of another at an engine, in microseconds.
///
/// Much more than its share of a step would move short prompts for small
/// differences of load.
const ENGINE_LOAD_US: u64 = 500;
/// The same at a plain service, in microseconds: a short answer over a few slots.
const SERVICE_LOAD_US: u64 = 5_000;
/// The way to another availability zone and back, in microseconds.
const ZONE_US: u64 = 2_000;
/// How much of its prompt the first server in order is expected to have read
/// for other routers, in percent.
const FIRST_CACHED_PERCENT: u64 = 95;
/// How much dearer reading a prompt counts with each later place in its order, in
/// percent, for the first few places.
///
/// What the first one has no room for goes to the second, so that one is likelier
/// to have it than any other. Without that, zones and small differences of load
/// would scatter such requests. Expecting the second to have read half of it
/// instead would draw prompts from servers that are known to have them.
const POSITION_PENALTY_PERCENT: u64 = 25;
/// The place from which on all are alike.
const RANKED_SERVERS: usize = 3;

/// A server's rank in an order, with the hash of its name; the lowest is first.
type RankKey = (Reverse<u64>, u64);

/// The order of servers for a prompt, on which all routers agree.
///
/// Only as many servers are told apart as have places of their own in what a
/// prompt costs: sorting thousands for each request would take longer than
/// most answers.
#[derive(Clone, Debug)]
pub struct Ranking {
    anchor: chat::Key,
    ranked: SmallVec<[RankKey; RANKED_SERVERS]>,
}

impl Ranking {
    /// The order of `servers` for a prompt; `None` if there is no prompt.
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
        (Reverse(score::pair(self.anchor, hash)), hash)
    }

    fn insert(&mut self, rank_key: RankKey) {
        let position = self.ranked.partition_point(|before| *before < rank_key);
        if position < RANKED_SERVERS {
            self.ranked.truncate(RANKED_SERVERS - 1);
            self.ranked.insert(position, rank_key);
        }
    }

    /// The place of a server; [`RANKED_SERVERS`] stands for all from there on.
    pub fn position(&self, server: &Server) -> usize {
        let hash = server.name_hash();
        let position = self.ranked.iter().position(|(_, ranked)| *ranked == hash);
        position.unwrap_or(RANKED_SERVERS)
    }

    /// What servers are compared by that may have read `parts`; the likeliest is the lowest.
    ///
    /// One that has just started is the first for prompts that still lie at the
    /// next, and nowhere else.
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

/// The expected time to the first byte at `server`, in microseconds, for a router
/// in `zone`. `place` is the server's in the prompt's order, if there is a prompt.
pub fn time_us(
    server: &Server,
    zone: &availability::Zone,
    parts: &[Part],
    position: Option<usize>,
    now: Instant,
) -> u64 {
    let zone_us = if server.zone() == zone { 0 } else { ZONE_US };
    let load = u64::from(server.load());
    let common_us = zone_us + server.lag_us(now);
    let Some(position) = position else {
        return common_us + load * SERVICE_LOAD_US;
    };
    // A server that has just started has read nothing for anyone.
    let expected_position = if server.is_cold(now) {
        RANKED_SERVERS
    } else {
        position
    };
    let uncached = expected_uncached(server.uncached(parts, now), expected_position);
    let queued_tokens = server.pending_prefill().0 / 4;
    let prefill_us = (uncached + queued_tokens) * 1000 / PREFILL_TOKENS_PER_MS;
    common_us + prefill_us + load * ENGINE_LOAD_US
}

/// What the server at a place of a prompt's order has to read of it, as far as
/// expected, where `unread` is what it is not known to have read.
pub fn expected_uncached(uncached: u64, position: usize) -> u64 {
    let percent = match position {
        0 => 100 - FIRST_CACHED_PERCENT,
        position => 100 + POSITION_PENALTY_PERCENT * position.min(RANKED_SERVERS) as u64,
    };
    uncached * percent / 100
}

/// The part by which a prompt's servers are ordered.
///
/// The last part belongs to the request or its chat alone; the one before it
/// is the longest run of the prompt that other requests share.
fn anchor(parts: &[Part]) -> Option<chat::Key> {
    let last = parts.len().checked_sub(1)?;
    Some(parts[last.saturating_sub(1)].key)
}
