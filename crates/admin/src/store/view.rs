//! The state cached by a store: the configuration, its freshness and pending changes.

use std::{collections::BTreeMap, sync::Arc};

use audit::reader::Version;
use config::key;
use tokio::time;
use units::{change, revision};

/// The health of the platform, according to the last refresh or commit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Health {
    /// The platform was not called yet.
    Unchecked,
    /// The platform responded.
    Up,
    /// The refresh failed for this reason.
    Down(String),
}

/// The cached configuration and its freshness.
#[derive(Clone, Debug)]
pub struct View {
    /// The configuration.
    pub version: Arc<Version>,
    /// When the last successful read of the table was started, or when the last change
    /// was committed. `None`: never.
    pub confirmed_at: Option<time::Instant>,
    /// The health of the platform.
    pub health: Health,
    /// Recently deleted resources and the revisions that deleted them.
    pub removed: BTreeMap<key::Key, revision::Id>,
    /// Changes that are in flight or whose outcome is unknown.
    pub pending: BTreeMap<change::Id, Pending>,
}

/// A change that is in flight or whose outcome is unknown.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pending {
    /// The resources that the change puts or deletes.
    pub keys: Vec<key::Key>,
    /// The cached revision when the change ended with an unknown outcome. `None`: the
    /// change is in flight.
    abandoned_at: Option<revision::Id>,
}

/// Maximum number of deleted resources in [`View::removed`].
const MAX_REMOVED: usize = 200;

/// Maximum number of changes in [`View::pending`].
const MAX_PENDING: usize = 100;

impl View {
    /// Replaces the configuration with `version` and records the resources it deleted.
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
        // The next revision resolves a change of unknown outcome: either the change
        // itself made it, or another change did, and then the transaction of the
        // first can no longer commit, since it requires that this revision is absent.
        self.pending.retain(|_, pending| {
            pending
                .abandoned_at
                .is_none_or(|current| current >= revision)
        });
        self.version = version;
    }

    /// Adds a pending change of `keys`.
    pub(super) fn insert_pending(&mut self, id: change::Id, keys: Vec<key::Key>) {
        let abandoned_at = None;
        self.pending.insert(id, Pending { keys, abandoned_at });
        if self.pending.len() > MAX_PENDING {
            self.pending.pop_first();
        }
    }

    /// Marks the change `id` as ended with an unknown outcome.
    pub(super) fn mark_outcome_unknown(&mut self, id: &change::Id) {
        let current = self.version.snapshot.revision();
        if let Some(pending) = self.pending.get_mut(id) {
            pending.abandoned_at = Some(current);
        }
    }
}
