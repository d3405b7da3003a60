//! The chats that an engine's owner takes to be in the engine's cache.

use std::collections::{BTreeMap, BTreeSet};

use units::{chat, time};

use crate::settings::Settings;

/// The identity of one run of an engine; it changes at a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BootId(pub u64);

/// What a cache event says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The engine's cache holds this many tokens of the chat.
    Stored {
        /// Cached prompt tokens.
        tokens: u32,
    },
    /// The cache holds the chat no longer.
    Evicted,
}

/// What the owner knows of a chat in an engine's cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheStatus {
    /// The cache holds this many tokens of it.
    Cached(u32),
    /// The engine has served it, but an event that is missing may have said
    /// that it was evicted.
    Unknown,
    /// The engine has not served it lately, or has evicted it.
    NotCached,
}

#[derive(Clone, Copy, Debug)]
struct Record {
    tokens: u32,
    used_at: time::Instant,
}

/// The chats served lately by one engine, in bounded memory.
#[derive(Clone, Debug, Default)]
pub struct CacheIndex {
    settings: Settings,
    chats: BTreeMap<chat::Key, Record>,
    by_last_use: BTreeSet<(time::Instant, chat::Key)>,
    boot: Option<BootId>,
    sequence: u64,
    /// What was served up to this instant may have been evicted unheard.
    uncertain_until: Option<time::Instant>,
}

impl CacheIndex {
    /// A memory without chats.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Notes that the engine served `chat`, and has `tokens` of it cached.
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

    /// What is known of `chat`.
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

    /// Cached tokens of `chat`; `None` when it is unknown or not cached.
    pub fn cached_tokens(&self, chat: chat::Key, now: time::Instant) -> Option<u32> {
        match self.status(chat, now) {
            CacheStatus::Cached(tokens) => Some(tokens),
            CacheStatus::Unknown | CacheStatus::NotCached => None,
        }
    }

    /// Takes one cache event of the engine.
    ///
    /// Events come late: one of an earlier run or an earlier sequence number
    /// says nothing. After a gap, the events that are missing may have evicted
    /// any chat, so all chats served until now become unknown.
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

    /// Notes the run of the engine that a load report names. A new run has an
    /// empty cache, and what was served before any run was known may have been
    /// served by an earlier one.
    pub fn observe_boot(&mut self, boot: BootId) {
        if self.boot == Some(boot) {
            return;
        }
        self.clear();
        self.boot = Some(boot);
        self.sequence = 0;
    }

    /// The number of chats remembered.
    pub fn len(&self) -> usize {
        self.chats.len()
    }

    /// Whether no chat is remembered.
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
