//! Detection of requests that crash servers.

mod deaths;
mod outbox;
mod shared_parts;

use std::{cmp::Reverse, collections::BTreeSet, mem, ops::Bound, time::Duration};

use deaths::Deaths;
use outbox::Outbox;
use recovery::{
    Completion, Crash, Evidence, Interval, Quarantine, Report, Standing, Strike, Suspects,
    quarantine,
};
use smallvec::SmallVec;
use units::{
    backend,
    request::{Fingerprint, Part},
    time::Instant,
};

use crate::parts;

/// How long after the sign of a crash it may be confirmed.
///
/// A crashed server refuses connections immediately, and its entry in the store changes
/// within a few heartbeats of about a second.
const CONFIRM_WITHIN: Duration = Duration::from_secs(6);
/// How long evidence is sent to other routers: several gossip rounds.
const GOSSIP_FOR: Duration = Duration::from_secs(3);
/// The most strikes and completions in one datagram.
const MAX_REPORTS: usize = 8;
/// The most completions among them.
///
/// Popular requests complete often, and would crowd out the strikes against others.
const MAX_COMPLETIONS: usize = 2;
/// The most requests that wait for the confirmation of a crash.
const MAX_CANDIDATES: usize = 4096;
/// The most pieces of evidence that are sent to other routers at a time.
const MAX_RECENT: usize = 1024;
/// How many pieces of recent evidence there may be for a single strike to be sent at once.
///
/// Beyond that, servers crash for another reason than one request.
const MAX_PUSHED: usize = 16;
/// How often the strikes against one refused request are repeated, for routers that have
/// started since or were cut off.
const REPEAT_INTERVAL: Duration = Duration::from_secs(1);
/// The number of crashes after which a request is refused by all routers.
///
/// A crash breaks all requests in flight at the server, not only the one that caused
/// it. A harmless request may be hit twice within a bad minute.
const STRIKE_LIMIT: usize = 3;

/// How it shows that a request may have crashed its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sign {
    /// The connection broke.
    Broken,
    /// The server has sent nothing for some time. Its host may have lost power.
    Silent,
}

/// A request as far as its like may crash servers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Request {
    /// The fingerprint that the request shares with its retries by the caller.
    pub fingerprint: Fingerprint,
    /// The parts of its prompt that other requests may share.
    pub parts: parts::Chain,
}

impl Request {
    /// The parts and the fingerprint, which counts as one of them.
    pub fn chain(&self) -> parts::Chain {
        let own = Part(self.fingerprint.0);
        self.parts.iter().copied().chain([own]).collect()
    }
}

impl From<Fingerprint> for Request {
    fn from(fingerprint: Fingerprint) -> Self {
        Self {
            fingerprint,
            parts: parts::Chain::new(),
        }
    }
}

/// A request that may have crashed its server.
#[derive(Clone, Debug)]
struct Candidate {
    request: Request,
    server: backend::Server,
    incarnation: u64,
    sign: Sign,
    interval: Interval,
    seen_at: Instant,
}

/// A request that was in flight at a server that crashed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspicion {
    /// The request.
    pub request: Request,
    /// The time from the sign of a crash to its confirmation.
    pub confirmed_after: Duration,
    /// Whether the crash adds a strike.
    pub is_counted: bool,
    /// The number of strikes against the request.
    pub strikes: usize,
}

/// Tracks requests that are suspected of crashing servers.
///
/// A broken connection alone is weak evidence, since connections are reset for many
/// reasons. It counts once the server refuses connections or restarts. A server that is
/// silent may be slow, which it shows by accepting a connection.
#[derive(Debug)]
pub struct Tracker {
    suspects: Suspects,
    quarantine: Quarantine,
    outbox: Outbox,
    candidates: Vec<Candidate>,
    deaths: Deaths,
    /// Evidence to send to other routers, and until when.
    recent: Vec<(Evidence, Instant)>,
    /// Whether there is evidence that is to be sent before the next gossip round.
    has_news: bool,
    /// The refused request whose strikes were last repeated.
    last_repeated: Option<Fingerprint>,
    repeat_at: Instant,
}

impl Default for Tracker {
    fn default() -> Self {
        Self::new(quarantine::Settings::default())
    }
}

impl Tracker {
    /// Creates a tracker that knows nothing.
    pub fn new(quarantine: quarantine::Settings) -> Self {
        let settings = recovery::Settings {
            refuse_at_strikes: STRIKE_LIMIT,
            ..recovery::Settings::default()
        };
        Self {
            suspects: Suspects::new(settings),
            quarantine: Quarantine::new(quarantine),
            outbox: Outbox::default(),
            candidates: Vec::new(),
            deaths: Deaths::default(),
            recent: Vec::new(),
            has_news: false,
            last_repeated: None,
            repeat_at: Instant::ZERO,
        }
    }

    /// Whether a request is refused because it is suspected of having crashed several
    /// servers.
    pub fn is_refused(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        matches!(
            self.suspects.standing(fingerprint, now),
            Standing::Refused(_)
        )
    }

    /// The requests that are refused.
    pub fn refused(&self, now: Instant) -> BTreeSet<Fingerprint> {
        self.suspects.refused(now).collect()
    }

    /// Records that a request may have crashed its server. The last sign of life of the
    /// server was at `alive_at`, or the request was sent then.
    pub fn record_sign(
        &mut self,
        sign: Sign,
        request: impl Into<Request>,
        server: &backend::Server,
        incarnation: u64,
        alive_at: Instant,
        now: Instant,
    ) {
        self.candidates
            .retain(|request| now < request.seen_at + CONFIRM_WITHIN);
        if self.candidates.len() >= MAX_CANDIDATES {
            self.candidates.remove(0);
        }
        self.candidates.push(Candidate {
            request: request.into(),
            server: server.clone(),
            incarnation,
            sign,
            interval: Interval::new(alive_at, now),
            seen_at: now,
        });
    }

    /// Records that a server accepts connections. It was only slow then, if a request at it
    /// has stalled.
    pub fn record_alive(&mut self, server: &backend::Server, incarnation: u64) {
        self.candidates.retain(|request| {
            let is_same = request.server == *server && request.incarnation == incarnation;
            !is_same || request.sign == Sign::Broken
        });
    }

    /// Records that a server accepts connections, but none of this router. Requests at it broke
    /// off because of the path between them.
    pub fn record_reachable(&mut self, server: &backend::Server, incarnation: u64) {
        self.candidates
            .retain(|request| request.server != *server || request.incarnation != incarnation);
    }

    /// Records that a response on a connection from `connected_at` has begun at `at`. Returns whether
    /// that shows that the server was taken for dead while it was only silent: no request gets a
    /// strike from that.
    pub fn record_survival(
        &mut self,
        server: &backend::Server,
        incarnation: u64,
        connected_at: Instant,
        at: Instant,
    ) -> bool {
        let crash = Crash::new(server, incarnation);
        let is_pause = self.deaths.record_survival(crash, connected_at, at);
        if is_pause {
            self.excuse_crashes();
        }
        is_pause
    }

    /// Records that a request completed, which clears it of suspicion on all routers.
    pub fn record_completed(&mut self, fingerprint: Fingerprint, now: Instant) {
        if let Some(completion) = self.suspects.record_completion(fingerprint, now) {
            self.push_recent(Evidence::Completion(completion), now);
            self.has_news = true;
        }
    }

    /// Records that the given incarnation of a server has ended. Returns the requests
    /// that were in flight there.
    pub fn record_death(
        &mut self,
        server: &backend::Server,
        incarnation: u64,
        now: Instant,
    ) -> Vec<Suspicion> {
        let matches =
            |request: &Candidate| request.server == *server && request.incarnation == incarnation;
        let (matching, rest): (Vec<_>, Vec<_>) = self.candidates.drain(..).partition(matches);
        self.candidates = rest;
        let crash = Crash::new(server, incarnation);
        matching
            .iter()
            .filter(|request| now < request.seen_at + CONFIRM_WITHIN)
            .map(|request| self.suspect(request, crash, now))
            .collect()
    }

    fn suspect(&mut self, candidate: &Candidate, crash: Crash, now: Instant) -> Suspicion {
        let fingerprint = candidate.request.fingerprint;
        let before = self.suspects.strike_count(fingerprint, now);
        let strike = Strike {
            fingerprint,
            crash,
            interval: candidate.interval,
        };
        self.apply(Evidence::Strike(strike), now);
        self.sight(candidate, crash, now);
        let strikes = self.suspects.strike_count(fingerprint, now);
        Suspicion {
            request: candidate.request.clone(),
            confirmed_after: now.since(candidate.seen_at),
            is_counted: strikes > before,
            strikes,
        }
    }

    /// Applies evidence. Returns whether it was new.
    fn apply(&mut self, evidence: Evidence, now: Instant) -> bool {
        if let Evidence::Strike(strike) = &evidence
            && self.deaths.record(strike, now)
        {
            self.excuse_crashes();
        }
        let is_new = self.suspects.apply(&evidence, now);
        if is_new {
            self.push_recent(evidence, now);
            let strikes = self.suspects.strike_count(evidence.fingerprint(), now);
            if strikes >= STRIKE_LIMIT {
                self.resend_strikes(evidence.fingerprint(), now);
            }
            self.has_news |= strikes > 1 || self.recent.len() <= MAX_PUSHED;
        }
        is_new
    }

    /// Sends the strikes against a request once more: a router that has started since the first
    /// ones may not know them.
    fn resend_strikes(&mut self, fingerprint: Fingerprint, now: Instant) {
        let counted: SmallVec<[Strike; STRIKE_LIMIT]> =
            self.suspects.counted_strikes(fingerprint).collect();
        for strike in counted {
            let evidence = Evidence::Strike(strike);
            let mut recent = self.recent.iter();
            if !recent.any(|&(known, until)| known == evidence && now < until) {
                self.push_recent(evidence, now);
            }
        }
    }

    fn push_recent(&mut self, evidence: Evidence, now: Instant) {
        if self.recent.len() >= MAX_RECENT {
            self.recent.remove(0);
        }
        self.recent.push((evidence, now + GOSSIP_FOR));
    }

    /// Whether there is new evidence that is to be sent before the next gossip round. It
    /// counts as sent afterwards.
    pub fn take_news(&mut self) -> bool {
        mem::take(&mut self.has_news)
    }

    /// Merges reports of another router. Returns the requests of which they tell news, and
    /// the number of strikes against each.
    pub fn merge(&mut self, reports: &[Report], now: Instant) -> Vec<(Fingerprint, usize)> {
        let mut suspects = Vec::new();
        for report in reports {
            let evidence = report.evidence(now);
            if self.apply(evidence, now) {
                let fingerprint = evidence.fingerprint();
                let strikes = self.suspects.strike_count(fingerprint, now);
                suspects.push((fingerprint, strikes));
            }
        }
        suspects
    }

    /// The reports to send to other routers.
    ///
    /// When a zone loses power, each request in flight there gets a strike. Requests with
    /// more strikes come first, so that these do not delay the refusal of one that crashes
    /// servers.
    pub fn reports(&mut self, now: Instant) -> Vec<Report> {
        self.recent.retain(|&(_, until)| now < until);
        let completions = self.recent_completions();
        let mut strikes = self.recent_strikes(now);
        strikes.sort_by_key(|&(count, until, _)| Reverse((count, until)));
        let recent = strikes.into_iter().map(|(.., strike)| strike);
        let strikes = recent.chain(self.repeated_strikes(now));
        let strikes = strikes.take(MAX_REPORTS - completions.len());
        let strikes = strikes.map(Evidence::Strike);
        let evidence = strikes.chain(completions.into_iter().map(Evidence::Completion));
        evidence
            .map(|evidence| Report::new(&evidence, now))
            .collect()
    }

    /// The strikes against one of the requests that were refused some time ago, each in its
    /// turn.
    fn repeated_strikes(&mut self, now: Instant) -> SmallVec<[Strike; STRIKE_LIMIT]> {
        if now < self.repeat_at {
            return SmallVec::new();
        }
        let recent = self.recent.iter();
        let recent: BTreeSet<Fingerprint> =
            recent.map(|(evidence, _)| evidence.fingerprint()).collect();
        let refused = self.suspects.refused(now);
        let refused: BTreeSet<Fingerprint> = refused
            .filter(|fingerprint| !recent.contains(fingerprint))
            .collect();
        let after = self.last_repeated.and_then(|last| {
            refused
                .range((Bound::Excluded(last), Bound::Unbounded))
                .next()
        });
        let Some(&next) = after.or(refused.first()) else {
            return SmallVec::new();
        };
        self.last_repeated = Some(next);
        self.repeat_at = now + REPEAT_INTERVAL;
        self.suspects.counted_strikes(next).collect()
    }

    /// The recent strikes that count, with the number of strikes against their requests.
    fn recent_strikes(&self, now: Instant) -> Vec<(usize, Instant, Strike)> {
        let mut strikes = Vec::new();
        for &(evidence, until) in &self.recent {
            let Evidence::Strike(strike) = evidence else {
                continue;
            };
            let mut counted = self.suspects.counted_strikes(strike.fingerprint);
            if counted.any(|other| other.crash == strike.crash) {
                let count = self.suspects.strike_count(strike.fingerprint, now);
                strikes.push((count, until, strike));
            }
        }
        strikes
    }

    /// The latest completions, one of each request.
    fn recent_completions(&self) -> SmallVec<[Completion; MAX_COMPLETIONS]> {
        let mut completions: SmallVec<[Completion; MAX_COMPLETIONS]> = SmallVec::new();
        for (evidence, _) in self.recent.iter().rev() {
            let Evidence::Completion(completion) = evidence else {
                continue;
            };
            let is_listed = |other: &Completion| other.fingerprint == completion.fingerprint;
            if completions.len() < MAX_COMPLETIONS && !completions.iter().any(is_listed) {
                completions.push(*completion);
            }
        }
        completions
    }
}
