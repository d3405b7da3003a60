//! The counts of the last line.

use std::fmt;

/// How many requests ended how.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// The whole answer to its own request.
    pub served: u64,
    /// A final refusal with a verdict.
    pub refused: u64,
    /// Neither of both.
    pub lost: u64,
    /// Bookings that ran more than once.
    pub duplicated: u64,
    /// Another answer than its own, or an untrue verdict.
    pub wrong: u64,
}

impl Counts {
    /// Whether nothing was lost, duplicated or wrong.
    pub fn is_clean(&self) -> bool {
        self.lost == 0 && self.duplicated == 0 && self.wrong == 0
    }
}

impl fmt::Display for Counts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "served={} refused={} lost={} duplicated={} wrong={}",
            self.served, self.refused, self.lost, self.duplicated, self.wrong
        )
    }
}
