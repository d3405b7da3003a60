//! Notices that the process did not run for a while.

use std::time::Duration;

use units::time::Instant;

/// How often the process looks at the clock while it has nothing to do.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// A longer gap between two looks is a pause: four looks missed.
///
/// A machine at its quota stands still for a tenth of a second at most.
const MIN_PAUSE: Duration = Duration::from_secs(1);

/// When the process last ran.
///
/// A machine that was suspended or frozen goes on as if nothing had happened.
/// What it knows is as old as the pause: servers have left, or started again
/// and are cold, and it would send them all that waits in its sockets at once.
#[derive(Clone, Copy, Debug, Default)]
pub struct Detector {
    checked_at: Option<Instant>,
}

impl Detector {
    /// Notes that the process runs. Returns the pause, if there was one.
    pub fn check(&mut self, now: Instant) -> Option<Duration> {
        let gap = self
            .checked_at
            .map_or(Duration::ZERO, |checked| now.since(checked));
        self.checked_at = Some(now);
        (gap >= MIN_PAUSE).then_some(gap)
    }
}
