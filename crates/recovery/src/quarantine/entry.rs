//! Combinations of parts that are refused.

use std::{fmt, ops, str};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use units::request::Part;

use crate::evidence::Moment;

/// Parts of prompts, in ascending order. A request is refused if it holds all of them.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Combination(SmallVec<[Part; 2]>);

impl Combination {
    /// Whether a request with the parts `chain` holds all parts.
    pub fn is_held_by(&self, chain: &[Part]) -> bool {
        self.0.iter().all(|part| chain.contains(part))
    }

    /// Removes the parts for which `is_kept` is false.
    pub(crate) fn retain(&mut self, mut is_kept: impl FnMut(&Part) -> bool) {
        self.0.retain(|part| is_kept(part));
    }
}

impl FromIterator<Part> for Combination {
    fn from_iter<I: IntoIterator<Item = Part>>(parts: I) -> Self {
        let mut parts: SmallVec<[Part; 2]> = parts.into_iter().collect();
        parts.sort_unstable();
        parts.dedup();
        Self(parts)
    }
}

impl ops::Deref for Combination {
    type Target = [Part];

    fn deref(&self) -> &[Part] {
        &self.0
    }
}

impl fmt::Display for Combination {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let parts: Vec<String> = self.0.iter().map(Part::to_string).collect();
        f.write_str(&parts.join("+"))
    }
}

impl str::FromStr for Combination {
    type Err = <Part as str::FromStr>::Err;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.split('+').map(str::parse).collect()
    }
}

/// Why and since when parts are refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The number of crashes that the parts had caused by then.
    pub crashes: u32,
    /// When the last of them happened. A later completion clears a part.
    pub last_crash_at: Moment,
}

impl Entry {
    /// An entry for parts that have caused `crashes`, the last one at `last_crash_at`.
    pub const fn new(crashes: u32, last_crash_at: Moment) -> Self {
        Self {
            crashes,
            last_crash_at,
        }
    }
}
