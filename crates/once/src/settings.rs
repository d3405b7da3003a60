//! Settings of claims.

use std::time::Duration;

/// Batching, limits and timeouts of claims.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The writes per second to the table, over all routers together.
    pub writes_per_second: u32,
    /// The minimum time between two writes of one router.
    pub min_write_interval: Duration,
    /// The maximum number of claims in one batch.
    pub max_batch: usize,
    /// The maximum number of requests that the ledger holds at a time.
    pub max_entries: usize,
    /// How long after it was granted a request may be sent.
    ///
    /// An operator who resolves a claim of a failed router by hand has to wait
    /// for longer than this after the claim was made.
    pub send_timeout: Duration,
    /// How long new claims are refused immediately after a call to the platform failed.
    pub down_period: Duration,
    /// The retry delay that refusals give to callers.
    pub retry_after: Duration,
    /// How many buckets of outcomes before the current one are kept.
    pub retention_buckets: u64,
    /// The maximum size of a body that is stored with an outcome, in bytes.
    pub max_body_bytes: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            writes_per_second: 200,
            min_write_interval: Duration::from_millis(20),
            max_batch: 64,
            max_entries: 8192,
            send_timeout: Duration::from_secs(30),
            down_period: Duration::from_millis(1000),
            retry_after: Duration::from_millis(1000),
            retention_buckets: 72,
            max_body_bytes: 8 * 1024,
        }
    }
}
