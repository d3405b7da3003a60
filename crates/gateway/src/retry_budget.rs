//! Retry budget: this router's share of the retries that a service may receive.

use std::time::Duration;

use units::time::Instant;

/// The retries that all routers together may send to one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Retries per first attempt.
    pub ratio: f64,
    /// Additional retries per window, over all routers, independent of first attempts.
    pub burst: f64,
    /// The length of the window.
    pub window: Duration,
}

/// The fraction of the ratio that is used.
///
/// A first attempt counts in the window in which it was sent, but its retry may fall
/// into the next window, so the ratio cannot be used in full.
const RATIO_USED: f64 = 0.8;
/// The fraction of the burst that the shares of all routers use together: a restarted
/// router begins with a full share, and some retries are counted late.
const BURST_USED: f64 = 0.5;

/// The shortest window. In a shorter one the bucket would be refilled between any two retries.
const MIN_WINDOW: Duration = Duration::from_millis(1);

/// A token bucket for the retries to one service.
///
/// Each first attempt of this router adds the ratio to the bucket, so that part adds up
/// over the fleet without coordination. The burst is divided by the number of routers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    allowance: Allowance,
    tokens: f64,
    filled_at: Instant,
}

impl Budget {
    /// Creates a bucket that holds this router's share of the burst.
    pub fn new(allowance: Allowance, members: usize, now: Instant) -> Self {
        Self {
            allowance,
            tokens: burst(allowance, members),
            filled_at: now,
        }
    }

    /// Records a first attempt.
    pub fn deposit(&mut self, members: usize) {
        let max_tokens = burst(self.allowance, members).max(1.0);
        let earned = self.allowance.ratio * RATIO_USED;
        self.tokens = (self.tokens + earned).min(max_tokens.max(self.tokens));
    }

    /// Takes the token for one retry. Returns false if there is none.
    pub fn withdraw(&mut self, members: usize, now: Instant) -> bool {
        self.refill(members, now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Gives back the retry of a request that was not sent.
    pub fn refund(&mut self) {
        self.tokens += 1.0;
    }

    /// Refills the share of the burst over time.
    fn refill(&mut self, members: usize, now: Instant) {
        let max_tokens = burst(self.allowance, members);
        let window = self.allowance.window.max(MIN_WINDOW);
        let share = now.since(self.filled_at).div_duration_f64(window);
        self.filled_at = now;
        if self.tokens < max_tokens {
            // Only half of the burst per window, since a window may begin with a full
            // bucket.
            self.tokens = (self.tokens + share * max_tokens * 0.5).min(max_tokens);
        }
    }
}

fn burst(allowance: Allowance, members: usize) -> f64 {
    allowance.burst * BURST_USED / members.max(1) as f64
}
