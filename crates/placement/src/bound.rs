//! The upper bound on the load of one server, relative to the mean of its pool
//! (consistent hashing with bounded loads).

use crate::{load::TotalLoad, settings::Settings};

/// The mean load, in requests, below which the limit is rounded up.
const ROUND_UP_BELOW_MEAN: f64 = 4.0;

/// Limits the load of each server to a multiple of the mean load.
#[derive(Clone, Debug, Default)]
pub struct Bound {
    settings: Settings,
}

impl Bound {
    /// Creates a bound of `settings.load_bound` times the mean.
    pub fn new(settings: Settings) -> Self {
        Self { settings }
    }

    /// The number of requests that a server of `weight` may have in flight once
    /// one more request has been added to `total`, the load of the whole pool.
    ///
    /// The limit is always above the mean. Otherwise a pool of evenly loaded
    /// servers would refuse all requests, and with delayed load reports a pool
    /// could never grow beyond its current load. While the mean is small, a
    /// single request is a large share of it, so the limit is rounded up. If no
    /// server counts towards the mean, only the servers' own limits apply.
    pub fn limit(&self, weight: u32, total: TotalLoad) -> u32 {
        self.rounded(self.load_factor(total), weight, total)
    }

    /// Like [`Self::limit`], for requests of chats that the server has not cached.
    pub fn uncached_limit(&self, weight: u32, total: TotalLoad) -> u32 {
        self.rounded(self.settings.uncached_load_bound, weight, total)
            .min(self.limit(weight, total))
    }

    /// The multiple of the mean that admissions may fill a server to.
    ///
    /// The mean drops when requests complete on other servers, which would leave
    /// a server that was filled up to `load_bound` above it. The number of
    /// independent requests in flight varies by its square root, so a small pool
    /// needs more headroom than a large one.
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

    /// Whether a server of `weight` may accept one more request. `own` is the
    /// number of requests in flight that its owner counts, `reported` the number
    /// in the server's latest, delayed load report.
    pub fn admits(&self, own: u32, reported: Option<u32>, weight: u32, total: TotalLoad) -> bool {
        own.max(reported.unwrap_or(0)) < self.limit(weight, total)
    }
}
