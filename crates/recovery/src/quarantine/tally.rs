//! The crashes at which a part was in flight.

use std::{cmp::Reverse, collections::BTreeMap};

use units::request::Part;

use super::{Combination, Sighting};
use crate::evidence::{Crash, Interval, Moment};

/// What is known of each part.
pub(super) type Tallies = BTreeMap<Part, Tally>;

/// What is known of one part.
#[derive(Clone, Debug, Default)]
pub(super) struct Tally {
    intervals: BTreeMap<Crash, Interval>,
    /// The parts, including this one, that were in flight at all of these crashes in each request
    /// with this part.
    pub(super) companions: Combination,
}

impl Tally {
    /// Adds a request with the part, of which `suspects` may have caused the crash.
    pub(super) fn add(&mut self, sighting: &Sighting, suspects: &[Part]) {
        if self.intervals.is_empty() {
            self.companions = suspects.iter().copied().collect();
        } else {
            self.companions.retain(|part| suspects.contains(part));
        }
        self.intervals
            .entry(sighting.crash)
            .and_modify(|known| *known = known.intersection(sighting.interval))
            .or_insert(sighting.interval);
    }

    /// The number of crashes, one after the other: as many as possible of which no two may have
    /// happened at the same moment.
    pub(super) fn crashes(&self) -> usize {
        let mut intervals: Vec<Interval> = self.intervals.values().copied().collect();
        intervals.sort_unstable_by_key(|interval| interval.end);
        let mut last_end = Moment::EARLIEST;
        let mut count = 0;
        for interval in intervals {
            if interval.start > last_end {
                last_end = interval.end;
                count += 1;
            }
        }
        count
    }

    /// When the last crash happened.
    pub(super) fn last_crash_at(&self) -> Moment {
        let ends = self.intervals.values().map(|interval| interval.end);
        ends.max().unwrap_or(Moment::EARLIEST)
    }
}

/// The part that explains the most crashes; of several, one that was seen with most others.
pub(super) fn best(tallies: &Tallies) -> Option<(Part, &Tally)> {
    let rank = |tally: &Tally| (tally.crashes(), tally.companions.len());
    let best = tallies
        .iter()
        .min_by_key(|(part, tally)| (Reverse(rank(tally)), **part))?;
    Some((*best.0, best.1))
}

/// Whether a part that was not always seen together with `best` explains as many crashes.
pub(super) fn has_rival(tallies: &Tallies, best: Part) -> bool {
    let Some(tally) = tallies.get(&best) else {
        return false;
    };
    let crashes = tally.crashes();
    let is_rival = |part: &Part, other: &Tally| {
        !tally.companions.contains(part)
            && !other.companions.contains(&best)
            && other.crashes() >= crashes
    };
    tallies.iter().any(|(part, other)| is_rival(part, other))
}
