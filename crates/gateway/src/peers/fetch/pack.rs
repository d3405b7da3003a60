//! Batches of rows as one compressed value.

use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    source::{Batch, Row, Topic},
    value::Value,
};

/// The number of packed batches that are kept. Many routers ask for the same changes within
/// a moment, and compressing them again for each would take more CPU time than requests.
const MAX_KEPT: usize = 8;

#[derive(Debug, Serialize, Deserialize)]
struct PackedRow {
    key: String,
    version: u64,
    /// The value; `None` if the row was removed.
    value: Option<Bytes>,
}

/// What identifies the content of a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Id {
    topic: Topic,
    after: u64,
    version: u64,
    checksum: u64,
}

/// The batches that were packed last.
#[derive(Clone, Debug, Default)]
pub(super) struct Packer {
    kept: Arc<Mutex<Vec<(Id, Value)>>>,
}

impl Packer {
    /// Packs the rows of a topic that are newer than version `after`, from a replica with
    /// this checksum; `None` if that saves nothing.
    ///
    /// Rows of servers resemble one another. Compressed together, they take a fraction of
    /// the bytes; compressed one by one, most would not become smaller.
    pub fn pack(&self, topic: Topic, batch: &Batch, after: u64, checksum: u64) -> Option<Value> {
        let id = Id {
            topic,
            after,
            version: batch.version,
            checksum,
        };
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        let known = kept.iter().find(|(known, _)| *known == id);
        let value = match known {
            Some((_, value)) => value.clone(),
            None => {
                let value = Value::from(Bytes::from(encode(&batch.rows)?));
                kept.truncate(MAX_KEPT - 1);
                kept.insert(0, (id, value.clone()));
                value
            }
        };
        value.packed()?;
        Some(value)
    }
}

fn encode(rows: &[Row]) -> Option<Vec<u8>> {
    let rows = rows.iter().map(|row| PackedRow {
        key: row.key.clone(),
        version: row.version,
        value: row.value.as_deref().map(Bytes::copy_from_slice),
    });
    postcard::to_stdvec(&rows.collect::<Vec<_>>()).ok()
}

/// The number of rows of an unpacked batch, before they are decoded; `None` if it is malformed.
///
/// A row takes three bytes at least, and a multiple of that once it is decoded.
pub(super) fn count(bytes: &[u8]) -> Option<usize> {
    let (count, _) = postcard::take_from_bytes(bytes).ok()?;
    Some(count)
}

/// Decodes the rows of an unpacked batch; `None` if they are malformed.
pub(super) fn decode(bytes: &[u8]) -> Option<Vec<Row>> {
    let rows: Vec<PackedRow> = postcard::from_bytes(bytes).ok()?;
    let rows = rows.into_iter().map(|row| Row {
        key: row.key,
        version: row.version,
        value: row.value.map(Value::from),
    });
    Some(rows.collect())
}
