//! The records that one router holds.

use std::collections::{HashMap, VecDeque, hash_map};

use units::{backend, time::Instant};

use super::{Answer, Key, RETENTION, Record};

/// The maximum number of records; the oldest are dropped beyond it.
const MAX_RECORDS: usize = 65_536;

#[derive(Clone, Copy, Debug)]
struct Stream {
    /// The position in the list of versions; `None` if several versions began the stream.
    version: Option<u32>,
    expires_at: Instant,
}

/// The versions that began recent streams.
#[derive(Clone, Debug, Default)]
pub struct Table {
    streams: HashMap<Key, Stream>,
    /// The keys in the order in which their records expire; a renewed one occurs again.
    expiries: VecDeque<(Instant, Key)>,
    /// Each version that occurs in a record, once.
    versions: Vec<backend::Version>,
}

impl Table {
    /// Keeps a record until [`RETENTION`] has passed.
    pub fn insert(&mut self, record: &Record, now: Instant) {
        self.expire(now);
        let version = self.position(&record.version);
        let expires_at = now + RETENTION;
        match self.streams.entry(record.key) {
            hash_map::Entry::Occupied(mut known) => {
                let stream = known.get_mut();
                stream.expires_at = expires_at;
                if stream.version != Some(version) {
                    stream.version = None;
                }
            }
            hash_map::Entry::Vacant(vacant) => {
                vacant.insert(Stream {
                    version: Some(version),
                    expires_at,
                });
            }
        }
        self.expiries.push_back((expires_at, record.key));
        while self.expiries.len() > MAX_RECORDS {
            self.drop_oldest();
        }
    }

    /// What is known of a stream.
    pub fn find(&self, key: Key, now: Instant) -> Answer {
        match self.streams.get(&key) {
            Some(stream) if now < stream.expires_at => stream
                .version
                .and_then(|position| self.versions.get(position as usize))
                .map_or(Answer::Ambiguous, |version| {
                    Answer::Version(version.clone())
                }),
            _ => Answer::Unknown,
        }
    }

    /// The streams.
    pub fn keys(&self) -> impl Iterator<Item = Key> {
        self.streams.keys().copied()
    }

    /// The number of streams.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Whether nothing is recorded.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    fn position(&mut self, version: &backend::Version) -> u32 {
        let known = self.versions.iter().position(|known| known == version);
        let position = known.unwrap_or_else(|| {
            self.versions.push(version.clone());
            self.versions.len() - 1
        });
        u32::try_from(position).unwrap_or(u32::MAX)
    }

    /// Drops the records whose time is over.
    pub fn expire(&mut self, now: Instant) {
        while self.expiries.front().is_some_and(|(at, _)| *at <= now) {
            self.drop_oldest();
        }
        if self.streams.is_empty() {
            self.versions.clear();
        }
    }

    fn drop_oldest(&mut self) {
        let Some((at, key)) = self.expiries.pop_front() else {
            return;
        };
        if self
            .streams
            .get(&key)
            .is_some_and(|stream| stream.expires_at <= at)
        {
            self.streams.remove(&key);
        }
    }
}
