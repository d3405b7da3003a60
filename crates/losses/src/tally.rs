//! Request counts by name, in bounded memory.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::cause::{Cause, Outcome};

/// Maximum number of names that one tally counts separately.
const MAX_NAMES: usize = 1_000;
/// Name under which requests are counted once the tally holds `MAX_NAMES` names.
const OTHERS: &str = "(others)";

/// Numbers of requests served, rejected and lost, and the causes of the losses.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Count {
    /// Requests that received a complete response from a server.
    pub served: u64,
    /// Requests that were not authorized or were invalid.
    pub rejected: u64,
    /// All other requests.
    pub lost: u64,
    /// Lost requests by cause.
    pub causes: BTreeMap<Cause, u64>,
}

impl Count {
    /// Counts one request.
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

    /// Adds the requests of another count.
    pub fn merge(&mut self, other: &Self) {
        self.served += other.served;
        self.rejected += other.rejected;
        self.lost += other.lost;
        for (cause, count) in &other.causes {
            *self.causes.entry(*cause).or_default() += count;
        }
    }

    /// The cause of the most losses, or `None` if no request was lost.
    pub fn most_frequent_cause(&self) -> Option<Cause> {
        let most = self.causes.iter().max_by_key(|(_, count)| **count);
        most.map(|(cause, _)| *cause)
    }
}

/// Request counts by name, such as the name of a route or a server.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(transparent)]
pub struct Tally {
    counts: BTreeMap<String, Count>,
}

impl Tally {
    /// Counts one request under `name`.
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

    /// Up to `limit` names with the most losses, in descending order; omits names without losses.
    pub fn worst(&self, limit: usize) -> Vec<(&str, &Count)> {
        let lost = self.counts.iter().filter(|(_, count)| count.lost > 0);
        let mut worst: Vec<_> = lost.map(|(name, count)| (name.as_str(), count)).collect();
        worst.sort_by_key(|(_, count)| std::cmp::Reverse(count.lost));
        worst.truncate(limit);
        worst
    }

    /// Number of names, including the one for further names.
    pub fn len(&self) -> usize {
        self.counts.len()
    }

    /// Whether no request was counted.
    pub fn is_empty(&self) -> bool {
        self.counts.is_empty()
    }
}
