//! Updates of the prefix index: prompt prefixes that servers have cached, as exchanged
//! between routers.

use std::{cmp::Reverse, time::Duration};

use serde::{Deserialize, Serialize};
use units::{chat, time::Instant};

use crate::pool::Part;

/// How long an update is sent: one and a half gossip rounds, so that it is sent at most
/// twice and the loss of one datagram hides few updates.
const GOSSIP_FOR: Duration = Duration::from_millis(300);
/// The most updates in one datagram, if its loads leave room for them; each takes up to
/// twelve bytes.
const MAX_UPDATES: usize = 64;
/// How long an update is remembered, so that it is not forwarded once for each router
/// that sends it.
const DEDUP_FOR: Duration = Duration::from_secs(2);
/// The most updates that are remembered: as many as arrive within a second.
const MAX_RECORDS: usize = 320;
/// Shorter parts are not worth an update: computing them takes about as long as copying
/// them.
const MIN_TOKENS: u64 = 200;

/// A server has cached a part of a prompt and all parts before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CachedPrefix {
    /// The hash of the server's name.
    pub server: u32,
    /// The hash of the part's key.
    pub part: u32,
    /// The length of the part, in tokens.
    pub tokens: u32,
}

/// The hash that identifies a prompt part in messages between routers.
pub fn hash(key: chat::Key) -> u32 {
    (key.0 >> 32) as u32
}

/// The last part of a prompt that other requests share; the part after it is specific
/// to the request or its chat.
pub fn shared_part(parts: &[Part]) -> Option<&Part> {
    let last = parts.len().checked_sub(2)?;
    parts.get(last)
}

#[derive(Clone, Copy, Debug)]
struct Record {
    prefix: CachedPrefix,
    /// The end of the period in which the update is sent.
    send_until: Instant,
    /// The end of the period in which the same update from another router is ignored.
    dedup_until: Instant,
}

/// The updates of the prefix index that a router sends to others.
///
/// The ranking of servers locates a cached prompt only as long as the set of servers is
/// unchanged. After servers were replaced or a zone was out of service, a router that
/// knows only its own requests would send a prompt to a server that must compute it,
/// although another server has it cached, and its callers would wait meanwhile.
#[derive(Clone, Debug, Default)]
pub struct PrefixUpdates {
    records: Vec<Record>,
}

impl PrefixUpdates {
    /// Records that the server with this hash has cached a part that was not known to
    /// be cached there.
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

    /// Schedules these updates for sending, except those that were scheduled recently.
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

    /// The updates to send at `now`; if there are too many, those with the longest
    /// parts.
    pub fn updates(&self, now: Instant) -> Vec<CachedPrefix> {
        let updates = self.records.iter().filter(|record| now < record.send_until);
        let mut prefixes: Vec<CachedPrefix> = updates.map(|record| record.prefix).collect();
        prefixes.sort_by_key(|prefix| Reverse(prefix.tokens));
        prefixes.truncate(MAX_UPDATES);
        prefixes
    }
}
