//! Numbers of tokens.

use std::{fmt, iter, num, ops, str};

use serde::{Deserialize, Serialize};

/// A number of tokens. Arithmetic saturates.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Tokens(pub u64);

impl ops::Add for Tokens {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl ops::AddAssign for Tokens {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl ops::Sub for Tokens {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl ops::SubAssign for Tokens {
    fn sub_assign(&mut self, other: Self) {
        *self = *self - other;
    }
}

impl ops::Mul<u64> for Tokens {
    type Output = Self;

    fn mul(self, factor: u64) -> Self {
        Self(self.0.saturating_mul(factor))
    }
}

impl ops::Div<u64> for Tokens {
    type Output = Self;

    fn div(self, divisor: u64) -> Self {
        Self(self.0 / divisor.max(1))
    }
}

impl iter::Sum for Tokens {
    fn sum<I: Iterator<Item = Self>>(tokens: I) -> Self {
        tokens.fold(Self::default(), ops::Add::add)
    }
}

impl fmt::Display for Tokens {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl str::FromStr for Tokens {
    type Err = num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}
