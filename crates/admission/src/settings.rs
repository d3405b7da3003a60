//! Settings of admission control.

use std::time::Duration;

/// Settings of the admission control of one server.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Maximum concurrent requests of a warm server.
    pub max_concurrency: u32,
    /// Target for the time from admission to the first token, for a request of
    /// cost zero.
    pub first_token_target: Duration,
    /// Added to `first_token_target` per token of cost.
    pub first_token_target_per_cost: Duration,
    /// Share of late first tokens to which the limit converges.
    pub late_share: f64,
    /// Number of consecutive late first tokens that halves the limit.
    pub consecutive_late_threshold: u32,
    /// A first token that takes at least this multiple of its target indicates a
    /// cold server.
    pub inflation_factor: u32,
    /// Number of consecutive first tokens beyond `inflation_factor` that resets the
    /// limit to one.
    pub consecutive_inflated_threshold: u32,
    /// A first token above this multiple of the baseline is a spike.
    pub spike_factor: f64,
    /// Number of consecutive spikes that halves the limit.
    pub consecutive_spike_threshold: u32,
    /// Initial baseline: the time to first token of a warm server as a share of its
    /// target, assumed until it has been observed.
    pub initial_baseline: f64,
    /// The limit grows while the time to first token is at most this multiple of
    /// the baseline.
    pub growth_tolerance: f64,
    /// Time after a cold start in which the effective `growth_tolerance` doubles.
    pub tolerance_doubling_time: Duration,
    /// Added to the limit for each request that completes in time during slow
    /// start.
    pub growth_step: f64,
    /// Requests with a shorter run time add proportionally less than `growth_step`.
    pub full_growth_run_time: Duration,
    /// The limit halves after each such period without a completed request or a
    /// load report, since the server may have restarted unnoticed. Zero disables
    /// this.
    pub unconfirmed_half_life: Duration,
    /// Maximum age of the values in a load report when it arrives.
    pub report_lag: Duration,
    /// Time after which a load report without a successor expires.
    pub report_expiry: Duration,
    /// Divisor of the bound: the fraction `1 / takeover_share` of the bound is
    /// available to a new owner while an earlier owner may still admit. A settled
    /// owner leaves this fraction free.
    pub takeover_share: u32,
    /// Divisor of the limit: the fraction `1 / headroom` of the limit is reserved
    /// for workspaces below their fair share. Zero reserves nothing.
    pub headroom: u32,
    /// Time constant of the moving average of a workspace's requests in flight.
    pub usage_window: Duration,
    /// Time after its last request until a workspace is inactive.
    pub activity_timeout: Duration,
    /// Maximum number of queued tickets of all workspaces, without suspects.
    pub max_queued: usize,
    /// Maximum number of queued tickets per workspace.
    pub max_queued_per_workspace: usize,
    /// Maximum number of queued suspect tickets.
    pub max_queued_suspects: usize,
    /// Share of the time to its deadline that a ticket may spend in the queue, so
    /// that a refusal leaves time to retry on another server.
    pub max_wait_share: f64,
    /// Delay per step of lower priority in the queue order, among the tickets of
    /// one workspace.
    pub priority_step: Duration,
    /// Run time per token of cost that is assumed until the first request completes.
    pub initial_run_time_per_cost: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_concurrency: 64,
            first_token_target: Duration::from_millis(470),
            first_token_target_per_cost: Duration::from_micros(200),
            late_share: 0.05,
            consecutive_late_threshold: 3,
            inflation_factor: 3,
            consecutive_inflated_threshold: 2,
            spike_factor: 4.0,
            consecutive_spike_threshold: 3,
            initial_baseline: 0.125,
            growth_tolerance: 2.0,
            tolerance_doubling_time: Duration::from_secs(20),
            growth_step: 0.5,
            full_growth_run_time: Duration::from_secs(2),
            unconfirmed_half_life: Duration::from_secs(10),
            report_lag: Duration::from_secs(1),
            report_expiry: Duration::from_secs(10),
            takeover_share: 16,
            headroom: 4,
            usage_window: Duration::from_secs(10),
            activity_timeout: Duration::from_secs(30),
            max_queued: 1024,
            max_queued_per_workspace: 256,
            max_queued_suspects: 64,
            max_wait_share: 0.5,
            priority_step: Duration::from_secs(1),
            initial_run_time_per_cost: Duration::from_millis(4),
        }
    }
}
