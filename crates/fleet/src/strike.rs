//! Strikes of suspect requests, as the routers pass them on.

use std::{cmp, collections::BTreeMap, time::Duration};

use smallvec::SmallVec;
use units::{request, time};
use wire::heartbeat;

/// How many strikes are remembered; those that expire first are dropped.
const MAX_STRIKES: usize = 1024;
/// How many strikes of one request are counted.
const MAX_COUNT: usize = 4;
/// In how many pushes a strike goes out.
const PUSH_ROUNDS: usize = 2;
/// How many strikes may be known for one of them to be pushed again.
const MAX_PUSHED: usize = 16;
/// How often one router tells of a strike.
const TRANSMISSIONS: u8 = 12;

/// How many backend servers died with a request in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Strike {
    /// The request.
    pub fingerprint: request::Fingerprint,
    /// The number of attempts that ended with the server's death.
    pub count: usize,
    /// When the last of them is forgotten.
    pub expires_at: time::Instant,
}

/// The strikes that this router knows.
///
/// Strikes are told apart by the attempt, so that one death that several
/// routers saw counts once, and deaths seen by different routers add up.
#[derive(Clone, Debug, Default)]
pub(crate) struct Strikes {
    entries: BTreeMap<Cause, Entry>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Cause {
    fingerprint: request::Fingerprint,
    attempt: [u8; 4],
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    expires_at: time::Instant,
    remaining: u8,
}

impl Strikes {
    /// Adds a strike; the new count when it was not known.
    pub(crate) fn record(
        &mut self,
        fingerprint: request::Fingerprint,
        attempt: [u8; 4],
        expires_at: time::Instant,
        now: time::Instant,
    ) -> Option<Strike> {
        let cause = Cause {
            fingerprint,
            attempt,
        };
        let before = self
            .count(fingerprint, now)
            .map_or(0, |strike| strike.count);
        if expires_at <= now || before >= MAX_COUNT || self.entries.contains_key(&cause) {
            return None;
        }
        if self.entries.len() >= MAX_STRIKES {
            self.evict_earliest();
        }
        let entry = Entry {
            expires_at,
            remaining: TRANSMISSIONS,
        };
        self.entries.insert(cause, entry);
        self.count(fingerprint, now)
    }

    /// The strikes against one request.
    pub(crate) fn count(
        &self,
        fingerprint: request::Fingerprint,
        now: time::Instant,
    ) -> Option<Strike> {
        let first = Cause {
            fingerprint,
            attempt: [0; 4],
        };
        let last = Cause {
            fingerprint,
            attempt: [u8::MAX; 4],
        };
        let live = self
            .entries
            .range(first..=last)
            .map(|(_, entry)| entry.expires_at);
        let live: SmallVec<[time::Instant; MAX_COUNT]> = live.filter(|at| *at > now).collect();
        live.iter().max().map(|expires_at| Strike {
            fingerprint,
            count: live.len(),
            expires_at: *expires_at,
        })
    }

    /// The short names of the attempts that ended with a server's death.
    pub(crate) fn causes(
        &self,
        fingerprint: request::Fingerprint,
        now: time::Instant,
    ) -> SmallVec<[[u8; 4]; MAX_COUNT]> {
        let entries = self.entries.iter();
        entries
            .filter(|(cause, entry)| cause.fingerprint == fingerprint && entry.expires_at > now)
            .map(|(cause, _)| cause.attempt)
            .collect()
    }

    /// Whether some strike has to be pushed still, to `fanout` routers each time.
    ///
    /// A flood of strikes is not urgent: it rides on beats, or pushes would
    /// take more than the traffic that a router may use.
    pub(crate) fn needs_push(&self, fanout: usize) -> bool {
        let sent = |entry: &Entry| usize::from(TRANSMISSIONS - entry.remaining);
        let fresh = self
            .entries
            .values()
            .any(|entry| sent(entry) < PUSH_ROUNDS * fanout);
        fresh && self.entries.len() <= MAX_PUSHED
    }

    /// Takes up to `count` strikes to tell of, those least told first.
    pub(crate) fn take(
        &mut self,
        count: usize,
        now: time::Instant,
    ) -> SmallVec<[heartbeat::Strike; 2]> {
        let mut order: Vec<(&Cause, &mut Entry)> = self
            .entries
            .iter_mut()
            .filter(|(_, entry)| entry.remaining > 0 && remaining_seconds(entry, now) > 0)
            .collect();
        order.sort_by_key(|(_, entry)| cmp::Reverse(entry.remaining));
        order
            .into_iter()
            .take(count)
            .map(|(cause, entry)| {
                entry.remaining -= 1;
                heartbeat::Strike {
                    fingerprint: cause.fingerprint,
                    attempt: cause.attempt,
                    remaining: remaining_seconds(entry, now),
                }
            })
            .collect()
    }

    pub(crate) fn expire(&mut self, now: time::Instant) {
        self.entries.retain(|_, entry| entry.expires_at > now);
    }

    fn evict_earliest(&mut self) {
        let first = self
            .entries
            .iter()
            .min_by_key(|(_, entry)| entry.expires_at);
        if let Some(cause) = first.map(|(cause, _)| *cause) {
            self.entries.remove(&cause);
        }
    }
}

/// The remaining time in whole seconds, so that it shrinks with every hand-on.
fn remaining_seconds(entry: &Entry, now: time::Instant) -> u16 {
    u16::try_from(entry.expires_at.since(now).as_secs()).unwrap_or(u16::MAX)
}

/// When a strike that a heartbeat tells of is forgotten.
pub(crate) fn expires_at(strike: &heartbeat::Strike, now: time::Instant) -> time::Instant {
    now + Duration::from_secs(u64::from(strike.remaining))
}
