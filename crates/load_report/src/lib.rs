//! What backend servers report of their load, and how long that is believed.

//!
//! The crate has no I/O, clock or randomness: instants and random numbers are arguments.

mod arrivals;
mod belief;
pub mod candidate;
mod service_time;
mod slowdown;

use serde::{Deserialize, Serialize};
use units::time::Millis;

pub use arrivals::Arrivals;
pub use belief::{Belief, TTL};
pub use candidate::Candidate;
pub use service_time::ServiceTime;
pub use slowdown::{Invalid, Slowdown};

/// The largest number of requests or slots that a report may hold. Even a server with a hundred
/// times the slots of a large engine stays below.
const MAX_FIGURE: u32 = 10_000;

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

impl Report {
    /// Whether the figures are possible. A server without slots runs nothing, and a figure in
    /// the tens of thousands is a fault of the server.
    pub fn is_plausible(&self) -> bool {
        let figures = [self.running, self.waiting, self.slots];
        self.slots > 0 && figures.iter().all(|figure| *figure <= MAX_FIGURE)
    }
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
