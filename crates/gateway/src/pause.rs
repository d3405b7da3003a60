//! Detects that the process was paused.

use std::time::Duration;

use units::time::Instant;

/// The interval at which an idle process checks the clock.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// The minimum gap between two checks that counts as a pause: four missed checks.
///
/// CPU throttling stops a process for a tenth of a second at most.
const MIN_PAUSE: Duration = Duration::from_secs(1);

/// Detects pauses by gaps between checks of the clock.
///
/// A process that was suspended or frozen resumes without noticing. Its state is as old as
/// the pause: servers may have left, or restarted and be cold, and it would immediately
/// send them all requests that are buffered in its sockets.
#[derive(Clone, Copy, Debug, Default)]
pub struct Detector {
    checked_at: Option<Instant>,
}

impl Detector {
    /// Records a check. Returns the length of the pause before it, if there was one.
    pub fn check(&mut self, now: Instant) -> Option<Duration> {
        let gap = self
            .checked_at
            .map_or(Duration::ZERO, |checked| now.since(checked));
        self.checked_at = Some(now);
        (gap >= MIN_PAUSE).then_some(gap)
    }
}
