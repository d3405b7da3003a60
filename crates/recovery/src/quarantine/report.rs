//! Evidence about parts as routers exchange it.

use serde::{Deserialize, Serialize};
use units::{request::Part, time::Instant};

use super::{Chain, Combination, Sighting};
use crate::evidence::{Age, Crash, Interval, Moment};

/// What is known of parts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// A request was in flight at a crash.
    Sighting(Sighting),
    /// A request with the part completed, after the part had been in flight at a crash.
    Completion {
        /// The part.
        part: Part,
        /// When the request completed.
        at: Moment,
    },
    /// Requests with all of these parts are refused.
    Refused {
        /// The parts.
        parts: Combination,
        /// The number of crashes that they have caused.
        crashes: u32,
        /// When the last of them happened.
        last_crash_at: Moment,
    },
    /// Requests with all of these parts are refused no longer.
    Lifted {
        /// The parts.
        parts: Combination,
        /// When an operator lifted the refusal.
        at: Moment,
    },
}

/// [`Evidence`] with ages instead of instants, since the clocks of routers differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Report {
    /// See [`Evidence::Sighting`].
    Sighting {
        /// The crash.
        crash: Crash,
        /// The age of the start of its interval.
        start: Age,
        /// The age of its end.
        end: Age,
        /// The parts of the request that may have caused it.
        chain: Chain,
    },
    /// See [`Evidence::Completion`].
    Completion {
        /// The part.
        part: Part,
        /// The time since the completion.
        age: Age,
    },
    /// See [`Evidence::Refused`].
    Refused {
        /// The parts.
        parts: Combination,
        /// The number of crashes that they have caused.
        crashes: u32,
        /// The time since the last of them.
        age: Age,
    },
    /// See [`Evidence::Lifted`].
    Lifted {
        /// The parts.
        parts: Combination,
        /// The time since then.
        age: Age,
    },
}

impl Report {
    /// Reports evidence at `now`.
    pub fn new(evidence: Evidence, now: Instant) -> Self {
        match evidence {
            Evidence::Sighting(sighting) => Self::Sighting {
                crash: sighting.crash,
                start: Age::new(sighting.interval.start, now),
                end: Age::new(sighting.interval.end, now),
                chain: sighting.chain,
            },
            Evidence::Completion { part, at } => Self::Completion {
                part,
                age: Age::new(at, now),
            },
            Evidence::Refused {
                parts,
                crashes,
                last_crash_at,
            } => Self::Refused {
                parts,
                crashes,
                age: Age::new(last_crash_at, now),
            },
            Evidence::Lifted { parts, at } => Self::Lifted {
                parts,
                age: Age::new(at, now),
            },
        }
    }

    /// The evidence of a report that was received at `now`.
    pub fn evidence(self, now: Instant) -> Evidence {
        match self {
            Self::Sighting {
                crash,
                start,
                end,
                chain,
            } => Evidence::Sighting(Sighting {
                crash,
                interval: Interval {
                    start: start.at(now),
                    end: end.at(now),
                },
                chain,
            }),
            Self::Completion { part, age } => Evidence::Completion {
                part,
                at: age.at(now),
            },
            Self::Refused {
                parts,
                crashes,
                age,
            } => Evidence::Refused {
                parts,
                crashes,
                last_crash_at: age.at(now),
            },
            Self::Lifted { parts, age } => Evidence::Lifted {
                parts,
                at: age.at(now),
            },
        }
    }
}
