//! Settings of leases.

use std::time::Duration;

/// How long leases last and orders take.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// How long a lease lasts after it was asked for or renewed.
    pub duration: Duration,
    /// The time between two renewals, and between two looks at another's lease.
    pub renewal_interval: Duration,
    /// The longest time from the permit for an order until its last effect.
    ///
    /// The sender closes the connection by then, and the engine must not act
    /// on an order that it got earlier.
    pub order_timeout: Duration,
    /// How much longer another's lease is waited out, since clocks run at different rates.
    pub clock_margin: Duration,
    /// The time before a failed read or write is tried again.
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
