//! Failures of connections after which a server may be another process.

use units::time::Instant;

/// The failures of connections to a server since they were last known to be established.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Outage {
    /// When the first attempt that failed began.
    began_at: Instant,
    /// When the last one failed.
    failed_at: Instant,
    /// Until when the server is treated as cold.
    pub(super) cold_until: Instant,
}

impl Outage {
    /// Records that an attempt to connect, which began at `begun_at`, has failed at `now`.
    pub(super) fn record_failure(&mut self, begun_at: Instant, now: Instant) {
        self.began_at = if now < self.cold_until {
            self.began_at.min(begun_at)
        } else {
            begun_at
        };
        self.failed_at = now;
    }

    /// Whether a byte that arrived at `at` on a connection from `connected_at` shows that the
    /// process has not changed during the outage.
    pub(super) fn is_survived(&self, connected_at: Instant, at: Instant) -> bool {
        at < self.cold_until && connected_at < self.began_at && at > self.failed_at
    }
}
