//! The streams that this router forwards, whose records are told again while they go on.

use std::{sync::Weak, time::Duration};

use units::{pool, time::Instant};

use super::{Lease, Record};

/// How often the version of a stream that goes on is told again: so often that a record is left if a
/// datagram is lost.
pub const RENEWAL_INTERVAL: Duration = Duration::from_secs(25);

#[derive(Debug)]
struct Stream {
    pool: pool::Id,
    record: Record,
    lease: Weak<Lease>,
    renew_at: Instant,
    /// Whether the record was told to the writer of the journal.
    is_journaled: bool,
}

/// The streams that this router forwards.
#[derive(Debug, Default)]
pub struct Renewals {
    streams: Vec<Stream>,
}

impl Renewals {
    /// Adds a stream whose record is told at `now`.
    pub fn began(&mut self, pool: pool::Id, record: Record, lease: Weak<Lease>, now: Instant) {
        self.streams.push(Stream {
            pool,
            record,
            lease,
            renew_at: now + RENEWAL_INTERVAL,
            is_journaled: false,
        });
    }

    /// The records that the journal lacks, of services that need one. They count as journaled from now
    /// on.
    pub fn unjournaled(&mut self, is_needed: impl Fn(&pool::Id) -> bool) -> Vec<Record> {
        let streams = self.streams.iter_mut();
        let missing = streams.filter(|stream| {
            !stream.is_journaled && stream.lease.strong_count() > 0 && is_needed(&stream.pool)
        });
        let told = missing.map(|stream| {
            stream.is_journaled = true;
            stream.record.clone()
        });
        told.collect()
    }

    /// The records that have to be told again at `now`. Forgets the streams that have ended.
    pub fn due(&mut self, now: Instant) -> Vec<Record> {
        self.streams
            .retain(|stream| stream.lease.strong_count() > 0);
        let mut due = Vec::new();
        for stream in self
            .streams
            .iter_mut()
            .filter(|stream| stream.renew_at <= now)
        {
            stream.renew_at = now + RENEWAL_INTERVAL;
            stream.is_journaled = false;
            due.push(stream.record.clone());
        }
        due
    }
}
