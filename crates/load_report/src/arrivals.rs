//! The rate at which requests arrive.

use std::time::Duration;

use units::time::Instant;

/// The time over which the rate is averaged: long enough for several requests of a router that
/// gets three in a second.
const AVERAGING_TIME: Duration = Duration::from_secs(2);

/// An exponentially decaying count of requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Arrivals {
    count: f64,
    at: Instant,
}

impl Arrivals {
    /// Records the arrival of one request.
    pub fn record(&mut self, now: Instant) {
        self.count = self.count_at(now) + 1.0;
        self.at = now;
    }

    /// The requests that arrive in `time` on average.
    pub fn within(&self, time: Duration, now: Instant) -> f64 {
        self.count_at(now) * time.as_secs_f64() / AVERAGING_TIME.as_secs_f64()
    }

    fn count_at(&self, now: Instant) -> f64 {
        let age = now.since(self.at).as_secs_f64() / AVERAGING_TIME.as_secs_f64();
        self.count * (-age).exp()
    }
}
