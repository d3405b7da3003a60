//! Retries, outlier detection, suspect requests and silent connections.
//!
//! Each module implements one decision: whether a failed request is retried
//! ([`Retry`], within its workspace's [`RetryBudget`]), which failing backend
//! servers are ejected ([`OutlierDetector`]), which requests are refused because
//! backend servers crashed while running them ([`Suspects`]) or others with the same
//! part of their prompt ([`Quarantine`]), and whether a connection or its server
//! stopped responding ([`Connection`]).
//!
//! The crate performs no I/O and reads no clock: callers pass in the current time.

mod budget;
mod connection;
pub mod evidence;
mod outlier;
pub mod quarantine;
mod retry;
mod settings;
mod suspects;

pub use budget::RetryBudget;
pub use connection::{Action, Connection, ProbeResult};
pub use evidence::{Completion, Crash, Evidence, Interval, Moment, Report, Strike};
pub use outlier::OutlierDetector;
pub use quarantine::Quarantine;
pub use retry::{Cause, Failure, Retry};
pub use settings::Settings;
pub use suspects::{Standing, Suspects};
