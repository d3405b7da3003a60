//! The process's clock, which yields the instants that the decision code works with.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};
use units::time;

/// Maps the machine's clock to instants since the process's start.
///
/// It includes the time for which the machine is suspended, which the runtime's clock does
/// not. On the runtime's clock a deadline, a lease or the age of a view would stand still
/// during a suspension, and a resumed router would treat state that is seconds old as
/// fresh.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// Time since the machine's start, one second before the clock's.
    origin: Duration,
}

impl Clock {
    /// Creates a clock whose origin is the present moment.
    pub fn start() -> Self {
        Self {
            origin: since_boot().saturating_sub(Duration::from_secs(1)),
        }
    }

    /// The present instant.
    pub fn now(&self) -> time::Instant {
        time::Instant::ZERO + since_boot().saturating_sub(self.origin)
    }

    /// The runtime's instant that corresponds to `instant`, unless the machine is suspended
    /// before it.
    pub fn at(&self, instant: time::Instant) -> tokio::time::Instant {
        tokio::time::Instant::now() + self.remaining(instant)
    }

    /// The time that remains until `instant`.
    pub fn remaining(&self, instant: time::Instant) -> Duration {
        instant.since(self.now()).min(MAX_REMAINING)
    }
}

/// The cap on the remaining time; it stands for an instant that is never reached.
const MAX_REMAINING: Duration = Duration::from_secs(10 * 365 * 24 * 3600);

/// The time since the machine's start, including suspensions.
fn since_boot() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    // The clock is never before the machine's start.
    let seconds = u64::try_from(now.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(now.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}
