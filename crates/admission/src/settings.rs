//! Settings of admission.

use std::time::Duration;

/// Settings of one server's admission.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The most requests that a warm server runs at once.
    pub max_concurrency: u32,
    /// The first token is due this long after admission, for a request without cost.
    pub first_token_target: Duration,
    /// Added to `first_token` for each token of cost.
    pub first_token_target_per_cost: Duration,
    /// The share of first tokens that may be late at the limit.
    pub late_share: f64,
    /// Late first tokens in a row that halve the limit.
    pub consecutive_late_threshold: u32,
    /// A first token later than this multiple of its target shows a cold server.
    pub inflation_factor: u32,
    /// First tokens in a row, that late, that set the limit to one.
    pub consecutive_inflated_threshold: u32,
    /// A first token that takes this multiple of the typical one is sudden.
    pub spike_factor: f64,
    /// First tokens in a row, that sudden, that halve the limit.
    pub consecutive_spike_threshold: u32,
    /// The first token of a warm server as a share of its target, assumed until
    /// it is learned.
    pub initial_baseline: f64,
    /// The limit grows while the first token takes at most this multiple of
    /// the typical one.
    pub growth_tolerance: f64,
    /// In this time after a cold start, `ease` grows by a factor of two.
    pub tolerance_doubling_time: Duration,
    /// Added to the limit for each request completed in time before the first
    /// sign of load.
    pub growth_step: f64,
    /// A request that ran shorter than this counts less for `growth`.
    pub full_growth_run_time: Duration,
    /// After this time without a completed request or a report, the limit
    /// halves, since the server may have turned cold unseen.
    pub unconfirmed_half_life: Duration,
    /// How old the content of a load report may be when it arrives.
    pub report_lag: Duration,
    /// After this time without a report, the last one counts no longer.
    pub report_expiry: Duration,
    /// A new owner may use one part in this many of the bound while an earlier
    /// owner may still admit; a settled owner leaves that part free.
    pub takeover_share: u32,
    /// One part in this many of the limit is kept for workspaces that run less
    /// than their fair share.
    pub headroom: u32,
    /// The time over which the requests that a workspace runs are averaged.
    pub usage_window: Duration,
    /// How long a workspace counts as active after its last request.
    pub activity_timeout: Duration,
    /// The most tickets that wait, of all workspaces.
    pub max_queued: usize,
    /// The most tickets of one workspace that wait.
    pub max_queued_per_workspace: usize,
    /// The most suspect tickets that wait.
    pub max_queued_suspects: usize,
    /// The share of the time to its deadline that a ticket may wait, so that a
    /// refusal comes early enough to try elsewhere.
    pub max_wait_share: f64,
    /// How much later a ticket is served for each step of lower priority,
    /// among the tickets of its workspace.
    pub priority_step: Duration,
    /// The run time assumed for each token of cost until one has completed.
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
