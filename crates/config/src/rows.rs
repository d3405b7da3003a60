//! Layout of the configuration in the platform's table.

use std::{error, fmt};

use serde::{Deserialize, Serialize};
use units::{change, revision};

use crate::{key, resource};

/// The key of the row that contains the revision of the configuration.
///
/// Every change checks and updates this row, which serializes all changes.
pub const REVISION: &str = "config/revision";

/// The prefix of the rows that form a snapshot: all resources and the revision.
///
/// A single scan reads them consistently. The row of the revision comes last.
pub const SNAPSHOT_PREFIX: &str = "config/re";

/// The prefix of the resource rows.
pub const RESOURCE_PREFIX: &str = "config/resource/";

/// The prefix of the rows of accepted changes, keyed by revision.
pub const CHANGE_PREFIX: &str = "config/change/";

/// The prefix of the rows that map the id of a change to its revision.
pub const ID_PREFIX: &str = "config/id/";

/// The prefix of the rows of refused changes.
pub const REFUSED_PREFIX: &str = "audit/refused/";

/// The key of the row of a change refused at `when`, in milliseconds since the Unix epoch.
pub fn refused(when: u64, id: &change::Id) -> String {
    format!("{}{id}", refused_since(when))
}

/// The lower bound of the keys of changes refused at `when` or later.
pub fn refused_since(when: u64) -> String {
    format!("{REFUSED_PREFIX}{when:020}/")
}

/// The key of the row of a resource.
pub fn resource(key: &key::Key) -> String {
    format!("{RESOURCE_PREFIX}{key}")
}

/// The key of the row of the change that created `revision`.
///
/// The number is padded to 20 digits, so that keys sort in the order of the changes.
pub fn change(revision: revision::Id) -> String {
    format!("{CHANGE_PREFIX}{:020}", revision.0)
}

/// The key of the row that contains the revision created by the change `id`.
pub fn id(id: &change::Id) -> String {
    format!("{ID_PREFIX}{id}")
}

/// A declared resource, as stored in its row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Declared {
    /// The resource.
    pub resource: resource::Resource,
    /// The revision that put the resource, which serves as its generation.
    ///
    /// Revisions are never reused, so a resource that is deleted and declared again
    /// gets a new generation.
    pub revision: revision::Id,
}

/// The error for a row or an archived change that cannot be parsed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Malformed {
    key: String,
    reason: String,
}

impl Malformed {
    /// Creates the error for the row `key`, which cannot be parsed because of `reason`.
    pub fn new(key: &str, reason: impl fmt::Display) -> Self {
        Self {
            key: String::from(key),
            reason: reason.to_string(),
        }
    }
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "row {}: {}", self.key, self.reason)
    }
}

impl error::Error for Malformed {}
