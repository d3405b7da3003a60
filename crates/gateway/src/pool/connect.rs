//! How long a connection to a server may take.

use std::time::Duration;

use units::time::Instant;

/// The least limit: many times the longest way there and back between zones, and
/// half the time for which a machine at its quota stands still.
const MIN_TIMEOUT: Duration = Duration::from_millis(50);
/// The longest limit, and the one while nothing has been measured.
///
/// A first packet that was lost is sent again only after a second, when another
/// server would have answered long since.
const MAX_TIMEOUT: Duration = Duration::from_millis(300);
/// How many times the usual deviation a connection may take longer than the mean.
const DEVIATIONS: u32 = 4;

/// How long connections to the servers of one zone lately took.
///
/// When a zone is cut off in silence, connections hang. With a limit that fits
/// all networks the request is late at any server once the first one has hung;
/// with one that follows from what connections take here, the next server
/// answers in time.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConnectTimes {
    mean: Option<Duration>,
    deviation: Duration,
    /// Connections given up in a row. Without them a way that has become longer
    /// than the limit would never be measured again.
    timeouts: u32,
    /// When the last of them was given up.
    timed_out_at: Instant,
}

impl ConnectTimes {
    /// A connection came about.
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

    /// A connection that was begun at `begun_at` is given up at `now`.
    ///
    /// Those that hang side by side say no more than one.
    pub fn record_timeout(&mut self, begun_at: Instant, now: Instant) {
        if begun_at < self.timed_out_at {
            return;
        }
        self.timed_out_at = now;
        self.timeouts = self.timeouts.saturating_add(1);
    }

    /// How long the next one may take.
    pub fn timeout(&self) -> Duration {
        let Some(mean) = self.mean else {
            return MAX_TIMEOUT;
        };
        let base = (mean + self.deviation * DEVIATIONS).max(MIN_TIMEOUT);
        let factor = 1_u32.checked_shl(self.timeouts).unwrap_or(u32::MAX);
        base.saturating_mul(factor).min(MAX_TIMEOUT)
    }
}
