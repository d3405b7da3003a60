//! Which process of a server has announced its shutdown.

use std::time::Duration;

use units::time::Instant;

use crate::roster::Reading;

/// The longest time between the start of a process and its entry in a store that works.
const ENTRY_LAG: Duration = Duration::from_secs(1);
/// How long a shutdown that may have been of a former process counts after the entry of the
/// present one was read. Until then, the entry shows whether the present process shuts down.
const UNCERTAIN_FOR: Duration = Duration::from_secs(5);

/// The announcement of a shutdown.
///
/// A process can announce its shutdown before its entry is read; the router then takes it for
/// its predecessor.
#[derive(Clone, Copy, Debug)]
pub(super) struct Shutdown {
    announced_at: Instant,
    /// Until when the shutdown counts, unless the present process announces it.
    counts_until: Instant,
    /// The reading of the first entry of the present process.
    reading: Reading,
}

impl Default for Shutdown {
    fn default() -> Self {
        Self {
            announced_at: Instant::ZERO,
            counts_until: Instant::NEVER,
            reading: Reading::default(),
        }
    }
}

impl Shutdown {
    /// Records that a process announces its shutdown, which none did before.
    pub(super) fn announce(&mut self, now: Instant) {
        self.announced_at = now;
    }

    /// Records that the present process announces its shutdown.
    pub(super) fn confirm(&mut self) {
        self.counts_until = Instant::NEVER;
    }

    /// When a shutdown was first announced.
    pub(super) fn announced_at(&self) -> Instant {
        self.announced_at
    }

    /// Records that the entry of another process was read.
    pub(super) fn restarted(&mut self, reading: Reading) {
        self.reading = reading;
        self.counts_until = reading.at + UNCERTAIN_FOR;
    }

    /// Whether the present process may be the one that announced its shutdown: the former one was
    /// not known to run then.
    pub(super) fn may_be_of_present_process(&self) -> bool {
        self.announced_at + ENTRY_LAG > self.reading.former_confirmed_at
    }

    /// Whether the shutdown counts no longer.
    pub(super) fn is_over(&self, now: Instant) -> bool {
        now >= self.counts_until
    }
}
