//! The summed load of servers.

use std::{iter, ops};

/// The total load of one or more servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TotalLoad {
    /// Requests in flight.
    pub requests: u64,
    /// The sum of the servers' weights.
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

    /// The load that one server contributes to its pool, given the pool's mean.
    ///
    /// A server whose concurrency limit is below the mean contributes nothing:
    /// it cannot accept more, and its low load would lower the bound of all other
    /// servers. A pool with a few cold servers would then refuse requests for
    /// which the warm servers have capacity, and after a start its load could
    /// not grow back.
    pub fn contribution(requests: u32, weight: u32, limit: u32, mean: f64) -> Self {
        let limited_below_mean = f64::from(limit) < mean * f64::from(weight.max(1));
        if limited_below_mean {
            return Self::default();
        }
        Self::new(requests, weight)
    }

    /// Requests in flight per unit of weight; zero if there are no servers.
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
