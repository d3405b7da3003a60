//! How far an answer has come.

use std::{fmt, time::Duration};

use tokio::time::Instant;

/// How long an answer that has begun may pause once it is overdue.
pub const STALL_TIMEOUT: Duration = Duration::from_millis(500);
/// The least rate at which an answer has to come, in bytes a second.
///
/// It is a fraction of what the slowest link carries, so that transfers may share one.
const MIN_RATE_BYTES_PER_S: u64 = 64 * 1024;

/// How long so many bytes may take.
pub const fn transfer_time(bytes: u64) -> Duration {
    Duration::from_millis(bytes.saturating_mul(1000) / MIN_RATE_BYTES_PER_S)
}

/// What has come of an answer, and when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    requested_at: Instant,
    first_byte_at: Option<Instant>,
    last_byte_at: Instant,
    bytes: u64,
}

impl Progress {
    /// Nothing has come of an answer that was asked for at `now`.
    pub const fn new(now: Instant) -> Self {
        Self {
            requested_at: now,
            first_byte_at: None,
            last_byte_at: now,
            bytes: 0,
        }
    }

    /// So many more bytes have come.
    pub fn received(&mut self, bytes: usize, now: Instant) {
        self.first_byte_at.get_or_insert(now);
        self.last_byte_at = now;
        self.bytes = self.bytes.saturating_add(bytes as u64);
    }

    /// Until when to wait for more of an answer that was due at `due`.
    ///
    /// How long an answer takes depends on its size and on the link. One that is
    /// given up at a fixed time while its bytes still come is asked for again
    /// from its first byte, and may never be had.
    pub fn extended_deadline(&self, deadline: Instant) -> Instant {
        if self.first_byte_at.is_none() {
            return deadline;
        }
        deadline.max((self.last_byte_at + STALL_TIMEOUT).min(deadline + transfer_time(self.bytes)))
    }

    /// How many bytes have come.
    pub const fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Milliseconds from the question to the first bytes.
    pub fn first_byte_ms(&self) -> Option<u128> {
        let first_byte_at = self.first_byte_at?;
        Some(first_byte_at.duration_since(self.requested_at).as_millis())
    }

    /// Milliseconds from the question to the last bytes.
    pub fn last_byte_ms(&self) -> u128 {
        self.last_byte_at
            .duration_since(self.requested_at)
            .as_millis()
    }
}

impl fmt::Display for Progress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(first_byte_ms) = self.first_byte_ms() else {
            return f.write_str("nothing received");
        };
        let Self { bytes, .. } = self;
        let last_byte_ms = self.last_byte_ms();
        write!(
            f,
            "{bytes} bytes received in {first_byte_ms} to {last_byte_ms} ms"
        )
    }
}
