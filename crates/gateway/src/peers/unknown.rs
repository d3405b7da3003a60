//! Log lines about datagrams that cannot be decoded.

use std::time::Duration;

use units::time::Instant;

/// The minimum interval between two lines: during a rolling update, routers of a newer version
/// may send several datagrams a second that this one does not know.
const INTERVAL: Duration = Duration::from_secs(10);

/// Counts datagrams that cannot be decoded, and says when to log them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Unknown {
    count: u64,
    log_at: Instant,
}

impl Unknown {
    /// Records a datagram. Returns the number of datagrams since the last line if a line is
    /// due.
    pub fn record(&mut self, now: Instant) -> Option<u64> {
        self.count += 1;
        if now < self.log_at {
            return None;
        }
        self.log_at = now + INTERVAL;
        Some(std::mem::take(&mut self.count))
    }
}
