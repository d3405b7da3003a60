//! Outlier detection: recent outcomes of requests at a server, as exchanged between
//! routers.

use std::{ops, time::Duration};

use serde::{Deserialize, Serialize};
use units::time::Instant;

/// Half-life of the outcome counts. The fleet must observe several failures of a server
/// within it.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Fixed-point scale of the exchanged counts, in units per request.
const SCALE: f64 = 16.0;

/// The minimum decayed number of failures for a server to be ejected.
const MIN_FAILURES: f64 = 4.0;
/// The minimum ratio of failed requests for a server to be ejected.
///
/// Some requests fail at healthy servers too.
const MIN_FAILURE_RATIO: f64 = 0.35;
/// How many times the failure ratio of the service's other servers a server must reach
/// to be ejected. If all servers fail equally, the cause is not a single server.
const MIN_RATIO_TO_OTHERS: f64 = 3.0;

/// Numbers of recently failed and completed requests, with exponential decay.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeCounts {
    /// Requests that failed or whose connection broke, in sixteenths.
    pub failed: u16,
    /// Completed requests, in sixteenths.
    pub completed: u16,
}

impl OutcomeCounts {
    /// Whether both counts have decayed to zero.
    pub fn is_empty(self) -> bool {
        self == Self::default()
    }

    /// Subtracts `part` from the counts.
    pub fn saturating_sub(self, part: Self) -> Self {
        Self {
            failed: self.failed.saturating_sub(part.failed),
            completed: self.completed.saturating_sub(part.completed),
        }
    }

    fn failure_ratio(self) -> f64 {
        let total = f64::from(self.failed) + f64::from(self.completed);
        f64::from(self.failed) / total.max(1.0)
    }

    /// Whether a server with these outcomes is an outlier, where `others` are the
    /// outcomes of the service's other servers.
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

/// Counts the outcomes of one router's requests at one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct OutcomeTracker {
    failed: f64,
    completed: f64,
    updated_at: Instant,
}

impl OutcomeTracker {
    /// Records the outcome of a request.
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

    /// The decayed counts at `now`.
    pub fn counts(&self, now: Instant) -> OutcomeCounts {
        if self.failed == 0.0 && self.completed == 0.0 {
            return OutcomeCounts::default();
        }
        let decay = self.decay(now) * SCALE;
        OutcomeCounts {
            // The cast saturates at the largest count.
            failed: (self.failed * decay).round() as u16,
            completed: (self.completed * decay).round() as u16,
        }
    }
}
