//! Where the next revision of the configuration comes from.
//!
//! Heartbeats tell which router has which revision; a router that lags
//! fetches what it lacks from one that has it. The table is polled rarely: each
//! router takes its share of the zone's rate, and one router of the zone polls
//! more often so that the gaps stay short. So the number of reads a second
//! depends on the number of zones, not of routers.

use std::{net, time::Duration};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use units::{host, revision, time};

/// How many routers with a newer revision are remembered.
const MAX_SOURCES: usize = 4;

/// Settings of the spread of configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The time between two polls of the table by all live routers of a zone together,
    /// the one on duty left out.
    pub zone_poll_interval: Duration,
    /// The time between two polls by the router on duty.
    pub designated_poll_interval: Duration,
    /// The least time between two polls by one router, unless it is on duty.
    pub poll_interval_min: Duration,
    /// The most time between two polls by one router while the table answers.
    pub poll_interval_max: Duration,
    /// The most time between two polls while the table does not answer.
    pub backoff_max: Duration,
    /// The time after which a fetch or a poll without an answer is given up.
    pub timeout: Duration,
    /// How long a fresh router looks for a higher revision before it is ready with the one it has.
    pub settle_time: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            zone_poll_interval: Duration::from_millis(1000),
            designated_poll_interval: Duration::from_millis(1500),
            poll_interval_min: Duration::from_millis(2000),
            poll_interval_max: Duration::from_secs(60),
            backoff_max: Duration::from_secs(30),
            timeout: Duration::from_millis(1000),
            settle_time: Duration::from_millis(1500),
        }
    }
}

/// What a router does next about its configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Ask a router for everything after the own revision.
    Fetch {
        /// The router.
        host: host::Id,
        /// Its peer address.
        address: net::SocketAddr,
        /// The revision that it has.
        revision: revision::Id,
    },
    /// Read the table's revision and what is missing.
    Poll,
    /// Nothing before this instant, unless something is heard.
    Wait(time::Instant),
}

/// How the last question went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered; the revision that the answer shows.
    Succeeded(revision::Id),
    /// It was not answered, or not in full.
    Failed,
}

#[derive(Clone, Debug)]
struct Source {
    host: host::Id,
    address: net::SocketAddr,
    revision: revision::Id,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Call {
    Idle,
    Fetch(time::Instant),
    Poll(time::Instant),
}

/// One router's knowledge of revisions.
#[derive(Debug)]
pub struct RevisionSync {
    settings: Settings,
    rng: ChaCha8Rng,
    applied: Option<revision::Id>,
    sources: Vec<Source>,
    pending: Call,
    poll_at: time::Instant,
    failures: u32,
    /// Whether the next poll is to fall anywhere within the interval.
    randomize_next_poll: bool,
    settle_deadline: time::Instant,
    highest_seen: revision::Id,
    zone_routers: u32,
    designated_poller: bool,
}

impl RevisionSync {
    /// The state of a router that starts without a configuration.
    pub fn new(settings: Settings, seed: u64, now: time::Instant) -> Self {
        let settle_deadline = now + settings.settle_time;
        Self {
            settings,
            rng: ChaCha8Rng::seed_from_u64(seed),
            applied: None,
            sources: Vec::new(),
            pending: Call::Idle,
            poll_at: now,
            failures: 0,
            randomize_next_poll: true,
            settle_deadline,
            highest_seen: revision::Id::default(),
            zone_routers: 1,
            designated_poller: false,
        }
    }

    /// The revision that is in force here, if there is one.
    pub fn applied(&self) -> Option<revision::Id> {
        self.applied
    }

    /// Takes note of a router that has `revision`.
    pub fn add_source(&mut self, host: host::Id, address: net::SocketAddr, revision: revision::Id) {
        self.highest_seen = self.highest_seen.max(revision);
        if Some(revision) <= self.applied {
            return;
        }
        self.sources.retain(|source| source.host != host);
        self.sources.push(Source {
            host,
            address,
            revision,
        });
        self.sources.sort_by_key(|s| std::cmp::Reverse(s.revision));
        self.sources.truncate(MAX_SOURCES);
    }

    /// Takes note of how many routers of the zone, this one included, share the polls.
    pub fn set_zone_routers(&mut self, routers: usize) {
        self.zone_routers = u32::try_from(routers.max(1)).unwrap_or(u32::MAX);
    }

    /// Takes note of whether this router has the zone's poll duty,
    /// see [`crate::Fleet::is_designated_poller`].
    pub fn set_designated_poller(&mut self, designated: bool, now: time::Instant) {
        if designated && !self.designated_poller && self.failures == 0 {
            self.poll_at = self
                .poll_at
                .min(now + self.settings.designated_poll_interval);
        }
        self.designated_poller = designated;
    }

    /// Asks whether `revision` may be put in force; it is then the own one.
    ///
    /// A configuration never reverts: the answer is false for a revision that
    /// is lower than or the same as the present one, wherever it comes from.
    pub fn apply(&mut self, revision: revision::Id) -> bool {
        if Some(revision) <= self.applied {
            return false;
        }
        self.applied = Some(revision);
        self.sources.retain(|source| source.revision > revision);
        true
    }

    /// Whether this router may serve.
    ///
    /// A fresh one first takes the highest revision that it heard of. If that
    /// cannot be had, it serves with the one it has after a while, since a zone
    /// that is cut off has to go on.
    pub fn is_ready(&self, now: time::Instant) -> bool {
        self.applied
            .is_some_and(|applied| applied >= self.highest_seen || now >= self.settle_deadline)
    }

    /// Decides what to do next; a question that is to be asked counts as asked.
    pub fn step(&mut self, now: time::Instant) -> Step {
        match self.pending {
            Call::Fetch(until) | Call::Poll(until) if now < until => return Step::Wait(until),
            Call::Fetch(_) | Call::Poll(_) => self.record_outcome(Outcome::Failed, now),
            Call::Idle => {}
        }
        if let Some(source) = self.sources.first() {
            self.pending = Call::Fetch(now + self.settings.timeout);
            return Step::Fetch {
                host: source.host.clone(),
                address: source.address,
                revision: source.revision,
            };
        }
        if now >= self.poll_at {
            self.pending = Call::Poll(now + self.settings.timeout);
            return Step::Poll;
        }
        Step::Wait(self.poll_at)
    }

    /// Takes note of how the last question went, after its revisions were applied.
    pub fn record_outcome(&mut self, outcome: Outcome, now: time::Instant) {
        match (self.pending, outcome) {
            (Call::Idle, _) => {}
            (Call::Fetch(_), _) => self.finish_fetch(),
            (Call::Poll(_), Outcome::Succeeded(revision)) => {
                self.highest_seen = self.highest_seen.max(revision);
                self.failures = 0;
                self.poll_at = now + self.interval();
            }
            (Call::Poll(_), Outcome::Failed) => {
                self.failures = self.failures.saturating_add(1);
                self.randomize_next_poll = true;
                self.poll_at = now + self.backoff();
            }
        }
        self.pending = Call::Idle;
    }

    /// Drops the source that was asked: either it is satisfied, or another
    /// one, or the table, is asked next.
    fn finish_fetch(&mut self) {
        if !self.sources.is_empty() {
            self.sources.remove(0);
        }
        if self.sources.is_empty() && self.applied < Some(self.highest_seen) {
            self.poll_at = time::Instant::ZERO;
        }
    }

    /// This router's share of the zone's polls, spread by a fifth either way.
    ///
    /// Routers that started, or found the table again, at the same time would
    /// poll together ever after and all wait together in between, and a change
    /// would be seen late. So the first wait is drawn from the whole interval.
    fn interval(&mut self) -> Duration {
        if self.designated_poller {
            return self.with_jitter(self.settings.designated_poll_interval);
        }
        let share = self
            .settings
            .zone_poll_interval
            .saturating_mul(self.zone_routers);
        let share = share.clamp(
            self.settings.poll_interval_min,
            self.settings.poll_interval_max,
        );
        if std::mem::take(&mut self.randomize_next_poll) {
            return share.mul_f64(self.rng.random_range(0.0..1.0));
        }
        self.with_jitter(share)
    }

    fn backoff(&mut self) -> Duration {
        let doublings = self.failures.saturating_sub(1).min(8);
        let wait = self
            .settings
            .poll_interval_min
            .saturating_mul(1 << doublings);
        let wait = wait.min(self.settings.backoff_max);
        self.with_jitter(wait)
    }

    fn with_jitter(&mut self, duration: Duration) -> Duration {
        duration.mul_f64(self.rng.random_range(0.8..1.2))
    }
}
