//! Counts by outcome, printed as the last line of a report.

use std::fmt;

/// Numbers of requests by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests that received the complete and correct response.
    pub served: u64,
    /// Requests that received a final refusal with a verdict.
    pub refused: u64,
    /// Requests that received neither.
    pub lost: u64,
    /// Bookings that ran more than once.
    pub duplicated: u64,
    /// Requests with a response other than the expected one, and bookings whose confirmation or
    /// verdict contradicts the ledger.
    pub wrong: u64,
}

impl Counts {
    /// Whether no request was lost, duplicated or wrong.
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
