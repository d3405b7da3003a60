//! Retries, ejection, suspect requests and silent connections.
//!
//! Each module holds one decision: whether a request is run again
//! ([`Retry`], within its workspace's [`RetryBudget`]), which backend servers are
//! left out for a while ([`OutlierDetector`]), which requests are refused because
//! backend servers died with them ([`Suspects`]), and whether a connection or
//! its server went silent ([`Connection`]). There is no I/O and no clock.

mod budget;
mod connection;
mod outlier;
mod retry;
mod settings;
mod suspects;

pub use budget::RetryBudget;
pub use connection::{Action, Connection, ProbeResult};
pub use outlier::OutlierDetector;
pub use retry::{Cause, Failure, Retry};
pub use settings::Settings;
pub use suspects::{Crash, Standing, Strike, Suspects};
