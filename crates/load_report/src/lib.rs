//! What backend servers report of their load, and how long that is believed.

mod slowdown;

use serde::{Deserialize, Serialize};
use units::time::Millis;

pub use slowdown::Slowdown;

/// What a server reports of its load with a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Requests that it is running.
    pub running: u32,
    /// Requests that wait for a slot there.
    pub waiting: u32,
    /// The number of requests that it runs concurrently.
    pub slots: u32,
    /// How long work takes there now; `None` if the server does not report it.
    pub slowdown: Option<Slowdown>,
}

/// What one router tells others of a server's load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shared {
    /// The hash of the server's name.
    pub server: u32,
    /// How long work takes there.
    pub slowdown: Slowdown,
    /// The age of the report when it was sent.
    pub age: Millis,
}
