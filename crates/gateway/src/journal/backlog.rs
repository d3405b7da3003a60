//! What a writer has to write and to remove.

use std::collections::VecDeque;

use units::time::Instant;

use crate::origins::{RETENTION, Record};

/// The most records in a row, so that its value stays below the 64 KiB that the store takes.
pub const MAX_ROW_RECORDS: usize = 4096;
/// The most records that wait while the store does not answer; the oldest are dropped beyond it.
pub const MAX_PENDING: usize = 16_384;
/// The most rows that are left of earlier processes; the oldest are removed at once beyond it.
pub const MAX_ROWS: usize = 8192;
/// The most rows that one call removes. The store takes 100 entries a call.
const MAX_REMOVALS: usize = 99;

/// A call that writes a row, removes others, or both.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// The key of the row.
    pub key: String,
    /// Its records; none if no row is written.
    pub records: Vec<Record>,
    /// The keys of the rows to remove.
    pub outdated: Vec<String>,
}

/// The records that wait to be written, and the rows that were.
#[derive(Clone, Debug)]
pub struct Backlog {
    /// Begins the keys of all rows that this process writes.
    prefix: String,
    next_row: u64,
    pending: VecDeque<Record>,
    /// The rows in the store, in the order in which they expire.
    rows: VecDeque<(Instant, String)>,
}

impl Backlog {
    /// Creates a backlog whose rows have keys that begin with `prefix`, which no other process uses.
    pub fn new(prefix: String) -> Self {
        Self {
            prefix,
            next_row: 0,
            pending: VecDeque::new(),
            rows: VecDeque::new(),
        }
    }

    /// Adds records. Returns how many had to be dropped.
    pub fn add(&mut self, records: Vec<Record>) -> usize {
        self.pending.extend(records);
        let dropped = self.pending.len().saturating_sub(MAX_PENDING);
        self.pending.drain(..dropped);
        dropped
    }

    /// Applies the rows that the store holds, the oldest first. Rows of other processes are kept for as
    /// long as new ones, since routers that have just started may need them.
    pub fn found(&mut self, keys: Vec<String>, now: Instant) {
        let mut foreign = keys;
        foreign.retain(|key| !key.starts_with(&self.prefix));
        let kept = foreign.split_off(foreign.len().saturating_sub(MAX_ROWS));
        for key in foreign.into_iter().rev() {
            self.rows.push_front((now, key));
        }
        let expires_at = now + RETENTION;
        self.rows
            .extend(kept.into_iter().map(|key| (expires_at, key)));
    }

    /// The next call; `None` if there is nothing to do at `now`.
    ///
    /// Until it is done, the same row is written again, with further records. The call that failed may
    /// have been applied, or be applied later.
    pub fn next(&self, now: Instant) -> Option<Call> {
        let records = self.pending.iter().take(MAX_ROW_RECORDS).cloned().collect();
        let due = self.rows.iter().take_while(|(at, _)| *at <= now);
        let outdated = due.take(MAX_REMOVALS).map(|(_, key)| key.clone());
        let call = Call {
            key: format!("{}{:016x}", self.prefix, self.next_row),
            records,
            outdated: outdated.collect(),
        };
        (!call.records.is_empty() || !call.outdated.is_empty()).then_some(call)
    }

    /// Records that the store has applied a call.
    pub fn done(&mut self, call: &Call, now: Instant) {
        self.rows.drain(..call.outdated.len());
        if call.records.is_empty() {
            return;
        }
        self.pending.drain(..call.records.len());
        self.rows.push_back((now + RETENTION, call.key.clone()));
        self.next_row += 1;
    }

    /// When the next row expires; `None` if there is none.
    pub fn expires_at(&self) -> Option<Instant> {
        self.rows.front().map(|(at, _)| *at)
    }
}
