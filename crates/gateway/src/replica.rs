//! This router's replica of the rows of one topic.

use std::collections::{BTreeMap, BTreeSet};

use xxhash_rust::xxh3;

use crate::source::{Batch, Row, Topic};

/// The replicas of all topics.
pub type Replicas = BTreeMap<Topic, Replica>;

/// The maximum number of tombstones kept against stale reads.
const MAX_TOMBSTONES: usize = 4096;

/// Rows that are only ever replaced by rows of a higher version.
///
/// Reads of the store may be stale, and rows relayed by another router may be older than
/// the local ones. If they were applied unconditionally, a configuration that has been
/// replaced could return.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    rows: BTreeMap<String, Row>,
    tombstones: BTreeMap<String, u64>,
    newest: u64,
    /// The version of the newest snapshot: a row that is not in it and not newer is
    /// removed.
    snapshot_version: u64,
    /// The XOR of the hashes of all rows.
    checksum: u64,
}

impl Replica {
    /// Applies rows relayed by another router like [`Replica::merge`], and adopts the
    /// version of the batch.
    pub fn merge_relayed(&mut self, batch: &Batch) -> Vec<Row> {
        let changed = self.merge(batch);
        self.newest = self.newest.max(batch.version);
        changed
    }

    /// Applies rows from the store and returns those that changed; removed rows have no
    /// value.
    pub fn merge(&mut self, batch: &Batch) -> Vec<Row> {
        let mut changed: Vec<Row> = Vec::new();
        for row in &batch.rows {
            if self.upsert(row) {
                changed.push(row.clone());
            }
        }
        if batch.is_snapshot {
            changed.extend(self.remove_missing(batch));
            self.snapshot_version = self.snapshot_version.max(batch.version);
        }
        changed
    }

    fn upsert(&mut self, row: &Row) -> bool {
        let known = self.rows.get(&row.key).map(|known| known.version);
        let removed = self.tombstones.get(&row.key).copied();
        if known.max(removed).is_some_and(|known| row.version <= known) {
            return false;
        }
        self.newest = self.newest.max(row.version);
        // The row was removed before the snapshot, and the sender does not know that yet.
        if row.value.is_some() && known.is_none() && row.version <= self.snapshot_version {
            return false;
        }
        self.remove(&row.key);
        if row.value.is_some() {
            self.tombstones.remove(&row.key);
            self.checksum ^= hash(row);
            self.rows.insert(row.key.clone(), row.clone());
        } else {
            self.add_tombstone(row.key.clone(), row.version);
        }
        true
    }

    fn remove(&mut self, key: &str) {
        if let Some(row) = self.rows.remove(key) {
            self.checksum ^= hash(&row);
        }
    }

    /// Removes rows that a snapshot does not contain, unless they are newer than the
    /// snapshot.
    ///
    /// A row of the same version is removed too: another router may report this version for
    /// a removal that it learned from a snapshot of its own.
    fn remove_missing(&mut self, batch: &Batch) -> Vec<Row> {
        let present = batch.rows.iter().filter(|row| row.value.is_some());
        let listed: BTreeSet<&str> = present.map(|row| row.key.as_str()).collect();
        let is_missing =
            |row: &&Row| !listed.contains(row.key.as_str()) && row.version <= batch.version;
        let missing: Vec<String> = self
            .rows
            .values()
            .filter(is_missing)
            .map(|row| row.key.clone())
            .collect();
        for key in &missing {
            self.remove(key);
            self.add_tombstone(key.clone(), batch.version);
        }
        if !missing.is_empty() {
            self.newest = self.newest.max(batch.version);
        }
        let removal = |key| Row {
            key,
            version: batch.version,
            value: None,
        };
        missing.into_iter().map(removal).collect()
    }

    fn add_tombstone(&mut self, key: String, version: u64) {
        self.tombstones.insert(key, version);
        while self.tombstones.len() > MAX_TOMBSTONES {
            self.tombstones.pop_first();
        }
    }

    /// All rows, without tombstones.
    pub fn rows(&self) -> impl Iterator<Item = &Row> {
        self.rows.values()
    }

    /// The version of the newest change.
    pub fn newest(&self) -> u64 {
        self.newest
    }

    /// A checksum over the rows. Two replicas at the same version have different checksums
    /// if one of them holds a row whose removal only the other has seen.
    pub fn checksum(&self) -> u64 {
        self.checksum
    }

    /// The changes after a version, as relayed to another router.
    ///
    /// Rows missing from the snapshot may have no tombstone. A router whose version is
    /// older than the snapshot therefore receives all rows, and finds the removed ones by
    /// their absence.
    pub fn since(&self, version: u64) -> Batch {
        let is_snapshot = version < self.snapshot_version;
        let rows = self.rows.values();
        let rows = rows.filter(|row| is_snapshot || row.version > version);
        let tombstones = self.tombstones.iter().filter(|&(_, &at)| at > version);
        let tombstones = tombstones.map(|(key, &version)| Row {
            key: key.clone(),
            version,
            value: None,
        });
        Batch {
            rows: rows.cloned().chain(tombstones).collect(),
            version: self.newest,
            is_snapshot,
        }
    }
}

fn hash(row: &Row) -> u64 {
    xxh3::xxh3_64_with_seed(row.key.as_bytes(), row.version)
}
