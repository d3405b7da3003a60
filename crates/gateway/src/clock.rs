//! The process's clock, as instants of the decision libraries.

use std::time::Duration;

use units::time;

/// Maps the runtime's clock to instants since the process's start.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: tokio::time::Instant,
}

impl Clock {
    /// A clock whose origin is the present moment.
    pub fn start() -> Self {
        Self {
            origin: tokio::time::Instant::now() - Duration::from_secs(1),
        }
    }

    /// The present instant.
    pub fn now(&self) -> time::Instant {
        time::Instant::ZERO + self.origin.elapsed()
    }

    /// The runtime's instant for `instant`.
    pub fn at(&self, instant: time::Instant) -> tokio::time::Instant {
        self.origin + instant.since(time::Instant::ZERO).min(FAR)
    }

    /// The time that remains until `instant`.
    pub fn remaining(&self, instant: time::Instant) -> Duration {
        instant.since(self.now()).min(FAR)
    }
}

/// An instant that is never reached is mapped to this far from the origin.
const FAR: Duration = Duration::from_secs(10 * 365 * 24 * 3600);
