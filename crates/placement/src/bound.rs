//! The bound on the load of one server.

use crate::{load::TotalLoad, settings::Settings};

/// The mean load, in requests, below which the bound is rounded up.
const ROUND_UP_BELOW_MEAN: f64 = 4.0;

/// Admits work to a server while it stays within a multiple of the mean load.
#[derive(Clone, Debug, Default)]
pub struct Bound {
    settings: Settings,
}

impl Bound {
    /// A bound of `settings.load_bound` times the mean.
    pub fn new(settings: Settings) -> Self {
        Self { settings }
    }

    /// The most requests that a server of `weight` may have in flight once one
    /// more request has joined `total`, the load of the whole pool.
    ///
    /// It is always above the mean: else a pool whose servers are all loaded
    /// alike would refuse all work, and one whose load is heard of late would
    /// never take more than it has. While the mean is small, one request more or
    /// less is a large part of it, and the bound is rounded up. Where no server
    /// counts for the mean there is no bound but their own limits.
    pub fn limit(&self, weight: u32, total: TotalLoad) -> u32 {
        self.rounded(self.load_factor(total), weight, total)
    }

    /// The same for a request of a chat that the server has not cached.
    pub fn uncached_limit(&self, weight: u32, total: TotalLoad) -> u32 {
        self.rounded(self.settings.uncached_load_bound, weight, total)
            .min(self.limit(weight, total))
    }

    /// The multiple of the mean that admissions keep to.
    ///
    /// The mean falls when other servers complete work, and a server that was
    /// filled to the bound would then be over it. The sum of many independent
    /// requests moves by the square root of their number, so a small pool needs
    /// more headroom than a large one.
    fn load_factor(&self, total: TotalLoad) -> f64 {
        let deviation = 1.0 / (total.requests.max(1) as f64).sqrt();
        let headroom = 1.0 - self.settings.headroom * deviation;
        (self.settings.load_bound * headroom).max(1.0)
    }

    fn rounded(&self, load_factor: f64, weight: u32, total: TotalLoad) -> u32 {
        if total.weight == 0 {
            return u32::MAX;
        }
        let weight = f64::from(weight.max(1));
        let mean = (total.requests + 1) as f64 / total.weight as f64 * weight;
        let bound = mean * load_factor;
        let round_up_cap = (ROUND_UP_BELOW_MEAN * load_factor).floor();
        let rounded = bound.floor().max(bound.ceil().min(round_up_cap));
        rounded.max(mean.floor() + 1.0) as u32
    }

    /// Whether a server of `weight` that has `own` requests in flight by its
    /// owner's count, and `reported` by its own lagging report, may take one more.
    pub fn admits(&self, own: u32, reported: Option<u32>, weight: u32, total: TotalLoad) -> bool {
        own.max(reported.unwrap_or(0)) < self.limit(weight, total)
    }
}
