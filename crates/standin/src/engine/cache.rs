//! The prefix cache of an engine and its cache events.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use units::chat;

/// Maximum number of retained events. A client that polls too late misses older events
/// and sees a gap in the sequence numbers.
const MAX_EVENTS: usize = 4096;

/// One message of a prefix: its hash and its number of tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Block {
    pub(super) hash: u64,
    pub(super) tokens: u64,
}

/// Whether a prefix was stored or evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Kind {
    Stored,
    Evicted,
}

/// A published cache event.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Event {
    seq: u64,
    chat: String,
    tokens: u64,
    kind: Kind,
    #[serde(skip)]
    visible_at: Option<Instant>,
}

#[derive(Debug)]
struct Prefix {
    blocks: Vec<Block>,
    last_use: u64,
}

impl Prefix {
    fn tokens(&self) -> u64 {
        self.blocks.iter().map(|block| block.tokens).sum()
    }
}

/// A cache of prefixes by chat with least-recently-used eviction.
#[derive(Debug)]
pub(super) struct Cache {
    capacity_tokens: u64,
    lag: Duration,
    drop_interval: u64,
    use_count: u64,
    last_seq: u64,
    prefixes: BTreeMap<chat::Key, Prefix>,
    events: VecDeque<Event>,
}

impl Cache {
    /// An empty cache of `capacity_tokens`. Its events are published after `lag`, and every
    /// `drop_interval`-th event is lost (none if 0).
    pub(super) fn new(capacity_tokens: u64, lag: Duration, drop_interval: u64) -> Self {
        Self {
            capacity_tokens,
            lag,
            drop_interval,
            use_count: 0,
            last_seq: 0,
            prefixes: BTreeMap::new(),
            events: VecDeque::new(),
        }
    }

    /// The number of cached tokens at the start of `blocks`, which need no prefill.
    pub(super) fn lookup(&mut self, chat: chat::Key, blocks: &[Block]) -> u64 {
        self.use_count += 1;
        let Some(prefix) = self.prefixes.get_mut(&chat) else {
            return 0;
        };
        prefix.last_use = self.use_count;
        let pairs = prefix.blocks.iter().zip(blocks);
        let common = pairs.take_while(|(stored, requested)| stored == requested);
        common.map(|(_, requested)| requested.tokens).sum()
    }

    /// Stores the prefix of `chat` and evicts other prefixes while the cache is over capacity.
    pub(super) fn store(&mut self, chat: chat::Key, blocks: Vec<Block>, now: Instant) {
        self.use_count += 1;
        let prefix = Prefix {
            blocks,
            last_use: self.use_count,
        };
        let tokens = prefix.tokens();
        self.prefixes.insert(chat, prefix);
        self.publish(chat, tokens, Kind::Stored, now);
        while self.tokens() > self.capacity_tokens {
            self.evict(now);
        }
    }

    fn evict(&mut self, now: Instant) {
        let oldest = self.prefixes.iter().min_by_key(|(_, p)| p.last_use);
        let Some(chat) = oldest.map(|(chat, _)| *chat) else {
            return;
        };
        let tokens = self.prefixes.remove(&chat).map_or(0, |p| p.tokens());
        self.publish(chat, tokens, Kind::Evicted, now);
    }

    fn publish(&mut self, chat: chat::Key, tokens: u64, kind: Kind, now: Instant) {
        self.last_seq += 1;
        if self.drop_interval > 0 && self.last_seq.is_multiple_of(self.drop_interval) {
            return;
        }
        self.events.push_back(Event {
            seq: self.last_seq,
            chat: chat.to_string(),
            tokens,
            kind,
            visible_at: Some(now + self.lag),
        });
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// The events after `seq` that are visible at `now`.
    pub(super) fn events(&self, seq: u64, now: Instant) -> Vec<Event> {
        let after = self.events.iter().filter(|event| event.seq > seq);
        after
            .filter(|event| event.visible_at.is_some_and(|at| at <= now))
            .cloned()
            .collect()
    }

    /// The number of cached tokens.
    pub(super) fn tokens(&self) -> u64 {
        self.prefixes.values().map(Prefix::tokens).sum()
    }

    /// The cached blocks of `chat`.
    pub(super) fn blocks_of(&self, chat: chat::Key) -> Option<Vec<Block>> {
        self.prefixes.get(&chat).map(|prefix| prefix.blocks.clone())
    }
}
