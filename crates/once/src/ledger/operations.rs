//! Selection of the next table operation of a ledger.

use units::{request, time};

use super::{Ledger, entry::Next};
use crate::{
    batch::{Batch, Operation},
    row::State,
};

impl Ledger {
    /// The instant at which to call [`Ledger::next_operation`] and [`Ledger::expire`] next.
    pub fn wake_at(&self) -> time::Instant {
        let deadlines = self.entries.values().map(|entry| entry.deadline());
        let operations = self.entries.values().map(|entry| match entry.next {
            Next::Write => entry.not_before.max(self.next_write_at),
            Next::Read => entry.not_before,
            Next::Idle | Next::InFlight => time::Instant::NEVER,
        });
        let operations = operations.filter(|_| self.in_flight.is_empty());
        deadlines
            .chain(operations)
            .min()
            .unwrap_or(time::Instant::NEVER)
    }

    /// The next operation to run; `None` when there is none or one is in flight.
    pub fn next_operation(&mut self, now: time::Instant) -> Option<Operation> {
        if !self.in_flight.is_empty() {
            return None;
        }
        let reads = self.take_ready(Next::Read, now);
        if !reads.is_empty() {
            return Some(self.read_operation(reads));
        }
        if now < self.next_write_at {
            return None;
        }
        let writes = self.take_ready(Next::Write, now);
        if writes.is_empty() {
            return None;
        }
        self.next_write_at = now + self.write_interval;
        Some(self.write_operation(writes))
    }

    /// Takes up to [`crate::Settings::max_batch`] entries that wait for `next`, the oldest first.
    fn take_ready(&mut self, next: Next, now: time::Instant) -> Vec<request::Attempt> {
        let entries = self.entries.values_mut();
        let mut ready: Vec<_> = entries
            .filter(|entry| entry.next == next && entry.not_before <= now)
            .collect();
        ready.sort_by_key(|entry| entry.sequence);
        ready.truncate(self.settings.max_batch);
        ready
            .into_iter()
            .map(|entry| {
                entry.next = Next::InFlight;
                entry.claim.attempt
            })
            .collect()
    }

    fn read_operation(&mut self, attempts: Vec<request::Attempt>) -> Operation {
        let entries = attempts.iter().filter_map(|a| self.entries.get(a));
        let keys = entries.map(|entry| entry.claim.key.clone()).collect();
        self.in_flight = attempts;
        Operation::Read(keys)
    }

    fn write_operation(&mut self, attempts: Vec<request::Attempt>) -> Operation {
        let mut batch = Batch::default();
        for attempt in &attempts {
            let Some(entry) = self.entries.get_mut(attempt) else {
                continue;
            };
            let (key, row) = (entry.claim.key.clone(), entry.row(&self.router));
            entry.write_releases = row.state == State::Released;
            entry.claim_may_exist |= row.state == State::Claimed;
            // A released row is not indexed: a later claim may overwrite it, and a
            // sweep based on the old index row would delete that claim while its
            // request runs.
            if matches!(row.state, State::Done(_)) {
                batch.index_keys.push(key.index(row.bucket));
            }
            batch.checks.push((key.clone(), entry.generation));
            batch.puts.push((key, row));
        }
        self.in_flight = attempts;
        Operation::Write(batch)
    }
}
