//! How long work takes at a server, relative to its usual time.

use std::{fmt, str};

use serde::{Deserialize, Serialize};

/// How long work takes at a server now, in percent of the usual time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Slowdown(u16);

/// The text or number is not a slowdown between [`Slowdown::MIN`] and [`Slowdown::MAX`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Invalid;

impl fmt::Display for Invalid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not a number of percent between 10 and 10000")
    }
}

impl std::error::Error for Invalid {}

impl Slowdown {
    /// Work takes as long as usual.
    pub const NONE: Self = Self(100);
    /// The smallest valid value.
    pub const MIN: Self = Self(10);
    /// The largest valid value.
    pub const MAX: Self = Self(10_000);

    /// The slowdown of `percent`.
    ///
    /// # Errors
    ///
    /// [`Invalid`] if it is less than [`Self::MIN`] or more than [`Self::MAX`].
    pub fn from_percent(percent: u16) -> Result<Self, Invalid> {
        let slowdown = Self(percent);
        if (Self::MIN..=Self::MAX).contains(&slowdown) {
            Ok(slowdown)
        } else {
            Err(Invalid)
        }
    }

    /// In percent of the usual time.
    pub fn percent(self) -> u16 {
        self.0
    }

    /// The slowdown, or one of `percent` if that is more.
    pub fn at_least(self, percent: u16) -> Self {
        Self(self.0.max(percent)).min(Self::MAX)
    }

    /// The time that work takes whose usual time is `time`, in any unit.
    pub fn scale(self, time: u64) -> u64 {
        time.saturating_mul(u64::from(self.0)) / 100
    }

    /// The part of `slots` that does the work of a usual server in the same time: fewer than
    /// `slots` if the server is slow, but at least one.
    pub fn effective_slots(self, slots: u32) -> u32 {
        let percent = u32::from(self.max(Self::NONE).0);
        (slots.saturating_mul(100) / percent).max(1).min(slots)
    }
}

impl Default for Slowdown {
    fn default() -> Self {
        Self::NONE
    }
}

impl fmt::Display for Slowdown {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}%", self.0)
    }
}

impl str::FromStr for Slowdown {
    type Err = Invalid;

    fn from_str(text: &str) -> Result<Self, Invalid> {
        let number = text.strip_suffix('%').unwrap_or(text);
        Self::from_percent(number.parse().map_err(|_| Invalid)?)
    }
}
