//! Scenarios of servers whose speed changes, and what came of them.

use std::{fmt, time::Duration};

use load_report::Report;

pub const SERVERS: usize = 4;
pub const SLOTS: u32 = 6;

/// How servers are chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// By reported load.
    Reported,
    /// The previous code: the speed is not read.
    Previous,
    /// The server with the fewest requests of the router; equal ones at random.
    LeastOwn,
    /// The server with fewer known requests of two that are drawn.
    TwoChoices,
}

/// What the first server reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Figures {
    /// The truth.
    True,
    /// Text, which is not decoded.
    Unreadable,
    /// These figures, whatever it does.
    Fixed(Report),
}

/// A scenario.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub policy: Policy,
    pub routers: usize,
    /// Requests of all routers in a second.
    pub rate: f64,
    /// The mean time of a request at the usual speed.
    pub work: Duration,
    /// The slowdown of one server after the other.
    pub percent: u16,
    /// How long it lasts, and how long until the next server is slow.
    pub slow: (Duration, Duration),
    /// The time that a message between routers takes.
    pub delay: Duration,
    /// The share of messages that is lost.
    pub loss: f64,
    pub figures: Figures,
    pub length: Duration,
    pub seed: u64,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            policy: Policy::Reported,
            routers: 67,
            rate: 201.0,
            work: Duration::from_millis(30),
            percent: 250,
            slow: (Duration::from_millis(600), Duration::from_millis(1000)),
            delay: Duration::from_millis(200),
            loss: 0.0,
            figures: Figures::True,
            length: Duration::from_secs(40),
            seed: 1,
        }
    }
}

/// What came of the requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Summary {
    pub requests: usize,
    pub late: usize,
    /// Requests that no server took.
    pub refused: usize,
    /// Attempts that a full server rejected.
    pub rejections: usize,
    /// The most attempts that reached a server within 100 ms of its favorable report.
    pub herd: usize,
    /// Attempts that reached a server while it was slow.
    pub at_slow: usize,
    pub total: Duration,
}

impl Summary {
    /// The share of requests that did not get a response in time.
    pub fn missed_share(&self) -> f64 {
        (self.late + self.refused) as f64 / self.requests as f64
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mean = self.total / u32::try_from(self.requests).unwrap_or(u32::MAX).max(1);
        write!(
            f,
            "requests={} late={} refused={} rejections={} at_slow={} herd={} mean_us={}",
            self.requests,
            self.late,
            self.refused,
            self.rejections,
            self.at_slow,
            self.herd,
            mean.as_micros()
        )
    }
}
