//! Prompts that servers have read, as routers tell each other of them.

use std::{cmp::Reverse, time::Duration};

use serde::{Deserialize, Serialize};
use units::{chat, time::Instant};

use crate::pool::Part;

/// How long a read is news: a round and a half, so that it is told twice at
/// most and a lost datagram hides few.
const GOSSIP_FOR: Duration = Duration::from_millis(300);
/// The most reads that one datagram tells of as news, where its loads leave room for
/// them; each takes up to twelve bytes.
const MAX_UPDATES: usize = 64;
/// How long a read that was told is known, so that it is not passed on once for
/// each router that tells of it.
const DEDUP_FOR: Duration = Duration::from_secs(2);
/// The most reads that are kept: what a second's datagrams tell of.
const MAX_RECORDS: usize = 320;
/// Shorter runs are read anew in about the time that copying them takes.
const MIN_TOKENS: u64 = 200;

/// A server has read a part of a prompt, and all parts before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CachedPrefix {
    /// A hash of the server's name.
    pub server: u32,
    /// A hash of the part's key.
    pub part: u32,
    /// The length of the part, in tokens.
    pub tokens: u32,
}

/// The hash that stands for a part between routers.
pub fn hash(key: chat::Key) -> u32 {
    (key.0 >> 32) as u32
}

/// The last part of a prompt that other requests share; the one after it belongs
/// to the request or its chat alone.
pub fn shared_part(parts: &[Part]) -> Option<&Part> {
    let last = parts.len().checked_sub(2)?;
    parts.get(last)
}

#[derive(Clone, Copy, Debug)]
struct Record {
    prefix: CachedPrefix,
    /// Until when it is told.
    send_until: Instant,
    /// Until when it is no news if another router tells of it.
    dedup_until: Instant,
}

/// The reads that a router tells others of.
///
/// Where a prompt lies follows from its order of servers only while these stay
/// the same. Once servers are replaced or a zone was out, routers that know
/// only of their own requests have the prompt read anew at a server that lacks
/// it, although another holds it, and its callers wait meanwhile.
#[derive(Clone, Debug, Default)]
pub struct PrefixUpdates {
    records: Vec<Record>,
}

impl PrefixUpdates {
    /// The server with this hash has read a part that it was not known to have.
    pub fn record(&mut self, server: u32, part: &Part, now: Instant) {
        if part.length() < MIN_TOKENS {
            return;
        }
        let prefix = CachedPrefix {
            server,
            part: hash(part.key),
            tokens: part.tokens,
        };
        self.forward(&[prefix], now);
    }

    /// These reads are told from now on, but for those that were told just now.
    pub fn forward(&mut self, prefixes: &[CachedPrefix], now: Instant) {
        self.records.retain(|record| now < record.dedup_until);
        for &prefix in prefixes {
            if self.records.iter().any(|record| record.prefix == prefix) {
                continue;
            }
            self.records.push(Record {
                prefix,
                send_until: now + GOSSIP_FOR,
                dedup_until: now + DEDUP_FOR,
            });
        }
        let surplus = self.records.len().saturating_sub(MAX_RECORDS);
        self.records.drain(..surplus);
    }

    /// What is news at `now`, the longest parts if there is much.
    pub fn updates(&self, now: Instant) -> Vec<CachedPrefix> {
        let updates = self.records.iter().filter(|record| now < record.send_until);
        let mut prefixes: Vec<CachedPrefix> = updates.map(|record| record.prefix).collect();
        prefixes.sort_by_key(|prefix| Reverse(prefix.tokens));
        prefixes.truncate(MAX_UPDATES);
        prefixes
    }
}
