//! One second of a run.

use std::{fmt, time::Duration};

use crate::outcome::{Outcome, Sample};

/// Results of the requests that ended in one second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Second {
    served: u64,
    refused: u64,
    lost: u64,
    wrong: u64,
    retries: u64,
    slowest: Duration,
}

impl Second {
    /// Adds a request that ended in this second.
    pub fn add(&mut self, sample: &Sample) {
        match sample.outcome {
            Outcome::Served(_) => self.served += 1,
            Outcome::Refused(_) => self.refused += 1,
            Outcome::Lost(_) => self.lost += 1,
            Outcome::Wrong(_) => self.wrong += 1,
        }
        self.retries += u64::from(sample.sends.saturating_sub(1));
        self.slowest = self.slowest.max(sample.total);
    }
}

impl fmt::Display for Second {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "served={} refused={} lost={} wrong={} repeats={} slowest_ms={}",
            self.served,
            self.refused,
            self.lost,
            self.wrong,
            self.retries,
            self.slowest.as_millis()
        )
    }
}
