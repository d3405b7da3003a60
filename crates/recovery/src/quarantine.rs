//! Prompt parts that are refused because they crash backend servers.

mod entry;
mod report;
mod sighting;
mod tally;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use units::{
    request::{Fingerprint, Part},
    time::Instant,
};

pub use entry::{Combination, Entry};
pub use report::{Evidence, Report};
pub use sighting::{Chain, MAX_CHAIN, Sighting};

use crate::evidence::{Crash, Moment};
use tally::Tallies;

/// The most combinations that are refused in one decision.
const MAX_DECISIONS: usize = 8;

/// Settings of the quarantine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The number of crashes after which parts are refused, if nothing else explains as many.
    pub min_crashes: usize,
    /// The number of crashes after which parts are refused although something else explains as
    /// many.
    pub max_crashes: usize,
    /// How long after a crash became known it counts: until then, other routers may know of
    /// further requests that were in flight there.
    pub settle_time: Duration,
    /// How long a crash counts.
    pub expiry: Duration,
    /// The maximum number of sightings that are stored.
    pub max_sightings: usize,
    /// How long after a crash it may become known.
    pub confirm_time: Duration,
    /// The maximum number of parts whose last completion is known.
    pub max_completions: usize,
    /// The maximum number of combinations that are refused.
    pub max_entries: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            min_crashes: 3,
            max_crashes: 5,
            settle_time: Duration::from_millis(300),
            expiry: Duration::from_secs(600),
            max_sightings: 2048,
            confirm_time: Duration::from_secs(6),
            max_completions: 8192,
            max_entries: 1024,
        }
    }
}

/// Finds the prompt part under which servers crash, whatever else a request holds, and refuses
/// the requests that hold it.
///
/// Requests with such a part are all different, so that none of them is in flight at two
/// crashes. The evidence is which parts were in flight at each crash: the part that causes
/// crashes is in flight at all of them, and no request with it completes. Three rules keep
/// harmless parts out of it:
///
/// - A part counts only crashes after its last completion, one after the other.
/// - A crash at which a refused part was in flight is no evidence against others.
/// - Parts that were only seen together are refused together: a request is refused if it holds
///   all of them. A harmless one that is sent without the others is served and thereby cleared.
///
/// The fingerprint of a request takes part as if it were a part of the prompt. A single request
/// that is repeated is therefore told from a part of it that others share.
///
/// Sightings and completions form sets, so that routers which know the same evidence refuse the
/// same parts, whatever the order of messages.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    settings: Settings,
    /// Which parts were in flight at crashes, in the order in which they became known.
    sightings: Vec<Sighting>,
    /// When each crash became known.
    known_since: BTreeMap<Crash, Instant>,
    /// The latest crash at which each part was in flight.
    sighted: BTreeMap<Part, Moment>,
    /// When a request with the part last completed.
    completed: BTreeMap<Part, Moment>,
    entries: BTreeMap<Combination, Entry>,
    /// Crashes that a refused request has caused, with its fingerprint. They are evidence against
    /// its own parts only.
    requests: BTreeMap<Crash, Part>,
    /// When it is decided which parts are refused.
    decide_at: Option<Instant>,
}

impl Quarantine {
    /// Creates an empty quarantine.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Adds evidence from this or another router. Returns whether it was new.
    pub fn apply(&mut self, evidence: &Evidence, now: Instant) -> bool {
        match evidence {
            Evidence::Sighting(sighting) => self.record_sighting(sighting.clone(), now),
            Evidence::Completion { part, at } => self.record_completion(*part, *at),
            Evidence::Refused {
                parts,
                crashes,
                last_crash_at,
            } => self.refuse(parts.clone(), Entry::new(*crashes, *last_crash_at)),
            Evidence::Lifted { parts, at } => self.lift(parts, *at),
        }
    }

    /// Records the parts of a request that was in flight at a crash. Returns whether that is new.
    pub fn record_sighting(&mut self, sighting: Sighting, now: Instant) -> bool {
        self.expire(now);
        if sighting.interval.end + self.settings.expiry <= now.into() {
            return false;
        }
        let mut known = self.sightings.iter_mut();
        if let Some(known) = known.find(|known| known.is_same_request(&sighting)) {
            known.interval = known.interval.intersection(sighting.interval);
            return false;
        }
        if self.sightings.len() >= self.settings.max_sightings {
            self.sightings.remove(0);
        }
        self.known_since.entry(sighting.crash).or_insert(now);
        for &part in &sighting.chain {
            let latest = self.sighted.entry(part).or_insert(Moment::EARLIEST);
            *latest = sighting.interval.end.max(*latest);
        }
        self.sightings.push(sighting);
        self.decide_at
            .get_or_insert(now + self.settings.settle_time);
        true
    }

    /// Records that a request with these parts completed, which shows that none of them crashes
    /// servers. Returns those that had been in flight at a crash since their last completion.
    pub fn record_completed(&mut self, chain: &[Part], now: Instant) -> Vec<Part> {
        let at = Moment::from(now);
        let mut suspected = Vec::new();
        for &part in chain {
            if self.is_suspected(part) {
                suspected.push(part);
            }
            // A crash before it may become known only later.
            self.record_completion(part, at);
        }
        self.forget_completions(now);
        suspected
    }

    /// Forgets the oldest completions if there are too many.
    fn forget_completions(&mut self, now: Instant) {
        if self.completed.len() <= self.settings.max_completions {
            return;
        }
        let now = Moment::from(now);
        let confirm_time = self.settings.confirm_time;
        let sighted = &self.sighted;
        self.completed
            .retain(|part, at| *at + confirm_time > now || sighted.contains_key(part));
        while self.completed.len() > self.settings.max_completions {
            self.completed.pop_first();
        }
    }

    /// When a request with a part of the sighting completed after the crash, as far as known.
    pub fn completions_after(&self, sighting: &Sighting) -> impl Iterator<Item = (Part, Moment)> {
        let parts = sighting.chain.iter();
        let known = parts.filter_map(|part| Some((*part, *self.completed.get(part)?)));
        known.filter(move |(_, at)| *at >= sighting.interval.end)
    }

    /// Records that a request with a part completed, on behalf of this or another router.
    /// Returns whether that is new.
    fn record_completion(&mut self, part: Part, at: Moment) -> bool {
        let known = self.completed.entry(part).or_insert(Moment::EARLIEST);
        let is_new = at > *known;
        *known = at.max(*known);
        if is_new {
            self.clear(part, at);
        }
        is_new
    }

    /// Takes a part that has been shown to be harmless out of the combinations that it is
    /// refused in.
    fn clear(&mut self, part: Part, at: Moment) {
        let is_affected = |parts: &Combination, entry: &mut Entry| {
            parts.contains(&part) && entry.last_crash_at <= at
        };
        let affected: Vec<_> = self.entries.extract_if(.., is_affected).collect();
        for (mut parts, entry) in affected {
            parts.retain(|other| *other != part);
            self.refuse(parts, entry);
        }
    }

    /// Whether a part was in flight at a crash since its last completion, or is refused.
    fn is_suspected(&self, part: Part) -> bool {
        let sighted = self.sighted.get(&part);
        sighted.is_some_and(|at| Some(at) > self.completed.get(&part))
            || self.entries.keys().any(|parts| parts.contains(&part))
    }

    /// Whether no request with the part has completed since the crash.
    fn is_live(&self, part: Part, sighting: &Sighting) -> bool {
        let completed = self.completed.get(&part);
        completed.is_none_or(|&completed| sighting.interval.end > completed)
    }

    /// The parts of a sighting that may have caused the crash.
    pub fn suspects(&self, sighting: &Sighting) -> Chain {
        let parts = sighting.chain.iter().copied();
        parts.filter(|&part| self.is_live(part, sighting)).collect()
    }

    /// The number of crashes that each part may have caused, one after the other.
    pub fn crashes(&self, now: Instant) -> BTreeMap<Part, usize> {
        let tallies = self.tallies(now + self.settings.settle_time);
        let tallies = tallies.into_iter();
        tallies
            .map(|(part, tally)| (part, tally.crashes()))
            .collect()
    }

    /// Refuses the parts that explain the crashes, once the evidence has settled. Returns what is
    /// refused from now on.
    pub fn decide(&mut self, now: Instant) -> Vec<Combination> {
        if self.decide_at.is_none_or(|at| now < at) {
            return Vec::new();
        }
        self.expire(now);
        let settled = self.known_since.values().copied();
        let pending = settled
            .map(|at| at + self.settings.settle_time)
            .filter(|at| *at > now);
        self.decide_at = pending.min();
        let mut found = Vec::new();
        while found.len() < MAX_DECISIONS {
            let Some((parts, entry)) = self.best_explanation(now) else {
                break;
            };
            if !self.refuse(parts.clone(), entry) {
                break;
            }
            found.push(parts);
        }
        found
    }

    /// Sets the crashes that refused requests have caused.
    pub fn set_crashing_requests(&mut self, crashes: impl Iterator<Item = (Crash, Fingerprint)>) {
        let requests = crashes.map(|(crash, fingerprint)| (crash, Part(fingerprint.0)));
        self.requests = requests.collect();
    }

    /// When [`Quarantine::decide`] is to be called.
    pub fn next_decision(&self) -> Option<Instant> {
        self.decide_at
    }

    /// The parts that explain the most crashes, if nothing else explains as many.
    fn best_explanation(&self, now: Instant) -> Option<(Combination, Entry)> {
        let tallies = self.tallies(now);
        let (part, best) = tally::best(&tallies)?;
        let crashes = best.crashes();
        let has_rival = tally::has_rival(&tallies, part);
        let min_crashes = match has_rival {
            true => self.settings.max_crashes,
            false => self.settings.min_crashes,
        };
        if crashes < min_crashes {
            return None;
        }
        let crashes = u32::try_from(crashes).unwrap_or(u32::MAX);
        let entry = Entry::new(crashes, best.last_crash_at());
        Some((best.companions.clone(), entry))
    }

    /// Whether all requests with these parts are refused already.
    fn is_covered(&self, parts: &Combination) -> bool {
        self.entries.keys().any(|entry| entry.is_held_by(parts))
    }

    /// What is known at `now` of each part that was in flight at crashes that are not explained.
    fn tallies(&self, now: Instant) -> Tallies {
        let mut tallies = Tallies::new();
        let explained = self.explained();
        let is_settled = |sighting: &&Sighting| {
            let known_since = self.known_since.get(&sighting.crash);
            known_since.is_none_or(|at| *at + self.settings.settle_time <= now)
        };
        let is_evidence = |sighting: &&Sighting| {
            let cause = self.requests.get(&sighting.crash);
            cause.is_none_or(|cause| *cause == sighting.fingerprint())
        };
        let sightings = self.sightings.iter().filter(is_settled);
        for sighting in sightings.filter(is_evidence) {
            let suspects = self.suspects(sighting);
            let entry = explained.get(&sighting.crash);
            for &part in &suspects {
                // A further crash under a part of a combination may show which one it is.
                let is_cause = |entry: &&Combination| {
                    entry.contains(&part) && entry.is_held_by(&sighting.chain)
                };
                if entry.is_none_or(is_cause) {
                    tallies.entry(part).or_default().add(sighting, &suspects);
                }
            }
        }
        tallies.retain(|_, tally| !self.is_covered(&tally.companions));
        tallies
    }

    /// The crashes at which refused parts were in flight, with these parts.
    fn explained(&self) -> BTreeMap<Crash, &Combination> {
        let mut explained = BTreeMap::new();
        for sighting in &self.sightings {
            let mut entries = self.entries.keys();
            if let Some(entry) = entries.find(|entry| entry.is_held_by(&sighting.chain)) {
                explained.insert(sighting.crash, entry);
            }
        }
        explained
    }

    /// The crashes that are explained by refused parts: no evidence against a request, unless it
    /// is a single request that explains them.
    pub fn explained_crashes(&self) -> BTreeSet<Crash> {
        let explained = self.explained();
        let mut crashes: BTreeSet<Crash> = explained.keys().copied().collect();
        for sighting in &self.sightings {
            let entry = explained.get(&sighting.crash);
            if entry.is_some_and(|entry| entry.contains(&sighting.fingerprint())) {
                crashes.remove(&sighting.crash);
            }
        }
        crashes
    }

    /// Refuses requests that hold all of `parts`. Returns whether that is new.
    pub fn refuse(&mut self, parts: Combination, entry: Entry) -> bool {
        if parts.is_empty() || self.is_covered(&parts) {
            return false;
        }
        let is_cleared = |part: &Part| {
            let completed = self.completed.get(part);
            completed.is_some_and(|&completed| completed > entry.last_crash_at)
        };
        if parts.iter().any(is_cleared) {
            return false;
        }
        self.entries.retain(|known, _| !parts.is_held_by(known));
        self.entries.insert(parts, entry);
        while self.entries.len() > self.settings.max_entries {
            self.evict_oldest();
        }
        true
    }

    /// Refuses requests that hold all of `parts` no longer. Their crashes before `at` count against
    /// nothing any more. Returns whether they were refused.
    pub fn lift(&mut self, parts: &Combination, at: Moment) -> bool {
        let is_older = |_: &Combination, entry: &mut Entry| entry.last_crash_at <= at;
        let lifted = self.entries.extract_if(parts..=parts, is_older).count();
        if lifted == 0 {
            return false;
        }
        let caused = self
            .sightings
            .iter()
            .filter(|sighting| sighting.interval.end <= at && parts.is_held_by(&sighting.chain));
        let caused: BTreeSet<Crash> = caused.map(|sighting| sighting.crash).collect();
        self.sightings
            .retain(|sighting| !caused.contains(&sighting.crash));
        for &part in parts.iter() {
            let completed = self.completed.entry(part).or_insert(at);
            *completed = at.max(*completed);
        }
        true
    }

    /// The parts because of which a request is refused. Its fingerprint belongs to its `chain`.
    pub fn refusal(&self, chain: &[Part]) -> Option<&Combination> {
        if self.entries.is_empty() {
            return None;
        }
        self.entries.keys().find(|parts| parts.is_held_by(chain))
    }

    /// The number of crashes under refused parts since it was decided to refuse them.
    pub fn crashes_since(&self, parts: &Combination) -> usize {
        let Some(entry) = self.entries.get(parts) else {
            return 0;
        };
        let later = self.sightings.iter().filter(|sighting| {
            parts.is_held_by(&sighting.chain) && sighting.interval.end > entry.last_crash_at
        });
        let crashes: BTreeSet<Crash> = later.map(|sighting| sighting.crash).collect();
        crashes.len()
    }

    /// What is refused.
    pub fn entries(&self) -> impl Iterator<Item = (&Combination, &Entry)> {
        self.entries.iter()
    }

    /// The number of sightings.
    pub fn len(&self) -> usize {
        self.sightings.len()
    }

    /// Whether there are no sightings.
    pub fn is_empty(&self) -> bool {
        self.sightings.is_empty()
    }

    fn evict_oldest(&mut self) {
        let oldest = self
            .entries
            .iter()
            .min_by_key(|(_, entry)| entry.last_crash_at);
        if let Some(parts) = oldest.map(|(parts, _)| parts.clone()) {
            self.entries.remove(&parts);
            // Its crashes would refuse it again.
            self.sightings
                .retain(|sighting| !parts.is_held_by(&sighting.chain));
        }
    }

    /// Removes crashes that do not count any more, and completions of which nothing is known.
    fn expire(&mut self, now: Instant) {
        let now = Moment::from(now);
        let before = self.sightings.len();
        let expiry = self.settings.expiry;
        self.sightings
            .retain(|sighting| sighting.interval.end + expiry > now);
        if self.sightings.len() == before {
            return;
        }
        self.completed.retain(|_, at| *at + expiry > now);
        self.sighted.retain(|_, at| *at + expiry > now);
        let crashes: BTreeSet<Crash> = self.sightings.iter().map(|known| known.crash).collect();
        self.known_since.retain(|crash, _| crashes.contains(crash));
    }
}
