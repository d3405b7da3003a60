//! Configuration updates for routers with an older revision.

use std::sync::Arc;

use config::{change, snapshot::Snapshot};
use serde::{Deserialize, Serialize};

/// The changes since a revision, or the whole configuration if they are no
/// longer held.
#[derive(Clone, Debug)]
pub enum Update {
    /// The changes, oldest first.
    Changes(Vec<change::Change>),
    /// The whole configuration.
    Snapshot(Arc<Snapshot>),
}

/// The serialized form of an update.
#[derive(Serialize, Deserialize)]
enum Wire {
    Changes(Vec<change::Change>),
    Snapshot(Box<Snapshot>),
}

impl Update {
    /// Serializes the update as JSON.
    ///
    /// # Errors
    ///
    /// When a resource cannot be serialized.
    pub fn to_json(&self) -> serde_json::Result<Vec<u8>> {
        let wire = match self {
            Self::Changes(changes) => Wire::Changes(changes.clone()),
            Self::Snapshot(snapshot) => Wire::Snapshot(Box::new(Snapshot::clone(snapshot))),
        };
        serde_json::to_vec(&wire)
    }

    /// Parses an update from JSON.
    ///
    /// # Errors
    ///
    /// When `bytes` are not a valid update.
    pub fn from_json(bytes: &[u8]) -> serde_json::Result<Self> {
        Ok(match serde_json::from_slice(bytes)? {
            Wire::Changes(changes) => Self::Changes(changes),
            Wire::Snapshot(snapshot) => Self::Snapshot(Arc::from(snapshot)),
        })
    }
}
