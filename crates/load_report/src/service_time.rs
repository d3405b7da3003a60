//! The usual time of a request at a plain service.

use std::time::Duration;

/// The change of the estimate with each measured time, as a divisor.
const STEP_DIVISOR: u64 = 16;
/// The shortest estimate, so that steps of the estimate are not zero.
const MIN_US: u64 = 100;

/// An estimate of the median time of a request at a server that is not slowed down.
///
/// The median ignores servers that report a false slowdown as long as they are few; a mean
/// would follow them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceTime {
    micros: u64,
}

impl ServiceTime {
    /// Starts with an estimate.
    pub fn new(estimate: Duration) -> Self {
        let micros = u64::try_from(estimate.as_micros()).unwrap_or(u64::MAX);
        Self {
            micros: micros.max(MIN_US),
        }
    }

    /// Records the time of one request, divided by the slowdown of its server.
    pub fn record(&mut self, time: Duration) {
        let step = self.micros / STEP_DIVISOR;
        self.micros = if time.as_micros() > u128::from(self.micros) {
            self.micros.saturating_add(step)
        } else {
            (self.micros - step).max(MIN_US)
        };
    }

    /// In microseconds.
    pub fn micros(self) -> u64 {
        self.micros
    }
}
