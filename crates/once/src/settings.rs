//! Settings of claims.

use std::time::Duration;

/// How claims are batched and when one is given up.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The writes a second that all routers together may put on the table.
    pub writes_per_second: u32,
    /// The least time between two writes of one router.
    pub min_write_interval: Duration,
    /// The most claims in one batch.
    pub max_batch: usize,
    /// The most requests that are held at a time.
    pub max_entries: usize,
    /// For how long a granted request may be sent.
    ///
    /// An operator who settles a claim of a lost router by hand has to wait
    /// for longer than this after the claim was made.
    pub send_timeout: Duration,
    /// How long new claims are refused at once after the platform did not answer.
    pub down_period: Duration,
    /// How long a caller waits before it asks for the outcome of a running request.
    pub retry_after: Duration,
    /// How many buckets of outcomes are kept before the present one.
    pub retention_buckets: u64,
    /// The longest body that is kept with an outcome, in bytes.
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
