//! Exponential backoff of one server.

use std::time::Duration;

use units::time::Instant;

/// The first backoff; doubled with each further failure.
const BASE: Duration = Duration::from_millis(400);
/// Upper limit of the backoff.
const MAX: Duration = Duration::from_millis(3200);

/// The backoff of a server after failures of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Backoff {
    failures: u32,
    until: Instant,
}

impl Backoff {
    /// Whether the server is in backoff.
    pub fn is_active(self, now: Instant) -> bool {
        now < self.until
    }

    /// When the backoff ends.
    pub fn until(self) -> Instant {
        self.until
    }

    /// Records a failure. Returns whether it started a backoff.
    ///
    /// Concurrent requests fail together; they count as one failure.
    pub fn record_failure(&mut self, now: Instant) -> bool {
        if self.is_active(now) {
            return false;
        }
        let factor = 1_u32.checked_shl(self.failures).unwrap_or(u32::MAX);
        self.failures = self.failures.saturating_add(1);
        self.until = now + BASE.saturating_mul(factor).min(MAX);
        true
    }

    /// Records that the server works. A backoff that has started goes on.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// Starts the longest backoff, without counting a failure.
    pub fn extend(&mut self, now: Instant) {
        self.until = now + MAX;
    }
}
