//! Settings of leases.

use std::time::Duration;

/// The durations of leases, orders and retries.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// How long a lease is valid after its acquisition or renewal was requested.
    pub duration: Duration,
    /// The time between two renewals, and between two reads of another holder's lease.
    pub renewal_interval: Duration,
    /// The maximum time from the permit for an order until its last effect.
    ///
    /// The sender closes the connection by then, and afterwards the engine must
    /// not act on an order that it received before.
    pub order_timeout: Duration,
    /// Added to the wait for another holder's lease to expire, since clocks run at different rates.
    pub clock_margin: Duration,
    /// The delay before a failed read or write is retried.
    pub retry_delay: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            duration: Duration::from_secs(10),
            renewal_interval: Duration::from_secs(3),
            order_timeout: Duration::from_secs(15),
            clock_margin: Duration::from_millis(500),
            retry_delay: Duration::from_millis(500),
        }
    }
}
