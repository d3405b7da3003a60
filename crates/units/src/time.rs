//! Instants and durations that do not depend on a clock.

use std::{fmt, num, ops, str, time};

use serde::{Deserialize, Serialize};

/// A point in time, in microseconds since an origin that the process chooses.
///
/// Libraries without I/O take the current instant as an argument, so that tests
/// and benches can drive them in virtual time. Instants of two processes are not
/// comparable; messages between processes carry remaining times instead.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Instant(u64);

impl Instant {
    /// The origin.
    pub const ZERO: Self = Self(0);
    /// A point in time that is never reached.
    pub const NEVER: Self = Self(u64::MAX);

    /// The instant `micros` microseconds after the origin.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// The instant `millis` milliseconds after the origin.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(1000))
    }

    /// Microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// The time elapsed from `earlier` to this instant, zero when `earlier` is later.
    pub fn since(self, earlier: Self) -> time::Duration {
        time::Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl ops::Add<time::Duration> for Instant {
    type Output = Self;

    fn add(self, duration: time::Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl ops::Sub<time::Duration> for Instant {
    type Output = Self;

    fn sub(self, duration: time::Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }
}

impl fmt::Display for Instant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}us", self.0)
    }
}

/// A duration in whole milliseconds, as used in settings and protocols.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Millis(pub u64);

impl Millis {
    /// Converts to the duration type of the standard library.
    pub const fn duration(self) -> time::Duration {
        time::Duration::from_millis(self.0)
    }
}

impl From<time::Duration> for Millis {
    fn from(duration: time::Duration) -> Self {
        Self(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl str::FromStr for Millis {
    type Err = num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}
