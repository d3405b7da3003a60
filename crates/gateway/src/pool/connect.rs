//! Adaptive connect timeouts.

use std::time::Duration;

use units::time::Instant;

/// The lower limit of the timeout: many times the longest round trip between zones, and
/// half the time for which a machine stalls once its CPU quota is used up.
const MIN_TIMEOUT: Duration = Duration::from_millis(50);
/// The upper limit of the timeout, also used until a connection has been measured.
///
/// A lost SYN is retransmitted only after a second; by then another server would have
/// answered.
const MAX_TIMEOUT: Duration = Duration::from_millis(300);
/// How many mean deviations above the mean a connection may take.
const DEVIATIONS: u32 = 4;

/// Recent connect times of the servers in one zone.
///
/// When a zone is partitioned without resets, connections hang. With a timeout that
/// suits every network, a request would miss its target after the first hanging
/// connection. A timeout derived from measured connect times leaves time for an attempt
/// at another server.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConnectTimes {
    mean: Option<Duration>,
    deviation: Duration,
    /// Consecutive timeouts. They raise the timeout; otherwise a path whose latency
    /// grew beyond the timeout would never be measured again.
    timeouts: u32,
    /// When the last timeout occurred.
    timed_out_at: Instant,
}

impl ConnectTimes {
    /// Records the time that a successful connection took.
    pub fn record(&mut self, time: Duration) {
        self.timeouts = 0;
        let Some(mean) = self.mean else {
            self.mean = Some(time);
            self.deviation = time / 2;
            return;
        };
        self.deviation = (self.deviation * 3 + mean.abs_diff(time)) / 4;
        self.mean = Some((mean * 7 + time) / 8);
    }

    /// Records that a connection attempt that started at `begun_at` timed out at `now`.
    ///
    /// Concurrent timeouts count as one.
    pub fn record_timeout(&mut self, begun_at: Instant, now: Instant) {
        if begun_at < self.timed_out_at {
            return;
        }
        self.timed_out_at = now;
        self.timeouts = self.timeouts.saturating_add(1);
    }

    /// The timeout for the next connection attempt.
    pub fn timeout(&self) -> Duration {
        let Some(mean) = self.mean else {
            return MAX_TIMEOUT;
        };
        let base = (mean + self.deviation * DEVIATIONS).max(MIN_TIMEOUT);
        let factor = 1_u32.checked_shl(self.timeouts).unwrap_or(u32::MAX);
        base.saturating_mul(factor).min(MAX_TIMEOUT)
    }
}
