//! The state of one backend server as this router sees it.

mod advisories;
mod cache;
mod outage;
mod reported;
mod room;
mod shutdown;

use std::{net::SocketAddr, time::Duration};

use placement::CacheIndex;
use rollout::Role;
use tokio::sync::watch;
use units::{availability, backend, cost::Cost, time::Instant};
use xxhash_rust::xxh3;

pub use reported::{Effect, Update};

use super::{Outcome, backoff::Backoff};
use crate::{
    advisory::Advisory,
    load::Load,
    outlier::{OutcomeCounts, OutcomeTracker},
    roster,
    slow_start::{Pacer, Share},
};

/// How long a server is treated as cold once the backoff after a connection failure
/// ends.
///
/// The server may have restarted. The store may report that only after the server
/// accepts requests, or not at all during the outage.
const COLD_AFTER_OUTAGE: Duration = Duration::from_secs(3);
/// How long a server that is no longer cold takes to receive most of the prompts for
/// which it ranks first. Prompts recur within seconds.
const SETTLE_TIME: Duration = Duration::from_secs(10);
/// Half-life of the measured lag, the time to first byte in excess of the expected one.
const LAG_HALF_LIFE: Duration = Duration::from_secs(2);
/// The weight of a new lag sample is one divided by this number.
const LAG_SAMPLE_DIVISOR: u64 = 3;

/// A backend server and this router's requests there.
#[derive(Debug)]
pub struct Server {
    entry: roster::Entry,
    name_hash: u64,
    is_leaving: bool,
    /// What the server has announced to this router.
    advisory: Advisory,
    /// Which processes the announced shutdown may be of.
    shutdown: shutdown::Shutdown,
    /// Passes `advisory` on to requests that are connecting to the server.
    announcements: watch::Sender<Advisory>,
    role: Role,
    /// Whether the server receives the requests of a canary.
    is_in_canary: bool,
    running: u32,
    /// Requests of this router in flight when the present round of the exchange began.
    running_before: u32,
    peer_load: u32,
    pending_prefill: Cost,
    own_prefixes: CacheIndex,
    /// Prompt parts cached for peers' requests, by the hashes of their keys.
    peer_prefixes: CacheIndex,
    pacer: Pacer,
    connect_backoff: Backoff,
    /// Until when the server, which bears few rejections, gets nothing after one.
    spared_until: Instant,
    /// After rejections of requests, although the server is known to have free slots.
    rejection_backoff: Backoff,
    assumed_cold_until: Instant,
    /// Connections to it that failed, because of which it is treated as cold.
    outage: outage::Outage,
    /// When the server is assumed to have cached the prompts for which it ranks first.
    settled_at: Instant,
    lag_us: u64,
    lag_at: Instant,
    outcomes: OutcomeTracker,
    peer_outcomes: OutcomeCounts,
    /// What the server has reported of its load.
    reported: reported::Reported,
}

impl Server {
    /// Creates a server without requests.
    pub fn new(entry: roster::Entry) -> Self {
        let settings = cache::settings();
        Self {
            settled_at: settled_at(entry.cold_until),
            reported: reported::Reported::new(entry.incarnation, Instant::ZERO),
            name_hash: xxh3::xxh3_64(entry.server.as_str().as_bytes()),
            entry,
            is_leaving: false,
            advisory: Advisory::default(),
            shutdown: shutdown::Shutdown::default(),
            announcements: watch::Sender::default(),
            role: Role::default(),
            is_in_canary: false,
            running: 0,
            running_before: 0,
            peer_load: 0,
            pending_prefill: Cost(0),
            own_prefixes: CacheIndex::new(settings.clone()),
            peer_prefixes: CacheIndex::new(settings),
            pacer: Pacer::default(),
            connect_backoff: Backoff::default(),
            spared_until: Instant::ZERO,
            rejection_backoff: Backoff::default(),
            assumed_cold_until: Instant::ZERO,
            outage: outage::Outage::default(),
            lag_us: 0,
            lag_at: Instant::ZERO,
            outcomes: OutcomeTracker::default(),
            peer_outcomes: OutcomeCounts::default(),
        }
    }

    /// Applies a new entry of the store.
    pub fn update(&mut self, entry: &roster::Entry, is_leaving: bool, reading: roster::Reading) {
        if entry.incarnation != self.entry.incarnation || entry.address != self.entry.address {
            // A restarted server has lost its cache and all other state.
            let is_restarted = entry.incarnation != self.entry.incarnation;
            *self = Self {
                running: self.running,
                pacer: self.pacer,
                advisory: self.advisory,
                shutdown: self.shutdown,
                announcements: self.announcements.clone(),
                ..Self::new(entry.clone())
            };
            if is_restarted {
                self.restarted(reading);
                self.reported = reported::Reported::new(entry.incarnation, reading.at);
            }
        }
        self.entry = entry.clone();
        self.is_leaving = is_leaving;
    }

    /// The version of its software.
    pub fn version(&self) -> &backend::Version {
        &self.entry.version
    }

    /// What the server may receive because of its version.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Sets what the server may receive because of its version.
    pub fn set_role(&mut self, role: Role) {
        self.role = role;
    }

    /// Whether the server receives the requests of a canary.
    pub fn is_in_canary(&self) -> bool {
        self.is_in_canary
    }

    /// Sets whether the server receives the requests of a canary.
    pub fn set_in_canary(&mut self, is_in_canary: bool) {
        self.is_in_canary = is_in_canary;
    }

    /// The name of the server.
    pub fn name(&self) -> &backend::Server {
        &self.entry.server
    }

    /// The full hash of the server's name.
    pub fn name_hash(&self) -> u64 {
        self.name_hash
    }

    /// The short hash that identifies the server in messages between routers.
    pub fn hash(&self) -> u32 {
        Load::short_hash(self.name_hash)
    }

    /// The availability zone of the server.
    pub fn zone(&self) -> &availability::Zone {
        &self.entry.zone
    }

    /// The address on which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.entry.address
    }

    /// The incarnation of the server, which changes with each restart.
    pub fn incarnation(&self) -> u64 {
        self.entry.incarnation
    }

    /// Recent outcomes of this router's requests.
    pub fn outcomes(&self, now: Instant) -> OutcomeCounts {
        self.outcomes.counts(now)
    }

    /// Recent outcomes of the requests of all routers, as far as reported.
    pub fn total_outcomes(&self, now: Instant) -> OutcomeCounts {
        self.outcomes(now) + self.peer_outcomes
    }

    /// Sets the recent outcomes of peers' requests.
    pub fn set_peer_outcomes(&mut self, outcomes: OutcomeCounts) {
        self.peer_outcomes = outcomes;
    }

    /// Whether the server is cold or may have restarted unnoticed.
    pub fn is_cold(&self, now: Instant) -> bool {
        let assumed_until = self.assumed_cold_until.max(self.outage.cold_until);
        now < self.entry.cold_until.max(assumed_until)
    }

    /// Whether the server has run long enough to have cached the prompts for which it
    /// ranks first.
    pub fn is_settled(&self, now: Instant) -> bool {
        now >= self.settled_at && !self.is_cold(now)
    }

    /// Treats the server as cold until `until`.
    pub fn assume_cold_until(&mut self, until: Instant) {
        self.assumed_cold_until = self.assumed_cold_until.max(until);
    }

    /// Whether the server is not in backoff after a connection failure.
    pub fn is_reachable(&self, now: Instant) -> bool {
        !self.connect_backoff.is_active(now)
    }

    /// Records that the process of the server seems to have ended, which it was suspected of from
    /// `suspected_at` on.
    pub fn record_end(&mut self, suspected_at: Instant, now: Instant) {
        self.outage.record_failure(suspected_at, now);
        self.connect_backoff.extend(now);
        self.outage.cold_until = self.connect_backoff.until() + COLD_AFTER_OUTAGE;
    }

    /// Records that an attempt to connect, which began at `begun_at`, has failed at `now`.
    pub fn record_connect_failure(&mut self, begun_at: Instant, now: Instant) {
        self.outage.record_failure(begun_at, now);
    }

    /// Records that a response on a connection from `connected_at` has begun at `at`. Returns
    /// whether that shows that the server was only silent while connections to it failed: it may
    /// receive requests as before then.
    pub fn record_response(&mut self, connected_at: Instant, at: Instant) -> bool {
        let is_survived = self.outage.is_survived(connected_at, at);
        if is_survived {
            self.forget_connect_failures();
        }
        is_survived
    }

    /// Whether the server has rejected requests recently.
    pub fn is_rejecting(&self, now: Instant) -> bool {
        self.rejection_backoff.is_active(now)
    }

    /// Whether this router's slow-start share permits a request now.
    pub fn is_slow_start_ready(&self, now: Instant) -> bool {
        self.pacer.is_ready(now)
    }

    /// When this router's slow-start share permits the next request.
    pub fn slow_start_ready_at(&self) -> Instant {
        self.pacer.ready_at()
    }

    /// The recent time to first byte in excess of what the load explains, in
    /// microseconds.
    pub fn lag_us(&self, now: Instant) -> u64 {
        let age = now.since(self.lag_at).as_micros();
        let halvings = age / LAG_HALF_LIFE.as_micros();
        let halvings = u32::try_from(halvings).unwrap_or(u32::MAX);
        self.lag_us.checked_shr(halvings).unwrap_or(0)
    }

    /// Counts a request that is about to be sent.
    pub fn admit(&mut self, uncached: Cost, share: Option<Share>, now: Instant) {
        self.running += 1;
        self.pending_prefill += uncached;
        self.reported.placed();
        if let Some(share) = share {
            self.pacer.record(share, now);
        }
    }

    /// Records a time to first byte of `waited`, of which the prompt explains
    /// `expected`.
    pub fn record_first_byte(&mut self, waited: Duration, expected: Duration, now: Instant) {
        let excess = waited.saturating_sub(expected).as_micros();
        let excess = u64::try_from(excess).unwrap_or(u64::MAX);
        let previous_us = self.lag_us(now);
        self.lag_us = previous_us - previous_us / LAG_SAMPLE_DIVISOR + excess / LAG_SAMPLE_DIVISOR;
        self.lag_at = now;
    }

    /// When the first byte of a response last arrived.
    pub fn responded_at(&self) -> Instant {
        self.lag_at
    }

    /// Until when the server gets nothing because it has rejected a request.
    pub(super) fn spared_until(&self) -> Instant {
        self.spared_until
    }

    /// Sends nothing to the server until `until`.
    pub(super) fn spare_until(&mut self, until: Instant) {
        self.spared_until = self.spared_until.max(until);
    }

    /// Records the end of one of this router's requests.
    pub fn ended(&mut self, outcome: Outcome, now: Instant) {
        self.running = self.running.saturating_sub(1);
        match outcome {
            Outcome::Completed => self.outcomes.record(false, now),
            Outcome::Failed | Outcome::Broken | Outcome::Refused => self.outcomes.record(true, now),
            Outcome::Unreachable
            | Outcome::Interrupted
            | Outcome::NoPath
            | Outcome::Moved
            | Outcome::Full
            | Outcome::Withdrawn
            | Outcome::Cancelled => {}
        }
        match outcome {
            Outcome::Refused | Outcome::Unreachable => self.connect_failed(now),
            Outcome::Moved => self.connect_backoff.extend(now),
            Outcome::Completed | Outcome::Failed => {
                self.connect_backoff.record_success();
                self.rejection_backoff.record_success();
            }
            Outcome::Full => {
                self.connect_backoff.record_success();
                self.rejection_backoff.record_failure(now);
            }
            Outcome::Interrupted
            | Outcome::NoPath
            | Outcome::Broken
            | Outcome::Withdrawn
            | Outcome::Cancelled => {}
        }
    }

    /// Records a failure of one of this router's requests that has ended before.
    pub fn record_failure(&mut self, now: Instant) {
        self.outcomes.record(true, now);
    }

    fn connect_failed(&mut self, now: Instant) {
        if self.connect_backoff.record_failure(now) {
            self.outage.cold_until = self.connect_backoff.until() + COLD_AFTER_OUTAGE;
        }
    }

    /// Forgets connection failures that did not show anything about the server.
    pub fn forget_connect_failures(&mut self) {
        self.connect_backoff = Backoff::default();
        self.outage = outage::Outage::default();
    }
}

/// When a server settles that is cold until `cold_until`; zero if it was not cold.
fn settled_at(cold_until: Instant) -> Instant {
    if cold_until == Instant::ZERO {
        return Instant::ZERO;
    }
    cold_until + SETTLE_TIME
}
