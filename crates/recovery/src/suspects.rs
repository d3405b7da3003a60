//! Requests that are suspected of crashing backend servers.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use units::{backend, request, time::Instant};
use verdict::{Code, Refusal};

use crate::Settings;

/// One death of a backend server, named alike by all routers that notice it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Crash(pub u64);

impl Crash {
    /// The death of `server` in the boot that it reported.
    ///
    /// Several routers may notice the same death; as they compute the same
    /// name, their strikes merge into one.
    pub fn new(server: &backend::Server, boot: u64) -> Self {
        let hash = xxhash_rust::xxh3::xxh3_64_with_seed(server.as_str().as_bytes(), boot);
        Self(hash)
    }
}

/// A strike as routers pass it on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Strike {
    /// The request that was in flight.
    pub fingerprint: request::Fingerprint,
    /// The death that it was in flight at.
    pub crash: Crash,
}

/// What a request's strikes allow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It has no strike.
    Clear,
    /// It has a strike: it runs beside no other request that has one.
    Suspect,
    /// It is refused everywhere.
    Refused(Refusal),
}

/// The most deaths that are remembered of one request.
const MAX_CRASHES: usize = 8;

/// The deaths that one request was in flight at.
#[derive(Clone, Debug)]
struct Record {
    crashes: SmallVec<[Crash; 2]>,
    /// Deaths at which it was in flight and that it has been cleared of.
    lifted: SmallVec<[Crash; 2]>,
    /// When the last of the deaths was noticed here.
    noticed_at: Instant,
    expires_at: Instant,
}

impl Record {
    fn contains(&self, crash: Crash) -> bool {
        self.crashes.contains(&crash) || self.lifted.contains(&crash)
    }

    fn lift_crash(&mut self, crash: Crash) {
        self.crashes.retain(|other| *other != crash);
        if !self.lifted.contains(&crash) && self.lifted.len() < MAX_CRASHES {
            self.lifted.push(crash);
        }
    }
}

/// Strikes against requests that were in flight when a backend server died.
///
/// Now and then one request crashes each server that runs it, and its caller
/// sends it again: without a count it takes down one server after another.
/// Its neighbours in the batch die with it and get a strike too, so one strike
/// proves nothing. A request with a strike runs beside no other that has one,
/// which [`Standing::Suspect`] asks for; then only the guilty one dies twice.
/// One that completes is cleared.
///
/// When a zone loses power, every request in it gets a strike. Run one at a
/// time, they would block each other for minutes; so beyond a set number they
/// run side by side. A body that many callers send was in flight on several of
/// the servers at once, and that counts as one strike: see [`Self::record_crash`].
///
/// Strikes and their lifting are sets of named deaths, so that duplicates and
/// any order of arrival lead to the same standing on every router.
#[derive(Clone, Debug)]
pub struct Suspects {
    settings: Settings,
    records: BTreeMap<request::Fingerprint, Record>,
    expiry: BTreeSet<(Instant, request::Fingerprint)>,
    /// Requests with a strike that are not refused.
    suspected: usize,
}

impl Suspects {
    /// No request is suspected.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            records: BTreeMap::new(),
            expiry: BTreeSet::new(),
            suspected: 0,
        }
    }

    /// A server died with an attempt in flight that began at `started_at`.
    /// Returns the strike to pass on, if there is one.
    ///
    /// An attempt that began before an earlier death was known was not a repeat
    /// after that death. Both may have died of the same outage, so that this
    /// one proves nothing further.
    pub fn record_crash(
        &mut self,
        strike: Strike,
        started_at: Instant,
        now: Instant,
    ) -> Option<Strike> {
        let existing = self.records.get(&strike.fingerprint);
        let overlaps =
            |record: &Record| !record.crashes.is_empty() && started_at <= record.noticed_at;
        if existing.is_some_and(overlaps) {
            return None;
        }
        self.apply_strike(strike, now).then_some(strike)
    }

    /// Takes in a strike of this or another router. Returns whether it was news.
    pub fn apply_strike(&mut self, strike: Strike, now: Instant) -> bool {
        self.expire(now);
        self.update(strike.fingerprint, now, |record| {
            if record.contains(strike.crash) || record.crashes.len() >= MAX_CRASHES {
                return false;
            }
            record.crashes.push(strike.crash);
            record.noticed_at = now;
            true
        })
    }

    /// The request completed, so that it does not crash servers. Returns the
    /// strikes that are lifted, to pass on.
    pub fn record_completion(&mut self, fingerprint: request::Fingerprint) -> Vec<Strike> {
        let Some(mut record) = self.remove_record(fingerprint) else {
            return Vec::new();
        };
        let mut lifted = Vec::new();
        // Two strikes are final: the answer came from a run that began before.
        if record.crashes.len() < self.settings.refuse_at_strikes {
            for crash in record.crashes.clone() {
                record.lift_crash(crash);
                lifted.push(Strike { fingerprint, crash });
            }
        }
        self.insert_record(fingerprint, record);
        lifted
    }

    /// A strike is lifted, here or by another router. It stays lifted if it is
    /// learned later.
    pub fn lift_strike(&mut self, strike: Strike, now: Instant) {
        self.expire(now);
        self.update(strike.fingerprint, now, |record| {
            record.lift_crash(strike.crash);
            true
        });
    }

    /// What the strikes of a request allow.
    pub fn standing(&self, fingerprint: request::Fingerprint, now: Instant) -> Standing {
        let record = self.records.get(&fingerprint);
        let strikes = record
            .filter(|record| now < record.expires_at)
            .map_or(0, |record| record.crashes.len());
        if strikes == 0 {
            Standing::Clear
        } else if strikes < self.settings.refuse_at_strikes {
            self.standing_with_strike()
        } else {
            Standing::Refused(Refusal::not_run(
                Code::Suspect,
                "Backend servers died while they ran this request.",
            ))
        }
    }

    /// How a request with a strike runs.
    fn standing_with_strike(&self) -> Standing {
        if self.suspected > self.settings.max_isolated {
            Standing::Clear
        } else {
            Standing::Suspect
        }
    }

    /// Requests that are remembered.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no request is remembered.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// All strikes, for a router that has just joined.
    pub fn strikes(&self) -> impl Iterator<Item = Strike> {
        self.records.iter().flat_map(|(&fingerprint, record)| {
            let crashes = record.crashes.iter();
            crashes.map(move |&crash| Strike { fingerprint, crash })
        })
    }

    /// Forgets strikes that no longer count.
    pub fn expire(&mut self, now: Instant) {
        while self.expiry.first().is_some_and(|&(at, _)| at <= now) {
            self.evict_oldest();
        }
    }

    /// Changes the record of a request. If `change` returns true, the record
    /// expires anew from now on.
    fn update(
        &mut self,
        fingerprint: request::Fingerprint,
        now: Instant,
        update: impl FnOnce(&mut Record) -> bool,
    ) -> bool {
        let expires_at = now + self.settings.strike_expiry;
        let mut record = self.remove_record(fingerprint).unwrap_or(Record {
            crashes: SmallVec::new(),
            lifted: SmallVec::new(),
            noticed_at: now,
            expires_at,
        });
        let changed = update(&mut record);
        if changed {
            record.expires_at = expires_at;
        }
        self.insert_record(fingerprint, record);
        while self.records.len() > self.settings.max_suspects {
            self.evict_oldest();
        }
        changed
    }

    fn insert_record(&mut self, fingerprint: request::Fingerprint, record: Record) {
        self.suspected += usize::from(self.is_suspected(&record));
        self.expiry.insert((record.expires_at, fingerprint));
        self.records.insert(fingerprint, record);
    }

    fn remove_record(&mut self, fingerprint: request::Fingerprint) -> Option<Record> {
        let record = self.records.remove(&fingerprint)?;
        self.suspected -= usize::from(self.is_suspected(&record));
        self.expiry.remove(&(record.expires_at, fingerprint));
        Some(record)
    }

    fn is_suspected(&self, record: &Record) -> bool {
        !record.crashes.is_empty() && record.crashes.len() < self.settings.refuse_at_strikes
    }

    fn evict_oldest(&mut self) {
        if let Some(&(_, fingerprint)) = self.expiry.first() {
            self.remove_record(fingerprint);
        }
    }
}
