//! This router's share of the repeats that a service may get.

use std::time::Duration;

use units::time::Instant;

/// What the fleet may repeat at one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Repeats for each first arrival.
    pub ratio: f64,
    /// Repeats in one window without any first arrival, over all routers.
    pub burst: f64,
    /// The length of a window, in seconds.
    pub window_s: u64,
}

/// How much of the ratio is used.
///
/// A first arrival counts for the window in which it happened and its repeat
/// may fall into the next one, so not all of the ratio can be spent.
const RATIO_USED: f64 = 0.8;
/// How much of the burst all shares together use: a router that was restarted
/// begins with a full share, and some are counted late.
const BURST_USED: f64 = 0.5;

/// A bucket of repeats for one service.
///
/// The ratio part fills with this router's own first arrivals and so adds up
/// over the fleet by itself. The burst is divided by the number of routers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    allowance: Allowance,
    tokens: f64,
    filled_at: Instant,
}

impl RetryBudget {
    /// A bucket that holds this router's share of the burst.
    pub fn new(allowance: Allowance, members: usize, now: Instant) -> Self {
        Self {
            allowance,
            tokens: burst(allowance, members),
            filled_at: now,
        }
    }

    /// A request was sent for the first time.
    pub fn deposit(&mut self, members: usize) {
        let max_tokens = burst(self.allowance, members).max(1.0);
        let earned = self.allowance.ratio * RATIO_USED;
        self.tokens = (self.tokens + earned).min(max_tokens.max(self.tokens));
    }

    /// Takes one repeat, if there is one left.
    pub fn withdraw(&mut self, members: usize, now: Instant) -> bool {
        self.refill(members, now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// The burst comes back over a window.
    fn refill(&mut self, members: usize, now: Instant) {
        let max_tokens = burst(self.allowance, members);
        let window = Duration::from_secs(self.allowance.window_s.max(1));
        let share = now.since(self.filled_at).as_secs_f64() / window.as_secs_f64();
        self.filled_at = now;
        if self.tokens < max_tokens {
            // Half of the burst a window: a window may begin with a full bucket.
            self.tokens = (self.tokens + share * max_tokens * 0.5).min(max_tokens);
        }
    }
}

fn burst(allowance: Allowance, members: usize) -> f64 {
    allowance.burst * BURST_USED / members.max(1) as f64
}
