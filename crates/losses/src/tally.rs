//! Counts by name, in bounded memory.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::cause::{Cause, Outcome};

/// The most names of one kind that are counted apart.
const MAX_NAMES: usize = 1_000;
/// Under which name all further ones are counted.
const OTHERS: &str = "(others)";

/// Requests served and lost, and why.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Count {
    /// Requests that got a server's answer to its end.
    pub served: u64,
    /// Requests that were not allowed, or could not be read.
    pub rejected: u64,
    /// All others.
    pub lost: u64,
    /// These by cause.
    pub causes: BTreeMap<Cause, u64>,
}

impl Count {
    /// One more request.
    pub fn add(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Served => self.served += 1,
            Outcome::Rejected => self.rejected += 1,
            Outcome::Lost(cause) => {
                self.lost += 1;
                *self.causes.entry(cause).or_default() += 1;
            }
        }
    }

    /// All requests of another count.
    pub fn merge(&mut self, other: &Self) {
        self.served += other.served;
        self.rejected += other.rejected;
        self.lost += other.lost;
        for (cause, count) in &other.causes {
            *self.causes.entry(*cause).or_default() += count;
        }
    }

    /// The cause of most losses, if there are any.
    pub fn most_frequent_cause(&self) -> Option<Cause> {
        let most = self.causes.iter().max_by_key(|(_, count)| **count);
        most.map(|(cause, _)| *cause)
    }
}

/// Counts by name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(transparent)]
pub struct Tally {
    counts: BTreeMap<String, Count>,
}

impl Tally {
    /// One more request of `name`.
    pub fn add(&mut self, name: &str, outcome: Outcome) {
        if let Some(count) = self.counts.get_mut(name) {
            count.add(outcome);
            return;
        }
        let is_full = self.counts.len() >= MAX_NAMES;
        let name = if is_full { OTHERS } else { name };
        let count = self.counts.entry(String::from(name)).or_default();
        count.add(outcome);
    }

    /// The `most` names with most losses, worst first; names without any are left out.
    pub fn worst(&self, limit: usize) -> Vec<(&str, &Count)> {
        let lost = self.counts.iter().filter(|(_, count)| count.lost > 0);
        let mut worst: Vec<_> = lost.map(|(name, count)| (name.as_str(), count)).collect();
        worst.sort_by_key(|(_, count)| std::cmp::Reverse(count.lost));
        worst.truncate(limit);
        worst
    }

    /// How many names there are.
    pub fn len(&self) -> usize {
        self.counts.len()
    }

    /// Whether nothing was counted.
    pub fn is_empty(&self) -> bool {
        self.counts.is_empty()
    }
}
