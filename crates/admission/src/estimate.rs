//! Estimates of the run time and queue time of requests.

use std::time::Duration;

use units::cost::Cost;

/// Weight of the newest sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.125;
/// Factor by which the longest run time decays with each sample.
const LONGEST_DECAY: f64 = 0.99;
/// Upper bound of an estimate, as a multiple of the decayed longest run time.
const LONGEST_MARGIN: f64 = 2.0;

/// Estimates run times from request costs, based on completed requests.
///
/// Run time is not strictly proportional to cost, because a prompt token takes
/// less time than an output token. The longest recent run time therefore caps
/// the estimate, so that a request with a long prompt is not refused for a run
/// time that has never been observed.
#[derive(Clone, Debug)]
pub(crate) struct RunTimeEstimator {
    mean_cost: f64,
    mean_seconds: f64,
    longest_seconds: Option<f64>,
}

impl RunTimeEstimator {
    pub fn new(initial_run_time_per_cost: Duration) -> Self {
        Self {
            mean_cost: 1.0,
            mean_seconds: initial_run_time_per_cost.as_secs_f64(),
            longest_seconds: None,
        }
    }

    /// Records the run time of a completed request.
    pub fn record(&mut self, cost: Cost, run_time: Duration) {
        let cost = cost.0.max(1) as f64;
        let seconds = run_time.as_secs_f64();
        let Some(longest) = self.longest_seconds else {
            (self.mean_cost, self.mean_seconds, self.longest_seconds) =
                (cost, seconds, Some(seconds));
            return;
        };
        self.mean_cost += SAMPLE_WEIGHT * (cost - self.mean_cost);
        self.mean_seconds += SAMPLE_WEIGHT * (seconds - self.mean_seconds);
        self.longest_seconds = Some(seconds.max(longest * LONGEST_DECAY));
    }

    /// Whether at least one completed request has been recorded.
    pub fn has_samples(&self) -> bool {
        self.longest_seconds.is_some()
    }

    /// Expected run time of a request of `cost`.
    pub fn run_time(&self, cost: Cost) -> Duration {
        let seconds = self.proportional_seconds(cost);
        let max_seconds = self
            .longest_seconds
            .map_or(seconds, |longest| longest * LONGEST_MARGIN);
        capped_duration(seconds.min(max_seconds))
    }

    /// Time in which `slots` concurrent requests process `cost`.
    pub fn drain_time(&self, cost: Cost, slots: u32) -> Duration {
        capped_duration(self.proportional_seconds(cost) / f64::from(slots.max(1)))
    }

    fn proportional_seconds(&self, cost: Cost) -> f64 {
        self.mean_seconds * cost.0 as f64 / self.mean_cost
    }
}

fn capped_duration(seconds: f64) -> Duration {
    const MAX_SECONDS: f64 = 1e9;
    Duration::from_secs_f64(seconds.min(MAX_SECONDS))
}
