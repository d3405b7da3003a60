//! Requests that are suspected of crashing backend servers (poison requests).

use std::collections::{BTreeMap, BTreeSet};

use smallvec::SmallVec;
use units::{request, time::Instant};
use verdict::{Code, Refusal};

use crate::{
    Settings,
    evidence::{Completion, Crash, Evidence, Moment, Strike},
};

/// How a request may run, given its strikes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Standing {
    /// The request runs without restrictions: it has no strikes, or too many requests
    /// have a strike to isolate them.
    Clear,
    /// The request has a strike: it must not run on a server together with another
    /// suspect request.
    Suspect,
    /// The request is refused by all routers.
    Refused(Refusal),
}

/// The maximum number of strikes that are stored for one request.
const MAX_STRIKES: usize = 8;

/// What is known of one request.
#[derive(Clone, Debug)]
struct Record {
    /// Its strikes, in the order in which their intervals end.
    strikes: SmallVec<[Strike; 4]>,
    /// Its last known completion, which lifts the strikes before it.
    completed_at: Moment,
    expires_at: Moment,
}

impl Record {
    /// The strikes that count: as many as possible of which no two may have happened at
    /// the same moment.
    fn counted(&self, excused: &BTreeSet<Crash>) -> impl Iterator<Item = &Strike> {
        let mut last_end = Moment::EARLIEST;
        let strikes = self.strikes.iter();
        let live = strikes.filter(move |strike| {
            strike.interval.end > self.completed_at && !excused.contains(&strike.crash)
        });
        live.filter(move |strike| {
            let is_independent = strike.interval.start > last_end;
            if is_independent {
                last_end = strike.interval.end;
            }
            is_independent
        })
    }

    fn count(&self, excused: &BTreeSet<Crash>) -> usize {
        self.counted(excused).count()
    }

    /// Adds a strike. Returns whether it is new and kept.
    fn insert(&mut self, strike: Strike, excused: &BTreeSet<Crash>) -> bool {
        let known = self
            .strikes
            .iter_mut()
            .find(|known| known.crash == strike.crash);
        let is_new = known.is_none();
        match known {
            Some(known) => known.narrow(&strike),
            None => self.strikes.push(strike),
        }
        self.strikes.sort_by_key(|strike| strike.interval.end);
        is_new && !self.evict(&strike, excused)
    }

    /// Removes the last strike that does not count, if there are too many. Returns whether
    /// it is `strike`.
    fn evict(&mut self, strike: &Strike, excused: &BTreeSet<Crash>) -> bool {
        if self.strikes.len() <= MAX_STRIKES {
            return false;
        }
        let counted = self.counted(excused).map(|strike| strike.crash);
        let counted: SmallVec<[_; 4]> = counted.collect();
        let is_spare = |strike: &Strike| !counted.contains(&strike.crash);
        let spare = self.strikes.iter().rposition(is_spare);
        let evicted = self.strikes.remove(spare.unwrap_or(MAX_STRIKES));
        evicted.crash == strike.crash
    }
}

/// Strikes against requests that were in flight when a backend server crashed.
///
/// A poison request crashes every server that runs it. If its caller retries it,
/// it takes down one server after another unless crashes are counted. All other
/// requests in the same batch fail with it and get a strike too, so a single
/// strike is not conclusive. Requests with a strike are therefore isolated from
/// each other ([`Standing::Suspect`]), so that only the poison request is in flight
/// at a second crash. The strikes of a request that completes are lifted.
///
/// When a zone loses power, every request in flight in it gets a strike. Isolating
/// them all would make them wait for each other for minutes, so none is isolated
/// when more than [`Settings::max_isolated`] requests are suspects. An identical
/// request from many callers may be in flight on several servers of that zone. Only
/// crashes that happened one after the other count, as the intervals of their strikes
/// show: a request that causes crashes causes them whenever it runs.
///
/// What is known of a request is a set of crashes and the time of its last completion,
/// so every router reaches the same standing regardless of duplicates and the order of
/// messages.
#[derive(Clone, Debug)]
pub struct Suspects {
    settings: Settings,
    records: BTreeMap<request::Fingerprint, Record>,
    expiry: BTreeSet<(Moment, request::Fingerprint)>,
    /// Crashes that have another cause, and count against no request.
    excused: BTreeSet<Crash>,
    /// The number of requests that have a strike but are not refused.
    suspected: usize,
}

impl Suspects {
    /// Creates a set without suspects.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            records: BTreeMap::new(),
            expiry: BTreeSet::new(),
            excused: BTreeSet::new(),
            suspected: 0,
        }
    }

    /// Adds evidence from this or another router. Returns whether it was new.
    pub fn apply(&mut self, evidence: &Evidence, now: Instant) -> bool {
        match evidence {
            Evidence::Strike(strike) => self.apply_strike(*strike, now),
            Evidence::Completion(completion) => self.apply_completion(*completion, now),
        }
    }

    /// Adds a strike from this or another router. Returns whether it was new.
    pub fn apply_strike(&mut self, strike: Strike, now: Instant) -> bool {
        self.expire(now);
        let expires_at = strike.interval.end + self.settings.strike_expiry;
        if expires_at <= now.into() {
            return false;
        }
        self.update(strike.fingerprint, |record, excused| {
            record.expires_at = record.expires_at.max(expires_at);
            record.insert(strike, excused)
        })
    }

    /// Records that the request completed, which shows that it does not crash servers.
    /// Returns the evidence to send to other routers, if it lifts any strike.
    pub fn record_completion(
        &mut self,
        fingerprint: request::Fingerprint,
        now: Instant,
    ) -> Option<Completion> {
        if self.strike_count(fingerprint, now) == 0 {
            return None;
        }
        let completion = Completion {
            fingerprint,
            at: now.into(),
        };
        self.apply_completion(completion, now).then_some(completion)
    }

    /// Lifts the strikes before a completion, on behalf of this or another router. They
    /// stay lifted even if they arrive later.
    fn apply_completion(&mut self, completion: Completion, now: Instant) -> bool {
        self.expire(now);
        let expires_at = completion.at + self.settings.strike_expiry;
        if expires_at <= now.into() {
            return false;
        }
        self.update(completion.fingerprint, |record, _| {
            let is_new = completion.at > record.completed_at;
            record.completed_at = record.completed_at.max(completion.at);
            record.expires_at = record.expires_at.max(expires_at);
            is_new
        })
    }

    /// How a request may run, given its strikes.
    pub fn standing(&self, fingerprint: request::Fingerprint, now: Instant) -> Standing {
        let strikes = self.strike_count(fingerprint, now);
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

    /// The number of strikes against a request: crashes that happened one after the other.
    pub fn strike_count(&self, fingerprint: request::Fingerprint, now: Instant) -> usize {
        let record = self.records.get(&fingerprint);
        record
            .filter(|record| record.expires_at > now.into())
            .map_or(0, |record| record.count(&self.excused))
    }

    /// The strikes against a request that count, as many as lead to its refusal.
    pub fn counted_strikes(
        &self,
        fingerprint: request::Fingerprint,
    ) -> impl Iterator<Item = Strike> {
        let record = self.records.get(&fingerprint);
        let strikes = record.into_iter();
        let strikes = strikes.flat_map(|record| record.counted(&self.excused));
        strikes.copied().take(self.settings.refuse_at_strikes)
    }

    /// The requests that are refused.
    pub fn refused(&self, now: Instant) -> impl Iterator<Item = request::Fingerprint> {
        let limit = self.settings.refuse_at_strikes;
        let records = self.records.iter();
        let live = records.filter(move |(_, record)| record.expires_at > now.into());
        let refused = live.filter(move |(_, record)| record.count(&self.excused) >= limit);
        refused.map(|(&fingerprint, _)| fingerprint)
    }

    /// The crashes that refused requests have caused, with their fingerprints.
    pub fn refused_crashes(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (Crash, request::Fingerprint)> {
        self.refused(now).flat_map(|fingerprint| {
            let record = self.records.get(&fingerprint);
            let strikes = record.into_iter().flat_map(|record| &record.strikes);
            strikes.map(move |strike| (strike.crash, fingerprint))
        })
    }

    /// The standing of a request that has a strike but is not refused.
    fn standing_with_strike(&self) -> Standing {
        if self.suspected > self.settings.max_isolated {
            Standing::Clear
        } else {
            Standing::Suspect
        }
    }

    /// Sets the crashes that have another cause, and count against no request.
    pub fn excuse(&mut self, crashes: BTreeSet<Crash>) {
        if self.excused == crashes {
            return;
        }
        self.excused = crashes;
        let records = self.records.values();
        let suspected = records.filter(|record| self.is_suspected(record));
        self.suspected = suspected.count();
    }

    /// The number of requests with a record.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Removes expired records.
    pub fn expire(&mut self, now: Instant) {
        let now = Moment::from(now);
        while self.expiry.first().is_some_and(|&(at, _)| at <= now) {
            self.evict_oldest();
        }
    }

    /// Updates the record of a request. Returns what `update` returns.
    fn update(
        &mut self,
        fingerprint: request::Fingerprint,
        update: impl FnOnce(&mut Record, &BTreeSet<Crash>) -> bool,
    ) -> bool {
        let mut record = self.remove_record(fingerprint).unwrap_or(Record {
            strikes: SmallVec::new(),
            completed_at: Moment::EARLIEST,
            expires_at: Moment::EARLIEST,
        });
        let changed = update(&mut record, &self.excused);
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
        (1..self.settings.refuse_at_strikes).contains(&record.count(&self.excused))
    }

    fn evict_oldest(&mut self) {
        if let Some(&(_, fingerprint)) = self.expiry.first() {
            self.remove_record(fingerprint);
        }
    }
}
