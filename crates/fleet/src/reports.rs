//! Dissemination of what routers know of requests that may crash backend servers.

use std::{cmp, collections::BTreeMap, time::Duration};

use recovery::{Crash, Evidence, Moment, Report};
use smallvec::SmallVec;
use units::{request, time};

/// The most evidence that is kept; when full, the oldest is evicted.
const MAX_EVIDENCE: usize = 1024;
/// The most strikes that are kept for one request.
const MAX_STRIKES: usize = 8;
/// The number of pushes that carry a piece of evidence.
const PUSH_ROUNDS: usize = 2;
/// The most pieces of known evidence with which new ones still trigger pushes.
const MAX_PUSHED: usize = 16;
/// How often one router sends a piece of evidence.
const TRANSMISSIONS: u8 = 12;
/// The time between two completions of a request that are told apart.
const MIN_COMPLETION_INTERVAL: Duration = Duration::from_secs(1);

/// The evidence known to this router.
///
/// Strikes are identified by the crash, so that one reported by several routers is kept
/// once. Of the completions of a request the last one is kept.
#[derive(Clone, Debug, Default)]
pub(crate) struct Reports {
    entries: BTreeMap<Key, Entry>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Key {
    fingerprint: request::Fingerprint,
    /// The crash, unless the evidence is a completion.
    crash: Option<Crash>,
}

impl Key {
    const fn new(evidence: &Evidence) -> Self {
        Self {
            fingerprint: evidence.fingerprint(),
            crash: match evidence {
                Evidence::Strike(strike) => Some(strike.crash),
                Evidence::Completion(_) => None,
            },
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    evidence: Evidence,
    /// How often it is still to be sent.
    remaining: u8,
}

impl Entry {
    /// The time of the crash or the completion.
    const fn happened_at(&self) -> Moment {
        self.evidence.happened_at()
    }
}

impl Reports {
    /// Adds evidence. Returns whether it is new.
    pub(crate) fn record(
        &mut self,
        evidence: &Evidence,
        expiry: Duration,
        now: time::Instant,
    ) -> bool {
        if evidence.happened_at() + expiry <= now.into() || !self.is_new(evidence) {
            return false;
        }
        if self.entries.len() >= MAX_EVIDENCE {
            self.evict_oldest();
        }
        let entry = Entry {
            evidence: *evidence,
            remaining: TRANSMISSIONS,
        };
        self.entries.insert(Key::new(evidence), entry);
        true
    }

    fn is_new(&self, evidence: &Evidence) -> bool {
        let known = self.entries.get(&Key::new(evidence));
        match evidence {
            // Clocks differ a little, so a repeated completion may seem to be later.
            Evidence::Completion(completion) => known.is_none_or(|known| {
                completion.at.since(known.happened_at()) > MIN_COMPLETION_INTERVAL
            }),
            Evidence::Strike(strike) => {
                known.is_none() && self.strikes(strike.fingerprint) < MAX_STRIKES
            }
        }
    }

    /// The number of strikes against one request.
    fn strikes(&self, fingerprint: request::Fingerprint) -> usize {
        let first = Key {
            fingerprint,
            crash: Some(Crash(0)),
        };
        let last = Key {
            fingerprint,
            crash: Some(Crash(u64::MAX)),
        };
        self.entries.range(first..=last).count()
    }

    /// All evidence.
    pub(crate) fn evidence(&self) -> impl Iterator<Item = &Evidence> {
        self.entries.values().map(|entry| &entry.evidence)
    }

    /// Whether some evidence was not yet sent in enough pushes to `fanout` routers each.
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

    /// Takes up to `count` reports to send, those sent least often first.
    pub(crate) fn take(&mut self, count: usize, now: time::Instant) -> SmallVec<[Report; 2]> {
        let entries = self.entries.values_mut();
        let mut order: Vec<&mut Entry> = entries.filter(|entry| entry.remaining > 0).collect();
        order.sort_by_key(|entry| cmp::Reverse(entry.remaining));
        order
            .into_iter()
            .take(count)
            .map(|entry| {
                entry.remaining -= 1;
                Report::new(&entry.evidence, now)
            })
            .collect()
    }

    pub(crate) fn expire(&mut self, expiry: Duration, now: time::Instant) {
        let now = Moment::from(now);
        self.entries
            .retain(|_, entry| entry.happened_at() + expiry > now);
    }

    fn evict_oldest(&mut self) {
        let entries = self.entries.iter();
        let oldest = entries.min_by_key(|(_, entry)| entry.happened_at());
        if let Some(key) = oldest.map(|(key, _)| *key) {
            self.entries.remove(&key);
        }
    }
}
