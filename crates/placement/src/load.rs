//! Sums of load over servers.

use std::{iter, ops};

/// The load of several servers together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TotalLoad {
    /// Requests in flight.
    pub requests: u64,
    /// The weights of the servers that they run on.
    pub weight: u64,
}

impl TotalLoad {
    /// The load of one server.
    pub fn new(requests: u32, weight: u32) -> Self {
        Self {
            requests: u64::from(requests),
            weight: u64::from(weight.max(1)),
        }
    }

    /// What one server adds to the load of its pool, of which the mean is known.
    ///
    /// A server whose own concurrency limit lies below the mean adds nothing:
    /// it cannot take more, and its low load would keep the bound of all others
    /// down. A pool with a few cold servers would refuse work for which the
    /// warm ones have room, and its load could not even grow back after a start.
    pub fn contribution(requests: u32, weight: u32, limit: u32, mean: f64) -> Self {
        let limited_below_mean = f64::from(limit) < mean * f64::from(weight.max(1));
        if limited_below_mean {
            return Self::default();
        }
        Self::new(requests, weight)
    }

    /// Requests in flight by unit of weight, zero when there is no server.
    pub fn mean(self) -> f64 {
        self.requests as f64 / self.weight.max(1) as f64
    }
}

impl ops::Add for TotalLoad {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            requests: self.requests + other.requests,
            weight: self.weight + other.weight,
        }
    }
}

impl ops::AddAssign for TotalLoad {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl iter::Sum for TotalLoad {
    fn sum<I: Iterator<Item = Self>>(totals: I) -> Self {
        totals.fold(Self::default(), ops::Add::add)
    }
}
