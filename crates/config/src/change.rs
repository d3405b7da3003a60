//! Accepted changes to the configuration.

use serde::{Deserialize, Serialize};
use units::{change, operator, revision};

use crate::{key, resource};

/// An accepted change, which is also its entry in the audit trail.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The idempotency key that the operator chose. A retry has the same key.
    pub id: change::Id,
    /// The operator who made the change.
    pub who: operator::Id,
    /// The time at which the change was accepted, in milliseconds since the Unix epoch.
    pub when: u64,
    /// The revision to which the change was applied.
    pub from: revision::Id,
    /// The revision that the change created: the successor of `from`.
    pub to: revision::Id,
    /// The resources that the change created or replaced.
    pub puts: Vec<resource::Resource>,
    /// The keys of the resources that the change deleted.
    pub deletes: Vec<key::Key>,
}
