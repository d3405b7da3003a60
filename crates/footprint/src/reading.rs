//! How many prompt tokens may wait to be read at an engine.

use std::{fmt, num, str, time::Duration};

use crate::Tokens;

/// The part of the tolerated delay that reading other prompts may take, as a divisor. The rest is
/// left for the request's own prompt, the steps of the engine, the queue and the network.
const READING_DIVISOR: u32 = 2;
/// A prompt is long if reading it takes more than this part of the bound.
const LONG_DIVISOR: u64 = 16;

/// The rate at which an engine reads prompts, in tokens per millisecond.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rate(pub u32);

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl str::FromStr for Rate {
    type Err = num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// The delays that urgent requests tolerate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tolerance {
    /// The target for the time to the first event.
    pub first_event: Duration,
    /// The longest pause between two events.
    pub pause: Duration,
}

impl Tolerance {
    /// The tolerance of requests of which some have this tolerance and some the other one.
    pub fn and(self, other: Self) -> Self {
        Self {
            first_event: self.first_event.min(other.first_event),
            pause: self.pause.min(other.pause),
        }
    }

    /// The most prompt tokens that may wait to be read at an engine with this reading rate.
    pub fn bound(self, rate: Rate) -> Tokens {
        let delay = self.first_event.min(self.pause) / READING_DIVISOR;
        let micros = u64::try_from(delay.as_micros()).unwrap_or(u64::MAX);
        Tokens(micros) * u64::from(rate.0) / 1_000
    }
}

/// Whether a prompt of which `uncached` tokens have to be read may go to an engine where `waiting`
/// tokens wait already.
///
/// Short prompts hardly delay anybody. A prompt beyond the bound has to be read somewhere, and may
/// go where nothing waits.
pub fn may_wait(uncached: Tokens, waiting: Tokens, bound: Tokens) -> bool {
    uncached <= bound / LONG_DIVISOR || waiting + uncached.min(bound) <= bound
}
