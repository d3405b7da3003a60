//! The transactional table.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A row as returned by reads.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// The key of the row.
    pub key: String,
    /// The value of the row.
    pub value: Value,
    /// The generation, which increases with each write of the row.
    pub generation: u64,
}

/// The generation that a transaction requires of a row, or, in a conflict, the current one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Check {
    /// The key of the row.
    pub key: String,
    /// The generation of the row; 0 means absent.
    pub generation: u64,
}

/// A row to write.
#[derive(Clone, Debug, Deserialize)]
pub struct Put {
    /// The key of the row.
    pub key: String,
    /// The new value of the row.
    pub value: Value,
}

/// Checks and writes that are applied atomically.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Transaction {
    /// The checks that must hold.
    pub checks: Vec<Check>,
    /// Rows to write.
    pub puts: Vec<Put>,
    /// Keys of rows to delete.
    pub deletes: Vec<String>,
}

/// All rows, ordered by key.
///
/// Generations come from one counter, so that a row that is deleted and written
/// again never reuses an earlier generation.
#[derive(Debug, Default)]
pub struct Table {
    rows: BTreeMap<String, (Value, u64)>,
    last_generation: u64,
}

impl Table {
    /// The row at `key`.
    pub fn get(&self, key: &str) -> Option<Row> {
        let (value, generation) = self.rows.get(key)?;
        Some(row(key, value, *generation))
    }

    /// The first `limit` rows whose keys start with `prefix` and are at least `from`.
    pub fn scan(&self, prefix: &str, from: &str, limit: usize) -> Vec<Row> {
        let first = if from > prefix { from } else { prefix };
        self.rows
            .range(String::from(first)..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .take(limit)
            .map(|(key, (value, generation))| row(key, value, *generation))
            .collect()
    }

    /// Applies `transaction` and returns the generations of its puts.
    ///
    /// # Errors
    ///
    /// The failed checks, with the current generations. Nothing is changed.
    pub fn transact(&mut self, transaction: Transaction) -> Result<Vec<u64>, Vec<Check>> {
        let conflicts = self.conflicts(&transaction.checks);
        if !conflicts.is_empty() {
            return Err(conflicts);
        }
        for key in &transaction.deletes {
            self.rows.remove(key);
        }
        let puts = transaction.puts.into_iter();
        Ok(puts.map(|put| self.put(put)).collect())
    }

    fn conflicts(&self, checks: &[Check]) -> Vec<Check> {
        let current = checks.iter().map(|check| Check {
            key: check.key.clone(),
            generation: self.rows.get(&check.key).map_or(0, |row| row.1),
        });
        let pairs = current.zip(checks);
        pairs
            .filter(|(current, wanted)| current != *wanted)
            .map(|(current, _)| current)
            .collect()
    }

    fn put(&mut self, put: Put) -> u64 {
        self.last_generation += 1;
        self.rows.insert(put.key, (put.value, self.last_generation));
        self.last_generation
    }
}

fn row(key: &str, value: &Value, generation: u64) -> Row {
    Row {
        key: String::from(key),
        value: value.clone(),
        generation,
    }
}
