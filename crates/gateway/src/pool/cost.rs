//! What a request costs at a server, and the order of servers for a prompt.

use std::cmp::Reverse;

use placement::score;
use smallvec::SmallVec;
use units::{availability, chat, time::Instant};

use super::{Part, Server};

/// Tokens that an engine reads in a millisecond; only its ratio to the other
/// costs here matters.
const TOKENS_PER_MS: u64 = 60;
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
const HOME_READ_PERCENT: u64 = 95;
/// How much dearer reading a prompt counts with each later place in its order, in
/// percent, for the first few places.
///
/// What the first one has no room for goes to the second, so that one is likelier
/// to have it than any other. Without that, zones and small differences of load
/// would scatter such requests. Expecting the second to have read half of it
/// instead would draw prompts from servers that are known to have them.
const PLACE_PERCENT: u64 = 25;
/// The place from which on all are alike.
const LAST_PLACE: usize = 3;

/// A server's rank in an order, with the hash of its name; the lowest is first.
type Rank = (Reverse<u64>, u64);

/// The order of servers for a prompt, on which all routers agree.
///
/// Only as many servers are told apart as have places of their own in what a
/// prompt costs: sorting thousands for each request would take longer than
/// most answers.
#[derive(Clone, Debug)]
pub struct Order {
    anchor: chat::Key,
    first: SmallVec<[Rank; LAST_PLACE]>,
}

impl Order {
    /// The order of `servers` for a prompt; `None` if there is no prompt.
    pub fn new<'a>(parts: &[Part], servers: impl Iterator<Item = &'a Server>) -> Option<Self> {
        let mut order = Self {
            anchor: anchor(parts)?,
            first: SmallVec::new(),
        };
        for server in servers {
            order.insert(order.rank(server));
        }
        Some(order)
    }

    fn rank(&self, server: &Server) -> Rank {
        let hash = server.name_hash();
        (Reverse(score::pair_hash(self.anchor, hash)), hash)
    }

    fn insert(&mut self, rank: Rank) {
        let place = self.first.partition_point(|before| *before < rank);
        if place < LAST_PLACE {
            self.first.truncate(LAST_PLACE - 1);
            self.first.insert(place, rank);
        }
    }

    /// The place of a server; [`LAST_PLACE`] stands for all from there on.
    pub fn place(&self, server: &Server) -> usize {
        let hash = server.name_hash();
        let place = self.first.iter().position(|(_, first)| *first == hash);
        place.unwrap_or(LAST_PLACE)
    }

    /// What servers are compared by that may have read `parts`; the likeliest is the lowest.
    ///
    /// One that has just started is the first for prompts that still lie at the
    /// next, and nowhere else.
    pub fn doubt(&self, server: &Server, parts: &[Part], now: Instant) -> (u64, usize, Rank) {
        let place = if server.is_settled(now) {
            self.place(server)
        } else {
            LAST_PLACE
        };
        let unread = expected_unread(server.unread(parts, now), place);
        (unread, place, self.rank(server))
    }
}

/// The expected time to the first byte at `server`, in microseconds, for a router
/// in `zone`. `place` is the server's in the prompt's order, if there is a prompt.
pub fn time_us(
    server: &Server,
    zone: &availability::Zone,
    parts: &[Part],
    place: Option<usize>,
    now: Instant,
) -> u64 {
    let away = if server.zone() == zone { 0 } else { ZONE_US };
    let load = u64::from(server.load());
    let common = away + server.lag_us(now);
    let Some(place) = place else {
        return common + load * SERVICE_LOAD_US;
    };
    // A server that has just started has read nothing for anyone.
    let expected_place = if server.is_cold(now) {
        LAST_PLACE
    } else {
        place
    };
    let unread = expected_unread(server.unread(parts, now), expected_place);
    let queued = server.pending().0 / 4;
    let read = (unread + queued) * 1000 / TOKENS_PER_MS;
    common + read + load * ENGINE_LOAD_US
}

/// What the server at a place of a prompt's order has to read of it, as far as
/// expected, where `unread` is what it is not known to have read.
pub fn expected_unread(unread: u64, place: usize) -> u64 {
    let percent = match place {
        0 => 100 - HOME_READ_PERCENT,
        place => 100 + PLACE_PERCENT * place.min(LAST_PLACE) as u64,
    };
    unread * percent / 100
}

/// The part by which a prompt's servers are ordered.
///
/// The last part belongs to the request or its chat alone; the one before it
/// is the longest run of the prompt that other requests share.
fn anchor(parts: &[Part]) -> Option<chat::Key> {
    let last = parts.len().checked_sub(1)?;
    Some(parts[last.saturating_sub(1)].key)
}
