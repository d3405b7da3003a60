//! What a router knows of one backend server.

use std::{fmt, net::SocketAddr, time::Duration};

use placement::Warmth;
use units::{availability, backend, chat, cost::Cost, time::Instant};
use xxhash_rust::xxh3;

use super::Part;
use crate::{
    load::Load,
    outlier::{OutcomeCounts, OutcomeTracker},
    prefixes::{self, CachedPrefix},
    roster,
    slow_start::{Pacer, Share},
};

/// How a request at a server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered in full.
    Completed,
    /// The server failed it.
    Failed,
    /// The server broke off in the middle of it.
    Broken,
    /// Its host refused the connection, so nothing was sent and nothing runs there.
    Refused,
    /// No connection came about, so nothing was sent.
    Unreachable,
    /// Another server has the address.
    Moved,
    /// The server said that it is full and did not run it.
    Full,
    /// The caller left, or the time was up.
    Cancelled,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Completed => "completed",
            Self::Failed => "failed",
            Self::Broken => "broken",
            Self::Refused => "refused",
            Self::Unreachable => "unreachable",
            Self::Moved => "moved",
            Self::Full => "full",
            Self::Cancelled => "cancelled",
        })
    }
}

/// One part in this many of a server's slots is kept for workspaces that use
/// less than their share; as in `admission`.
const RESERVE_DIVISOR: u32 = 4;
/// How long a server that could not be reached gets nothing; doubled with each further time.
const BASE_AWAY: Duration = Duration::from_millis(400);
/// The longest such time.
const MAX_AWAY: Duration = Duration::from_millis(3200);
/// How long a server that could not be reached counts as cold once it answers again.
///
/// It may have started anew, and the store may say so later than the server
/// takes requests, or not at all while it is away.
const COLD_AFTER_OUTAGE: Duration = Duration::from_secs(3);
/// How long a server that is no longer cold takes to meet most of the prompts
/// that it is the first for. Prompts come again within seconds.
const SETTLE_TIME: Duration = Duration::from_secs(10);
/// How fast the excess of the time to the first byte is forgotten, as a half-life.
const LAG_HALF_LIFE: Duration = Duration::from_secs(2);
/// The weight of one sample, as a divisor.
const LAG_SAMPLE_DIVISOR: u64 = 3;

/// One backend server and this router's work there.
#[derive(Debug)]
pub struct Server {
    entry: roster::Entry,
    name_hash: u64,
    is_leaving: bool,
    running: u32,
    peer_load: u32,
    pending_prefill: Cost,
    own_prefixes: Warmth,
    /// What it has read for other routers, by the hashes of the parts.
    peer_prefixes: Warmth,
    pacer: Pacer,
    connect_failures: u32,
    away_until: Instant,
    assumed_cold_until: Instant,
    /// When it is taken to have read the prompts that it is the first for.
    settled_at: Instant,
    lag_us: u64,
    lag_at: Instant,
    outcomes: OutcomeTracker,
    peer_outcomes: OutcomeCounts,
}

impl Server {
    /// A server without work.
    pub fn new(entry: roster::Entry) -> Self {
        let settings = placement::Settings {
            chats_per_server: MAX_PREFIX_PARTS,
            warm_tokens: 1,
            warm_for: CACHED_FOR,
            ..placement::Settings::default()
        };
        Self {
            settled_at: settled_at(entry.cold_until),
            name_hash: xxh3::xxh3_64(entry.server.as_str().as_bytes()),
            entry,
            is_leaving: false,
            running: 0,
            peer_load: 0,
            pending_prefill: Cost(0),
            own_prefixes: Warmth::new(settings.clone()),
            peer_prefixes: Warmth::new(settings),
            pacer: Pacer::default(),
            connect_failures: 0,
            away_until: Instant::ZERO,
            assumed_cold_until: Instant::ZERO,
            lag_us: 0,
            lag_at: Instant::ZERO,
            outcomes: OutcomeTracker::default(),
            peer_outcomes: OutcomeCounts::default(),
        }
    }

    /// Takes over what the store says of it.
    pub fn update(&mut self, entry: &roster::Entry, is_leaving: bool) {
        if entry.born != self.entry.born || entry.address != self.entry.address {
            // A new start knows nothing of before.
            *self = Self {
                running: self.running,
                pacer: self.pacer,
                ..Self::new(entry.clone())
            };
        }
        self.entry = entry.clone();
        self.is_leaving = is_leaving;
    }

    /// Whether it gets nothing new: it drains, or its zone is out.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Its name.
    pub fn name(&self) -> &backend::Server {
        &self.entry.server
    }

    /// The hash of its name.
    pub fn name_hash(&self) -> u64 {
        self.name_hash
    }

    /// What stands for its name between routers.
    pub fn hash(&self) -> u32 {
        Load::short_hash(self.name_hash)
    }

    /// Its availability zone.
    pub fn zone(&self) -> &availability::Zone {
        &self.entry.zone
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.entry.address
    }

    /// Tells its starts apart.
    pub fn born(&self) -> u64 {
        self.entry.born
    }

    /// Requests of this router that are in flight.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Requests of all routers that are in flight, as far as known.
    pub fn load(&self) -> u32 {
        self.running + self.peer_load
    }

    /// Sets the requests of other routers.
    pub fn set_peer_load(&mut self, load: u32) {
        self.peer_load = load;
    }

    /// How this router's requests lately ended there.
    pub fn outcomes(&self, now: Instant) -> OutcomeCounts {
        self.outcomes.counts(now)
    }

    /// How the requests of all routers lately ended there, as far as known.
    pub fn total_outcomes(&self, now: Instant) -> OutcomeCounts {
        self.outcomes(now) + self.peer_outcomes
    }

    /// Sets how those of other routers ended.
    pub fn set_peer_outcomes(&mut self, outcomes: OutcomeCounts) {
        self.peer_outcomes = outcomes;
    }

    /// How many requests it runs at once.
    pub fn slots(&self) -> u32 {
        self.entry.slots
    }

    /// Whether a slot is free, besides those kept for others if `is_modest`.
    /// Requests of other routers take slots only if `counts_others`.
    pub fn has_room(&self, leaves_reserve: bool, counts_peers: bool) -> bool {
        let used = if counts_peers {
            self.load()
        } else {
            self.running
        };
        let reserved = if leaves_reserve {
            self.entry.slots / RESERVE_DIVISOR
        } else {
            0
        };
        used + reserved < self.entry.slots
    }

    /// Whether it is cold, or may have started anew.
    pub fn is_cold(&self, now: Instant) -> bool {
        now < self.entry.cold_until.max(self.assumed_cold_until)
    }

    /// Whether it has run for long enough to have read the prompts that it is the
    /// first for.
    pub fn is_settled(&self, now: Instant) -> bool {
        now >= self.settled_at && !self.is_cold(now)
    }

    /// Until then it counts as cold.
    pub fn assume_cold_until(&mut self, until: Instant) {
        self.assumed_cold_until = self.assumed_cold_until.max(until);
    }

    /// Whether connections to it came about lately.
    pub fn is_reachable(&self, now: Instant) -> bool {
        self.away_until <= now
    }

    /// Whether this router's share lets a request through while it is cold.
    pub fn is_slow_start_ready(&self, now: Instant) -> bool {
        self.pacer.is_ready(now)
    }

    /// When its share lets the next one through.
    pub fn slow_start_ready_at(&self) -> Instant {
        self.pacer.ready_at()
    }

    /// Prompt tokens of requests that wait for their first byte.
    pub fn pending_prefill(&self) -> Cost {
        self.pending_prefill
    }

    /// Prompt tokens that it would have to read.
    ///
    /// A part that is cached saves its reading only if all parts before it are cached too.
    pub fn uncached(&self, parts: &[Part], now: Instant) -> u64 {
        let last = parts.iter().rposition(|part| self.has_cached(part, now));
        let cached = last.map_or(0, |last| last + 1);
        parts[cached..]
            .iter()
            .map(|part| u64::from(part.tokens))
            .sum()
    }

    /// How much longer it lately took to the first byte than its load explains.
    pub fn lag_us(&self, now: Instant) -> u64 {
        let age = now.since(self.lag_at).as_micros();
        let halvings = age / LAG_HALF_LIFE.as_micros();
        let halvings = u32::try_from(halvings).unwrap_or(u32::MAX);
        self.lag_us.checked_shr(halvings).unwrap_or(0)
    }

    /// Counts a request that is about to be sent.
    pub fn admit(&mut self, uncached: Cost, share: Option<Share>, now: Instant) {
        self.running += 1;
        self.pending_prefill += uncached;
        if let Some(share) = share {
            self.pacer.record(share, now);
        }
    }

    /// The request's first byte has come, or never will.
    pub fn end_prefill(&mut self, uncached: Cost) {
        self.pending_prefill -= uncached;
    }

    /// The first byte came after `waited`, where `expected` was explained by the prompt.
    pub fn record_first_byte(&mut self, waited: Duration, expected: Duration, now: Instant) {
        let excess = waited.saturating_sub(expected).as_micros();
        let excess = u64::try_from(excess).unwrap_or(u64::MAX);
        let previous_us = self.lag_us(now);
        self.lag_us = previous_us - previous_us / LAG_SAMPLE_DIVISOR + excess / LAG_SAMPLE_DIVISOR;
        self.lag_at = now;
    }

    /// Whether it is known to have read a part, for any router.
    pub fn has_cached(&self, part: &Part, now: Instant) -> bool {
        let hash = chat::Key(u64::from(prefixes::hash(part.key)));
        self.own_prefixes.cached(part.key, now).is_some()
            || self.peer_prefixes.cached(hash, now).is_some()
    }

    /// It has read a part for another router.
    pub fn record_peer_prefix(&mut self, prefix: CachedPrefix, now: Instant) {
        let hash = chat::Key(u64::from(prefix.part));
        self.peer_prefixes.served(hash, prefix.tokens, now);
    }

    /// The parts of a prompt that it has read by now.
    pub fn record_cached(&mut self, parts: &[Part], now: Instant) {
        for part in parts {
            self.own_prefixes.served(part.key, part.tokens, now);
        }
    }

    /// One of this router's requests has ended.
    pub fn ended(&mut self, outcome: Outcome, now: Instant) {
        self.running = self.running.saturating_sub(1);
        match outcome {
            Outcome::Completed => self.outcomes.record(false, now),
            Outcome::Failed | Outcome::Broken | Outcome::Refused => self.outcomes.record(true, now),
            Outcome::Unreachable | Outcome::Moved | Outcome::Full | Outcome::Cancelled => {}
        }
        match outcome {
            Outcome::Refused | Outcome::Unreachable => self.connect_failed(now),
            Outcome::Moved => self.away_until = now + MAX_AWAY,
            Outcome::Completed | Outcome::Failed | Outcome::Full => self.connect_failures = 0,
            Outcome::Broken | Outcome::Cancelled => {}
        }
    }

    fn connect_failed(&mut self, now: Instant) {
        // Requests that were sent side by side fail side by side, which says no
        // more than one of them.
        if now < self.away_until {
            return;
        }
        let factor = 1_u32.checked_shl(self.connect_failures).unwrap_or(u32::MAX);
        let away = BASE_AWAY.saturating_mul(factor).min(MAX_AWAY);
        self.connect_failures = self.connect_failures.saturating_add(1);
        self.away_until = now + away;
        self.assumed_cold_until = self.away_until + COLD_AFTER_OUTAGE;
    }
}

/// When a server that is cold until then, or not at all, has settled.
fn settled_at(cold_until: Instant) -> Instant {
    if cold_until == Instant::ZERO {
        return Instant::ZERO;
    }
    cold_until + SETTLE_TIME
}

/// How many parts of prompts are remembered for one server; 200 bytes each.
const MAX_PREFIX_PARTS: usize = 512;
/// How long a part counts as cached after its last use.
const CACHED_FOR: Duration = Duration::from_secs(600);
