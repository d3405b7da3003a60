//! The owner's index of the chats in an engine's prompt cache.

use std::collections::{BTreeMap, BTreeSet};

use units::{chat, time};

use crate::settings::Settings;

/// Identifies one run of an engine; it changes with each restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BootId(pub u64);

/// A change of one chat in an engine's cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The chat was stored in the cache.
    Stored {
        /// Number of the chat's tokens in the cache.
        tokens: u32,
    },
    /// The chat was evicted from the cache.
    Evicted,
}

/// Whether an engine has a chat cached, as far as its owner knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheStatus {
    /// The cache holds this many tokens of the chat.
    Cached(u32),
    /// The engine has served the chat, but a missed cache event may have
    /// evicted it since.
    Unknown,
    /// The engine has not served the chat recently, or has evicted it.
    NotCached,
}

#[derive(Clone, Copy, Debug)]
struct Record {
    tokens: u32,
    used_at: time::Instant,
}

/// The chats that one engine has served recently, bounded in number; the least
/// recently used chat is dropped first.
#[derive(Clone, Debug, Default)]
pub struct CacheIndex {
    settings: Settings,
    chats: BTreeMap<chat::Key, Record>,
    by_last_use: BTreeSet<(time::Instant, chat::Key)>,
    boot: Option<BootId>,
    sequence: u64,
    /// Chats served up to this instant may have been evicted by a missed event.
    uncertain_until: Option<time::Instant>,
}

impl CacheIndex {
    /// Creates an empty index.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Records that the engine served `chat` and has `tokens` of it cached.
    pub fn record_served(&mut self, chat: chat::Key, tokens: u32, now: time::Instant) {
        self.remove_chat(chat);
        let record = Record {
            tokens,
            used_at: now,
        };
        self.chats.insert(chat, record);
        self.by_last_use.insert((now, chat));
        while self.chats.len() > self.settings.max_chats_per_server {
            let Some((_, oldest)) = self.by_last_use.pop_first() else {
                break;
            };
            self.chats.remove(&oldest);
        }
    }

    /// The cache status of `chat`.
    pub fn status(&self, chat: chat::Key, now: time::Instant) -> CacheStatus {
        let Some(record) = self.chats.get(&chat) else {
            return CacheStatus::NotCached;
        };
        let expired = record.used_at + self.settings.cache_ttl <= now;
        if expired || record.tokens < self.settings.min_cached_tokens {
            return CacheStatus::NotCached;
        }
        if self
            .uncertain_until
            .is_some_and(|until| record.used_at <= until)
        {
            return CacheStatus::Unknown;
        }
        CacheStatus::Cached(record.tokens)
    }

    /// The number of cached tokens of `chat`; `None` if its status is unknown or
    /// it is not cached.
    pub fn cached_tokens(&self, chat: chat::Key, now: time::Instant) -> Option<u32> {
        match self.status(chat, now) {
            CacheStatus::Cached(tokens) => Some(tokens),
            CacheStatus::Unknown | CacheStatus::NotCached => None,
        }
    }

    /// Applies a cache event of the engine.
    ///
    /// Events may arrive late: one whose sequence number is not above the last
    /// one is ignored. After a gap in the sequence, the missed events may have
    /// evicted any chat, so the status of all chats served until now becomes
    /// unknown.
    pub fn apply_event(
        &mut self,
        boot: BootId,
        sequence: u64,
        chat: chat::Key,
        event: Event,
        now: time::Instant,
    ) {
        self.observe_boot(boot);
        if sequence <= self.sequence {
            return;
        }
        if sequence != self.sequence + 1 {
            self.uncertain_until = Some(now);
        }
        self.sequence = sequence;
        match event {
            Event::Stored { tokens } => self.record_served(chat, tokens, now),
            Event::Evicted => self.remove_chat(chat),
        }
    }

    /// Records the engine's boot ID from a load report or cache event.
    ///
    /// If it differs from the last one, the index is cleared: a restarted engine
    /// has an empty cache. The first ID clears it as well, since earlier chats
    /// may have been served by a previous run.
    pub fn observe_boot(&mut self, boot: BootId) {
        if self.boot == Some(boot) {
            return;
        }
        self.clear();
        self.boot = Some(boot);
        self.sequence = 0;
    }

    /// The number of chats in the index.
    pub fn len(&self) -> usize {
        self.chats.len()
    }

    /// Whether the index has no chats.
    pub fn is_empty(&self) -> bool {
        self.chats.is_empty()
    }

    fn remove_chat(&mut self, chat: chat::Key) {
        if let Some(record) = self.chats.remove(&chat) {
            self.by_last_use.remove(&(record.used_at, chat));
        }
    }

    fn clear(&mut self) {
        self.chats.clear();
        self.by_last_use.clear();
        self.uncertain_until = None;
    }
}
