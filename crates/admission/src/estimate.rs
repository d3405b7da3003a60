//! Estimates of run and queue times.

use std::time::Duration;

use units::cost::Cost;

/// The weight of the newest sample.
const SAMPLE_WEIGHT: f64 = 0.125;
/// How fast the longest run time is forgotten, by sample.
const LONGEST_DECAY: f64 = 0.99;
/// No run is expected to take longer than this multiple of the longest of late.
const LONGEST_MARGIN: f64 = 2.0;

/// The run time of requests by their cost, learned from those that completed.
///
/// The time is not strictly proportional to the cost, since a prompt token
/// takes less than an output token. So the longest run of late caps it; a long
/// prompt is not refused for a run time that nobody has seen.
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

    /// Learns from a completed request.
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

    /// Whether a request has completed, so that estimates rest on something.
    pub fn has_samples(&self) -> bool {
        self.longest_seconds.is_some()
    }

    /// How long a request of `cost` runs.
    pub fn run_time(&self, cost: Cost) -> Duration {
        let seconds = self.proportional_seconds(cost);
        let max_seconds = self
            .longest_seconds
            .map_or(seconds, |longest| longest * LONGEST_MARGIN);
        capped_duration(seconds.min(max_seconds))
    }

    /// How long `slots` requests at a time take to work off `cost`.
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
