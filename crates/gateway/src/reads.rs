//! Prompts that servers have read, as routers tell each other of them.

use std::{cmp::Reverse, time::Duration};

use serde::{Deserialize, Serialize};
use units::{chat, time::Instant};

use crate::pool::Part;

/// How long a read is news: a round and a half, so that it is told twice at
/// most and a lost datagram hides few.
const NEWS_FOR: Duration = Duration::from_millis(300);
/// The most reads that one datagram tells of as news, where its loads leave room for
/// them; each takes up to twelve bytes.
const MOST_NEWS: usize = 64;
/// How long a read that was told is known, so that it is not passed on once for
/// each router that tells of it.
const KNOWN_FOR: Duration = Duration::from_secs(2);
/// The most reads that are kept: what a second's datagrams tell of.
const MOST_KEPT: usize = 320;
/// Shorter runs are read anew in about the time that copying them takes.
const LEAST_TOKENS: u64 = 200;

/// A server has read a part of a prompt, and all parts before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Read {
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
pub fn shared(parts: &[Part]) -> Option<&Part> {
    let last = parts.len().checked_sub(2)?;
    parts.get(last)
}

#[derive(Clone, Copy, Debug)]
struct Record {
    read: Read,
    /// Until when it is told.
    news_until: Instant,
    /// Until when it is no news if another router tells of it.
    known_until: Instant,
}

/// The reads that a router tells others of.
///
/// Where a prompt lies follows from its order of servers only while these stay
/// the same. Once servers are replaced or a zone was out, routers that know
/// only of their own requests have the prompt read anew at a server that lacks
/// it, although another holds it, and its callers wait meanwhile.
#[derive(Clone, Debug, Default)]
pub struct Reads {
    records: Vec<Record>,
}

impl Reads {
    /// The server with this hash has read a part that it was not known to have.
    pub fn note(&mut self, server: u32, part: &Part, now: Instant) {
        if part.length() < LEAST_TOKENS {
            return;
        }
        let read = Read {
            server,
            part: hash(part.key),
            tokens: part.tokens,
        };
        self.pass_on(&[read], now);
    }

    /// These reads are told from now on, but for those that were told just now.
    pub fn pass_on(&mut self, reads: &[Read], now: Instant) {
        self.records.retain(|known| now < known.known_until);
        for &read in reads {
            if self.records.iter().any(|known| known.read == read) {
                continue;
            }
            self.records.push(Record {
                read,
                news_until: now + NEWS_FOR,
                known_until: now + KNOWN_FOR,
            });
        }
        let surplus = self.records.len().saturating_sub(MOST_KEPT);
        self.records.drain(..surplus);
    }

    /// What is news at `now`, the longest parts if there is much.
    pub fn news(&self, now: Instant) -> Vec<Read> {
        let news = self.records.iter().filter(|known| now < known.news_until);
        let mut reads: Vec<Read> = news.map(|known| known.read).collect();
        reads.sort_by_key(|read| Reverse(read.tokens));
        reads.truncate(MOST_NEWS);
        reads
    }
}
