//! A prompt prefix cache of limited capacity.

use std::collections::{BTreeMap, HashMap};

use units::chat;

/// Sequence number of the first use. Reinserted entries get lower numbers, so that they
/// count as older.
const FIRST_USE: u64 = 1 << 32;

#[derive(Clone, Copy, Debug)]
struct Entry {
    tokens: u32,
    last_use: u64,
}

/// A cache of chat prefixes with least-recently-used eviction.
#[derive(Clone, Debug)]
pub struct Cache {
    capacity: u64,
    total_tokens: u64,
    uses: u64,
    chats: HashMap<chat::Key, Entry>,
    by_use: BTreeMap<u64, chat::Key>,
}

impl Cache {
    /// An empty cache of `capacity` tokens.
    pub fn new(capacity: u64) -> Self {
        Self {
            capacity,
            total_tokens: 0,
            uses: FIRST_USE,
            chats: HashMap::new(),
            by_use: BTreeMap::new(),
        }
    }

    /// Number of cached prompt tokens of `chat`.
    pub fn cached(&self, chat: chat::Key) -> u32 {
        self.chats.get(&chat).map_or(0, |entry| entry.tokens)
    }

    /// Tokens in the cache.
    pub fn total_tokens(&self) -> u64 {
        self.total_tokens
    }

    /// Stores the first `tokens` tokens of `chat` and returns the chats evicted to make
    /// room.
    pub fn store(&mut self, chat: chat::Key, tokens: u32) -> Vec<chat::Key> {
        self.uses += 1;
        self.insert(chat, tokens, self.uses);
        self.evict()
    }

    /// Reinserts a removed chat as the least recently used entry, unless it has been
    /// stored since.
    pub fn insert_oldest(&mut self, chat: chat::Key, tokens: u32) {
        if self.chats.contains_key(&chat) {
            return;
        }
        let first = self.by_use.keys().next().copied().unwrap_or(self.uses);
        self.insert(chat, tokens, first - 1);
        self.evict();
    }

    /// Removes a chat and returns its tokens.
    pub fn remove(&mut self, chat: chat::Key) -> Option<u32> {
        let entry = self.chats.remove(&chat)?;
        self.by_use.remove(&entry.last_use);
        self.total_tokens -= u64::from(entry.tokens);
        Some(entry.tokens)
    }

    /// Changes the capacity and evicts entries that no longer fit.
    pub fn set_capacity(&mut self, capacity: u64) {
        self.capacity = capacity;
        self.evict();
    }

    fn insert(&mut self, chat: chat::Key, tokens: u32, last_use: u64) {
        if let Some(old) = self.chats.insert(chat, Entry { tokens, last_use }) {
            self.by_use.remove(&old.last_use);
            self.total_tokens -= u64::from(old.tokens);
        }
        self.by_use.insert(last_use, chat);
        self.total_tokens += u64::from(tokens);
    }

    fn evict(&mut self) -> Vec<chat::Key> {
        let mut evicted = Vec::new();
        while self.total_tokens > self.capacity && self.chats.len() > 1 {
            let Some((_, oldest)) = self.by_use.pop_first() else {
                break;
            };
            if let Some(entry) = self.chats.remove(&oldest) {
                self.total_tokens -= u64::from(entry.tokens);
                evicted.push(oldest);
            }
        }
        evicted
    }

    /// Removes all entries.
    pub fn clear(&mut self) {
        *self = Self::new(self.capacity);
    }
}
