//! Faults of a plain service.

use serde::{Deserialize, Serialize};

use crate::endless::Endless;

/// A fault of a plain service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Fault {
    /// No fault.
    #[default]
    Normal,
    /// Every call is answered with 503 and is not run.
    Down,
    /// No call is run or answered until the fault is cleared.
    Freeze,
    /// Every call is delayed before it runs.
    Slow {
        /// The delay in milliseconds.
        delay_ms: u64,
    },
    /// Responses are delayed: the call runs first, then waits.
    LateAnswer {
        /// The delay in milliseconds.
        delay_ms: u64,
    },
    /// Calls run, then the connection closes without a response.
    LoseAnswer {
        /// The number of affected calls; if absent, all until the next fault.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        count: Option<u64>,
    },
    /// Responses are those of another call and echo the attempt id of that call.
    CrossedAnswer {
        /// The number of affected calls; if absent, all until the next fault.
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

impl Fault {
    /// The fault that affects the next call. Decrements the number of remaining calls.
    pub(super) fn next(&mut self) -> Self {
        let hit = *self;
        let (Self::LoseAnswer { count } | Self::CrossedAnswer { count }) = self else {
            return hit;
        };
        match count {
            None => {}
            Some(0) => return Self::Normal,
            Some(left) => *left -= 1,
        }
        hit
    }
}
