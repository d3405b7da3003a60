//! The progress of a response and the extension of its deadline.

use std::{fmt, time::Duration};

use tokio::time::Instant;

/// How long a response that has begun may stall after its deadline.
pub const STALL_TIMEOUT: Duration = Duration::from_millis(500);
/// The minimum rate at which a response has to arrive, in bytes per second.
///
/// It is a fraction of the bandwidth of the slowest link, so that several
/// transfers can share it.
const MIN_RATE_BYTES_PER_S: u64 = 64 * 1024;

/// The time that `bytes` take at the minimum rate.
pub const fn transfer_time(bytes: u64) -> Duration {
    Duration::from_millis(bytes.saturating_mul(1000) / MIN_RATE_BYTES_PER_S)
}

/// The bytes of a response received so far, and when they arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    requested_at: Instant,
    first_byte_at: Option<Instant>,
    last_byte_at: Instant,
    bytes: u64,
}

impl Progress {
    /// The progress of a response that was requested at `now`.
    pub const fn new(now: Instant) -> Self {
        Self {
            requested_at: now,
            first_byte_at: None,
            last_byte_at: now,
            bytes: 0,
        }
    }

    /// Records that `bytes` more bytes arrived at `now`.
    pub fn received(&mut self, bytes: usize, now: Instant) {
        self.first_byte_at.get_or_insert(now);
        self.last_byte_at = now;
        self.bytes = self.bytes.saturating_add(bytes as u64);
    }

    /// The deadline for the next bytes of a response whose first deadline is `deadline`.
    ///
    /// How long a response takes depends on its size and on the link. A response
    /// that is aborted at a fixed time while its bytes still arrive is requested
    /// again from its first byte, and may never be completed.
    pub fn extended_deadline(&self, deadline: Instant) -> Instant {
        if self.first_byte_at.is_none() {
            return deadline;
        }
        deadline.max((self.last_byte_at + STALL_TIMEOUT).min(deadline + transfer_time(self.bytes)))
    }

    /// The number of bytes received.
    pub const fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Milliseconds from the request to the first bytes.
    pub fn first_byte_ms(&self) -> Option<u128> {
        let first_byte_at = self.first_byte_at?;
        Some(first_byte_at.duration_since(self.requested_at).as_millis())
    }

    /// Milliseconds from the request to the most recent bytes.
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
