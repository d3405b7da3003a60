//! What a store holds, and how fresh it is.

use std::{collections::BTreeMap, sync::Arc};

use audit::reader::Version;
use config::key;
use tokio::time;
use units::{change, revision};

/// Whether the platform answered when it was last asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Health {
    /// It has not been asked.
    Unchecked,
    /// It answered.
    Up,
    /// It did not, for this reason.
    Down(String),
}

/// The configuration held, and how fresh it is.
#[derive(Clone, Debug)]
pub struct View {
    /// The configuration.
    pub version: Arc<Version>,
    /// When the table last confirmed it. `None`: never.
    pub confirmed_at: Option<time::Instant>,
    /// Whether the platform answers.
    pub health: Health,
    /// The resources deleted lately and the revisions without them.
    pub removed: BTreeMap<key::Key, revision::Id>,
    /// The changes that are not known to be committed.
    pub pending: BTreeMap<change::Id, Pending>,
}

/// A change that is not known to be committed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pending {
    /// The resources that it puts and deletes.
    pub keys: Vec<key::Key>,
    /// The revision held when it was given up with an unknown outcome.
    abandoned_at: Option<revision::Id>,
}

/// The most deleted resources that are remembered.
const MAX_REMOVED: usize = 200;

/// The most changes of unknown outcome that are remembered.
const MAX_PENDING: usize = 100;

impl View {
    /// Moves on to `version` and remembers what it deleted.
    pub(super) fn advance(&mut self, version: Arc<Version>) {
        let revision = version.snapshot.revision();
        for declared in self.version.snapshot.resources() {
            let key = declared.resource.key();
            if version.snapshot.resource(&key).is_none() {
                self.removed.insert(key, revision);
            }
        }
        self.removed
            .retain(|key, _| version.snapshot.resource(key).is_none());
        while self.removed.len() > MAX_REMOVED {
            let earliest = self.removed.iter().min_by_key(|(_, revision)| **revision);
            let Some(key) = earliest.map(|(key, _)| key.clone()) else {
                break;
            };
            self.removed.remove(&key);
        }
        // A change of unknown outcome is settled by the next revision, be it its
        // own or another's: it checks that there is none.
        self.pending.retain(|_, pending| {
            pending
                .abandoned_at
                .is_none_or(|current| current >= revision)
        });
        self.version = version;
    }

    /// Remembers that a change of `keys` was proposed.
    pub(super) fn insert_pending(&mut self, id: change::Id, keys: Vec<key::Key>) {
        let abandoned_at = None;
        self.pending.insert(id, Pending { keys, abandoned_at });
        if self.pending.len() > MAX_PENDING {
            self.pending.pop_first();
        }
    }

    /// Notes that the change `id` was given up with an unknown outcome.
    pub(super) fn mark_outcome_unknown(&mut self, id: &change::Id) {
        let current = self.version.snapshot.revision();
        if let Some(pending) = self.pending.get_mut(id) {
            pending.abandoned_at = Some(current);
        }
    }
}
