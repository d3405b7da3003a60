//! What a router believes of one server's load, and for how long.

use std::time::Duration;

use units::time::Instant;

use crate::{Report, Slowdown};

/// How long a report counts. Reports that pass through an aggregator are up to 700 ms old when
/// they arrive, and rounds are 200 ms apart; a report must outlive the loss of one round.
pub const TTL: Duration = Duration::from_secs(1);
/// The smallest slowdown that has an effect: a server that falsely reports to be fast attracts at
/// most twice its share.
const MIN_EFFECTIVE_PERCENT: u16 = 50;
/// A measured time this many times shorter than the slowdown explains contradicts it. Expected
/// times allow for engines that read several times faster than assumed.
const CONTRADICTION_FACTOR: u32 = 8;
/// The consecutive contradictions after which a slowdown is ignored. A request that was placed
/// just before the speed changed contradicts it too, so that one is not enough.
const MAX_CONTRADICTIONS: u8 = 3;
/// How long the slowdown of a server is ignored whose measured times contradict it.
const DISTRUST_TIME: Duration = Duration::from_secs(5);

/// The requests that a server has reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Requests {
    running: u32,
    waiting: u32,
    at: Instant,
    until: Instant,
}

/// A reported slowdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Speed {
    slowdown: Slowdown,
    at: Instant,
    until: Instant,
}

/// The newest report of one incarnation of a server. It expires after [`TTL`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Belief {
    incarnation: u64,
    /// Older reports may be of another incarnation.
    valid_from: Instant,
    requests: Option<Requests>,
    speed: Option<Speed>,
    contradictions: u8,
    distrusted_until: Instant,
}

impl Belief {
    /// A belief without a report. Reports of other routers from before `valid_from` are ignored,
    /// since they do not name the incarnation.
    pub fn new(incarnation: u64, valid_from: Instant) -> Self {
        Self {
            incarnation,
            valid_from,
            requests: None,
            speed: None,
            contradictions: 0,
            distrusted_until: Instant::ZERO,
        }
    }

    /// Records a report that `incarnation` of the server made at `at`. Returns false if it is
    /// ignored because it is of another incarnation or not newer.
    pub fn record(&mut self, incarnation: u64, report: Report, at: Instant) -> bool {
        if incarnation != self.incarnation || self.requests.is_some_and(|requests| at < requests.at)
        {
            return false;
        }
        self.requests = Some(Requests {
            running: report.running,
            waiting: report.waiting,
            at,
            until: at + TTL,
        });
        if let Some(slowdown) = report.slowdown {
            self.record_speed(slowdown, at);
        }
        true
    }

    /// Records a slowdown that another router has received at `at`. Returns false if it is
    /// ignored because it is not newer or may be of another incarnation.
    pub fn record_shared(&mut self, slowdown: Slowdown, at: Instant) -> bool {
        at >= self.valid_from && self.record_speed(slowdown, at)
    }

    fn record_speed(&mut self, slowdown: Slowdown, at: Instant) -> bool {
        if self.speed.is_some_and(|speed| at < speed.at) {
            return false;
        }
        self.speed = Some(Speed {
            slowdown,
            at,
            until: at + TTL,
        });
        true
    }

    /// Records a time of `measured`, for which `expected` was expected with the slowdown of
    /// this belief. A server that is repeatedly much faster than it reports is not believed for
    /// some time. Returns whether that begins now.
    pub fn record_time(&mut self, measured: Duration, expected: Duration, now: Instant) -> bool {
        let is_slow = self.slowdown(now) > Slowdown::NONE;
        if !is_slow || measured.saturating_mul(CONTRADICTION_FACTOR) >= expected {
            self.contradictions = 0;
            return false;
        }
        self.contradictions += 1;
        if self.contradictions < MAX_CONTRADICTIONS {
            return false;
        }
        self.contradictions = 0;
        self.distrusted_until = now + DISTRUST_TIME;
        true
    }

    /// How long work takes at the server; [`Slowdown::NONE`] if that is not known.
    pub fn slowdown(&self, now: Instant) -> Slowdown {
        if now < self.distrusted_until {
            return Slowdown::NONE;
        }
        let known = self.known_speed(now).map(|speed| speed.slowdown);
        known.unwrap_or_default().at_least(MIN_EFFECTIVE_PERCENT)
    }

    /// The requests that the server has reported as running and waiting; zero if that is not
    /// known.
    pub fn requests(&self, now: Instant) -> u32 {
        self.known_requests(now).map_or(0, |requests| {
            requests.running.saturating_add(requests.waiting)
        })
    }

    /// When the last known slowdown was reported.
    pub fn speed_at(&self, now: Instant) -> Option<Instant> {
        self.known_speed(now).map(|speed| speed.at)
    }

    /// When the last known requests were reported.
    pub fn requests_at(&self, now: Instant) -> Option<Instant> {
        self.known_requests(now).map(|requests| requests.at)
    }

    fn known_speed(&self, now: Instant) -> Option<Speed> {
        self.speed.filter(|speed| now < speed.until)
    }

    fn known_requests(&self, now: Instant) -> Option<Requests> {
        self.requests.filter(|requests| now < requests.until)
    }
}
