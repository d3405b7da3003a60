//! Faults of an engine.

use serde::{Deserialize, Serialize};

use crate::endless::Endless;

/// A fault of an engine.
///
/// A fault with a `count` affects that many requests and then ends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Fault {
    /// No fault: clears all faults.
    Normal,
    /// The listener and all connections are closed, or the process exits.
    Crash,
    /// No request is answered and no token is generated until the fault is cleared.
    Freeze,
    /// The connection of a stream is closed halfway through the response.
    CutStream {
        /// The number of affected streams.
        #[serde(default = "default_count")]
        count: u64,
    },
    /// A stream ends halfway with a valid end of body, but without its final `[DONE]` event.
    ShortStream {
        /// The number of affected streams.
        #[serde(default = "default_count")]
        count: u64,
    },
    /// The engine is cold as after a start, but keeps its boot id, so that clients can't notice.
    TurnCold,
    /// Currently open connections stop responding; new connections work.
    SilentConnections,
    /// Requests are answered by responses that do not end, until the fault is cleared; further
    /// faults leave it as it is.
    Endless(Endless),
    /// The first byte of a response is delayed.
    LateAnswer {
        /// The delay in milliseconds.
        delay_ms: u64,
        /// The number of affected responses.
        #[serde(default = "default_count")]
        count: u64,
    },
    /// The response is that of another request and echoes the attempt id of that request.
    CrossedAnswer {
        /// The number of affected responses.
        #[serde(default = "default_count")]
        count: u64,
    },
    /// The request is answered with 503 and is not run.
    Refuse {
        /// The number of affected responses.
        #[serde(default = "default_count")]
        count: u64,
    },
    /// Prefill and decoding are slower.
    Slow {
        /// The factor by which durations grow.
        factor: u32,
    },
    /// A request with a message that contains the marker crashes the engine when it runs.
    Poison {
        /// The text that triggers the crash.
        marker: String,
    },
}

fn default_count() -> u64 {
    1
}

/// The effects of the pending faults on one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Effects {
    pub(super) cut: bool,
    pub(super) short: bool,
    pub(super) late_ms: u64,
    pub(super) crossed: bool,
    pub(super) refused: bool,
}

/// Faults that affect a limited number of future requests.
#[derive(Debug, Default)]
pub(super) struct Pending {
    cut: u64,
    short: u64,
    late: u64,
    late_ms: u64,
    crossed: u64,
    refused: u64,
}

impl Pending {
    /// Adds `fault` if it affects single requests.
    pub(super) fn add(&mut self, fault: &Fault) {
        match *fault {
            Fault::CutStream { count } => self.cut = count,
            Fault::ShortStream { count } => self.short = count,
            Fault::CrossedAnswer { count } => self.crossed = count,
            Fault::Refuse { count } => self.refused = count,
            Fault::LateAnswer { delay_ms, count } => {
                self.late = count;
                self.late_ms = delay_ms;
            }
            _ => {}
        }
    }

    /// Consumes and returns the effects on the next request.
    pub(super) fn next(&mut self, is_stream: bool) -> Effects {
        Effects {
            cut: is_stream && consume(&mut self.cut),
            short: is_stream && consume(&mut self.short),
            late_ms: if consume(&mut self.late) {
                self.late_ms
            } else {
                0
            },
            crossed: consume(&mut self.crossed),
            refused: consume(&mut self.refused),
        }
    }
}

/// Decrements `count` and returns whether it was above zero.
fn consume(count: &mut u64) -> bool {
    let any = *count > 0;
    *count = count.saturating_sub(1);
    any
}
