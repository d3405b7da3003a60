//! Evidence for and against the suspicion that a request crashes backend servers.

use std::{ops, time::Duration};

use serde::{Deserialize, Serialize};
use units::{backend, request::Fingerprint, time::Instant};

/// Identifies one crash of a backend server; all routers derive the same ID.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Crash(pub u64);

impl Crash {
    /// The ID of the crash that ended the run `boot` of `server`.
    ///
    /// Several routers may detect the same crash. As they compute the same ID, their
    /// strikes count as one.
    pub fn new(server: &backend::Server, boot: u64) -> Self {
        let hash = xxhash_rust::xxh3::xxh3_64_with_seed(server.as_str().as_bytes(), boot);
        Self(hash)
    }
}

/// A point in time, in microseconds, which may lie before the origin of this process's
/// clock: another router may have seen it before this process started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Moment(i64);

impl Moment {
    /// The earliest moment.
    pub const EARLIEST: Self = Self(i64::MIN);

    /// The time elapsed from `earlier` to this moment, zero when `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        let micros = self.0.saturating_sub(earlier.0);
        Duration::from_micros(u64::try_from(micros).unwrap_or(0))
    }
}

impl From<Instant> for Moment {
    fn from(instant: Instant) -> Self {
        Self(i64::try_from(instant.as_micros()).unwrap_or(i64::MAX))
    }
}

impl ops::Add<Duration> for Moment {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        let micros = i64::try_from(duration.as_micros()).unwrap_or(i64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

/// The time in which a crash happened, as far as a request in flight shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Interval {
    /// The last sign of life of the server, or the start of the attempt.
    pub start: Moment,
    /// When the connection broke, or the request was given up.
    pub end: Moment,
}

impl Interval {
    /// The interval between two instants.
    pub fn new(start: Instant, end: Instant) -> Self {
        Self {
            start: start.into(),
            end: end.into(),
        }
    }

    /// The time within both intervals, if they overlap. Otherwise `self`.
    pub(crate) fn intersection(self, other: Self) -> Self {
        let both = Self {
            start: self.start.max(other.start),
            end: self.end.min(other.end),
        };
        if both.start <= both.end { both } else { self }
    }
}

/// A request was in flight at a server that crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Strike {
    /// The fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// The crash.
    pub crash: Crash,
    /// When the crash happened.
    pub interval: Interval,
}

impl Strike {
    /// Combines what two routers know of the same crash.
    pub(crate) fn narrow(&mut self, other: &Self) {
        self.interval = self.interval.intersection(other.interval);
    }
}

/// A request completed, which shows that it does not crash servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Completion {
    /// The fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// When it completed.
    pub at: Moment,
}

/// What is known of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// It was in flight at a crash.
    Strike(Strike),
    /// It completed, after it had been in flight at a crash.
    Completion(Completion),
}

impl Evidence {
    /// The fingerprint of the request.
    pub const fn fingerprint(&self) -> Fingerprint {
        match self {
            Self::Strike(strike) => strike.fingerprint,
            Self::Completion(completion) => completion.fingerprint,
        }
    }

    /// When the request completed, or the latest time at which the crash may have happened.
    pub const fn happened_at(&self) -> Moment {
        match self {
            Self::Strike(strike) => strike.interval.end,
            Self::Completion(completion) => completion.at,
        }
    }
}

/// The time since an event, in microseconds. It is at most 71 minutes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Age(u32);

impl Age {
    /// The age of an event at `now`.
    pub fn new(event: Moment, now: Instant) -> Self {
        let age = Moment::from(now).since(event).as_micros();
        Self(u32::try_from(age).unwrap_or(u32::MAX))
    }

    /// When the event happened.
    pub fn at(self, now: Instant) -> Moment {
        Moment(Moment::from(now).0 - i64::from(self.0))
    }
}

/// Evidence as routers exchange it. Their clocks differ, so it has ages instead of
/// instants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Report {
    /// A request was in flight at a crash.
    Strike {
        /// The fingerprint of the request.
        fingerprint: Fingerprint,
        /// The crash.
        crash: Crash,
        /// The age of the start of [`Strike::interval`].
        start: Age,
        /// The age of its end.
        end: Age,
    },
    /// A request completed.
    Completion {
        /// The fingerprint of the request.
        fingerprint: Fingerprint,
        /// The time since then.
        age: Age,
    },
}

impl Report {
    /// Reports evidence at `now`.
    pub fn new(evidence: &Evidence, now: Instant) -> Self {
        match evidence {
            Evidence::Strike(strike) => Self::Strike {
                fingerprint: strike.fingerprint,
                crash: strike.crash,
                start: Age::new(strike.interval.start, now),
                end: Age::new(strike.interval.end, now),
            },
            Evidence::Completion(completion) => Self::Completion {
                fingerprint: completion.fingerprint,
                age: Age::new(completion.at, now),
            },
        }
    }

    /// The evidence of a report that was received at `now`.
    pub fn evidence(self, now: Instant) -> Evidence {
        match self {
            Self::Strike {
                fingerprint,
                crash,
                start,
                end,
            } => Evidence::Strike(Strike {
                fingerprint,
                crash,
                interval: Interval {
                    start: start.at(now),
                    end: end.at(now),
                },
            }),
            Self::Completion { fingerprint, age } => Evidence::Completion(Completion {
                fingerprint,
                at: age.at(now),
            }),
        }
    }
}
