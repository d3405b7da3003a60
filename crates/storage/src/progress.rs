//! How far an answer has come.

use std::{fmt, time::Duration};

use tokio::time::Instant;

/// How long an answer that has begun may pause once it is overdue.
pub const PAUSE: Duration = Duration::from_millis(500);
/// The least rate at which an answer has to come, in bytes a second.
///
/// It is a fraction of what the slowest link carries, so that transfers may share one.
const LEAST_RATE: u64 = 64 * 1024;

/// How long so many bytes may take.
pub const fn allowance(bytes: u64) -> Duration {
    Duration::from_millis(bytes.saturating_mul(1000) / LEAST_RATE)
}

/// What has come of an answer, and when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    asked_at: Instant,
    first_at: Option<Instant>,
    last_at: Instant,
    bytes: u64,
}

impl Progress {
    /// Nothing has come of an answer that was asked for at `now`.
    pub const fn new(now: Instant) -> Self {
        Self {
            asked_at: now,
            first_at: None,
            last_at: now,
            bytes: 0,
        }
    }

    /// So many more bytes have come.
    pub fn received(&mut self, bytes: usize, now: Instant) {
        self.first_at.get_or_insert(now);
        self.last_at = now;
        self.bytes = self.bytes.saturating_add(bytes as u64);
    }

    /// Until when to wait for more of an answer that was due at `due`.
    ///
    /// How long an answer takes depends on its size and on the link. One that is
    /// given up at a fixed time while its bytes still come is asked for again
    /// from its first byte, and may never be had.
    pub fn patience(&self, due: Instant) -> Instant {
        if self.first_at.is_none() {
            return due;
        }
        due.max((self.last_at + PAUSE).min(due + allowance(self.bytes)))
    }

    /// How many bytes have come.
    pub const fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Milliseconds from the question to the first bytes.
    pub fn first_ms(&self) -> Option<u128> {
        let first_at = self.first_at?;
        Some(first_at.duration_since(self.asked_at).as_millis())
    }

    /// Milliseconds from the question to the last bytes.
    pub fn last_ms(&self) -> u128 {
        self.last_at.duration_since(self.asked_at).as_millis()
    }
}

impl fmt::Display for Progress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(first_ms) = self.first_ms() else {
            return f.write_str("nothing received");
        };
        let Self { bytes, .. } = self;
        let last_ms = self.last_ms();
        write!(f, "{bytes} bytes received in {first_ms} to {last_ms} ms")
    }
}
