//! The rate at which requests leave the queue.

use std::time::Duration;

use units::{cost::Cost, time::Instant};

/// The window over which the rate of placements is measured.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// The shortest time from which a rate is known.
const MIN_RATE_TIME: Duration = Duration::from_millis(100);
/// How long a rate is known after the last request left the queue.
const RATE_TTL: Duration = Duration::from_secs(10);

/// The rate at which requests leave the queue, by their cost.
///
/// It is measured only while requests are queued: otherwise, it is that of the callers, and would
/// say nothing of how long a queued request waits.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlacementRate {
    /// Since when requests are queued and counted in neither window.
    queued_since: Option<Instant>,
    current: Window,
    /// The last full window.
    previous: Window,
    measured_at: Instant,
}

/// The work that was placed within some time in which requests were queued.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    time: Duration,
    cost: Cost,
}

impl PlacementRate {
    /// Records whether requests are queued from now on.
    pub fn observe(&mut self, is_queued: bool, now: Instant) {
        if let Some(since) = self.queued_since {
            self.current.time += now.since(since);
            self.measured_at = now;
        } else if now.since(self.measured_at) > RATE_TTL {
            *self = Self::default();
        }
        self.queued_since = is_queued.then_some(now);
        if self.current.time >= RATE_WINDOW {
            self.previous = std::mem::take(&mut self.current);
        }
    }

    /// Records that work was placed.
    pub fn record(&mut self, cost: Cost) {
        if self.queued_since.is_some() {
            self.current.cost += cost;
        }
    }

    /// The time in which work of `cost` is placed at the current rate; zero if it is not known.
    pub fn time_to_place(&self, cost: Cost, now: Instant) -> Duration {
        let since = self.queued_since.unwrap_or(now);
        let time = self.previous.time + self.current.time + now.since(since);
        let placed = self.previous.cost.0 + self.current.cost.0;
        if time < MIN_RATE_TIME {
            // Without a measured rate there is no reason to refuse the request.
            return Duration::ZERO;
        }
        if placed == 0 {
            return time;
        }
        time.mul_f64(cost.0 as f64 / placed as f64)
    }
    /// As [`Self::time_to_place`], but only if the rate was measured over a full window.
    pub fn settled_time_to_place(&self, cost: Cost, now: Instant) -> Option<Duration> {
        let since = self.queued_since.unwrap_or(now);
        let time = self.previous.time + self.current.time + now.since(since);
        (time >= RATE_WINDOW).then(|| self.time_to_place(cost, now))
    }
}
