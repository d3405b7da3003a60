//! What the journal held when it was read.

use std::collections::{HashMap, hash_map};

use units::backend;

use super::Batch;
use crate::origins::{Answer, Key};

/// The most streams that are taken from the journal.
const MAX_STREAMS: usize = 262_144;

/// The streams of all rows.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// The position in the list of versions; `None` if several versions began the stream.
    streams: HashMap<Key, Option<u32>>,
    versions: Vec<backend::Version>,
}

impl Snapshot {
    /// Adds the records of a row.
    pub fn insert(&mut self, batch: &Batch) {
        for (key, version) in batch.records() {
            let position = self.position(version);
            let is_full = self.streams.len() >= MAX_STREAMS;
            match self.streams.entry(key) {
                hash_map::Entry::Occupied(mut known) => {
                    if *known.get() != Some(position) {
                        known.insert(None);
                    }
                }
                hash_map::Entry::Vacant(vacant) if !is_full => {
                    vacant.insert(Some(position));
                }
                hash_map::Entry::Vacant(_) => {}
            }
        }
    }

    /// What is known of a stream.
    pub fn find(&self, key: Key) -> Answer {
        let Some(position) = self.streams.get(&key) else {
            return Answer::Unknown;
        };
        let version = position.and_then(|position| self.versions.get(position as usize));
        version.map_or(Answer::Ambiguous, |version| {
            Answer::Version(version.clone())
        })
    }

    /// The number of streams.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Whether there are none.
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
}
