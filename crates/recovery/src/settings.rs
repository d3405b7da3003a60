//! Settings of recovery.

use std::time::Duration;

/// Settings of retries, ejection, suspects and connections.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Retries for each thousand requests of a workspace, and of the router.
    pub retry_permille: u32,
    /// Retries that a workspace may make before its requests have paid for them.
    pub initial_retries: u32,
    /// The most retries that can be saved up.
    pub retry_burst: u32,
    /// A workspace without requests for this long is forgotten.
    pub workspace_idle_timeout: Duration,
    /// The most attempts that may reach a backend server for one request.
    pub max_attempts: u32,
    /// The most refusals by owners before a request is given up.
    pub max_refusals: u32,
    /// Failures that eject a server, each made up for by `successes_per_failure` successes.
    pub ejection_failures: u32,
    /// See `ejection_failures`.
    pub successes_per_failure: u32,
    /// How long the first ejection lasts; each further one lasts twice as long.
    pub base_ejection_time: Duration,
    /// How long the longest ejection lasts.
    pub max_ejection_time: Duration,
    /// The largest share of a pool that is ejected, in thousandths.
    pub max_ejection_permille: u32,
    /// Strikes at which a request is refused.
    pub refuse_at_strikes: usize,
    /// How long a strike counts.
    pub strike_expiry: Duration,
    /// The most fingerprints with strikes that are remembered.
    pub max_suspects: usize,
    /// The most requests with a strike that run one at a time on each server.
    pub max_isolated: usize,
    /// When a caller may come back whose request failed.
    pub retry_after: Duration,
    /// How long a connection may make no progress before it is probed.
    pub progress_timeout: Duration,
    /// How long a probe may take.
    pub probe_timeout: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            retry_permille: 100,
            initial_retries: 1,
            retry_burst: 20,
            workspace_idle_timeout: Duration::from_secs(60),
            max_attempts: 2,
            max_refusals: 3,
            ejection_failures: 3,
            successes_per_failure: 3,
            base_ejection_time: Duration::from_secs(5),
            max_ejection_time: Duration::from_secs(300),
            max_ejection_permille: 500,
            refuse_at_strikes: 2,
            strike_expiry: Duration::from_secs(600),
            max_suspects: 4096,
            max_isolated: 64,
            retry_after: Duration::from_secs(1),
            progress_timeout: Duration::from_secs(2),
            probe_timeout: Duration::from_secs(1),
        }
    }
}
