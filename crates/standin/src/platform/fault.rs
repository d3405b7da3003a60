//! Faults of the platform.

use serde::{Deserialize, Serialize};

use crate::endless::Endless;

/// A fault of the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Fault {
    /// No fault.
    #[default]
    Normal,
    /// Every call is answered with 503 and changes nothing.
    Down,
    /// Calls are not answered and change nothing; the connections stay open.
    Silent,
    /// Every call is delayed before it runs.
    Slow {
        /// The delay in milliseconds.
        delay_ms: u64,
    },
    /// Writes take effect, then the connection closes without a response.
    LoseAnswer {
        /// The number of affected writes; if absent, all until the next fault.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        count: Option<u64>,
    },
    /// The listener and all connections are closed, or the process exits.
    Crash,
    /// Currently open connections stop responding; new connections work.
    SilentConnections,
    /// Requests are answered by responses that do not end, until the fault is cleared; further
    /// faults leave it as it is.
    Endless(Endless),
}
