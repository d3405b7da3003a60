//! The ledger of executed bookings.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// The number of runs of one booking.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The booking's idempotency key, or the `id` in its body.
    pub id: String,
    /// The number of runs.
    pub runs: u64,
}

/// The executed bookings, ordered by id.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// One entry for each booking.
    pub entries: Vec<Entry>,
}

impl Ledger {
    /// The bookings that were executed more than once.
    pub fn duplicates(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter().filter(|entry| entry.runs > 1)
    }

    /// The number of runs of the booking `id`.
    pub fn runs(&self, id: &str) -> u64 {
        let mut entries = self.entries.iter();
        entries.find(|entry| entry.id == id).map_or(0, |e| e.runs)
    }
}

/// Counts the runs of each booking.
#[derive(Debug, Default)]
pub(super) struct Runs {
    by_id: BTreeMap<String, u64>,
}

impl Runs {
    /// Records a run of the booking `id`.
    pub(super) fn record(&mut self, id: &str) {
        *self.by_id.entry(String::from(id)).or_default() += 1;
    }

    /// The ledger of all runs so far.
    pub(super) fn ledger(&self) -> Ledger {
        let entries = self.by_id.iter().map(|(id, runs)| Entry {
            id: id.clone(),
            runs: *runs,
        });
        Ledger {
            entries: entries.collect(),
        }
    }
}
