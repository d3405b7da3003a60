//! This router's copy of the rows of one topic.

use std::collections::{BTreeMap, BTreeSet};

use xxhash_rust::xxh3;

use crate::source::{Batch, Row, Topic};

/// The rows of all topics.
pub type Replicas = BTreeMap<Topic, Replica>;

/// How many removals are remembered against stale reads.
const MAX_TOMBSTONES: usize = 4096;

/// Rows that only ever give way to rows of a higher version.
///
/// Reads of the store may be stale, and what another router passes on may be
/// older than what is known here. Were it taken over as it comes, a
/// configuration that was in force could come back.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    rows: BTreeMap<String, Row>,
    tombstones: BTreeMap<String, u64>,
    newest: u64,
    /// The version of the newest whole read: a row that it did not list was gone.
    snapshot_version: u64,
    /// The hashes of the rows, added up in any order.
    checksum: u64,
}

impl Replica {
    /// Takes in what another router passed on, as [`Mirror::merge`]; this one
    /// then knows as much.
    pub fn merge_relayed(&mut self, batch: &Batch) -> Vec<Row> {
        let changed = self.merge(batch);
        self.newest = self.newest.max(batch.version);
        changed
    }

    /// Takes in what the store said and returns the rows that changed, removed ones without a value.
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
        // The row is gone, and another router does not know that yet.
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

    /// Rows that a whole read does not list are gone, unless they are newer than the read.
    ///
    /// One of the same version is gone too: another router can tell this version
    /// of a removal that it knows by a read of its own.
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

    /// The rows.
    pub fn rows(&self) -> impl Iterator<Item = &Row> {
        self.rows.values()
    }

    /// The version of the newest change.
    pub fn newest(&self) -> u64 {
        self.newest
    }

    /// A sum over the rows. At the same version those of two routers differ if one
    /// holds a row that is gone by what the other knows.
    pub fn checksum(&self) -> u64 {
        self.checksum
    }

    /// All changes after a version, as a router passes them on.
    ///
    /// What was gone at the whole read may stand nowhere by its name. One who
    /// knows less than that read gets all rows, and finds it by what is missing.
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
