//! The value of a row of the journal.

use serde::{Deserialize, Serialize};
use units::backend;

use crate::{
    origins::{Key, Record},
    source::Malformed,
};

/// Records in a compact form: each version once, and eight bytes for each stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    versions: Vec<(backend::Version, Vec<[u8; 8]>)>,
}

impl Batch {
    /// Collects records.
    pub fn new<'a>(records: impl Iterator<Item = &'a Record>) -> Self {
        let mut batch = Self::default();
        for record in records {
            let mut versions = batch.versions.iter_mut();
            let known = versions.find(|(version, _)| *version == record.version);
            let key = record.key.0.to_be_bytes();
            match known {
                Some((_, keys)) => keys.push(key),
                None => batch.versions.push((record.version.clone(), vec![key])),
            }
        }
        batch
    }

    /// The records.
    pub fn records(&self) -> impl Iterator<Item = (Key, &backend::Version)> {
        let versions = self.versions.iter();
        versions.flat_map(|(version, keys)| {
            let keys = keys.iter();
            keys.map(move |key| (Key(u64::from_be_bytes(*key)), version))
        })
    }

    /// The value of the row.
    ///
    /// # Errors
    ///
    /// When it cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, Malformed> {
        postcard::to_stdvec(self).map_err(|error| Malformed(error.to_string()))
    }

    /// Decodes the value of a row.
    ///
    /// # Errors
    ///
    /// When it is no batch, or is followed by other bytes.
    pub fn decode(bytes: &[u8]) -> Result<Self, Malformed> {
        match postcard::take_from_bytes(bytes) {
            Ok((batch, [])) => Ok(batch),
            Ok((_, rest)) => Err(Malformed(format!("{} bytes follow", rest.len()))),
            Err(error) => Err(Malformed(error.to_string())),
        }
    }
}
