//! One router's part in a roll-out: which of its requests go to the new version, and how
//! they end.

use std::time::Duration;

use units::time::Instant;

use crate::{
    Counts, Selector, Settings, Stage,
    counts::{Arm, Route},
};

/// The share of requests that the new version receives when its promotion begins.
const FIRST_PROMOTED_SHARE: f64 = 0.25;
/// The time in which the share grows to all requests.
///
/// A version that is faulty under full load only is noticed while it receives a part of
/// the load, and its servers have time to copy the prompts that they lack.
pub const PROMOTION_TIME: Duration = Duration::from_millis(600);

/// The requests of one router during a roll-out.
#[derive(Clone, Debug)]
pub struct Trial {
    revision: u64,
    settings: Settings,
    stage: Stage,
    promoting_since: Instant,
    selector: Selector,
    counts: Counts,
}

impl Trial {
    /// Creates the part of a router that learns of `stage` now. `seed` differs by router.
    ///
    /// If the new version is being promoted already, the router has just started, and the
    /// old servers are about to stop.
    pub fn new(revision: u64, settings: Settings, stage: Stage, seed: u64) -> Self {
        Self {
            revision,
            settings,
            stage,
            promoting_since: Instant::ZERO,
            selector: Selector::new(seed ^ revision),
            counts: Counts::default(),
        }
    }

    /// The store's version of the order.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// The outcomes so far.
    pub const fn counts(&self) -> &Counts {
        &self.counts
    }

    /// The stage of the roll-out.
    pub const fn stage(&self) -> Stage {
        self.stage
    }

    /// Applies a new stage.
    pub fn set_stage(&mut self, stage: Stage, now: Instant) {
        if stage == Stage::Promoting && self.stage != stage {
            self.promoting_since = now;
        }
        self.stage = stage;
    }

    /// The share of this router's requests that go to the new version now.
    fn share(&self, now: Instant) -> f64 {
        match self.stage {
            Stage::Canary => self.settings.canary_share(),
            Stage::Promoting | Stage::Completing => {
                let age = now.since(self.promoting_since).as_secs_f64();
                let growth = age / PROMOTION_TIME.as_secs_f64();
                (FIRST_PROMOTED_SHARE + (1.0 - FIRST_PROMOTED_SHARE) * growth).min(1.0)
            }
            Stage::RollingBack | Stage::RolledBack | Stage::Completed => 0.0,
        }
    }

    /// Whether the next request of `route` goes to the new version.
    pub fn prefers_candidate(&self, route: Route, now: Instant) -> bool {
        let share = self.share(now);
        share > 0.0 && self.selector.is_next(route, share)
    }

    /// Records that a request was admitted to a server.
    pub fn record_admission(&mut self, route: Route, arm: Arm, now: Instant) {
        let share = self.share(now);
        self.selector.record(route, share, arm == Arm::Candidate);
    }

    /// Records a failure. `server` is a hash of the server's name.
    pub fn record_failure(&mut self, route: Route, arm: Arm, server: u64) {
        self.counts.record_failure(route, arm, server);
    }

    /// Records a response that has begun.
    pub fn record_success(&mut self, route: Route, arm: Arm, server: u64) {
        self.counts.record_success(route, arm, server);
    }

    /// Records the end of a response that has begun and is not complete.
    pub fn record_unfinished(&mut self, route: Route, arm: Arm) {
        self.counts.record_unfinished(route, arm);
    }

    /// Records a time to first byte, and the time that is expected at a sound server.
    pub fn record_time(
        &mut self,
        route: Route,
        arm: Arm,
        server: u64,
        time: Duration,
        expected: Duration,
    ) {
        self.counts.record_time(route, arm, server, time, expected);
    }
}
