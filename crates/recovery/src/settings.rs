//! Settings of recovery.

use std::time::Duration;

/// Settings of retries, outlier detection, suspect requests and connections.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Retries allowed per thousand requests of a workspace, and of the router.
    pub retry_permille: u32,
    /// Retries that a workspace, and the router, may make before any requests have
    /// added to the budget.
    pub initial_retries: u32,
    /// The maximum number of retries that can accumulate in a budget.
    pub retry_burst: u32,
    /// How long after its last request or retry a workspace's budget is removed.
    pub workspace_idle_timeout: Duration,
    /// The maximum number of attempts per request on backend servers.
    pub max_attempts: u32,
    /// The number of refusals by owners after which a request is not retried.
    pub max_refusals: u32,
    /// The number of failures at which a server is ejected. Each is cancelled by
    /// `successes_per_failure` successes.
    pub ejection_failures: u32,
    /// The number of successes that cancel one failure.
    pub successes_per_failure: u32,
    /// The longest pause of a sound server: how long one may complete nothing until requests that
    /// time out count as failures.
    pub max_pause: Duration,
    /// The duration of the first ejection; it doubles with each further one.
    pub base_ejection_time: Duration,
    /// The maximum duration of an ejection.
    pub max_ejection_time: Duration,
    /// The maximum share of a pool that is ejected, in thousandths.
    pub max_ejection_permille: u32,
    /// The number of strikes at which a request is refused.
    pub refuse_at_strikes: usize,
    /// How long after a request's last strike its strikes expire.
    pub strike_expiry: Duration,
    /// The maximum number of fingerprints for which strikes are stored.
    pub max_suspects: usize,
    /// The maximum number of suspect requests that are isolated, so that each server
    /// runs only one of them at a time. With more of them, none is isolated.
    pub max_isolated: usize,
    /// How long a caller should wait before it retries a failed request.
    pub retry_after: Duration,
    /// How long a connection may make no progress before its server is probed.
    pub progress_timeout: Duration,
    /// The timeout of a probe.
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
            max_pause: Duration::from_secs(4),
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
