//! Selection of the source of the next configuration revision.
//!
//! Heartbeats carry the revision that each router has applied; a router that is
//! behind fetches the missing changes from one with a higher revision. The table is
//! polled rarely: each router takes its share of the zone's poll rate, and the
//! designated poller of the zone polls more often so that the gaps stay short.
//! The read rate therefore depends on the number of zones, not of routers.

use std::{net, time::Duration};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use units::{host, revision, time};

/// The most peers with a newer revision that are kept as sources.
const MAX_SOURCES: usize = 4;

/// Intervals and timeouts of configuration propagation.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The mean interval between two polls of the table by any live router of a zone
    /// except the designated poller.
    pub zone_poll_interval: Duration,
    /// The mean interval between two polls by the designated poller.
    pub designated_poll_interval: Duration,
    /// The minimum interval between two polls by a router that is not the designated poller.
    pub poll_interval_min: Duration,
    /// The maximum interval between two polls by one router while the table is available.
    pub poll_interval_max: Duration,
    /// The maximum backoff between two polls while the table is unavailable.
    pub backoff_max: Duration,
    /// The timeout of a fetch or a poll.
    pub timeout: Duration,
    /// How long a starting router waits for the highest known revision before it is ready
    /// with the one it has.
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

/// The next step of a router to obtain a newer configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Fetch all changes after the applied revision from a peer.
    Fetch {
        /// The peer.
        host: host::Id,
        /// Its peer address.
        address: net::SocketAddr,
        /// The revision that it has applied.
        revision: revision::Id,
    },
    /// Poll the table for its revision and the missing changes.
    Poll,
    /// Wait until this instant or until a method of [`RevisionSync`] changes its state.
    Wait(time::Instant),
}

/// The outcome of the last fetch or poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A response was received; it contained this revision.
    Succeeded(revision::Id),
    /// There was no response, or an incomplete one.
    Failed,
}

/// A peer with a newer revision.
#[derive(Clone, Debug)]
struct Source {
    host: host::Id,
    address: net::SocketAddr,
    revision: revision::Id,
}

/// The fetch or poll in flight, with its deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Call {
    Idle,
    Fetch(time::Instant),
    Poll(time::Instant),
}

/// One router's state of configuration propagation.
#[derive(Debug)]
pub struct RevisionSync {
    settings: Settings,
    rng: ChaCha8Rng,
    applied: Option<revision::Id>,
    sources: Vec<Source>,
    pending: Call,
    poll_at: time::Instant,
    poll_failures: u32,
    /// Whether the next interval is drawn uniformly from zero to its full length.
    randomize_next_poll: bool,
    settle_deadline: time::Instant,
    /// The highest revision that a peer or the table was seen to have.
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
            poll_failures: 0,
            randomize_next_poll: true,
            settle_deadline,
            highest_seen: revision::Id::default(),
            zone_routers: 1,
            designated_poller: false,
        }
    }

    /// The applied revision, if there is one.
    pub fn applied(&self) -> Option<revision::Id> {
        self.applied
    }

    /// Adds a peer that has applied `revision` as a source.
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

    /// Sets the number of the zone's routers, this one included, that share the polls.
    pub fn set_zone_routers(&mut self, routers: usize) {
        self.zone_routers = u32::try_from(routers.max(1)).unwrap_or(u32::MAX);
    }

    /// Sets whether this router is the zone's designated poller,
    /// see [`crate::Fleet::is_designated_poller`].
    pub fn set_designated_poller(&mut self, designated: bool, now: time::Instant) {
        if designated && !self.designated_poller && self.poll_failures == 0 {
            self.poll_at = self
                .poll_at
                .min(now + self.settings.designated_poll_interval);
        }
        self.designated_poller = designated;
    }

    /// Records `revision` as applied, unless it is lower than or equal to the current one.
    ///
    /// The configuration never reverts: the caller may apply `revision` only if
    /// this returns true, whether it comes from a peer or the table.
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
    /// A starting router first applies the highest revision that it has seen. If it
    /// cannot fetch that one within the settle time, it serves with the one it has,
    /// since an isolated zone has to keep serving.
    pub fn is_ready(&self, now: time::Instant) -> bool {
        self.applied
            .is_some_and(|applied| applied >= self.highest_seen || now >= self.settle_deadline)
    }

    /// Decides the next step; a returned fetch or poll counts as in flight.
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

    /// Records the outcome of the fetch or poll in flight, after its revisions were applied.
    pub fn record_outcome(&mut self, outcome: Outcome, now: time::Instant) {
        match (self.pending, outcome) {
            (Call::Idle, _) => {}
            (Call::Fetch(_), _) => self.finish_fetch(),
            (Call::Poll(_), Outcome::Succeeded(revision)) => {
                self.highest_seen = self.highest_seen.max(revision);
                self.poll_failures = 0;
                self.poll_at = now + self.interval();
            }
            (Call::Poll(_), Outcome::Failed) => {
                self.poll_failures = self.poll_failures.saturating_add(1);
                self.randomize_next_poll = true;
                self.poll_at = now + self.backoff();
            }
        }
        self.pending = Call::Idle;
    }

    /// Removes the source of the finished fetch.
    ///
    /// If the fetch did not bring the highest seen revision, the next source or, if
    /// there is none, the table is read at once.
    fn finish_fetch(&mut self) {
        if !self.sources.is_empty() {
            self.sources.remove(0);
        }
        if self.sources.is_empty() && self.applied < Some(self.highest_seen) {
            self.poll_at = time::Instant::ZERO;
        }
    }

    /// The interval to the next poll, with a jitter of 20%.
    ///
    /// Routers that start at the same time, or reach the table again at the same
    /// time, would poll in step from then on and notice changes late. The first
    /// interval is therefore drawn uniformly from zero to its full length.
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
        let doublings = self.poll_failures.saturating_sub(1).min(8);
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
