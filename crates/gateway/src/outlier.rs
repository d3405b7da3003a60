//! How requests lately ended at a server, as routers tell each other.

use std::{ops, time::Duration};

use serde::{Deserialize, Serialize};
use units::time::Instant;

/// How fast the end of a request is forgotten, as a half-life. The fleet has to
/// see some failures within it.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// The unit in which counts are told, as a part of one request.
const SCALE: f64 = 16.0;

/// The least failures that say something of a server, after forgetting.
const MIN_FAILURES: f64 = 4.0;
/// The least share of a server's requests that fail before it is left alone.
///
/// Some requests fail at sound servers too.
const MIN_FAILURE_RATIO: f64 = 0.35;
/// How many times as often as at the service's other servers requests have to
/// fail at it. When all fail alike, the fault is not one server's.
const MIN_RATIO_TO_OTHERS: f64 = 3.0;

/// How many requests failed and completed lately, older ones counting less.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeCounts {
    /// Requests that the server failed, or broke off; in sixteenths.
    pub failed: u16,
    /// Requests that it completed; in sixteenths.
    pub completed: u16,
}

impl OutcomeCounts {
    /// Whether these are as good as none.
    pub fn is_empty(self) -> bool {
        self == Self::default()
    }

    /// Less a part of them.
    pub fn saturating_sub(self, part: Self) -> Self {
        Self {
            failed: self.failed.saturating_sub(part.failed),
            completed: self.completed.saturating_sub(part.completed),
        }
    }

    fn failure_ratio(self) -> f64 {
        let all = f64::from(self.failed) + f64::from(self.completed);
        f64::from(self.failed) / all.max(1.0)
    }

    /// Whether a server with these ends fails, among others with `others`.
    pub fn is_outlier(self, others: Self) -> bool {
        let failures = f64::from(self.failed) / SCALE;
        failures >= MIN_FAILURES
            && self.failure_ratio() >= MIN_FAILURE_RATIO
            && self.failure_ratio() >= others.failure_ratio() * MIN_RATIO_TO_OTHERS
    }
}

impl ops::Add for OutcomeCounts {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            failed: self.failed.saturating_add(other.failed),
            completed: self.completed.saturating_add(other.completed),
        }
    }
}

/// Counts the ends of one router's requests at one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct OutcomeTracker {
    failed: f64,
    completed: f64,
    updated_at: Instant,
}

impl OutcomeTracker {
    /// A request has ended.
    pub fn record(&mut self, is_failure: bool, now: Instant) {
        let decay = self.decay(now);
        self.failed = self.failed * decay + f64::from(u8::from(is_failure));
        self.completed = self.completed * decay + f64::from(u8::from(!is_failure));
        self.updated_at = now;
    }

    fn decay(&self, now: Instant) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64();
        (-age / HALF_LIFE.as_secs_f64()).exp2()
    }

    /// What is left of the counts at `now`.
    pub fn counts(&self, now: Instant) -> OutcomeCounts {
        if self.failed == 0.0 && self.completed == 0.0 {
            return OutcomeCounts::default();
        }
        let decay = self.decay(now) * SCALE;
        OutcomeCounts {
            // Beyond the largest count a cast gives just that.
            failed: (self.failed * decay).round() as u16,
            completed: (self.completed * decay).round() as u16,
        }
    }
}
