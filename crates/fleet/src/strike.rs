//! Strikes against requests during which backend servers died, and their dissemination.

use std::{cmp, collections::BTreeMap, time::Duration};

use smallvec::SmallVec;
use units::{request, time};
use wire::heartbeat;

/// The most strikes that are kept; when full, the one that expires first is evicted.
const MAX_STRIKES: usize = 1024;
/// The most strikes that are counted against one request.
const MAX_COUNT: usize = 4;
/// The number of pushes that carry a strike.
const PUSH_ROUNDS: usize = 2;
/// The most known strikes with which strikes still trigger pushes.
const MAX_PUSHED: usize = 16;
/// How often one router sends a strike.
const TRANSMISSIONS: u8 = 12;

/// The strikes against one request: backend servers that died with it in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StrikeCount {
    /// The fingerprint of the request.
    pub fingerprint: request::Fingerprint,
    /// The number of its attempts during which the server died.
    pub count: usize,
    /// When the last of the strikes expires.
    pub expires_at: time::Instant,
}

/// The strikes known to this router.
///
/// Strikes are identified by the attempt, so that a death reported by several
/// routers counts once, and deaths seen by different routers are summed.
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
    /// Adds a strike; returns the new count if the strike was not known.
    pub(crate) fn record(
        &mut self,
        fingerprint: request::Fingerprint,
        attempt: [u8; 4],
        expires_at: time::Instant,
        now: time::Instant,
    ) -> Option<StrikeCount> {
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

    /// The number and the latest expiry of the strikes against one request.
    pub(crate) fn count(
        &self,
        fingerprint: request::Fingerprint,
        now: time::Instant,
    ) -> Option<StrikeCount> {
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
        live.iter().max().map(|expires_at| StrikeCount {
            fingerprint,
            count: live.len(),
            expires_at: *expires_at,
        })
    }

    /// The short ids of the request's attempts during which a server died.
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

    /// Whether a strike was not yet sent in enough pushes to `fanout` routers each.
    ///
    /// A flood of strikes triggers no pushes, which would exceed the router's
    /// traffic budget; the strikes are piggybacked on periodic heartbeats.
    pub(crate) fn needs_push(&self, fanout: usize) -> bool {
        let sent = |entry: &Entry| usize::from(TRANSMISSIONS - entry.remaining);
        let fresh = self
            .entries
            .values()
            .any(|entry| sent(entry) < PUSH_ROUNDS * fanout);
        fresh && self.entries.len() <= MAX_PUSHED
    }

    /// Takes up to `count` strikes to send, those sent least often first.
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

/// The remaining time, rounded down to seconds so that it shrinks with each relay.
fn remaining_seconds(entry: &Entry, now: time::Instant) -> u16 {
    u16::try_from(entry.expires_at.since(now).as_secs()).unwrap_or(u16::MAX)
}

/// When a strike received in a heartbeat expires.
pub(crate) fn expires_at(strike: &heartbeat::Strike, now: time::Instant) -> time::Instant {
    now + Duration::from_secs(u64::from(strike.remaining))
}
