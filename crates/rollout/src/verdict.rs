//! Comparison of two versions by a sequential test.
//!
//! The test is the sequential probability ratio test for proportions (A. Wald, "Sequential
//! Tests of Statistical Hypotheses", Annals of Mathematical Statistics 16, 1945). It asks
//! whether the events at the new version, failures or slow responses, are as frequent as
//! at the old version in the same period, or as frequent as at a faulty version. It may be
//! evaluated after each event without a loss of accuracy.
//!
//! Routes are compared one by one, since a version may be faulty on one route only, and
//! together, since a few failures on each route are significant in total.

use std::fmt;

use crate::{
    Counts,
    counts::{GROUPS, Route, RouteCounts, TIME_CLASSES, Tally},
};

/// The acceptable probability that one comparison finds a sound version faulty. Up to a
/// dozen comparisons are made for each version.
const FALSE_ALARM: f64 = 1e-4;
/// The acceptable probability that a comparison misses a faulty version.
const MISS: f64 = 0.01;
/// The score above which a version that has not been found faulty is not promoted.
const MAX_PROMOTED_SCORE: f64 = 2.5;
/// The fewest outcomes of the new version that permit its promotion.
const MIN_OUTCOMES: u32 = 5;

/// The increase of the failure ratio by which a faulty version is recognized, at least.
const FAILURE_INCREASE: f64 = 0.05;
/// The increase of the ratio of slow responses, at least.
const SLOW_INCREASE: f64 = 0.15;
/// The largest ratio of the old version's responses that count as slow.
const MAX_SLOW_RATIO: f64 = 0.1;
/// The smallest ratio of events assumed for the old version. A single failure in a few
/// requests is no sign of a faulty version, however many requests the old one has served.
const MIN_RATIO: f64 = 0.005;
/// A ratio of events above which two versions are not compared.
const MAX_RATIO: f64 = 0.95;

/// The kind of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The server failed or broke off the response.
    Failure,
    /// The first byte took longer than nearly all responses of the old version.
    SlowResponse,
}

impl Kind {
    /// The increase of the ratio of events by which a faulty version is recognized, at least.
    const fn min_increase(self) -> f64 {
        match self {
            Self::Failure => FAILURE_INCREASE,
            Self::SlowResponse => SLOW_INCREASE,
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Failure => "failures",
            Self::SlowResponse => "slow_responses",
        })
    }
}

/// Events at the two versions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Events {
    /// Events at the old version.
    pub baseline: u32,
    /// Requests at the old version.
    pub baseline_total: u32,
    /// Events at the new version.
    pub candidate: u32,
    /// Requests at the new version.
    pub candidate_total: u32,
}

/// The comparison that is least favourable to the new version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Assessment {
    /// The logarithm of the likelihood ratio of "faulty" to "sound".
    pub score: f64,
    /// The kind of events compared.
    pub kind: Kind,
    /// The route; `None` for all routes together.
    pub route: Option<Route>,
    /// The events.
    pub events: Events,
    /// The number of outcomes of the new version on all routes.
    pub outcomes: u32,
    /// Whether enough requests have shown that the new version does not fail more often
    /// than the old one.
    pub is_sound: bool,
    /// Whether the new version fails most requests, however often the old one fails.
    pub fails_mostly: bool,
}

impl Assessment {
    /// Whether the new version is faulty.
    pub fn is_faulty(&self) -> bool {
        self.score >= ((1.0 - MISS) / FALSE_ALARM).ln()
    }

    /// Whether the new version may receive all requests, after a canary that has found
    /// no fault so far.
    ///
    /// If both versions fail most requests, it is unknown whether the new one would serve
    /// them once the old one's trouble is over.
    pub fn permits_promotion(&self) -> bool {
        self.score < MAX_PROMOTED_SCORE && self.outcomes >= MIN_OUTCOMES && !self.fails_mostly
    }
}

/// Compares the two versions.
pub fn assess(counts: &Counts) -> Assessment {
    let total = counts.total();
    let mut worst = compare(None, &total, Kind::Failure);
    worst.outcomes = total.candidate.outcomes();
    worst.is_sound = worst.score <= (MISS / (1.0 - FALSE_ALARM)).ln();
    worst.fails_mostly = worst.events.candidate * 2 > worst.events.candidate_total;
    for (route, counts) in counts.routes() {
        for kind in [Kind::Failure, Kind::SlowResponse] {
            let assessment = compare(Some(route), counts, kind);
            if assessment.score > worst.score {
                worst = Assessment {
                    outcomes: worst.outcomes,
                    is_sound: worst.is_sound,
                    fails_mostly: worst.fails_mostly,
                    ..assessment
                };
            }
        }
    }
    worst
}

fn compare(route: Option<Route>, counts: &RouteCounts, kind: Kind) -> Assessment {
    let (events, by_group) = match kind {
        Kind::Failure => (failures(counts), &counts.spread.failed),
        Kind::SlowResponse => (slow_responses(counts), &counts.spread.slow),
    };
    let events = without_worst_group(events, by_group, counts.spread.seen);
    Assessment {
        score: score(events, kind),
        kind,
        route,
        events,
        outcomes: 0,
        is_sound: false,
        fails_mostly: false,
    }
}

/// Leaves out the group of servers with the most events, which may be due to one faulty
/// server. A faulty version has as many events at the other servers.
fn without_worst_group(events: Events, by_group: &[u32; GROUPS], seen: u8) -> Events {
    let groups = seen.count_ones();
    if groups < 2 {
        return events;
    }
    let worst = by_group.iter().max().copied().unwrap_or_default();
    Events {
        candidate: events.candidate.saturating_sub(worst),
        candidate_total: events.candidate_total - events.candidate_total / groups,
        ..events
    }
}

fn failures(counts: &RouteCounts) -> Events {
    Events {
        baseline: counts.baseline.failed,
        baseline_total: counts.baseline.outcomes(),
        candidate: counts.candidate.failed,
        candidate_total: counts.candidate.outcomes(),
    }
}

fn slow_responses(counts: &RouteCounts) -> Events {
    let Some(class) = slow_class(&counts.baseline) else {
        return Events::default();
    };
    Events {
        baseline: counts.baseline.slower(class),
        baseline_total: counts.baseline.timed(),
        candidate: counts.candidate.slower(class),
        candidate_total: counts.candidate.timed(),
    }
}

/// The first class of times that few responses of the old version reach.
fn slow_class(baseline: &Tally) -> Option<usize> {
    let total = f64::from(baseline.timed());
    if total == 0.0 {
        return None;
    }
    (1..TIME_CLASSES).find(|class| f64::from(baseline.slower(*class)) <= MAX_SLOW_RATIO * total)
}

/// The logarithm of the likelihood ratio of a faulty version to a sound one.
fn score(events: Events, kind: Kind) -> f64 {
    let sound = upper_bound(events.baseline, events.baseline_total).max(MIN_RATIO);
    let faulty = (sound + kind.min_increase()).max(sound * 2.0);
    if faulty >= MAX_RATIO {
        return 0.0;
    }
    let count = f64::from(events.candidate);
    let others = f64::from(events.candidate_total.saturating_sub(events.candidate));
    count * (faulty / sound).ln() + others * ((1.0 - faulty) / (1.0 - sound)).ln()
}

/// A ratio that the old version's true ratio of events hardly exceeds: two standard
/// deviations above the counted one. If few requests are known, it is large, and nothing is
/// concluded from events at the new version.
fn upper_bound(events: u32, total: u32) -> f64 {
    let events = f64::from(events) + 1.0;
    (events + 2.0 * events.sqrt()) / (f64::from(total) + 1.0)
}
